//! Links to admission agents and the slot requests sent over them.
//!
//! One task per agent owns its link. When the link breaks, waiting slot requests fail; granted
//! ones are not affected.

use crate::{
    grants::{FromAdmissionAgent, SlotRequest, TicketNumber, ToAdmissionAgent},
    link::{self, KeepaliveGuard, LinkReceiver, LinkSender},
    request_limit::RequestLimit,
    stream_records::StreamKey,
    stream_version::RECORD_MS,
    target_pace::TargetSpeed,
    units::TargetVersion,
};
use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::sync::{mpsc, oneshot};

/// Delay before an unreachable agent is connected to again.
const RECONNECT_DELAY_MS: u64 = 500;
/// Time after which an unused link is closed.
const IDLE_TIMEOUT_MS: u64 = 30_000;

/// Channel for an agent's replies to a search, each with the position of the target in the
/// search and the target's speed.
pub type ReplySender = mpsc::UnboundedSender<(usize, AgentReply, Option<TargetSpeed>)>;

/// Reply of an agent to a slot request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgentReply {
    /// The slot is granted.
    Granted,
    /// The request is queued, with the expected wait in milliseconds.
    Queued(u64),
    /// The request is refused, with the wait in milliseconds that it would have had.
    Refused(u64),
    /// The request is refused by the target's limit, with the wait in milliseconds that it would
    /// have had.
    Limited(u64),
    /// The target accepts no new work.
    Draining,
    /// The agent is unreachable.
    Unreachable,
    /// Whether the request was refused before.
    Recalled(bool),
}

/// What a gateway tells the task that owns a link.
pub(super) enum Command {
    Ask {
        request: Box<SlotRequest>,
        position: usize,
        replies: ReplySender,
    },
    Release {
        ticket: TicketNumber,
        ran_ms: Option<u64>,
    },
    FirstEvent {
        ticket: TicketNumber,
    },
    Draining {
        started_unix_ms: u64,
    },
    Limit {
        started_unix_ms: u64,
        limit: RequestLimit,
    },
    Unused {
        ticket: TicketNumber,
    },
    Full {
        ticket: TicketNumber,
    },
    Abandoned {
        ticket: TicketNumber,
    },
    Recall {
        ticket: TicketNumber,
        fingerprint: u64,
        position: usize,
        replies: ReplySender,
    },
    Remember {
        fingerprint: u64,
    },
    RecordStream {
        key: StreamKey,
        version: TargetVersion,
    },
    RecallStream {
        ticket: TicketNumber,
        key: StreamKey,
        reply: oneshot::Sender<Option<TargetVersion>>,
    },
}

impl AgentReply {
    /// The reply that a message is; `None` if it refers to no request.
    pub(super) fn of(message: &FromAdmissionAgent) -> Option<Self> {
        match message {
            FromAdmissionAgent::Granted { .. } => Some(Self::Granted),
            FromAdmissionAgent::Queued { wait_ms, .. } => Some(Self::Queued(*wait_ms)),
            FromAdmissionAgent::Refused { wait_ms, .. } => Some(Self::Refused(*wait_ms)),
            FromAdmissionAgent::Draining { .. } => Some(Self::Draining),
            FromAdmissionAgent::Limited { wait_ms, .. } => Some(Self::Limited(*wait_ms)),
            FromAdmissionAgent::Recalled { is_return, .. } => Some(Self::Recalled(*is_return)),
            FromAdmissionAgent::Kept { .. } | FromAdmissionAgent::RecalledStream { .. } => None,
        }
    }
}

/// A requested or granted slot, released on drop.
pub struct PendingSlotRequest {
    commands: mpsc::UnboundedSender<Command>,
    ticket: TicketNumber,
    /// Whether the slot is used: a request is sent to the target.
    pub is_used: bool,
    /// Whether the slot is one of a plain target, at the agent that keeps its queue.
    pub is_at_keeper: bool,
    /// Run time of the request, if its response was complete.
    pub ran_ms: Option<u64>,
    /// Whether the caller is refused.
    pub is_abandoned: bool,
}

impl PendingSlotRequest {
    /// A slot request at the agent that keeps the queue of a plain target.
    pub(super) fn at_keeper(
        commands: mpsc::UnboundedSender<Command>,
        ticket: TicketNumber,
    ) -> Self {
        Self {
            commands,
            ticket,
            is_used: false,
            is_at_keeper: true,
            ran_ms: None,
            is_abandoned: false,
        }
    }

