//! Commands of the replicated state machine, and their replies.

use super::{
    departures::{Departure, Return},
    orders::Order,
    rollouts::{RolloutAdvance, RolloutStart},
};
use crate::{
    derives::{key, record},
    stream_version::VersionChange,
    units::*,
    verdict::Verdict,
};

key! {
    /// A reservation granted by an agent; used by at most one dispatch.
    pub struct GrantId {
        /// The agent's run; grants do not outlive a restart of the agent.
        pub incarnation: Incarnation,
        /// The number of the grant within that run.
        pub number: GrantNumber,
    }
}

record! {
    /// The idempotency key that a claim is held on.
    #[derive(PartialOrd, Ord)]
    pub struct ClaimKey {
        /// The customer that sent the request.
        pub customer: CustomerName,
        /// The service that the request is for.
        pub service: ServiceName,
        /// The idempotency key sent by the caller.
        pub key: IdempotencyKey,
    }

    /// An attempt to dispatch a non-idempotent request.
    pub struct ClaimedAttempt {
        /// The request.
        pub request: RequestId,
        /// The number of the attempt.
        pub attempt: Attempt,
        /// The target that it is sent to.
        pub target: TargetName,
        /// The address of that target's agent.
        pub agent_address: String,
        /// The grant that it uses.
        pub grant: GrantId,
    }

    /// A claim as stored by the control group.
    pub struct Claim {
        /// SHA-256 of method, path and body, to distinguish a retry from a reused key.
        pub fingerprint: Vec<u8>,
        /// The attempt that holds the claim.
        pub attempt: ClaimedAttempt,
        /// When the key was first claimed, by the leader's clock.
        pub created_unix_ms: u64,
        /// The outcome so far.
        pub outcome: Outcome,
    }

    /// The outcome of a claimed request.
    pub enum Outcome {
        /// Dispatched or about to be; no outcome is recorded.
        Open,
        /// It ran, with this response.
        Answered(RecordedResponse),
        /// It ran; its response was too long to be stored.
        AnsweredLong,
        /// Proven not to have run: the key may be claimed again.
        NotRun,
        /// It may have run; final.
        MayHaveRun,
    }

    /// A response stored for retries of the request.
    pub struct RecordedResponse {
        /// The HTTP status.
        pub status: u16,
        /// The headers.
        pub headers: Vec<(String, String)>,
        /// The body.
        pub body: Vec<u8>,
    }

    /// A command to the replicated state machine.
    pub enum Command {
        /// Replaces the document.
        Apply {
            /// Identifies the change; retries get the first reply.
            change: ChangeId,
            /// The version that the change is based on.
            expected: DocumentVersion,
            /// The document as YAML, validated by the leader.
            yaml: String,
        },
        /// Replaces the document if this version is the highest so far.
        ApplyHighest {
            /// Chosen by the operator.
            version: DocumentVersion,
            /// The document as YAML, validated by the leader.
            yaml: String,
            /// The text as the operator sent it, in the operator's own format.
            source: String,
        },
        /// Claims a key before a dispatch.
        Claim {
            /// The key to claim.
            key: ClaimKey,
            /// See [`Claim::fingerprint`].
            fingerprint: Vec<u8>,
            /// The attempt that is about to be dispatched.
            attempt: ClaimedAttempt,
            /// The earlier attempt that the agent has proven not to have run.
            replaces: Option<(RequestId, Attempt)>,
            /// The leader's wall clock.
            now_unix_ms: u64,
        },
        /// Records the outcome of a claim; the first recorded outcome is final.
        Settle {
            /// The claimed key.
            key: ClaimKey,
            /// The request that holds the claim.
            request: RequestId,
            /// The attempt that holds the claim.
            attempt: Attempt,
            /// Its outcome.
            outcome: Outcome,
        },
        /// Changes the desired state of a target.
        Order {
            /// The target.
            target: TargetName,
            /// The change.
            order: Order,
        },
        /// Deletes old claims.
        ExpireClaims {
            /// Claims created before this time are deleted.
            before_unix_ms: u64,
        },
        /// Records that a run of a target gets no new requests.
        Depart(Departure),
        /// Orders a rollout.
        StartRollout(RolloutStart),
        /// Changes the stage of a rollout.
        AdvanceRollout(RolloutAdvance),
        /// Records that a run of a target is there although it counted as leaving or as gone.
        Return(Return),
        /// Records that targets of a service run a version, or no longer run it.
        ChangeVersion(VersionChange),
    }

    /// The reply to a command.
    pub enum Reply {
        /// The document is accepted.
        Applied(DocumentVersion),
        /// Another change was accepted first.
        Lost {
            /// The version in force.
            current: DocumentVersion,
            /// The change that set it.
            winner: ChangeId,
        },
        /// The change ID was already used for a different document or base version.
        ChangeReused,
        /// The key is claimed; the request may be dispatched.
        Claimed,
        /// Another claim holds the key.
        Held(Claim),
        /// The recorded outcome; `None` if there is no claim.
        Settled(Option<Outcome>),
        /// The command was applied.
        Done,
        /// Another rollout of the service is in progress.
        RolloutConflict,
    }
}

impl Outcome {
    /// Size of the recorded response, in bytes.
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

    /// The verdict that corresponds to the outcome.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Answered(_) | Self::AnsweredLong => Verdict::Ran,
            Self::NotRun => Verdict::NotRun,
            Self::Open | Self::MayHaveRun => Verdict::MayHaveRun,
        }
    }
}
