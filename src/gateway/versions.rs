//! Which versions of a service's targets a request may use while the service has a rollout.
//!
//! Pure: no clock, no I/O. Made for rollouts at services of 3 to 53 targets, of which a few run the
//! new version.
//!
//! | input | use |
//! |---|---|
//! | stage of the rollout | [`Rollout::standing`] of each target |
//! | exposure of the request | the new version comes first; an old target takes it if no new one has a free slot |
//! | side of the last attempt, and whether it may have run | after a failure of the new version the old one comes first |
//! | side that began a stream | it goes on there, as the versions may write different texts |
//! | whether the view is current | after the cut-over, a disconnected gateway returns to the old version |
//! | slots of the old targets, share | number of new targets that get the exposed requests |

use crate::{
    control::directory::TargetEntry,
    control_view::View,
    derives::key,
    rollout::{PPM_PER_UNIT, Rollout, RolloutRevision, RolloutStage, VersionStanding},
    units::{ServiceName, TargetVersion},
};
use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
};

/// Bits of [`RequestFailures`].
const NEW_FAILED: u8 = 1;
const OLD_FAILED: u8 = 2;

key! {
    /// A side of a rollout.
    pub enum VersionSide {
        /// The version that the traffic is moved to.
        New,
        /// All other versions.
        Old,
    }

    /// Order in which a request uses targets of different versions.
    pub enum VersionRank {
        /// It is used first.
        First,
        /// It is used if none of the first takes the request.
        Second,
    }

    /// What the failure of an attempt says of the versions.
    pub enum FailureMeaning {
        /// It counts for the version of the target.
        Counts,
        /// The request has failed at the other version, too: it counts for neither.
        Withdraws,
        /// It says nothing new.
        Known,
    }
}

impl VersionSide {
    /// The side of a target of this version.
    pub fn of(rollout: &Rollout, version: &TargetVersion) -> Self {
        match *version == rollout.to {
            true => Self::New,
            false => Self::Old,
        }
    }
}

/// The versions at which a request has failed.
#[derive(Clone, Debug, Default)]
pub struct RequestFailures(Arc<AtomicU8>);

impl RequestFailures {
    /// Records a failure at a version.
    pub fn record(&self, side: VersionSide) -> FailureMeaning {
        let (own, other) = match side {
            VersionSide::New => (NEW_FAILED, OLD_FAILED),
            VersionSide::Old => (OLD_FAILED, NEW_FAILED),
        };
        let before = self.0.fetch_or(own, Ordering::Relaxed);
        match (before & own != 0, before & other != 0) {
            (true, true) => FailureMeaning::Known,
            (_, false) => FailureMeaning::Counts,
            (false, true) => FailureMeaning::Withdraws,
        }
    }
}

/// What a rollout has decided for a request so far.
#[derive(Clone, Debug, Default)]
pub struct RequestVersions {
    /// See [`Rollout::ordered`].
    ordered: Option<RolloutRevision>,
    is_exposed: Option<bool>,
    /// Side of the target that it was sent to last.
    last_side: Option<VersionSide>,
    /// Side that began its stream.
    stream_side: Option<VersionSide>,
    failures: Option<RequestFailures>,
}

/// How far a request is when targets are chosen for its next attempt.
#[derive(Clone, Copy, Debug, Default)]
#[allow(clippy::struct_excessive_bools)]
pub struct AttemptTraits {
    /// Whether its caller received events.
    pub has_begun: bool,
    /// Whether its caller resumes a stream that some gateway began.
    pub is_resumed: bool,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
    /// Whether a leader has confirmed the view recently.
    pub is_view_current: bool,
}

/// The versions that an attempt uses; by default those that the stage of the rollout says.
#[derive(Clone, Debug, Default)]
pub struct VersionChoice {
    /// The version that is used first if the stage allows it.
    wanted: Option<VersionSide>,
    /// Whether the old version is asked as soon as the new one has no free slot.
    is_exposed: bool,
    /// Whether only the targets of the second rank are used.
    is_fallback: bool,
    /// Where the failure of the attempt is recorded; none if nothing is counted.
    pub failures: Option<RequestFailures>,
}

