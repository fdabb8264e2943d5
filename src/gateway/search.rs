//! The search for a place at a target that has an admission agent.
//!
//! The agent whose target looks best is asked first. As long as a request waits, more are
//! asked, best first; the first grant is taken and the other places are given up. Targets
//! that are not fit for the request are asked once those that are fit refuse it, or once it
//! is late.

use super::{
    admission_links::{AdmissionLinks, AgentReply, ReplySender, SlotRequest},
    targets::SlotQuery,
};
use crate::{
    clock, control::directory::TargetEntry, grants::Ask, target_pace::TargetPace, units::TargetName,
};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};
use tokio::{sync::mpsc, time::timeout};

/// How long an agent may be silent before another is asked too: some round trips.
const SILENCE_TIMEOUT_MS: u64 = 30;
/// How often a request that waits asks one more agent.
const WIDEN_INTERVAL_MS: u64 = 25;
/// At how many agents a request waits at once when the first one has no place free.
const INITIAL_QUEUES: usize = 3;
/// At how many agents a request waits at most.
const MAX_QUEUES: usize = 12;
/// How many refusals in a row settle that there is no place: agents of a service have
/// lines of about the same length, as requests wait at several.
const REFUSAL_LIMIT: usize = 4;

/// How a search ended.
pub enum SearchOutcome {
    /// A place at the target at this position.
    Granted(usize, SlotRequest),
    /// Every agent asked refused; the shortest wait that one of them told.
    Refused(u64),
    /// No agent could be reached.
    NoAgent,
}

/// What agents said to searches, by target; routing goes by it.
pub type WaitEstimates = BTreeMap<TargetName, u64>;

/// One search over the targets in the order in which to ask.
pub struct SlotSearch<'a> {
    admission_links: &'a AdmissionLinks,
    query: &'a SlotQuery<'a>,
    targets: &'a [TargetEntry],
    /// How many of them, from the first, are fit for the request.
    suitable: usize,
    port: u16,
    next: usize,
    pending: BTreeMap<usize, SlotRequest>,
    refusals: usize,
    shortest_wait_ms: Option<u64>,
    /// What agents said.
    pub wait_estimates: WaitEstimates,
    /// The positions of the targets that leave, as their agents said.
    pub draining: Vec<usize>,
    /// The paces of targets, by their positions.
    pub speeds: Vec<(usize, TargetPace)>,
}

impl<'a> SlotSearch<'a> {
    /// A search that has asked nobody yet.
    pub fn new(
        admission_links: &'a AdmissionLinks,
        query: &'a SlotQuery<'a>,
        targets: &'a [TargetEntry],
        suitable: usize,
        port: u16,
    ) -> Self {
        Self {
            admission_links,
            query,
            targets,
            suitable,
            port,
            next: 0,
            pending: BTreeMap::new(),
            refusals: 0,
            shortest_wait_ms: None,
            wait_estimates: WaitEstimates::new(),
            draining: Vec::new(),
            speeds: Vec::new(),
        }
    }

