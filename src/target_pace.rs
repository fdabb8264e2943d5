//! Speed measurement of a target from the requests that ran there, without clock or I/O.
//!
//! | input | output |
//! |---|---|
//! | run time and work of a request | time per unit of work |
//! | time to first event, and number of prompt tokens prefilled until then | prefill time per prompt token |
//!
//! Both are independent of the sizes of the requests, so that a target that recently received
//! only short prompts doesn't look faster than another one.

use crate::derives::record;

/// Time for one unit of work until enough samples exist, in microseconds.
pub const DEFAULT_UNIT_MICROS: u64 = 5000;
/// Number of measurements that the moving averages span.
const AVERAGED_SAMPLES: u64 = 16;
/// Minimum number of measurements: lengths are estimated, and often far off.
const MIN_SAMPLES: u64 = 4;
/// Approximate units of work until a first event: an event holds several tokens.
const FIRST_EVENT_UNITS: u64 = 8;
/// Maximum number of prompt tokens of a measurement: callers declare the counts, and a larger
/// one is a mistake that would outweigh all others.
const MAX_SAMPLE_TOKENS: u64 = 1024 * 1024;
/// Upper bounds of the measured times: one minute per unit of work, one second per prompt
/// token.
const MAX_UNIT_MICROS: u64 = 60_000_000;
const MAX_PROMPT_TOKEN_NANOS: u64 = 1_000_000_000;

record! {
    /// Measured speed of a target.
    #[derive(Copy, Default)]
    pub struct TargetSpeed {
        /// Time per unit of work, in microseconds; `None` before enough measurements.
        pub unit_micros: Option<u64>,
        /// Prefill time per prompt token, in nanoseconds; `None` before enough measurements.
        pub prompt_token_nanos: Option<u64>,
    }
}

impl TargetSpeed {
    /// Returns the prefill time of a prompt, in microseconds.
    pub fn prefill_micros(&self, prompt_tokens: u64) -> Option<u64> {
        Some(self.prompt_token_nanos?.saturating_mul(prompt_tokens) / 1000)
    }

    /// Returns the time to first event of a request with this prompt length, in microseconds.
    pub fn first_event_micros(&self, prompt_tokens: u64) -> Option<u64> {
        let event_micros = self.unit_micros? * FIRST_EVENT_UNITS;
        Some(
            self.prefill_micros(prompt_tokens)?
                .saturating_add(event_micros),
        )
    }
}

/// Measures the speed of one target.
#[derive(Debug, Default)]
pub struct SpeedMeter {
    /// Number of samples in the average, at most [`AVERAGED_SAMPLES`].
    run_samples: u64,
    unit_micros: u64,
    /// Number of samples in the sums, at most [`AVERAGED_SAMPLES`].
    first_event_samples: u64,
    /// Sums of a linear regression through the origin of times on token counts. Long prompts
    /// weigh most, because the time of short ones is mostly that of the first event itself.
    sum_token_micros: u64,
    sum_tokens_squared: u64,
}

impl SpeedMeter {
    /// Records a completed request.
    pub fn record_run(&mut self, ran_ms: u64, work_units: u64) {
        let sample_micros = (ran_ms.saturating_mul(1000) / work_units.max(1)).min(MAX_UNIT_MICROS);
        self.run_samples = (self.run_samples + 1).min(AVERAGED_SAMPLES);
        self.unit_micros =
            (self.unit_micros * (self.run_samples - 1) + sample_micros) / self.run_samples;
    }

    /// Records a first event: prefill of `prefill_tokens` prompt tokens took `took_ms`.
    pub fn record_first_event(&mut self, took_ms: u64, prefill_tokens: u64) {
        if prefill_tokens == 0 || prefill_tokens > MAX_SAMPLE_TOKENS {
            return;
        }
        self.first_event_samples = (self.first_event_samples + 1).min(AVERAGED_SAMPLES);
        let decayed = |sum: u64| sum - sum / AVERAGED_SAMPLES;
        let micros = took_ms.saturating_mul(1000);
        self.sum_token_micros =
            decayed(self.sum_token_micros).saturating_add(micros.saturating_mul(prefill_tokens));
        self.sum_tokens_squared = decayed(self.sum_tokens_squared)
            .saturating_add(prefill_tokens.saturating_mul(prefill_tokens));
    }

    /// Returns the recent speed.
    pub fn speed(&self) -> TargetSpeed {
        let nanos =
            u128::from(self.sum_token_micros) * 1000 / u128::from(self.sum_tokens_squared.max(1));
        let nanos = u64::try_from(nanos).unwrap_or(u64::MAX);
        TargetSpeed {
            unit_micros: (self.run_samples >= MIN_SAMPLES).then_some(self.unit_micros),
            prompt_token_nanos: (self.first_event_samples >= MIN_SAMPLES)
                .then_some(nanos.min(MAX_PROMPT_TOKEN_NANOS)),
        }
    }
}
