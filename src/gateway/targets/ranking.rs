//! Chooses the targets that a request may use, in the order in which they are tried: by the version
//! that a rollout allows it, then by placement.

use super::*;
use crate::{
    gateway::{
        attempts::Progress,
        incoming_request::IncomingRequest,
        placement::{self, Exclusions},
        versions::{AttemptTraits, VersionRank, VersionSide, concentrate},
    },
    rollout::{Rollout, RolloutStage, VersionStanding, exposure::MAX_VIEW_AGE_MS},
};

/// New targets that an exposed request is offered to: half of the refusals that end a search.
const MAX_EXPOSED_QUEUES: usize = 2;

impl Targets {
    /// Acquires a slot, waiting in the queue of the service if necessary. Targets whose version a
    /// rollout puts second are used if no other takes the request.
    ///
    /// # Errors
    /// Returns a refusal with the verdict "not run" if no slot becomes free in time.
    pub async fn acquire(self: &Arc<Self>, query: &SlotQuery<'_>) -> Result<SlotGuard, Refusal> {
        let refusal = match self.acquire_allowed(query).await {
            Err(refusal) if self.has_fallback(query) => refusal,
            acquired => return acquired,
        };
        let fallback = SlotQuery {
            versions: query.versions.fallback(),
            ..*query
        };
        tracing::info!(
            request = query.request, service = %query.service, why = refusal.message,
            "gateway: no target of the preferred version takes it"
        );
        self.acquire_allowed(&fallback).await.map_err(|_| refusal)
    }

    fn has_fallback(&self, query: &SlotQuery) -> bool {
        let view = self.view.load();
        versions::rollout_of(&view, query.service).is_some_and(|rollout| {
            let mut targets = view.targets.values();
            targets.any(|target| {
                target.service == *query.service
                    && !target.leaving
                    && query.versions.leaves(rollout, &target.version)
            })
        })
    }

    /// Chooses the versions that the next attempt of a request may use.
    pub fn choose_versions(
        &self,
        incoming: &IncomingRequest,
        progress: &mut Progress,
    ) -> VersionChoice {
        let view = self.view.load();
        let Some(rollout) = versions::rollout_of(&view, &incoming.service) else {
            return VersionChoice::default();
        };
        let view_age_ms = view.age_ms(clock::boot_ms());
        let traits = AttemptTraits {
            has_begun: progress.last_event_ms.is_some(),
            is_resumed: incoming.metadata.resume_after.is_some(),
            may_have_run: progress.possible_runs > 0,
            is_view_current: view_age_ms.is_some_and(|age_ms| age_ms <= MAX_VIEW_AGE_MS),
        };
        let expose = || self.version_outcomes.expose(rollout, view_age_ms);
        progress.versions.choose(rollout, traits, expose)
    }

    /// Returns whether the query allows the version of a target at the present stage.
    pub(super) fn allows_version(&self, query: &SlotQuery, target: &TargetEntry) -> bool {
        let view = self.view.load();
        let rollout = versions::rollout_of(&view, query.service);
        Self::goes_on(query, target)
            && rollout.is_none_or(|rollout| query.versions.allows(rollout, &target.version))
    }

    /// Returns whether the target runs the version that began the stream, if any did.
    fn goes_on(query: &SlotQuery, target: &TargetEntry) -> bool {
        let mut version = query.stream_version.into_iter();
        version.all(|version| *version == target.version)
    }

    /// Returns what is counted of an attempt at a target, while a rollout is in progress.
    pub(super) fn version_attempt(
        &self,
        query: &SlotQuery,
        target: &TargetEntry,
    ) -> Option<Box<VersionAttempt>> {
        let view = self.view.load();
        let rollout = view.rollouts.get(query.service)?;
        let failures = query.versions.failures.clone()?;
        let version = target.version.clone();
        let attempt = VersionAttempt::new(rollout, version, query.route, failures);
        (!rollout.has_ended()).then(|| Box::new(attempt))
    }

    /// Reports what the versions answered in rollouts that are in progress.
    pub fn report_rollouts(&self) {
        if self.view.load().rollouts.is_empty() {
            return;
        }
        self.version_outcomes.report(
            || self.view.load(),
            |service| self.in_progress_at_old(service),
            |counts| self.view.report_rollouts(counts),
        );
    }

    /// Returns the requests in progress at targets that are not known to run the new version, and
    /// the stage at which they were counted.
    fn in_progress_at_old(&self, service: &ServiceName) -> (u64, RolloutStage) {
        let state = self.state();
        // After the lock: a request that chose its target by an earlier stage is counted.
        let view = self.view.load();
        let Some(rollout) = view.rollouts.get(service) else {
            return (1, RolloutStage::Exposing { share_ppm: 0 });
        };
        let new = view.targets.values().filter(|target| {
            target.service == *service
                && VersionSide::of(rollout, &target.version) == VersionSide::New
        });
        let at_new = new.filter_map(|target| state.stats.get(&target.name));
        let at_new: u64 = at_new.map(|stats| stats.in_progress).sum();
        let queue = state.queues.get(service);
        let in_progress = queue.map_or(0, |queue| queue.in_progress);
        (in_progress.saturating_sub(at_new), rollout.stage.clone())
    }

