//! Model of the prompt parts that each target likely still caches, and of the targets that shall
//! hold a part.
//!
//! For a load of many requests with long shared parts, of which some are in higher demand than one
//! target can serve, and for one whose shared parts are 3.6% of all prompt tokens, so that no part
//! is worth a wait.
//!
//! | input | use |
//! |---|---|
//! | when this gateway last sent a prompt with the part to the target | the part is cached until the memory has been replaced once |
//! | tokens per second to the service, its targets, memory of a target | time after which a target's memory has been replaced |
//! | rate of requests with the part at this gateway, number of gateways | demand, and how likely another gateway refreshed the part at a holder |
//! | length of the runs, slots of a target | number of holders that a part needs; a later one is preferred less than those before it |
//! | rendezvous hash of part and target | which targets hold it: the same at all gateways, and few parts move when targets join or leave |
//!
//! Output: the expected number of cached tokens per target. What they save is compared with waits
//! by [`super::run_estimate`], in microseconds.

use crate::{gateway::dialect::PromptPart, units::*};
use std::{
    collections::HashMap,
    hash::{DefaultHasher, Hash, Hasher},
};

/// Time after which a target's memory is taken to be replaced if its size is unknown; measured on
/// targets with memory for 252,151 tokens under full load.
const DEFAULT_RESIDENCE_MS: u64 = 15_000;
/// Bounds of that time. The upper one is that of engines that keep unused parts for minutes.
const RESIDENCE_RANGE_MS: std::ops::RangeInclusive<u64> = 1000..=300_000;
/// Maximum number of parts in the table: 512 entries of about 150 bytes are 80 KB, and parts used
/// less often than that are evicted at the targets, too.
const MAX_PARTS: usize = 512;
/// Number of targets of which the latest use of a part is kept.
const MAX_USES: usize = 8;
/// Number of parts of a prompt that are looked up. Later ones are seldom shared.
const MAX_PREFIX_PARTS: usize = 4;
/// Shortest prefix that is worth an entry, in tokens: a shorter one saves less than a round trip.
const MIN_PREFIX_TOKENS: u64 = 32;
/// Number of requests over which rates are averaged.
const RATE_SAMPLES: u64 = 8;
/// Largest part of a holder's slots that one part shall take, in percent. With 50, the load of the
/// tests saved 1% fewer tokens than with one holder, and with 10 up to 2.7% more, as a holder of
/// several parts in high demand has no free slot.
const MAX_HOLDER_SLOTS_PERCENT: u64 = 10;
/// Probability, in thousandths, that a part of unknown demand is cached at its first holder, if there
/// are other gateways. All gateways send their first requests with a part there.
const UNKNOWN_PER_MILLE: u64 = 500;
/// How much less each further holder is preferred than the one before it, in percent of the tokens:
/// it is used when the wait at those before it exceeds that.
const HOLDER_STEP_PERCENT: u64 = 10;
/// Part of the tokens that count at a target that is no holder, and at least at a holder, in percent.
/// Otherwise each gateway would stay with the target that it used first, and all targets would hold
/// all parts.
const MIN_PREFERRED_PERCENT: u64 = 25;
/// Maximum number of holders of a part.
const MAX_HOLDERS: usize = 16;
/// Run time that is assumed before any run has ended.
const DEFAULT_RUN_MS: u64 = 1000;
/// Largest number of tokens of a request that counts, as callers declare them.
const MAX_COUNTED_TOKENS: u64 = 1024 * 1024;

/// State of the service that the model needs beside its own table.
#[derive(Clone, Copy, Debug)]
pub struct ServiceLoad {
    /// Memory of a target, in tokens; `None` if the document does not state it.
    pub memory_tokens: Option<u64>,
    /// Number of targets that may receive the request.
    pub targets: u64,
    /// Number of slots of a target.
    pub slots: u64,
    /// Number of gateways.
    pub gateways: u64,
    /// Average time of a run.
    pub run_ms: Option<u64>,
}

/// Identifies a prefix: the hash of its parts, in order.
type PrefixKey = u64;

#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    last_ms: u64,
    /// Moving average of the interval; 0 before the second request.
    interval_micros: u64,
}

