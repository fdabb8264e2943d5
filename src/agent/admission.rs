//! The agent's queue and grants, as pure decisions from inputs and the time.

use super::{outcomes::Outcomes, pace::Pace};
use crate::{
    control::command::{GrantId, Outcome},
    derives::record,
    units::*,
    verdict::Reason,
    wire::Reserve,
};
use std::collections::BTreeMap;

/// How long a grant may stay unused.
pub const GRANT_TTL_MS: u64 = 1500;
/// The rate assumed before anything was measured.
const INITIAL_TOKENS_PER_S: u64 = 1000;
/// The bounds of the advice when to come back.
const RETRY_AFTER_MS: std::ops::RangeInclusive<u64> = 200..=60_000;

record! {
    /// What the target can take at one time.
    #[derive(Copy)]
    pub struct Capacity {
        /// Requests in progress.
        pub slots: usize,
        /// Tokens of prompts and answers in progress.
        pub tokens: TokenCount,
    }

    /// What is to be told to an entry.
    pub enum Decision {
        /// The request has a place.
        Grant {
            /// The request.
            request: RequestId,
            /// Its place.
            grant: GrantId,
        },
        /// The request waits.
        Queue {
            /// The request.
            request: RequestId,
            /// The tokens that are served before it.
            ahead_tokens: TokenCount,
            /// How long that takes at the rate measured.
            wait_ms: u64,
        },
        /// The request has no place here.
        Refuse {
            /// The request.
            request: RequestId,
            /// Why.
            reason: Reason,
            /// When a place is likely.
            retry_after_ms: u64,
        },
    }

    /// What became of a grant.
    pub enum Fate {
        /// It was not used and never will be.
        NotRun,
        /// It is in use.
        Running,
        /// It was used.
        Finished(Outcome),
        /// It is too long ago to tell.
        Unknown,
    }

    enum Phase {
        Granted { at_ms: u64 },
        Running,
    }

    struct Holder {
        request: RequestId,
        tokens: TokenCount,
        answer_tokens: TokenCount,
        phase: Phase,
    }

    struct Waiting {
        reserve: Reserve,
        arrived_ms: u64,
    }
}

/// Why a dispatch was not started. It did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("the grant is unknown, used or out of date")]
pub struct StartError;

/// The queue of one target, ordered by tier and arrival, and its grants.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Admission {
    incarnation: Incarnation,
    capacity: Capacity,
    queue_requests: usize,
    waiting: BTreeMap<(TierRank, u64), Waiting>,
    positions: BTreeMap<RequestId, (TierRank, u64)>,
    holders: BTreeMap<GrantNumber, Holder>,
    used_tokens: u64,
    outcomes: Outcomes,
    next_arrival: u64,
    next_grant: u64,
    tokens_per_s: u64,
    pace: Pace,
}

impl Admission {
    /// An empty queue of an agent that has just started.
    pub fn new(incarnation: Incarnation, capacity: Capacity, queue_requests: usize) -> Self {
        Self {
            incarnation,
            capacity,
            queue_requests,
            waiting: BTreeMap::new(),
            positions: BTreeMap::new(),
            holders: BTreeMap::new(),
            used_tokens: 0,
            outcomes: Outcomes::default(),
            next_arrival: 0,
            next_grant: 1,
            tokens_per_s: INITIAL_TOKENS_PER_S,
            pace: Pace::default(),
        }
    }

    /// Takes a new capacity, as announced by the target.
    pub fn resize(&mut self, capacity: Capacity, now_ms: u64) -> Vec<Decision> {
        self.capacity = capacity;
        self.grant_waiting(now_ms)
    }

    /// Takes a new queue length, as set by the document.
    pub fn set_queue_requests(&mut self, queue_requests: usize) {
        self.queue_requests = queue_requests;
    }

