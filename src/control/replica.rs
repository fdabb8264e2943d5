//! The actor that drives one replica: it persists log entries, sends messages, applies
//! committed commands and replies to requests.

mod bootstrap;
mod cache;
mod in_force;
mod leader;
mod rollouts;
mod versions;

pub use rollouts::{MAX_DURATION_MS, RolloutRequest};

use super::{
    acknowledgements::{Acknowledgements, Awaited, Due, Progress},
    command::{Command, Reply},
    departures::{Departure, LATE_MS, RecentDepartures, Return},
    directory::{self, Directory, LimitReport, TargetAnnouncement, TargetEntry},
    limits::{LimitGrant, LimitWant, Limits},
    members::{MEMBER_LEASE_MS, MEMBERS_REBUILD_MS, ProcessRole, ProcessStatus, ProcessTable},
    peers::{PeerMessage, Peers},
    precedence::NamedServices,
    quota_server::QuotaServer,
    roster::{BootstrapStep, InstanceAddresses, Roster},
    rpc::*,
    shares::DemandTable,
    state::{AcceptedDocument, ControlState},
    suspects::{SuspectReports, Suspects},
};
use crate::{
    clock,
    consensus::*,
    document::{Policy, ValidationError, ValidationErrors},
    metrics,
    stream_version::ServiceVersions,
    units::{DocumentVersion, FencingNumber, ProcessName, TargetName},
};
use bytes::Bytes;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tokio::sync::oneshot;

/// Heartbeat, election and lease timeouts of the group.
pub const TIMING: Timing = Timing {
    heartbeat_ms: 100,
    election_ms: 700,
    spread_ms: 400,
    lease_ms: 600,
};
/// Interval between clock ticks of the replica.
pub const TICK_MS: u64 = 25;
/// Interval between presence messages to the other instances.
pub const PRESENCE_INTERVAL_MS: u64 = 300;
/// Interval between presence messages while no leader is known; equals the reconnect delay
/// of a broken link.
const LEADERLESS_PRESENCE_INTERVAL_MS: u64 = 100;
/// Time without a known leader after which that is logged.
const LEADERLESS_LOG_DELAY_MS: u64 = 5000;
/// Time after its last presence message until an instance counts as absent.
pub const PRESENCE_TIMEOUT_MS: u64 = 1500;
/// Time without a presence message after which a member is replaced, if another replica is at
/// hand. A machine that succeeds a lost one must be a voter before the next one is lost.
pub const VOTER_TIMEOUT_MS: u64 = 3200;
/// Delay before a failed disk write is retried.
const DISK_RETRY_DELAY_MS: u64 = 100;
/// Time that disk writes may keep failing before the replica stops.
const DISK_TIMEOUT_MS: u64 = 60_000;
/// Name of the sidecar file that marks this disk as a founder's.
const FOUNDER_SIDECAR: &str = "founder";
/// Name of the sidecar file with the other instances' addresses.
const INSTANCES_SIDECAR: &str = "instances";
/// Name of the sidecar file with the cached document and targets.
const CACHED_STATE_SIDECAR: &str = "known";
/// Minimum interval between writes of that file, and between broadcasts of the directory.
const CACHED_STATE_INTERVAL_MS: u64 = 250;
/// Number of log entries that triggers a snapshot.
const SNAPSHOT_AFTER_ENTRIES: usize = 256;
/// Size of the logged commands, in bytes, that triggers a snapshot.
const SNAPSHOT_AFTER_BYTES: usize = 2 * 1024 * 1024;
/// Number of claims for which the threshold of entries grows by one: a snapshot contains every
/// claim, so it is written less often when there are many.
const CLAIMS_PER_SNAPSHOT_ENTRY: usize = 4;
/// Time after which a claim is deleted.
const CLAIM_RETENTION_MS: u64 = 24 * 60 * 60 * 1000;
/// Interval between deletions of old claims.
const CLAIM_EXPIRY_INTERVAL_MS: u64 = 10 * 60 * 1000;
/// Highest version that an operator can choose: JSON holds integers up to this one exactly.
const MAX_DOCUMENT_VERSION: DocumentVersion = DocumentVersion((1 << 53) - 1);
/// Log index of the snapshot that bootstraps a group.
const BOOTSTRAP_INDEX: LogIndex = LogIndex(1);

