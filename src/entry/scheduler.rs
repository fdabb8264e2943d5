//! The course of one request: place, claim, dispatch, answer.

use super::{
    agent_links::AgentLinks,
    body::{AnswerBody, AnswerHead, Arriving},
    claims::{Claimed, Claims, Replaced},
    delivery::Delivery,
    journal::{Journal, Step},
    limits::{EntryLimits, Permit, RetryBudget},
    refusal::Refusal,
    request::Inbound,
    reservations::{Reservation, ReservationClient, ReservationError},
    response::{collect, recorded, replay, respond},
    routing::RoutingPolicy,
};
use crate::{
    control::{
        ControlClient,
        command::{ClaimedAttempt, Outcome, RecordedAnswer},
    },
    control_view::ControlView,
    metrics, telemetry,
    units::*,
    verdict::{Reason, Verdict},
    wire::{Dispatched, ToAgent},
};
use bytes::Bytes;
use hyper::Response;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::time::timeout;
use tokio_util::task::TaskTracker;

/// How often a request is dispatched at most; each but the first after a proof
/// that the one before did not run.
const ATTEMPTS: u32 = 4;
/// How long to wait for a document that an agent already has.
const DOCUMENT_WAIT_MS: u64 = 1000;
/// The advice when to come back where no agent gave one.
const RETRY_AFTER_MS: u64 = 1000;
/// Schedules the requests of one entry.
pub struct Scheduler {
    view: Arc<ControlView>,
    claims: Claims,
    reservations: ReservationClient,
    /// What happened to the latest requests.
    pub journal: Arc<Journal>,
    limits: Arc<EntryLimits>,
    retries: RetryBudget,
    /// Work that goes on after its answer, such as settling claims.
    pub background: TaskTracker,
}

/// Why a dispatch brought no answer.
pub struct Failed(pub Verdict, pub Reason);

