//! The core protocol explored exhaustively at small bounds.
//!
//! Every transition is the shipped step function. Five worlds: elections
//! message by message; the log under whole elections; leases under a common
//! clock; replicas whose disk is new; claims, grants and fences. For each
//! property a seeded mutation shows that the check sees it.
//!
//! `GUAVACOVE_MODEL_DEPTH=deep` widens the bounds.

use guavacove::consensus::*;
use pathfinding::directed::bfs::bfs_reach;
use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    hash::{DefaultHasher, Hash, Hasher},
    rc::Rc,
};

/// No time passes: any replica may time out at any moment.
const TIMELESS: Timing = Timing {
    heartbeat_ms: 0,
    election_ms: 0,
    spread_ms: 0,
    lease_ms: 0,
};
/// The intervals of the world with a clock.
const TIMING: Timing = Timing {
    heartbeat_ms: 4,
    election_ms: 4,
    spread_ms: 0,
    lease_ms: 3,
};
/// The most messages from one replica to another at one time.
const CHANNEL: usize = 1;

fn is_deep() -> bool {
    std::env::var("GUAVACOVE_MODEL_DEPTH").is_ok_and(|depth| depth == "deep")
}

fn id(number: u8) -> ReplicaId {
    ReplicaId { number, disk: 0 }
}

macro_rules! rules {
    ($($name:ident { $($body:tt)* })*) => {
        $(
            #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
            struct $name;
            impl Rules for $name {
                fn append_entries() -> usize { 1 }
                $($body)*
            }
        )*
    };
}

rules! {
    Shipped {}
    CommitsOlderTerms {
        fn commits_by_count(_: Term, _: Term) -> bool { true }
    }
    CountsLearners {
        fn counted(membership: &Membership) -> BTreeSet<ReplicaId> {
            membership.voters.union(&membership.learners).copied().collect()
        }
    }
    VotesWithinLease {
        fn votes_wait_for_lease() -> bool { false }
    }
}

