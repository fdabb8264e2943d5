//! Admission control by customer contracts, and the retry budget.

use super::{refusal::Refusal, request::IncomingRequest};
use crate::{
    control::{
        ControlClient,
        limits::{LIMIT_LEASE_MS, LimitGrant, LimitWant},
        rpc::ControlRpcClient,
    },
    units::*,
    verdict::Reason,
};
use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// Timeout of one call to the leader.
const ATTEMPT_TIMEOUT_MS: u64 = 500;
/// Maximum time that a request waits for a grant from the leader.
const ADMIT_TIMEOUT_MS: u64 = 1500;
/// Renewal interval of limit leases in use.
const RENEWAL_INTERVAL_MS: u64 = 1000;
/// Request credits are fetched ahead for this time, at the recent rate of use.
const PREFETCH_MS: u64 = 250;
/// Retries allowed per 100 requests, i.e. the hundredths of a retry that each one adds.
const RETRIES_PER_100_REQUESTS: i64 = 10;
/// Maximum balance of the retry budget, in hundredths of a retry.
const MAX_BALANCE_HUNDREDTHS: i64 = 1000;

/// One customer's share of its contract: credits for requests, and tokens on a lease.
struct LimitLease {
    /// Requests that may still be admitted. Credits do not expire with the lease.
    request_credits: u64,
    /// Credits used since the latest grant.
    used_since_renewal: u64,
    /// Tokens of the requests in progress.
    tokens_in_use: u64,
    /// Tokens of the latest grant; see [`Self::leased_tokens`].
    granted_tokens: u64,
    /// Tokens in the latest request for a grant.
    tokens_wanted: u64,
    /// When the latest grant was requested; its lease counts from then.
    leased_at: Option<Instant>,
    /// When the latest grant arrived, or when the lease was created.
    renewed_at: Instant,
}

/// The shares of customers' contract limits that are leased to an entry.
pub struct EntryLimits {
    entry: ProcessName,
    client: Arc<ControlClient>,
    leases: Mutex<HashMap<CustomerName, LimitLease>>,
    request_lock: tokio::sync::Mutex<()>,
}

/// The tokens that a request in progress holds; released on drop.
pub struct Permit {
    limits: Arc<EntryLimits>,
    customer: CustomerName,
    tokens: u64,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut leases = self.limits.leases.lock().expect("no holder panics");
        if let Some(lease) = leases.get_mut(&self.customer) {
            lease.tokens_in_use -= self.tokens;
        }
    }
}

impl LimitLease {
    fn new() -> Self {
        Self {
            request_credits: 0,
            used_since_renewal: 0,
            tokens_in_use: 0,
            granted_tokens: 0,
            tokens_wanted: 0,
            leased_at: None,
            renewed_at: Instant::now(),
        }
    }

    /// The granted tokens, or 0 once the lease has expired.
    fn leased_tokens(&self) -> u64 {
        let lease_duration = Duration::from_millis(LIMIT_LEASE_MS);
        match self
            .leased_at
            .is_some_and(|at| at.elapsed() < lease_duration)
        {
            true => self.granted_tokens,
            false => 0,
        }
    }

    fn try_acquire(&mut self, tokens: u64) -> bool {
        let fits = self.request_credits > 0 && self.tokens_in_use + tokens <= self.leased_tokens();
        if fits {
            self.request_credits -= 1;
            self.used_since_renewal += 1;
            self.tokens_in_use += tokens;
        }
        fits
    }

    /// The next grant to ask for: what is in use, what is needed now and some in advance.
    fn next_want(&mut self, customer: &CustomerName, tokens: u64) -> LimitWant {
        let elapsed_ms = self.renewed_at.elapsed().as_millis() as u64 + 1;
        let prefetch = self.used_since_renewal * PREFETCH_MS / elapsed_ms.max(PREFETCH_MS);
        let prefetch_tokens = (self.tokens_in_use + tokens) / 4;
        self.tokens_wanted = self.tokens_in_use + tokens + prefetch_tokens;
        LimitWant {
            customer: customer.clone(),
            requests: (1 + prefetch).saturating_sub(self.request_credits),
            tokens: TokenCount(self.tokens_wanted),
            held: TokenCount(self.leased_tokens()),
        }
    }

    fn renew(&mut self, grant: &LimitGrant, sent_at: Instant) {
        self.request_credits += grant.requests;
        self.granted_tokens = grant.tokens.0;
        self.leased_at = Some(sent_at);
        self.renewed_at = Instant::now();
        self.used_since_renewal = 0;
    }
}

