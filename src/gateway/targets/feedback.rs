//! Records the result of an attempt: latency, failures and reported availability of its target.

use super::*;
use crate::{
    gateway::{
        incoming_request::IncomingRequest, response_origin::promises_not_run, versions::VersionSide,
    },
    request_limit::{RequestRate, StatedLimit},
    request_pace::draws_interval,
    target_pace::DEFAULT_UNIT_MICROS,
    target_run::{Listing, TargetRun},
};
use hyper::StatusCode;

/// Logs a change of a target's limit. `source` is what the limit is known from, and `age_ms` how
/// long ago the request was sent whose answer stated it.
pub(super) fn log_limit(
    target: &TargetEntry,
    before: RequestLimit,
    after: RequestLimit,
    source: &str,
    age_ms: u64,
) {
    let per_s = |limit: RequestLimit| limit.rate.map_or("none".into(), |rate| rate.to_string());
    tracing::info!(
        target = %target.name, started_unix_ms = target.started_unix_ms, before_per_s = per_s(before),
        limit_per_s = per_s(after), version = after.version, source, age_ms,
        "gateway: limit of target changed"
    );
    metrics::gateway_limit_changed(match (before.rate, after.rate) {
        (None, _) => "stated",
        (_, None) => "lifted",
        _ => "changed",
    });
}

impl SlotGuard {
    /// Returns when the slot was acquired.
    pub fn began_ms(&self) -> u64 {
        self.began_ms
    }

    /// Records the head of a response that the target ran the request for, `took_ms` after it was
    /// sent.
    pub fn record_head(&self, status: StatusCode, took_ms: u64) {
        if status.is_success() {
            self.record_first_response(took_ms);
        }
        if let Some(attempt) = &self.version_attempt {
            self.targets.version_outcomes.record_answer(attempt);
        }
        if status.is_server_error() || promises_not_run(status) {
            self.record_bad_answer();
        }
    }

    /// Records the time to the first event or response.
    fn record_first_response(&self, first_ms: u64) {
        let mut state = self.targets.state();
        let stats = state.stats.entry(self.target.name.clone()).or_default();
        let average_ms = stats.first_ms.unwrap_or(first_ms);
        stats.first_ms = Some((average_ms * 3 + first_ms) / 4);
        stats.measured_at_ms = clock::boot_ms();
        stats
            .speed_meter
            .record_first_event(first_ms, self.prompt_tokens);
        stats.backoff_ms = 0;
        stats.failed_per_mille = stats.failed_per_mille * 7 / 8;
        let queue = state.queues.entry(self.service.clone()).or_default();
        let average_ms = queue.first_ms.unwrap_or(first_ms);
        queue.first_ms = Some((average_ms * 7 + first_ms) / 8);
        if let Some(slot_request) = &self.slot_request {
            slot_request.report_first_event();
        }
    }

    /// Returns the side of the target in a rollout in progress.
    pub fn version_side(&self) -> Option<VersionSide> {
        let attempt = self.version_attempt.as_deref();
        attempt.map(|attempt| attempt.side)
    }

    /// Records that the request is sent.
    pub fn record_sent(&self) {
        if let Some(attempt) = &self.version_attempt {
            attempt.record_sent(clock::boot_ms());
        }
    }

    /// Records the first bytes of a response that arrives in events.
    pub fn record_first_event(&self) {
        if let Some(attempt) = &self.version_attempt {
            let outcomes = &self.targets.version_outcomes;
            outcomes.record_first_event(attempt, clock::boot_ms());
        }
    }

    /// Counts a failed, broken or missing answer for the target's version in a rollout.
    pub fn record_bad_answer(&self) {
        if let Some(attempt) = &self.version_attempt
            && self.targets.version_outcomes.record_failure(attempt)
        {
            self.targets.report_rollouts();
        }
    }

    fn record_not_run(&self) {
        if let Some(attempt) = &self.version_attempt {
            attempt.record_not_run();
        }
    }

    pub(super) fn end_version_attempt(&self) {
        if let Some(attempt) = &self.version_attempt {
            self.targets.version_outcomes.record_end(attempt);
        }
    }

    /// Estimates the units of output that the target made until this time.
    pub fn units_done(&self, until_ms: u64) -> u64 {
        let state = self.targets.state();
        let stats = state.stats.get(&self.target.name);
        let unit_micros = stats.and_then(|stats| stats.speed().unit_micros);
        let ran_ms = until_ms.saturating_sub(self.began_ms);
        ran_ms.saturating_mul(1000) / unit_micros.unwrap_or(DEFAULT_UNIT_MICROS).max(1)
    }

