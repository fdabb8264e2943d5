//! A process's leased view of the control group's state.
//!
//! A task renews the view over RPC, an actor on the control thread merges each reply, and
//! request handlers read a snapshot that is replaced atomically. A view that has not been
//! renewed for [`VIEW_LEASE_MS`] is expired: the process then refuses new requests, as a newer
//! document may be in force.

pub mod catch_up;
pub mod document_choice;
mod peek;

use self::{catch_up::CatchUpTask, peek::PeekTask};
use crate::{
    clock,
    control::{
        ControlClient,
        departures::{Departure, Standing},
        directory::{LimitReport, TargetEntry, TargetsPosition, remove_replaced},
        members::*,
        orders::TargetOrders,
        precedence::NamedServices,
        rpc::*,
        shares::{Demand, LOCAL_SHARE_LEASE_MS, Shares},
        state::AcceptedDocument,
        suspects::{Suspect, SuspectKey, SuspectReports, SuspectsPosition},
    },
    document::Policy,
    rollout::{Rollout, RolloutCounts, RolloutRevision},
    stream_version::ServiceVersions,
    threads,
    units::*,
};
use arc_swap::ArcSwap;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::sync::{Notify, watch};

/// Duration of a view's lease. It starts at the earliest time at which the leader can have
/// replied: when the request was sent, plus the time that the leader held it.
pub const VIEW_LEASE_MS: u64 = 3500;
/// Maximum time that the leader may hold a renewal while there are no changes.
const MAX_RENEWAL_HOLD_MS: u64 = 800;
/// Time for which questions are gathered before one renewal answers them: many streams break at the
/// same time.
const CONFIRMATION_GATHER_MS: u64 = 20;
/// Timeout of a renewal.
const RENEWAL_TIMEOUT_MS: u64 = 1500;
/// Maximum number of changed targets that are logged individually.
const MAX_LOGGED_TARGETS: usize = 16;
/// Timeout of the deregistration.
const DEREGISTER_TIMEOUT_MS: u64 = 1000;

/// A snapshot of the control group's state, as last received.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The document in force.
    pub policy: Arc<Policy>,
    /// Later documents, each of which may be in force; only while no leader confirms the view.
    pub possible_policies: Vec<Arc<Policy>>,
    /// The agents that have a target.
    pub agents: Arc<BTreeMap<ProcessName, Member>>,
    /// The directory of targets; only for gateways.
    pub targets: Arc<BTreeMap<TargetName, TargetEntry>>,
    /// Requests and parts of prompts that are suspected to crash targets; only for gateways.
    pub suspects: Arc<BTreeMap<SuspectKey, Suspect>>,
    /// The latest rollout of each service that has had one; only for gateways.
    pub rollouts: Arc<BTreeMap<ServiceName, Rollout>>,
    /// The versions that the targets of each service run, or ran lately; only for gateways.
    pub versions: Arc<ServiceVersions>,
    /// This gateway's shares of quotas and slots, as last received.
    pub shares: Option<Arc<Shares>>,
    /// Time until which those shares are valid in full.
    pub shares_expire_ms: u64,
    /// The address of the leader's quota accounts.
    pub accounts: Option<SocketAddr>,
    /// The leader's term, which fences replies and orders of earlier leaders.
    pub fencing: FencingNumber,
    /// The desired state of this agent's target.
    pub orders: TargetOrders,
    valid_until_ms: u64,
    /// When a leader last confirmed this view; 0 if none has.
    confirmed_ms: u64,
    members_seen: Option<MembersPosition>,
    targets_seen: Option<TargetsPosition>,
    suspects_seen: Option<SuspectsPosition>,
    /// Departures that instances told while no leader confirmed the view, and when the last of them
    /// was learned.
    departures: BTreeMap<TargetName, Departure>,
    departures_learned_ms: u64,
    /// Whether they changed targets, so that the leader has to send all of them.
    departures_changed_targets: bool,
}

