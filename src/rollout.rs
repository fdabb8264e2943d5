//! Rollouts: the traffic of a service is moved to a new version of its targets, which is judged
//! meanwhile, and is completed or rolled back.
//!
//! | what | where |
//! |---|---|
//! | which stage a rollout is in | the replicated state: [`Rollout`], changed by the leader |
//! | what the versions answered | each gateway counts, and sends [`RolloutCounts`] to the leader |

pub mod decision;
pub mod evidence;

use crate::{
    derives::{quantity, record},
    units::*,
};
use std::collections::BTreeSet;

quantity! {
    /// Counts the changes of all rollouts, in the order in which they were committed. Of two states
    /// of a rollout, the one of the higher revision is the later.
    RolloutRevision(u64)
}

/// Unit of shares of requests: one millionth.
pub const PPM_PER_UNIT: u64 = 1_000_000;

record! {
    /// The latest rollout of a service.
    pub struct Rollout {
        /// The service.
        pub service: ServiceName,
        /// The version that its traffic is moved to.
        pub to: TargetVersion,
        /// The versions that its targets had when the rollout was ordered.
        pub from: BTreeSet<TargetVersion>,
        /// Time from the order to the deadline, in milliseconds.
        pub duration_ms: u64,
        /// Revision of the order, which identifies the rollout.
        pub ordered: RolloutRevision,
        /// Revision of the stage.
        pub revision: RolloutRevision,
        /// Time from the order until the stage was decided, in milliseconds.
        pub stage_at_ms: u64,
        /// The stage.
        pub stage: RolloutStage,
    }

    /// How far a rollout is.
    pub enum RolloutStage {
        /// The new version gets this share of the requests, in millionths.
        Exposing {
            /// The share.
            share_ppm: u64,
        },
        /// The new version gets all new requests; some may still run at the old one.
        CuttingOver,
        /// The new version serves. Targets of the old one may be stopped.
        Completed,
        /// The new version gets no requests.
        RolledBack {
            /// Why, for operators.
            reason: String,
        },
    }

    /// What a rollout makes of a target.
    #[derive(Copy)]
    pub enum VersionStanding {
        /// It gets requests as without a rollout.
        Serving,
        /// It gets this share of the requests to the service, in millionths.
        Exposed {
            /// The share.
            share_ppm: u64,
        },
        /// It is used only if no target of the new version takes a request.
        Retired,
        /// It gets no requests.
        Withheld,
    }

    /// What one gateway has counted since it learned of a rollout.
    pub struct RolloutCounts {
        /// The service.
        pub service: ServiceName,
        /// See [`Rollout::ordered`].
        pub ordered: RolloutRevision,
        /// Counts by route.
        pub routes: Vec<RouteCounts>,
        /// Requests in progress at targets of the old versions.
        pub in_progress_at_old: u64,
    }

    /// What the versions answered on one route.
    pub struct RouteCounts {
        /// The route.
        pub route: String,
        /// Of the new version.
        pub new: OutcomeCounts,
        /// Of the old ones.
        pub old: OutcomeCounts,
    }

    /// Outcomes of the requests that were sent to one version.
    #[derive(Default)]
    pub struct OutcomeCounts {
        /// Requests sent.
        pub sent: u64,
        /// Successful answers.
        pub succeeded: u64,
        /// Failures: server errors, broken and missing answers.
        pub failed: u64,
        /// Answers by the time to the first event or response: the answer at position `i` took less
        /// than 2^(i/2) ms, and at least as much as that of the position before.
        pub latency_counts: Vec<u64>,
    }
}

impl Rollout {
    /// What the rollout makes of a target of its service that has this version.
    pub fn standing(&self, version: &TargetVersion) -> VersionStanding {
        let is_new = *version == self.to;
        match &self.stage {
            RolloutStage::Exposing { share_ppm } if is_new => VersionStanding::Exposed {
                share_ppm: *share_ppm,
            },
            RolloutStage::RolledBack { .. } if is_new => VersionStanding::Withheld,
            RolloutStage::CuttingOver if !is_new => VersionStanding::Retired,
            RolloutStage::Completed if self.from.contains(version) && !is_new => {
                VersionStanding::Retired
            }
            _ => VersionStanding::Serving,
        }
    }

    /// Whether it has ended.
    pub fn has_ended(&self) -> bool {
        matches!(
            self.stage,
            RolloutStage::Completed | RolloutStage::RolledBack { .. }
        )
    }
}
