//! A gateway's part of each customer's quota, as a bucket that refills.

use crate::{
    control::shares::{POOL_PPM, QuotaDemand, Shares, WHOLE_PPM, quota_share_ppm},
    document::QuotaPolicy,
    units::CustomerName,
};
use std::collections::BTreeMap;

/// Gateways assumed until the leader has said how many there are.
const ASSUMED_GATEWAYS: u64 = 8;
/// The part of the slack that is used, in percent; the rest covers what changes hands
/// between gateways.
const SLACK_PERCENT: u64 = 25;
/// What is taken on credit at most, in parts of the leader's own divided by the gateways: some
/// may be cut off while the others go on to borrow.
const CREDIT_PARTS: u64 = 2;
/// What a part that has run out is divided by.
const OUTDATED_DIVISOR: u64 = 10;
/// How long the leader is not asked again for a quota that it had no more of.
const EMPTY_MS: u64 = 50;
/// How long demand is averaged over.
const DEMAND_MS: u64 = 1000;

#[derive(Debug, Default)]
struct Bucket {
    milli_units: u64,
    most_milli: u64,
    filled_ms: u64,
    asked_units: u64,
    asked_since_ms: u64,
    demand_per_s: u64,
    started: bool,
    empty_until_ms: u64,
    /// Taken on credit while there was no leader.
    owed_milli: u64,
}

/// The buckets of one gateway.
#[derive(Debug, Default)]
pub struct Quotas {
    buckets: BTreeMap<CustomerName, Bucket>,
    shares: Option<Shares>,
    shares_until_ms: u64,
    slack_units: u64,
}

impl Quotas {
    /// Empty buckets. `slack_units` is how far all gateways together may go beyond a
    /// quota for a moment, so that a part of a small quota still takes whole requests.
    pub fn new(slack_units: u64) -> Self {
        Self {
            slack_units,
            ..Self::default()
        }
    }

    /// Takes the parts that the leader gave, and until when they hold whole.
    pub fn set_shares(&mut self, shares: Shares, until_ms: u64) {
        self.shares = Some(shares);
        self.shares_until_ms = until_ms;
    }

    /// How many gateways there are, as far as is known.
    pub fn gateways(&self) -> u64 {
        let told = self.shares.as_ref().map(|shares| shares.gateways);
        told.filter(|gateways| *gateways > 0)
            .unwrap_or(ASSUMED_GATEWAYS)
    }

    /// The part of a customer's quota that this gateway goes by, in millionths, and the
    /// units that it has left.
    pub fn standing(&self, customer: &CustomerName) -> (u64, u64) {
        let bucket = self.buckets.get(customer);
        (
            self.share_of(customer),
            bucket.map_or(0, |bucket| bucket.milli_units / 1000),
        )
    }

    /// Takes units of a quota, or tells in how many milliseconds there will be enough.
    pub fn take(
        &mut self,
        customer: &CustomerName,
        quota: QuotaPolicy,
        units: u64,
        now_ms: u64,
    ) -> Result<(), u64> {
        let ppm = match now_ms < self.shares_until_ms || self.shares.is_none() {
            true => self.share_of(customer),
            false => self.share_of(customer) / OUTDATED_DIVISOR,
        };
        let slack = self.slack_units * SLACK_PERCENT / 100 / self.gateways();
        let bucket = self.buckets.entry(customer.clone()).or_default();
        bucket.count_demand(units, now_ms);
        let rate_per_s = (quota.rate_per_s * ppm / WHOLE_PPM).max(1);
        // At least one request fits, however small the part.
        let most_milli = (quota.burst * ppm / WHOLE_PPM + slack).max(units) * 1000;
        bucket.fill(rate_per_s, most_milli, now_ms);
        match bucket.milli_units.checked_sub(units * 1000) {
            Some(left) => {
                bucket.milli_units = left;
                Ok(())
            }
            None => Err((units * 1000 - bucket.milli_units) / rate_per_s),
        }
    }

    /// Takes units while the leader cannot be asked: on credit, up to what the leader would
    /// have lent at one time. The credit is paid back from this gateway's own part.
    pub fn take_on_credit(
        &mut self,
        customer: &CustomerName,
        quota: QuotaPolicy,
        units: u64,
    ) -> bool {
        let lent = quota.burst.min(quota.rate_per_s) * POOL_PPM / WHOLE_PPM;
        let most_milli = lent * 1000 * CREDIT_PARTS / self.gateways();
        let bucket = self.buckets.entry(customer.clone()).or_default();
        let owed_milli = bucket.owed_milli + units * 1000;
        let allowed = owed_milli <= most_milli;
        if allowed {
            bucket.owed_milli = owed_milli;
        }
        allowed
    }

    /// Whether the leader may be asked for more of a customer's quota; not again shortly
    /// after it had none.
    pub fn may_borrow(&self, customer: &CustomerName, now_ms: u64) -> bool {
        let bucket = self.buckets.get(customer);
        bucket.is_none_or(|bucket| now_ms >= bucket.empty_until_ms)
    }

    /// Notes that the leader had no more of a customer's quota.
    pub fn note_empty(&mut self, customer: &CustomerName, now_ms: u64) {
        let bucket = self.buckets.entry(customer.clone()).or_default();
        bucket.empty_until_ms = now_ms + EMPTY_MS;
    }

    /// Gives back units of a request that did not run.
    pub fn give_back(&mut self, customer: &CustomerName, units: u64) {
        if let Some(bucket) = self.buckets.get_mut(customer) {
            bucket.milli_units = (bucket.milli_units + units * 1000).min(bucket.most_milli);
        }
    }

    /// Units of each customer that were asked for, a second.
    pub fn demand(&mut self, now_ms: u64) -> BTreeMap<CustomerName, QuotaDemand> {
        let names: Vec<CustomerName> = self.buckets.keys().cloned().collect();
        let demands = names.into_iter().map(|customer| {
            let held_ppm = self.share_of(&customer);
            let bucket = self.buckets.entry(customer.clone()).or_default();
            bucket.count_demand(0, now_ms);
            let units_per_s = bucket.demand_per_s;
            let demand = QuotaDemand {
                units_per_s,
                held_ppm,
            };
            (customer, demand)
        });
        demands.collect()
    }

    fn share_of(&self, customer: &CustomerName) -> u64 {
        let told = self
            .shares
            .as_ref()
            .and_then(|shares| shares.customers.get(customer));
        told.copied()
            .unwrap_or_else(|| quota_share_ppm(0, 0, self.gateways()))
    }
}

impl Bucket {
    fn fill(&mut self, rate_per_s: u64, most_milli: u64, now_ms: u64) {
        let filled_milli = (now_ms - self.filled_ms.min(now_ms)).saturating_mul(rate_per_s);
        let repaid_milli = self.owed_milli.min(filled_milli);
        self.owed_milli -= repaid_milli;
        let filled_milli = filled_milli - repaid_milli;
        self.milli_units = match self.started {
            true => self
                .milli_units
                .saturating_add(filled_milli)
                .min(most_milli),
            false => most_milli,
        };
        self.most_milli = most_milli;
        self.started = true;
        self.filled_ms = now_ms;
    }

    fn count_demand(&mut self, units: u64, now_ms: u64) {
        self.asked_units += units;
        let elapsed_ms = now_ms.saturating_sub(self.asked_since_ms);
        if elapsed_ms >= DEMAND_MS {
            let per_s = self.asked_units * 1000 / elapsed_ms;
            self.demand_per_s = u64::midpoint(self.demand_per_s, per_s);
            self.asked_units = 0;
            self.asked_since_ms = now_ms;
        }
    }
}
