//! The entry process: serves callers and operators over HTTP.

use super::{
    agent_links::AgentLinks,
    body::ResponseBody,
    limits::EntryLimits,
    refusal::Refusal,
    request::{self, IDEMPOTENCY_KEY_HEADER, IncomingRequest},
    scheduler::Scheduler,
};
use crate::{
    control::{
        ControlClient,
        members::{Member, ProcessRole},
    },
    control_view::ControlView,
    http_server::{HttpListener, HttpServer},
    settings::EntrySettings,
    telemetry,
    units::*,
    verdict::Reason,
};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tracing::Instrument;

/// Retry delay sent to callers while the control group is unreachable.
const RETRY_AFTER_MS: u64 = 1000;

/// The error returned if an entry fails to start.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("cannot listen at {address}: {error}")]
pub struct EntryStartError {
    /// The address that could not be bound.
    pub address: SocketAddr,
    /// The cause.
    pub error: io::Error,
}

struct Shared {
    view: Arc<ControlView>,
    scheduler: Arc<Scheduler>,
    stopping: AtomicBool,
}

/// A running entry with its HTTP servers.
pub struct Entry {
    shared: Arc<Shared>,
    name: ProcessName,
    callers: HttpServer,
    admin: Option<HttpServer>,
    balancer_delay: Duration,
}

impl Entry {
    /// Binds the configured addresses and starts to serve.
    ///
    /// # Errors
    /// Fails if an address cannot be bound.
    pub async fn bind(settings: &EntrySettings) -> Result<Self, EntryStartError> {
        let failed = |error| EntryStartError {
            address: settings.listen,
            error,
        };
        let listener = HttpListener::bind(settings.listen).await.map_err(failed)?;
        let address = listener.address();
        let incarnation = Incarnation::random();
        let member = Member {
            name: settings.name.clone(),
            role: ProcessRole::Entry,
            failure_domain: settings.failure_domain.clone(),
            incarnation,
            address: address.to_string(),
            target: None,
        };
        let client = Arc::new(ControlClient::new(settings.control.clone()));
        let view = Arc::new(ControlView::spawn(Arc::clone(&client), member));
        let links = Arc::new(AgentLinks::new(
            settings.name.clone(),
            incarnation,
            settings.routing.is_push(),
        ));
        let limits = EntryLimits::spawn(settings.name.clone(), Arc::clone(&client));
        let scheduler = Arc::new(Scheduler::new(
            Arc::clone(&view),
            links,
            client,
            limits,
            settings.routing,
        ));
        let stopping = AtomicBool::new(false);
        let shared = Arc::new(Shared {
            view,
            scheduler,
            stopping,
        });
        let admin = match settings.admin {
            Some(address) => Some(
                serve_admin(address, Arc::clone(&shared))
                    .await
                    .map_err(|error| EntryStartError { address, error })?,
            ),
            None => None,
        };
        let handler_state = Arc::clone(&shared);
        let callers = listener.serve("entry", move |request| {
            let shared = Arc::clone(&handler_state);
            async move { shared.handle(request).await }
        });
        tracing::info!("entry: {} listening on {address}", settings.name);
        let balancer_delay = Duration::from_millis(settings.balancer_delay_ms);
        let name = settings.name.clone();
        Ok(Self {
            shared,
            name,
            callers,
            admin,
            balancer_delay,
        })
    }

    /// Applies later settings to the running entry: the addresses of the control instances.
    pub fn update_settings(&self, settings: &EntrySettings) {
        self.shared.view.set_control(settings.control.clone());
    }

