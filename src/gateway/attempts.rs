//! Request execution: quota admission, slot acquisition, attempts at targets and retries.

use super::{
    account_link::{AccountLink, Charge},
    body::{Relay, read_start},
    byte_budget::{ByteBudget, MAX_BUFFERED_BYTES},
    connections::{CallError, Connection, ConnectionPool},
    dialect::{ForwardedMetadata, TrafficDialect},
    events,
    handover::HandoverOutcome,
    incoming_request::{IncomingRequest, strip_hop_by_hop},
    quotas::LocalQuotas,
    request_queue::QueuedRequest,
    response_origin::{ResponseOrigin, ResponseTraits, promises_not_run},
    retry_after::retry_after_ms,
    retry_budget::RetryBudget,
    stop_time::StopTime,
    suspects::CrashSuspects,
    targets::{SlotGuard, SlotQuery, Targets},
    versions::RequestVersions,
};
use crate::{
    caller_stream::UNFRAMED_VERSION,
    clock,
    control::accounts::ChargeResult,
    control_view::ControlView,
    document::{QuotaPolicy, RetryPolicy},
    entry::refusal::Refusal,
    metrics,
    response_end::{ContentEnd, EndVerdict, Framing},
    response_head,
    units::*,
    verdict::{Reason, Verdict},
};
use bytes::Bytes;
use futures::FutureExt;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, body::Incoming, header};
use std::{
    collections::BTreeMap,
    pin::pin,
    sync::{Arc, Mutex},
    time::{Duration, SystemTime},
};
use tokio::time::timeout;

/// Maximum number of targets tried for a request, including those that didn't run it. The
/// route's `max_targets` limits the attempts that may have run.
const MAX_ATTEMPTS: usize = 4;
/// Minimum attempt timeout of an idempotent request, which otherwise gets a third of the time
/// left before another target is tried.
const MIN_ATTEMPT_TIMEOUT_MS: u64 = 300;
/// Attempt timeout of a resumable stream until its first event, as a multiple of the route's
/// objective.
const FIRST_EVENT_TIMEOUT_OBJECTIVES: u64 = 2;
/// Minimum of the timeout until the first event: shorter delays are normal under load.
const MIN_FIRST_EVENT_TIMEOUT_MS: u64 = 1500;
/// Maximum `Retry-After` for a customer that exceeds its quota.
const MAX_QUOTA_RETRY_AFTER_MS: u64 = 10_000;
/// A request is small if it costs at most its customer's burst divided by this.
const SMALL_REQUEST_BURST_DIVISOR: u64 = 200;
/// Maximum time that a small request is sent before its customer's account covers it.
const SMALL_REQUEST_ADVANCE_MS: u64 = 500;
/// `Retry-After` if no target ran the request, for reasons that don't tell how long to wait.
const NOT_RUN_RETRY_AFTER_MS: u64 = 250;

/// State shared by the attempts of all requests.
pub struct Attempts<D> {
    /// Name of this gateway.
    pub name: ProcessName,
    /// Dialect of the headers.
    pub dialect: D,
    /// Targets and the queues for their slots.
    pub targets: Arc<Targets>,
    /// Connections to the targets.
    pub connections: ConnectionPool,
    /// Budget of retries, shared by all gateways.
    pub retry_budget: Mutex<RetryBudget>,
    /// State received from the control group.
    pub view: Arc<ControlView>,
    /// Link to the leader's quota accounts.
    pub account_link: AccountLink,
    /// This gateway's local shares of the quotas.
    pub local_quotas: Mutex<LocalQuotas>,
    /// Requests and parts of prompts that are suspected to crash targets.
    pub crash_suspects: Mutex<CrashSuspects>,
    /// Bytes that this gateway may hold.
    pub byte_budget: ByteBudget,
    /// When this gateway is killed.
    pub stop_time: StopTime,
}

/// Response to the caller.
pub enum GatewayResponse<D> {
    /// The complete response; it ends with its connection if it has [`UNFRAMED_VERSION`].
    Buffered(Response<Full<Bytes>>),
    /// The head of the response and a relay for its body.
    Streaming(Response<()>, Box<Relay<D>>),
}

/// Response of a target, before the decision whether to retry.
pub struct TargetResponse {
    /// Head and unread body.
    pub response: Response<Incoming>,
    /// Connection that the body is read from.
    pub connection: Connection,
    /// Slot that the request holds until the body has been read.
    pub slot: SlotGuard,
}