/// The channel on which a request is answered.
pub type ReplySender<T> = oneshot::Sender<Result<T, ControlError>>;

/// A message to the actor.
pub enum ReplicaMessage {
    /// The tick interval has elapsed.
    Tick,
    /// A message from another instance.
    Peer(PeerMessage),
    /// Queues a command for the next batch.
    Propose(Command, ReplySender<Reply>),
    /// Appends the queued commands to the log.
    AppendBatch,
    /// See [`SyncRequest`].
    Renew(Box<SyncRequest>, ReplySender<SyncReply>),
    /// Grants limit leases on customers' contracts.
    GrantLimits(LimitRequest),
    /// A document has been compiled; `None` if that failed.
    Compiled(DocumentVersion, Option<Arc<Policy>>),
    /// Reads this replica's cached state; works without a leader.
    ReadCache(PeekScope, ReplySender<PeekReply>),
    /// Reads what was committed within this time, in milliseconds; works without a leader.
    CatchUp(u64, ReplySender<CatchUpReply>),
    /// Reads the document in force.
    GetDocument(ReplySender<AcceptedDocument>),
    /// Processes a target's announcement.
    Announce(TargetAnnouncement, ReplySender<()>),
    /// Removes a target from the directory.
    Withdraw(TargetName, ReplySender<()>),
    /// See [`RolloutRequest`].
    Rollout(RolloutRequest),
    /// Reads a claim.
    ClaimOf(
        super::command::ClaimKey,
        ReplySender<Option<super::command::Claim>>,
    ),
    /// Reads the state of the group.
    Status(ReplySender<StatusReply>),
    /// Transfers leadership before shutdown.
    HandOver(oneshot::Sender<()>),
    /// The settings name these peer addresses from now on.
    Seeds(Vec<SocketAddr>),
}

/// Where the outcome of a proposed command goes.
enum Proposer {
    Caller(ReplySender<Reply>),
    /// A target that leaves.
    Target(TargetName, ReplySender<()>),
    /// The leader itself.
    Leader,
}

impl Proposer {
    fn fail(self, error: &ControlError) {
        match self {
            Self::Leader => tracing::info!(%error, "control: own command not committed"),
            Self::Caller(sender) => drop(sender.send(Err(error.clone()))),
            Self::Target(_, sender) => drop(sender.send(Err(error.clone()))),
        }
    }
}

/// A reply that is held back until the processes have the change.
enum HeldReply {
    Caller(ReplySender<Reply>, Reply),
    /// To a target that leaves.
    Target(TargetName, ReplySender<()>),
}

impl HeldReply {
    /// Label of the metric.
    fn kind(&self) -> &'static str {
        match self {
            Self::Caller(..) => "document",
            Self::Target(..) => "departure",
        }
    }

    /// What the change is about, for logs.
    fn subject(&self) -> String {
        match self {
            Self::Caller(..) => "document".into(),
            Self::Target(target, _) => format!("departure of {target}"),
        }
    }

    fn send(self) {
        match self {
            Self::Caller(sender, reply) => drop(sender.send(Ok(reply))),
            Self::Target(_, sender) => drop(sender.send(Ok(()))),
        }
    }

    fn fail(self, error: &ControlError) {
        match self {
            Self::Caller(sender, _) => drop(sender.send(Err(error.clone()))),
            Self::Target(_, sender) => drop(sender.send(Err(error.clone()))),
        }
    }
}

/// An entry's request for limit leases.
pub struct LimitRequest {
    /// The entry.
    pub entry: ProcessName,
    /// What it wants.
    pub wants: Vec<LimitWant>,
    /// Where it is answered.
    pub sender: ReplySender<Vec<LimitGrant>>,
}

/// The actor that owns a [`ReplicaState`].
pub struct Replica;

/// Start arguments of the actor.
pub struct ReplicaArguments {
    /// The open data folder.
    pub storage: Storage,
    /// The state recovered from it.
    pub recovered: RecoveredState,
    /// See [`InstanceConfig`].
    pub instance_config: InstanceConfig,
    /// The server of quota accounts, and the address that it listens on.
    pub quota_server: (QuotaServer, SocketAddr),
}

