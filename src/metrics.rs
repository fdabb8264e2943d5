//! Metrics of all processes.

use crate::{
    rollout::{PPM_PER_UNIT, Rollout, RolloutStage},
    units::*,
    verdict::{Reason, Verdict},
};
use opentelemetry::{
    KeyValue, global,
    metrics::{Counter, Gauge, Histogram},
};
use std::sync::LazyLock;

static REQUESTS: LazyLock<Counter<u64>> = LazyLock::new(|| {
    global::meter("guavacove")
        .u64_counter("guavacove.requests")
        .with_description("Requests answered or refused, by tier, verdict and reason")
        .build()
});

static GOODPUT: LazyLock<Counter<u64>> = LazyLock::new(|| {
    global::meter("guavacove")
        .u64_counter("guavacove.goodput")
        .with_description("Requests whose answer was whole within their tier's deadline, by tier")
        .build()
});

static QUEUE_WAIT: LazyLock<Histogram<u64>> = LazyLock::new(|| {
    global::meter("guavacove")
        .u64_histogram("guavacove.queue_wait")
        .with_unit("ms")
        .with_description("How long requests waited for a place, by tier")
        .build()
});

static PROMPT_TOKENS: LazyLock<Counter<u64>> = LazyLock::new(|| {
    global::meter("guavacove")
        .u64_counter("guavacove.prompt_tokens")
        .with_unit("token")
        .with_description("Prompt tokens dispatched, by outcome: answered or wasted")
        .build()
});

static GATEWAY_BYTE_BUDGET_SPENT: LazyLock<Counter<u64>> = LazyLock::new(|| {
    global::meter("guavacove")
        .u64_counter("guavacove.gateway.byte_budget_spent")
        .with_description("Requests refused as the gateway held as many bytes as it may")
        .build()
});

static GATEWAY_BYTES_HELD: LazyLock<Gauge<u64>> = LazyLock::new(|| {
    global::meter("guavacove")
        .u64_gauge("guavacove.gateway.bytes_held")
        .with_unit("By")
        .with_description("Bytes held of request bodies, buffered responses and incomplete events")
        .build()
});

static AGENT_KEPT_RUNNING: LazyLock<Gauge<u64>> = LazyLock::new(|| {
    global::meter("guavacove")
        .u64_gauge("guavacove.agent.kept_running")
        .with_description("Slots granted of a plain target whose queue this agent keeps")
        .build()
});

static AGENT_KEPT_WAITING: LazyLock<Gauge<u64>> = LazyLock::new(|| {
    global::meter("guavacove")
        .u64_gauge("guavacove.agent.kept_waiting")
        .with_description("Requests queued for a plain target whose queue this agent keeps")
        .build()
});

static GATEWAY_QUEUE_MOVES: LazyLock<Counter<u64>> = LazyLock::new(|| {
    global::meter("guavacove")
        .u64_counter("guavacove.gateway.queue_moves")
        .with_description(
            "Changes of the agent that keeps the queue of a plain target, by target and reason",
        )
        .build()
});

static GATEWAY_WITHOUT_KEEPER: LazyLock<Counter<u64>> = LazyLock::new(|| {
    global::meter("guavacove")
        .u64_counter("guavacove.gateway.without_keeper")
        .with_description(
            "Requests sent within the local share, as no agent kept the queue, by service",
        )
        .build()
});

static GATEWAY_FULL: LazyLock<Counter<u64>> = LazyLock::new(|| {
    global::meter("guavacove")
        .u64_counter("guavacove.gateway.target_full")
        .with_description("Requests that a target refused without running them, by service")
        .build()
});

/// Counts a response of a target and whether it met its deadline.
pub fn record_response(tier: &TierName, in_time: bool) {
    let tier = KeyValue::new("tier", tier.0.clone());
    let verdict = KeyValue::new("verdict", Verdict::Ran.to_string());
    REQUESTS.add(1, &[tier.clone(), verdict]);
    GOODPUT.add(u64::from(in_time), &[tier]);
}

/// Counts a refused request.
pub fn record_refusal(tier: &TierName, verdict: Verdict, reason: &Reason) {
    REQUESTS.add(
        1,
        &[
            KeyValue::new("tier", tier.0.clone()),
            KeyValue::new("verdict", verdict.to_string()),
            KeyValue::new("reason", reason.to_string()),
        ],
    );
}