impl TargetResponse {
    /// Describes a response that is not used.
    pub fn describe_unused(&self) -> String {
        let status = self.response.status().as_u16();
        let media_type = events::media_type(self.response.headers());
        format!(
            "it answered with {status}, {}",
            media_type.as_deref().unwrap_or("no content type")
        )
    }
}

/// Outcome of one attempt.
pub enum AttemptOutcome {
    /// The target responded.
    Responded(Box<TargetResponse>),
    /// The target did not run the request.
    NotRun(Reason, String),
    /// The target may have run the request.
    Failed(Reason, String),
}

/// At most the objective divided by this is reserved for the time to first event. That time is an
/// average over requests of all kinds and may be far too long for this one.
const FIRST_EVENT_OBJECTIVE_DIVISOR: u64 = 2;

/// Source that the quota units of a request were charged to.
#[derive(Clone, Copy)]
enum ChargeSource {
    /// The customer has no quota.
    NoQuota,
    /// The customer's account at the leader.
    LeaderAccount,
    /// This gateway's local share of the quota.
    LocalShare,
}

/// Attempts of one request so far.
#[derive(Default)]
pub struct Progress {
    /// Targets that were tried.
    pub tried_targets: Vec<TargetName>,
    /// Targets among them that refused to take the request over as they were full. They may be asked
    /// again; each time counts as a try.
    pub full_targets: Vec<TargetName>,
    /// Number of attempts that may have reached a target. An attempt that timed out counts, even
    /// while it was still connecting.
    pub delivered: u64,
    /// Number of attempts that a target may have run.
    pub possible_runs: u64,
    /// Time at which the caller received the last event of its stream.
    pub last_event_ms: Option<u64>,
    /// Whether it is a trial of a blocked request or part.
    pub is_trial: bool,
    /// Whether its target crashed, and it or a part of its prompt was present at several crashes.
    pub may_crash_targets: bool,
    /// Estimated units of output that the caller received.
    pub done_units: u64,
    /// What a rollout has decided for it.
    pub versions: RequestVersions,
    /// The version that began its stream, once its caller has received an event.
    pub stream_version: Option<TargetVersion>,
}

impl<D: TrafficDialect> Attempts<D> {
    /// Charges the quota, sends the request and retries it until a response can be returned.
    ///
    /// # Errors
    /// Returns a refusal whose verdict says whether the request may have run.
    pub async fn serve(
        self: &Arc<Self>,
        incoming: Arc<IncomingRequest>,
    ) -> Result<GatewayResponse<D>, Refusal> {
        let mut progress = Progress::default();
        self.check_crashes(&incoming)?;
        if incoming.metadata.resume_after.is_some()
            && incoming.route.retry == RetryPolicy::Resumable
        {
            let version = self.targets.version_of_stream(&incoming).await?;
            progress.stream_version = Some(version);
        }
        let charge_source = self.admit(&incoming).await?;
        self.retry_budget()
            .record_request(&incoming.service, clock::boot_ms());
        let response = self.send_with_retries(&incoming, &mut progress).await;
        if let Err(refusal) = &response
            && refusal.verdict == Verdict::NotRun
        {
            self.refund(&incoming, charge_source);
        }
        response
    }

    async fn send_with_retries(
        self: &Arc<Self>,
        incoming: &Arc<IncomingRequest>,
        progress: &mut Progress,
    ) -> Result<GatewayResponse<D>, Refusal> {
        loop {
            match self
                .send(
                    incoming,
                    progress,
                    incoming.metadata.resume_after,
                    |response| !response.status().is_server_error(),
                )
                .await?
            {
                AttemptOutcome::Responded(target_response) => {
                    if let Some(response) = self
                        .handle_response(incoming, progress, *target_response)
                        .await?
                    {
                        return Ok(response);
                    }
                }
                AttemptOutcome::NotRun(reason, message) => {
                    let refusal =
                        Refusal::not_run(reason, message).retry_after(NOT_RUN_RETRY_AFTER_MS);
                    self.check_retry(incoming, progress, refusal)?;
                }
                AttemptOutcome::Failed(reason, message) => {
                    let refusal = Refusal::may_have_run(reason, message);
                    self.check_retry(incoming, progress, refusal)?;
                }
            }
        }
    }

