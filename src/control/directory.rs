//! The directory of targets: the leader's soft state, built from announcements.
//!
//! Announcements may be delayed, duplicated or reordered. The latest start of a target wins,
//! and within one start the highest sequence number; a start that has once announced that it leaves
//! stays leaving. A withdrawn target leaves a tombstone, so that announcements sent before the
//! withdrawal do not restore it.
//!
//! An entry for a service that the document in force does not name takes no place from a target, see
//! [`super::precedence`], and changes nothing that is known of its runs, see [`super::known_runs`].
//!
//! Another writer may announce a target under its name with a start time or a sequence number that
//! the target never reaches. Once that entry is no longer listed, because its lease has expired or
//! a later start holds its address, the target is listed with its second announcement; a single
//! late one restores nothing.

use super::{
    departures::{Departure, Return, Standing},
    known_runs::KnownRuns,
    precedence::{NamedServices, Precedence},
    return_evidence::{REPEATED_RETURN_MS, RETURN_MS, ReturnEvidence},
    table::{Changes, Position, Table},
};
use crate::{derives::record, request_limit::RequestLimit, units::*};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    net::{IpAddr, Ipv4Addr, SocketAddr},
};

/// Time until a new leader treats its directory as complete: a few announcement intervals, so
/// that one lost announcement removes no target.
pub const DIRECTORY_REBUILD_MS: u64 = 6000;
/// Number of announcement intervals without an announcement after which a target's lease
/// expires. Announcements may be seconds late, and gateways detect a dead target sooner by
/// themselves.
pub const LEASE_INTERVALS: u64 = 5;
/// Maximum number of tombstones of withdrawn and replaced targets.
const MAX_TOMBSTONES: usize = 4096;
/// Maximum number of targets of which announcements are kept that may show that they are there.
const MAX_RETURNING: usize = 1024;
/// Longest name of a target, a service or a failure domain, in bytes.
const MAX_NAME_BYTES: usize = 255;
/// Latest start time that is accepted, in Unix milliseconds: the end of the year 9999. A later one
/// is in another unit or a mistake.
const MAX_STARTED_UNIX_MS: u64 = 253_402_300_799_999;
/// Highest sequence number that is accepted: JSON holds integers up to this one exactly.
const MAX_SEQUENCE: u64 = (1 << 53) - 1;

record! {
    /// The version of an announcement: the highest one of a target wins.
    #[derive(Copy, PartialOrd, Ord)]
    pub struct AnnouncementVersion {
        /// When the target started, in Unix milliseconds by its own clock.
        pub started_unix_ms: u64,
        /// Increases with each announcement of one start.
        pub sequence: u64,
    }

    /// A target as published to gateways.
    pub struct TargetEntry {
        /// Its name, which the target verifies on requests that carry one.
        pub name: TargetName,
        /// When it started; a restarted target has no state of earlier starts.
        pub started_unix_ms: u64,
        /// The service that it serves.
        pub service: ServiceName,
        /// The address that it serves requests at.
        pub address: SocketAddr,
        /// The failure domain that it runs in.
        pub failure_domain: FailureDomain,
        /// Maximum number of requests that it runs concurrently.
        pub slots: u32,
        /// Whether it is draining and accepts no new requests.
        pub leaving: bool,
        /// Whether it is still warming up after its start.
        pub warming_up: bool,
        /// The limit that it states in its answers, as gateways report it; not part of its
        /// announcements.
        #[serde(default)]
        pub limit: RequestLimit,
        /// The version of its software; empty if it states none.
        #[serde(default)]
        pub version: TargetVersion,
    }

    /// The limit of one run of a target, as a gateway reports it.
    pub struct LimitReport {
        /// The target.
        pub target: TargetName,
        /// Start time of that run.
        pub started_unix_ms: u64,
        /// Its limit.
        pub limit: RequestLimit,
    }

    /// A target's periodic announcement.
    pub struct TargetAnnouncement {
        /// The entry to publish to gateways.
        pub entry: TargetEntry,
        /// Orders it among the announcements of one start.
        pub sequence: u64,
    }
}

