//! Load balancing: orders the targets of a service by their expected time to first event.
//!
//! Pure functions without clock or I/O.
//!
//! | input | use |
//! |---|---|
//! | requests of this gateway in progress at the target | queueing delay that this gateway causes itself |
//! | wait last reported by the target's agent | queueing delay of all requests at the target |
//! | prefill and decode speed of the target | time to first event of this request |
//! | recent times to first event | fallback while the target's speed is unknown |
//! | prompt length and longest acceptable pause | prefill of a long prompt stalls the target's other streams, so a slow target is unsuitable for it |
//! | slots of the target | number of requests that it runs concurrently |
//! | whether rendezvous hashing assigns the prompt's prefix to the target | computing the prefix again costs time |
//! | recent failures | a failing target backs off |
//! | speed of the target, expected work, time left | a request that would miss its deadline there goes to a faster target |

use super::dialect::PromptPart;
use crate::{derives::record, target_pace::TargetSpeed, units::*};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Assumed time to first event of a target without measurements: short, so that new
/// targets receive requests.
const DEFAULT_FIRST_EVENT_MS: u64 = 50;
/// Maximum share of the time to first event that a cached prefix saves.
const MAX_PREFIX_SAVING_PERCENT: u64 = 40;
/// Share of the longest acceptable pause that prefill may take; the rest is left for the
/// events themselves.
pub const MAX_PREFILL_PERCENT: u64 = 75;
/// Prompt length at which the speeds of targets are compared.
const REFERENCE_PROMPT_TOKENS: u64 = 1000;
/// Expected extra latency of a target in another failure domain: about one round trip.
const CROSS_DOMAIN_MICROS: u64 = 2000;

record! {
    /// A target that may receive the request, with its load and speed.
    pub struct Candidate {
        /// Name of the target.
        pub name: TargetName,
        /// Number of requests of this gateway in progress at the target.
        pub in_progress: u64,
        /// Maximum number of requests that the target runs concurrently.
        pub slots: u64,
        /// Queueing delay reported by the target's agent; 0 if unknown.
        pub wait_ms: u64,
        /// Average of recent times to first event; `None` if unknown.
        pub first_ms: Option<u64>,
        /// Measured speed of the target.
        #[serde(rename = "pace")]
        pub speed: TargetSpeed,
        /// Whether the target is in the gateway's failure domain.
        pub is_near: bool,
        /// Whether the target is still slow after its start.
        pub warming_up: bool,
    }

    /// Conditions that exclude a target from the selection.
    #[derive(Copy, Default)]
    #[allow(clippy::struct_excessive_bools)]
    pub struct Exclusions {
        /// An earlier attempt of the request went to the target.
        pub is_tried: bool,
        /// The target failed or was full recently.
        #[serde(rename = "rests")]
        pub is_backing_off: bool,
        /// Another target answers at the target's address.
        pub is_replaced: bool,
        /// The target reported that it is draining or asked for a pause.
        pub is_closed: bool,
    }

    /// Size of the request and its time limits.
    #[derive(Copy, Default)]
    pub struct RequestProfile {
        /// Expected work; see [`crate::grants::work_units`].
        pub work_units: u64,
        /// Number of prompt tokens.
        pub prompt_tokens: u64,
        /// Longest pause between events that still meets the objective; 0 if there is no
        /// limit.
        pub pause_ms: u64,
        /// Time until the caller's deadline for the complete response.
        pub left_ms: u64,
    }

    /// The shared prefix of the request's prompt.
    #[derive(Copy, Default)]
    pub struct Prefix {
        /// Id of the longest prefix that other requests share.
        pub id: Option<u64>,
        /// Length of the prefix as a percentage of the prompt.
        pub percent: u64,
    }
}

impl Prefix {
    /// Returns the prefix that a prompt with these parts shares: all but the last one.
    pub fn of(parts: &[PromptPart]) -> Self {
        let total: u128 = parts.iter().map(|part| u128::from(part.tokens)).sum();
        match parts {
            [.., shared, own] if total > 0 => Self {
                id: Some(shared.id.0),
                percent: 100 - (u128::from(own.tokens) * 100 / total) as u64,
            },
            _ => Self::default(),
        }
    }
}

/// Returns the positions of the targets that may receive the request. Targets that back off
/// are included only if there are no others; tried, replaced and closed ones never.
pub fn eligible(exclusions: &[Exclusions]) -> Vec<usize> {
    let is_open =
        |target: &Exclusions| !target.is_tried && !target.is_replaced && !target.is_closed;
    let positions = 0..exclusions.len();
    let (ready, backing_off): (Vec<usize>, Vec<usize>) = positions
        .filter(|position| is_open(&exclusions[*position]))
        .partition(|position| !exclusions[*position].is_backing_off);
    match ready.is_empty() {
        true => backing_off,
        false => ready,
    }
}

/// Counts the suitable targets: those whose prefill of the prompt stalls no other stream for
/// longer than the acceptable pause. If no target is suitable, all count, since none is worse
/// than the others.
pub fn count_suitable(candidates: &[Candidate], profile: RequestProfile) -> usize {
    let suitable = candidates
        .iter()
        .filter(|candidate| is_suitable(candidate, profile));
    match suitable.count() {
        0 => candidates.len(),
        count => count,
    }
}

