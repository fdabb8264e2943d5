//! Counts what the versions of a service answer at this gateway while a rollout is in progress, and
//! decides with [`Exposure`] which requests go to the new one.
//!
//! Reads no clock. The counts are cumulative since the gateway learned of the rollout.

use super::versions::{FailureMeaning, RequestFailures, VersionSide};
use crate::{
    control_view::View,
    metrics,
    rollout::{
        OutcomeCounts, Rollout, RolloutCounts, RolloutRevision, RolloutStage, RouteCounts,
        exposure::{Exposure, ExposureDecision, PauseReason},
    },
    units::*,
};
use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

/// One attempt at a target of a service with a rollout in progress. Its outcome is counted once; an
/// attempt that did not run counts for nothing, and one whose caller disconnected only as sent.
#[derive(Debug)]
pub struct VersionAttempt {
    /// Service of the target.
    pub service: ServiceName,
    /// Route of the request.
    pub route: String,
    /// Side of the target.
    pub side: VersionSide,
    version: TargetVersion,
    ordered: RolloutRevision,
    failures: RequestFailures,
    /// When it was sent; 0 if it was not.
    sent_ms: AtomicU64,
    is_sent_counted: AtomicBool,
    has_latency: AtomicBool,
    is_settled: AtomicBool,
}

impl VersionAttempt {
    /// An attempt that has not been sent.
    pub fn new(
        rollout: &Rollout,
        version: TargetVersion,
        route: &str,
        failures: RequestFailures,
    ) -> Self {
        Self {
            service: rollout.service.clone(),
            route: route.into(),
            side: VersionSide::of(rollout, &version),
            version,
            ordered: rollout.ordered,
            failures,
            sent_ms: AtomicU64::new(0),
            is_sent_counted: AtomicBool::new(false),
            has_latency: AtomicBool::new(false),
            is_settled: AtomicBool::new(false),
        }
    }

    /// Records that the request is sent.
    pub fn record_sent(&self, now_ms: u64) {
        self.sent_ms.store(now_ms, Ordering::Relaxed);
        metrics::gateway_version_request(&self.service, &self.route, &self.version);
    }

    /// Records that the target did not run the request.
    pub fn record_not_run(&self) {
        self.is_settled.store(true, Ordering::Relaxed);
    }
}

/// What the versions answered at one route.
#[derive(Clone, Debug, Default)]
struct RouteOutcomes {
    new: OutcomeCounts,
    old: OutcomeCounts,
}

impl RouteOutcomes {
    fn side(&mut self, side: VersionSide) -> &mut OutcomeCounts {
        match side {
            VersionSide::New => &mut self.new,
            VersionSide::Old => &mut self.old,
        }
    }
}

#[derive(Debug)]
struct TrackedRollout {
    ordered: RolloutRevision,
    exposure: Exposure,
    is_view_outdated: bool,
    routes: BTreeMap<String, RouteOutcomes>,
}

/// The rollouts in progress, as this gateway sees them.
#[derive(Debug)]
pub struct VersionOutcomes {
    gateway: ProcessName,
    rollouts: Mutex<BTreeMap<ServiceName, TrackedRollout>>,
}

impl VersionOutcomes {
    /// Creates the state of a gateway without rollouts.
    pub fn new(gateway: ProcessName) -> Self {
        Self {
            gateway,
            rollouts: Mutex::default(),
        }
    }

