//! Connection pool for the targets.

use super::target_stream::TargetStream;
use crate::{
    control::directory::TargetEntry,
    target_run::TargetRun,
    verdict::{Reason, Verdict},
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap, Request, Response,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
    header,
};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant},
};
use tokio::{net::TcpStream, task::JoinHandle, time::timeout};

/// Connect timeout: a few round trips, one of them with a lost packet.
const CONNECT_TIMEOUT_MS: u64 = 400;
/// Time in which a target that ended refuses a connection: a few round trips.
const CRASH_CHECK_TIMEOUT_MS: u64 = 100;
/// TCP user timeout. It also ends connections whose peer only does not read, so it is far above the
/// time for which a sound peer is silent; partitions are bounded by silence timeouts and deadlines.
const ACK_TIMEOUT_MS: u64 = 10_000;
/// Idle time before the first TCP keep-alive probe, and interval of the probes.
const KEEPALIVE_INTERVAL_MS: u64 = 1000;
/// Idle timeout if the target doesn't state one.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 4000;
/// Margin by which an idle connection is discarded before the target closes it.
const IDLE_MARGIN_MS: u64 = 700;
/// Time for which connections to a target that answered a request without its id are not reused.
const REUSE_SUSPENSION_MS: u64 = 10_000;

/// A connection to a target. Dropping it closes the connection and cancels the request that
/// runs on it; the connection is then reset, and what has not reached the target never does.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    stream: TargetStream,
    idle_timeout_ms: u64,
    last_used: Instant,
    /// Whether an earlier request was sent on it.
    is_reused: bool,
    /// Whether it was kept idle, so that its target may have closed it meanwhile.
    is_pooled: bool,
    /// Whether a request was sent on it whose response has not been read completely.
    is_in_progress: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.is_in_progress {
            // An orderly close would go on to deliver the request, seconds later if the link is cut.
            self.stream.reset_on_close();
        }
        self.driver.abort();
    }
}

/// Connection that a request is sent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionKind {
    /// One that was kept, if there is one.
    KeptOrNew,
    /// One that carried no request before.
    New,
}

/// Failure of a call to a target.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{reason}: {error}")]
pub struct CallError {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Machine-readable reason.
    pub reason: Reason,
    /// Description of the failure.
    #[error(not(source))]
    pub error: String,
}

/// Connections that are kept for further requests.
#[derive(Default)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<TargetRun, Vec<Connection>>>,
    /// Targets whose connections are not reused, and when each last answered a request without
    /// its id.
    suspended: Mutex<HashMap<TargetRun, Instant>>,
}

impl ConnectionPool {
    /// Sends a request, on a connection of this kind, and waits for the head of its response.
    /// Nothing is sent if `has_departed` tells right before that the target gets no new requests.
    ///
    /// # Errors
    /// Returns an error with the verdict "not run" if nothing was sent, "may have run" otherwise.
    pub async fn call(
        &self,
        target: &TargetEntry,
        kind: ConnectionKind,
        request: Request<Full<Bytes>>,
        has_departed: impl Fn() -> bool,
    ) -> Result<(Response<Incoming>, Connection), CallError> {
        let connection = self.connect(target, kind).await?;
        self.call_on(target, connection, request, has_departed)
            .await
    }

    /// Returns a connection on which nothing is in progress.
    ///
    /// # Errors
    /// Returns an error with the verdict "not run" if the target cannot be reached.
    pub async fn connect(
        &self,
        target: &TargetEntry,
        kind: ConnectionKind,
    ) -> Result<Connection, CallError> {
        let kept = match kind {
            ConnectionKind::KeptOrNew => self.take_idle(target),
            ConnectionKind::New => None,
        };
        match kept {
            Some(connection) => Ok(connection),
            None => connect(target).await,
        }
    }

