//! The targets as this gateway sees them, and the requests that wait for a place there.

mod place;

use super::{
    admission_links::{AdmissionLinks, SlotRequest},
    notices::{Availability, AvailabilityTracker},
    placement::{self, Candidate, Eligibility, Prefix, RequestProfile},
    search::{SearchOutcome, SlotSearch},
    turnout::Turnout,
    waiting_line::{Ticket, Waiting, WaitingLine},
};
use crate::{
    clock,
    control::{
        directory::TargetEntry,
        shares::{Shares, WHOLE_PPM},
    },
    control_view::ControlView,
    entry::refusal::Refusal,
    metrics,
    target_pace::{PaceMeter, TargetPace},
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

/// While all gateways together want less than this part of the places, none is held to
/// its own part.
const UNRESTRICTED_PERCENT: u64 = 70;
/// How far beyond its part a gateway goes, as targets keep a short queue of their own.
const OVERCOMMIT_PERCENT: u64 = 130;
/// How long a target is left alone that could not be reached, at first; twice as long each
/// time, up to the most. A target that has crashed leaves the directory about as late.
const INITIAL_BACKOFF_MS: u64 = 1000;
const MAX_BACKOFF_MS: u64 = 8000;
/// A target rests that fails a larger part of its requests of late: four in a row, or about
/// every second one.
const FAILURE_THRESHOLD_PER_MILLE: u64 = 400;
/// For how long.
const FAILURE_BACKOFF_MS: u64 = 1000;
/// How long a target is left out at whose address another one answers: the directory learns
/// of such a change within seconds.
const REPLACED_EXCLUSION_MS: u64 = 4000;
/// How long a target is left alone that said that it is full.
const FULL_BACKOFF_MS: u64 = 100;
/// How long a measured time to the first event is believed.
const FIRST_EVENT_TTL_MS: u64 = 5000;
/// The time that a request takes, assumed before any was measured.
const DEFAULT_RUN_MS: u64 = 300;
/// How long a wait that an agent told is believed.
const WAIT_ESTIMATE_TTL_MS: u64 = 500;
/// The bounds of the advice when to come back.
const RETRY_AFTER_RANGE_MS: std::ops::RangeInclusive<u64> = 100..=5000;

/// The advice when to come back if no target is known to take work again.
const NO_TARGET_RETRY_AFTER_MS: u64 = 500;

/// What a request wants of a place.
pub struct SlotQuery<'a> {
    /// The request, for logs.
    pub request: &'a str,
    /// The service.
    pub service: &'a ServiceName,
    /// The route that it came by.
    pub route: &'a str,
    /// When and how urgent.
    pub waiting: Waiting,
    /// Its prompt.
    pub prefix: Prefix,
    /// Targets that have been tried.
    pub tried_targets: &'a [TargetName],
    /// How much work it is; see [`crate::grants::work_units`].
    pub work_units: u64,
    /// The tokens of its prompt.
    pub prompt_tokens: u64,
    /// The longest pause between events that is of full value to it; 0 if none is stated.
    pub pause_ms: u64,
    /// Recognises a request that was refused and came back.
    pub fingerprint: u64,
}

/// A place at a target; given back when it is dropped.
pub struct SlotGuard {
    targets: Arc<Targets>,
    service: ServiceName,
    /// The target.
    pub target: TargetEntry,
    /// How long the request waited for it.
    pub waited_ms: u64,
    began_ms: u64,
    work_units: u64,
    prompt_tokens: u64,
    slot_request: Option<SlotRequest>,
}

#[derive(Default)]
struct TargetStats {
    in_progress: u64,
    first_ms: Option<u64>,
    measured_at_ms: u64,
    backoff_until_ms: u64,
    backoff_ms: u64,
    /// The start of the target in whose place another one answered, and until when that is
    /// believed.
    replaced: Option<(u64, u64)>,
    /// The part of requests that failed of late.
    failed_per_mille: u64,
    /// How long a request would have waited there, and when that was said.
    wait_estimate: Option<(u64, u64)>,
    /// How fast it is, as its agent told.
    pace: TargetPace,
    /// The same by this gateway's own requests, for targets without an agent.
    speed_meter: PaceMeter,
}

#[derive(Default)]
struct ServiceQueue {
    waiting: WaitingLine,
    wakers: HashMap<Ticket, oneshot::Sender<()>>,
    in_progress: u64,
    run_ms: Option<u64>,
    /// How long first events or answers took of late.
    first_ms: Option<u64>,
}

