//! A running agent.

use super::{
    Admission, Announcement, Decision, Fate, announcement::ANNOUNCEMENT_LEASE_MS, answer::Answer,
    orders::Given, target,
};
use crate::{
    control::{
        ControlClient,
        command::{GrantId, Outcome},
        members::{Member, ProcessRole, TargetState},
    },
    control_view::ControlView,
    link::{self, LinkReceiver, LinkSender},
    metrics,
    settings::AgentSettings,
    telemetry,
    units::*,
    verdict::{Reason, Verdict},
    wire::*,
};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, Response, StatusCode, body::Incoming, service::service_fn};
use hyper_util::rt::TokioIo;
use std::{
    collections::{HashMap, HashSet},
    convert::Infallible,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::net::{TcpListener, TcpStream};
use tracing::Instrument;

/// How often the agent looks at its clock.
const TICK_MS: u64 = 50;
/// How often orders are looked at.
const ORDERS_MS: u64 = 200;
/// How often the load is reported to entries that push.
const LOAD_REPORT_MS: u64 = 3000;
/// How long a reservation waits for a newer document.
const DOCUMENT_WAIT_MS: u64 = 1000;
/// How long an answer that nobody fetches is kept.
const UNFETCHED_MS: u64 = 10_000;
/// How long a dispatch goes on after its entry has gone.
const ORPHAN_MS: u64 = 5000;
/// The advice when to come back where nothing better is known.
const RETRY_AFTER_MS: u64 = 1000;
/// The longest announcement, in bytes.
const ANNOUNCEMENT_LIMIT_BYTES: usize = 16 * 1024;

/// Why an agent cannot start.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("cannot listen at {address}: {error}")]
pub struct AgentStartError {
    /// The address.
    pub address: SocketAddr,
    /// What the operating system says.
    pub error: io::Error,
}

struct Target {
    announcement: Arc<Announcement>,
    renewed: Instant,
}

struct Shared {
    name: TargetName,
    incarnation: Incarnation,
    started: Instant,
    view: ControlView,
    admission: Mutex<Admission>,
    target: Mutex<Option<Target>>,
    links: Mutex<HashMap<RequestId, LinkSender<FromAgent>>>,
    answers: Mutex<HashMap<RequestId, (GrantId, Arc<Answer>)>>,
    stopping: AtomicBool,
}

/// A running agent.
pub struct Agent {
    shared: Arc<Shared>,
    address: SocketAddr,
    announce: SocketAddr,
}

impl Agent {
    /// Binds the addresses and starts.
    ///
    /// # Errors
    /// Fails if an address cannot be bound.
    pub async fn bind(settings: &AgentSettings) -> Result<Self, AgentStartError> {
        let (links, address) = listen(settings.listen).await?;
        let (announcements, announce) = listen(settings.announce).await?;
        let incarnation = Incarnation::random();
        let member = Member {
            name: ProcessName(settings.name.0.clone()),
            role: ProcessRole::Agent,
            failure_domain: settings.failure_domain.clone(),
            incarnation,
            address: settings.advertise.unwrap_or(address).to_string(),
            target: None,
        };
        let client = Arc::new(ControlClient::new(settings.control.clone()));
        let capacity = super::Capacity {
            slots: 1,
            tokens: TokenCount(0),
        };
        let shared = Arc::new(Shared {
            name: settings.name.clone(),
            incarnation,
            started: Instant::now(),
            view: ControlView::spawn(client, member),
            admission: Mutex::new(Admission::new(incarnation, capacity, 1)),
            target: Mutex::new(None),
            links: Mutex::default(),
            answers: Mutex::default(),
            stopping: AtomicBool::new(false),
        });
        tokio::spawn(accept_links(links, Arc::clone(&shared)));
        tokio::spawn(accept_announcements(announcements, Arc::clone(&shared)));
        tokio::spawn(tick(Arc::clone(&shared)));
        tokio::spawn(follow_orders(Arc::clone(&shared)));
        tracing::info!("agent: {} listens at {address}", settings.name);
        Ok(Self {
            shared,
            address,
            announce,
        })
    }

    /// Where entries connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where the target announces itself.
    pub fn announce_address(&self) -> SocketAddr {
        self.announce
    }

    /// Takes no new work, finishes what runs, says goodbye.
    pub async fn shutdown(self) {
        let shared = self.shared;
        shared.stopping.store(true, Ordering::Relaxed);
        shared.publish_target();
        let refused = shared.admission().refuse_waiting(Reason::Leaving);
        shared.deliver(refused);
        while shared.admission().running() > 0 || !shared.answers().is_empty() {
            tokio::time::sleep(Duration::from_millis(TICK_MS)).await;
        }
        shared.view.goodbye().await;
        tracing::info!("agent: {} stopped", shared.name);
    }
}

async fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), AgentStartError> {
    let failed = |error| AgentStartError { address, error };
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    Ok((listener, address))
}

