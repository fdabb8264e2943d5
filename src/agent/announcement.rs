//! Announcement of a target to its agent, sent with `PUT /target` over loopback.

use super::Capacity;
use crate::{derives::record, stream_version::AnnouncedRun, units::*};
use std::net::SocketAddr;

/// Lease of an announcement; targets renew it once a second.
pub const ANNOUNCEMENT_LEASE_MS: u64 = 2500;

record! {
    /// Properties of a target; the JSON body of `PUT /target`.
    #[serde(deny_unknown_fields)]
    pub struct Announcement {
        /// Service that the target runs.
        pub service: ServiceName,
        /// Loopback address on which the target accepts requests.
        pub address: SocketAddr,
        /// Maximum number of concurrent requests.
        pub slots: usize,
        /// Size of the KV cache in tokens; omitted by plain services.
        #[serde(default = "unlimited_tokens")]
        pub kv_tokens: TokenCount,
        /// Whether the target streams tokens and supports cancel and resume by request id.
        #[serde(default)]
        pub is_engine: bool,
        /// Whether the target rejects orders with an outdated fencing number.
        #[serde(default)]
        pub checks_fencing: bool,
        /// Whether the target is draining.
        #[serde(default)]
        pub leaving: bool,
        /// Version of its software; empty if it states none.
        #[serde(default)]
        pub version: TargetVersion,
        /// When the target started, in Unix milliseconds by its own clock; omitted if it does not
        /// tell.
        #[serde(default)]
        pub started_unix_ms: Option<u64>,
        /// Path at which the target answers `GET` with the header `guavacove-target-started`, the
        /// same time; omitted if there is none.
        #[serde(default)]
        pub identity_path: Option<String>,
    }
}

fn unlimited_tokens() -> TokenCount {
    TokenCount(u64::MAX / 4)
}

impl Announcement {
    /// The run that it describes.
    pub fn run(&self) -> AnnouncedRun {
        AnnouncedRun {
            version: self.version.clone(),
            started_unix_ms: self.started_unix_ms,
        }
    }

    /// The capacity for admission control; at least one slot.
    pub fn capacity(&self) -> Capacity {
        Capacity {
            slots: self.slots.max(1),
            tokens: self.kv_tokens,
        }
    }
}
