//! Verdicts and reasons: whether a request may have run, and why it failed.

use crate::derives::{key, record};
use std::fmt;

key! {
  /// Whether a target may have run a request.
  pub enum Verdict {
    /// No target ran it or will run it: a late dispatch is refused.
    NotRun,
    /// It was dispatched and the outcome is unknown.
    MayHaveRun,
    /// A target ran it and completed its response.
    Ran,
  }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        })
    }
}

record! {
  /// Why a request got no response from a target. `Display` gives the stable wire name.
  pub enum Reason {
    /// The service's queues are full and hold nothing of a lower tier.
    Shed,
    /// A request of a higher tier displaced it from the queue.
    Displaced,
    /// Its deadline expired.
    Expired,
    /// The agent expects to miss the deadline; another agent may meet it.
    TooSlow,
    /// The limits of the customer's contract are exhausted.
    OverLimit,
    /// No agent currently serves the service.
    NoTarget,
    /// The agent is draining.
    Leaving,
    /// The agent's document is older than the entry's.
    #[serde(rename = "DocumentBehind")]
    AgentDocumentStale,
    /// The entry's document is older than the agent's, which has this version.
    #[serde(rename = "DocumentStale")]
    EntryDocumentStale(u64),
    /// The process cannot reach the control group.
    #[serde(rename = "CutOff")]
    ControlUnreachable,
    /// The grant is unknown, used or expired.
    GrantUnknown,
    /// The link to the agent was lost.
    LinkLost,
    /// The agent restarted after the dispatch.
    AgentRestarted,
    /// The caller disconnected before the end of the response.
    #[serde(rename = "CallerGone")]
    CallerDisconnected,
    /// The target failed before its response was complete.
    TargetFailed,
    /// The control group could not commit the claim.
    ClaimUnavailable,
    /// An earlier attempt with the idempotency key is still running.
    InProgress,
    /// The idempotency key was used for a different request.
    KeyReused,
    /// The first response was too long to be recorded.
    #[serde(rename = "AnswerNotKept")]
    ResponseNotRecorded,
    /// The service requires an idempotency key.
    KeyRequired,
    /// No customer has this API key.
    UnknownCustomer,
    /// The document defines no such service.
    UnknownService,
    /// The request is malformed.
    BadRequest,
    /// The request exceeds the size limit.
    TooLarge,
    /// Its prompt holds a part that crashes targets.
    PartBlocked,
    /// It crashed each target that ran it.
    RequestBlocked,
    /// The process holds as many bytes as it may.
    Overloaded,
  }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Self::Shed => "shed",
            Self::Displaced => "displaced",
            Self::Expired => "expired",
            Self::TooSlow => "too-slow",
            Self::OverLimit => "over-limit",
            Self::NoTarget => "no-target",
            Self::Leaving => "leaving",
            Self::AgentDocumentStale => "document-behind",
            Self::EntryDocumentStale(_) => "document-stale",
            Self::ControlUnreachable => "cut-off",
            Self::GrantUnknown => "grant-unknown",
            Self::LinkLost => "link-lost",
            Self::AgentRestarted => "agent-restarted",
            Self::CallerDisconnected => "caller-gone",
            Self::TargetFailed => "target-failed",
            Self::ClaimUnavailable => "claim-unavailable",
            Self::InProgress => "in-progress",
            Self::KeyReused => "key-reused",
            Self::ResponseNotRecorded => "answer-not-kept",
            Self::KeyRequired => "key-required",
            Self::UnknownCustomer => "unknown-customer",
            Self::UnknownService => "unknown-service",
            Self::BadRequest => "bad-request",
            Self::TooLarge => "too-large",
            Self::PartBlocked => "part-blocked",
            Self::RequestBlocked => "request-blocked",
            Self::Overloaded => "overloaded",
        })
    }
}
