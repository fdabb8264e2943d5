//! Explores the repair of a control group over random schedules: voters are replaced, restarted
//! and suspended in turn, as soon as the next loss must be borne, while the leader changes.
//! Instances without a disk restart meanwhile, with other seeds.
//!
//! Guards against a group that loses its majority for good although no two disks were lost at
//! once, and against instances that never find each other again. The model drives `Roster` and
//! `Core` as the replica does, under a common clock; faulty variants prove that the exploration
//! would find such a group.

use guavacove::{
    consensus::*,
    control::{
        replica::{PRESENCE_INTERVAL_MS, PRESENCE_TIMEOUT_MS, TICK_MS, TIMING},
        roster::{Discovery, InstanceAddresses, Presence, Roster},
    },
};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

const SCHEDULES: u64 = 150;
const CORE: u8 = 3;
/// Hosts of the instances without a disk.
const DISKLESS: [u8; 3] = [101, 102, 103];
/// Number of losses in a schedule.
const LOSSES: usize = 5;
/// Time after its start, or its return, until an instance counts as one that may be lost.
const CATCH_UP_MS: u64 = 4000;
/// Time after the last loss in which the group must lead again.
const RECOVERY_MS: u64 = 12_000;
/// Silence after which the faulty variant of the repair acts.
const LONG_SILENCE_MS: u64 = 8000;
const MAX_DELAY_MS: u64 = 10;

/// A variant of the rules.
#[derive(Clone, Copy)]
struct Rules {
    repair: Repair,
    /// Whether an instance contacts those that are silent and no members.
    keeps_contacts: bool,
}

const CORRECT: Rules = Rules {
    repair: correct,
    keeps_contacts: true,
};

/// A variant of the repair: the change that the roster names, what the leader knows, and the
/// replicas that are lost for good.
type Repair =
    fn(Option<MembershipChange>, &Leading, &BTreeSet<ReplicaId>) -> Option<MembershipChange>;

/// What a leader knows when it decides on a change.
struct Leading<'a> {
    membership: &'a Membership,
    leads_for_ms: u64,
}

#[derive(Clone)]
enum Payloads {
    Present(Presence),
    Core(ReplicaId, ReplicaId, Message),
}

struct InTransit {
    due_ms: u64,
    to: u8,
    payload: Payloads,
}

struct Instance {
    id: ReplicaId,
    is_durable: bool,
    seeds: Vec<u8>,
    /// When it heard from each host.
    heard_ms: BTreeMap<u8, u64>,
    core: Core,
    roster: Roster,
    started_ms: u64,
    presence_sent_ms: u64,
    leader_term: Term,
    leader_since_ms: u64,
    /// Until when it is suspended; its clock runs on.
    suspended_until_ms: u64,
}

type Disk = (
    ReplicaId,
    HardState,
    Log,
    BTreeMap<ReplicaId, InstanceAddresses>,
);

fn addresses(host: u8) -> InstanceAddresses {
    let at = |port| SocketAddr::from(([10, 0, 0, host], port));
    InstanceAddresses {
        peer: at(1),
        rpc: at(2),
        api: Some(at(3)),
    }
}

fn host_of(address: SocketAddr) -> u8 {
    match address {
        SocketAddr::V4(address) => address.ip().octets()[3],
        SocketAddr::V6(_) => unreachable!("all addresses are IPv4"),
    }
}

struct Model {
    random: SmallRng,
    rules: Rules,
    /// Hosts that the settings of later starts name.
    seeds: Vec<u8>,
    now_ms: u64,
    instances: BTreeMap<u8, Instance>,
    network: Vec<InTransit>,
    /// Entries that a leader has acknowledged.
    committed: BTreeMap<LogIndex, Entry>,
    lost_for_good: BTreeSet<ReplicaId>,
    next_host: u8,
}

