//! Link to the quota accounts of the current leader, and to its paces of targets that state a limit.
//!
//! One task owns the link. When the link breaks, pending charges fail and the accounts count as
//! unreachable.

use crate::{
    charges::{ChargeNumber, FromAccounts, ToAccounts},
    clock,
    control::accounts::ChargeResult,
    link::{self, KeepaliveGuard, LinkReceiver, LinkSender},
    request_limit::RequestLimit,
    units::{CustomerName, TargetName},
};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};
use tokio::{
    sync::{mpsc, oneshot},
    time::timeout,
};

/// Time that a request waits for the leader before the gateway's local share is used.
const REPLY_TIMEOUT_MS: u64 = 100;
/// Time without a reply after which the accounts count as unreachable; a busy leader replies
/// within it.
const UNREACHABLE_AFTER_MS: u64 = 500;
/// Interval at which unreachable accounts are probed.
const PROBE_INTERVAL_MS: u64 = 300;
/// Timeout of a connection attempt to the accounts.
const CONNECT_TIMEOUT_MS: u64 = 200;

/// A requested charge. If it is dropped before the reply arrives, the charge is refunded.
pub struct ChargeRequest<'a> {
    link: &'a AccountLink,
    /// `None` after completion, as a completed receiver must not be polled again.
    charge: Option<oneshot::Receiver<ChargeResult>>,
    sent_ms: u64,
}

/// What the leader is asked for.
#[derive(Clone, Debug)]
pub enum Charge {
    /// Units of a customer's quota.
    Quota {
        /// The customer.
        customer: CustomerName,
        /// Number of units.
        units: u64,
    },
    /// A request to a run of a target that states a limit.
    Target {
        /// The target.
        target: TargetName,
        /// Start time of that run.
        started_unix_ms: u64,
        /// Its limit, as this gateway knows it.
        limit: RequestLimit,
    },
}

impl Charge {
    fn message(&self, number: ChargeNumber, max_wait_ms: u64) -> ToAccounts {
        match self.clone() {
            Self::Quota { customer, units } => ToAccounts::Charge {
                number,
                customer,
                units,
                max_wait_ms,
            },
            Self::Target {
                target,
                started_unix_ms,
                limit,
            } => ToAccounts::ChargeTarget {
                number,
                target,
                started_unix_ms,
                limit,
                max_wait_ms,
            },
        }
    }

    fn refund_message(self) -> ToAccounts {
        match self {
            Self::Quota { customer, units } => ToAccounts::Refund { customer, units },
            Self::Target {
                target,
                started_unix_ms,
                ..
            } => ToAccounts::RefundTarget {
                target,
                started_unix_ms,
            },
        }
    }
}

enum Command {
    Charge {
        accounts: SocketAddr,
        charge: Charge,
        max_wait_ms: u64,
        reply: oneshot::Sender<ChargeResult>,
    },
    Refund(Charge),
}

/// Handle to the task that owns the link.
pub struct AccountLink {
    commands: mpsc::UnboundedSender<Command>,
    /// Time of the first charge without a result since the last one with a result; 0 if there is
    /// none. A charge has no result on a timeout, a failed connection or a reply of an instance
    /// that is not the leader.
    silent_since_ms: AtomicU64,
    last_probe_ms: AtomicU64,
}

impl AccountLink {
    /// Spawns the task; it connects on the first charge.
    pub fn spawn() -> Self {
        let (commands, received) = mpsc::unbounded_channel();
        tokio::spawn(Link::default().run(received));
        Self {
            commands,
            silent_since_ms: AtomicU64::new(0),
            last_probe_ms: AtomicU64::new(0),
        }
    }

    /// Requests a charge from the accounts at this address, for a request that may wait for
    /// `max_wait_ms`. Returns `None` while the accounts are unreachable, except for periodic
    /// probes.
    pub fn request_charge(
        &self,
        accounts: SocketAddr,
        charge: Charge,
        max_wait_ms: u64,
    ) -> Option<ChargeRequest<'_>> {
        let now_ms = clock::boot_ms();
        let silent_since_ms = self.silent_since_ms.load(Ordering::Relaxed);
        if silent_since_ms > 0 && now_ms > silent_since_ms + UNREACHABLE_AFTER_MS {
            if now_ms < self.last_probe_ms.load(Ordering::Relaxed) + PROBE_INTERVAL_MS {
                return None;
            }
            self.last_probe_ms.store(now_ms, Ordering::Relaxed);
        }
        let (reply, result) = oneshot::channel();
        // Sending cannot fail: the task runs as long as the gateway.
        let _ = self.commands.send(Command::Charge {
            accounts,
            charge,
            max_wait_ms,
            reply,
        });
        Some(ChargeRequest {
            link: self,
            charge: Some(result),
            sent_ms: now_ms,
        })
    }

    /// Refunds the charge of a request that was not sent or did not run.
    pub fn refund(&self, charge: Charge) {
        let _ = self.commands.send(Command::Refund(charge));
    }
}

