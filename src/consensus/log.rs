//! The log held in memory: a snapshot and the entries after it.

use super::Membership;
use crate::derives::{quantity, record};
use bytes::Bytes;

quantity! {
    /// The position of an entry, from 1; 0 stands before the first.
    LogIndex(u64)
}
quantity! {
    /// The number of a leadership.
    Term(u64)
}

record! {
    /// What an entry holds.
    pub enum Payload {
        /// Appended by each new leader, so that it can commit in its own term.
        Noop,
        /// The membership from this entry on.
        Membership(Membership),
        /// A command of the state machine.
        Command(Bytes),
    }

    /// One entry of the log.
    pub struct Entry {
        /// Its position.
        pub index: LogIndex,
        /// The term of the leader that appended it.
        pub term: Term,
        /// What it holds.
        pub payload: Payload,
    }

    /// What a replica must not forget besides its log.
    #[derive(Default)]
    pub struct HardState {
        /// The latest term seen.
        pub term: Term,
        /// Whom it voted for in that term.
        pub voted_for: Option<super::ReplicaId>,
    }

    /// The state machine at one index, in place of the entries up to it.
    #[derive(Default)]
    pub struct Snapshot {
        /// The last index covered.
        pub index: LogIndex,
        /// The term of that entry.
        pub term: Term,
        /// The membership at that index.
        pub membership: Membership,
        /// The encoded state machine.
        pub state: Bytes,
    }

    /// A snapshot and the entries after it.
    #[derive(Default)]
    pub struct Log {
        /// Covers everything before `entries`.
        pub snapshot: Snapshot,
        /// The entries after the snapshot, without gaps.
        pub entries: Vec<Entry>,
    }
}

impl LogIndex {
    /// The next position.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// The position before, or 0.
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
    /// The position of the last entry, or of the snapshot.
    pub fn last_index(&self) -> LogIndex {
        self.entries
            .last()
            .map_or(self.snapshot.index, |entry| entry.index)
    }

    /// The term of the last entry, or of the snapshot.
    pub fn last_term(&self) -> Term {
        self.entries
            .last()
            .map_or(self.snapshot.term, |entry| entry.term)
    }

    /// The term at a position; `None` if it is past the end or compacted away.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// The entry at a position.
    pub fn get(&self, index: LogIndex) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.snapshot.index.0 + 1)?;
        self.entries.get(offset as usize)
    }

    /// At most `limit` entries from a position on.
    pub fn slice(&self, from: LogIndex, limit: usize) -> Vec<Entry> {
        let offset = from.0.saturating_sub(self.snapshot.index.0 + 1) as usize;
        self.entries
            .iter()
            .skip(offset)
            .take(limit)
            .cloned()
            .collect()
    }

    /// Drops the entries after a position.
    pub fn truncate_after(&mut self, index: LogIndex) {
        self.entries
            .truncate(index.0.saturating_sub(self.snapshot.index.0) as usize);
    }

    /// Replaces the entries up to the snapshot's index by the snapshot.
    pub fn compact(&mut self, snapshot: Snapshot) {
        self.entries.retain(|entry| entry.index > snapshot.index);
        self.snapshot = snapshot;
    }

    /// The latest membership, and its position.
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
