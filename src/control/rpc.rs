//! The control group's RPC interface: JSON-RPC over HTTP.

use super::{
    command::{Claim, ClaimKey, ClaimedAttempt, Outcome},
    departures::{Departure, Standing},
    directory::{LimitReport, TargetAnnouncement, TargetChanges, TargetEntry, TargetsPosition},
    limits::{LimitGrant, LimitWant},
    members::*,
    orders::{Order, TargetOrders},
    precedence::NamedServices,
    rollouts::RolloutOrder,
    roster::InstanceAddresses,
    shares::{Demand, Shares},
    state::AcceptedDocument,
    suspects::{SuspectChanges, SuspectReports, SuspectsPosition},
};
use crate::{
    consensus::ReplicaId,
    derives::record,
    document::ValidationErrors,
    rollout::{Rollout, RolloutCounts, RolloutRevision},
    stream_version::ServiceVersions,
    units::*,
};
use jsonrpsee::{
    core::RpcResult,
    proc_macros::rpc,
    types::{ErrorObjectOwned, error::ErrorCode},
};
use std::collections::{BTreeMap, BTreeSet};

record! {
    /// Registers a process or renews its lease, and polls for changes.
    pub struct SyncRequest {
        /// The process.
        pub member: Member,
        /// The document that it has in force.
        pub document_version: DocumentVersion,
        /// Its current load.
        pub load: ProcessLoad,
        /// Whether it needs the members.
        pub members_wanted: bool,
        /// Its position in the members; `None` if it has none yet.
        pub members_seen: Option<MembersPosition>,
        /// Its position in the directory of targets; only sent by gateways.
        pub targets_seen: Option<TargetsPosition>,
        /// A gateway's recent demand.
        pub demand: Demand,
        /// Limits of targets that a gateway knows and the directory does not.
        #[serde(default)]
        pub limits: Vec<LimitReport>,
        /// What a gateway reports of parts of prompts that are suspected to crash targets.
        #[serde(default)]
        pub suspects: SuspectReports,
        /// Its position in the suspected parts.
        #[serde(default)]
        pub suspects_seen: Option<SuspectsPosition>,
        /// What a gateway has counted of the rollouts in progress.
        #[serde(default)]
        pub rollout_counts: Vec<RolloutCounts>,
        /// The highest revision of the rollouts that it has; 0 if it has none.
        #[serde(default)]
        pub rollouts_seen: RolloutRevision,
        /// The desired state of its target, as it last received it.
        pub orders: TargetOrders,
        /// Maximum time that the leader may hold the request until something changes, in
        /// milliseconds.
        pub wait_ms: u64,
        /// Whether the process deregisters.
        pub goodbye: bool,
    }

    /// The changes for a process.
    #[derive(Default)]
    pub struct SyncReply {
        /// Time that the leader held the request, in milliseconds: the reply was created at
        /// least that much later than the request was sent.
        pub held_ms: u64,
        /// The leader's term, which fences replies and orders of earlier leaders.
        pub fencing: FencingNumber,
        /// The document, if the process has an older one.
        pub document: Option<AcceptedDocument>,
        /// The changes of the members.
        pub members: Option<MemberChanges>,
        /// The desired state of its target.
        pub orders: TargetOrders,
        /// The changes of the directory of targets, for a gateway.
        pub targets: Option<TargetChanges>,
        /// The changes of the suspected parts, for a gateway.
        #[serde(default)]
        pub suspects: Option<SuspectChanges>,
        /// The rollouts, for a gateway that has an older revision.
        #[serde(default)]
        pub rollouts: Vec<Rollout>,
        /// The versions that the targets of each service run, or ran lately, for a gateway.
        #[serde(default)]
        pub versions: ServiceVersions,
        /// A gateway's shares; `None` until the leader knows the demand of all gateways.
        pub shares: Option<Shares>,
        /// The address of the leader's quota accounts.
        pub accounts: Option<std::net::SocketAddr>,
        /// The RPC addresses of the present control instances.
        pub control: Vec<std::net::SocketAddr>,
    }

    /// The state that every replica caches, possibly stale: the document, as committed, and the
    /// last known targets and number of gateways, which are not in the log.
    #[derive(Default)]
    pub struct CachedState {
        /// The document; version 0 if there is none.
        pub document: AcceptedDocument,
        /// The targets.
        pub targets: Vec<TargetAnnouncement>,
        /// Number of gateways; 0 if unknown.
        pub gateways: u64,
        /// The rollouts, as committed.
        #[serde(default)]
        pub rollouts: Vec<Rollout>,
        /// The versions that the targets of each service run, or ran lately, as committed.
        #[serde(default)]
        pub versions: ServiceVersions,
    }

    /// The part of the cached state to read.
    #[derive(Copy)]
    pub enum PeekScope {
        /// Only the documents' versions: a short reply, so that all instances may be queried.
        Version,
        /// The documents.
        Document,
        /// The targets.
        Targets,
        /// The whole cached state.
        All,
    }

