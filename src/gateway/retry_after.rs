//! Parser for the `Retry-After` header of a target's refusal.
//!
//! | value | result |
//! |---|---|
//! | seconds, whole or with a fraction | that time, rounded up to milliseconds |
//! | HTTP date | time until the date; 0 if it has passed |
//! | longer than [`MAX_WAIT_MS`] | [`MAX_WAIT_MS`] |
//! | negative, not a number, unreadable | [`DEFAULT_WAIT_MS`], as the target did request a pause |

use hyper::{HeaderMap, header};
use std::time::SystemTime;

/// Maximum accepted wait.
pub const MAX_WAIT_MS: u64 = 3_600_000;
/// Wait for a value that cannot be parsed.
pub const DEFAULT_WAIT_MS: u64 = 1000;
const MILLIS_PER_S: f64 = 1000.0;

/// Returns the wait in milliseconds; `None` without the header.
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
