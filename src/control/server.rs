//! A running control instance.

use super::{
    ControlClient,
    api::{self, ApiDialect},
    command::{Claim, ClaimKey, ClaimedAttempt, Command, Outcome, Reply},
    document_checks::DocumentChecks,
    limits::{LimitGrant, LimitWant},
    orders::Order,
    peers,
    quota_server::QuotaServer,
    replica::*,
    rollouts::RolloutOrder,
    rpc::*,
    state::AcceptedDocument,
};
use crate::{
    consensus::{Storage, StorageError},
    console::{Console, ConsoleStartError},
    http_server::HttpServer,
    rollout::Rollout,
    settings::ControlSettings,
    threads,
    units::*,
};
use jsonrpsee::{
    core::RpcResult,
    server::{Server, ServerConfig, ServerHandle},
};
use ractor::{Actor, ActorRef};
use std::{io, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{net::TcpListener, sync::oneshot};

/// Maximum size of an RPC request or reply, in bytes: a document or a recorded response.
const MAX_RPC_BYTES: u32 = 32 * 1024 * 1024;
/// Maximum number of concurrent RPC connections.
const MAX_RPC_CONNECTIONS: u32 = 10_000;
/// Time that a stopping leader waits for another instance to take over.
const HAND_OVER_DELAY_MS: u64 = 300;

/// Maximum time that calls in progress may delay the stop of an instance.
const API_STOP_TIMEOUT_MS: u64 = 1000;

/// The reason why a control instance failed to start.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum ControlStartError {
    /// See [`StorageError`].
    Storage(StorageError),
    /// An address could not be bound.
    #[display("cannot listen: {_0}")]
    Io(io::Error),
    /// See [`ConsoleStartError`].
    Console(ConsoleStartError),
    /// The actor failed to start.
    #[display("failed to start the replica: {_0}")]
    Spawn(ractor::SpawnErr),
}

/// A running control instance.
pub struct ControlServer {
    replica: ActorRef<ReplicaMessage>,
    rpc: ServerHandle,
    rpc_address: SocketAddr,
    console: Option<Console>,
    api: Option<HttpServer>,
    stopped: oneshot::Receiver<()>,
}

impl ControlServer {
    /// Opens the data folder, binds the addresses and starts.
    ///
    /// # Errors
    /// Fails if the folder or an address cannot be used.
    pub async fn spawn<D: ApiDialect>(
        settings: &ControlSettings,
        dialect: D,
    ) -> Result<Self, ControlStartError> {
        let (storage, recovered) = match settings.data_folder.as_os_str().is_empty() {
            true => Storage::in_memory(settings.number),
            false => Storage::open(&settings.data_folder, settings.number)?,
        };
        let own = settings.addresses();
        let peer_listener = TcpListener::bind(own.peer).await?;
        let quota_server = QuotaServer::default();
        let accounts = quota_server.bind(settings.accounts_address()).await?;
        let arguments = ReplicaArguments {
            storage,
            recovered,
            instance_config: settings.instance_config(),
            quota_server: (quota_server, accounts),
        };
        let (started, ready) = oneshot::channel();
        let (ended, stopped) = oneshot::channel();
        threads::spawn_control("control", async move {
            match Actor::spawn(None, Replica, arguments).await {
                Ok((replica, running)) => {
                    let _ = started.send(Ok(replica.clone()));
                    tokio::spawn(tick(replica));
                    let _ = running.await;
                }
                Err(error) => drop(started.send(Err(error))),
            }
            let _ = ended.send(());
        });
        let replica = ready
            .await
            .map_err(|_| ractor::SpawnErr::StartupFailed("its thread ended".into()))??;
        tokio::spawn(peers::serve(peer_listener, replica.clone()));
        let config = ServerConfig::builder()
            .max_request_body_size(MAX_RPC_BYTES)
            .max_response_body_size(MAX_RPC_BYTES)
            .max_connections(MAX_RPC_CONNECTIONS)
            .build();
        let server = Server::builder().set_config(config).build(own.rpc).await?;
        let rpc_address = server.local_addr()?;
        let checks = DocumentChecks::default();
        let handler = RpcHandler {
            replica: replica.clone(),
            checks: checks.clone(),
        };
        let rpc = server.start(handler.into_rpc());
        tracing::info!("control: serving RPC at {rpc_address}");
        let console = match &settings.console {
            Some(console) => Some(Console::bind(console, new_client(settings, rpc_address)).await?),
            None => None,
        };
        let api = match own.api {
            Some(address) => Some(api::serve(address, dialect, replica.clone(), checks).await?),
            None => None,
        };
        Ok(Self {
            replica,
            rpc,
            rpc_address,
            console,
            api,
            stopped,
        })
    }

