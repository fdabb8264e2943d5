//! Refusals of requests that get no slot, and the waits that were expected.

use super::{local_share::DEFAULT_RUN_MS, *};
use crate::scheduling::admission::{self, Reports};

/// `Retry-After` if no target is known to accept work at a later time.
const NO_TARGET_RETRY_AFTER_MS: u64 = 500;

impl Targets {
    /// Builds the refusal of a request for which the agents expect this wait.
    pub(super) fn search_refusal(
        query: &SlotQuery,
        wait_ms: u64,
        is_return: bool,
        now_ms: u64,
    ) -> Refusal {
        Self::record_refusal(query, wait_ms, now_ms);
        if is_return {
            metrics::gateway_return(query.service, "refused");
        }
        let waited_ms = now_ms.saturating_sub(query.waiting.arrived_ms);
        let message = format!("a wait of {wait_ms} ms is expected, after {waited_ms} ms");
        let refusal = Refusal::not_run(Reason::Shed, message);
        refusal.retry_after(admission::retry_after_ms(wait_ms))
    }

    /// Records the expected and the actual wait of a request that got a slot.
    pub(super) fn record_search(query: &SlotQuery, reports: Reports, is_return: bool, now_ms: u64) {
        let waited_ms = now_ms.saturating_sub(query.waiting.arrived_ms);
        if let Some(expected_ms) = reports.queued_wait_ms() {
            let rank = query.waiting.rank;
            metrics::gateway_expected_wait(query.service, rank, expected_ms, waited_ms);
        }
        if is_return {
            metrics::gateway_return(query.service, "served");
        }
    }

    fn record_refusal(query: &SlotQuery, wait_ms: u64, now_ms: u64) {
        let waited_ms = now_ms.saturating_sub(query.waiting.arrived_ms);
        let rank = query.waiting.rank;
        metrics::gateway_wait_refused(query.service, rank, waited_ms, wait_ms);
    }

    /// Adds a request to the queue, unless the expected wait exceeds its deadline.
    pub(super) fn enqueue(
        state: &mut State,
        query: &SlotQuery,
        now_ms: u64,
    ) -> Result<(Ticket, oneshot::Receiver<()>), Refusal> {
        let queue = state.queues.entry(query.service.clone()).or_default();
        let wait_ms = queue.expected_wait_ms(&query.waiting, now_ms);
        let left_ms = query.waiting.deadline_at_ms.saturating_sub(now_ms);
        if wait_ms > left_ms {
            let message = format!("a wait of {wait_ms} ms is expected and {left_ms} ms are left");
            let refusal = Refusal::not_run(Reason::Shed, message);
            Self::record_refusal(query, wait_ms, now_ms);
            return Err(refusal.retry_after(admission::retry_after_ms(wait_ms)));
        }
        let ticket = queue.waiting.push(query.waiting);
        let (waker, woken) = oneshot::channel();
        queue.wakers.insert(ticket, waker);
        Ok((ticket, woken))
    }

    /// Builds the refusal for a service without an available target. If targets have paused,
    /// `Retry-After` is the time until the first pause ends.
    pub(super) fn no_target_refusal(
        &self,
        state: &State,
        query: &SlotQuery,
        now_ms: u64,
    ) -> Refusal {
        let view = self.view.load();
        let of_service = view
            .targets
            .values()
            .filter(|t| t.service == *query.service);
        let waits = of_service.filter_map(|target| match state.availability.get(target, now_ms) {
            Availability::PausedUntil(until_ms) => Some(until_ms - now_ms),
            Availability::Available | Availability::Draining => None,
        });
        let wait_ms = waits
            .min()
            .map_or(NO_TARGET_RETRY_AFTER_MS, admission::retry_after_ms);
        let message = format!("no target of {} takes work", query.service);
        Refusal::not_run(Reason::NoTarget, message).retry_after(wait_ms)
    }

    pub(super) fn shed_refusal(&self, query: &SlotQuery, message: &str) -> Refusal {
        let now_ms = clock::boot_ms();
        let mut state = self.state();
        let queue = state.queues.entry(query.service.clone()).or_default();
        let wait_ms = queue.expected_wait_ms(&query.waiting, now_ms);
        let waited_ms = now_ms.saturating_sub(query.waiting.arrived_ms);
        let wait_ms = wait_ms.max(waited_ms);
        Self::record_refusal(query, wait_ms, now_ms);
        let refusal = Refusal::not_run(Reason::Shed, message);
        refusal.retry_after(admission::retry_after_ms(wait_ms))
    }
}

impl ServiceQueue {
    /// Estimates the wait of a new request.
    fn expected_wait_ms(&self, waiting: &QueuedRequest, now_ms: u64) -> u64 {
        let ahead = self.waiting.count_ahead_of(waiting, now_ms) as u64 + 1;
        (ahead * self.run_ms.unwrap_or(DEFAULT_RUN_MS) / self.in_progress.max(1)).max(1)
    }
}
