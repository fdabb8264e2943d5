//! Links to agents, and the exchanges of requests that run over them.
//!
//! One task per agent owns the link. When the link breaks, reservations are
//! reported lost (the agent drops them too), and dispatched requests are
//! resumed on a new link at the offset reached.

use crate::{
    control::command::GrantId,
    link::{self, LinkReceiver, LinkSender, LinkWork},
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

/// How long an agent may take to say hello on a new link.
const HELLO_TIMEOUT_MS: u64 = 1500;
/// How long a failed agent is not tried again for new reservations.
const FAILED_MS: u64 = 500;
/// How long to wait before a new link is tried for dispatched requests.
const RECONNECT_MS: u64 = 100;
/// How long dispatched requests wait for a new link.
const GIVE_UP_MS: u64 = 5000;
/// How long an unused link stays open.
const IDLE_MS: u64 = 30_000;

/// What happens in an exchange.
#[derive(Debug)]
pub enum Event {
    /// The agent said something.
    Message(FromAgent),
    /// The link broke before anything was dispatched; there is no place now.
    Lost,
}

/// Where an exchange's events go: tagged by the exchange's number.
pub type Events = mpsc::UnboundedSender<(usize, Event)>;

enum Command {
    Open {
        request: RequestId,
        number: usize,
        events: Events,
        received: Arc<AtomicU64>,
        first: ToAgent,
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
        number: usize,
        last: Option<ToAgent>,
    },
}

/// All links of an entry, by the agents' addresses.
pub struct AgentLinks {
    entry: ProcessName,
    incarnation: Incarnation,
    wants_load: bool,
    links: Mutex<HashMap<String, mpsc::UnboundedSender<Command>>>,
    loads: Loads,
}

/// The load that each agent last reported: requests held, and whether it is full.
type Loads = Arc<Mutex<HashMap<String, (usize, bool)>>>;

enum Phase {
    Reserved,
    Dispatched(GrantId),
    Ended,
}

/// One request at one agent. Dropping it gives up the place, or cancels what
/// runs.
pub struct Exchange {
    request: RequestId,
    number: usize,
    commands: mpsc::UnboundedSender<Command>,
    received: Arc<AtomicU64>,
    phase: Phase,
}

impl AgentLinks {
    /// No links yet.
    pub fn new(entry: ProcessName, incarnation: Incarnation, wants_load: bool) -> Self {
        Self {
            entry,
            incarnation,
            wants_load,
            links: Mutex::default(),
            loads: Loads::default(),
        }
    }

    /// The load that an agent last reported.
    pub fn load(&self, address: &str) -> (usize, bool) {
        let loads = self.loads.lock().expect("no holder panics");
        loads.get(address).copied().unwrap_or_default()
    }

    /// Starts an exchange with an agent by its first message.
    pub fn open(
        &self,
        address: &str,
        request: RequestId,
        number: usize,
        events: Events,
        first: ToAgent,
    ) -> Exchange {
        let received = Arc::new(AtomicU64::new(0));
        let mut command = Command::Open {
            request,
            number,
            events,
            received: Arc::clone(&received),
            first,
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
            number,
            commands,
            received,
            phase: Phase::Reserved,
        }
    }

    fn spawn(&self, address: &str) -> mpsc::UnboundedSender<Command> {
        let (sender, commands) = mpsc::unbounded_channel();
        let hello = ToAgent::Hello {
            entry: self.entry.clone(),
            incarnation: self.incarnation,
            wants_load: self.wants_load,
        };
        let keeper = LinkKeeper {
            address: address.parse().ok(),
            hello,
            commands,
            link: None,
            exchanges: HashMap::new(),
            failed_at: None,
            lost_at: None,
            loads: Arc::clone(&self.loads),
        };
        tokio::spawn(keeper.run());
        sender
    }
}

impl Exchange {
    /// The exchange's number among those of its request.
    pub fn number(&self) -> usize {
        self.number
    }

    /// Uses the grant.
    pub fn dispatch(&mut self, grant: GrantId, message: ToAgent) {
        self.phase = Phase::Dispatched(grant);
        let _ = self.commands.send(Command::Dispatch {
            request: self.request,
            grant,
            message,
        });
    }

    /// Tells the agent how far the answer has arrived.
    pub fn acknowledge(&self, offset: u64) {
        let message = ToAgent::Acknowledge {
            request: self.request,
            offset,
        };
        let _ = self.commands.send(Command::Send { message });
    }

    /// Records how far the answer has arrived, for a new link.
    pub fn set_received(&self, offset: u64) {
        self.received.store(offset, Ordering::Relaxed);
    }

    /// The exchange is over at the agent too: there is nothing to give up.
    pub fn ended(&mut self) {
        self.phase = Phase::Ended;
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        let request = self.request;
        let last = match self.phase {
            Phase::Reserved => Some(ToAgent::Release { request }),
            Phase::Dispatched(grant) => Some(ToAgent::Cancel { request, grant }),
            Phase::Ended => None,
        };
        let _ = self.commands.send(Command::Close {
            request,
            number: self.number,
            last,
        });
    }
}

struct OpenExchange {
    number: usize,
    events: Events,
    received: Arc<AtomicU64>,
    dispatched: Option<GrantId>,
}

struct OpenLink {
    sender: LinkSender<ToAgent>,
    receiver: LinkReceiver<FromAgent>,
    _work: LinkWork,
}

struct LinkKeeper {
    address: Option<SocketAddr>,
    hello: ToAgent,
    commands: mpsc::UnboundedReceiver<Command>,
    link: Option<OpenLink>,
    exchanges: HashMap<RequestId, OpenExchange>,
    failed_at: Option<Instant>,
    lost_at: Option<Instant>,
    loads: Loads,
}

impl LinkKeeper {
    async fn run(mut self) {
        let mut idle = tokio::time::interval(Duration::from_millis(IDLE_MS));
        let mut unused = false;
        loop {
            match &mut self.link {
                Some(link) => tokio::select! {
                    message = link.receiver.receive() => match message {
                        Some(message) => self.pass_on(message),
                        None => self.lose_link(),
                    },
                    command = self.commands.recv() => match command {
                        Some(command) => {
                            unused = false;
                            self.take(command).await;
                        }
                        None => return,
                    },
                    _ = idle.tick() => {
                        if unused && self.exchanges.is_empty() {
                            return;
                        }
                        unused = true;
                    }
                },
                None if self.exchanges.is_empty() => match self.commands.recv().await {
                    Some(command) => self.take(command).await,
                    None => return,
                },
                None => self.reconnect().await,
            }
        }
    }

    async fn take(&mut self, command: Command) {
        match command {
            Command::Open {
                request,
                number,
                events,
                received,
                first,
            } => {
                let recently = Duration::from_millis(FAILED_MS);
                let failing = self.failed_at.is_some_and(|at| at.elapsed() < recently);
                if self.link.is_none() && (failing || self.connect().await.is_none()) {
                    let _ = events.send((number, Event::Lost));
                    return;
                }
                let exchange = OpenExchange {
                    number,
                    events,
                    received,
                    dispatched: None,
                };
                self.exchanges.insert(request, exchange);
                self.send(first).await;
            }
            Command::Dispatch {
                request,
                grant,
                message,
            } => {
                if let Some(exchange) = self.exchanges.get_mut(&request) {
                    exchange.dispatched = Some(grant);
                    self.send(message).await;
                }
            }
            Command::Send { message } => self.send(message).await,
            Command::Close {
                request,
                number,
                last,
            } => {
                let open = self
                    .exchanges
                    .get(&request)
                    .is_some_and(|e| e.number == number);
                if open {
                    self.exchanges.remove(&request);
                    if let Some(last) = last {
                        self.send(last).await;
                    }
                }
            }
        }
    }

    async fn send(&mut self, message: ToAgent) {
        if let Some(link) = &self.link
            && link.sender.send(message).await.is_err()
        {
            self.lose_link();
        }
    }

    fn pass_on(&mut self, message: FromAgent) {
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
                .send((exchange.number, Event::Message(message)));
        }
    }

    fn lose_link(&mut self) {
        self.link = None;
        self.lost_at = Some(Instant::now());
        self.exchanges.retain(|_, exchange| {
            if exchange.dispatched.is_none() {
                let _ = exchange.events.send((exchange.number, Event::Lost));
            }
            exchange.dispatched.is_some()
        });
    }

    async fn connect(&mut self) -> Option<Incarnation> {
        let opened = self.say_hello().await;
        self.failed_at = opened.is_none().then(Instant::now);
        let (link, incarnation) = opened?;
        self.link = Some(link);
        Some(incarnation)
    }

    async fn say_hello(&self) -> Option<(OpenLink, Incarnation)> {
        let (sender, mut receiver) = link::connect(self.address?).await.ok()?;
        let work = sender.work();
        sender.send(self.hello.clone()).await.ok()?;
        let hello = timeout(Duration::from_millis(HELLO_TIMEOUT_MS), receiver.receive()).await;
        match hello {
            Ok(Some(FromAgent::Hello { incarnation, .. })) => Some((
                OpenLink {
                    sender,
                    receiver,
                    _work: work,
                },
                incarnation,
            )),
            _ => None,
        }
    }

    /// Opens a new link for dispatched requests and resumes them, or gives up.
    async fn reconnect(&mut self) {
        match self.connect().await {
            Some(incarnation) => self.resume(incarnation).await,
            None => {
                let give_up = Duration::from_millis(GIVE_UP_MS);
                if self.lost_at.is_none_or(|at| at.elapsed() > give_up) {
                    self.fail_all(Reason::LinkLost);
                }
                tokio::time::sleep(Duration::from_millis(RECONNECT_MS)).await;
            }
        }
    }

    async fn resume(&mut self, incarnation: Incarnation) {
        let mut messages = Vec::new();
        self.exchanges
            .retain(|request, exchange| match exchange.dispatched {
                Some(grant) if grant.incarnation == incarnation => {
                    let offset = exchange.received.load(Ordering::Relaxed);
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
        .send((exchange.number, Event::Message(message)));
}
