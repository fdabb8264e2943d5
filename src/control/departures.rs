//! Targets that have said that they leave, or have withdrawn: part of the replicated state, so that
//! no later leader lists them as ready. Pure: no I/O and no clock.
//!
//! [`Departure::standing`] decides for the directory of a leader, for the targets that an instance
//! caches, and for the view of a process:
//!
//! | run that is listed | the latest departure of the target says | the run |
//! |---|---|---|
//! | any | nothing | serves |
//! | began later | any | serves |
//! | the one that departed, or an earlier one | it leaves | leaves |
//! | the one that departed, or an earlier one | it has withdrawn | is not listed |
//! | any, within [`LATE_MS`] | a run that the leader did not know has withdrawn | is not listed |

use super::directory::AnnouncementVersion;
use crate::{derives::record, units::TargetName};
use std::collections::VecDeque;

/// Maximum number of departures; the oldest are forgotten, long after their targets have ended.
const MAX_DEPARTURES: usize = 1024;

/// Time for which announcements of a target that withdrew before it was known count as late ones.
pub const LATE_MS: u64 = 10_000;

/// Stands for a run that is not known; no announcement has such a version.
const UNKNOWN_RUN: AnnouncementVersion = AnnouncementVersion {
    started_unix_ms: 0,
    sequence: u64::MAX - 1,
};

record! {
    /// A run of a target that gets no new requests.
    pub struct Departure {
        /// The target.
        pub target: TargetName,
        /// The announcement with which it said so; of a withdrawal, the last one before.
        pub version: AnnouncementVersion,
        /// Whether it has withdrawn.
        pub has_withdrawn: bool,
    }

    /// The latest departures.
    #[derive(Default)]
    pub struct Departures(VecDeque<Departure>);

    /// A run that is there although a departure says that it leaves or has withdrawn.
    pub struct Return {
        /// The target.
        pub target: TargetName,
        /// The latest announcement of the run.
        pub version: AnnouncementVersion,
    }

    /// What a departure makes of a run of its target.
    #[derive(Copy)]
    pub enum Standing {
        /// It gets new requests.
        Serving,
        /// It gets no new requests.
        Leaving,
        /// It is not listed any more.
        Withdrawn,
    }
}

impl Departure {
    /// The withdrawal of a target of which no run is known. It holds for [`LATE_MS`] from when an
    /// instance learns of it: a later run cannot be told from the one that withdrew.
    pub fn of_unknown_run(target: TargetName) -> Self {
        Self {
            target,
            version: UNKNOWN_RUN,
            has_withdrawn: true,
        }
    }

    /// Whether it is that of a target of which no run was known.
    pub fn is_of_unknown_run(&self) -> bool {
        self.version == UNKNOWN_RUN
    }

    fn is_ended_by(&self, back: &Return) -> bool {
        self.target == back.target
            && self.standing(back.version.started_unix_ms) != Standing::Serving
    }

    /// The standing of a run of this target.
    pub fn standing(&self, started_unix_ms: u64) -> Standing {
        match started_unix_ms <= self.version.started_unix_ms {
            false if self.is_of_unknown_run() => Standing::Withdrawn,
            false => Standing::Serving,
            true if self.has_withdrawn => Standing::Withdrawn,
            true => Standing::Leaving,
        }
    }
}

impl Departures {
    /// Records a departure, in the place of an earlier one of the same target. One of an unknown run
    /// is not kept, as it would bind later runs.
    pub fn record(&mut self, departure: Departure) {
        if departure.is_of_unknown_run() || self.covers(&departure) {
            return;
        }
        self.0.retain(|known| known.target != departure.target);
        self.0.push_back(departure);
        if self.0.len() > MAX_DEPARTURES {
            self.0.pop_front();
        }
    }

    /// Forgets the departure that a return ends: of that run or, by another writer, of a later one.
    pub fn forget(&mut self, back: &Return) {
        self.0.retain(|known| !known.is_ended_by(back));
    }

    /// Whether the departure of that run is recorded.
    pub fn covers(&self, departure: &Departure) -> bool {
        if departure.is_of_unknown_run() {
            return false;
        }
        let known = self.0.iter().find(|known| known.target == departure.target);
        known.is_some_and(|known| {
            let (known_start, start) = (
                known.version.started_unix_ms,
                departure.version.started_unix_ms,
            );
            known_start > start
                || known_start == start && (known.has_withdrawn || !departure.has_withdrawn)
        })
    }

    /// All of them, the oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Departure> {
        self.0.iter()
    }
}

/// The latest departures with the times at which an instance learned of them: what a process is told
/// whose view was last confirmed some time ago.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecentDepartures(VecDeque<(u64, Departure)>);

impl RecentDepartures {
    /// Records a departure that is committed, as this instance has just learned.
    pub fn learn(&mut self, departure: Departure, now_ms: u64) {
        self.0.retain(|(_, known)| known.target != departure.target);
        self.0.push_back((now_ms, departure));
        if self.0.len() > MAX_DEPARTURES {
            self.0.pop_front();
        }
    }

    /// Forgets the departure that a return ends.
    pub fn forget(&mut self, back: &Return) {
        self.0.retain(|(_, known)| !known.is_ended_by(back));
    }

    /// Returns whether a run of this target has withdrawn within [`LATE_MS`] that began before this
    /// one.
    pub fn has_earlier_withdrawal(&self, departure: &Departure, now_ms: u64) -> bool {
        self.0.iter().any(|(at_ms, known)| {
            known.target == departure.target
                && known.has_withdrawn
                && known.version.started_unix_ms < departure.version.started_unix_ms
                && now_ms < at_ms + LATE_MS
        })
    }

    /// The targets of unknown runs that have withdrawn, each with the time until which its
    /// announcements count as late.
    pub fn late_until(&self, now_ms: u64) -> impl Iterator<Item = (&TargetName, u64)> {
        let unknown = self
            .0
            .iter()
            .filter(|(_, departure)| departure.is_of_unknown_run());
        let late = unknown.map(|(at_ms, departure)| (&departure.target, at_ms + LATE_MS));
        late.filter(move |(_, until_ms)| now_ms < *until_ms)
    }

    /// Those that were learned within this time.
    pub fn within(&self, age_ms: u64, now_ms: u64) -> Vec<Departure> {
        let since_ms = now_ms.saturating_sub(age_ms);
        let recent = self.0.iter().filter(|(at_ms, departure)| {
            *at_ms >= since_ms && (!departure.is_of_unknown_run() || now_ms < at_ms + LATE_MS)
        });
        recent.map(|(_, departure)| departure.clone()).collect()
    }
}
