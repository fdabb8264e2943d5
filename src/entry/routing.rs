//! Routing: chooses the agents to ask for a slot and their order.

use crate::units::ProcessName;
use std::{
    cmp::Reverse,
    hash::{DefaultHasher, Hash, Hasher},
};

/// Width of the wait buckets of prefix-aware routing. Without a prefix, waits are compared
/// exactly.
const WAIT_BUCKET_MS: u64 = 250;

/// How requests are assigned to agents.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum RoutingPolicy {
    /// Reserves slots at several agents and sends the body to the first that grants one.
    #[default]
    LateBinding,
    /// Baseline: power of two choices. Sends the body at once to the less loaded of two
    /// random agents, by their last reported load.
    PushToLeast,
    /// Baseline: reserves a slot at every agent, which amounts to one queue per service.
    QueuePerService,
}

impl RoutingPolicy {
    /// Number of reservations up to which a waiting request asks further agents. If there are
    /// fewer agents, all of them are asked at once.
    pub fn min_reservations_when_waiting(self) -> usize {
        match self {
            Self::LateBinding => 3,
            Self::PushToLeast => 1,
            Self::QueuePerService => usize::MAX,
        }
    }

    /// Whether the agent that likely has the prompt prefix cached is asked first.
    pub fn is_prefix_aware(self) -> bool {
        self == Self::LateBinding
    }

    /// Whether agents grant a slot at once, regardless of their load.
    pub fn is_push(self) -> bool {
        self == Self::PushToLeast
    }
}

/// The routing input for one agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The agent's name.
    pub name: ProcessName,
    /// The wait last reported to this entry; 0 if the report has expired.
    pub wait_ms: u64,
    /// Requests that the agent last reported as open; used only by push policies.
    pub open_requests: usize,
}

fn hash(parts: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    parts.hash(&mut hasher);
    hasher.finish()
}

/// Returns the indices of the candidates in the order in which to ask them.
///
/// If the policy is prefix-aware and there is a prompt prefix, the agent that likely has it
/// cached comes first, by rendezvous hashing, and the others follow by wait bucket. Within a
/// bucket they keep their rendezvous order, so that all entries agree and a prefix spreads
/// over few agents. Otherwise agents are ordered by wait, and ties are broken by `seed`.
/// A push policy returns two candidates picked by `seed`, the less loaded one first.
pub fn order_agents(
    policy: RoutingPolicy,
    candidates: &[Candidate],
    prefix_hash: Option<u64>,
    seed: u64,
) -> Vec<usize> {
    let seeded_hash = |index: usize| hash((seed, &candidates[index].name));
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    if policy.is_push() {
        order.sort_by_key(|index| seeded_hash(*index));
        order.truncate(2);
        order.sort_by_key(|index| candidates[*index].open_requests);
        return order;
    }
    let affinity_hash = prefix_hash.filter(|_| policy.is_prefix_aware());
    let Some(prefix_hash) = affinity_hash else {
        order.sort_by_key(|index| (candidates[*index].wait_ms, seeded_hash(*index)));
        return order;
    };
    order.sort_by_key(|index| Reverse(hash((prefix_hash, &candidates[*index].name))));
    // The sort is stable: agents in the same bucket keep their rendezvous order.
    if let Some((_, others)) = order.split_first_mut() {
        others.sort_by_key(|index| candidates[*index].wait_ms / WAIT_BUCKET_MS);
    }
    order
}
