//! Which agents to ask for a place, in which order: pure decisions.

use crate::units::ProcessName;
use std::{
    cmp::Reverse,
    hash::{DefaultHasher, Hash, Hasher},
};

/// Waits that differ by less count as equal.
const EQUAL_WAIT_MS: u64 = 250;

/// How a request is brought to an agent.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum RoutingPolicy {
    /// Places are reserved at several agents; the body goes to the first that
    /// grants one.
    #[default]
    LateBinding,
    /// The baseline: the body goes at once to the less loaded of two agents, by
    /// the load that they last reported.
    PushToLeast,
    /// The baseline: places are reserved at every agent, which makes one queue.
    QueuePerService,
}

impl RoutingPolicy {
    /// How many places a request that waits holds at first.
    pub fn places(self) -> usize {
        match self {
            Self::LateBinding => 3,
            Self::PushToLeast => 1,
            Self::QueuePerService => usize::MAX,
        }
    }

    /// Whether the agent that likely holds the prefix is asked first.
    pub fn follows_prefix(self) -> bool {
        self == Self::LateBinding
    }

    /// Whether the agent grants a place at once, whatever it holds.
    pub fn pushes(self) -> bool {
        self == Self::PushToLeast
    }
}

/// An agent as routing sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its name.
    pub name: ProcessName,
    /// How long this entry's requests lately had to wait there.
    pub wait_ms: u64,
    /// How many requests it held when it last reported; only a push asks.
    pub open_requests: usize,
}

fn hash(parts: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    parts.hash(&mut hasher);
    hasher.finish()
}

/// The order in which to ask. The agent that likely holds the prompt's prefix
/// comes first; the others follow by load. Equals come in an order that every entry
/// draws alike from the prefix, so that a prefix spreads over few agents; without a
/// prefix it is drawn from `seed`.
/// A push takes the less loaded of two agents drawn from `seed`.
pub fn order(
    policy: RoutingPolicy,
    candidates: &[Candidate],
    prefix: Option<u64>,
    seed: u64,
) -> Vec<usize> {
    let drawn = |index: usize| hash((seed, &candidates[index].name));
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    if policy.pushes() {
        order.sort_by_key(|index| drawn(*index));
        order.truncate(2);
        order.sort_by_key(|index| candidates[*index].open_requests);
        return order;
    }
    let drawn_from = prefix.filter(|_| policy.follows_prefix());
    let Some(prefix) = drawn_from else {
        order.sort_by_key(|index| (candidates[*index].wait_ms, drawn(*index)));
        return order;
    };
    order.sort_by_key(|index| Reverse(hash((prefix, &candidates[*index].name))));
    // A stable sort: agents of about the same wait keep the order of the prefix.
    if let Some((_, others)) = order.split_first_mut() {
        others.sort_by_key(|index| candidates[*index].wait_ms / EQUAL_WAIT_MS);
    }
    order
}