/// What a world may do, and which mutation it carries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Bounds {
    campaigns: u8,
    elections: u8,
    restarts: u8,
    proposals: u8,
    lost_disks: u8,
    heartbeats: u8,
    clock_ms: u64,
    vote_not_synced: bool,
    disk_keeps_identity: bool,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct Node<R: Rules> {
    core: Core<R>,
    disk: (HardState, Log),
    clock_ms: u64,
    gone: bool,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct World<R: Rules> {
    nodes: BTreeMap<ReplicaId, Node<R>>,
    network: BTreeMap<(ReplicaId, ReplicaId), Vec<Message>>,
    committed: BTreeMap<LogIndex, (Term, Entry)>,
    leaders: BTreeMap<Term, ReplicaId>,
    left: Bounds,
    timing: Timing,
    common_clock: bool,
    fault: Option<&'static str>,
}

impl<R: Rules + Copy + Eq + Hash> World<R> {
    /// A founded group of three voters, and learners besides.
    fn founded(learners: &[u8], bounds: Bounds, timing: Timing) -> Self {
        let mut membership = Membership::default();
        membership.voters.extend([1, 2, 3].map(id));
        membership.learners.extend(learners.iter().copied().map(id));
        let snapshot = Snapshot {
            index: LogIndex(1),
            membership,
            ..Snapshot::default()
        };
        let log = Log {
            snapshot,
            entries: Vec::new(),
        };
        let all = [1, 2, 3].iter().chain(learners).copied().map(id);
        let nodes = all.map(|id| {
            (
                id,
                Node::start(id, timing, (HardState::default(), log.clone()), 10),
            )
        });
        Self {
            nodes: nodes.collect(),
            network: BTreeMap::new(),
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            left: bounds,
            timing,
            common_clock: false,
            fault: None,
        }
    }

    /// One input at one replica, with the driver's order: sync, send, apply.
    fn step(&mut self, at: ReplicaId, input: Input) {
        let Some(node) = self.nodes.get_mut(&at).filter(|node| !node.gone) else {
            return;
        };
        let before = node.disk.0.clone();
        let effects = node.core.step(node.clock_ms, input);
        node.disk = (node.core.hard_state().clone(), node.core.log().clone());
        if self.left.vote_not_synced && node.disk.0.term == before.term {
            node.disk.0.voted_for = before.voted_for;
        }
        if self.left.vote_not_synced && node.disk.0.term > before.term {
            node.disk.0.voted_for = None;
        }
        if node.core.role() == RoleName::Leader {
            let first = *self.leaders.entry(node.core.term()).or_insert(at);
            let lacks = |(committed_in, entry): &(Term, Entry)| {
                node.core.term() > *committed_in && node.core.log().get(entry.index) != Some(entry)
            };
            if first != at {
                self.fault = Some("two leaders in one term");
            } else if self.committed.values().any(lacks) {
                self.fault = Some("a leader lacks a committed entry");
            }
        }
        for entry in effects.committed {
            let committed_in = node.core.term();
            let known = self.committed.entry(entry.index);
            let (_, known) = known.or_insert_with(|| (committed_in, entry.clone()));
            if *known != entry {
                self.fault = Some("two entries committed at one index");
            }
        }
        for (to, message) in effects.messages {
            let channel = self.network.entry((at, to)).or_default();
            if !channel.contains(&message) && channel.len() < CHANNEL {
                channel.push(message);
            }
        }
        self.network.retain(|_, channel| !channel.is_empty());
        self.check_leases();
    }

    fn check_leases(&mut self) {
        if !self.common_clock {
            return;
        }
        let live = self.nodes.values().filter(|node| !node.gone);
        let holders: Vec<_> = live
            .filter(|node| node.core.lease_holds(node.clock_ms))
            .collect();
        let last = self
            .committed
            .last_key_value()
            .map_or(LogIndex(0), |(index, _)| *index);
        if holders.len() > 1 {
            self.fault = Some("two leases at one time");
        } else if holders.iter().any(|node| node.core.commit_index() < last) {
            self.fault = Some("a lease holder lacks a committed entry");
        }
    }

    fn deliver(&mut self, channel: (ReplicaId, ReplicaId), position: usize) {
        if let Some(messages) = self.network.get_mut(&channel) {
            let message = messages.remove(position);
            self.step(
                channel.1,
                Input::Receive {
                    from: channel.0,
                    message,
                },
            );
        }
    }

    /// Delivers all messages between two replicas, in order, for some rounds.
    fn converse(&mut self, a: ReplicaId, b: ReplicaId, rounds: usize) {
        for _ in 0..rounds {
            for channel in [(a, b), (b, a)] {
                if self
                    .network
                    .get(&channel)
                    .is_some_and(|messages| !messages.is_empty())
                {
                    self.deliver(channel, 0);
                }
            }
        }
    }

    /// A whole election by one voter's vote.
    fn elect(&mut self, candidate: ReplicaId, voter: ReplicaId) {
        self.network.clear();
        self.step(candidate, Input::Tick);
        self.converse(candidate, voter, 2);
    }

    fn restart(&mut self, at: ReplicaId) {
        if let Some(node) = self.nodes.get_mut(&at) {
            *node = Node::start(at, self.timing, node.disk.clone(), node.clock_ms);
        }
    }

    /// A disk is lost. Its successor is a new replica with nothing.
    fn lose_disk(&mut self, at: ReplicaId) {
        let Some(node) = self.nodes.get_mut(&at) else {
            return;
        };
        node.gone = true;
        let clock_ms = node.clock_ms;
        let successor = match self.left.disk_keeps_identity {
            true => at,
            false => ReplicaId {
                disk: at.disk + 1,
                ..at
            },
        };
        let empty = (HardState::default(), Log::default());
        self.nodes.insert(
            successor,
            Node::start(successor, self.timing, empty, clock_ms),
        );
    }

    fn leaders_now(&self) -> Vec<ReplicaId> {
        let live = self.nodes.iter().filter(|(_, node)| !node.gone);
        live.filter(|(_, n)| n.core.role() == RoleName::Leader)
            .map(|(id, _)| *id)
            .collect()
    }

    /// Every world one transition away. A faulty world has none.
    fn successors(&self) -> Vec<Self> {
        let mut worlds = Vec::new();
        if self.fault.is_some() {
            return worlds;
        }
        let mut push = |change: &dyn Fn(&mut Self)| {
            let mut world = self.clone();
            change(&mut world);
            worlds.push(world);
        };
        for (channel, messages) in &self.network {
            for position in 0..messages.len() {
                push(&|world| world.deliver(*channel, position));
            }
        }
        let live: Vec<ReplicaId> = self
            .nodes
            .iter()
            .filter(|(_, n)| !n.gone)
            .map(|(id, _)| *id)
            .collect();
        for at in &live {
            if self.left.campaigns > 0 {
                push(&|world| {
                    world.left.campaigns -= 1;
                    world.step(*at, Input::Tick);
                });
            }
            if self.left.restarts > 0 {
                push(&|world| {
                    world.left.restarts -= 1;
                    world.restart(*at);
                });
            }
            if self.left.lost_disks > 0 {
                push(&|world| {
                    world.left.lost_disks -= 1;
                    world.lose_disk(*at);
                });
            }
            for voter in live
                .iter()
                .filter(|voter| *voter != at && self.left.elections > 0)
            {
                push(&|world| {
                    world.left.elections -= 1;
                    world.elect(*at, *voter);
                });
            }
        }
        for leader in self.leaders_now() {
            if self.left.proposals > 0 {
                push(&|world| {
                    world.left.proposals -= 1;
                    let command = vec![world.left.proposals].into();
                    world.step(leader, Input::Propose(vec![command]));
                });
            }
            if self.left.heartbeats > 0 {
                push(&|world| {
                    world.left.heartbeats -= 1;
                    world.step(leader, Input::Tick);
                });
            }
            for change in self.repairs(leader) {
                push(&|world| world.step(leader, Input::Change(change.clone())));
            }
        }
        if self.common_clock && self.nodes.values().any(|n| n.clock_ms < self.left.clock_ms) {
            push(&|world| world.advance());
        }
        worlds
    }

    /// The clock moves for all, and every replica looks at it.
    fn advance(&mut self) {
        for node in self.nodes.values_mut() {
            node.clock_ms += 1;
        }
        self.check_leases();
        for at in self.nodes.keys().copied().collect::<Vec<_>>() {
            self.step(at, Input::Tick);
        }
    }

    /// The membership changes that replace a lost disk.
    fn repairs(&self, leader: ReplicaId) -> Vec<MembershipChange> {
        let membership = self.nodes[&leader].core.membership();
        let newcomers = self.nodes.keys().filter(|id| id.disk > 0);
        newcomers
            .filter_map(|id| {
                let old = ReplicaId {
                    disk: id.disk - 1,
                    ..*id
                };
                match (
                    membership.voters.contains(id),
                    membership.learners.contains(id),
                ) {
                    (false, false) => Some(MembershipChange::AddLearner(*id)),
                    (false, true) => Some(MembershipChange::Promote(*id)),
                    (true, _) if membership.voters.contains(&old) => {
                        Some(MembershipChange::Remove(old))
                    }
                    (true, _) => None,
                }
            })
            .collect()
    }
}

impl<R: Rules> Node<R> {
    fn start(id: ReplicaId, timing: Timing, disk: (HardState, Log), clock_ms: u64) -> Self {
        let core = Core::new(id, timing, disk.0.clone(), disk.1.clone(), clock_ms);
        Self {
            core,
            disk,
            clock_ms,
            gone: false,
        }
    }
}

struct Explored {
    states: usize,
    complete: bool,
    fault: Option<&'static str>,
}

/// A world by its 128-bit hash; the world itself is kept until it is expanded.
struct Visited<R: Rules> {
    hash: (u64, u64),
    fault: Option<&'static str>,
    world: Rc<RefCell<Option<World<R>>>>,
}

impl<R: Rules> Clone for Visited<R> {
    fn clone(&self) -> Self {
        Self {
            world: Rc::clone(&self.world),
            ..*self
        }
    }
}

impl<R: Rules> PartialEq for Visited<R> {
    fn eq(&self, other: &Self) -> bool {
        self.hash == other.hash
    }
}

impl<R: Rules> Eq for Visited<R> {}

impl<R: Rules> Hash for Visited<R> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.hash.hash(state);
    }
}

