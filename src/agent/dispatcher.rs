//! Admission, dispatch and response delivery for one target.

mod runs;

use super::{
    Admission, Announcement, Capacity, Decision, GrantStatus,
    announcement::ANNOUNCEMENT_LEASE_MS,
    response::{BufferedResponse, Ending},
    target,
};
use crate::{
    control::{
        command::{GrantId, Outcome},
        members::{ProcessLoad, TargetState},
        precedence::{NamedServices, Precedence},
    },
    control_view::ControlView,
    link::LinkSender,
    metrics, telemetry,
    units::*,
    verdict::{Reason, Verdict},
    wire::*,
};
use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};
use tracing::Instrument;

/// Interval of load reports to entries that push requests to the least loaded target.
const LOAD_REPORT_MS: u64 = 4000;
/// Maximum time that a reservation waits for the document version it was made with.
const DOCUMENT_TIMEOUT_MS: u64 = 1000;
/// Time for which a finished response is kept if no entry acknowledges it.
const UNACKNOWLEDGED_TTL_MS: u64 = 10_000;
/// Time after which a dispatch without a link to its entry is cancelled.
const ORPHAN_TIMEOUT_MS: u64 = 5000;
/// Retry-after advice in refusals for which no wait was computed.
const DEFAULT_RETRY_AFTER_MS: u64 = 1000;

/// The latest announcement of the target and when it was received.
struct AnnouncedTarget {
    announcement: Arc<Announcement>,
    renewed: Instant,
}

/// An announcement that takes no place from the target that is announced.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display(
    "the service {service} is not in the document in force; the target of {announced} stays announced"
)]
pub struct AnnouncedOther {
    service: ServiceName,
    announced: ServiceName,
}

/// Queues, dispatches and delivers the requests of one target.
pub struct Dispatcher {
    name: TargetName,
    incarnation: Incarnation,
    started: Instant,
    view: ControlView,
    admission: Mutex<Admission>,
    target: Mutex<Option<AnnouncedTarget>>,
    links: Mutex<HashMap<RequestId, LinkSender<FromAgent>>>,
    responses: Mutex<HashMap<RequestId, (GrantId, Arc<BufferedResponse>)>>,
    stopping: AtomicBool,
}

impl Dispatcher {
    /// Creates a dispatcher without a target, for a newly started agent.
    pub fn new(name: TargetName, incarnation: Incarnation, view: ControlView) -> Self {
        let capacity = Capacity {
            slots: 1,
            tokens: TokenCount(0),
        };
        Self {
            name,
            incarnation,
            started: Instant::now(),
            view,
            admission: Mutex::new(Admission::new(incarnation, capacity, 1)),
            target: Mutex::new(None),
            links: Mutex::default(),
            responses: Mutex::default(),
            stopping: AtomicBool::new(false),
        }
    }

    /// The first message on a link.
    pub fn hello(&self) -> FromAgent {
        FromAgent::Hello {
            target: self.name.clone(),
            incarnation: self.incarnation,
        }
    }

    /// The view of the control group.
    pub fn view(&self) -> &ControlView {
        &self.view
    }

    /// Stops accepting requests and refuses those that are queued.
    pub fn drain(&self) {
        self.stopping.store(true, Ordering::Relaxed);
        self.publish_target();
        let refused = self.admission().refuse_waiting(Reason::Leaving);
        self.deliver(refused);
    }

    /// Whether no dispatch is in progress and every response has been acknowledged or dropped.
    pub fn is_idle(&self) -> bool {
        self.admission().running_count() == 0 && self.responses().is_empty()
    }

