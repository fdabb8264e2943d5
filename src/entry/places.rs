//! The search for a place: reservations at several agents, and their answers.

use super::{
    agent_links::{AgentLinks, Event, Exchange},
    body::EventReceiver,
    journal::{Journal, Step},
    refusal::Refusal,
    request::Inbound,
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

/// How long the first agent asked may be silent before others are asked too.
const HEDGE_MS: u64 = 100;
/// A wait up to this at the first agent asked is given [`HEDGE_MS`] before
/// others are asked, as that agent likely holds the prefix.
const PREFIX_WAIT_MS: u64 = 250;
/// How often a request that waits asks one more agent.
const WIDEN_MS: u64 = 250;
/// A request is shed only if every agent refused it within this time.
const SWEEP_MS: u64 = 50;
/// How long a wait that an agent reported is believed.
const WAIT_BELIEVED_MS: u64 = 1000;
/// The advice when to come back where no agent gave one.
const RETRY_AFTER_MS: u64 = 1000;

/// A place that an agent granted.
pub struct Place {
    /// The exchange with the agent.
    pub exchange: Exchange,
    /// What happens in it.
    pub events: EventReceiver,
    /// The grant.
    pub grant: GrantId,
    /// The agent.
    pub member: Member,
}

/// Why no place was found.
pub enum NoPlace {
    /// The request is given up.
    Refused(Refusal),
    /// An agent has this document, and the entry an older one.
    Stale(DocumentVersion),
}

/// Finds places at agents.
pub struct Places {
    links: Arc<AgentLinks>,
    policy: RoutingPolicy,
    journal: Arc<Journal>,
    waits: Mutex<HashMap<ProcessName, (u64, Instant)>>,
}

impl Places {
    /// Searches over an entry's links.
    pub fn new(links: Arc<AgentLinks>, policy: RoutingPolicy, journal: Arc<Journal>) -> Self {
        Self {
            links,
            policy,
            journal,
            waits: Mutex::default(),
        }
    }

    /// Finds a place for a request.
    ///
    /// # Errors
    /// Fails with a refusal, or if the entry has an older document than an agent.
    pub async fn find(&self, inbound: &Inbound, view: &View) -> Result<Place, NoPlace> {
        let agents: Vec<Member> = view.agents_of(&inbound.service.name).cloned().collect();
        let order = self.order(inbound, &agents);
        if self.policy.pushes() && order.iter().all(|index| self.load(&agents[*index]).1) {
            let refusal = Refusal::not_run(Reason::Shed, "every target reported that it is full");
            return Err(NoPlace::Refused(refusal.retry_after(RETRY_AFTER_MS)));
        }
        let follows_prefix = self.policy.follows_prefix() && inbound.prefix.is_some();
        let (sender, events) = mpsc::unbounded_channel();
        let mut search = Search {
            places: self,
            inbound,
            view,
            agents,
            holder: order.first().copied().filter(|_| follows_prefix),
            order: order.into_iter(),
            sender,
            events,
            open: BTreeMap::new(),
            slow: Vec::new(),
            insists: false,
            shed: false,
            refused: BTreeMap::new(),
            retry_after_ms: None,
        };
        search.ask_next();
        if self.policy.places() > search.agents.len() {
            search.ask_more();
        }
        search.run().await
    }

    fn load(&self, member: &Member) -> (usize, bool) {
        self.links.load(&member.address)
    }

    /// The agents of a service in the order in which to ask them.
    fn order(&self, inbound: &Inbound, agents: &[Member]) -> Vec<usize> {
        let waits = self.waits.lock().expect("no holder panics");
        let believed = Duration::from_millis(WAIT_BELIEVED_MS);
        let candidate = |member: &Member| {
            let wait = waits
                .get(&member.name)
                .filter(|(_, at)| at.elapsed() < believed);
            let wait_ms = wait.map_or(0, |(wait_ms, _)| *wait_ms);
            Candidate {
                name: member.name.clone(),
                wait_ms,
                open_requests: self.load(member).0,
            }
        };
        let candidates: Vec<Candidate> = agents.iter().map(candidate).collect();
        routing::order(self.policy, &candidates, inbound.prefix, inbound.id.1)
    }

    fn note_wait(&self, name: &ProcessName, wait_ms: u64) {
        let mut waits = self.waits.lock().expect("no holder panics");
        waits.insert(name.clone(), (wait_ms, Instant::now()));
    }
}

/// One search.
struct Search<'a> {
    places: &'a Places,
    inbound: &'a Inbound,
    view: &'a View,
    agents: Vec<Member>,
    /// The agent whose target likely holds the prompt's prefix.
    holder: Option<usize>,
    order: std::vec::IntoIter<usize>,
    sender: mpsc::UnboundedSender<(usize, Event)>,
    events: EventReceiver,
    open: BTreeMap<usize, Exchange>,
    /// Agents that expect to be late, with how long they expect to take.
    slow: Vec<(u64, usize)>,
    insists: bool,
    shed: bool,
    refused: BTreeMap<usize, Instant>,
    retry_after_ms: Option<u64>,
}