    /// Like [`Self::call`], on a connection that stands.
    ///
    /// # Errors
    /// As for [`Self::call`].
    pub async fn call_on(
        &self,
        target: &TargetEntry,
        mut connection: Connection,
        mut request: Request<Full<Bytes>>,
        has_departed: impl Fn() -> bool,
    ) -> Result<(Response<Incoming>, Connection), CallError> {
        loop {
            if has_departed() {
                return Err(CallError {
                    verdict: Verdict::NotRun,
                    reason: Reason::Leaving,
                    error: "the target left before the request was sent".into(),
                });
            }
            // What has arrived before the request is sent is no response to it.
            if connection.stream.has_input() {
                if !connection.is_pooled {
                    return Err(CallError {
                        verdict: Verdict::NotRun,
                        reason: Reason::LinkLost,
                        error: "the target sent bytes or closed before it got a request".into(),
                    });
                }
                connection = self.connect(target, ConnectionKind::KeptOrNew).await?;
                continue;
            }
            connection.is_in_progress = true;
            match connection.sender.try_send_request(request).await {
                Ok(response) => {
                    connection.idle_timeout_ms = idle_timeout_ms(response.headers());
                    return Ok((response, connection));
                }
                Err(mut failure) => match failure.take_message() {
                    // The idle connection closed before anything was sent; a new one is less
                    // likely to.
                    Some(unsent) if connection.is_pooled => {
                        request = unsent;
                        connection = self.connect(target, ConnectionKind::KeptOrNew).await?;
                    }
                    Some(_) => {
                        return Err(CallError {
                            verdict: Verdict::NotRun,
                            reason: Reason::LinkLost,
                            error: failure.error().to_string(),
                        });
                    }
                    None => {
                        return Err(CallError {
                            verdict: Verdict::MayHaveRun,
                            reason: Reason::TargetFailed,
                            error: failure.error().to_string(),
                        });
                    }
                },
            }
        }
    }

    /// Returns a connection to the pool after its response has been read completely.
    pub fn release(&self, target: &TargetEntry, mut connection: Connection) {
        connection.last_used = Instant::now();
        connection.is_reused = true;
        connection.is_in_progress = false;
        self.keep(target, connection);
    }

    /// Keeps a connection on which nothing is in progress for further requests.
    pub fn keep(&self, target: &TargetEntry, mut connection: Connection) {
        connection.is_pooled = true;
        let is_kept = connection.idle_timeout_ms > 0 && !self.is_reuse_suspended(target);
        if is_kept && !connection.sender.is_closed() {
            self.idle()
                .entry(TargetRun::of(target))
                .or_default()
                .push(connection);
        }
    }

    /// Sends each request to the target on a new connection for some time: there a response without
    /// an id belongs to the request.
    pub fn suspend_reuse(&self, target: &TargetEntry) {
        let earlier = self
            .suspended()
            .insert(TargetRun::of(target), Instant::now());
        self.idle().remove(&TargetRun::of(target));
        if earlier.is_none() {
            tracing::warn!(
                target = %target.name, for_ms = REUSE_SUSPENSION_MS,
                "gateway: target answers without an id, its connections are not reused"
            );
        }
    }

    fn is_reuse_suspended(&self, target: &TargetEntry) -> bool {
        self.suspended()
            .get(&TargetRun::of(target))
            .is_some_and(is_recent)
    }

    /// Closes idle connections that have timed out.
    pub fn close_expired(&self) {
        self.suspended().retain(|_, at| is_recent(at));
        self.idle().retain(|_, connections| {
            connections.retain(Connection::is_usable);
            !connections.is_empty()
        });
    }

    /// Removes the most recently used connection from the pool.
    fn take_idle(&self, target: &TargetEntry) -> Option<Connection> {
        let mut idle = self.idle();
        let connections = idle.get_mut(&TargetRun::of(target))?;
        while let Some(connection) = connections.pop() {
            if connection.is_usable() && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    fn idle(&self) -> MutexGuard<'_, HashMap<TargetRun, Vec<Connection>>> {
        self.idle.lock().expect("no holder panics")
    }

    fn suspended(&self) -> MutexGuard<'_, HashMap<TargetRun, Instant>> {
        self.suspended.lock().expect("no holder panics")
    }
}

fn is_recent(suspended_at: &Instant) -> bool {
    suspended_at.elapsed() < Duration::from_millis(REUSE_SUSPENSION_MS)
}