    /// Charges a request to its customer's quota: at the leader's accounts, or to this
    /// gateway's local share while the accounts are unreachable.
    async fn admit(&self, incoming: &IncomingRequest) -> Result<ChargeSource, Refusal> {
        let Some((customer, quota)) = incoming.customer.as_ref().and_then(|c| Some((c, c.quota?)))
        else {
            return Ok(ChargeSource::NoQuota);
        };
        let (customer, units) = (&customer.name, incoming.quota_units());
        let accounts = self.view.load().accounts;
        let max_wait_ms = max_quota_wait_ms(incoming, quota);
        let mut charge_request = accounts.and_then(|accounts| {
            let customer = customer.clone();
            let charge = Charge::Quota { customer, units };
            self.account_link
                .request_charge(accounts, charge, max_wait_ms)
        });
        let is_near_limit = self.local_quotas().is_near_limit(customer);
        let mut charge = match &mut charge_request {
            Some(request) if is_near_limit => request.wait().await,
            Some(request) => request.wait_briefly().await,
            None => None,
        };
        let now_ms = clock::boot_ms();
        let local = match charge {
            // Not tried; the value is not used.
            Some(_) => Err(0),
            None => self
                .local_quotas()
                .try_charge(customer, quota, units, now_ms),
        };
        if let (None, Err(_), Some(request)) = (charge, local, &mut charge_request) {
            // An exhausted local share doesn't prove that the quota is used up; the accounts do.
            charge = request.wait().await;
        }
        let (result, kind) = match (charge, local) {
            (Some(ChargeResult::Charged { is_ample, after_ms }), _) => {
                self.local_quotas()
                    .record_account_reply(customer, is_ample, now_ms);
                let delay_ms = if is_small_request(incoming, quota) {
                    0
                } else {
                    after_ms
                };
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                (Ok(ChargeSource::LeaderAccount), "account")
            }
            (Some(ChargeResult::Refused { wait_ms }), _) => {
                self.local_quotas()
                    .record_account_reply(customer, false, now_ms);
                (Err(wait_ms), "refused")
            }
            (None, Ok(())) => (Ok(ChargeSource::LocalShare), "own"),
            (None, Err(wait_ms)) => (Err(wait_ms), "refused"),
        };
        metrics::gateway_quota_units(kind, units);
        result.map_err(|wait_ms| {
            tracing::warn!(
                request = incoming.id, %customer, units, rate_per_s = quota.rate_per_s, wait_ms,
                asked_accounts = charge.is_some(), "gateway: over quota"
            );
            let message = format!("the quota of {customer} allows no more at present");
            let retry_after_ms = wait_ms.clamp(1, MAX_QUOTA_RETRY_AFTER_MS);
            Refusal::not_run(Reason::OverLimit, message).retry_after(retry_after_ms)
        })
    }

    /// Refunds the units of a request that did not run.
    fn refund(&self, incoming: &IncomingRequest, charge_source: ChargeSource) {
        let Some(customer) = &incoming.customer else {
            return;
        };
        let units = incoming.quota_units();
        match charge_source {
            ChargeSource::NoQuota => {}
            ChargeSource::LeaderAccount => self.account_link.refund(Charge::Quota {
                customer: customer.name.clone(),
                units,
            }),
            ChargeSource::LocalShare => self.local_quotas().refund(&customer.name, units),
        }
    }

    /// Checks whether the request may be retried, and spends a retry if an attempt may have
    /// reached a target. Returns the final refusal otherwise.
    fn check_retry(
        &self,
        incoming: &IncomingRequest,
        progress: &Progress,
        refusal: Refusal,
    ) -> Result<(), Refusal> {
        incoming.set_may_have_run(progress.possible_runs > 0);
        // A request that may have run once is never refused as "not run".
        let refusal = match progress.possible_runs {
            0 => refusal,
            _ => Refusal {
                verdict: Verdict::MayHaveRun,
                retry_after_ms: None,
                ..refusal
            },
        };
        if !Self::has_attempt_left(incoming, progress) {
            return Err(refusal);
        }
        match progress.delivered == 0 || self.spend_retry(&incoming.service) {
            true => {
                metrics::gateway_retried(&incoming.service, "again");
                tracing::warn!(
                    request = incoming.id, reason = %refusal.reason, verdict = %refusal.verdict,
                    tries = progress.tried_targets.len(), "gateway: tried again"
                );
                Ok(())
            }
            false => Err(refusal),
        }
    }