/// An instance's own properties, and how it discovers the others.
pub struct InstanceConfig {
    /// The addresses at which others reach it.
    pub addresses: InstanceAddresses,
    /// Whether it may bootstrap the group.
    pub may_bootstrap: bool,
    /// Whether its replica is stored on disk.
    pub durable: bool,
    /// How it discovers the others.
    pub discovery: super::roster::Discovery,
    /// Time that a target stays in the directory after its last announcement.
    pub target_lease_ms: u64,
    /// Tolerated excess over each quota, in units per second.
    pub quota_tolerance_per_s: u64,
}

struct PendingRenewal {
    request: SyncRequest,
    sender: ReplySender<SyncReply>,
    arrived_ms: u64,
}

impl PendingRenewal {
    fn deadline_ms(&self) -> u64 {
        self.arrived_ms.saturating_add(self.request.wait_ms)
    }
}

/// The replica's consensus core, its replicated state and the leader's soft state.
#[allow(clippy::struct_excessive_bools)]
pub struct ReplicaState {
    started_ms: u64,
    core: Core,
    storage: Storage,
    control: ControlState,
    peers: Peers,
    roster: Roster,
    target_lease_ms: u64,
    quota_tolerance_per_s: u64,
    presence_sent_ms: u64,
    /// The term in which this instance last announced itself as leader.
    presence_sent_term: Term,
    /// The voters that this replica has invited to bootstrap the group. Invitations may be
    /// delivered late, so the set never changes once sent.
    invited: Option<BTreeSet<ReplicaId>>,
    batch: Vec<(Command, Proposer)>,
    pending_proposals: BTreeMap<LogIndex, (Term, Proposer)>,
    /// Replies to committed changes that some processes do not have yet.
    acknowledgements: Acknowledgements<HeldReply>,
    /// When the latest documents became known here.
    documents_known_ms: BTreeMap<DocumentVersion, u64>,
    /// The targets that have left in this term: the revision of the directory that says so, and
    /// when it became known here.
    departed: BTreeMap<TargetName, (u64, u64)>,
    /// Targets of which a return is proposed and not yet committed, and when it was proposed.
    proposed_returns: BTreeMap<TargetName, u64>,
    /// The committed departures, by when this instance learned of them.
    recent_departures: RecentDepartures,
    /// The revision of this term's directory that each gateway has.
    directory_seen: BTreeMap<ProcessName, u64>,
    members: ProcessTable,
    directory: Directory,
    /// State cached outside the log: served without a leader, and restored after a restart.
    cache: CachedState,
    cache_changed: bool,
    /// Whether pending renewals are to be checked for changes at the next tick.
    has_updates: bool,
    cache_stored_ms: u64,
    directory_sent: Option<directory::TargetsPosition>,
    directory_sent_ms: u64,
    /// Whether any instance has led since this one started.
    had_leader: bool,
    demands: DemandTable,
    quota_server: QuotaServer,
    accounts_address: SocketAddr,
    limits: Limits,
    suspects: Suspects,
    rollouts: rollouts::RolloutControl,
    version_tracker: versions::VersionTracker,
    policy: Arc<Policy>,
    /// The version whose limits are in force, unless it failed to compile.
    policy_version: DocumentVersion,
    /// The version that was last given to be compiled.
    compiling_version: DocumentVersion,
    /// Requests that wait for the document to be compiled.
    pending_limits: Vec<LimitRequest>,
    myself: ActorRef<ReplicaMessage>,
    leader_term: Term,
    leader_since_ms: u64,
    /// When a leader was last known, and whether its absence has been logged.
    leader_known_ms: u64,
    has_logged_no_leader: bool,
    /// Voters that were silent at the leader's last tick.
    silent_voters: BTreeSet<ReplicaId>,
    members_complete: bool,
    directory_complete: bool,
    pending_renewals: Vec<PendingRenewal>,
    claims_expired_ms: u64,
}

