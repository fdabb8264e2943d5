//! Messages between gateways and admission agents.
//!
//! Variants are numbered by their position in the encoding: new ones are added at the end only, so
//! that processes of different versions understand the ones that both have.

use crate::{
    derives::{quantity, record},
    request_limit::RequestLimit,
    scheduling::fair_share::ShareHolder,
    stream_records::StreamKey,
    target_pace::TargetSpeed,
    units::*,
};

quantity! {
    /// Identifies a request on one link between a gateway and an agent.
    TicketNumber(u64)
}

record! {
    /// Request for a slot at the agent's target. Times are relative, so that gateway and agent
    /// need no synchronized clocks.
    pub struct SlotRequest {
        /// Identifies the request on this link.
        pub ticket: TicketNumber,
        /// Start time of the intended run of the target; a later run replaces an earlier one.
        pub started_unix_ms: u64,
        /// Maximum number of requests that the target runs concurrently.
        pub slots: u32,
        /// Tier of the customer.
        pub rank: TierRank,
        /// Tier of the route.
        pub route_rank: TierRank,
        /// Time that the request has already waited.
        pub waited_ms: u64,
        /// Time until the objective passes.
        pub objective_left_ms: u64,
        /// Time left to start the request so that its first event arrives before the caller
        /// disconnects.
        pub begin_left_ms: u64,
        /// Time until the caller disconnects without a complete response.
        pub deadline_left_ms: u64,
        /// Expected work; see [`work_units`].
        pub work_units: u64,
        /// Number of prompt tokens.
        pub prompt_tokens: u64,
        /// Longest pause between events that still meets the objective; 0 if there is no
        /// limit.
        pub pause_ms: u64,
        /// Identifies a request that its caller retries after a refusal.
        pub fingerprint: u64,
        /// Whether the request has priority over others of its tier because long requests got
        /// less than their share of the slots.
        pub is_favoured: bool,
        /// Limit of that run of the target, as the gateway knows it.
        pub limit: RequestLimit,
        /// Whether the request was refused before, as the agent that remembers it reported.
        pub is_return: bool,
        /// Whose slot time the request is charged to.
        pub share: ShareHolder,
    }

    /// Message from a gateway to an admission agent.
    pub enum ToAdmissionAgent {
        /// Requests a slot.
        Ask(SlotRequest),
        /// Reports the first event of a request that holds a slot.
        #[serde(rename = "Began")]
        FirstEvent {
            /// See [`SlotRequest::ticket`].
            ticket: TicketNumber,
        },
        /// Releases a slot or cancels a queued request.
        #[serde(rename = "Drop")]
        Release {
            /// See [`SlotRequest::ticket`].
            ticket: TicketNumber,
            /// Run time of the request, if its response was complete.
            ran_ms: Option<u64>,
        },
        /// Reports that the target accepts no new work.
        #[serde(rename = "Leaves")]
        Draining {
            /// Start time of that run of the target.
            started_unix_ms: u64,
        },
        /// Reports the limit that the target states.
        Limit {
            /// Start time of that run of the target.
            started_unix_ms: u64,
            /// The limit.
            limit: RequestLimit,
        },
        /// Releases a granted slot for which no request was sent, or cancels a queued request.
        Unused {
            /// See [`SlotRequest::ticket`].
            ticket: TicketNumber,
        },
        /// Opens the queue of a plain target at this agent, as the first message on a link. All
        /// later messages on the link concern that target instead of the agent's own. An agent of
        /// an older version cannot decode it and closes the link.
        Keep {
            /// The plain target.
            target: TargetName,
            /// Whether the gateway used another agent for this target before.
            is_replacement: bool,
        },
        /// Announces a request that another agent granted a slot and that is running.
        Resume(SlotRequest),
        /// Reports that the target refused a granted request because it is full, without running
        /// it. The gateway also releases the slot.
        Full {
            /// See [`SlotRequest::ticket`].
            ticket: TicketNumber,
        },
        /// Cancels a queued request whose caller is refused.
        Abandoned {
            /// See [`SlotRequest::ticket`].
            ticket: TicketNumber,
        },
        /// Asks whether a request was refused before. A hash of the fingerprint names the agent
        /// that remembers it.
        Recall {
            /// Identifies the question on this link, like a ticket.
            ticket: TicketNumber,
            /// See [`SlotRequest::fingerprint`].
            fingerprint: u64,
        },
        /// Reports a refusal to the agent that remembers it.
        Remember {
            /// See [`SlotRequest::fingerprint`].
            fingerprint: u64,
        },
        /// Records the version that began a stream.
        RecordStream {
            /// The stream.
            key: StreamKey,
            /// The version of the target that began it.
            version: TargetVersion,
        },
        /// Asks for the version that began a stream.
        RecallStream {
            /// Identifies the question on this link, like a ticket.
            ticket: TicketNumber,
            /// The stream.
            key: StreamKey,
        },
    }