    /// The address at which RPC is served.
    pub fn rpc_address(&self) -> SocketAddr {
        self.rpc_address
    }

    /// The address at which the console is served.
    pub fn console_address(&self) -> Option<SocketAddr> {
        self.console.as_ref().map(Console::address)
    }

    /// Applies later settings to this instance: the addresses of others to contact.
    pub fn settings_updater(&self) -> impl Fn(&ControlSettings) + use<> {
        let replica = self.replica.clone();
        move |settings| {
            if let Err(error) = replica.cast(ReplicaMessage::Seeds(settings.seed_peers())) {
                tracing::warn!(%error, "control: changed seeds not applied");
            }
        }
    }

    /// Completes when the replica stops by itself, for example because its disk fails.
    pub async fn failed(&mut self) {
        let _ = (&mut self.stopped).await;
    }

    /// Transfers leadership, then stops.
    pub async fn shutdown(self) {
        if let Some(console) = self.console {
            console.shutdown().await;
        }
        tracing::info!("control: stopping");
        let (sender, done) = oneshot::channel();
        let _ = self.replica.cast(ReplicaMessage::HandOver(sender));
        let _ = done.await;
        tokio::time::sleep(Duration::from_millis(HAND_OVER_DELAY_MS)).await;
        if let Some(api) = self.api {
            let stop_timeout = Duration::from_millis(API_STOP_TIMEOUT_MS);
            let _ = tokio::time::timeout(stop_timeout, api.shutdown()).await;
        }
        let _ = self.rpc.stop();
        self.replica.stop(None);
        tracing::info!("control: stopped");
    }
}

/// A client of the whole group. Uses the bound RPC address of this instance, as the operating
/// system may have assigned its port.
fn new_client(settings: &ControlSettings, rpc_address: SocketAddr) -> Arc<ControlClient> {
    let own = settings.number;
    let others = settings.peers.iter().filter(|peer| peer.number != own);
    let mut addresses: Vec<SocketAddr> = others.map(|peer| peer.rpc).collect();
    addresses.push(rpc_address);
    Arc::new(ControlClient::new(addresses))
}

async fn tick(replica: ActorRef<ReplicaMessage>) {
    let mut interval = tokio::time::interval(Duration::from_millis(TICK_MS));
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        interval.tick().await;
        if replica.cast(ReplicaMessage::Tick).is_err() {
            return;
        }
    }
}

/// Forwards RPC calls to the replica.
struct RpcHandler {
    replica: ActorRef<ReplicaMessage>,
    checks: DocumentChecks,
}

impl RpcHandler {
    async fn call<T>(
        &self,
        message: impl FnOnce(ReplySender<T>) -> ReplicaMessage,
    ) -> RpcResult<T> {
        let (sender, reply) = oneshot::channel();
        self.replica
            .cast(message(sender))
            .map_err(|_| internal_error())?;
        Ok(reply.await.map_err(|_| internal_error())??)
    }

    async fn propose(&self, command: Command) -> RpcResult<Reply> {
        self.call(|sender| ReplicaMessage::Propose(command, sender))
            .await
    }
}

#[jsonrpsee::core::async_trait]
impl ControlRpcServer for RpcHandler {
    async fn sync(&self, request: SyncRequest) -> RpcResult<SyncReply> {
        self.call(|sender| ReplicaMessage::Renew(Box::new(request), sender))
            .await
    }

