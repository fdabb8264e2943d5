//! Rollouts at a replica: orders, the leader's decisions, and how gateways learn of them.
//!
//! The time since an order is known without a wall clock: each committed record of a rollout states
//! it, and a replica adds the time since it applied the record by its boot clock. The leader commits
//! such a record at least every [`RECORD_INTERVAL_MS`]. A replica keeps the time of the order by its
//! boot clock beside the log, with the id of the boot, so that a restart of the process does not lose
//! it. After a restart of the instance the time is a lower bound until another leader's record is
//! applied: stages are then decided late, never early.

use super::*;
use crate::{
    control::rollouts::{RolloutAdvance, RolloutOrder, RolloutStart, Rollouts},
    derives::record,
    rollout::{
        Rollout, RolloutRevision, RolloutStage,
        decision::{Decision, Inputs, ReadyTargets},
        evidence::{Evidence, ServiceSums},
    },
    units::{Incarnation, ServiceName, TargetVersion},
};

/// Name of the sidecar file with the times of the orders.
const TIMES_SIDECAR: &str = "rollouts";
/// Longest time between two records of a rollout in progress: what a failure of all instances at
/// once may hide from the next leader, besides the time of the failure itself.
const RECORD_INTERVAL_MS: u64 = 1000;
/// Time after which a proposal that is not committed is made again.
const PROPOSE_AGAIN_MS: u64 = 500;
/// Longest duration of a rollout: a day.
pub const MAX_DURATION_MS: u64 = 86_400_000;
/// Longest version of a target's software, in bytes.
const MAX_VERSION_BYTES: usize = 255;

/// An operator's call that concerns rollouts.
pub enum RolloutRequest {
    /// Orders a rollout.
    Start(RolloutOrder, ReplySender<Reply>),
    /// Reads the latest rollout of each service.
    Read(ReplySender<Vec<Rollout>>),
    /// Rolls the rollout of a service back.
    Cancel(ServiceName, ReplySender<Reply>),
}

record! {
    /// When the latest orders were given, by the clock of one boot of the instance.
    #[derive(Default)]
    struct OrderTimes {
        boot_id: String,
        ordered_boot_ms: BTreeMap<ServiceName, (RolloutRevision, i64)>,
    }
}

/// What a replica knows of rollouts besides the replicated state.
#[derive(Default)]
pub(super) struct RolloutControl {
    times: OrderTimes,
    evidence: Evidence,
    decisions: BTreeMap<ServiceName, (RolloutRevision, Decision)>,
    /// The revision in which a decision was proposed, and when.
    proposed: BTreeMap<ServiceName, (RolloutRevision, u64)>,
    /// Orders for services that may be in a document which is not compiled yet.
    pending_orders: Vec<(RolloutOrder, ReplySender<Reply>)>,
}

impl RolloutControl {
    /// Reads what an earlier process on this disk knew, and what the snapshot says.
    pub(super) fn open(
        storage: &Storage,
        control: &ControlState,
        cached: &mut Vec<Rollout>,
    ) -> Self {
        merge_into_cache(cached, control.rollouts());
        let boot_id = std::fs::read_to_string("/proc/sys/kernel/random/boot_id");
        let boot_id = boot_id.unwrap_or_default();
        let known: OrderTimes = storage.read_sidecar(TIMES_SIDECAR).unwrap_or_default();
        let is_same_boot = !boot_id.is_empty() && known.boot_id == boot_id;
        let times = match is_same_boot {
            true => known,
            false => OrderTimes {
                boot_id,
                ..OrderTimes::default()
            },
        };
        let mut opened = Self {
            times,
            ..Self::default()
        };
        for rollout in control.rollouts().iter() {
            opened.record(rollout, control.rollouts().recorded_ms(&rollout.service));
        }
        opened
    }

    /// Records the time of a rollout's order, as a record of it was applied just now. The earliest
    /// estimate is the closest: each is late by the time that the record took to get here.
    fn record(&mut self, rollout: &Rollout, recorded_ms: Option<u64>) -> bool {
        let ordered_boot_ms = clock::boot_ms().cast_signed()
            - recorded_ms.unwrap_or(rollout.stage_at_ms).cast_signed();
        let times = &mut self.times.ordered_boot_ms;
        let known = times.get(&rollout.service);
        let is_earlier = known.is_none_or(|(ordered, known_ms)| {
            *ordered != rollout.ordered || ordered_boot_ms < *known_ms
        });
        if is_earlier {
            let time = (rollout.ordered, ordered_boot_ms);
            times.insert(rollout.service.clone(), time);
        }
        is_earlier
    }

