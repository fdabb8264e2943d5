//! Admission control of an [`AdmissionAgent`](super::AdmissionAgent), which serves gateways: the
//! slots of one target and the queue of requests for them, as a pure state machine without I/O.
//! Entries are served by [`Admission`](super::Admission) instead.
//!
//! | input | use |
//! |---|---|
//! | number of slots of the target | maximum number of requests that run concurrently |
//! | the queue, see [`RequestQueue`] | which request is granted a slot next |
//! | recent run times and times to first event | the target's speed, and from it the expected duration of a request |
//! | prompts in prefill | another prompt is held back while its prefill would stall running streams for too long |
//! | rate at which requests leave the queue | expected waits: a request queues at several agents, so most leave without being served here |
//! | limit that the target states | no more grants than it allows; see [`RequestPace`] |
//! | refusals of a plain target, and its mean run time | how many of its slots are granted; see [`SlotCeiling`] |
//! | deadlines | a request that cannot be answered in time is refused immediately |
//!
//! Outputs: grants, expected waits, and refusals with the wait that was expected.

use super::slot_ceiling::SlotCeiling;
use crate::{
    gateway::{
        placement::MAX_PREFILL_PERCENT,
        request_queue::{Precedence, PriorityClass, QueuedRequest, RequestQueue, Ticket},
    },
    grants::SlotRequest,
    request_limit::{KnownLimit, RequestLimit},
    request_pace::RequestPace,
    scheduling::{
        admission::{self, ClassRate, Forecast, Margin},
        fair_share::{CustomerKey, ExpectedTags, FairShares},
    },
    target_pace::{DEFAULT_UNIT_MICROS, SpeedMeter, TargetSpeed},
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Mean work of a request until one has finished.
const DEFAULT_RUN_UNITS: u64 = 100;
/// A new sample has a weight of one in this many in the mean work.
const MEAN_WORK_SAMPLES: u64 = 16;
/// Time after which a prompt no longer counts as in prefill if no first event was reported:
/// its gateway may be frozen.
const PREFILL_TIMEOUT_MS: u64 = 2000;
/// Time for which starvation of a class of requests is remembered after the last of them was
/// queued.
const STARVATION_TTL_MS: u64 = 500;

/// Window over which the departure rate of the queue is averaged.
const DEPARTURE_WINDOW_MS: u64 = 1000;
/// Maximum number of refused requests kept to recognise retries.
const MAX_RECENT_REFUSALS: usize = 512;

/// Longest time that one update adds to the rates of the classes: a frozen process must not count as
/// a time without departures.
const MAX_RATE_STEP_MS: u64 = 200;
/// Time for which queued requests are judged again after the target lost slots.
const CAPACITY_LOSS_MS: u64 = 1000;

/// Period in which no request of a class was granted a slot although some were queued.
#[derive(Clone, Copy, Debug)]
struct Starvation {
    since_ms: u64,
    last_queued_ms: u64,
}

/// How requests are admitted to the queue and ordered in it.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlotsOptions {
    /// See [`crate::settings::AdmissionSettings::early_refusals`].
    pub early_refusals: bool,
    /// See [`crate::settings::AdmissionSettings::fair_shares`].
    pub fair_shares: bool,
}

/// Identifies a request across all links of the agent: the link number, then the ticket number
/// on that link.
pub type RequestKey = (u64, u64);

/// Reply to the gateway that sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reply {
    /// The request holds a slot.
    Granted(RequestKey),
    /// The request is queued; carries the expected wait in milliseconds.
    Queued(RequestKey, u64),
    /// The request is refused, as the expected wait is too long; carries that wait in
    /// milliseconds.
    Refused(RequestKey, u64),
    /// The request is refused, as the target's limit allows it too late; carries the wait in
    /// milliseconds.
    Limited(RequestKey, u64),
    /// The target is draining and accepts no new requests.
    Leaves(RequestKey),
}

/// See [`Slots::forecast_key`].
type ForecastKey = (Precedence, CustomerKey);

#[derive(Clone, Copy, Debug)]
struct QueueEntry {
    key: RequestKey,
    units: u64,
    prompt_tokens: u64,
    pause_ms: u64,
    fingerprint: u64,
}

