//! Availability of targets as reported in their responses, without clock or I/O.
//!
//! | input | effect |
//! |---|---|
//! | a response that reports the target as draining | this run of the target gets no new requests |
//! | a refusal with `Retry-After` | the target gets no new requests until then |
//! | a stated limit on requests a second, or none after one | see [`crate::request_limit`] |
//! | a limit that the directory has | as if the target had stated it here |
//! | the limit allows no request yet | the target gets none until it does, or the limit changes |
//!
//! A run of a target is identified by name and start time, so a restarted target counts as
//! available. The directory may list a draining target as ready for a long time, or list it
//! again; the target's own report takes precedence.

use crate::{
    control::directory::{LimitReport, TargetEntry},
    request_limit::{KnownLimit, RequestLimit, StatedLimit},
    units::TargetName,
};
use std::collections::HashMap;

/// Time that a report is kept after the target was last listed: a rebuilt directory may list a
/// target again that was missing for some seconds.
const RETENTION_MS: u64 = 60_000;

/// Availability of a target for new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// The target accepts requests.
    Available,
    /// The target accepts none before this time, in milliseconds since the instance started.
    PausedUntil(u64),
    /// The target accepts no more requests.
    Draining,
}

struct Report {
    is_draining: bool,
    paused_until_ms: u64,
    limit: KnownLimit,
    /// Time until which its limit allows this gateway no request.
    held_back_until_ms: u64,
    /// Last interval of its limit in which this gateway sent a request that no one counted.
    drawn_interval: Option<u64>,
    listed_ms: u64,
}

/// Latest reports of all targets.
#[derive(Default)]
pub struct AvailabilityTracker(HashMap<(TargetName, u64), Report>);

fn key(target: &TargetEntry) -> (TargetName, u64) {
    (target.name.clone(), target.started_unix_ms)
}

impl AvailabilityTracker {
    /// Records that a target is draining; returns `true` for the first report.
    pub fn record_draining(&mut self, target: &TargetEntry, now_ms: u64) -> bool {
        !std::mem::replace(&mut self.report(target, now_ms).is_draining, true)
    }

    /// Records that a target pauses for `for_ms`. A shorter pause doesn't end a longer one.
    pub fn record_pause(&mut self, target: &TargetEntry, for_ms: u64, now_ms: u64) {
        let report = self.report(target, now_ms);
        report.paused_until_ms = report.paused_until_ms.max(now_ms + for_ms);
    }

    /// Records the limit that the answer to a request sent at `sent_ms` states; returns whether
    /// the target's limit has changed.
    pub fn record_limit(
        &mut self,
        target: &TargetEntry,
        stated: StatedLimit,
        sent_ms: u64,
        now_ms: u64,
    ) -> bool {
        let has_limit = matches!(stated, StatedLimit::Limited(_));
        if !has_limit && !self.0.contains_key(&key(target)) {
            return false;
        }
        let report = self.report(target, now_ms);
        let is_changed = report.limit.observe(stated, sent_ms, now_ms);
        if is_changed {
            report.held_back_until_ms = 0;
        }
        is_changed
    }

    /// Records that the target's limit allows no request for `for_ms`.
    pub fn record_held_back(&mut self, target: &TargetEntry, for_ms: u64, now_ms: u64) {
        self.report(target, now_ms).held_back_until_ms = now_ms + for_ms;
    }

    /// Takes over the limit of a target that the directory has; returns whether it was news.
    pub fn merge_limit(&mut self, target: &TargetEntry, now_ms: u64) -> bool {
        if !target.limit.supersedes(&self.limit(target)) {
            return false;
        }
        let report = self.report(target, now_ms);
        report.held_back_until_ms = 0;
        report.limit.merge(target.limit, now_ms)
    }

    /// Returns the limit of a target if the directory lacks it.
    pub fn limit_report(&self, target: &TargetEntry) -> Option<LimitReport> {
        let limit = self.limit(target);
        limit.supersedes(&target.limit).then(|| LimitReport {
            target: target.name.clone(),
            started_unix_ms: target.started_unix_ms,
            limit,
        })
    }

    /// Returns the limit of a target.
    pub fn limit(&self, target: &TargetEntry) -> RequestLimit {
        let report = self.0.get(&key(target));
        report.map_or_else(RequestLimit::default, |report| report.limit.limit())
    }

    /// Takes the request of an interval of the target's limit that this gateway drew; returns
    /// `false` if it has been taken.
    pub fn take_drawn(&mut self, target: &TargetEntry, interval: u64, now_ms: u64) -> bool {
        let drawn = &mut self.report(target, now_ms).drawn_interval;
        drawn.replace(interval) != Some(interval)
    }

    /// Returns the availability of a target.
    pub fn get(&self, target: &TargetEntry, now_ms: u64) -> Availability {
        if self.0.is_empty() {
            return Availability::Available;
        }
        match self.0.get(&key(target)) {
            Some(report) if report.is_draining => Availability::Draining,
            Some(report) => match report.paused_until_ms.max(report.held_back_until_ms) {
                until_ms if now_ms < until_ms => Availability::PausedUntil(until_ms),
                _ => Availability::Available,
            },
            None => Availability::Available,
        }
    }

    /// Removes the reports of targets that have not been listed for some time.
    pub fn sweep(&mut self, is_listed: impl Fn(&TargetName, u64) -> bool, now_ms: u64) {
        self.0.retain(|(name, started_unix_ms), report| {
            if is_listed(name, *started_unix_ms) {
                report.listed_ms = now_ms;
            }
            now_ms < report.listed_ms.max(report.paused_until_ms) + RETENTION_MS
        });
    }

    fn report(&mut self, target: &TargetEntry, now_ms: u64) -> &mut Report {
        self.0.entry(key(target)).or_insert(Report {
            is_draining: false,
            paused_until_ms: 0,
            limit: KnownLimit::default(),
            held_back_until_ms: 0,
            drawn_interval: None,
            listed_ms: now_ms,
        })
    }
}