async fn tick(shared: Arc<Shared>) {
    let mut interval = tokio::time::interval(Duration::from_millis(TICK_MS));
    loop {
        interval.tick().await;
        shared.tick();
    }
}

/// Gives the target the orders in force.
async fn follow_orders(shared: Arc<Shared>) {
    let mut given = Given::default();
    let mut interval = tokio::time::interval(Duration::from_millis(ORDERS_MS));
    loop {
        interval.tick().await;
        if let Some(announcement) = shared.announced() {
            given.follow(&shared.view.load(), &announcement).await;
        }
    }
}

/// Reports the load now and then, until the link is closed.
async fn report_load(shared: Arc<Shared>, link: LinkSender<FromAgent>) {
    let mut interval = tokio::time::interval(Duration::from_millis(LOAD_REPORT_MS));
    while !link.is_closed() {
        interval.tick().await;
        let (open_requests, is_full) = {
            let admission = shared.admission();
            (admission.open_requests(), admission.is_full())
        };
        let _ = link.try_send(FromAgent::Load {
            open_requests,
            is_full,
        });
    }
}

async fn accept_links(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve_link(stream, Arc::clone(&shared)));
    }
}

async fn serve_link(stream: TcpStream, shared: Arc<Shared>) {
    let (sender, mut receiver): (LinkSender<FromAgent>, LinkReceiver<ToAgent>) = link::open(stream);
    let hello = FromAgent::Hello {
        target: shared.name.clone(),
        incarnation: shared.incarnation,
    };
    if sender.send(hello).await.is_err() {
        return;
    }
    let mut reserved = HashSet::new();
    while let Some(message) = receiver.receive().await {
        if let ToAgent::Reserve(reserve) = &message {
            reserved.insert(reserve.request);
        }
        if let ToAgent::Release { request } | ToAgent::Dispatch { request, .. } = &message {
            reserved.remove(request);
        }
        shared.receive(message, &sender);
    }
    for request in reserved {
        shared.release(request);
    }
}