/// Records how long a request waited for a slot.
pub fn record_queue_wait(tier: &TierName, wait_ms: u64) {
    QUEUE_WAIT.record(wait_ms, &[KeyValue::new("tier", tier.0.clone())]);
}

/// Counts the prompt tokens of a finished dispatch, as answered or wasted.
pub fn record_prompt_tokens(tokens: TokenCount, answered: bool) {
    let outcome = if answered { "answered" } else { "wasted" };
    PROMPT_TOKENS.add(tokens.0, &[KeyValue::new("outcome", outcome)]);
}

/// Declares a counter.
macro_rules! counter {
    ($name:ident, $metric:literal, $description:literal) => {
        static $name: LazyLock<Counter<u64>> = LazyLock::new(|| {
            global::meter("guavacove")
                .u64_counter($metric)
                .with_description($description)
                .build()
        });
    };
}

/// Declares a gauge.
macro_rules! gauge {
    ($name:ident, $metric:literal, $description:literal) => {
        static $name: LazyLock<Gauge<u64>> = LazyLock::new(|| {
            global::meter("guavacove")
                .u64_gauge($metric)
                .with_description($description)
                .build()
        });
    };
}

/// Declares a histogram of durations in milliseconds.
macro_rules! histogram {
    ($name:ident, $metric:literal, $description:literal) => {
        static $name: LazyLock<Histogram<u64>> = LazyLock::new(|| {
            global::meter("guavacove")
                .u64_histogram($metric)
                .with_unit("ms")
                .with_description($description)
                .build()
        });
    };
}

gauge!(
    CONTROL_ROLLOUT_STAGE,
    "guavacove.control.rollout_stage",
    "Stage of the latest rollout, by service: 0 exposing, 1 cutting over, 2 completed, 3 rolled back"
);
gauge!(
    CONTROL_ROLLOUT_SHARE_PPM,
    "guavacove.control.rollout_share_ppm",
    "Share of requests that the new version gets, by service, in millionths"
);
counter!(
    GATEWAY_ANSWERS,
    "guavacove.gateway.answers",
    "Answers of targets passed on, by service, rank and status"
);
counter!(
    GATEWAY_REFUSALS,
    "guavacove.gateway.refusals",
    "Requests refused, by verdict and reason"
);
counter!(
    GATEWAY_QUOTA_UNITS,
    "guavacove.gateway.quota_units",
    "Units of quotas asked for, by where they came from: own part, pool, credit, or refused"
);
counter!(
    GATEWAY_PROMPT_TOKENS,
    "guavacove.gateway.prompt_tokens",
    "Prompt tokens sent to targets, by service, and whether for the first time or again"
);
counter!(
    GATEWAY_PREFIX_TOKENS,
    "guavacove.gateway.prefix_tokens",
    "Prompt tokens that were expected to be cached at the target, by service"
);
counter!(
    GATEWAY_PREFIX_SAVED,
    "guavacove.gateway.prefix_saved_micros",
    "Expected prefill time of these tokens in microseconds, by service"
);
gauge!(
    GATEWAY_IN_PROGRESS,
    "guavacove.gateway.in_progress",
    "Requests in progress at targets, by service"
);
gauge!(
    GATEWAY_WAITING,
    "guavacove.gateway.waiting",
    "Requests that wait in the gateway's line, by service"
);
gauge!(
    GATEWAY_REPEATS_LEFT,
    "guavacove.gateway.repeats_left",
    "Repeats that the shared budget allows at present, by service"
);
counter!(
    GATEWAY_BREAKS,
    "guavacove.gateway.breaks",
    "Streams that ended before they were whole, by service and why"
);
counter!(
    GATEWAY_UNANSWERED,
    "guavacove.gateway.unanswered",
    "Requests that were read whole and ended without a response, by why"
);
gauge!(
    GATEWAY_VIEW_AGE,
    "guavacove.gateway.view_age_ms",
    "Time since a leader last confirmed the view of the control group, in milliseconds"
);

gauge!(
    GATEWAY_DOCUMENT_VERSION,
    "guavacove.gateway.document_version",
    "Version of the document that the gateway serves by"
);
counter!(
    GATEWAY_UNSETTLED_REQUESTS,
    "guavacove.gateway.unsettled_requests",
    "Requests refused as documents that may be in force handle them differently"
);

