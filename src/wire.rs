//! Messages between entries and agents.

use crate::{
    control::command::{GrantId, Outcome},
    derives::record,
    units::*,
    verdict::{Reason, Verdict},
};
use bytes::Bytes;

record! {
    /// Asks an agent for a place in its queue. It carries no body.
    pub struct Reserve {
        /// The request.
        pub request: RequestId,
        /// Its tier's rank.
        pub tier: TierRank,
        /// The service that is to run it.
        pub service: ServiceName,
        /// The tokens of its prompt, estimated.
        pub prompt_tokens: TokenCount,
        /// The tokens of prompt and longest answer, estimated.
        pub total_tokens: TokenCount,
        /// How long it may wait and run from now on, in milliseconds.
        pub deadline_ms: u64,
        /// The entry's document.
        pub document_version: DocumentVersion,
        /// Whether the request waits even where it is expected to be late.
        pub insist: bool,
        /// Whether a place is granted at once, whatever the agent holds.
        pub push: bool,
    }

    /// The head and body of a request as the target is to get them.
    pub struct Dispatched {
        /// The HTTP method.
        pub method: String,
        /// Path and query.
        pub path: String,
        /// End-to-end headers.
        pub headers: Vec<(String, Bytes)>,
        /// The whole body.
        pub body: Bytes,
        /// The tokens of its prompt, estimated.
        pub prompt_tokens: TokenCount,
        /// Whether the agent keeps the outcome for a resend.
        pub keep_outcome: bool,
        /// The trace that the call continues.
        pub traceparent: Option<String>,
    }

    /// From an entry to an agent.
    #[allow(missing_docs)]
    pub enum ToAgent {
        /// The first message on a link.
        Hello { entry: ProcessName, incarnation: Incarnation, wants_load: bool },
        /// Asks for a place.
        Reserve(Reserve),
        /// Gives up a place or an unused grant.
        Release { request: RequestId },
        /// Uses a grant: the one dispatch of this attempt.
        Dispatch { request: RequestId, attempt: Attempt, grant: GrantId, head: Box<Dispatched> },
        /// The caller has gone: stop at the target.
        Cancel { request: RequestId, grant: GrantId },
        /// The answer's bytes up to `offset` have arrived.
        Acknowledge { request: RequestId, offset: u64 },
        /// Continues an answer on a new link.
        Resume { request: RequestId, grant: GrantId, offset: u64 },
        /// Asks what became of a grant, and withdraws it if it is unused.
        Fence { request: RequestId, grant: GrantId },
    }

    /// From an agent to an entry.
    #[allow(missing_docs)]
    pub enum FromAgent {
        /// The first message on a link.
        Hello { target: TargetName, incarnation: Incarnation },
        /// How many requests the target holds, now and then.
        Load { open_requests: usize, is_full: bool },
        /// The request waits.
        Queued { request: RequestId, ahead_tokens: TokenCount, wait_ms: u64 },
        /// A place is free: dispatch.
        Granted { request: RequestId, grant: GrantId },
        /// The request has no place here. It did not run. With `TooSlow`,
        /// `retry_after_ms` is how long it would be expected to take here.
        Refused { request: RequestId, reason: Reason, retry_after_ms: u64 },
        /// The answer's status and headers.
        Head { request: RequestId, status: u16, headers: Vec<(String, Bytes)> },
        /// A part of the answer's body.
        Data { request: RequestId, offset: u64, bytes: Bytes },
        /// The answer is whole: its length and CRC-32.
        End { request: RequestId, length: u64, crc: u32 },
        /// The answer will not be whole.
        Failed { request: RequestId, verdict: Verdict, reason: Reason },
        /// What became of a grant; `NotRun` holds for good.
        Fenced { request: RequestId, outcome: Outcome },
    }
}

impl Reserve {
    /// The tokens of the longest answer.
    pub fn answer_tokens(&self) -> TokenCount {
        TokenCount(self.total_tokens.0.saturating_sub(self.prompt_tokens.0))
    }
}

impl FromAgent {
    /// The request that it is about.
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