impl Shared {
    fn admission(&self) -> std::sync::MutexGuard<'_, Admission> {
        self.admission.lock().expect("no holder panics")
    }

    fn answers(&self) -> std::sync::MutexGuard<'_, HashMap<RequestId, (GrantId, Arc<Answer>)>> {
        self.answers.lock().expect("no holder panics")
    }

    fn links(&self) -> std::sync::MutexGuard<'_, HashMap<RequestId, LinkSender<FromAgent>>> {
        self.links.lock().expect("no holder panics")
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1
    }

    /// The target, if it has renewed its announcement lately.
    fn announced(&self) -> Option<Arc<Announcement>> {
        let target = self.target.lock().expect("no holder panics");
        let lease = Duration::from_millis(ANNOUNCEMENT_LEASE_MS);
        let fresh = target
            .as_ref()
            .filter(|target| target.renewed.elapsed() < lease);
        fresh.map(|target| Arc::clone(&target.announcement))
    }

    /// Why no new work may start here, or the target that may take it.
    fn open_target(&self, service: Option<&ServiceName>) -> Result<Arc<Announcement>, Reason> {
        let view = self.view.load();
        let stopping = self.stopping.load(Ordering::Relaxed);
        match self.announced() {
            _ if !view.holds() => Err(Reason::CutOff),
            None => Err(Reason::NoTarget),
            Some(target) if stopping || view.orders.draining || target.leaving => {
                Err(Reason::Leaving)
            }
            Some(target) if service.is_some_and(|service| *service != target.service) => {
                Err(Reason::NoTarget)
            }
            Some(target) => Ok(target),
        }
    }

    /// Tells the control group what the target's state is.
    fn publish_target(&self) {
        let leaving = self.stopping.load(Ordering::Relaxed) || self.view.load().orders.draining;
        let target = self.announced().map(|announcement| TargetState {
            service: announcement.service.clone(),
            leaving: leaving || announcement.leaving,
        });
        self.view.announce(|member| member.target = target);
    }

    fn tick(&self) {
        let announced = self.announced();
        self.publish_target();
        let view = self.view.load();
        let service = announced.and_then(|a| view.policy.service(&a.service).cloned());
        let decisions = {
            let mut admission = self.admission();
            if let Some(service) = service {
                admission.set_queue_requests(service.queue_requests);
            }
            let mut decisions = match self.open_target(None) {
                Ok(_) => Vec::new(),
                Err(reason) => admission.refuse_waiting(reason),
            };
            decisions.extend(admission.tick(self.now_ms()));
            decisions
        };
        self.deliver(decisions);
        let orphaned = Duration::from_millis(ORPHAN_MS);
        for (_, answer) in self.answers().values() {
            if answer.detached_for(orphaned) {
                answer.cancel();
            }
        }
    }

    fn receive(self: &Arc<Self>, message: ToAgent, link: &LinkSender<FromAgent>) {
        match message {
            ToAgent::Hello {
                entry, wants_load, ..
            } => {
                tracing::debug!("agent: link from {entry}");
                if wants_load {
                    tokio::spawn(report_load(Arc::clone(self), link.clone()));
                }
            }
            ToAgent::Reserve(reserve) => self.reserve(reserve, link),
            ToAgent::Release { request } => self.release(request),
            ToAgent::Dispatch {
                request,
                attempt,
                grant,
                head,
            } => {
                self.dispatch(request, attempt, grant, *head, link);
            }
            ToAgent::Cancel { request, grant } => {
                if let Some(answer) = self.answer(request, grant) {
                    answer.cancel();
                }
            }
            ToAgent::Acknowledge { request, offset } => {
                if let Some((_, answer)) = self.answers().get(&request) {
                    answer.acknowledge(offset);
                }
            }
            ToAgent::Resume {
                request,
                grant,
                offset,
            } => {
                self.resume(request, grant, offset, link);
            }
            ToAgent::Fence { request, grant } => {
                let outcome = self.fence(grant);
                let _ = link.try_send(FromAgent::Fenced { request, outcome });
            }
        }
    }

    fn answer(&self, request: RequestId, grant: GrantId) -> Option<Arc<Answer>> {
        let answers = self.answers();
        let held = answers.get(&request).filter(|(held, _)| *held == grant);
        held.map(|(_, answer)| Arc::clone(answer))
    }

    fn reserve(self: &Arc<Self>, reserve: Reserve, link: &LinkSender<FromAgent>) {
        let known = self.view.load().policy.version;
        if reserve.document_version > known {
            let (shared, link) = (Arc::clone(self), link.clone());
            tokio::spawn(async move {
                let version = reserve.document_version;
                match shared.view.wait_for(version, DOCUMENT_WAIT_MS).await {
                    true => shared.admit(reserve, &link),
                    false => refuse(&link, reserve.request, Reason::DocumentBehind),
                }
            });
        } else {
            self.admit(reserve, link);
        }
    }

    fn admit(&self, reserve: Reserve, link: &LinkSender<FromAgent>) {
        let request = reserve.request;
        let known = self.view.load().policy.version;
        if reserve.document_version < known {
            return refuse(link, request, Reason::DocumentStale(known.0));
        }
        if let Err(reason) = self.open_target(Some(&reserve.service)) {
            return refuse(link, request, reason);
        }
        self.links().insert(request, link.clone());
        let decisions = match reserve.push {
            true => vec![self.admission().push(&reserve, self.now_ms())],
            false => self.admission().reserve(reserve, self.now_ms()),
        };
        self.deliver(decisions);
    }

    fn release(&self, request: RequestId) {
        self.links().remove(&request);
        let decisions = self.admission().release(request, self.now_ms());
        self.deliver(decisions);
    }

    /// Tells entries what was decided. What cannot be told is released.
    fn deliver(&self, decisions: Vec<Decision>) {
        let mut unreached = Vec::new();
        for decision in decisions {
            let (request, message) = match decision {
                Decision::Grant { request, grant } => {
                    (request, FromAgent::Granted { request, grant })
                }
                Decision::Queue {
                    request,
                    ahead_tokens,
                    wait_ms,
                } => (
                    request,
                    FromAgent::Queued {
                        request,
                        ahead_tokens,
                        wait_ms,
                    },
                ),
                Decision::Refuse {
                    request,
                    reason,
                    retry_after_ms,
                } => (
                    request,
                    FromAgent::Refused {
                        request,
                        reason,
                        retry_after_ms,
                    },
                ),
            };
            let is_last = !matches!(message, FromAgent::Queued { .. });
            let link = match is_last {
                true => self.links().remove(&request),
                false => self.links().get(&request).cloned(),
            };
            let told = link.is_some_and(|link| link.try_send(message).is_ok());
            if !told {
                unreached.push(request);
            }
        }
        for request in unreached {
            self.release(request);
        }
    }

    fn dispatch(
        self: &Arc<Self>,
        request: RequestId,
        attempt: Attempt,
        grant: GrantId,
        head: Dispatched,
        link: &LinkSender<FromAgent>,
    ) {
        let target = self.open_target(None);
        let started = match &target {
            Ok(_) => self
                .admission()
                .start(request, grant, self.now_ms())
                .map_err(|_| Reason::GrantUnknown),
            Err(reason) => {
                self.release(request);
                Err(reason.clone())
            }
        };
        let announcement = match (target, started) {
            (Ok(announcement), Ok(())) => announcement,
            (_, Err(reason)) | (Err(reason), _) => {
                let verdict = Verdict::NotRun;
                let _ = link.try_send(FromAgent::Failed {
                    request,
                    verdict,
                    reason,
                });
                return;
            }
        };
        let answer = Arc::new(Answer::new(request));
        self.answers().insert(request, (grant, Arc::clone(&answer)));
        let span = tracing::info_span!("agent.dispatch", %request, %attempt, target = %self.name);
        telemetry::continue_trace(&span, head.traceparent.as_deref());
        let (pumped, link) = (Arc::clone(&answer), link.clone());
        tokio::spawn(async move { pumped.pump(link, 0).await });
        let shared = Arc::clone(self);
        tokio::spawn(
            async move { shared.run(request, grant, announcement, head, answer).await }
                .instrument(span),
        );
    }

    async fn run(
        &self,
        request: RequestId,
        grant: GrantId,
        announcement: Arc<Announcement>,
        head: Dispatched,
        answer: Arc<Answer>,
    ) {
        let began = Instant::now();
        let call = tracing::info_span!("target.call", %request);
        let outcome = target::run(&announcement, request, &head, &answer)
            .instrument(call)
            .await;
        let whole = matches!(outcome, Outcome::Answered(_) | Outcome::AnsweredLong);
        metrics::prompt(head.prompt_tokens, whole);
        let took_ms = whole.then(|| began.elapsed().as_millis() as u64);
        let outcome = match head.keep_outcome {
            true => outcome,
            false if outcome == Outcome::NotRun => Outcome::NotRun,
            false => Outcome::MayHaveRun,
        };
        let decisions = self
            .admission()
            .finish(grant, outcome, took_ms, self.now_ms());
        self.deliver(decisions);
        let fetched = answer.end_acknowledged();
        let _ = tokio::time::timeout(Duration::from_millis(UNFETCHED_MS), fetched).await;
        let mut answers = self.answers();
        if answers
            .get(&request)
            .is_some_and(|(held, _)| *held == grant)
        {
            answers.remove(&request);
        }
    }

    /// Continues an answer on a new link. A dispatch that never came is fenced.
    fn resume(
        self: &Arc<Self>,
        request: RequestId,
        grant: GrantId,
        offset: u64,
        link: &LinkSender<FromAgent>,
    ) {
        if let Some(answer) = self.answer(request, grant) {
            let link = link.clone();
            tokio::spawn(async move { answer.pump(link, offset).await });
            return;
        }
        let verdict = match self.fence(grant) {
            Outcome::NotRun => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        };
        let reason = Reason::LinkLost;
        let _ = link.try_send(FromAgent::Failed {
            request,
            verdict,
            reason,
        });
    }

    fn fence(&self, grant: GrantId) -> Outcome {
        match self.admission().fence(grant) {
            Fate::NotRun => Outcome::NotRun,
            Fate::Running => Outcome::Open,
            Fate::Finished(outcome) => outcome,
            Fate::Unknown => Outcome::MayHaveRun,
        }
    }
}

