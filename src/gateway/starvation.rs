//! Starvation protection for long requests, without clock or I/O.
//!
//! Under overload, short requests go first, because more callers then get their response in
//! time. Long requests must not starve. The recent slots of long and other requests are counted
//! by the gateway, where each request appears once: it asks several agents and gets a slot at
//! one.
//!
//! | input | use |
//! |---|---|
//! | expected work of each request of a route | threshold for long requests |
//! | requests that got a slot | whether long requests got less than their share |

use crate::derives::record;

/// A request is long if its work exceeds this multiple of its route's mean: about the longest
/// tenth, for the usual distribution of output lengths.
const LONG_WORK_MEANS: u64 = 2;
/// Long requests have priority while their success rate is below this percentage of the rate of
/// other requests of the route. The largest requests must reach half that rate; the margin of ten
/// points covers those that get a slot and miss their deadline.
const MIN_LONG_PERCENT: u64 = 60;
/// Number of requests that the moving average of the work spans.
const MEAN_SAMPLES: u64 = 64;
/// Number of requests after which the counts of a route are halved, so that recent ones
/// dominate.
const HALVING_COUNT: u64 = 256;
/// Minimum number of counted requests before any get priority: enough to include one or two
/// long ones.
const MIN_COUNT: u64 = 16;

record! {
    /// Recent requests of one route and the slots that they got, by long and other work.
    #[derive(Copy, Default)]
    pub struct LongWorkShare {
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

impl LongWorkShare {
    fn is_long(&self, work_units: u64) -> bool {
        self.mean_units
            .is_some_and(|mean_units| work_units > mean_units.saturating_mul(LONG_WORK_MEANS))
    }

    /// Counts a request for a slot, with its work as of [`crate::grants::work_units`].
    pub fn count_request(&mut self, work_units: u64) {
        let mean_units = self.mean_units.unwrap_or(work_units);
        let sum_units = mean_units.saturating_mul(MEAN_SAMPLES - 1);
        self.mean_units = Some(sum_units.saturating_add(work_units) / MEAN_SAMPLES);
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

    /// Counts a request that got a slot.
    pub fn count_granted(&mut self, work_units: u64) {
        match self.is_long(work_units) {
            true => self.placed.long += 1,
            false => self.placed.other += 1,
        }
    }

    /// Returns whether a request has priority over others of its tier: it is long, and long
    /// requests got less than their share of the slots.
    pub fn has_priority(&self, work_units: u64) -> bool {
        self.is_long(work_units) && self.is_long_work_behind()
    }

    fn is_long_work_behind(&self) -> bool {
        let (asked, placed) = (self.asked, self.placed);
        asked.long + asked.other >= MIN_COUNT
            && placed.long * asked.other * 100 < placed.other * asked.long * MIN_LONG_PERCENT
    }
}
