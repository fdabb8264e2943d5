//! Slots within this gateway's share of a service: the leader divides the slots among the gateways
//! by their demand, and each gateway keeps a queue of its own.

use super::*;

/// While the demand of all gateways is below this percentage of the slots, no gateway is
/// limited to its share.
const UNRESTRICTED_PERCENT: u64 = 70;
/// Percentage of its share that a gateway may use: targets keep a short queue of their own.
const OVERCOMMIT_PERCENT: u64 = 130;
/// Run time of a request that is assumed before any measurement.
pub(super) const DEFAULT_RUN_MS: u64 = 300;

#[derive(Default)]
pub(super) struct ServiceQueue {
    pub(super) waiting: RequestQueue,
    pub(super) wakers: HashMap<Ticket, oneshot::Sender<()>>,
    pub(super) in_progress: u64,
    pub(super) run_ms: Option<u64>,
    /// Moving average of the time to first event or response.
    pub(super) first_ms: Option<u64>,
}

/// Removes a request from the queue when its caller disconnects.
struct QueueGuard<'a> {
    targets: &'a Targets,
    service: &'a ServiceName,
    ticket: Ticket,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.targets.state();
        let queue = state.queues.entry(self.service.clone()).or_default();
        queue.waiting.remove(self.ticket);
        queue.wakers.remove(&self.ticket);
    }
}

impl Targets {
    /// Acquires a slot within this gateway's share of the slots.
    pub(super) async fn acquire_from_share(
        self: &Arc<Self>,
        query: &SlotQuery<'_>,
    ) -> Result<SlotGuard, Refusal> {
        let now_ms = clock::boot_ms();
        if self
            .ranked_targets(&self.state(), query, now_ms)
            .0
            .is_empty()
        {
            return Err(self.no_target_refusal(&self.state(), query, now_ms));
        }
        let enqueued = {
            let mut state = self.state();
            let is_queue_empty = state
                .queues
                .entry(query.service.clone())
                .or_default()
                .waiting
                .is_empty();
            if is_queue_empty && self.has_room(&state, query.service, now_ms) {
                return self.assign_best(&mut state, query, now_ms);
            }
            Self::enqueue(&mut state, query, now_ms)?
        };
        let (ticket, woken) = enqueued;
        let queue_guard = QueueGuard {
            targets: self,
            service: query.service,
            ticket,
        };
        let left_ms = query.waiting.deadline_at_ms.saturating_sub(now_ms);
        let wake_result = timeout(Duration::from_millis(left_ms), woken).await;
        drop(queue_guard);
        let now_ms = clock::boot_ms();
        match wake_result {
            Ok(Ok(())) => self.assign_best(&mut self.state(), query, now_ms),
            Ok(Err(_)) => Err(self.shed_refusal(query, "a more urgent request took its place")),
            Err(_) => Err(self.shed_refusal(query, "no place became free in time")),
        }
    }

    /// Returns whether this gateway's share of the service's slots has a free one.
    fn has_room(&self, state: &State, service: &ServiceName, now_ms: u64) -> bool {
        let slots = self.ready_slots(state, service, now_ms);
        let in_progress = state
            .queues
            .get(service)
            .map_or(0, |queue| queue.in_progress);
        let limit = match state.shares.services.get(service) {
            Some(share) if share.wanted_by_all * 100 > slots * UNRESTRICTED_PERCENT => {
                (slots * share.ppm / PPM_PER_UNIT * OVERCOMMIT_PERCENT / 100).max(2)
            }
            _ => slots,
        };
        in_progress < limit
    }

    /// Wakes waiting requests of a service while there are free slots.
    pub(super) fn wake_queue(&self, state: &mut State, service: &ServiceName) {
        let now_ms = clock::boot_ms();
        // A woken request is counted as in progress only after its task has run.
        let mut woken = 0;
        while self.has_room_after_waking(state, service, woken, now_ms) {
            let Some(queue) = state.queues.get_mut(service) else {
                return;
            };
            let Some(ticket) = queue.waiting.next(now_ms) else {
                return;
            };
            if let Some(waker) = queue.wakers.remove(&ticket) {
                woken += u64::from(waker.send(()).is_ok());
            }
        }
    }

    /// Returns whether a slot is free if `woken` more requests are counted as in progress.
    fn has_room_after_waking(
        &self,
        state: &mut State,
        service: &ServiceName,
        woken: u64,
        now_ms: u64,
    ) -> bool {
        let Some(queue) = state.queues.get_mut(service) else {
            return false;
        };
        queue.in_progress += woken;
        let room = self.has_room(state, service, now_ms);
        if let Some(queue) = state.queues.get_mut(service) {
            queue.in_progress -= woken;
        }
        room
    }
}