    /// Returns whether the request may be sent to another target, apart from the retry budget.
    pub fn has_attempt_left(incoming: &IncomingRequest, progress: &Progress) -> bool {
        let may_retry = progress.possible_runs == 0 || incoming.route.retry != RetryPolicy::Never;
        let has_runs_left = progress.possible_runs < incoming.route.max_targets;
        let has_attempts_left = progress.tried_targets.len() < MAX_ATTEMPTS;
        may_retry
            && has_runs_left
            && has_attempts_left
            && !progress.may_crash_targets
            && incoming.left_ms() > 0
    }

    /// Updates the metrics for requests in progress, waiting requests and remaining retries.
    pub fn report_loads(&self, loads: &BTreeMap<ServiceName, (u64, u64)>) {
        let gateways = self.local_quotas().gateway_count();
        for (service, (in_progress, waiting)) in loads {
            let left = self
                .retry_budget()
                .remaining(service, gateways, clock::boot_ms());
            metrics::gateway_load(service, *in_progress, *waiting, left);
        }
    }

    /// Returns whether the retry budget allows a retry now.
    pub fn has_retry_left(&self, service: &ServiceName) -> bool {
        let gateways = self.local_quotas().gateway_count();
        let left = self
            .retry_budget()
            .remaining(service, gateways, clock::boot_ms());
        left > 0
    }

    /// Spends one retry; returns `false` if the retry budget is used up.
    pub fn spend_retry(&self, service: &ServiceName) -> bool {
        let gateways = self.local_quotas().gateway_count();
        let is_allowed = self
            .retry_budget()
            .try_spend(service, gateways, clock::boot_ms());
        if !is_allowed {
            tracing::info!(%service, "gateway: retry budget exhausted");
        }
        is_allowed
    }

    /// Acquires a slot at a target and sends the request there. If the target is silent for too
    /// long, another one may take over whose response `accepts`.
    async fn send(
        self: &Arc<Self>,
        incoming: &IncomingRequest,
        progress: &mut Progress,
        resume_after: Option<u64>,
        accepts: impl Fn(&Response<Incoming>) -> bool + Sync,
    ) -> Result<AttemptOutcome, Refusal> {
        let slot = self.acquire_slot(incoming, progress).await?;
        let silence_timeout_ms = Self::silence_timeout_ms(incoming, progress);
        let Some(request) = self.begin_attempt(incoming, progress, &slot, resume_after) else {
            return Err(Refusal::not_run(
                Reason::BadRequest,
                "the request cannot be passed on",
            ));
        };
        let sent_ms = clock::boot_ms();
        let target = slot.target.clone();
        let has_departed = slot.departure_check();
        let kind = incoming.connection_kind();
        let call = self.connections.call(&target, kind, request, has_departed);
        let mut call = pin!(call.fuse());
        let silence_timeout = Duration::from_millis(silence_timeout_ms);
        let called = match timeout(silence_timeout, call.as_mut()).await {
            Ok(called) => called,
            Err(_) => {
                let took_ms = clock::boot_ms() - sent_ms;
                let why = format!("no answer of target {} within {took_ms} ms", target.name);
                slot.record_failure(&incoming.id, &why);
                let handover =
                    self.hand_over(incoming, progress, resume_after, &accepts, call.as_mut());
                match handover.await {
                    HandoverOutcome::Kept(called) => called,
                    HandoverOutcome::Replaced(response) => {
                        return Ok(AttemptOutcome::Responded(response));
                    }
                    HandoverOutcome::Failed(why) => {
                        return Ok(AttemptOutcome::Failed(Reason::TargetFailed, why));
                    }
                    HandoverOutcome::Expired => {
                        return Ok(AttemptOutcome::Failed(Reason::Expired, why));
                    }
                }
            }
        };
        Ok(self
            .interpret(incoming, progress, slot, sent_ms, called)
            .await)
    }

    /// Counts an attempt as one that may reach the target and run there, and builds its request;
    /// `None` if the request cannot be forwarded.
    pub fn begin_attempt(
        &self,
        incoming: &IncomingRequest,
        progress: &mut Progress,
        slot: &SlotGuard,
        resume_after: Option<u64>,
    ) -> Option<Request<Full<Bytes>>> {
        let request = self.build_request(incoming, slot, resume_after)?;
        if let Some(tokens) = incoming.metadata.prompt_tokens {
            let kind = if progress.delivered == 0 {
                "first"
            } else {
                "again"
            };
            metrics::gateway_prompt_tokens(&incoming.service, kind, tokens);
        }
        slot.record_sent();
        progress.tried_targets.push(slot.target.name.clone());
        progress.delivered += 1;
        progress.possible_runs += 1;
        incoming.set_may_have_run(true);
        Some(request)
    }