    /// Message from an admission agent to a gateway.
    pub enum FromAdmissionAgent {
        /// Grants a slot: the request can be sent.
        Granted {
            /// See [`SlotRequest::ticket`].
            ticket: TicketNumber,
            /// Speed of the target.
            #[serde(rename = "pace")]
            speed: TargetSpeed,
        },
        /// The request is queued.
        Queued {
            /// See [`SlotRequest::ticket`].
            ticket: TicketNumber,
            /// Expected wait.
            wait_ms: u64,
            /// Speed of the target.
            #[serde(rename = "pace")]
            speed: TargetSpeed,
        },
        /// The request is refused, because it would have to wait too long.
        Refused {
            /// See [`SlotRequest::ticket`].
            ticket: TicketNumber,
            /// Wait that the request would have had.
            wait_ms: u64,
        },
        /// The target accepts no new work.
        #[serde(rename = "Leaves")]
        Draining {
            /// See [`SlotRequest::ticket`].
            ticket: TicketNumber,
        },
        /// The request is refused, because the limit that the target states allows it too late.
        Limited {
            /// See [`SlotRequest::ticket`].
            ticket: TicketNumber,
            /// Wait that the request would have had.
            wait_ms: u64,
        },
        /// The agent keeps the queue that [`ToAdmissionAgent::Keep`] named. Refers to no request:
        /// its ticket is 0.
        Kept {
            /// Always 0.
            ticket: TicketNumber,
        },
        /// The reply to [`ToAdmissionAgent::Recall`].
        Recalled {
            /// Ticket of the question.
            ticket: TicketNumber,
            /// Whether the request was refused before.
            is_return: bool,
        },
        /// The reply to [`ToAdmissionAgent::RecallStream`].
        RecalledStream {
            /// Ticket of the question.
            ticket: TicketNumber,
            /// The version that began the stream; `None` if it is not recorded here.
            version: Option<TargetVersion>,
        },
    }
}

/// Number of prompt tokens that cost as much as one output token: engines process prompts in
/// parallel.
const PROMPT_TOKENS_PER_UNIT: u64 = 64;

/// Largest work of a request: callers declare the token counts, and a larger one is a mistake that
/// would outweigh all others in an average.
const MAX_WORK_UNITS: u64 = 1024 * 1024;

/// Returns the work of a request, in units of one output token.
pub fn work_units(prompt_tokens: u64, output_tokens: u64) -> u64 {
    let units = output_tokens.saturating_add(prompt_tokens / PROMPT_TOKENS_PER_UNIT);
    units.saturating_add(1).min(MAX_WORK_UNITS)
}

impl FromAdmissionAgent {
    /// Returns the target's speed, if the message contains it.
    pub fn speed(&self) -> Option<TargetSpeed> {
        match self {
            Self::Granted { speed, .. } | Self::Queued { speed, .. } => Some(*speed),
            Self::Refused { .. }
            | Self::Draining { .. }
            | Self::Limited { .. }
            | Self::Kept { .. }
            | Self::Recalled { .. }
            | Self::RecalledStream { .. } => None,
        }
    }

    /// Returns the ticket of the request that the message refers to.
    pub fn ticket(&self) -> TicketNumber {
        match self {
            Self::Granted { ticket, .. }
            | Self::Queued { ticket, .. }
            | Self::Refused { ticket, .. }
            | Self::Limited { ticket, .. }
            | Self::Kept { ticket }
            | Self::Recalled { ticket, .. }
            | Self::RecalledStream { ticket, .. }
            | Self::Draining { ticket } => *ticket,
        }
    }
}