    /// Time since the order of a rollout, in milliseconds.
    fn elapsed_ms(&self, rollout: &Rollout) -> u64 {
        let time = self.times.ordered_boot_ms.get(&rollout.service);
        let time = time.filter(|(ordered, _)| *ordered == rollout.ordered);
        let elapsed_ms = time.map_or(0, |(_, at_ms)| clock::boot_ms().cast_signed() - at_ms);
        u64::try_from(elapsed_ms).unwrap_or(0)
    }

    /// Forgets what belongs to one term of a leader.
    pub(super) fn begin_term(&mut self) {
        self.evidence.clear();
        self.decisions.clear();
        self.proposed.clear();
    }

    /// Fails the orders that wait for a document.
    pub(super) fn fail_pending(&mut self, error: &ControlError) {
        for (_, sender) in std::mem::take(&mut self.pending_orders) {
            let _ = sender.send(Err(error.clone()));
        }
    }
}

/// Caches the rollouts, each if it is later than the cached one: after a restart the cache may be
/// ahead of what the replica has applied.
fn merge_into_cache(cached: &mut Vec<Rollout>, rollouts: &Rollouts) {
    cached.retain(|known| {
        let own = rollouts.get(&known.service);
        own.is_none_or(|own| own.revision < known.revision)
    });
    let is_lacking = |own: &&Rollout| !cached.iter().any(|known| known.service == own.service);
    let lacking: Vec<Rollout> = rollouts.iter().filter(is_lacking).cloned().collect();
    cached.extend(lacking);
}

/// The service that a command on rollouts is about.
pub(super) fn service_of(command: Option<&Command>) -> Option<ServiceName> {
    match command {
        Some(Command::StartRollout(start)) => Some(start.order.service.clone()),
        Some(Command::AdvanceRollout(advance)) => Some(advance.service.clone()),
        _ => None,
    }
}

/// Checks an order, except for its service.
fn check(order: &RolloutOrder) -> Result<(), ControlError> {
    let invalid = |why: &str| Err(ControlError::InvalidRollout(why.into()));
    match (order.to.0.len(), order.duration_ms) {
        (0, _) => invalid("the version is empty"),
        (length, _) if length > MAX_VERSION_BYTES => invalid("the version is too long"),
        (_, 0) => invalid("the duration is 0"),
        (_, duration_ms) if duration_ms > MAX_DURATION_MS => invalid("the duration is over a day"),
        _ => Ok(()),
    }
}

impl ReplicaState {
    /// Serves an operator's call.
    pub(super) fn serve_rollouts(
        &mut self,
        request: RolloutRequest,
    ) -> Result<(), ActorProcessingErr> {
        match (self.check_leading(), request) {
            (Ok(()), RolloutRequest::Start(order, sender)) => self.start_rollout(order, sender)?,
            (Ok(()), RolloutRequest::Cancel(service, sender)) => {
                self.cancel_rollout(&service, sender)?;
            }
            (leading, RolloutRequest::Read(sender)) => {
                let rollouts = || self.control.rollouts().iter().cloned().collect();
                let _ = sender.send(leading.map(|()| rollouts()));
            }
            (Err(error), RolloutRequest::Start(_, sender) | RolloutRequest::Cancel(_, sender)) => {
                drop(sender.send(Err(error)));
            }
        }
        Ok(())
    }

    /// Proposes an order, once it is known whether its service exists.
    fn start_rollout(
        &mut self,
        order: RolloutOrder,
        sender: ReplySender<Reply>,
    ) -> Result<(), ActorProcessingErr> {
        if let Err(error) = check(&order) {
            let _ = sender.send(Err(error));
            return Ok(());
        }
        let known = self.control.rollouts().get(&order.service);
        let is_repeated = known
            .is_some_and(|known| known.to == order.to && known.duration_ms == order.duration_ms);
        let is_compiled = self.policy_version == self.control.document().version;
        let is_in_document = self.policy.service(&order.service).is_some();
        let from = self.versions_of(&order.service);
        match (is_in_document || is_repeated, is_compiled) {
            (true, _) => {}
            // A long document takes seconds to compile, and an order must be answered meanwhile.
            (false, false) if !from.is_empty() => {}
            (false, false) => {
                self.rollouts.pending_orders.push((order, sender));
                return Ok(());
            }
            (false, true) => {
                let why = format!("there is no service {}", order.service);
                let _ = sender.send(Err(ControlError::InvalidRollout(why)));
                return Ok(());
            }
        }
        let last = known.map(|known| (known.ordered, self.rollouts.elapsed_ms(known)));
        let start = RolloutStart { order, from, last };
        self.propose(Command::StartRollout(start), Proposer::Caller(sender))
    }

