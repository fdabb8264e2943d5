//! The time to come back that a target's refusal names.
//!
//! | value | meaning |
//! |---|---|
//! | seconds, whole or with a fraction | that long, rounded up to milliseconds |
//! | a date | until then; nothing if it has passed |
//! | longer than [`MOST_MS`] | [`MOST_MS`] |
//! | negative, not a number, unreadable | [`UNREADABLE_MS`]: a pause was asked for |

use hyper::{HeaderMap, header};
use std::time::SystemTime;

/// The longest time that a target is believed to want nothing.
pub const MAX_WAIT_MS: u64 = 3_600_000;
/// The time that is taken where the value cannot be read.
pub const DEFAULT_WAIT_MS: u64 = 1000;
const MILLIS_PER_S: f64 = 1000.0;

/// How long a target wants nothing, in milliseconds; `None` if it does not say.
pub fn retry_after_ms(headers: &HeaderMap, now: SystemTime) -> Option<u64> {
    let value = headers.get(header::RETRY_AFTER)?;
    let text = value.to_str().unwrap_or_default().trim();
    let wait_ms = match (text.parse::<f64>(), httpdate::parse_http_date(text)) {
        (Ok(seconds), _) if seconds >= 0.0 => (seconds * MILLIS_PER_S).ceil() as u64,
        (_, Ok(date)) => date
            .duration_since(now)
            .map_or(0, |left| left.as_millis() as u64),
        _ => DEFAULT_WAIT_MS,
    };
    Some(wait_ms.min(MAX_WAIT_MS))
}
