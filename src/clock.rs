//! Monotonic clock for leases.

use rustix::time::{ClockId, clock_gettime};

/// Milliseconds since the instance booted. Unlike `Instant`, this clock also advances while
/// the instance is suspended, so that leases expire during a suspension.
pub fn boot_ms() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as u64 * 1000 + now.tv_nsec as u64 / 1_000_000
}
