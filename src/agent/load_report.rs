//! Load report of an engine, fetched with `GET /load`. Engines report with a delay.

use crate::derives::record;

record! {
    /// Load of an engine at an earlier time.
    pub struct LoadReport {
        /// Requests in the batch and in the queue of the engine.
        pub open_requests: usize,
    }
}
