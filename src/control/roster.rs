//! The control instances that a replica knows of, as pure decisions from what was heard.
//!
//! Either the settings list every instance by number, or instances find each other
//! through seeds and are told apart by address.

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

/// The most voters; more only slow commits down.
const MOST_VOTERS: usize = 7;

record! {
    /// Where a control instance is reached.
    #[derive(Copy)]
    pub struct InstanceAddresses {
        /// By other control instances.
        pub peer: SocketAddr,
        /// By other processes.
        pub rpc: SocketAddr,
        /// By operators and targets, in their own protocol.
        pub api: Option<SocketAddr>,
    }

    /// What an instance says of itself.
    #[allow(clippy::struct_excessive_bools)]
    pub struct Presence {
        /// Its replica.
        pub replica: ReplicaId,
        /// Whether its replica belongs to a group.
        pub in_group: bool,
        /// Whether its replica leads the group.
        pub leads: bool,
        /// Whether it may found the group.
        pub founder: bool,
        /// Whether its replica is kept on a disk. Others count only where no disk is.
        pub durable: bool,
        /// Where it is reached.
        pub addresses: InstanceAddresses,
        /// The other instances that it knows of.
        pub known: Vec<(ReplicaId, InstanceAddresses)>,
    }

    /// How instances are known.
    pub enum Discovery {
        /// By the settings.
        Listed(Vec<PeerSettings>),
        /// Through the peer addresses of some of them.
        Seeds(Vec<SocketAddr>),
    }

    /// What to do about founding the group.
    pub enum Founding {
        /// Nothing, at present.
        Wait,
        /// Ask these and found the group once all have done so.
        Invite(BTreeSet<ReplicaId>),
        /// Found it now: all others have.
        Found(BTreeSet<ReplicaId>),
    }
}

struct Heard {
    presence: Presence,
    heard_ms: u64,
}

/// What one replica knows of the control instances.
pub struct Roster {
    own: ReplicaId,
    own_addresses: InstanceAddresses,
    founder: bool,
    durable: bool,
    discovery: Discovery,
    heard: BTreeMap<SocketAddr, Heard>,
    addresses: BTreeMap<ReplicaId, InstanceAddresses>,
}

impl Roster {
    /// A roster that has heard of nobody. `known` are addresses from before a restart.
    pub fn new(
        own: ReplicaId,
        own_addresses: InstanceAddresses,
        founder: bool,
        durable: bool,
        discovery: Discovery,
        known: BTreeMap<ReplicaId, InstanceAddresses>,
    ) -> Self {
        Self {
            own,
            own_addresses,
            founder,
            durable,
            discovery,
            heard: BTreeMap::new(),
            addresses: known,
        }
    }

    /// Takes what an instance says of itself; returns whether an address is new.
    pub fn hear(&mut self, presence: Presence, now_ms: u64) -> bool {
        let mut news = false;
        for (id, addresses) in &presence.known {
            if *id != self.own && !self.addresses.contains_key(id) {
                self.addresses.insert(*id, *addresses);
                news = true;
            }
        }
        let known = self.addresses.insert(presence.replica, presence.addresses);
        news |= known != Some(presence.addresses);
        let address = presence.addresses.peer;
        self.heard.insert(
            address,
            Heard {
                presence,
                heard_ms: now_ms,
            },
        );
        news
    }

    /// Drops addresses of replicas that are neither members nor heard of.
    pub fn forget_strangers(&mut self, membership: &Membership, now_ms: u64) {
        let heard = &self.heard;
        let present = |id: &ReplicaId| fresh(heard, now_ms).any(|p| p.replica == *id);
        if !membership.is_empty() {
            self.addresses
                .retain(|id, _| membership.contains(*id) || present(id));
        }
    }

    /// What this instance says of itself.
    pub fn presence(&self, in_group: bool, leads: bool) -> Presence {
        Presence {
            replica: self.own,
            in_group,
            leads,
            founder: self.founder,
            durable: self.durable,
            addresses: self.own_addresses,
            known: self.addresses.iter().map(|(id, a)| (*id, *a)).collect(),
        }
    }