impl Model {
    fn new(seed: u64, rules: Rules) -> Self {
        let hosts: Vec<u8> = (1..=CORE).collect();
        let mut model = Self {
            random: SmallRng::seed_from_u64(seed),
            rules,
            seeds: hosts.clone(),
            now_ms: 1000,
            instances: BTreeMap::new(),
            network: Vec::new(),
            committed: BTreeMap::new(),
            lost_for_good: BTreeSet::new(),
            next_host: CORE + 1,
        };
        let ids: Vec<ReplicaId> = (0..CORE).map(|_| model.new_id()).collect();
        let snapshot = Snapshot {
            index: LogIndex(1),
            membership: Membership {
                voters: ids.iter().copied().collect(),
                ..Membership::default()
            },
            ..Snapshot::default()
        };
        let log = Log {
            snapshot,
            entries: Vec::new(),
        };
        for (host, id) in hosts.iter().zip(ids) {
            let disk = (id, HardState::default(), log.clone(), BTreeMap::new());
            model.start(*host, disk);
        }
        for host in DISKLESS {
            let disk = model.empty_disk();
            model.start(host, disk);
        }
        model
    }

    fn new_id(&mut self) -> ReplicaId {
        let disk = self.random.random();
        ReplicaId { number: 0, disk }
    }

    fn empty_disk(&mut self) -> Disk {
        (
            self.new_id(),
            HardState::default(),
            Log::default(),
            BTreeMap::new(),
        )
    }

    fn start(&mut self, host: u8, (id, hard, log, known): Disk) {
        let seeds = self.seeds.clone();
        let peers = seeds.iter().map(|seed| addresses(*seed).peer).collect();
        let discovery = Discovery::Seeds(peers);
        let is_durable = !DISKLESS.contains(&host);
        let instance = Instance {
            id,
            is_durable,
            seeds,
            heard_ms: BTreeMap::new(),
            core: Core::new(id, TIMING, hard, log, 1),
            roster: Roster::new(id, addresses(host), false, is_durable, discovery, known),
            started_ms: self.now_ms - 1,
            presence_sent_ms: 0,
            leader_term: Term(0),
            leader_since_ms: 0,
            suspended_until_ms: 0,
        };
        self.instances.insert(host, instance);
    }

    /// Ends an instance; returns what its disk holds.
    fn kill(&mut self, host: u8) -> Disk {
        let instance = self.instances.remove(&host).expect("it runs");
        self.network.retain(|message| message.to != host);
        (
            instance.id,
            instance.core.hard_state().clone(),
            instance.core.log().clone(),
            instance.roster.addresses(),
        )
    }

    fn leader(&self) -> Option<u8> {
        let leads = |(_, instance): &(&u8, &Instance)| {
            let now_ms = self.now_ms - instance.started_ms;
            instance.suspended_until_ms <= self.now_ms && instance.core.holds_lease(now_ms)
        };
        self.instances.iter().find(leads).map(|(host, _)| *host)
    }

    fn send(&mut self, from: u8, to: SocketAddr, payload: Payloads) {
        let instance = &self.instances[&from];
        let mut is_linked = instance.roster.peer_addresses().contains(&to);
        let to = host_of(to);
        if !self.rules.keeps_contacts {
            let heard_ms = instance.heard_ms.get(&to).copied().unwrap_or(0);
            let members = instance.core.membership().others(instance.id);
            let addresses = members.iter().map(|id| instance.roster.addresses_of(*id));
            let mut members = addresses.flatten().map(|addresses| host_of(addresses.peer));
            is_linked &= instance.seeds.contains(&to)
                || self.now_ms < heard_ms + PRESENCE_TIMEOUT_MS
                || members.any(|host| host == to);
        }
        if is_linked && self.instances.contains_key(&to) {
            let due_ms = self.now_ms + self.random.random_range(1..MAX_DELAY_MS);
            self.network.push(InTransit {
                due_ms,
                to,
                payload,
            });
        }
    }

    fn broadcast(&mut self, from: u8, payload: &Payloads) {
        for to in self.instances[&from].roster.peer_addresses() {
            self.send(from, to, payload.clone());
        }
    }