    /// The address that serves callers.
    pub fn address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// The address that serves request timelines to operators.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.admin.as_ref().map(HttpServer::address)
    }

    /// Waits until a document is in force; returns `false` on timeout.
    pub async fn wait_ready(&self, wait_ms: u64) -> bool {
        self.shared
            .view
            .wait_for_version(DocumentVersion(1), wait_ms)
            .await
    }

    /// Shuts down gracefully: reports not ready, keeps serving while the load balancer reacts,
    /// then finishes all open requests.
    pub async fn shutdown(self) {
        self.shared.stopping.store(true, Ordering::Relaxed);
        tokio::time::sleep(self.balancer_delay).await;
        self.callers.shutdown().await;
        let background = &self.shared.scheduler.background;
        background.close();
        background.wait().await;
        self.shared.view.deregister().await;
        tracing::info!("entry: {} stopped", self.name);
    }
}

/// Serves `GET /requests/ID` to operators.
async fn serve_admin(address: SocketAddr, shared: Arc<Shared>) -> io::Result<HttpServer> {
    let handle = move |request: Request<Incoming>| {
        let response = shared.explain(request.uri().path());
        async move { response }
    };
    HttpServer::bind(address, "entry", handle).await
}

impl Shared {
    async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/healthz") => plain(StatusCode::OK, "ok\n"),
            (&Method::GET, "/readyz") => self.readiness(),
            (&Method::GET, "/v1/models") => self.models(request),
            _ => self.schedule(request).await,
        }
    }

    fn explain(&self, path: &str) -> Response<ResponseBody> {
        let request = path
            .strip_prefix("/requests/")
            .and_then(|id| id.parse().ok());
        let timeline = request.and_then(|request| self.scheduler.history.explain(request));
        match timeline {
            Some(timeline) => Response::new(ResponseBody::complete(timeline)),
            None => plain(
                StatusCode::NOT_FOUND,
                "this entry does not remember that request\n",
            ),
        }
    }

    fn readiness(&self) -> Response<ResponseBody> {
        match (
            self.stopping.load(Ordering::Relaxed),
            self.view.load().is_valid(),
        ) {
            (true, _) => plain(StatusCode::SERVICE_UNAVAILABLE, "stopping\n"),
            (false, false) => plain(StatusCode::SERVICE_UNAVAILABLE, "no document in force\n"),
            (false, true) => plain(StatusCode::OK, "ready\n"),
        }
    }

    fn models(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let view = self.view.load();
        let (parts, _) = request.into_parts();
        if let Err(refusal) = request::authenticate(&parts, &view) {
            return refusal.into_response(RequestId::random());
        }
        let model = |id: &str| serde_json::json!({"id": id, "object": "model"});
        let data: Vec<serde_json::Value> = view.policy.models().into_iter().map(model).collect();
        let list = serde_json::json!({"object": "list", "data": data}).to_string();
        let mut response = Response::new(ResponseBody::complete(list));
        let json = hyper::header::HeaderValue::from_static("application/json");
        response.headers_mut().insert("content-type", json);
        response
    }

    async fn schedule(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let id = RequestId::random();
        let view = self.view.load();
        if !view.is_valid() {
            let message = "this entry has lost touch with the control group";
            // An earlier request with the key may have run; that cannot be looked up now.
            let refusal = match request.headers().contains_key(IDEMPOTENCY_KEY_HEADER) {
                true => Refusal::may_have_run(Reason::ControlUnreachable, message),
                false => Refusal::not_run(Reason::ControlUnreachable, message),
            };
            let refusal = refusal.retry_after(RETRY_AFTER_MS);
            return refusal.into_response(id);
        }
        let span = tracing::info_span!("entry.request", request = %id);
        let traceparent = request.headers().get(telemetry::TRACEPARENT);
        telemetry::continue_trace(&span, traceparent.and_then(|value| value.to_str().ok()));
        // Boxed so that the state needed to start a stream is freed while it is open.
        let served = Box::pin(async {
            match IncomingRequest::read(id, request, &view).await {
                Ok(inbound) => self.scheduler.serve(inbound).await,
                Err(refusal) => refusal.into_response(id),
            }
        });
        served.instrument(span).await
    }
}

fn plain(status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::complete(text));
    *response.status_mut() = status;
    response
}