impl Search<'_> {
    async fn run(mut self) -> Result<Place, NoPlace> {
        let mut patience = Duration::from_millis(HEDGE_MS);
        loop {
            if self.open.is_empty() && !self.ask_next() && !self.sweep() {
                return Err(NoPlace::Refused(self.refusal()));
            }
            let left = Duration::from_millis(self.inbound.left_ms());
            if left.is_zero() {
                let message = "the request waited until its deadline";
                let refusal = Refusal::not_run(Reason::Expired, message);
                return Err(NoPlace::Refused(refusal.retry_after(RETRY_AFTER_MS)));
            }
            match timeout(patience.min(left), self.events.recv()).await {
                Ok(Some((number, Event::Message(message)))) => {
                    if let Some(grant) = self.take(number, message)? {
                        return Ok(self.choose(number, grant));
                    }
                }
                Ok(Some((number, Event::Lost))) => {
                    self.note(number, Step::Lost);
                    self.open.remove(&number);
                    self.ask_next();
                }
                Ok(None) | Err(_) => {
                    self.ask_more();
                    self.ask_next();
                    patience = Duration::from_millis(WIDEN_MS);
                }
            }
        }
    }

    /// Asks the next agent for a place; `false` if all have been asked.
    fn ask_next(&mut self) -> bool {
        let next = self.order.next().or_else(|| self.insist());
        if let Some(number) = next {
            self.ask(number);
        }
        next.is_some()
    }

    /// Asks every agent again whose refusal is not of this moment, as a lower
    /// tier may have found a place there since; `false` if there is none.
    fn sweep(&mut self) -> bool {
        let fresh = Duration::from_millis(SWEEP_MS);
        let stale: Vec<usize> = self
            .refused
            .iter()
            .filter(|(_, at)| at.elapsed() > fresh)
            .map(|(number, _)| *number)
            .collect();
        self.insists = true;
        for number in &stale {
            self.refused.remove(number);
            self.ask(*number);
        }
        !stale.is_empty()
    }

    fn ask(&mut self, number: usize) {
        let inbound = self.inbound;
        let reserve = ToAgent::Reserve(Reserve {
            request: inbound.id,
            tier: inbound.treatment.tier.rank,
            service: inbound.service.name.clone(),
            prompt_tokens: inbound.prompt_tokens,
            total_tokens: inbound.total_tokens,
            deadline_ms: inbound.left_ms(),
            document_version: self.view.policy.version,
            insist: self.insists,
            push: self.places.policy.pushes(),
        });
        let (address, events) = (&self.agents[number].address, self.sender.clone());
        let exchange = self
            .places
            .links
            .open(address, inbound.id, number, events, reserve);
        self.open.insert(number, exchange);
        let holds_prefix = self.holder == Some(number);
        self.note(number, |agent| Step::Asked {
            agent,
            holds_prefix,
        });
    }

    fn note(&self, number: usize, step: impl FnOnce(ProcessName) -> Step) {
        let name = self.agents[number].name.clone();
        self.places.journal.note(self.inbound.id, step(name));
    }

    /// Once all agents have been asked and nothing is open, goes back to those
    /// that expected to be late: late is better than shed.
    fn insist(&mut self) -> Option<usize> {
        if !self.open.is_empty() || self.insists {
            return None;
        }
        self.insists = true;
        self.slow.sort_unstable();
        let fastest_first = self.slow.drain(..).map(|(_, number)| number);
        self.order = fastest_first.collect::<Vec<usize>>().into_iter();
        self.order.next()
    }

    fn ask_more(&mut self) {
        while self.open.len() < self.places.policy.places() && self.ask_next() {}
    }

    /// Takes an agent's word; returns the grant if it gave one.
    fn take(&mut self, number: usize, message: FromAgent) -> Result<Option<GrantId>, NoPlace> {
        let name = &self.agents[number].name;
        match &message {
            FromAgent::Granted { .. } => self.note(number, Step::Granted),
            FromAgent::Refused { reason, .. } => {
                self.note(number, |agent| Step::Refused(agent, reason.clone()));
            }
            FromAgent::Queued {
                ahead_tokens,
                wait_ms,
                ..
            } => {
                let (ahead_tokens, wait_ms) = (*ahead_tokens, *wait_ms);
                self.note(number, |agent| Step::Queued {
                    agent,
                    ahead_tokens,
                    wait_ms,
                });
            }
            _ => {}
        }
        match message {
            FromAgent::Granted { grant, .. } if self.open.contains_key(&number) => {
                self.places.note_wait(name, 0);
                return Ok(Some(grant));
            }
            FromAgent::Queued { wait_ms, .. } => {
                self.places.note_wait(name, wait_ms.max(1));
                if wait_ms > PREFIX_WAIT_MS {
                    self.ask_more();
                }
            }
            FromAgent::Refused {
                reason: Reason::DocumentStale(version),
                ..
            } => {
                return Err(NoPlace::Stale(DocumentVersion(version)));
            }
            FromAgent::Refused {
                reason: Reason::TooSlow,
                retry_after_ms: expected_ms,
                ..
            } => {
                if let Some(mut exchange) = self.open.remove(&number) {
                    exchange.ended();
                }
                self.slow.push((expected_ms, number));
                self.ask_next();
            }
            FromAgent::Refused {
                reason,
                retry_after_ms,
                ..
            } => {
                if let Some(mut exchange) = self.open.remove(&number) {
                    exchange.ended();
                }
                self.places.note_wait(name, retry_after_ms);
                if matches!(reason, Reason::Shed | Reason::Displaced) {
                    self.shed = true;
                    self.refused.insert(number, Instant::now());
                }
                let known = self.retry_after_ms.unwrap_or(u64::MAX);
                self.retry_after_ms = Some(known.min(retry_after_ms));
                self.ask_next();
            }
            _ => {}
        }
        Ok(None)
    }

    /// Keeps one place and gives up the others.
    fn choose(mut self, number: usize, grant: GrantId) -> Place {
        let exchange = self
            .open
            .remove(&number)
            .expect("checked when the grant came");
        let member = self.agents.swap_remove(number);
        Place {
            exchange,
            events: self.events,
            grant,
            member,
        }
    }

    fn refusal(&self) -> Refusal {
        let service = &self.inbound.service.name;
        let refusal = match self.shed {
            true => Refusal::not_run(
                Reason::Shed,
                format!("every queue of {service} is full of work of this tier or a higher one"),
            ),
            false => Refusal::not_run(
                Reason::NoTarget,
                format!("no target of {service} takes work"),
            ),
        };
        refusal.retry_after(self.retry_after_ms.unwrap_or(RETRY_AFTER_MS))
    }
}
