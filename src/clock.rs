//! The clock that leases are measured by.

use rustix::time::{ClockId, clock_gettime};

/// Milliseconds since the instance started. Unlike `Instant`, it goes on while the
/// instance is suspended, so that a lease runs out in that time too.
pub fn boot_ms() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as u64 * 1000 + now.tv_nsec as u64 / 1_000_000
}