    fn admission(&self) -> std::sync::MutexGuard<'_, Admission> {
        self.admission.lock().expect("no holder panics")
    }

    fn responses(
        &self,
    ) -> std::sync::MutexGuard<'_, HashMap<RequestId, (GrantId, Arc<BufferedResponse>)>> {
        self.responses.lock().expect("no holder panics")
    }

    fn links(&self) -> std::sync::MutexGuard<'_, HashMap<RequestId, LinkSender<FromAgent>>> {
        self.links.lock().expect("no holder panics")
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1
    }

    /// The announcement of the target, unless its lease has expired.
    pub fn announced(&self) -> Option<Arc<Announcement>> {
        let target = self.target.lock().expect("no holder panics");
        let lease = Duration::from_millis(ANNOUNCEMENT_LEASE_MS);
        let renewed = target
            .as_ref()
            .filter(|target| target.renewed.elapsed() < lease);
        renewed.map(|target| Arc::clone(&target.announcement))
    }

    /// The target if it accepts new requests, or the reason why it does not.
    fn accepting_target(&self, service: Option<&ServiceName>) -> Result<Arc<Announcement>, Reason> {
        let view = self.view.load();
        let stopping = self.stopping.load(Ordering::Relaxed);
        match self.announced() {
            _ if !view.is_valid() => Err(Reason::ControlUnreachable),
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

    /// Publishes the state of the target to the control group.
    fn publish_target(&self) {
        let leaving = self.stopping.load(Ordering::Relaxed) || self.view.load().orders.draining;
        let target = self.announced().map(|announcement| TargetState {
            service: announcement.service.clone(),
            leaving: leaving || announcement.leaving,
        });
        self.view.update_member(|member| member.target = target);
    }

    /// Reports the number of running and of queued requests for operators.
    fn publish_load(&self) {
        let (running, waiting) = {
            let admission = self.admission();
            (admission.running_count(), admission.waiting_by_tier())
        };
        let view = self.view.load();
        let by_tier = waiting
            .into_iter()
            .map(|(rank, count)| (view.policy.tier_name(rank), count as u64));
        self.view.report_load(ProcessLoad {
            running: running as u64,
            waiting: by_tier.collect(),
        });
    }

    /// Expires leases, grants and deadlines, and cancels orphaned dispatches.
    pub fn tick(&self) {
        let announced = self.announced();
        self.publish_target();
        self.publish_load();
        let view = self.view.load();
        let service = announced.and_then(|a| view.policy.service(&a.service).cloned());
        let decisions = {
            let mut admission = self.admission();
            if let Some(service) = service {
                admission.set_max_queued_requests(service.max_queued_requests);
            }
            let mut decisions = match self.accepting_target(None) {
                Ok(_) => Vec::new(),
                Err(reason) => admission.refuse_waiting(reason),
            };
            decisions.extend(admission.tick(self.now_ms()));
            decisions
        };
        self.deliver(decisions);
        let orphan_timeout = Duration::from_millis(ORPHAN_TIMEOUT_MS);
        for (_, response) in self.responses().values() {
            if response.detached_for(orphan_timeout) {
                response.cancel();
            }
        }
    }

    /// Handles a message of an entry.
    pub fn handle(self: &Arc<Self>, message: ToAgent, link: &LinkSender<FromAgent>) {
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
                if let Some(response) = self.response(request, grant) {
                    response.cancel();
                }
            }
            ToAgent::Acknowledge { request, offset } => {
                if let Some((_, response)) = self.responses().get(&request) {
                    response.acknowledge(offset);
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

    fn response(&self, request: RequestId, grant: GrantId) -> Option<Arc<BufferedResponse>> {
        let responses = self.responses();
        let stored = responses
            .get(&request)
            .filter(|(stored, _)| *stored == grant);
        stored.map(|(_, response)| Arc::clone(response))
    }

    fn reserve(self: &Arc<Self>, reserve: Reserve, link: &LinkSender<FromAgent>) {
        let current = self.view.load().policy.version;
        if reserve.document_version > current {
            let (dispatcher, link) = (Arc::clone(self), link.clone());
            tokio::spawn(async move {
                let version = reserve.document_version;
                match dispatcher
                    .view
                    .wait_for_version(version, DOCUMENT_TIMEOUT_MS)
                    .await
                {
                    true => dispatcher.admit(reserve, &link),
                    false => refuse(&link, reserve.request, Reason::AgentDocumentStale),
                }
            });
        } else {
            self.admit(reserve, link);
        }
    }

    fn admit(&self, reserve: Reserve, link: &LinkSender<FromAgent>) {
        let request = reserve.request;
        let current = self.view.load().policy.version;
        if reserve.document_version < current {
            return refuse(link, request, Reason::EntryDocumentStale(current.0));
        }
        if let Err(reason) = self.accepting_target(Some(&reserve.service)) {
            return refuse(link, request, reason);
        }
        self.links().insert(request, link.clone());
        let decisions = match reserve.push {
            true => vec![self.admission().grant_immediately(&reserve, self.now_ms())],
            false => self.admission().reserve(reserve, self.now_ms()),
        };
        self.deliver(decisions);
    }

    /// Removes a request from the queue, or withdraws its unused grant.
    pub fn release(&self, request: RequestId) {
        self.links().remove(&request);
        let decisions = self.admission().release(request, self.now_ms());
        self.deliver(decisions);
    }

    /// Sends decisions to the entries. Requests whose entry cannot be reached are released.
    fn deliver(&self, decisions: Vec<Decision>) {
        let mut undelivered = Vec::new();
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
            let sent = link.is_some_and(|link| link.try_send(message).is_ok());
            if !sent {
                undelivered.push(request);
            }
        }
        for request in undelivered {
            self.release(request);
        }
    }

    /// Records an announcement of the target and applies its capacity.
    ///
    /// # Errors
    /// Fails if the document does not name its service, and a target of one that it names is
    /// announced.
    pub fn apply_announcement(&self, announcement: Announcement) -> Result<(), AnnouncedOther> {
        let services = NamedServices::of(&self.view.load().policy);
        if let Some(announced) = self.announced()
            && services.precedence(&announcement.service, &announced.service) == Precedence::Yields
        {
            let error = AnnouncedOther {
                service: announcement.service,
                announced: announced.service.clone(),
            };
            tracing::warn!("agent: announcement refused: {error}");
            return Err(error);
        }
        let capacity = announcement.capacity();
        let leaving = announcement.leaving;
        let target = AnnouncedTarget {
            announcement: Arc::new(announcement),
            renewed: Instant::now(),
        };
        *self.target.lock().expect("no holder panics") = Some(target);
        self.publish_target();
        let decisions = {
            let mut admission = self.admission();
            let mut decisions = admission.set_capacity(capacity, self.now_ms());
            if leaving {
                decisions.extend(admission.refuse_waiting(Reason::Leaving));
            }
            decisions
        };
        self.deliver(decisions);
        Ok(())
    }
}

fn refuse(link: &LinkSender<FromAgent>, request: RequestId, reason: Reason) {
    let retry_after_ms = DEFAULT_RETRY_AFTER_MS;
    let _ = link.try_send(FromAgent::Refused {
        request,
        reason,
        retry_after_ms,
    });
}

/// Reports the load at a fixed interval until the link is closed.
async fn report_load(dispatcher: Arc<Dispatcher>, link: LinkSender<FromAgent>) {
    let mut interval = tokio::time::interval(Duration::from_millis(LOAD_REPORT_MS));
    while !link.is_closed() {
        interval.tick().await;
        let engine = dispatcher.announced().filter(|target| target.is_engine);
        let reported = match engine {
            Some(engine) => target::fetch_load(engine.address).await,
            None => None,
        };
        let (open_requests, is_full) = {
            let admission = dispatcher.admission();
            let open_requests = reported.map_or(admission.open_requests(), |l| l.open_requests);
            (open_requests, admission.is_full_with(open_requests))
        };
        let _ = link.try_send(FromAgent::Load {
            open_requests,
            is_full,
        });
    }
}
