//! When a stopping gateway is killed, and until when it has to end its responses.

use crate::clock;
use std::time::Duration;
use tokio::sync::watch;

/// Time before the process is killed at which a response must be complete to reach its caller.
const SHUTDOWN_MARGIN_MS: u64 = 200;

/// The time at which the process is killed; unknown until it stops.
#[derive(Default)]
pub struct StopTime {
    killed_at_ms: watch::Sender<Option<u64>>,
}

impl StopTime {
    /// Records that the process stops, and when it is killed.
    pub fn begin(&self, killed_at_ms: u64) {
        self.killed_at_ms.send_replace(Some(killed_at_ms));
    }

    /// Returns whether the process stops.
    pub fn is_stopping(&self) -> bool {
        self.killed_at_ms.borrow().is_some()
    }

    /// Returns whether a request with this deadline may still run when the process is killed. Only
    /// its deadline is a safe bound: the expected run time is often far off.
    pub fn may_be_outlived(&self, deadline_at_ms: u64) -> bool {
        let killed_at_ms = *self.killed_at_ms.borrow();
        killed_at_ms.is_some_and(|at_ms| deadline_at_ms + SHUTDOWN_MARGIN_MS > at_ms)
    }

    /// Completes when all responses have to end.
    pub async fn reached(&self) {
        let mut killed_at_ms = self.killed_at_ms.subscribe();
        // The sender lives as long as `self`.
        let known = killed_at_ms.wait_for(Option::is_some).await;
        let at_ms = known.map_or(None, |at_ms| *at_ms).unwrap_or(u64::MAX);
        let left_ms = at_ms.saturating_sub(clock::boot_ms() + SHUTDOWN_MARGIN_MS);
        tokio::time::sleep(Duration::from_millis(left_ms)).await;
    }
}
