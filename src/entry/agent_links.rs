//! Connections to agents, shared by the request exchanges that run over them.
//!
//! One task per agent owns the link. When the link breaks, reservations are reported as
//! lost (the agent drops them too), and dispatched requests are resumed on a new link at
//! the offset received so far.

use crate::{
    control::command::GrantId,
    link::{self, KeepaliveGuard, LinkReceiver, LinkSender},
    units::*,
    verdict::{Reason, Verdict},
    wire::{FromAgent, ToAgent},
};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::{sync::mpsc, time::timeout};

/// Timeout of the agent's `Hello` on a new link.
const HELLO_TIMEOUT_MS: u64 = 1500;
/// Time for which an agent gets no new reservations after a failed connection attempt.
const FAILED_AGENT_BACKOFF_MS: u64 = 500;
/// Interval between connection attempts to resume dispatched requests.
const RECONNECT_INTERVAL_MS: u64 = 100;
/// Time after a disconnect at which dispatched requests fail.
const RECONNECT_TIMEOUT_MS: u64 = 5000;
/// Interval of the idle check; a link unused for one to two intervals is closed.
const IDLE_CHECK_INTERVAL_MS: u64 = 30_000;

/// An event in an exchange.
#[derive(Debug)]
pub enum Event {
    /// The agent sent a message.
    Message(FromAgent),
    /// The link broke before the dispatch; the reservation is void.
    Lost,
}

/// Sends an exchange's events, tagged with the exchange's index.
pub type EventSender = mpsc::UnboundedSender<(usize, Event)>;

enum LinkCommand {
    Open {
        request: RequestId,
        index: usize,
        events: EventSender,
        received_offset: Arc<AtomicU64>,
        first_message: ToAgent,
    },
    Dispatch {
        request: RequestId,
        grant: GrantId,
        message: ToAgent,
    },
    Send {
        message: ToAgent,
    },
    Close {
        request: RequestId,
        index: usize,
        closing_message: Option<ToAgent>,
    },
}

/// The links of an entry, by agent address.
pub struct AgentLinks {
    entry: ProcessName,
    incarnation: Incarnation,
    wants_load: bool,
    links: Mutex<HashMap<String, mpsc::UnboundedSender<LinkCommand>>>,
    loads: Loads,
}

/// The last reported load by agent address: open requests, and whether the agent is full.
type Loads = Arc<Mutex<HashMap<String, (usize, bool)>>>;

enum ExchangeState {
    Reserved,
    Dispatched(GrantId),
    Ended,
}

/// The exchange of one request with one agent. Dropping it releases the reservation or
/// cancels the dispatched request.
pub struct Exchange {
    request: RequestId,
    index: usize,
    commands: mpsc::UnboundedSender<LinkCommand>,
    received_offset: Arc<AtomicU64>,
    state: ExchangeState,
}

impl AgentLinks {
    /// Creates the set without links; they are opened on first use.
    pub fn new(entry: ProcessName, incarnation: Incarnation, wants_load: bool) -> Self {
        Self {
            entry,
            incarnation,
            wants_load,
            links: Mutex::default(),
            loads: Loads::default(),
        }
    }

    /// The last load reported by an agent: open requests, and whether it is full.
    pub fn load(&self, address: &str) -> (usize, bool) {
        let loads = self.loads.lock().expect("no holder panics");
        loads.get(address).copied().unwrap_or_default()
    }

    /// Opens an exchange with an agent and sends its first message.
    pub fn open(
        &self,
        address: &str,
        request: RequestId,
        index: usize,
        events: EventSender,
        first_message: ToAgent,
    ) -> Exchange {
        let received_offset = Arc::new(AtomicU64::new(0));
        let mut command = LinkCommand::Open {
            request,
            index,
            events,
            received_offset: Arc::clone(&received_offset),
            first_message,
        };
        let mut links = self.links.lock().expect("no holder panics");
        let commands = loop {
            let commands = links
                .entry(address.to_string())
                .or_insert_with(|| self.spawn(address))
                .clone();
            match commands.send(command) {
                Ok(()) => break commands,
                Err(mpsc::error::SendError(returned)) => {
                    links.remove(address);
                    command = returned;
                }
            }
        };
        Exchange {
            request,
            index,
            commands,
            received_offset,
            state: ExchangeState::Reserved,
        }
    }