/// The reason why an announcement names no target that can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum AnnouncementError {
    /// Requests carry the name in a header.
    #[display("the name of a target is 1 to {MAX_NAME_BYTES} visible ASCII characters")]
    Name,
    /// The service is empty, too long or contains control characters.
    #[display("the name of a service is 1 to {MAX_NAME_BYTES} bytes without control characters")]
    Service,
    /// The failure domain is too long or contains control characters.
    #[display("a failure domain is at most {MAX_NAME_BYTES} bytes without control characters")]
    FailureDomain,
    /// Nothing can connect to the address.
    #[display("the address is not that of one host, or its port is 0")]
    Address,
    /// A target without slots takes no requests.
    #[display("a target that takes requests runs at least one")]
    NoSlots,
    /// The start time is out of range.
    #[display("the start time is later than {MAX_STARTED_UNIX_MS} Unix milliseconds")]
    StartTime,
    /// The sequence number is out of range.
    #[display("the sequence number is above {MAX_SEQUENCE}")]
    Sequence,
}

impl TargetAnnouncement {
    /// Its version.
    pub fn version(&self) -> AnnouncementVersion {
        AnnouncementVersion {
            started_unix_ms: self.entry.started_unix_ms,
            sequence: self.sequence,
        }
    }

    /// The departure that it announces, if it does.
    pub fn departure(&self) -> Option<Departure> {
        self.entry.leaving.then(|| Departure {
            target: self.entry.name.clone(),
            version: self.version(),
            has_withdrawn: false,
        })
    }

    /// Checks that it names a target that can be used. Every reader of the directory is sent what
    /// is accepted here, so one entry must not take much of a reply.
    ///
    /// # Errors
    /// Fails with the first fault.
    pub fn check(&self) -> Result<(), AnnouncementError> {
        let entry = &self.entry;
        let is_plain = |text: &str| {
            text.len() <= MAX_NAME_BYTES && !text.contains(|character: char| character.is_control())
        };
        let name = &entry.name.0;
        let is_visible = name.bytes().all(|byte| byte.is_ascii_graphic());
        let ip = entry.address.ip();
        let is_broadcast = ip == IpAddr::V4(Ipv4Addr::BROADCAST);
        let is_host = !ip.is_unspecified() && !ip.is_multicast() && !is_broadcast;
        match () {
            () if name.is_empty() || !is_visible || !is_plain(name) => Err(AnnouncementError::Name),
            () if entry.service.0.is_empty() || !is_plain(&entry.service.0) => {
                Err(AnnouncementError::Service)
            }
            () if !is_plain(&entry.failure_domain.0) => Err(AnnouncementError::FailureDomain),
            () if !is_host || entry.address.port() == 0 => Err(AnnouncementError::Address),
            () if entry.slots == 0 && !entry.leaving => Err(AnnouncementError::NoSlots),
            () if entry.started_unix_ms > MAX_STARTED_UNIX_MS => Err(AnnouncementError::StartTime),
            () if self.sequence > MAX_SEQUENCE => Err(AnnouncementError::Sequence),
            () => Ok(()),
        }
    }
}

/// A reader's position in the directory.
pub type TargetsPosition = Position;
/// The changes of the directory since a reader's position.
pub type TargetChanges = Changes<TargetName, TargetEntry>;

/// Removes targets whose address another one has taken over: of the named services, the latest start
/// holds an address.
pub fn remove_replaced(targets: &mut BTreeMap<TargetName, TargetEntry>, services: &NamedServices) {
    let rank = |target: &TargetEntry| (services.contains(&target.service), target.started_unix_ms);
    let mut highest: HashMap<SocketAddr, (bool, u64)> = HashMap::with_capacity(targets.len());
    for target in targets.values() {
        let known = highest.entry(target.address).or_default();
        *known = rank(target).max(*known);
    }
    targets.retain(|_, target| highest[&target.address] <= rank(target));
}

