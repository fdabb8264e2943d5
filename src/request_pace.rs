//! Spaces the requests to one target by the limit that it states, without clock or I/O.
//!
//! One process counts for all gateways: the target's agent or, for a target without one, the
//! leader of the control group. While there is no leader gateways draw lots ([`draws_interval`]).
//!
//! | input | effect |
//! |---|---|
//! | the limit | a request is allowed each time the limit allows one more |
//! | time without requests | allows at most one request, and those of a short time at the limit |
//! | a new pace: the limit, the process or the leadership is new | allows none at first |
//! | a limit of nearly nothing | allows a request now and then: only an answer can lift a limit |

use crate::{request_limit::RequestRate, units::*};
use std::hash::{DefaultHasher, Hash, Hasher};

/// A millionth of a request is what a thousandth of a request a second allows in a millisecond.
const MICRO_PER_REQUEST: i64 = 1_000_000;
/// Time at the limit that may accumulate beside a single request. Agents grant slots at
/// intervals, and a high limit must not be lost between them.
const MAX_ACCUMULATED_MS: u64 = 100;
/// Interval of the requests to a target whose limit allows fewer.
const PROBE_INTERVAL_MS: u64 = 10_000;

/// What a target's limit currently allows.
#[derive(Clone, Copy, Debug)]
pub struct RequestPace {
    /// Negative while requests have been allowed in advance.
    micro_requests: i64,
    updated_ms: u64,
}

impl RequestPace {
    /// Creates a pace that allows no request yet.
    pub fn new(now_ms: u64) -> Self {
        Self {
            micro_requests: 0,
            updated_ms: now_ms,
        }
    }

    /// Takes a request; the error is the time in milliseconds until one is allowed.
    pub fn take(&mut self, rate: RequestRate, now_ms: u64) -> Result<(), u64> {
        self.reserve(rate, 0, now_ms).map(|_| ())
    }

    /// Takes a request that may be sent after a delay of at most `max_wait_ms`, and returns that
    /// delay in milliseconds; the error is the delay that it would need.
    pub fn reserve(
        &mut self,
        rate: RequestRate,
        max_wait_ms: u64,
        now_ms: u64,
    ) -> Result<u64, u64> {
        self.update(rate, now_ms);
        match self.wait_ms(rate, 1, now_ms) {
            wait_ms if wait_ms <= max_wait_ms => {
                self.micro_requests -= MICRO_PER_REQUEST;
                Ok(wait_ms)
            }
            wait_ms => Err(wait_ms),
        }
    }

    /// Returns a request that was taken and not sent.
    pub fn give_back(&mut self) {
        self.micro_requests = self.micro_requests.saturating_add(MICRO_PER_REQUEST);
    }

    /// Returns the time in milliseconds until `count` more requests are allowed.
    pub fn wait_ms(&self, rate: RequestRate, count: u64, now_ms: u64) -> u64 {
        let mut pace = *self;
        pace.update(rate, now_ms);
        let wanted = signed(count).saturating_mul(MICRO_PER_REQUEST);
        let missing = wanted.saturating_sub(pace.micro_requests).max(0);
        missing.unsigned_abs().div_ceil(effective_milli_per_s(rate))
    }

    /// Returns the time in milliseconds for which a limit allows one request.
    pub fn interval_ms(rate: RequestRate) -> u64 {
        MICRO_PER_REQUEST
            .unsigned_abs()
            .div_ceil(effective_milli_per_s(rate))
    }

    fn update(&mut self, rate: RequestRate, now_ms: u64) {
        let milli_per_s = effective_milli_per_s(rate);
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms);
        let accumulated = signed(milli_per_s.saturating_mul(MAX_ACCUMULATED_MS));
        let max = MICRO_PER_REQUEST.saturating_add(accumulated);
        let allowed = signed(elapsed_ms.saturating_mul(milli_per_s));
        self.micro_requests = self.micro_requests.saturating_add(allowed).min(max);
        self.updated_ms = self.updated_ms.max(now_ms);
    }
}

/// Part of a limit that all gateways together use while nobody counts: lots may fall together.
const UNCOUNTED_PERCENT: u64 = 50;

/// Returns the current interval of a target's limit if this gateway draws it: it may then send one
/// request in it. An interval is the time for which the limit allows one request, by this gateway's
/// own clock. Each of `gateways` draws one in `gateways` of half of them, whether or not it has
/// requests, so that nothing accumulates; without their number, none.
pub fn draws_interval(
    gateway: &ProcessName,
    target: &TargetName,
    rate: RequestRate,
    gateways: u64,
    now_ms: u64,
) -> Option<u64> {
    let interval = now_ms / RequestPace::interval_ms(rate);
    let mut hasher = DefaultHasher::new();
    (gateway, target, interval).hash(&mut hasher);
    let lots = gateways.saturating_mul(100) / UNCOUNTED_PERCENT;
    (lots > 0 && hasher.finish().is_multiple_of(lots)).then_some(interval)
}

fn effective_milli_per_s(rate: RequestRate) -> u64 {
    let probe_milli_per_s = MICRO_PER_REQUEST.unsigned_abs() / PROBE_INTERVAL_MS;
    rate.milli_per_s.max(probe_milli_per_s)
}

fn signed(number: u64) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}
