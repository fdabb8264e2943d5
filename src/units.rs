//! Newtypes for ids, sizes and rates.

use crate::derives::{name, quantity};
use std::fmt;

name! {
    /// Names a service of the document.
    ServiceName
}
name! {
    /// Names a customer of the document.
    CustomerName
}
name! {
    /// Names a tier of the document.
    TierName
}
name! {
    /// Names a target; its agent carries the same name.
    TargetName
}
name! {
    /// Names a failure domain.
    FailureDomain
}
name! {
    /// Names a process in membership, such as `entry-1`.
    ProcessName
}
name! {
    /// Identifies a change of the document; a resend carries the same one.
    ChangeId
}
name! {
    /// The caller's `Idempotency-Key`, unique within one customer and service.
    IdempotencyKey
}

quantity! {
    /// A count of model tokens.
    TokenCount(u64)
}
quantity! {
    /// The rank of a tier: 0 is the highest and is shed last.
    TierRank(u8)
}
quantity! {
    /// The version of the document; it grows by one with each accepted change.
    DocumentVersion(u64)
}
quantity! {
    /// Counts the dispatches of one request, from 1.
    Attempt(u32)
}
quantity! {
    /// Identifies one run of a process; a restart has another one.
    Incarnation(u64)
}
quantity! {
    /// The number of a grant within one incarnation of an agent.
    GrantNumber(u64)
}
quantity! {
    /// A fencing number: the term of the control leader that gave an order.
    FencingNumber(u64)
}

impl Incarnation {
    /// Draws an incarnation from the operating system's generator.
    pub fn random() -> Self {
        Self(getrandom::u64().unwrap_or_else(|_| u64::from(std::process::id())))
    }
}

/// Identifies one request of one caller.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct RequestId(pub u64, pub u64);

impl RequestId {
    /// Draws an id from the operating system's generator.
    pub fn random() -> Self {
        Self(Incarnation::random().0, Incarnation::random().0)
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.0, self.1)
    }
}

/// A request id that is not 32 hexadecimal digits.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("a request id is 32 hexadecimal digits")]
pub struct ParseRequestIdError;

impl std::str::FromStr for RequestId {
    type Err = ParseRequestIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let half = |range| {
            text.get(range)
                .and_then(|part| u64::from_str_radix(part, 16).ok())
        };
        match (half(0..16), half(16..32)) {
            (Some(high), Some(low)) if text.len() == 32 => Ok(Self(high, low)),
            _ => Err(ParseRequestIdError),
        }
    }
}
