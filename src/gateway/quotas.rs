//! A gateway's own part of each customer's quota, for when the leader's accounts are out of
//! reach: a bucket that refills.
//!
//! A customer that was not well within its quota when the accounts were last asked begins
//! with an empty part: it may have used all that it had.

use crate::{
    control::shares::{OWN_PPM, WHOLE_PPM},
    document::QuotaPolicy,
    units::CustomerName,
};
use std::collections::BTreeMap;

/// Gateways assumed until the leader has said how many there are.
const ASSUMED_GATEWAYS: u64 = 8;
/// The part of the slack that is used, in percent; the rest covers what changes hands
/// between gateways.
const SLACK_PERCENT: u64 = 25;
/// What a part that has run out is divided by.
const OUTDATED_DIVISOR: u64 = 10;

#[derive(Debug)]
struct Bucket {
    milli_units: u64,
    most_milli: u64,
    filled_ms: u64,
    /// Whether the customer was not well within its quota when the accounts were last asked.
    is_short: bool,
}

/// The buckets of one gateway.
#[derive(Debug, Default)]
pub struct Quotas {
    buckets: BTreeMap<CustomerName, Bucket>,
    gateways: u64,
    gateways_until_ms: u64,
    slack_units: u64,
}

impl Quotas {
    /// Buckets that were not used yet. `slack_units` is how far all gateways together may go
    /// beyond a quota for a moment, so that a part of a small quota still takes whole
    /// requests.
    pub fn new(slack_units: u64) -> Self {
        Self {
            slack_units,
            ..Self::default()
        }
    }

    /// Takes how many gateways there are, and until when the part that follows holds whole.
    pub fn set_gateways(&mut self, gateways: u64, until_ms: u64) {
        self.gateways = gateways;
        self.gateways_until_ms = until_ms;
    }

    /// How many gateways there are, as far as is known.
    pub fn gateways(&self) -> u64 {
        match self.gateways {
            0 => ASSUMED_GATEWAYS,
            gateways => gateways,
        }
    }

    /// Notes that the leader's accounts were asked, and whether the customer is well within
    /// its quota.
    pub fn asked(&mut self, customer: &CustomerName, is_ample: bool, now_ms: u64) {
        if !is_ample {
            let emptied = Bucket {
                milli_units: 0,
                most_milli: 0,
                filled_ms: now_ms,
                is_short: true,
            };
            self.buckets.insert(customer.clone(), emptied);
        } else if let Some(bucket) = self.buckets.get_mut(customer) {
            bucket.is_short = false;
        }
    }

    /// Whether a customer was not well within its quota when the accounts were last asked.
    pub fn is_short(&self, customer: &CustomerName) -> bool {
        let bucket = self.buckets.get(customer);
        bucket.is_some_and(|bucket| bucket.is_short)
    }

    /// Takes units of this gateway's part, or tells in how many milliseconds there will be
    /// enough.
    pub fn take(
        &mut self,
        customer: &CustomerName,
        quota: QuotaPolicy,
        units: u64,
        now_ms: u64,
    ) -> Result<(), u64> {
        let gateways = self.gateways();
        let is_outdated = self.gateways > 0 && now_ms >= self.gateways_until_ms;
        let ppm = match is_outdated {
            true => OWN_PPM / gateways / OUTDATED_DIVISOR,
            false => OWN_PPM / gateways,
        };
        let slack = self.slack_units * SLACK_PERCENT / 100 / gateways;
        let rate_per_s = (quota.rate_per_s * ppm / WHOLE_PPM).max(1);
        // At least one request fits, however small the part.
        let most_milli = (quota.burst * ppm / WHOLE_PPM + slack)
            .max(units)
            .saturating_mul(1000);
        let bucket = self.buckets.entry(customer.clone()).or_insert(Bucket {
            milli_units: most_milli,
            most_milli,
            filled_ms: now_ms,
            is_short: false,
        });
        bucket.fill(rate_per_s, most_milli, now_ms);
        match bucket.milli_units.checked_sub(units.saturating_mul(1000)) {
            Some(left) => {
                bucket.milli_units = left;
                Ok(())
            }
            None => Err((units.saturating_mul(1000) - bucket.milli_units) / rate_per_s),
        }
    }

    /// Gives back units of a request that did not run.
    pub fn give_back(&mut self, customer: &CustomerName, units: u64) {
        if let Some(bucket) = self.buckets.get_mut(customer) {
            bucket.milli_units = bucket
                .milli_units
                .saturating_add(units.saturating_mul(1000))
                .min(bucket.most_milli);
        }
    }

    /// Drops the buckets of customers that have no quota any more.
    pub fn keep(&mut self, has_quota: impl Fn(&CustomerName) -> bool) {
        self.buckets.retain(|customer, _| has_quota(customer));
    }
}

impl Bucket {
    fn fill(&mut self, rate_per_s: u64, most_milli: u64, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.filled_ms);
        let filled_milli = elapsed_ms.saturating_mul(rate_per_s);
        self.milli_units = self
            .milli_units
            .saturating_add(filled_milli)
            .min(most_milli);
        self.most_milli = most_milli;
        self.filled_ms = now_ms;
    }
}
