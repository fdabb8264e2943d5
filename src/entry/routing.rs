//! Which agents to ask for a place, in which order: pure decisions.

use crate::units::ProcessName;
use std::hash::{DefaultHasher, Hash, Hasher};

/// How many places a request that waits holds at one time.
pub const PLACES: usize = 3;

/// An agent as routing sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its name.
    pub name: ProcessName,
    /// How long this entry's requests lately had to wait there.
    pub wait_ms: u64,
    /// How many requests of this entry hold or await a place there.
    pub open_requests: usize,
}

fn hash(parts: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    parts.hash(&mut hasher);
    hasher.finish()
}

/// The order in which to ask. The agent that likely holds the prompt's prefix
/// comes first; the others follow by load, equals in an order drawn from `seed`.
pub fn order(candidates: &[Candidate], prefix: Option<u64>, seed: u64) -> Vec<usize> {
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by_key(|index| {
        let candidate = &candidates[*index];
        (
            candidate.wait_ms,
            candidate.open_requests,
            hash((seed, &candidate.name)),
        )
    });
    let holder = prefix.and_then(|prefix| {
        (0..candidates.len()).max_by_key(|index| hash((prefix, &candidates[*index].name)))
    });
    if let Some(holder) = holder {
        order.retain(|index| *index != holder);
        order.insert(0, holder);
    }
    order
}
