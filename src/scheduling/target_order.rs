//! Orders the targets of a service by the cost of a run there.
//!
//! For a load of short and long streams on uneven targets: a stream that is likely to miss its
//! deadline on a slow target is worth a wait at a fast one, and short streams leave fast targets to
//! long ones where that costs them little.
//!
//! | input | use |
//! |---|---|
//! | estimated time to first event | cost; what exceeds the objective counts three times |
//! | probability of a missed deadline, time left | a missed deadline costs the caller all of that time |
//! | speed of the target against the median | a stream that is safe on every target pays for using a fast one |
//! | whether the speed is known | some short streams go to targets of unknown speed, and measure them |
//! | prefill of the prompt against the longest acceptable pause | a target whose other streams it would stall is unsuitable |
//! | probability of a missed deadline against that at the best target | a target where the run is likely lost is unsuitable |
//!
//! Unsuitable targets come last, and agents are asked for slots there only once the suitable ones
//! refuse or the objective has passed. Without that rule, a long stream that waits in a queue takes
//! the first slot that any target grants, which is usually one of a slow target.

use super::run_estimate::{AssumedSpeeds, RunEstimate, RunProfile, TargetInputs, miss_per_mille};
use crate::{gateway::placement::MAX_PREFILL_PERCENT, target_pace::TargetSpeed};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Weight of the part of the time to first event that exceeds the objective, beyond the weight of
/// the time itself: a late first event has less than its full value.
const LATE_WEIGHT: u64 = 2;
/// Largest cost of a missed deadline. Requests with a longer time left are not urgent.
const MAX_MISS_MICROS: u64 = 60_000_000;
/// A target is unsuitable if the run misses its deadline there with a higher probability than
/// this, in thousandths, and twice as likely as at the best target: the deadline is then less than
/// 1.7 times the estimate away.
const MAX_MISS_PER_MILLE: u64 = 230;
/// A stream (a request with a prompt) is short if its probability of missing the deadline on the slowest target is at most
/// this, in thousandths.
const SHORT_MISS_PER_MILLE: u64 = 5;
/// Divisor of the time until the objective: the most that a short stream pays for a fast target.
/// An eighth leaves the first event well within the objective.
const RESERVE_DIVISOR: u64 = 8;

/// One in this many short streams goes to a target of unknown speed first, if there is one that
/// reported no wait. Each gateway learns speeds only with its own requests: without this, a
/// gateway with few requests knew a third of the targets after 50 s and lost long streams on
/// them. The others keep all gateways from sending everything to a new target.
const EXPLORING_SHARE: u64 = 2;

/// Targets in the order in which they are asked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetOrder {
    /// Positions of the targets, suitable ones first, each group by ascending cost.
    pub positions: Vec<usize>,
    /// Number of suitable targets.
    pub suitable: usize,
}

#[derive(Clone, Copy)]
struct Ranked {
    stalls_others: bool,
    miss_per_mille: u64,
    cost_micros: u64,
}

impl TargetOrder {
    /// Orders the targets for a request. `seed` breaks ties, so that gateways with the same state
    /// don't all choose the same target.
    pub fn new(targets: &[TargetInputs], run: &RunProfile, seed: u64) -> Self {
        let assumed = AssumedSpeeds::new(targets);
        let median = assumed.median;
        let is_short = run.prompt_tokens > 0
            && assumed
                .slowest_unit_micros
                .is_some_and(|unit_micros| is_safe_at(unit_micros, run));
        let explores = is_short && hash(seed).is_multiple_of(EXPLORING_SHARE);
        let ranked: Vec<Ranked> = targets
            .iter()
            .map(|target| {
                let estimate = RunEstimate::new(target, run, &assumed);
                let is_unknown = target.speed.unit_micros.is_none();
                let reserve_micros = if is_short {
                    reserve_micros(target, run, median)
                } else {
                    0
                };
                Ranked {
                    stalls_others: stalls_others(target, run, median),
                    miss_per_mille: estimate.miss_per_mille,
                    cost_micros: match explores && is_unknown {
                        true => target.wait_ms.saturating_mul(1000),
                        false => cost_micros(&estimate, run).saturating_add(reserve_micros),
                    },
                }
            })
            .collect();
        let best = ranked
            .iter()
            .min_by_key(|target| (target.stalls_others, target.cost_micros));
        let best_miss_per_mille = best.map_or(0, |best| best.miss_per_mille);
        // If every target stalls others, none is worse than another in that.
        let all_stall = ranked.iter().all(|target| target.stalls_others);
        let is_unsuitable = |target: &Ranked| {
            (target.stalls_others && !all_stall)
                || (target.miss_per_mille > MAX_MISS_PER_MILLE
                    && target.miss_per_mille > 2 * best_miss_per_mille)
        };
        let mut positions: Vec<usize> = (0..targets.len()).collect();
        positions.sort_by_cached_key(|position| {
            let target = &ranked[*position];
            let tie = hash((seed, position));
            (is_unsuitable(target), target.cost_micros, tie)
        });
        let suitable = ranked.iter().filter(|target| !is_unsuitable(target));
        Self {
            positions,
            suitable: suitable.count(),
        }
    }

    /// Whether the target at this position is unsuitable.
    pub fn is_unsuitable(&self, position: usize) -> bool {
        !self.positions[..self.suitable].contains(&position)
    }
}

/// The cost of a run: the time to first event, what of it is past the objective, and the time
/// that the caller loses if the deadline is missed.
fn cost_micros(estimate: &RunEstimate, run: &RunProfile) -> u64 {
    let objective_micros = run.objective_left_ms.saturating_mul(1000);
    let late_micros = estimate.first_event_micros.saturating_sub(objective_micros);
    let left_micros = run.left_ms.saturating_mul(1000).min(MAX_MISS_MICROS);
    estimate
        .first_event_micros
        .saturating_add(late_micros.saturating_mul(LATE_WEIGHT))
        .saturating_add(left_micros * estimate.miss_per_mille / 1000)
}

/// Whether a run finishes in time on a target of this speed, unless it is far longer than estimated.
fn is_safe_at(unit_micros: u64, run: &RunProfile) -> bool {
    let run_micros = unit_micros.saturating_mul(run.work_units);
    miss_per_mille(run.left_ms.saturating_mul(1000), run_micros) <= SHORT_MISS_PER_MILLE
}

/// What a short stream pays for a target that is faster than the median: a part of the time until
/// the objective, by how much faster the target is.
fn reserve_micros(target: &TargetInputs, run: &RunProfile, median: TargetSpeed) -> u64 {
    let most_micros = run.objective_left_ms.saturating_mul(1000) / RESERVE_DIVISOR;
    match (target.speed.unit_micros, median.unit_micros) {
        (Some(unit), Some(median)) if unit < median => {
            let reserve = u128::from(most_micros) * u128::from(median - unit) / u128::from(median);
            reserve as u64
        }
        _ => 0,
    }
}

/// Whether the prefill of the prompt stalls the target's other streams for too long.
fn stalls_others(target: &TargetInputs, run: &RunProfile, median: TargetSpeed) -> bool {
    let nanos = target
        .speed
        .prompt_token_nanos
        .or(median.prompt_token_nanos);
    let prefill_micros = nanos.unwrap_or(0).saturating_mul(run.prompt_tokens) / 1000;
    // Milliseconds times percent times 10 are microseconds.
    run.pause_ms > 0 && prefill_micros > run.pause_ms.saturating_mul(10 * MAX_PREFILL_PERCENT)
}

fn hash(parts: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    parts.hash(&mut hasher);
    hasher.finish()
}
