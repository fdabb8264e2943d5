//! Byte budget of a gateway: how much it may hold at once of request bodies, buffered responses
//! and incomplete events.
//!
//! Answers the load of many callers that send large bodies at once, or read slowly: without a
//! budget 19 bodies of 4 MB took a gateway over its memory, and requests that had run were lost
//! with the process. [`Usage`] reads no clock and does no I/O.
//!
//! | input | use |
//! |---|---|
//! | bytes held, and the capacity | a reservation that would exceed the capacity is refused |
//! | size of the reservation | large ones leave a part of the capacity to small ones |
//! | how long reservations were held recently | when a refused caller should return |

use crate::{clock, derives::quantity};
use std::sync::{Arc, Mutex, MutexGuard};

quantity! {
    /// Number of bytes.
    ByteCount(u64)
}

/// Maximum size of a response that is buffered completely before it is forwarded. Only a
/// buffered response that breaks off can be retried instead of being passed to the caller; a
/// larger one is passed on as it arrives.
pub const MAX_BUFFERED_BYTES: usize = 1024 * 1024;
/// What is buffered of a response while the budget is used up; the rest is passed on as it arrives.
const MIN_BUFFERED_BYTES: usize = 16 * 1024;
/// A reservation is large if it exceeds the capacity divided by this.
const LARGE_DIVISOR: u64 = 16;
/// Percentage of the capacity that large reservations may fill, so that the many small requests
/// of other callers are still taken.
const LARGE_PERCENT: u64 = 75;
/// A new sample has a weight of one in this many in the average time for which bytes are held.
const HELD_SAMPLES: u64 = 8;
/// Average before any sample: about the time of one large body on a slow link.
const DEFAULT_HELD_MS: u64 = 500;
/// Bounds of the time that a refused caller is told.
const RETRY_AFTER_RANGE_MS: std::ops::RangeInclusive<u64> = 100..=5000;

/// Bytes in use, without clock or I/O.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    capacity: ByteCount,
    used: ByteCount,
    held_ms: u64,
}

impl Usage {
    /// Creates the state of an unused budget.
    pub fn new(capacity: ByteCount) -> Self {
        Self {
            capacity,
            used: ByteCount(0),
            held_ms: DEFAULT_HELD_MS,
        }
    }

    /// Returns the bytes in use.
    pub fn used(&self) -> ByteCount {
        self.used
    }

    /// Takes `more` bytes for a reservation that has `held` already; returns whether they fit.
    pub fn take(&mut self, held: ByteCount, more: ByteCount) -> bool {
        let is_large = held.0.saturating_add(more.0) > self.capacity.0 / LARGE_DIVISOR;
        // A reservation that has the budget for itself takes nothing from others.
        let has_others = self.used > held;
        let limit = match is_large && has_others {
            true => self.capacity.0 / 100 * LARGE_PERCENT,
            false => self.capacity.0,
        };
        let used = self.used.0.saturating_add(more.0);
        let fits = used <= limit;
        if fits {
            self.used = ByteCount(used);
        }
        fits
    }

    /// Gives the bytes of a reservation back that was held for `held_ms`.
    pub fn give_back(&mut self, bytes: ByteCount, held_ms: u64) {
        self.used = ByteCount(self.used.0.saturating_sub(bytes.0));
        // Small ones come and go at once, and say nothing about when large ones fit.
        if bytes.0 > self.capacity.0 / LARGE_DIVISOR {
            let sum_ms = self.held_ms.saturating_mul(HELD_SAMPLES - 1);
            self.held_ms = sum_ms.saturating_add(held_ms) / HELD_SAMPLES;
        }
    }

    /// Returns when a refused caller should return: by then the large bodies held now are gone on
    /// average.
    pub fn retry_after_ms(&self) -> u64 {
        let (start, end) = (RETRY_AFTER_RANGE_MS.start(), RETRY_AFTER_RANGE_MS.end());
        self.held_ms.clamp(*start, *end)
    }
}

/// The budget of a process; clones share it.
#[derive(Clone, Debug)]
pub struct ByteBudget(Arc<Mutex<Usage>>);

/// Bytes of the budget, given back when it is dropped.
#[derive(Debug)]
pub struct ByteReservation {
    budget: ByteBudget,
    bytes: ByteCount,
    since_ms: u64,
}

impl ByteBudget {
    /// Creates a budget of this many bytes.
    pub fn new(capacity: ByteCount) -> Self {
        Self(Arc::new(Mutex::new(Usage::new(capacity))))
    }

    /// Reserves bytes; `None` if they do not fit.
    pub fn reserve(&self, bytes: ByteCount) -> Option<ByteReservation> {
        let mut reservation = ByteReservation {
            budget: self.clone(),
            bytes: ByteCount(0),
            since_ms: clock::boot_ms(),
        };
        reservation.grow(bytes).then_some(reservation)
    }

    /// Returns how much of a response of this length, if it is known, may be buffered, and the
    /// reservation for it.
    pub fn reserve_response(&self, length: Option<usize>) -> (usize, Option<ByteReservation>) {
        let bytes = length.unwrap_or(MAX_BUFFERED_BYTES).min(MAX_BUFFERED_BYTES);
        let reservation = self.reserve(ByteCount(bytes as u64));
        match reservation {
            Some(_) => (MAX_BUFFERED_BYTES, reservation),
            None => (MIN_BUFFERED_BYTES, None),
        }
    }

    /// Returns the bytes in use.
    pub fn used(&self) -> ByteCount {
        self.usage().used()
    }

    /// See [`Usage::retry_after_ms`].
    pub fn retry_after_ms(&self) -> u64 {
        self.usage().retry_after_ms()
    }

    fn usage(&self) -> MutexGuard<'_, Usage> {
        self.0.lock().expect("no holder panics")
    }
}

impl ByteReservation {
    /// Reserves more bytes; returns whether they fit.
    pub fn grow(&mut self, more: ByteCount) -> bool {
        let fits = self.budget.usage().take(self.bytes, more);
        if fits {
            self.bytes = ByteCount(self.bytes.0 + more.0);
        }
        fits
    }

    /// Reserves up to this many bytes in all; returns whether they fit.
    pub fn grow_to(&mut self, bytes: ByteCount) -> bool {
        self.grow(ByteCount(bytes.0.saturating_sub(self.bytes.0)))
    }
}

impl Drop for ByteReservation {
    fn drop(&mut self) {
        let held_ms = clock::boot_ms().saturating_sub(self.since_ms);
        self.budget.usage().give_back(self.bytes, held_ms);
    }
}