impl Actor for Replica {
    type Msg = ReplicaMessage;
    type State = ReplicaState;
    type Arguments = ReplicaArguments;

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        arguments: ReplicaArguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        let ReplicaArguments {
            storage,
            recovered,
            instance_config,
            quota_server,
        } = arguments;
        let RecoveredState {
            id,
            hard,
            log,
            cut_bytes,
        } = recovered;
        if cut_bytes > 0 {
            tracing::warn!(
                "control: truncated a torn record of {cut_bytes} bytes at the end of the log"
            );
        }
        let control = ControlState::decode(&log.snapshot.state)?;
        let last_index = log.last_index();
        let is_founder =
            bootstrap::is_founder(&storage, &instance_config) && last_index == LogIndex(0);
        let mut cache: CachedState = storage
            .read_sidecar(CACHED_STATE_SIDECAR)
            .unwrap_or_default();
        if control.document().version > cache.document.version {
            cache.document = control.document().clone();
        }
        cache.apply_departures(control.departures().iter());
        let rollouts = rollouts::RolloutControl::open(&storage, &control, &mut cache.rollouts);
        let mut recent_departures = RecentDepartures::default();
        for departure in control.departures().iter() {
            recent_departures.learn(departure.clone(), 0);
        }
        tracing::info!(
            document = %cache.document.version, targets = cache.targets.len(),
            "control: replica {id} starts at entry {last_index}"
        );
        let known = storage.read_sidecar(INSTANCES_SIDECAR).unwrap_or_default();
        let roster = Roster::new(
            id,
            instance_config.addresses,
            is_founder,
            instance_config.durable,
            instance_config.discovery,
            known,
        );
        let mut peers = Peers::new();
        peers.set_addresses(&roster.peer_addresses());
        Ok(ReplicaState {
            started_ms: clock::boot_ms(),
            core: Core::new(id, TIMING, hard, log, 1),
            storage,
            control,
            peers,
            roster,
            target_lease_ms: instance_config.target_lease_ms,
            quota_tolerance_per_s: instance_config.quota_tolerance_per_s,
            presence_sent_ms: 0,
            presence_sent_term: Term(0),
            invited: None,
            batch: Vec::new(),
            pending_proposals: BTreeMap::new(),
            acknowledgements: Acknowledgements::default(),
            documents_known_ms: BTreeMap::new(),
            departed: BTreeMap::new(),
            proposed_returns: BTreeMap::new(),
            recent_departures,
            directory_seen: BTreeMap::new(),
            members: ProcessTable::default(),
            directory: Directory::default(),
            cache,
            cache_changed: false,
            has_updates: false,
            cache_stored_ms: 0,
            directory_sent: None,
            directory_sent_ms: 0,
            had_leader: false,
            demands: DemandTable::default(),
            quota_server: quota_server.0,
            accounts_address: quota_server.1,
            limits: Limits::default(),
            suspects: Suspects::default(),
            rollouts,
            version_tracker: versions::VersionTracker::default(),
            policy: Arc::default(),
            policy_version: DocumentVersion(0),
            compiling_version: DocumentVersion(0),
            pending_limits: Vec::new(),
            myself,
            leader_term: Term(0),
            leader_since_ms: 0,
            leader_known_ms: 0,
            has_logged_no_leader: false,
            silent_voters: BTreeSet::new(),
            members_complete: false,
            directory_complete: false,
            pending_renewals: Vec::new(),
            claims_expired_ms: 0,
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            ReplicaMessage::Tick => state.tick()?,
            ReplicaMessage::Peer(message) => state.receive_peer(message)?,
            ReplicaMessage::Propose(command, sender) => {
                state.propose(command, Proposer::Caller(sender))?;
            }
            ReplicaMessage::AppendBatch => state.append_batch()?,
            ReplicaMessage::Renew(request, sender) => state.renew(*request, sender),
            ReplicaMessage::GrantLimits(request) => match state.check_lease() {
                Ok(()) => state.request_limits(request),
                Err(error) => drop(request.sender.send(Err(error))),
            },
            ReplicaMessage::Compiled(version, policy) => state.apply_policy(version, policy),
            ReplicaMessage::ReadCache(wanted, sender) => {
                let _ = sender.send(Ok(state.read_cache(wanted)));
            }
            ReplicaMessage::CatchUp(age_ms, sender) => {
                let _ = sender.send(Ok(state.catch_up(age_ms)));
            }
            ReplicaMessage::GetDocument(sender) => {
                let reply = state
                    .check_lease()
                    .map(|()| state.control.document().clone());
                let _ = sender.send(reply);
            }
            ReplicaMessage::Announce(announcement, sender) => {
                state.receive_announcement(announcement, sender)?;
            }
            ReplicaMessage::Rollout(request) => state.serve_rollouts(request)?,
            ReplicaMessage::Withdraw(target, sender) => match state.check_leading() {
                Ok(()) => state.withdraw(&target, sender)?,
                Err(error) => drop(sender.send(Err(error))),
            },
            ReplicaMessage::ClaimOf(key, sender) => {
                let reply = state
                    .check_lease()
                    .map(|()| state.control.claim(&key).cloned());
                let _ = sender.send(reply);
            }
            ReplicaMessage::Status(sender) => {
                let _ = sender.send(state.check_lease().map(|()| state.status()));
            }
            ReplicaMessage::HandOver(sender) => {
                state.step(Input::HandOver)?;
                let _ = sender.send(());
            }
            ReplicaMessage::Seeds(seeds) => {
                state.roster.set_later_seeds(seeds);
                state.peers.set_addresses(&state.roster.peer_addresses());
            }
        }
        Ok(())
    }
}

