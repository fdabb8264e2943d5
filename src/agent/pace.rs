//! The pace of a target, learnt from the requests that it has finished.

use crate::{derives::record, units::*};

/// Answers shorter than this say little about the pace.
const MEASURED_TOKENS: u64 = 16;
/// How much longer than at the pace of late an answer may take.
const RUN_MARGIN_PERCENT: u64 = 125;
record! {
    /// The pace of late, in answer tokens a second for each request.
    #[derive(Copy, Default)]
    pub struct Pace {
        lately_per_s: u64,
    }
}

impl Pace {
    /// Takes a finished request.
    pub fn measure(&mut self, answer_tokens: TokenCount, took_ms: u64) {
        let per_s = answer_tokens.0 * 1000 / took_ms.max(1);
        self.lately_per_s = match self.lately_per_s {
            _ if answer_tokens.0 < MEASURED_TOKENS => self.lately_per_s,
            0 => per_s,
            lately => (lately * 7 + per_s) / 8,
        };
    }

    /// How long an answer takes at the pace of late; `None` before it is known.
    pub fn run_ms(self, answer_tokens: TokenCount) -> Option<u64> {
        let run_ms = answer_tokens.0 * 10 * RUN_MARGIN_PERCENT;
        (self.lately_per_s > 0).then(|| run_ms / self.lately_per_s)
    }
}