    /// Records the run time of a request whose response was complete.
    pub fn record_completion(&mut self) {
        let now_ms = clock::boot_ms();
        let ran_ms = now_ms.saturating_sub(self.began_ms);
        if let Some(attempt) = &self.version_attempt {
            let outcomes = &self.targets.version_outcomes;
            outcomes.record_success(attempt, now_ms);
        }
        {
            let mut state = self.targets.state();
            let stats = state.stats.entry(self.target.name.clone()).or_default();
            stats.speed_meter.record_run(ran_ms, self.work_units);
        }
        if let Some(slot_request) = &mut self.slot_request {
            slot_request.ran_ms = Some(ran_ms);
        }
    }

    /// Backs off exponentially from a target that could not be reached.
    pub fn record_unreachable(&self, request: &str, error: &str) {
        self.record_not_run();
        let mut state = self.targets.state();
        let stats = state.stats.entry(self.target.name.clone()).or_default();
        stats.backoff_ms = (stats.backoff_ms * 2).clamp(INITIAL_BACKOFF_MS, MAX_BACKOFF_MS);
        stats.backoff_until_ms = clock::boot_ms() + stats.backoff_ms;
        tracing::warn!(
            request, target = %self.target.name, rest_ms = stats.backoff_ms, error,
            "gateway: target unreachable, backing off"
        );
    }

    /// Records a failed request. The target backs off only if its failure rate is high;
    /// occasional failures are normal.
    pub fn record_failure(&self, request: &str, error: &str) {
        self.record_bad_answer();
        let mut state = self.targets.state();
        let stats = state.stats.entry(self.target.name.clone()).or_default();
        stats.failed_per_mille = stats.failed_per_mille * 7 / 8 + 1000 / 8;
        let backoff_ms = match stats.failed_per_mille > FAILURE_THRESHOLD_PER_MILLE {
            true => FAILURE_BACKOFF_MS,
            false => 0,
        };
        stats.backoff_until_ms = stats.backoff_until_ms.max(clock::boot_ms() + backoff_ms);
        tracing::warn!(
            request, target = %self.target.name, rest_ms = backoff_ms, failed_per_mille = stats.failed_per_mille, error,
            "gateway: target failed"
        );
    }

    /// Logs what a request held whose target broke off its response. `since_head_ms` is the time
    /// since the head of the response, if it came, and `bytes` what came after it.
    pub fn log_break(
        &self,
        incoming: &IncomingRequest,
        since_head_ms: Option<u64>,
        bytes: u64,
        error: &str,
    ) {
        let parts = incoming.metadata.parts.iter();
        let parts: Vec<String> = parts.map(ToString::to_string).collect();
        tracing::info!(
            request = incoming.id, target = %self.target.name,
            started_unix_ms = self.target.started_unix_ms, since_head_ms, bytes,
            parts = parts.join(","), error, "gateway: target broke off"
        );
    }

    /// Excludes the target until the directory has been updated, because another target
    /// answered at its address.
    pub fn record_replacement(&self, request: &str) {
        self.record_not_run();
        let mut state = self.targets.state();
        let stats = state.stats.entry(self.target.name.clone()).or_default();
        stats.replaced = Some((
            self.target.started_unix_ms,
            clock::boot_ms() + REPLACED_EXCLUSION_MS,
        ));
        tracing::warn!(
            request, target = %self.target.name, address = %self.target.address,
            left_out_ms = REPLACED_EXCLUSION_MS, "gateway: another target answers at this address"
        );
    }

    /// Stops sending new requests to this run of the target, which reported that it is draining.
    pub fn record_draining(&self, request: &str) {
        let is_news = {
            let mut state = self.targets.state();
            state
                .availability
                .record_draining(&self.target, clock::boot_ms())
        };
        if is_news {
            tracing::info!(
                request, target = %self.target.name, started_unix_ms = self.target.started_unix_ms,
                "gateway: target is draining"
            );
            if let Some(slot_request) = &self.slot_request {
                slot_request.report_draining(self.target.started_unix_ms);
            }
        }
    }

    /// Pauses new requests to this run of the target, as it requested with `Retry-After`.
    pub fn record_pause(&self, request: &str, for_ms: u64) {
        let mut state = self.targets.state();
        let now_ms = clock::boot_ms();
        state
            .availability
            .record_pause(&self.target, for_ms, now_ms);
        tracing::info!(
            request, target = %self.target.name, for_ms,
            "gateway: target paused by Retry-After"
        );
    }