/// Queued requests that are forecast together: those that go before another one, and all past their
/// objective.
#[derive(Clone, Copy, Debug, Default)]
struct ClassCounts {
    all: u64,
    past_objective: u64,
}

/// A request that holds a slot.
#[derive(Clone, Copy, Debug)]
struct RunningRequest {
    units: u64,
    prompt_tokens: u64,
    pause_ms: u64,
    granted_ms: u64,
    /// Prompt tokens in prefill when the slot was granted, including its own; `None` after its
    /// first event.
    prefill_tokens: Option<u64>,
    /// As it was queued.
    queued: QueuedRequest,
}

/// Slots of one target and the queue for them; see the [module](self).
#[derive(Debug)]
pub struct Slots {
    options: SlotsOptions,
    capacity: u64,
    queue: RequestQueue,
    waiting: BTreeMap<Ticket, (QueueEntry, QueuedRequest)>,
    tickets: BTreeMap<RequestKey, Ticket>,
    running: BTreeMap<RequestKey, RunningRequest>,
    meter: SpeedMeter,
    mean_units: u64,
    departures: u64,
    departures_since_ms: u64,
    departures_milli_per_s: u64,
    recent_refusals: VecDeque<u64>,
    limit: KnownLimit,
    pace: RequestPace,
    /// Number of grants at a plain target; `None` for the agent's own target.
    ceiling: Option<SlotCeiling>,
    /// Time before which no slot is granted, as gateways announce their running requests.
    settles_until_ms: u64,
    /// Classes of which requests are queued and none has been granted a slot. Here the class
    /// `(precedence, false)` holds all requests of the precedence, and `(precedence, true)` those
    /// of them that are past their objective. An entry starts when a request of the class is
    /// queued, and ends when one is granted a slot or none was queued for [`STARVATION_TTL_MS`].
    starving: BTreeMap<PriorityClass, Starvation>,
    /// Rates of all requests that are forecast together, and of those of them that are past their
    /// objective, with [`SlotsOptions::early_refusals`].
    class_rates: BTreeMap<(ForecastKey, bool), ClassRate>,
    /// With [`SlotsOptions::fair_shares`].
    shares: FairShares,
    /// Margins of the expected waits, with [`SlotsOptions::early_refusals`].
    margins: BTreeMap<ForecastKey, Margin>,
    /// When the rates were last updated.
    rates_updated_ms: u64,
    /// Until when queued requests are judged again because the target lost slots.
    capacity_lost_until_ms: u64,
}

impl Default for Slots {
    fn default() -> Self {
        Self {
            options: SlotsOptions::default(),
            capacity: 1,
            queue: RequestQueue::default(),
            waiting: BTreeMap::new(),
            tickets: BTreeMap::new(),
            running: BTreeMap::new(),
            meter: SpeedMeter::default(),
            mean_units: DEFAULT_RUN_UNITS,
            departures: 0,
            departures_since_ms: 0,
            departures_milli_per_s: 0,
            recent_refusals: VecDeque::new(),
            limit: KnownLimit::default(),
            pace: RequestPace::new(0),
            ceiling: None,
            settles_until_ms: 0,
            starving: BTreeMap::new(),
            class_rates: BTreeMap::new(),
            margins: BTreeMap::new(),
            shares: FairShares::default(),
            rates_updated_ms: 0,
            capacity_lost_until_ms: 0,
        }
    }
}

