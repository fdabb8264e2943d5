//! Serves the leader's quota accounts, and its paces of targets that state a limit, to gateways
//! over links.
//!
//! Charges are on the critical path of requests, so they bypass the control thread. That thread
//! only sets the quotas in force and extends the leader's lease.

use super::{
    accounts::{ChargeResult, QuotaAccounts},
    shares::PPM_PER_UNIT,
    target_paces::{LinkNumber, TargetPaces},
};
use crate::{
    accept,
    charges::{FromAccounts, ToAccounts},
    clock,
    document::Policy,
    link::{self, LinkReceiver, LinkSender},
    request_limit::RequestLimit,
    units::{CustomerName, DocumentVersion, TargetName},
};
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};
use tokio::net::{TcpListener, TcpStream};

#[derive(Default)]
struct State {
    accounts: QuotaAccounts,
    target_paces: TargetPaces,
    policy: Arc<Policy>,
    reserved_ppm: u64,
    lease_expires_at_ms: u64,
    last_link: LinkNumber,
}

/// The server of one control instance's quota accounts. Clones share the accounts.
#[derive(Clone, Default)]
pub struct QuotaServer(Arc<Mutex<State>>);

impl QuotaServer {
    /// Creates new accounts, as this instance has become the leader. `idle_ms` is the time for
    /// which certainly nothing was charged.
    pub fn start_term(&self, tolerance_per_s: u64, idle_ms: u64) {
        let mut state = self.state();
        state.accounts = QuotaAccounts::new(tolerance_per_s, idle_ms, clock::boot_ms());
        state.target_paces = TargetPaces::default();
        state.lease_expires_at_ms = 0;
    }

    /// Accepts charges until `lease_expires_at_ms` of [`clock::boot_ms`]; withholds
    /// `reserved_ppm` of each quota.
    pub fn extend_lease(&self, lease_expires_at_ms: u64, reserved_ppm: u64) {
        let mut state = self.state();
        state.lease_expires_at_ms = lease_expires_at_ms;
        state.reserved_ppm = reserved_ppm.min(PPM_PER_UNIT);
    }

    /// Stops accepting charges.
    pub fn stop_charging(&self) {
        self.state().lease_expires_at_ms = 0;
    }

    /// Applies the quotas of a document, unless it already has those of a later one.
    pub fn set_policy(&self, policy: Arc<Policy>) {
        let mut state = self.state();
        if policy.version <= state.policy.version {
            return;
        }
        state
            .accounts
            .retain(|customer| policy.quota(customer).is_some());
        state.policy = policy;
    }

    /// Binds an address and serves it in the background; returns the bound address.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub async fn bind(&self, address: SocketAddr) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(address).await?;
        let bound = listener.local_addr()?;
        let quota_server = self.clone();
        tokio::spawn(async move {
            loop {
                let stream = accept::accept(&listener, "control").await;
                tokio::spawn(quota_server.clone().serve(stream));
            }
        });
        Ok(bound)
    }

    async fn serve(self, stream: TcpStream) {
        let link = self.next_link();
        self.serve_link(link, stream).await;
        self.state().target_paces.forget(link);
    }

    async fn serve_link(&self, link: LinkNumber, stream: TcpStream) {
        let (sender, mut receiver): (LinkSender<FromAccounts>, LinkReceiver<ToAccounts>) =
            link::open(stream);
        while let Some(message) = receiver.receive().await {
            let response = match message {
                ToAccounts::Charge {
                    number,
                    customer,
                    units,
                    max_wait_ms,
                } => match self.charge(&customer, units, max_wait_ms) {
                    Some(charge) => FromAccounts::Outcome { number, charge },
                    None => FromAccounts::NotLeader { number },
                },
                ToAccounts::ChargeTarget {
                    number,
                    target,
                    started_unix_ms,
                    limit,
                    max_wait_ms,
                } => match self.charge_target(link, &target, started_unix_ms, limit, max_wait_ms) {
                    Some(charge) => FromAccounts::Outcome { number, charge },
                    None => FromAccounts::NotLeader { number },
                },
                ToAccounts::RefundTarget {
                    target,
                    started_unix_ms,
                } => {
                    let mut state = self.state();
                    state.target_paces.give_back(&target, started_unix_ms);
                    continue;
                }
                ToAccounts::Refund { customer, units } => {
                    self.state().accounts.refund(&customer, units);
                    continue;
                }
            };
            if sender.send(response).await.is_err() {
                return;
            }
        }
    }

    /// Charges units; `None` if this instance is not the leader or has no document yet. Nothing is
    /// charged to a customer without a quota.
    fn charge(
        &self,
        customer: &CustomerName,
        units: u64,
        max_wait_ms: u64,
    ) -> Option<ChargeResult> {
        let now_ms = clock::boot_ms();
        let mut state = self.state();
        let has_quotas = state.policy.version > DocumentVersion(0);
        if now_ms >= state.lease_expires_at_ms || !has_quotas {
            return None;
        }
        let Some(quota) = state.policy.quota(customer) else {
            return Some(ChargeResult::Charged {
                is_ample: true,
                after_ms: 0,
            });
        };
        let reserved_ppm = state.reserved_ppm;
        let accounts = &mut state.accounts;
        Some(accounts.charge(customer, quota, units, max_wait_ms, reserved_ppm, now_ms))
    }

    /// Takes a request to a target; `None` if this instance is not the leader.
    fn charge_target(
        &self,
        link: LinkNumber,
        target: &TargetName,
        started_unix_ms: u64,
        limit: RequestLimit,
        max_wait_ms: u64,
    ) -> Option<ChargeResult> {
        let now_ms = clock::boot_ms();
        let mut state = self.state();
        if now_ms >= state.lease_expires_at_ms {
            return None;
        }
        let paces = &mut state.target_paces;
        Some(paces.take(link, target, started_unix_ms, limit, max_wait_ms, now_ms))
    }

    fn next_link(&self) -> LinkNumber {
        let last_link = &mut self.state().last_link;
        last_link.0 += 1;
        *last_link
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no holder panics")
    }
}
