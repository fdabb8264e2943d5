//! How a target announces itself to its agent: `PUT /target` on loopback.

use super::Capacity;
use crate::{derives::record, units::*};
use std::net::SocketAddr;

/// How long an announcement holds; targets renew it once a second.
pub const ANNOUNCEMENT_LEASE_MS: u64 = 2500;

record! {
    /// What a target says of itself. The body of `PUT /target`, as JSON.
    #[serde(deny_unknown_fields)]
    pub struct Announcement {
        /// The service that it serves.
        pub service: ServiceName,
        /// Where it takes requests; a loopback address.
        pub address: SocketAddr,
        /// How many requests it takes at one time.
        pub slots: usize,
        /// How many tokens it holds at one time; plain services leave it out.
        #[serde(default = "unlimited_tokens")]
        pub kv_tokens: TokenCount,
        /// Whether it streams tokens and can cancel and resume by request id.
        #[serde(default)]
        pub is_engine: bool,
        /// Whether it refuses an order with an old fencing number.
        #[serde(default)]
        pub checks_fencing: bool,
        /// Whether it wants no new work.
        #[serde(default)]
        pub leaving: bool,
    }
}

fn unlimited_tokens() -> TokenCount {
    TokenCount(u64::MAX / 4)
}

impl Announcement {
    /// What it can take at one time.
    pub fn capacity(&self) -> Capacity {
        Capacity {
            slots: self.slots.max(1),
            tokens: self.kv_tokens,
        }
    }
}
