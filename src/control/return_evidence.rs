//! Decides when a run that counts as leaving or as gone is there after all. Pure: no I/O and no clock.
//!
//! A withdrawal names a target and no run, so it may be the late repetition of an earlier run's; an
//! entry of another writer may say that a target leaves. One announcement after that may be late
//! itself. Several, with rising sequence numbers and over longer than a call is late, show that the
//! run is there. Announcements that arrive together were held up together and count as one.
//!
//! | what says that the run has left | it is there after announcements over |
//! |---|---|
//! | any announcement or withdrawal | [`RETURN_MS`] |
//! | a withdrawal at most [`LATE_MS`] after that of an earlier run | [`REPEATED_RETURN_MS`] |
//!
//! Until then it gets no requests: a run that left and is listed would break requests off.

use super::{
    departures::LATE_MS,
    directory::{AnnouncementVersion, TargetAnnouncement},
};

/// Time over which a run has to announce itself to be listed again: calls are late by less.
pub const RETURN_MS: u64 = LATE_MS;
/// The same after a withdrawal that is probably a repetition: two intervals of announcements.
pub const REPEATED_RETURN_MS: u64 = 2000;
/// Number of announcements that count, at least.
const MIN_ANNOUNCEMENTS: u32 = 3;
/// Time between two announcements that count; those held up together arrive within less.
const MIN_SPACING_MS: u64 = 500;
/// Time without an announcement after which those before it do not count.
const MAX_GAP_MS: u64 = 5000;

/// The announcements of a run since something said that it has left.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReturnEvidence {
    latest: TargetAnnouncement,
    first_ms: u64,
    counted_ms: u64,
    count: u32,
}

impl ReturnEvidence {
    /// Begins with the first announcement.
    pub fn begin(announcement: TargetAnnouncement, now_ms: u64) -> Self {
        Self {
            latest: announcement,
            first_ms: now_ms,
            counted_ms: now_ms,
            count: 1,
        }
    }

    /// Adds an announcement. One of another run, or after a long gap, begins anew.
    pub fn hear(&mut self, announcement: TargetAnnouncement, now_ms: u64) {
        let is_same_run =
            announcement.version().started_unix_ms == self.latest.version().started_unix_ms;
        let since_ms = now_ms.saturating_sub(self.counted_ms);
        match () {
            () if !is_same_run || since_ms > MAX_GAP_MS => {
                *self = Self::begin(announcement, now_ms);
            }
            () if announcement.sequence <= self.latest.sequence => {}
            () => {
                self.latest = announcement;
                if since_ms >= MIN_SPACING_MS {
                    self.counted_ms = now_ms;
                    self.count += 1;
                }
            }
        }
    }

    /// Returns whether the run is there, if announcements over this time show it.
    pub fn is_proved(&self, required_ms: u64) -> bool {
        self.count >= MIN_ANNOUNCEMENTS && self.counted_ms - self.first_ms >= required_ms
    }

    /// When the latest announcement that counts arrived.
    pub fn counted_ms(&self) -> u64 {
        self.counted_ms
    }

    /// The version of the latest announcement.
    pub fn version(&self) -> AnnouncementVersion {
        self.latest.version()
    }

    /// The latest announcement.
    pub fn into_announcement(self) -> TargetAnnouncement {
        self.latest
    }
}
