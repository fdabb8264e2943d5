//! Calls the control group's leader, wherever it is.

use super::rpc::*;
use futures::{StreamExt, stream::FuturesUnordered};
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
    seeds: Vec<SocketAddr>,
    instances: Mutex<Vec<Instance>>,
    current: AtomicUsize,
    discovers: bool,
}

struct Instance {
    address: SocketAddr,
    client: Option<HttpClient>,
}

impl Instance {
    fn client(&mut self, attempt_ms: u64) -> Option<HttpClient> {
        if self.client.is_none() {
            let built = HttpClientBuilder::default()
                .request_timeout(Duration::from_millis(attempt_ms.max(5000) * 2))
                .max_response_size(REPLY_LIMIT_BYTES)
                .max_request_size(REPLY_LIMIT_BYTES)
                .build(format!("http://{}", self.address));
            match built {
                Ok(client) => self.client = Some(client),
                Err(error) => {
                    tracing::warn!(address = %self.address, %error, "control client: not usable");
                }
            }
        }
        self.client.clone()
    }
}

impl ControlClient {
    /// A client of the instances at these RPC addresses.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        let instance = |address: &SocketAddr| Instance {
            address: *address,
            client: None,
        };
        Self {
            instances: Mutex::new(addresses.iter().map(instance).collect()),
            seeds: addresses,
            current: AtomicUsize::new(0),
            discovers: false,
        }
    }

    /// As [`Self::new`], but asks the leader also at an address that it was not given, as one
    /// of them refers to it.
    pub fn discovering(addresses: Vec<SocketAddr>) -> Self {
        Self {
            discovers: true,
            ..Self::new(addresses)
        }
    }

    /// Asks these instances from now on, besides those that it was made with, if instances
    /// find each other; returns whether one of them is new.
    pub fn learn(&self, addresses: &[SocketAddr]) -> bool {
        if !self.discovers {
            return false;
        }
        let mut instances = self.instances.lock().expect("no holder panics");
        let wanted =
            |address: &SocketAddr| self.seeds.contains(address) || addresses.contains(address);
        instances.retain(|instance| wanted(&instance.address));
        let before = instances.len();
        for address in self.seeds.iter().chain(addresses) {
            if !instances.iter().any(|known| known.address == *address) {
                instances.push(Instance {
                    address: *address,
                    client: None,
                });
            }
        }
        instances.len() > before
    }

    /// The instance to ask next and a client of it.
    fn client(&self, attempt_ms: u64) -> (SocketAddr, Option<HttpClient>) {
        let mut instances = self.instances.lock().expect("no holder panics");
        let position = self.current.load(Ordering::Relaxed) % instances.len();
        let instance = &mut instances[position];
        (instance.address, instance.client(attempt_ms))
    }

    /// Asks every instance at once, led or not; returns the first reply that `useful` takes,
    /// and a client of the instance that it came from.
    pub async fn ask_all<T, F>(
        &self,
        attempt_ms: u64,
        call: impl Fn(HttpClient) -> F,
        useful: impl Fn(&T) -> bool,
    ) -> Option<(HttpClient, T)>
    where
        F: Future<Output = Result<T, ClientError>>,
    {
        let mut calls: FuturesUnordered<_> = {
            let mut instances = self.instances.lock().expect("no holder panics");
            let clients = instances.iter_mut();
            clients
                .filter_map(|instance| instance.client(attempt_ms))
                .map(|client| {
                    let asked = timeout(Duration::from_millis(attempt_ms), call(client.clone()));
                    async move { (client, asked.await) }
                })
                .collect()
        };
        while let Some((client, outcome)) = calls.next().await {
            match outcome {
                Ok(Ok(reply)) if useful(&reply) => return Some((client, reply)),
                Ok(Ok(_)) => {}
                Ok(Err(error)) => tracing::debug!(%error, "control client: no reply"),
                Err(_) => tracing::debug!(attempt_ms, "control client: no reply in time"),
            }
        }
        None
    }

    fn drop_connection(&self, address: SocketAddr) {
        let mut instances = self.instances.lock().expect("no holder panics");
        let instance = instances.iter_mut().find(|known| known.address == address);
        if let Some(instance) = instance {
            instance.client = None;
        }
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
        let mut hinted = false;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(ControlCallError::Unavailable(total_ms));
            }
            let limit = left.min(Duration::from_millis(attempt_ms));
            let (address, client) = self.client(attempt_ms);
            let outcome = match client {
                Some(client) => timeout(limit, call(client)).await.ok(),
                None => None,
            };
            let error = match outcome {
                Some(Ok(value)) => return Ok(value),
                Some(Err(ClientError::Call(error))) => ControlError::from_rpc(&error),
                Some(Err(_)) | None => {
                    self.drop_connection(address);
                    None
                }
            };
            match error {
                Some(invalid @ ControlError::Invalid(_)) => {
                    return Err(ControlCallError::Refused(invalid));
                }
                Some(ControlError::NotLeader(Some(hint))) if self.turn_to(address, hint.rpc) => {
                    // Followed at once, unless instances refer to each other.
                    hinted = !hinted;
                    if hinted {
                        continue;
                    }
                }
                Some(ControlError::Unresolved) => {}
                Some(ControlError::NotLeader(_)) | None => self.turn_from(address),
            }
            hinted = false;
            sleep(Duration::from_millis(RETRY_MS).min(left)).await;
        }
    }

    /// Asks the hinted instance next; returns whether it is another one that may be asked.
    fn turn_to(&self, asked: SocketAddr, hint: SocketAddr) -> bool {
        let mut instances = self.instances.lock().expect("no holder panics");
        let known = instances.iter().position(|known| known.address == hint);
        if hint == asked || (known.is_none() && !self.discovers) {
            return false;
        }
        let hinted = known.unwrap_or_else(|| {
            instances.push(Instance {
                address: hint,
                client: None,
            });
            instances.len() - 1
        });
        self.current.store(hinted, Ordering::Relaxed);
        true
    }

    fn turn_from(&self, asked: SocketAddr) {
        let instances = self.instances.lock().expect("no holder panics");
        let current = self.current.load(Ordering::Relaxed) % instances.len();
        if instances[current].address == asked {
            let next = (current + 1) % instances.len();
            self.current.store(next, Ordering::Relaxed);
        }
    }
}