impl View {
    /// Whether the view has a document and its lease has not expired.
    pub fn is_valid(&self) -> bool {
        self.policy.version > DocumentVersion(0) && clock::boot_ms() < self.valid_until_ms
    }

    /// Time since a leader last confirmed this view; `None` if none has.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        (self.confirmed_ms > 0).then(|| now_ms.saturating_sub(self.confirmed_ms))
    }

    /// Whether every document that may be in force routes and authenticates such a request alike.
    pub fn is_settled(&self, host: &str, path: &str, api_key: Option<&str>) -> bool {
        let mut possible = self.possible_policies.iter();
        possible.all(|policy| policy.handles_alike(&self.policy, host, path, api_key))
    }

    /// The highest revision of the rollouts; 0 if there are none.
    pub fn rollouts_seen(&self) -> RolloutRevision {
        let revisions = self.rollouts.values().map(|rollout| rollout.revision);
        revisions.max().unwrap_or_default()
    }

    /// The agents of a service whose targets are not draining.
    pub fn agents_of<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a Member> {
        self.agents.values().filter(move |member| {
            member
                .target
                .as_ref()
                .is_some_and(|t| t.service == *service && !t.leaving)
        })
    }
}

/// Maintains a process's view and its membership in the control group.
pub struct ControlView {
    view: Arc<ArcSwap<View>>,
    versions: watch::Receiver<DocumentVersion>,
    registration_sender: watch::Sender<Member>,
    load: Arc<Mutex<ProcessLoad>>,
    demand: Arc<Mutex<Demand>>,
    limit_sender: watch::Sender<Vec<LimitReport>>,
    suspect_sender: watch::Sender<SuspectReports>,
    rollout_counts: Arc<Mutex<Vec<RolloutCounts>>>,
    rollout_failures: watch::Sender<u64>,
    /// When a leader last confirmed the view.
    confirmed: watch::Receiver<u64>,
    confirmation_wanted: Arc<Notify>,
    client: Arc<ControlClient>,
}

impl ControlView {
    /// Registers a process and starts renewing its view on a control thread.
    pub fn spawn(client: Arc<ControlClient>, member: Member) -> Self {
        let view = Arc::new(ArcSwap::from_pointee(View::default()));
        let (version_sender, versions) = watch::channel(DocumentVersion(0));
        let (registration_sender, registration) = watch::channel(member);
        let (limit_sender, limits) = watch::channel(Vec::new());
        let (suspect_sender, suspects) = watch::channel(SuspectReports::default());
        let rollout_counts = Arc::new(Mutex::new(Vec::new()));
        let (rollout_failures, rollout_failures_seen) = watch::channel(0);
        let (confirmed_sender, confirmed) = watch::channel(0);
        let confirmation_wanted = Arc::new(Notify::new());
        let publisher = ViewPublisher {
            view: Arc::clone(&view),
            versions: version_sender,
            confirmed: confirmed_sender,
        };
        let load = Arc::new(Mutex::new(ProcessLoad::default()));
        let demand = Arc::new(Mutex::new(Demand::default()));
        let renewal_task = RenewalTask {
            demand: Arc::clone(&demand),
            client: Arc::clone(&client),
            view: Arc::clone(&view),
            load: Arc::clone(&load),
            registration,
            limits,
            suspects,
            rollout_counts: Arc::clone(&rollout_counts),
            rollout_failures: rollout_failures_seen,
            leader_found: Arc::default(),
            confirmation_wanted: Arc::clone(&confirmation_wanted),
        };
        threads::spawn_control("control-view", async move {
            match Actor::spawn(None, ViewActor, publisher).await {
                Ok((actor, _)) => renewal_task.run(actor).await,
                Err(error) => tracing::error!("view: failed to start the actor: {error}"),
            }
        });
        Self {
            view,
            versions,
            registration_sender,
            load,
            demand,
            limit_sender,
            suspect_sender,
            rollout_counts,
            rollout_failures,
            confirmed,
            confirmation_wanted,
            client,
        }
    }

