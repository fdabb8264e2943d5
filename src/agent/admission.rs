//! Admission control of an [`Agent`](super::Agent), which serves entries: the queue of its target
//! and the grants, limited by concurrent requests and tokens, as a pure state machine without I/O
//! or clock. Gateways are served by [`super::slots`] instead.

use super::{outcomes::Outcomes, pace::OutputRate};
use crate::{
    control::command::{GrantId, Outcome},
    derives::record,
    units::*,
    verdict::Reason,
    wire::Reserve,
};
use std::collections::BTreeMap;

/// Lifetime of an unused grant.
pub const GRANT_TTL_MS: u64 = 1500;
/// Service rate assumed until a request has finished.
const INITIAL_TOKENS_PER_S: u64 = 1000;
/// Bounds of the retry-after advice in a refusal.
const RETRY_AFTER_RANGE_MS: std::ops::RangeInclusive<u64> = 200..=60_000;

record! {
    /// Maximum load of the target.
    #[derive(Copy)]
    pub struct Capacity {
        /// Maximum number of concurrent requests.
        pub slots: usize,
        /// Maximum number of prompt and output tokens of concurrent requests.
        pub tokens: TokenCount,
    }

    /// A decision to be sent to the entry of a request.
    pub enum Decision {
        /// The request may be dispatched.
        Grant {
            /// The request.
            request: RequestId,
            /// The grant to dispatch it with.
            grant: GrantId,
        },
        /// The request is queued.
        Queue {
            /// The request.
            request: RequestId,
            /// Tokens of the requests ahead of it in the queue.
            ahead_tokens: TokenCount,
            /// Expected wait at the measured service rate.
            wait_ms: u64,
        },
        /// The request is refused.
        Refuse {
            /// The request.
            request: RequestId,
            /// Reason of the refusal.
            reason: Reason,
            /// Time after which a retry is likely to succeed.
            retry_after_ms: u64,
        },
    }

    /// Status of a grant.
    pub enum GrantStatus {
        /// It was not used and no longer can be.
        NotRun,
        /// Its dispatch is in progress.
        Running,
        /// Its dispatch has ended.
        Finished(Outcome),
        /// Its outcome is no longer known.
        Unknown,
    }

    enum Phase {
        Granted { at_ms: u64 },
        Running,
    }

    struct GrantHolder {
        request: RequestId,
        tokens: TokenCount,
        answer_tokens: TokenCount,
        phase: Phase,
    }

    struct QueuedRequest {
        reserve: Reserve,
        arrived_ms: u64,
    }
}

/// A dispatch was rejected before it started; the request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("the grant is unknown, already used or expired")]
pub struct GrantError;

/// The queue of one target, ordered by tier and arrival, and the grants it has issued.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Admission {
    incarnation: Incarnation,
    capacity: Capacity,
    max_queued_requests: usize,
    waiting: BTreeMap<(TierRank, u64), QueuedRequest>,
    positions: BTreeMap<RequestId, (TierRank, u64)>,
    holders: BTreeMap<GrantNumber, GrantHolder>,
    /// Wide, as callers state the numbers that it sums up.
    used_tokens: u128,
    outcomes: Outcomes,
    next_arrival: u64,
    next_grant: u64,
    tokens_per_s: u64,
    output_rate: OutputRate,
}

impl Admission {
    /// Creates an empty queue for a newly started agent.
    pub fn new(incarnation: Incarnation, capacity: Capacity, max_queued_requests: usize) -> Self {
        Self {
            incarnation,
            capacity,
            max_queued_requests,
            waiting: BTreeMap::new(),
            positions: BTreeMap::new(),
            holders: BTreeMap::new(),
            used_tokens: 0,
            outcomes: Outcomes::default(),
            next_arrival: 0,
            next_grant: 1,
            tokens_per_s: INITIAL_TOKENS_PER_S,
            output_rate: OutputRate::default(),
        }
    }

    /// Sets the capacity announced by the target.
    pub fn set_capacity(&mut self, capacity: Capacity, now_ms: u64) -> Vec<Decision> {
        self.capacity = capacity;
        self.grant_waiting(now_ms)
    }

