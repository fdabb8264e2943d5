//! The admission agent: grants slots of one target to the gateways, which send the requests
//! themselves.
//!
//! It does not depend on the control group: gateways pass on what it needs to know about its
//! target. When the link to a gateway is lost, its slots and queued requests are released.
//!
//! A link that begins with [`ToAdmissionAgent::Keep`] concerns a plain target, which has no agent
//! of its own: this agent keeps its slots and queue, see `docs/design/shared-queues.md`.

use super::{
    kept_queues::KeptQueues,
    slots::{Reply, RequestKey, Slots, SlotsOptions},
};
use crate::{
    accept, clock,
    grants::{FromAdmissionAgent, SlotRequest, TicketNumber, ToAdmissionAgent},
    link::{self, KeepaliveGuard, LinkReceiver, LinkSender},
    metrics,
    request_limit::{RequestLimit, RequestRate},
    settings::AdmissionSettings,
    stream_records::StreamRecords,
    units::TargetName,
};
use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::net::{TcpListener, TcpStream};

/// Interval at which requests that can no longer meet their deadline are refused.
const TICK_MS: u64 = 50;
/// Time for which an agent that replaces another one as the keeper of a queue grants no slot:
/// gateways notice the loss of the other one and announce their running requests meanwhile.
const SETTLE_MS: u64 = 50;

/// An admission agent could not bind its address.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("cannot listen at {address}: {error}")]
pub struct AdmissionAgentStartError {
    /// Address that could not be bound.
    pub address: SocketAddr,
    /// The error of the operating system.
    pub error: io::Error,
}

#[derive(Default)]
struct State {
    started_unix_ms: u64,
    /// Start time of the latest run of the target that is known to be draining.
    draining_started_unix_ms: Option<u64>,
    slots: Slots,
    links: HashMap<u64, LinkSender<FromAdmissionAgent>>,
    /// Keeps heartbeats on the link of each request while it is queued or running.
    keepalives: HashMap<RequestKey, KeepaliveGuard>,
    /// Versions that began streams, of this or other services.
    streams: StreamRecords,
}

/// A running admission agent.
pub struct AdmissionAgent {
    address: SocketAddr,
}

struct Shared {
    /// State of the target beside the agent.
    own: Arc<Mutex<State>>,
    /// States of the plain targets whose queues the agent keeps.
    kept: KeptQueues<State>,
    links: AtomicU64,
    options: SlotsOptions,
}

impl AdmissionAgent {
    /// Binds the address and starts.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub async fn bind(settings: &AdmissionSettings) -> Result<Self, AdmissionAgentStartError> {
        let failed = |error| AdmissionAgentStartError {
            address: settings.listen,
            error,
        };
        let listener = TcpListener::bind(settings.listen).await.map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let shared = Arc::new(Shared {
            own: Arc::default(),
            kept: KeptQueues::default(),
            links: AtomicU64::new(0),
            options: settings.scheduling(),
        });
        lock(&shared.own).slots = Slots::new(settings.scheduling());
        tokio::spawn(tick(Arc::clone(&shared)));
        tokio::spawn(async move {
            loop {
                let stream = accept::accept(&listener, "agent").await;
                tokio::spawn(serve(stream, Arc::clone(&shared)));
            }
        });
        tracing::info!(name = %settings.name, %address, "agent: listening");
        Ok(Self { address })
    }

    /// Address that gateways connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn tick(shared: Arc<Shared>) {
    let mut interval = tokio::time::interval(Duration::from_millis(TICK_MS));
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        interval.tick().await;
        let now_ms = clock::boot_ms();
        tick_queue(&shared.own, now_ms);
        for (target, queue) in shared.kept.sweep(now_ms) {
            let (running, waiting) = tick_queue(&queue, now_ms);
            metrics::agent_kept_queue(&target, running as u64, waiting as u64);
        }
    }
}

/// Refuses what is too late in a queue; returns the number of running and of queued requests.
fn tick_queue(queue: &Mutex<State>, now_ms: u64) -> (usize, usize) {
    let mut state = lock(queue);
    let replies = state.slots.tick(now_ms);
    state.send_replies(replies);
    state.slots.load()
}

