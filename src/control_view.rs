//! What a process outside the control group knows of it, and until when.
//!
//! A task renews the view over RPC; an actor on the control thread merges each
//! reply; traffic reads a snapshot that is swapped whole. A view that has not
//! been renewed for [`VIEW_LEASE_MS`] is out of date: the process then refuses
//! new work, as a newer document may be in force.

use crate::{
    clock,
    control::{
        ControlClient,
        directory::{TargetChanges, TargetEntry, TargetsPosition, remove_replaced},
        members::*,
        orders::TargetOrders,
        rpc::*,
        shares::{Demand, SHARE_LEASE_MS, Shares},
        table::Position,
    },
    document::Policy,
    threads,
    units::*,
};
use arc_swap::ArcSwap;
use jsonrpsee::http_client::HttpClient;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::sync::watch;

/// How long a view holds. It counts from when the leader answered at the earliest:
/// from when the request was sent, and as long later as the leader held it back.
pub const VIEW_LEASE_MS: u64 = 3500;
/// How long the leader may hold a renewal back while there is nothing new.
const RENEWAL_WAIT_MS: u64 = 800;
/// How long one renewal may take.
const RENEWAL_TIMEOUT_MS: u64 = 1500;
/// How long a look at what any control instance knows may take.
const PEEK_MS: u64 = 300;
/// How long an instance that knows something may take to send it.
const FETCH_MS: u64 = 1500;
/// How long to wait after the first look that found nothing; then half as long again each
/// time.
const PEEK_PAUSE_MS: u64 = 50;
/// The longest wait between two looks: a group that has no document yet is asked by many.
const LONGEST_PEEK_PAUSE_MS: u64 = 250;
/// How long to wait between two looks at the targets while there is no leader.
const TARGETS_PAUSE_MS: u64 = 300;
/// How many targets that change at once are logged one by one.
const LOGGED_TARGETS: usize = 16;
/// How long a goodbye may take.
const GOODBYE_TIMEOUT_MS: u64 = 1000;

/// What a process knows of the control group.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The document in force.
    pub policy: Arc<Policy>,
    /// The agents that have a target.
    pub agents: Arc<BTreeMap<ProcessName, Member>>,
    /// The targets that announced themselves to the control group; only for gateways.
    pub targets: Arc<BTreeMap<TargetName, TargetEntry>>,
    /// This gateway's parts of quotas and places, as last told.
    pub shares: Option<Arc<Shares>>,
    /// Until when those parts hold whole.
    pub shares_until_ms: u64,
    /// Where the leader charges customers' quotas.
    pub accounts: Option<SocketAddr>,
    /// The leader's fencing number.
    pub fencing: FencingNumber,
    /// The state that the target beside this process is to be in.
    pub orders: TargetOrders,
    valid_until_ms: u64,
    members_seen: Option<MembersPosition>,
    targets_seen: Option<TargetsPosition>,
}

impl View {
    /// Whether the view may be acted on.
    pub fn holds(&self) -> bool {
        self.policy.version > DocumentVersion(0) && clock::boot_ms() < self.valid_until_ms
    }

    /// The ready agents of a service.
    pub fn agents_of<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a Member> {
        self.agents.values().filter(move |member| {
            member
                .target
                .as_ref()
                .is_some_and(|t| t.service == *service && !t.leaving)
        })
    }
}

/// Keeps a process's view and its announcement.
pub struct ControlView {
    view: Arc<ArcSwap<View>>,
    versions: watch::Receiver<DocumentVersion>,
    announcement: watch::Sender<Member>,
    load: Arc<Mutex<ProcessLoad>>,
    demand: Arc<Mutex<Demand>>,
    client: Arc<ControlClient>,
}

impl ControlView {
    /// Announces a process and starts to renew its view on a control thread.
    pub fn spawn(client: Arc<ControlClient>, member: Member) -> Self {
        let view = Arc::new(ArcSwap::from_pointee(View::default()));
        let (version_sender, versions) = watch::channel(DocumentVersion(0));
        let (announcement, announced) = watch::channel(member);
        let arguments = (Arc::clone(&view), version_sender);
        let load = Arc::new(Mutex::new(ProcessLoad::default()));
        let demand = Arc::new(Mutex::new(Demand::default()));
        let renewing = Renewing {
            demand: Arc::clone(&demand),
            client: Arc::clone(&client),
            view: Arc::clone(&view),
            load: Arc::clone(&load),
            announced,
        };
        threads::spawn_control("control-view", async move {
            match Actor::spawn(None, ViewKeeper, arguments).await {
                Ok((keeper, _)) => renewing.run(keeper).await,
                Err(error) => tracing::error!("view: the actor did not start: {error}"),
            }
        });
        Self {
            view,
            versions,
            announcement,
            load,
            demand,
            client,
        }
    }