impl From<Failed> for Refusal {
    fn from(Failed(verdict, reason): Failed) -> Self {
        match verdict {
            Verdict::NotRun => {
                let message = "the request could not be dispatched";
                Self::not_run(reason, message).retry_after(RETRY_AFTER_MS)
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

/// The claim of a request, over its attempts.
struct HeldClaim {
    /// The dispatch that is proved not to have run, and gives way to the next.
    replaces: Option<Replaced>,
    /// The dispatch of this request that holds the claim.
    own: Option<Replaced>,
}

/// What one attempt came to.
enum Attempted {
    /// There is an answer, of this attempt or on record.
    Answered(Response<AnswerBody>),
    /// An earlier attempt with the key is proved not to have run.
    ClaimAgain,
    /// Nothing was dispatched.
    NotReserved(Refusal),
    /// The dispatch brought no answer.
    Failed(Failed),
}

impl Scheduler {
    /// A scheduler of one entry.
    pub fn new(
        view: Arc<ControlView>,
        links: Arc<AgentLinks>,
        client: Arc<ControlClient>,
        limits: Arc<EntryLimits>,
        policy: RoutingPolicy,
    ) -> Self {
        let journal = Arc::new(Journal::default());
        let reservations = ReservationClient::new(Arc::clone(&links), policy, Arc::clone(&journal));
        let claims = Claims::new(client, links);
        let background = TaskTracker::new();
        Self {
            view,
            claims,
            reservations,
            journal,
            limits,
            retries: RetryBudget::default(),
            background,
        }
    }

    /// Serves one request.
    pub async fn serve(self: &Arc<Self>, inbound: Inbound) -> Response<AnswerBody> {
        let id = inbound.id;
        self.journal.note(
            id,
            Step::Arrived {
                customer: inbound.customer.name.clone(),
                service: inbound.service.name.clone(),
                tier: inbound.treatment.tier.name.clone(),
                total_tokens: inbound.total_tokens,
            },
        );
        let (tier, arrived) = (inbound.treatment.tier.clone(), inbound.arrived);
        match self.run(inbound).await {
            Ok(mut response) => {
                let status = response.status().as_u16();
                self.journal.note(id, Step::Answered(status));
                let delivery = Delivery::begin(Arc::clone(&self.journal), id, tier, arrived);
                response.body_mut().deliver(delivery);
                response
            }
            Err(refusal) => {
                self.journal
                    .note(id, Step::Ended(refusal.verdict, refusal.reason.clone()));
                metrics::refused(&tier.name, refusal.verdict, &refusal.reason);
                tracing::debug!("entry: refuses {id}: {refusal}");
                refusal.into_response(id)
            }
        }
    }

    async fn run(self: &Arc<Self>, mut inbound: Inbound) -> Result<Response<AnswerBody>, Refusal> {
        self.retries.earn();
        let mut replaces = None;
        if inbound.needs_claim() {
            match self.claims.look_up(&inbound, &self.view.load()).await? {
                Some(Claimed::Answered(answer)) => return Ok(self.replay(inbound.id, answer)),
                Some(Claimed::Again(holder)) => replaces = Some(holder),
                Some(Claimed::Dispatch) | None => {}
            }
        }
        let mut permit = self.limits.admit(&inbound).await?;
        let mut claim = HeldClaim {
            replaces,
            own: None,
        };
        let mut last = Refusal::not_run(Reason::NoTarget, "no attempt was made");
        for number in 1..=ATTEMPTS {
            if number > 1 && !self.retries.spend() {
                break;
            }
            let attempt = Attempt(number);
            let attempted = self
                .attempt(&mut inbound, attempt, &mut claim, &mut permit)
                .await?;
            match attempted {
                Attempted::Answered(response) => return Ok(response),
                Attempted::ClaimAgain => {}
                Attempted::NotReserved(refusal) => {
                    last = refusal;
                    break;
                }
                Attempted::Failed(failed) => {
                    let step = Step::Failed(attempt, failed.0, failed.1.clone());
                    self.journal.note(inbound.id, step);
                    last = failed.into();
                    if last.verdict != Verdict::NotRun && !inbound.treatment.repeat_when_unknown {
                        break;
                    }
                }
            }
        }
        self.settle_failed(&inbound, claim.own, &last);
        Err(last)
    }

    /// Finds a place, claims if need be, and dispatches.
    async fn attempt(
        self: &Arc<Self>,
        inbound: &mut Inbound,
        attempt: Attempt,
        claim: &mut HeldClaim,
        permit: &mut Option<Permit>,
    ) -> Result<Attempted, Refusal> {
        let sought = Instant::now();
        let reservation = match self.reserve(inbound).await {
            Ok(reservation) => reservation,
            Err(refusal) => return Ok(Attempted::NotReserved(refusal)),
        };
        let wait_ms = sought.elapsed().as_millis() as u64;
        metrics::waited(&inbound.treatment.tier.name, wait_ms);
        if inbound.needs_claim() {
            match self
                .claim(inbound, attempt, &reservation, claim.replaces)
                .await?
            {
                Claimed::Dispatch => {
                    self.journal.note(inbound.id, Step::Claimed(attempt));
                    claim.own = Some((inbound.id, attempt));
                    claim.replaces = claim.own;
                }
                Claimed::Answered(answer) => {
                    return Ok(Attempted::Answered(self.replay(inbound.id, answer)));
                }
                Claimed::Again(holder) => {
                    claim.replaces = Some(holder);
                    return Ok(Attempted::ClaimAgain);
                }
            }
        }
        let dispatched = self.dispatch(inbound, attempt, reservation, claim.own, permit);
        Ok(match dispatched.await {
            Ok(response) => Attempted::Answered(response),
            Err(failed) => Attempted::Failed(failed),
        })
    }

    /// Records what became of a claim whose request got no answer.
    fn settle_failed(self: &Arc<Self>, inbound: &Inbound, own: Option<Replaced>, last: &Refusal) {
        match (own, last.verdict, &last.reason) {
            (Some(holder), Verdict::NotRun, _) => self.settle(inbound, holder, Outcome::NotRun),
            // The agent may yet learn the outcome: a resend asks it.
            (Some(_), _, Reason::LinkLost | Reason::Expired) => {}
            (Some(holder), ..) => self.settle(inbound, holder, Outcome::MayHaveRun),
            (None, ..) => {}
        }
    }

    fn replay(&self, request: RequestId, answer: RecordedAnswer) -> Response<AnswerBody> {
        self.journal.note(request, Step::Replayed);
        replay(request, answer)
    }

    /// Finds a place; follows the document if an agent has a newer one.
    async fn reserve(&self, inbound: &mut Inbound) -> Result<Reservation, Refusal> {
        loop {
            let view = self.view.load();
            if !view.holds() {
                let message = "this entry has lost touch with the control group";
                let refusal = Refusal::not_run(Reason::CutOff, message);
                return Err(refusal.retry_after(RETRY_AFTER_MS));
            }
            match self.reservations.reserve(inbound, &view).await {
                Ok(reservation) => return Ok(reservation),
                Err(ReservationError::Refused(refusal)) => return Err(refusal),
                Err(ReservationError::DocumentStale(version)) => {
                    if !self.view.wait_for(version, DOCUMENT_WAIT_MS).await {
                        let message = "this entry has an older document than an agent";
                        let refusal = Refusal::not_run(Reason::DocumentStale(version.0), message);
                        return Err(refusal.retry_after(RETRY_AFTER_MS));
                    }
                    inbound.reconsider(&self.view.load())?;
                }
            }
        }
    }

    async fn claim(
        &self,
        inbound: &Inbound,
        attempt: Attempt,
        reservation: &Reservation,
        replaces: Option<Replaced>,
    ) -> Result<Claimed, Refusal> {
        let claimed = ClaimedAttempt {
            request: inbound.id,
            attempt,
            target: TargetName(reservation.member.name.0.clone()),
            agent_address: reservation.member.address.clone(),
            grant: reservation.grant,
        };
        self.claims
            .claim(inbound, &claimed, replaces, &self.view.load())
            .await
    }

    fn settle(self: &Arc<Self>, inbound: &Inbound, holder: Replaced, outcome: Outcome) {
        let scheduler = Arc::clone(self);
        let inbound = inbound.key_only();
        self.background.spawn(async move {
            if let Err(error) = scheduler.claims.settle(&inbound, holder, outcome).await {
                tracing::warn!(
                    "entry: the outcome of {} is not recorded: {error}",
                    holder.0
                );
            }
        });
    }

    async fn dispatch(
        self: &Arc<Self>,
        inbound: &Inbound,
        attempt: Attempt,
        reservation: Reservation,
        claim: Option<Replaced>,
        permit: &mut Option<Permit>,
    ) -> Result<Response<AnswerBody>, Failed> {
        let Reservation {
            mut exchange,
            events,
            grant,
            member,
        } = reservation;
        let request = inbound.id;
        let head = Box::new(Dispatched {
            method: inbound.method.clone(),
            path: inbound.path.clone(),
            headers: inbound.headers.clone(),
            body: inbound.body.clone(),
            prompt_tokens: inbound.prompt_tokens,
            keep_outcome: claim.is_some(),
            traceparent: telemetry::traceparent(&tracing::Span::current()),
        });
        let step = Step::Dispatched(attempt, member.name);
        self.journal.note(request, step);
        exchange.dispatch(
            grant,
            ToAgent::Dispatch {
                request,
                attempt,
                grant,
                head,
            },
        );
        let mut arriving = Arriving::new(request, exchange, events);
        let left = Duration::from_millis(inbound.left_ms());
        let head = timeout(left, arriving.head()).await;
        let AnswerHead { status, headers } = match head {
            Ok(Ok(head)) => head,
            Ok(Err((verdict, reason))) => return Err(Failed(verdict, reason)),
            Err(_) => return Err(Failed(Verdict::MayHaveRun, Reason::Expired)),
        };
        let is_event_stream = headers
            .iter()
            .any(|(name, value)| name == "content-type" && value.starts_with(b"text/event-stream"));
        let body = match is_event_stream {
            true => AnswerBody::relay(arriving, Bytes::new(), true, permit.take()),
            false => {
                let left = Duration::from_millis(inbound.left_ms());
                let collected = timeout(left, collect(arriving, permit)).await;
                collected.unwrap_or(Err(Failed(Verdict::MayHaveRun, Reason::Expired)))?
            }
        };
        if let Some(holder) = claim {
            self.settle(inbound, holder, recorded(status, &headers, &body));
        }
        Ok(respond(request, status, &headers, body))
    }
}