/// The directory of one leadership.
#[derive(Default)]
pub struct Directory {
    services: NamedServices,
    table: Table<TargetName, TargetEntry>,
    by_address: HashMap<SocketAddr, TargetName>,
    known_runs: BTreeMap<TargetName, KnownRuns>,
    /// Targets that have withdrawn before they were known, and until when their announcements count
    /// as late ones.
    late_until: BTreeMap<TargetName, u64>,
    tombstones: VecDeque<TargetName>,
    /// Announcements of runs that count as leaving or as gone.
    returning: BTreeMap<TargetName, ReturnEvidence>,
    /// Targets whose last withdrawal is probably the repetition of an earlier run's.
    repeated_withdrawals: BTreeSet<TargetName>,
    /// Runs that have been shown to be there.
    returns: Vec<Return>,
}

impl Directory {
    /// Creates a directory with the targets cached before a change of leader or a restart. Those
    /// that are not announced again expire as usual.
    pub fn from_announcements(targets: Vec<TargetAnnouncement>, now_ms: u64) -> Self {
        let mut directory = Self::default();
        for target in targets {
            directory.announce(target, now_ms);
        }
        directory
    }

    /// Sets the services that the document in force names.
    pub fn set_services(&mut self, services: NamedServices) {
        self.services = services;
    }

    /// The targets that are listed.
    pub fn listed(&self) -> impl Iterator<Item = &TargetEntry> {
        self.table.values()
    }

    /// Returns whether the document in force names the service of an entry.
    pub fn names_service_of(&self, entry: &TargetEntry) -> bool {
        self.services.contains(&entry.service)
    }

    /// Returns how an entry stands to the holders of its name and of its address.
    fn precedence(&self, entry: &TargetEntry) -> [Precedence; 2] {
        let at_address = self.by_address.get(&entry.address);
        let at_address = at_address.filter(|name| **name != entry.name);
        [Some(&entry.name), at_address].map(|name| {
            let holder = name.and_then(|name| self.table.get(name));
            let by_version = Precedence::ByVersion;
            holder.map_or(by_version, |holder| {
                self.services.precedence(&entry.service, &holder.service)
            })
        })
    }

    /// Returns whether an entry changes nothing, as a target of a named service holds its name or its
    /// address, or a run of a named service is remembered under its name.
    pub fn yields(&self, entry: &TargetEntry) -> bool {
        let listed = self.table.get(&entry.name);
        let is_listed = listed.is_some_and(|listed| listed.service == entry.service);
        let is_foreign = !is_listed && !self.services.contains(&entry.service);
        self.precedence(entry).contains(&Precedence::Yields)
            || is_foreign && self.remembers_standing(&entry.name)
    }

    /// Returns whether a run of a named service is remembered under this name, listed or not.
    fn remembers_standing(&self, name: &TargetName) -> bool {
        let known = self.known_runs.get(name);
        known.is_some_and(|known| known.have_standing(&self.services))
    }

    /// Every target with its latest sequence number, for [`Self::from_announcements`].
    pub fn announcements(&self) -> Vec<TargetAnnouncement> {
        let sequence = |entry: &TargetEntry| {
            let known = self.known_runs.get(&entry.name);
            let version = known.and_then(KnownRuns::listed);
            version.map_or(0, |version| version.sequence)
        };
        let targets = self.table.values();
        let announcements = targets.map(|entry| TargetAnnouncement {
            sequence: sequence(entry),
            entry: entry.clone(),
        });
        announcements.collect()
    }