#[derive(Default)]
struct State {
    stats: HashMap<TargetName, TargetStats>,
    availability: AvailabilityTracker,
    queues: BTreeMap<ServiceName, ServiceQueue>,
    shares: Shares,
    /// By route: requests of one route compete for the same purpose.
    turnouts: HashMap<String, Turnout>,
}

/// See the module.
pub struct Targets {
    view: Arc<ControlView>,
    failure_domain: FailureDomain,
    admission_links: AdmissionLinks,
    admission_port: Option<u16>,
    state: Mutex<State>,
}

impl TargetStats {
    /// How fast the target is: its agent sees the requests of all gateways.
    fn pace(&self) -> TargetPace {
        let own = self.speed_meter.pace();
        TargetPace {
            unit_micros: self.pace.unit_micros.or(own.unit_micros),
            prompt_token_nanos: self.pace.prompt_token_nanos.or(own.prompt_token_nanos),
        }
    }
}

/// Takes a request out of the line if its caller leaves.
struct QueueGuard<'a> {
    targets: &'a Targets,
    service: &'a ServiceName,
    ticket: Ticket,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.targets.state();
        let queue = state.queues.entry(self.service.clone()).or_default();
        queue.waiting.leave(self.ticket);
        queue.wakers.remove(&self.ticket);
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let mut state = self.targets.state();
        if let Some(stats) = state.stats.get_mut(&self.target.name) {
            stats.in_progress = stats.in_progress.saturating_sub(1);
        }
        let queue = state.queues.entry(self.service.clone()).or_default();
        queue.in_progress = queue.in_progress.saturating_sub(1);
        let ran_ms = clock::boot_ms().saturating_sub(self.began_ms);
        queue.run_ms = Some(
            queue
                .run_ms
                .map_or(ran_ms, |run_ms| (run_ms * 7 + ran_ms) / 8),
        );
        self.targets.wake_queue(&mut state, &self.service);
    }
}

impl Targets {
    /// No target is known yet beyond the view.
    pub fn new(
        view: Arc<ControlView>,
        failure_domain: FailureDomain,
        admission_port: Option<u16>,
    ) -> Arc<Self> {
        Arc::new(Self {
            view,
            failure_domain,
            admission_links: AdmissionLinks::default(),
            admission_port,
            state: Mutex::default(),
        })
    }

    /// Finds a place; waits for one in the line of the service if need be.
    ///
    /// # Errors
    /// Fails with a refusal, not run, if there is none in time.
    pub async fn acquire(self: &Arc<Self>, query: &SlotQuery<'_>) -> Result<SlotGuard, Refusal> {
        let view = self.view.load();
        let is_model = view
            .policy
            .service(query.service)
            .is_some_and(|service| service.is_model);
        match self.admission_port.filter(|_| is_model) {
            Some(port) => self.acquire_from_agent(query, port).await,
            None => self.acquire_from_share(query).await,
        }
    }

    /// Finds a place that the agent of a target grants. A target may have begun to leave
    /// while the request waited for it; the search goes on elsewhere then.
    async fn acquire_from_agent(
        self: &Arc<Self>,
        query: &SlotQuery<'_>,
        port: u16,
    ) -> Result<SlotGuard, Refusal> {
        if query.tried_targets.is_empty() {
            let mut state = self.state();
            Self::turnout(&mut state, query).count_asked(query.work_units);
        }
        loop {
            let now_ms = clock::boot_ms();
            let (targets, suitable) = self.ranked_targets(&self.state(), query, now_ms);
            if targets.is_empty() {
                return Err(self.no_target_refusal(&self.state(), query, now_ms));
            }
            let mut search =
                SlotSearch::new(&self.admission_links, query, &targets, suitable, port);
            let outcome = search.run().await;
            let wait_estimates = std::mem::take(&mut search.wait_estimates);
            let draining = std::mem::take(&mut search.draining);
            let speeds = std::mem::take(&mut search.speeds);
            drop(search);
            let now_ms = clock::boot_ms();
            let mut state = self.state();
            for (name, wait_ms) in wait_estimates {
                state.stats.entry(name).or_default().wait_estimate = Some((wait_ms, now_ms));
            }
            for (position, pace) in speeds {
                let name = targets[position].name.clone();
                state.stats.entry(name).or_default().pace = pace;
            }
            for position in draining {
                state
                    .availability
                    .record_draining(&targets[position], now_ms);
            }
            match outcome {
                SearchOutcome::Granted(position, slot_request)
                    if self.accepts_work(&state, &targets[position], now_ms) =>
                {
                    let target = targets[position].clone();
                    if query.tried_targets.is_empty() {
                        Self::turnout(&mut state, query).count_placed(query.work_units);
                    }
                    return Ok(self.assign_slot(
                        &mut state,
                        query,
                        target,
                        Some(slot_request),
                        now_ms,
                    ));
                }
                SearchOutcome::Granted(position, _) => {
                    let target = &targets[position].name;
                    tracing::info!(request = query.request, %target, "gateway: place given up, target leaves");
                }
                SearchOutcome::Refused(wait_ms) => {
                    let waited_ms = now_ms.saturating_sub(query.waiting.arrived_ms);
                    let message =
                        format!("a wait of {wait_ms} ms is expected, after {waited_ms} ms");
                    let refusal = Refusal::not_run(Reason::Shed, message);
                    return Err(refusal.retry_after(retry_after_ms(wait_ms)));
                }
                SearchOutcome::NoAgent => return self.choose_target(&mut state, query, now_ms),
            }
        }
    }

