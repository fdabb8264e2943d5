//! Membership of a Raft group: voters, and learners that catch up before they become voters.

use crate::derives::{key, record};
use std::{collections::BTreeSet, fmt};

key! {
    /// Identifies one disk of one control instance. A new disk is a new replica.
    #[derive(Default)]
    pub struct ReplicaId {
        /// Number of the control instance in the settings.
        pub number: u8,
        /// Random number generated when the data folder is first opened.
        pub disk: u64,
    }
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}-{:08x}", self.number, self.disk as u32)
    }
}

record! {
    /// Replicas of the group. The latest membership in the log applies, committed or
    /// not.
    #[derive(Default)]
    pub struct Membership {
        /// Replicas whose votes and acknowledgements count towards a quorum.
        pub voters: BTreeSet<ReplicaId>,
        /// Replicas that receive the log but are not part of any quorum.
        pub learners: BTreeSet<ReplicaId>,
    }

    /// A membership change, of one replica at a time.
    pub enum MembershipChange {
        /// Adds a new replica, which receives the log as a learner.
        AddLearner(ReplicaId),
        /// Makes a learner that has caught up a voter.
        Promote(ReplicaId),
        /// Removes a replica.
        Remove(ReplicaId),
    }
}

impl Membership {
    /// Returns whether there is no voter: the replica does not belong to a group yet.
    pub fn is_empty(&self) -> bool {
        self.voters.is_empty()
    }

    /// Returns whether the replica is a voter or a learner.
    pub fn contains(&self, id: ReplicaId) -> bool {
        self.voters.contains(&id) || self.learners.contains(&id)
    }

    /// All voters and learners except `own`.
    pub fn others(&self, own: ReplicaId) -> Vec<ReplicaId> {
        let all = self.voters.iter().chain(&self.learners);
        all.copied().filter(|id| *id != own).collect()
    }

    /// The membership that results from a change.
    pub fn after(&self, change: &MembershipChange) -> Self {
        let mut next = self.clone();
        match change {
            MembershipChange::AddLearner(id) => {
                next.learners.insert(*id);
            }
            MembershipChange::Promote(id) => {
                next.learners.remove(id);
                next.voters.insert(*id);
            }
            MembershipChange::Remove(id) => {
                next.learners.remove(id);
                next.voters.remove(id);
            }
        }
        next
    }
}
