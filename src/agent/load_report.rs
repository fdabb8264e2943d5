//! What an engine says of its load: `GET /load`. It is old when it comes.

use crate::derives::record;

record! {
    /// An engine's load, some time ago.
    pub struct LoadReport {
        /// Requests in the batch and before it.
        pub open_requests: usize,
    }
}
