//! Fair shares of the slots of one target between customers, by start-time fair queueing. Written
//! for one customer that sends many times its usual load while the others send theirs.
//!
//! Each tier (customer tier, then route tier) has a virtual time, and each customer in it a tag: the
//! virtual time at which the slot time that it got so far would end if it had its share of the slots.
//! Of the customers with waiting requests the one with the smallest tag goes first.
//!
//! | input | use |
//! |---|---|
//! | a grant, with the expected run time | the tag advances by that time, divided by the customer's weight |
//! | the end of the run, with the measured time | the tag is corrected by the difference |
//! | a grant that was not used | the tag goes back |
//! | tag of the request that got a slot | the virtual time, which never goes back |
//! | customer without waiting requests | its tag follows the virtual time, less one mean run: its next request goes first, the others take turns |
//! | weights | slot time is divided in proportion; equal weights divide it equally |
//!
//! No slot is left free: any waiting request is first if no other customer waits.

use crate::{
    derives::{quantity, record},
    document::QuotaPolicy,
    gateway::request_queue::Precedence,
    units::CustomerName,
};
use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
};

quantity! {
    /// Identifies a customer at agents: a hash of its name.
    CustomerKey(u64)
}

quantity! {
    /// Weight of a customer, in thousandths of a request per second.
    ShareWeight(u64)
}

quantity! {
    /// Virtual time: milliseconds of slot time, times [`VIRTUAL_SCALE`], divided by a weight.
    VirtualTime(u64)
}

/// Virtual time of a millisecond at the weight 1.
const VIRTUAL_SCALE: u64 = 1_000_000_000;
/// Largest weight: a greater one would make a run cost nothing.
const MAX_WEIGHT: u64 = 1_000_000_000;
/// Weight of customers of which none has a quota.
const EQUAL_WEIGHT: ShareWeight = ShareWeight(1000);

record! {
    /// Whose slot time a request is charged to.
    #[derive(Copy, Default)]
    pub struct ShareHolder {
        /// The customer; requests without one share an account.
        pub customer: CustomerKey,
        /// Its weight; 0 counts as 1.
        pub weight: ShareWeight,
    }
}

impl ShareHolder {
    /// Returns the account of a customer, or of requests without one.
    pub fn of(customer: Option<&CustomerName>, weight: ShareWeight) -> Self {
        let mut hasher = DefaultHasher::new();
        customer.hash(&mut hasher);
        Self {
            customer: CustomerKey(hasher.finish()),
            weight,
        }
    }

    fn cost(self, run_ms: u64) -> u64 {
        let weight = self.weight.0.clamp(1, MAX_WEIGHT);
        run_ms.max(1).saturating_mul(VIRTUAL_SCALE) / weight
    }
}

impl ShareWeight {
    /// Weight of a quota: the requests that it allows in a second.
    pub fn of(quota: QuotaPolicy) -> Self {
        let units_per_request = match quota.counts_tokens {
            true => quota.default_tokens.max(1),
            false => 1,
        };
        Self((quota.rate_per_s.saturating_mul(1000) / units_per_request).clamp(1, MAX_WEIGHT))
    }

    /// Weight of customers without a quota: the mean of the others, so that a customer is not worse
    /// off for having none.
    pub fn default_among(quotas: impl Iterator<Item = QuotaPolicy>) -> Self {
        let weights: Vec<u64> = quotas.map(|quota| Self::of(quota).0).collect();
        let sum: u64 = weights.iter().sum();
        sum.checked_div(weights.len() as u64)
            .map_or(EQUAL_WEIGHT, |mean| Self(mean.max(1)))
    }
}

/// Tags of the customers of one target.
#[derive(Clone, Debug, Default)]
pub struct FairShares {
    tiers: BTreeMap<Precedence, TierShares>,
}

#[derive(Clone, Debug, Default)]
struct TierShares {
    virtual_time: u64,
    accounts: BTreeMap<CustomerKey, Account>,
}

#[derive(Clone, Copy, Debug)]
struct Account {
    holder: ShareHolder,
    /// Virtual time at which the slot time that the customer got ends.
    end: u64,
}

impl FairShares {
    /// Tag of a customer's next request. `mean_run_ms` bounds the credit of a customer that had no
    /// waiting requests.
    pub fn tag(
        &self,
        precedence: Precedence,
        holder: ShareHolder,
        mean_run_ms: u64,
    ) -> VirtualTime {
        let Some(tier) = self.tiers.get(&precedence) else {
            return VirtualTime(0);
        };
        let least = tier.virtual_time.saturating_sub(holder.cost(mean_run_ms));
        let account = tier.accounts.get(&holder.customer);
        VirtualTime(account.map_or(least, |account| account.end.max(least)))
    }

    /// Charges a granted request to its customer.
    pub fn charge(
        &mut self,
        precedence: Precedence,
        holder: ShareHolder,
        expected_run_ms: u64,
        mean_run_ms: u64,
    ) {
        let VirtualTime(tag) = self.tag(precedence, holder, mean_run_ms);
        let tier = self.tiers.entry(precedence).or_default();
        tier.virtual_time = tier.virtual_time.max(tag);
        let end = tag.saturating_add(holder.cost(expected_run_ms));
        let account = Account { holder, end };
        tier.accounts.insert(holder.customer, account);
    }

    /// Corrects the charge of a request by the time for which it held its slot: 0 if the grant was
    /// not used.
    pub fn correct(
        &mut self,
        precedence: Precedence,
        holder: ShareHolder,
        expected_run_ms: u64,
        held_ms: u64,
    ) {
        let tier = self.tiers.get_mut(&precedence);
        let account = tier.and_then(|tier| tier.accounts.get_mut(&holder.customer));
        if let Some(account) = account {
            let (charged, held) = (holder.cost(expected_run_ms), holder.cost(held_ms));
            account.end = account.end.saturating_add(held).saturating_sub(charged);
        }
    }

    /// Drops the customers whose tags follow the virtual time: a new account has the same tag.
    pub fn sweep(&mut self, mean_run_ms: u64) {
        for tier in self.tiers.values_mut() {
            let virtual_time = tier.virtual_time;
            let is_ahead = |account: &Account| {
                let credit = account.holder.cost(mean_run_ms);
                account.end > virtual_time.saturating_sub(credit)
            };
            tier.accounts.retain(|_, account| is_ahead(account));
        }
    }
}

/// Tags of requests that wait, each behind those of its customer that go before it.
#[derive(Debug)]
pub struct ExpectedTags<'a> {
    shares: &'a FairShares,
    mean_run_ms: u64,
    next: BTreeMap<(Precedence, CustomerKey), u64>,
}

impl<'a> ExpectedTags<'a> {
    /// Begins with the customers' present tags.
    pub fn new(shares: &'a FairShares, mean_run_ms: u64) -> Self {
        Self {
            shares,
            mean_run_ms,
            next: BTreeMap::new(),
        }
    }

    /// Tag of the customer's next request, which is expected to run for this time.
    pub fn take(
        &mut self,
        precedence: Precedence,
        holder: ShareHolder,
        expected_run_ms: u64,
    ) -> VirtualTime {
        let first = || self.shares.tag(precedence, holder, self.mean_run_ms).0;
        let key = (precedence, holder.customer);
        let next = self.next.entry(key).or_insert_with(first);
        let tag = VirtualTime(*next);
        *next = next.saturating_add(holder.cost(expected_run_ms));
        tag
    }
}
