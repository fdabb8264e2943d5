//! Newtypes for names, ids and counts.

use crate::derives::{name, quantity};
use std::fmt;

name! {
    /// Name of a service in the document.
    ServiceName
}
name! {
    /// Name of a customer in the document.
    CustomerName
}
name! {
    /// Name of a tier in the document.
    TierName
}
name! {
    /// Name of a target, which its agent shares.
    TargetName
}
name! {
    /// Version of the software that a target runs.
    TargetVersion
}
name! {
    /// Name of a failure domain.
    FailureDomain
}
name! {
    /// Name of a process, unique in the system, such as `entry-1`.
    ProcessName
}
name! {
    /// Id of a change of the document; retries of the change carry the same id.
    ChangeId
}
name! {
    /// Caller's `Idempotency-Key`, unique per customer and service.
    IdempotencyKey
}

quantity! {
    /// Number of model tokens.
    TokenCount(u64)
}
quantity! {
    /// Priority of a tier; 0 is the highest and is shed last.
    TierRank(u8)
}
quantity! {
    /// Version of the document, incremented with each accepted change.
    DocumentVersion(u64)
}
quantity! {
    /// Number of a request's dispatch attempt, from 1.
    Attempt(u32)
}
quantity! {
    /// Identifies one run of a process and changes with each restart.
    Incarnation(u64)
}
quantity! {
    /// Number of a grant within one incarnation of an agent.
    GrantNumber(u64)
}
quantity! {
    /// Fencing token of an order: the term of the control leader that issued it.
    FencingNumber(u64)
}

/// Id of the content of a part of a prompt. Written in hexadecimal.
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
    derive_more::Display,
)]
#[serde(transparent)]
#[display("{_0:x}")]
pub struct PartId(pub u64);

impl std::str::FromStr for PartId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

impl Incarnation {
    /// Generates a random incarnation; falls back to the process id.
    pub fn random() -> Self {
        Self(getrandom::u64().unwrap_or_else(|_| u64::from(std::process::id())))
    }
}

/// Identifies a request of a caller by 128 bits.
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
    /// Generates a random id.
    pub fn random() -> Self {
        Self(Incarnation::random().0, Incarnation::random().0)
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.0, self.1)
    }
}

/// Error for a request id that is not 32 hexadecimal digits.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("a request id is 32 hexadecimal digits")]
pub struct ParseRequestIdError;

impl std::str::FromStr for RequestId {
    type Err = ParseRequestIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parse_half = |range| {
            text.get(range)
                .and_then(|part| u64::from_str_radix(part, 16).ok())
        };
        match (parse_half(0..16), parse_half(16..32)) {
            (Some(high), Some(low)) if text.len() == 32 => Ok(Self(high, low)),
            _ => Err(ParseRequestIdError),
        }
    }
}