impl ReplicaState {
    /// Milliseconds since this process started, from 1, including time suspended.
    fn now_ms(&self) -> u64 {
        clock::boot_ms() - self.started_ms + 1
    }

    /// Persists the changes of a step. Blocks this thread while writes fail, so that nothing is
    /// sent before it is durable; the other replicas keep running meanwhile.
    fn save(&mut self, persist: Persist) -> Result<(), ActorProcessingErr> {
        let began_ms = clock::boot_ms();
        let mut failed = false;
        loop {
            let saved = self
                .storage
                .save(persist.clone(), self.core.log(), self.core.hard_state());
            let waited_ms = clock::boot_ms() - began_ms;
            match saved {
                Ok(()) if failed => {
                    tracing::info!(waited_ms, "control: disk writes succeed again");
                    return Ok(());
                }
                Ok(()) => {
                    metrics::control_sync(waited_ms);
                    return Ok(());
                }
                Err(error) if waited_ms > DISK_TIMEOUT_MS => return Err(error.into()),
                Err(error) => {
                    if !failed {
                        tracing::warn!(%error, "control: disk write failed, retrying");
                    }
                    failed = true;
                    thread::sleep(Duration::from_millis(DISK_RETRY_DELAY_MS));
                }
            }
        }
    }

    /// Steps the core, then persists, sends and applies, in this order.
    fn step(&mut self, input: Input) -> Result<Option<ProposeError>, ActorProcessingErr> {
        let Effects {
            persist,
            messages,
            restore,
            committed,
            refused,
        } = self.core.step(self.now_ms(), input);
        if !persist.is_empty() {
            self.save(persist)?;
        }
        for (to, message) in messages {
            let from = self.core.id();
            if let Some(addresses) = self.roster.addresses_of(to) {
                let message = PeerMessage::Core { from, to, message };
                self.peers.send(addresses.peer, message);
            }
        }
        if let Some(snapshot) = restore {
            tracing::info!(
                "control: restored a snapshot up to entry {}",
                snapshot.index
            );
            self.control = ControlState::decode(&snapshot.state)?;
            let now_ms = self.now_ms();
            for departure in self.control.departures().iter() {
                self.recent_departures.learn(departure.clone(), now_ms);
            }
            self.cache_document();
            self.apply_departures_to_cache();
            self.restore_rollouts();
        }
        let version_before = self.control.document().version;
        let mut has_news = false;
        let mut has_membership = false;
        for entry in committed {
            has_membership |= matches!(entry.payload, Payload::Membership(_));
            has_news |= self.apply(entry)?;
        }
        self.begin_term();
        let changed = self.control.document().version > version_before;
        if changed {
            self.cache_document();
        }
        if changed || has_news {
            self.reply_to_changed();
        }
        // Between the two steps of a replacement the group needs one more voter for a quorum.
        if has_membership && self.check_leading().is_ok() {
            self.repair_membership(self.now_ms())?;
        }
        Ok(refused)
    }

