//! Estimates for a request at a target the time to the first event, the time to the end, and the
//! probability that the end misses the deadline.
//!
//! For a load of streams whose lengths the callers only estimate, on targets that differ in speed
//! by a factor of four: a stream of 1500 tokens with 12 s left takes 2 s on the fastest targets
//! and 9 s on the slowest, and half of such streams are longer than estimated.
//!
//! | input | use |
//! |---|---|
//! | wait last reported by the agent | delay before anything else |
//! | failure domain of the target | network latency |
//! | prompt length, tokens likely cached, prefill time of a token | prefill of what is not cached |
//! | requests of this gateway at the target, its slots | the first event is later on a loaded target |
//! | work, and time per unit measured over the last runs of all gateways there | time to the end under the batch of these runs |
//! | median and slowest quarter of the known speeds | stand in for a speed that is not known, at the first event and at the end |
//! | recent times to first event | stand in while no speed is known |
//! | distribution of actual lengths against estimated ones | probability that the deadline is missed |

use crate::{derives::record, target_pace::TargetSpeed, units::TargetName};

/// Assumed time to first event of a target without measurements: short, so that new targets
/// receive requests.
const DEFAULT_FIRST_EVENT_MS: u64 = 50;
/// Maximum share of a time to first event that a cached prefix saves while the prefill time of a
/// token is unknown.
const MAX_UNMEASURED_SAVING_PERCENT: u64 = 40;
/// Expected extra latency of a target in another failure domain: about one round trip.
const CROSS_DOMAIN_MICROS: u64 = 2000;
/// A target that is still warming up counts as half as fast.
const WARMUP_PERCENT: u64 = 200;
/// Probability, in thousandths, that a run is longer than this percentage of its estimate. The
/// values are those of a log-normal distribution with its median at the estimate and a standard
/// deviation of 0.7: callers' estimates are right at the median, and one in six is short by half.
const LENGTH_EXCEEDANCE: [(u64, u64); 11] = [
    (0, 1000),
    (25, 976),
    (50, 839),
    (75, 659),
    (100, 500),
    (150, 281),
    (200, 161),
    (300, 58),
    (400, 24),
    (600, 5),
    (800, 0),
];

/// A target that may receive the request, with its load and speed.
#[derive(Clone, Copy, Debug)]
pub struct TargetInputs<'a> {
    /// Name of the target.
    pub name: &'a TargetName,
    /// Number of requests of this gateway in progress at the target.
    pub in_progress: u64,
    /// Maximum number of requests that the target runs concurrently.
    pub slots: u64,
    /// Queueing delay reported by the target's agent; 0 if unknown.
    pub wait_ms: u64,
    /// Average of recent times to first event; `None` if unknown.
    pub first_ms: Option<u64>,
    /// Measured speed of the target.
    pub speed: TargetSpeed,
    /// Whether the target is in the gateway's failure domain.
    pub is_near: bool,
    /// Whether the target is still slow after its start.
    pub warming_up: bool,
    /// Number of prompt tokens that are likely cached there.
    pub cached_tokens: u64,
}

record! {
    /// Size of the request and its time limits.
    #[derive(Copy, Default)]
    pub struct RunProfile {
        /// Expected work; see [`crate::grants::work_units`].
        pub work_units: u64,
        /// Number of prompt tokens.
        pub prompt_tokens: u64,
        /// Longest pause between events that still meets the objective; 0 if there is no limit.
        pub pause_ms: u64,
        /// Time until the objective for the first event passes.
        pub objective_left_ms: u64,
        /// Time until the caller's deadline for the complete response.
        pub left_ms: u64,
    }

    /// Speeds that are assumed for targets without measurements.
    #[derive(Copy, Default)]
    pub struct AssumedSpeeds {
        /// Median of the known speeds, for the time to first event. A faster assumption would send
        /// the requests of all gateways to a new target at once.
        pub median: TargetSpeed,
        /// Time per unit at the slowest quarter, for the end: of many gateways each one learns a
        /// target's speed only with its own requests, and long streams were lost on slow targets
        /// that they did not know.
        pub slow_unit_micros: Option<u64>,
        /// Time per unit at the slowest target.
        pub slowest_unit_micros: Option<u64>,
    }

    /// Estimate of a run, in microseconds from now.
    #[derive(Copy, Default)]
    pub struct RunEstimate {
        /// Time to the first event.
        pub first_event_micros: u64,
        /// Time to the end, if the run is as long as estimated.
        pub end_micros: u64,
        /// Probability that the end misses the deadline, in thousandths.
        pub miss_per_mille: u64,
        /// Part of the first event's time that a cached prefix saves.
        pub saved_micros: u64,
    }
}

