//! Rate limiting of customers' quotas: one token bucket (account) per customer, kept by the
//! leader. Pure: no I/O and no clock.
//!
//! | input | use |
//! |---|---|
//! | rate and burst of the quota in force | the account refills at the rate, up to the burst |
//! | the share that unreachable gateways may charge locally | withheld from the rate |
//! | units of a request | charged in full, or refused with the time until they are available |
//! | maximum wait of the request | charged in advance and delayed if it has the units by then |
//! | earlier refusals | each refused request is told to retry after those refused before it |
//! | time without charges before a new leader | its accounts have refilled, up to a limit |
//!
//! A unit is a request or a token, as the quota says ([`QuotaPolicy::counts_tokens`]).
//!
//! Units sent in any window never exceed (rate + tolerance) x window + burst, unless a request is
//! larger than the burst: it is charged once the account is full, and the balance then becomes
//! negative. A new leader does not know the charges of its predecessor, so its accounts start
//! empty, except for the refill of a time for which certainly nothing was charged.

use super::shares::PPM_PER_UNIT;
use crate::{derives::record, document::QuotaPolicy, units::CustomerName};
use std::collections::BTreeMap;

/// Level of an account, in percent of the burst, from which its customer counts as well within
/// its quota.
const AMPLE_PERCENT: i64 = 75;
/// Maximum initial level of an account, in percent of the burst. Not full, as gateways start
/// with local shares, which are the other 70 percent ([`super::shares::LOCAL_QUOTA_PPM`]).
const MAX_INITIAL_FILL_PERCENT: i64 = 30;
const MILLI_PER_UNIT: i64 = 1000;
/// Maximum length of the retry backlog, in milliseconds at the refill rate. It bounds the wait of
/// a refused request for those refused before it; the time in which the account refills the units
/// that this request lacks is added to that.
const MAX_BACKLOG_MS: i64 = 10_000;

record! {
    /// The result of a charge.
    #[derive(Copy)]
    pub enum ChargeResult {
        /// The units were charged.
        Charged {
            /// Whether the customer is well within its quota.
            is_ample: bool,
            /// Delay until the request may be sent, in milliseconds.
            after_ms: u64,
        },
        /// The units are not available.
        Refused {
            /// Time until they will be, in milliseconds.
            wait_ms: u64,
        },
    }
}

/// The accounts of all customers with a quota. See the module documentation.
#[derive(Debug, Default)]
pub struct QuotaAccounts {
    by_customer: BTreeMap<CustomerName, Account>,
    tolerance_per_s: u64,
    created_ms: u64,
    idle_ms: u64,
}

#[derive(Debug)]
struct Account {
    milli_units: i64,
    /// Units that refused requests were told to wait for and that have not been refilled since.
    backlog_milli: i64,
    refilled_ms: u64,
}

impl QuotaAccounts {
    /// Creates the accounts of a new leader. `tolerance_per_s` is the excess over each rate that
    /// the operator tolerates; `idle_ms` is the time for which certainly nothing was charged.
    pub fn new(tolerance_per_s: u64, idle_ms: u64, now_ms: u64) -> Self {
        Self {
            by_customer: BTreeMap::new(),
            tolerance_per_s,
            created_ms: now_ms,
            idle_ms,
        }
    }

    /// Charges units to a customer's account. `reserved_ppm` of the quota is withheld. A request
    /// that may wait is charged in advance, up to `max_wait_ms` ahead of the refill.
    pub fn charge(
        &mut self,
        customer: &CustomerName,
        quota: QuotaPolicy,
        units: u64,
        max_wait_ms: u64,
        reserved_ppm: u64,
        now_ms: u64,
    ) -> ChargeResult {
        let total_per_s = quota.rate_per_s.saturating_add(self.tolerance_per_s);
        let available_ppm = PPM_PER_UNIT.saturating_sub(reserved_ppm);
        let rate_per_s = signed(total_per_s.saturating_mul(available_ppm) / PPM_PER_UNIT).max(1);
        let max_milli = milli(quota.burst.max(1));
        let account = self.account(customer, quota);
        account.refill(rate_per_s, max_milli, now_ms);
        let wanted_milli = milli(units);
        // A request larger than the burst needs a full account.
        let needed_milli = wanted_milli.min(max_milli);
        let missing_milli = needed_milli.saturating_sub(account.milli_units).max(0);
        let after_ms = match missing_milli {
            0 => 0,
            // Thousandths of a unit, divided by units per second, are milliseconds.
            missing_milli => (missing_milli / rate_per_s).saturating_add(1),
        };
        if after_ms <= signed(max_wait_ms) {
            account.milli_units = account.milli_units.saturating_sub(wanted_milli);
            account.add_to_backlog(wanted_milli, rate_per_s, account.backlog_milli > 0);
            let is_ample = account.milli_units >= max_milli * AMPLE_PERCENT / 100;
            return ChargeResult::Charged {
                is_ample,
                after_ms: after_ms as u64,
            };
        }
        let wait_ms = missing_milli.saturating_add(account.backlog_milli) / rate_per_s;
        let wait_ms = wait_ms.saturating_add(1);
        account.add_to_backlog(wanted_milli, rate_per_s, true);
        ChargeResult::Refused {
            wait_ms: wait_ms as u64,
        }
    }

    /// Refunds the units of a request that did not run.
    pub fn refund(&mut self, customer: &CustomerName, units: u64) {
        if let Some(account) = self.by_customer.get_mut(customer) {
            account.milli_units = account.milli_units.saturating_add(milli(units));
        }
    }

    /// Removes the accounts of customers without a quota.
    pub fn retain(&mut self, has_quota: impl Fn(&CustomerName) -> bool) {
        self.by_customer.retain(|customer, _| has_quota(customer));
    }

    fn account(&mut self, customer: &CustomerName, quota: QuotaPolicy) -> &mut Account {
        if !self.by_customer.contains_key(customer) {
            let max_milli = milli(quota.burst.max(1));
            let idle_milli = signed(self.idle_ms).saturating_mul(signed(quota.rate_per_s));
            let account = Account {
                milli_units: idle_milli.min(max_milli * MAX_INITIAL_FILL_PERCENT / 100),
                backlog_milli: 0,
                refilled_ms: self.created_ms,
            };
            self.by_customer.insert(customer.clone(), account);
        }
        self.by_customer
            .get_mut(customer)
            .expect("it was just added")
    }
}

impl Account {
    /// Adds units to the retry backlog if `applies`. The units of a refused request always apply;
    /// those of a charged request apply while there is a backlog, as it took units for which
    /// refused requests were told to wait.
    fn add_to_backlog(&mut self, wanted_milli: i64, rate_per_s: i64, applies: bool) {
        if applies {
            let max_milli = rate_per_s.saturating_mul(MAX_BACKLOG_MS);
            self.backlog_milli = self
                .backlog_milli
                .saturating_add(wanted_milli)
                .min(max_milli);
        }
    }

    fn refill(&mut self, rate_per_s: i64, max_milli: i64, now_ms: u64) {
        let elapsed_ms = signed(now_ms.saturating_sub(self.refilled_ms));
        let refill_milli = elapsed_ms.saturating_mul(rate_per_s);
        self.milli_units = self.milli_units.saturating_add(refill_milli).min(max_milli);
        // Refilled units that other requests do not charge serve the retry backlog.
        self.backlog_milli = (self.backlog_milli - refill_milli).max(0);
        self.refilled_ms = self.refilled_ms.max(now_ms);
    }
}

fn signed(number: u64) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}

fn milli(units: u64) -> i64 {
    signed(units).saturating_mul(MILLI_PER_UNIT)
}