counter!(
    GATEWAY_STOPPED_ATTEMPTS,
    "guavacove.gateway.stopped_attempts",
    "Attempts not sent as their target left meanwhile, by service"
);

counter!(
    GATEWAY_HANDOVERS,
    "guavacove.gateway.handovers",
    "Silences of targets that requests waited for, by service and outcome"
);
counter!(
    GATEWAY_TAKEN_UP_STREAMS,
    "guavacove.gateway.taken_up_streams",
    "Streams that callers took up, by service, evidence of the version that began them, and choice"
);
counter!(
    GATEWAY_REPEATS,
    "guavacove.gateway.repeats",
    "Sends after the first of a request, by service and kind"
);
counter!(
    GATEWAY_LIMIT_CHANGES,
    "guavacove.gateway.limit_changes",
    "Changes of limits that targets state on their requests a second, by change"
);
counter!(
    GATEWAY_LIMITED_REQUESTS,
    "guavacove.gateway.limited_requests",
    "Requests sent to targets whose limit was known, by service"
);
counter!(
    GATEWAY_HELD_BACK,
    "guavacove.gateway.held_back",
    "Requests not sent to a target because of the limit that it states, by service"
);
counter!(
    LOG_LINES_DROPPED,
    "guavacove.log.left_out",
    "Log lines over the budget, or not taken by their reader"
);
counter!(
    CONTROL_LEADERSHIPS,
    "guavacove.control.leaderships",
    "Times that this replica began to lead"
);
counter!(
    CONTROL_ACKNOWLEDGED_EARLY,
    "guavacove.control.acknowledged_early",
    "Changes acknowledged although processes lacked them or may be unknown, by kind"
);

counter!(
    CONTROL_ANNOUNCEMENTS,
    "guavacove.control.announcements",
    "Announcements of targets taken"
);
counter!(
    CONTROL_RETURNS,
    "guavacove.control.returns",
    "Targets listed again that counted as leaving or gone and went on announcing themselves"
);
counter!(
    CONTROL_YIELDING_ANNOUNCEMENTS,
    "guavacove.control.yielding_announcements",
    "Announcements ignored as their service is not in the document and a target of one that is holds the place"
);
counter!(
    GATEWAY_CRASHES,
    "guavacove.gateway.crashes",
    "Targets that ended before the first event of a request, by service"
);
counter!(
    GATEWAY_VERSION_REQUESTS,
    "guavacove.gateway.version_requests",
    "Requests sent to targets during a rollout, by service, route and version"
);
counter!(
    GATEWAY_VERSION_FAILURES,
    "guavacove.gateway.version_failures",
    "Failed, broken and missing answers during a rollout, by service, route and version"
);
gauge!(
    CONTROL_SILENT_VOTERS,
    "guavacove.control.silent_voters",
    "Voters of the control group that the leader has not heard for seconds"
);
gauge!(
    CONTROL_BLOCKED_PARTS,
    "guavacove.control.blocked_parts",
    "Parts of prompts that are blocked as they crash targets"
);
histogram!(
    GATEWAY_WAIT,
    "guavacove.gateway.wait",
    "How long requests waited for a place, by service and rank"
);
counter!(
    GATEWAY_RETURNS,
    "guavacove.gateway.returns",
    "Requests that came back after a refusal and asked for a slot again, by service and outcome"
);
histogram!(
    GATEWAY_WAIT_BEFORE_REFUSAL,
    "guavacove.gateway.wait_before_refusal",
    "How long requests waited for a slot before they were refused, by service and rank"
);
histogram!(
    GATEWAY_REFUSED_WAIT,
    "guavacove.gateway.refused_wait",
    "Waits that refused requests were told, by service and rank"
);
histogram!(
    GATEWAY_EXPECTED_WAIT,
    "guavacove.gateway.expected_wait",
    "Waits that agents expected for requests that were queued and got a slot, by service and rank"
);
histogram!(
    GATEWAY_WAIT_ERROR,
    "guavacove.gateway.wait_error",
    "Difference of the actual to the expected wait, by service and sign"
);
histogram!(
    GATEWAY_FIRST_EVENT,
    "guavacove.gateway.first_event",
    "How long the head of an answer took from the arrival of the request, by service and rank"
);
histogram!(
    GATEWAY_RUN_CHECK,
    "guavacove.gateway.run_check",
    "How long it took to find out whether the run that wrote a response is there, by service and result"
);
histogram!(
    GATEWAY_DURATION,
    "guavacove.gateway.duration",
    "How long whole answers took from the arrival of the request, by service and rank"
);
histogram!(
    CONTROL_SYNC,
    "guavacove.control.sync",
    "How long writes of the log took until they were durable"
);