impl Slots {
    /// Creates slots without any measurements.
    pub fn new(options: SlotsOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Creates the slots of a plain target. Work is assumed to be as short as it can be until a request has finished: the default of model
    /// targets would give waits of seconds for requests of some 30 ms, and refuse them.
    pub fn of_plain_target(options: SlotsOptions) -> Self {
        Self {
            options,
            mean_units: 0,
            ceiling: Some(SlotCeiling::default()),
            ..Self::default()
        }
    }

    /// Grants no slot before this time: gateways announce their running requests until then.
    pub fn settle_until(&mut self, until_ms: u64) {
        self.settles_until_ms = until_ms;
    }

    /// Takes over a running request that another agent granted a slot.
    pub fn resume(&mut self, key: RequestKey, request: &SlotRequest, now_ms: u64) {
        self.capacity = u64::from(request.slots).max(1);
        let running = RunningRequest {
            units: request.work_units,
            prompt_tokens: request.prompt_tokens,
            pause_ms: request.pause_ms,
            granted_ms: now_ms,
            prefill_tokens: None,
            queued: self.queued_request(request, now_ms),
        };
        self.running.insert(key, running);
    }

    /// Records that the target refused a granted request because it is full; returns the number
    /// of slots that are granted from now on.
    pub fn record_full(&mut self, key: RequestKey, now_ms: u64) -> Option<u64> {
        let (slots, running) = (self.capacity, self.running.len() as u64);
        let ceiling = self.ceiling.as_mut();
        let ceiling = ceiling.filter(|_| self.running.contains_key(&key));
        ceiling.map(|ceiling| ceiling.record_full(slots, running, now_ms))
    }

    /// Maximum number of requests that hold a slot.
    fn grant_limit(&self, now_ms: u64) -> u64 {
        let is_measured = self.mean_units > 0 && self.speed().unit_micros.is_some();
        let run_ms = is_measured.then(|| self.work_ms(self.mean_units));
        let ceiling = self.ceiling.as_ref();
        ceiling.map_or(self.capacity, |ceiling| {
            ceiling.limit(self.capacity, run_ms, now_ms)
        })
    }

    /// The request as it stands in the queue.
    fn queued_request(&self, request: &SlotRequest, now_ms: u64) -> QueuedRequest {
        QueuedRequest {
            rank: request.rank,
            route_rank: request.route_rank,
            arrived_ms: now_ms.saturating_sub(request.waited_ms),
            objective_at_ms: now_ms.saturating_add(request.objective_left_ms),
            first_event_by_ms: now_ms.saturating_add(request.begin_left_ms),
            deadline_at_ms: now_ms.saturating_add(request.deadline_left_ms),
            expected_run_ms: self.work_ms(request.work_units),
            is_retry: request.is_return || self.remembers(request.fingerprint),
            is_favoured: request.is_favoured,
            share: request.share,
        }
    }

    /// Grants a slot, queues the request or refuses it.
    pub fn request_slot(
        &mut self,
        key: RequestKey,
        request: &SlotRequest,
        now_ms: u64,
    ) -> Vec<Reply> {
        self.set_capacity(u64::from(request.slots).max(1), now_ms);
        let waiting = self.queued_request(request, now_ms);
        let forecast = self.forecast(&waiting, now_ms);
        let wait_ms = forecast.wait_ms(&waiting, now_ms);
        let would_starve = self.starved_ms(&waiting, now_ms) > request.begin_left_ms;
        if would_starve || forecast.misses(&waiting, now_ms) {
            self.record_refusal(request.fingerprint);
            let told_ms = forecast.refused_wait_ms(&waiting, now_ms);
            return vec![self.refusal(key, told_ms, now_ms)];
        }
        let ticket = self.queue.push(waiting);
        let entry = QueueEntry {
            key,
            units: request.work_units,
            prompt_tokens: request.prompt_tokens,
            pause_ms: request.pause_ms,
            fingerprint: request.fingerprint,
        };
        self.waiting.insert(ticket, (entry, waiting));
        self.tickets.insert(key, ticket);
        let mut replies = self.grant(now_ms);
        if self.tickets.contains_key(&key) {
            self.record_starvation(&waiting, now_ms);
            replies.push(Reply::Queued(key, wait_ms));
        }
        replies
    }

    /// Records the first event of a running request.
    pub fn record_first_event(&mut self, key: RequestKey, now_ms: u64) -> Vec<Reply> {
        let running = self.running.get_mut(&key);
        let prefill =
            running.and_then(|running| Some((running.granted_ms, running.prefill_tokens.take()?)));
        if let Some((granted_ms, prefill_tokens)) = prefill {
            let took_ms = now_ms.saturating_sub(granted_ms);
            self.meter.record_first_event(took_ms, prefill_tokens);
        }
        self.grant(now_ms)
    }

    /// Removes a request from the queue or releases its slot. `ran_ms` is given if it finished.
    pub fn release(&mut self, key: RequestKey, ran_ms: Option<u64>, now_ms: u64) -> Vec<Reply> {
        if let Some((_, waiting)) = self.remove_queued(key) {
            self.record_departure(&waiting, now_ms);
        }
        let running = self.running.remove(&key);
        if let Some(running) = running.filter(|_| self.options.fair_shares) {
            let (queued, held_ms) = (running.queued, now_ms.saturating_sub(running.granted_ms));
            let (precedence, expected_ms) = (queued.precedence(), queued.expected_run_ms);
            self.shares
                .correct(precedence, queued.share, expected_ms, held_ms);
        }
        if let (Some(RunningRequest { units, .. }), Some(ran_ms)) = (running, ran_ms) {
            self.mean_units = match self.mean_units {
                0 => units,
                mean => (mean * (MEAN_WORK_SAMPLES - 1)).saturating_add(units) / MEAN_WORK_SAMPLES,
            };
            self.meter.record_run(ran_ms, units);
        }
        self.grant(now_ms)
    }

    /// Removes a request for which nothing was sent to the target from the queue, or releases its
    /// slot.
    pub fn release_unused(&mut self, key: RequestKey, now_ms: u64) -> Vec<Reply> {
        if self.running.contains_key(&key) {
            self.pace.give_back();
        }
        self.release(key, None, now_ms)
    }

    /// Removes a request whose caller is refused from the queue.
    pub fn abandon(&mut self, key: RequestKey, now_ms: u64) -> Vec<Reply> {
        match self.remove_queued(key) {
            Some((entry, waiting)) => {
                self.record_late_refusal(&waiting, now_ms);
                self.record_refusal(entry.fingerprint);
                self.grant(now_ms)
            }
            // The grant was on its way.
            None => self.release_unused(key, now_ms),
        }
    }

    /// Returns whether the request with this fingerprint was refused recently.
    pub fn remembers(&self, fingerprint: u64) -> bool {
        self.recent_refusals.contains(&fingerprint)
    }

    /// Records that the request with this fingerprint was refused, here or by a gateway.
    pub fn record_refusal(&mut self, fingerprint: u64) {
        if self.remembers(fingerprint) {
            return;
        }
        self.recent_refusals.push_back(fingerprint);
        if self.recent_refusals.len() > MAX_RECENT_REFUSALS {
            self.recent_refusals.pop_front();
        }
    }

    /// Takes over the limit that the target states, as a gateway knows it; returns whether it has
    /// changed.
    pub fn set_limit(&mut self, limit: RequestLimit, now_ms: u64) -> bool {
        let was_limited = self.limit.limit().rate.is_some();
        let is_changed = self.limit.merge(limit, now_ms);
        if is_changed && !was_limited {
            self.pace = RequestPace::new(now_ms);
        }
        is_changed
    }

    /// Drops the limit, as the target has restarted.
    pub fn clear_limit(&mut self) {
        self.limit = KnownLimit::default();
    }

    /// Limit that the target states.
    pub fn limit(&self) -> RequestLimit {
        self.limit.limit()
    }

    /// Releases all requests of a closed link.
    pub fn close_link(&mut self, link: u64, now_ms: u64) -> Vec<Reply> {
        let keys = self.tickets.keys().chain(self.running.keys());
        let keys: BTreeSet<RequestKey> = keys.filter(|key| key.0 == link).copied().collect();
        let replies: Vec<Vec<Reply>> = keys
            .into_iter()
            .map(|key| self.release(key, None, now_ms))
            .collect();
        let to_open_link = |reply: &Reply| !matches!(reply, Reply::Granted(key) if key.0 == link);
        replies.into_iter().flatten().filter(to_open_link).collect()
    }

    /// Empties the queue, as the target accepts no new requests. Running requests keep their slots.
    pub fn drain(&mut self) -> Vec<Reply> {
        self.queue = RequestQueue::default();
        self.tickets.clear();
        let waiting = std::mem::take(&mut self.waiting).into_values();
        waiting.map(|(entry, _)| Reply::Leaves(entry.key)).collect()
    }

    /// Refuses the queued requests that can no longer be answered in time.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Reply> {
        self.update_departure_rate(now_ms);
        self.update_starvation(now_ms);
        self.update_class_rates(now_ms);
        self.shares.sweep(self.mean_run_ms());
        let mut replies = Vec::new();
        for (ticket, entry, wait_ms) in self.expired(now_ms) {
            self.waiting.remove(&ticket);
            self.tickets.remove(&entry.key);
            if let Some(waiting) = self.queue.remove(ticket) {
                self.record_late_refusal(&waiting, now_ms);
            }
            self.record_refusal(entry.fingerprint);
            replies.push(self.refusal(entry.key, wait_ms, now_ms));
        }
        replies.extend(self.grant(now_ms));
        replies
    }

