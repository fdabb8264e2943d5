//! The course of one request: place, claim, dispatch, answer.

use super::{
    agent_links::{AgentLinks, Event, Exchange},
    body::{AnswerBody, AnswerHead, Arrival, Arriving, EventReceiver},
    claims::{Claimed, Claims, Replaced},
    refusal::{Refusal, mark},
    request::Inbound,
    routing::{self, Candidate},
};
use crate::{
    control::{
        ControlClient,
        command::{ClaimedAttempt, GrantId, Outcome, RecordedAnswer},
        members::Member,
    },
    control_view::{ControlView, View},
    telemetry,
    units::*,
    verdict::{Reason, Verdict},
    wire::{Dispatched, FromAgent, Reserve, ToAgent},
};
use bytes::{Bytes, BytesMut};
use hyper::{Response, StatusCode, header::HeaderName, header::HeaderValue};
use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};
use tokio::{sync::mpsc, time::timeout};
use tokio_util::task::TaskTracker;

/// How often a request is dispatched at most; each but the first after a proof
/// that the one before did not run.
const ATTEMPTS: u32 = 4;
/// How long the first agent asked may be silent before others are asked too.
const HEDGE_MS: u64 = 100;
/// How long to wait for a document that an agent already has.
const DOCUMENT_WAIT_MS: u64 = 1000;
/// The longest answer that is held back until it is whole, so that its verdict
/// can be told in the status.
const BUFFER_BYTES: usize = 1024 * 1024;
/// The longest answer that is kept for a resend.
const RECORDED_BYTES: usize = 16 * 1024;
/// The advice when to come back where no agent gave one.
const RETRY_AFTER_MS: u64 = 1000;
/// How long a wait that an agent reported is believed.
const WAIT_BELIEVED_MS: u64 = 1000;

/// Schedules the requests of one entry.
pub struct Scheduler {
    view: Arc<ControlView>,
    links: Arc<AgentLinks>,
    claims: Claims,
    waits: Mutex<HashMap<ProcessName, (u64, Instant)>>,
    /// Work that goes on after its answer, such as settling claims.
    pub background: TaskTracker,
}

/// A place that an agent granted.
struct Place {
    exchange: Exchange,
    events: EventReceiver,
    grant: GrantId,
    member: Member,
}

/// Why no place was found.
enum NoPlace {
    Refused(Refusal),
    /// An agent has this document, and the entry an older one.
    Stale(DocumentVersion),
}

/// Why a dispatch brought no answer.
struct Failed(Verdict, Reason);

impl Scheduler {
    /// A scheduler of one entry.
    pub fn new(view: Arc<ControlView>, links: Arc<AgentLinks>, client: Arc<ControlClient>) -> Self {
        let claims = Claims::new(client, Arc::clone(&links));
        let background = TaskTracker::new();
        Self {
            view,
            links,
            claims,
            waits: Mutex::default(),
            background,
        }
    }

    /// Serves one request.
    pub async fn serve(self: &Arc<Self>, inbound: Inbound) -> Response<AnswerBody> {
        let id = inbound.id;
        match self.run(inbound).await {
            Ok(response) => response,
            Err(refusal) => {
                tracing::debug!("entry: refuses {id}: {refusal}");
                refusal.into_response(id)
            }
        }
    }

