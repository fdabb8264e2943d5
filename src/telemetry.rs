//! Logging, tracing and metrics of one process.

use crate::{clock, http_server::HttpServer, metrics, settings::TelemetrySettings};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use opentelemetry::{
    KeyValue, global,
    propagation::{Extractor, Injector, TextMapPropagator},
    trace::TracerProvider,
};
use opentelemetry_http::{HttpClient, HttpError};
use opentelemetry_otlp::{MetricExporter, SpanExporter, WithExportConfig, WithHttpConfig};
use opentelemetry_sdk::{
    Resource,
    metrics::{PeriodicReader, SdkMeterProvider},
    propagation::TraceContextPropagator,
    trace::SdkTracerProvider,
};
use prometheus::{Encoder, Registry, TextEncoder};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};
use tokio::{net::TcpStream, runtime::Handle, time::timeout};
use tracing::{Level, Metadata, Span};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_opentelemetry::OpenTelemetrySpanExt;
use tracing_subscriber::{
    EnvFilter, Layer,
    filter::{DynFilterFn, dynamic_filter_fn},
    fmt::MakeWriter,
    layer::{Context, SubscriberExt},
    util::SubscriberInitExt,
};

/// HTTP header that carries the W3C trace context.
pub const TRACEPARENT: &str = "traceparent";
/// Interval between exports of metrics.
const METRIC_INTERVAL_MS: u64 = 5000;

/// Maximum number of log lines queued for the writer; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 4096;
/// Maximum number of log lines per second of each kind: lines on success, and all others
/// (refusals, failures and state changes).
const MAX_LINES_PER_S: u64 = 300;
/// Interval between reports of dropped lines.
const DROP_REPORT_INTERVAL_MS: u64 = 1000;

/// Maximum duration of one export.
const EXPORT_TIMEOUT_MS: u64 = 3000;

/// HTTP client that sends exports on the runtime of the process, as the exporters run on
/// threads without one.
#[derive(Debug)]
struct CollectorClient(Handle);

#[jsonrpsee::core::async_trait]
impl HttpClient for CollectorClient {
    async fn send_bytes(&self, request: Request<Bytes>) -> Result<Response<Bytes>, HttpError> {
        let limit = Duration::from_millis(EXPORT_TIMEOUT_MS);
        let sending = self
            .0
            .spawn(async move { timeout(limit, send(request)).await });
        sending.await??
    }
}

async fn send(request: Request<Bytes>) -> Result<Response<Bytes>, HttpError> {
    let authority = request
        .uri()
        .authority()
        .map(ToString::to_string)
        .unwrap_or_default();
    let stream = TcpStream::connect(&authority).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let (mut parts, body) = request.into_parts();
    let path = parts
        .uri
        .path_and_query()
        .map(ToString::to_string)
        .unwrap_or_default();
    parts.uri = path.parse()?;
    parts.headers.insert("host", authority.parse()?);
    let response = sender
        .send_request(Request::from_parts(parts, Full::new(body)))
        .await?;
    let (parts, body) = response.into_parts();
    Ok(Response::from_parts(
        parts,
        body.collect().await?.to_bytes(),
    ))
}

/// Exporters of a process. Drop it last, so that they flush what is queued.
pub struct Telemetry {
    tracer: Option<SdkTracerProvider>,
    meter: Option<SdkMeterProvider>,
    /// Writes the queued lines when it is dropped.
    writer: Option<WorkerGuard>,
}

impl Telemetry {
    /// Starts logging, and exporting if the settings name a collector. Logs go to standard
    /// output through a bounded queue, so that a slow reader blocks nothing. `RUST_LOG` sets
    /// their level.
    pub fn install(settings: &TelemetrySettings, process: &str) -> Self {
        let (lines, writer) = NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(MAX_QUEUED_LINES)
            .finish(std::io::stdout());
        let unwritten_lines = lines.error_counter();
        let mut telemetry = Self::install_to(lines, settings, process);
        telemetry.writer = Some(writer);
        tokio::spawn(report_dropped_lines(unwritten_lines));
        telemetry
    }