fn service_and_rank(service: &ServiceName, rank: TierRank) -> [KeyValue; 2] {
    [
        KeyValue::new("service", service.0.clone()),
        KeyValue::new("rank", i64::from(rank.0)),
    ]
}

/// Records how long a request waited for a slot.
pub fn gateway_wait(service: &ServiceName, rank: TierRank, wait_ms: u64) {
    GATEWAY_WAIT.record(wait_ms, &service_and_rank(service, rank));
}

/// Records the wait of a request before it was refused a slot, and the wait that it was told.
pub fn gateway_wait_refused(service: &ServiceName, rank: TierRank, waited_ms: u64, told_ms: u64) {
    let labels = service_and_rank(service, rank);
    GATEWAY_WAIT_BEFORE_REFUSAL.record(waited_ms, &labels);
    GATEWAY_REFUSED_WAIT.record(told_ms, &labels);
}

/// Records the expected and the actual wait of a request that was queued and got a slot.
pub fn gateway_expected_wait(
    service: &ServiceName,
    rank: TierRank,
    expected_ms: u64,
    waited_ms: u64,
) {
    GATEWAY_EXPECTED_WAIT.record(expected_ms, &service_and_rank(service, rank));
    let sign = match waited_ms > expected_ms {
        true => "longer",
        false => "shorter",
    };
    let service = KeyValue::new("service", service.0.clone());
    let labels = [service, KeyValue::new("sign", sign)];
    GATEWAY_WAIT_ERROR.record(waited_ms.abs_diff(expected_ms), &labels);
}

/// Counts a request that is known to have been refused before; `outcome` is `served` if it got a
/// slot, or `refused`.
pub fn gateway_return(service: &ServiceName, outcome: &'static str) {
    let service = KeyValue::new("service", service.0.clone());
    GATEWAY_RETURNS.add(1, &[service, KeyValue::new("outcome", outcome)]);
}

/// Counts a response whose head has arrived, and records how long that took.
pub fn gateway_response_started(service: &ServiceName, rank: TierRank, status: u16, first_ms: u64) {
    let [service, rank] = service_and_rank(service, rank);
    GATEWAY_FIRST_EVENT.record(first_ms, &[service.clone(), rank.clone()]);
    let status = KeyValue::new("status", i64::from(status));
    GATEWAY_ANSWERS.add(1, &[service, rank, status]);
}

/// Records the duration of a response that was forwarded completely.
pub fn gateway_response_completed(service: &ServiceName, rank: TierRank, took_ms: u64) {
    GATEWAY_DURATION.record(took_ms, &service_and_rank(service, rank));
}

/// Records a gateway's load of one service and the rest of its retry budget.
pub fn gateway_load(service: &ServiceName, in_progress: u64, waiting: u64, repeats_left: u64) {
    let service = [KeyValue::new("service", service.0.clone())];
    GATEWAY_IN_PROGRESS.record(in_progress, &service);
    GATEWAY_WAITING.record(waiting, &service);
    GATEWAY_REPEATS_LEFT.record(repeats_left, &service);
}

/// Counts the quota units that a request asked for, by where they were charged.
pub fn gateway_quota_units(from: &'static str, units: u64) {
    GATEWAY_QUOTA_UNITS.add(units, &[KeyValue::new("from", from)]);
}

/// Counts the prompt tokens sent to a target, for the first time or again.
pub fn gateway_prompt_tokens(service: &ServiceName, kind: &'static str, tokens: u64) {
    let labels = [
        KeyValue::new("service", service.0.clone()),
        KeyValue::new("kind", kind),
    ];
    GATEWAY_PROMPT_TOKENS.add(tokens, &labels);
}

/// Counts the prompt tokens of a request that are expected to be cached at its target, and the
/// prefill time that they save.
pub fn gateway_prefix_cached(service: &ServiceName, tokens: u64, saved_micros: u64) {
    let labels = [KeyValue::new("service", service.0.clone())];
    GATEWAY_PREFIX_TOKENS.add(tokens, &labels);
    GATEWAY_PREFIX_SAVED.add(saved_micros, &labels);
}