    /// Recently measured speed of the target.
    pub fn speed(&self) -> TargetSpeed {
        self.meter.speed()
    }

    /// Number of running and of queued requests.
    pub fn load(&self) -> (usize, usize) {
        (self.running.len(), self.waiting.len())
    }

    fn grant(&mut self, now_ms: u64) -> Vec<Reply> {
        let mut replies = Vec::new();
        while now_ms >= self.settles_until_ms
            && (self.running.len() as u64) < self.grant_limit(now_ms)
        {
            let Some(ticket) = self.first(now_ms) else {
                break;
            };
            let next = self.waiting.get(&ticket).map(|(entry, _)| *entry);
            if next.is_some_and(|entry| !self.may_prefill(&entry, now_ms)) {
                break;
            }
            if let Some(rate) = self.limit.limit().rate
                && self.pace.take(rate, now_ms).is_err()
            {
                break;
            }
            self.queue.remove(ticket);
            if let Some((entry, waiting)) = self.waiting.remove(&ticket) {
                self.tickets.remove(&entry.key);
                let running = RunningRequest {
                    units: entry.units,
                    prompt_tokens: entry.prompt_tokens,
                    pause_ms: entry.pause_ms,
                    granted_ms: now_ms,
                    prefill_tokens: Some(
                        self.pending_prefill_tokens(now_ms)
                            .saturating_add(entry.prompt_tokens),
                    ),
                    queued: waiting,
                };
                self.charge(&waiting);
                self.running.insert(entry.key, running);
                self.starving.remove(&(waiting.precedence(), false));
                self.starving.remove(&waiting.priority_class(now_ms));
                self.record_departure(&waiting, now_ms);
                replies.push(Reply::Granted(entry.key));
            }
        }
        replies
    }

