//! Slot search: requests slots from the admission agents of several targets and takes the
//! first grant.
//!
//! The agent of the best target is asked first. While the request waits, more agents are
//! asked, best first; after the first grant the other slots are released. Unsuitable targets
//! are asked only if the suitable ones refuse the request or its objective has passed.
//!
//! A request that gets no slot at once may have been refused before, by another gateway. One agent
//! of the service, named by a hash of the request's fingerprint, is told of the refusals and knows.

use super::{
    admission_links::{AgentReply, PendingSlotRequest, ReplySender},
    slot_source::SlotSource,
    targets::SlotQuery,
};
use crate::{
    clock,
    control::directory::TargetEntry,
    grants::SlotRequest,
    metrics,
    request_limit::RequestLimit,
    scheduling::admission::{Reports, Step},
    target_pace::TargetSpeed,
    units::TargetName,
};
use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};
use tokio::{sync::mpsc, time::timeout};

/// Time without a reply after which another agent is asked: a few round trips.
const SILENCE_TIMEOUT_MS: u64 = 30;
/// Interval at which a waiting request asks one more agent.
const WIDEN_INTERVAL_MS: u64 = 25;

/// Outcome of a search.
pub enum SearchOutcome {
    /// The target at this position granted a slot.
    Granted(usize, PendingSlotRequest),
    /// The request is refused, with the wait in milliseconds that is expected; see
    /// [`crate::scheduling::admission`].
    Refused(u64),
    /// No agent granted or refused: all that were asked are unreachable or draining.
    NoAgent,
}

/// Waits reported by agents, by target; used to order the targets of later searches.
pub type WaitEstimates = BTreeMap<TargetName, u64>;

/// What is known of earlier refusals of the request.
enum Recall {
    NotAsked,
    /// The agent of the target at this position was asked.
    Asked(
        usize,
        #[allow(dead_code, reason = "dropped when the question ends")] PendingSlotRequest,
    ),
    Known {
        is_return: bool,
    },
}

/// One search over targets, in the order in which their agents are asked.
pub struct SlotSearch<'a> {
    source: SlotSource<'a>,
    query: &'a SlotQuery<'a>,
    /// The targets, best first.
    pub targets: &'a [TargetEntry],
    /// Limits of the targets, as this gateway knows them.
    limits: &'a [RequestLimit],
    /// Number of suitable targets, which come first.
    suitable: usize,
    next: usize,
    pending: BTreeMap<usize, PendingSlotRequest>,
    recall: Recall,
    /// Replies of the agents about the wait.
    pub reports: Reports,
    /// Waits that agents reported.
    pub wait_estimates: WaitEstimates,
    /// Positions of the targets that their agents reported as draining.
    pub draining: Vec<usize>,
    /// Speeds that agents reported, with the positions of their targets.
    pub speeds: Vec<(usize, TargetSpeed)>,
}

impl<'a> SlotSearch<'a> {
    /// Creates a search that has not asked any agent yet.
    pub fn new(
        source: SlotSource<'a>,
        query: &'a SlotQuery<'a>,
        targets: &'a [TargetEntry],
        limits: &'a [RequestLimit],
        suitable: usize,
    ) -> Self {
        Self {
            source,
            query,
            targets,
            limits,
            suitable,
            next: 0,
            pending: BTreeMap::new(),
            recall: Recall::NotAsked,
            reports: Reports::default(),
            wait_estimates: WaitEstimates::new(),
            draining: Vec::new(),
            speeds: Vec::new(),
        }
    }