    /// Applies an announcement; returns whether the published entries changed.
    pub fn announce(&mut self, announcement: TargetAnnouncement, now_ms: u64) -> bool {
        let version = announcement.version();
        let TargetAnnouncement {
            mut entry,
            sequence,
        } = announcement;
        self.late_until.retain(|_, until_ms| now_ms < *until_ms);
        if self.late_until.contains_key(&entry.name) {
            return false;
        }
        if self.yields(&entry) {
            return false;
        }
        let [for_name, for_address] = self.precedence(&entry);
        let known = self.known_runs.get(&entry.name);
        let known = known.and_then(|known| known.latest_for(&entry.service, &self.services));
        let is_repeated = known == Some(version);
        if known.is_some_and(|known| version <= known)
            && (is_repeated || !self.is_second_while_unlisted(&entry, version))
        {
            let is_of_listed_run = |listed: &TargetEntry| {
                listed.started_unix_ms == entry.started_unix_ms && !listed.leaving
            };
            let begins_to_leave =
                entry.leaving && self.table.get(&entry.name).is_some_and(is_of_listed_run);
            if begins_to_leave {
                self.table
                    .update(&entry.name, |listed| listed.leaving = true);
            }
            self.hear_departed(TargetAnnouncement { entry, sequence }, now_ms);
            return begins_to_leave;
        }
        let at_address = self.by_address.get(&entry.address);
        let at_address = at_address.filter(|name| **name != entry.name);
        let at_address = at_address.and_then(|name| self.table.get(name));
        match at_address.map(|other| (other.name.clone(), other.started_unix_ms)) {
            Some((_, started_unix_ms))
                if for_address == Precedence::ByVersion
                    && started_unix_ms > entry.started_unix_ms =>
            {
                let known = self.known_runs.entry(entry.name.clone()).or_default();
                known.pass_over(&entry.service, version, &self.services);
                self.add_tombstone(entry.name);
                return false;
            }
            Some((replaced, _)) => {
                tracing::info!(
                    target = %replaced, successor = %entry.name,
                    "control: target replaced at its address"
                );
                self.note_absence(&replaced);
                self.remove_entry(&replaced);
                self.tombstones.push_back(replaced);
            }
            None => {}
        }
        // An entry of another writer is no earlier announcement of this run.
        let is_own = for_name == Precedence::ByVersion;
        if let Some(known) = self.table.get(&entry.name)
            && is_own
            && known.started_unix_ms == entry.started_unix_ms
        {
            let (is_leaving, own) = (known.leaving, entry.clone());
            if is_leaving {
                let announcement = TargetAnnouncement {
                    entry: own,
                    sequence,
                };
                self.hear_departed(announcement, now_ms);
            }
        }
        if let Some(known) = self.table.get(&entry.name)
            && is_own
            && known.started_unix_ms == entry.started_unix_ms
        {
            entry.leaving |= known.leaving;
            if known.limit.supersedes(&entry.limit) {
                entry.limit = known.limit;
            }
        }
        let known = self.known_runs.entry(entry.name.clone()).or_default();
        known.list(&entry.service, version, &self.services);
        if !entry.leaving {
            self.returning.remove(&entry.name);
            self.repeated_withdrawals.remove(&entry.name);
        }
        self.index_address(&entry);
        self.table.put(entry.name.clone(), entry, now_ms)
    }

    /// Records the version of an announcement of a target that is not listed; returns whether it is
    /// above that of an earlier one since then.
    fn is_second_while_unlisted(
        &mut self,
        entry: &TargetEntry,
        version: AnnouncementVersion,
    ) -> bool {
        let [for_name, _] = self.precedence(entry);
        let is_listed = self.lists(&entry.name) && for_name != Precedence::Holds;
        let known = self.known_runs.get_mut(&entry.name);
        let known = known.filter(|_| !is_listed);
        known.is_some_and(|known| known.is_second(&entry.service, version, &self.services))
    }

    /// Notes that a target is not listed any more, although it has not withdrawn.
    fn note_absence(&mut self, name: &TargetName) {
        if let Some(known) = self.known_runs.get_mut(name) {
            known.note_absence();
        }
    }

