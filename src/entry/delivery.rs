//! Records how the delivery of a response ends, in the request history and the metrics.

use super::history::{RequestHistory, Step};
use crate::{
    document::TierPolicy,
    metrics,
    units::RequestId,
    verdict::{Reason, Verdict},
};
use std::{sync::Arc, time::Instant};

/// Tracks the delivery of one response to its caller.
pub struct DeliveryTracker {
    history: Arc<RequestHistory>,
    request: RequestId,
    tier: TierPolicy,
    arrived: Instant,
}

impl DeliveryTracker {
    /// Starts to track the response to a request that arrived at `arrived`.
    pub fn new(
        history: Arc<RequestHistory>,
        request: RequestId,
        tier: TierPolicy,
        arrived: Instant,
    ) -> Self {
        Self {
            history,
            request,
            tier,
            arrived,
        }
    }

    /// Records that the complete response was delivered.
    pub fn complete(self) {
        let took_ms = self.arrived.elapsed().as_millis() as u64;
        self.history.record(self.request, Step::Delivered);
        metrics::record_response(&self.tier.name, took_ms <= self.tier.deadline_ms);
    }

    /// Records that the response failed midway.
    pub fn fail(self, verdict: Verdict, reason: &Reason) {
        let step = Step::Broken(verdict, reason.clone());
        self.history.record(self.request, step);
        metrics::record_refusal(&self.tier.name, verdict, reason);
    }

    /// Records that the caller disconnected before the end.
    pub fn abort(self) {
        self.history.record(self.request, Step::CallerDisconnected);
        metrics::record_refusal(
            &self.tier.name,
            Verdict::MayHaveRun,
            &Reason::CallerDisconnected,
        );
    }
}
