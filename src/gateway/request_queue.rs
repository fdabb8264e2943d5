//! Priority queue of the requests that wait for a slot.
//!
//! | input | use |
//! |---|---|
//! | tier of the customer, then of the route | smaller rank first |
//! | whether long work got less than its share of the slots | long requests go first until it has |
//! | time of the objective | requests that can still meet it go first |
//! | tag of the customer, with fair shares at an agent | a customer that has had more than its share goes after others; see [`crate::scheduling::fair_share`] |
//! | whether the request was refused before | retried requests go before new ones |
//! | expected work | shortest job first, with aging against starvation |
//!
//! The inputs are in the order of the sort key: each one decides among requests that are equal in
//! those before it. The request with the smallest key is served next, the one with the greatest
//! key is dropped first.

use crate::{
    derives::record,
    scheduling::fair_share::{ExpectedTags, ShareHolder, VirtualTime},
    units::*,
};
use std::collections::BTreeMap;

/// Weight of each millisecond of waiting against a millisecond of expected work. A request that
/// has waited for its expected work divided by this goes before any new one that is equal in all
/// inputs but the work.
const AGING_FACTOR: u64 = 4;

/// Divisor of the expected work that counts against a deadline: callers estimate the lengths,
/// and half of the responses are shorter than estimated.
const WORK_DIVISOR: u64 = 2;
/// The same for long work with priority. It takes slots from others, so all of it counts, and it
/// runs only where it finishes in time.
const FAVOURED_WORK_DIVISOR: u64 = 1;

record! {
    /// A request that waits for a slot.
    #[derive(Copy)]
    pub struct QueuedRequest {
        /// Tier of the customer; 0 is served first.
        pub rank: TierRank,
        /// Tier of the route, which decides among customers of the same tier.
        pub route_rank: TierRank,
        /// Arrival time.
        pub arrived_ms: u64,
        /// Time at which the objective passes.
        pub objective_at_ms: u64,
        /// Latest time to start the request so that its first event arrives before the caller
        /// disconnects.
        #[serde(rename = "begin_by_ms")]
        pub first_event_by_ms: u64,
        /// Time at which the caller disconnects without a complete response.
        pub deadline_at_ms: u64,
        /// Expected run time. Set by the agent; the gateway's own queue has no estimate and uses 0.
        #[serde(rename = "work_ms")]
        pub expected_run_ms: u64,
        /// Whether the request was refused before and its caller retries it. Set by the agent;
        /// always false in the gateway's own queue.
        #[serde(rename = "came_back")]
        pub is_retry: bool,
        /// Whether the request is long and has priority over others of its tier; see [`super::starvation`].
        pub is_favoured: bool,
        /// Whose slot time the request is charged to, with fair shares.
        pub share: ShareHolder,
    }
}

/// Tier of a request's customer, then of its route; the smallest goes first.
pub type Precedence = (TierRank, TierRank);

/// See [`QueuedRequest::priority_class`].
pub type PriorityClass = (Precedence, bool);

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Queued requests of one service.
#[derive(Debug, Default)]
pub struct RequestQueue {
    waiting: BTreeMap<Ticket, QueuedRequest>,
    next: u64,
}

impl RequestQueue {
    /// Adds a request and returns its ticket.
    pub fn push(&mut self, waiting: QueuedRequest) -> Ticket {
        let ticket = Ticket(self.next);
        self.next += 1;
        self.waiting.insert(ticket, waiting);
        ticket
    }