#[derive(Debug, Default)]
struct PrefixEntry {
    rate: Rate,
    /// Hash of a target, and when a prompt with the prefix was last sent there.
    uses: [(u64, u64); MAX_USES],
}

/// The parts that this gateway sent, and where to. Bounded by [`MAX_PARTS`].
#[derive(Debug, Default)]
pub struct PrefixTable {
    entries: HashMap<PrefixKey, PrefixEntry>,
    /// Tokens of prompts and outputs that this gateway sends, by service.
    token_rate: HashMap<ServiceName, TokenRate>,
}

#[derive(Debug, Default)]
struct TokenRate {
    window_start_ms: u64,
    window_tokens: u64,
    tokens_per_s: Option<u64>,
}

/// Window over which the tokens per second are averaged.
const TOKEN_WINDOW_MS: u64 = 2000;

/// What a target is expected to cache of a prompt, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExpectedTokens {
    /// Tokens that are likely cached.
    pub cached: u64,
    /// Those of them that count for the choice of the target; fewer at later holders and at other
    /// targets, so that the gateways agree.
    pub preferred: u64,
}

/// Expected state of a prompt's prefix at the targets of one service.
#[derive(Debug)]
pub struct PrefixLookup<'a> {
    now_ms: u64,
    residence_ms: u64,
    prefixes: [Option<PrefixState<'a>>; MAX_PREFIX_PARTS],
}

#[derive(Debug)]
struct PrefixState<'a> {
    key: PrefixKey,
    /// Tokens of the last part of this prefix.
    tokens: u64,
    holders: usize,
    /// Probability, in thousandths, that another gateway used the prefix at a holder within the
    /// residence time.
    refreshed_per_mille: u64,
    entry: Option<&'a PrefixEntry>,
}

impl Rate {
    fn record(&mut self, now_ms: u64) {
        let sample_micros = now_ms.saturating_sub(self.last_ms).saturating_mul(1000);
        if self.last_ms > 0 {
            self.interval_micros = match self.interval_micros {
                0 => sample_micros.max(1),
                average => (average
                    .saturating_mul(RATE_SAMPLES - 1)
                    .saturating_add(sample_micros)
                    / RATE_SAMPLES)
                    .max(1),
            };
        }
        self.last_ms = now_ms;
    }

    /// The interval, which grows while no request comes; `None` before the second request.
    fn interval_micros(&self, now_ms: u64) -> Option<u64> {
        let silent_micros = now_ms.saturating_sub(self.last_ms).saturating_mul(1000);
        (self.interval_micros > 0).then(|| self.interval_micros.max(silent_micros / 2))
    }
}

impl TokenRate {
    fn record(&mut self, tokens: u64, now_ms: u64) {
        self.window_tokens = self.window_tokens.saturating_add(tokens);
        let elapsed_ms = now_ms.saturating_sub(self.window_start_ms);
        if elapsed_ms >= TOKEN_WINDOW_MS {
            let sample = self.window_tokens.saturating_mul(1000) / elapsed_ms;
            // The first window began at an unknown time.
            self.tokens_per_s = match (self.window_start_ms, self.tokens_per_s) {
                (0, _) => None,
                (_, None) => Some(sample),
                (_, Some(average)) => Some((average * 3).saturating_add(sample) / 4),
            };
            (self.window_start_ms, self.window_tokens) = (now_ms, 0);
        }
    }
}

impl PrefixTable {
    /// Records that a prompt was sent to a target. `parts` are the parts that other requests may
    /// share, and `tokens` all tokens of the prompt and its expected output.
    pub fn record_use(
        &mut self,
        service: &ServiceName,
        parts: &[PromptPart],
        target: &TargetName,
        tokens: u64,
        now_ms: u64,
    ) {
        if !self.token_rate.contains_key(service) {
            self.token_rate
                .insert(service.clone(), TokenRate::default());
        }
        if let Some(rate) = self.token_rate.get_mut(service) {
            rate.record(tokens.min(MAX_COUNTED_TOKENS), now_ms);
        }
        let target = hash(target);
        for (key, _) in prefixes(service, parts) {
            if self.entries.len() >= MAX_PARTS && !self.entries.contains_key(&key) {
                self.evict_oldest();
            }
            let entry = self.entries.entry(key).or_default();
            entry.rate.record(now_ms);
            let known = entry
                .uses
                .iter()
                .position(|(used_at, _)| *used_at == target);
            let oldest = (0..MAX_USES).min_by_key(|position| entry.uses[*position].1);
            let position = known.or(oldest).unwrap_or(0);
            entry.uses[position] = (target, now_ms);
        }
    }