impl RequestVersions {
    /// Chooses the versions for the next attempt; `expose` decides once for each request.
    pub fn choose(
        &mut self,
        rollout: &Rollout,
        traits: AttemptTraits,
        expose: impl FnOnce() -> bool,
    ) -> VersionChoice {
        if self.ordered != Some(rollout.ordered) {
            *self = Self {
                ordered: Some(rollout.ordered),
                ..Self::default()
            };
        }
        if rollout.has_ended() {
            return VersionChoice::default();
        }
        let is_exposing = matches!(rollout.stage, RolloutStage::Exposing { .. });
        let wanted = match self.last_side {
            // A stream that began before the rollout was known is most likely of the old version.
            _ if traits.has_begun => {
                let side = self.last_side.unwrap_or(VersionSide::Old);
                Some(*self.stream_side.get_or_insert(side))
            }
            Some(VersionSide::New) if is_exposing || traits.may_have_run => Some(VersionSide::Old),
            _ if !is_exposing && !traits.is_view_current => Some(VersionSide::Old),
            _ => None,
        };
        let is_exposed = wanted.is_none()
            && is_exposing
            && !traits.is_resumed
            && *self.is_exposed.get_or_insert_with(expose);
        VersionChoice {
            wanted: if is_exposed {
                Some(VersionSide::New)
            } else {
                wanted
            },
            is_exposed,
            is_fallback: false,
            failures: Some(self.failures.get_or_insert_default().clone()),
        }
    }

    /// Records the version of the target that an attempt goes to.
    pub fn record(&mut self, side: Option<VersionSide>) {
        self.last_side = side.or(self.last_side);
    }
}

impl VersionChoice {
    /// Returns when a target of this version is used, if at all.
    pub fn rank(&self, rollout: &Rollout, version: &TargetVersion) -> Option<VersionRank> {
        let first_if = |is_first| match is_first {
            true => VersionRank::First,
            false => VersionRank::Second,
        };
        let wants = |side| self.wanted == Some(side);
        let is_cutting_over = rollout.stage == RolloutStage::CuttingOver;
        let is_exposing = matches!(rollout.stage, RolloutStage::Exposing { .. });
        match rollout.standing(version) {
            VersionStanding::Withheld => None,
            VersionStanding::Exposed { .. } => {
                wants(VersionSide::New).then_some(VersionRank::First)
            }
            VersionStanding::Retired => Some(first_if(is_cutting_over && wants(VersionSide::Old))),
            VersionStanding::Serving if is_exposing => Some(first_if(!wants(VersionSide::New))),
            VersionStanding::Serving => {
                Some(first_if(!(is_cutting_over && wants(VersionSide::Old))))
            }
        }
    }

    /// Whether the attempt may use a target of this version.
    pub fn allows(&self, rollout: &Rollout, version: &TargetVersion) -> bool {
        match self.rank(rollout, version) {
            None => false,
            Some(VersionRank::First) => !self.is_fallback,
            Some(VersionRank::Second) => self.is_fallback || self.mixes(rollout),
        }
    }

    /// Whether targets of the second rank are asked beside those of the first.
    pub fn mixes(&self, rollout: &Rollout) -> bool {
        self.is_exposed && matches!(rollout.stage, RolloutStage::Exposing { .. })
    }

    /// The choice of the targets that are used if no other takes the request.
    pub fn fallback(&self) -> Self {
        Self {
            is_fallback: true,
            ..self.clone()
        }
    }

    /// Whether a target of this version is left for [`Self::fallback`].
    pub fn leaves(&self, rollout: &Rollout, version: &TargetVersion) -> bool {
        !self.allows(rollout, version) && self.fallback().allows(rollout, version)
    }
}

/// The rollout by which the targets of a service are used; none if there is none, or if it exposes a
/// version beside which no other runs: its share would refuse the rest of the requests.
pub fn rollout_of<'a>(view: &'a View, service: &ServiceName) -> Option<&'a Rollout> {
    let rollout = view.rollouts.get(service)?;
    let is_exposing = matches!(rollout.stage, RolloutStage::Exposing { .. });
    let is_old = |target: &TargetEntry| {
        target.service == *service && !target.leaving && target.version != rollout.to
    };
    (!is_exposing || view.targets.values().any(is_old)).then_some(rollout)
}

/// Whether a rollout of its service withholds requests from a target.
pub fn is_withheld(view: &View, target: &TargetEntry) -> bool {
    let rollout = view.rollouts.get(&target.service);
    rollout.is_some_and(|rollout| rollout.standing(&target.version) == VersionStanding::Withheld)
}

/// Keeps as few of the new targets as make the load of each equal to that of an old one, the same
/// ones at all gateways: spread over all, the requests would not show a fault under load.
pub fn concentrate(rollout: &Rollout, new: &mut Vec<&TargetEntry>, old_slots: u64) {
    let RolloutStage::Exposing { share_ppm } = rollout.stage else {
        return;
    };
    let rest_ppm = PPM_PER_UNIT.saturating_sub(share_ppm).max(1);
    let wanted_slots = old_slots.saturating_mul(share_ppm).div_ceil(rest_ppm);
    new.sort_by_cached_key(|target| {
        let mut hasher = DefaultHasher::new();
        (rollout.ordered, &target.name).hash(&mut hasher);
        hasher.finish()
    });
    let mut slots = 0;
    new.retain(|target| {
        let is_wanted = slots < wanted_slots.max(1);
        slots += u64::from(target.slots);
        is_wanted
    });
}