    /// Turns the result of a call into the outcome of its attempt, and records what it tells about
    /// the target.
    pub async fn interpret(
        &self,
        incoming: &IncomingRequest,
        progress: &mut Progress,
        slot: SlotGuard,
        sent_ms: u64,
        called: Result<(Response<Incoming>, Connection), CallError>,
    ) -> AttemptOutcome {
        let took_ms = clock::boot_ms() - sent_ms;
        let called = called.and_then(|(response, connection)| {
            match response_head::check_status(response.status()) {
                Ok(()) => Ok((response, connection)),
                Err(error) => Err(CallError {
                    verdict: Verdict::MayHaveRun,
                    reason: Reason::TargetFailed,
                    error: error.to_string(),
                }),
            }
        });
        let (response, connection) = match called {
            Ok(answered) => answered,
            Err(CallError {
                verdict: Verdict::NotRun,
                reason,
                error,
            }) => {
                progress.delivered -= 1;
                progress.possible_runs -= 1;
                match reason {
                    Reason::Leaving => slot.record_departed(&incoming.id),
                    _ => slot.record_unreachable(&incoming.id, &error),
                }
                return AttemptOutcome::NotRun(reason, error);
            }
            Err(CallError { reason, error, .. }) => {
                slot.record_failure(&incoming.id, &error);
                slot.log_break(incoming, None, 0, &error);
                self.record_break(incoming, progress, &slot, false).await;
                let message = format!("target {}: {error}", slot.target.name);
                return AttemptOutcome::Failed(reason, message);
            }
        };
        let metadata = self
            .dialect
            .decode_response(response.status(), response.headers());
        let traits = ResponseTraits {
            sent_id: incoming.metadata.id.as_deref(),
            stated_id: metadata.id.as_deref(),
            is_connection_reused: connection.is_reused(),
        };
        if traits.lacks_id() {
            self.connections.suspend_reuse(&slot.target);
        }
        let origin = traits.origin();
        if origin != ResponseOrigin::ThisRequest {
            // What it says about the target may be outdated.
            let status = response.status().as_u16();
            tracing::warn!(request = incoming.id, target = %slot.target.name, status, ?origin, "gateway: response may not be to this request");
            let message = "the answer may not be to this request".to_string();
            return AttemptOutcome::Failed(Reason::TargetFailed, message);
        }
        if metadata.leaves && !metadata.is_another {
            slot.record_draining(&incoming.id);
        }
        if !metadata.is_another {
            slot.record_limit(&incoming.id, metadata.limit, sent_ms);
        }
        let refused = response.status() == StatusCode::SERVICE_UNAVAILABLE;
        let wait_ms = retry_after_ms(response.headers(), SystemTime::now());
        if let Some(wait_ms) = wait_ms.filter(|_| refused) {
            slot.record_pause(&incoming.id, wait_ms);
        }
        match () {
            () if metadata.is_another => {
                progress.possible_runs -= 1;
                slot.record_replacement(&incoming.id);
                let message = "another target answers at its address".to_string();
                AttemptOutcome::NotRun(Reason::NoTarget, message)
            }
            () if metadata.not_run => {
                progress.possible_runs -= 1;
                slot.record_full();
                let status = response.status().as_u16();
                tracing::info!(request = incoming.id, target = %slot.target.name, status, "gateway: target did not run it");
                let message = format!("the target refused it with {status}");
                AttemptOutcome::NotRun(Reason::Shed, message)
            }
            () => {
                slot.record_head(response.status(), took_ms);
                AttemptOutcome::Responded(Box::new(TargetResponse {
                    response,
                    connection,
                    slot,
                }))
            }
        }
    }

