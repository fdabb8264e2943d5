//! Request scheduling: admission, reservation, claim, dispatch, retries.

use super::{
    agent_links::AgentLinks,
    body::{AgentResponse, ResponseBody, ResponseHead},
    claims::{AttemptId, ClaimClient, ClaimDecision},
    delivery::DeliveryTracker,
    history::{RequestHistory, Step},
    limits::{EntryLimits, Permit, RetryBudget},
    refusal::Refusal,
    request::IncomingRequest,
    reservations::{Reservation, ReservationClient, ReservationError},
    response::{buffer_response, build_response, recorded_outcome, replay},
    routing::RoutingPolicy,
};
use crate::{
    control::{
        ControlClient,
        command::{ClaimedAttempt, Outcome, RecordedResponse},
    },
    control_view::ControlView,
    metrics, telemetry,
    units::*,
    verdict::{Reason, Verdict},
    wire::{DispatchedRequest, ToAgent},
};
use bytes::Bytes;
use hyper::Response;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::time::timeout;
use tokio_util::task::TaskTracker;

/// Maximum number of attempts per request. An attempt follows another only if that one
/// provably did not run, or if the request may be retried with an unknown outcome.
///
/// An attempt reserves a slot, claims the request if required, and dispatches it. One that
/// finds the claim held by an attempt that did not run dispatches nothing. It still has a
/// number of its own, and the next one is taken from the retry budget.
const MAX_ATTEMPTS: u32 = 4;
/// Time to wait for a newer document that an agent already has.
const DOCUMENT_TIMEOUT_MS: u64 = 1000;
/// Retry delay sent to the caller when no agent suggested one.
const DEFAULT_RETRY_AFTER_MS: u64 = 1000;

/// Schedules the requests of one entry.
pub struct Scheduler {
    view: Arc<ControlView>,
    claims: ClaimClient,
    reservations: ReservationClient,
    /// The steps of recent requests.
    pub history: Arc<RequestHistory>,
    limits: Arc<EntryLimits>,
    retry_budget: RetryBudget,
    /// Tasks that outlive the response, such as settling claims.
    pub background: TaskTracker,
}

/// Why a dispatch got no response, or only a part of one.
pub struct DispatchError(pub Verdict, pub Reason);

impl From<DispatchError> for Refusal {
    fn from(DispatchError(verdict, reason): DispatchError) -> Self {
        match verdict {
            Verdict::NotRun => {
                let message = "the request could not be dispatched";
                Self::not_run(reason, message).retry_after(DEFAULT_RETRY_AFTER_MS)
            }
            _ => {
                let message = "the request was dispatched and its answer did not come whole";
                Self {
                    verdict,
                    ..Self::not_run(reason, message)
                }
            }
        }
    }
}

/// The state of a request's claim across its attempts.
struct ClaimState {
    /// The attempt that the next claim replaces; a claim follows only if it did not run.
    replaces: Option<AttemptId>,
    /// The attempt of this request that holds the claim.
    holder: Option<AttemptId>,
}

/// The result of one attempt.
enum AttemptResult {
    /// A response, of this attempt or recorded earlier.
    Responded(Response<ResponseBody>),
    /// An earlier attempt with the same key provably did not run.
    RetryClaim,
    /// No slot was reserved, so nothing was dispatched.
    NotReserved(Refusal),
    /// The dispatch got no response, or only a part of one.
    Failed(DispatchError),
}

impl Scheduler {
    /// Creates the scheduler of an entry.
    pub fn new(
        view: Arc<ControlView>,
        links: Arc<AgentLinks>,
        client: Arc<ControlClient>,
        limits: Arc<EntryLimits>,
        policy: RoutingPolicy,
    ) -> Self {
        let history = Arc::new(RequestHistory::default());
        let reservations = ReservationClient::new(Arc::clone(&links), policy, Arc::clone(&history));
        let claims = ClaimClient::new(client, links);
        let background = TaskTracker::new();
        Self {
            view,
            claims,
            reservations,
            history,
            limits,
            retry_budget: RetryBudget::default(),
            background,
        }
    }

    /// Schedules a request and returns its response or a refusal.
    pub async fn serve(self: &Arc<Self>, inbound: IncomingRequest) -> Response<ResponseBody> {
        let id = inbound.id;
        self.history.record(
            id,
            Step::Arrived {
                customer: inbound.customer.name.clone(),
                service: inbound.service.name.clone(),
                tier: inbound.request_policy.tier.name.clone(),
                total_tokens: inbound.total_tokens,
            },
        );
        let (tier, arrived) = (inbound.request_policy.tier.clone(), inbound.arrived);
        match self.run(inbound).await {
            Ok(mut response) => {
                let status = response.status().as_u16();
                self.history.record(id, Step::Answered(status));
                let delivery = DeliveryTracker::new(Arc::clone(&self.history), id, tier, arrived);
                response.body_mut().track_delivery(delivery);
                response
            }
            Err(refusal) => {
                self.history
                    .record(id, Step::Ended(refusal.verdict, refusal.reason.clone()));
                metrics::record_refusal(&tier.name, refusal.verdict, &refusal.reason);
                tracing::debug!("entry: refused request {id}: {refusal}");
                refusal.into_response(id)
            }
        }
    }