    /// Prompt tokens that the target has yet to prefill.
    fn pending_prefill_tokens(&self, now_ms: u64) -> u64 {
        let in_prefill = self.running.values().filter(|running| {
            running.prefill_tokens.is_some() && now_ms < running.granted_ms + PREFILL_TIMEOUT_MS
        });
        in_prefill.fold(0, |tokens: u64, running| {
            tokens.saturating_add(running.prompt_tokens)
        })
    }

    /// Whether the target may start the prefill of another prompt: together with those in
    /// progress it must not stall any stream for longer than its caller tolerates.
    fn may_prefill(&self, entry: &QueueEntry, now_ms: u64) -> bool {
        let prefill_tokens = self.pending_prefill_tokens(now_ms);
        let pauses_ms = self.running.values().map(|running| running.pause_ms);
        let pauses_ms = pauses_ms.chain([entry.pause_ms]).filter(|ms| *ms > 0);
        let all_tokens = prefill_tokens.saturating_add(entry.prompt_tokens);
        let prefill_micros = self.speed().prefill_micros(all_tokens);
        match (pauses_ms.min(), prefill_micros) {
            (Some(pause_ms), Some(prefill_micros)) if prefill_tokens > 0 => {
                // Milliseconds times percent times 10 are microseconds.
                prefill_micros <= pause_ms.saturating_mul(10 * MAX_PREFILL_PERCENT)
            }
            _ => true,
        }
    }

