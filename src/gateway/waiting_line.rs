//! Priority queue of the requests that wait for a slot.
//!
//! | input | use |
//! |---|---|
//! | tier of the customer, then of the route | lower ranks first; a full queue drops the highest rank |
//! | time of the objective | requests that can still meet it go first |
//! | expected work | shortest job first, with aging against starvation |
//! | whether long work got less than its share of the slots | long requests go first until it has |
//! | whether the request was refused before | retried requests go before new ones |
//!
//! The queue decides which request is served next and which one is dropped.

use crate::{derives::record, units::*};
use std::collections::BTreeMap;

/// Weight of each millisecond of waiting against a millisecond of expected work. A request that
/// has waited for its expected work divided by this goes before any new one.
const AGING_FACTOR: u64 = 4;

/// Divisor of the expected work that counts against a deadline: callers estimate the lengths,
/// and half of the responses are shorter. Long work with priority takes slots from others, so
/// all of it counts, and it runs only where it finishes in time.
const WORK_DIVISOR: u64 = 2;
const FAVOURED_WORK_DIVISOR: u64 = 1;

record! {
    /// A request that waits for a slot.
    #[derive(Copy)]
    pub struct Waiting {
        /// Tier of the customer; 0 is the highest.
        pub rank: TierRank,
        /// Tier of the route, which decides among customers of the same tier.
        pub route_rank: TierRank,
        /// Arrival time.
        pub arrived_ms: u64,
        /// Time at which the objective passes.
        pub objective_at_ms: u64,
        /// Time at which the caller disconnects without a first event.
        pub begin_by_ms: u64,
        /// Time at which the caller disconnects without a complete response.
        pub deadline_at_ms: u64,
        /// Estimated run time.
        pub work_ms: u64,
        /// Whether the request was refused before and its caller retries it.
        pub came_back: bool,
        /// Whether the request is long and has priority; see [`super::turnout`].
        pub is_favoured: bool,
    }
}

/// Tier of a request's customer, then of its route; the smallest goes first.
pub type Precedence = (TierRank, TierRank);

/// See [`Waiting::standing`].
pub type Standing = (Precedence, bool);

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Waiting requests of one service.
#[derive(Debug, Default)]
pub struct WaitingLine {
    waiting: BTreeMap<Ticket, Waiting>,
    next: u64,
}

impl WaitingLine {
    /// Adds a request and returns its ticket.
    pub fn join(&mut self, waiting: Waiting) -> Ticket {
        let ticket = Ticket(self.next);
        self.next += 1;
        self.waiting.insert(ticket, waiting);
        ticket
    }

    /// Removes a request, for example when its caller has disconnected.
    pub fn leave(&mut self, ticket: Ticket) -> Option<Waiting> {
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
        let first = self
            .waiting
            .iter()
            .min_by_key(|(ticket, waiting)| waiting.sort_key(**ticket, now_ms));
        first.map(|(ticket, _)| *ticket)
    }

    /// Removes the request that is served next.
    pub fn next(&mut self, now_ms: u64) -> Option<Ticket> {
        let ticket = self.first(now_ms)?;
        self.waiting.remove(&ticket);
        Some(ticket)
    }

    /// Removes the request that is dropped first: the one of the lowest tier that would be
    /// served last.
    pub fn drop_last(&mut self, now_ms: u64) -> Option<(Ticket, Waiting)> {
        let last = self
            .waiting
            .iter()
            .max_by_key(|(ticket, waiting)| waiting.sort_key(**ticket, now_ms));
        let ticket = last.map(|(ticket, _)| *ticket)?;
        self.waiting
            .remove(&ticket)
            .map(|waiting| (ticket, waiting))
    }

    /// Returns the number of waiting requests that would be served before a new one.
    pub fn ahead_of(&self, joining: &Waiting, now_ms: u64) -> usize {
        let last = joining.sort_key(Ticket(self.next), now_ms);
        let waiting = self.waiting.iter();
        waiting
            .filter(|(ticket, waiting)| waiting.sort_key(**ticket, now_ms) < last)
            .count()
    }
}

impl Waiting {
    /// Returns the primary sort key.
    pub fn precedence(&self) -> Precedence {
        (self.rank, self.route_rank)
    }

    /// Returns the precedence and whether the objective has passed. Requests of one standing
    /// get a slot only while no request of a higher standing waits.
    pub fn standing(&self, now_ms: u64) -> Standing {
        (self.precedence(), self.is_late(now_ms))
    }

    /// Returns the sort key; the smallest goes first.
    fn sort_key(&self, ticket: Ticket, now_ms: u64) -> impl Ord + use<> {
        let (is_late, is_new) = (self.is_late(now_ms), !self.came_back);
        let urgency = self.urgency(now_ms);
        let precedence = self.precedence();
        (
            precedence,
            !self.is_favoured,
            is_late,
            is_new,
            urgency,
            ticket,
        )
    }

    /// Returns whether the request would miss its deadline if it got a slot at `placed_ms`.
    pub fn is_hopeless(&self, placed_ms: u64) -> bool {
        let divisor = match self.is_favoured {
            true => FAVOURED_WORK_DIVISOR,
            false => WORK_DIVISOR,
        };
        let ends_ms = placed_ms + self.work_ms / divisor;
        placed_ms > self.begin_by_ms || ends_ms > self.deadline_at_ms
    }

    /// Returns whether the objective has passed.
    pub fn is_late(&self, now_ms: u64) -> bool {
        now_ms > self.objective_at_ms
    }

    /// Returns the expected work reduced by the weighted wait; the smallest goes first.
    fn urgency(&self, now_ms: u64) -> i64 {
        let waited_ms = now_ms.saturating_sub(self.arrived_ms);
        self.work_ms.cast_signed() - (waited_ms * AGING_FACTOR).cast_signed()
    }
}
