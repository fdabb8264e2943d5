//! The directory of targets: soft state of the leader, built from announcements.
//!
//! Announcements may come late, twice or out of order. A target's later start goes
//! before an earlier one, and within one start the higher sequence number. What a
//! target withdrew stays withdrawn against announcements that it sent before.

use super::table::{Changes, Seen, Table};
use crate::{derives::record, units::*};
use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddr,
};

/// How long a new leader's directory is incomplete: a few announcement intervals, so
/// that one lost announcement removes no target.
pub const SETTLING_MS: u64 = 6000;
/// A target is dropped after this many announcement intervals without one. An
/// announcement may be seconds late, and a gateway finds a dead target sooner by itself.
pub const LEASE_INTERVALS: u64 = 5;
/// How many withdrawn or replaced targets are remembered.
const REMEMBERED_TARGETS: usize = 4096;

record! {
    /// Orders the announcements of one target.
    #[derive(Copy, PartialOrd, Ord)]
    pub struct AnnouncementOrder {
        /// When the target started, in milliseconds since 1970 by its own clock.
        pub started_unix_ms: u64,
        /// Grows with each announcement of one start.
        pub sequence: u64,
    }

    /// One target, as gateways see it.
    pub struct TargetEntry {
        /// Its name, which it checks on requests that carry one.
        pub name: TargetName,
        /// When it started; another start knows nothing of before.
        pub started_unix_ms: u64,
        /// The service that it serves.
        pub service: ServiceName,
        /// Where it takes requests.
        pub address: SocketAddr,
        /// Where it runs.
        pub failure_domain: FailureDomain,
        /// How many requests it runs at one time.
        pub slots: u32,
        /// Whether it takes no new work.
        pub leaving: bool,
        /// Whether it is still slow after its start.
        pub warming_up: bool,
    }

    /// What a target says of itself.
    pub struct TargetAnnouncement {
        /// What gateways are to see.
        pub entry: TargetEntry,
        /// Orders it among others of that target.
        pub sequence: u64,
    }
}

/// How far a reader has followed the directory.
pub type TargetsSeen = Seen;
/// What a reader lacks of the directory.
pub type TargetChanges = Changes<TargetName, TargetEntry>;

/// Drops targets at whose address a later one has started.
pub fn drop_replaced(targets: &mut BTreeMap<TargetName, TargetEntry>) {
    let mut latest: HashMap<SocketAddr, u64> = HashMap::with_capacity(targets.len());
    for target in targets.values() {
        let started = latest.entry(target.address).or_default();
        *started = target.started_unix_ms.max(*started);
    }
    targets.retain(|_, target| latest[&target.address] <= target.started_unix_ms);
}

/// The directory of one leadership.
#[derive(Default)]
pub struct Directory {
    table: Table<TargetName, TargetEntry>,
    by_address: HashMap<SocketAddr, TargetName>,
    latest: BTreeMap<TargetName, AnnouncementOrder>,
    withdrawn: VecDeque<TargetName>,
}

impl Directory {
    /// A directory that begins with what was known before a change of leader or a restart.
    /// What is not announced again runs out as usual.
    pub fn seeded(targets: Vec<TargetAnnouncement>, now_ms: u64) -> Self {
        let mut directory = Self::default();
        for target in targets {
            directory.announce(target, now_ms);
        }
        directory
    }

    /// Every target with its latest sequence number, to begin another directory with.
    pub fn copy(&self) -> Vec<TargetAnnouncement> {
        let sequence = |name| self.latest.get(name).map_or(0, |order| order.sequence);
        let targets = self.table.values();
        let copies = targets.map(|entry| TargetAnnouncement {
            sequence: sequence(&entry.name),
            entry: entry.clone(),
        });
        copies.collect()
    }

    /// Takes an announcement; returns whether readers see a difference.
    pub fn announce(&mut self, announcement: TargetAnnouncement, now_ms: u64) -> bool {
        let TargetAnnouncement { entry, sequence } = announcement;
        let order = AnnouncementOrder {
            started_unix_ms: entry.started_unix_ms,
            sequence,
        };
        let known = self.latest.get(&entry.name);
        if known.is_some_and(|known| order <= *known) {
            return false;
        }
        let at_address = self.by_address.get(&entry.address);
        let at_address = at_address.filter(|name| **name != entry.name);
        let at_address = at_address.and_then(|name| self.table.get(name));
        match at_address.map(|other| (other.name.clone(), other.started_unix_ms)) {
            Some((_, started_unix_ms)) if started_unix_ms > entry.started_unix_ms => {
                self.forget(entry.name, order);
                return false;
            }
            Some((replaced, _)) => {
                tracing::info!(target = %replaced, successor = %entry.name, "control: target replaced at its address");
                self.drop_row(&replaced);
                self.withdrawn.push_back(replaced);
            }
            None => {}
        }
        self.latest.insert(entry.name.clone(), order);
        self.move_to(&entry);
        self.table.put(entry.name.clone(), entry, now_ms)
    }

    /// Removes a target that says that it is gone; returns whether it was there.
    pub fn withdraw(&mut self, name: &TargetName) -> bool {
        let order = self.latest.get(name).copied();
        if let Some(order) = order {
            let sequence = u64::MAX;
            self.forget(name.clone(), AnnouncementOrder { sequence, ..order });
        }
        self.drop_row(name)
    }

    /// Notes where a target is.
    fn move_to(&mut self, entry: &TargetEntry) {
        let before = self.table.get(&entry.name).map(|known| known.address);
        if before == Some(entry.address) {
            return;
        }
        if let Some(before) = before {
            self.leave_address(&entry.name, before);
        }
        self.by_address.insert(entry.address, entry.name.clone());
    }

    fn leave_address(&mut self, name: &TargetName, address: SocketAddr) {
        if self.by_address.get(&address) == Some(name) {
            self.by_address.remove(&address);
        }
    }

    fn drop_row(&mut self, name: &TargetName) -> bool {
        if let Some(address) = self.table.get(name).map(|known| known.address) {
            self.leave_address(name, address);
        }
        self.table.remove(name)
    }

    fn forget(&mut self, name: TargetName, order: AnnouncementOrder) {
        self.latest.insert(name.clone(), order);
        self.withdrawn.push_back(name);
        while self.withdrawn.len() > REMEMBERED_TARGETS {
            if let Some(oldest) = self.withdrawn.pop_front()
                && self.table.get(&oldest).is_none()
            {
                self.latest.remove(&oldest);
            }
        }
    }

    /// Removes the targets whose lease has run out; returns their names.
    pub fn expire(&mut self, lease_ms: u64, now_ms: u64) -> Vec<TargetName> {
        let gone = self.table.expire(lease_ms, now_ms);
        if !gone.is_empty() {
            let table = &self.table;
            self.by_address.retain(|_, name| table.get(name).is_some());
        }
        gone
    }

    /// What a reader lacks.
    pub fn changes(
        &self,
        seen: Option<&TargetsSeen>,
        epoch: (FencingNumber, bool),
    ) -> Option<TargetChanges> {
        self.table.changes(seen, epoch, |_| true)
    }

    /// Every target.
    pub fn targets(&self) -> Vec<TargetEntry> {
        self.table.values().cloned().collect()
    }
}
