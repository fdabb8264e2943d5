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
    member: Member,
    revision: u64,
    renewed_ms: u64,
    document_version: DocumentVersion,
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
    pub fn renew(&mut self, member: Member, version: DocumentVersion, now_ms: u64) -> bool {
        let known = self.rows.get_mut(&member.name);
        match known {
            Some(row) if row.member == member => {
                row.renewed_ms = now_ms;
                row.document_version = version;
                false
            }
            _ => {
                self.revision += 1;
                let name = member.name.clone();
                let revision = self.revision;
                let row = Row {
                    member,
                    revision,
                    renewed_ms: now_ms,
                    document_version: version,
                };
                self.rows.insert(name, row);
                true
            }
        }
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
            .map(|row| row.member.name.clone())
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
        let is_routable = |row: &&Row| row.member.role == ProcessRole::Agent;
        let newer = self
            .rows
            .values()
            .filter(is_routable)
            .filter(|row| row.revision > revision);
        let present = newer.map(|row| row.member.clone()).collect();
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

    /// Every process and the version that it has in force.
    pub fn versions(&self) -> Vec<(Member, DocumentVersion)> {
        self.rows
            .values()
            .map(|row| (row.member.clone(), row.document_version))
            .collect()
    }
}
