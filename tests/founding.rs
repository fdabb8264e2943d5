//! Explores the bootstrap of a control group over random schedules: messages are delayed, lost
//! and duplicated, instances restart and lose their disks meanwhile.
//!
//! Guards against split brain, that is, two groups that can both commit. The model drives
//! `Roster::bootstrap_step` as the replica does; faulty variants of the rule prove that the
//! exploration would find two such groups.

use guavacove::{
    consensus::ReplicaId,
    control::roster::{BootstrapStep, Discovery, InstanceAddresses, Presence, Roster},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

const INSTANCES: usize = 3;
const STEPS: usize = 120;
const SCHEDULES: u64 = 4000;

type Group = BTreeSet<ReplicaId>;
/// The last presence message of each other instance, by peer address.
type Presences = BTreeMap<SocketAddr, Presence>;

/// A variant of the bootstrap rule.
#[derive(Clone, Copy)]
struct Rule {
    decide: fn(&Roster, &Presences, u64) -> BootstrapStep,
    /// Whether a founder remains one after a restart at which its settings say that this is not
    /// its first start.
    remembers_founder: bool,
}

const CORRECT: Rule = Rule {
    decide: correct,
    remembers_founder: true,
};

#[derive(Clone)]
enum Message {
    Present(Presence),
    Found(Group),
}

struct Instance {
    host: u8,
    id: ReplicaId,
    may_bootstrap: bool,
    roster: Roster,
    presences: Presences,
    invited: Option<Group>,
    group: Option<Group>,
}

fn addresses(host: u8) -> InstanceAddresses {
    let at = |port| SocketAddr::from(([10, 0, 0, host], port));
    InstanceAddresses {
        peer: at(1),
        rpc: at(2),
        api: Some(at(3)),
    }
}

impl Instance {
    fn start(host: u8, id: ReplicaId, may_bootstrap: bool, group: Option<Group>) -> Self {
        let seeds = (0..INSTANCES as u8).map(|host| addresses(host).peer);
        let founder = may_bootstrap && group.is_none();
        let discovery = Discovery::Seeds(seeds.collect());
        let known = BTreeMap::new();
        Self {
            host,
            id,
            may_bootstrap,
            roster: Roster::new(id, addresses(host), founder, true, discovery, known),
            presences: Presences::new(),
            invited: None,
            group,
        }
    }

    /// Performs a replica's tick; returns the messages that it broadcasts.
    fn tick(&mut self, rule: Rule, now_ms: u64) -> Vec<Message> {
        let presence = self.roster.presence(self.group.is_some(), false, now_ms);
        let mut sent = vec![Message::Present(presence)];
        if self.group.is_some() {
            return sent;
        }
        let step_taken = (rule.decide)(&self.roster, &self.presences, now_ms);
        match (&self.invited, step_taken) {
            (Some(invited), _) if self.roster.has_majority_in_group(invited, now_ms) => {
                self.group = Some(invited.clone());
            }
            (Some(invited), _) => sent.push(Message::Found(invited.clone())),
            (None, BootstrapStep::Bootstrap(all)) if all.len() == 1 => self.group = Some(all),
            (None, BootstrapStep::Invite(voters)) => {
                self.invited = Some(voters.clone());
                sent.push(Message::Found(voters));
            }
            (None, BootstrapStep::Bootstrap(_) | BootstrapStep::Wait) => {}
        }
        sent
    }

    fn receive(&mut self, message: Message, now_ms: u64) {
        match message {
            Message::Present(presence) => {
                self.presences
                    .insert(presence.addresses.peer, presence.clone());
                self.roster.record_presence(presence, now_ms);
            }
            Message::Found(group) if self.group.is_none() => self.group = Some(group),
            Message::Found(_) => {}
        }
    }
}

/// Whether majorities of both groups can form without a common member.
fn can_split(one: &Group, other: &Group) -> bool {
    let most_outside = |group: &Group, other: &Group| {
        let outside = group.difference(other).count();
        (outside, group.len() / 2 + 1)
    };
    let common = one.intersection(other).count();
    let (one_outside, one_needed) = most_outside(one, other);
    let (other_outside, other_needed) = most_outside(other, one);
    let missing =
        one_needed.saturating_sub(one_outside) + other_needed.saturating_sub(other_outside);
    missing <= common
}

/// Returns every group bootstrapped in one random schedule.
fn run_schedule(seed: u64, rule: Rule) -> BTreeSet<Group> {
    run_schedule_with(seed, rule, 0.2)
}

/// As `run_schedule`; `disk_loss_probability` is the probability that a drawn disk loss takes
/// place.
fn run_schedule_with(seed: u64, rule: Rule, disk_loss_probability: f64) -> BTreeSet<Group> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut disks = 0u64;
    let mut new_id = |random: &mut SmallRng| {
        disks += 1;
        let disk = random.random_range(1..1000) * 1000 + disks;
        ReplicaId { number: 0, disk }
    };
    let mut instances: Vec<Instance> = (0..INSTANCES as u8)
        .map(|host| Instance::start(host, new_id(&mut random), true, None))
        .collect();
    let (mut now_ms, mut groups) = (1, BTreeSet::new());
    let mut waiting: Vec<(usize, Message)> = Vec::new();
    for step in 0..STEPS * 2 {
        let is_stable_phase = step >= STEPS;
        let at = random.random_range(0..INSTANCES);
        match random.random_range(0..20) {
            0 if !is_stable_phase => {
                let Instance {
                    host,
                    id,
                    may_bootstrap,
                    ..
                } = instances[at];
                let group = instances[at].group.clone();
                // Whether a restart during the bootstrap counts as a first start is undefined.
                let is_first_start = may_bootstrap && random.random_bool(0.7);
                let may_bootstrap = is_first_start || (rule.remembers_founder && may_bootstrap);
                instances[at] = Instance::start(host, id, may_bootstrap, group);
            }
            1 if !is_stable_phase && random.random_bool(disk_loss_probability) => {
                // An instance that lost its disk is no founder, also after later restarts.
                let host = instances[at].host;
                instances[at] = Instance::start(host, new_id(&mut random), false, None);
            }
            2 if !is_stable_phase => now_ms += random.random_range(0..2500),
            3..=9 => {
                now_ms += 10;
                let sent = instances[at].tick(rule, now_ms);
                for to in (0..INSTANCES).filter(|to| *to != at) {
                    waiting.extend(sent.iter().map(|message| (to, message.clone())));
                }
            }
            _ if !waiting.is_empty() => {
                let position = random.random_range(0..waiting.len());
                let (to, message) = match !is_stable_phase && random.random_bool(0.1) {
                    true => waiting[position].clone(),
                    false => waiting.swap_remove(position),
                };
                if is_stable_phase || random.random_bool(0.8) {
                    instances[to].receive(message, now_ms);
                }
            }
            _ => {}
        }
        groups.extend(
            instances
                .iter()
                .filter_map(|instance| instance.group.clone()),
        );
    }
    groups
}

