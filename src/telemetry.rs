//! Logs, traces and metrics of one process.

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

/// The header that carries a trace.
pub const TRACEPARENT: &str = "traceparent";
/// How often metrics are exported.
const METRIC_INTERVAL_MS: u64 = 5000;

/// How many log lines wait for the writer at most; more are left out and counted.
const QUEUED_LINES: usize = 4096;
/// How many lines a second are written of each kind at most: on success, and on refusals,
/// failures and changes of what the process believes. Not measured yet: what a line
/// costs.
const LINES_PER_S: u64 = 300;
/// How often it is said how many lines were left out.
const LEFT_OUT_INTERVAL_MS: u64 = 1000;

/// How long one export may take.
const EXPORT_TIMEOUT_MS: u64 = 3000;

/// Sends exports on the process's runtime; the exporters run on threads of
/// their own, without one.
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

/// The exporters of a process; dropped last, so that they flush.
pub struct Telemetry {
    tracer: Option<SdkTracerProvider>,
    meter: Option<SdkMeterProvider>,
    /// Writes what is queued when it is dropped.
    writer: Option<WorkerGuard>,
}

impl Telemetry {
    /// Starts logging, and exporting if the settings name a collector. Logs go to standard
    /// output through a bounded queue, so that nothing waits for their reader; `RUST_LOG`
    /// sets their level.
    pub fn install(settings: &TelemetrySettings, process: &str) -> Self {
        let (lines, writer) = NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(QUEUED_LINES)
            .finish(std::io::stdout());
        let dropped = lines.error_counter();
        let mut telemetry = Self::install_to(lines, settings, process);
        telemetry.writer = Some(writer);
        tokio::spawn(report_left_out(dropped));
        telemetry
    }

    /// As [`Self::install`], with logs on standard error, for a command whose output is for
    /// people.
    pub fn install_beside_output(settings: &TelemetrySettings, process: &str) -> Self {
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
            .with(lines.with_filter(within_budget()).with_filter(filter))
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

    /// Sends and writes what is still waiting.
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
        .inspect_err(|error| tracing::warn!("telemetry: no traces: {error}"))
        .ok()?;
    let provider = SdkTracerProvider::builder().with_resource(resource(process));
    Some(provider.with_batch_exporter(exporter).build())
}

/// The lines of one kind in the current second.
struct Budget {
    second: AtomicU64,
    lines: AtomicU64,
}

static SUCCESSES: Budget = Budget::new();
static OTHERS: Budget = Budget::new();
static LEFT_OUT: AtomicU64 = AtomicU64::new(0);

impl Budget {
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
        let allowed = self.lines.fetch_add(1, Ordering::Relaxed) < LINES_PER_S;
        LEFT_OUT.fetch_add(u64::from(!allowed), Ordering::Relaxed);
        allowed
    }
}

/// Lets so many lines through. Lines on success have a budget of their own, so that a flood
/// of them leaves room for refusals and failures.
fn within_budget<S>() -> DynFilterFn<S, impl Fn(&Metadata<'_>, &Context<'_, S>) -> bool>
where
    S: tracing::Subscriber,
{
    dynamic_filter_fn(|metadata: &Metadata<'_>, _: &Context<'_, S>| {
        let is_success =
            *metadata.level() >= Level::INFO && metadata.target().starts_with("guavacove::gateway");
        match (metadata.is_event(), is_success) {
            (false, _) => true,
            (true, true) => SUCCESSES.allows(),
            (true, false) => OTHERS.allows(),
        }
    })
}

/// Says once a second how many lines were left out, if any.
async fn report_left_out(dropped: ErrorCounter) {
    let mut told_dropped = 0;
    loop {
        tokio::time::sleep(Duration::from_millis(LEFT_OUT_INTERVAL_MS)).await;
        let over_budget = LEFT_OUT.swap(0, Ordering::Relaxed);
        let unwritten = dropped.dropped_lines() - told_dropped;
        told_dropped += unwritten;
        if over_budget > 0 || unwritten > 0 {
            metrics::log_lines_left_out(over_budget + unwritten as u64);
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
            .inspect_err(|error| tracing::warn!("telemetry: no metrics: {error}"))
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
            .inspect_err(|error| tracing::warn!("telemetry: no metrics: {error}"))
            .ok()?;
        (provider, has_reader) = (provider.with_reader(exporter), true);
        tokio::spawn(serve_metrics(address, registry));
    }
    has_reader.then(|| provider.build())
}

/// Serves metrics as Prometheus text until the process ends.
async fn serve_metrics(address: SocketAddr, registry: Registry) {
    let handle = move |_: Request<Incoming>| {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&registry.gather(), &mut text) {
            tracing::warn!(%error, "telemetry: metrics cannot be written");
        }
        async move { Response::new(Full::new(Bytes::from(text))) }
    };
    match HttpServer::bind(address, "telemetry", handle).await {
        Ok(_server) => std::future::pending().await,
        Err(error) => tracing::warn!(%address, %error, "telemetry: metrics are not served"),
    }
}

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

/// Makes a span continue the trace that a caller sent.
pub fn continue_trace(span: &Span, traceparent: Option<&str>) {
    if let Some(value) = traceparent {
        let carrier = Carrier(HashMap::from([(
            TRACEPARENT.to_string(),
            value.to_string(),
        )]));
        let _ = span.set_parent(TraceContextPropagator::new().extract(&carrier));
    }
}

/// The `traceparent` of a span, for the next hop; `None` if it is not traced.
pub fn traceparent(span: &Span) -> Option<String> {
    let mut carrier = Carrier::default();
    TraceContextPropagator::new().inject_context(&span.context(), &mut carrier);
    carrier.0.remove(TRACEPARENT)
}