    /// Resumes a stream at another target, after the last event that the caller received. Targets
    /// are tried as long as the request may be retried, until `accepts` the head of a response.
    pub async fn resume(
        self: &Arc<Self>,
        incoming: &IncomingRequest,
        progress: &mut Progress,
        last_id: Option<u64>,
        accepts: impl Fn(&Response<Incoming>) -> bool + Sync,
    ) -> Option<TargetResponse> {
        loop {
            let refusal = Refusal::may_have_run(Reason::TargetFailed, "the stream broke off");
            if self.check_retry(incoming, progress, refusal).is_err() {
                tracing::warn!(
                    request = incoming.id,
                    why = "no retry is left",
                    tries = progress.tried_targets.len(),
                    runs = progress.possible_runs,
                    left_ms = incoming.left_ms(),
                    "gateway: stream not resumed, giving up"
                );
                return None;
            }
            let why = match self.send(incoming, progress, last_id, &accepts).await {
                Ok(AttemptOutcome::Responded(target_response))
                    if accepts(&target_response.response) =>
                {
                    return Some(*target_response);
                }
                Ok(AttemptOutcome::Responded(target_response)) => {
                    let slot = &target_response.slot;
                    let why = target_response.describe_unused();
                    slot.record_failure(&incoming.id, &why);
                    format!("target {}: {why}", slot.target.name)
                }
                Ok(AttemptOutcome::NotRun(_, message) | AttemptOutcome::Failed(_, message)) => {
                    message
                }
                Err(refusal) => {
                    tracing::warn!(request = incoming.id, reason = %refusal.reason, why = refusal.message, tries = progress.tried_targets.len(), left_ms = incoming.left_ms(), "gateway: stream not resumed, giving up");
                    return None;
                }
            };
            tracing::info!(
                request = incoming.id,
                why,
                tries = progress.tried_targets.len(),
                left_ms = incoming.left_ms(),
                "gateway: stream not resumed at this target"
            );
        }
    }

    /// Acquires a slot for the next attempt.
    pub async fn acquire_slot(
        self: &Arc<Self>,
        incoming: &IncomingRequest,
        progress: &mut Progress,
    ) -> Result<SlotGuard, Refusal> {
        let objective_ms = incoming.route.objective_ms;
        // A request that gets its slot only at the end of the objective would miss it.
        let first_ms = self.targets.first_ms(&incoming.service);
        let start_objective_ms =
            objective_ms - first_ms.min(objective_ms / FIRST_EVENT_OBJECTIVE_DIVISOR);
        // A stream in progress has missed its first pause when its target is silent; the next one
        // counts, or it would wait behind all new requests.
        let objective_at_ms = match (
            progress.last_event_ms,
            incoming.route.event_gap_objective_ms,
        ) {
            (Some(_), 0) => clock::boot_ms() + objective_ms,
            (Some(_), pause_ms) => clock::boot_ms() + pause_ms,
            (None, _) => incoming.arrived_ms + start_objective_ms,
        };
        let work_units = incoming.work_units_after(progress.done_units);
        let stream_version = progress.stream_version.clone();
        let waiting = QueuedRequest {
            rank: incoming.rank,
            route_rank: incoming.route.rank,
            arrived_ms: incoming.arrived_ms,
            objective_at_ms,
            first_event_by_ms: incoming.next_event_by_ms(progress.last_event_ms),
            deadline_at_ms: incoming.deadline_at_ms,
            expected_run_ms: 0,
            is_retry: false,
            share: incoming.share,
            is_favoured: self.targets.has_priority(&incoming.route.name, work_units),
        };
        let is_not_full = |target: &TargetName| !progress.full_targets.contains(target);
        let tried_targets = progress.tried_targets.iter().cloned();
        let tried_targets: Vec<TargetName> = tried_targets.filter(is_not_full).collect();
        let query = SlotQuery {
            request: &incoming.id,
            service: &incoming.service,
            route: &incoming.route.name,
            waiting,
            parts: incoming.prefix_parts(),
            tried_targets: &tried_targets,
            work_units,
            prompt_tokens: incoming.metadata.prompt_tokens.unwrap_or(0),
            pause_ms: incoming.route.event_gap_objective_ms,
            fingerprint: incoming.fingerprint(),
            versions: self.targets.choose_versions(incoming, progress),
            stream_version: stream_version.as_ref(),
        };
        loop {
            let acquired = self.targets.acquire(&query).await;
            let slot = acquired.map_err(|refusal| match progress.possible_runs {
                0 => refusal,
                _ => Refusal::may_have_run(
                    Reason::TargetFailed,
                    "a target failed, and no other one takes it",
                ),
            })?;
            match self.keep_to_limit(&query, &slot).await {
                Ok(()) => {
                    self.take_trial(incoming, progress)?;
                    progress.versions.record(slot.version_side());
                    return Ok(slot);
                }
                Err(wait_ms) => slot.hold_back(&incoming.id, wait_ms),
            }
        }
    }