    async fn run(self: &Arc<Self>, mut inbound: Inbound) -> Result<Response<AnswerBody>, Refusal> {
        let mut replaces = None;
        if inbound.needs_claim() {
            match self.claims.look_up(&inbound, &self.view.load()).await? {
                Some(Claimed::Answered(answer)) => return Ok(replay(inbound.id, answer)),
                Some(Claimed::Again(holder)) => replaces = Some(holder),
                Some(Claimed::Dispatch) | None => {}
            }
        }
        let mut own_claim = None;
        let mut last = Refusal::not_run(Reason::NoTarget, "no attempt was made");
        for number in 1..=ATTEMPTS {
            let attempt = Attempt(number);
            let place = match self.place(&mut inbound).await {
                Ok(place) => place,
                Err(refusal) => {
                    last = refusal;
                    break;
                }
            };
            if inbound.needs_claim() {
                match self.claim(&inbound, attempt, &place, replaces).await? {
                    Claimed::Dispatch => own_claim = Some((inbound.id, attempt)),
                    Claimed::Answered(answer) => return Ok(replay(inbound.id, answer)),
                    Claimed::Again(holder) => {
                        replaces = Some(holder);
                        continue;
                    }
                }
                replaces = own_claim;
            }
            match self.dispatch(&inbound, attempt, place, own_claim).await {
                Ok(response) => return Ok(response),
                Err(Failed(Verdict::NotRun, reason)) => {
                    let message = "the request could not be dispatched";
                    last = Refusal::not_run(reason, message).retry_after(RETRY_AFTER_MS);
                }
                Err(Failed(verdict, reason)) => {
                    let message = "the request was dispatched and its answer did not come whole";
                    last = Refusal {
                        verdict,
                        ..Refusal::not_run(reason, message)
                    };
                    if !inbound.treatment.repeat_when_unknown {
                        break;
                    }
                }
            }
        }
        if let Some(holder) = own_claim {
            self.settle(
                &inbound,
                holder,
                match last.verdict {
                    Verdict::NotRun => Outcome::NotRun,
                    Verdict::MayHaveRun | Verdict::Ran => Outcome::MayHaveRun,
                },
            );
        }
        Err(last)
    }