    /// Applies a committed entry; returns whether it was an order to a target or changed a rollout.
    fn apply(&mut self, entry: Entry) -> Result<bool, ActorProcessingErr> {
        let command = match entry.payload {
            Payload::Command(bytes) => Some(postcard::from_bytes(&bytes)?),
            Payload::Noop | Payload::Membership(_) => None,
        };
        let is_order = matches!(command, Some(Command::Order { .. }));
        let (departure, back) = match &command {
            Some(Command::Depart(departure)) => (Some(departure.clone()), None),
            Some(Command::Return(back)) => (None, Some(back.clone())),
            _ => (None, None),
        };
        let service = rollouts::service_of(command.as_ref());
        let revision = self.control.rollouts().revision();
        let reply = command.map(|command| self.control.apply(command));
        let rollout_changed = service.is_some_and(|name| self.rollout_applied(&name, revision));
        if let Some(departure) = departure {
            self.apply_departure(&departure);
        }
        if let Some(back) = back {
            self.apply_return(&back);
        }
        self.record_document();
        match (self.pending_proposals.remove(&entry.index), reply) {
            (Some((term, proposer)), Some(reply)) if term == entry.term => {
                self.acknowledge(proposer, reply);
            }
            (Some((_, proposer)), _) => proposer.fail(&ControlError::Unresolved),
            (None, _) => {}
        }
        Ok(is_order || rollout_changed)
    }

    fn tick(&mut self) -> Result<(), ActorProcessingErr> {
        self.step(Input::Tick)?;
        let now_ms = self.now_ms();
        self.roster.observe(self.core.membership(), now_ms);
        let leads = self.check_lease().is_ok();
        self.had_leader |= self
            .core
            .leader()
            .is_some_and(|leader| leader != self.core.id());
        let knows_leader =
            leads || !matches!(self.not_leader_error(), ControlError::NotLeader(None));
        self.log_leader_known(knows_leader, now_ms);
        // A new leader announces itself immediately: instances without a vote redirect callers
        // to it.
        let became_leader = leads && self.presence_sent_term != self.core.term();
        let interval_ms = match knows_leader {
            true => PRESENCE_INTERVAL_MS,
            false => LEADERLESS_PRESENCE_INTERVAL_MS,
        };
        if became_leader || now_ms >= self.presence_sent_ms + interval_ms {
            self.presence_sent_ms = now_ms;
            if leads {
                self.presence_sent_term = self.core.term();
            }
            let in_group = !self.core.membership().is_empty();
            self.roster.prune_addresses(now_ms);
            self.peers.set_addresses(&self.roster.peer_addresses());
            let presence = self.roster.presence(in_group, leads, now_ms);
            self.peers.broadcast(&PeerMessage::Present(presence));
        }
        self.store_cache(now_ms);
        self.bootstrap()?;
        self.compact()?;
        if self.core.role() == RoleName::Leader {
            self.lead()
        } else {
            self.quota_server.stop_charging();
            self.fail_pending_proposals();
            self.clear_silent_voters();
            Ok(())
        }
    }

    /// Logs once when no leader has been known for a while, and when one is known again.
    fn log_leader_known(&mut self, knows_leader: bool, now_ms: u64) {
        let unknown_for_ms = now_ms - self.leader_known_ms;
        match knows_leader {
            true if self.has_logged_no_leader => {
                tracing::info!(unknown_for_ms, "control: a leader is known again");
            }
            false if !self.has_logged_no_leader && unknown_for_ms > LEADERLESS_LOG_DELAY_MS => {
                let instances = self.roster.rpc_addresses(now_ms).len();
                tracing::warn!(unknown_for_ms, instances, "control: no leader is known");
                self.has_logged_no_leader = true;
            }
            _ => {}
        }
        if knows_leader {
            self.leader_known_ms = now_ms;
            self.has_logged_no_leader = false;
        }
    }

    fn receive_peer(&mut self, message: PeerMessage) -> Result<(), ActorProcessingErr> {
        match message {
            PeerMessage::Present(presence) => {
                let now_ms = self.now_ms();
                self.peers.retry(presence.addresses.peer);
                if self.roster.record_presence(presence, now_ms) {
                    // A new instance is sent this one's presence, with all known addresses, at
                    // the next tick.
                    self.presence_sent_ms = 0;
                    self.peers.set_addresses(&self.roster.peer_addresses());
                    let known = self.roster.addresses();
                    if let Err(error) = self.storage.write_sidecar(INSTANCES_SIDECAR, &known) {
                        tracing::warn!(%error, "control: failed to store the instances' addresses");
                    }
                }
            }
            PeerMessage::Found { snapshot } => {
                self.step(Input::Found(snapshot))?;
            }
            PeerMessage::Directory { targets, gateways } => {
                self.cache_changed |= self.cache.targets != targets;
                self.cache_changed |= self.cache.gateways != gateways;
                self.cache.targets = targets;
                self.cache.gateways = gateways;
                // The message may be older than what is committed here.
                self.apply_departures_to_cache();
            }
            PeerMessage::Heard(announcement) => {
                self.cache_target(announcement);
                self.apply_departures_to_cache();
            }
            PeerMessage::Core { from, to, message } if to == self.core.id() => {
                self.step(Input::Receive { from, message })?;
            }
            PeerMessage::Core { .. } => {}
        }
        Ok(())
    }

