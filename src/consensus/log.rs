//! In-memory log: a snapshot and the entries after it.

use super::Membership;
use crate::derives::{quantity, record};
use bytes::Bytes;

quantity! {
    /// Index of a log entry, from 1; 0 is the index before the first entry.
    LogIndex(u64)
}
quantity! {
    /// Number of an election term; each term has at most one leader.
    Term(u64)
}

record! {
    /// Content of an entry.
    pub enum Payload {
        /// Appended by each new leader, so that it can commit an entry of its own term.
        Noop,
        /// Membership that applies from this entry on.
        Membership(Membership),
        /// Encoded command for the state machine.
        Command(Bytes),
    }

    /// One entry of the log.
    pub struct Entry {
        /// Position in the log.
        pub index: LogIndex,
        /// Term of the leader that appended the entry.
        pub term: Term,
        /// Content of the entry.
        pub payload: Payload,
    }

    /// Durable state of a replica besides its log, as Raft defines it.
    #[derive(Default)]
    pub struct HardState {
        /// Latest term seen.
        pub term: Term,
        /// Candidate that received this replica's vote in that term.
        pub voted_for: Option<super::ReplicaId>,
    }

    /// State machine at one index; replaces the entries up to that index.
    #[derive(Default)]
    pub struct Snapshot {
        /// Last index covered.
        pub index: LogIndex,
        /// Term of the entry at that index.
        pub term: Term,
        /// Membership at that index.
        pub membership: Membership,
        /// Encoded state machine.
        pub state: Bytes,
    }

    /// A snapshot and the entries after it.
    #[derive(Default)]
    pub struct Log {
        /// Covers everything before `entries`.
        pub snapshot: Snapshot,
        /// Entries after the snapshot, without gaps.
        pub entries: Vec<Entry>,
    }
}

impl LogIndex {
    /// The next index.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// The previous index; 0 has none and returns itself.
    pub fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

impl Term {
    /// The next term.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Log {
    /// Index of the last entry, or of the snapshot if there are no entries.
    pub fn last_index(&self) -> LogIndex {
        self.entries
            .last()
            .map_or(self.snapshot.index, |entry| entry.index)
    }

    /// Term of the last entry, or of the snapshot if there are no entries.
    pub fn last_term(&self) -> Term {
        self.entries
            .last()
            .map_or(self.snapshot.term, |entry| entry.term)
    }

    /// Term at an index; `None` if the index is past the end or compacted.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Entry at an index; `None` if the index is past the end or compacted.
    pub fn get(&self, index: LogIndex) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.snapshot.index.0 + 1)?;
        self.entries.get(offset as usize)
    }

    /// Up to `limit` entries, starting at an index.
    pub fn slice(&self, from: LogIndex, limit: usize) -> Vec<Entry> {
        let offset = from.0.saturating_sub(self.snapshot.index.0 + 1) as usize;
        self.entries
            .iter()
            .skip(offset)
            .take(limit)
            .cloned()
            .collect()
    }

    /// Drops the entries after an index.
    pub fn truncate_after(&mut self, index: LogIndex) {
        self.entries
            .truncate(index.0.saturating_sub(self.snapshot.index.0) as usize);
    }

    /// Replaces the entries up to the snapshot's index by the snapshot.
    pub fn compact(&mut self, snapshot: Snapshot) {
        self.entries.retain(|entry| entry.index > snapshot.index);
        self.snapshot = snapshot;
    }

    /// The latest membership and its index, committed or not.
    pub fn membership(&self) -> (LogIndex, &Membership) {
        let last = self
            .entries
            .iter()
            .rev()
            .find_map(|entry| match &entry.payload {
                Payload::Membership(membership) => Some((entry.index, membership)),
                _ => None,
            });
        last.unwrap_or((self.snapshot.index, &self.snapshot.membership))
    }
}