    /// Removes a request, for example when its caller has disconnected.
    pub fn remove(&mut self, ticket: Ticket) -> Option<QueuedRequest> {
        self.waiting.remove(&ticket)
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the request that is served next.
    pub fn first(&self, now_ms: u64) -> Option<Ticket> {
        self.first_by_tag(now_ms, |_| VirtualTime::default())
    }

    /// Returns the request that is served next if customers have these tags.
    pub fn first_by_tag(
        &self,
        now_ms: u64,
        tag: impl Fn(&QueuedRequest) -> VirtualTime,
    ) -> Option<Ticket> {
        let first = self
            .waiting
            .iter()
            .min_by_key(|(ticket, waiting)| waiting.sort_key(**ticket, tag(waiting), now_ms));
        first.map(|(ticket, _)| *ticket)
    }

    /// Returns the waiting requests, and one that would join, in the order in which they are served.
    /// The joining one has a ticket of its own. With fair shares, `tags` are those of the customers.
    pub fn in_order(
        &self,
        joining: Option<&QueuedRequest>,
        tags: Option<ExpectedTags>,
        now_ms: u64,
    ) -> Vec<Ticket> {
        let joining = joining.map(|joining| (Ticket(self.next), *joining));
        let waiting = self
            .waiting
            .iter()
            .map(|(ticket, waiting)| (*ticket, *waiting));
        let mut order: Vec<(Ticket, QueuedRequest)> = waiting.chain(joining).collect();
        order.sort_by_cached_key(|(ticket, waiting)| waiting.untagged_key(*ticket, now_ms));
        if let Some(mut tags) = tags {
            // Each request of a customer goes behind those before it in the order without shares.
            let mut tagged = |(ticket, waiting): (Ticket, QueuedRequest)| {
                let (precedence, run_ms) = (waiting.precedence(), waiting.expected_run_ms);
                let tag = tags.take(precedence, waiting.share, run_ms);
                (waiting.sort_key(ticket, tag, now_ms), ticket)
            };
            let mut keyed: Vec<_> = order.into_iter().map(&mut tagged).collect();
            keyed.sort_by(|(one, _), (other, _)| one.cmp(other));
            return keyed.into_iter().map(|(_, ticket)| ticket).collect();
        }
        order.into_iter().map(|(ticket, _)| ticket).collect()
    }

    /// Returns the ticket that the next request gets.
    pub fn next_ticket(&self) -> Ticket {
        Ticket(self.next)
    }

    /// Removes the request that is served next.
    pub fn next(&mut self, now_ms: u64) -> Option<Ticket> {
        let ticket = self.first(now_ms)?;
        self.waiting.remove(&ticket);
        Some(ticket)
    }

    /// Removes the request that is dropped first: the one that would be served last.
    pub fn drop_last(&mut self, now_ms: u64) -> Option<(Ticket, QueuedRequest)> {
        let last = self
            .waiting
            .iter()
            .max_by_key(|(ticket, waiting)| waiting.untagged_key(**ticket, now_ms));
        let ticket = last.map(|(ticket, _)| *ticket)?;
        self.waiting
            .remove(&ticket)
            .map(|waiting| (ticket, waiting))
    }

    /// Returns the number of waiting requests that would be served before a new one.
    pub fn count_ahead_of(&self, joining: &QueuedRequest, now_ms: u64) -> usize {
        let last = joining.untagged_key(Ticket(self.next), now_ms);
        let waiting = self.waiting.iter();
        waiting
            .filter(|(ticket, waiting)| waiting.untagged_key(**ticket, now_ms) < last)
            .count()
    }
}

impl QueuedRequest {
    /// Returns the primary sort key.
    pub fn precedence(&self) -> Precedence {
        (self.rank, self.route_rank)
    }

    /// Returns the precedence and whether the objective has passed. Of requests that are equal in
    /// `is_favoured`, those of a greater class get a slot only while none of a smaller one waits.
    pub fn priority_class(&self, now_ms: u64) -> PriorityClass {
        (self.precedence(), self.is_past_objective(now_ms))
    }

    /// Returns the sort key; the smallest goes first.
    fn sort_key(&self, ticket: Ticket, tag: VirtualTime, now_ms: u64) -> impl Ord + use<> {
        let (is_past_objective, is_new) = (self.is_past_objective(now_ms), !self.is_retry);
        let urgency = self.urgency(now_ms);
        let precedence = self.precedence();
        (
            precedence,
            !self.is_favoured,
            is_past_objective,
            tag,
            is_new,
            urgency,
            ticket,
        )
    }

    fn untagged_key(&self, ticket: Ticket, now_ms: u64) -> impl Ord + use<> {
        self.sort_key(ticket, VirtualTime::default(), now_ms)
    }

    /// Returns whether the request would miss its deadline if it got a slot at `placed_ms`.
    pub fn misses_deadline(&self, placed_ms: u64) -> bool {
        let divisor = match self.is_favoured {
            true => FAVOURED_WORK_DIVISOR,
            false => WORK_DIVISOR,
        };
        let ends_ms = placed_ms.saturating_add(self.expected_run_ms / divisor);
        placed_ms > self.first_event_by_ms || ends_ms > self.deadline_at_ms
    }

    /// Returns whether the objective has passed.
    pub fn is_past_objective(&self, now_ms: u64) -> bool {
        now_ms > self.objective_at_ms
    }

    /// Returns the expected work reduced by the weighted wait; the smallest goes first.
    fn urgency(&self, now_ms: u64) -> i64 {
        let waited_ms = now_ms.saturating_sub(self.arrived_ms);
        let signed = |number: u64| i64::try_from(number).unwrap_or(i64::MAX);
        let aged_ms = signed(waited_ms.saturating_mul(AGING_FACTOR));
        signed(self.expected_run_ms).saturating_sub(aged_ms)
    }
}