    /// Forgets the services that the document no longer has.
    pub fn retain_services(&mut self, is_listed: impl Fn(&ServiceName) -> bool) {
        self.token_rate.retain(|service, _| is_listed(service));
    }

    /// Number of parts in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no part is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Looks a prompt's shared parts up.
    pub fn look_up(
        &self,
        service: &ServiceName,
        parts: &[PromptPart],
        load: &ServiceLoad,
        now_ms: u64,
    ) -> PrefixLookup<'_> {
        let residence_ms = self.residence_ms(service, load);
        let mut states: [Option<PrefixState>; MAX_PREFIX_PARTS] = Default::default();
        for (state, (key, tokens)) in states.iter_mut().zip(prefixes(service, parts)) {
            let entry = self.entries.get(&key);
            let interval = entry.and_then(|entry| entry.rate.interval_micros(now_ms));
            let holders = interval.map_or(1, |micros| holder_count(micros, load));
            // Each gateway has about the same demand; this one's own uses are in the table.
            let others = load.gateways.saturating_sub(1);
            let unknown_per_mille = if others > 0 { UNKNOWN_PER_MILLE } else { 0 };
            let refreshed_per_mille = interval.map_or(unknown_per_mille, |micros| {
                let uses_milli = u128::from(residence_ms) * 1_000_000 * u128::from(others)
                    / u128::from(micros.saturating_mul(holders as u64).max(1));
                at_least_one_per_mille(u64::try_from(uses_milli).unwrap_or(u64::MAX))
            });
            *state = Some(PrefixState {
                key,
                tokens,
                holders,
                refreshed_per_mille,
                entry,
            });
        }
        PrefixLookup {
            now_ms,
            residence_ms,
            prefixes: states,
        }
    }

    /// Time after which a target's memory has been replaced: its size divided by the tokens per
    /// second that all gateways send to a target on average.
    fn residence_ms(&self, service: &ServiceName, load: &ServiceLoad) -> u64 {
        let own_per_s = self
            .token_rate
            .get(service)
            .and_then(|rate| rate.tokens_per_s);
        let (Some(memory), Some(own_per_s)) = (load.memory_tokens, own_per_s) else {
            return DEFAULT_RESIDENCE_MS;
        };
        let per_target_per_s = own_per_s.saturating_mul(load.gateways.max(1)) / load.targets.max(1);
        let residence_ms = memory.saturating_mul(1000) / per_target_per_s.max(1);
        residence_ms.clamp(*RESIDENCE_RANGE_MS.start(), *RESIDENCE_RANGE_MS.end())
    }

    fn evict_oldest(&mut self) {
        let oldest = self
            .entries
            .iter()
            .min_by_key(|(_, entry)| entry.rate.last_ms);
        if let Some(key) = oldest.map(|(key, _)| *key) {
            self.entries.remove(&key);
        }
    }
}