    /// Asks until a place is granted, or there is none.
    pub async fn run(&mut self) -> SearchOutcome {
        let (reply_sender, mut replies) = mpsc::unbounded_channel();
        let mut widen_after_ms = SILENCE_TIMEOUT_MS;
        loop {
            if self.pending.is_empty() && !self.ask_next_if_promising(&reply_sender) {
                return match self.shortest_wait_ms {
                    Some(wait_ms) => SearchOutcome::Refused(wait_ms),
                    None => SearchOutcome::NoAgent,
                };
            }
            let left_ms = self
                .query
                .waiting
                .begin_by_ms
                .saturating_sub(clock::boot_ms());
            if left_ms == 0 {
                return SearchOutcome::Refused(self.shortest_wait_ms.unwrap_or_default());
            }
            let max_wait = Duration::from_millis(widen_after_ms.min(left_ms));
            let reply = timeout(max_wait, replies.recv()).await;
            if let Ok(Some((position, _, Some(speed)))) = reply {
                self.speeds.push((position, speed));
            }
            match reply.map(|reply| reply.map(|(position, reply, _)| (position, reply))) {
                Ok(Some((position, AgentReply::Granted))) => {
                    self.record_wait(position, 0);
                    if let Some(slot) = self.pending.remove(&position) {
                        return SearchOutcome::Granted(position, slot);
                    }
                }
                Ok(Some((position, AgentReply::Queued(wait_ms)))) => {
                    self.record_wait(position, wait_ms.max(1));
                    widen_after_ms = WIDEN_INTERVAL_MS;
                    while self.pending.len() < INITIAL_QUEUES
                        && self.may_widen()
                        && self.ask_next(&reply_sender)
                    {}
                }
                Ok(Some((position, AgentReply::Refused(wait_ms)))) => {
                    self.record_wait(position, wait_ms.max(1));
                    self.refusals += 1;
                    let shortest_wait_ms = self.shortest_wait_ms.unwrap_or(u64::MAX);
                    self.shortest_wait_ms = Some(shortest_wait_ms.min(wait_ms));
                    self.pending.remove(&position);
                }
                Ok(Some((position, AgentReply::Draining))) => {
                    self.draining.push(position);
                    self.pending.remove(&position);
                }
                Ok(Some((position, AgentReply::Unreachable))) => {
                    self.pending.remove(&position);
                }
                Ok(None) | Err(_) if self.pending.len() >= MAX_QUEUES => widen_after_ms = left_ms,
                Ok(None) | Err(_) if self.may_widen() => {
                    self.ask_next(&reply_sender);
                }
                // Waits until it is late at the targets that are fit.
                Ok(None) | Err(_) => {
                    widen_after_ms = self.objective_left_ms().max(WIDEN_INTERVAL_MS)
                }
            }
        }
    }

    fn record_wait(&mut self, position: usize, wait_ms: u64) {
        self.wait_estimates
            .insert(self.targets[position].name.clone(), wait_ms);
    }

    /// Asks another agent as none of those asked has a line that it waits in; `false` if
    /// there is none that is likely to have room.
    fn ask_next_if_promising(&mut self, reply_sender: &ReplySender) -> bool {
        if self.refusals >= REFUSAL_LIMIT && self.next < self.suitable {
            // The rest of those that are fit would refuse it, too.
            self.next = self.suitable;
            self.refusals = 0;
        }
        self.refusals < REFUSAL_LIMIT && self.ask_next(reply_sender)
    }

    /// Whether a request that waits may ask the next agent: one whose target is not fit only
    /// when the request is late in any case.
    fn may_widen(&self) -> bool {
        self.next < self.suitable || self.objective_left_ms() == 0
    }

    /// How long the request is still in time.
    fn objective_left_ms(&self) -> u64 {
        let objective_at_ms = self.query.waiting.objective_at_ms;
        objective_at_ms.saturating_sub(clock::boot_ms())
    }

    /// Asks the next agent; `false` if all have been asked.
    fn ask_next(&mut self, reply_sender: &ReplySender) -> bool {
        let Some(target) = self.targets.get(self.next) else {
            return false;
        };
        let now_ms = clock::boot_ms();
        let waiting = &self.query.waiting;
        let ask = Ask {
            ticket: crate::grants::TicketNumber(0),
            started_unix_ms: target.started_unix_ms,
            slots: target.slots,
            rank: waiting.rank,
            route_rank: waiting.route_rank,
            waited_ms: now_ms.saturating_sub(waiting.arrived_ms),
            objective_left_ms: waiting.objective_at_ms.saturating_sub(now_ms),
            begin_left_ms: waiting.begin_by_ms.saturating_sub(now_ms),
            deadline_left_ms: waiting.deadline_at_ms.saturating_sub(now_ms),
            work_units: self.query.work_units,
            prompt_tokens: self.query.prompt_tokens,
            pause_ms: self.query.pause_ms,
            fingerprint: self.query.fingerprint,
            is_favoured: waiting.is_favoured,
        };
        let address = SocketAddr::new(target.address.ip(), self.port);
        let slot = self
            .admission_links
            .ask(address, ask, self.next, reply_sender.clone());
        self.pending.insert(self.next, slot);
        self.next += 1;
        true
    }
}