    /// Proposes the orders that waited for a document, which is compiled now.
    pub(super) fn start_pending_rollouts(&mut self) {
        for (order, sender) in std::mem::take(&mut self.rollouts.pending_orders) {
            let request = ReplicaMessage::Rollout(RolloutRequest::Start(order, sender));
            if let Err(error) = self.myself.cast(request) {
                tracing::debug!(%error, "control: stops, an order of a rollout is not answered");
            }
        }
    }

    fn cancel_rollout(
        &mut self,
        service: &ServiceName,
        sender: ReplySender<Reply>,
    ) -> Result<(), ActorProcessingErr> {
        let refusal = match self.control.rollouts().get(service) {
            None => ControlError::NoRollout(service.clone()),
            Some(rollout) if rollout.stage == RolloutStage::Completed => {
                ControlError::RolloutConflict(format!("the rollout of {service} is completed"))
            }
            Some(rollout) => {
                let reason = "cancelled by an operator".into();
                let advance = self.advance(rollout, RolloutStage::RolledBack { reason });
                let command = Command::AdvanceRollout(advance);
                return self.propose(command, Proposer::Caller(sender));
            }
        };
        let _ = sender.send(Err(refusal));
        Ok(())
    }

    fn advance(&self, rollout: &Rollout, stage: RolloutStage) -> RolloutAdvance {
        RolloutAdvance {
            service: rollout.service.clone(),
            ordered: rollout.ordered,
            decided_in: rollout.revision,
            at_ms: self.rollouts.elapsed_ms(rollout),
            stage,
            from: self.versions_of(&rollout.service),
        }
    }

    fn versions_of(&self, service: &ServiceName) -> BTreeSet<TargetVersion> {
        let targets = self.directory.targets().into_iter();
        let of_service = targets.filter(|target| target.service == *service);
        of_service.map(|target| target.version).collect()
    }

    /// Records what a gateway has counted.
    pub(super) fn report_rollouts(&mut self, request: &SyncRequest) {
        for counts in &request.rollout_counts {
            let Some(rollout) = self.control.rollouts().get(&counts.service) else {
                continue;
            };
            let term_ms = self.now_ms() - self.leader_since_ms;
            let began_before_term = self.rollouts.elapsed_ms(rollout) > term_ms;
            let member = &request.member;
            let gateway = (member.name.clone(), member.incarnation);
            let (counts, seen) = (counts.clone(), request.rollouts_seen);
            let evidence = &mut self.rollouts.evidence;
            evidence.report(rollout, gateway, counts, seen, began_before_term);
        }
    }

    /// Decides on the rollouts in progress and proposes what changes.
    pub(super) fn decide_rollouts(&mut self) -> Result<(), ActorProcessingErr> {
        if self.check_leading().is_err() {
            return Ok(());
        }
        let rollouts = self.control.rollouts().iter();
        let in_progress: Vec<Rollout> = rollouts
            .filter(|rollout| !rollout.has_ended())
            .cloned()
            .collect();
        let mut commands = Vec::new();
        let now_ms = self.now_ms();
        for rollout in in_progress {
            let proposed = self.rollouts.proposed.get(&rollout.service);
            let is_proposed = proposed.is_some_and(|(revision, at_ms)| {
                *revision == rollout.revision && now_ms < at_ms + PROPOSE_AGAIN_MS
            });
            if is_proposed {
                continue;
            }
            let stage = self.decide(&rollout).or_else(|| {
                let recorded_ms = self.control.rollouts().recorded_ms(&rollout.service);
                let due_ms = recorded_ms.unwrap_or(0) + RECORD_INTERVAL_MS;
                let is_due = self.rollouts.elapsed_ms(&rollout) >= due_ms;
                is_due.then(|| rollout.stage.clone())
            });
            if let Some(stage) = stage {
                let advance = self.advance(&rollout, stage);
                commands.push(postcard::to_stdvec(&Command::AdvanceRollout(advance))?.into());
                let proposed = (rollout.revision, now_ms);
                self.rollouts.proposed.insert(rollout.service, proposed);
            }
        }
        if !commands.is_empty() {
            self.step(Input::Propose(commands))?;
        }
        Ok(())
    }