    async fn run(
        self: &Arc<Self>,
        mut inbound: IncomingRequest,
    ) -> Result<Response<ResponseBody>, Refusal> {
        self.retry_budget.deposit();
        let mut replaces = None;
        if inbound.needs_claim() {
            match self
                .claims
                .resolve_existing(&inbound, &self.view.load())
                .await?
            {
                Some(ClaimDecision::Replay(answer)) => return Ok(self.replay(inbound.id, answer)),
                Some(ClaimDecision::RetryClaim(holder)) => replaces = Some(holder),
                Some(ClaimDecision::Dispatch) | None => {}
            }
        }
        let mut permit = self.limits.admit(&inbound).await?;
        let mut claim = ClaimState {
            replaces,
            holder: None,
        };
        let mut last_refusal = Refusal::not_run(Reason::NoTarget, "no attempt was made");
        for attempt_number in 1..=MAX_ATTEMPTS {
            if attempt_number > 1 && !self.retry_budget.withdraw() {
                break;
            }
            let attempt = Attempt(attempt_number);
            let attempted = self
                .attempt(&mut inbound, attempt, &mut claim, &mut permit)
                .await?;
            match attempted {
                AttemptResult::Responded(response) => return Ok(response),
                AttemptResult::RetryClaim => {}
                AttemptResult::NotReserved(refusal) => {
                    last_refusal = refusal;
                    break;
                }
                AttemptResult::Failed(failed) => {
                    let step = Step::Failed(attempt, failed.0, failed.1.clone());
                    self.history.record(inbound.id, step);
                    last_refusal = failed.into();
                    if last_refusal.verdict != Verdict::NotRun
                        && !inbound.request_policy.retry_when_unknown
                    {
                        break;
                    }
                }
            }
        }
        self.settle_failed_claim(&inbound, claim.holder, &last_refusal);
        Err(last_refusal)
    }

    /// Reserves a slot, claims the request if required, and dispatches it.
    async fn attempt(
        self: &Arc<Self>,
        inbound: &mut IncomingRequest,
        attempt: Attempt,
        claim: &mut ClaimState,
        permit: &mut Option<Permit>,
    ) -> Result<AttemptResult, Refusal> {
        let search_started = Instant::now();
        let reservation = match self.reserve(inbound).await {
            Ok(reservation) => reservation,
            Err(refusal) => return Ok(AttemptResult::NotReserved(refusal)),
        };
        let wait_ms = search_started.elapsed().as_millis() as u64;
        metrics::record_queue_wait(&inbound.request_policy.tier.name, wait_ms);
        if inbound.needs_claim() {
            match self
                .claim(inbound, attempt, &reservation, claim.replaces)
                .await?
            {
                ClaimDecision::Dispatch => {
                    self.history.record(inbound.id, Step::Claimed(attempt));
                    claim.holder = Some((inbound.id, attempt));
                    claim.replaces = claim.holder;
                }
                ClaimDecision::Replay(answer) => {
                    return Ok(AttemptResult::Responded(self.replay(inbound.id, answer)));
                }
                ClaimDecision::RetryClaim(holder) => {
                    claim.replaces = Some(holder);
                    return Ok(AttemptResult::RetryClaim);
                }
            }
        }
        let dispatched = self.dispatch(inbound, attempt, reservation, claim.holder, permit);
        Ok(match dispatched.await {
            Ok(response) => AttemptResult::Responded(response),
            Err(failed) => AttemptResult::Failed(failed),
        })
    }

    /// Settles the claim of a request that got no complete response.
    fn settle_failed_claim(
        self: &Arc<Self>,
        inbound: &IncomingRequest,
        holder: Option<AttemptId>,
        last_refusal: &Refusal,
    ) {
        match (holder, last_refusal.verdict, &last_refusal.reason) {
            (Some(holder), Verdict::NotRun, _) => self.settle(inbound, holder, Outcome::NotRun),
            // Left open: the agent may still learn the outcome, and a retry by the caller
            // queries it.
            (Some(_), _, Reason::LinkLost | Reason::Expired) => {}
            (Some(holder), ..) => self.settle(inbound, holder, Outcome::MayHaveRun),
            (None, ..) => {}
        }
    }

    fn replay(&self, request: RequestId, recorded: RecordedResponse) -> Response<ResponseBody> {
        self.history.record(request, Step::Replayed);
        replay(request, recorded)
    }

