//! The control group's RPC: JSON-RPC over HTTP.

use super::{
    command::{Claim, ClaimKey, ClaimedAttempt, Outcome},
    directory::{TargetAnnouncement, TargetChanges, TargetEntry, TargetsPosition},
    limits::{LimitGrant, LimitWant},
    members::*,
    orders::{Order, TargetOrders},
    roster::InstanceAddresses,
    shares::{Demand, Shares},
    state::AcceptedDocument,
};
use crate::{derives::record, document::Faults, units::*};
use jsonrpsee::{
    core::RpcResult,
    proc_macros::rpc,
    types::{ErrorObjectOwned, error::ErrorCode},
};

record! {
    /// Announces a process, renews its lease and asks for what it lacks.
    pub struct SyncRequest {
        /// The process.
        pub member: Member,
        /// The document that it has in force.
        pub document_version: DocumentVersion,
        /// What it has in progress.
        pub load: ProcessLoad,
        /// How far it has followed the members; `None` if it needs none.
        pub members_wanted: bool,
        /// See `members_wanted`.
        pub members_seen: Option<MembersPosition>,
        /// How far it has followed the directory of targets; only a gateway does.
        pub targets_seen: Option<TargetsPosition>,
        /// What a gateway was asked for lately.
        pub demand: Demand,
        /// The orders to its target that it knows.
        pub orders: TargetOrders,
        /// How long the leader may wait for something new, in milliseconds.
        pub wait_ms: u64,
        /// Whether the process says goodbye.
        pub goodbye: bool,
    }

    /// What a process lacks.
    #[derive(Default)]
    pub struct SyncReply {
        /// How long the leader held the request back, in milliseconds: the reply is
        /// of that much later, at the least, than when the request was sent.
        pub held_ms: u64,
        /// The leader's fencing number.
        pub fencing: FencingNumber,
        /// The document, if the process has an older one.
        pub document: Option<AcceptedDocument>,
        /// What it lacks of the members.
        pub members: Option<MemberChanges>,
        /// The state that its target is to be in.
        pub orders: TargetOrders,
        /// What a gateway lacks of the directory of targets.
        pub targets: Option<TargetChanges>,
        /// A gateway's parts; `None` while the leader does not know all demand yet.
        pub shares: Option<Shares>,
        /// Where the leader charges customers' quotas.
        pub accounts: Option<std::net::SocketAddr>,
        /// The RPC addresses of the control instances at present.
        pub control: Vec<std::net::SocketAddr>,
    }

    /// What any replica knows for itself: committed, but perhaps not the latest.
    #[derive(Default)]
    pub struct Known {
        /// The document; version 0 if none is known.
        pub document: AcceptedDocument,
        /// The targets.
        pub targets: Vec<TargetAnnouncement>,
        /// How many gateways there are; 0 if that is not known.
        pub gateways: u64,
    }

    /// What is wanted of an instance that may not lead.
    #[derive(Copy)]
    pub enum Wanted {
        /// Which document it knows: little to send, so that all may be asked.
        Version,
        /// The targets that it knows.
        Targets,
        /// All that it knows.
        All,
    }

    /// What any control instance answers, led or not.
    #[derive(Default)]
    pub struct PeekReply {
        /// The version of the document that its replica knows; 0 if it knows none.
        pub version: DocumentVersion,
        /// What its replica knows, as far as it is wanted.
        pub known: Known,
        /// The RPC addresses of the control instances that it has heard of lately.
        pub control: Vec<std::net::SocketAddr>,
    }

    /// The answer to a change of the document.
    pub enum ApplyReply {
        /// It is accepted.
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
    }

    /// The answer to a claim.
    pub enum ClaimReply {
        /// Dispatch.
        Claimed,
        /// The key is claimed already.
        Held(Box<Claim>),
    }

    /// One replica, as the leader sees it.
    pub struct ReplicaStatus {
        /// The replica.
        pub id: String,
        /// Voter or learner.
        pub voter: bool,
        /// The last entry that it is known to hold.
        pub match_index: u64,
    }

    /// The state of the control group and of all processes.
    pub struct StatusReply {
        /// The leader's replica.
        pub leader: String,
        /// Its term.
        pub term: FencingNumber,
        /// The last committed entry.
        pub commit_index: u64,
        /// The replicas.
        pub replicas: Vec<ReplicaStatus>,
        /// The document's version.
        pub document_version: DocumentVersion,
        /// How many claims are kept.
        pub claims: u64,
        /// The state that each target is to be in, where it was ordered.
        pub orders: Vec<(TargetName, TargetOrders)>,
        /// Every process, as of its last renewal.
        pub processes: Vec<ProcessStatus>,
        /// Every target that announced itself to the control group.
        pub targets: Vec<TargetEntry>,
    }
}

impl Known {
    /// The same less the text that operators sent, which only they read.
    pub fn without_source(mut self) -> Self {
        self.document.source = None;
        self
    }

