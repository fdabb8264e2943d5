//! Slot requests for plain targets at the agents that keep their queues.
//!
//! One task per target owns the link to the keeper and all slot requests of this gateway for the
//! target. When the keeper changes, the task announces the running requests to the new one and asks
//! it again for the waiting ones, so that the searches don't notice. While there is no keeper, slot
//! requests fail. See `docs/design/shared-queues.md`.

use super::{
    admission_links::{AgentReply, Command, PendingSlotRequest, ReplySender},
    queue_keeper::{KeeperChoice, KeeperLoss},
};
use crate::{
    clock,
    grants::{FromAdmissionAgent, SlotRequest, TicketNumber, ToAdmissionAgent},
    link::{self, KeepaliveGuard, LinkReceiver, LinkSender},
    metrics,
    units::TargetName,
};
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{
    sync::{mpsc, watch},
    task::JoinHandle,
    time::{MissedTickBehavior, interval, sleep},
};

/// An agent that answers nothing for this many steps is silent. A step counts once however long it
/// took: a gateway that was not scheduled for a while finds the replies when it runs again.
const SILENT_STEPS: u32 = 6;
const STEP_MS: u64 = 5;
/// Interval at which the choice of the keeper is reviewed.
const REVIEW_INTERVAL_MS: u64 = 100;
/// Time without requests after which the link is closed.
const IDLE_TIMEOUT_MS: u64 = 30_000;

/// The queues that this gateway uses, by target.
pub struct SharedQueues {
    queues: Mutex<HashMap<TargetName, mpsc::UnboundedSender<Command>>>,
    agents: watch::Sender<Arc<Vec<SocketAddr>>>,
    tickets: AtomicU64,
}

impl Default for SharedQueues {
    fn default() -> Self {
        Self {
            queues: Mutex::default(),
            agents: watch::Sender::default(),
            tickets: AtomicU64::new(1),
        }
    }
}

impl SharedQueues {
    /// Requests a slot of a target.
    pub fn request_slot(
        &self,
        target: &TargetName,
        mut request: SlotRequest,
        position: usize,
        replies: ReplySender,
    ) -> PendingSlotRequest {
        let ticket = TicketNumber(self.tickets.fetch_add(1, Ordering::Relaxed));
        request.ticket = ticket;
        let commands = {
            let mut queues = self.queues.lock().expect("no holder panics");
            let spawn_queue = || {
                let (commands, received) = mpsc::unbounded_channel();
                let queue = Queue::new(target.clone(), self.agents.subscribe());
                tokio::spawn(queue.run(received));
                commands
            };
            queues
                .entry(target.clone())
                .or_insert_with(spawn_queue)
                .clone()
        };
        let request = Box::new(request);
        let ask = Command::Ask {
            request,
            position,
            replies,
        };
        // Sending cannot fail: the task runs as long as a sender exists.
        let _ = commands.send(ask);
        PendingSlotRequest::at_keeper(commands, ticket)
    }

    /// Takes over the addresses of the agents of the directory, in any order; returns whether there
    /// are any.
    pub fn set_agents(&self, mut agents: Vec<SocketAddr>) -> bool {
        agents.sort_unstable();
        agents.dedup();
        let has_agents = !agents.is_empty();
        self.agents.send_if_modified(|known| {
            let is_changed = **known != agents;
            if is_changed {
                *known = Arc::new(agents);
            }
            is_changed
        });
        has_agents
    }

    /// Whether the directory has agents.
    pub fn has_agents(&self) -> bool {
        !self.agents.borrow().is_empty()
    }

    /// Removes the queues of targets for which `is_wanted` is false. Each ends with its last
    /// request.
    pub fn retain(&self, is_wanted: impl Fn(&TargetName) -> bool) {
        let mut queues = self.queues.lock().expect("no holder panics");
        queues.retain(|target, _| is_wanted(target));
    }
}

struct Keeper {
    address: SocketAddr,
    sender: LinkSender<ToAdmissionAgent>,
    receiver: LinkReceiver<FromAdmissionAgent>,
    /// Keep heartbeats on the link while requests wait or run.
    keepalives: BTreeMap<TicketNumber, KeepaliveGuard>,
}