    /// Returns the slots of the available targets that requests use at the present stage of a
    /// rollout; those of retired targets if there are no others.
    pub(super) fn ready_slots(&self, state: &State, service: &ServiceName, now_ms: u64) -> u64 {
        let view = self.view.load();
        let rollout = versions::rollout_of(&view, service);
        let ready = view
            .targets
            .values()
            .filter(|t| t.service == *service && !t.leaving)
            .filter(|t| state.availability.get(t, now_ms) == Availability::Available);
        let slots_at = |wanted: VersionStanding| -> u64 {
            let standing = |target: &&TargetEntry| {
                rollout.map_or(VersionStanding::Serving, |r| r.standing(&target.version))
            };
            let ready = ready.clone().filter(|target| standing(target) == wanted);
            ready.map(|target| u64::from(target.slots)).sum()
        };
        match slots_at(VersionStanding::Serving) {
            0 => slots_at(VersionStanding::Retired),
            slots => slots,
        }
    }

    /// Returns the eligible targets, best first, and the number of suitable ones among them. For an
    /// exposed request, those of the new version come first and count as suitable.
    pub(super) fn ranked_targets(
        &self,
        state: &State,
        query: &SlotQuery,
        now_ms: u64,
    ) -> (Vec<TargetEntry>, usize) {
        let view = self.view.load();
        let serves = |target: &&TargetEntry| {
            target.service == *query.service && !target.leaving && Self::goes_on(query, target)
        };
        let serving = view.targets.values().filter(serves);
        let Some(rollout) = versions::rollout_of(&view, query.service) else {
            return self.ranked(state, query, &serving.collect::<Vec<_>>(), now_ms);
        };
        let allowed = serving.filter(|target| query.versions.allows(rollout, &target.version));
        if !query.versions.mixes(rollout) {
            return self.ranked(state, query, &allowed.collect::<Vec<_>>(), now_ms);
        }
        let (new, old): (Vec<&TargetEntry>, Vec<&TargetEntry>) = allowed.partition(|target| {
            query.versions.rank(rollout, &target.version) == Some(VersionRank::First)
        });
        let new = Self::exposable(state, query, rollout, (new, &old), now_ms);
        let (mut targets, _) = self.ranked(state, query, &new, now_ms);
        let (others, suitable) = self.ranked(state, query, &old, now_ms);
        let suitable = targets.len() + suitable;
        targets.extend(others);
        (targets, suitable)
    }

    /// Returns the new targets that an exposed request may use: few, and none that backs off or at
    /// which this gateway uses all slots.
    fn exposable<'a>(
        state: &State,
        query: &SlotQuery,
        rollout: &Rollout,
        (mut new, old): (Vec<&'a TargetEntry>, &[&TargetEntry]),
        now_ms: u64,
    ) -> Vec<&'a TargetEntry> {
        let none = Exclusions::default();
        new.retain(|target| Self::exclusions(state, query, target, now_ms) == none);
        let old_slots = old.iter().map(|target| u64::from(target.slots)).sum();
        concentrate(rollout, &mut new, old_slots);
        new.retain(|target| {
            let stats = state.stats.get(&target.name);
            stats.is_none_or(|stats| stats.in_progress < u64::from(target.slots))
        });
        // More refusals would end the search before an old target is asked.
        new.truncate(MAX_EXPOSED_QUEUES);
        new
    }

    fn exclusions(
        state: &State,
        query: &SlotQuery,
        target: &TargetEntry,
        now_ms: u64,
    ) -> Exclusions {
        let stats = state.stats.get(&target.name);
        let replaced = stats.and_then(|stats| stats.replaced);
        Exclusions {
            is_tried: query.tried_targets.contains(&target.name),
            is_backing_off: stats.is_some_and(|stats| stats.backoff_until_ms > now_ms),
            is_replaced: replaced.is_some_and(|(started_unix_ms, until_ms)| {
                started_unix_ms == target.started_unix_ms && now_ms < until_ms
            }),
            is_closed: state.availability.get(target, now_ms) != Availability::Available,
        }
    }

    /// Returns the eligible ones of these targets, best first, and the number of suitable ones among
    /// them.
    fn ranked(
        &self,
        state: &State,
        query: &SlotQuery,
        all: &[&TargetEntry],
        now_ms: u64,
    ) -> (Vec<TargetEntry>, usize) {
        let exclusions = all.iter();
        let exclusions = exclusions.map(|target| Self::exclusions(state, query, target, now_ms));
        let exclusions: Vec<Exclusions> = exclusions.collect();
        let eligible = placement::eligible(&exclusions).into_iter();
        let eligible: Vec<&TargetEntry> = eligible.map(|position| all[position]).collect();
        let order = self.order(state, &eligible, query, now_ms);
        let positions = order.positions.into_iter();
        let targets = positions.map(|position| eligible[position].clone());
        (targets.collect(), order.suitable)
    }
}
