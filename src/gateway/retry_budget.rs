//! Retry budget per service, shared by all gateways without communication.
//!
//! A retry is a request sent to a target after it was sent to another one. In each window, the
//! retries of a service are limited to a ratio of its requests plus a slack. Each gateway counts
//! its own requests and uses an equal share of the slack, so the limit holds for their sum.

use crate::{derives::record, rounding, units::ServiceName};
use std::collections::{BTreeMap, VecDeque};

/// Percentage of the budget that is used: the rest covers windows with other boundaries, and
/// gateways that join or leave.
const USED_PERCENT: u64 = 70;
/// Resolution of the sliding window.
const SLICE_MS: u64 = 500;

record! {
    /// Limits of the retry budget over all gateways.
    #[derive(Copy)]
    #[serde(deny_unknown_fields)]
    pub struct RetryBudgetLimits {
        /// Retries per thousand requests; `ratio` in settings, such as 0.2.
        #[serde(rename = "ratio", deserialize_with = "rounding::thousandths")]
        pub per_mille: u64,
        /// Length of the window; `window_s` in settings, in seconds.
        #[serde(rename = "window_s", deserialize_with = "rounding::thousandths")]
        pub window_ms: u64,
        /// Number of retries allowed in addition to the ratio.
        #[serde(deserialize_with = "rounding::down")]
        pub slack: u64,
    }

    #[derive(Copy, Default)]
    struct Slice {
        start_ms: u64,
        requests: u64,
        #[serde(rename = "repeats")]
        retries: u64,
    }
}

/// Retry budget of one gateway.
#[derive(Debug)]
pub struct RetryBudget {
    bounds: RetryBudgetLimits,
    services: BTreeMap<ServiceName, VecDeque<Slice>>,
}

impl RetryBudget {
    /// Creates a budget without recorded requests.
    pub fn new(bounds: RetryBudgetLimits) -> Self {
        Self {
            bounds,
            services: BTreeMap::new(),
        }
    }

    /// Records a caller's request, which adds to the budget.
    pub fn record_request(&mut self, service: &ServiceName, now_ms: u64) {
        self.slice(service, now_ms).requests += 1;
    }

    /// Spends one retry; returns `false` if the budget is used up.
    pub fn try_spend(&mut self, service: &ServiceName, gateways: u64, now_ms: u64) -> bool {
        let is_allowed = self.remaining(service, gateways, now_ms) > 0;
        if is_allowed {
            self.slice(service, now_ms).retries += 1;
        }
        is_allowed
    }

    /// Returns the number of retries currently allowed.
    pub fn remaining(&mut self, service: &ServiceName, gateways: u64, now_ms: u64) -> u64 {
        self.slice(service, now_ms);
        let slices = &self.services[service];
        let requests: u64 = slices.iter().map(|slice| slice.requests).sum();
        let retries: u64 = slices.iter().map(|slice| slice.retries).sum();
        let slack = self.bounds.slack / gateways.max(1);
        let limit = (requests * self.bounds.per_mille / 1000 + slack) * USED_PERCENT / 100;
        limit.saturating_sub(retries)
    }

    fn slice(&mut self, service: &ServiceName, now_ms: u64) -> &mut Slice {
        let window_ms = self.bounds.window_ms;
        let slices = self.services.entry(service.clone()).or_default();
        while slices
            .front()
            .is_some_and(|slice| slice.start_ms + window_ms <= now_ms)
        {
            slices.pop_front();
        }
        if slices
            .back()
            .is_none_or(|slice| slice.start_ms + SLICE_MS <= now_ms)
        {
            slices.push_back(Slice {
                start_ms: now_ms,
                ..Slice::default()
            });
        }
        slices.back_mut().expect("one was just added")
    }
}