    /// Builds the request to a target; `None` if it cannot be forwarded.
    fn build_request(
        &self,
        incoming: &IncomingRequest,
        slot: &SlotGuard,
        resume_after: Option<u64>,
    ) -> Option<Request<Full<Bytes>>> {
        let mut headers = incoming.headers.clone();
        let forwarded = ForwardedMetadata {
            target: &slot.target.name,
            customer: incoming.customer.as_ref().map(|customer| &customer.name),
            deadline_ms: incoming.left_ms().max(1),
            resume_after,
        };
        self.dialect.encode_request(&mut headers, &forwarded);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        let path = incoming.uri.path_and_query()?.as_str();
        let mut request = Request::builder()
            .method(incoming.method.clone())
            .uri(path)
            .body(Full::new(incoming.body.clone()))
            .ok()?;
        *request.headers_mut() = headers;
        Some(request)
    }

    /// Returns the time without the head of a response after which a target counts as silent.
    pub fn silence_timeout_ms(incoming: &IncomingRequest, progress: &Progress) -> u64 {
        let left_ms = incoming.left_ms();
        let route = &incoming.route;
        let may_use_another_target = progress.possible_runs + 1 < route.max_targets;
        match route.retry {
            RetryPolicy::Idempotent if may_use_another_target => {
                (left_ms / 3).max(MIN_ATTEMPT_TIMEOUT_MS).min(left_ms)
            }
            RetryPolicy::Resumable if may_use_another_target => {
                let timeout_ms = (route.objective_ms * FIRST_EVENT_TIMEOUT_OBJECTIVES)
                    .max(MIN_FIRST_EVENT_TIMEOUT_MS);
                timeout_ms.min(left_ms)
            }
            _ => left_ms,
        }
    }

    /// Turns a target's response into the caller's; `None` if the request is to be retried.
    async fn handle_response(
        self: &Arc<Self>,
        incoming: &Arc<IncomingRequest>,
        progress: &mut Progress,
        target_response: TargetResponse,
    ) -> Result<Option<GatewayResponse<D>>, Refusal> {
        let status = target_response.response.status();
        let is_stream = incoming.route.streams && status.is_success();
        // The target did not state that it did not run the request.
        let is_unfounded_promise = promises_not_run(status);
        let is_retryable_failure = is_unfounded_promise
            || status.is_server_error() && incoming.route.retry != RetryPolicy::Never;
        let length = target_response
            .response
            .headers()
            .get(header::CONTENT_LENGTH);
        let length = length.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
        let is_long = length.is_some_and(|length| length > MAX_BUFFERED_BYTES);
        if is_stream || is_long && !is_unfounded_promise {
            let response = self.relay(incoming, progress, target_response, Bytes::new());
            return Ok(Some(response));
        }
        let TargetResponse {
            response,
            connection,
            mut slot,
        } = target_response;
        let (parts, mut body) = response.into_parts();
        let (limit_bytes, _reservation) = self.byte_budget.reserve_response(length);
        let read_body = read_start(&mut body, limit_bytes);
        let read_result = timeout(Duration::from_millis(incoming.left_ms()), read_body).await;
        let (read, is_whole) = match read_result {
            Ok(Ok(read)) => read,
            Ok(Err(error)) => {
                slot.record_failure(&incoming.id, &error.to_string());
                self.record_break(incoming, progress, &slot, false).await;
                let message = format!("the answer broke off: {error}");
                let refusal = Refusal::may_have_run(Reason::TargetFailed, message);
                return self.check_retry(incoming, progress, refusal).map(|()| None);
            }
            Err(_) => {
                slot.record_bad_answer();
                let message = "the answer did not come whole in time";
                return Err(Refusal::may_have_run(Reason::Expired, message));
            }
        };
        let framing = Framing::of(&incoming.method, status, &parts.headers);
        if is_whole
            && let EndVerdict::Broken(error) = self
                .judge_end(incoming, &slot, framing, ContentEnd::NotEvents)
                .await
        {
            slot.record_failure(&incoming.id, error);
            self.record_break(incoming, progress, &slot, false).await;
            let message = format!("the answer broke off: {error}");
            let refusal = Refusal::may_have_run(Reason::TargetFailed, message);
            return self.check_retry(incoming, progress, refusal).map(|()| None);
        }
        let connection = match is_whole {
            true => {
                self.connections.release(&slot.target, connection);
                slot.record_completion();
                None
            }
            false => Some(connection),
        };
        if is_retryable_failure {
            let message = format!("the target failed with {}", status.as_u16());
            slot.record_failure(&incoming.id, &message);
            let message = format!("target {}: {message}", slot.target.name);
            let refusal = Refusal::may_have_run(Reason::TargetFailed, message);
            match self.check_retry(incoming, progress, refusal) {
                Ok(()) => return Ok(None),
                Err(refusal) if is_unfounded_promise => return Err(refusal),
                Err(_) => {}
            }
        }
        if let Some(connection) = connection {
            let target_response = TargetResponse {
                response: Response::from_parts(parts, body),
                connection,
                slot,
            };
            let response = self.relay(incoming, progress, target_response, read);
            return Ok(Some(response));
        }
        if status.is_success() {
            self.record_complete(incoming, &slot);
        }
        record_response(incoming, &slot, status, framing, progress);
        let mut response = Response::new(Full::new(read));
        *response.status_mut() = status;
        *response.headers_mut() = strip_hop_by_hop(parts.headers);
        if framing == Framing::Connection {
            *response.version_mut() = UNFRAMED_VERSION;
            response.headers_mut().remove(header::CONTENT_LENGTH);
        }
        Ok(Some(GatewayResponse::Buffered(response)))
    }

