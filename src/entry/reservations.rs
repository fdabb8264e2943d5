//! Reserves a slot for a request at one of several agents.

use super::{
    agent_links::{AgentLinks, Event, Exchange},
    body::EventReceiver,
    history::{RequestHistory, Step},
    refusal::Refusal,
    request::IncomingRequest,
    routing::{self, Candidate, RoutingPolicy},
};
use crate::{
    control::{command::GrantId, members::Member},
    control_view::View,
    units::*,
    verdict::Reason,
    wire::{FromAgent, Reserve, ToAgent},
};
use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};
use tokio::{sync::mpsc, time::timeout};

/// Time without an event from an agent after which a request asks further agents: up to the
/// policy's number of reservations, and one more.
const HEDGE_DELAY_MS: u64 = 100;
/// Reported wait above which further agents are asked at once. After a shorter one, they are
/// asked after [`HEDGE_DELAY_MS`], as the first agent likely has the prompt prefix cached.
const MAX_WAIT_WITHOUT_HEDGE_MS: u64 = 250;
/// Replaces [`HEDGE_DELAY_MS`] once that has passed. Each time, a waiting request asks at
/// least one more agent, if any is left.
const WIDEN_INTERVAL_MS: u64 = 250;
/// Age above which an agent that shed or displaced the request is asked again, once no
/// reservation is open and no other agent is left to ask. Without such an agent, the request
/// is refused.
const REFUSAL_FRESH_MS: u64 = 50;
/// Time for which a reported wait is used in routing.
const REPORTED_WAIT_TTL_MS: u64 = 1000;
/// Retry delay sent to the caller when no agent suggested one.
const DEFAULT_RETRY_AFTER_MS: u64 = 1000;

/// A slot that an agent granted to a request.
pub struct Reservation {
    /// The exchange with the agent, ready for the dispatch.
    pub exchange: Exchange,
    /// Receives the events of the exchange.
    pub events: EventReceiver,
    /// Authorizes one dispatch.
    pub grant: GrantId,
    /// The agent that granted the slot.
    pub member: Member,
}

/// Why no slot could be reserved.
pub enum ReservationError {
    /// The request is refused with this error.
    Refused(Refusal),
    /// An agent has this document version; the entry's is older.
    DocumentStale(DocumentVersion),
}

/// Reserves slots at agents.
pub struct ReservationClient {
    links: Arc<AgentLinks>,
    policy: RoutingPolicy,
    history: Arc<RequestHistory>,
    reported_waits: Mutex<HashMap<ProcessName, (u64, Instant)>>,
}

impl ReservationClient {
    /// Creates a client that uses the entry's links.
    pub fn new(
        links: Arc<AgentLinks>,
        policy: RoutingPolicy,
        history: Arc<RequestHistory>,
    ) -> Self {
        Self {
            links,
            policy,
            history,
            reported_waits: Mutex::default(),
        }
    }

    /// Reserves a slot for a request at the first agent that grants one.
    ///
    /// # Errors
    /// Fails if no agent accepts the request before its deadline, or if an agent has a
    /// newer document than the entry.
    pub async fn reserve(
        &self,
        inbound: &IncomingRequest,
        view: &View,
    ) -> Result<Reservation, ReservationError> {
        let agents: Vec<Member> = view.agents_of(&inbound.service.name).cloned().collect();
        let order = self.agent_order(inbound, &agents);
        // The second part of the load tells whether the agent is full.
        if self.policy.is_push() && order.iter().all(|index| self.agent_load(&agents[*index]).1) {
            let refusal = Refusal::not_run(Reason::Shed, "every target reported that it is full");
            return Err(ReservationError::Refused(
                refusal.retry_after(DEFAULT_RETRY_AFTER_MS),
            ));
        }
        let is_prefix_aware = self.policy.is_prefix_aware() && inbound.prefix_hash.is_some();
        let (sender, events) = mpsc::unbounded_channel();
        let mut search = Search {
            client: self,
            inbound,
            view,
            agents,
            prefix_agent: order.first().copied().filter(|_| is_prefix_aware),
            order: order.into_iter(),
            sender,
            events,
            open_exchanges: BTreeMap::new(),
            late_agents: Vec::new(),
            accept_late: false,
            any_agent_shed: false,
            refused_at: BTreeMap::new(),
            retry_after_ms: None,
        };
        search.reserve_at_next();
        // If the policy wants more reservations than there are agents, all are asked at once.
        if self.policy.min_reservations_when_waiting() > search.agents.len() {
            search.fill_reservations();
        }
        search.run().await
    }

    fn agent_load(&self, member: &Member) -> (usize, bool) {
        self.links.load(&member.address)
    }