fn refuse(link: &LinkSender<FromAgent>, request: RequestId, reason: Reason) {
    let retry_after_ms = RETRY_AFTER_MS;
    let _ = link.try_send(FromAgent::Refused {
        request,
        reason,
        retry_after_ms,
    });
}

async fn accept_announcements(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((stream, _)) = listener.accept().await {
        let shared = Arc::clone(&shared);
        let service = service_fn(move |request| {
            let shared = Arc::clone(&shared);
            async move { Ok::<_, Infallible>(take_announcement(request, &shared).await) }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(connection);
    }
}

async fn take_announcement(request: Request<Incoming>, shared: &Shared) -> Response<Full<Bytes>> {
    let (status, message) = match (request.method(), request.uri().path()) {
        (&Method::PUT, "/target") => {
            let body = Limited::new(request.into_body(), ANNOUNCEMENT_LIMIT_BYTES)
                .collect()
                .await;
            let parsed = body.map_err(|error| error.to_string()).and_then(|body| {
                serde_json::from_slice::<Announcement>(&body.to_bytes())
                    .map_err(|error| error.to_string())
            });
            match parsed {
                Ok(announcement) => {
                    shared.announce(announcement);
                    (StatusCode::OK, "announced\n".to_string())
                }
                Err(error) => (
                    StatusCode::BAD_REQUEST,
                    format!("not an announcement: {error}\n"),
                ),
            }
        }
        _ => (
            StatusCode::NOT_FOUND,
            "announce with PUT /target\n".to_string(),
        ),
    };
    let mut response = Response::new(Full::new(message.into()));
    *response.status_mut() = status;
    response
}

impl Shared {
    fn announce(&self, announcement: Announcement) {
        let capacity = announcement.capacity();
        let leaving = announcement.leaving;
        let target = Target {
            announcement: Arc::new(announcement),
            renewed: Instant::now(),
        };
        *self.target.lock().expect("no holder panics") = Some(target);
        self.publish_target();
        let decisions = {
            let mut admission = self.admission();
            let mut decisions = admission.resize(capacity, self.now_ms());
            if leaving {
                decisions.extend(admission.refuse_waiting(Reason::Leaving));
            }
            decisions
        };
        self.deliver(decisions);
    }
}
