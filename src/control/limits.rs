//! Customers' contracts, shared among entries by leased parts.
//!
//! Requests are handed out as credits from one bucket for each customer, and
//! tokens in progress as amounts that an entry holds until its lease runs out.
//! This is soft state of the leader. A new leader starts with empty buckets and
//! only confirms what entries hold until every older lease has run out, so that
//! the sum exceeds a contract by one lease's worth at the most.

use crate::{derives::record, document::ContractPolicy, units::*};
use std::collections::BTreeMap;

/// How long an entry holds a part.
pub const LIMIT_LEASE_MS: u64 = 3000;
/// How much of a second's requests a bucket holds.
const BUCKET_MS: u64 = 1000;

record! {
    /// What an entry wants of one customer's contract.
    pub struct LimitWant {
        /// The customer.
        pub customer: CustomerName,
        /// Requests that it is about to admit.
        pub requests: u64,
        /// Tokens in progress that it wants to hold in all.
        pub tokens: TokenCount,
        /// Tokens that an unexpired lease lets it hold now.
        pub held: TokenCount,
    }

    /// What an entry gets of one customer's contract.
    pub struct LimitGrant {
        /// The customer.
        pub customer: CustomerName,
        /// Requests that it may admit.
        pub requests: u64,
        /// Tokens in progress that it may hold in all until the lease runs out.
        pub tokens: TokenCount,
    }
}

struct Held {
    tokens: u64,
    until_ms: u64,
}

struct Share {
    /// Thousandths of a request.
    credit_milli: u64,
    filled_ms: u64,
    held: BTreeMap<ProcessName, Held>,
}

/// The parts that entries hold of all customers' contracts.
#[derive(Default)]
pub struct Limits {
    since_ms: u64,
    shares: BTreeMap<CustomerName, Share>,
}

impl Limits {
    /// The parts at the start of a leadership.
    pub fn new(now_ms: u64) -> Self {
        Self {
            since_ms: now_ms,
            shares: BTreeMap::new(),
        }
    }

    /// Hands out a part of one contract.
    pub fn grant(
        &mut self,
        entry: &ProcessName,
        want: &LimitWant,
        contract: ContractPolicy,
        now_ms: u64,
    ) -> LimitGrant {
        let settling = now_ms < self.since_ms + LIMIT_LEASE_MS;
        let fresh = Share {
            credit_milli: 0,
            filled_ms: self.since_ms,
            held: BTreeMap::new(),
        };
        let share = self.shares.entry(want.customer.clone()).or_insert(fresh);
        let requests = share.take_requests(want.requests, contract.requests_per_s, now_ms);
        share
            .held
            .retain(|name, held| name != entry && held.until_ms > now_ms);
        let others: u64 = share.held.values().map(|held| held.tokens).sum();
        let free = contract.concurrent_tokens.saturating_sub(others);
        let wanted = if settling {
            want.tokens.min(want.held)
        } else {
            want.tokens
        };
        let tokens = wanted.0.min(free);
        if tokens > 0 {
            let held = Held {
                tokens,
                until_ms: now_ms + LIMIT_LEASE_MS,
            };
            share.held.insert(entry.clone(), held);
        }
        LimitGrant {
            customer: want.customer.clone(),
            requests,
            tokens: TokenCount(tokens),
        }
    }
}

impl Share {
    fn take_requests(&mut self, wanted: u64, per_s: u64, now_ms: u64) -> u64 {
        let filled_milli = (now_ms - self.filled_ms).saturating_mul(per_s);
        let most_milli = (per_s * BUCKET_MS).max(1000);
        self.credit_milli = (self.credit_milli + filled_milli).min(most_milli);
        self.filled_ms = now_ms;
        let requests = wanted.min(self.credit_milli / 1000);
        self.credit_milli -= requests * 1000;
        requests
    }
}
