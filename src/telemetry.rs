//! Logs, traces and metrics of one process.

use crate::settings::TelemetrySettings;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, client::conn::http1};
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
use std::{collections::HashMap, time::Duration};
use tokio::{net::TcpStream, runtime::Handle, time::timeout};
use tracing::Span;
use tracing_opentelemetry::OpenTelemetrySpanExt;
use tracing_subscriber::{EnvFilter, Layer, layer::SubscriberExt, util::SubscriberInitExt};

/// The header that carries a trace.
pub const TRACEPARENT: &str = "traceparent";
/// How often metrics are exported.
const METRIC_INTERVAL_MS: u64 = 5000;

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
}

impl Telemetry {
    /// Starts logging, and exporting if the settings name a collector. Logs go
    /// to standard error; `RUST_LOG` sets their level.
    pub fn install(settings: &TelemetrySettings, process: &str) -> Self {
        let filter = EnvFilter::try_from_default_env()
            .unwrap_or_else(|_| EnvFilter::new("warn,guavacove=info"));
        let lines = tracing_subscriber::fmt::layer()
            .with_writer(std::io::stderr)
            .with_target(false);
        let lines = match settings.json_logs {
            true => lines.json().boxed(),
            false => lines.boxed(),
        };
        let tracer = settings
            .otlp_endpoint
            .as_ref()
            .and_then(|url| tracer(url, process));
        let meter = settings
            .otlp_endpoint
            .as_ref()
            .and_then(|url| meter(url, process));
        let spans = tracer.as_ref().map(|provider| {
            tracing_opentelemetry::layer()
                .with_tracer(provider.tracer("guavacove"))
                .with_filter(tracing_subscriber::filter::filter_fn(|metadata| {
                    metadata.is_span() && metadata.target().starts_with("guavacove")
                }))
        });
        let installed = tracing_subscriber::registry()
            .with(lines.with_filter(filter))
            .with(spans);
        let _ = installed.try_init();
        if let Some(meter) = &meter {
            global::set_meter_provider(meter.clone());
        }
        Self { tracer, meter }
    }

    /// Sends what has not been sent yet.
    pub fn flush(&self) {
        if let Some(tracer) = &self.tracer {
            let _ = tracer.force_flush();
        }
        if let Some(meter) = &self.meter {
            let _ = meter.force_flush();
        }
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

fn meter(endpoint: &str, process: &str) -> Option<SdkMeterProvider> {
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
    Some(
        SdkMeterProvider::builder()
            .with_resource(resource(process))
            .with_reader(reader)
            .build(),
    )
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