    /// Records the limit that the answer to a request sent at `sent_ms` states.
    pub fn record_limit(&self, request: &str, stated: StatedLimit, sent_ms: u64) {
        let (target, now_ms) = (&self.target, clock::boot_ms());
        if stated == StatedLimit::Unreadable {
            tracing::warn!(request, target = %target.name, "gateway: the limit that the target states is not a number");
        }
        let mut state = self.targets.state();
        let before = state.availability.limit(target);
        if before.rate.is_some() {
            metrics::gateway_limited_request(&self.service);
        }
        if state
            .availability
            .record_limit(target, stated, sent_ms, now_ms)
        {
            let after = state.availability.limit(target);
            let age_ms = now_ms.saturating_sub(sent_ms);
            log_limit(
                target,
                before,
                after,
                &format!("answer to {request}"),
                age_ms,
            );
            if let Some(slot_request) = &self.slot_request {
                slot_request.report_limit(target.started_unix_ms, after);
            }
        }
    }

    /// Returns the limit of the target if it states one and no agent keeps to it.
    pub fn limit_without_agent(&self) -> Option<RequestLimit> {
        let limit = self.targets.state().availability.limit(&self.target);
        let slot_request = self.slot_request.as_ref();
        let has_agent = slot_request.is_some_and(|slot_request| !slot_request.is_at_keeper);
        (!has_agent && limit.rate.is_some()).then_some(limit)
    }

    /// Takes a request to the target while nobody counts those of all gateways; returns whether
    /// this gateway may send one.
    pub fn take_uncounted(&self, gateway: &ProcessName, rate: RequestRate, gateways: u64) -> bool {
        let now_ms = clock::boot_ms();
        let mut state = self.targets.state();
        draws_interval(gateway, &self.target.name, rate, gateways, now_ms).is_some_and(|interval| {
            let availability = &mut state.availability;
            availability.take_drawn(&self.target, interval, now_ms)
        })
    }

    /// Returns whether the target accepts new work.
    pub fn accepts_work(&self) -> bool {
        let state = self.targets.state();
        let now_ms = clock::boot_ms();
        self.targets.accepts_work(&state, &self.target, now_ms)
    }

    /// Returns a check whether the target has departed since the slot was acquired.
    pub fn departure_check(&self) -> impl Fn() -> bool + use<> {
        let (targets, target) = (Arc::clone(&self.targets), self.target.clone());
        move || targets.has_departed(&target)
    }

    /// Records that a request was not sent as the target has departed.
    pub fn record_departed(&self, request: &str) {
        self.record_not_run();
        metrics::gateway_stopped_attempt(&self.service);
        let now_ms = clock::boot_ms();
        tracing::info!(
            request, target = %self.target.name, slot_age_ms = now_ms.saturating_sub(self.began_ms),
            view_age_ms = self.targets.view.load().age_ms(now_ms),
            "gateway: not sent, target has departed"
        );
    }

    /// Returns what the directory lists in the place of this run of the target.
    pub fn listing(&self) -> Listing {
        let run = TargetRun::of(&self.target);
        let view = self.targets.view.load();
        let mut listed = view.targets.values();
        match listed.any(|entry| run.is_succeeded_by(self.target.address, entry)) {
            true => Listing::LaterRun,
            false => Listing::NoLaterRun,
        }
    }

    /// Gives the slot up, as the target's limit allows this gateway no request for `for_ms`.
    pub fn hold_back(mut self, request: &str, for_ms: u64) {
        let now_ms = clock::boot_ms();
        self.targets
            .state()
            .availability
            .record_held_back(&self.target, for_ms, now_ms);
        self.is_held_back = true;
        metrics::gateway_held_back(&self.service);
        tracing::info!(
            request, target = %self.target.name, for_ms, "gateway: target is at its limit"
        );
    }

    /// Gives the slot back unused: no request was sent.
    pub fn give_back(mut self) {
        if let Some(slot_request) = &mut self.slot_request {
            slot_request.is_used = false;
        }
        self.is_held_back = true;
    }

    /// Backs off briefly from a target that reported that it is full.
    pub fn record_full(&self) {
        self.record_not_run();
        metrics::gateway_target_full(&self.service);
        if let Some(slot_request) = &self.slot_request {
            slot_request.report_full();
        }
        let mut state = self.targets.state();
        let stats = state.stats.entry(self.target.name.clone()).or_default();
        stats.backoff_until_ms = clock::boot_ms() + FULL_BACKOFF_MS;
    }
}