impl Connection {
    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    /// Returns an error if the connection breaks off.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, hyper::Error> {
        self.is_in_progress = true;
        let response = self.sender.send_request(request).await?;
        self.idle_timeout_ms = idle_timeout_ms(response.headers());
        Ok(response)
    }

    /// Returns whether another request can be sent on the connection.
    pub fn can_be_reused(&self) -> bool {
        self.idle_timeout_ms > 0 && !self.sender.is_closed()
    }

    /// Returns whether an earlier request was sent on the connection.
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    fn is_usable(&self) -> bool {
        let unused_ms = self.last_used.elapsed().as_millis() as u64;
        !self.sender.is_closed() && unused_ms < self.idle_timeout_ms
    }
}

/// Returns whether nothing listens at an address.
pub async fn refuses_connections(address: SocketAddr) -> bool {
    let connect_attempt = TcpStream::connect(address);
    let result = timeout(
        Duration::from_millis(CRASH_CHECK_TIMEOUT_MS),
        connect_attempt,
    )
    .await;
    matches!(result, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
}

/// Opens a connection to an address.
///
/// # Errors
/// Returns an error of the kind [`io::ErrorKind::ConnectionRefused`] if nothing listens there.
pub async fn open(address: SocketAddr) -> io::Result<Connection> {
    let stream = open_stream(address).await?;
    handshake(stream).await.map_err(io::Error::other)
}

async fn open_stream(address: SocketAddr) -> io::Result<TcpStream> {
    let connect_attempt = TcpStream::connect(address);
    let result = timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), connect_attempt).await;
    result.unwrap_or_else(|_| {
        let message = format!("no connection within {CONNECT_TIMEOUT_MS} ms");
        Err(io::Error::new(io::ErrorKind::TimedOut, message))
    })
}

async fn connect(target: &TargetEntry) -> Result<Connection, CallError> {
    let stream = open_stream(target.address).await.map_err(not_connected)?;
    handshake(stream).await
}

fn not_connected(error: io::Error) -> CallError {
    CallError {
        verdict: Verdict::NotRun,
        reason: Reason::LinkLost,
        error: format!("cannot connect: {error}"),
    }
}

async fn handshake(stream: TcpStream) -> Result<Connection, CallError> {
    configure_socket(&stream);
    let stream = TargetStream::new(stream);
    let handshake = http1::handshake(TokioIo::new(stream.clone())).await;
    let (sender, connection) = handshake.map_err(|error| not_connected(io::Error::other(error)))?;
    let driver = tokio::spawn(async move {
        // An error is reported by the call that fails because of it.
        let _ = connection.await;
    });
    Ok(Connection {
        sender,
        driver,
        stream,
        idle_timeout_ms: DEFAULT_IDLE_TIMEOUT_MS,
        last_used: Instant::now(),
        is_reused: false,
        is_pooled: false,
        is_in_progress: false,
    })
}

/// Sets TCP options that detect a peer that disappeared without closing the connection.
pub fn configure_socket(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(Duration::from_millis(KEEPALIVE_INTERVAL_MS))
        .with_interval(Duration::from_millis(KEEPALIVE_INTERVAL_MS));
    let result = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_keepalive(&probes))
        .and_then(|()| socket.set_tcp_user_timeout(Some(Duration::from_millis(ACK_TIMEOUT_MS))));
    if let Err(error) = result {
        tracing::debug!(%error, "gateway: socket options not set");
    }
}

/// Returns the idle timeout that the target's response headers state.
fn idle_timeout_ms(headers: &HeaderMap) -> u64 {
    let header_text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let is_closing =
        header_text(header::CONNECTION).is_some_and(|value| value.eq_ignore_ascii_case("close"));
    let stated_s = header_text(header::HeaderName::from_static("keep-alive")).and_then(|value| {
        let timeout = value
            .split(',')
            .find_map(|part| part.trim().strip_prefix("timeout="));
        timeout.and_then(|seconds| seconds.parse::<u64>().ok())
    });
    match stated_s {
        _ if is_closing => 0,
        Some(seconds) => seconds.saturating_mul(1000).saturating_sub(IDLE_MARGIN_MS),
        None => DEFAULT_IDLE_TIMEOUT_MS,
    }
}
