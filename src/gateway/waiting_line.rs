//! Requests that wait at a gateway for a place, in the order in which they are served.
//!
//! | input | use |
//! |---|---|
//! | the customer's tier, then the route's | a lower rank goes first; a full line drops its highest rank |
//! | when its objective passes | what can still meet it goes before what cannot |
//! | expected work | short requests first, aged so that none starves |
//! | whether long work got less than its part of the places | it goes first until it has |
//! | when it was refused before | who comes back goes before who comes anew |
//!
//! Outputs: who goes next, who is dropped, and when a dropped one should come back.

use crate::{derives::record, units::*};
use std::collections::BTreeMap;

/// How much earlier a request counts as come for each millisecond of waiting, against
/// its work: a request that has waited this many times its work goes before any new one.
const AGING_FACTOR: u64 = 4;

/// Only this part of the expected work counts against a deadline: lengths are estimated by
/// callers, and half of the answers are shorter. Work that is favoured as it is long takes
/// places of others, so all of it counts: it goes where it ends in time.
const WORK_DIVISOR: u64 = 2;
const FAVOURED_WORK_DIVISOR: u64 = 1;

record! {
    /// A request that waits.
    #[derive(Copy)]
    pub struct Waiting {
        /// The tier of its customer; 0 is the highest.
        pub rank: TierRank,
        /// The tier of its route, which decides among customers of one tier.
        pub route_rank: TierRank,
        /// When it came.
        pub arrived_ms: u64,
        /// When its answer stops being of full value.
        pub objective_at_ms: u64,
        /// When its caller leaves if nothing has come.
        pub begin_by_ms: u64,
        /// When its caller leaves in any case.
        pub deadline_at_ms: u64,
        /// How long it would take, roughly.
        pub work_ms: u64,
        /// Whether its caller was refused before and came back.
        pub came_back: bool,
        /// Whether it is long and such are behind; see [`super::turnout`].
        pub is_favoured: bool,
    }
}

/// The tier of a request's customer, then that of its route; the least goes first.
pub type Precedence = (TierRank, TierRank);

/// See [`Waiting::standing`].
pub type Standing = (Precedence, bool);

/// Identifies a request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// The requests of one service that wait.
#[derive(Debug, Default)]
pub struct WaitingLine {
    waiting: BTreeMap<Ticket, Waiting>,
    next: u64,
}

impl WaitingLine {
    /// Lets a request wait.
    pub fn join(&mut self, waiting: Waiting) -> Ticket {
        let ticket = Ticket(self.next);
        self.next += 1;
        self.waiting.insert(ticket, waiting);
        ticket
    }

    /// Takes a request out, as when its caller has left.
    pub fn leave(&mut self, ticket: Ticket) -> Option<Waiting> {
        self.waiting.remove(&ticket)
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// The request that is to go next.
    pub fn first(&self, now_ms: u64) -> Option<Ticket> {
        let first = self
            .waiting
            .iter()
            .min_by_key(|(ticket, waiting)| waiting.sort_key(**ticket, now_ms));
        first.map(|(ticket, _)| *ticket)
    }

    /// Takes out the request that is to go next.
    pub fn next(&mut self, now_ms: u64) -> Option<Ticket> {
        let ticket = self.first(now_ms)?;
        self.waiting.remove(&ticket);
        Some(ticket)
    }

    /// Takes out the request to drop first: of the lowest tier, the one that would go last.
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

    /// How many wait that would go before a request that joins now.
    pub fn ahead_of(&self, joining: &Waiting, now_ms: u64) -> usize {
        let last = joining.sort_key(Ticket(self.next), now_ms);
        let waiting = self.waiting.iter();
        waiting
            .filter(|(ticket, waiting)| waiting.sort_key(**ticket, now_ms) < last)
            .count()
    }
}

impl Waiting {
    /// The tiers by which requests are ordered first.
    pub fn precedence(&self) -> Precedence {
        (self.rank, self.route_rank)
    }

    /// Its precedence, and whether it is late: those of one standing get a place only when
    /// nobody of another one goes before them.
    pub fn standing(&self, now_ms: u64) -> Standing {
        (self.precedence(), self.is_late(now_ms))
    }

    /// The least goes first.
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

    /// Whether its caller would have left before the answer if it got a place then.
    pub fn is_hopeless(&self, placed_ms: u64) -> bool {
        let divisor = match self.is_favoured {
            true => FAVOURED_WORK_DIVISOR,
            false => WORK_DIVISOR,
        };
        let ends_ms = placed_ms + self.work_ms / divisor;
        placed_ms > self.begin_by_ms || ends_ms > self.deadline_at_ms
    }

    /// Whether its answer is no more of full value if it gets a place now.
    pub fn is_late(&self, now_ms: u64) -> bool {
        now_ms > self.objective_at_ms
    }

    /// Smaller goes first: short work, less what it has waited.
    fn urgency(&self, now_ms: u64) -> i64 {
        let waited_ms = now_ms.saturating_sub(self.arrived_ms);
        self.work_ms.cast_signed() - (waited_ms * AGING_FACTOR).cast_signed()
    }
}