    /// Tells the leader what a gateway was asked for lately, with its next renewal.
    pub fn report_demand(&self, demand: Demand) {
        *self.demand.lock().expect("no holder panics") = demand;
    }

    /// Tells operators what this process has in progress, with its next renewal.
    pub fn report_load(&self, load: ProcessLoad) {
        *self.load.lock().expect("no holder panics") = load;
    }

    /// The view at this moment.
    pub fn load(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Changes what this process says of itself; it is sent at once.
    pub fn announce(&self, change: impl FnOnce(&mut Member)) {
        self.announcement.send_if_modified(|member| {
            let before = member.clone();
            change(member);
            *member != before
        });
    }

    /// Waits until a document of this version or a later one is in force here.
    pub async fn wait_for(&self, version: DocumentVersion, wait_ms: u64) -> bool {
        let mut versions = self.versions.clone();
        let reached = versions.wait_for(|known| *known >= version);
        tokio::time::timeout(Duration::from_millis(wait_ms), reached)
            .await
            .is_ok_and(|r| r.is_ok())
    }

    /// Says goodbye to the control group.
    pub async fn goodbye(&self) {
        let member = self.announcement.borrow().clone();
        let (load, demand) = (ProcessLoad::default(), Demand::default());
        let request = SyncRequest {
            goodbye: true,
            ..request(member, load, demand, &self.load(), 0)
        };
        let call = self
            .client
            .call(GOODBYE_TIMEOUT_MS, GOODBYE_TIMEOUT_MS, |client| {
                let request = request.clone();
                async move { client.sync(request).await }
            });
        let _ = call.await;
    }
}

fn request(
    member: Member,
    load: ProcessLoad,
    demand: Demand,
    view: &View,
    wait_ms: u64,
) -> SyncRequest {
    SyncRequest {
        load,
        demand,
        targets_seen: view.targets_seen.clone(),
        document_version: view.policy.version,
        members_wanted: member.role == ProcessRole::Entry,
        members_seen: view.members_seen.clone(),
        orders: view.orders.clone(),
        wait_ms,
        goodbye: false,
        member,
    }
}

struct Renewing {
    client: Arc<ControlClient>,
    view: Arc<ArcSwap<View>>,
    load: Arc<Mutex<ProcessLoad>>,
    demand: Arc<Mutex<Demand>>,
    announced: watch::Receiver<Member>,
}

impl Renewing {
    async fn run(mut self, keeper: ActorRef<Renewed>) {
        let mut lost = false;
        let mut wait_ms = RENEWAL_WAIT_MS;
        if self.announced.borrow().role == ProcessRole::Gateway {
            let peeking = Peeking {
                client: Arc::clone(&self.client),
                view: Arc::clone(&self.view),
            };
            tokio::spawn(peeking.run(keeper.clone()));
        }
        loop {
            let member = self.announced.borrow_and_update().clone();
            let demand = self.demand.lock().expect("no holder panics").clone();
            let load = self.load.lock().expect("no holder panics").clone();
            let request = request(member, load, demand, &self.view.load(), wait_ms);
            // Of the last try: those before it may have taken long, and told nothing.
            let sent_ms = AtomicU64::new(0);
            let renewal = self
                .client
                .call(RENEWAL_TIMEOUT_MS, RENEWAL_TIMEOUT_MS, |client| {
                    sent_ms.store(clock::boot_ms(), Ordering::Relaxed);
                    let request = request.clone();
                    async move { client.sync(request).await }
                });
            let reply = tokio::select! {
                reply = renewal => reply,
                changed = self.announced.changed() => match changed {
                    Ok(()) => {
                        // The view was due to be renewed by the call that is given up.
                        wait_ms = 0;
                        continue;
                    }
                    Err(_) => return,
                },
            };
            wait_ms = RENEWAL_WAIT_MS;
            match reply {
                Ok(reply) => {
                    if lost {
                        tracing::info!("view: control group reached again");
                    }
                    lost = false;
                    self.client.learn(&reply.control);
                    let _ = ractor::call!(keeper, |done| Renewed {
                        reply,
                        sent_ms: Some(sent_ms.load(Ordering::Relaxed)),
                        done
                    });
                }
                Err(error) if !lost => {
                    lost = true;
                    tracing::warn!(%error, "view: not renewed");
                }
                Err(_) => {}
            }
        }
    }
}

/// Looks at what any control instance knows, so that service begins without a leader.
struct Peeking {
    client: Arc<ControlClient>,
    view: Arc<ArcSwap<View>>,
}

impl Peeking {
    /// Runs until the leader has renewed the view. All are asked what they know; one of those
    /// that know something sends it, as it is long. Until there is a leader, targets may be
    /// started again at their addresses, and are asked for again.
    async fn run(self, keeper: ActorRef<Renewed>) {
        let mut pause_ms = PEEK_PAUSE_MS;
        loop {
            let view = self.view.load();
            if view.valid_until_ms > 0 {
                return;
            }
            let wanted = match view.policy.version {
                DocumentVersion(0) => PeekScope::All,
                _ => PeekScope::Targets,
            };
            drop(view);
            let learnt = AtomicBool::new(false);
            let reply = self.client.call_all(
                PEEK_MS,
                |client| async move { client.peek(PeekScope::Version).await },
                |reply| {
                    learnt.fetch_or(self.client.learn(&reply.control), Ordering::Relaxed);
                    reply.version > DocumentVersion(0)
                },
            );
            let known = match reply.await {
                Some((client, _)) => Self::fetch(&client, wanted).await,
                None => None,
            };
            match (known, wanted) {
                (Some(known), _) => {
                    Self::begin_with(known, &keeper).await;
                    pause_ms = TARGETS_PAUSE_MS;
                }
                (None, PeekScope::All) if learnt.load(Ordering::Relaxed) => {
                    // Instances without a disk know the others, but no document after a restart.
                    pause_ms = PEEK_PAUSE_MS;
                    continue;
                }
                (None, _) => pause_ms = (pause_ms * 3 / 2).min(LONGEST_PEEK_PAUSE_MS),
            }
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    async fn fetch(client: &HttpClient, wanted: PeekScope) -> Option<CachedState> {
        let fetching = client.peek(wanted);
        let fetched = tokio::time::timeout(Duration::from_millis(FETCH_MS), fetching).await;
        match fetched {
            Ok(Ok(reply)) => Some(reply.known),
            Ok(Err(error)) => {
                tracing::info!(%error, "view: what a control instance knows did not come");
                None
            }
            Err(_) => {
                tracing::info!(
                    waited_ms = FETCH_MS,
                    "view: what a control instance knows did not come"
                );
                None
            }
        }
    }

    async fn begin_with(known: CachedState, keeper: &ActorRef<Renewed>) {
        let version = known.document.version;
        let known_targets = known.targets.len();
        let targets = known.targets.into_iter().map(|target| target.entry);
        let shares = Shares {
            gateways: known.gateways,
            ..Shares::default()
        };
        let reply = SyncReply {
            shares: Some(shares),
            document: Some(known.document).filter(|document| document.version > DocumentVersion(0)),
            targets: Some(TargetChanges {
                seen: Position::default(),
                whole: true,
                present: targets.collect(),
                removed: Vec::new(),
            }),
            ..SyncReply::default()
        };
        let merged = ractor::call!(keeper, |done| Renewed {
            reply,
            sent_ms: None,
            done
        });
        match merged {
            Ok(()) => tracing::info!(
                %version, targets = known_targets, "view: goes by what a control instance knew"
            ),
            Err(error) => tracing::warn!(%error, "view: not merged"),
        }
    }
}

/// A reply to merge into the view.
struct Renewed {
    reply: SyncReply,
    /// When it was asked for; `None` if the view is not renewed by it.
    sent_ms: Option<u64>,
    done: ractor::RpcReplyPort<()>,
}

/// The actor that merges replies.
struct ViewKeeper;

type Published = (Arc<ArcSwap<View>>, watch::Sender<DocumentVersion>);

impl Actor for ViewKeeper {
    type Msg = Renewed;
    type State = Published;
    type Arguments = Published;

    async fn pre_start(
        &self,
        _myself: ActorRef<Self::Msg>,
        published: Published,
    ) -> Result<Self::State, ActorProcessingErr> {
        Ok(published)
    }

    async fn handle(
        &self,
        _myself: ActorRef<Self::Msg>,
        Renewed {
            reply,
            sent_ms,
            done,
        }: Self::Msg,
        (view, versions): &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        let mut next = View::clone(&view.load());
        let held_ms = reply.held_ms.min(RENEWAL_WAIT_MS);
        if reply.fencing >= next.fencing && merge(&mut next, reply) {
            if sent_ms.is_none() {
                next.shares_until_ms = clock::boot_ms() + SHARE_LEASE_MS;
            }
            if let Some(sent_ms) = sent_ms {
                next.shares_until_ms = sent_ms + SHARE_LEASE_MS;
                next.valid_until_ms = sent_ms + held_ms + VIEW_LEASE_MS;
            }
            let version = next.policy.version;
            view.store(Arc::new(next));
            versions.send_if_modified(|known| std::mem::replace(known, version) != version);
        }
        let _ = done.send(());
        Ok(())
    }
}

/// Merges a reply; returns whether the view is whole afterwards.
fn merge(view: &mut View, reply: SyncReply) -> bool {
    if let Some(document) = reply
        .document
        .filter(|new| new.version > view.policy.version)
    {
        match Policy::compile(document.version, &document.yaml) {
            Ok(policy) => {
                tracing::info!("view: document {} is in force", policy.version);
                view.policy = Arc::new(policy);
            }
            Err(faults) => {
                tracing::error!(
                    "view: document {} is not usable: {faults}",
                    document.version
                );
                return false;
            }
        }
    }
    if let Some(changes) = reply.members {
        let settled = changes.seen.epoch.1;
        let mut agents = match changes.whole && settled {
            true => BTreeMap::new(),
            false => BTreeMap::clone(&view.agents),
        };
        for name in &changes.removed {
            agents.remove(name);
        }
        agents.extend(
            changes
                .present
                .into_iter()
                .map(|member| (member.name.clone(), member)),
        );
        view.agents = Arc::new(agents);
        view.members_seen = Some(changes.seen);
    }
    if let Some(changes) = reply.targets {
        let settled = changes.seen.epoch.1;
        let mut targets = match changes.whole && settled {
            true => BTreeMap::new(),
            false => BTreeMap::clone(&view.targets),
        };
        for name in &changes.removed {
            targets.remove(name);
        }
        let present = changes.present.into_iter();
        targets.extend(present.map(|target| (target.name.clone(), target)));
        if changes.whole {
            remove_replaced(&mut targets);
        }
        log_targets(&view.targets, &targets);
        view.targets = Arc::new(targets);
        view.targets_seen = Some(changes.seen);
    }
    if let Some(shares) = reply.shares {
        view.shares = Some(Arc::new(shares));
    }
    view.accounts = reply.accounts.or(view.accounts);
    view.fencing = reply.fencing;
    view.orders = reply.orders;
    true
}

/// Logs which targets came, went or changed; only how many if they are many, as when a view
/// begins.
fn log_targets(
    before: &BTreeMap<TargetName, TargetEntry>,
    after: &BTreeMap<TargetName, TargetEntry>,
) {
    let changed: Vec<&TargetEntry> = after
        .values()
        .filter(|target| before.get(&target.name) != Some(target))
        .collect();
    let gone: Vec<&TargetName> = before
        .keys()
        .filter(|name| !after.contains_key(*name))
        .collect();
    if changed.len() + gone.len() > LOGGED_TARGETS {
        let leaving = changed.iter().filter(|target| target.leaving).count();
        tracing::info!(
            targets = after.len(),
            changed = changed.len(),
            leaving,
            gone = gone.len(),
            "view: targets changed"
        );
        return;
    }
    for target in changed {
        tracing::info!(
            target = %target.name, service = %target.service, address = %target.address,
            started_unix_ms = target.started_unix_ms, leaving = target.leaving,
            "view: target changed"
        );
    }
    for name in gone {
        tracing::info!(target = %name, "view: target gone");
    }
}
