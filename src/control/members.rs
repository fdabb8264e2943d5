//! The registered processes, also called members: the leader's soft state, kept by leases.
//!
//! Not part of the replicated log, and not the membership of the Raft group. Processes register
//! and renew their leases; after a change of leader the table is rebuilt from the next
//! renewals, and readers remove no member until it is complete.

use super::table::{Changes, Position, Table};
use crate::{derives::record, units::*};
use std::collections::BTreeMap;

/// Time that a process remains a member after its last renewal.
pub const MEMBER_LEASE_MS: u64 = 2500;
/// Time until a new leader treats its table as complete.
pub const MEMBERS_REBUILD_MS: u64 = 2500;

record! {
    /// The kind of a process.
    #[derive(Copy, PartialOrd, Ord)]
    pub enum ProcessRole {
        /// Accepts requests from callers and sends them to agents.
        Entry,
        /// Accepts requests from callers and sends them to targets directly.
        Gateway,
        /// Runs as a sidecar of a target.
        Agent,
    }

    /// The state of an agent's target.
    pub struct TargetState {
        /// The service that the target serves.
        pub service: ServiceName,
        /// Whether new requests are refused.
        pub leaving: bool,
    }

    /// A process as published to readers.
    pub struct Member {
        /// Its name.
        pub name: ProcessName,
        /// Its kind.
        pub role: ProcessRole,
        /// The failure domain that it runs in.
        pub failure_domain: FailureDomain,
        /// Identifies its current run.
        pub incarnation: Incarnation,
        /// The address at which entries connect to it.
        pub address: String,
        /// Its target, if it is an agent and the target has announced itself.
        pub target: Option<TargetState>,
    }

    /// The load of a process as of its last renewal.
    #[derive(Default)]
    pub struct ProcessLoad {
        /// Requests in progress.
        pub running: u64,
        /// Queued requests, by tier.
        pub waiting: BTreeMap<TierName, u64>,
    }

    /// A process as reported to operators.
    pub struct ProcessStatus {
        /// The process.
        pub member: Member,
        /// The document that it has in force.
        pub document_version: DocumentVersion,
        /// See [`ProcessLoad`].
        pub load: ProcessLoad,
    }
}

/// A reader's position in the members.
pub type MembersPosition = Position;
/// The changes of the members since a reader's position.
pub type MemberChanges = Changes<ProcessName, Member>;

/// The processes registered with one leader in its term.
#[derive(Default)]
pub struct ProcessTable {
    table: Table<ProcessName, Member>,
    details: BTreeMap<ProcessName, (DocumentVersion, ProcessLoad)>,
}

impl ProcessTable {
    /// Registers a process or renews its lease; returns whether its published state changed.
    pub fn renew(&mut self, status: ProcessStatus, now_ms: u64) -> bool {
        let name = status.member.name.clone();
        let details = (status.document_version, status.load);
        self.details.insert(name.clone(), details);
        self.table.put(name, status.member, now_ms)
    }

    /// Removes a process that deregisters.
    pub fn remove(&mut self, name: &ProcessName) {
        self.details.remove(name);
        self.table.remove(name);
    }

    /// Removes processes with an expired lease; returns their names.
    pub fn expire(&mut self, now_ms: u64) -> Vec<ProcessName> {
        let expired = self.table.expire(MEMBER_LEASE_MS, now_ms);
        for name in &expired {
            self.details.remove(name);
        }
        expired
    }

    /// The changes since an entry's position; contains only agents.
    pub fn changes(
        &self,
        seen: Option<&MembersPosition>,
        epoch: (FencingNumber, bool),
    ) -> Option<MemberChanges> {
        let is_agent = |member: &Member| member.role == ProcessRole::Agent;
        self.table.changes(seen, epoch, is_agent)
    }

    /// Names of the processes with a role.
    pub fn names(&self, role: ProcessRole) -> Vec<ProcessName> {
        let members = self.table.values().filter(|member| member.role == role);
        members.map(|member| member.name.clone()).collect()
    }

    /// Number of processes with a role.
    pub fn count(&self, role: ProcessRole) -> usize {
        let members = self.table.values();
        members.filter(|member| member.role == role).count()
    }

    /// The status of every process, as of its last renewal.
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