    fn spawn(&self, address: &str) -> mpsc::UnboundedSender<LinkCommand> {
        let (sender, commands) = mpsc::unbounded_channel();
        let hello = ToAgent::Hello {
            entry: self.entry.clone(),
            incarnation: self.incarnation,
            wants_load: self.wants_load,
        };
        let task = LinkTask {
            address: address.parse().ok(),
            hello,
            commands,
            link: None,
            exchanges: HashMap::new(),
            failed_at: None,
            disconnected_at: None,
            loads: Arc::clone(&self.loads),
        };
        tokio::spawn(task.run());
        sender
    }
}

impl Exchange {
    /// The index of the exchange among those of its request.
    pub fn index(&self) -> usize {
        self.index
    }

    /// Dispatches the request, which uses up the grant.
    pub fn dispatch(&mut self, grant: GrantId, message: ToAgent) {
        self.state = ExchangeState::Dispatched(grant);
        let _ = self.commands.send(LinkCommand::Dispatch {
            request: self.request,
            grant,
            message,
        });
    }

    /// Acknowledges the response bytes received so far to the agent.
    pub fn acknowledge(&self, offset: u64) {
        let message = ToAgent::Acknowledge {
            request: self.request,
            offset,
        };
        let _ = self.commands.send(LinkCommand::Send { message });
    }

    /// Records the offset at which a new link resumes the response.
    pub fn set_received_offset(&self, offset: u64) {
        self.received_offset.store(offset, Ordering::Relaxed);
    }

    /// Marks the exchange as ended at the agent, so that dropping it sends nothing.
    pub fn mark_ended(&mut self) {
        self.state = ExchangeState::Ended;
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        let request = self.request;
        let closing_message = match self.state {
            ExchangeState::Reserved => Some(ToAgent::Release { request }),
            ExchangeState::Dispatched(grant) => Some(ToAgent::Cancel { request, grant }),
            ExchangeState::Ended => None,
        };
        let _ = self.commands.send(LinkCommand::Close {
            request,
            index: self.index,
            closing_message,
        });
    }
}

struct OpenExchange {
    index: usize,
    events: EventSender,
    received_offset: Arc<AtomicU64>,
    dispatched_grant: Option<GrantId>,
}

struct OpenLink {
    sender: LinkSender<ToAgent>,
    receiver: LinkReceiver<FromAgent>,
    _keepalive: KeepaliveGuard,
}

struct LinkTask {
    address: Option<SocketAddr>,
    hello: ToAgent,
    commands: mpsc::UnboundedReceiver<LinkCommand>,
    link: Option<OpenLink>,
    exchanges: HashMap<RequestId, OpenExchange>,
    failed_at: Option<Instant>,
    disconnected_at: Option<Instant>,
    loads: Loads,
}

impl LinkTask {
    async fn run(mut self) {
        let mut idle_interval =
            tokio::time::interval(Duration::from_millis(IDLE_CHECK_INTERVAL_MS));
        let mut idle = false;
        loop {
            match &mut self.link {
                Some(link) => tokio::select! {
                    message = link.receiver.receive() => match message {
                        Some(message) => self.handle_message(message),
                        None => self.handle_disconnect(),
                    },
                    command = self.commands.recv() => match command {
                        Some(command) => {
                            idle = false;
                            self.handle_command(command).await;
                        }
                        None => return,
                    },
                    _ = idle_interval.tick() => {
                        if idle && self.exchanges.is_empty() {
                            return;
                        }
                        idle = true;
                    }
                },
                None if self.exchanges.is_empty() => match self.commands.recv().await {
                    Some(command) => self.handle_command(command).await,
                    None => return,
                },
                None => self.reconnect().await,
            }
        }
    }

    async fn handle_command(&mut self, command: LinkCommand) {
        match command {
            LinkCommand::Open {
                request,
                index,
                events,
                received_offset,
                first_message,
            } => {
                let backoff = Duration::from_millis(FAILED_AGENT_BACKOFF_MS);
                let backing_off = self.failed_at.is_some_and(|at| at.elapsed() < backoff);
                if self.link.is_none() && (backing_off || self.connect().await.is_none()) {
                    let _ = events.send((index, Event::Lost));
                    return;
                }
                let exchange = OpenExchange {
                    index,
                    events,
                    received_offset,
                    dispatched_grant: None,
                };
                self.exchanges.insert(request, exchange);
                self.send(first_message).await;
            }
            LinkCommand::Dispatch {
                request,
                grant,
                message,
            } => {
                if let Some(exchange) = self.exchanges.get_mut(&request) {
                    exchange.dispatched_grant = Some(grant);
                    self.send(message).await;
                }
            }
            LinkCommand::Send { message } => self.send(message).await,
            LinkCommand::Close {
                request,
                index,
                closing_message,
            } => {
                let open = self
                    .exchanges
                    .get(&request)
                    .is_some_and(|e| e.index == index);
                if open {
                    self.exchanges.remove(&request);
                    if let Some(closing_message) = closing_message {
                        self.send(closing_message).await;
                    }
                }
            }
        }
    }