fn has_split(groups: &BTreeSet<Group>) -> bool {
    let pairs = groups
        .iter()
        .flat_map(|one| groups.iter().map(move |other| (one, other)));
    pairs
        .into_iter()
        .any(|(one, other)| one != other && can_split(one, other))
}

fn correct(roster: &Roster, _: &Presences, now_ms: u64) -> BootstrapStep {
    roster.bootstrap_step(now_ms)
}

/// Does not wait for all seeds to be present: two halves can each bootstrap a group.
fn ignores_missing_seeds(roster: &Roster, presences: &Presences, now_ms: u64) -> BootstrapStep {
    let own = roster.presence(false, false, now_ms).replica;
    match roster.bootstrap_step(now_ms) {
        BootstrapStep::Wait if !presences.is_empty() => {
            let others = presences.values().map(|presence| presence.replica);
            BootstrapStep::Invite(others.chain([own]).collect())
        }
        step_taken => step_taken,
    }
}

/// Bootstraps a group of its own if no other instance is present within a second.
fn bootstraps_alone(roster: &Roster, presences: &Presences, now_ms: u64) -> BootstrapStep {
    let own = roster.presence(false, false, now_ms).replica;
    match roster.bootstrap_step(now_ms) {
        BootstrapStep::Wait if presences.is_empty() && now_ms > 1000 => {
            BootstrapStep::Bootstrap([own].into())
        }
        step_taken => step_taken,
    }
}

/// Bootstraps without the instances that lost their disks, even if these are the majority.
fn ignores_lost_disks(roster: &Roster, presences: &Presences, now_ms: u64) -> BootstrapStep {
    let own = roster.presence(false, false, now_ms);
    let lost = |presence: &Presence| !presence.founder && !presence.in_group;
    match roster.bootstrap_step(now_ms) {
        BootstrapStep::Wait
            if own.founder && presences.len() == 2 && presences.values().all(lost) =>
        {
            BootstrapStep::Bootstrap([own.replica].into())
        }
        step_taken => step_taken,
    }
}

fn is_detected(rule: Rule) -> bool {
    (0..SCHEDULES * 25).any(|seed| has_split(&run_schedule(seed, rule)))
}

#[test]
fn no_schedule_bootstraps_two_independent_groups() {
    let mut founded = 0;
    let schedules = match std::env::var("GUAVACOVE_MODEL_DEPTH").as_deref() {
        Ok("deep") => SCHEDULES * 25,
        _ => SCHEDULES,
    };
    for seed in 0..schedules {
        let groups = run_schedule(seed, CORRECT);
        assert!(!has_split(&groups), "seed {seed}: {groups:?}");
        founded += u64::from(!groups.is_empty());
    }
    println!("{founded} of {schedules} schedules founded a group");
    assert!(
        founded > schedules / 4,
        "the schedules hardly found any group"
    );
}

/// Instances may restart during the bootstrap with settings that say it is not their first
/// start. As long as no disk is lost, a group must still be bootstrapped.
#[test]
fn restarts_do_not_prevent_bootstrap() {
    let always_bootstraps = |rule| {
        let mut schedules = 0..SCHEDULES / 4;
        schedules.all(|seed| !run_schedule_with(seed, rule, 0.0).is_empty())
    };
    assert!(always_bootstraps(CORRECT));
    let forgetful = Rule {
        remembers_founder: false,
        ..CORRECT
    };
    assert!(!always_bootstraps(forgetful));
}

#[test]
fn faulty_rules_are_detected() {
    let wrong = |decide| Rule { decide, ..CORRECT };
    assert!(is_detected(wrong(ignores_missing_seeds)));
    assert!(is_detected(wrong(bootstraps_alone)));
    assert!(is_detected(wrong(ignores_lost_disks)));
}