    /// Indices into `agents`, in the order in which to ask them.
    fn agent_order(&self, inbound: &IncomingRequest, agents: &[Member]) -> Vec<usize> {
        let reported_waits = self.reported_waits.lock().expect("no holder panics");
        let ttl = Duration::from_millis(REPORTED_WAIT_TTL_MS);
        let candidate = |member: &Member| {
            let wait = reported_waits
                .get(&member.name)
                .filter(|(_, at)| at.elapsed() < ttl);
            let wait_ms = wait.map_or(0, |(wait_ms, _)| *wait_ms);
            Candidate {
                name: member.name.clone(),
                wait_ms,
                open_requests: self.agent_load(member).0,
            }
        };
        let candidates: Vec<Candidate> = agents.iter().map(candidate).collect();
        routing::order_agents(self.policy, &candidates, inbound.prefix_hash, inbound.id.1)
    }

    fn record_wait(&self, name: &ProcessName, wait_ms: u64) {
        let mut reported_waits = self.reported_waits.lock().expect("no holder panics");
        reported_waits.insert(name.clone(), (wait_ms, Instant::now()));
    }
}

/// The reservation attempts of one request.
struct Search<'a> {
    client: &'a ReservationClient,
    inbound: &'a IncomingRequest,
    view: &'a View,
    agents: Vec<Member>,
    /// The agent whose target likely has the prompt prefix cached.
    prefix_agent: Option<usize>,
    order: std::vec::IntoIter<usize>,
    sender: mpsc::UnboundedSender<(usize, Event)>,
    events: EventReceiver,
    open_exchanges: BTreeMap<usize, Exchange>,
    /// Agents that expect to miss the deadline, with their expected duration in ms.
    late_agents: Vec<(u64, usize)>,
    /// Whether agents are told to queue the request even if they expect to miss its deadline.
    accept_late: bool,
    /// Whether any agent shed or displaced the request; gives the reason if it is refused.
    any_agent_shed: bool,
    /// When each agent last shed or displaced the request.
    refused_at: BTreeMap<usize, Instant>,
    retry_after_ms: Option<u64>,
}