    /// Reports to the agent that the target refused the request because it is full.
    pub fn report_full(&self) {
        let ticket = self.ticket;
        // Sending cannot fail: the task runs as long as a sender exists.
        let _ = self.commands.send(Command::Full { ticket });
    }

    /// Reports the first event of the response to the agent.
    pub fn report_first_event(&self) {
        let ticket = self.ticket;
        // Sending cannot fail: the task runs as long as a sender exists.
        let _ = self.commands.send(Command::FirstEvent { ticket });
    }

    /// Reports the limit of this run of its target to the agent.
    pub fn report_limit(&self, started_unix_ms: u64, limit: RequestLimit) {
        // Sending cannot fail: the task runs as long as a sender exists.
        let _ = self.commands.send(Command::Limit {
            started_unix_ms,
            limit,
        });
    }

    /// Reports to the agent that this run of its target is draining.
    pub fn report_draining(&self, started_unix_ms: u64) {
        // Sending cannot fail: the task runs as long as a sender exists.
        let _ = self.commands.send(Command::Draining { started_unix_ms });
    }
}

impl Drop for PendingSlotRequest {
    fn drop(&mut self) {
        let (ticket, ran_ms) = (self.ticket, self.ran_ms);
        // Sending cannot fail: the task runs as long as a sender exists.
        let _ = self.commands.send(match (self.is_used, self.is_abandoned) {
            (true, _) => Command::Release { ticket, ran_ms },
            (false, true) => Command::Abandoned { ticket },
            (false, false) => Command::Unused { ticket },
        });
    }
}

/// Links of a gateway, by the address of the agent.
#[derive(Default)]
pub struct AdmissionLinks {
    links: Mutex<HashMap<SocketAddr, mpsc::UnboundedSender<Command>>>,
    tickets: AtomicU64,
    lost_holders: LostHolders,
}

/// The agents that may have lost records of streams, or did not get them.
type LostHolders = Arc<Mutex<BTreeSet<SocketAddr>>>;

impl AdmissionLinks {
    /// Requests a slot from an agent.
    pub fn request_slot(
        &self,
        address: SocketAddr,
        mut request: SlotRequest,
        position: usize,
        replies: ReplySender,
    ) -> PendingSlotRequest {
        let ticket = self.next_ticket();
        request.ticket = ticket;
        let commands = self.link(address);
        let request = Box::new(request);
        let _ = commands.send(Command::Ask {
            request,
            position,
            replies,
        });
        PendingSlotRequest {
            commands,
            ticket,
            is_used: false,
            is_at_keeper: false,
            ran_ms: None,
            is_abandoned: false,
        }
    }

    /// Asks an agent whether it remembers a refusal. The question ends when the returned guard is
    /// dropped.
    pub fn recall(
        &self,
        address: SocketAddr,
        fingerprint: u64,
        position: usize,
        replies: ReplySender,
    ) -> PendingSlotRequest {
        let (ticket, commands) = (self.next_ticket(), self.link(address));
        let _ = commands.send(Command::Recall {
            ticket,
            fingerprint,
            position,
            replies,
        });
        PendingSlotRequest {
            commands,
            ticket,
            is_used: false,
            is_at_keeper: false,
            ran_ms: None,
            is_abandoned: false,
        }
    }

    /// Reports a refusal to the agent that remembers it.
    pub fn remember(&self, address: SocketAddr, fingerprint: u64) {
        let _ = self.link(address).send(Command::Remember { fingerprint });
    }

    /// Records the version that began a stream at an agent.
    pub fn record_stream(&self, address: SocketAddr, key: StreamKey, version: TargetVersion) {
        let _ = self
            .link(address)
            .send(Command::RecordStream { key, version });
    }

    /// Asks an agent for the version that began a stream. The channel closes without a reply if the
    /// agent cannot be reached.
    pub fn recall_stream(
        &self,
        address: SocketAddr,
        key: StreamKey,
    ) -> oneshot::Receiver<Option<TargetVersion>> {
        let (reply, replied) = oneshot::channel();
        let ticket = self.next_ticket();
        let _ = self
            .link(address)
            .send(Command::RecallStream { ticket, key, reply });
        replied
    }