    /// Notes an announcement of a run that does not serve, although it says that it does.
    fn hear_departed(&mut self, announcement: TargetAnnouncement, now_ms: u64) {
        let name = announcement.entry.name.clone();
        let (service, version) = (&announcement.entry.service, announcement.version());
        let known = self.known_runs.get(&name);
        let is_yet_to_come =
            known.is_some_and(|known| known.are_absent_for(service, version, &self.services));
        if announcement.entry.leaving || is_yet_to_come || !self.has_departed(&name) {
            return;
        }
        match self.returning.get_mut(&name) {
            Some(evidence) => evidence.hear(announcement, now_ms),
            None => {
                let evidence = ReturnEvidence::begin(announcement, now_ms);
                self.returning.insert(name.clone(), evidence);
            }
        }
        let is_repeated = self.repeated_withdrawals.contains(&name);
        let required_ms = if is_repeated {
            REPEATED_RETURN_MS
        } else {
            RETURN_MS
        };
        let evidence = self.returning.get(&name);
        if let Some(evidence) = evidence.filter(|evidence| evidence.is_proved(required_ms)) {
            self.returns.push(Return {
                target: name,
                version: evidence.version(),
            });
        }
        if self.returning.len() > MAX_RETURNING {
            let oldest = self.returning.iter().min_by_key(|(_, e)| e.counted_ms());
            if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
                self.returning.remove(&oldest);
            }
        }
    }

    /// Takes the runs that have been shown to be there, although they count as leaving or gone.
    pub fn take_returns(&mut self) -> Vec<Return> {
        std::mem::take(&mut self.returns)
    }

    /// Lists a run again that has been shown to be there; returns whether the published entries
    /// changed.
    pub fn apply_return(&mut self, back: &Return, now_ms: u64) -> bool {
        let target = &back.target;
        if !self.has_departed(target) {
            return false;
        }
        let is_removed = self.remove_entry(target);
        self.late_until.remove(target);
        self.repeated_withdrawals.remove(target);
        let earlier = AnnouncementVersion {
            sequence: back.version.sequence.saturating_sub(1),
            ..back.version
        };
        let mut known = KnownRuns::default();
        known.raise(earlier, &self.services);
        self.known_runs.insert(target.clone(), known);
        let evidence = self.returning.remove(target);
        let announcement = evidence.map(ReturnEvidence::into_announcement);
        is_removed | announcement.is_some_and(|announcement| self.announce(announcement, now_ms))
    }

    /// Notes that the last withdrawal of a target is probably the repetition of an earlier run's.
    pub fn record_repeated_withdrawal(&mut self, target: &TargetName) {
        self.repeated_withdrawals.insert(target.clone());
    }

    /// Takes over a limit that a gateway reports; returns whether it was news.
    pub fn report_limit(&mut self, report: &LimitReport) -> bool {
        let known = self.table.get(&report.target);
        let is_news = known.is_some_and(|known| {
            known.started_unix_ms == report.started_unix_ms && report.limit.supersedes(&known.limit)
        });
        if is_news {
            self.table
                .update(&report.target, |entry| entry.limit = report.limit);
        }
        is_news
    }

    /// Applies a committed departure; returns whether readers must be told. Unlike an announcement,
    /// it also concerns targets that are not listed here: readers may list them.
    pub fn apply_departure(&mut self, departure: &Departure) -> bool {
        let Departure {
            target, version, ..
        } = departure;
        let known = self.known_runs.get(target);
        let known = known.and_then(|known| known.latest(&self.services));
        let was_remembered = self.remembers_standing(target);
        let listed = self.table.get(target).map(|listed| {
            let standing = departure.standing(listed.started_unix_ms);
            (standing, listed.leaving)
        });
        self.remember_departure(departure);
        match (listed, known) {
            (Some((Standing::Serving, _)), _) => false,
            (Some((Standing::Leaving, is_leaving)), _) => {
                if !is_leaving {
                    self.table.update(target, |entry| entry.leaving = true);
                }
                !is_leaving
            }
            (Some((Standing::Withdrawn, _)), _) => self.withdraw(target),
            (None, Some(known)) if known >= *version && was_remembered => false,
            (None, _) if departure.has_withdrawn => {
                self.withdraw(target);
                true
            }
            (None, _) => {
                self.table.record_removal(target);
                true
            }
        }
    }

    /// Removes a target that has withdrawn before it was known, and lists it no sooner than at
    /// `until_ms`.
    pub fn withdraw_unknown(&mut self, target: &TargetName, until_ms: u64) {
        if !self.remove_entry(target) {
            self.table.record_removal(target);
        }
        self.late_until.insert(target.clone(), until_ms);
    }

    /// Remembers a committed departure, of whichever service the run is: what is listed under its name
    /// may be an entry of another writer.
    fn remember_departure(&mut self, departure: &Departure) {
        let mut version = departure.version;
        if departure.has_withdrawn {
            version.sequence = u64::MAX;
        }
        let known = self.known_runs.entry(departure.target.clone());
        known.or_default().raise(version, &self.services);
    }

    /// Whether no run of a target is listed as ready. An entry for an unnamed service is no run of a
    /// target that is remembered for a named one.
    pub fn has_departed(&self, target: &TargetName) -> bool {
        self.table.get(target).is_none_or(|listed| {
            let is_foreign = !self.services.contains(&listed.service);
            listed.leaving || is_foreign && self.remembers_standing(target)
        })
    }

    /// Whether a target is listed.
    pub fn lists(&self, name: &TargetName) -> bool {
        self.table.get(name).is_some()
    }

    /// The departure of a target that withdraws; `None` if it is unknown.
    pub fn withdrawal(&self, name: &TargetName) -> Option<Departure> {
        let known = self.known_runs.get(name)?;
        Some(Departure {
            target: name.clone(),
            version: known.latest(&self.services)?,
            has_withdrawn: true,
        })
    }

    /// The revision of the last change, as in the positions of readers.
    pub fn revision(&self) -> u64 {
        self.table.revision()
    }

    /// Removes a target that has withdrawn; returns whether it was present.
    pub fn withdraw(&mut self, name: &TargetName) -> bool {
        // Announcements from before it tell nothing.
        self.returning.remove(name);
        if self.table.get(name).is_none() {
            self.table.record_removal(name);
        }
        if let Some(known) = self.known_runs.get_mut(name) {
            known.withdraw();
            self.add_tombstone(name.clone());
        }
        self.remove_entry(name)
    }

    /// Updates the index of addresses for a target.
    fn index_address(&mut self, entry: &TargetEntry) {
        let before = self.table.get(&entry.name).map(|known| known.address);
        if before == Some(entry.address) {
            return;
        }
        if let Some(before) = before {
            self.remove_address(&entry.name, before);
        }
        self.by_address.insert(entry.address, entry.name.clone());
    }

    fn remove_address(&mut self, name: &TargetName, address: SocketAddr) {
        if self.by_address.get(&address) == Some(name) {
            self.by_address.remove(&address);
        }
    }

    fn remove_entry(&mut self, name: &TargetName) -> bool {
        if let Some(address) = self.table.get(name).map(|known| known.address) {
            self.remove_address(name, address);
        }
        self.table.remove(name)
    }

    fn add_tombstone(&mut self, name: TargetName) {
        self.tombstones.push_back(name);
        self.drop_old_tombstones();
    }

    fn drop_old_tombstones(&mut self) {
        while self.tombstones.len() > MAX_TOMBSTONES {
            if let Some(oldest) = self.tombstones.pop_front()
                && self.table.get(&oldest).is_none()
            {
                self.known_runs.remove(&oldest);
                self.returning.remove(&oldest);
                self.repeated_withdrawals.remove(&oldest);
            }
        }
    }

    /// Removes targets with an expired lease; returns their names.
    pub fn expire(&mut self, lease_ms: u64, now_ms: u64) -> Vec<TargetName> {
        let expired = self.table.expire(lease_ms, now_ms);
        if !expired.is_empty() {
            let table = &self.table;
            self.by_address.retain(|_, name| table.get(name).is_some());
            for name in &expired {
                self.note_absence(name);
            }
            self.tombstones.extend(expired.iter().cloned());
            self.drop_old_tombstones();
        }
        expired
    }

    /// The changes since a reader's position; `None` if there are none.
    pub fn changes(
        &self,
        seen: Option<&TargetsPosition>,
        epoch: (FencingNumber, bool),
    ) -> Option<TargetChanges> {
        self.table.changes(seen, epoch, |_| true)
    }

    /// Every target.
    pub fn targets(&self) -> Vec<TargetEntry> {
        self.table.values().cloned().collect()
    }
}
