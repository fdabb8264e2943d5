//! The link to the accounts of customers' quotas, wherever the leader is.
//!
//! One task owns the link. When it breaks, what waits there is told that the accounts are
//! out of reach.

use crate::{
    charges::{ChargeNumber, FromAccounts, ToAccounts},
    clock,
    control::accounts::Charge,
    link::{self, LinkReceiver, LinkSender, LinkWork},
    units::CustomerName,
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

/// How long a caller waits for the leader before its gateway's own part is used.
const REPLY_TIMEOUT_MS: u64 = 100;
/// How long the accounts may be silent before they count as out of reach: a leader that is
/// busy answers within this time.
const UNREACHABLE_AFTER_MS: u64 = 500;
/// How often accounts that are out of reach are asked.
const PROBE_INTERVAL_MS: u64 = 300;
/// How long a connection to the accounts may take to be made.
const CONNECT_TIMEOUT_MS: u64 = 200;

/// A charge that was asked for. If it is dropped first, what is charged is given back.
pub struct ChargeRequest<'a> {
    link: &'a AccountLink,
    /// Taken once it has completed: it may not be waited for again then.
    charge: Option<oneshot::Receiver<Charge>>,
    sent_ms: u64,
}

enum Command {
    Charge {
        accounts: SocketAddr,
        customer: CustomerName,
        units: u64,
        max_wait_ms: u64,
        reply: oneshot::Sender<Charge>,
    },
    GiveBack {
        customer: CustomerName,
        units: u64,
    },
}

/// See the module.
pub struct AccountLink {
    commands: mpsc::UnboundedSender<Command>,
    /// When the first charge was asked for that was not answered in time, if none was
    /// answered since; 0 otherwise.
    silent_since_ms: AtomicU64,
    last_probe_ms: AtomicU64,
}

impl AccountLink {
    /// Starts the task; it connects with the first charge.
    pub fn spawn() -> Self {
        let (commands, received) = mpsc::unbounded_channel();
        tokio::spawn(Link::default().run(received));
        Self {
            commands,
            silent_since_ms: AtomicU64::new(0),
            last_probe_ms: AtomicU64::new(0),
        }
    }

    /// Asks the accounts at this address to charge units to a customer, for a request that may
    /// wait for `patience_ms`; `None` while they are out of reach, but for a probe now and then.
    pub fn ask(
        &self,
        accounts: SocketAddr,
        customer: &CustomerName,
        units: u64,
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
        let (reply, charge) = oneshot::channel();
        // The task ends only with the gateway.
        let _ = self.commands.send(Command::Charge {
            accounts,
            customer: customer.clone(),
            units,
            max_wait_ms,
            reply,
        });
        Some(ChargeRequest {
            link: self,
            charge: Some(charge),
            sent_ms: now_ms,
        })
    }

    /// Gives back units of a request that did not run.
    pub fn refund(&self, customer: &CustomerName, units: u64) {
        let customer = customer.clone();
        let _ = self.commands.send(Command::GiveBack { customer, units });
    }
}

impl ChargeRequest<'_> {
    /// Waits a little for the charge: while an own part may be used meanwhile.
    pub async fn soon(&mut self) -> Option<Charge> {
        self.wait_until(REPLY_TIMEOUT_MS).await
    }

    /// Waits as long as a busy leader may take.
    pub async fn patiently(&mut self) -> Option<Charge> {
        self.wait_until(UNREACHABLE_AFTER_MS).await
    }

    /// Waits until so long after it was asked for.
    async fn wait_until(&mut self, wait_ms: u64) -> Option<Charge> {
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
                        "gateway: accounts of quotas are silent"
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
    customer: CustomerName,
    units: u64,
    reply: oneshot::Sender<Charge>,
    _work: LinkWork,
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
                customer,
                units,
                max_wait_ms,
                reply,
            } => {
                self.connect_to(accounts).await;
                let Some(connection) = &self.connection else {
                    return;
                };
                self.last_number += 1;
                let number = ChargeNumber(self.last_number);
                let message = ToAccounts::Charge {
                    number,
                    customer: customer.clone(),
                    units,
                    patience_ms: max_wait_ms,
                };
                let pending = PendingCharge {
                    customer,
                    units,
                    reply,
                    _work: connection.sender.work(),
                };
                self.pending.insert(number, pending);
                self.send(message);
            }
            Command::GiveBack { customer, units } => {
                self.send(ToAccounts::GiveBack { customer, units });
            }
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
            FromAccounts::Told { number, charge } => {
                let Some(pending) = self.pending.remove(&number) else {
                    return;
                };
                let is_charged = matches!(charge, Charge::Charged { .. });
                // Who asked may have stopped waiting, and does not go by it.
                if pending.reply.send(charge).is_err() && is_charged {
                    let PendingCharge {
                        customer, units, ..
                    } = pending;
                    self.send(ToAccounts::GiveBack { customer, units });
                }
            }
            FromAccounts::NotLeading { number } => {
                self.pending.remove(&number);
            }
        }
    }

    fn disconnect(&mut self) {
        if let Some(connection) = self.connection.take() {
            tracing::warn!(
                address = %connection.address, waiting = self.pending.len(),
                "gateway: link to accounts lost"
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
                tracing::warn!(%address, %error, "gateway: no link to accounts");
            }
            Err(_) => {
                tracing::warn!(%address, waited_ms = CONNECT_TIMEOUT_MS, "gateway: no link to accounts");
            }
        }
    }
}