impl RunEstimate {
    /// Estimates the run of a request at a target.
    pub fn new(target: &TargetInputs, run: &RunProfile, assumed: &AssumedSpeeds) -> Self {
        let median = assumed.median;
        let speed = TargetSpeed {
            unit_micros: target.speed.unit_micros.or(median.unit_micros),
            prompt_token_nanos: target
                .speed
                .prompt_token_nanos
                .or(median.prompt_token_nanos),
        };
        let warmup_percent = if target.warming_up {
            WARMUP_PERCENT
        } else {
            100
        };
        let network_micros = if target.is_near {
            0
        } else {
            CROSS_DOMAIN_MICROS
        };
        let start_micros = target
            .wait_ms
            .saturating_mul(1000)
            .saturating_add(network_micros);
        let (idle_micros, saved_micros) = idle_first_event_micros(target, run, speed);
        let first_micros = percent_of(
            percent_of(idle_micros, load_percent(target)),
            warmup_percent,
        );
        let first_event_micros = start_micros
            .saturating_add(first_micros)
            .saturating_sub(saved_micros);
        let unit_micros = target.speed.unit_micros.or(assumed.slow_unit_micros);
        let run_micros = unit_micros.unwrap_or(0).saturating_mul(run.work_units);
        let run_micros = percent_of(run_micros, warmup_percent);
        let slack_micros = run
            .left_ms
            .saturating_mul(1000)
            .saturating_sub(start_micros);
        Self {
            first_event_micros,
            end_micros: start_micros
                .saturating_add(run_micros)
                .max(first_event_micros),
            miss_per_mille: miss_per_mille(slack_micros, run_micros),
            saved_micros,
        }
    }
}

impl AssumedSpeeds {
    /// Derives the assumptions from the speeds that are known.
    pub fn new(targets: &[TargetInputs]) -> Self {
        let units = targets.iter().filter_map(|target| target.speed.unit_micros);
        let mut units: Vec<u64> = units.collect();
        units.sort_unstable();
        let nanos = targets
            .iter()
            .filter_map(|target| target.speed.prompt_token_nanos);
        let mut nanos: Vec<u64> = nanos.collect();
        nanos.sort_unstable();
        Self {
            median: TargetSpeed {
                unit_micros: units.get(units.len() / 2).copied(),
                prompt_token_nanos: nanos.get(nanos.len() / 2).copied(),
            },
            slow_unit_micros: units.get(units.len() * 3 / 4).copied(),
            slowest_unit_micros: units.last().copied(),
        }
    }
}

/// Estimates the time to first event on an idle target that has nothing cached, and how much of it
/// the cached tokens save.
fn idle_first_event_micros(
    target: &TargetInputs,
    run: &RunProfile,
    speed: TargetSpeed,
) -> (u64, u64) {
    let cached_tokens = target.cached_tokens.min(run.prompt_tokens);
    match speed
        .first_event_micros(run.prompt_tokens)
        .filter(|_| run.prompt_tokens > 0)
    {
        Some(micros) => (micros, speed.prefill_micros(cached_tokens).unwrap_or(0)),
        None => {
            let first_ms = target.first_ms.unwrap_or(DEFAULT_FIRST_EVENT_MS).max(1);
            let micros = first_ms.saturating_mul(1000);
            let most_micros = percent_of(micros, MAX_UNMEASURED_SAVING_PERCENT);
            let saved = u128::from(most_micros) * u128::from(cached_tokens)
                / u128::from(run.prompt_tokens.max(1));
            (micros, saved as u64)
        }
    }
}

/// The time to first event grows in proportion to the occupied slots and doubles when all are
/// occupied. Requests beyond the slots delay all others, so they count three times.
fn load_percent(target: &TargetInputs) -> u64 {
    let slots = target.slots.max(1);
    let excess = target.in_progress.saturating_sub(slots);
    let occupied_percent = target.in_progress.saturating_mul(100) / slots;
    occupied_percent
        .saturating_add(excess.saturating_mul(200) / slots)
        .saturating_add(100)
}

/// Probability, in thousandths, that a run estimated at `run_micros` takes longer than
/// `slack_micros`; interpolated between the entries of [`LENGTH_EXCEEDANCE`].
pub fn miss_per_mille(slack_micros: u64, run_micros: u64) -> u64 {
    let percent = match u128::from(slack_micros) * 100 / u128::from(run_micros.max(1)) {
        percent if run_micros == 0 || percent >= 800 => return 0,
        percent => percent as u64,
    };
    let above = LENGTH_EXCEEDANCE.partition_point(|(ratio, _)| *ratio <= percent);
    let ((from, high), (to, low)) = (LENGTH_EXCEEDANCE[above - 1], LENGTH_EXCEEDANCE[above]);
    high - (high - low) * (percent - from) / (to - from)
}

fn percent_of(number: u64, percent: u64) -> u64 {
    let scaled = u128::from(number) * u128::from(percent) / 100;
    u64::try_from(scaled).unwrap_or(u64::MAX)
}
