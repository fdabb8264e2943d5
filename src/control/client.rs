//! Calls the control group's leader, wherever it is.

use super::rpc::*;
use jsonrpsee::{
    core::ClientError,
    http_client::{HttpClient, HttpClientBuilder},
};
use std::{
    future::Future,
    net::SocketAddr,
    sync::{
        Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::time::{Instant, sleep, timeout};

/// How long to wait before asking the next instance.
const RETRY_MS: u64 = 50;
/// The largest reply, in bytes.
const REPLY_LIMIT_BYTES: u32 = 64 * 1024 * 1024;

/// No leader answered in time. A change may or may not be committed.
#[derive(Clone, Debug, derive_more::Display, derive_more::Error)]
pub enum ControlCallError {
    /// No instance that leads answered before the time was up.
    #[display("no control instance that leads the group answered within {_0} ms")]
    #[error(ignore)]
    Unavailable(u64),
    /// The leader refused.
    Refused(ControlError),
}

/// A client of the control group. It asks one instance after the other until
/// one that leads answers, and opens a new connection after each time-out.
pub struct ControlClient {
    addresses: Vec<SocketAddr>,
    clients: Mutex<Vec<Option<HttpClient>>>,
    current: AtomicUsize,
}

impl ControlClient {
    /// A client of the instances at these RPC addresses.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        let clients = Mutex::new(addresses.iter().map(|_| None).collect());
        Self {
            addresses,
            clients,
            current: AtomicUsize::new(0),
        }
    }

    fn client(&self, position: usize, attempt_ms: u64) -> Option<HttpClient> {
        let mut clients = self.clients.lock().expect("no holder panics");
        let slot = &mut clients[position];
        if slot.is_none() {
            let url = format!("http://{}", self.addresses[position]);
            *slot = HttpClientBuilder::default()
                .request_timeout(Duration::from_millis(attempt_ms.max(5000) * 2))
                .max_response_size(REPLY_LIMIT_BYTES)
                .max_request_size(REPLY_LIMIT_BYTES)
                .build(url)
                .ok();
        }
        slot.clone()
    }

    fn drop_connection(&self, position: usize) {
        self.clients.lock().expect("no holder panics")[position] = None;
    }

    /// Calls the leader. `attempt_ms` bounds each try and `total_ms` all of
    /// them; every try sends the same change, which the group recognises.
    ///
    /// # Errors
    /// Fails if no leader answers in time, or if it refuses.
    pub async fn call<T, F>(
        &self,
        attempt_ms: u64,
        total_ms: u64,
        call: impl Fn(HttpClient) -> F,
    ) -> Result<T, ControlCallError>
    where
        F: Future<Output = Result<T, ClientError>>,
    {
        let deadline = Instant::now() + Duration::from_millis(total_ms);
        loop {
            let position = self.current.load(Ordering::Relaxed) % self.addresses.len();
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(ControlCallError::Unavailable(total_ms));
            }
            let limit = left.min(Duration::from_millis(attempt_ms));
            let outcome = match self.client(position, attempt_ms) {
                Some(client) => timeout(limit, call(client)).await.ok(),
                None => None,
            };
            let error = match outcome {
                Some(Ok(value)) => return Ok(value),
                Some(Err(ClientError::Call(error))) => ControlError::from_rpc(&error),
                Some(Err(_)) | None => {
                    self.drop_connection(position);
                    None
                }
            };
            match error {
                Some(invalid @ ControlError::Invalid(_)) => {
                    return Err(ControlCallError::Refused(invalid));
                }
                Some(ControlError::NotLeader(Some(hint))) => self.turn_to(position, &hint),
                Some(ControlError::Unresolved) => {}
                Some(ControlError::NotLeader(None)) | None => self.turn_from(position),
            }
            sleep(Duration::from_millis(RETRY_MS).min(left)).await;
        }
    }

    /// The instance asked next, for messages.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    fn turn_to(&self, position: usize, hint: &str) {
        let hinted = self
            .addresses
            .iter()
            .position(|address| address.to_string() == hint);
        match hinted {
            Some(hinted) if hinted != position => self.current.store(hinted, Ordering::Relaxed),
            _ => self.turn_from(position),
        }
    }

    fn turn_from(&self, position: usize) {
        let next = (position + 1) % self.addresses.len();
        let _ = self
            .current
            .compare_exchange(position, next, Ordering::Relaxed, Ordering::Relaxed);
    }
}
