//! Target selection: health and load of the targets, and the queues of requests that wait for a
//! slot.

mod agent_slots;
mod feedback;
mod local_share;
mod ordering;
mod ranking;
mod refusals;
mod stream_versions;

use self::{local_share::ServiceQueue, stream_versions::StreamVersions};
use super::{
    admission_links::{AdmissionLinks, PendingSlotRequest},
    dialect::PromptPart,
    notices::{Availability, AvailabilityTracker},
    request_queue::{QueuedRequest, RequestQueue, Ticket},
    shared_queues::SharedQueues,
    starvation::LongWorkShare,
    version_outcomes::{VersionAttempt, VersionOutcomes},
    versions::{self, VersionChoice},
};
use crate::{
    clock,
    control::{
        directory::{LimitReport, TargetEntry},
        shares::{PPM_PER_UNIT, Shares},
    },
    control_view::{ControlView, View},
    entry::refusal::Refusal,
    metrics,
    request_limit::RequestLimit,
    scheduling::prefix_cache::PrefixTable,
    settings::{PlacementRule, PrefixCacheRule},
    target_pace::{SpeedMeter, TargetSpeed},
    units::*,
    verdict::Reason,
};
use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{sync::oneshot, time::timeout};

/// First backoff of an unreachable target, which doubles with each failure up to
/// [`MAX_BACKOFF_MS`]. A crashed target disappears from the directory after about that time.
const INITIAL_BACKOFF_MS: u64 = 1000;
const MAX_BACKOFF_MS: u64 = 8000;
/// Failure rate above which a target backs off: reached by four failures in a row, or by about
/// every second request failing.
const FAILURE_THRESHOLD_PER_MILLE: u64 = 400;
/// Backoff of a target above that failure rate.
const FAILURE_BACKOFF_MS: u64 = 1000;
/// Time that a target is excluded after another one answered at its address: the directory
/// learns of such a change within seconds.
const REPLACED_EXCLUSION_MS: u64 = 4000;
/// Backoff of a target that reported that it is full.
const FULL_BACKOFF_MS: u64 = 100;
/// Properties of a request that a slot is needed for.
pub struct SlotQuery<'a> {
    /// Request id, for logs.
    pub request: &'a str,
    /// Service that the request goes to.
    pub service: &'a ServiceName,
    /// Route of the request.
    pub route: &'a str,
    /// Tier, objective and deadline of the request.
    pub waiting: QueuedRequest,
    /// Parts of its prompt; empty if the route shares none.
    pub parts: &'a [PromptPart],
    /// Targets of earlier attempts.
    pub tried_targets: &'a [TargetName],
    /// Expected work; see [`crate::grants::work_units`].
    pub work_units: u64,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Longest pause between events that still meets the objective; 0 if there is no limit.
    pub pause_ms: u64,
    /// Identifies a request that its caller retries after a refusal.
    pub fingerprint: u64,
    /// Versions of the targets that it may use.
    pub versions: VersionChoice,
    /// The version that began its stream, which alone may go on with it.
    pub stream_version: Option<&'a TargetVersion>,
}

/// A slot at a target, released when the guard is dropped.
pub struct SlotGuard {
    targets: Arc<Targets>,
    service: ServiceName,
    /// Target that the slot belongs to.
    pub target: TargetEntry,
    /// Time that the request waited for the slot.
    pub waited_ms: u64,
    began_ms: u64,
    work_units: u64,
    prompt_tokens: u64,
    slot_request: Option<PendingSlotRequest>,
    /// What is counted of a rollout in progress.
    version_attempt: Option<Box<VersionAttempt>>,
    /// Whether no request was sent: the target's limit allowed none, or it was not needed.
    is_held_back: bool,
}