    /// Queues a command for the next batch.
    fn propose(&mut self, command: Command, proposer: Proposer) -> Result<(), ActorProcessingErr> {
        if self.batch.is_empty() {
            self.myself.cast(ReplicaMessage::AppendBatch)?;
        }
        self.batch.push((command, proposer));
        Ok(())
    }

    fn append_batch(&mut self) -> Result<(), ActorProcessingErr> {
        let batch = std::mem::take(&mut self.batch);
        if self.check_lease().is_err() {
            for (_, proposer) in batch {
                proposer.fail(&self.not_leader_error());
            }
            return Ok(());
        }
        let mut commands = Vec::with_capacity(batch.len());
        let mut index = self.core.log().last_index();
        for (command, proposer) in batch {
            commands.push(Bytes::from(postcard::to_stdvec(&command)?));
            index = index.next();
            self.pending_proposals
                .insert(index, (self.core.term(), proposer));
        }
        self.step(Input::Propose(commands))?;
        Ok(())
    }

    fn compact(&mut self) -> Result<(), ActorProcessingErr> {
        let entries = &self.core.log().entries;
        let bytes = |entry: &Entry| match &entry.payload {
            Payload::Command(bytes) => bytes.len(),
            Payload::Noop | Payload::Membership(_) => 0,
        };
        let is_small = entries.len()
            < SNAPSHOT_AFTER_ENTRIES + self.control.claim_count() / CLAIMS_PER_SNAPSHOT_ENTRY;
        if is_small && entries.iter().map(bytes).sum::<usize>() < SNAPSHOT_AFTER_BYTES {
            return Ok(());
        }
        let state = self.control.encode()?.into();
        let index = self.core.commit_index();
        self.step(Input::Compact { index, state })?;
        Ok(())
    }

    fn check_lease(&self) -> Result<(), ControlError> {
        match self.core.holds_lease(self.now_ms()) {
            true => Ok(()),
            false => Err(self.not_leader_error()),
        }
    }

    /// As `check_lease`, and fails with [`ControlError::Unresolved`] on a leader that has not
    /// initialized its tables in this term.
    fn check_leading(&self) -> Result<(), ControlError> {
        self.check_lease()?;
        match self.leader_term == self.core.term() {
            true => Ok(()),
            false => Err(ControlError::Unresolved),
        }
    }

    fn not_leader_error(&self) -> ControlError {
        let leader = self.core.leader().filter(|id| *id != self.core.id());
        let known = leader.and_then(|id| self.roster.addresses_of(id));
        ControlError::NotLeader(known.or_else(|| self.roster.leader(self.now_ms())))
    }

    fn fail_pending_proposals(&mut self) {
        for (_, (_, proposer)) in std::mem::take(&mut self.pending_proposals) {
            proposer.fail(&ControlError::Unresolved);
        }
        for held in self.acknowledgements.take_all() {
            held.fail(&ControlError::Unresolved);
        }
        self.fail_pending_renewals();
    }
}

/// Checks a version that an operator has chosen: later ones must be possible.
///
/// # Errors
/// Fails if the version is above [`MAX_DOCUMENT_VERSION`].
pub fn validate_version(version: DocumentVersion) -> Result<(), ControlError> {
    match version <= MAX_DOCUMENT_VERSION {
        true => Ok(()),
        false => Err(ControlError::Invalid(ValidationErrors(vec![
            ValidationError {
                line: 0,
                path: "/version".into(),
                message: format!("the version {version} is above {MAX_DOCUMENT_VERSION}"),
            },
        ]))),
    }
}

/// Wall-clock milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO)
        .as_millis() as u64
}
