//! Who keeps the log: voters, and learners that catch up before they count.

use crate::derives::{key, record};
use std::{collections::BTreeSet, fmt};

key! {
    /// One disk of one control instance. A new disk is a new replica.
    pub struct ReplicaId {
        /// The number of the control instance in the settings.
        pub number: u8,
        /// Drawn when the data folder was first opened.
        pub disk: u64,
    }
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}-{:08x}", self.number, self.disk as u32)
    }
}

record! {
    /// The replicas in force; the latest one in the log counts, committed or not.
    #[derive(Default)]
    pub struct Membership {
        /// Replicas whose votes and acknowledgements count.
        pub voters: BTreeSet<ReplicaId>,
        /// Replicas that receive the log and do not count.
        pub learners: BTreeSet<ReplicaId>,
    }

    /// One step of a membership change.
    pub enum MembershipChange {
        /// Starts to send the log to a new replica.
        AddLearner(ReplicaId),
        /// Lets a learner count that has caught up.
        Promote(ReplicaId),
        /// Drops a replica.
        Remove(ReplicaId),
    }
}

impl Membership {
    /// Whether there is no replica at all: the replica belongs to no group yet.
    pub fn is_empty(&self) -> bool {
        self.voters.is_empty()
    }

    /// Whether the replica is a voter or a learner.
    pub fn contains(&self, id: ReplicaId) -> bool {
        self.voters.contains(&id) || self.learners.contains(&id)
    }

    /// All replicas but `own`.
    pub fn others(&self, own: ReplicaId) -> Vec<ReplicaId> {
        let all = self.voters.iter().chain(&self.learners);
        all.copied().filter(|id| *id != own).collect()
    }

    /// The membership after one change.
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