    /// Whether a target that was known when a search began still takes new work.
    fn accepts_work(&self, state: &State, target: &TargetEntry, now_ms: u64) -> bool {
        let view = self.view.load();
        let current = view.targets.get(&target.name);
        state.availability.get(target, now_ms) == Availability::Available
            && current.is_some_and(|current| {
                !current.leaving && current.started_unix_ms == target.started_unix_ms
            })
    }

    /// Finds a place by this gateway's part of all places.
    async fn acquire_from_share(
        self: &Arc<Self>,
        query: &SlotQuery<'_>,
    ) -> Result<SlotGuard, Refusal> {
        let now_ms = clock::boot_ms();
        if self
            .ranked_targets(&self.state(), query, now_ms)
            .0
            .is_empty()
        {
            return Err(self.no_target_refusal(&self.state(), query, now_ms));
        }
        let enqueued = {
            let mut state = self.state();
            let is_queue_empty = state
                .queues
                .entry(query.service.clone())
                .or_default()
                .waiting
                .is_empty();
            if is_queue_empty && self.has_room(&state, query.service, now_ms) {
                return self.choose_target(&mut state, query, now_ms);
            }
            Self::enqueue(&mut state, query, now_ms)?
        };
        let (ticket, woken) = enqueued;
        let queue_guard = QueueGuard {
            targets: self,
            service: query.service,
            ticket,
        };
        let left_ms = query.waiting.deadline_at_ms.saturating_sub(now_ms);
        let wake_result = timeout(Duration::from_millis(left_ms), woken).await;
        drop(queue_guard);
        let now_ms = clock::boot_ms();
        match wake_result {
            Ok(Ok(())) => self.choose_target(&mut self.state(), query, now_ms),
            Ok(Err(_)) => Err(self.shed_refusal(query, "a more urgent request took its place")),
            Err(_) => Err(self.shed_refusal(query, "no place became free in time")),
        }
    }