    /// Takes what a target says of itself while there is no leader; returns whether it is
    /// news. It is not acknowledged, so the target says it again. Only a later start at a
    /// known address is taken: what withdrew or leaves is known to leaders alone.
    pub fn replace_restarted(&mut self, announcement: TargetAnnouncement) -> bool {
        let replaced = self.targets.iter_mut().find(|known| {
            known.entry.address == announcement.entry.address
                && known.entry.started_unix_ms < announcement.entry.started_unix_ms
        });
        match replaced {
            Some(replaced) => {
                *replaced = announcement;
                true
            }
            None => false,
        }
    }
}

/// The RPC as `jsonrpsee` serves and calls it.
#[rpc(server, client, namespace = "guavacove")]
pub trait ControlRpc {
    /// See [`SyncRequest`].
    #[method(name = "sync")]
    async fn sync(&self, request: SyncRequest) -> RpcResult<SyncReply>;

    /// Changes the document.
    #[method(name = "apply")]
    async fn apply(
        &self,
        change: ChangeId,
        expected: DocumentVersion,
        yaml: String,
    ) -> RpcResult<ApplyReply>;

    /// Makes a document the one in force if its version is the highest so far.
    #[method(name = "apply_highest")]
    async fn apply_highest(
        &self,
        version: DocumentVersion,
        yaml: String,
        source: String,
    ) -> RpcResult<DocumentVersion>;

    /// Reads what any replica knows, led or not: for a process that has just started and
    /// knows nothing.
    #[method(name = "peek")]
    async fn peek(&self, wanted: Wanted) -> RpcResult<PeekReply>;

    /// Reads the document in force.
    #[method(name = "get")]
    async fn get(&self) -> RpcResult<AcceptedDocument>;

    /// Claims a key before a dispatch.
    #[method(name = "claim")]
    async fn claim(
        &self,
        key: ClaimKey,
        fingerprint: Vec<u8>,
        attempt: ClaimedAttempt,
        replaces: Option<(RequestId, Attempt)>,
    ) -> RpcResult<ClaimReply>;

    /// Records what became of a claim; returns what is on record.
    #[method(name = "settle")]
    async fn settle(
        &self,
        key: ClaimKey,
        request: RequestId,
        attempt: Attempt,
        outcome: Outcome,
    ) -> RpcResult<Option<Outcome>>;

    /// Reads the claim of a key.
    #[method(name = "claim_of")]
    async fn claim_of(&self, key: ClaimKey) -> RpcResult<Option<Claim>>;

    /// Hands out parts of customers' contracts to an entry.
    #[method(name = "limits")]
    async fn limits(&self, entry: ProcessName, wants: Vec<LimitWant>)
    -> RpcResult<Vec<LimitGrant>>;

    /// Changes the state that a target is to be in.
    #[method(name = "order")]
    async fn order(&self, target: TargetName, order: Order) -> RpcResult<()>;

    /// Reads the state of the control group.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<StatusReply>;
}

/// Why a control instance did not do what it was asked.
#[derive(Clone, Debug, derive_more::Display, derive_more::Error)]
#[error(ignore)]
pub enum ControlError {
    /// Ask another instance; perhaps this one.
    #[display("this control instance does not lead the group")]
    NotLeader(Option<InstanceAddresses>),
    /// It may or may not be committed: send the same change again.
    #[display("leadership changed before the change was committed; send it again")]
    Unresolved,
    /// The document is not valid.
    #[display("{_0}")]
    Invalid(Faults),
}

const NOT_LEADER_CODE: i32 = -32001;
const UNRESOLVED_CODE: i32 = -32002;
const INVALID_CODE: i32 = -32003;

impl From<ControlError> for ErrorObjectOwned {
    fn from(error: ControlError) -> Self {
        let message = error.to_string();
        match error {
            ControlError::NotLeader(address) => Self::owned(NOT_LEADER_CODE, message, address),
            ControlError::Unresolved => Self::owned(UNRESOLVED_CODE, message, None::<()>),
            ControlError::Invalid(faults) => Self::owned(INVALID_CODE, message, Some(faults)),
        }
    }
}

impl ControlError {
    /// Reads an error that came over RPC; `None` for any other one.
    pub fn from_rpc(error: &ErrorObjectOwned) -> Option<Self> {
        fn data<T: serde::de::DeserializeOwned>(error: &ErrorObjectOwned) -> Option<T> {
            error
                .data()
                .and_then(|data| serde_json::from_str(data.get()).ok())
        }
        match error.code() {
            NOT_LEADER_CODE => Some(Self::NotLeader(data(error))),
            UNRESOLVED_CODE => Some(Self::Unresolved),
            INVALID_CODE => Some(Self::Invalid(data(error)?)),
            _ => None,
        }
    }
}

/// The replica has stopped.
pub fn stopped() -> ErrorObjectOwned {
    ErrorCode::InternalError.into()
}
