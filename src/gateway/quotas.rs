//! Local rate limiting: a token bucket per customer with this gateway's share of the quota, used
//! while the leader's accounts are unreachable.
//!
//! A customer that was near its limit at the last reply of the accounts starts with an empty
//! bucket, because it may have used up its quota.

use crate::{
    control::shares::{LOCAL_QUOTA_PPM, PPM_PER_UNIT},
    document::QuotaPolicy,
    units::CustomerName,
};
use std::collections::BTreeMap;

/// Number of gateways that is assumed until the leader has reported it.
const DEFAULT_GATEWAY_COUNT: u64 = 8;
/// Percentage of the slack that is used; the rest covers excess charges while shares
/// move between gateways.
const USED_SLACK_PERCENT: u64 = 25;
/// Divisor of an expired share: the number of gateways that it is derived from may be outdated.
const EXPIRED_SHARE_DIVISOR: u64 = 10;

#[derive(Debug)]
struct TokenBucket {
    milli_units: u64,
    capacity_milli: u64,
    refilled_ms: u64,
    /// Whether the last reply of the accounts had the customer near its limit.
    is_near_limit: bool,
}

/// Token buckets of one gateway.
#[derive(Debug, Default)]
pub struct LocalQuotas {
    buckets: BTreeMap<CustomerName, TokenBucket>,
    gateway_count: u64,
    share_expires_ms: u64,
    slack_units: u64,
}

impl LocalQuotas {
    /// Creates the state without buckets. All gateways together may exceed a quota by
    /// `slack_units` for a short time, so that a share of a small quota still covers whole
    /// requests.
    pub fn new(slack_units: u64) -> Self {
        Self {
            slack_units,
            ..Self::default()
        }
    }

    /// Sets the number of gateways and the time at which the share derived from it expires.
    pub fn set_gateway_count(&mut self, gateway_count: u64, expires_ms: u64) {
        self.gateway_count = gateway_count;
        self.share_expires_ms = expires_ms;
    }

    /// Returns the last known number of gateways.
    pub fn gateway_count(&self) -> u64 {
        match self.gateway_count {
            0 => DEFAULT_GATEWAY_COUNT,
            gateway_count => gateway_count,
        }
    }

    /// Records a reply of the leader's accounts. `is_ample` says whether the customer is well
    /// within its quota; otherwise its bucket is emptied.
    pub fn record_account_reply(&mut self, customer: &CustomerName, is_ample: bool, now_ms: u64) {
        if !is_ample {
            let empty = TokenBucket {
                milli_units: 0,
                capacity_milli: 0,
                refilled_ms: now_ms,
                is_near_limit: true,
            };
            self.buckets.insert(customer.clone(), empty);
        } else if let Some(bucket) = self.buckets.get_mut(customer) {
            bucket.is_near_limit = false;
        }
    }

    /// Returns whether the customer was near its limit at the last reply of the accounts.
    pub fn is_near_limit(&self, customer: &CustomerName) -> bool {
        let bucket = self.buckets.get(customer);
        bucket.is_some_and(|bucket| bucket.is_near_limit)
    }

    /// Charges units to this gateway's share; the error is the time in milliseconds until the
    /// share covers them.
    pub fn try_charge(
        &mut self,
        customer: &CustomerName,
        quota: QuotaPolicy,
        units: u64,
        now_ms: u64,
    ) -> Result<(), u64> {
        let gateway_count = self.gateway_count();
        let is_expired = self.gateway_count > 0 && now_ms >= self.share_expires_ms;
        let ppm = match is_expired {
            true => LOCAL_QUOTA_PPM / gateway_count / EXPIRED_SHARE_DIVISOR,
            false => LOCAL_QUOTA_PPM / gateway_count,
        };
        let local_slack = self.slack_units * USED_SLACK_PERCENT / 100 / gateway_count;
        let rate_per_s = (quota.rate_per_s * ppm / PPM_PER_UNIT).max(1);
        // A share always covers at least one request.
        let capacity_milli = (quota.burst * ppm / PPM_PER_UNIT + local_slack)
            .max(units)
            .saturating_mul(1000);
        let bucket = self.buckets.entry(customer.clone()).or_insert(TokenBucket {
            milli_units: capacity_milli,
            capacity_milli,
            refilled_ms: now_ms,
            is_near_limit: false,
        });
        bucket.refill(rate_per_s, capacity_milli, now_ms);
        match bucket.milli_units.checked_sub(units.saturating_mul(1000)) {
            Some(remaining) => {
                bucket.milli_units = remaining;
                Ok(())
            }
            None => Err((units.saturating_mul(1000) - bucket.milli_units) / rate_per_s),
        }
    }

    /// Refunds the units of a request that did not run.
    pub fn refund(&mut self, customer: &CustomerName, units: u64) {
        if let Some(bucket) = self.buckets.get_mut(customer) {
            bucket.milli_units = bucket
                .milli_units
                .saturating_add(units.saturating_mul(1000))
                .min(bucket.capacity_milli);
        }
    }

    /// Removes the buckets of customers that no longer have a quota.
    pub fn retain(&mut self, has_quota: impl Fn(&CustomerName) -> bool) {
        self.buckets.retain(|customer, _| has_quota(customer));
    }
}

impl TokenBucket {
    fn refill(&mut self, rate_per_s: u64, capacity_milli: u64, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_ms);
        let refill_milli = elapsed_ms.saturating_mul(rate_per_s);
        self.milli_units = self
            .milli_units
            .saturating_add(refill_milli)
            .min(capacity_milli);
        self.capacity_milli = capacity_milli;
        self.refilled_ms = now_ms;
    }
}