    /// Asks agents until one grants a slot, all refuse or the time is up.
    pub async fn run(&mut self) -> SearchOutcome {
        let (reply_sender, mut replies) = mpsc::unbounded_channel();
        let mut timeout_ms = SILENCE_TIMEOUT_MS;
        let (initial_queues, max_queues) = self.source.queues();
        loop {
            if self.pending.is_empty() && self.reports.is_refused_by_enough() {
                self.skip_suitable();
            }
            let (now_ms, waiting) = (clock::boot_ms(), &self.query.waiting);
            let left_ms = waiting.first_event_by_ms.saturating_sub(now_ms);
            let waited_ms = now_ms.saturating_sub(waiting.arrived_ms);
            let is_waiting = !self.pending.is_empty() || self.is_recalling();
            let has_next = self.next < self.targets.len();
            match self
                .reports
                .decide(is_waiting, has_next, waited_ms, left_ms)
            {
                Step::Wait => {}
                Step::Ask => self.ask_next(&reply_sender),
                Step::Refuse(wait_ms) => return self.refuse(wait_ms),
                Step::SendUngranted => return SearchOutcome::NoAgent,
            }
            let max_wait = Duration::from_millis(timeout_ms.min(left_ms));
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
                    self.reports.record_queued(wait_ms);
                    self.recall(&reply_sender);
                    timeout_ms = WIDEN_INTERVAL_MS;
                    self.join_initial_queues(initial_queues, &reply_sender);
                }
                Ok(Some((position, AgentReply::Refused(wait_ms)))) => {
                    self.record_wait(position, wait_ms.max(1));
                    self.reports.record_refused(wait_ms);
                    self.recall(&reply_sender);
                    self.pending.remove(&position);
                }
                Ok(Some((position, AgentReply::Limited(wait_ms)))) => {
                    metrics::gateway_held_back(self.query.service);
                    tracing::debug!(
                        request = self.query.request, target = %self.targets[position].name, wait_ms,
                        "gateway: target is at its limit"
                    );
                    self.record_wait(position, wait_ms.max(1));
                    self.reports.record_limited(wait_ms);
                    self.pending.remove(&position);
                }
                Ok(Some((position, AgentReply::Draining))) => {
                    self.draining.push(position);
                    self.pending.remove(&position);
                }
                Ok(Some((position, AgentReply::Unreachable))) => {
                    self.pending.remove(&position);
                    if matches!(self.recall, Recall::Asked(asked, _) if asked == position) {
                        self.recall = Recall::Known { is_return: false };
                    }
                }
                Ok(Some((_, AgentReply::Recalled(is_return)))) => {
                    self.recall = Recall::Known { is_return };
                    if !self.pending.is_empty() {
                        self.join_initial_queues(initial_queues, &reply_sender);
                    }
                }
                Ok(None) | Err(_) if self.is_recalling() => {
                    self.recall = Recall::Known { is_return: false };
                }
                Ok(None) | Err(_) if self.pending.len() >= max_queues => timeout_ms = left_ms,
                Ok(None) | Err(_) if self.may_widen() => self.ask_next(&reply_sender),
                // Waits in the queues of the suitable targets until the objective has passed.
                Ok(None) | Err(_) => timeout_ms = self.objective_left_ms().max(WIDEN_INTERVAL_MS),
            }
        }
    }

    /// Returns whether the request is known to have been refused before.
    pub fn is_return(&self) -> bool {
        matches!(self.recall, Recall::Known { is_return: true })
    }

    fn is_recalling(&self) -> bool {
        matches!(self.recall, Recall::Asked(..))
    }

    /// Position of the target whose agent remembers refusals of the request: the same for all
    /// gateways that have the same targets.
    fn remembering_position(&self) -> usize {
        let hash = |target: &TargetEntry| {
            let mut hasher = DefaultHasher::new();
            (self.query.fingerprint, &target.name).hash(&mut hasher);
            hasher.finish()
        };
        let positions = 0..self.targets.len();
        let position = positions.max_by_key(|position| hash(&self.targets[*position]));
        position.unwrap_or(0)
    }

    /// Asks once whether the request was refused before. A request that was sent to a target is no
    /// return.
    fn recall(&mut self, reply_sender: &ReplySender) {
        if !matches!(self.recall, Recall::NotAsked) || !self.query.tried_targets.is_empty() {
            return;
        }
        let position = self.remembering_position();
        let (target, fingerprint) = (&self.targets[position], self.query.fingerprint);
        let question = self
            .source
            .recall(target, fingerprint, position, reply_sender.clone());
        self.recall = match question {
            Some(question) => Recall::Asked(position, question),
            None => Recall::Known { is_return: false },
        };
    }

    /// Ends the search with a refusal, and tells the agents that remember it.
    fn refuse(&mut self, wait_ms: u64) -> SearchOutcome {
        for slot in self.pending.values_mut() {
            slot.is_abandoned = true;
        }
        let target = &self.targets[self.remembering_position()];
        self.source.remember(target, self.query.fingerprint);
        SearchOutcome::Refused(wait_ms)
    }

    fn record_wait(&mut self, position: usize, wait_ms: u64) {
        self.wait_estimates
            .insert(self.targets[position].name.clone(), wait_ms);
    }

    /// Leaves out the suitable targets that have not been asked: they would refuse the request, too.
    fn skip_suitable(&mut self) {
        if self.next < self.suitable {
            self.next = self.suitable;
            self.reports.begin_group();
        }
    }

    /// Joins more queues once it is known whether the request was refused before.
    fn join_initial_queues(&mut self, initial_queues: usize, reply_sender: &ReplySender) {
        while !self.is_recalling()
            && self.pending.len() < initial_queues
            && self.next < self.targets.len()
            && self.may_widen()
        {
            self.ask_next(reply_sender);
        }
    }

    /// Returns whether a waiting request may ask the next agent. Unsuitable targets are asked
    /// only after the objective has passed.
    fn may_widen(&self) -> bool {
        self.next < self.suitable || self.objective_left_ms() == 0
    }

    /// Returns the time left until the objective passes.
    fn objective_left_ms(&self) -> u64 {
        let objective_at_ms = self.query.waiting.objective_at_ms;
        objective_at_ms.saturating_sub(clock::boot_ms())
    }

    /// Asks the next agent, if one is left.
    fn ask_next(&mut self, reply_sender: &ReplySender) {
        let Some(target) = self.targets.get(self.next) else {
            return;
        };
        let now_ms = clock::boot_ms();
        let waiting = &self.query.waiting;
        let request = SlotRequest {
            // Set by `AdmissionLinks::request_slot`.
            ticket: crate::grants::TicketNumber(0),
            started_unix_ms: target.started_unix_ms,
            slots: target.slots,
            rank: waiting.rank,
            route_rank: waiting.route_rank,
            waited_ms: now_ms.saturating_sub(waiting.arrived_ms),
            objective_left_ms: waiting.objective_at_ms.saturating_sub(now_ms),
            begin_left_ms: waiting.first_event_by_ms.saturating_sub(now_ms),
            deadline_left_ms: waiting.deadline_at_ms.saturating_sub(now_ms),
            work_units: self.query.work_units,
            prompt_tokens: self.query.prompt_tokens,
            pause_ms: self.query.pause_ms,
            fingerprint: self.query.fingerprint,
            is_favoured: waiting.is_favoured,
            limit: self.limits[self.next],
            is_return: self.is_return(),
            share: waiting.share,
        };
        let slot = self
            .source
            .request_slot(target, request, self.next, reply_sender.clone());
        self.pending.insert(self.next, slot);
        self.next += 1;
    }
}