impl ChargeRequest<'_> {
    /// Waits briefly for the reply; the local share may be used instead after that.
    pub async fn wait_briefly(&mut self) -> Option<ChargeResult> {
        self.wait_for_reply(REPLY_TIMEOUT_MS).await
    }

    /// Waits for the reply as long as a busy leader may need.
    pub async fn wait(&mut self) -> Option<ChargeResult> {
        self.wait_for_reply(UNREACHABLE_AFTER_MS).await
    }

    /// Waits for the reply until `wait_ms` after the charge was requested.
    async fn wait_for_reply(&mut self, wait_ms: u64) -> Option<ChargeResult> {
        let until_ms = self.sent_ms + wait_ms;
        let left_ms = until_ms.saturating_sub(clock::boot_ms());
        let reply = match &mut self.charge {
            Some(charge) => timeout(Duration::from_millis(left_ms), charge).await.ok(),
            None => return None,
        };
        if reply.is_some() {
            self.charge = None;
        }
        let charge = reply.and_then(Result::ok);
        let silent_since_ms = &self.link.silent_since_ms;
        match charge {
            Some(_) => silent_since_ms.store(0, Ordering::Relaxed),
            None => {
                let newly_silent = silent_since_ms.compare_exchange(
                    0,
                    self.sent_ms.max(1),
                    Ordering::Relaxed,
                    Ordering::Relaxed,
                );
                if newly_silent.is_ok() {
                    tracing::info!(
                        waited_ms = wait_ms - left_ms.min(wait_ms),
                        "gateway: quota accounts returned no charge result"
                    );
                }
            }
        }
        charge
    }
}

struct OpenConnection {
    address: SocketAddr,
    sender: LinkSender<ToAccounts>,
    receiver: LinkReceiver<FromAccounts>,
}

struct PendingCharge {
    charge: Charge,
    reply: oneshot::Sender<ChargeResult>,
    _keepalive: KeepaliveGuard,
}

#[derive(Default)]
struct Link {
    connection: Option<OpenConnection>,
    pending: HashMap<ChargeNumber, PendingCharge>,
    last_number: u64,
}

impl Link {
    async fn run(mut self, mut commands: mpsc::UnboundedReceiver<Command>) {
        loop {
            let reply = async {
                match &mut self.connection {
                    Some(connection) => connection.receiver.receive().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.handle_command(command).await,
                    None => return,
                },
                reply = reply => match reply {
                    Some(message) => self.handle_message(message),
                    None => self.disconnect(),
                },
            }
        }
    }

    async fn handle_command(&mut self, command: Command) {
        match command {
            Command::Charge {
                accounts,
                charge,
                max_wait_ms,
                reply,
            } => {
                self.connect_to(accounts).await;
                let Some(connection) = &self.connection else {
                    return;
                };
                self.last_number += 1;
                let number = ChargeNumber(self.last_number);
                let message = charge.message(number, max_wait_ms);
                let pending = PendingCharge {
                    charge,
                    reply,
                    _keepalive: connection.sender.keep_alive(),
                };
                self.pending.insert(number, pending);
                self.send(message);
            }
            Command::Refund(charge) => self.send(charge.refund_message()),
        }
    }

    fn send(&mut self, message: ToAccounts) {
        let result = self
            .connection
            .as_ref()
            .map(|connection| connection.sender.try_send(message));
        if matches!(result, Some(Err(_))) {
            self.disconnect();
        }
    }

    fn handle_message(&mut self, message: FromAccounts) {
        match message {
            FromAccounts::Outcome { number, charge } => {
                let Some(pending) = self.pending.remove(&number) else {
                    return;
                };
                let is_charged = matches!(charge, ChargeResult::Charged { .. });
                // The request may have stopped waiting and doesn't use the charge.
                if pending.reply.send(charge).is_err() && is_charged {
                    self.send(pending.charge.refund_message());
                }
            }
            FromAccounts::NotLeader { number } => {
                self.pending.remove(&number);
            }
        }
    }

    fn disconnect(&mut self) {
        if let Some(connection) = self.connection.take() {
            tracing::warn!(
                address = %connection.address, waiting = self.pending.len(),
                "gateway: lost connection to quota accounts"
            );
        }
        self.pending.clear();
    }

    async fn connect_to(&mut self, address: SocketAddr) {
        if self.connection.as_ref().is_some_and(|connection| {
            connection.address == address && !connection.sender.is_closed()
        }) {
            return;
        }
        self.connection = None;
        self.pending.clear();
        let connect_attempt = timeout(
            Duration::from_millis(CONNECT_TIMEOUT_MS),
            link::connect(address),
        );
        match connect_attempt.await {
            Ok(Ok((sender, receiver))) => {
                self.connection = Some(OpenConnection {
                    address,
                    sender,
                    receiver,
                });
            }
            Ok(Err(error)) => {
                tracing::warn!(%address, %error, "gateway: cannot connect to quota accounts");
            }
            Err(_) => {
                tracing::warn!(%address, waited_ms = CONNECT_TIMEOUT_MS, "gateway: cannot connect to quota accounts");
            }
        }
    }
}
