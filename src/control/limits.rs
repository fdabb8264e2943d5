//! Enforces customers' contracts across entries by leases.
//!
//! A contract limits the rate of requests, which are granted from a bucket per customer, and the
//! model tokens in progress, which are granted as leases that an entry holds until they expire.
//! Both are the leader's soft state. A new leader starts with empty buckets, and until every
//! older lease has expired it only renews what entries hold. The sum therefore exceeds a contract
//! by at most what is granted in one lease period.

use crate::{derives::record, document::ContractPolicy, units::*};
use std::collections::BTreeMap;

/// Duration of a lease on tokens in progress.
pub const LIMIT_LEASE_MS: u64 = 3000;
/// Capacity of a request bucket, in milliseconds at its rate.
const REQUEST_BUCKET_MS: u64 = 1000;

record! {
    /// An entry's demand on one customer's contract.
    pub struct LimitWant {
        /// The customer.
        pub customer: CustomerName,
        /// Number of requests that it is about to admit.
        pub requests: u64,
        /// Total tokens in progress that it requests a lease for.
        pub tokens: TokenCount,
        /// Tokens of its current, unexpired lease.
        pub held: TokenCount,
    }

    /// The grant to an entry on one customer's contract.
    pub struct LimitGrant {
        /// The customer.
        pub customer: CustomerName,
        /// Number of requests that it may admit.
        pub requests: u64,
        /// Total tokens that it may have in progress until the lease expires.
        pub tokens: TokenCount,
    }
}

struct TokenLease {
    tokens: u64,
    expires_ms: u64,
}

struct ContractUsage {
    /// Level of the request bucket, in thousandths of a request.
    available_milli: u64,
    refilled_ms: u64,
    leases: BTreeMap<ProcessName, TokenLease>,
}

/// The buckets and leases of all customers' contracts.
#[derive(Default)]
pub struct Limits {
    leader_since_ms: u64,
    contracts: BTreeMap<CustomerName, ContractUsage>,
}

impl Limits {
    /// Creates the state of a leader elected at `now_ms`.
    pub fn new(now_ms: u64) -> Self {
        Self {
            leader_since_ms: now_ms,
            contracts: BTreeMap::new(),
        }
    }

    /// Grants requests and a token lease on one contract.
    pub fn grant(
        &mut self,
        entry: &ProcessName,
        want: &LimitWant,
        contract: ContractPolicy,
        now_ms: u64,
    ) -> LimitGrant {
        let is_rebuilding = now_ms < self.leader_since_ms + LIMIT_LEASE_MS;
        let initial = ContractUsage {
            available_milli: 0,
            refilled_ms: self.leader_since_ms,
            leases: BTreeMap::new(),
        };
        let usage = self
            .contracts
            .entry(want.customer.clone())
            .or_insert(initial);
        let requests = usage.take_requests(want.requests, contract.requests_per_s, now_ms);
        usage
            .leases
            .retain(|name, lease| name != entry && lease.expires_ms > now_ms);
        let held_by_others: u64 = usage.leases.values().map(|lease| lease.tokens).sum();
        let available = contract.concurrent_tokens.saturating_sub(held_by_others);
        let wanted = if is_rebuilding {
            want.tokens.min(want.held)
        } else {
            want.tokens
        };
        let tokens = wanted.0.min(available);
        if tokens > 0 {
            let lease = TokenLease {
                tokens,
                expires_ms: now_ms + LIMIT_LEASE_MS,
            };
            usage.leases.insert(entry.clone(), lease);
        }
        LimitGrant {
            customer: want.customer.clone(),
            requests,
            tokens: TokenCount(tokens),
        }
    }
}

impl ContractUsage {
    fn take_requests(&mut self, wanted: u64, rate_per_s: u64, now_ms: u64) -> u64 {
        let refill_milli = (now_ms - self.refilled_ms).saturating_mul(rate_per_s);
        let max_milli = (rate_per_s * REQUEST_BUCKET_MS).max(1000);
        self.available_milli = (self.available_milli + refill_milli).min(max_milli);
        self.refilled_ms = now_ms;
        let requests = wanted.min(self.available_milli / 1000);
        self.available_milli -= requests * 1000;
        requests
    }
}
