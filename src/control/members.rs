//! Soft state of the leader: which processes are there, and in which state.
//!
//! Nothing here is logged. Processes announce themselves and renew; after a
//! change of leader the table is rebuilt from the next renewals, and readers
//! drop nobody until it has settled.

use super::table::{Changes, Seen, Table};
use crate::{derives::record, units::*};
use std::collections::BTreeMap;

/// How long a process stays a member after its last renewal.
pub const MEMBER_LEASE_MS: u64 = 2500;
/// How long a new leader's table is incomplete.
pub const SETTLING_MS: u64 = 2500;

record! {
    /// What a process is.
    #[derive(Copy, PartialOrd, Ord)]
    pub enum ProcessRole {
        /// Takes requests from callers and sends them to agents.
        Entry,
        /// Takes requests from callers and sends them to targets itself.
        Gateway,
        /// Runs beside a target.
        Agent,
    }

    /// What an agent says of its target.
    pub struct TargetState {
        /// The service that the target serves.
        pub service: ServiceName,
        /// Whether new work is refused.
        pub leaving: bool,
    }

    /// One process, as readers see it.
    pub struct Member {
        /// Its name.
        pub name: ProcessName,
        /// What it is.
        pub role: ProcessRole,
        /// The failure domain that it runs in.
        pub failure_domain: FailureDomain,
        /// Its run.
        pub incarnation: Incarnation,
        /// Where entries reach it.
        pub address: String,
        /// Its target, if it is an agent and the target has announced itself.
        pub target: Option<TargetState>,
    }

    /// What a process had in progress when it last renewed.
    #[derive(Default)]
    pub struct ProcessLoad {
        /// Requests in progress.
        pub running: u64,
        /// Requests that wait, by tier.
        pub waiting: BTreeMap<TierName, u64>,
    }

    /// A process as operators see it.
    pub struct ProcessStatus {
        /// The process.
        pub member: Member,
        /// The document that it has in force.
        pub document_version: DocumentVersion,
        /// See [`ProcessLoad`].
        pub load: ProcessLoad,
    }
}

/// How far a reader has followed the members.
pub type MembersSeen = Seen;
/// What a reader lacks of the members.
pub type MemberChanges = Changes<ProcessName, Member>;

/// The processes of one leadership.
#[derive(Default)]
pub struct Members {
    table: Table<ProcessName, Member>,
    details: BTreeMap<ProcessName, (DocumentVersion, ProcessLoad)>,
}

impl Members {
    /// Takes a renewal; returns whether readers see a difference.
    pub fn renew(&mut self, status: ProcessStatus, now_ms: u64) -> bool {
        let name = status.member.name.clone();
        let details = (status.document_version, status.load);
        self.details.insert(name.clone(), details);
        self.table.put(name, status.member, now_ms)
    }

    /// Removes a process that says goodbye.
    pub fn remove(&mut self, name: &ProcessName) {
        self.details.remove(name);
        self.table.remove(name);
    }

    /// Removes those whose lease has run out; returns their names.
    pub fn expire(&mut self, now_ms: u64) -> Vec<ProcessName> {
        let gone = self.table.expire(MEMBER_LEASE_MS, now_ms);
        for name in &gone {
            self.details.remove(name);
        }
        gone
    }

    /// What an entry lacks: agents with a target.
    pub fn changes(
        &self,
        seen: Option<&MembersSeen>,
        epoch: (FencingNumber, bool),
    ) -> Option<MemberChanges> {
        let routable = |member: &Member| member.role == ProcessRole::Agent;
        self.table.changes(seen, epoch, routable)
    }

    /// How many processes of a role there are.
    pub fn count(&self, role: ProcessRole) -> usize {
        let members = self.table.values();
        members.filter(|member| member.role == role).count()
    }

    /// Every process, as of its last renewal.
    pub fn statuses(&self) -> Vec<ProcessStatus> {
        let status = |member: &Member| {
            let details = self.details.get(&member.name).cloned();
            let (document_version, load) = details.unwrap_or_default();
            ProcessStatus {
                member: member.clone(),
                document_version,
                load,
            }
        };
        self.table.values().map(status).collect()
    }
}