impl EntryLimits {
    /// Starts without leases and renews those in use in the background.
    pub fn spawn(entry: ProcessName, client: Arc<ControlClient>) -> Arc<Self> {
        let leases = Mutex::default();
        let limits = Arc::new(Self {
            entry,
            client,
            leases,
            request_lock: tokio::sync::Mutex::new(()),
        });
        let weak_limits = Arc::downgrade(&limits);
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(Duration::from_millis(RENEWAL_INTERVAL_MS)).await;
                match weak_limits.upgrade() {
                    Some(limits) => limits.renew().await,
                    None => return,
                }
            }
        });
        limits
    }

    /// Admits a request if its customer's contract allows it.
    ///
    /// # Errors
    /// Fails if the contract's limits are exhausted.
    pub async fn admit(
        self: &Arc<Self>,
        inbound: &IncomingRequest,
    ) -> Result<Option<Permit>, Refusal> {
        let Some(contract) = inbound.customer.contract else {
            return Ok(None);
        };
        let customer = &inbound.customer.name;
        let tokens = inbound.total_tokens.0;
        if tokens > contract.concurrent_tokens {
            let message = format!(
                "the request needs {tokens} tokens; the contract allows {} at one time",
                contract.concurrent_tokens
            );
            return Err(Refusal::not_run(Reason::OverLimit, message));
        }
        if self.try_acquire(customer, tokens) {
            return Ok(Some(self.permit(customer, tokens)));
        }
        // One request asks the leader at a time; those behind it share its grant.
        let _guard = self.request_lock.lock().await;
        if !self.try_acquire(customer, tokens) {
            self.request_grants(vec![(customer.clone(), tokens)]).await;
            if !self.try_acquire(customer, tokens) {
                let message = "the customer's contract allows no more at present";
                let refusal = Refusal::not_run(Reason::OverLimit, message);
                return Err(refusal.retry_after(1000 / contract.requests_per_s.max(1) + 1));
            }
        }
        Ok(Some(self.permit(customer, tokens)))
    }

    fn permit(self: &Arc<Self>, customer: &CustomerName, tokens: u64) -> Permit {
        Permit {
            limits: Arc::clone(self),
            customer: customer.clone(),
            tokens,
        }
    }

    fn try_acquire(&self, customer: &CustomerName, tokens: u64) -> bool {
        let mut leases = self.leases.lock().expect("no holder panics");
        leases
            .entry(customer.clone())
            .or_insert_with(LimitLease::new)
            .try_acquire(tokens)
    }

    /// Requests grants from the leader. On error the leases stay as they were.
    async fn request_grants(&self, needs: Vec<(CustomerName, u64)>) {
        let wants: Vec<LimitWant> = {
            let mut leases = self.leases.lock().expect("no holder panics");
            let mut want = |customer: &CustomerName, tokens| {
                leases
                    .entry(customer.clone())
                    .or_insert_with(LimitLease::new)
                    .next_want(customer, tokens)
            };
            needs
                .iter()
                .map(|(customer, tokens)| want(customer, *tokens))
                .collect()
        };
        let sent_at = Instant::now();
        let grants = self
            .client
            .call(ATTEMPT_TIMEOUT_MS, ADMIT_TIMEOUT_MS, |client| {
                let (entry, wants) = (self.entry.clone(), wants.clone());
                async move { client.limits(entry, wants).await }
            });
        if let Ok(grants) = grants.await {
            let mut leases = self.leases.lock().expect("no holder panics");
            for grant in grants {
                if let Some(lease) = leases.get_mut(&grant.customer) {
                    lease.renew(&grant, sent_at);
                }
            }
        }
    }

    /// Renews leases in use and drops the others; their tokens return to the contract.
    async fn renew(&self) {
        let in_use: Vec<(CustomerName, u64)> = {
            let mut leases = self.leases.lock().expect("no holder panics");
            leases.retain(|_, lease| lease.tokens_in_use > 0 || lease.used_since_renewal > 0);
            leases
                .keys()
                .map(|customer| (customer.clone(), 0))
                .collect()
        };
        if !in_use.is_empty() {
            let _guard = self.request_lock.lock().await;
            self.request_grants(in_use).await;
        }
    }
}

/// Limits retries to a percentage of all requests.
pub struct RetryBudget(Mutex<i64>);

impl Default for RetryBudget {
    fn default() -> Self {
        Self(Mutex::new(MAX_BALANCE_HUNDREDTHS))
    }
}

impl RetryBudget {
    /// Adds the allowance of one request.
    pub fn deposit(&self) {
        let mut balance = self.0.lock().expect("no holder panics");
        *balance = (*balance + RETRIES_PER_100_REQUESTS).min(MAX_BALANCE_HUNDREDTHS);
    }

    /// Takes one retry from the budget; returns `false` if it is exhausted.
    pub fn withdraw(&self) -> bool {
        let mut balance = self.0.lock().expect("no holder panics");
        let allowed = *balance >= 100;
        *balance -= if allowed { 100 } else { 0 };
        allowed
    }
}