    /// Steps a core; what it sends is queued, and what it commits is compared with all others.
    fn step(&mut self, host: u8, input: Input) {
        let Some(instance) = self.instances.get_mut(&host) else {
            return;
        };
        let now_ms = self.now_ms - instance.started_ms;
        let effects = instance.core.step(now_ms, input);
        let from = instance.id;
        let mut has_membership = false;
        for entry in effects.committed {
            has_membership |= matches!(entry.payload, Payload::Membership(_));
            let first = self.committed.entry(entry.index).or_insert(entry.clone());
            assert_eq!(*first, entry, "two entries committed at one index");
        }
        for (to, message) in effects.messages {
            let known = self.instances[&host].roster.addresses_of(to);
            if let Some(addresses) = known {
                self.send(host, addresses.peer, Payloads::Core(from, to, message));
            }
        }
        if has_membership {
            self.repair(host);
        }
    }

    fn repair(&mut self, host: u8) {
        let instance = &self.instances[&host];
        let now_ms = self.now_ms - instance.started_ms;
        let leads_now = instance.leader_term == instance.core.term();
        if !leads_now || !instance.core.holds_lease(now_ms) {
            return;
        }
        let membership = instance.core.membership();
        let caught_up = instance.core.caught_up_learners();
        let change = instance
            .roster
            .next_membership_change(membership, &caught_up, now_ms);
        let leading = Leading {
            membership,
            leads_for_ms: now_ms - instance.leader_since_ms,
        };
        if let Some(change) = (self.rules.repair)(change, &leading, &self.lost_for_good) {
            self.step(host, Input::Change(change));
        }
    }

    fn tick(&mut self, host: u8) {
        self.step(host, Input::Tick);
        let instance = self.instances.get_mut(&host).expect("it runs");
        let now_ms = self.now_ms - instance.started_ms;
        instance.roster.observe(instance.core.membership(), now_ms);
        let leads = instance.core.holds_lease(now_ms);
        if now_ms >= instance.presence_sent_ms + PRESENCE_INTERVAL_MS {
            instance.presence_sent_ms = now_ms;
            let membership = instance.core.membership().clone();
            instance.roster.prune_addresses(now_ms);
            let presence = instance
                .roster
                .presence(!membership.is_empty(), leads, now_ms);
            self.broadcast(host, &Payloads::Present(presence));
        }
        let instance = self.instances.get_mut(&host).expect("it runs");
        if instance.core.role() == RoleName::Leader {
            if instance.leader_term != instance.core.term() {
                instance.leader_term = instance.core.term();
                instance.leader_since_ms = now_ms;
            }
            self.repair(host);
        }
    }

    fn receive(&mut self, host: u8, payload: Payloads) {
        let Some(instance) = self.instances.get_mut(&host) else {
            return;
        };
        match payload {
            Payloads::Present(presence) => {
                let sender = host_of(presence.addresses.peer);
                instance.heard_ms.insert(sender, self.now_ms);
                let now_ms = self.now_ms - instance.started_ms;
                if instance.roster.record_presence(presence, now_ms) {
                    instance.presence_sent_ms = 0;
                }
            }
            Payloads::Core(from, to, message) if to == instance.id => {
                self.step(host, Input::Receive { from, message });
            }
            Payloads::Core(..) => {}
        }
    }

    fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms += TICK_MS / 5;
            let now_ms = self.now_ms;
            let suspended = |model: &Self, host: &u8| {
                let instance = model.instances.get(host);
                instance.is_some_and(|instance| instance.suspended_until_ms > now_ms)
            };
            let network = std::mem::take(&mut self.network);
            let (due, waiting): (Vec<InTransit>, Vec<InTransit>) = network
                .into_iter()
                .partition(|message| message.due_ms <= now_ms && !suspended(self, &message.to));
            self.network = waiting;
            for message in due {
                self.receive(message.to, message.payload);
            }
            if !now_ms.is_multiple_of(TICK_MS) {
                continue;
            }
            for host in self.instances.keys().copied().collect::<Vec<_>>() {
                if !suspended(self, &host) {
                    self.tick(host);
                }
            }
            if now_ms.is_multiple_of(100)
                && let Some(leader) = self.leader()
            {
                self.step(leader, Input::Propose(vec![vec![1].into()]));
            }
        }
    }

    /// Runs on, and has the leader transfer its leadership at a random moment of it, perhaps.
    fn run_with_transfer(&mut self, duration_ms: u64) {
        let before_ms = self.random.random_range(0..=duration_ms);
        self.run(before_ms);
        if self.random.random_bool(0.4)
            && let Some(leader) = self.leader()
        {
            self.step(leader, Input::HandOver);
        }
        self.run(duration_ms - before_ms);
    }

    /// Names other hosts in the settings: any that run, or those without a disk.
    fn exchange_seeds(&mut self) {
        let hosts: Vec<u8> = self.instances.keys().copied().collect();
        self.seeds = match self.random.random_bool(0.5) {
            true => DISKLESS.to_vec(),
            false => hosts
                .choose_multiple(&mut self.random, 3)
                .copied()
                .collect(),
        };
    }

    /// Restarts some or all instances without a disk; the settings name one that runs.
    fn restart_diskless(&mut self) {
        let share = self.random.random_range(0.3..1.0);
        let hosts = DISKLESS.into_iter();
        let hosts: Vec<u8> = hosts.filter(|_| self.random.random_bool(share)).collect();
        for host in &hosts {
            self.kill(*host);
        }
        let down_ms = self.random.random_range(0..3000);
        self.run(down_ms);
        for host in hosts {
            let disk = self.empty_disk();
            self.start(host, disk);
        }
    }

    /// Loses one instance with a disk, in a random way, and waits until it does not count as lost
    /// any more.
    fn lose_one(&mut self) {
        if self.random.random_bool(0.4) {
            self.exchange_seeds();
        }
        if self.random.random_bool(0.4) {
            self.restart_diskless();
        }
        let durable = self.instances.iter().filter(|(_, i)| i.is_durable);
        let hosts: Vec<u8> = durable.map(|(host, _)| *host).collect();
        let victim = match self.leader() {
            Some(leader) if self.random.random_bool(0.5) => leader,
            _ => *hosts.choose(&mut self.random).expect("some run"),
        };
        let down_ms = self.random.random_range(0..3000);
        match self.random.random_range(0..6) {
            0 => {
                let disk = self.kill(victim);
                self.run_with_transfer(down_ms);
                self.start(victim, disk);
            }
            1 => {
                let suspended_ms = self.random.random_range(200..7000);
                let instance = self.instances.get_mut(&victim).expect("it runs");
                instance.suspended_until_ms = self.now_ms + suspended_ms;
                self.run_with_transfer(suspended_ms);
            }
            2 => {
                let lost = self.kill(victim);
                self.lost_for_good.insert(lost.0);
                self.run_with_transfer(down_ms);
                let disk = self.empty_disk();
                self.start(victim, disk);
            }
            _ => {
                let lost = self.kill(victim);
                self.lost_for_good.insert(lost.0);
                self.run_with_transfer(down_ms);
                let disk = self.empty_disk();
                if !self
                    .seeds
                    .iter()
                    .any(|host| self.instances.contains_key(host))
                {
                    self.exchange_seeds();
                }
                self.start(self.next_host, disk);
                self.next_host += 1;
            }
        }
        let spare_ms = self.random.random_range(0..1000);
        self.run_with_transfer(CATCH_UP_MS + spare_ms);
    }
}