    /// Replaces the RPC addresses of control instances that the settings name.
    pub fn set_control(&self, addresses: Vec<SocketAddr>) {
        self.client.set_seeds(addresses);
    }

    /// Sets the limits of targets that the directory lacks; they are reported immediately, and
    /// with each renewal until the directory has them.
    pub fn report_limits(&self, limits: Vec<LimitReport>) {
        self.limit_sender.send_if_modified(|current| {
            let is_changed = *current != limits;
            *current = limits;
            is_changed
        });
    }

    /// Sets what is reported of suspected parts, immediately and with each renewal.
    pub fn report_suspects(&self, reports: SuspectReports) {
        self.suspect_sender.send_if_modified(|current| {
            let is_changed = *current != reports;
            *current = reports;
            is_changed
        });
    }

    /// Sets what is counted of rollouts, which is reported with each renewal; immediately if the
    /// number of failures of new versions has changed.
    pub fn report_rollouts(&self, counts: Vec<RolloutCounts>) {
        let failures = counts.iter().flat_map(|counts| &counts.routes);
        let failures = failures.map(|route| route.new.failed).sum();
        *self.rollout_counts.lock().expect("no holder panics") = counts;
        self.rollout_failures
            .send_if_modified(|known| std::mem::replace(known, failures) != failures);
    }

    /// Sets a gateway's demand, which is reported with the next renewal.
    pub fn report_demand(&self, demand: Demand) {
        *self.demand.lock().expect("no holder panics") = demand;
    }

    /// Sets this process's load, which is reported with the next renewal.
    pub fn report_load(&self, load: ProcessLoad) {
        *self.load.lock().expect("no holder panics") = load;
    }

