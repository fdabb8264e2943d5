//! Messages of the protocol between entries and agents.

use crate::{
    control::command::{GrantId, Outcome},
    derives::record,
    units::*,
    verdict::{Reason, Verdict},
};
use bytes::Bytes;

record! {
    /// Request for a grant, without the body of the caller's request.
    pub struct Reserve {
        /// Id of the request.
        pub request: RequestId,
        /// Rank of its tier.
        pub tier: TierRank,
        /// Service that runs it.
        pub service: ServiceName,
        /// Estimated number of prompt tokens.
        pub prompt_tokens: TokenCount,
        /// Estimated maximum number of prompt and output tokens.
        pub total_tokens: TokenCount,
        /// Remaining time for queueing and running, in milliseconds.
        pub deadline_ms: u64,
        /// Version of the document that the entry applies.
        pub document_version: DocumentVersion,
        /// Whether the request is queued even if it is expected to miss its deadline.
        #[serde(rename = "insist")]
        pub accept_late: bool,
        /// Whether a grant is issued immediately, regardless of the load of the target.
        pub push: bool,
    }

    /// Head and body of a request as sent to the target.
    pub struct DispatchedRequest {
        /// HTTP method.
        pub method: String,
        /// Path and query.
        pub path: String,
        /// End-to-end headers.
        pub headers: Vec<(String, Bytes)>,
        /// Complete body.
        pub body: Bytes,
        /// Estimated number of prompt tokens.
        pub prompt_tokens: TokenCount,
        /// Whether the agent records the outcome for idempotent retries.
        pub keep_outcome: bool,
        /// Trace context of the caller.
        pub traceparent: Option<String>,
    }

    /// Message from an entry to an agent.
    #[allow(missing_docs)]
    pub enum ToAgent {
        /// The first message on a link.
        Hello { entry: ProcessName, incarnation: Incarnation, wants_load: bool },
        /// Requests a grant.
        Reserve(Reserve),
        /// Cancels a queued request or returns an unused grant.
        Release { request: RequestId },
        /// Uses a grant for the only dispatch of this attempt.
        Dispatch {
            request: RequestId,
            attempt: Attempt,
            grant: GrantId,
            head: Box<DispatchedRequest>,
        },
        /// The caller has disconnected: cancel the request at the target.
        Cancel { request: RequestId, grant: GrantId },
        /// The response has been received up to `offset`.
        Acknowledge { request: RequestId, offset: u64 },
        /// Resumes a response on a new link.
        Resume { request: RequestId, grant: GrantId, offset: u64 },
        /// Requests the outcome of a grant, and withdraws the grant if it is unused.
        Fence { request: RequestId, grant: GrantId },
    }

    /// Message from an agent to an entry.
    #[allow(missing_docs)]
    pub enum FromAgent {
        /// The first message on a link.
        Hello { target: TargetName, incarnation: Incarnation },
        /// Periodic report of the number of requests at the target.
        Load { open_requests: usize, is_full: bool },
        /// The request is queued.
        Queued { request: RequestId, ahead_tokens: TokenCount, wait_ms: u64 },
        /// The request may be dispatched with this grant.
        Granted { request: RequestId, grant: GrantId },
        /// The request is refused and did not run. With `TooSlow`, `retry_after_ms` is the time
        /// that it was expected to take at this target.
        Refused { request: RequestId, reason: Reason, retry_after_ms: u64 },
        /// Status and headers of the response. `connection: close` is among the headers if the
        /// response of the target has neither a length nor chunks.
        Head { request: RequestId, status: u16, headers: Vec<(String, Bytes)> },
        /// A part of the response body.
        Data { request: RequestId, offset: u64, bytes: Bytes },
        /// The response is complete; carries the length and CRC-32 of its body.
        End { request: RequestId, length: u64, crc: u32 },
        /// The response failed and remains incomplete. With the verdict `Ran` it ended with the
        /// connection to its target, and it is not known whether it is complete.
        Failed { request: RequestId, verdict: Verdict, reason: Reason },
        /// The outcome of a grant; `NotRun` is final.
        Fenced { request: RequestId, outcome: Outcome },
    }
}

impl Reserve {
    /// Estimated maximum number of output tokens.
    pub fn output_tokens(&self) -> TokenCount {
        TokenCount(self.total_tokens.0.saturating_sub(self.prompt_tokens.0))
    }
}

impl FromAgent {
    /// The request that the message refers to.
    pub fn request(&self) -> Option<RequestId> {
        match self {
            Self::Hello { .. } | Self::Load { .. } => None,
            Self::Queued { request, .. }
            | Self::Granted { request, .. }
            | Self::Refused { request, .. }
            | Self::Head { request, .. }
            | Self::Data { request, .. }
            | Self::End { request, .. }
            | Self::Failed { request, .. }
            | Self::Fenced { request, .. } => Some(*request),
        }
    }
}