impl PrefixLookup<'_> {
    /// Passes the expectation of each target to `set`.
    pub fn expect<'n>(
        &self,
        names: impl ExactSizeIterator<Item = &'n TargetName>,
        mut set: impl FnMut(usize, ExpectedTokens),
    ) {
        if self.prefixes[0].is_none() {
            return;
        }
        let targets: Vec<u64> = names.map(hash).collect();
        let mut likely = vec![(1000, ExpectedTokens::default()); targets.len()];
        for state in self.prefixes.iter().flatten() {
            let mut holders = [(0, usize::MAX); MAX_HOLDERS];
            let holders = &mut holders[..state.holders];
            for (position, target) in targets.iter().enumerate() {
                insert_largest(holders, (hash((state.key, target)), position));
            }
            for (position, target) in targets.iter().enumerate() {
                let holder = holders.iter().position(|holder| holder.1 == position);
                let refreshed = holder.map_or(0, |_| state.refreshed_per_mille);
                let step_percent = holder.map_or(100, |rank| rank as u64 * HOLDER_STEP_PERCENT);
                let preferred_percent = 100u64
                    .saturating_sub(step_percent)
                    .max(MIN_PREFERRED_PERCENT);
                let (before, tokens) = &mut likely[position];
                // A part is of use only if those before it are cached.
                *before = self
                    .own_per_mille(state, *target)
                    .max(refreshed)
                    .min(*before);
                let cached = u128::from(state.tokens) * u128::from(*before) / 1000;
                let cached = cached as u64;
                let preferred = u128::from(cached) * u128::from(preferred_percent) / 100;
                tokens.cached = tokens.cached.saturating_add(cached);
                tokens.preferred = tokens.preferred.saturating_add(preferred as u64);
            }
        }
        for (position, (_, tokens)) in likely.into_iter().enumerate() {
            set(position, tokens);
        }
    }

    /// Probability, in thousandths, that the part is still cached from this gateway's latest use.
    /// The residence time is an estimate: certain up to half of it, and falling to 0 at one and a
    /// half of it.
    fn own_per_mille(&self, state: &PrefixState, target: u64) -> u64 {
        let uses = state.entry.map(|entry| &entry.uses);
        let used = uses.and_then(|uses| uses.iter().find(|(used_at, _)| *used_at == target));
        let Some((_, used_ms)) = used.filter(|(_, used_ms)| *used_ms > 0) else {
            return 0;
        };
        let age_ms = self.now_ms.saturating_sub(*used_ms);
        let left_ms = (self.residence_ms * 3 / 2).saturating_sub(age_ms);
        (left_ms * 1000 / self.residence_ms.max(1)).min(1000)
    }
}

/// Returns the keys of the prefixes of a prompt, with the tokens of each one's last part. Parts too
/// short to be worth a lookup count with the next one.
fn prefixes<'a>(
    service: &'a ServiceName,
    parts: &'a [PromptPart],
) -> impl Iterator<Item = (PrefixKey, u64)> + 'a {
    let mut hasher = DefaultHasher::new();
    service.hash(&mut hasher);
    let mut skipped_tokens = 0;
    let keys = parts.iter().filter_map(move |part| {
        part.id.hash(&mut hasher);
        let tokens = part.tokens.saturating_add(skipped_tokens);
        skipped_tokens = if tokens < MIN_PREFIX_TOKENS {
            tokens
        } else {
            0
        };
        (skipped_tokens == 0).then(|| (hasher.finish(), tokens))
    });
    keys.take(MAX_PREFIX_PARTS)
}

/// Number of holders for a part that this gateway gets every `interval_micros`: so many that it
/// takes at most [`MAX_HOLDER_SLOTS_PERCENT`] of the slots of each.
fn holder_count(interval_micros: u64, load: &ServiceLoad) -> usize {
    let run_ms = load.run_ms.unwrap_or(DEFAULT_RUN_MS);
    // Requests with the part that run at the same time.
    let running_percent = u128::from(run_ms) * 1000 * 100 * u128::from(load.gateways.max(1))
        / u128::from(interval_micros.max(1));
    let per_holder = u128::from(load.slots.max(1) * MAX_HOLDER_SLOTS_PERCENT);
    let holders = running_percent.div_ceil(per_holder).max(1);
    let most = MAX_HOLDERS.min(usize::try_from(load.targets.max(1)).unwrap_or(MAX_HOLDERS));
    usize::try_from(holders).unwrap_or(most).min(most)
}

/// Keeps the largest elements, in descending order.
fn insert_largest(largest: &mut [(u64, usize)], element: (u64, usize)) {
    let position = largest.partition_point(|other| other.1 != usize::MAX && *other > element);
    if position < largest.len() {
        largest[position..].rotate_right(1);
        largest[position] = element;
    }
}

/// Probability, in thousandths, of at least one event if `milli` thousandths of one are expected:
/// `1 - exp(-x)`.
fn at_least_one_per_mille(milli: u64) -> u64 {
    let expected = milli.min(10_000) as f64 / 1000.0;
    ((1.0 - (-expected).exp()) * 1000.0) as u64
}

fn hash(parts: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    parts.hash(&mut hasher);
    hasher.finish()
}
