//! How much of long and of other work got places of late: a pure decision.
//!
//! While more comes than targets serve, short work goes first, as more callers are then
//! answered in time. Long work must not starve by that. Only a gateway can count it: a
//! request asks several agents, and gets a place at one.
//!
//! | input | use |
//! |---|---|
//! | expected work of each request of a route | what is long |
//! | which got a place | whether long work is behind |

use crate::derives::record;

/// Work is long from this many times the mean of its route on: about the longest tenth, where
/// lengths are spread as those of answers are.
const LONG_WORK_MEANS: u64 = 2;
/// Long work is behind when less than this part of it got a place, against other work of its
/// route, in percent. The users' bound for the largest requests that are served is half; some
/// that got a place run into their deadline.
const MIN_LONG_PERCENT: u64 = 60;
/// The part of a request's work in the mean: one of so many.
const MEAN_SAMPLES: u64 = 64;
/// After how many requests the counts of a route are halved, so that they tell of late.
const HALVING_COUNT: u64 = 256;
/// How many requests must have come before anything is made of the counts: enough for one
/// or two long ones to be among them.
const MIN_COUNT: u64 = 16;

record! {
    /// What came of long and of other work of one route of late.
    #[derive(Copy, Default)]
    pub struct Turnout {
        mean_units: Option<u64>,
        asked: Counts,
        placed: Counts,
    }

    #[derive(Copy, Default)]
    struct Counts {
        long: u64,
        other: u64,
    }
}

impl Turnout {
    fn is_long(&self, work_units: u64) -> bool {
        self.mean_units
            .is_some_and(|mean_units| work_units > mean_units * LONG_WORK_MEANS)
    }

    /// Counts a request that asks for a place, by how much work it is; see [`crate::grants::work_units`].
    pub fn count_asked(&mut self, work_units: u64) {
        let mean_units = self.mean_units.unwrap_or(work_units);
        self.mean_units = Some((mean_units * (MEAN_SAMPLES - 1) + work_units) / MEAN_SAMPLES);
        match self.is_long(work_units) {
            true => self.asked.long += 1,
            false => self.asked.other += 1,
        }
        if self.asked.long + self.asked.other > HALVING_COUNT {
            for counts in [&mut self.asked, &mut self.placed] {
                counts.long /= 2;
                counts.other /= 2;
            }
        }
    }

    /// Counts a request that got one.
    pub fn count_placed(&mut self, work_units: u64) {
        match self.is_long(work_units) {
            true => self.placed.long += 1,
            false => self.placed.other += 1,
        }
    }

    /// Whether a request is to go before others of its tier: it is long, and such got less
    /// than their part of the places.
    pub fn favours(&self, work_units: u64) -> bool {
        self.is_long(work_units) && self.is_long_work_behind()
    }

    fn is_long_work_behind(&self) -> bool {
        let (asked, placed) = (self.asked, self.placed);
        asked.long + asked.other >= MIN_COUNT
            && placed.long * asked.other * 100 < placed.other * asked.long * MIN_LONG_PERCENT
    }
}
