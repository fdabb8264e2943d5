//! What targets said of themselves in their answers: a pure decision.
//!
//! | input | output |
//! |---|---|
//! | an answer that says that its target leaves | that run of the target gets nothing new |
//! | a refusal with a time to come back | it gets nothing until then |
//! | a run of a target, told by name and start | whether it takes work |
//!
//! A target that is started again is another run, about which nothing was said. The
//! directory may list a target as ready long after it said so, or list it again; what the
//! target itself said goes before that.

use crate::{control::directory::TargetEntry, units::TargetName};
use std::collections::HashMap;

/// How long what a target said is kept after it was last listed: directories that are
/// rebuilt may list a target again that was gone for some seconds.
const RETENTION_MS: u64 = 60_000;

/// Whether a target takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It does.
    Available,
    /// Not until this time, in milliseconds since the instance started.
    PausedUntil(u64),
    /// Not any more.
    Draining,
}

struct Report {
    is_draining: bool,
    paused_until_ms: u64,
    listed_ms: u64,
}

/// See the module.
#[derive(Default)]
pub struct AvailabilityTracker(HashMap<(TargetName, u64), Report>);

fn key(target: &TargetEntry) -> (TargetName, u64) {
    (target.name.clone(), target.started_unix_ms)
}

impl AvailabilityTracker {
    /// Notes that a target leaves; returns whether that is news.
    pub fn record_draining(&mut self, target: &TargetEntry, now_ms: u64) -> bool {
        !std::mem::replace(&mut self.report(target, now_ms).is_draining, true)
    }

    /// Notes that a target wants nothing for a while. A shorter time does not take back a
    /// longer one.
    pub fn record_pause(&mut self, target: &TargetEntry, for_ms: u64, now_ms: u64) {
        let report = self.report(target, now_ms);
        report.paused_until_ms = report.paused_until_ms.max(now_ms + for_ms);
    }

    /// Whether a target takes work.
    pub fn get(&self, target: &TargetEntry, now_ms: u64) -> Availability {
        if self.0.is_empty() {
            return Availability::Available;
        }
        match self.0.get(&key(target)) {
            Some(report) if report.is_draining => Availability::Draining,
            Some(report) if now_ms < report.paused_until_ms => {
                Availability::PausedUntil(report.paused_until_ms)
            }
            _ => Availability::Available,
        }
    }

    /// Drops what was said by targets that have not been listed for long.
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
            listed_ms: now_ms,
        })
    }
}
