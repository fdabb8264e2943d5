//! Header metadata of callers and targets, decoded and encoded by a [`TrafficDialect`].

use crate::{derives::record, request_limit::StatedLimit, target_run::RunStatement, units::*};
use hyper::{HeaderMap, StatusCode};

record! {
    /// A part of a prompt as declared by the caller. Several requests may share a part.
    #[derive(Copy, derive_more::Display)]
    #[display("{id}:{tokens}")]
    pub struct PromptPart {
        /// Id of the content.
        pub id: PartId,
        /// Length in tokens.
        pub tokens: u64,
    }

    /// Metadata that a caller sends with its request.
    #[derive(Default)]
    pub struct RequestMetadata {
        /// The caller's id of this attempt.
        pub id: Option<String>,
        /// Time that the caller waits, from when it sent the request.
        pub deadline_ms: Option<u64>,
        /// API key of the customer.
        pub api_key: Option<String>,
        /// Number of prompt tokens.
        pub prompt_tokens: Option<u64>,
        /// Maximum number of output tokens.
        pub answer_tokens: Option<u64>,
        /// The caller's estimate of the number of output tokens.
        pub likely_answer_tokens: Option<u64>,
        /// Parts of the prompt, in order. The last one belongs to the request or its session.
        pub parts: Vec<PromptPart>,
        /// Id of the last event that the caller received in an earlier attempt.
        pub resume_after: Option<u64>,
        /// Id of the attempt that brought the first event of the stream that the caller takes up.
        pub resumes: Option<String>,
    }

}

/// Metadata in the head of a target's response.
#[derive(Clone, Debug, Default)]
pub struct ResponseMetadata {
    /// Id of the request that the response belongs to; `None` if not stated.
    pub id: Option<String>,
    /// Whether the target states that it did not run the request.
    pub not_run: bool,
    /// Whether the target states that the request was meant for another one.
    pub is_another: bool,
    /// Whether the target states that it accepts no new work.
    pub leaves: bool,
    /// The rate of requests from all gateways together that the target states as its limit.
    pub limit: StatedLimit,
}

/// Metadata that the gateway adds to a request for a target.
#[derive(Clone, Debug)]
pub struct ForwardedMetadata<'a> {
    /// Target that the request is meant for; any other one refuses it.
    pub target: &'a TargetName,
    /// Customer of the request.
    pub customer: Option<&'a CustomerName>,
    /// Time left until the deadline.
    pub deadline_ms: u64,
    /// Id of the last event that the caller received.
    pub resume_after: Option<u64>,
}

/// Encoding of metadata in the headers of callers and targets.
pub trait TrafficDialect: Copy + Send + Sync + 'static {
    /// Decodes the metadata of a caller's request.
    fn decode_request(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Turns a caller's headers into those for a target: removes headers that only the gateway
    /// may set, and adds its own.
    fn encode_request(&self, headers: &mut HeaderMap, forwarded: &ForwardedMetadata);

    /// Decodes the metadata of a target's response.
    fn decode_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseMetadata;

    /// Decodes what a target says of its run, in a response at an identity path of its service.
    fn decode_run(&self, headers: &HeaderMap, body: &[u8]) -> RunStatement;
}
