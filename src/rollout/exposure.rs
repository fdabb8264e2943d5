//! Which requests of one gateway a rollout exposes to the new version.
//!
//! Pure: no clock, no I/O. Made for 3 to 300 gateways with 1 to 500 requests a second together and
//! shares of 1% to 4%, so that many gateways see fewer requests than one exposure takes.
//!
//! | input | use |
//! |---|---|
//! | share of the stage | with share `s` and `n` requests so far, a request is exposed if `floor(n * s + phase)` increases |
//! | hash of the gateway's name and of the order | the phase, so that the gateways do not all expose their first or their last request |
//! | age of the view | nothing is exposed while the rollout may have been rolled back unnoticed |
//! | outcomes of the new version at this gateway | nothing is exposed after several failures in a row, until the next stage |

use super::{PPM_PER_UNIT, Rollout, RolloutRevision, RolloutStage};
use crate::{derives::key, units::ProcessName};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Age of the view from which on nothing is exposed. Renewals are held for at most 800 ms.
pub const MAX_VIEW_AGE_MS: u64 = 1000;
/// Failures of the new version in a row after which a gateway exposes nothing until the next stage.
pub const MAX_CONSECUTIVE_FAILURES: u32 = 3;

key! {
    /// Why a gateway exposes nothing.
    #[derive(derive_more::Display)]
    pub enum PauseReason {
        /// No leader has confirmed the view recently.
        #[display("view not confirmed")]
        OutdatedView,
        /// The new version failed several times in a row.
        #[display("consecutive failures")]
        Failures,
    }

    /// What is decided for a request.
    pub enum ExposureDecision {
        /// It goes to the new version.
        Exposed,
        /// It goes to the old one.
        Kept,
        /// It goes to the old one, like all others at present.
        Paused(PauseReason),
    }
}

/// Exposure of one rollout at one gateway.
#[derive(Clone, Debug)]
pub struct Exposure {
    revision: RolloutRevision,
    share_ppm: u64,
    /// Fraction of a request that is due to be exposed, in millionths.
    due_ppm: u64,
    consecutive_failures: u32,
    decided: u64,
    exposed: u64,
}

impl Exposure {
    /// Begins with the present stage of a rollout.
    pub fn begin(gateway: &ProcessName, rollout: &Rollout) -> Self {
        let mut hasher = DefaultHasher::new();
        (gateway, &rollout.service, rollout.ordered).hash(&mut hasher);
        let mut exposure = Self {
            revision: rollout.revision,
            share_ppm: 0,
            due_ppm: hasher.finish() % PPM_PER_UNIT,
            consecutive_failures: 0,
            decided: 0,
            exposed: 0,
        };
        exposure.set_stage(&rollout.stage);
        exposure
    }

    /// Takes over the stage of a later revision, which ends a pause after failures.
    pub fn update(&mut self, rollout: &Rollout) {
        if rollout.revision > self.revision {
            self.revision = rollout.revision;
            self.consecutive_failures = 0;
            self.set_stage(&rollout.stage);
        }
    }

    fn set_stage(&mut self, stage: &RolloutStage) {
        self.share_ppm = match stage {
            RolloutStage::Exposing { share_ppm } => (*share_ppm).min(PPM_PER_UNIT),
            _ => 0,
        };
    }

    /// Decides for the next request; `view_age_ms` is `None` if no leader has confirmed the view.
    pub fn decide(&mut self, view_age_ms: Option<u64>) -> ExposureDecision {
        let is_current = view_age_ms.is_some_and(|age_ms| age_ms <= MAX_VIEW_AGE_MS);
        self.decided += 1;
        match () {
            () if !is_current => ExposureDecision::Paused(PauseReason::OutdatedView),
            () if self.is_paused() => ExposureDecision::Paused(PauseReason::Failures),
            () => {
                self.due_ppm += self.share_ppm;
                if self.due_ppm < PPM_PER_UNIT {
                    return ExposureDecision::Kept;
                }
                self.due_ppm -= PPM_PER_UNIT;
                self.exposed += 1;
                ExposureDecision::Exposed
            }
        }
    }

    /// Records a successful answer of the new version.
    pub fn record_success(&mut self) {
        if !self.is_paused() {
            self.consecutive_failures = 0;
        }
    }

    /// Records a failure of the new version; returns whether it begins a pause.
    pub fn record_failure(&mut self) -> bool {
        self.consecutive_failures += 1;
        self.consecutive_failures == MAX_CONSECUTIVE_FAILURES
    }

    /// Whether nothing is exposed until the next stage.
    pub fn is_paused(&self) -> bool {
        self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
    }

    /// The requests that were decided on, and those of them that were exposed.
    pub fn counts(&self) -> (u64, u64) {
        (self.decided, self.exposed)
    }
}
