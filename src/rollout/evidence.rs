//! What all gateways have counted of the rollouts: the leader's soft state. Pure: no I/O and no
//! clock.
//!
//! Gateways send cumulative counts, so that a lost or repeated report does no harm. The latest counts
//! of each run of a gateway are kept, also after it has left, until another rollout of the service
//! begins. A new leader receives them again; what a gateway had counted before its first report to
//! that leader is kept apart, as it is not known when it happened.

use super::{OutcomeCounts, Rollout, RolloutCounts, RolloutRevision, RouteCounts};
use crate::units::{Incarnation, ProcessName, ServiceName};
use std::collections::BTreeMap;

/// Maximum number of routes of which counts are kept; counts of others go into the sum over all
/// routes. Bounds what a report can make the leader hold.
const MAX_ROUTES: usize = 256;
/// Maximum number of latency counts that are kept: the last one is beyond a day.
const MAX_LATENCY_COUNTS: usize = 64;

/// Sums over all gateways for one route, or for all routes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteSums {
    /// Of the new version.
    pub new: OutcomeCounts,
    /// The part of `new` that was counted before this leader's term.
    pub new_before_term: OutcomeCounts,
    /// Of the old versions.
    pub old: OutcomeCounts,
}

/// Sums over all gateways.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceSums {
    /// By route.
    pub routes: BTreeMap<String, RouteSums>,
    /// Over all routes.
    pub total: RouteSums,
}

struct GatewayCounts {
    counts: RolloutCounts,
    /// The stage that the gateway had when it sent them.
    seen: RolloutRevision,
}

struct ServiceEvidence {
    ordered: RolloutRevision,
    /// Whether this leader's term began after the order.
    began_before_term: bool,
    gateways: BTreeMap<(ProcessName, Incarnation), GatewayCounts>,
    sums: ServiceSums,
}

/// The counts of all gateways by service.
#[derive(Default)]
pub struct Evidence(BTreeMap<ServiceName, ServiceEvidence>);

impl OutcomeCounts {
    /// Number of answers.
    pub fn answered(&self) -> u64 {
        self.succeeded.saturating_add(self.failed)
    }

    /// Replaces a part of the sum.
    fn replace(&mut self, before: &Self, after: &Self) {
        let replace = |sum: &mut u64, before: u64, after: u64| {
            *sum = sum.saturating_sub(before).saturating_add(after);
        };
        replace(&mut self.sent, before.sent, after.sent);
        replace(&mut self.succeeded, before.succeeded, after.succeeded);
        replace(&mut self.failed, before.failed, after.failed);
        let length = before.latency_counts.len().max(after.latency_counts.len());
        let length = length.min(MAX_LATENCY_COUNTS);
        if self.latency_counts.len() < length {
            self.latency_counts.resize(length, 0);
        }
        for (position, sum) in self.latency_counts.iter_mut().enumerate() {
            let count = |counts: &Self| counts.latency_counts.get(position).copied().unwrap_or(0);
            replace(sum, count(before), count(after));
        }
    }
}

impl RouteSums {
    fn replace(&mut self, before: &RouteCounts, after: &RouteCounts, is_before_term: bool) {
        self.new.replace(&before.new, &after.new);
        self.old.replace(&before.old, &after.old);
        if is_before_term {
            self.new_before_term.replace(&before.new, &after.new);
        }
    }
}

impl Evidence {
    /// Records what a gateway has counted of one rollout. `seen` is the highest revision that it
    /// has, and `began_before_term` tells whether the leader's term began after the order.
    pub fn report(
        &mut self,
        rollout: &Rollout,
        gateway: (ProcessName, Incarnation),
        counts: RolloutCounts,
        seen: RolloutRevision,
        began_before_term: bool,
    ) {
        if counts.ordered != rollout.ordered {
            return;
        }
        let fresh = || ServiceEvidence {
            ordered: rollout.ordered,
            began_before_term,
            gateways: BTreeMap::new(),
            sums: ServiceSums::default(),
        };
        let evidence = self.0.entry(rollout.service.clone()).or_insert_with(fresh);
        if evidence.ordered != rollout.ordered {
            *evidence = fresh();
        }
        let known = evidence.gateways.get(&gateway);
        let is_before_term = known.is_none() && evidence.began_before_term;
        let before: BTreeMap<&str, &RouteCounts> = known
            .iter()
            .flat_map(|known| &known.counts.routes)
            .map(|route| (route.route.as_str(), route))
            .collect();
        // A report of the same run that has counted less is an older one that comes late.
        let sent = |counts: &RolloutCounts| {
            let routes = counts.routes.iter();
            routes.fold(0u64, |sum, route| {
                sum.saturating_add(route.new.sent)
                    .saturating_add(route.old.sent)
            })
        };
        if known.is_some_and(|known| sent(&counts) < sent(&known.counts)) {
            return;
        }
        for route in &counts.routes {
            let nothing = RouteCounts {
                route: String::new(),
                new: OutcomeCounts::default(),
                old: OutcomeCounts::default(),
            };
            let before = before
                .get(route.route.as_str())
                .copied()
                .unwrap_or(&nothing);
            let sums = &mut evidence.sums;
            sums.total.replace(before, route, is_before_term);
            if sums.routes.len() < MAX_ROUTES || sums.routes.contains_key(&route.route) {
                let of_route = sums.routes.entry(route.route.clone()).or_default();
                of_route.replace(before, route, is_before_term);
            }
        }
        let latest = GatewayCounts { counts, seen };
        evidence.gateways.insert(gateway, latest);
    }

    /// The sums for a rollout.
    pub fn sums(&self, rollout: &Rollout) -> Option<&ServiceSums> {
        let evidence = self.0.get(&rollout.service);
        let evidence = evidence.filter(|evidence| evidence.ordered == rollout.ordered);
        evidence.map(|evidence| &evidence.sums)
    }

    /// Whether each of these gateways has the current stage of the rollout and no request in
    /// progress at an old target.
    pub fn is_quiet<'a>(
        &self,
        rollout: &Rollout,
        gateways: impl IntoIterator<Item = &'a (ProcessName, Incarnation)>,
    ) -> bool {
        let evidence = self.0.get(&rollout.service);
        let Some(evidence) = evidence.filter(|known| known.ordered == rollout.ordered) else {
            return false;
        };
        gateways.into_iter().all(|gateway| {
            evidence.gateways.get(gateway).is_some_and(|latest| {
                latest.seen >= rollout.revision && latest.counts.in_progress_at_old == 0
            })
        })
    }

    /// Forgets everything: another term begins.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}
