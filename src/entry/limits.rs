//! An entry's parts of customers' contracts, and its budget of retries.

use super::{refusal::Refusal, request::Inbound};
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

/// How long one try to reach the leader may take.
const CALL_TIMEOUT_MS: u64 = 500;
/// How long a request waits for its entry's part.
const ADMIT_TIMEOUT_MS: u64 = 1500;
/// How often parts that are in use are renewed.
const RENEWAL_MS: u64 = 1000;
/// Credits asked for beyond what is needed at once: as many as were used in
/// this time.
const AHEAD_MS: u64 = 250;
/// Retries allowed for a hundred requests.
const RETRIES_PERCENT: i64 = 10;
/// Retries, in hundredths, that may be saved up.
const RETRIES_SAVED: i64 = 1000;

struct Part {
    credits: u64,
    used_since_renewal: u64,
    tokens_in_use: u64,
    tokens_held: u64,
    tokens_wanted: u64,
    leased_at: Option<Instant>,
    renewed_at: Instant,
}

/// The parts that an entry holds.
pub struct EntryLimits {
    entry: ProcessName,
    client: Arc<ControlClient>,
    parts: Mutex<HashMap<CustomerName, Part>>,
    asking: tokio::sync::Mutex<()>,
}

/// Tokens in progress of one request; given back when it is dropped.
pub struct Permit {
    limits: Arc<EntryLimits>,
    customer: CustomerName,
    tokens: u64,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut parts = self.limits.parts.lock().expect("no holder panics");
        if let Some(part) = parts.get_mut(&self.customer) {
            part.tokens_in_use -= self.tokens;
        }
    }
}

impl Part {
    fn new() -> Self {
        Self {
            credits: 0,
            used_since_renewal: 0,
            tokens_in_use: 0,
            tokens_held: 0,
            tokens_wanted: 0,
            leased_at: None,
            renewed_at: Instant::now(),
        }
    }

    /// The tokens that an unexpired lease lets the entry hold.
    fn leased_tokens(&self) -> u64 {
        let lease = Duration::from_millis(LIMIT_LEASE_MS);
        match self.leased_at.is_some_and(|at| at.elapsed() < lease) {
            true => self.tokens_held,
            false => 0,
        }
    }

    fn take(&mut self, tokens: u64) -> bool {
        let fits = self.credits > 0 && self.tokens_in_use + tokens <= self.leased_tokens();
        if fits {
            self.credits -= 1;
            self.used_since_renewal += 1;
            self.tokens_in_use += tokens;
        }
        fits
    }

    /// What to ask for: enough for what is in use, and some ahead.
    fn want(&mut self, customer: &CustomerName, tokens: u64) -> LimitWant {
        let elapsed_ms = self.renewed_at.elapsed().as_millis() as u64 + 1;
        let ahead = self.used_since_renewal * AHEAD_MS / elapsed_ms.max(AHEAD_MS);
        let ahead_tokens = (self.tokens_in_use + tokens) / 4;
        self.tokens_wanted = self.tokens_in_use + tokens + ahead_tokens;
        LimitWant {
            customer: customer.clone(),
            requests: (1 + ahead).saturating_sub(self.credits),
            tokens: TokenCount(self.tokens_wanted),
            held: TokenCount(self.leased_tokens()),
        }
    }

    fn renew(&mut self, grant: &LimitGrant, sent: Instant) {
        self.credits += grant.requests;
        self.tokens_held = grant.tokens.0;
        self.leased_at = Some(sent);
        self.renewed_at = Instant::now();
        self.used_since_renewal = 0;
    }
}

impl EntryLimits {
    /// No parts yet; renews those in use from now on.
    pub fn spawn(entry: ProcessName, client: Arc<ControlClient>) -> Arc<Self> {
        let parts = Mutex::default();
        let limits = Arc::new(Self {
            entry,
            client,
            parts,
            asking: tokio::sync::Mutex::new(()),
        });
        let renewing = Arc::downgrade(&limits);
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(Duration::from_millis(RENEWAL_MS)).await;
                match renewing.upgrade() {
                    Some(limits) => limits.renew().await,
                    None => return,
                }
            }
        });
        limits
    }

    /// Admits a request within its customer's contract.
    ///
    /// # Errors
    /// Fails if the contract allows no more at present.
    pub async fn admit(self: &Arc<Self>, inbound: &Inbound) -> Result<Option<Permit>, Refusal> {
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
        if self.take(customer, tokens) {
            return Ok(Some(self.permit(customer, tokens)));
        }
        // One request asks at a time; those behind it use what it brought.
        let _asking = self.asking.lock().await;
        if !self.take(customer, tokens) {
            self.ask(vec![(customer.clone(), tokens)]).await;
            if !self.take(customer, tokens) {
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

    fn take(&self, customer: &CustomerName, tokens: u64) -> bool {
        let mut parts = self.parts.lock().expect("no holder panics");
        parts
            .entry(customer.clone())
            .or_insert_with(Part::new)
            .take(tokens)
    }

    /// Asks the leader for parts; what is refused is not there afterwards.
    async fn ask(&self, needs: Vec<(CustomerName, u64)>) {
        let wants: Vec<LimitWant> = {
            let mut parts = self.parts.lock().expect("no holder panics");
            let mut want = |customer: &CustomerName, tokens| {
                parts
                    .entry(customer.clone())
                    .or_insert_with(Part::new)
                    .want(customer, tokens)
            };
            needs
                .iter()
                .map(|(customer, tokens)| want(customer, *tokens))
                .collect()
        };
        let sent = Instant::now();
        let grants = self
            .client
            .call(CALL_TIMEOUT_MS, ADMIT_TIMEOUT_MS, |client| {
                let (entry, wants) = (self.entry.clone(), wants.clone());
                async move { client.limits(entry, wants).await }
            });
        if let Ok(grants) = grants.await {
            let mut parts = self.parts.lock().expect("no holder panics");
            for grant in grants {
                if let Some(part) = parts.get_mut(&grant.customer) {
                    part.renew(&grant, sent);
                }
            }
        }
    }

    /// Renews parts in use; forgets the others, which flow back.
    async fn renew(&self) {
        let in_use: Vec<(CustomerName, u64)> = {
            let mut parts = self.parts.lock().expect("no holder panics");
            parts.retain(|_, part| part.tokens_in_use > 0 || part.used_since_renewal > 0);
            parts.keys().map(|customer| (customer.clone(), 0)).collect()
        };
        if !in_use.is_empty() {
            let _asking = self.asking.lock().await;
            self.ask(in_use).await;
        }
    }
}

/// Bounds retries to a part of all requests.
pub struct RetryBudget(Mutex<i64>);

impl Default for RetryBudget {
    fn default() -> Self {
        Self(Mutex::new(RETRIES_SAVED))
    }
}

impl RetryBudget {
    /// Counts a request.
    pub fn earn(&self) {
        let mut saved = self.0.lock().expect("no holder panics");
        *saved = (*saved + RETRIES_PERCENT).min(RETRIES_SAVED);
    }

    /// Whether a retry is allowed; counts it if so.
    pub fn spend(&self) -> bool {
        let mut saved = self.0.lock().expect("no holder panics");
        let allowed = *saved >= 100;
        *saved -= if allowed { 100 } else { 0 };
        allowed
    }
}