    fn work_ms(&self, units: u64) -> u64 {
        let unit_micros = self.speed().unit_micros.unwrap_or(DEFAULT_UNIT_MICROS);
        units.saturating_mul(unit_micros) / 1000
    }

    fn update_departure_rate(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms
            .saturating_sub(self.departures_since_ms)
            .min(DEPARTURE_WINDOW_MS);
        if let Some(milli_per_s) = (self.departures * 1_000_000).checked_div(elapsed_ms) {
            let weighted = self.departures_milli_per_s * (DEPARTURE_WINDOW_MS - elapsed_ms);
            self.departures_milli_per_s =
                (weighted + milli_per_s * elapsed_ms) / DEPARTURE_WINDOW_MS;
            self.departures = 0;
            self.departures_since_ms = now_ms;
        }
    }

    /// Forecast for a request that would join the queue.
    fn forecast(&self, waiting: &QueuedRequest, now_ms: u64) -> Forecast {
        let (key, is_past_objective) = (
            self.forecast_key(waiting),
            waiting.is_past_objective(now_ms),
        );
        let mut ahead = ClassCounts::default();
        let others = self.waiting.values().map(|(_, other)| other);
        for other in others.filter(|other| self.forecast_key(other) == key) {
            let is_past = other.is_past_objective(now_ms);
            ahead.all += u64::from(is_past_objective || !is_past);
            ahead.past_objective += u64::from(is_past);
        }
        let mut count = self.queue.count_ahead_of(waiting, now_ms);
        if let Some(tags) = self.expected_tags() {
            let order = self.queue.in_order(Some(waiting), Some(tags), now_ms);
            let joining = self.queue.next_ticket();
            let before = order.iter().take_while(|ticket| **ticket != joining);
            let before: Vec<&Ticket> = before.collect();
            let others = before.iter().filter_map(|ticket| self.waiting.get(ticket));
            let alike = others.filter(|(_, other)| self.forecast_key(other) == key);
            ahead.all = alike.count() as u64;
            count = before.len();
        }
        self.forecast_behind(waiting, count + 1, ahead, now_ms)
    }

