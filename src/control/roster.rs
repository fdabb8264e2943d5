//! Discovery of control instances, and the bootstrap and membership decisions that follow from
//! their presence messages. Pure: no I/O and no clock.
//!
//! Either the settings list every instance by number, or instances discover each other
//! through seeds and are identified by address.

use super::replica::{PRESENCE_TIMEOUT_MS, VOTER_TIMEOUT_MS};
use crate::{
    consensus::{Membership, MembershipChange, ReplicaId},
    derives::record,
    settings::PeerSettings,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

/// Maximum number of voters; more would only slow down commits.
const MAX_VOTERS: usize = 7;
/// Time for which the addresses of a silent instance are kept.
const CONTACT_RETENTION_MS: u64 = 60 * 60 * 1000;
/// Maximum number of instances beside the members whose addresses are kept.
const MAX_CONTACTS: usize = 64;

record! {
    /// The addresses of a control instance.
    #[derive(Copy)]
    pub struct InstanceAddresses {
        /// For other control instances.
        pub peer: SocketAddr,
        /// For RPC from other processes.
        pub rpc: SocketAddr,
        /// For operators and targets; see [`super::ApiDialect`].
        pub api: Option<SocketAddr>,
    }

    /// An instance's periodic message about itself.
    #[allow(clippy::struct_excessive_bools)]
    pub struct Presence {
        /// The ID of its replica.
        pub replica: ReplicaId,
        /// Whether its replica belongs to a group.
        pub in_group: bool,
        /// Whether its replica is the leader.
        pub leads: bool,
        /// Whether it may bootstrap the group.
        pub founder: bool,
        /// Whether its replica is stored on disk. In-memory replicas count only if no instance
        /// has a disk.
        pub durable: bool,
        /// Its addresses.
        pub addresses: InstanceAddresses,
        /// The other instances that it has discovered.
        pub known: Vec<KnownInstance>,
    }

    /// An instance as another one knows it.
    #[derive(Copy)]
    pub struct KnownInstance {
        /// The ID of its replica.
        pub replica: ReplicaId,
        /// Its addresses.
        pub addresses: InstanceAddresses,
        /// Time since any instance heard from it.
        pub silent_ms: u64,
    }

    /// How instances discover each other.
    pub enum Discovery {
        /// The settings list every instance.
        Listed(Vec<PeerSettings>),
        /// The settings list the peer addresses of some instances.
        Seeds(Vec<SocketAddr>),
    }

    /// The next step in bootstrapping the group.
    pub enum BootstrapStep {
        /// Nothing to do yet.
        Wait,
        /// Invite these voters; the group is bootstrapped once a majority of them has joined,
        /// this replica included.
        Invite(BTreeSet<ReplicaId>),
        /// All other voters have joined, or there are none. A replica that has invited no voters
        /// acts on this only if it is the single voter, and then bootstraps the group.
        #[serde(rename = "Found")]
        Bootstrap(BTreeSet<ReplicaId>),
    }
}

struct PresenceRecord {
    presence: Presence,
    received_ms: u64,
}

/// The addresses of a replica that this instance has discovered.
struct Contact {
    addresses: InstanceAddresses,
    /// When any instance last heard from it; may be before the start of this one.
    heard_ms: i64,
}

/// One replica's record of the control instances.
///
/// It keeps the addresses of instances that are silent, members or not: instances without a disk
/// restart with nothing but their seeds, which may name each other only, so that an instance that
/// still knows them must contact them.
pub struct Roster {
    own: ReplicaId,
    own_addresses: InstanceAddresses,
    is_founder: bool,
    is_durable: bool,
    discovery: Discovery,
    presences: BTreeMap<SocketAddr, PresenceRecord>,
    contacts: BTreeMap<ReplicaId, Contact>,
    /// Peer addresses that the settings have named since the start.
    later_seeds: Vec<SocketAddr>,
    members: BTreeSet<ReplicaId>,
    /// Time since which this instance has run without a pause and heard a majority of the voters.
    hears_majority_since_ms: u64,
    /// When it last resumed after a pause.
    resumed_ms: Option<u64>,
    observed_ms: u64,
}

impl Roster {
    /// Creates a roster without presence records. `known_addresses` are those stored before a
    /// restart.
    pub fn new(
        own: ReplicaId,
        own_addresses: InstanceAddresses,
        is_founder: bool,
        is_durable: bool,
        discovery: Discovery,
        known_addresses: BTreeMap<ReplicaId, InstanceAddresses>,
    ) -> Self {
        let contact = |(id, addresses)| {
            let heard_ms = 0;
            (
                id,
                Contact {
                    addresses,
                    heard_ms,
                },
            )
        };
        Self {
            own,
            own_addresses,
            is_founder,
            is_durable,
            discovery,
            presences: BTreeMap::new(),
            contacts: known_addresses.into_iter().map(contact).collect(),
            later_seeds: Vec::new(),
            members: BTreeSet::new(),
            hears_majority_since_ms: 0,
            resumed_ms: None,
            observed_ms: 0,
        }
    }

    /// Records whom this instance hears; called at each tick. What it did not hear while it was
    /// suspended or cut off says nothing about the others.
    pub fn observe(&mut self, membership: &Membership, now_ms: u64) {
        let was_suspended = self.observed_ms > 0 && now_ms > self.observed_ms + PRESENCE_TIMEOUT_MS;
        self.observed_ms = now_ms;
        let heard = present_instances(&self.presences, now_ms).map(|presence| presence.replica);
        let heard: BTreeSet<ReplicaId> = heard.chain([self.own]).collect();
        let heard_voters = membership.voters.intersection(&heard).count();
        if was_suspended {
            self.resumed_ms = Some(now_ms);
        }
        if was_suspended || heard_voters <= membership.voters.len() / 2 {
            self.hears_majority_since_ms = now_ms;
        }
        self.members = membership.others(self.own).into_iter().collect();
    }

    /// Names further instances to contact. The seeds of the start still decide who bootstraps the
    /// group.
    pub fn set_later_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.later_seeds = seeds;
    }

    /// Records a presence message; returns whether it has a new address.
    pub fn record_presence(&mut self, presence: Presence, now_ms: u64) -> bool {
        let mut has_new_address = false;
        for known in &presence.known {
            if known.silent_ms < CONTACT_RETENTION_MS {
                let heard_ms = now_ms.cast_signed() - known.silent_ms.cast_signed();
                has_new_address |= self.learn(known.replica, known.addresses, heard_ms);
            }
        }
        has_new_address |= self.learn(presence.replica, presence.addresses, now_ms.cast_signed());
        let address = presence.addresses.peer;
        self.presences.insert(
            address,
            PresenceRecord {
                presence,
                received_ms: now_ms,
            },
        );
        has_new_address
    }

    /// Records when a replica was heard at these addresses; returns whether that is news.
    fn learn(&mut self, id: ReplicaId, addresses: InstanceAddresses, heard_ms: i64) -> bool {
        let is_outdated = !self.members.contains(&id)
            && self.contacts.iter().any(|(other, contact)| {
                *other != id
                    && contact.addresses.peer == addresses.peer
                    && contact.heard_ms >= heard_ms
            });
        let would_be_removed = !self.members.contains(&id)
            && !self.contacts.contains_key(&id)
            && heard_ms < self.oldest_kept_ms();
        match self.contacts.get_mut(&id) {
            _ if id == self.own || is_outdated => false,
            Some(contact) if contact.heard_ms > heard_ms => false,
            Some(contact) => {
                let is_new = contact.addresses != addresses;
                *contact = Contact {
                    addresses,
                    heard_ms,
                };
                is_new
            }
            None if would_be_removed => false,
            None => {
                let contact = Contact {
                    addresses,
                    heard_ms,
                };
                self.contacts.insert(id, contact);
                true
            }
        }
    }

    /// When the oldest contact beside the members was heard that is kept, if there are many.
    fn oldest_kept_ms(&self) -> i64 {
        let others = self.contacts.iter();
        let others = others.filter(|(id, _)| !self.members.contains(id));
        let mut heard_ms: Vec<i64> = others.map(|(_, contact)| contact.heard_ms).collect();
        heard_ms.sort_unstable_by(|a, b| b.cmp(a));
        heard_ms.get(MAX_CONTACTS - 1).copied().unwrap_or(i64::MIN)
    }

    /// Removes replicas that are no members and whose instance runs with another disk, has been
    /// silent for a long time, or has been silent the longest if there are many.
    pub fn prune_addresses(&mut self, now_ms: u64) {
        let mut latest_ms: BTreeMap<SocketAddr, i64> = BTreeMap::new();
        for contact in self.contacts.values() {
            let latest_ms = latest_ms.entry(contact.addresses.peer).or_insert(i64::MIN);
            *latest_ms = contact.heard_ms.max(*latest_ms);
        }
        let oldest_ms = self.oldest_kept_ms();
        let retained_from_ms = now_ms.cast_signed() - CONTACT_RETENTION_MS.cast_signed();
        let resumed_ms = self.resumed_ms.map_or(i64::MIN, u64::cast_signed);
        let members = &self.members;
        self.contacts.retain(|id, contact| {
            let is_latest = contact.heard_ms >= latest_ms[&contact.addresses.peer];
            let is_recent = contact.heard_ms.max(resumed_ms) >= retained_from_ms
                && contact.heard_ms >= oldest_ms;
            members.contains(id) || is_latest && is_recent
        });
        let contacts = &self.contacts;
        self.presences
            .retain(|_, record| contacts.contains_key(&record.presence.replica));
    }

    /// This instance's presence message.
    pub fn presence(&self, in_group: bool, leads: bool, now_ms: u64) -> Presence {
        let known = self.contacts.iter().map(|(id, contact)| KnownInstance {
            replica: *id,
            addresses: contact.addresses,
            silent_ms: (now_ms.cast_signed() - contact.heard_ms)
                .max(0)
                .cast_unsigned(),
        });
        Presence {
            replica: self.own,
            in_group,
            leads,
            founder: self.is_founder,
            durable: self.is_durable,
            addresses: self.own_addresses,
            known: known.collect(),
        }
    }

    /// The peer addresses to stay connected to.
    pub fn peer_addresses(&self) -> BTreeSet<SocketAddr> {
        let mut peer_addresses: BTreeSet<SocketAddr> = match &self.discovery {
            Discovery::Listed(peers) => peers.iter().map(|peer| peer.peer).collect(),
            Discovery::Seeds(seeds) => seeds.iter().copied().collect(),
        };
        peer_addresses.extend(&self.later_seeds);
        let contacts = self.contacts.values();
        peer_addresses.extend(contacts.map(|contact| contact.addresses.peer));
        peer_addresses.remove(&self.own_addresses.peer);
        peer_addresses
    }

    /// The addresses of known replicas.
    pub fn addresses(&self) -> BTreeMap<ReplicaId, InstanceAddresses> {
        let contacts = self.contacts.iter();
        contacts
            .map(|(id, contact)| (*id, contact.addresses))
            .collect()
    }

    /// The addresses of a replica.
    pub fn addresses_of(&self, id: ReplicaId) -> Option<InstanceAddresses> {
        match &self.discovery {
            _ if id == self.own => Some(self.own_addresses),
            Discovery::Seeds(_) => self.contacts.get(&id).map(|contact| contact.addresses),
            Discovery::Listed(peers) => {
                let listed = peers.iter().find(|peer| peer.number == id.number);
                listed.map(|peer| InstanceAddresses {
                    peer: peer.peer,
                    rpc: peer.rpc,
                    api: None,
                })
            }
        }
    }

    /// The RPC addresses of all present replicas, including this one.
    pub fn rpc_addresses(&self, now_ms: u64) -> Vec<SocketAddr> {
        let present = present_instances(&self.presences, now_ms);
        let mut addresses: Vec<SocketAddr> = present.map(|p| p.addresses.rpc).collect();
        addresses.push(self.own_addresses.rpc);
        addresses.sort_unstable();
        addresses
    }

    /// The instance that announces itself as leader.
    pub fn leader(&self, now_ms: u64) -> Option<InstanceAddresses> {
        let leader = present_instances(&self.presences, now_ms).find(|presence| presence.leads);
        leader.map(|presence| presence.addresses)
    }

    /// The next bootstrap step of a replica that belongs to no group. Voters are invited only once
    /// all founders are present and none of them belongs to a group, and only by the founder with
    /// the lowest ID.
    pub fn bootstrap_step(&self, now_ms: u64) -> BootstrapStep {
        let present: Vec<&Presence> = present_instances(&self.presences, now_ms).collect();
        let all_present = match &self.discovery {
            Discovery::Listed(peers) => present.len() + 1 == peers.len(),
            Discovery::Seeds(seeds) => seeds.iter().all(|seed| {
                *seed == self.own_addresses.peer
                    || present
                        .iter()
                        .any(|presence| presence.addresses.peer == *seed)
            }),
        };
        let any_durable = self.is_durable || present.iter().any(|presence| presence.durable);
        let founders = present.iter().filter(|presence| match self.discovery {
            Discovery::Listed(_) => true,
            Discovery::Seeds(_) => presence.founder && presence.durable == any_durable,
        });
        let others: BTreeSet<ReplicaId> = founders.map(|p| p.replica).collect();
        let is_eligible_founder = self.is_founder && self.is_durable == any_durable;
        // Instances that lost their disks may have belonged to a group whose invitation has
        // not reached this replica yet, so the founders must be a majority.
        let founders_are_majority =
            (others.len() + 1) * 2 > self.count_possible_founders(&present, any_durable);
        let is_in_other_group =
            |presence: &&Presence| presence.in_group && !others.contains(&presence.replica);
        let has_other_group = present.iter().any(is_in_other_group);
        let joined = present.iter().filter(|presence| presence.in_group).count();
        let has_lowest_id = others.iter().all(|id| self.own < *id);
        let mut voters = others.clone();
        voters.insert(self.own);
        match () {
            () if !is_eligible_founder
                || !all_present
                || !has_lowest_id
                || has_other_group
                || !founders_are_majority =>
            {
                BootstrapStep::Wait
            }
            () if joined == others.len() => BootstrapStep::Bootstrap(voters),
            () if joined == 0 => BootstrapStep::Invite(voters),
            () => BootstrapStep::Wait,
        }
    }

    /// Number of present instances that may be founders, including this one. Only those with a
    /// disk count, unless no instance has one.
    fn count_possible_founders(&self, present: &[&Presence], any_durable: bool) -> usize {
        let may_be_founder = |presence: &&&Presence| match &self.discovery {
            Discovery::Listed(_) => true,
            Discovery::Seeds(seeds) => {
                seeds.contains(&presence.addresses.peer) && presence.durable == any_durable
            }
        };
        present.iter().filter(may_be_founder).count() + 1
    }

    /// Whether a majority of a group has joined it once this replica does. The group can then
    /// make progress, whichever other members have lost their disks meanwhile.
    pub fn has_majority_in_group(&self, group: &BTreeSet<ReplicaId>, now_ms: u64) -> bool {
        let joined = |id: &&ReplicaId| {
            **id == self.own
                || present_instances(&self.presences, now_ms)
                    .any(|p| p.replica == **id && p.in_group)
        };
        group.iter().filter(joined).count() > group.len() / 2
    }

    /// The next membership change that the group needs; `None` if it needs none. `caught_up` are
    /// the learners that hold all committed entries. The first row that applies decides:
    ///
    /// | state of the group | change |
    /// |---|---|
    /// | the instance of an absent voter is present with another disk, which is a voter | remove the absent one |
    /// | the instance of an absent learner is present with another disk | remove the absent one |
    /// | an even number of voters, one of them silent | remove the silent one |
    /// | a silent learner | remove it |
    /// | a present replica is no member | add it as a learner |
    /// | a voter is silent or has another disk, or the number of voters is even or may grow | promote a present learner that has caught up |
    ///
    /// A successor is promoted before its predecessor is removed: the predecessor may only be cut
    /// off, and the group then survives the loss of another disk at any moment. An even number of
    /// voters thus marks a replacement that the next leader must finish.
    pub fn next_membership_change(
        &self,
        membership: &Membership,
        caught_up: &BTreeSet<ReplicaId>,
        now_ms: u64,
    ) -> Option<MembershipChange> {
        let any_durable = self.is_durable
            || present_instances(&self.presences, now_ms).any(|presence| presence.durable);
        let present: BTreeSet<ReplicaId> = present_instances(&self.presences, now_ms)
            .filter(|presence| presence.durable == any_durable)
            .map(|presence| presence.replica)
            .chain([self.own])
            .collect();
        let replacement = |old: &ReplicaId| {
            present
                .iter()
                .find(|id| **id != *old && self.is_same_instance(old, id))
                .copied()
        };
        let replaced_voter = membership.voters.iter().find(|old| {
            !present.contains(old)
                && replacement(old).is_some_and(|id| membership.voters.contains(&id))
        });
        let replaced_learner = membership
            .learners
            .iter()
            .find(|old| !present.contains(old) && replacement(old).is_some());
        let silent = |id: &&ReplicaId| self.is_silent(**id, now_ms);
        let silent_voter = membership.voters.iter().find(silent);
        let silent_learner = membership.learners.iter().find(silent);
        let new_replica = present.iter().find(|id| !membership.contains(**id));
        let successor = membership
            .learners
            .iter()
            .find(|id| present.contains(id) && caught_up.contains(id));
        let learners = membership.learners.intersection(&present).count();
        let voters = membership.voters.len();
        let needs_voter = match &self.discovery {
            Discovery::Listed(_) => true,
            Discovery::Seeds(_) => {
                let silent_or_replaced =
                    |old: &ReplicaId| silent(&old) || replacement(old).is_some();
                // Voters are added up to the maximum, but only while two learners are present, so
                // that their number becomes odd again.
                let grows = learners >= 2 && voters + 2 <= MAX_VOTERS;
                voters.is_multiple_of(2)
                    || grows
                    || membership.voters.iter().any(silent_or_replaced)
            }
        };
        let seeds = matches!(self.discovery, Discovery::Seeds(_));
        match () {
            () if let Some(id) = replaced_voter => Some(MembershipChange::Remove(*id)),
            () if let Some(id) = replaced_learner => Some(MembershipChange::Remove(*id)),
            // Listed instances stay voters while they are silent.
            () if let Some(id) = silent_voter
                && seeds
                && voters.is_multiple_of(2) =>
            {
                Some(MembershipChange::Remove(*id))
            }
            () if let Some(id) = silent_learner
                && seeds =>
            {
                Some(MembershipChange::Remove(*id))
            }
            () if let Some(id) = new_replica => Some(MembershipChange::AddLearner(*id)),
            () if let Some(id) = successor
                && needs_voter =>
            {
                Some(MembershipChange::Promote(*id))
            }
            () => None,
        }
    }

    /// The voters that this instance has not heard for so long that they are to be replaced.
    pub fn silent_voters(&self, membership: &Membership, now_ms: u64) -> BTreeSet<ReplicaId> {
        let voters = membership.voters.iter().copied();
        voters.filter(|id| self.is_silent(*id, now_ms)).collect()
    }

    /// Whether this instance has heard nothing from a replica for a while, although it heard a
    /// majority. That time does not start over with a new leader.
    fn is_silent(&self, id: ReplicaId, now_ms: u64) -> bool {
        let received = self.presences.values();
        let received = received.filter(|record| record.presence.replica == id);
        let heard_ms = received.map(|record| record.received_ms).max();
        let since_ms = heard_ms.unwrap_or(0).max(self.hears_majority_since_ms);
        id != self.own && now_ms >= since_ms + VOTER_TIMEOUT_MS
    }

    /// Whether two replicas are different disks of one instance.
    fn is_same_instance(&self, old: &ReplicaId, new: &ReplicaId) -> bool {
        match &self.discovery {
            Discovery::Listed(_) => old.number == new.number,
            Discovery::Seeds(_) => {
                let (old, new) = (self.addresses_of(*old), self.addresses_of(*new));
                old.is_some_and(|old| new.is_some_and(|new| old.peer == new.peer))
            }
        }
    }
}

/// The instances whose last presence message has not timed out.
fn present_instances(
    presences: &BTreeMap<SocketAddr, PresenceRecord>,
    now_ms: u64,
) -> impl Iterator<Item = &Presence> {
    presences
        .values()
        .filter(move |record| now_ms < record.received_ms + PRESENCE_TIMEOUT_MS)
        .map(|record| &record.presence)
}