    /// The agents that may have lost records of streams since the last call.
    pub fn take_lost_holders(&self) -> BTreeSet<SocketAddr> {
        std::mem::take(&mut *self.lost_holders.lock().expect("no holder panics"))
    }

    fn next_ticket(&self) -> TicketNumber {
        TicketNumber(self.tickets.fetch_add(1, Ordering::Relaxed))
    }

    fn link(&self, address: SocketAddr) -> mpsc::UnboundedSender<Command> {
        let mut links = self.links.lock().expect("no holder panics");
        let spawn_link = || {
            let (commands, received) = mpsc::unbounded_channel();
            let link = Link::new(address, Arc::clone(&self.lost_holders));
            tokio::spawn(link.run(received));
            commands
        };
        links.entry(address).or_insert_with(spawn_link).clone()
    }

    /// Removes the links to agents for which `is_wanted` is false. Each is closed when its last
    /// request has ended.
    pub fn retain(&self, is_wanted: impl Fn(&SocketAddr) -> bool) {
        let mut links = self.links.lock().expect("no holder panics");
        links.retain(|address, _| is_wanted(address));
    }
}

struct OpenConnection {
    sender: LinkSender<ToAdmissionAgent>,
    receiver: LinkReceiver<FromAdmissionAgent>,
}

struct PendingRequest {
    position: usize,
    replies: Option<ReplySender>,
    _keepalive: KeepaliveGuard,
}

struct Link {
    address: SocketAddr,
    connection: Option<OpenConnection>,
    pending: HashMap<TicketNumber, PendingRequest>,
    recalls: HashMap<TicketNumber, oneshot::Sender<Option<TargetVersion>>>,
    failed_at: Option<Instant>,
    /// When the latest record of a stream was sent. While the agent has records, the link stays open:
    /// it breaks when the agent restarts.
    recorded_at: Option<Instant>,
    lost_holders: LostHolders,
}

impl Link {
    fn new(address: SocketAddr, lost_holders: LostHolders) -> Self {
        Self {
            address,
            connection: None,
            pending: HashMap::new(),
            recalls: HashMap::new(),
            failed_at: None,
            recorded_at: None,
            lost_holders,
        }
    }

    async fn run(mut self, mut commands: mpsc::UnboundedReceiver<Command>) {
        loop {
            let idle = Duration::from_millis(IDLE_TIMEOUT_MS);
            let reply = async {
                match &mut self.connection {
                    Some(connection) => connection.receiver.receive().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.handle_command(command).await,
                    None => return,
                },
                reply = reply => match reply {
                    Some(message) => self.handle_message(message),
                    None => self.disconnect(),
                },
                () = tokio::time::sleep(idle), if self.pending.is_empty() => {
                    if !self.has_records() {
                        self.connection = None;
                    }
                }
            }
        }
    }

    async fn handle_command(&mut self, command: Command) {
        match command {
            Command::Ask {
                request,
                position,
                replies,
            } => {
                let (ticket, message) = (request.ticket, ToAdmissionAgent::Ask(*request));
                self.ask(ticket, message, position, replies).await;
            }
            Command::Recall {
                ticket,
                fingerprint,
                position,
                replies,
            } => {
                let message = ToAdmissionAgent::Recall {
                    ticket,
                    fingerprint,
                };
                self.ask(ticket, message, position, replies).await;
            }
            Command::RecordStream { key, version } => {
                if self.connection.is_none() {
                    self.connect().await;
                }
                self.recorded_at = Some(Instant::now());
                match self.connection.is_some() {
                    true => self.send(ToAdmissionAgent::RecordStream { key, version }),
                    false => self.report_lost_records(),
                }
            }
            Command::RecallStream { ticket, key, reply } => {
                if self.connection.is_none() {
                    self.connect().await;
                }
                self.recalls.retain(|_, reply| !reply.is_closed());
                if self.connection.is_some() {
                    self.recalls.insert(ticket, reply);
                    self.send(ToAdmissionAgent::RecallStream { ticket, key });
                }
            }
            Command::Remember { fingerprint } => {
                self.send(ToAdmissionAgent::Remember { fingerprint });
            }
            Command::Abandoned { ticket } => {
                if self.pending.remove(&ticket).is_some() {
                    self.send(ToAdmissionAgent::Abandoned { ticket });
                }
            }
            Command::Draining { started_unix_ms } => {
                self.send(ToAdmissionAgent::Draining { started_unix_ms });
            }
            Command::Limit {
                started_unix_ms,
                limit,
            } => {
                self.send(ToAdmissionAgent::Limit {
                    started_unix_ms,
                    limit,
                });
            }
            Command::Unused { ticket } => {
                if self.pending.remove(&ticket).is_some() {
                    self.send(ToAdmissionAgent::Unused { ticket });
                }
            }
            Command::FirstEvent { ticket } if self.pending.contains_key(&ticket) => {
                self.send(ToAdmissionAgent::FirstEvent { ticket });
            }
            // The agent beside a model target limits its grants by the target's own speed.
            Command::FirstEvent { .. } | Command::Full { .. } => {}
            Command::Release { ticket, ran_ms } => {
                if self.pending.remove(&ticket).is_some() {
                    self.send(ToAdmissionAgent::Release { ticket, ran_ms });
                }
            }
        }
    }