    /// Passes a response on as it arrives, after the part of its body that was read before.
    fn relay(
        self: &Arc<Self>,
        incoming: &Arc<IncomingRequest>,
        progress: &mut Progress,
        target_response: TargetResponse,
        read: Bytes,
    ) -> GatewayResponse<D> {
        let progress = std::mem::take(progress);
        let (head, relay) = Relay::begin(
            Arc::clone(self),
            Arc::clone(incoming),
            progress,
            target_response,
            read,
        );
        GatewayResponse::Streaming(head, Box::new(relay))
    }

    fn retry_budget(&self) -> std::sync::MutexGuard<'_, RetryBudget> {
        self.retry_budget.lock().expect("no holder panics")
    }

    fn local_quotas(&self) -> std::sync::MutexGuard<'_, LocalQuotas> {
        self.local_quotas.lock().expect("no holder panics")
    }
}

/// Returns the maximum time that a request may wait for units of its customer's quota and still
/// meet its objective. Lower tiers wait less, which leaves the units to the customer's more
/// urgent requests.
fn max_quota_wait_ms(incoming: &IncomingRequest, quota: QuotaPolicy) -> u64 {
    let waited_ms = clock::boot_ms() - incoming.arrived_ms;
    let objective_left_ms = incoming.route.objective_ms.saturating_sub(waited_ms);
    match is_small_request(incoming, quota) {
        true => SMALL_REQUEST_ADVANCE_MS,
        false => max_wait_of_tier_ms(objective_left_ms, incoming.route.rank),
    }
}

/// Returns the part of the time until the objective that a request of this tier may wait.
pub fn max_wait_of_tier_ms(objective_left_ms: u64, rank: TierRank) -> u64 {
    let shift = 1 + u32::from(rank.0);
    objective_left_ms.checked_shr(shift).unwrap_or(0)
}

/// Returns whether the request costs so little of the quota that it is sent at once, before the
/// account covers it.
fn is_small_request(incoming: &IncomingRequest, quota: QuotaPolicy) -> bool {
    incoming.quota_units() <= quota.burst / SMALL_REQUEST_BURST_DIVISOR
}

fn record_response(
    incoming: &IncomingRequest,
    slot: &SlotGuard,
    status: StatusCode,
    framing: Framing,
    progress: &Progress,
) {
    let took_ms = clock::boot_ms() - incoming.arrived_ms;
    metrics::gateway_response_started(&incoming.service, incoming.rank, status.as_u16(), took_ms);
    metrics::gateway_response_completed(&incoming.service, incoming.rank, took_ms);
    tracing::info!(
        request = incoming.id, route = incoming.route.name, target = %slot.target.name,
        status = status.as_u16(), framing = %framing,
        took_ms = clock::boot_ms() - incoming.arrived_ms,
        tries = progress.tried_targets.len(), version = incoming.version.0, "gateway: answered"
    );
}
