//! Decides whether the head of a target's response is one of the protocol. Pure.
//!
//! | status | the head |
//! |---|---|
//! | 200 to 599 | is a final response |
//! | 100 to 199 | is none: interim responses are skipped, and no protocol is ever switched |
//! | 600 to 999 | is none (RFC 9110, section 15) |
//!
//! The HTTP client refuses any other status line.

use hyper::StatusCode;

/// A status that no final response has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{} is not the status of a final response", _0.as_u16())]
pub struct InvalidStatus(#[error(not(source))] pub StatusCode);

/// Checks the status of a response that is to be passed on.
///
/// # Errors
/// Fails if no final response has this status.
pub fn check_status(status: StatusCode) -> Result<(), InvalidStatus> {
    match status.as_u16() {
        200..600 => Ok(()),
        _ => Err(InvalidStatus(status)),
    }
}