async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    let link = shared.links.fetch_add(1, Ordering::Relaxed);
    let (sender, mut receiver): (
        LinkSender<FromAdmissionAgent>,
        LinkReceiver<ToAdmissionAgent>,
    ) = link::open(stream);
    let Some(first) = receiver.receive().await else {
        return;
    };
    let queue = match &first {
        ToAdmissionAgent::Keep {
            target,
            is_replacement,
        } => shared.open_kept(target, *is_replacement),
        _ => Arc::clone(&shared.own),
    };
    lock(&queue).links.insert(link, sender);
    let mut next = Some(first);
    while let Some(message) = next {
        lock(&queue).handle(link, message);
        next = receiver.receive().await;
    }
    let mut state = lock(&queue);
    state.links.remove(&link);
    state.keepalives.retain(|key, _| key.0 != link);
    let replies = state.slots.close_link(link, clock::boot_ms());
    state.send_replies(replies);
}

fn lock(queue: &Mutex<State>) -> std::sync::MutexGuard<'_, State> {
    queue.lock().expect("no holder panics")
}

impl Shared {
    fn open_kept(&self, target: &TargetName, is_replacement: bool) -> Arc<Mutex<State>> {
        let now_ms = clock::boot_ms();
        let queue = self.kept.open(target, now_ms, || State {
            slots: Slots::of_plain_target(self.options),
            ..State::default()
        });
        let mut state = lock(&queue);
        if is_replacement && state.links.is_empty() {
            state.slots.settle_until(now_ms + SETTLE_MS);
        }
        drop(state);
        queue
    }
}

impl State {
    fn handle(&mut self, link: u64, message: ToAdmissionAgent) {
        let now_ms = clock::boot_ms();
        let replies = match message {
            ToAdmissionAgent::Ask(request) if self.is_draining(request.started_unix_ms) => {
                vec![Reply::Leaves((link, request.ticket.0))]
            }
            ToAdmissionAgent::Draining { started_unix_ms } if self.is_draining(started_unix_ms) => {
                Vec::new()
            }
            ToAdmissionAgent::Draining { started_unix_ms } => {
                self.draining_started_unix_ms = Some(started_unix_ms);
                tracing::info!(started_unix_ms, "agent: target is draining");
                match started_unix_ms < self.started_unix_ms {
                    true => Vec::new(),
                    false => self.slots.drain(),
                }
            }
            ToAdmissionAgent::Ask(request) => {
                self.note_start(&request);
                self.merge_limit(request.started_unix_ms, request.limit, now_ms);
                let key = (link, request.ticket.0);
                self.keep_alive(key);
                self.slots.request_slot(key, &request, now_ms)
            }
            ToAdmissionAgent::Keep { .. } => {
                if let Some(sender) = self.links.get(&link) {
                    // A link that cannot take its first message is closed by its gateway.
                    let ticket = TicketNumber(0);
                    let _ = sender.try_send(FromAdmissionAgent::Kept { ticket });
                }
                Vec::new()
            }
            ToAdmissionAgent::Resume(request) => {
                let key = (link, request.ticket.0);
                self.note_start(&request);
                self.keep_alive(key);
                self.slots.resume(key, &request, now_ms);
                Vec::new()
            }
            ToAdmissionAgent::Full { ticket } => {
                if let Some(slots) = self.slots.record_full((link, ticket.0), now_ms) {
                    tracing::info!(slots, "agent: target is full, grants fewer slots");
                }
                Vec::new()
            }
            ToAdmissionAgent::Limit {
                started_unix_ms,
                limit,
            } => {
                self.merge_limit(started_unix_ms, limit, now_ms);
                // A limit that was raised or lifted may allow queued requests.
                self.slots.tick(now_ms)
            }
            ToAdmissionAgent::Unused { ticket } => {
                let key = (link, ticket.0);
                self.keepalives.remove(&key);
                self.slots.release_unused(key, now_ms)
            }
            ToAdmissionAgent::Abandoned { ticket } => {
                let key = (link, ticket.0);
                self.keepalives.remove(&key);
                self.slots.abandon(key, now_ms)
            }
            ToAdmissionAgent::Recall {
                ticket,
                fingerprint,
            } => {
                let is_return = self.slots.remembers(fingerprint);
                self.send(link, FromAdmissionAgent::Recalled { ticket, is_return });
                Vec::new()
            }
            ToAdmissionAgent::Remember { fingerprint } => {
                self.slots.record_refusal(fingerprint);
                Vec::new()
            }
            ToAdmissionAgent::RecordStream { key, version } => {
                self.streams.record(key, version, now_ms);
                Vec::new()
            }
            ToAdmissionAgent::RecallStream { ticket, key } => {
                let version = self.streams.find(key, now_ms).cloned();
                self.send(link, FromAdmissionAgent::RecalledStream { ticket, version });
                Vec::new()
            }
            ToAdmissionAgent::FirstEvent { ticket } => {
                self.slots.record_first_event((link, ticket.0), now_ms)
            }
            ToAdmissionAgent::Release { ticket, ran_ms } => {
                let key = (link, ticket.0);
                self.keepalives.remove(&key);
                self.slots.release(key, ran_ms, now_ms)
            }
        };
        self.send_replies(replies);
    }