    /// Finds a place; follows the document if an agent has a newer one.
    async fn place(&self, inbound: &mut Inbound) -> Result<Place, Refusal> {
        loop {
            let view = self.view.load();
            if !view.holds() {
                let message = "this entry has lost touch with the control group";
                let refusal = Refusal::not_run(Reason::CutOff, message);
                return Err(refusal.retry_after(RETRY_AFTER_MS));
            }
            match self.find_place(inbound, &view).await {
                Ok(place) => return Ok(place),
                Err(NoPlace::Refused(refusal)) => return Err(refusal),
                Err(NoPlace::Stale(version)) => {
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

    async fn find_place(&self, inbound: &Inbound, view: &View) -> Result<Place, NoPlace> {
        let agents: Vec<Member> = view.agents_of(&inbound.service.name).cloned().collect();
        let order = self.order(inbound, &agents);
        let (sender, events) = mpsc::unbounded_channel();
        let mut search = Search {
            scheduler: self,
            inbound,
            view,
            agents,
            order: order.into_iter(),
            sender,
            events,
            open: BTreeMap::new(),
            shed: false,
            retry_after_ms: None,
        };
        search.ask_next();
        search.run().await
    }

    /// The agents of a service in the order in which to ask them.
    fn order(&self, inbound: &Inbound, agents: &[Member]) -> Vec<usize> {
        let waits = self.waits.lock().expect("no holder panics");
        let believed = Duration::from_millis(WAIT_BELIEVED_MS);
        let candidates: Vec<Candidate> = agents
            .iter()
            .map(|member| {
                let wait = waits
                    .get(&member.name)
                    .filter(|(_, at)| at.elapsed() < believed);
                let wait_ms = wait.map_or(0, |(wait_ms, _)| *wait_ms);
                Candidate {
                    name: member.name.clone(),
                    wait_ms,
                    open_requests: 0,
                }
            })
            .collect();
        routing::order(&candidates, inbound.prefix, inbound.id.1)
    }

    fn note_wait(&self, name: &ProcessName, wait_ms: u64) {
        let mut waits = self.waits.lock().expect("no holder panics");
        waits.insert(name.clone(), (wait_ms, Instant::now()));
    }

    async fn claim(
        &self,
        inbound: &Inbound,
        attempt: Attempt,
        place: &Place,
        replaces: Option<Replaced>,
    ) -> Result<Claimed, Refusal> {
        let claimed = ClaimedAttempt {
            request: inbound.id,
            attempt,
            target: TargetName(place.member.name.0.clone()),
            agent_address: place.member.address.clone(),
            grant: place.grant,
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
        place: Place,
        claim: Option<Replaced>,
    ) -> Result<Response<AnswerBody>, Failed> {
        let Place {
            mut exchange,
            events,
            grant,
            ..
        } = place;
        let request = inbound.id;
        let head = Box::new(Dispatched {
            method: inbound.method.clone(),
            path: inbound.path.clone(),
            headers: inbound.headers.clone(),
            body: inbound.body.clone(),
            keep_outcome: claim.is_some(),
            traceparent: telemetry::traceparent(&tracing::Span::current()),
        });
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
            true => AnswerBody::relay(arriving, Bytes::new(), true),
            false => {
                let left = Duration::from_millis(inbound.left_ms());
                let collected = timeout(left, collect(arriving)).await;
                collected.unwrap_or(Err(Failed(Verdict::MayHaveRun, Reason::Expired)))?
            }
        };
        if let Some(holder) = claim {
            self.settle(inbound, holder, recorded(status, &headers, &body));
        }
        Ok(respond(request, status, &headers, body))
    }
}

/// The search for a place: reservations at several agents, and their answers.
struct Search<'a> {
    scheduler: &'a Scheduler,
    inbound: &'a Inbound,
    view: &'a View,
    agents: Vec<Member>,
    order: std::vec::IntoIter<usize>,
    sender: mpsc::UnboundedSender<(usize, Event)>,
    events: EventReceiver,
    open: BTreeMap<usize, Exchange>,
    shed: bool,
    retry_after_ms: Option<u64>,
}

impl Search<'_> {
    async fn run(mut self) -> Result<Place, NoPlace> {
        let mut patience = Duration::from_millis(HEDGE_MS);
        loop {
            if self.open.is_empty() && !self.ask_next() {
                return Err(NoPlace::Refused(self.refusal()));
            }
            let left = Duration::from_millis(self.inbound.left_ms());
            if left.is_zero() {
                let message = "the request waited until its deadline";
                let refusal = Refusal::not_run(Reason::Expired, message);
                return Err(NoPlace::Refused(refusal.retry_after(RETRY_AFTER_MS)));
            }
            match timeout(patience.min(left), self.events.recv()).await {
                Ok(Some((number, Event::Message(message)))) => {
                    if let Some(grant) = self.take(number, message)? {
                        return Ok(self.choose(number, grant));
                    }
                }
                Ok(Some((number, Event::Lost))) => {
                    self.open.remove(&number);
                    self.ask_next();
                }
                Ok(None) | Err(_) => {
                    self.ask_more();
                    patience = left;
                }
            }
        }
    }

    /// Asks the next agent for a place; `false` if all have been asked.
    fn ask_next(&mut self) -> bool {
        let Some(number) = self.order.next() else {
            return false;
        };
        let inbound = self.inbound;
        let reserve = ToAgent::Reserve(Reserve {
            request: inbound.id,
            tier: inbound.treatment.tier.rank,
            service: inbound.service.name.clone(),
            prompt_tokens: inbound.prompt_tokens,
            total_tokens: inbound.total_tokens,
            deadline_ms: inbound.left_ms(),
            document_version: self.view.policy.version,
        });
        let (address, events) = (&self.agents[number].address, self.sender.clone());
        let exchange = self
            .scheduler
            .links
            .open(address, inbound.id, number, events, reserve);
        self.open.insert(number, exchange);
        true
    }

    fn ask_more(&mut self) {
        while self.open.len() < routing::PLACES && self.ask_next() {}
    }

    /// Takes an agent's word; returns the grant if it gave one.
    fn take(&mut self, number: usize, message: FromAgent) -> Result<Option<GrantId>, NoPlace> {
        let name = &self.agents[number].name;
        match message {
            FromAgent::Granted { grant, .. } if self.open.contains_key(&number) => {
                self.scheduler.note_wait(name, 0);
                return Ok(Some(grant));
            }
            FromAgent::Queued { wait_ms, .. } => {
                self.scheduler.note_wait(name, wait_ms.max(1));
                self.ask_more();
            }
            FromAgent::Refused {
                reason: Reason::DocumentStale(version),
                ..
            } => {
                return Err(NoPlace::Stale(DocumentVersion(version)));
            }
            FromAgent::Refused {
                reason,
                retry_after_ms,
                ..
            } => {
                if let Some(mut exchange) = self.open.remove(&number) {
                    exchange.ended();
                }
                self.scheduler.note_wait(name, retry_after_ms);
                self.shed |= matches!(reason, Reason::Shed | Reason::Displaced);
                let known = self.retry_after_ms.unwrap_or(u64::MAX);
                self.retry_after_ms = Some(known.min(retry_after_ms));
                self.ask_next();
            }
            _ => {}
        }
        Ok(None)
    }

    /// Keeps one place and gives up the others.
    fn choose(mut self, number: usize, grant: GrantId) -> Place {
        let exchange = self
            .open
            .remove(&number)
            .expect("checked when the grant came");
        let member = self.agents.swap_remove(number);
        Place {
            exchange,
            events: self.events,
            grant,
            member,
        }
    }

    fn refusal(&self) -> Refusal {
        let service = &self.inbound.service.name;
        let refusal = match self.shed {
            true => Refusal::not_run(
                Reason::Shed,
                format!("every queue of {service} is full of work of this tier or a higher one"),
            ),
            false => Refusal::not_run(
                Reason::NoTarget,
                format!("no target of {service} takes work"),
            ),
        };
        refusal.retry_after(self.retry_after_ms.unwrap_or(RETRY_AFTER_MS))
    }
}

/// Holds an answer back until it is whole, or too long for that.
async fn collect(mut arriving: Arriving) -> Result<AnswerBody, Failed> {
    let mut buffered = BytesMut::new();
    loop {
        match arriving.next().await {
            Arrival::Part(bytes) => buffered.extend_from_slice(&bytes),
            Arrival::End => return Ok(AnswerBody::whole(buffered.freeze())),
            Arrival::Broken(verdict, reason) => return Err(Failed(verdict, reason)),
        }
        if buffered.len() > BUFFER_BYTES {
            return Ok(AnswerBody::relay(arriving, buffered.freeze(), false));
        }
    }
}

/// What is recorded of an answer.
fn recorded(status: u16, headers: &[(String, Bytes)], body: &AnswerBody) -> Outcome {
    match body {
        AnswerBody::Whole(bytes) if bytes.as_ref().is_none_or(|b| b.len() <= RECORDED_BYTES) => {
            let text = |value: &Bytes| String::from_utf8_lossy(value).into_owned();
            let headers = headers
                .iter()
                .map(|(name, value)| (name.clone(), text(value)));
            let body = bytes
                .as_ref()
                .map(|bytes| bytes.to_vec())
                .unwrap_or_default();
            Outcome::Answered(RecordedAnswer {
                status,
                headers: headers.collect(),
                body,
            })
        }
        _ => Outcome::AnsweredLong,
    }
}

/// A recorded answer as the answer to a resend.
fn replay(request: RequestId, answer: RecordedAnswer) -> Response<AnswerBody> {
    let headers: Vec<(String, Bytes)> = answer
        .headers
        .into_iter()
        .map(|(name, value)| (name, Bytes::from(value)))
        .collect();
    let mut response = respond(
        request,
        answer.status,
        &headers,
        AnswerBody::whole(answer.body),
    );
    let repeated = HeaderValue::from_static("true");
    response
        .headers_mut()
        .insert("guavacove-recorded", repeated);
    response
}

fn respond(
    request: RequestId,
    status: u16,
    headers: &[(String, Bytes)],
    body: AnswerBody,
) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        match (name, HeaderValue::from_bytes(value)) {
            (Ok(name), Ok(value)) if name != "content-length" => {
                response.headers_mut().append(name, value);
            }
            _ => {}
        }
    }
    mark(&mut response, request, Verdict::Ran);
    response
}
