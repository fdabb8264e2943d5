//! The verdict of an attempt: may the request have run?

use crate::derives::{key, record};
use std::fmt;

key! {
  /// Whether a target may have run a request.
  pub enum Verdict {
    /// No target ran it, and none will: the dispatch is refused if it comes late.
    NotRun,
    /// It was dispatched and its fate is not known.
    MayHaveRun,
    /// A target ran it and its answer is whole.
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
  /// Why a request was not answered by a target. `Display` is the stable word.
  pub enum Reason {
    /// The service's queues are full and nothing lower waits.
    Shed,
    /// A higher tier took its place in the queue.
    Displaced,
    /// It waited until its deadline.
    Expired,
    /// The agent expects to miss its deadline; another one may not.
        TooSlow,
        /// Its customer's contract allows no more at present.
    OverLimit,
    /// No agent serves the service at present.
    NoTarget,
    /// The agent is leaving.
    Leaving,
    /// The agent has an older document than the entry.
    DocumentBehind,
    /// The entry has an older document than the agent.
    DocumentStale(u64),
    /// The process has lost touch with the control group.
    CutOff,
    /// The grant is unknown, used or out of date.
    GrantUnknown,
    /// The link to the agent was lost.
    LinkLost,
    /// The agent restarted after the dispatch.
    AgentRestarted,
    /// The caller went away before its answer was whole.
    CallerGone,
    /// The target broke off its answer.
    TargetFailed,
    /// The control group could not commit the claim.
    ClaimUnavailable,
    /// An earlier attempt with this key is still running.
    InProgress,
    /// The key was used before for another request.
    KeyReused,
    /// The first answer was too long to be kept.
    AnswerNotKept,
    /// The service requires an idempotency key.
    KeyRequired,
    /// No customer has this API key.
    UnknownCustomer,
    /// The document names no such service.
    UnknownService,
    /// The request is malformed.
    BadRequest,
    /// The request is larger than the limit.
    TooLarge,
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
            Self::DocumentBehind => "document-behind",
            Self::DocumentStale(_) => "document-stale",
            Self::CutOff => "cut-off",
            Self::GrantUnknown => "grant-unknown",
            Self::LinkLost => "link-lost",
            Self::AgentRestarted => "agent-restarted",
            Self::CallerGone => "caller-gone",
            Self::TargetFailed => "target-failed",
            Self::ClaimUnavailable => "claim-unavailable",
            Self::InProgress => "in-progress",
            Self::KeyReused => "key-reused",
            Self::AnswerNotKept => "answer-not-kept",
            Self::KeyRequired => "key-required",
            Self::UnknownCustomer => "unknown-customer",
            Self::UnknownService => "unknown-service",
            Self::BadRequest => "bad-request",
            Self::TooLarge => "too-large",
        })
    }
}
