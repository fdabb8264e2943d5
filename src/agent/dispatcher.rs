//! Reservations, dispatches and answers at one target.

mod runs;

use super::{
    Admission, Announcement, Capacity, Decision, Fate,
    announcement::ANNOUNCEMENT_LEASE_MS,
    answer::{Answer, Ending},
    target,
};
use crate::{
    control::{
        command::{GrantId, Outcome},
        members::{ProcessLoad, TargetState},
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

/// How often the load is reported to entries that push.
const LOAD_REPORT_MS: u64 = 4000;
/// How long a reservation waits for a newer document.
const DOCUMENT_WAIT_MS: u64 = 1000;
/// How long an answer that nobody fetches is kept.
const UNFETCHED_MS: u64 = 10_000;
/// How long a dispatch goes on after its entry has gone.
const ORPHAN_MS: u64 = 5000;
/// The advice when to come back where nothing better is known.
const RETRY_AFTER_MS: u64 = 1000;

struct Target {
    announcement: Arc<Announcement>,
    renewed: Instant,
}

/// The queue of one target and the dispatches in progress.
pub struct Dispatcher {
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

impl Dispatcher {
    /// An empty queue of an agent that has just started.
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
            answers: Mutex::default(),
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

    /// What is known of the control group.
    pub fn view(&self) -> &ControlView {
        &self.view
    }

    /// Takes no new work from now on.
    pub fn leave(&self) {
        self.stopping.store(true, Ordering::Relaxed);
        self.publish_target();
        let refused = self.admission().refuse_waiting(Reason::Leaving);
        self.deliver(refused);
    }

    /// Whether nothing runs and every answer has been fetched.
    pub fn is_idle(&self) -> bool {
        self.admission().running() == 0 && self.answers().is_empty()
    }

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
    pub fn announced(&self) -> Option<Arc<Announcement>> {
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

    /// Tells operators what runs and what waits.
    fn report_load(&self) {
        let (running, waiting) = {
            let admission = self.admission();
            (admission.running(), admission.waiting_by_tier())
        };
        let view = self.view.load();
        let named = waiting
            .into_iter()
            .map(|(rank, count)| (view.policy.tier_name(rank), count as u64));
        self.view.report_load(ProcessLoad {
            running: running as u64,
            waiting: named.collect(),
        });
    }

    /// Looks at the clock: leases, deadlines, orphans.
    pub fn tick(&self) {
        let announced = self.announced();
        self.publish_target();
        self.report_load();
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

    /// Takes a message of an entry.
    pub fn receive(self: &Arc<Self>, message: ToAgent, link: &LinkSender<FromAgent>) {
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
            let (dispatcher, link) = (Arc::clone(self), link.clone());
            tokio::spawn(async move {
                let version = reserve.document_version;
                match dispatcher.view.wait_for(version, DOCUMENT_WAIT_MS).await {
                    true => dispatcher.admit(reserve, &link),
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

    /// Gives up what a request holds or waits for.
    pub fn release(&self, request: RequestId) {
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

    /// Takes an announcement of the target.
    pub fn announce(&self, announcement: Announcement) {
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

fn refuse(link: &LinkSender<FromAgent>, request: RequestId, reason: Reason) {
    let retry_after_ms = RETRY_AFTER_MS;
    let _ = link.try_send(FromAgent::Refused {
        request,
        reason,
        retry_after_ms,
    });
}

/// Reports the load now and then, until the link is closed.
async fn report_load(dispatcher: Arc<Dispatcher>, link: LinkSender<FromAgent>) {
    let mut interval = tokio::time::interval(Duration::from_millis(LOAD_REPORT_MS));
    while !link.is_closed() {
        interval.tick().await;
        let engine = dispatcher.announced().filter(|target| target.is_engine);
        let reported = match engine {
            Some(engine) => target::load(engine.address).await,
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