fn is_suitable(candidate: &Candidate, profile: RequestProfile) -> bool {
    let prefill_micros = candidate
        .speed
        .prefill_micros(profile.prompt_tokens)
        .unwrap_or(0);
    // Milliseconds times percent times 10 are microseconds.
    profile.pause_ms == 0
        || prefill_micros <= profile.pause_ms.saturating_mul(10 * MAX_PREFILL_PERCENT)
}

/// Returns the positions of the targets, suitable ones first, each group by ascending cost.
/// `seed` breaks ties, so that gateways with the same state don't all choose the same target.
pub fn order_by_cost(
    candidates: &[Candidate],
    prefix: Prefix,
    profile: RequestProfile,
    seed: u64,
) -> Vec<usize> {
    let hashed_target = hashed_target(prefix, candidates.iter().map(|candidate| &candidate.name));
    let median = median_speed(candidates);
    let cost = |position: &usize| {
        let candidate = &candidates[*position];
        let is_hashed_target = hashed_target == Some(*position);
        let cached_percent = if is_hashed_target { prefix.percent } else { 0 };
        let idle_micros = idle_first_event_micros(candidate, median, profile, cached_percent);
        (
            !is_suitable(candidate, profile),
            expected_first_event_micros(candidate, idle_micros)
                .saturating_add(deadline_overrun_micros(candidate, profile)),
            hash((seed, position)),
        )
    };
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by_cached_key(cost);
    order
}

/// Returns the position of the target that rendezvous hashing assigns the prefix to.
pub fn hashed_target<'a>(
    prefix: Prefix,
    names: impl Iterator<Item = &'a TargetName>,
) -> Option<usize> {
    let id = prefix.id?;
    let hashed_target = names.enumerate().max_by_key(|(_, name)| hash((id, name)))?;
    Some(hashed_target.0)
}

/// Returns the median of the known speeds, which is assumed for targets without measurements.
/// A faster assumption would send the requests of all gateways to a new target at once.
fn median_speed(candidates: &[Candidate]) -> Option<TargetSpeed> {
    let known = candidates.iter().map(|candidate| candidate.speed);
    let mut known: Vec<TargetSpeed> = known
        .filter(|speed| speed.first_event_micros(0).is_some())
        .collect();
    known.sort_by_key(|speed| speed.first_event_micros(REFERENCE_PROMPT_TOKENS));
    known.get(known.len() / 2).copied()
}

/// Estimates the time to first event on an idle target that has `cached_percent` of the
/// prompt in its cache.
fn idle_first_event_micros(
    candidate: &Candidate,
    median: Option<TargetSpeed>,
    profile: RequestProfile,
    cached_percent: u64,
) -> u64 {
    let prefill_tokens = profile.prompt_tokens.saturating_mul(100 - cached_percent) / 100;
    let measured = candidate.speed.first_event_micros(prefill_tokens);
    let from_median = || median?.first_event_micros(prefill_tokens);
    match measured
        .or_else(from_median)
        .filter(|_| profile.prompt_tokens > 0)
    {
        Some(first_event_micros) => first_event_micros,
        None => {
            let first_ms = candidate.first_ms.unwrap_or(DEFAULT_FIRST_EVENT_MS).max(1);
            let saved_percent = cached_percent * MAX_PREFIX_SAVING_PERCENT / 100;
            first_ms * 1000 * (100 - saved_percent) / 100
        }
    }
}

/// Estimates the time to first event under the target's current load.
fn expected_first_event_micros(candidate: &Candidate, idle_micros: u64) -> u64 {
    let slots = candidate.slots.max(1);
    // The time grows in proportion to the occupied slots and doubles when all are occupied.
    // Requests beyond the slots delay all others, so they count three times.
    let excess = candidate.in_progress.saturating_sub(slots);
    let load_percent = 100 + 100 * candidate.in_progress / slots + 200 * excess / slots;
    // A target that is still warming up counts as half as fast.
    let warmup_percent = if candidate.warming_up { 200 } else { 100 };
    let cross_domain_micros = if candidate.is_near {
        0
    } else {
        CROSS_DOMAIN_MICROS
    };
    let loaded_micros = idle_micros.saturating_mul(load_percent) / 100;
    let loaded_micros = loaded_micros.saturating_mul(warmup_percent) / 100;
    loaded_micros
        .saturating_add(candidate.wait_ms.saturating_mul(1000))
        .saturating_add(cross_domain_micros)
}

/// Estimates by how much the request would exceed its deadline on the target.
fn deadline_overrun_micros(candidate: &Candidate, profile: RequestProfile) -> u64 {
    let unit_micros = candidate.speed.unit_micros.unwrap_or(0);
    let run_micros = unit_micros.saturating_mul(profile.work_units);
    let left_ms = profile.left_ms.saturating_sub(candidate.wait_ms);
    run_micros.saturating_sub(left_ms.saturating_mul(1000))
}

fn hash(parts: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    parts.hash(&mut hasher);
    hasher.finish()
}
