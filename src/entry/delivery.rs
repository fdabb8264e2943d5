//! How an answer's delivery to its caller ends, for the journal and the metrics.

use super::journal::{Journal, Step};
use crate::{
    document::TierPolicy,
    metrics,
    units::RequestId,
    verdict::{Reason, Verdict},
};
use std::{sync::Arc, time::Instant};

/// An answer that is being passed on.
pub struct Delivery {
    journal: Arc<Journal>,
    request: RequestId,
    tier: TierPolicy,
    arrived: Instant,
}

impl Delivery {
    /// Begins the delivery of the answer to a request that arrived at a time.
    pub fn begin(
        journal: Arc<Journal>,
        request: RequestId,
        tier: TierPolicy,
        arrived: Instant,
    ) -> Self {
        Self {
            journal,
            request,
            tier,
            arrived,
        }
    }

    /// The answer was passed on whole.
    pub fn finish(self) {
        let took_ms = self.arrived.elapsed().as_millis() as u64;
        self.journal.note(self.request, Step::Delivered);
        metrics::answered(&self.tier.name, took_ms <= self.tier.deadline_ms);
    }

    /// The answer broke off.
    pub fn break_off(self, verdict: Verdict, reason: &Reason) {
        let step = Step::Broken(verdict, reason.clone());
        self.journal.note(self.request, step);
        metrics::refused(&self.tier.name, verdict, reason);
    }

    /// The caller went away first.
    pub fn abandon(self) {
        self.journal.note(self.request, Step::HungUp);
        metrics::refused(&self.tier.name, Verdict::MayHaveRun, &Reason::CallerGone);
    }
}