#[derive(Default)]
struct TargetStats {
    in_progress: u64,
    /// When the latest slot was acquired.
    acquired_ms: u64,
    /// Whether it has been logged that the target leaves or is gone.
    departure_logged: bool,
    first_ms: Option<u64>,
    measured_at_ms: u64,
    backoff_until_ms: u64,
    backoff_ms: u64,
    /// Start time of the target at whose address another one answered, and the time until
    /// which it is excluded.
    replaced: Option<(u64, u64)>,
    /// Moving average of the failure rate.
    failed_per_mille: u64,
    /// Wait last reported by the agent, and the time of the report.
    wait_estimate: Option<(u64, u64)>,
    /// Speed reported by the agent.
    speed: TargetSpeed,
    /// Speed measured with this gateway's own requests, for targets without an agent.
    speed_meter: SpeedMeter,
}

#[derive(Default)]
struct State {
    stats: HashMap<TargetName, TargetStats>,
    availability: AvailabilityTracker,
    queues: BTreeMap<ServiceName, ServiceQueue>,
    shares: Shares,
    prefixes: PrefixTable,
    /// Long and short work per route, since requests of one route serve the same purpose.
    long_work_shares: HashMap<String, LongWorkShare>,
}

/// Targets of all services with their queues.
pub struct Targets {
    view: Arc<ControlView>,
    failure_domain: FailureDomain,
    admission_links: AdmissionLinks,
    admission_port: Option<u16>,
    /// Queues of plain targets that agents keep; `None` if the settings do not enable them.
    shared_queues: Option<SharedQueues>,
    version_outcomes: VersionOutcomes,
    stream_versions: Mutex<StreamVersions>,
    rules: (PlacementRule, PrefixCacheRule),
    state: Mutex<State>,
}

impl TargetStats {
    /// Returns the speed of the target. The agent's measurement takes precedence, because it
    /// covers the requests of all gateways.
    fn speed(&self) -> TargetSpeed {
        let own = self.speed_meter.speed();
        TargetSpeed {
            unit_micros: self.speed.unit_micros.or(own.unit_micros),
            prompt_token_nanos: self.speed.prompt_token_nanos.or(own.prompt_token_nanos),
        }
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.end_version_attempt();
        let mut state = self.targets.state();
        if let Some(stats) = state.stats.get_mut(&self.target.name) {
            stats.in_progress = stats.in_progress.saturating_sub(1);
        }
        let queue = state.queues.entry(self.service.clone()).or_default();
        queue.in_progress = queue.in_progress.saturating_sub(1);
        if !self.is_held_back {
            let ran_ms = clock::boot_ms().saturating_sub(self.began_ms);
            let average_ms = queue.run_ms.unwrap_or(ran_ms);
            queue.run_ms = Some((average_ms * 7 + ran_ms) / 8);
        }
        self.targets.wake_queue(&mut state, &self.service);
    }
}

impl Targets {
    /// Creates the state without any measurements.
    pub fn new(
        view: Arc<ControlView>,
        gateway: ProcessName,
        failure_domain: FailureDomain,
        admission_port: Option<u16>,
        has_shared_queues: bool,
        rules: (PlacementRule, PrefixCacheRule),
    ) -> Arc<Self> {
        Arc::new(Self {
            view,
            failure_domain,
            admission_links: AdmissionLinks::default(),
            admission_port,
            shared_queues: has_shared_queues.then(SharedQueues::default),
            version_outcomes: VersionOutcomes::new(gateway),
            stream_versions: Mutex::default(),
            rules,
            state: Mutex::default(),
        })
    }

    /// Acquires a slot at a target of the versions that the query allows, waiting in the queue of the
    /// service if necessary.
    async fn acquire_allowed(
        self: &Arc<Self>,
        query: &SlotQuery<'_>,
    ) -> Result<SlotGuard, Refusal> {
        match self.slot_source(query.service) {
            Some(source) => self.acquire_from_agent(query, source).await,
            None => self.acquire_from_share(query).await,
        }
    }