/// An attempt to open the link to an agent.
struct Opening {
    address: SocketAddr,
    task: JoinHandle<Result<Keeper, KeeperLoss>>,
}

/// A waiting or running request.
struct QueuedSlot {
    request: Box<SlotRequest>,
    asked_ms: u64,
    position: usize,
    /// `None` once the slot is granted.
    replies: Option<ReplySender>,
    /// Whether the present keeper has answered.
    is_answered: bool,
}

impl QueuedSlot {
    /// The request as of now: its times are relative.
    fn request_now(&self, now_ms: u64) -> SlotRequest {
        let elapsed_ms = now_ms.saturating_sub(self.asked_ms);
        let request = self.request.as_ref().clone();
        SlotRequest {
            waited_ms: request.waited_ms + elapsed_ms,
            objective_left_ms: request.objective_left_ms.saturating_sub(elapsed_ms),
            begin_left_ms: request.begin_left_ms.saturating_sub(elapsed_ms),
            deadline_left_ms: request.deadline_left_ms.saturating_sub(elapsed_ms),
            ..request
        }
    }
}

struct Queue {
    target: TargetName,
    agents: watch::Receiver<Arc<Vec<SocketAddr>>>,
    choice: KeeperChoice,
    keeper: Option<Keeper>,
    opening: Option<Opening>,
    /// The keeper before the present one, and why it is none any more.
    previous: Option<(SocketAddr, &'static str)>,
    requests: BTreeMap<TicketNumber, QueuedSlot>,
    /// Number of steps without a message from the keeper while a request was unanswered.
    silent_steps: u32,
    used_ms: u64,
}

impl Queue {
    fn new(target: TargetName, agents: watch::Receiver<Arc<Vec<SocketAddr>>>) -> Self {
        Self {
            choice: KeeperChoice::new(target.clone()),
            target,
            agents,
            keeper: None,
            opening: None,
            previous: None,
            requests: BTreeMap::new(),
            silent_steps: 0,
            used_ms: clock::boot_ms(),
        }
    }

    async fn run(mut self, mut commands: mpsc::UnboundedReceiver<Command>) {
        let mut review = interval(Duration::from_millis(REVIEW_INTERVAL_MS));
        let mut step = interval(Duration::from_millis(STEP_MS));
        review.set_missed_tick_behavior(MissedTickBehavior::Delay);
        step.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.review();
        loop {
            let has_unanswered = self.requests.values().any(|request| !request.is_answered);
            let has_keeper = self.keeper.is_some();
            let message = async {
                match &mut self.keeper {
                    Some(keeper) => keeper.receiver.receive().await,
                    None => std::future::pending().await,
                }
            };
            let opened = async {
                match &mut self.opening {
                    Some(opening) => (&mut opening.task).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                // Replies go before the steps that count silence.
                biased;
                message = message => match message {
                    Some(message) => self.handle_message(&message),
                    None => self.lose_keeper(KeeperLoss::Lost),
                },
                opened = opened => self.finish_opening(opened.unwrap_or(Err(KeeperLoss::Lost))),
                command = commands.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => return,
                },
                _ = self.agents.changed() => self.review(),
                _ = step.tick(), if has_unanswered && has_keeper => {
                    self.silent_steps += 1;
                    if self.silent_steps > SILENT_STEPS {
                        self.lose_keeper(KeeperLoss::Silent);
                    }
                }
                _ = review.tick(), if has_keeper || !self.requests.is_empty() => {
                    self.review();
                }
            }
        }
    }

