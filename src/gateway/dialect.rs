//! What callers and targets say in their headers, decoded by a [`TrafficDialect`].

use crate::{derives::record, units::*};
use hyper::{HeaderMap, StatusCode};

record! {
    /// A part of a prompt, as the caller names it. Requests share parts.
    #[derive(Copy)]
    pub struct PromptPart {
        /// Identifies its content.
        pub id: u64,
        /// How long it is.
        pub tokens: u64,
    }

    /// What a caller says of its request.
    #[derive(Default)]
    pub struct Asked {
        /// The caller's own id of this attempt.
        pub id: Option<String>,
        /// How long the caller waits, from when it sent the request.
        pub deadline_ms: Option<u64>,
        /// The API key.
        pub api_key: Option<String>,
        /// The tokens of the prompt.
        pub prompt_tokens: Option<u64>,
        /// The most tokens of the answer.
        pub answer_tokens: Option<u64>,
        /// The caller's estimate of the tokens of the answer.
        pub likely_answer_tokens: Option<u64>,
        /// The parts of the prompt, in order. The last one belongs to the request or to
        /// its session.
        pub parts: Vec<PromptPart>,
        /// The last event that the caller has of an earlier attempt.
        pub resume_after: Option<u64>,
    }

    /// What a target says in the head of its answer.
    #[derive(Default)]
    pub struct Answered {
        /// The request that it answers; `None` if it does not say.
        pub id: Option<String>,
        /// Whether it states that it did not run the request.
        pub not_run: bool,
        /// Whether it states that it is not the target that was meant.
        pub is_another: bool,
        /// Whether it states that it takes no new work any more.
        pub leaves: bool,
    }
}

/// What the gateway adds to a request for a target.
#[derive(Clone, Debug)]
pub struct Forwarded<'a> {
    /// The target that is meant; any other one refuses.
    pub target: &'a TargetName,
    /// Whose request it is.
    pub customer: Option<&'a CustomerName>,
    /// How much time is left.
    pub deadline_ms: u64,
    /// The last event that the caller has.
    pub resume_after: Option<u64>,
}

/// The headers of callers and targets.
pub trait TrafficDialect: Copy + Send + Sync + 'static {
    /// Decodes what a caller says.
    fn asked(&self, headers: &HeaderMap) -> Asked;

    /// Turns a caller's headers into those for a target: drops what only the gateway may
    /// say, and adds what it says.
    fn forward(&self, headers: &mut HeaderMap, forwarded: &Forwarded);

    /// Decodes what a target says.
    fn answered(&self, status: StatusCode, headers: &HeaderMap) -> Answered;
}
