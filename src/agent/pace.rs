//! Moving average of the output rate of a target, measured on finished requests.

use crate::{derives::record, units::*};

/// Minimum output length of a sample; shorter responses say little about the rate.
const MIN_SAMPLE_TOKENS: u64 = 16;
/// Expected run time including a safety margin, in percent of the time at the measured rate.
const RUN_MARGIN_PERCENT: u64 = 125;
record! {
    /// Recent output tokens per second of a single request; 0 until the first sample.
    #[derive(Copy, Default)]
    pub struct OutputRate {
        #[serde(rename = "lately_per_s")]
        tokens_per_s: u64,
    }
}

impl OutputRate {
    /// Adds a finished request to the average.
    pub fn update(&mut self, output_tokens: TokenCount, took_ms: u64) {
        let per_s = output_tokens.0.saturating_mul(1000) / took_ms.max(1);
        self.tokens_per_s = match self.tokens_per_s {
            _ if output_tokens.0 < MIN_SAMPLE_TOKENS => self.tokens_per_s,
            0 => per_s,
            average => average.saturating_mul(7).saturating_add(per_s) / 8,
        };
    }

    /// Expected run time of a response of this length, including the margin; `None` until the
    /// first sample.
    pub fn run_ms(self, output_tokens: TokenCount) -> Option<u64> {
        let run_ms = output_tokens.0.saturating_mul(10 * RUN_MARGIN_PERCENT);
        (self.tokens_per_s > 0).then(|| run_ms / self.tokens_per_s)
    }
}