impl<R: Rules + Copy + Eq + Hash> Visited<R> {
    fn new(world: World<R>) -> Self {
        let hash = |salt: u64| {
            let mut hasher = DefaultHasher::new();
            (salt, &world).hash(&mut hasher);
            hasher.finish()
        };
        let (hash, fault) = ((hash(0), hash(1)), world.fault);
        Self {
            hash,
            fault,
            world: Rc::new(RefCell::new(Some(world))),
        }
    }

    fn expand(&self) -> Vec<Self> {
        let world = self.world.take();
        world.map_or_else(Vec::new, |w| {
            w.successors().into_iter().map(Self::new).collect()
        })
    }
}

/// Explores every reachable world, up to a count; stops at the first fault.
fn explore<R: Rules + Copy + Eq + Hash>(start: World<R>, limit: usize) -> Explored {
    let mut states = 0;
    for visited in bfs_reach(Visited::new(start), Visited::expand) {
        states += 1;
        if visited.fault.is_some() || states == limit {
            return Explored {
                states,
                complete: false,
                fault: visited.fault,
            };
        }
    }
    Explored {
        states,
        complete: true,
        fault: None,
    }
}

fn holds(name: &str, explored: &Explored, at_least: usize) {
    let Explored {
        states,
        complete,
        fault,
    } = explored;
    println!("{name}: {states} states, complete: {complete}, fault: {fault:?}");
    assert_eq!(*fault, None, "{name}");
    assert!(*complete || is_deep(), "{name}: cut short");
    assert!(*states >= at_least, "{name}: only {states} states");
}

