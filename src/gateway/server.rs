//! HTTP server of the gateway: startup, maintenance and graceful shutdown.

use super::{
    account_link::AccountLink,
    attempts::{Attempts, GatewayResponse},
    body::ResponseBody,
    byte_budget::ByteBudget,
    connections::{self, ConnectionPool},
    dialect::TrafficDialect,
    incoming_request::IncomingRequest,
    quotas::LocalQuotas,
    refusal_response,
    retry_budget::RetryBudget,
    stop_time::StopTime,
    suspects::CrashSuspects,
    targets::Targets,
};
use crate::{
    accept,
    caller_stream::{CallerStream, ResponseFraming, UNFRAMED_VERSION},
    clock,
    control::{
        ControlClient,
        members::{Member, ProcessRole},
        shares::Demand,
    },
    control_view::ControlView,
    entry::refusal::Refusal,
    http_server::HttpServer,
    metrics,
    settings::GatewaySettings,
    units::*,
    verdict::Reason,
};
use bytes::Bytes;
use http_body_util::{Full, StreamBody};
use hyper::{
    Request, Response, StatusCode,
    body::{Body, Incoming},
    header::{self, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use std::{
    convert::Infallible,
    error::Error,
    io,
    net::SocketAddr,
    pin::pin,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{
    net::TcpListener,
    sync::{oneshot, watch},
    task::JoinHandle,
};

/// Interval at which demand is reported, shares are updated and idle connections are closed.
const MAINTENANCE_INTERVAL_MS: u64 = 250;
/// `Retry-After` of a stopping gateway: another one accepts the request at once.
const STOPPING_RETRY_AFTER_MS: u64 = 20;
/// Minimum read buffer size that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8192;

/// Error on startup: an address cannot be bound.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("cannot listen at {address}: {error}")]
pub struct GatewayStartError {
    /// Address that could not be bound.
    pub address: SocketAddr,
    /// Error of the operating system.
    pub error: io::Error,
}

/// Logs a request whose handling ends without a response: its caller disconnected, or its task
/// failed.
struct ResponseGuard {
    request: String,
    arrived_ms: u64,
    has_response: bool,
}

impl ResponseGuard {
    fn new(incoming: &IncomingRequest) -> Self {
        Self {
            request: incoming.id.clone(),
            arrived_ms: incoming.arrived_ms,
            has_response: false,
        }
    }
}

impl Drop for ResponseGuard {
    fn drop(&mut self) {
        let took_ms = clock::boot_ms().saturating_sub(self.arrived_ms);
        match self.has_response {
            true => {}
            false if std::thread::panicking() => {
                metrics::gateway_unanswered("panic");
                tracing::error!(
                    request = self.request,
                    took_ms,
                    "gateway: request ended by a panic"
                );
            }
            false => {
                metrics::gateway_unanswered("caller-left");
                tracing::info!(
                    request = self.request,
                    took_ms,
                    "gateway: caller disconnected before the response"
                );
            }
        }
    }
}

/// Id of the last buffered answer on a caller's connection, and when it was passed on to be written.
type LastAnswer = Mutex<Option<(String, u64)>>;

/// Logs the failure of a caller's connection, on which an answer may not have been written whole.
fn log_connection_failure(error: &hyper::Error, caller: Option<SocketAddr>, last: &LastAnswer) {
    let is_callers = error.is_parse() || error.is_timeout() || error.is_incomplete_message();
    let cause = error.source().map(ToString::to_string);
    match last.lock().expect("no holder panics").as_ref() {
        Some((request, at_ms)) if !is_callers => tracing::warn!(
            request, ?caller, %error, cause, since_ms = clock::boot_ms().saturating_sub(*at_ms),
            "gateway: connection failed after an answer, which may not be whole"
        ),
        _ => tracing::debug!(%error, cause, "gateway: connection ended"),
    }
}

struct Shared<D> {
    view: Arc<ControlView>,
    attempts: Arc<Attempts<D>>,
    stop_grace_ms: u64,
    dialect: D,
}

/// A running gateway.
pub struct Gateway<D> {
    shared: Arc<Shared<D>>,
    name: ProcessName,
    address: SocketAddr,
    readiness: HttpServer,
    stop: oneshot::Sender<()>,
    serving: JoinHandle<()>,
    balancer_delay: Duration,
}

impl<D: TrafficDialect> Gateway<D> {
    /// Binds the addresses and starts the server.
    ///
    /// # Errors
    /// Returns an error if an address cannot be bound.
    pub async fn bind(settings: &GatewaySettings, dialect: D) -> Result<Self, GatewayStartError> {
        let failed = |address: SocketAddr| move |error| GatewayStartError { address, error };
        let listener = TcpListener::bind(settings.listen).await;
        let listener = listener.map_err(failed(settings.listen))?;
        let address = listener.local_addr().map_err(failed(settings.listen))?;
        let member = Member {
            name: settings.name.clone(),
            role: ProcessRole::Gateway,
            failure_domain: settings.failure_domain.clone(),
            incarnation: Incarnation::random(),
            address: address.to_string(),
            target: None,
        };
        let client = Arc::new(ControlClient::discovering(settings.control_addresses()));
        let view = Arc::new(ControlView::spawn(Arc::clone(&client), member));
        let targets = Targets::new(
            Arc::clone(&view),
            settings.name.clone(),
            settings.failure_domain.clone(),
            settings.admission_port,
            settings.shared_queues,
            (settings.placement, settings.prefix_cache),
        );
        let attempts = Arc::new(Attempts {
            name: settings.name.clone(),
            dialect,
            targets,
            view: Arc::clone(&view),
            account_link: AccountLink::spawn(),
            connections: ConnectionPool::default(),
            retry_budget: RetryBudget::new(settings.repeats).into(),
            local_quotas: LocalQuotas::new(settings.quota_tolerance.units).into(),
            crash_suspects: CrashSuspects::default().into(),
            byte_budget: ByteBudget::new(settings.byte_budget()),
            stop_time: StopTime::default(),
        });
        let shared = Arc::new(Shared {
            view,
            attempts,
            stop_grace_ms: settings.stop_grace_ms,
            dialect,
        });
        let for_readiness = Arc::clone(&shared);
        let readiness = HttpServer::bind(settings.readiness, "gateway", move |_| {
            let response = for_readiness.readiness();
            async move { response }
        });
        let readiness = readiness.await.map_err(failed(settings.readiness))?;
        let (stop, stopped) = oneshot::channel();
        let serving = tokio::spawn(serve(listener, Arc::clone(&shared), stopped));
        tokio::spawn(run_maintenance(Arc::clone(&shared)));
        tracing::info!(name = %settings.name, %address, "gateway: starts");
        Ok(Self {
            shared,
            name: settings.name.clone(),
            address,
            readiness,
            stop,
            serving,
            balancer_delay: Duration::from_millis(settings.balancer_delay_ms),
        })
    }

    /// Returns the address for callers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address of the readiness check for load balancers.
    pub fn readiness_address(&self) -> SocketAddr {
        self.readiness.address()
    }

    /// Applies later settings to the running gateway: the addresses of the control instances.
    pub fn update_settings(&self, settings: &GatewaySettings) {
        self.shared.view.set_control(settings.control_addresses());
    }

    /// Fails the readiness check, serves new requests until the load balancer has noticed, then
    /// finishes all requests in progress.
    pub async fn shutdown(self) {
        tracing::info!(name = %self.name, "gateway: stops");
        let killed_at_ms = clock::boot_ms() + self.shared.stop_grace_ms;
        self.shared.attempts.stop_time.begin(killed_at_ms);
        tokio::time::sleep(self.balancer_delay).await;
        let _ = self.stop.send(());
        if self.serving.await.is_err() {
            tracing::error!("gateway: the server task failed");
        }
        self.shared.view.deregister().await;
        tracing::info!(name = %self.name, "gateway: stopped");
    }
}

/// Periodically reports demand, updates the shares and closes idle connections.
async fn run_maintenance<D: TrafficDialect>(shared: Arc<Shared<D>>) {
    let mut interval = tokio::time::interval(Duration::from_millis(MAINTENANCE_INTERVAL_MS));
    loop {
        interval.tick().await;
        let attempts = &shared.attempts;
        let view = shared.view.load();
        let (shares, expires_ms) = (view.shares.clone(), view.shares_expire_ms);
        {
            let mut local_quotas = attempts.local_quotas.lock().expect("no holder panics");
            if let Some(shares) = &shares {
                local_quotas.set_gateway_count(shares.gateways, expires_ms);
            }
            local_quotas.retain(|customer| view.policy.quota(customer).is_some());
        }
        if let Some(shares) = shares {
            attempts.targets.set_shares(shares.as_ref().clone());
        }
        attempts.targets.wake_all_queues();
        let loads = attempts.targets.loads();
        attempts.report_loads(&loads);
        let services = loads
            .into_iter()
            .map(|(service, (in_progress, waiting))| (service, in_progress + waiting))
            .collect();
        shared.view.report_demand(Demand { services });
        shared
            .view
            .report_limits(attempts.targets.exchange_limits());
        attempts.targets.report_rollouts();
        attempts.report_suspects();
        attempts.connections.close_expired();
        metrics::gateway_bytes_held(attempts.byte_budget.used().0);
        attempts.targets.sweep();
    }
}

async fn serve<D: TrafficDialect>(
    listener: TcpListener,
    shared: Arc<Shared<D>>,
    mut stopped: oneshot::Receiver<()>,
) {
    let graceful = GracefulShutdown::new();
    let (open_connections, _) = watch::channel(());
    loop {
        let stream = tokio::select! {
            stream = accept::accept(&listener, "gateway") => stream,
            _ = &mut stopped => break,
        };
        connections::configure_socket(&stream);
        let caller = stream.peer_addr().ok();
        let last_answer = Arc::new(LastAnswer::default());
        let for_service = Arc::clone(&last_answer);
        let limits = shared.view.load().policy.caller_limits;
        let for_connection = Arc::clone(&shared);
        let framing = Arc::<ResponseFraming>::default();
        let (for_response, for_stream) = (Arc::clone(&framing), Arc::clone(&framing));
        let service = service_fn(move |request: Request<Incoming>| {
            let shared = Arc::clone(&for_connection);
            let last_answer = Arc::clone(&for_service);
            let (framing, version) = (Arc::clone(&for_response), request.version());
            async move {
                let response = shared.handle(request, &last_answer).await;
                framing.begin(version, &response);
                Ok::<_, Infallible>(response)
            }
        });
        // The library's header timeout also covers the idle time between requests.
        let header_timeout_ms = limits.header_timeout_ms.max(limits.idle_timeout_ms);
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_millis(header_timeout_ms))
            .max_buf_size((limits.header_bytes as usize).max(MIN_BUFFER_BYTES))
            .serve_connection(TokioIo::new(CallerStream::new(stream, for_stream)), service);
        let served = graceful.watch(connection);
        let open_guard = open_connections.subscribe();
        tokio::spawn(async move {
            let mut served = pin!(served);
            // The caller disconnected or sent an invalid request, or its response was cut.
            if let Err(error) = served.as_mut().await {
                log_connection_failure(&error, caller, &last_answer);
            }
            drop(open_guard);
        });
    }
    drop(listener);
    graceful.shutdown().await;
    open_connections.closed().await;
}

impl<D: TrafficDialect> Shared<D> {
    fn readiness(&self) -> Response<Full<Bytes>> {
        let has_document = self.view.load().policy.version > DocumentVersion(0);
        let stopping = self.attempts.stop_time.is_stopping();
        let (status, text) = match (stopping, has_document) {
            (true, _) => (StatusCode::SERVICE_UNAVAILABLE, "stopping\n"),
            (false, false) => (StatusCode::SERVICE_UNAVAILABLE, "no document known\n"),
            (false, true) => (StatusCode::OK, "ready\n"),
        };
        let mut response = Response::new(Full::from(text));
        *response.status_mut() = status;
        response
    }

    /// Serves a request, until its response has to end as this process is about to be killed.
    async fn serve_until_stop(
        &self,
        incoming: Arc<IncomingRequest>,
    ) -> Result<GatewayResponse<D>, Refusal> {
        let serving = Box::pin(self.attempts.serve(Arc::clone(&incoming)));
        tokio::select! {
            biased;
            result = serving => result,
            () = self.attempts.stop_time.reached() => {
                let message = "this gateway stops before the answer is whole";
                Err(match incoming.may_have_run() {
                    true => Refusal::may_have_run(Reason::Leaving, message),
                    false => Refusal::not_run(Reason::Leaving, message)
                        .retry_after(STOPPING_RETRY_AFTER_MS),
                })
            }
        }
    }

    async fn handle(
        &self,
        request: Request<Incoming>,
        last_answer: &LastAnswer,
    ) -> Response<impl Body<Data = Bytes, Error = io::Error> + use<D>> {
        // The caller has read the answer before.
        *last_answer.lock().expect("no holder panics") = None;
        let view = self.view.load();
        let read =
            IncomingRequest::read(request, &view, self.dialect, &self.attempts.byte_budget).await;
        drop(view);
        let mut route = None;
        let (id, result) = match read {
            Ok(incoming)
                if self
                    .attempts
                    .stop_time
                    .may_be_outlived(incoming.deadline_at_ms) =>
            {
                let message = "this gateway stops before the answer would be whole";
                let refusal = Refusal::not_run(Reason::Leaving, message);
                (
                    incoming.id,
                    Err(refusal.retry_after(STOPPING_RETRY_AFTER_MS)),
                )
            }
            Ok(incoming) => {
                let incoming = Arc::new(incoming);
                let id = incoming.id.clone();
                route = Some((Arc::clone(&incoming.route), incoming.rank));
                let mut guard = ResponseGuard::new(&incoming);
                let result = self.serve_until_stop(incoming).await;
                guard.has_response = true;
                (id, result)
            }
            Err((id, refusal)) => (id, Err(refusal)),
        };
        let mut response = match result {
            Ok(GatewayResponse::Buffered(response)) => {
                let answer = Some((id, clock::boot_ms()));
                *last_answer.lock().expect("no holder panics") = answer;
                match response.version() == UNFRAMED_VERSION {
                    true => response.map(ResponseBody::Unframed),
                    false => response.map(ResponseBody::Buffered),
                }
            }
            Ok(GatewayResponse::Streaming(head, relay)) => head
                .map(|()| ResponseBody::Streaming(StreamBody::new(Box::pin(relay.into_stream())))),
            Err(refusal) => {
                metrics::gateway_refused(refusal.verdict, &refusal.reason);
                tracing::warn!(
                    request = id, route = route.as_ref().map(|(route, _)| route.name.as_str()),
                    tier = route.as_ref().map(|(_, tier)| tier.0),
                    route_tier = route.as_ref().map(|(route, _)| route.rank.0),
                    reason = %refusal.reason, verdict = %refusal.verdict,
                    retry_after_ms = refusal.retry_after_ms, why = refusal.message,
                    "gateway: refused"
                );
                refusal_response::build(&refusal).map(ResponseBody::Buffered)
            }
        };
        if self.attempts.stop_time.is_stopping() || response.version() == UNFRAMED_VERSION {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }
}
