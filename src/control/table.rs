//! Soft state that readers follow by revisions: rows with a lease, and removals.

use crate::{derives::record, units::FencingNumber};
use std::collections::{BTreeMap, VecDeque};

/// How many removals are kept for readers that are behind.
const REMEMBERED_REMOVALS: usize = 4096;

record! {
    /// How far a reader has followed a table.
    #[derive(Default)]
    pub struct Seen {
        /// The leader's term, and whether its table had settled.
        pub epoch: (FencingNumber, bool),
        /// The last revision seen.
        pub revision: u64,
    }

    /// What a reader lacks.
    pub struct Changes<K, V> {
        /// How far the reader has followed after this.
        pub seen: Seen,
        /// Whether `present` is the whole table.
        pub whole: bool,
        /// New and changed rows.
        pub present: Vec<V>,
        /// Rows that are gone.
        pub removed: Vec<K>,
    }
}

struct Row<V> {
    value: V,
    revision: u64,
    renewed_ms: u64,
}

/// A table of one leadership.
pub struct Table<K, V> {
    rows: BTreeMap<K, Row<V>>,
    removals: VecDeque<(u64, K)>,
    forgotten_revision: u64,
    revision: u64,
}

impl<K, V> Default for Table<K, V> {
    fn default() -> Self {
        Self {
            rows: BTreeMap::new(),
            removals: VecDeque::new(),
            forgotten_revision: 0,
            revision: 0,
        }
    }
}

impl<K: Ord + Clone, V: Clone + PartialEq> Table<K, V> {
    /// Takes or renews a row; returns whether readers see a difference.
    pub fn put(&mut self, key: K, value: V, now_ms: u64) -> bool {
        let same = self.rows.get(&key).filter(|row| row.value == value);
        let revision = same.map_or(self.revision + 1, |row| row.revision);
        let is_news = same.is_none();
        self.revision = self.revision.max(revision);
        let row = Row {
            value,
            revision,
            renewed_ms: now_ms,
        };
        self.rows.insert(key, row);
        is_news
    }

    /// Removes a row; returns whether it was there.
    pub fn remove(&mut self, key: &K) -> bool {
        let removed = self.rows.remove(key).is_some();
        if removed {
            self.revision += 1;
            self.removals.push_back((self.revision, key.clone()));
        }
        while self.removals.len() > REMEMBERED_REMOVALS {
            let forgotten = self.removals.pop_front();
            self.forgotten_revision = forgotten.map_or(0, |(revision, _)| revision);
        }
        removed
    }

    /// Removes the rows whose lease has run out; returns their keys.
    pub fn expire(&mut self, lease_ms: u64, now_ms: u64) -> Vec<K> {
        let lapsed = |row: &Row<V>| now_ms > row.renewed_ms + lease_ms;
        let rows = self.rows.iter().filter(|(_, row)| lapsed(row));
        let gone: Vec<K> = rows.map(|(key, _)| key.clone()).collect();
        for key in &gone {
            self.remove(key);
        }
        gone
    }

    /// A row.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.rows.get(key).map(|row| &row.value)
    }

    /// All rows, by key.
    pub fn values(&self) -> impl Iterator<Item = &V> {
        self.rows.values().map(|row| &row.value)
    }

    /// What a reader lacks of the rows that concern it; `None` if nothing.
    pub fn changes(
        &self,
        seen: Option<&Seen>,
        epoch: (FencingNumber, bool),
        concerns: impl Fn(&V) -> bool,
    ) -> Option<Changes<K, V>> {
        let since =
            seen.filter(|seen| seen.epoch == epoch && seen.revision >= self.forgotten_revision);
        let revision = since.map_or(0, |seen| seen.revision);
        if since.is_some() && revision == self.revision {
            return None;
        }
        let newer = self.rows.values().filter(|row| row.revision > revision);
        let newer = newer.map(|row| &row.value).filter(|value| concerns(value));
        let removed = self.removals.iter().filter(|(at, _)| *at > revision);
        let removed = removed
            .map(|(_, key)| key.clone())
            .filter(|key| !self.rows.contains_key(key));
        Some(Changes {
            seen: Seen {
                epoch,
                revision: self.revision,
            },
            whole: since.is_none(),
            present: newer.cloned().collect(),
            removed: removed.collect(),
        })
    }
}
