//! Commands of the replicated state machine, and their replies.

use super::orders::Order;
use crate::{
    derives::{key, record},
    units::*,
    verdict::Verdict,
};

key! {
    /// A place that an agent granted; used by one dispatch at most.
    pub struct GrantId {
        /// The agent's run. A restarted agent knows no earlier grant.
        pub incarnation: Incarnation,
        /// The grant within that run.
        pub number: GrantNumber,
    }
}

record! {
    /// What a claim is made for.
    #[derive(PartialOrd, Ord)]
    pub struct ClaimKey {
        /// Whose request it is.
        pub customer: CustomerName,
        /// The service that is to run it.
        pub service: ServiceName,
        /// The caller's key.
        pub key: IdempotencyKey,
    }

    /// One dispatch of a non-idempotent request.
    pub struct ClaimedAttempt {
        /// The request.
        pub request: RequestId,
        /// The number of the dispatch.
        pub attempt: Attempt,
        /// The target that it goes to.
        pub target: TargetName,
        /// The address of that target's agent.
        pub agent_address: String,
        /// The grant that it uses.
        pub grant: GrantId,
    }

    /// A claim as the control group keeps it.
    pub struct Claim {
        /// SHA-256 of method, path and body, to tell a resend from a reused key.
        pub fingerprint: Vec<u8>,
        /// The dispatch that holds the claim.
        pub attempt: ClaimedAttempt,
        /// When it was first made, by the leader's clock.
        pub created_unix_ms: u64,
        /// What became of it.
        pub outcome: Outcome,
    }

    /// What became of a claimed request.
    pub enum Outcome {
        /// Dispatched or about to be; the fate is not recorded.
        Open,
        /// It ran; this is its answer.
        Answered(RecordedAnswer),
        /// It ran; its answer was too long to be kept.
        AnsweredLong,
        /// Proved not to have run: the key is free for another attempt.
        NotRun,
        /// It may have run, for good.
        MayHaveRun,
    }

    /// An answer kept for resends.
    pub struct RecordedAnswer {
        /// The HTTP status.
        pub status: u16,
        /// The headers.
        pub headers: Vec<(String, String)>,
        /// The body.
        pub body: Vec<u8>,
    }

    /// A change of the replicated state.
    pub enum Command {
        /// Replaces the document.
        Apply {
            /// Identifies the change; a resend gets the first result.
            change: ChangeId,
            /// The version that the change was made from.
            expected: DocumentVersion,
            /// The document as YAML, checked by the leader.
            yaml: String,
        },
        /// Replaces the document if this version is the highest so far.
        ApplyHighest {
            /// Chosen by the operator.
            version: DocumentVersion,
            /// The document as YAML, checked by the leader.
            yaml: String,
            /// The text as the operator sent it, in the operator's own format.
            source: String,
        },
        /// Claims a key before a dispatch.
        Claim {
            /// What is claimed.
            key: ClaimKey,
            /// See [`Claim`].
            fingerprint: Vec<u8>,
            /// The dispatch that is about to be made.
            attempt: ClaimedAttempt,
            /// The earlier dispatch that the agent proved not to have run.
            replaces: Option<(RequestId, Attempt)>,
            /// The leader's wall clock.
            now_unix_ms: u64,
        },
        /// Records what became of a claim. The first record stays.
        Settle {
            /// What was claimed.
            key: ClaimKey,
            /// The dispatch that is settled.
            request: RequestId,
            /// See `request`.
            attempt: Attempt,
            /// What became of it.
            outcome: Outcome,
        },
        /// Changes the state that a target is to be in.
        Order {
            /// The target.
            target: TargetName,
            /// The change.
            order: Order,
        },
        /// Forgets claims made before a time.
        ExpireClaims {
            /// The oldest time that is kept.
            before_unix_ms: u64,
        },
    }

    /// What a command came to.
    pub enum Reply {
        /// The document is accepted.
        Applied(DocumentVersion),
        /// Another change came first.
        Lost {
            /// The version in force.
            current: DocumentVersion,
            /// The change that made it.
            winner: ChangeId,
        },
        /// The change id was used for another document.
        ChangeReused,
        /// The claim is made: dispatch.
        Claimed,
        /// The key is claimed already.
        Held(Claim),
        /// The outcome on record.
        Settled(Option<Outcome>),
        /// The command was carried out.
        Done,
    }
}

impl Outcome {
    /// The bytes of the answer that it holds.
    pub fn answer_bytes(&self) -> usize {
        match self {
            Self::Answered(answer) => {
                let headers = answer.headers.iter();
                let header_bytes = headers.map(|(name, value)| name.len() + value.len());
                answer.body.len() + header_bytes.sum::<usize>()
            }
            _ => 0,
        }
    }

    /// The verdict that it stands for.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Answered(_) | Self::AnsweredLong => Verdict::Ran,
            Self::NotRun => Verdict::NotRun,
            Self::Open | Self::MayHaveRun => Verdict::MayHaveRun,
        }
    }
}