/// Runs one schedule; returns what is wrong at its end.
fn run_schedule(seed: u64, rules: Rules) -> Result<(), String> {
    let mut model = Model::new(seed, rules);
    model.run(3000);
    if model.random.random_bool(0.3) {
        // A fourth instance with a disk stands ready.
        let disk = model.empty_disk();
        model.start(model.next_host, disk);
        model.next_host += 1;
        model.run(CATCH_UP_MS);
    }
    for _ in 0..LOSSES {
        model.lose_one();
    }
    let acknowledged = model.committed.last_key_value().map(|(index, _)| *index);
    model.run(RECOVERY_MS);
    let Some(leader) = model.leader() else {
        return Err("no leader".into());
    };
    let core = &model.instances[&leader].core;
    let voters = &core.membership().voters;
    let running = model.instances.values();
    let live = running.filter(|instance| voters.contains(&instance.id));
    let live = live.count();
    let knows_leader = |(host, instance): (&u8, &Instance)| {
        let now_ms = model.now_ms - instance.started_ms;
        *host == leader || instance.roster.leader(now_ms) == Some(addresses(leader))
    };
    match acknowledged {
        _ if !model.instances.iter().all(knows_leader) => {
            Err("an instance does not know the leader".into())
        }
        Some(index) if core.commit_index() < index => {
            Err("the leader lacks an acknowledged entry".into())
        }
        _ if live < voters.len() / 2 + 2 => {
            Err(format!("{live} of {} voters are left", voters.len()))
        }
        _ => Ok(()),
    }
}

fn correct(
    change: Option<MembershipChange>,
    _: &Leading,
    _: &BTreeSet<ReplicaId>,
) -> Option<MembershipChange> {
    change
}

/// Counts the silence of voters from the election of the leader, and for longer.
fn waits_after_each_election(
    change: Option<MembershipChange>,
    leading: &Leading,
    _: &BTreeSet<ReplicaId>,
) -> Option<MembershipChange> {
    change.filter(|change| {
        let removes_voter = |id| leading.membership.voters.contains(id);
        let depends_on_silence = match change {
            MembershipChange::AddLearner(_) => false,
            MembershipChange::Promote(_) => true,
            MembershipChange::Remove(id) => removes_voter(id),
        };
        !depends_on_silence || leading.leads_for_ms > LONG_SILENCE_MS
    })
}

/// Leaves a voter that has a successor in the group.
fn keeps_lost_voters(
    change: Option<MembershipChange>,
    leading: &Leading,
    _: &BTreeSet<ReplicaId>,
) -> Option<MembershipChange> {
    change.filter(|change| {
        !matches!(change, MembershipChange::Remove(id) if leading.membership.voters.contains(id))
    })
}

/// Removes a lost voter before another replica is at hand.
fn removes_without_successor(
    change: Option<MembershipChange>,
    leading: &Leading,
    lost_for_good: &BTreeSet<ReplicaId>,
) -> Option<MembershipChange> {
    let lost = leading.membership.voters.intersection(lost_for_good).next();
    match lost {
        Some(id) => Some(MembershipChange::Remove(*id)),
        None => change.filter(|change| !matches!(change, MembershipChange::Promote(_))),
    }
}

fn failing_schedules(rules: Rules) -> Vec<(u64, String)> {
    let depth = match std::env::var("GUAVACOVE_MODEL_DEPTH").as_deref() {
        Ok("deep") => 20,
        _ => 1,
    };
    (0..SCHEDULES * depth)
        .filter_map(|seed| run_schedule(seed, rules).err().map(|why| (seed, why)))
        .collect()
}

fn is_detected(rules: Rules) -> bool {
    !failing_schedules(rules).is_empty()
}

fn repaired_by(repair: Repair) -> Rules {
    Rules { repair, ..CORRECT }
}

#[test]
fn the_group_survives_voters_that_are_lost_in_turn() {
    assert_eq!(failing_schedules(CORRECT), []);
}

#[test]
fn waiting_after_each_election_is_detected() {
    assert!(is_detected(repaired_by(waits_after_each_election)));
}

#[test]
fn keeping_lost_voters_is_detected() {
    assert!(is_detected(repaired_by(keeps_lost_voters)));
}

#[test]
fn removing_voters_without_a_successor_is_detected() {
    assert!(is_detected(repaired_by(removes_without_successor)));
}

/// Instances without a disk whose seeds name each other only know nobody else after a restart.
#[test]
fn forgetting_silent_instances_is_detected() {
    assert!(is_detected(Rules {
        keeps_contacts: false,
        ..CORRECT
    }));
}