    /// Opens the link to the chosen agent if it is not the present keeper. Without an agent, the
    /// waiting requests fail.
    fn review(&mut self) {
        let now_ms = clock::boot_ms();
        let agents = Arc::clone(&self.agents.borrow_and_update());
        self.choice.set_agents(&agents);
        if !self.requests.is_empty() {
            self.used_ms = now_ms;
        }
        if now_ms > self.used_ms + IDLE_TIMEOUT_MS {
            self.keeper = None;
            self.previous = None;
            return;
        }
        let present = self.keeper.as_ref().map(|keeper| keeper.address);
        match self.choice.choose(now_ms) {
            _ if self.opening.is_some() => {}
            chosen if chosen == present && present.is_some() => {}
            Some(address) => {
                let is_replacement = present.is_some() || self.previous.is_some();
                let opening = open(address, self.target.clone(), is_replacement);
                let task = tokio::spawn(opening);
                self.opening = Some(Opening { address, task });
            }
            None if present.is_some() => {}
            None => self.fail_waiting(),
        }
    }

    /// Tells the searches of the waiting requests that no agent answers.
    fn fail_waiting(&mut self) {
        self.requests.retain(|_, request| match &request.replies {
            Some(replies) => {
                let _ = replies.send((request.position, AgentReply::Unreachable, None));
                false
            }
            None => true,
        });
    }

    fn finish_opening(&mut self, opened: Result<Keeper, KeeperLoss>) {
        let Some(Opening { address, .. }) = self.opening.take() else {
            return;
        };
        match opened {
            Ok(keeper) => {
                self.choice.record_kept(address);
                self.move_to(keeper);
            }
            Err(loss) => {
                tracing::info!(target = %self.target, keeper = %address, %loss, "gateway: agent does not keep the queue");
                self.choice.leave_out(address, loss, clock::boot_ms());
            }
        }
        self.review();
    }

    /// Announces the running requests to a new keeper and asks it for slots for the waiting ones.
    fn move_to(&mut self, mut keeper: Keeper) {
        let now_ms = clock::boot_ms();
        let before = self.keeper.take();
        let before = before.map(|before| (before.address, "ranking"));
        let before = before.or(self.previous.take());
        let running = self.requests.values();
        let running = running.filter(|request| request.replies.is_none()).count();
        let reason = before.map_or("first", |(_, reason)| reason);
        metrics::gateway_queue_moved(&self.target, reason);
        tracing::info!(
            target = %self.target, keeper = %keeper.address, before = ?before.map(|(address, _)| address),
            reason, running, waiting = self.requests.len() - running, "gateway: queue moved"
        );
        self.silent_steps = 0;
        let mut is_open = true;
        let (running, waiting): (Vec<_>, Vec<_>) = self
            .requests
            .values_mut()
            .partition(|request| request.replies.is_none());
        for request in running.into_iter().chain(waiting) {
            let message = match request.replies {
                None => ToAdmissionAgent::Resume(request.request_now(now_ms)),
                Some(_) => ToAdmissionAgent::Ask(request.request_now(now_ms)),
            };
            request.is_answered = request.replies.is_none();
            let ticket = request.request.ticket;
            keeper.keepalives.insert(ticket, keeper.sender.keep_alive());
            is_open &= keeper.sender.try_send(message).is_ok();
        }
        self.keeper = Some(keeper);
        if !is_open {
            self.lose_keeper(KeeperLoss::Lost);
        }
    }