    /// Sends a message that the agent replies to, and connects first if necessary.
    async fn ask(
        &mut self,
        ticket: TicketNumber,
        message: ToAdmissionAgent,
        position: usize,
        replies: ReplySender,
    ) {
        if self.connection.is_none() {
            self.connect().await;
        }
        let Some(connection) = &self.connection else {
            let _ = replies.send((position, AgentReply::Unreachable, None));
            return;
        };
        let pending = PendingRequest {
            position,
            replies: Some(replies),
            _keepalive: connection.sender.keep_alive(),
        };
        self.pending.insert(ticket, pending);
        self.send(message);
    }

    fn send(&mut self, message: ToAdmissionAgent) {
        if let Some(connection) = &self.connection
            && connection.sender.try_send(message).is_err()
        {
            self.disconnect();
        }
    }

    fn handle_message(&mut self, message: FromAdmissionAgent) {
        let Some(reply) = AgentReply::of(&message) else {
            if let FromAdmissionAgent::RecalledStream { ticket, version } = message
                && let Some(reply) = self.recalls.remove(&ticket)
            {
                // A caller that waited too long is gone.
                let _ = reply.send(version);
            }
            return;
        };
        let ticket = message.ticket();
        if let Some(pending) = self.pending.get_mut(&ticket) {
            if let Some(replies) = &pending.replies {
                // A search that has ended drops its slot requests, including this one.
                let _ = replies.send((pending.position, reply, message.speed()));
            }
            if reply == AgentReply::Granted {
                pending.replies = None;
            }
        }
        if matches!(
            reply,
            AgentReply::Refused(_)
                | AgentReply::Limited(_)
                | AgentReply::Draining
                | AgentReply::Recalled(_)
        ) {
            self.pending.remove(&ticket);
        }
    }

    fn has_records(&self) -> bool {
        let retention = Duration::from_millis(RECORD_MS);
        self.recorded_at.is_some_and(|at| at.elapsed() < retention)
    }

    fn report_lost_records(&self) {
        let mut lost = self.lost_holders.lock().expect("no holder panics");
        lost.insert(self.address);
    }

    fn disconnect(&mut self) {
        if self.has_records() {
            self.report_lost_records();
        }
        if self.connection.take().is_some() {
            tracing::warn!(address = %self.address, waiting = self.pending.len(), "gateway: lost connection to agent");
        }
        self.recalls.clear();
        for (_, pending) in self.pending.drain() {
            if let Some(replies) = pending.replies {
                let _ = replies.send((pending.position, AgentReply::Unreachable, None));
            }
        }
    }

    async fn connect(&mut self) {
        let delay = Duration::from_millis(RECONNECT_DELAY_MS);
        if self.failed_at.is_some_and(|at| at.elapsed() < delay) {
            return;
        }
        match link::connect(self.address).await {
            Ok((sender, receiver)) => {
                if self.failed_at.take().is_some() {
                    tracing::info!(address = %self.address, "gateway: reconnected to agent");
                }
                self.connection = Some(OpenConnection { sender, receiver });
            }
            Err(error) => {
                if self.failed_at.is_none() {
                    tracing::warn!(address = %self.address, %error, "gateway: cannot connect to agent");
                }
                self.failed_at = Some(Instant::now());
            }
        }
    }
}