    /// Like [`Self::install`], but logs go to standard error, for commands that print to
    /// standard output.
    pub fn install_on_stderr(settings: &TelemetrySettings, process: &str) -> Self {
        Self::install_to(std::io::stderr, settings, process)
    }

    fn install_to<W>(writer: W, settings: &TelemetrySettings, process: &str) -> Self
    where
        W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
    {
        let filter = EnvFilter::try_from_default_env()
            .unwrap_or_else(|_| EnvFilter::new("warn,guavacove=info"));
        let lines = tracing_subscriber::fmt::layer()
            .with_writer(writer)
            .with_target(false);
        let lines = match settings.json_logs {
            true => lines.json().boxed(),
            false => lines.boxed(),
        };
        let tracer = settings
            .otlp_endpoint
            .as_ref()
            .and_then(|url| tracer(url, process));
        let meter = meter(settings, process);
        let spans = tracer.as_ref().map(|provider| {
            tracing_opentelemetry::layer()
                .with_tracer(provider.tracer("guavacove"))
                .with_filter(tracing_subscriber::filter::filter_fn(|metadata| {
                    metadata.is_span() && metadata.target().starts_with("guavacove")
                }))
        });
        let installed = tracing_subscriber::registry()
            .with(lines.with_filter(rate_limit_filter()).with_filter(filter))
            .with(spans);
        let _ = installed.try_init();
        if let Some(meter) = &meter {
            global::set_meter_provider(meter.clone());
        }
        Self {
            tracer,
            meter,
            writer: None,
        }
    }

    /// Exports and writes everything that is queued.
    pub fn flush(mut self) {
        if let Some(tracer) = &self.tracer {
            let _ = tracer.force_flush();
        }
        if let Some(meter) = &self.meter {
            let _ = meter.force_flush();
        }
        drop(self.writer.take());
    }
}

fn resource(process: &str) -> Resource {
    Resource::builder()
        .with_service_name("guavacove")
        .with_attribute(KeyValue::new("service.instance.id", process.to_string()))
        .build()
}

fn tracer(endpoint: &str, process: &str) -> Option<SdkTracerProvider> {
    let exporter = SpanExporter::builder()
        .with_http()
        .with_http_client(CollectorClient(Handle::current()))
        .with_endpoint(format!("{endpoint}/v1/traces"))
        .build()
        .inspect_err(|error| tracing::warn!("telemetry: cannot export traces: {error}"))
        .ok()?;
    let provider = SdkTracerProvider::builder().with_resource(resource(process));
    Some(provider.with_batch_exporter(exporter).build())
}

/// Fixed-window rate limiter of one kind of log lines.
struct LineRateLimiter {
    second: AtomicU64,
    lines: AtomicU64,
}

static SUCCESS_LINES: LineRateLimiter = LineRateLimiter::new();
static OTHER_LINES: LineRateLimiter = LineRateLimiter::new();
static LINES_OVER_LIMIT: AtomicU64 = AtomicU64::new(0);

impl LineRateLimiter {
    const fn new() -> Self {
        Self {
            second: AtomicU64::new(0),
            lines: AtomicU64::new(0),
        }
    }

    fn allows(&self) -> bool {
        let second = clock::boot_ms() / 1000;
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines.store(0, Ordering::Relaxed);
        }
        let allowed = self.lines.fetch_add(1, Ordering::Relaxed) < MAX_LINES_PER_S;
        LINES_OVER_LIMIT.fetch_add(u64::from(!allowed), Ordering::Relaxed);
        allowed
    }
}

