//! The rules that the model check breaks one by one to show that it sees it.

use super::{Membership, ReplicaId, Term};
use std::collections::BTreeSet;

/// The safety rules of the step function. [`Sound`] is the only one that ships.
pub trait Rules {
    /// The most entries in one append.
    fn append_entries() -> usize {
        512
    }

    /// The replicas whose acknowledgements count towards a commit.
    fn counted(membership: &Membership) -> BTreeSet<ReplicaId> {
        membership.voters.clone()
    }

    /// Whether a leader may commit an entry of `entry_term` by counting replicas.
    fn commits_by_count(entry_term: Term, leader_term: Term) -> bool {
        entry_term == leader_term
    }

    /// Whether a replica that has heard from a leader lately refuses votes.
    fn votes_wait_for_lease() -> bool {
        true
    }

    /// Whether a learner has caught up enough to count.
    fn learner_caught_up(match_index: super::LogIndex, commit_index: super::LogIndex) -> bool {
        match_index >= commit_index
    }
}

/// The rules as shipped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Sound;

impl Rules for Sound {}
