//! The budget of repeats that all gateways share.
//!
//! A repeat is a request sent to a target after it was sent to another. In each window
//! the repeats of a service stay under a ratio of its requests plus a slack. Each gateway
//! goes by its own requests and by its part of the slack, so the sum holds without a word
//! between them.

use crate::{derives::record, rounding, units::ServiceName};
use std::collections::{BTreeMap, VecDeque};

/// The part of the budget that is used, in percent: the rest covers windows that are cut
/// elsewhere than ours, and gateways that come and go.
const USED_PERCENT: u64 = 70;
/// How finely a window is counted.
const SLICE_MS: u64 = 500;

record! {
    /// The bounds of the budget, over all gateways.
    #[derive(Copy)]
    #[serde(deny_unknown_fields)]
    pub struct RepeatBounds {
        /// Repeats for a thousand requests; in settings `ratio`, such as 0.2.
        #[serde(rename = "ratio", deserialize_with = "rounding::thousandths")]
        pub per_mille: u64,
        /// The length of a window; in settings `window_s`, in seconds.
        #[serde(rename = "window_s", deserialize_with = "rounding::thousandths")]
        pub window_ms: u64,
        /// Repeats beyond the ratio.
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

/// The repeats of one gateway.
#[derive(Debug)]
pub struct RetryBudget {
    bounds: RepeatBounds,
    services: BTreeMap<ServiceName, VecDeque<Slice>>,
}

impl RetryBudget {
    /// An empty budget.
    pub fn new(bounds: RepeatBounds) -> Self {
        Self {
            bounds,
            services: BTreeMap::new(),
        }
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, service: &ServiceName, now_ms: u64) {
        self.slice(service, now_ms).requests += 1;
    }

    /// Whether a repeat is allowed; counts it if so.
    pub fn try_spend(&mut self, service: &ServiceName, gateways: u64, now_ms: u64) -> bool {
        let is_allowed = self.remaining(service, gateways, now_ms) > 0;
        if is_allowed {
            self.slice(service, now_ms).retries += 1;
        }
        is_allowed
    }

    /// How many repeats are allowed at present.
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