    /// Tags of the customers, with fair shares.
    fn expected_tags(&self) -> Option<ExpectedTags<'_>> {
        let tags = || ExpectedTags::new(&self.shares, self.mean_run_ms());
        self.options.fair_shares.then(tags)
    }

    /// The request that is served next.
    fn first(&self, now_ms: u64) -> Option<Ticket> {
        let run_ms = self.mean_run_ms();
        let tag =
            |waiting: &QueuedRequest| self.shares.tag(waiting.precedence(), waiting.share, run_ms);
        match self.options.fair_shares {
            true => self.queue.first_by_tag(now_ms, tag),
            false => self.queue.first(now_ms),
        }
    }

    /// Charges a granted request to its customer.
    fn charge(&mut self, waiting: &QueuedRequest) {
        if self.options.fair_shares {
            let (precedence, run_ms) = (waiting.precedence(), self.mean_run_ms());
            self.shares
                .charge(precedence, waiting.share, waiting.expected_run_ms, run_ms);
        }
    }

    fn mean_run_ms(&self) -> u64 {
        self.work_ms(self.mean_units).max(1)
    }

    /// Forecast for a request that is served as the `count`th, behind those with which it is
    /// forecast together.
    fn forecast_behind(
        &self,
        waiting: &QueuedRequest,
        count: usize,
        ahead: ClassCounts,
        now_ms: u64,
    ) -> Forecast {
        let key = self.forecast_key(waiting);
        let class_wait_ms = |is_past_objective, ahead: u64| {
            let rate = self.class_rates.get(&(key, is_past_objective));
            rate.and_then(|rate| rate.wait_ms(ahead + 1))
        };
        // Requests that wait beside a free slot are held back for a prefill or by the limit.
        let is_held_back = self.options.early_refusals && count > 1;
        Forecast {
            queue_wait_ms: self.queue_wait_ms(count, now_ms),
            precedence_wait_ms: class_wait_ms(false, ahead.all),
            past_objective_wait_ms: class_wait_ms(true, ahead.past_objective),
            starved_ms: self.starved_ms(waiting, now_ms),
            limit_wait_ms: self.limit_wait_ms(count, now_ms),
            has_free_slot: (self.running.len() as u64) < self.grant_limit(now_ms) && !is_held_back,
            margin: self.margins.get(&key).copied().unwrap_or_default(),
        }
    }

    /// Queued requests that are refused now, with the wait that their gateways are told.
    fn expired(&self, now_ms: u64) -> Vec<(Ticket, QueueEntry, u64)> {
        let mut classes: BTreeMap<ForecastKey, ClassCounts> = BTreeMap::new();
        for (_, waiting) in self.waiting.values() {
            let counts = classes.entry(self.forecast_key(waiting)).or_default();
            counts.past_objective += u64::from(waiting.is_past_objective(now_ms));
        }
        let (mut count, mut expired) = (0, Vec::new());
        for ticket in self.queue.in_order(None, self.expected_tags(), now_ms) {
            let Some((entry, waiting)) = self.waiting.get(&ticket) else {
                continue;
            };
            let ahead = classes.entry(self.forecast_key(waiting)).or_default();
            let forecast = self.forecast_behind(waiting, count + 1, *ahead, now_ms);
            let is_refusable = match self.options.early_refusals {
                true => {
                    let until_ms = admission::refusable_until_ms(waiting);
                    now_ms <= until_ms.max(self.capacity_lost_until_ms)
                        && forecast.misses(waiting, now_ms)
                }
                false => self.will_starve(waiting, now_ms),
            };
            if is_refusable || waiting.misses_deadline(now_ms) {
                let wait_ms = forecast.refused_wait_ms(waiting, now_ms);
                expired.push((ticket, *entry, wait_ms));
                continue;
            }
            count += 1;
            ahead.all += 1;
        }
        expired
    }

    /// Takes over the number of slots that the target announces.
    fn set_capacity(&mut self, capacity: u64, now_ms: u64) {
        if capacity < self.capacity && !self.waiting.is_empty() {
            self.capacity_lost_until_ms = now_ms + CAPACITY_LOSS_MS;
        }
        self.capacity = capacity;
    }

    fn remove_queued(&mut self, key: RequestKey) -> Option<(QueueEntry, QueuedRequest)> {
        let ticket = self.tickets.remove(&key)?;
        self.queue.remove(ticket);
        self.waiting.remove(&ticket)
    }

    /// Records a queued request that got a slot, here or at another target.
    fn record_departure(&mut self, waiting: &QueuedRequest, now_ms: u64) {
        self.departures += 1;
        let is_past_objective = waiting.is_past_objective(now_ms);
        let key = self.forecast_key(waiting);
        if let Some(margin) = self.margins.get_mut(&key) {
            margin.record_served();
            if *margin == Margin::default() {
                self.margins.remove(&key);
            }
        }
        let classes = [(key, false), (key, true)];
        let of_request = classes.iter().filter(|class| is_past_objective || !class.1);
        for class in of_request {
            if let Some(rate) = self.class_rates.get_mut(class) {
                rate.record_departure();
            }
        }
    }

    /// Requests that are forecast together: those of a precedence and, with fair shares, a customer,
    /// which has a rate and a margin of its own.
    fn forecast_key(&self, waiting: &QueuedRequest) -> ForecastKey {
        let customer = match self.options.fair_shares {
            true => waiting.share.customer,
            false => CustomerKey::default(),
        };
        (waiting.precedence(), customer)
    }

    /// Widens the margin of a request's precedence if the request is refused although it kept its
    /// position.
    fn record_late_refusal(&mut self, waiting: &QueuedRequest, now_ms: u64) {
        let is_late = now_ms > admission::refusable_until_ms(waiting);
        if is_late && self.options.early_refusals {
            let margin = self.margins.entry(self.forecast_key(waiting)).or_default();
            margin.record_late_refusal();
        }
    }

    /// Adds the time since the last update to the classes of which requests are queued.
    fn update_class_rates(&mut self, now_ms: u64) {
        if !self.options.early_refusals {
            return;
        }
        let elapsed_ms = now_ms.saturating_sub(self.rates_updated_ms);
        self.rates_updated_ms = now_ms;
        let queued = self.waiting.values().flat_map(|(_, waiting)| {
            let key = self.forecast_key(waiting);
            [(key, false), (key, waiting.is_past_objective(now_ms))]
        });
        let queued: BTreeSet<(ForecastKey, bool)> = queued.collect();
        for class in &queued {
            let rate = self.class_rates.entry(*class).or_default();
            rate.record_backlog(elapsed_ms.min(MAX_RATE_STEP_MS), now_ms);
        }
        self.class_rates.retain(|class, rate| {
            rate.age(now_ms);
            queued.contains(class) || rate.is_known()
        });
    }

    /// Time until the target's limit allows `count` more requests; 0 without a limit.
    fn limit_wait_ms(&self, count: usize, now_ms: u64) -> u64 {
        let rate = self.limit.limit().rate;
        rate.map_or(0, |rate| self.pace.wait_ms(rate, count as u64, now_ms))
    }

    /// The reply that refuses a request with this expected wait. While a slot is free, only the
    /// target's limit can have been in the way.
    fn refusal(&self, key: RequestKey, wait_ms: u64, now_ms: u64) -> Reply {
        let has_free_slot = (self.running.len() as u64) < self.grant_limit(now_ms);
        match has_free_slot && self.limit_wait_ms(1, now_ms) > 0 {
            true => Reply::Limited(key, wait_ms),
            false => Reply::Refused(key, wait_ms),
        }
    }

    /// Time for which no request of the class was granted a slot although some were queued; 0 if
    /// none is queued now. The class is that of all requests of this precedence, or only of those
    /// past their objective if this request is past its own. The request is expected to wait at
    /// least as long.
    fn starved_ms(&self, waiting: &QueuedRequest, now_ms: u64) -> u64 {
        let (precedence, is_past_objective) = waiting.priority_class(now_ms);
        let mut others = self.waiting.values().map(|(_, other)| other);
        let has_queued = others.any(|other| {
            other.precedence() == precedence
                && (!is_past_objective || other.is_past_objective(now_ms))
        });
        match self.starving.get(&(precedence, is_past_objective)) {
            Some(starving) if has_queued => now_ms.saturating_sub(starving.since_ms),
            // Without a queued request of this class its recent waits are unknown: this request is
            // queued, and its own wait is measured.
            _ => 0,
        }
    }

    /// Records that a request of these classes is queued.
    fn record_starvation(&mut self, waiting: &QueuedRequest, now_ms: u64) {
        let (precedence, is_past_objective) = waiting.priority_class(now_ms);
        for priority_class in [(precedence, false), (precedence, is_past_objective)] {
            let starving = self.starving.entry(priority_class);
            let starving = starving.or_insert(Starvation {
                since_ms: now_ms,
                last_queued_ms: now_ms,
            });
            starving.last_queued_ms = now_ms;
        }
    }

    /// Records the classes of all queued requests, and drops those without one for a while.
    fn update_starvation(&mut self, now_ms: u64) {
        let waiting: Vec<QueuedRequest> =
            self.waiting.values().map(|(_, waiting)| *waiting).collect();
        for waiting in waiting {
            self.record_starvation(&waiting, now_ms);
        }
        self.starving
            .retain(|_, starving| now_ms < starving.last_queued_ms + STARVATION_TTL_MS);
    }

    /// Whether a queued request is past its objective, and its class has been starving for
    /// longer than its caller still waits.
    fn will_starve(&self, waiting: &QueuedRequest, now_ms: u64) -> bool {
        let left_ms = waiting.first_event_by_ms.saturating_sub(now_ms);
        waiting.is_past_objective(now_ms) && self.starved_ms(waiting, now_ms) > left_ms
    }

    /// Expected time until `count` requests have left the queue.
    fn queue_wait_ms(&self, count: usize, now_ms: u64) -> u64 {
        let run_ms = self.mean_run_ms();
        let served_milli_per_s = self.grant_limit(now_ms) * 1_000_000 / run_ms;
        let milli_per_s = self.departures_milli_per_s.max(served_milli_per_s).max(1);
        count as u64 * 1_000_000 / milli_per_s
    }
}