    fn lose_keeper(&mut self, loss: KeeperLoss) {
        let Some(keeper) = self.keeper.take() else {
            return;
        };
        let running = self.requests.values();
        let running = running.filter(|request| request.replies.is_none()).count();
        tracing::warn!(
            target = %self.target, keeper = %keeper.address, %loss, running,
            waiting = self.requests.len() - running, "gateway: lost the keeper of a queue"
        );
        let reason = match loss {
            KeeperLoss::Silent => "silent",
            KeeperLoss::Lost | KeeperLoss::TooOld => "lost",
        };
        self.previous = Some((keeper.address, reason));
        self.choice
            .leave_out(keeper.address, loss, clock::boot_ms());
        self.review();
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Ask {
                request,
                position,
                replies,
            } => {
                let now_ms = clock::boot_ms();
                self.used_ms = now_ms;
                let (ticket, message) = (request.ticket, ToAdmissionAgent::Ask((*request).clone()));
                let request = QueuedSlot {
                    request,
                    asked_ms: now_ms,
                    position,
                    replies: Some(replies),
                    is_answered: false,
                };
                if self.requests.values().all(|request| request.is_answered) {
                    self.silent_steps = 0;
                }
                self.requests.insert(ticket, request);
                match &mut self.keeper {
                    Some(keeper) => {
                        keeper.keepalives.insert(ticket, keeper.sender.keep_alive());
                        self.send(message);
                    }
                    // The request is sent when a link is open.
                    None => self.review(),
                }
            }
            Command::Draining { started_unix_ms } => {
                self.send(ToAdmissionAgent::Draining { started_unix_ms });
            }
            // The leader counts the requests to a plain target with a limit.
            Command::Limit { .. } => {}
            Command::Full { ticket } if self.requests.contains_key(&ticket) => {
                self.send(ToAdmissionAgent::Full { ticket });
            }
            // Plain targets have no prefill that a first event would end.
            Command::Full { .. } | Command::FirstEvent { .. } => {}
            // Only the own links of agents are asked to remember anything.
            Command::Recall { .. }
            | Command::Remember { .. }
            | Command::RecordStream { .. }
            | Command::RecallStream { .. } => {}
            Command::Abandoned { ticket } => {
                if self.remove(ticket) {
                    self.send(ToAdmissionAgent::Abandoned { ticket });
                }
            }
            Command::Unused { ticket } => {
                if self.remove(ticket) {
                    self.send(ToAdmissionAgent::Unused { ticket });
                }
            }
            Command::Release { ticket, ran_ms } => {
                if self.remove(ticket) {
                    self.send(ToAdmissionAgent::Release { ticket, ran_ms });
                }
            }
        }
    }

    /// Removes a request that has ended; returns whether it was known.
    fn remove(&mut self, ticket: TicketNumber) -> bool {
        if let Some(keeper) = &mut self.keeper {
            keeper.keepalives.remove(&ticket);
        }
        self.requests.remove(&ticket).is_some()
    }

    fn send(&mut self, message: ToAdmissionAgent) {
        if let Some(keeper) = &self.keeper
            && keeper.sender.try_send(message).is_err()
        {
            self.lose_keeper(KeeperLoss::Lost);
        }
    }

    fn handle_message(&mut self, message: &FromAdmissionAgent) {
        self.silent_steps = 0;
        let Some(reply) = AgentReply::of(message) else {
            return;
        };
        let ticket = message.ticket();
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        request.is_answered = true;
        if let Some(replies) = &request.replies {
            // A search that has ended drops its slot requests, including this one.
            // The speed is that of whole requests, not of units of work as with model targets.
            let _ = replies.send((request.position, reply, None));
        }
        match reply {
            AgentReply::Granted => request.replies = None,
            AgentReply::Queued(_) => {}
            AgentReply::Refused(_)
            | AgentReply::Limited(_)
            | AgentReply::Draining
            | AgentReply::Recalled(_)
            | AgentReply::Unreachable => {
                self.remove(ticket);
            }
        }
    }
}

/// Opens a link to an agent that is to keep the queue of a target.
async fn open(
    address: SocketAddr,
    target: TargetName,
    is_replacement: bool,
) -> Result<Keeper, KeeperLoss> {
    let opening = async {
        let connected = link::connect(address).await;
        let (sender, mut receiver) = connected.map_err(|_| KeeperLoss::Lost)?;
        let keep = ToAdmissionAgent::Keep {
            target,
            is_replacement,
        };
        sender.try_send(keep).map_err(|_| KeeperLoss::Lost)?;
        match receiver.receive().await {
            Some(FromAdmissionAgent::Kept { .. }) => Ok(Keeper {
                address,
                sender,
                receiver,
                keepalives: BTreeMap::new(),
            }),
            Some(_) | None => Err(KeeperLoss::TooOld),
        }
    };
    let silence = async {
        for _ in 0..SILENT_STEPS {
            sleep(Duration::from_millis(STEP_MS)).await;
        }
    };
    tokio::select! {
        biased;
        opened = opening => opened,
        () = silence => Err(KeeperLoss::Silent),
    }
}