    /// The next stage of a rollout, if it is to change.
    fn decide(&mut self, rollout: &Rollout) -> Option<RolloutStage> {
        let elapsed_ms = self.rollouts.elapsed_ms(rollout);
        let is_quiet = rollout.stage == RolloutStage::CuttingOver
            && self.members_complete
            && self.is_quiet(rollout);
        let RolloutControl {
            evidence,
            decisions,
            ..
        } = &mut self.rollouts;
        let nothing = ServiceSums::default();
        let sums = evidence.sums(rollout).unwrap_or(&nothing);
        let targets = self.directory.targets().into_iter();
        let ready = targets.filter(|target| target.service == rollout.service && !target.leaving);
        let (new, old): (Vec<_>, Vec<_>) = ready.partition(|target| target.version == rollout.to);
        let fresh = || (rollout.ordered, Decision::default());
        let decision = decisions
            .entry(rollout.service.clone())
            .or_insert_with(fresh);
        if decision.0 != rollout.ordered {
            *decision = fresh();
        }
        let stage = decision.1.next(&Inputs {
            rollout,
            elapsed_ms,
            sums,
            ready: ReadyTargets {
                new: new.len(),
                old: old.len(),
                is_complete: self.directory_complete,
            },
            longest_timeout_ms: self.policy.longest_timeout_ms(&rollout.service),
            is_quiet,
        })?;
        tracing::info!(
            service = %rollout.service, to = %rollout.to, ?stage, elapsed_ms,
            new_targets = new.len(), old_targets = old.len(),
            grounds = %decision.1.grounds(sums), "control: rollout stage decided"
        );
        Some(stage)
    }

    fn is_quiet(&self, rollout: &Rollout) -> bool {
        let statuses = self.members.statuses().into_iter();
        let members = statuses.map(|status| status.member);
        let gateways: Vec<(ProcessName, Incarnation)> = members
            .filter(|member| member.role == ProcessRole::Gateway)
            .map(|member| (member.name, member.incarnation))
            .collect();
        self.rollouts.evidence.is_quiet(rollout, &gateways)
    }

    /// Takes note of a committed record of a rollout; returns whether its stage changed since
    /// `revision_before`.
    pub(super) fn rollout_applied(
        &mut self,
        service: &ServiceName,
        revision_before: RolloutRevision,
    ) -> bool {
        let rollouts = self.control.rollouts();
        let Some(rollout) = rollouts.get(service).cloned() else {
            return false;
        };
        let recorded_ms = rollouts.recorded_ms(service);
        let is_changed = rollouts.revision() > revision_before;
        if !rollout.has_ended() || is_changed {
            let is_closer = self.rollouts.record(&rollout, recorded_ms);
            if is_closer {
                self.store_order_times();
            }
        }
        if is_changed {
            metrics::control_rollout(&rollout);
            tracing::info!(
                service = %rollout.service, to = %rollout.to, stage = ?rollout.stage,
                revision = rollout.revision.0, at_ms = rollout.stage_at_ms,
                "control: rollout changed"
            );
            self.cache_rollouts();
        }
        is_changed
    }

    /// Takes over the rollouts of a snapshot.
    pub(super) fn restore_rollouts(&mut self) {
        let rollouts: Vec<Rollout> = self.control.rollouts().iter().cloned().collect();
        for rollout in &rollouts {
            let recorded_ms = self.control.rollouts().recorded_ms(&rollout.service);
            self.rollouts.record(rollout, recorded_ms);
        }
        self.cache_rollouts();
    }

    /// Caches the rollouts.
    pub(super) fn cache_rollouts(&mut self) {
        merge_into_cache(&mut self.cache.rollouts, self.control.rollouts());
        self.cache_changed = true;
    }

    /// The rollouts for a gateway that has an older revision.
    pub(super) fn rollouts_after(&self, seen: RolloutRevision) -> Vec<Rollout> {
        let rollouts = self.control.rollouts();
        match rollouts.revision() > seen {
            true => rollouts.iter().cloned().collect(),
            false => Vec::new(),
        }
    }

    /// Writes the times of the orders to disk, on another thread as the disk may stall.
    fn store_order_times(&self) {
        let write = self
            .storage
            .sidecar_writer(TIMES_SIDECAR, &self.rollouts.times);
        tokio::task::spawn_blocking(move || {
            if let Err(error) = write() {
                tracing::debug!(%error, "control: failed to store the times of rollouts");
            }
        });
    }
}
