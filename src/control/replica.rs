//! The actor that drives one replica: it syncs, sends, applies and answers.

mod leader;

use super::{
    command::{Command, Reply},
    limits::{LimitGrant, LimitWant, Limits},
    members::{MEMBER_LEASE_MS, Members, ProcessStatus, SETTLING_MS},
    peers::{PeerMessage, Peers},
    rpc::*,
    state::{AcceptedDocument, ControlState},
};
use crate::{
    consensus::*,
    document::Policy,
    settings::PeerSettings,
    units::{DocumentVersion, FencingNumber, ProcessName, TargetName},
};
use bytes::Bytes;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};
use tokio::sync::oneshot;

/// The intervals of the group.
pub const TIMING: Timing = Timing {
    heartbeat_ms: 100,
    election_ms: 700,
    spread_ms: 400,
    lease_ms: 600,
};
/// How often the replica looks at its clock.
pub const TICK_MS: u64 = 25;
/// How often a replica tells the others that it is there.
const PRESENCE_MS: u64 = 300;
/// How long a peer counts as present after it was heard of.
const PRESENT_MS: u64 = 1500;
/// How many entries are kept before a snapshot replaces them.
const LOG_ENTRIES: usize = 256;
/// A snapshot waits until the log has one entry for this many claims.
const CLAIMS_PER_LOG_ENTRY: usize = 4;
/// How long a claim is kept.
const CLAIM_RETENTION_MS: u64 = 24 * 60 * 60 * 1000;
/// How often old claims are dropped.
const CLAIM_EXPIRY_MS: u64 = 10 * 60 * 1000;
/// The index of the snapshot that a group is founded on.
const FOUNDING_INDEX: LogIndex = LogIndex(1);

/// Where an answer goes.
pub type Port<T> = oneshot::Sender<Result<T, ControlError>>;

/// What the actor is told.
pub enum ReplicaMessage {
    /// Time has passed.
    Tick,
    /// Another instance sent something.
    Peer(PeerMessage),
    /// Appends a command with those that wait.
    Propose(Command, Port<Reply>),
    /// Appends the commands that wait.
    Flush,
    /// See [`SyncRequest`].
    Sync(SyncRequest, Port<SyncReply>),
    /// Hands out parts of customers' contracts.
    Limits(ProcessName, Vec<LimitWant>, Port<Vec<LimitGrant>>),
    /// Reads the document.
    Get(Port<AcceptedDocument>),
    /// Reads a claim.
    ClaimOf(
        super::command::ClaimKey,
        Port<Option<super::command::Claim>>,
    ),
    /// Reads the state of the group.
    Status(Port<StatusReply>),
    /// Hands over leadership before a stop.
    HandOver(oneshot::Sender<()>),
}

/// The actor.
pub struct Replica;

/// What the actor starts with.
pub struct ReplicaArguments {
    /// The open data folder.
    pub storage: Storage,
    /// What it held.
    pub durable: Durable,
    /// Links to the others.
    pub peers: Peers,
    /// All instances.
    pub instances: Vec<PeerSettings>,
}

struct Waiting {
    request: SyncRequest,
    port: Port<SyncReply>,
    arrived_ms: u64,
}

impl Waiting {
    fn until_ms(&self) -> u64 {
        self.arrived_ms + self.request.wait_ms
    }
}

struct Present {
    id: ReplicaId,
    in_group: bool,
    heard_ms: u64,
}

/// The actor's state.
pub struct ReplicaState {
    started: Instant,
    core: Core,
    storage: Storage,
    control: ControlState,
    peers: Peers,
    instances: Vec<PeerSettings>,
    present: BTreeMap<u8, Present>,
    announced_ms: u64,
    founding: bool,
    batch: Vec<(Command, Port<Reply>)>,
    pending: BTreeMap<LogIndex, (Term, Port<Reply>)>,
    members: Members,
    limits: Limits,
    policy: Policy,
    led_term: Term,
    leader_since_ms: u64,
    settled: bool,
    waiting: Vec<Waiting>,
    expired_ms: u64,
}

impl Actor for Replica {
    type Msg = ReplicaMessage;
    type State = ReplicaState;
    type Arguments = ReplicaArguments;

