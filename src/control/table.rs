//! A revisioned table of leased rows, from which readers fetch incremental changes.

use crate::{derives::record, units::FencingNumber};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of removals kept for readers that lag behind; older readers are sent the
/// whole table.
const MAX_REMOVALS: usize = 4096;

record! {
    /// A reader's position in a table.
    #[derive(Default)]
    pub struct Position {
        /// The leader's term, and whether its table was complete: whether the leader had given all
        /// processes or targets the time to register again after its election.
        pub epoch: (FencingNumber, bool),
        /// The last revision seen.
        pub revision: u64,
    }

    /// The changes of a table since a reader's position.
    pub struct Changes<K, V> {
        /// The reader's position once it has applied these changes.
        pub seen: Position,
        /// Whether `present` is the whole table.
        pub whole: bool,
        /// New and changed rows.
        pub present: Vec<V>,
        /// Keys of removed rows.
        pub removed: Vec<K>,
    }
}

struct Row<V> {
    value: V,
    revision: u64,
    renewed_ms: u64,
}

/// A table that one leader keeps for one term.
pub struct Table<K, V> {
    rows: BTreeMap<K, Row<V>>,
    removals: VecDeque<(u64, K)>,
    dropped_revision: u64,
    revision: u64,
}

impl<K, V> Default for Table<K, V> {
    fn default() -> Self {
        Self {
            rows: BTreeMap::new(),
            removals: VecDeque::new(),
            dropped_revision: 0,
            revision: 0,
        }
    }
}

impl<K: Ord + Clone, V: Clone + PartialEq> Table<K, V> {
    /// Inserts, updates or renews a row; returns whether its value changed.
    pub fn put(&mut self, key: K, value: V, now_ms: u64) -> bool {
        let unchanged = self.rows.get(&key).filter(|row| row.value == value);
        let revision = unchanged.map_or(self.revision + 1, |row| row.revision);
        let is_changed = unchanged.is_none();
        self.revision = self.revision.max(revision);
        let row = Row {
            value,
            revision,
            renewed_ms: now_ms,
        };
        self.rows.insert(key, row);
        is_changed
    }

    /// Changes a row, if it exists, without renewing it.
    pub fn update(&mut self, key: &K, change: impl FnOnce(&mut V)) {
        if let Some(row) = self.rows.get_mut(key) {
            self.revision += 1;
            row.revision = self.revision;
            change(&mut row.value);
        }
    }

    /// Removes a row; returns whether it existed.
    pub fn remove(&mut self, key: &K) -> bool {
        let removed = self.rows.remove(key).is_some();
        if removed {
            self.record_removal(key);
        }
        removed
    }

    /// Tells readers that there is no such row; they may have it from an earlier leader.
    pub fn record_removal(&mut self, key: &K) {
        self.revision += 1;
        self.removals.push_back((self.revision, key.clone()));
        while self.removals.len() > MAX_REMOVALS {
            let dropped = self.removals.pop_front();
            self.dropped_revision = dropped.map_or(0, |(revision, _)| revision);
        }
    }

    /// Removes rows with an expired lease; returns their keys.
    pub fn expire(&mut self, lease_ms: u64, now_ms: u64) -> Vec<K> {
        let is_expired = |row: &Row<V>| now_ms > row.renewed_ms + lease_ms;
        let rows = self.rows.iter().filter(|(_, row)| is_expired(row));
        let expired_keys: Vec<K> = rows.map(|(key, _)| key.clone()).collect();
        for key in &expired_keys {
            self.remove(key);
        }
        expired_keys
    }

    /// The revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the value of a row.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.rows.get(key).map(|row| &row.value)
    }

    /// Iterates over all values in the order of their keys.
    pub fn values(&self) -> impl Iterator<Item = &V> {
        self.rows.values().map(|row| &row.value)
    }

    /// The changes since a reader's position, with the new and changed rows that `filter` accepts;
    /// `None` if the table has not changed.
    pub fn changes(
        &self,
        seen: Option<&Position>,
        epoch: (FencingNumber, bool),
        filter: impl Fn(&V) -> bool,
    ) -> Option<Changes<K, V>> {
        let since =
            seen.filter(|seen| seen.epoch == epoch && seen.revision >= self.dropped_revision);
        let revision = since.map_or(0, |seen| seen.revision);
        if since.is_some() && revision == self.revision {
            return None;
        }
        let changed = self.rows.values().filter(|row| row.revision > revision);
        let changed = changed.map(|row| &row.value).filter(|value| filter(value));
        let removed = self.removals.iter().filter(|(at, _)| *at > revision);
        let removed = removed
            .map(|(_, key)| key.clone())
            .filter(|key| !self.rows.contains_key(key));
        Some(Changes {
            seen: Position {
                epoch,
                revision: self.revision,
            },
            whole: since.is_none(),
            present: changed.cloned().collect(),
            removed: removed.collect(),
        })
    }
}