    fn turnout<'a>(state: &'a mut State, query: &SlotQuery) -> &'a mut Turnout {
        state.turnouts.entry(query.route.into()).or_default()
    }

    /// Whether a request of so much work is to go before others of its tier.
    pub fn favours(&self, route: &str, work_units: u64) -> bool {
        let state = self.state();
        let turnout = state.turnouts.get(route);
        turnout.is_some_and(|turnout| turnout.favours(work_units))
    }

    /// How long it takes from a place to the first event or the answer, of late.
    pub fn first_ms(&self, service: &ServiceName) -> u64 {
        let state = self.state();
        let queue = state.queues.get(service);
        queue.and_then(|queue| queue.first_ms).unwrap_or(0)
    }

    /// Takes the leader's parts.
    pub fn set_shares(&self, shares: Shares) {
        self.state().shares = shares;
    }

    /// Lets more requests go if there is room, as when targets came or parts grew.
    pub fn wake_all_queues(&self) {
        let mut state = self.state();
        let services: Vec<ServiceName> = state.queues.keys().cloned().collect();
        for service in services {
            self.wake_queue(&mut state, &service);
        }
    }

    /// The requests of each service: in progress, and waiting at this gateway.
    pub fn loads(&self) -> BTreeMap<ServiceName, (u64, u64)> {
        let state = self.state();
        let queues = state.queues.iter();
        let loads = queues.map(|(service, queue)| {
            let waiting = queue.waiting.len() as u64;
            (service.clone(), (queue.in_progress, waiting))
        });
        loads.collect()
    }

    /// Drops what is known of targets that are gone.
    pub fn sweep(&self) {
        let view = self.view.load();
        if let Some(port) = self.admission_port {
            let agents = view.targets.values();
            let agents = agents.map(|target| SocketAddr::new(target.address.ip(), port));
            let agents: HashSet<SocketAddr> = agents.collect();
            self.admission_links
                .retain(|address| agents.contains(address));
        }
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
            .turnouts
            .retain(|route, _| routes.has_route(route));
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Whether this gateway's part of the service's places has room for one more.
    fn has_room(&self, state: &State, service: &ServiceName, now_ms: u64) -> bool {
        let view = self.view.load();
        let ready = view
            .targets
            .values()
            .filter(|t| t.service == *service && !t.leaving)
            .filter(|t| state.availability.get(t, now_ms) == Availability::Available);
        let slots: u64 = ready.map(|target| u64::from(target.slots)).sum();
        let in_progress = state
            .queues
            .get(service)
            .map_or(0, |queue| queue.in_progress);
        let most = match state.shares.services.get(service) {
            Some(share) if share.wanted_by_all * 100 > slots * UNRESTRICTED_PERCENT => {
                (slots * share.ppm / WHOLE_PPM * OVERCOMMIT_PERCENT / 100).max(2)
            }
            _ => slots,
        };
        in_progress < most
    }

    fn choose_target(
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

    /// The targets that may get a request, best first, and how many of them are fit for it.
    fn ranked_targets(
        &self,
        state: &State,
        query: &SlotQuery,
        now_ms: u64,
    ) -> (Vec<TargetEntry>, usize) {
        let view = self.view.load();
        let serves = |target: &&TargetEntry| target.service == *query.service && !target.leaving;
        let all: Vec<&TargetEntry> = view.targets.values().filter(serves).collect();
        let eligibility: Vec<Eligibility> = all
            .iter()
            .map(|target| {
                let stats = state.stats.get(&target.name);
                let replaced = stats.and_then(|stats| stats.replaced);
                Eligibility {
                    is_tried: query.tried_targets.contains(&target.name),
                    is_backing_off: stats.is_some_and(|stats| stats.backoff_until_ms > now_ms),
                    is_replaced: replaced.is_some_and(|(started_unix_ms, until_ms)| {
                        started_unix_ms == target.started_unix_ms && now_ms < until_ms
                    }),
                    is_closed: state.availability.get(target, now_ms) != Availability::Available,
                }
            })
            .collect();
        let eligible = placement::eligible(&eligibility).into_iter();
        let eligible: Vec<&TargetEntry> = eligible.map(|position| all[position]).collect();
        let candidates: Vec<Candidate> = eligible
            .iter()
            .map(|target| self.candidate(state, target, now_ms))
            .collect();
        let profile = RequestProfile {
            work_units: query.work_units,
            prompt_tokens: query.prompt_tokens,
            pause_ms: query.pause_ms,
            left_ms: query.waiting.deadline_at_ms.saturating_sub(now_ms),
        };
        let order = placement::order_by_cost(
            &candidates,
            query.prefix,
            profile,
            query.fingerprint ^ now_ms,
        );
        let suitable = placement::count_suitable(&candidates, profile);
        let order = order.into_iter();
        (
            order.map(|position| eligible[position].clone()).collect(),
            suitable,
        )
    }

    fn assign_slot(
        self: &Arc<Self>,
        state: &mut State,
        query: &SlotQuery,
        target: TargetEntry,
        slot_request: Option<SlotRequest>,
        now_ms: u64,
    ) -> SlotGuard {
        let stats = state.stats.entry(target.name.clone()).or_default();
        stats.in_progress += 1;
        let queue = state.queues.entry(query.service.clone()).or_default();
        queue.in_progress += 1;
        let waited_ms = now_ms.saturating_sub(query.waiting.arrived_ms);
        metrics::gateway_placed(query.service, query.waiting.rank, waited_ms);
        tracing::debug!(
            request = query.request, target = %target.name, in_progress = stats.in_progress,
            first_ms = ?stats.first_ms, waited_ms,
            "gateway: placed"
        );
        SlotGuard {
            targets: Arc::clone(self),
            service: query.service.clone(),
            target,
            waited_ms,
            began_ms: now_ms,
            work_units: query.work_units,
            prompt_tokens: query.prompt_tokens,
            slot_request,
        }
    }

    fn candidate(&self, state: &State, target: &TargetEntry, now_ms: u64) -> Candidate {
        let stats = state.stats.get(&target.name);
        let fresh_stats = stats.filter(|stats| now_ms < stats.measured_at_ms + FIRST_EVENT_TTL_MS);
        Candidate {
            name: target.name.clone(),
            in_progress: stats.map_or(0, |stats| stats.in_progress),
            slots: u64::from(target.slots),
            wait_ms: stats
                .and_then(|stats| stats.wait_estimate)
                .filter(|(_, at_ms)| now_ms < at_ms + WAIT_ESTIMATE_TTL_MS)
                .map_or(0, |(wait_ms, _)| wait_ms),
            first_ms: fresh_stats.and_then(|stats| stats.first_ms),
            pace: stats.map_or_else(TargetPace::default, TargetStats::pace),
            is_near: target.failure_domain == self.failure_domain,
            warming_up: target.warming_up,
        }
    }

    /// Joins the line, unless the wait would be longer than there is time.
    fn enqueue(
        state: &mut State,
        query: &SlotQuery,
        now_ms: u64,
    ) -> Result<(Ticket, oneshot::Receiver<()>), Refusal> {
        let queue = state.queues.entry(query.service.clone()).or_default();
        let wait_ms = queue.expected_wait_ms(&query.waiting, now_ms);
        let left_ms = query.waiting.deadline_at_ms.saturating_sub(now_ms);
        if wait_ms > left_ms {
            let message = format!("a wait of {wait_ms} ms is expected and {left_ms} ms are left");
            let refusal = Refusal::not_run(Reason::Shed, message);
            return Err(refusal.retry_after(retry_after_ms(wait_ms)));
        }
        let ticket = queue.waiting.join(query.waiting);
        let (waker, woken) = oneshot::channel();
        queue.wakers.insert(ticket, waker);
        Ok((ticket, woken))
    }

    /// A refusal as no target takes work; if some want nothing for a while, until the first
    /// of these takes work again.
    fn no_target_refusal(&self, state: &State, query: &SlotQuery, now_ms: u64) -> Refusal {
        let view = self.view.load();
        let of_service = view
            .targets
            .values()
            .filter(|t| t.service == *query.service);
        let waits = of_service.filter_map(|target| match state.availability.get(target, now_ms) {
            Availability::PausedUntil(until_ms) => Some(until_ms - now_ms),
            Availability::Available | Availability::Draining => None,
        });
        let wait_ms = waits.min().map_or(NO_TARGET_RETRY_AFTER_MS, retry_after_ms);
        let message = format!("no target of {} takes work", query.service);
        Refusal::not_run(Reason::NoTarget, message).retry_after(wait_ms)
    }

    fn shed_refusal(&self, query: &SlotQuery, message: &str) -> Refusal {
        let now_ms = clock::boot_ms();
        let mut state = self.state();
        let queue = state.queues.entry(query.service.clone()).or_default();
        let wait_ms = queue.expected_wait_ms(&query.waiting, now_ms);
        let refusal = Refusal::not_run(Reason::Shed, message);
        refusal.retry_after(retry_after_ms(wait_ms))
    }

    /// Lets requests go while there is room.
    fn wake_queue(&self, state: &mut State, service: &ServiceName) {
        let now_ms = clock::boot_ms();
        // A request that goes counts only once it has run on; the others wait for it.
        let mut woken = 0;
        while self.has_room_with(state, service, woken, now_ms) {
            let Some(queue) = state.queues.get_mut(service) else {
                return;
            };
            let Some(ticket) = queue.waiting.next(now_ms) else {
                return;
            };
            if let Some(waker) = queue.wakers.remove(&ticket) {
                woken += u64::from(waker.send(()).is_ok());
            }
        }
    }

    fn has_room_with(
        &self,
        state: &mut State,
        service: &ServiceName,
        woken: u64,
        now_ms: u64,
    ) -> bool {
        let Some(queue) = state.queues.get_mut(service) else {
            return false;
        };
        queue.in_progress += woken;
        let room = self.has_room(state, service, now_ms);
        if let Some(queue) = state.queues.get_mut(service) {
            queue.in_progress -= woken;
        }
        room
    }
}

fn retry_after_ms(wait_ms: u64) -> u64 {
    wait_ms.clamp(*RETRY_AFTER_RANGE_MS.start(), *RETRY_AFTER_RANGE_MS.end())
}

impl ServiceQueue {
    /// How long a new request of a rank would wait.
    fn expected_wait_ms(&self, waiting: &Waiting, now_ms: u64) -> u64 {
        let ahead = self.waiting.ahead_of(waiting, now_ms) as u64 + 1;
        ahead * self.run_ms.unwrap_or(DEFAULT_RUN_MS) / self.in_progress.max(1)
    }
}