    async fn pre_start(
        &self,
        _myself: ActorRef<Self::Msg>,
        arguments: ReplicaArguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        let ReplicaArguments {
            storage,
            durable,
            peers,
            instances,
        } = arguments;
        let Durable {
            id,
            hard,
            log,
            cut_bytes,
        } = durable;
        if cut_bytes > 0 {
            tracing::warn!("control: cut a torn record of {cut_bytes} bytes at the end of the log");
        }
        let control = decode_state(&log.snapshot.state)?;
        tracing::info!("control: replica {id} starts at entry {}", log.last_index());
        Ok(ReplicaState {
            started: Instant::now(),
            core: Core::new(id, TIMING, hard, log, 1),
            storage,
            control,
            peers,
            instances,
            present: BTreeMap::new(),
            announced_ms: 0,
            founding: false,
            batch: Vec::new(),
            pending: BTreeMap::new(),
            members: Members::default(),
            limits: Limits::default(),
            policy: Policy::default(),
            led_term: Term(0),
            leader_since_ms: 0,
            settled: false,
            waiting: Vec::new(),
            expired_ms: 0,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            ReplicaMessage::Tick => state.tick()?,
            ReplicaMessage::Peer(message) => state.hear(message)?,
            ReplicaMessage::Propose(command, port) => {
                if state.batch.is_empty() {
                    myself.cast(ReplicaMessage::Flush)?;
                }
                state.batch.push((command, port));
            }
            ReplicaMessage::Flush => state.flush()?,
            ReplicaMessage::Sync(request, port) => state.sync(request, port),
            ReplicaMessage::Limits(entry, wants, port) => {
                let _ = port.send(state.leased().map(|()| state.limit(&entry, &wants)));
            }
            ReplicaMessage::Get(port) => {
                let reply = state.leased().map(|()| state.control.document().clone());
                let _ = port.send(reply);
            }
            ReplicaMessage::ClaimOf(key, port) => {
                let reply = state.leased().map(|()| state.control.claim(&key).cloned());
                let _ = port.send(reply);
            }
            ReplicaMessage::Status(port) => {
                let _ = port.send(state.leased().map(|()| state.status()));
            }
            ReplicaMessage::HandOver(port) => {
                state.step(Input::HandOver)?;
                let _ = port.send(());
            }
        }
        Ok(())
    }
}

fn decode_state(bytes: &Bytes) -> Result<ControlState, ActorProcessingErr> {
    match bytes.is_empty() {
        true => Ok(ControlState::default()),
        false => Ok(postcard::from_bytes(bytes)?),
    }
}

impl ReplicaState {
    /// Monotonic milliseconds of this process, from 1.
    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1
    }

    /// Steps the core, then syncs, sends and applies, in this order.
    fn step(&mut self, input: Input) -> Result<Option<ProposeError>, ActorProcessingErr> {
        let Effects {
            persist,
            messages,
            restore,
            committed,
            refused,
        } = self.core.step(self.now_ms(), input);
        self.storage
            .save(persist, self.core.log(), self.core.hard_state())?;
        for (to, message) in messages {
            let from = self.core.id();
            self.peers
                .send(to.number, PeerMessage::Core { from, to, message });
        }
        if let Some(snapshot) = restore {
            tracing::info!(
                "control: restored a snapshot up to entry {}",
                snapshot.index
            );
            self.control = decode_state(&snapshot.state)?;
        }
        let version_before = self.control.document().version;
        for entry in committed {
            self.apply(entry)?;
        }
        if self.control.document().version > version_before {
            self.answer_waiting();
        }
        Ok(refused)
    }

    fn apply(&mut self, entry: Entry) -> Result<(), ActorProcessingErr> {
        let reply = match entry.payload {
            Payload::Command(bytes) => Some(self.control.apply(postcard::from_bytes(&bytes)?)),
            Payload::Noop | Payload::Membership(_) => None,
        };
        match (self.pending.remove(&entry.index), reply) {
            (Some((term, port)), Some(reply)) if term == entry.term => drop(port.send(Ok(reply))),
            (Some((_, port)), _) => drop(port.send(Err(ControlError::Unresolved))),
            (None, _) => {}
        }
        Ok(())
    }

    fn tick(&mut self) -> Result<(), ActorProcessingErr> {
        self.step(Input::Tick)?;
        let now_ms = self.now_ms();
        if now_ms >= self.announced_ms + PRESENCE_MS {
            self.announced_ms = now_ms;
            let in_group = !self.core.membership().is_empty();
            self.peers.broadcast(&PeerMessage::Present {
                id: self.core.id(),
                in_group,
            });
        }
        self.found()?;
        self.compact()?;
        if self.core.role() == RoleName::Leader {
            self.lead()
        } else {
            self.fail_pending();
            Ok(())
        }
    }