    /// Sets the maximum queue length configured in the document.
    pub fn set_max_queued_requests(&mut self, max_queued_requests: usize) {
        self.max_queued_requests = max_queued_requests;
    }

    /// Grants, queues or refuses a request. If the queue is full, the last request in it is
    /// displaced if its tier is lower; otherwise the new one is refused.
    pub fn reserve(&mut self, reserve: Reserve, now_ms: u64) -> Vec<Decision> {
        let request = reserve.request;
        if self.positions.contains_key(&request) {
            return Vec::new();
        }
        // Expected time to completion, if it exceeds the deadline.
        let too_long_ms = self
            .expected_ms(&reserve)
            .filter(|ms| *ms > reserve.deadline_ms);
        if let Some(retry_after_ms) = too_long_ms.filter(|_| !reserve.accept_late) {
            let reason = Reason::TooSlow;
            return vec![Decision::Refuse {
                request,
                reason,
                retry_after_ms,
            }];
        }
        let mut decisions = Vec::new();
        if self.waiting.len() >= self.max_queued_requests {
            let last = self.waiting.last_key_value().map(|(position, _)| *position);
            match last {
                Some(position) if position.0 > reserve.tier => {
                    decisions.extend(self.displace(position));
                }
                _ => return vec![self.refuse(request, Reason::Shed)],
            }
        }
        let position = (reserve.tier, self.next_arrival);
        self.next_arrival += 1;
        self.positions.insert(request, position);
        self.waiting.insert(
            position,
            QueuedRequest {
                reserve,
                arrived_ms: now_ms,
            },
        );
        decisions.extend(self.grant_waiting(now_ms));
        if self.waiting.contains_key(&position) {
            let ahead_tokens = self.ahead_tokens(position);
            let wait_ms = self.duration_ms(ahead_tokens);
            decisions.push(Decision::Queue {
                request,
                ahead_tokens,
                wait_ms,
            });
        }
        decisions
    }

    /// Issues a grant immediately, regardless of the load of the target.
    pub fn grant_immediately(&mut self, reserve: &Reserve, now_ms: u64) -> Decision {
        let grant = self.grant(reserve, now_ms);
        Decision::Grant {
            request: reserve.request,
            grant,
        }
    }

    /// Removes a request from the queue, or withdraws its unused grant.
    pub fn release(&mut self, request: RequestId, now_ms: u64) -> Vec<Decision> {
        if let Some(position) = self.positions.remove(&request) {
            self.waiting.remove(&position);
        }
        let is_unused =
            |holder: &GrantHolder| holder.request == request && holder.phase != Phase::Running;
        let grant = self
            .holders
            .iter()
            .find(|(_, holder)| is_unused(holder))
            .map(|(number, _)| *number);
        match grant {
            Some(number) => {
                self.remove_holder(number);
                self.grant_waiting(now_ms)
            }
            None => Vec::new(),
        }
    }

    /// Marks a grant as used; succeeds at most once per grant.
    ///
    /// # Errors
    /// Fails if the grant was issued by an earlier run of the agent or for another request,
    /// or was already used, withdrawn or has expired. The request must not be dispatched then.
    pub fn start(
        &mut self,
        request: RequestId,
        grant: GrantId,
        now_ms: u64,
    ) -> Result<(), GrantError> {
        let holder = self.holders.get_mut(&grant.number);
        match holder {
            Some(holder) if grant.incarnation == self.incarnation && holder.request == request => {
                match holder.phase {
                    Phase::Granted { at_ms } if now_ms <= at_ms + GRANT_TTL_MS => {
                        holder.phase = Phase::Running;
                        Ok(())
                    }
                    _ => Err(GrantError),
                }
            }
            _ => Err(GrantError),
        }
    }