    /// Every peer address to keep in touch with.
    pub fn contacts(&self) -> BTreeSet<SocketAddr> {
        let mut contacts: BTreeSet<SocketAddr> = match &self.discovery {
            Discovery::Listed(peers) => peers.iter().map(|peer| peer.peer).collect(),
            Discovery::Seeds(seeds) => seeds.iter().copied().collect(),
        };
        contacts.extend(self.addresses.values().map(|addresses| addresses.peer));
        contacts.remove(&self.own_addresses.peer);
        contacts
    }

    /// The addresses of known replicas.
    pub fn addresses(&self) -> &BTreeMap<ReplicaId, InstanceAddresses> {
        &self.addresses
    }

    /// Where a replica is reached.
    pub fn addresses_of(&self, id: ReplicaId) -> Option<InstanceAddresses> {
        match &self.discovery {
            _ if id == self.own => Some(self.own_addresses),
            Discovery::Seeds(_) => self.addresses.get(&id).copied(),
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

    /// The RPC addresses of all replicas that were heard of lately, and of this one.
    pub fn rpc_addresses(&self, now_ms: u64) -> Vec<SocketAddr> {
        let present = fresh(&self.heard, now_ms);
        let mut addresses: Vec<SocketAddr> = present.map(|p| p.addresses.rpc).collect();
        addresses.push(self.own_addresses.rpc);
        addresses.sort_unstable();
        addresses
    }

    /// The instance that says that it leads the group.
    pub fn leader(&self, now_ms: u64) -> Option<InstanceAddresses> {
        let leader = fresh(&self.heard, now_ms).find(|presence| presence.leads);
        leader.map(|presence| presence.addresses)
    }

    /// What to do about founding the group, for a replica that belongs to none.
    pub fn founding(&self, now_ms: u64) -> Founding {
        let present: Vec<&Presence> = fresh(&self.heard, now_ms).collect();
        let complete = match &self.discovery {
            Discovery::Listed(peers) => present.len() + 1 == peers.len(),
            Discovery::Seeds(seeds) => seeds.iter().all(|seed| {
                *seed == self.own_addresses.peer
                    || present
                        .iter()
                        .any(|presence| presence.addresses.peer == *seed)
            }),
        };
        let disks = self.durable || present.iter().any(|presence| presence.durable);
        let founders = present.iter().filter(|presence| match self.discovery {
            Discovery::Listed(_) => true,
            Discovery::Seeds(_) => presence.founder && presence.durable == disks,
        });
        let others: BTreeSet<ReplicaId> = founders.map(|p| p.replica).collect();
        let founder = self.founder && self.durable == disks;
        // Others that lost their disks may have belonged to a group that this replica was
        // invited to, and does not know of yet.
        let most_are_founders = (others.len() + 1) * 2 > self.present_seeds(&present, disks);
        let stranger =
            |presence: &&Presence| presence.in_group && !others.contains(&presence.replica);
        let stranger = present.iter().any(stranger);
        let founded = present.iter().filter(|presence| presence.in_group).count();
        let lowest = others.iter().all(|id| self.own < *id);
        let mut voters = others.clone();
        voters.insert(self.own);
        match () {
            () if !founder || !complete || !lowest || stranger || !most_are_founders => {
                Founding::Wait
            }
            () if founded == others.len() => Founding::Found(voters),
            () if founded == 0 => Founding::Invite(voters),
            () => Founding::Wait,
        }
    }

    /// How many of the instances that may be founders are kept on disks, or are not where no
    /// instance has one; this one among them.
    fn present_seeds(&self, present: &[&Presence], disks: bool) -> usize {
        let is_seed = |presence: &&&Presence| match &self.discovery {
            Discovery::Listed(_) => true,
            Discovery::Seeds(seeds) => {
                seeds.contains(&presence.addresses.peer) && presence.durable == disks
            }
        };
        present.iter().filter(is_seed).count() + 1
    }

    /// Whether more than half of a group, this replica among them, belong to it if this one
    /// joins: then it can act, whichever of the others lost their disks meanwhile.
    pub fn most_in_group(&self, group: &BTreeSet<ReplicaId>, now_ms: u64) -> bool {
        let founded = |id: &&ReplicaId| {
            **id == self.own || fresh(&self.heard, now_ms).any(|p| p.replica == **id && p.in_group)
        };
        group.iter().filter(founded).count() > group.len() / 2
    }

    /// The next step towards the replicas that the group should have; `None` if it has.
    pub fn repair(
        &self,
        membership: &Membership,
        led_ms: u64,
        now_ms: u64,
    ) -> Option<MembershipChange> {
        let disks = self.durable || fresh(&self.heard, now_ms).any(|presence| presence.durable);
        let present: BTreeSet<ReplicaId> = fresh(&self.heard, now_ms)
            .filter(|presence| presence.durable == disks)
            .map(|presence| presence.replica)
            .chain([self.own])
            .collect();
        let successor = |old: &ReplicaId| {
            present
                .iter()
                .find(|id| **id != *old && self.same_instance(old, id))
                .copied()
        };
        let replaced_voter = membership.voters.iter().find(|old| {
            !present.contains(old)
                && successor(old).is_some_and(|id| membership.voters.contains(&id))
        });
        let replaced_learner = membership
            .learners
            .iter()
            .find(|old| !present.contains(old) && successor(old).is_some());
        let settled = now_ms > led_ms + VOTER_TIMEOUT_MS;
        let silent =
            |id: &&ReplicaId| settled && **id != self.own && !self.heard_since(**id, now_ms);
        let silent_voter = membership.voters.iter().find(silent);
        let silent_learner = membership.learners.iter().find(silent);
        let newcomer = present.iter().find(|id| !membership.contains(**id));
        let learner = membership.learners.iter().find(|id| present.contains(id));
        let learners = membership.learners.intersection(&present).count();
        let voters = membership.voters.len();
        let short = match &self.discovery {
            Discovery::Listed(_) => true,
            Discovery::Seeds(_) => {
                let lost = |old: &ReplicaId| silent(&old) || successor(old).is_some();
                let grows = learners >= 2 && voters + 2 <= MOST_VOTERS;
                voters.is_multiple_of(2) || grows || membership.voters.iter().any(lost)
            }
        };
        let seeds = matches!(self.discovery, Discovery::Seeds(_));
        match () {
            () if let Some(id) = replaced_voter => Some(MembershipChange::Remove(*id)),
            () if let Some(id) = replaced_learner => Some(MembershipChange::Remove(*id)),
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
            () if let Some(id) = newcomer => Some(MembershipChange::AddLearner(*id)),
            () if let Some(id) = learner
                && short =>
            {
                Some(MembershipChange::Promote(*id))
            }
            () => None,
        }
    }

    /// Whether two replicas are disks of the same instance.
    fn same_instance(&self, old: &ReplicaId, new: &ReplicaId) -> bool {
        match &self.discovery {
            Discovery::Listed(_) => old.number == new.number,
            Discovery::Seeds(_) => {
                let (old, new) = (self.addresses_of(*old), self.addresses_of(*new));
                old.is_some_and(|old| new.is_some_and(|new| old.peer == new.peer))
            }
        }
    }

    fn heard_since(&self, id: ReplicaId, now_ms: u64) -> bool {
        self.heard
            .values()
            .any(|heard| heard.presence.replica == id && now_ms < heard.heard_ms + VOTER_TIMEOUT_MS)
    }
}

/// The instances that were heard of lately.
fn fresh(heard: &BTreeMap<SocketAddr, Heard>, now_ms: u64) -> impl Iterator<Item = &Presence> {
    heard
        .values()
        .filter(move |heard| now_ms < heard.heard_ms + PRESENCE_TIMEOUT_MS)
        .map(|heard| &heard.presence)
}
