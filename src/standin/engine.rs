//! Simulated model engine: continuous batching with prefill and decode rates, an announced KV
//! cache size, a prefix cache, and streams that can be cancelled and resumed. Requests join the
//! batch in order of arrival, without priorities.

mod batch;
mod load;
mod stream;

use self::{
    load::{LoadSamples, SAMPLE_MS},
    stream::{EngineBody, EngineStream, stream_response},
};
use super::{Announcer, FaultKind, FaultSwitch, PrefixCache, json};
use crate::{
    agent::{Announcement, REQUEST_ID_HEADER},
    http_server::{HttpListener, HttpServer},
    units::*,
};
use bytes::Bytes;
use http_body_util::{BodyExt, Either, Full};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde_json::{Value, json};
use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Minimum interval between emissions of decoded tokens.
const EMIT_INTERVAL_MS: u64 = 2;
/// Time for which a finished stream can be resumed.
const KEPT_STREAM_MS: u64 = 15_000;

/// Configuration of a stand-in engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Announcement address of its agent; without one it does not announce itself.
    pub announce: Option<SocketAddr>,
    /// Address in its announcement; defaults to the address that it listens on.
    pub advertise: Option<SocketAddr>,
    /// Service that it runs.
    pub service: ServiceName,
    /// Prefill rate in prompt tokens per second; prompts are prefilled one at a time.
    pub prefill_tokens_per_s: u64,
    /// Decode rate in tokens per second of a single request without contention.
    pub decode_tokens_per_s: u64,
    /// Number of concurrent requests above which the decode rate of each drops in proportion.
    pub full_speed_requests: usize,
    /// Maximum number of requests in the batch; further ones queue inside the engine.
    pub slots: usize,
    /// Size of the KV cache in tokens, as announced.
    pub kv_tokens: TokenCount,
    /// Size of the prefix cache in prompt tokens.
    pub cache_tokens: TokenCount,
    /// Whether it rejects orders with an outdated fencing number.
    pub checks_fencing: bool,
    /// Age of its load reports, in milliseconds.
    pub load_lag_ms: u64,
}

impl EngineSettings {
    /// Default settings for an engine that serves `service` on `listen`.
    pub fn new(listen: SocketAddr, service: ServiceName) -> Self {
        Self {
            listen,
            announce: None,
            advertise: None,
            service,
            prefill_tokens_per_s: 20_000,
            decode_tokens_per_s: 200,
            full_speed_requests: 8,
            slots: 16,
            kv_tokens: TokenCount(32_768),
            cache_tokens: TokenCount(65_536),
            checks_fencing: false,
            load_lag_ms: 1000,
        }
    }
}

/// Text of one token. It depends on request and position, so that a caller can verify that the
/// response is its own and complete.
pub fn token_text(request: &str, position: u64) -> String {
    let head = request.get(..8).unwrap_or(request);
    format!(" {head}.{position}")
}

#[derive(Default)]
struct Counters {
    prompt_tokens: AtomicU64,
    computed_tokens: AtomicU64,
    cached_tokens: AtomicU64,
    cancelled_prompt_tokens: AtomicU64,
    generated_tokens: AtomicU64,
    completed: AtomicU64,
    cancelled: AtomicU64,
}

struct Shared {
    settings: EngineSettings,
    streams: Mutex<HashMap<String, Arc<EngineStream>>>,
    runs: Mutex<HashMap<String, u64>>,
    starts: Mutex<HashMap<String, u64>>,
    orders: Mutex<Vec<Value>>,
    cache: Mutex<PrefixCache>,
    prefill: tokio::sync::Mutex<()>,
    slots: tokio::sync::Semaphore,
    decoding: AtomicU64,
    open_requests: AtomicUsize,
    loads: LoadSamples,
    slowdown_percent: AtomicU64,
    fault: FaultSwitch,
    counters: Counters,
}

/// A running stand-in engine.
pub struct Engine {
    shared: Arc<Shared>,
    server: HttpServer,
    announcer: Option<Announcer>,
}

impl Engine {
    /// Binds the address, announces itself and starts.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub async fn bind(settings: EngineSettings) -> io::Result<Self> {
        let listener = HttpListener::bind(settings.listen).await?;
        let address = listener.address();
        let announcer = settings.announce.map(|agent| {
            let announcement = Announcement {
                service: settings.service.clone(),
                address: settings.advertise.unwrap_or(address),
                slots: settings.slots,
                kv_tokens: settings.kv_tokens,
                is_engine: true,
                checks_fencing: settings.checks_fencing,
                leaving: false,
                version: TargetVersion::default(),
                started_unix_ms: None,
                identity_path: None,
            };
            Announcer::spawn(agent, announcement)
        });
        let shared = Arc::new(Shared {
            streams: Mutex::default(),
            runs: Mutex::default(),
            starts: Mutex::default(),
            orders: Mutex::default(),
            cache: Mutex::new(PrefixCache::new(settings.cache_tokens)),
            prefill: tokio::sync::Mutex::new(()),
            slots: tokio::sync::Semaphore::new(settings.slots),
            decoding: AtomicU64::new(0),
            open_requests: AtomicUsize::new(0),
            loads: LoadSamples::new(settings.load_lag_ms),
            slowdown_percent: AtomicU64::new(100),
            fault: FaultSwitch::default(),
            counters: Counters::default(),
            settings,
        });
        tokio::spawn(sample_load(Arc::clone(&shared)));
        let handler_state = Arc::clone(&shared);
        let server = listener.serve("stand-in", move |request| {
            let shared = Arc::clone(&handler_state);
            async move { shared.handle(request).await }
        });
        Ok(Self {
            shared,
            server,
            announcer,
        })
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Announces this version of its software from now on.
    pub fn announce_version(&self, version: TargetVersion) {
        if let Some(announcer) = &self.announcer {
            announcer.set_version(version);
        }
    }