    /// Returns whether a target found by a search still accepts new work.
    fn accepts_work(&self, state: &State, target: &TargetEntry, now_ms: u64) -> bool {
        state.availability.get(target, now_ms) == Availability::Available && self.lists(target)
    }

    /// Returns whether this run of a target is listed and does not leave.
    fn lists(&self, target: &TargetEntry) -> bool {
        let view = self.view.load();
        let current = view.targets.get(&target.name);
        current.is_some_and(|current| {
            !current.leaving
                && current.started_unix_ms == target.started_unix_ms
                && !versions::is_withheld(&view, current)
        })
    }

    /// Returns whether this run of a target leaves or is gone, by the directory or its own word.
    fn has_departed(&self, target: &TargetEntry) -> bool {
        let now_ms = clock::boot_ms();
        !self.lists(target)
            || self.state().availability.get(target, now_ms) == Availability::Draining
    }

    /// Returns whether a request could go to another target than this one.
    pub fn has_alternative(&self, query: &SlotQuery, target: &TargetName) -> bool {
        let (targets, _) = self.ranked_targets(&self.state(), query, clock::boot_ms());
        targets.iter().any(|other| other.name != *target)
    }

    fn long_work_share<'a>(state: &'a mut State, query: &SlotQuery) -> &'a mut LongWorkShare {
        state
            .long_work_shares
            .entry(query.route.into())
            .or_default()
    }

    /// Returns whether a request with this work has priority over others of its tier.
    pub fn has_priority(&self, route: &str, work_units: u64) -> bool {
        let state = self.state();
        let share = state.long_work_shares.get(route);
        share.is_some_and(|share| share.has_priority(work_units))
    }

    /// Returns the recent average time from a slot to the first event or response; 0 if unknown.
    pub fn first_ms(&self, service: &ServiceName) -> u64 {
        let state = self.state();
        let queue = state.queues.get(service);
        queue.and_then(|queue| queue.first_ms).unwrap_or(0)
    }

    /// Stores the shares that the leader assigned.
    pub fn set_shares(&self, shares: Shares) {
        self.state().shares = shares;
    }

    /// Wakes waiting requests of all services, as targets may have been added or shares may
    /// have grown.
    pub fn wake_all_queues(&self) {
        let mut state = self.state();
        let services: Vec<ServiceName> = state.queues.keys().cloned().collect();
        for service in services {
            self.wake_queue(&mut state, &service);
        }
    }

    /// Returns the number of requests in progress and waiting at this gateway, per service.
    pub fn loads(&self) -> BTreeMap<ServiceName, (u64, u64)> {
        let state = self.state();
        let queues = state.queues.iter();
        let loads = queues.map(|(service, queue)| {
            let waiting = queue.waiting.len() as u64;
            (service.clone(), (queue.in_progress, waiting))
        });
        loads.collect()
    }

    /// Takes over the limits of targets that the directory has, and returns those that it lacks.
    pub fn exchange_limits(&self) -> Vec<LimitReport> {
        let (view, now_ms) = (self.view.load(), clock::boot_ms());
        let mut state = self.state();
        let has_limit = |target: &&TargetEntry| target.limit != RequestLimit::default();
        for target in view.targets.values().filter(has_limit) {
            let before = state.availability.limit(target);
            if state.availability.merge_limit(target, now_ms) {
                feedback::log_limit(target, before, target.limit, "directory", 0);
            }
        }
        let targets = view.targets.values();
        let reports = targets.filter_map(|target| state.availability.limit_report(target));
        reports.collect()
    }

    /// Logs once for each target that leaves or is gone what this gateway still has there, and the
    /// age of the view that it knows this from.
    fn log_departures(&self, view: &View) {
        let now_ms = clock::boot_ms();
        for (name, stats) in &mut self.state().stats {
            let listed = view.targets.get(name);
            let has_departed = listed.is_none_or(|target| target.leaving);
            if has_departed && !stats.departure_logged {
                tracing::info!(
                    target = %name, listed = listed.is_some(), in_progress = stats.in_progress,
                    last_slot_ms_ago = now_ms.saturating_sub(stats.acquired_ms),
                    view_age_ms = view.age_ms(now_ms), term = view.fencing.0,
                    "gateway: target has departed"
                );
            }
            stats.departure_logged = has_departed;
        }
    }

    /// Removes the state of targets and routes that no longer exist.
    pub fn sweep(&self) {
        let view = self.view.load();
        self.log_departures(&view);
        metrics::gateway_document_version(view.policy.version);
        metrics::gateway_view_age(view.age_ms(clock::boot_ms()).unwrap_or(0));
        self.update_agents(&view);
        self.update_streams(&view);
        self.state()
            .stats
            .retain(|name, stats| stats.in_progress > 0 || view.targets.contains_key(name));
        let is_listed = |name: &TargetName, started_unix_ms| {
            let listed = view.targets.get(name);
            listed.is_some_and(|target| target.started_unix_ms == started_unix_ms)
        };
        self.state().availability.sweep(is_listed, clock::boot_ms());
        let routes = &view.policy;
        self.state()
            .long_work_shares
            .retain(|route, _| routes.has_route(route));
        let is_listed = |service: &ServiceName| routes.service(service).is_some();
        self.state().prefixes.retain_services(is_listed);
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Takes a slot at the best target, without checking that one is free.
    fn assign_best(
        self: &Arc<Self>,
        state: &mut State,
        query: &SlotQuery,
        now_ms: u64,
    ) -> Result<SlotGuard, Refusal> {
        match self
            .ranked_targets(state, query, now_ms)
            .0
            .into_iter()
            .next()
        {
            Some(target) => Ok(self.assign_slot(state, query, target, None, now_ms)),
            None => Err(self.no_target_refusal(state, query, now_ms)),
        }
    }

    /// Like [`Self::assign_best`], but leaves out targets that state a limit.
    fn assign_unlimited(
        self: &Arc<Self>,
        state: &mut State,
        query: &SlotQuery,
        now_ms: u64,
    ) -> Result<SlotGuard, Refusal> {
        let (targets, _) = self.ranked_targets(state, query, now_ms);
        let mut targets = targets.into_iter();
        match targets.find(|target| state.availability.limit(target).rate.is_none()) {
            Some(target) => Ok(self.assign_slot(state, query, target, None, now_ms)),
            None => Err(self.no_target_refusal(state, query, now_ms)),
        }
    }

    fn assign_slot(
        self: &Arc<Self>,
        state: &mut State,
        query: &SlotQuery,
        target: TargetEntry,
        mut slot_request: Option<PendingSlotRequest>,
        now_ms: u64,
    ) -> SlotGuard {
        if let Some(slot_request) = &mut slot_request {
            slot_request.is_used = true;
        }
        self.record_prefix_use(state, query, &target, now_ms);
        let stats = state.stats.entry(target.name.clone()).or_default();
        stats.in_progress += 1;
        stats.acquired_ms = now_ms;
        let queue = state.queues.entry(query.service.clone()).or_default();
        queue.in_progress += 1;
        let waited_ms = now_ms.saturating_sub(query.waiting.arrived_ms);
        metrics::gateway_wait(query.service, query.waiting.rank, waited_ms);
        tracing::debug!(
            request = query.request, target = %target.name, in_progress = stats.in_progress,
            first_ms = ?stats.first_ms, waited_ms,
            "gateway: placed"
        );
        SlotGuard {
            targets: Arc::clone(self),
            service: query.service.clone(),
            version_attempt: self.version_attempt(query, &target),
            target,
            waited_ms,
            began_ms: now_ms,
            work_units: query.work_units,
            prompt_tokens: query.prompt_tokens,
            slot_request,
            is_held_back: false,
        }
    }
}
