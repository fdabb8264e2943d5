//! Spaces the requests of all gateways to targets that state a limit and have no agent; kept by
//! the leader. Pure: no I/O and no clock.
//!
//! | input | use |
//! |---|---|
//! | a target's limit, as the asking gateway knows it | requests are allowed no faster; see [`RequestPace`] |
//! | maximum wait of the request | allowed in advance and delayed if the limit allows it by then |
//! | earlier refusals | a refused gateway is told to come after those refused before it |
//! | more requests of a gateway that was refused | told the same time; they do not add to the backlog |
//! | a changed limit | earlier refusals are forgotten |
//! | a later start of the target | its limit and pace are new |
//!
//! A new leader does not know what its predecessor allowed, so each pace starts with nothing.

use super::accounts::ChargeResult;
use crate::{
    derives::quantity,
    request_limit::{KnownLimit, RequestLimit, RequestRate},
    request_pace::RequestPace,
    units::TargetName,
};
use std::collections::BTreeMap;

/// Maximum time that a refused request is told to wait, unless the limit alone takes longer.
const MAX_BACKLOG_MS: u64 = 5000;
/// Time without requests after which a target is forgotten.
const RETENTION_MS: u64 = 60_000;

quantity! {
    /// Identifies a gateway's link to the leader for as long as it is open.
    LinkNumber(u64)
}

struct TargetPace {
    started_unix_ms: u64,
    limit: KnownLimit,
    pace: RequestPace,
    /// Time that the limit needs for the gateways that were refused and told to come later.
    backlog_ms: u64,
    /// When the refused gateway at each link is to ask again.
    retry_at_ms: BTreeMap<LinkNumber, u64>,
    used_ms: u64,
}

/// The paces of all targets without an agent that state a limit. See the module documentation.
#[derive(Default)]
pub struct TargetPaces {
    by_target: BTreeMap<TargetName, TargetPace>,
}

impl TargetPaces {
    /// Allows a request of the gateway at `link` to a run of a target, after a delay of at most
    /// `max_wait_ms`, or refuses it. A gateway that knows only an earlier run is refused.
    pub fn take(
        &mut self,
        link: LinkNumber,
        target: &TargetName,
        started_unix_ms: u64,
        limit: RequestLimit,
        max_wait_ms: u64,
        now_ms: u64,
    ) -> ChargeResult {
        let allowed = |after_ms| ChargeResult::Charged {
            is_ample: false,
            after_ms,
        };
        let known = self.run(target, started_unix_ms, now_ms);
        if known.started_unix_ms != started_unix_ms {
            return ChargeResult::Refused {
                wait_ms: MAX_BACKLOG_MS,
            };
        }
        if known.limit.limit().rate.is_none() && limit.rate.is_some() {
            known.pace = RequestPace::new(now_ms);
        }
        if known.limit.merge(limit, now_ms) {
            known.retry_at_ms.clear();
            known.backlog_ms = 0;
        }
        let elapsed_ms = now_ms.saturating_sub(known.used_ms);
        known.backlog_ms = known.backlog_ms.saturating_sub(elapsed_ms);
        known.used_ms = now_ms;
        let Some(rate) = known.limit.limit().rate else {
            return allowed(0);
        };
        match known.pace.reserve(rate, max_wait_ms, now_ms) {
            Ok(after_ms) => allowed(after_ms),
            Err(wait_ms) => ChargeResult::Refused {
                wait_ms: known.defer(link, rate, wait_ms, now_ms),
            },
        }
    }

    /// Forgets a gateway whose link has ended.
    pub fn forget(&mut self, link: LinkNumber) {
        for known in self.by_target.values_mut() {
            known.retry_at_ms.remove(&link);
        }
    }

    /// Returns a request that was allowed and not sent.
    pub fn give_back(&mut self, target: &TargetName, started_unix_ms: u64) {
        match self.by_target.get_mut(target) {
            Some(known) if known.started_unix_ms == started_unix_ms => known.pace.give_back(),
            _ => {}
        }
    }

    /// The known run of a target, or this one if it is a later one.
    fn run(&mut self, target: &TargetName, started_unix_ms: u64, now_ms: u64) -> &mut TargetPace {
        let is_known = self
            .by_target
            .get(target)
            .is_some_and(|known| known.started_unix_ms >= started_unix_ms);
        if !is_known {
            self.by_target
                .retain(|_, known| now_ms < known.used_ms + RETENTION_MS);
            let new = TargetPace {
                started_unix_ms,
                limit: KnownLimit::default(),
                pace: RequestPace::new(now_ms),
                backlog_ms: 0,
                retry_at_ms: BTreeMap::new(),
                used_ms: now_ms,
            };
            self.by_target.insert(target.clone(), new);
        }
        self.by_target
            .get_mut(target)
            .expect("it is known or was just added")
    }
}

impl TargetPace {
    /// Returns the time in milliseconds after which a refused gateway is to ask again. `wait_ms` is
    /// the time until the limit allows a request.
    fn defer(&mut self, link: LinkNumber, rate: RequestRate, wait_ms: u64, now_ms: u64) -> u64 {
        let retry_at_ms = self.retry_at_ms.entry(link).or_default();
        if *retry_at_ms > now_ms {
            return *retry_at_ms - now_ms;
        }
        let longest_ms = wait_ms.max(MAX_BACKLOG_MS);
        let wait_ms = (wait_ms + self.backlog_ms).min(longest_ms);
        let interval_ms = RequestPace::interval_ms(rate);
        self.backlog_ms = (self.backlog_ms + interval_ms).min(MAX_BACKLOG_MS);
        *retry_at_ms = now_ms + wait_ms;
        wait_ms
    }
}