    /// Which documents a control instance holds, with or without a leader.
    #[derive(Default)]
    pub struct DocumentHolding {
        /// Its replica.
        pub replica: ReplicaId,
        /// The voters of the group, as far as the replica knows; none if it belongs to no group.
        pub voters: BTreeSet<ReplicaId>,
        /// The newest document that the replica knows to be committed; 0 if there is none.
        pub committed: DocumentVersion,
        /// Later documents in its log, of which it does not know whether they are committed.
        pub pending: Vec<DocumentVersion>,
    }

    /// The reply of any control instance, with or without a leader.
    #[derive(Default)]
    pub struct PeekReply {
        /// The documents that it holds.
        pub holding: DocumentHolding,
        /// The requested part of the cached state.
        pub known: CachedState,
        /// The pending documents, if documents are requested.
        pub pending: Vec<AcceptedDocument>,
        /// The RPC addresses of the present control instances, as this one sees them.
        pub control: Vec<std::net::SocketAddr>,
    }

    /// What any replica, with or without a leader, tells a process whose view is old. All of it is
    /// committed, so it only adds to what an earlier leader told.
    #[derive(Default)]
    pub struct CatchUpReply {
        /// The documents that it holds.
        pub holding: DocumentHolding,
        /// The departures that the replica has learned of since the view was confirmed.
        pub departures: Vec<Departure>,
        /// The committed rollouts.
        #[serde(default)]
        pub rollouts: Vec<Rollout>,
        /// Whether the replica leads, so that the view can be renewed there.
        pub leads: bool,
        /// The RPC addresses of the present control instances, as this one sees them.
        pub control: Vec<std::net::SocketAddr>,
    }

    /// The reply to a change of the document.
    pub enum ApplyReply {
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
    }

    /// The reply to a claim.
    pub enum ClaimReply {
        /// The key is claimed; the request may be dispatched.
        Claimed,
        /// Another claim holds the key.
        Held(Box<Claim>),
    }

    /// A replica's status as seen by the leader.
    pub struct ReplicaStatus {
        /// Its ID.
        pub id: String,
        /// Whether it is a voter; otherwise it is a learner.
        pub voter: bool,
        /// Index of the last log entry known to be replicated to it.
        pub match_index: u64,
    }

    /// The status of the control group and of all processes.
    pub struct StatusReply {
        /// The leader's replica.
        pub leader: String,
        /// Its term.
        pub term: FencingNumber,
        /// Index of the last committed entry.
        pub commit_index: u64,
        /// The replicas.
        pub replicas: Vec<ReplicaStatus>,
        /// The document's version.
        pub document_version: DocumentVersion,
        /// Number of claims.
        pub claims: u64,
        /// The desired state of each target that has received an order.
        pub orders: Vec<(TargetName, TargetOrders)>,
        /// The status of every process, as of its last renewal.
        pub processes: Vec<ProcessStatus>,
        /// Every target in the directory.
        pub targets: Vec<TargetEntry>,
    }
}

impl CachedState {
    /// Removes the text as operators sent it, which only they read.
    pub fn without_source(mut self) -> Self {
        self.document.source = None;
        self
    }