impl Search<'_> {
    async fn run(mut self) -> Result<Reservation, ReservationError> {
        let mut event_timeout = Duration::from_millis(HEDGE_DELAY_MS);
        loop {
            if self.open_exchanges.is_empty() && !self.reserve_at_next() && !self.retry_refused() {
                return Err(ReservationError::Refused(self.refusal()));
            }
            let remaining = Duration::from_millis(self.inbound.remaining_ms());
            if remaining.is_zero() {
                let message = "the request waited until its deadline";
                let refusal = Refusal::not_run(Reason::Expired, message);
                return Err(ReservationError::Refused(
                    refusal.retry_after(DEFAULT_RETRY_AFTER_MS),
                ));
            }
            match timeout(event_timeout.min(remaining), self.events.recv()).await {
                Ok(Some((agent_index, Event::Message(message)))) => {
                    if let Some(grant) = self.handle_message(agent_index, message)? {
                        return Ok(self.into_reservation(agent_index, grant));
                    }
                }
                Ok(Some((agent_index, Event::Lost))) => {
                    self.record_step(agent_index, Step::Lost);
                    self.open_exchanges.remove(&agent_index);
                    self.reserve_at_next();
                }
                Ok(None) | Err(_) => {
                    self.fill_reservations();
                    self.reserve_at_next();
                    event_timeout = Duration::from_millis(WIDEN_INTERVAL_MS);
                }
            }
        }
    }

    /// Asks the next agent for a slot; returns `false` if none is left.
    fn reserve_at_next(&mut self) -> bool {
        let next = self.order.next().or_else(|| self.next_late_agent());
        if let Some(agent_index) = next {
            self.reserve_at(agent_index);
        }
        next.is_some()
    }

    /// Asks every agent with an outdated refusal again, as a lower tier may have been
    /// admitted there since; returns `false` if there is none.
    fn retry_refused(&mut self) -> bool {
        let fresh = Duration::from_millis(REFUSAL_FRESH_MS);
        let stale: Vec<usize> = self
            .refused_at
            .iter()
            .filter(|(_, at)| at.elapsed() > fresh)
            .map(|(agent_index, _)| *agent_index)
            .collect();
        // Already set: `next_late_agent` has run before and found no open reservation.
        self.accept_late = true;
        for agent_index in &stale {
            self.refused_at.remove(agent_index);
            self.reserve_at(*agent_index);
        }
        !stale.is_empty()
    }

    fn reserve_at(&mut self, agent_index: usize) {
        let inbound = self.inbound;
        let reserve = ToAgent::Reserve(Reserve {
            request: inbound.id,
            tier: inbound.request_policy.tier.rank,
            service: inbound.service.name.clone(),
            prompt_tokens: inbound.prompt_tokens,
            total_tokens: inbound.total_tokens,
            deadline_ms: inbound.remaining_ms(),
            document_version: self.view.policy.version,
            accept_late: self.accept_late,
            push: self.client.policy.is_push(),
        });
        let (address, events) = (&self.agents[agent_index].address, self.sender.clone());
        let exchange = self
            .client
            .links
            .open(address, inbound.id, agent_index, events, reserve);
        self.open_exchanges.insert(agent_index, exchange);
        let holds_prefix = self.prefix_agent == Some(agent_index);
        self.record_step(agent_index, |agent| Step::Asked {
            agent,
            holds_prefix,
        });
    }

    fn record_step(&self, agent_index: usize, step: impl FnOnce(ProcessName) -> Step) {
        let name = self.agents[agent_index].name.clone();
        self.client.history.record(self.inbound.id, step(name));
    }

    /// Once all agents have been asked and no reservation is open, falls back to those that
    /// expect to miss the deadline, fastest first: a late response is better than shedding
    /// the request.
    fn next_late_agent(&mut self) -> Option<usize> {
        if !self.open_exchanges.is_empty() || self.accept_late {
            return None;
        }
        self.accept_late = true;
        self.late_agents.sort_unstable();
        let fastest_first = self
            .late_agents
            .drain(..)
            .map(|(_, agent_index)| agent_index);
        self.order = fastest_first.collect::<Vec<usize>>().into_iter();
        self.order.next()
    }

    fn fill_reservations(&mut self) {
        while self.open_exchanges.len() < self.client.policy.min_reservations_when_waiting()
            && self.reserve_at_next()
        {}
    }

    /// Handles a message from an agent; returns the grant if it contains one.
    fn handle_message(
        &mut self,
        agent_index: usize,
        message: FromAgent,
    ) -> Result<Option<GrantId>, ReservationError> {
        let name = &self.agents[agent_index].name;
        match &message {
            FromAgent::Granted { .. } => self.record_step(agent_index, Step::Granted),
            FromAgent::Refused { reason, .. } => {
                self.record_step(agent_index, |agent| Step::Refused(agent, reason.clone()));
            }
            FromAgent::Queued {
                ahead_tokens,
                wait_ms,
                ..
            } => {
                let (ahead_tokens, wait_ms) = (*ahead_tokens, *wait_ms);
                self.record_step(agent_index, |agent| Step::Queued {
                    agent,
                    ahead_tokens,
                    wait_ms,
                });
            }
            _ => {}
        }
        match message {
            FromAgent::Granted { grant, .. } if self.open_exchanges.contains_key(&agent_index) => {
                self.client.record_wait(name, 0);
                return Ok(Some(grant));
            }
            FromAgent::Queued { wait_ms, .. } => {
                self.client.record_wait(name, wait_ms.max(1));
                if wait_ms > MAX_WAIT_WITHOUT_HEDGE_MS {
                    self.fill_reservations();
                }
            }
            FromAgent::Refused {
                reason: Reason::EntryDocumentStale(version),
                ..
            } => {
                return Err(ReservationError::DocumentStale(DocumentVersion(version)));
            }
            FromAgent::Refused {
                reason: Reason::TooSlow,
                // For this reason, the field carries the expected duration of the request.
                retry_after_ms: expected_ms,
                ..
            } => {
                if let Some(mut exchange) = self.open_exchanges.remove(&agent_index) {
                    exchange.mark_ended();
                }
                self.late_agents.push((expected_ms, agent_index));
                self.reserve_at_next();
            }
            FromAgent::Refused {
                reason,
                retry_after_ms,
                ..
            } => {
                if let Some(mut exchange) = self.open_exchanges.remove(&agent_index) {
                    exchange.mark_ended();
                }
                // Also serves as the agent's wait: for a full queue, the retry delay is the
                // expected duration of the requests in it.
                self.client.record_wait(name, retry_after_ms);
                if matches!(reason, Reason::Shed | Reason::Displaced) {
                    self.any_agent_shed = true;
                    self.refused_at.insert(agent_index, Instant::now());
                }
                let known = self.retry_after_ms.unwrap_or(u64::MAX);
                self.retry_after_ms = Some(known.min(retry_after_ms));
                self.reserve_at_next();
            }
            _ => {}
        }
        Ok(None)
    }

    /// Keeps one granted slot and releases all other reservations.
    fn into_reservation(mut self, agent_index: usize, grant: GrantId) -> Reservation {
        let exchange = self
            .open_exchanges
            .remove(&agent_index)
            .expect("a grant is accepted only for an open exchange");
        let member = self.agents.swap_remove(agent_index);
        Reservation {
            exchange,
            events: self.events,
            grant,
            member,
        }
    }

    fn refusal(&self) -> Refusal {
        let service = &self.inbound.service.name;
        let refusal = match self.any_agent_shed {
            true => Refusal::not_run(
                Reason::Shed,
                format!("every queue of {service} is full of work of this tier or a higher one"),
            ),
            false => Refusal::not_run(
                Reason::NoTarget,
                format!("no target of {service} takes work"),
            ),
        };
        refusal.retry_after(self.retry_after_ms.unwrap_or(DEFAULT_RETRY_AFTER_MS))
    }
}
