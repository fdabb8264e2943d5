//! Model check of the consensus protocol: exhaustive exploration within small bounds.
//!
//! Every transition calls the production step function. Separate models cover
//! elections message by message, the log across whole elections, learners, leases
//! under a common clock, and replicas that lost their disk. For each property a
//! mutation that violates it shows that the check detects the violation.
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

/// Without timeouts, any replica may start an election at any moment.
const NO_TIMEOUTS: Timing = Timing {
    heartbeat_ms: 0,
    election_ms: 0,
    spread_ms: 0,
    lease_ms: 0,
};
/// Timing of the model with a clock.
const TIMING: Timing = Timing {
    heartbeat_ms: 4,
    election_ms: 4,
    spread_ms: 0,
    lease_ms: 3,
};
/// Maximum number of messages in transit from one replica to another.
const MAX_MESSAGES_IN_TRANSIT: usize = 1;

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
                fn max_append_entries() -> usize { 1 }
                $($body)*
            }
        )*
    };
}

rules! {
    Production {}
    CommitsOlderTermsByCount {
        fn may_commit_by_counting(_: Term, _: Term) -> bool { true }
    }
    CountsLearners {
        fn commit_voters(membership: &Membership) -> BTreeSet<ReplicaId> {
            membership.voters.union(&membership.learners).copied().collect()
        }
    }
    VotesWithinLease {
        fn withholds_votes_during_lease() -> bool { false }
    }
}

/// Remaining transitions of each kind, and the mutations in effect.
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
    /// Whether the logs of each majority of the voters must hold each committed entry.
    reads_logs: bool,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct Node<R: Rules> {
    core: Core<R>,
    disk: (HardState, Log),
    clock_ms: u64,
    disk_lost: bool,
}

/// State of the model: all replicas, the messages in transit and the history that the
/// properties refer to.
#[derive(Clone, PartialEq, Eq, Hash)]
struct Model<R: Rules> {
    nodes: BTreeMap<ReplicaId, Node<R>>,
    network: BTreeMap<(ReplicaId, ReplicaId), Vec<Message>>,
    committed: BTreeMap<LogIndex, (Term, Entry)>,
    leaders: BTreeMap<Term, ReplicaId>,
    remaining: Bounds,
    timing: Timing,
    common_clock: bool,
    violation: Option<&'static str>,
}