    fn hear(&mut self, message: PeerMessage) -> Result<(), ActorProcessingErr> {
        match message {
            PeerMessage::Present { id, in_group } => {
                let heard_ms = self.now_ms();
                self.present.insert(
                    id.number,
                    Present {
                        id,
                        in_group,
                        heard_ms,
                    },
                );
            }
            PeerMessage::Found { snapshot } => {
                self.step(Input::Found(snapshot))?;
            }
            PeerMessage::Core { from, to, message } if to == self.core.id() => {
                self.step(Input::Receive { from, message })?;
            }
            PeerMessage::Core { .. } => {}
        }
        Ok(())
    }

    fn flush(&mut self) -> Result<(), ActorProcessingErr> {
        let batch = std::mem::take(&mut self.batch);
        if self.leased().is_err() {
            for (_, port) in batch {
                let _ = port.send(Err(self.not_leader()));
            }
            return Ok(());
        }
        let mut commands = Vec::with_capacity(batch.len());
        let mut index = self.core.log().last_index();
        for (command, port) in batch {
            commands.push(Bytes::from(postcard::to_stdvec(&command)?));
            index = index.next();
            self.pending.insert(index, (self.core.term(), port));
        }
        self.step(Input::Propose(commands))?;
        Ok(())
    }

    /// Founds the group once every instance is present and none belongs to one.
    fn found(&mut self) -> Result<(), ActorProcessingErr> {
        let lowest = self.instances.iter().map(|instance| instance.number).min();
        let belongs = !self.core.membership().is_empty();
        if belongs || lowest != Some(self.core.id().number) {
            return Ok(());
        }
        let now_ms = self.now_ms();
        let fresh = |present: &&Present| now_ms < present.heard_ms + PRESENT_MS;
        let present: Vec<&Present> = self.present.values().filter(fresh).collect();
        let complete = present.len() + 1 == self.instances.len();
        let founded = present.iter().filter(|present| present.in_group).count();
        let mut membership = Membership::default();
        membership.voters.insert(self.core.id());
        membership
            .voters
            .extend(present.iter().map(|present| present.id));
        let snapshot = Snapshot {
            index: FOUNDING_INDEX,
            term: Term(0),
            membership,
            state: Bytes::new(),
        };
        match () {
            () if !complete => {}
            () if founded == present.len() && (self.founding || present.is_empty()) => {
                tracing::info!("control: founded the group");
                self.step(Input::Found(snapshot))?;
            }
            () if founded == 0 => {
                self.founding = true;
                self.peers.broadcast(&PeerMessage::Found { snapshot });
            }
            () => {}
        }
        Ok(())
    }

    fn compact(&mut self) -> Result<(), ActorProcessingErr> {
        let entries = self.core.log().entries.len();
        if entries < LOG_ENTRIES + self.control.claim_count() / CLAIMS_PER_LOG_ENTRY {
            return Ok(());
        }
        let state = postcard::to_stdvec(&self.control)?.into();
        let index = self.core.commit_index();
        self.step(Input::Compact { index, state })?;
        Ok(())
    }

    fn leased(&self) -> Result<(), ControlError> {
        match self.core.lease_holds(self.now_ms()) {
            true => Ok(()),
            false => Err(self.not_leader()),
        }
    }

    fn not_leader(&self) -> ControlError {
        let leader = self.core.leader().filter(|id| *id != self.core.id());
        let instance = leader.and_then(|id| self.instances.iter().find(|i| i.number == id.number));
        ControlError::NotLeader(instance.map(|instance| instance.rpc.to_string()))
    }

    fn fail_pending(&mut self) {
        for (_, (_, port)) in std::mem::take(&mut self.pending) {
            let _ = port.send(Err(ControlError::Unresolved));
        }
        self.fail_waiting();
    }
}

/// Wall-clock milliseconds since 1970.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO)
        .as_millis() as u64
}

/// Checks a document as the leader does before it proposes it.
///
/// # Errors
/// Fails with every fault found.
pub fn check(yaml: &str) -> Result<(), ControlError> {
    Policy::compile(DocumentVersion(0), yaml)
        .map(drop)
        .map_err(ControlError::Invalid)
}
