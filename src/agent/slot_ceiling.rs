//! How many slots of a plain target are granted at the same time, without clock or I/O.
//!
//! | input | use |
//! |---|---|
//! | slots that the target announces | basis |
//! | mean run time of its requests | a target with short runs gets some grants beyond its slots, see [`TURN_MS`] |
//! | a refusal because the target is full | as many grants as the target took; no grants beyond the slots for [`NO_EXTRA_MS`] |
//! | time since the latest such refusal | one more grant per interval, until all slots are granted again |
//!
//! The load that this is for: three targets of 6 slots and 30 ms of work, and 31 gateways with 0.09
//! of a core each. See `docs/design/shared-queues.md`.

/// Time from the end of a run until the next request arrives at the target: the release, the grant
/// and the request, with the processing of two gateways. A slot is idle for this part of each turn.
/// With gateways that need 2 to 8 ms for each way, 6 slots of 30 ms were busy for 83% of the time
/// without further grants, 94% with one and 99% with two. Measured run times include the wait in
/// the target's own queue, so the value is a little above the usual turn.
const TURN_MS: u64 = 10;
/// Grants beyond the slots are at most the slots divided by this.
const EXTRA_DIVISOR: u64 = 2;
/// Time for which a target gets no grants beyond its slots after it refused one.
const NO_EXTRA_MS: u64 = 60_000;
/// First interval at which one more slot is granted after a refusal. It doubles, up to
/// [`MAX_RAISE_MS`], each time that a slot which was granted again is refused.
const RAISE_MS: u64 = 250;
const MAX_RAISE_MS: u64 = 4000;

#[derive(Clone, Copy, Debug)]
struct Reduction {
    slots: u64,
    since_ms: u64,
    raise_ms: u64,
}

impl Reduction {
    fn raised(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.since_ms) / self.raise_ms
    }

    fn limit(&self, now_ms: u64) -> u64 {
        self.slots.saturating_add(self.raised(now_ms))
    }
}

/// Maximum number of grants at a plain target; see the [module](self).
#[derive(Clone, Copy, Debug, Default)]
pub struct SlotCeiling {
    reduction: Option<Reduction>,
    no_extra_until_ms: u64,
}

impl SlotCeiling {
    /// Returns the maximum number of requests that hold a slot. `run_ms` is the mean run time, if
    /// it has been measured.
    pub fn limit(&self, slots: u64, run_ms: Option<u64>, now_ms: u64) -> u64 {
        let full = slots + self.extra(slots, run_ms, now_ms);
        let reduced = self.reduction.map(|reduction| reduction.limit(now_ms));
        reduced.map_or(full, |reduced| reduced.min(full))
    }

    fn extra(&self, slots: u64, run_ms: Option<u64>, now_ms: u64) -> u64 {
        match run_ms {
            Some(run_ms) if now_ms >= self.no_extra_until_ms => {
                let run_ms = run_ms.max(1);
                ((slots * TURN_MS + run_ms / 2) / run_ms).min(slots / EXTRA_DIVISOR)
            }
            _ => 0,
        }
    }

    /// Records that the target refused one of `running` granted requests because it is full.
    /// Returns the number of slots that are granted from now on.
    pub fn record_full(&mut self, slots: u64, running: u64, now_ms: u64) -> u64 {
        if running > slots {
            self.no_extra_until_ms = now_ms + NO_EXTRA_MS;
        }
        let before = self
            .reduction
            .filter(|reduction| reduction.limit(now_ms) < slots);
        let granted = before.map_or(slots, |reduction| reduction.limit(now_ms));
        // The refused request is one of those that run; the target took the others.
        let taken = running.saturating_sub(1).min(granted).max(1);
        let raise_ms = match before {
            Some(reduction) if reduction.raised(now_ms) > 0 => {
                (reduction.raise_ms * 2).min(MAX_RAISE_MS)
            }
            Some(reduction) => reduction.raise_ms,
            None => RAISE_MS,
        };
        self.reduction = Some(Reduction {
            slots: taken,
            since_ms: now_ms,
            raise_ms,
        });
        taken
    }
}