    async fn apply(
        &self,
        change: ChangeId,
        expected: DocumentVersion,
        yaml: String,
    ) -> RpcResult<ApplyReply> {
        self.checks.validate(yaml.clone()).await?;
        match self
            .propose(Command::Apply {
                change,
                expected,
                yaml,
            })
            .await?
        {
            Reply::Applied(version) => Ok(ApplyReply::Applied(version)),
            Reply::Lost { current, winner } => Ok(ApplyReply::Lost { current, winner }),
            Reply::ChangeReused => Ok(ApplyReply::ChangeReused),
            _ => Err(internal_error()),
        }
    }

    async fn apply_highest(
        &self,
        version: DocumentVersion,
        yaml: String,
        source: String,
    ) -> RpcResult<DocumentVersion> {
        validate_version(version)?;
        self.checks.validate(yaml.clone()).await?;
        let command = Command::ApplyHighest {
            version,
            yaml,
            source,
        };
        match self.propose(command).await? {
            Reply::Applied(version) => Ok(version),
            _ => Err(internal_error()),
        }
    }

    async fn peek(&self, wanted: PeekScope) -> RpcResult<PeekReply> {
        self.call(|sender| ReplicaMessage::ReadCache(wanted, sender))
            .await
    }

    async fn catch_up(&self, age_ms: u64) -> RpcResult<CatchUpReply> {
        self.call(|sender| ReplicaMessage::CatchUp(age_ms, sender))
            .await
    }

    async fn get(&self) -> RpcResult<AcceptedDocument> {
        self.call(ReplicaMessage::GetDocument).await
    }

    async fn claim(
        &self,
        key: ClaimKey,
        fingerprint: Vec<u8>,
        attempt: ClaimedAttempt,
        replaces: Option<(RequestId, Attempt)>,
    ) -> RpcResult<ClaimReply> {
        let now_unix_ms = unix_ms();
        let command = Command::Claim {
            key,
            fingerprint,
            attempt,
            replaces,
            now_unix_ms,
        };
        match self.propose(command).await? {
            Reply::Claimed => Ok(ClaimReply::Claimed),
            Reply::Held(claim) => Ok(ClaimReply::Held(Box::new(claim))),
            _ => Err(internal_error()),
        }
    }

    async fn settle(
        &self,
        key: ClaimKey,
        request: RequestId,
        attempt: Attempt,
        outcome: Outcome,
    ) -> RpcResult<Option<Outcome>> {
        match self
            .propose(Command::Settle {
                key,
                request,
                attempt,
                outcome,
            })
            .await?
        {
            Reply::Settled(outcome) => Ok(outcome),
            _ => Err(internal_error()),
        }
    }

    async fn claim_of(&self, key: ClaimKey) -> RpcResult<Option<Claim>> {
        self.call(|sender| ReplicaMessage::ClaimOf(key, sender))
            .await
    }

    async fn limits(
        &self,
        entry: ProcessName,
        wants: Vec<LimitWant>,
    ) -> RpcResult<Vec<LimitGrant>> {
        self.call(|sender| {
            ReplicaMessage::GrantLimits(LimitRequest {
                entry,
                wants,
                sender,
            })
        })
        .await
    }

    async fn order(&self, target: TargetName, order: Order) -> RpcResult<()> {
        self.propose(Command::Order { target, order })
            .await
            .map(drop)
    }

    async fn start_rollout(&self, order: RolloutOrder) -> RpcResult<()> {
        let service = order.service.clone();
        let start = |sender| ReplicaMessage::Rollout(RolloutRequest::Start(order, sender));
        match self.call(start).await? {
            Reply::Done => Ok(()),
            Reply::RolloutConflict => Err(conflicting_rollout(&service).into()),
            _ => Err(internal_error()),
        }
    }

    async fn rollouts(&self) -> RpcResult<Vec<Rollout>> {
        self.call(|sender| ReplicaMessage::Rollout(RolloutRequest::Read(sender)))
            .await
    }

    async fn cancel_rollout(&self, service: ServiceName) -> RpcResult<()> {
        self.call(|sender| ReplicaMessage::Rollout(RolloutRequest::Cancel(service, sender)))
            .await
            .map(drop)
    }

    async fn status(&self) -> RpcResult<StatusReply> {
        self.call(ReplicaMessage::Status).await
    }
}