    /// Announces that it is draining, and waits until no request is running.
    pub async fn shutdown(self) {
        if let Some(announcer) = &self.announcer {
            announcer.drain();
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
        while self.shared.slots.available_permits() < self.shared.settings.slots {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

async fn sample_load(shared: Arc<Shared>) {
    let mut interval = tokio::time::interval(Duration::from_millis(SAMPLE_MS));
    loop {
        interval.tick().await;
        let open_requests = shared.open_requests.load(Ordering::Relaxed);
        shared.loads.record(open_requests);
    }
}

impl Shared {
    async fn handle(self: &Arc<Self>, request: Request<Incoming>) -> Response<EngineBody> {
        let path = request.uri().path().to_string();
        let stream_id = path.strip_prefix("/v1/requests/").map(String::from);
        match (request.method().clone(), path.as_str(), stream_id) {
            (Method::POST, "/v1/chat/completions" | "/v1/completions", _) => {
                self.complete(request).await
            }
            (Method::GET, _, Some(id)) => self.resume(&id, request.uri().query()),
            (Method::DELETE, _, Some(id)) => self.cancel(&id).map(Either::Left),
            (Method::GET, "/load", _) => {
                let load = json!(self.loads.report());
                json(StatusCode::OK, &load).map(Either::Left)
            }
            (Method::GET, "/stats", _) => json(StatusCode::OK, &self.stats()).map(Either::Left),
            (Method::GET, "/starts", _) => {
                let starts = self.starts.lock().expect("no holder panics").clone();
                json(StatusCode::OK, &json!(starts)).map(Either::Left)
            }
            (Method::GET, "/runs", _) => {
                let runs = self.runs.lock().expect("no holder panics").clone();
                json(StatusCode::OK, &json!(runs)).map(Either::Left)
            }
            (Method::PUT, "/orders", _) => self.accept_order(request).await.map(Either::Left),
            (Method::GET, "/orders", _) => {
                let orders = self.orders.lock().expect("no holder panics").clone();
                json(StatusCode::OK, &json!(orders)).map(Either::Left)
            }
            (Method::PUT, "/fault", _) => self.set_fault(request).await.map(Either::Left),
            (Method::PUT, "/slowdown", _) => {
                let percent = request.uri().query().and_then(|query| query.parse().ok());
                self.slowdown_percent
                    .store(percent.unwrap_or(100), Ordering::Relaxed);
                json(StatusCode::OK, &json!({})).map(Either::Left)
            }
            _ => json(StatusCode::NOT_FOUND, &json!({"error": "no such path"})).map(Either::Left),
        }
    }

    async fn set_fault(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let body = request.into_body().collect().await;
        let body = body.map(http_body_util::Collected::to_bytes);
        match self.fault.set_from(&body.unwrap_or_default()) {
            true => json(StatusCode::OK, &json!({})),
            false => json(
                StatusCode::BAD_REQUEST,
                &json!({"error": "this is no fault"}),
            ),
        }
    }

    /// Accepts an order and records it, or rejects one with an outdated fencing number.
    async fn accept_order(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let body = request
            .into_body()
            .collect()
            .await
            .map(http_body_util::Collected::to_bytes);
        let order = body
            .ok()
            .and_then(|body| serde_json::from_slice::<Value>(&body).ok());
        let order = order.unwrap_or_default();
        let mut orders = self.orders.lock().expect("no holder panics");
        let highest = orders
            .iter()
            .filter_map(|order| order["fencing"].as_u64())
            .max();
        if self.settings.checks_fencing && order["fencing"].as_u64() < highest {
            return json(
                StatusCode::CONFLICT,
                &json!({"error": "an old fencing number"}),
            );
        }
        orders.push(order);
        json(StatusCode::OK, &json!({}))
    }

    fn stats(&self) -> Value {
        let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        json!({
            "prompt_tokens": count(&self.counters.prompt_tokens),
            "computed_tokens": count(&self.counters.computed_tokens),
            "cached_tokens": count(&self.counters.cached_tokens),
            "cancelled_prompt_tokens": count(&self.counters.cancelled_prompt_tokens),
            "generated_tokens": count(&self.counters.generated_tokens),
            "completed": count(&self.counters.completed),
            "cancelled": count(&self.counters.cancelled),
        })
    }

    fn stream(&self, id: &str) -> Option<Arc<EngineStream>> {
        self.streams
            .lock()
            .expect("no holder panics")
            .get(id)
            .cloned()
    }

    fn resume(&self, id: &str, query: Option<&str>) -> Response<EngineBody> {
        let offset = query.and_then(|query| query.strip_prefix("offset=")?.parse().ok());
        match self.stream(id) {
            Some(stream) => stream_response(stream, offset.unwrap_or(0)),
            None => json(StatusCode::NOT_FOUND, &json!({"error": "unknown id"})).map(Either::Left),
        }
    }

    fn cancel(&self, id: &str) -> Response<Full<Bytes>> {
        match self.stream(id) {
            Some(stream) => {
                stream.cancel();
                json(StatusCode::OK, &json!({}))
            }
            None => json(StatusCode::NOT_FOUND, &json!({"error": "unknown id"})),
        }
    }
}
