//! Soft state of the leader: which processes are there, and in which state.
//!
//! Nothing here is logged. Processes announce themselves and renew; after a
//! change of leader the table is rebuilt from the next renewals, and readers
//! drop nobody until it has settled.

use crate::{derives::record, units::*};
use std::collections::{BTreeMap, VecDeque};

/// How long a process stays a member after its last renewal.
pub const MEMBER_LEASE_MS: u64 = 2500;
/// How long a new leader's table is incomplete.
pub const SETTLING_MS: u64 = 2500;
/// How many removals are kept for readers that are behind.
const REMEMBERED_REMOVALS: usize = 4096;

record! {
    /// What a process is.
    #[derive(Copy, PartialOrd, Ord)]
    pub enum ProcessRole {
        /// Takes requests from callers.
        Entry,
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

    /// How far a reader has followed a table.
    pub struct MembersSeen {
        /// The leader's term, and whether its table had settled.
        pub epoch: (FencingNumber, bool),
        /// The last revision seen.
        pub revision: u64,
    }

    /// What a reader lacks.
    pub struct MemberChanges {
        /// How far the reader has followed after this.
        pub seen: MembersSeen,
        /// Whether `present` is the whole table.
        pub whole: bool,
        /// New and changed members.
        pub present: Vec<Member>,
        /// Members that are gone.
        pub removed: Vec<ProcessName>,
    }
}

struct Row {
    status: ProcessStatus,
    revision: u64,
    renewed_ms: u64,
}

/// The table of one leadership.
#[derive(Default)]
pub struct Members {
    rows: BTreeMap<ProcessName, Row>,
    removals: VecDeque<(u64, ProcessName)>,
    forgotten_revision: u64,
    revision: u64,
}

impl Members {
    /// Takes a renewal; returns whether readers see a difference.
    pub fn renew(&mut self, status: ProcessStatus, now_ms: u64) -> bool {
        let known = self.rows.get(&status.member.name);
        let same = known.filter(|row| row.status.member == status.member);
        let revision = same.map_or(self.revision + 1, |row| row.revision);
        let is_news = same.is_none();
        self.revision = self.revision.max(revision);
        let row = Row {
            status,
            revision,
            renewed_ms: now_ms,
        };
        self.rows.insert(row.status.member.name.clone(), row);
        is_news
    }

    /// Removes a process that says goodbye.
    pub fn remove(&mut self, name: &ProcessName) {
        if self.rows.remove(name).is_some() {
            self.revision += 1;
            self.removals.push_back((self.revision, name.clone()));
        }
        while self.removals.len() > REMEMBERED_REMOVALS {
            let forgotten = self.removals.pop_front();
            self.forgotten_revision = forgotten.map_or(0, |(revision, _)| revision);
        }
    }

    /// Removes those whose lease has run out; returns their names.
    pub fn expire(&mut self, now_ms: u64) -> Vec<ProcessName> {
        let lapsed = |row: &Row| now_ms > row.renewed_ms + MEMBER_LEASE_MS;
        let gone: Vec<ProcessName> = self
            .rows
            .values()
            .filter(|row| lapsed(row))
            .map(|row| row.status.member.name.clone())
            .collect();
        for name in &gone {
            self.remove(name);
        }
        gone
    }

    /// What an entry lacks: agents with a target.
    pub fn changes(
        &self,
        seen: Option<&MembersSeen>,
        epoch: (FencingNumber, bool),
    ) -> Option<MemberChanges> {
        let since =
            seen.filter(|seen| seen.epoch == epoch && seen.revision >= self.forgotten_revision);
        let revision = since.map_or(0, |seen| seen.revision);
        if since.is_some() && revision == self.revision {
            return None;
        }
        let is_routable = |row: &&Row| row.status.member.role == ProcessRole::Agent;
        let newer = self
            .rows
            .values()
            .filter(is_routable)
            .filter(|row| row.revision > revision);
        let present = newer.map(|row| row.status.member.clone()).collect();
        let removed = self.removals.iter().filter(|(at, _)| *at > revision);
        let removed = removed
            .map(|(_, name)| name.clone())
            .filter(|name| !self.rows.contains_key(name))
            .collect();
        let seen = MembersSeen {
            epoch,
            revision: self.revision,
        };
        Some(MemberChanges {
            seen,
            whole: since.is_none(),
            present,
            removed,
        })
    }

    /// Every process, as of its last renewal.
    pub fn statuses(&self) -> Vec<ProcessStatus> {
        self.rows.values().map(|row| row.status.clone()).collect()
    }
}