    /// Reserves a slot. If an agent has a newer document, waits for it and retries.
    async fn reserve(&self, inbound: &mut IncomingRequest) -> Result<Reservation, Refusal> {
        loop {
            let view = self.view.load();
            if !view.is_valid() {
                let message = "this entry has lost touch with the control group";
                let refusal = Refusal::not_run(Reason::ControlUnreachable, message);
                return Err(refusal.retry_after(DEFAULT_RETRY_AFTER_MS));
            }
            match self.reservations.reserve(inbound, &view).await {
                Ok(reservation) => return Ok(reservation),
                Err(ReservationError::Refused(refusal)) => return Err(refusal),
                Err(ReservationError::DocumentStale(version)) => {
                    if !self
                        .view
                        .wait_for_version(version, DOCUMENT_TIMEOUT_MS)
                        .await
                    {
                        let message = "this entry has an older document than an agent";
                        let refusal =
                            Refusal::not_run(Reason::EntryDocumentStale(version.0), message);
                        return Err(refusal.retry_after(DEFAULT_RETRY_AFTER_MS));
                    }
                    inbound.update_policy(&self.view.load())?;
                }
            }
        }
    }

    async fn claim(
        &self,
        inbound: &IncomingRequest,
        attempt: Attempt,
        reservation: &Reservation,
        replaces: Option<AttemptId>,
    ) -> Result<ClaimDecision, Refusal> {
        let claimed = ClaimedAttempt {
            request: inbound.id,
            attempt,
            // An agent and its target have the same name.
            target: TargetName(reservation.member.name.0.clone()),
            agent_address: reservation.member.address.clone(),
            grant: reservation.grant,
        };
        self.claims
            .claim(inbound, &claimed, replaces, &self.view.load())
            .await
    }

    fn settle(self: &Arc<Self>, inbound: &IncomingRequest, holder: AttemptId, outcome: Outcome) {
        let scheduler = Arc::clone(self);
        let inbound = inbound.without_content();
        self.background.spawn(async move {
            if let Err(error) = scheduler.claims.settle(&inbound, holder, outcome).await {
                tracing::warn!(
                    "entry: failed to record the outcome of request {}: {error}",
                    holder.0
                );
            }
        });
    }

    async fn dispatch(
        self: &Arc<Self>,
        inbound: &IncomingRequest,
        attempt: Attempt,
        reservation: Reservation,
        claim: Option<AttemptId>,
        permit: &mut Option<Permit>,
    ) -> Result<Response<ResponseBody>, DispatchError> {
        let Reservation {
            mut exchange,
            events,
            grant,
            member,
        } = reservation;
        let request = inbound.id;
        let head = Box::new(DispatchedRequest {
            method: inbound.method.clone(),
            path: inbound.path.clone(),
            headers: inbound.headers.clone(),
            body: inbound.body.clone(),
            prompt_tokens: inbound.prompt_tokens,
            keep_outcome: claim.is_some(),
            traceparent: telemetry::traceparent(&tracing::Span::current()),
        });
        let step = Step::Dispatched(attempt, member.name);
        self.history.record(request, step);
        exchange.dispatch(
            grant,
            ToAgent::Dispatch {
                request,
                attempt,
                grant,
                head,
            },
        );
        let mut agent_response = AgentResponse::new(request, exchange, events);
        let remaining = Duration::from_millis(inbound.remaining_ms());
        let head = timeout(remaining, agent_response.head()).await;
        let ResponseHead {
            status,
            headers,
            is_unframed,
        } = match head {
            Ok(Ok(head)) => head,
            Ok(Err((verdict, reason))) => return Err(DispatchError(verdict, reason)),
            Err(_) => return Err(DispatchError(Verdict::MayHaveRun, Reason::Expired)),
        };
        let is_event_stream = headers
            .iter()
            .any(|(name, value)| name == "content-type" && value.starts_with(b"text/event-stream"));
        let (body, is_whole) = match is_event_stream {
            true => {
                let (bytes, permit) = (Bytes::new(), permit.take());
                let body = ResponseBody::relayed(agent_response, bytes, true, is_unframed, permit);
                (body, false)
            }
            false => {
                let remaining = Duration::from_millis(inbound.remaining_ms());
                let buffering = buffer_response(agent_response, is_unframed, permit);
                let buffered = timeout(remaining, buffering).await;
                buffered.unwrap_or(Err(DispatchError(Verdict::MayHaveRun, Reason::Expired)))?
            }
        };
        if let Some(holder) = claim {
            self.settle(
                inbound,
                holder,
                recorded_outcome(status, &headers, &body, is_whole),
            );
        }
        Ok(build_response(request, status, &headers, body))
    }
}