/// Counts a request that a gateway refused.
pub fn gateway_refused(verdict: Verdict, reason: &Reason) {
    let verdict = KeyValue::new("verdict", verdict.to_string());
    GATEWAY_REFUSALS.add(1, &[verdict, KeyValue::new("reason", reason.to_string())]);
}

/// Counts a request that ended without a response; `why` is `caller-left` or `panic`.
pub fn gateway_unanswered(why: &'static str) {
    GATEWAY_UNANSWERED.add(1, &[KeyValue::new("why", why)]);
}

/// Counts a silence of a target; `outcome` is `kept` if the target went on, `replaced` if another
/// one took over, `failed` or `expired`.
pub fn gateway_handover(service: &ServiceName, outcome: &'static str) {
    let service = KeyValue::new("service", service.0.clone());
    GATEWAY_HANDOVERS.add(1, &[service, KeyValue::new("outcome", outcome)]);
}

/// Counts a stream that its caller took up: what was known of the version that began it, and where it
/// may go on.
pub fn gateway_stream_taken_up(
    service: &ServiceName,
    evidence: &'static str,
    choice: &'static str,
) {
    let service = KeyValue::new("service", service.0.clone());
    let evidence = KeyValue::new("evidence", evidence);
    let choice = KeyValue::new("choice", choice);
    GATEWAY_TAKEN_UP_STREAMS.add(1, &[service, evidence, choice]);
}

/// Counts a stream that ended early; `why` is `broken`, `silent`, `deadline` or `caller-left`.
pub fn gateway_stream_aborted(service: &ServiceName, why: &'static str) {
    let service = KeyValue::new("service", service.0.clone());
    GATEWAY_BREAKS.add(1, &[service, KeyValue::new("why", why)]);
}

/// Counts a retry; `kind` is `again` or `resumed`.
pub fn gateway_retried(service: &ServiceName, kind: &'static str) {
    let service = KeyValue::new("service", service.0.clone());
    GATEWAY_REPEATS.add(1, &[service, KeyValue::new("kind", kind)]);
}

/// Counts a change of a target's limit; `change` is `stated`, `changed` or `lifted`.
pub fn gateway_limit_changed(change: &'static str) {
    GATEWAY_LIMIT_CHANGES.add(1, &[KeyValue::new("change", change)]);
}

/// Counts a request that was sent to a target whose limit was known.
pub fn gateway_limited_request(service: &ServiceName) {
    GATEWAY_LIMITED_REQUESTS.add(1, &[KeyValue::new("service", service.0.clone())]);
}

/// Counts a request that was not sent to a target because of the target's limit.
pub fn gateway_held_back(service: &ServiceName) {
    GATEWAY_HELD_BACK.add(1, &[KeyValue::new("service", service.0.clone())]);
}

/// Counts a request that was refused as the gateway holds as many bytes as it may.
pub fn gateway_byte_budget_spent() {
    GATEWAY_BYTE_BUDGET_SPENT.add(1, &[]);
}

/// Records the bytes that a gateway holds of bodies, buffered responses and incomplete events.
pub fn gateway_bytes_held(bytes: u64) {
    GATEWAY_BYTES_HELD.record(bytes, &[]);
}

/// Counts a target that ended before the first event of a request.
pub fn gateway_crash(service: &ServiceName) {
    GATEWAY_CRASHES.add(1, &[KeyValue::new("service", service.0.clone())]);
}

/// Records the age of a gateway's view of the control group.
pub fn gateway_view_age(age_ms: u64) {
    GATEWAY_VIEW_AGE.record(age_ms, &[]);
}

/// Records the version of the document that a gateway serves by.
pub fn gateway_document_version(version: DocumentVersion) {
    GATEWAY_DOCUMENT_VERSION.record(version.0, &[]);
}

/// Counts a request that documents which may be in force handle differently.
pub fn gateway_unsettled_request() {
    GATEWAY_UNSETTLED_REQUESTS.add(1, &[]);
}

/// Counts an attempt that was not sent as its target turned out to leave.
pub fn gateway_stopped_attempt(service: &ServiceName) {
    GATEWAY_STOPPED_ATTEMPTS.add(1, &[KeyValue::new("service", service.0.clone())]);
}