    /// Asks for a place. A full queue displaces its lowest waiting request if
    /// that is of a lower tier, and refuses otherwise.
    pub fn reserve(&mut self, reserve: Reserve, now_ms: u64) -> Vec<Decision> {
        let request = reserve.request;
        if self.positions.contains_key(&request) {
            return Vec::new();
        }
        let late_ms = self
            .expected_ms(&reserve)
            .filter(|ms| *ms > reserve.deadline_ms);
        if let Some(retry_after_ms) = late_ms.filter(|_| !reserve.insist) {
            let reason = Reason::TooSlow;
            return vec![Decision::Refuse {
                request,
                reason,
                retry_after_ms,
            }];
        }
        let mut decisions = Vec::new();
        if self.waiting.len() >= self.queue_requests {
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
            Waiting {
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

    /// Grants a place at once, whatever the target holds.
    pub fn push(&mut self, reserve: &Reserve, now_ms: u64) -> Decision {
        let grant = self.grant(reserve, now_ms);
        Decision::Grant {
            request: reserve.request,
            grant,
        }
    }

    /// Gives up a place in the queue or an unused grant.
    pub fn release(&mut self, request: RequestId, now_ms: u64) -> Vec<Decision> {
        if let Some(position) = self.positions.remove(&request) {
            self.waiting.remove(&position);
        }
        let unused = |holder: &Holder| holder.request == request && holder.phase != Phase::Running;
        let grant = self
            .holders
            .iter()
            .find(|(_, holder)| unused(holder))
            .map(|(number, _)| *number);
        match grant {
            Some(number) => {
                self.remove_holder(number);
                self.grant_waiting(now_ms)
            }
            None => Vec::new(),
        }
    }

    /// Uses a grant, once.
    ///
    /// # Errors
    /// Fails if the grant is not this run's, is not the request's, was used,
    /// was withdrawn or has run out. The dispatch must not be made then.
    pub fn start(
        &mut self,
        request: RequestId,
        grant: GrantId,
        now_ms: u64,
    ) -> Result<(), StartError> {
        let holder = self.holders.get_mut(&grant.number);
        match holder {
            Some(holder) if grant.incarnation == self.incarnation && holder.request == request => {
                match holder.phase {
                    Phase::Granted { at_ms } if now_ms <= at_ms + GRANT_TTL_MS => {
                        holder.phase = Phase::Running;
                        Ok(())
                    }
                    _ => Err(StartError),
                }
            }
            _ => Err(StartError),
        }
    }

    /// Frees the place of a dispatch that has ended, and keeps its outcome.
    /// `took_ms` is given if it was answered whole.
    pub fn finish(
        &mut self,
        grant: GrantId,
        outcome: Outcome,
        took_ms: Option<u64>,
        now_ms: u64,
    ) -> Vec<Decision> {
        if let Some(holder) = self.remove_holder(grant.number) {
            if let Some(took_ms) = took_ms {
                self.measure(holder.tokens, took_ms);
                self.pace.measure(holder.answer_tokens, took_ms);
            }
            self.outcomes.keep(grant.number, outcome);
        }
        self.grant_waiting(now_ms)
    }

    /// Tells what became of a grant, and withdraws it if it is unused, so that
    /// a dispatch that arrives later is refused.
    pub fn fence(&mut self, grant: GrantId) -> Fate {
        let running = self
            .holders
            .get(&grant.number)
            .map(|h| h.phase == Phase::Running);
        match (running, self.outcomes.get(grant.number)) {
            _ if grant.incarnation != self.incarnation => Fate::Unknown,
            _ if grant.number.0 >= self.next_grant => Fate::Unknown,
            (Some(true), _) => Fate::Running,
            (Some(false), _) => {
                self.remove_holder(grant.number);
                Fate::NotRun
            }
            (None, Some(outcome)) => Fate::Finished(outcome.clone()),
            (None, None) if self.outcomes.may_have_forgotten(grant.number) => Fate::Unknown,
            (None, None) => Fate::NotRun,
        }
    }

    /// Withdraws grants that ran out, drops those whose deadline has passed,
    /// and grants what has become free.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Decision> {
        let stale = |holder: &Holder| match holder.phase {
            Phase::Granted { at_ms } => now_ms > at_ms + GRANT_TTL_MS,
            Phase::Running => false,
        };
        let lapsed: Vec<GrantNumber> = self
            .holders
            .iter()
            .filter(|(_, h)| stale(h))
            .map(|(number, _)| *number)
            .collect();
        for number in lapsed {
            self.remove_holder(number);
        }
        let late = |waiting: &Waiting| now_ms > waiting.arrived_ms + waiting.reserve.deadline_ms;
        let expired: Vec<(TierRank, u64)> = self
            .waiting
            .iter()
            .filter(|(_, w)| late(w))
            .map(|(position, _)| *position)
            .collect();
        let mut decisions = Vec::new();
        for position in expired {
            decisions.extend(self.drop_waiting(position, Reason::Expired));
        }
        decisions.extend(self.grant_waiting(now_ms));
        decisions
    }

    /// Drops everything that waits, as when the target leaves.
    pub fn refuse_waiting(&mut self, reason: Reason) -> Vec<Decision> {
        let positions: Vec<(TierRank, u64)> = self.waiting.keys().copied().collect();
        positions
            .into_iter()
            .filter_map(|p| self.drop_waiting(p, reason.clone()))
            .collect()
    }

    /// How many requests wait, by tier.
    pub fn waiting_by_tier(&self) -> BTreeMap<TierRank, usize> {
        let mut counts = BTreeMap::new();
        for (tier, _) in self.waiting.keys() {
            *counts.entry(*tier).or_default() += 1;
        }
        counts
    }

    /// How many dispatches are in progress.
    pub fn running(&self) -> usize {
        self.holders
            .values()
            .filter(|holder| holder.phase == Phase::Running)
            .count()
    }

    /// How many requests hold a place.
    pub fn open_requests(&self) -> usize {
        self.holders.len()
    }

    /// Whether a target that holds this many requests takes no more, its queue included.
    pub fn is_full_with(&self, open_requests: usize) -> bool {
        open_requests + self.waiting.len() >= self.capacity.slots + self.queue_requests
    }

    /// The tokens held by grants and dispatches.
    pub fn used_tokens(&self) -> TokenCount {
        TokenCount(self.used_tokens)
    }

    /// Grants in order while there is room. An empty target takes any request.
    fn grant_waiting(&mut self, now_ms: u64) -> Vec<Decision> {
        let mut decisions = Vec::new();
        while let Some(first) = self.waiting.first_entry() {
            let tokens = self.used_tokens + first.get().reserve.total_tokens.0;
            let within =
                self.holders.len() < self.capacity.slots && tokens <= self.capacity.tokens.0;
            if !within && !self.holders.is_empty() {
                break;
            }
            let Waiting { reserve, .. } = first.remove();
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
        let answer_tokens = reserve.answer_tokens();
        let number = GrantNumber(self.next_grant);
        self.next_grant += 1;
        self.used_tokens += tokens.0;
        let phase = Phase::Granted { at_ms: now_ms };
        self.holders.insert(
            number,
            Holder {
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
        self.drop_waiting(position, Reason::Displaced)
    }

    fn drop_waiting(&mut self, position: (TierRank, u64), reason: Reason) -> Option<Decision> {
        let waiting = self.waiting.remove(&position)?;
        self.positions.remove(&waiting.reserve.request);
        Some(self.refuse(waiting.reserve.request, reason))
    }

    fn refuse(&self, request: RequestId, reason: Reason) -> Decision {
        let ahead = self
            .waiting
            .values()
            .map(|waiting| waiting.reserve.total_tokens.0)
            .sum();
        let retry_after_ms = self.duration_ms(TokenCount(ahead));
        let retry_after_ms = retry_after_ms.clamp(*RETRY_AFTER_MS.start(), *RETRY_AFTER_MS.end());
        Decision::Refuse {
            request,
            reason,
            retry_after_ms,
        }
    }

    fn ahead_tokens(&self, position: (TierRank, u64)) -> TokenCount {
        let ahead = self.waiting.range(..position);
        TokenCount(
            ahead
                .map(|(_, waiting)| waiting.reserve.total_tokens.0)
                .sum(),
        )
    }

    fn remove_holder(&mut self, number: GrantNumber) -> Option<Holder> {
        let holder = self.holders.remove(&number)?;
        self.used_tokens -= holder.tokens.0;
        Some(holder)
    }

    /// How long a request is expected to take here; `None` before it is known.
    fn expected_ms(&self, reserve: &Reserve) -> Option<u64> {
        let run_ms = self.pace.run_ms(reserve.answer_tokens())?;
        let wait_ms = match self.holders.len() < self.capacity.slots {
            true => 0,
            false => self.duration_ms(self.ahead_tokens((reserve.tier, u64::MAX))),
        };
        Some(wait_ms + run_ms)
    }

    fn duration_ms(&self, tokens: TokenCount) -> u64 {
        tokens.0 * 1000 / self.tokens_per_s.max(1)
    }

    /// Follows the rate at which the target serves, over all its places.
    fn measure(&mut self, tokens: TokenCount, took_ms: u64) {
        let in_parallel = self.holders.len() as u64 + 1;
        let tokens_per_s = tokens.0 * in_parallel * 1000 / took_ms.max(1);
        self.tokens_per_s = (self.tokens_per_s * 7 + tokens_per_s) / 8;
    }
}