    /// Releases the capacity of a dispatch that has ended, and keeps its outcome.
    /// `took_ms` is given if the response was complete.
    pub fn finish(
        &mut self,
        grant: GrantId,
        outcome: Outcome,
        took_ms: Option<u64>,
        now_ms: u64,
    ) -> Vec<Decision> {
        if let Some(holder) = self.remove_holder(grant.number) {
            if let Some(took_ms) = took_ms {
                self.update_service_rate(holder.tokens, took_ms);
                self.output_rate.update(holder.answer_tokens, took_ms);
            }
            self.outcomes.insert(grant.number, outcome);
        }
        self.grant_waiting(now_ms)
    }

    /// Returns the status of a grant, and withdraws the grant if it is unused, so that a
    /// dispatch that arrives later is rejected.
    pub fn fence_grant(&mut self, grant: GrantId) -> GrantStatus {
        let running = self
            .holders
            .get(&grant.number)
            .map(|h| h.phase == Phase::Running);
        match (running, self.outcomes.get(grant.number)) {
            _ if grant.incarnation != self.incarnation => GrantStatus::Unknown,
            _ if grant.number.0 >= self.next_grant => GrantStatus::Unknown,
            (Some(true), _) => GrantStatus::Running,
            (Some(false), _) => {
                self.remove_holder(grant.number);
                GrantStatus::NotRun
            }
            (None, Some(outcome)) => GrantStatus::Finished(outcome.clone()),
            (None, None) if self.outcomes.may_have_evicted(grant.number) => GrantStatus::Unknown,
            (None, None) => GrantStatus::NotRun,
        }
    }