    /// Applies departures that were committed; returns whether a target changed.
    pub fn apply_departures<'a>(
        &mut self,
        departures: impl Iterator<Item = &'a Departure>,
    ) -> bool {
        let departures: BTreeMap<&TargetName, &Departure> = departures
            .map(|departure| (&departure.target, departure))
            .collect();
        let mut is_changed = false;
        self.targets.retain_mut(|TargetAnnouncement { entry, .. }| {
            let departure = departures.get(&entry.name);
            let standing = departure.map(|departure| departure.standing(entry.started_unix_ms));
            match standing {
                None | Some(Standing::Serving) => true,
                Some(Standing::Leaving) => {
                    is_changed |= !entry.leaving;
                    entry.leaving = true;
                    true
                }
                Some(Standing::Withdrawn) => {
                    is_changed = true;
                    false
                }
            }
        });
        is_changed
    }

    /// Replaces a target that has restarted at its known address, while there is no leader, by one of
    /// the same or of a named service; returns whether it did. The announcement is not acknowledged, so the target repeats it. Any
    /// other announcement is ignored: only leaders know which targets have withdrawn or are
    /// draining.
    pub fn replace_restarted(
        &mut self,
        announcement: TargetAnnouncement,
        services: &NamedServices,
    ) -> bool {
        let entry = &announcement.entry;
        let replaced = self.targets.iter_mut().find(|known| {
            let is_of_service =
                known.entry.service == entry.service || services.contains(&entry.service);
            is_of_service
                && known.entry.address == entry.address
                && known.entry.started_unix_ms < entry.started_unix_ms
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

/// The RPC methods, served and called through `jsonrpsee`.
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

    /// Reads the cached state of any replica, with or without a leader: for a process that has
    /// just started.
    #[method(name = "peek")]
    async fn peek(&self, wanted: PeekScope) -> RpcResult<PeekReply>;

    /// Reads what was committed after a view was confirmed, `age_ms` ago, from any replica.
    #[method(name = "catch_up")]
    async fn catch_up(&self, age_ms: u64) -> RpcResult<CatchUpReply>;

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

    /// Records the outcome of a claim; returns the recorded outcome.
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

    /// Grants limit leases on customers' contracts to an entry.
    #[method(name = "limits")]
    async fn limits(&self, entry: ProcessName, wants: Vec<LimitWant>)
    -> RpcResult<Vec<LimitGrant>>;

    /// Changes the desired state of a target.
    #[method(name = "order")]
    async fn order(&self, target: TargetName, order: Order) -> RpcResult<()>;

    /// Orders a rollout. A repeated order has no effect.
    #[method(name = "start_rollout")]
    async fn start_rollout(&self, order: RolloutOrder) -> RpcResult<()>;

    /// Reads the latest rollout of each service.
    #[method(name = "rollouts")]
    async fn rollouts(&self) -> RpcResult<Vec<Rollout>>;

    /// Rolls the rollout of a service back.
    #[method(name = "cancel_rollout")]
    async fn cancel_rollout(&self, service: ServiceName) -> RpcResult<()>;

    /// Reads the status of the control group.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<StatusReply>;
}

/// The reason why a control instance rejected a call.
#[derive(Clone, Debug, derive_more::Display, derive_more::Error)]
#[error(ignore)]
pub enum ControlError {
    /// This instance is not the leader; contains the leader's addresses if known.
    #[display("this control instance does not lead the group{}", match _0 {
        Some(_) => "",
        None => " and knows no leader",
    })]
    NotLeader(Option<InstanceAddresses>),
    /// The change may or may not be committed: retry the same change. Also returned, with nothing
    /// proposed, to renewals, announcements and withdrawals by a leader whose tables are not those
    /// of the current term.
    #[display("leadership changed before the change was committed; send it again")]
    Unresolved,
    /// The document is not valid.
    #[display("{_0}")]
    Invalid(ValidationErrors),
    /// An order of a rollout is not valid, with the reason.
    #[display("{_0}")]
    InvalidRollout(String),
    /// Another rollout of the service is in progress, or the rollout has ended.
    #[display("{_0}")]
    RolloutConflict(String),
    /// The service has no rollout.
    #[display("there is no rollout of {_0}")]
    NoRollout(ServiceName),
    /// A run of a target that leaves is not the one that is listed, which goes on.
    #[display("a later start of this target is listed")]
    LaterStartListed,
}

const NOT_LEADER_CODE: i32 = -32001;
const UNRESOLVED_CODE: i32 = -32002;
const INVALID_CODE: i32 = -32003;
const LATER_START_LISTED_CODE: i32 = -32004;
const INVALID_ROLLOUT_CODE: i32 = -32005;
const ROLLOUT_CONFLICT_CODE: i32 = -32006;
const NO_ROLLOUT_CODE: i32 = -32007;

impl From<ControlError> for ErrorObjectOwned {
    fn from(error: ControlError) -> Self {
        let message = error.to_string();
        match error {
            ControlError::NotLeader(address) => Self::owned(NOT_LEADER_CODE, message, address),
            ControlError::Unresolved => Self::owned(UNRESOLVED_CODE, message, None::<()>),
            ControlError::Invalid(errors) => Self::owned(INVALID_CODE, message, Some(errors)),
            ControlError::InvalidRollout(why) => {
                Self::owned(INVALID_ROLLOUT_CODE, message, Some(why))
            }
            ControlError::RolloutConflict(why) => {
                Self::owned(ROLLOUT_CONFLICT_CODE, message, Some(why))
            }
            ControlError::NoRollout(service) => {
                Self::owned(NO_ROLLOUT_CODE, message, Some(service))
            }
            ControlError::LaterStartListed => {
                Self::owned(LATER_START_LISTED_CODE, message, None::<()>)
            }
        }
    }
}

impl ControlError {
    /// Decodes an error received over RPC; `None` for other kinds of errors.
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
            LATER_START_LISTED_CODE => Some(Self::LaterStartListed),
            INVALID_ROLLOUT_CODE => Some(Self::InvalidRollout(data(error)?)),
            ROLLOUT_CONFLICT_CODE => Some(Self::RolloutConflict(data(error)?)),
            NO_ROLLOUT_CODE => Some(Self::NoRollout(data(error)?)),
            _ => None,
        }
    }
}

/// The error for a replica that has stopped, or that sent a reply of another kind than expected.
pub fn internal_error() -> ErrorObjectOwned {
    ErrorCode::InternalError.into()
}

/// The error for an order while another rollout of the service is in progress.
pub fn conflicting_rollout(service: &ServiceName) -> ControlError {
    ControlError::RolloutConflict(format!("another rollout of {service} is in progress"))
}