fn is_caught(name: &str, explored: &Explored, fault: &str) {
    println!(
        "{name}: caught after {} states: {:?}",
        explored.states, explored.fault
    );
    assert_eq!(explored.fault, Some(fault), "{name}");
}

const LIMIT: usize = 600_000;
const DEEP_LIMIT: usize = 6_000_000;

fn limit() -> usize {
    if is_deep() { DEEP_LIMIT } else { LIMIT }
}

fn elections<R: Rules + Copy + Eq + Hash>(vote_not_synced: bool) -> Explored {
    let bounds = Bounds {
        campaigns: if is_deep() { 3 } else { 2 },
        restarts: 1,
        vote_not_synced,
        ..Bounds::default()
    };
    explore(World::<R>::founded(&[], bounds, TIMELESS), limit())
}

/// Two leaders have each appended to their own logs only.
fn log<R: Rules + Copy + Eq + Hash>() -> Explored {
    let bounds = Bounds {
        elections: 2,
        proposals: 1,
        ..Bounds::default()
    };
    let mut world = World::<R>::founded(&[], bounds, TIMELESS);
    world.elect(id(1), id(2));
    world.elect(id(2), id(3));
    explore(world, limit())
}

fn learners<R: Rules + Copy + Eq + Hash>() -> Explored {
    let bounds = Bounds {
        elections: 1,
        ..Bounds::default()
    };
    let mut world = World::<R>::founded(&[4, 5], bounds, TIMELESS);
    world.elect(id(1), id(2));
    explore(world, limit())
}

fn leases<R: Rules + Copy + Eq + Hash>(lease_ms: u64) -> Explored {
    let timing = Timing { lease_ms, ..TIMING };
    let mut world = World::<R>::founded(&[], Bounds::default(), timing);
    world.common_clock = true;
    world.left.clock_ms = u64::MAX;
    while world.leaders_now().is_empty() {
        world.advance();
        world.converse(id(1), id(2), 2);
    }
    for _ in 0..4 {
        world.converse(id(1), id(2), 4);
        world.converse(id(1), id(3), 4);
    }
    world.network.clear();
    let now_ms = world.nodes[&id(1)].clock_ms;
    world.left = Bounds {
        clock_ms: now_ms + 7,
        ..Bounds::default()
    };
    explore(world, limit())
}

fn lost_disks<R: Rules + Copy + Eq + Hash>(disk_keeps_identity: bool) -> Explored {
    let mut world = World::<R>::founded(&[], Bounds::default(), TIMELESS);
    world.elect(id(1), id(2));
    world.converse(id(1), id(2), 4);
    world.network.clear();
    world.left = Bounds {
        elections: 1,
        lost_disks: 1,
        disk_keeps_identity,
        ..Bounds::default()
    };
    explore(world, limit())
}

#[test]
fn elections_are_safe() {
    holds("elections", &elections::<Shipped>(false), 10_000);
}

#[test]
fn a_vote_that_is_not_synced_is_caught() {
    is_caught(
        "vote not synced",
        &elections::<Shipped>(true),
        "two leaders in one term",
    );
}

#[test]
fn the_log_is_safe() {
    holds("log", &log::<Shipped>(), 10_000);
}

#[test]
fn a_commit_of_an_older_term_by_count_is_caught() {
    let fault = "a leader lacks a committed entry";
    is_caught("older term by count", &log::<CommitsOlderTerms>(), fault);
}

#[test]
fn learners_do_not_count() {
    holds("learners", &learners::<Shipped>(), 10_000);
}

#[test]
fn a_learner_that_counts_is_caught() {
    is_caught(
        "learner counted",
        &learners::<CountsLearners>(),
        "a leader lacks a committed entry",
    );
}

#[test]
fn leases_are_safe() {
    holds("leases", &leases::<Shipped>(TIMING.lease_ms), 10_000);
}

#[test]
fn a_lease_that_is_kept_too_long_is_caught() {
    let fault = leases::<Shipped>(TIMING.election_ms * 3).fault;
    println!("lease kept too long: {fault:?}");
    assert!(fault.is_some());
}

#[test]
fn a_vote_within_a_lease_is_caught() {
    let fault = leases::<VotesWithinLease>(TIMING.lease_ms).fault;
    println!("vote within a lease: {fault:?}");
    assert!(fault.is_some());
}

#[test]
fn lost_disks_are_safe() {
    holds("lost disks", &lost_disks::<Shipped>(false), 1000);
}

#[test]
fn a_lost_disk_under_its_old_identity_is_caught() {
    is_caught(
        "lost disk keeps identity",
        &lost_disks::<Shipped>(true),
        "two leaders in one term",
    );
}