    async fn send(&mut self, message: ToAgent) {
        if let Some(link) = &self.link
            && link.sender.send(message).await.is_err()
        {
            self.handle_disconnect();
        }
    }

    fn handle_message(&mut self, message: FromAgent) {
        if let FromAgent::Load {
            open_requests,
            is_full,
        } = message
        {
            let address = self.address.map(|address| address.to_string());
            let mut loads = self.loads.lock().expect("no holder panics");
            loads.insert(address.unwrap_or_default(), (open_requests, is_full));
        }
        let exchange = message
            .request()
            .and_then(|request| self.exchanges.get(&request));
        if let Some(exchange) = exchange {
            let _ = exchange
                .events
                .send((exchange.index, Event::Message(message)));
        }
    }

    fn handle_disconnect(&mut self) {
        self.link = None;
        self.disconnected_at = Some(Instant::now());
        self.exchanges.retain(|_, exchange| {
            if exchange.dispatched_grant.is_none() {
                let _ = exchange.events.send((exchange.index, Event::Lost));
            }
            exchange.dispatched_grant.is_some()
        });
    }

    async fn connect(&mut self) -> Option<Incarnation> {
        let opened = self.handshake().await;
        self.failed_at = opened.is_none().then(Instant::now);
        let (link, incarnation) = opened?;
        self.link = Some(link);
        Some(incarnation)
    }

    async fn handshake(&self) -> Option<(OpenLink, Incarnation)> {
        let (sender, mut receiver) = link::connect(self.address?).await.ok()?;
        let keepalive = sender.keep_alive();
        sender.send(self.hello.clone()).await.ok()?;
        let hello = timeout(Duration::from_millis(HELLO_TIMEOUT_MS), receiver.receive()).await;
        match hello {
            Ok(Some(FromAgent::Hello { incarnation, .. })) => Some((
                OpenLink {
                    sender,
                    receiver,
                    _keepalive: keepalive,
                },
                incarnation,
            )),
            _ => None,
        }
    }

    /// Opens a new link and resumes the dispatched requests, or fails them after a timeout.
    async fn reconnect(&mut self) {
        match self.connect().await {
            Some(incarnation) => self.resume(incarnation).await,
            None => {
                let reconnect_timeout = Duration::from_millis(RECONNECT_TIMEOUT_MS);
                if self
                    .disconnected_at
                    .is_none_or(|at| at.elapsed() > reconnect_timeout)
                {
                    self.fail_all(Reason::LinkLost);
                }
                tokio::time::sleep(Duration::from_millis(RECONNECT_INTERVAL_MS)).await;
            }
        }
    }

    async fn resume(&mut self, incarnation: Incarnation) {
        let mut messages = Vec::new();
        self.exchanges
            .retain(|request, exchange| match exchange.dispatched_grant {
                Some(grant) if grant.incarnation == incarnation => {
                    let offset = exchange.received_offset.load(Ordering::Relaxed);
                    messages.push(ToAgent::Resume {
                        request: *request,
                        grant,
                        offset,
                    });
                    true
                }
                _ => {
                    fail(*request, exchange, Reason::AgentRestarted);
                    false
                }
            });
        for message in messages {
            self.send(message).await;
        }
    }

    fn fail_all(&mut self, reason: Reason) {
        for (request, exchange) in self.exchanges.drain() {
            fail(request, &exchange, reason.clone());
        }
    }
}

fn fail(request: RequestId, exchange: &OpenExchange, reason: Reason) {
    let message = FromAgent::Failed {
        request,
        verdict: Verdict::MayHaveRun,
        reason,
    };
    let _ = exchange
        .events
        .send((exchange.index, Event::Message(message)));
}