    /// Returns the current view.
    pub fn load(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Updates this process's registration and sends it immediately if it changed.
    pub fn update_member(&self, change: impl FnOnce(&mut Member)) {
        self.registration_sender.send_if_modified(|member| {
            let before = member.clone();
            change(member);
            *member != before
        });
    }

    /// Waits until the view has a document of this version or a later one; returns whether it has.
    pub async fn wait_for_version(&self, version: DocumentVersion, wait_ms: u64) -> bool {
        let mut versions = self.versions.clone();
        let reached = versions.wait_for(|current| *current >= version);
        tokio::time::timeout(Duration::from_millis(wait_ms), reached)
            .await
            .is_ok_and(|r| r.is_ok())
    }

    /// Renews the view and waits until a leader has confirmed it as it was at this time or later;
    /// returns whether one has.
    pub async fn confirm_since(&self, since_ms: u64, limit: Duration) -> bool {
        let mut confirmed = self.confirmed.clone();
        self.confirmation_wanted.notify_one();
        let is_confirmed = confirmed.wait_for(|at_ms| *at_ms >= since_ms);
        tokio::time::timeout(limit, is_confirmed)
            .await
            .is_ok_and(|confirmed| confirmed.is_ok())
    }

    /// Deregisters from the control group.
    pub async fn deregister(&self) {
        let member = self.registration_sender.borrow().clone();
        let (load, demand) = (ProcessLoad::default(), Demand::default());
        let request = SyncRequest {
            goodbye: true,
            ..renewal_request(member, load, demand, &self.load(), 0)
        };
        let call = self
            .client
            .call(DEREGISTER_TIMEOUT_MS, DEREGISTER_TIMEOUT_MS, |client| {
                let request = request.clone();
                async move { client.sync(request).await }
            });
        let _ = call.await;
    }
}

fn renewal_request(
    member: Member,
    load: ProcessLoad,
    demand: Demand,
    view: &View,
    wait_ms: u64,
) -> SyncRequest {
    SyncRequest {
        load,
        demand,
        limits: Vec::new(),
        suspects: SuspectReports::default(),
        suspects_seen: view.suspects_seen.clone(),
        rollout_counts: Vec::new(),
        rollouts_seen: view.rollouts_seen(),
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

struct RenewalTask {
    client: Arc<ControlClient>,
    view: Arc<ArcSwap<View>>,
    load: Arc<Mutex<ProcessLoad>>,
    demand: Arc<Mutex<Demand>>,
    registration: watch::Receiver<Member>,
    limits: watch::Receiver<Vec<LimitReport>>,
    suspects: watch::Receiver<SuspectReports>,
    rollout_counts: Arc<Mutex<Vec<RolloutCounts>>>,
    rollout_failures: watch::Receiver<u64>,
    leader_found: Arc<Notify>,
    confirmation_wanted: Arc<Notify>,
}

impl RenewalTask {
    async fn run(mut self, actor: ActorRef<ViewUpdate>) {
        let mut is_disconnected = false;
        let mut wait_ms = MAX_RENEWAL_HOLD_MS;
        if self.registration.borrow().role == ProcessRole::Gateway {
            let peek_task = PeekTask {
                client: Arc::clone(&self.client),
                view: Arc::clone(&self.view),
            };
            tokio::spawn(peek_task.run(actor.clone()));
        }
        let catch_up_task = CatchUpTask {
            client: Arc::clone(&self.client),
            view: Arc::clone(&self.view),
            leader_found: Arc::clone(&self.leader_found),
        };
        tokio::spawn(catch_up_task.run(actor.clone()));
        loop {
            let member = self.registration.borrow_and_update().clone();
            let demand = self.demand.lock().expect("no holder panics").clone();
            let load = self.load.lock().expect("no holder panics").clone();
            self.rollout_failures.mark_unchanged();
            let rollout_counts = self
                .rollout_counts
                .lock()
                .expect("no holder panics")
                .clone();
            let request = SyncRequest {
                rollout_counts,
                limits: self.limits.borrow_and_update().clone(),
                suspects: self.suspects.borrow_and_update().clone(),
                ..renewal_request(member, load, demand, &self.view.load(), wait_ms)
            };
            // The time of the last attempt: earlier attempts may have taken long without a
            // reply.
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
                () = self.leader_found.notified() => {
                    wait_ms = 0;
                    continue;
                }
                () = self.confirmation_wanted.notified(), if wait_ms > 0 => {
                    tokio::time::sleep(Duration::from_millis(CONFIRMATION_GATHER_MS)).await;
                    wait_ms = 0;
                    continue;
                }
                // A call that the leader does not hold is not cut short: it brings what is new, and
                // changes here may come faster than replies.
                changed = self.registration.changed(), if wait_ms > 0 => match changed {
                    Ok(()) => {
                        // The aborted call was due to renew the view, so the leader must not hold
                        // the next one.
                        wait_ms = 0;
                        continue;
                    }
                    Err(_) => return,
                },
                Ok(()) = self.limits.changed(), if wait_ms > 0 => {
                    wait_ms = 0;
                    continue;
                }
                Ok(()) = self.suspects.changed(), if wait_ms > 0 => {
                    wait_ms = 0;
                    continue;
                }
                Ok(()) = self.rollout_failures.changed(), if wait_ms > 0 => {
                    wait_ms = 0;
                    continue;
                }
            };
            wait_ms = MAX_RENEWAL_HOLD_MS;
            match reply {
                Ok(reply) => {
                    if is_disconnected {
                        tracing::info!("view: reconnected to the control group");
                    }
                    is_disconnected = false;
                    self.client.set_discovered(&reply.control);
                    let merged = ractor::call!(actor, |done| ViewUpdate::Reply {
                        reply: Box::new(reply),
                        sent_ms: Some(sent_ms.load(Ordering::Relaxed)),
                        done
                    });
                    if let Err(error) = merged {
                        tracing::error!(%error, "view: failed to merge a reply of the leader");
                    }
                }
                Err(error) if !is_disconnected => {
                    is_disconnected = true;
                    tracing::warn!(%error, "view: renewal failed");
                }
                Err(_) => {}
            }
        }
    }
}

/// Where a view's document comes from.
#[derive(Clone, Copy, derive_more::Display)]
enum DocumentSource {
    /// A leader, so it is in force.
    #[display("leader")]
    Leader,
    /// The cache of a control instance, at the start of the process.
    #[display("cache")]
    Cache,
    /// A control instance that knows that it is committed.
    #[display("catch-up")]
    CatchUp,
}

/// What is merged into the view.
enum ViewUpdate {
    /// A reply of a leader, or the state that an instance has cached.
    Reply {
        reply: Box<SyncReply>,
        /// When it was requested; `None` if it does not renew the lease.
        sent_ms: Option<u64>,
        done: ractor::RpcReplyPort<()>,
    },
    /// What any instance knows to be committed.
    Committed {
        departures: Vec<Departure>,
        rollouts: Vec<Rollout>,
        document: Option<AcceptedDocument>,
        /// Documents that may be committed.
        possible: Vec<AcceptedDocument>,
        done: ractor::RpcReplyPort<()>,
    },
}

/// The actor that merges replies into the view.
struct ViewActor;

/// Where the view is published.
struct ViewPublisher {
    view: Arc<ArcSwap<View>>,
    versions: watch::Sender<DocumentVersion>,
    confirmed: watch::Sender<u64>,
}

impl Actor for ViewActor {
    type Msg = ViewUpdate;
    type State = ViewPublisher;
    type Arguments = ViewPublisher;

    async fn pre_start(
        &self,
        _myself: ActorRef<Self::Msg>,
        publisher: ViewPublisher,
    ) -> Result<Self::State, ActorProcessingErr> {
        Ok(publisher)
    }

    async fn handle(
        &self,
        _myself: ActorRef<Self::Msg>,
        update: Self::Msg,
        publisher: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        let mut next = View::clone(&publisher.view.load());
        let (is_merged, done) = match update {
            ViewUpdate::Reply {
                reply,
                sent_ms,
                done,
            } => (merge_reply(&mut next, *reply, sent_ms), done),
            ViewUpdate::Committed {
                departures,
                rollouts,
                document,
                possible,
                done,
            } => {
                let has_rollouts = merge_rollouts(&mut next, rollouts);
                let is_merged = merge_committed(&mut next, departures, document);
                let has_possible = merge_possible(&mut next, possible);
                (has_rollouts || is_merged || has_possible, done)
            }
        };
        if is_merged {
            let (version, confirmed_ms) = (next.policy.version, next.confirmed_ms);
            publisher.view.store(Arc::new(next));
            let versions = &publisher.versions;
            versions.send_if_modified(|current| std::mem::replace(current, version) != version);
            publisher.confirmed.send_replace(confirmed_ms);
        }
        let _ = done.send(());
        Ok(())
    }
}

/// Merges a reply of a leader, or of another instance if it has no `sent_ms`; returns false if it is
/// outdated or its document failed to compile.
fn merge_reply(view: &mut View, reply: SyncReply, sent_ms: Option<u64>) -> bool {
    let held_ms = reply.held_ms.min(MAX_RENEWAL_HOLD_MS);
    let source = match sent_ms {
        Some(_) => DocumentSource::Leader,
        None => DocumentSource::Cache,
    };
    if reply.fencing < view.fencing {
        let (term, known) = (reply.fencing.0, view.fencing.0);
        tracing::info!(term, known, "view: reply of an earlier leader ignored");
        return false;
    }
    if !merge(view, reply, source) {
        return false;
    }
    match sent_ms {
        None => view.shares_expire_ms = clock::boot_ms() + LOCAL_SHARE_LEASE_MS,
        Some(sent_ms) => {
            view.shares_expire_ms = sent_ms + LOCAL_SHARE_LEASE_MS;
            view.confirmed_ms = sent_ms + held_ms;
            view.valid_until_ms = view.confirmed_ms + VIEW_LEASE_MS;
            view.possible_policies.clear();
        }
    }
    // Only a leader that replies to a later request is sure to know what was learned. An earlier one,
    // or an instance without a leader, may list targets as they were before they departed.
    match sent_ms.is_some_and(|sent_ms| sent_ms > view.departures_learned_ms) {
        true => {
            view.departures.clear();
            if std::mem::take(&mut view.departures_changed_targets) {
                view.targets_seen = None;
            }
        }
        false => {
            let departures = std::mem::take(&mut view.departures);
            apply_departures(view, departures.into_values());
        }
    }
    true
}

/// Merges what is committed; returns whether the view has changed.
fn merge_committed(
    view: &mut View,
    departures: Vec<Departure>,
    document: Option<AcceptedDocument>,
) -> bool {
    let version = view.policy.version;
    let is_compiled =
        document.is_none_or(|document| merge_document(view, document, DocumentSource::CatchUp));
    let has_departures = !departures.is_empty();
    if has_departures {
        view.departures_learned_ms = clock::boot_ms();
    }
    apply_departures(view, departures.into_iter());
    has_departures || is_compiled && view.policy.version > version
}

/// Merges rollouts, each if it is later than the one that is known; returns whether one is.
fn merge_rollouts(view: &mut View, rollouts: Vec<Rollout>) -> bool {
    let mut is_changed = false;
    for rollout in rollouts {
        let known = view.rollouts.get(&rollout.service);
        if known.is_none_or(|known| known.revision < rollout.revision) {
            tracing::info!(
                service = %rollout.service, to = %rollout.to, stage = ?rollout.stage,
                revision = rollout.revision.0, "view: rollout changed"
            );
            Arc::make_mut(&mut view.rollouts).insert(rollout.service.clone(), rollout);
            is_changed = true;
        }
    }
    is_changed
}

/// Applies departures to the targets, and keeps them for replies that do not know them.
fn apply_departures(view: &mut View, departures: impl Iterator<Item = Departure>) {
    let (seen, before) = (view.targets_seen.clone(), Arc::clone(&view.targets));
    for departure in departures {
        let listed = view.targets.get(&departure.target);
        let standing = listed.map(|listed| {
            let standing = departure.standing(listed.started_unix_ms);
            (standing, listed.leaving)
        });
        match standing {
            None | Some((Standing::Serving, _) | (Standing::Leaving, true)) => {}
            Some((Standing::Leaving, false)) => {
                let targets = Arc::make_mut(&mut view.targets);
                if let Some(target) = targets.get_mut(&departure.target) {
                    target.leaving = true;
                    view.departures_changed_targets = true;
                }
            }
            Some((Standing::Withdrawn, _)) => {
                view.departures_changed_targets = true;
                Arc::make_mut(&mut view.targets).remove(&departure.target);
            }
        }
        view.departures.insert(departure.target.clone(), departure);
    }
    log_targets(&before, &view.targets, &seen.unwrap_or_default());
}

/// Merges documents of which no instance that replied knows whether they are committed; returns
/// whether one of them is new.
fn merge_possible(view: &mut View, documents: Vec<AcceptedDocument>) -> bool {
    let mut is_changed = false;
    for AcceptedDocument { version, yaml, .. } in documents {
        let mut possible = view.possible_policies.iter();
        if version <= view.policy.version || possible.any(|known| known.version == version) {
            continue;
        }
        match Policy::compile(version, &yaml) {
            Ok(policy) => {
                tracing::warn!("view: document {version} may be in force, no leader confirms it");
                view.possible_policies.push(Arc::new(policy));
                is_changed = true;
            }
            Err(errors) => tracing::error!("view: failed to compile document {version}: {errors}"),
        }
    }
    is_changed
}

/// Merges a document; returns false if it failed to compile.
fn merge_document(view: &mut View, document: AcceptedDocument, source: DocumentSource) -> bool {
    if document.version <= view.policy.version {
        return true;
    }
    match Policy::compile(document.version, &document.yaml) {
        Ok(policy) => {
            tracing::info!(%source, "view: document {} is in force", policy.version);
            view.possible_policies
                .retain(|possible| possible.version > policy.version);
            view.policy = Arc::new(policy);
            true
        }
        Err(errors) => {
            tracing::error!(
                "view: failed to compile document {}: {errors}",
                document.version
            );
            false
        }
    }
}

/// Merges a reply; returns false if its document failed to compile.
fn merge(view: &mut View, reply: SyncReply, source: DocumentSource) -> bool {
    if reply
        .document
        .is_some_and(|document| !merge_document(view, document, source))
    {
        return false;
    }
    if let Some(changes) = reply.members {
        let is_complete = changes.seen.epoch.1;
        let mut agents = match changes.whole && is_complete {
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
        let is_complete = changes.seen.epoch.1;
        let mut targets = match changes.whole && is_complete {
            true => BTreeMap::new(),
            false => BTreeMap::clone(&view.targets),
        };
        for name in &changes.removed {
            targets.remove(name);
        }
        // Another leader may know less of a run that leaves.
        let seen = view.targets_seen.as_ref();
        let is_same_leader = seen.is_some_and(|seen| seen.epoch.0 == changes.seen.epoch.0);
        let before = Arc::clone(&view.targets);
        let present = changes.present.into_iter().map(|mut target| {
            let known = before.get(&target.name);
            let known = known.filter(|_| !is_same_leader && !is_complete);
            target.leaving |= known.is_some_and(|known| {
                known.leaving && known.started_unix_ms == target.started_unix_ms
            });
            (target.name.clone(), target)
        });
        targets.extend(present);
        if changes.whole {
            remove_replaced(&mut targets, &NamedServices::of(&view.policy));
        }
        log_targets(&view.targets, &targets, &changes.seen);
        view.targets = Arc::new(targets);
        view.targets_seen = Some(changes.seen);
    }
    if let Some(changes) = reply.suspects {
        let is_complete = changes.seen.epoch.1;
        let mut suspects = match changes.whole && is_complete {
            true => BTreeMap::new(),
            false => BTreeMap::clone(&view.suspects),
        };
        for key in &changes.removed {
            suspects.remove(key);
        }
        let present = changes.present.into_iter();
        suspects.extend(present.map(|suspect| (suspect.key.clone(), suspect)));
        view.suspects = Arc::new(suspects);
        view.suspects_seen = Some(changes.seen);
    }
    merge_rollouts(view, reply.rollouts);
    if *view.versions != reply.versions {
        view.versions = Arc::new(reply.versions);
    }
    if let Some(shares) = reply.shares {
        view.shares = Some(Arc::new(shares));
    }
    view.accounts = reply.accounts.or(view.accounts);
    view.fencing = reply.fencing;
    view.orders = reply.orders;
    true
}

/// Logs added, changed and removed targets with the term and the revision of the directory that
/// says so, or only their numbers if there are many, as in a first view.
fn log_targets(
    before: &BTreeMap<TargetName, TargetEntry>,
    after: &BTreeMap<TargetName, TargetEntry>,
    seen: &TargetsPosition,
) {
    let (term, revision) = (seen.epoch.0.0, seen.revision);
    let changed: Vec<&TargetEntry> = after
        .values()
        .filter(|target| before.get(&target.name) != Some(target))
        .collect();
    let removed: Vec<&TargetName> = before
        .keys()
        .filter(|name| !after.contains_key(*name))
        .collect();
    if changed.len() + removed.len() > MAX_LOGGED_TARGETS {
        let leaving = changed.iter().filter(|target| target.leaving).count();
        tracing::info!(
            targets = after.len(),
            changed = changed.len(),
            leaving,
            gone = removed.len(),
            term,
            revision,
            "view: targets changed"
        );
        return;
    }
    for target in changed {
        tracing::info!(
            target = %target.name, service = %target.service, address = %target.address,
            started_unix_ms = target.started_unix_ms, leaving = target.leaving, term, revision,
            "view: target changed"
        );
    }
    for name in removed {
        tracing::info!(target = %name, term, revision, "view: target removed");
    }
}
