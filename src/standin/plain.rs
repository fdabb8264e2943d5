//! Simulated plain service with a non-idempotent operation. It counts the runs of each
//! idempotency key and request id.

use super::{Announcer, FaultKind, FaultSwitch, json};
use crate::{
    agent::{Announcement, REQUEST_ID_HEADER, STARTED_HEADER},
    control::replica::unix_ms,
    units::*,
};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, StatusCode, body::Incoming, service::service_fn};
use hyper_util::rt::TokioIo;
use serde_json::json;
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::net::TcpListener;

/// Path at which it tells when it started.
const IDENTITY_PATH: &str = "/started";

/// Configuration of a stand-in plain service.
#[derive(Clone, Debug)]
pub struct PlainServiceSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Announcement address of its agent; without one it does not announce itself.
    pub announce: Option<SocketAddr>,
    /// Service that it runs.
    pub service: ServiceName,
    /// Duration of a request, in milliseconds.
    pub delay_ms: u64,
    /// Maximum number of concurrent requests.
    pub slots: usize,
    /// Closes the connection instead of sending every n-th response; 0 closes none.
    pub break_every: u64,
}

#[derive(Default)]
struct Shared {
    started_unix_ms: u64,
    delay_ms: u64,
    break_every: u64,
    answered: AtomicU64,
    running: AtomicU64,
    fault: FaultSwitch,
    by_key: Mutex<BTreeMap<String, u64>>,
    by_request: Mutex<BTreeMap<String, u64>>,
}

/// A running stand-in plain service.
pub struct PlainService {
    shared: Arc<Shared>,
    address: SocketAddr,
    announcer: Option<Announcer>,
}

impl PlainService {
    /// Binds the address, announces itself and starts.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub async fn bind(settings: PlainServiceSettings) -> io::Result<Self> {
        let listener = TcpListener::bind(settings.listen).await?;
        let address = listener.local_addr()?;
        let started_unix_ms = unix_ms();
        let announcer = settings.announce.map(|agent| {
            let announcement = Announcement {
                service: settings.service.clone(),
                address,
                slots: settings.slots,
                kv_tokens: TokenCount(u64::MAX / 4),
                is_engine: false,
                checks_fencing: false,
                leaving: false,
                version: TargetVersion::default(),
                started_unix_ms: Some(started_unix_ms),
                identity_path: Some(IDENTITY_PATH.into()),
            };
            Announcer::spawn(agent, announcement)
        });
        let (delay_ms, break_every) = (settings.delay_ms, settings.break_every);
        let shared = Arc::new(Shared {
            started_unix_ms,
            delay_ms,
            break_every,
            ..Shared::default()
        });
        tokio::spawn(serve(listener, Arc::clone(&shared)));
        Ok(Self {
            shared,
            address,
            announcer,
        })
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
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
        while self.shared.running.load(Ordering::Relaxed) > 0 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let stream = crate::accept::accept(&listener, "stand-in").await;
        let shared = Arc::clone(&shared);
        let service = service_fn(move |request| {
            let shared = Arc::clone(&shared);
            async move {
                let response = shared.handle(request).await;
                match shared.drops_connection(&response) {
                    true => Err(io::Error::other("connection closed by configuration")),
                    false => Ok(response),
                }
            }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(connection);
    }
}

impl Shared {
    /// Whether the connection is to be closed instead of sending this response.
    fn drops_connection(&self, response: &Response<Full<Bytes>>) -> bool {
        let created = response.status() == StatusCode::CREATED;
        created && self.break_every > 0 && {
            let number = self.answered.fetch_add(1, Ordering::Relaxed) + 1;
            number.is_multiple_of(self.break_every)
        }
    }

    async fn handle(self: &Arc<Self>, request: Request<Incoming>) -> Response<Full<Bytes>> {
        match (request.method().clone(), request.uri().path()) {
            (Method::GET, "/runs") => {
                let by_key = self.by_key.lock().expect("no holder panics").clone();
                let by_request = self.by_request.lock().expect("no holder panics").clone();
                json(
                    StatusCode::OK,
                    &json!({"by_key": by_key, "by_request": by_request}),
                )
            }
            (Method::GET, IDENTITY_PATH) => {
                let mut response = json(StatusCode::OK, &json!({}));
                let headers = response.headers_mut();
                headers.insert(STARTED_HEADER, self.started_unix_ms.into());
                response
            }
            (Method::PUT, "/fault") => {
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
            (Method::POST, _) => {
                let shared = Arc::clone(self);
                let run = tokio::spawn(async move { shared.run(request).await });
                run.await
                    .unwrap_or_else(|_| json(StatusCode::BAD_GATEWAY, &json!({})))
            }
            (_, path) => {
                let id = request
                    .headers()
                    .get(REQUEST_ID_HEADER)
                    .and_then(|value| value.to_str().ok());
                let id = id.unwrap_or_default().to_string();
                *self
                    .by_request
                    .lock()
                    .expect("no holder panics")
                    .entry(id)
                    .or_default() += 1;
                json(StatusCode::OK, &json!({"path": path}))
            }
        }
    }

    /// Runs the operation to its end even if the caller has disconnected, as a filing does.
    async fn run(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let header = |name: &str| {
            let value = request
                .headers()
                .get(name)
                .and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_string()
        };
        let (key, id) = (header("idempotency-key"), header(REQUEST_ID_HEADER));
        let path = request.uri().path().to_string();
        let in_progress = self.running.fetch_add(1, Ordering::Relaxed) + 1;
        *self
            .by_key
            .lock()
            .expect("no holder panics")
            .entry(key.clone())
            .or_default() += 1;
        *self
            .by_request
            .lock()
            .expect("no holder panics")
            .entry(id.clone())
            .or_default() += 1;
        let body = request
            .into_body()
            .collect()
            .await
            .map(http_body_util::Collected::to_bytes);
        let crc = crc32fast::hash(&body.unwrap_or_default());
        tokio::time::sleep(Duration::from_millis(self.delay_ms)).await;
        let fault = self.fault.apply(in_progress, &path).await;
        self.running.fetch_sub(1, Ordering::Relaxed);
        if fault == Some(FaultKind::Fail) {
            let error = json!({"error": "a fault of this version"});
            return json(StatusCode::INTERNAL_SERVER_ERROR, &error);
        }
        let result = json!({"path": path, "key": key, "request": id, "body_crc": crc});
        json(StatusCode::CREATED, &result)
    }
}