fn service_route_and_version(
    service: &ServiceName,
    route: &str,
    version: &TargetVersion,
) -> [KeyValue; 3] {
    [
        KeyValue::new("service", service.0.clone()),
        KeyValue::new("route", route.to_string()),
        KeyValue::new("version", version.0.clone()),
    ]
}

/// Counts a request that was sent to a target during a rollout.
pub fn gateway_version_request(service: &ServiceName, route: &str, version: &TargetVersion) {
    GATEWAY_VERSION_REQUESTS.add(1, &service_route_and_version(service, route, version));
}

/// Counts a bad answer of a target during a rollout.
pub fn gateway_version_failure(service: &ServiceName, route: &str, version: &TargetVersion) {
    GATEWAY_VERSION_FAILURES.add(1, &service_route_and_version(service, route, version));
}

/// Records the number of silent voters.
pub fn control_silent_voters(voters: u64) {
    CONTROL_SILENT_VOTERS.record(voters, &[]);
}

/// Records the number of blocked parts.
pub fn control_blocked_parts(parts: u64) {
    CONTROL_BLOCKED_PARTS.record(parts, &[]);
}

/// Records the stage of a rollout.
pub fn control_rollout(rollout: &Rollout) {
    let (stage, share_ppm) = match rollout.stage {
        RolloutStage::Exposing { share_ppm } => (0, share_ppm),
        RolloutStage::CuttingOver => (1, PPM_PER_UNIT),
        RolloutStage::Completed => (2, PPM_PER_UNIT),
        RolloutStage::RolledBack { .. } => (3, 0),
    };
    let service = [KeyValue::new("service", rollout.service.0.clone())];
    CONTROL_ROLLOUT_STAGE.record(stage, &service);
    CONTROL_ROLLOUT_SHARE_PPM.record(share_ppm, &service);
}

/// Counts dropped log lines.
pub fn log_lines_dropped(lines: u64) {
    LOG_LINES_DROPPED.add(lines, &[]);
}

/// Counts a won leader election.
pub fn control_leadership_started() {
    CONTROL_LEADERSHIPS.add(1, &[]);
}

/// Counts a change that was acknowledged before every process was known to have it.
pub fn control_acknowledged_early(kind: &'static str) {
    CONTROL_ACKNOWLEDGED_EARLY.add(1, &[KeyValue::new("kind", kind)]);
}

/// Counts an accepted announcement of a target.
pub fn control_announcement() {
    CONTROL_ANNOUNCEMENTS.add(1, &[]);
}

/// Counts a target that is listed again although it counted as leaving or gone.
pub fn control_target_returned() {
    CONTROL_RETURNS.add(1, &[]);
}

/// Counts an announcement that is ignored as its service is not in the document.
pub fn control_yielding_announcement() {
    CONTROL_YIELDING_ANNOUNCEMENTS.add(1, &[]);
}

/// Records the duration of a synced write to the log.
pub fn control_sync(took_ms: u64) {
    CONTROL_SYNC.record(took_ms, &[]);
}

/// Records the load of a plain target whose queue this agent keeps.
pub fn agent_kept_queue(target: &TargetName, running: u64, waiting: u64) {
    let target = [KeyValue::new("target", target.0.clone())];
    AGENT_KEPT_RUNNING.record(running, &target);
    AGENT_KEPT_WAITING.record(waiting, &target);
}

/// Counts a change of the agent that keeps the queue of a plain target.
pub fn gateway_queue_moved(target: &TargetName, reason: &'static str) {
    let labels = [
        KeyValue::new("target", target.0.clone()),
        KeyValue::new("reason", reason),
    ];
    GATEWAY_QUEUE_MOVES.add(1, &labels);
}

/// Counts a request that is sent within the local share, as no agent kept the queue.
pub fn gateway_without_keeper(service: &ServiceName) {
    GATEWAY_WITHOUT_KEEPER.add(1, &[KeyValue::new("service", service.0.clone())]);
}

/// Records how long it took to find out whether the run of a target is there, and what came of it.
pub fn gateway_run_checked(service: &ServiceName, result: &'static str, took_ms: u64) {
    let labels = [
        KeyValue::new("service", service.0.clone()),
        KeyValue::new("result", result),
    ];
    GATEWAY_RUN_CHECK.record(took_ms, &labels);
}

/// Counts a request that a target refused without running it.
pub fn gateway_target_full(service: &ServiceName) {
    GATEWAY_FULL.add(1, &[KeyValue::new("service", service.0.clone())]);
}