    /// Withdraws expired grants, drops queued requests past their deadline, and grants the
    /// capacity released by this.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Decision> {
        let is_expired = |holder: &GrantHolder| match holder.phase {
            Phase::Granted { at_ms } => now_ms > at_ms + GRANT_TTL_MS,
            Phase::Running => false,
        };
        let expired: Vec<GrantNumber> = self
            .holders
            .iter()
            .filter(|(_, h)| is_expired(h))
            .map(|(number, _)| *number)
            .collect();
        for number in expired {
            self.remove_holder(number);
        }
        let is_past_deadline = |waiting: &QueuedRequest| {
            let deadline_ms = waiting.reserve.deadline_ms;
            now_ms > waiting.arrived_ms.saturating_add(deadline_ms)
        };
        let past_deadline: Vec<(TierRank, u64)> = self
            .waiting
            .iter()
            .filter(|(_, w)| is_past_deadline(w))
            .map(|(position, _)| *position)
            .collect();
        let mut decisions = Vec::new();
        for position in past_deadline {
            decisions.extend(self.refuse_queued(position, Reason::Expired));
        }
        decisions.extend(self.grant_waiting(now_ms));
        decisions
    }

    /// Refuses all queued requests, for example because the target is draining.
    pub fn refuse_waiting(&mut self, reason: Reason) -> Vec<Decision> {
        let positions: Vec<(TierRank, u64)> = self.waiting.keys().copied().collect();
        positions
            .into_iter()
            .filter_map(|p| self.refuse_queued(p, reason.clone()))
            .collect()
    }

    /// Number of queued requests by tier.
    pub fn waiting_by_tier(&self) -> BTreeMap<TierRank, usize> {
        let mut counts = BTreeMap::new();
        for (tier, _) in self.waiting.keys() {
            *counts.entry(*tier).or_default() += 1;
        }
        counts
    }

    /// Number of dispatches in progress.
    pub fn running_count(&self) -> usize {
        self.holders
            .values()
            .filter(|holder| holder.phase == Phase::Running)
            .count()
    }

    /// Number of grants that are unused or in use.
    pub fn open_requests(&self) -> usize {
        self.holders.len()
    }

    /// Whether slots and queue are full if the target runs `open_requests` requests.
    pub fn is_full_with(&self, open_requests: usize) -> bool {
        let places = self.capacity.slots.saturating_add(self.max_queued_requests);
        open_requests + self.waiting.len() >= places
    }

    /// Tokens reserved by grants and dispatches.
    pub fn used_tokens(&self) -> TokenCount {
        TokenCount(u64::try_from(self.used_tokens).unwrap_or(u64::MAX))
    }

    /// Grants queued requests in order while capacity is left. An idle target is granted any
    /// request, even one above its capacity.
    fn grant_waiting(&mut self, now_ms: u64) -> Vec<Decision> {
        let mut decisions = Vec::new();
        while let Some(first) = self.waiting.first_entry() {
            let tokens = self.used_tokens + u128::from(first.get().reserve.total_tokens.0);
            let fits = self.holders.len() < self.capacity.slots
                && tokens <= u128::from(self.capacity.tokens.0);
            if !fits && !self.holders.is_empty() {
                break;
            }
            let QueuedRequest { reserve, .. } = first.remove();
            self.positions.remove(&reserve.request);
            let grant = self.grant(&reserve, now_ms);
            decisions.push(Decision::Grant {
                request: reserve.request,
                grant,
            });
        }
        decisions
    }

    fn grant(&mut self, reserve: &Reserve, now_ms: u64) -> GrantId {
        let (request, tokens) = (reserve.request, reserve.total_tokens);
        let answer_tokens = reserve.output_tokens();
        let number = GrantNumber(self.next_grant);
        self.next_grant += 1;
        self.used_tokens += u128::from(tokens.0);
        let phase = Phase::Granted { at_ms: now_ms };
        self.holders.insert(
            number,
            GrantHolder {
                request,
                tokens,
                answer_tokens,
                phase,
            },
        );
        GrantId {
            incarnation: self.incarnation,
            number,
        }
    }

    fn displace(&mut self, position: (TierRank, u64)) -> Option<Decision> {
        self.refuse_queued(position, Reason::Displaced)
    }

    fn refuse_queued(&mut self, position: (TierRank, u64), reason: Reason) -> Option<Decision> {
        let waiting = self.waiting.remove(&position)?;
        self.positions.remove(&waiting.reserve.request);
        Some(self.refuse(waiting.reserve.request, reason))
    }

    fn refuse(&self, request: RequestId, reason: Reason) -> Decision {
        let retry_after_ms = self.duration_ms(total_tokens(self.waiting.values()));
        let retry_after_ms =
            retry_after_ms.clamp(*RETRY_AFTER_RANGE_MS.start(), *RETRY_AFTER_RANGE_MS.end());
        Decision::Refuse {
            request,
            reason,
            retry_after_ms,
        }
    }

    fn ahead_tokens(&self, position: (TierRank, u64)) -> TokenCount {
        let ahead = self.waiting.range(..position);
        total_tokens(ahead.map(|(_, waiting)| waiting))
    }

    fn remove_holder(&mut self, number: GrantNumber) -> Option<GrantHolder> {
        let holder = self.holders.remove(&number)?;
        self.used_tokens -= u128::from(holder.tokens.0);
        Some(holder)
    }

    /// Expected wait and run time of a request; `None` until the output rate has been measured.
    fn expected_ms(&self, reserve: &Reserve) -> Option<u64> {
        let run_ms = self.output_rate.run_ms(reserve.output_tokens())?;
        let wait_ms = match self.holders.len() < self.capacity.slots {
            true => 0,
            false => self.duration_ms(self.ahead_tokens((reserve.tier, u64::MAX))),
        };
        Some(wait_ms.saturating_add(run_ms))
    }

    fn duration_ms(&self, tokens: TokenCount) -> u64 {
        tokens.0.saturating_mul(1000) / self.tokens_per_s.max(1)
    }

    /// Updates the moving average of the service rate over all concurrent requests.
    fn update_service_rate(&mut self, tokens: TokenCount, took_ms: u64) {
        let in_parallel = self.holders.len() as u64 + 1;
        let tokens = tokens.0.saturating_mul(in_parallel).saturating_mul(1000);
        let tokens_per_s = tokens / took_ms.max(1);
        self.tokens_per_s = self
            .tokens_per_s
            .saturating_mul(7)
            .saturating_add(tokens_per_s)
            / 8;
    }
}

fn total_tokens<'a>(waiting: impl Iterator<Item = &'a QueuedRequest>) -> TokenCount {
    let tokens = waiting.map(|waiting| waiting.reserve.total_tokens.0);
    TokenCount(tokens.fold(0, u64::saturating_add))
}