impl<R: Rules + Copy + Eq + Hash> Model<R> {
    /// Bootstraps a group of three voters and the given learners.
    fn bootstrap(learners: &[u8], bounds: Bounds, timing: Timing) -> Self {
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
            remaining: bounds,
            timing,
            common_clock: false,
            violation: None,
        }
    }

    /// Processes one input at one replica in the driver's order: sync, send, apply.
    fn step(&mut self, at: ReplicaId, input: Input) {
        let Some(node) = self.nodes.get_mut(&at).filter(|node| !node.disk_lost) else {
            return;
        };
        let before = node.disk.0.clone();
        let effects = node.core.step(node.clock_ms, input);
        node.disk = (node.core.hard_state().clone(), node.core.log().clone());
        if self.remaining.vote_not_synced && node.disk.0.term == before.term {
            node.disk.0.voted_for = before.voted_for;
        }
        if self.remaining.vote_not_synced && node.disk.0.term > before.term {
            node.disk.0.voted_for = None;
        }
        if node.core.role() == RoleName::Leader {
            let first = *self.leaders.entry(node.core.term()).or_insert(at);
            let is_missing = |(committed_in, entry): &(Term, Entry)| {
                node.core.term() > *committed_in && node.core.log().get(entry.index) != Some(entry)
            };
            if first != at {
                self.violation = Some("two leaders in one term");
            } else if self.committed.values().any(is_missing) {
                self.violation = Some("a leader lacks a committed entry");
            }
        }
        for entry in effects.committed {
            let committed_in = node.core.term();
            let slot = self.committed.entry(entry.index);
            let (_, first) = slot.or_insert_with(|| (committed_in, entry.clone()));
            if *first != entry {
                self.violation = Some("two entries committed at one index");
            }
        }
        for (to, message) in effects.messages {
            let channel = self.network.entry((at, to)).or_default();
            if !channel.contains(&message) && channel.len() < MAX_MESSAGES_IN_TRANSIT {
                channel.push(message);
            }
        }
        self.network.retain(|_, channel| !channel.is_empty());
        self.check_leases();
        self.check_logs();
    }

    /// A process that starts without a leader reads the logs of a majority of the voters: one of them
    /// must hold what was committed, whether or not it knows that.
    fn check_logs(&mut self) {
        if !self.remaining.reads_logs {
            return;
        }
        let holds = |node: &Node<R>, entry: &Entry| {
            let log = &node.disk.1;
            log.snapshot.index >= entry.index || log.get(entry.index) == Some(entry)
        };
        let is_hidden = |(_, entry): &(Term, Entry)| {
            self.nodes.values().any(|node| {
                let voters = &node.core.membership().voters;
                let members = voters.iter().filter_map(|id| self.nodes.get(id));
                let holders = members.filter(|member| holds(member, entry)).count();
                voters.len() - holders > voters.len() / 2
            })
        };
        if self.committed.values().any(is_hidden) {
            self.violation = Some("a majority lacks a committed entry");
        }
    }

    fn check_leases(&mut self) {
        if !self.common_clock {
            return;
        }
        let live = self.nodes.values().filter(|node| !node.disk_lost);
        let holders: Vec<_> = live
            .filter(|node| node.core.holds_lease(node.clock_ms))
            .collect();
        let last = self
            .committed
            .last_key_value()
            .map_or(LogIndex(0), |(index, _)| *index);
        if holders.len() > 1 {
            self.violation = Some("two leases at one time");
        } else if holders.iter().any(|node| node.core.commit_index() < last) {
            self.violation = Some("a lease holder lacks a committed entry");
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

    /// Delivers messages between two replicas in both directions, for `rounds` rounds.
    fn exchange_messages(&mut self, a: ReplicaId, b: ReplicaId, rounds: usize) {
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

    /// Runs a whole election that is decided by one voter.
    fn elect(&mut self, candidate: ReplicaId, voter: ReplicaId) {
        self.network.clear();
        self.step(candidate, Input::Tick);
        self.exchange_messages(candidate, voter, 2);
    }

    fn restart(&mut self, at: ReplicaId) {
        if let Some(node) = self.nodes.get_mut(&at) {
            *node = Node::start(at, self.timing, node.disk.clone(), node.clock_ms);
        }
    }

    /// Loses a disk and starts its successor, a new replica without state.
    fn lose_disk(&mut self, at: ReplicaId) {
        let Some(node) = self.nodes.get_mut(&at) else {
            return;
        };
        node.disk_lost = true;
        let clock_ms = node.clock_ms;
        let successor = match self.remaining.disk_keeps_identity {
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

    fn current_leaders(&self) -> Vec<ReplicaId> {
        let live = self.nodes.iter().filter(|(_, node)| !node.disk_lost);
        live.filter(|(_, n)| n.core.role() == RoleName::Leader)
            .map(|(id, _)| *id)
            .collect()
    }

    /// All states one transition away; none after a violation.
    fn successors(&self) -> Vec<Self> {
        let mut models = Vec::new();
        if self.violation.is_some() {
            return models;
        }
        let mut push = |change: &dyn Fn(&mut Self)| {
            let mut model = self.clone();
            change(&mut model);
            models.push(model);
        };
        for (channel, messages) in &self.network {
            for position in 0..messages.len() {
                push(&|model| model.deliver(*channel, position));
            }
        }
        let live: Vec<ReplicaId> = self
            .nodes
            .iter()
            .filter(|(_, n)| !n.disk_lost)
            .map(|(id, _)| *id)
            .collect();
        for at in &live {
            if self.remaining.campaigns > 0 {
                push(&|model| {
                    model.remaining.campaigns -= 1;
                    model.step(*at, Input::Tick);
                });
            }
            if self.remaining.restarts > 0 {
                push(&|model| {
                    model.remaining.restarts -= 1;
                    model.restart(*at);
                });
            }
            if self.remaining.lost_disks > 0 {
                push(&|model| {
                    model.remaining.lost_disks -= 1;
                    model.lose_disk(*at);
                });
            }
            for voter in live
                .iter()
                .filter(|voter| *voter != at && self.remaining.elections > 0)
            {
                push(&|model| {
                    model.remaining.elections -= 1;
                    model.elect(*at, *voter);
                });
            }
        }
        for leader in self.current_leaders() {
            if self.remaining.proposals > 0 {
                push(&|model| {
                    model.remaining.proposals -= 1;
                    let command = vec![model.remaining.proposals].into();
                    model.step(leader, Input::Propose(vec![command]));
                });
            }
            if self.remaining.heartbeats > 0 {
                push(&|model| {
                    model.remaining.heartbeats -= 1;
                    model.step(leader, Input::Tick);
                });
            }
            for change in self.replacement_changes(leader) {
                push(&|model| model.step(leader, Input::Change(change.clone())));
            }
        }
        if self.common_clock
            && self
                .nodes
                .values()
                .any(|n| n.clock_ms < self.remaining.clock_ms)
        {
            push(&|model| model.advance_clock());
        }
        models
    }

    /// Advances the clock of every replica by 1 ms and runs their timers.
    fn advance_clock(&mut self) {
        for node in self.nodes.values_mut() {
            node.clock_ms += 1;
        }
        self.check_leases();
        for at in self.nodes.keys().copied().collect::<Vec<_>>() {
            self.step(at, Input::Tick);
        }
    }

    /// Membership changes that replace a lost disk.
    fn replacement_changes(&self, leader: ReplicaId) -> Vec<MembershipChange> {
        let membership = self.nodes[&leader].core.membership();
        let new_replicas = self.nodes.keys().filter(|id| id.disk > 0);
        new_replicas
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
            disk_lost: false,
        }
    }
}

struct Explored {
    states: usize,
    complete: bool,
    violation: Option<&'static str>,
}

/// A state, compared by its 128-bit hash and kept only until it is expanded.
struct Visited<R: Rules> {
    hash: (u64, u64),
    violation: Option<&'static str>,
    model: Rc<RefCell<Option<Model<R>>>>,
}

impl<R: Rules> Clone for Visited<R> {
    fn clone(&self) -> Self {
        Self {
            model: Rc::clone(&self.model),
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
    fn new(model: Model<R>) -> Self {
        let hash = |salt: u64| {
            let mut hasher = DefaultHasher::new();
            (salt, &model).hash(&mut hasher);
            hasher.finish()
        };
        let (hash, violation) = ((hash(0), hash(1)), model.violation);
        Self {
            hash,
            violation,
            model: Rc::new(RefCell::new(Some(model))),
        }
    }

    fn expand(&self) -> Vec<Self> {
        let model = self.model.take();
        model.map_or_else(Vec::new, |w| {
            w.successors().into_iter().map(Self::new).collect()
        })
    }
}

/// Explores up to `max_states` reachable states; stops at the first violation.
fn explore<R: Rules + Copy + Eq + Hash>(start: Model<R>, max_states: usize) -> Explored {
    let mut states = 0;
    for visited in bfs_reach(Visited::new(start), Visited::expand) {
        states += 1;
        if visited.violation.is_some() || states == max_states {
            return Explored {
                states,
                complete: false,
                violation: visited.violation,
            };
        }
    }
    Explored {
        states,
        complete: true,
        violation: None,
    }
}

fn assert_holds(name: &str, explored: &Explored, at_least: usize) {
    let Explored {
        states,
        complete,
        violation,
    } = explored;
    println!("{name}: {states} states, complete: {complete}, violation: {violation:?}");
    assert_eq!(*violation, None, "{name}");
    assert!(*complete || is_deep(), "{name}: cut short");
    assert!(*states >= at_least, "{name}: only {states} states");
}

fn assert_detected(name: &str, explored: &Explored, violation: &str) {
    println!(
        "{name}: detected after {} states: {:?}",
        explored.states, explored.violation
    );
    assert_eq!(explored.violation, Some(violation), "{name}");
}

const MAX_STATES: usize = 600_000;
const MAX_STATES_DEEP: usize = 6_000_000;

fn max_states() -> usize {
    if is_deep() {
        MAX_STATES_DEEP
    } else {
        MAX_STATES
    }
}

fn elections<R: Rules + Copy + Eq + Hash>(vote_not_synced: bool) -> Explored {
    let bounds = Bounds {
        campaigns: if is_deep() { 3 } else { 2 },
        restarts: 1,
        vote_not_synced,
        ..Bounds::default()
    };
    explore(
        Model::<R>::bootstrap(&[], bounds, NO_TIMEOUTS),
        max_states(),
    )
}

/// Starts with two leaders that have each appended only to their own log.
fn log<R: Rules + Copy + Eq + Hash>() -> Explored {
    let bounds = Bounds {
        elections: 2,
        proposals: 1,
        ..Bounds::default()
    };
    let mut model = Model::<R>::bootstrap(&[], bounds, NO_TIMEOUTS);
    model.elect(id(1), id(2));
    model.elect(id(2), id(3));
    explore(model, max_states())
}

fn learners<R: Rules + Copy + Eq + Hash>() -> Explored {
    let bounds = Bounds {
        elections: 1,
        ..Bounds::default()
    };
    let mut model = Model::<R>::bootstrap(&[4, 5], bounds, NO_TIMEOUTS);
    model.elect(id(1), id(2));
    explore(model, max_states())
}

/// As [`learners`], with [`Bounds::reads_logs`].
fn logs_of_majorities<R: Rules + Copy + Eq + Hash>() -> Explored {
    let bounds = Bounds {
        elections: 1,
        reads_logs: true,
        ..Bounds::default()
    };
    let mut model = Model::<R>::bootstrap(&[4, 5], bounds, NO_TIMEOUTS);
    model.elect(id(1), id(2));
    explore(model, max_states())
}

fn leases<R: Rules + Copy + Eq + Hash>(lease_ms: u64) -> Explored {
    let timing = Timing { lease_ms, ..TIMING };
    let mut model = Model::<R>::bootstrap(&[], Bounds::default(), timing);
    model.common_clock = true;
    model.remaining.clock_ms = u64::MAX;
    while model.current_leaders().is_empty() {
        model.advance_clock();
        model.exchange_messages(id(1), id(2), 2);
    }
    for _ in 0..4 {
        model.exchange_messages(id(1), id(2), 4);
        model.exchange_messages(id(1), id(3), 4);
    }
    model.network.clear();
    let now_ms = model.nodes[&id(1)].clock_ms;
    model.remaining = Bounds {
        clock_ms: now_ms + 7,
        ..Bounds::default()
    };
    explore(model, max_states())
}

fn lost_disks<R: Rules + Copy + Eq + Hash>(disk_keeps_identity: bool) -> Explored {
    let mut model = Model::<R>::bootstrap(&[], Bounds::default(), NO_TIMEOUTS);
    model.elect(id(1), id(2));
    model.exchange_messages(id(1), id(2), 4);
    model.network.clear();
    model.remaining = Bounds {
        elections: 1,
        lost_disks: 1,
        disk_keeps_identity,
        ..Bounds::default()
    };
    explore(model, max_states())
}

#[test]
fn elections_are_safe() {
    assert_holds("elections", &elections::<Production>(false), 10_000);
}

#[test]
fn a_vote_that_is_not_synced_is_detected() {
    assert_detected(
        "vote not synced",
        &elections::<Production>(true),
        "two leaders in one term",
    );
}

#[test]
fn the_log_is_safe() {
    assert_holds("log", &log::<Production>(), 10_000);
}

#[test]
fn committing_an_older_term_by_count_is_detected() {
    let violation = "a leader lacks a committed entry";
    assert_detected(
        "older term by count",
        &log::<CommitsOlderTermsByCount>(),
        violation,
    );
}

#[test]
fn learners_do_not_count_towards_commits() {
    assert_holds("learners", &learners::<Production>(), 10_000);
}

#[test]
fn counting_a_learner_towards_a_commit_is_detected() {
    assert_detected(
        "learner counted",
        &learners::<CountsLearners>(),
        "a leader lacks a committed entry",
    );
}

/// Guards against a process that starts without a leader and cannot find an acknowledged document in
/// the logs of a majority.
#[test]
fn the_logs_of_each_majority_hold_what_is_committed() {
    let explored = logs_of_majorities::<Production>();
    assert_holds("logs of majorities", &explored, 10_000);
}

#[test]
fn a_committed_entry_that_a_majority_lacks_is_detected() {
    assert_detected(
        "logs of majorities",
        &logs_of_majorities::<CountsLearners>(),
        "a majority lacks a committed entry",
    );
}

#[test]
fn leases_are_safe() {
    assert_holds("leases", &leases::<Production>(TIMING.lease_ms), 10_000);
}

#[test]
fn a_lease_longer_than_the_election_timeout_is_detected() {
    let violation = leases::<Production>(TIMING.election_ms * 3).violation;
    println!("lease kept too long: {violation:?}");
    assert!(violation.is_some());
}

#[test]
fn a_vote_within_a_lease_is_detected() {
    let violation = leases::<VotesWithinLease>(TIMING.lease_ms).violation;
    println!("vote within a lease: {violation:?}");
    assert!(violation.is_some());
}

#[test]
fn replacing_a_lost_disk_is_safe() {
    assert_holds("lost disks", &lost_disks::<Production>(false), 1000);
}

#[test]
fn a_lost_disk_that_keeps_its_identity_is_detected() {
    assert_detected(
        "lost disk keeps identity",
        &lost_disks::<Production>(true),
        "two leaders in one term",
    );
}