    /// Takes over a later run of the target than the one known.
    fn note_start(&mut self, request: &SlotRequest) {
        if request.started_unix_ms > self.started_unix_ms {
            self.started_unix_ms = request.started_unix_ms;
            self.slots.clear_limit();
            tracing::info!(
                started_unix_ms = request.started_unix_ms,
                slots = request.slots,
                "agent: target started"
            );
        }
    }

    /// Keeps heartbeats on the link of a request until it ends.
    fn keep_alive(&mut self, key: RequestKey) {
        if let Some(sender) = self.links.get(&key.0) {
            self.keepalives.insert(key, sender.keep_alive());
        }
    }

    /// Takes over the limit of a run of the target, unless a later run is known.
    fn merge_limit(&mut self, started_unix_ms: u64, limit: RequestLimit, now_ms: u64) {
        let before = self.slots.limit();
        if started_unix_ms == self.started_unix_ms && self.slots.set_limit(limit, now_ms) {
            let per_s = |limit: RequestLimit| {
                limit
                    .rate
                    .map_or("none".into(), |rate: RequestRate| rate.to_string())
            };
            tracing::info!(
                started_unix_ms,
                before_per_s = per_s(before),
                limit_per_s = per_s(limit),
                version = limit.version,
                "agent: limit of target changed"
            );
        }
    }

    fn is_draining(&self, started_unix_ms: u64) -> bool {
        self.draining_started_unix_ms
            .is_some_and(|draining_started_unix_ms| started_unix_ms <= draining_started_unix_ms)
    }

    fn send_replies(&mut self, replies: Vec<Reply>) {
        let speed = self.slots.speed();
        for reply in replies {
            let ((link, ticket), message) = match reply {
                Reply::Granted(key) => {
                    let ticket = TicketNumber(key.1);
                    let granted = FromAdmissionAgent::Granted { ticket, speed };
                    (key, granted)
                }
                Reply::Queued(key, wait_ms) => {
                    let ticket = TicketNumber(key.1);
                    let queued = FromAdmissionAgent::Queued {
                        ticket,
                        wait_ms,
                        speed,
                    };
                    (key, queued)
                }
                Reply::Refused(key, wait_ms) => {
                    self.keepalives.remove(&key);
                    let ticket = TicketNumber(key.1);
                    (key, FromAdmissionAgent::Refused { ticket, wait_ms })
                }
                Reply::Limited(key, wait_ms) => {
                    self.keepalives.remove(&key);
                    let ticket = TicketNumber(key.1);
                    (key, FromAdmissionAgent::Limited { ticket, wait_ms })
                }
                Reply::Leaves(key) => {
                    self.keepalives.remove(&key);
                    let ticket = TicketNumber(key.1);
                    (key, FromAdmissionAgent::Draining { ticket })
                }
            };
            if !self.send(link, message) {
                tracing::warn!(link, ticket, outcome = ?reply, "agent: cannot send reply to gateway");
            }
        }
    }

    /// Sends a message to a gateway; returns whether its link takes it.
    fn send(&self, link: u64, message: FromAdmissionAgent) -> bool {
        let sender = self.links.get(&link);
        sender.is_some_and(|sender| sender.try_send(message).is_ok())
    }
}