    fn rollouts(&self) -> MutexGuard<'_, BTreeMap<ServiceName, TrackedRollout>> {
        self.rollouts.lock().expect("no holder panics")
    }

    /// Decides whether a request is exposed to the new version; `view_age_ms` is the time since a
    /// leader confirmed the rollout.
    pub fn expose(&self, rollout: &Rollout, view_age_ms: Option<u64>) -> bool {
        let mut rollouts = self.rollouts();
        let tracked = Self::track(&mut rollouts, &self.gateway, rollout);
        let decision = tracked.exposure.decide(view_age_ms);
        let is_outdated = decision == ExposureDecision::Paused(PauseReason::OutdatedView);
        if is_outdated != std::mem::replace(&mut tracked.is_view_outdated, is_outdated) {
            let service = &rollout.service;
            match is_outdated {
                true => tracing::warn!(
                    %service, to = %rollout.to, view_age_ms, reason = %PauseReason::OutdatedView,
                    "gateway: exposure paused"
                ),
                false => tracing::info!(%service, to = %rollout.to, "gateway: exposure resumed"),
            }
        }
        decision == ExposureDecision::Exposed
    }

    fn track<'a>(
        rollouts: &'a mut BTreeMap<ServiceName, TrackedRollout>,
        gateway: &ProcessName,
        rollout: &Rollout,
    ) -> &'a mut TrackedRollout {
        let begin = || TrackedRollout {
            ordered: rollout.ordered,
            exposure: Exposure::begin(gateway, rollout),
            is_view_outdated: false,
            routes: BTreeMap::new(),
        };
        let tracked = rollouts
            .entry(rollout.service.clone())
            .or_insert_with(begin);
        if tracked.ordered < rollout.ordered {
            *tracked = begin();
        }
        tracked.exposure.update(rollout);
        tracked
    }

    /// Counts an attempt as sent, whose response has begun or that ends otherwise.
    pub fn record_answer(&self, attempt: &VersionAttempt) {
        self.change(attempt, |_| {});
    }

    /// Counts the time to the first event, or to a response without events.
    pub fn record_first_event(&self, attempt: &VersionAttempt, now_ms: u64) {
        if attempt.has_latency.swap(true, Ordering::Relaxed) {
            return;
        }
        let took_ms = now_ms.saturating_sub(attempt.sent_ms.load(Ordering::Relaxed));
        let position = latency_position(took_ms);
        self.change(attempt, |counts| {
            if counts.latency_counts.len() <= position {
                counts.latency_counts.resize(position + 1, 0);
            }
            counts.latency_counts[position] += 1;
        });
    }

    /// Counts a complete answer, unless the attempt has failed before.
    pub fn record_success(&self, attempt: &VersionAttempt, now_ms: u64) {
        if attempt.is_settled.swap(true, Ordering::Relaxed) {
            return;
        }
        self.record_first_event(attempt, now_ms);
        self.change(attempt, |counts| counts.succeeded += 1);
        if attempt.side == VersionSide::New {
            let mut rollouts = self.rollouts();
            if let Some(tracked) = rollouts.get_mut(&attempt.service) {
                tracked.exposure.record_success();
            }
        }
    }

    /// Counts a failure, unless the attempt has an outcome; returns whether the counts of the new
    /// version's failures have changed.
    pub fn record_failure(&self, attempt: &VersionAttempt) -> bool {
        let is_sent = attempt.sent_ms.load(Ordering::Relaxed) > 0;
        if !is_sent || attempt.is_settled.swap(true, Ordering::Relaxed) {
            return false;
        }
        metrics::gateway_version_failure(&attempt.service, &attempt.route, &attempt.version);
        let meaning = attempt.failures.record(attempt.side);
        self.change(attempt, |counts| {
            counts.failed += u64::from(meaning == FailureMeaning::Counts);
        });
        let mut rollouts = self.rollouts();
        let Some(tracked) = rollouts.get_mut(&attempt.service) else {
            return false;
        };
        if tracked.ordered != attempt.ordered {
            return false;
        }
        if meaning == FailureMeaning::Withdraws {
            let other = match attempt.side {
                VersionSide::New => VersionSide::Old,
                VersionSide::Old => VersionSide::New,
            };
            let counts = tracked.routes.entry(attempt.route.clone()).or_default();
            let counts = counts.side(other);
            counts.failed = counts.failed.saturating_sub(1);
        }
        if attempt.side == VersionSide::New && tracked.exposure.record_failure() {
            let (decided, exposed) = tracked.exposure.counts();
            tracing::warn!(
                service = %attempt.service, version = %attempt.version, decided, exposed,
                reason = %PauseReason::Failures, "gateway: exposure paused"
            );
        }
        attempt.side == VersionSide::New || meaning == FailureMeaning::Withdraws
    }

    /// Counts an attempt that ends without an outcome, as its caller disconnected.
    pub fn record_end(&self, attempt: &VersionAttempt) {
        let is_sent = attempt.sent_ms.load(Ordering::Relaxed) > 0;
        if is_sent && !attempt.is_settled.load(Ordering::Relaxed) {
            self.record_answer(attempt);
        }
    }

    fn change(&self, attempt: &VersionAttempt, change: impl FnOnce(&mut OutcomeCounts)) {
        let mut rollouts = self.rollouts();
        let tracked = rollouts.get_mut(&attempt.service);
        let Some(tracked) = tracked.filter(|tracked| tracked.ordered == attempt.ordered) else {
            return;
        };
        let counts = tracked.routes.entry(attempt.route.clone()).or_default();
        let counts = counts.side(attempt.side);
        let is_counted = attempt.is_sent_counted.swap(true, Ordering::Relaxed);
        counts.sent += u64::from(!is_counted);
        change(counts);
    }

    /// Passes the counts of the rollouts in progress on to `report`, under the lock: of two reports
    /// the later one has the later counts. `in_progress_at_old` returns the requests in progress.
    pub fn report(
        &self,
        load_view: impl Fn() -> Arc<View>,
        in_progress_at_old: impl Fn(&ServiceName) -> (u64, RolloutStage),
        report: impl FnOnce(Vec<RolloutCounts>),
    ) {
        let mut rollouts = self.rollouts();
        let view = load_view();
        let in_progress = || {
            view.rollouts
                .values()
                .filter(|rollout| !rollout.has_ended())
        };
        rollouts.retain(|service, _| in_progress().any(|rollout| rollout.service == *service));
        let counts = in_progress().map(|rollout| {
            let tracked = Self::track(&mut rollouts, &self.gateway, rollout);
            let routes = tracked.routes.iter().map(|(route, outcomes)| RouteCounts {
                route: route.clone(),
                new: outcomes.new.clone(),
                old: outcomes.old.clone(),
            });
            let (at_old, stage) = in_progress_at_old(&rollout.service);
            RolloutCounts {
                service: rollout.service.clone(),
                ordered: rollout.ordered,
                routes: routes.collect(),
                // Without the cut-over, requests may go to old targets at any time. A leader that
                // took a count from before the cut-over for 0 would have these targets stopped.
                in_progress_at_old: match stage {
                    RolloutStage::CuttingOver => at_old,
                    _ => at_old.max(1),
                },
            }
        });
        let counts = counts.collect();
        report(counts);
    }
}

/// The position in [`OutcomeCounts::latency_counts`].
pub fn latency_position(took_ms: u64) -> usize {
    let square = u128::from(took_ms) * u128::from(took_ms);
    (u128::BITS - square.leading_zeros()) as usize
}