/// Filter that limits the rate of log lines. Lines on success have a separate limit, so that a
/// flood of them does not displace refusals and failures.
fn rate_limit_filter<S>() -> DynFilterFn<S, impl Fn(&Metadata<'_>, &Context<'_, S>) -> bool>
where
    S: tracing::Subscriber,
{
    dynamic_filter_fn(|metadata: &Metadata<'_>, _: &Context<'_, S>| {
        let is_success =
            *metadata.level() >= Level::INFO && metadata.target().starts_with("guavacove::gateway");
        match (metadata.is_event(), is_success) {
            (false, _) => true,
            (true, true) => SUCCESS_LINES.allows(),
            (true, false) => OTHER_LINES.allows(),
        }
    })
}

/// Reports periodically how many lines were dropped, if any.
async fn report_dropped_lines(unwritten_lines: ErrorCounter) {
    let mut reported_unwritten = 0;
    loop {
        tokio::time::sleep(Duration::from_millis(DROP_REPORT_INTERVAL_MS)).await;
        let over_budget = LINES_OVER_LIMIT.swap(0, Ordering::Relaxed);
        let unwritten = unwritten_lines.dropped_lines() - reported_unwritten;
        reported_unwritten += unwritten;
        if over_budget > 0 || unwritten > 0 {
            metrics::log_lines_dropped(over_budget + unwritten as u64);
            tracing::warn!(over_budget, unwritten, "log: lines left out");
        }
    }
}

fn meter(settings: &TelemetrySettings, process: &str) -> Option<SdkMeterProvider> {
    let mut provider = SdkMeterProvider::builder().with_resource(resource(process));
    let mut has_reader = false;
    if let Some(endpoint) = &settings.otlp_endpoint {
        let exporter = MetricExporter::builder()
            .with_http()
            .with_http_client(CollectorClient(Handle::current()))
            .with_endpoint(format!("{endpoint}/v1/metrics"))
            .build()
            .inspect_err(|error| tracing::warn!("telemetry: cannot export metrics: {error}"))
            .ok()?;
        let interval = Duration::from_millis(METRIC_INTERVAL_MS);
        let reader = PeriodicReader::builder(exporter)
            .with_interval(interval)
            .build();
        (provider, has_reader) = (provider.with_reader(reader), true);
    }
    if let Some(address) = settings.metrics {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .inspect_err(|error| tracing::warn!("telemetry: cannot export metrics: {error}"))
            .ok()?;
        (provider, has_reader) = (provider.with_reader(exporter), true);
        tokio::spawn(serve_metrics(address, registry));
    }
    has_reader.then(|| provider.build())
}

/// Serves metrics in Prometheus text format until the process exits.
async fn serve_metrics(address: SocketAddr, registry: Registry) {
    let handle = move |_: Request<Incoming>| {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&registry.gather(), &mut text) {
            tracing::warn!(%error, "telemetry: cannot encode metrics");
        }
        async move { Response::new(Full::new(Bytes::from(text))) }
    };
    match HttpServer::bind(address, "telemetry", handle).await {
        Ok(_server) => std::future::pending().await,
        Err(error) => tracing::warn!(%address, %error, "telemetry: cannot serve metrics"),
    }
}

/// Headers that carry a trace context.
#[derive(Default)]
struct Carrier(HashMap<String, String>);

impl Injector for Carrier {
    fn set(&mut self, key: &str, value: String) {
        self.0.insert(key.into(), value);
    }
}

impl Extractor for Carrier {
    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(String::as_str)
    }

    fn keys(&self) -> Vec<&str> {
        self.0.keys().map(String::as_str).collect()
    }
}

/// Sets the trace context received from a caller as the parent of a span.
pub fn continue_trace(span: &Span, traceparent: Option<&str>) {
    if let Some(value) = traceparent {
        let carrier = Carrier(HashMap::from([(
            TRACEPARENT.to_string(),
            value.to_string(),
        )]));
        let _ = span.set_parent(TraceContextPropagator::new().extract(&carrier));
    }
}

/// Value of the `traceparent` header for the next hop; `None` if the span is not traced.
pub fn traceparent(span: &Span) -> Option<String> {
    let mut carrier = Carrier::default();
    TraceContextPropagator::new().inject_context(&span.context(), &mut carrier);
    carrier.0.remove(TRACEPARENT)
}
