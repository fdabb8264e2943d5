//! Which target of a service gets a request: a pure decision.
//!
//! | input | use |
//! |---|---|
//! | own requests in progress there | the wait that this gateway adds itself |
//! | the wait that its agent told lately | the wait that all requests have there |
//! | the time to the first event of late | the wait that others cause, and the target's pace |
//! | the target's slots | how much fits at one time |
//! | whether the prompt's prefix belongs there | computing it again costs time |
//! | failures of late | a target that fails is left alone for a while |
//! | the target's pace, the expected work, the time left | what would not end in time there goes to a faster one |
//!
//! The output is the order of the targets by the expected time to the first event.

use crate::{derives::record, units::*};
use std::hash::{DefaultHasher, Hash, Hasher};

/// The time to the first event of a target that is not known yet: short, so that new
/// targets are tried.
const UNKNOWN_FIRST_MS: u64 = 50;
/// How much of the expected time a prompt's cached prefix saves at most, in percent.
const PREFIX_PERCENT: u64 = 40;
/// What crossing failure domains costs, as an expected time: about a round trip.
const CROSSING_MICROS: u64 = 2000;

record! {
    /// A target as this decision sees it.
    pub struct Candidate {
        /// Its name.
        pub name: TargetName,
        /// Requests of this gateway in progress there.
        pub in_progress: u64,
        /// How many requests it runs at one time.
        pub slots: u64,
        /// How long its agent said that requests wait; 0 if not known.
        pub wait_ms: u64,
        /// How long first events of late took; `None` if not known.
        pub first_ms: Option<u64>,
        /// The time for one unit of work there, in microseconds; `None` if not known.
        pub unit_micros: Option<u64>,
        /// Whether it is in the gateway's failure domain.
        pub is_near: bool,
        /// Whether it is still slow after its start.
        pub warming_up: bool,
    }

    /// Whether a target may get a request at all.
    #[derive(Copy, Default)]
    #[allow(clippy::struct_excessive_bools)]
    pub struct Standing {
        /// The request was sent there before.
        pub is_tried: bool,
        /// It failed or was full of late.
        pub rests: bool,
        /// Another target answers at its address.
        pub is_replaced: bool,
        /// It said that it leaves, or that it wants nothing at present.
        pub is_closed: bool,
    }

    /// How long the request runs, as this decision sees it.
    #[derive(Copy, Default)]
    pub struct Run {
        /// How much work it is; see [`crate::grants::work_units`].
        pub work_units: u64,
        /// How long its caller still waits for the whole answer.
        pub left_ms: u64,
    }

    /// The prompt as this decision sees it.
    #[derive(Copy, Default)]
    pub struct Prefix {
        /// Identifies the longest part that other requests share.
        pub id: Option<u64>,
        /// How much of the prompt that is, in percent.
        pub percent: u64,
    }
}

/// The positions of the targets that may get a request: those that rest only if there are no
/// others, replaced and closed ones never.
pub fn usable(standings: &[Standing]) -> Vec<usize> {
    let open =
        |standing: &Standing| !standing.is_tried && !standing.is_replaced && !standing.is_closed;
    let positions = 0..standings.len();
    let (rested, resting): (Vec<usize>, Vec<usize>) = positions
        .filter(|position| open(&standings[*position]))
        .partition(|position| !standings[*position].rests);
    match rested.is_empty() {
        true => resting,
        false => rested,
    }
}

/// The positions of the targets, best first. `seed` breaks ties, so that gateways that know
/// the same do not all choose the same.
pub fn order(candidates: &[Candidate], prefix: Prefix, run: Run, seed: u64) -> Vec<usize> {
    let holder = prefix.id.and_then(|id| {
        let by_hash = |candidate: &&Candidate| hash((id, &candidate.name));
        let holder = candidates.iter().max_by_key(by_hash)?;
        Some(holder.name.clone())
    });
    let cost = |position: &usize| {
        let candidate = &candidates[*position];
        let holds = holder.as_ref() == Some(&candidate.name);
        let saved = if holds {
            prefix.percent * PREFIX_PERCENT / 100
        } else {
            0
        };
        (
            expected_micros(candidate) * (100 - saved) / 100 + over_micros(candidate, run),
            hash((seed, position)),
        )
    };
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by_cached_key(cost);
    order
}

/// How long the first event is expected to take.
fn expected_micros(candidate: &Candidate) -> u64 {
    let first_ms = candidate.first_ms.unwrap_or(UNKNOWN_FIRST_MS).max(1);
    let slots = candidate.slots.max(1);
    // Each own request in progress adds its part of a slot; beyond the slots, all wait.
    let over = candidate.in_progress.saturating_sub(slots);
    let load_percent = 100 + 100 * candidate.in_progress / slots + 200 * over / slots;
    let warm_percent = if candidate.warming_up { 200 } else { 100 };
    let crossing_micros = if candidate.is_near {
        0
    } else {
        CROSSING_MICROS
    };
    let run_micros = first_ms * 1000 * load_percent / 100 * warm_percent / 100;
    run_micros + candidate.wait_ms * 1000 + crossing_micros
}

/// How much longer than its caller waits the request is expected to run there.
fn over_micros(candidate: &Candidate, run: Run) -> u64 {
    let run_micros = candidate.unit_micros.unwrap_or(0) * run.work_units;
    let left_ms = run.left_ms.saturating_sub(candidate.wait_ms);
    run_micros.saturating_sub(left_ms * 1000)
}

fn hash(parts: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    parts.hash(&mut hasher);
    hasher.finish()
}
