//! An RPC client of the control group that finds the leader.

use super::rpc::*;
use futures::{Stream, StreamExt, stream::FuturesUnordered};
use jsonrpsee::{
    core::ClientError,
    http_client::{HttpClient, HttpClientBuilder},
};
use std::{
    future::Future,
    net::SocketAddr,
    pin::pin,
    sync::{
        Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::time::{Instant, sleep, timeout};

/// Delay before the next attempt, whether at the same instance or at another.
const RETRY_DELAY_MS: u64 = 50;
/// Maximum size of a request or reply, in bytes.
const MAX_MESSAGE_BYTES: u32 = 64 * 1024 * 1024;

/// The error of a call to the leader. A change may or may not be committed.
#[derive(Clone, Debug, derive_more::Display, derive_more::Error)]
pub enum ControlCallError {
    /// No leader replied within this time, in milliseconds.
    #[display("no control instance that leads the group answered within {_0} ms")]
    #[error(ignore)]
    Unavailable(u64),
    /// The leader rejected the call.
    Refused(ControlError),
}

/// A client of the control group. It calls one instance after the other until the leader
/// replies, and opens a new connection after each timeout.
pub struct ControlClient {
    instances: Mutex<Instances>,
    current: AtomicUsize,
    discovers: bool,
}

struct Instances {
    /// The addresses in the settings.
    seeds: Vec<SocketAddr>,
    known: Vec<Instance>,
}

struct Instance {
    address: SocketAddr,
    client: Option<HttpClient>,
}

impl Instances {
    /// Returns whether one of the addresses is new.
    fn set_discovered(&mut self, addresses: &[SocketAddr]) -> bool {
        let Self { seeds, known } = self;
        known.retain(|instance| {
            seeds.contains(&instance.address) || addresses.contains(&instance.address)
        });
        let before = known.len();
        for address in seeds.iter().chain(addresses) {
            if !known.iter().any(|instance| instance.address == *address) {
                known.push(Instance::at(*address));
            }
        }
        known.len() > before
    }
}

impl Instance {
    fn at(address: SocketAddr) -> Self {
        Self {
            address,
            client: None,
        }
    }

    fn client(&mut self, attempt_ms: u64) -> Option<HttpClient> {
        if self.client.is_none() {
            let built = HttpClientBuilder::default()
                .request_timeout(Duration::from_millis(attempt_ms.max(5000) * 2))
                .max_response_size(MAX_MESSAGE_BYTES)
                .max_request_size(MAX_MESSAGE_BYTES)
                .build(format!("http://{}", self.address));
            match built {
                Ok(client) => self.client = Some(client),
                Err(error) => {
                    tracing::warn!(
                        address = %self.address, %error,
                        "control client: failed to create a client"
                    );
                }
            }
        }
        self.client.clone()
    }
}

impl ControlClient {
    /// Creates a client of the instances at these RPC addresses.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        let known = addresses.iter().copied().map(Instance::at).collect();
        Self {
            instances: Mutex::new(Instances {
                seeds: addresses,
                known,
            }),
            current: AtomicUsize::new(0),
            discovers: false,
        }
    }

    /// As [`Self::new`], but also follows hints to, and accepts from [`Self::set_discovered`],
    /// instances at addresses that it was not given.
    pub fn discovering(addresses: Vec<SocketAddr>) -> Self {
        Self {
            discovers: true,
            ..Self::new(addresses)
        }
    }

    /// Replaces the addresses that the client was created with; keeps those that it has discovered.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        let mut instances = self.instances.lock().expect("no holder panics");
        let discovered = instances.known.iter().map(|instance| instance.address);
        let discovered = match self.discovers {
            true => discovered.collect(),
            false => Vec::new(),
        };
        instances.seeds = seeds;
        instances.set_discovered(&discovered);
    }

    /// Replaces the discovered instances by these, if this client discovers instances; keeps
    /// those that it was created with. Returns whether one of them is new.
    pub fn set_discovered(&self, addresses: &[SocketAddr]) -> bool {
        let mut instances = self.instances.lock().expect("no holder panics");
        self.discovers && instances.set_discovered(addresses)
    }

    /// Adds discovered instances, if this client discovers instances; returns whether one of them is
    /// new.
    pub fn add_discovered(&self, addresses: &[SocketAddr]) -> bool {
        let mut instances = self.instances.lock().expect("no holder panics");
        let known = instances.known.iter().map(|instance| instance.address);
        let all: Vec<SocketAddr> = known.chain(addresses.iter().copied()).collect();
        self.discovers && instances.set_discovered(&all)
    }

    /// The address of the current instance and an RPC client of it.
    fn client(&self, attempt_ms: u64) -> (SocketAddr, Option<HttpClient>) {
        let mut instances = self.instances.lock().expect("no holder panics");
        let position = self.current.load(Ordering::Relaxed) % instances.known.len();
        let instance = &mut instances.known[position];
        (instance.address, instance.client(attempt_ms))
    }

    /// Calls every instance concurrently, whether or not it leads. Yields the replies, each with
    /// the address and an RPC client of its sender, in the order of their arrival.
    fn replies<T, F>(
        &self,
        attempt_ms: u64,
        call: impl Fn(HttpClient) -> F,
    ) -> impl Stream<Item = (SocketAddr, HttpClient, T)>
    where
        F: Future<Output = Result<T, ClientError>>,
    {
        let calls: FuturesUnordered<_> = {
            let mut instances = self.instances.lock().expect("no holder panics");
            let known = instances.known.iter_mut();
            let called = known.filter_map(|instance| {
                let (address, client) = (instance.address, instance.client(attempt_ms)?);
                let reply = timeout(Duration::from_millis(attempt_ms), call(client.clone()));
                Some(async move { (address, client, reply.await) })
            });
            called.collect()
        };
        calls.filter_map(move |(address, client, outcome)| async move {
            match outcome {
                Ok(Ok(reply)) => return Some((address, client, reply)),
                Ok(Err(error)) => {
                    tracing::debug!(%address, %error, "control client: call failed");
                }
                Err(_) => tracing::debug!(%address, attempt_ms, "control client: call timed out"),
            }
            None
        })
    }

    /// Calls every instance concurrently, whether or not it leads; returns the replies, each with an
    /// RPC client of its sender, once they are enough or no other is to come.
    pub async fn call_until<T, F>(
        &self,
        attempt_ms: u64,
        call: impl Fn(HttpClient) -> F,
        mut are_enough: impl FnMut(&[(HttpClient, T)]) -> bool,
    ) -> Vec<(HttpClient, T)>
    where
        F: Future<Output = Result<T, ClientError>>,
    {
        let mut replies = pin!(self.replies(attempt_ms, call));
        let mut received = Vec::new();
        while let Some((_, client, reply)) = replies.next().await {
            received.push((client, reply));
            if are_enough(&received) {
                break;
            }
        }
        received
    }

    /// Calls every instance concurrently, whether or not it leads, and passes each reply to
    /// `receive` as it arrives, with the address and an RPC client of its sender.
    pub async fn call_each<T, F>(
        &self,
        attempt_ms: u64,
        call: impl Fn(HttpClient) -> F,
        mut receive: impl FnMut(SocketAddr, HttpClient, T),
    ) where
        F: Future<Output = Result<T, ClientError>>,
    {
        let mut replies = pin!(self.replies(attempt_ms, call));
        while let Some((address, client, reply)) = replies.next().await {
            receive(address, client, reply);
        }
    }

    /// Makes a known instance that leads the current one; returns whether another one was.
    pub fn prefer(&self, leader: SocketAddr) -> bool {
        let instances = self.instances.lock().expect("no holder panics");
        let known = &instances.known;
        let Some(position) = known.iter().position(|known| known.address == leader) else {
            return false;
        };
        self.current.swap(position, Ordering::Relaxed) % known.len() != position
    }

    fn drop_connection(&self, address: SocketAddr) {
        let mut instances = self.instances.lock().expect("no holder panics");
        let mut known = instances.known.iter_mut();
        let instance = known.find(|known| known.address == address);
        if let Some(instance) = instance {
            instance.client = None;
        }
    }

    /// Calls the leader. `attempt_ms` limits each attempt and `total_ms` all of them. Every
    /// attempt sends the same change, which the group deduplicates.
    ///
    /// # Errors
    /// Fails if no leader replies in time, or if it rejects the call.
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
        let mut followed_hint = false;
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
                Some(
                    refusal @ (ControlError::Invalid(_)
                    | ControlError::LaterStartListed
                    | ControlError::InvalidRollout(_)
                    | ControlError::RolloutConflict(_)
                    | ControlError::NoRollout(_)),
                ) => {
                    return Err(ControlCallError::Refused(refusal));
                }
                Some(ControlError::NotLeader(Some(hint)))
                    if self.follow_hint(address, hint.rpc) =>
                {
                    // A hint is followed without delay, but not if the previous attempt followed
                    // one without delay too: instances may hint at each other.
                    followed_hint = !followed_hint;
                    if followed_hint {
                        continue;
                    }
                }
                Some(ControlError::Unresolved) => {}
                Some(ControlError::NotLeader(_)) | None => self.advance_past(address),
            }
            followed_hint = false;
            sleep(Duration::from_millis(RETRY_DELAY_MS).min(left)).await;
        }
    }

    /// Makes the hinted instance the current one; returns false if it is the one just called, or
    /// unknown to a client without discovery.
    fn follow_hint(&self, called: SocketAddr, hint: SocketAddr) -> bool {
        let mut instances = self.instances.lock().expect("no holder panics");
        let known = &mut instances.known;
        let position = known.iter().position(|known| known.address == hint);
        if hint == called || (position.is_none() && !self.discovers) {
            return false;
        }
        let position = position.unwrap_or_else(|| {
            known.push(Instance::at(hint));
            known.len() - 1
        });
        self.current.store(position, Ordering::Relaxed);
        true
    }

    fn advance_past(&self, called: SocketAddr) {
        let instances = self.instances.lock().expect("no holder panics");
        let known = &instances.known;
        let current = self.current.load(Ordering::Relaxed) % known.len();
        if known[current].address == called {
            let next = (current + 1) % known.len();
            self.current.store(next, Ordering::Relaxed);
        }
    }
}
