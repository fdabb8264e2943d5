//! Rules of the protocol, as a trait, so that the model check can break each safety rule
//! in turn and prove that it detects the violation.

use super::{Membership, ReplicaId, Term};
use std::collections::BTreeSet;

/// Rules of [`Core::step`](super::Core::step): the safety rules, and the size of an append.
/// Only [`ProductionRules`] is used in production.
pub trait Rules {
    /// Maximum number of entries in one append.
    fn max_append_entries() -> usize {
        512
    }

    /// Replicas whose acknowledgements count towards a commit.
    fn commit_voters(membership: &Membership) -> BTreeSet<ReplicaId> {
        membership.voters.clone()
    }

    /// Returns whether a leader may commit an entry of `entry_term` by counting
    /// replicas. An entry of an older term could still be overwritten.
    fn may_commit_by_counting(entry_term: Term, leader_term: Term) -> bool {
        entry_term == leader_term
    }

    /// Returns whether a replica refuses votes while a lease that it acknowledged may
    /// still be held.
    fn withholds_votes_during_lease() -> bool {
        true
    }

    /// Returns whether a learner holds enough of the log to become a voter.
    fn is_caught_up(match_index: super::LogIndex, commit_index: super::LogIndex) -> bool {
        match_index >= commit_index
    }
}

/// The rules used in production.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct ProductionRules;

impl Rules for ProductionRules {}
