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

/// How long the leader may take to answer: a caller waits meanwhile.
const ANSWER_MS: u64 = 100;
/// How long accounts that did not answer are not asked again.
const AWAY_MS: u64 = 300;

enum Command {
    Charge {
        accounts: SocketAddr,
        customer: CustomerName,
        units: u64,
        told: oneshot::Sender<Charge>,
    },
    GiveBack {
        customer: CustomerName,
        units: u64,
    },
}

/// See the module.
pub struct AccountLink {
    commands: mpsc::UnboundedSender<Command>,
    away_until_ms: AtomicU64,
}

impl AccountLink {
    /// Starts the task; it connects with the first charge.
    pub fn spawn() -> Self {
        let (commands, received) = mpsc::unbounded_channel();
        tokio::spawn(Link::default().run(received));
        Self {
            commands,
            away_until_ms: AtomicU64::new(0),
        }
    }

    /// Charges units to a customer at the accounts at this address; `None` if they cannot be
    /// reached.
    pub async fn charge(
        &self,
        accounts: SocketAddr,
        customer: &CustomerName,
        units: u64,
    ) -> Option<Charge> {
        if clock::boot_ms() < self.away_until_ms.load(Ordering::Relaxed) {
            return None;
        }
        let (told, charge) = oneshot::channel();
        // The task ends only with the gateway.
        let _ = self.commands.send(Command::Charge {
            accounts,
            customer: customer.clone(),
            units,
            told,
        });
        let charge = timeout(Duration::from_millis(ANSWER_MS), charge).await;
        let charge = charge.ok().and_then(Result::ok);
        if charge.is_none() {
            let away_until_ms = clock::boot_ms() + AWAY_MS;
            self.away_until_ms.store(away_until_ms, Ordering::Relaxed);
            tracing::info!(%accounts, away_ms = AWAY_MS, "gateway: accounts of quotas not reached");
        }
        charge
    }

    /// Gives back units of a request that did not run.
    pub fn give_back(&self, customer: &CustomerName, units: u64) {
        let customer = customer.clone();
        let _ = self.commands.send(Command::GiveBack { customer, units });
    }
}

struct OpenLink {
    address: SocketAddr,
    sender: LinkSender<ToAccounts>,
    receiver: LinkReceiver<FromAccounts>,
}

struct Pending {
    customer: CustomerName,
    units: u64,
    told: oneshot::Sender<Charge>,
    _work: LinkWork,
}

#[derive(Default)]
struct Link {
    open: Option<OpenLink>,
    pending: HashMap<ChargeNumber, Pending>,
    charges: u64,
}

impl Link {
    async fn run(mut self, mut commands: mpsc::UnboundedReceiver<Command>) {
        loop {
            let told = async {
                match &mut self.open {
                    Some(open) => open.receiver.receive().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.carry_out(command).await,
                    None => return,
                },
                told = told => match told {
                    Some(message) => self.pass_on(message),
                    None => self.lose(),
                },
            }
        }
    }

    async fn carry_out(&mut self, command: Command) {
        match command {
            Command::Charge {
                accounts,
                customer,
                units,
                told,
            } => {
                self.turn_to(accounts).await;
                let Some(open) = &self.open else {
                    return;
                };
                self.charges += 1;
                let number = ChargeNumber(self.charges);
                let message = ToAccounts::Charge {
                    number,
                    customer: customer.clone(),
                    units,
                };
                let pending = Pending {
                    customer,
                    units,
                    told,
                    _work: open.sender.work(),
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
        let sent = self.open.as_ref().map(|open| open.sender.try_send(message));
        if matches!(sent, Some(Err(_))) {
            self.lose();
        }
    }

    fn pass_on(&mut self, message: FromAccounts) {
        match message {
            FromAccounts::Told { number, charge } => {
                let Some(pending) = self.pending.remove(&number) else {
                    return;
                };
                let is_charged = matches!(charge, Charge::Charged { .. });
                // Who asked may have stopped waiting, and does not go by it.
                if pending.told.send(charge).is_err() && is_charged {
                    let Pending {
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

    fn lose(&mut self) {
        if let Some(open) = self.open.take() {
            tracing::warn!(
                address = %open.address, waiting = self.pending.len(),
                "gateway: link to accounts lost"
            );
        }
        self.pending.clear();
    }

    async fn turn_to(&mut self, address: SocketAddr) {
        if self
            .open
            .as_ref()
            .is_some_and(|open| open.address == address && !open.sender.is_closed())
        {
            return;
        }
        self.open = None;
        self.pending.clear();
        let connecting = timeout(Duration::from_millis(ANSWER_MS), link::connect(address));
        match connecting.await {
            Ok(Ok((sender, receiver))) => {
                self.open = Some(OpenLink {
                    address,
                    sender,
                    receiver,
                });
            }
            Ok(Err(error)) => {
                tracing::warn!(%address, %error, "gateway: no link to accounts");
            }
            Err(_) => {
                tracing::warn!(%address, waited_ms = ANSWER_MS, "gateway: no link to accounts");
            }
        }
    }
}
