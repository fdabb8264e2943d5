//! The rollouts of the replicated state: orders, stages and the revisions that count them. Pure: no
//! I/O and no clock; times come with the commands.
//!
//! | the last order of the service | a new order | result |
//! |---|---|---|
//! | none, or ended | any other | accepted |
//! | in progress | equal | repetition, no effect |
//! | in progress | any other | conflict |
//! | ended, accepted at most [`REPEAT_WITHIN_MS`] ago | equal | repetition, no effect |
//! | ended, accepted earlier | equal | accepted |
//!
//! The leader that proposes an order states how long ago the last one was accepted, and which one it
//! means. If another order is the last one when the command is applied, it was accepted in between.

use crate::{
    derives::record,
    rollout::{Rollout, RolloutRevision, RolloutStage},
    units::*,
};
use std::collections::{BTreeMap, BTreeSet};

/// Time after its acceptance in which an equal order is a repetition although the rollout has ended:
/// operators repeat an order for at most 5 s when its acknowledgement is lost.
pub const REPEAT_WITHIN_MS: u64 = 10_000;

record! {
    /// An operator's order.
    pub struct RolloutOrder {
        /// The service.
        pub service: ServiceName,
        /// The version that its traffic is moved to.
        pub to: TargetVersion,
        /// Time from the order to the deadline, in milliseconds.
        pub duration_ms: u64,
    }

    /// An order as proposed by the leader.
    pub struct RolloutStart {
        /// The order.
        pub order: RolloutOrder,
        /// The versions that the targets of the service have.
        pub from: BTreeSet<TargetVersion>,
        /// The last accepted order that the leader knows, and the time since its acceptance, in
        /// milliseconds.
        pub last: Option<(RolloutRevision, u64)>,
    }

    /// A decision of the leader, or the progress of time within a stage.
    pub struct RolloutAdvance {
        /// The service.
        pub service: ServiceName,
        /// See [`Rollout::ordered`].
        pub ordered: RolloutRevision,
        /// The revision of the stage that the decision was made in.
        pub decided_in: RolloutRevision,
        /// Time from the order until the decision, in milliseconds.
        pub at_ms: u64,
        /// The stage; if it is the current one, only the time is recorded.
        pub stage: RolloutStage,
        /// Versions of targets that have appeared since the order, other than the new one.
        pub from: BTreeSet<TargetVersion>,
    }

    /// A rollout and the time up to which its progress is recorded.
    struct RolloutRecord {
        rollout: Rollout,
        /// Time from the order to the latest record, in milliseconds.
        recorded_ms: u64,
    }

    /// The latest rollout of each service.
    #[derive(Default)]
    pub struct Rollouts {
        records: BTreeMap<ServiceName, RolloutRecord>,
        revision: RolloutRevision,
    }
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// A rollout begins.
    Accepted,
    /// The order is in effect already.
    Repeated,
    /// Another rollout of the service is in progress.
    Conflict,
}

impl Rollouts {
    /// The latest rollout of a service.
    pub fn get(&self, service: &ServiceName) -> Option<&Rollout> {
        Some(&self.records.get(service)?.rollout)
    }

    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = &Rollout> {
        self.records.values().map(|record| &record.rollout)
    }

    /// Time from the order of a service's latest rollout to its latest record, in milliseconds.
    pub fn recorded_ms(&self, service: &ServiceName) -> Option<u64> {
        Some(self.records.get(service)?.recorded_ms)
    }

    /// The highest revision; 0 if there has been no order.
    pub fn revision(&self) -> RolloutRevision {
        self.revision
    }

    /// Whether there has been no order.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Applies a committed order.
    pub fn start(&mut self, start: RolloutStart) -> StartOutcome {
        let RolloutStart { order, from, last } = start;
        if let Some(known) = self.get(&order.service) {
            let is_equal = known.to == order.to && known.duration_ms == order.duration_ms;
            let is_late = last.is_some_and(|(ordered, since_ms)| {
                ordered == known.ordered && since_ms > REPEAT_WITHIN_MS
            });
            match (is_equal, known.has_ended()) {
                (true, false) => return StartOutcome::Repeated,
                (true, true) if !is_late => return StartOutcome::Repeated,
                (false, false) => return StartOutcome::Conflict,
                _ => {}
            }
        }
        let revision = self.next_revision();
        let mut from = from;
        from.remove(&order.to);
        let record = RolloutRecord {
            rollout: Rollout {
                service: order.service.clone(),
                to: order.to,
                from,
                duration_ms: order.duration_ms,
                ordered: revision,
                revision,
                stage_at_ms: 0,
                stage: RolloutStage::Exposing { share_ppm: 0 },
            },
            recorded_ms: 0,
        };
        self.records.insert(order.service, record);
        StartOutcome::Accepted
    }

    /// Applies a committed decision; returns whether the stage changed. A decision that was made in
    /// an earlier stage has no effect, except that a rollout may be rolled back at any time.
    pub fn advance(&mut self, advance: RolloutAdvance) -> bool {
        let Some(record) = self.records.get_mut(&advance.service) else {
            return false;
        };
        let rollout = &record.rollout;
        let is_roll_back = matches!(advance.stage, RolloutStage::RolledBack { .. });
        let is_current = rollout.revision == advance.decided_in || is_roll_back;
        if rollout.ordered != advance.ordered || rollout.has_ended() || !is_current {
            return false;
        }
        record.recorded_ms = record.recorded_ms.max(advance.at_ms);
        if rollout.stage == advance.stage {
            return false;
        }
        let at_ms = record.recorded_ms;
        let revision = self.next_revision();
        let record = self.records.get_mut(&advance.service);
        let rollout = &mut record.expect("it was found above").rollout;
        rollout.revision = revision;
        rollout.stage_at_ms = at_ms;
        rollout.stage = advance.stage;
        let to = rollout.to.clone();
        let appeared = advance.from.into_iter().filter(|version| *version != to);
        rollout.from.extend(appeared);
        true
    }

    fn next_revision(&mut self) -> RolloutRevision {
        self.revision = RolloutRevision(self.revision.0 + 1);
        self.revision
    }
}
