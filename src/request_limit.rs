//! The limit on requests a second that a target states for all of its callers together, without
//! clock or I/O.
//!
//! | input | effect |
//! |---|---|
//! | an answer that states a limit | the limit is known, or becomes stricter |
//! | an answer without one, or with a higher one, to a request sent after the limit was known | the limit is lifted or raised |
//! | the same answer to a request sent earlier | none: it may have been written before the limit |
//! | an answer whose limit is not a number | none |
//! | a limit known to another process | the newer version counts; of one version, the stricter |

use crate::derives::{key, record};
use std::str::FromStr;

const MILLI_PER_REQUEST: f64 = 1000.0;
/// Largest rate that is accepted, in requests a second. A higher one limits nothing.
const MAX_REQUESTS_PER_S: f64 = 1e9;

key! {
    /// A rate of requests, in thousandths of a request a second.
    pub struct RequestRate {
        /// Thousandths of a request a second.
        pub milli_per_s: u64,
    }
}

/// A text is not a rate of requests.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{text:?} is not a number of requests a second")]
pub struct InvalidRequestRate {
    /// The text.
    text: String,
}

impl FromStr for RequestRate {
    type Err = InvalidRequestRate;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || InvalidRequestRate { text: text.into() };
        let is_decimal = |byte: u8| byte.is_ascii_digit() || byte == b'.';
        if !text.bytes().all(is_decimal) {
            return Err(invalid());
        }
        let per_s: f64 = text.parse().map_err(|_| invalid())?;
        Ok(Self {
            milli_per_s: (per_s.min(MAX_REQUESTS_PER_S) * MILLI_PER_REQUEST).floor() as u64,
        })
    }
}

impl std::fmt::Display for RequestRate {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.milli_per_s as f64 / MILLI_PER_REQUEST)
    }
}

/// What one answer of a target says about its limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StatedLimit {
    /// It states no limit.
    #[default]
    Unlimited,
    /// It states this limit.
    Limited(RequestRate),
    /// It states one that cannot be read.
    Unreadable,
}

record! {
    /// The limit of one run of a target, as processes tell it to each other.
    #[derive(Copy, Default)]
    pub struct RequestLimit {
        /// Increases when the limit is raised or lifted.
        pub version: u64,
        /// The limit; `None` if there is none.
        pub rate: Option<RequestRate>,
    }
}

impl RequestLimit {
    /// Returns whether this limit replaces another one that is known.
    pub fn supersedes(&self, known: &Self) -> bool {
        self.version > known.version
            || (self.version == known.version && is_stricter(self.rate, known.rate))
    }
}

fn is_stricter(rate: Option<RequestRate>, than: Option<RequestRate>) -> bool {
    match (rate, than) {
        (Some(rate), Some(than)) => rate < than,
        (Some(_), None) => true,
        (None, _) => false,
    }
}

/// The limit of one run of a target, as one process knows it.
#[derive(Clone, Copy, Debug, Default)]
pub struct KnownLimit {
    limit: RequestLimit,
    known_since_ms: u64,
}

impl KnownLimit {
    /// Returns the limit.
    pub fn limit(&self) -> RequestLimit {
        self.limit
    }

    /// Takes over what an answer to a request sent at `sent_ms` states; returns whether the limit
    /// has changed.
    pub fn observe(&mut self, stated: StatedLimit, sent_ms: u64, now_ms: u64) -> bool {
        let rate = match stated {
            StatedLimit::Unlimited => None,
            StatedLimit::Limited(rate) => Some(rate),
            StatedLimit::Unreadable => return false,
        };
        if rate == self.limit.rate || sent_ms < self.known_since_ms {
            return false;
        }
        self.limit = RequestLimit {
            version: self
                .limit
                .version
                .saturating_add(u64::from(!is_stricter(rate, self.limit.rate))),
            rate,
        };
        self.known_since_ms = now_ms;
        true
    }

    /// Takes over a limit known to another process; returns whether the limit has changed.
    pub fn merge(&mut self, limit: RequestLimit, now_ms: u64) -> bool {
        let is_news = limit.supersedes(&self.limit);
        if is_news {
            self.limit = limit;
            self.known_since_ms = now_ms;
        }
        is_news
    }
}
