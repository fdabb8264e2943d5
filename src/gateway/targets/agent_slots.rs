//! Slots that agents grant: the agent beside a model target, and the agent that keeps the queue of a
//! plain target.

use super::*;
use crate::gateway::{
    search::{SearchOutcome, SlotSearch},
    slot_source::SlotSource,
};

impl Targets {
    /// Returns the agents that grant the slots of a service; `None` if each gateway uses its share.
    pub(super) fn slot_source(&self, service: &ServiceName) -> Option<SlotSource<'_>> {
        let view = self.view.load();
        let service = view.policy.service(service);
        let is_model = service.is_some_and(|service| service.is_model);
        match (self.admission_port, &self.shared_queues) {
            (Some(port), _) if is_model => Some(SlotSource::OwnAgents(&self.admission_links, port)),
            (Some(_), Some(queues)) if queues.has_agents() => Some(SlotSource::Keepers(queues)),
            _ => None,
        }
    }

    /// Closes the links to agents that are no longer listed, and takes over those that may keep
    /// queues: agents beside model targets that do not leave.
    pub(super) fn update_agents(&self, view: &View) {
        let Some(port) = self.admission_port else {
            return;
        };
        let address = |target: &TargetEntry| SocketAddr::new(target.address.ip(), port);
        let agents: HashSet<SocketAddr> = view.targets.values().map(address).collect();
        self.admission_links
            .retain(|address| agents.contains(address));
        if let Some(queues) = &self.shared_queues {
            let is_model = |target: &TargetEntry| {
                let service = view.policy.service(&target.service);
                service.is_some_and(|service| service.is_model)
            };
            let models = view.targets.values();
            let models = models.filter(|target| !target.leaving && is_model(target));
            queues.set_agents(models.map(address).collect());
            queues.retain(|name| view.targets.contains_key(name));
        }
    }

    /// Acquires a slot that the agent of a target grants. If the target started draining while
    /// the request waited, the search starts again without it.
    pub(super) async fn acquire_from_agent(
        self: &Arc<Self>,
        query: &SlotQuery<'_>,
        source: SlotSource<'_>,
    ) -> Result<SlotGuard, Refusal> {
        let counts_work =
            query.tried_targets.is_empty() && matches!(source, SlotSource::OwnAgents(..));
        if counts_work {
            let mut state = self.state();
            Self::long_work_share(&mut state, query).count_request(query.work_units);
        }
        loop {
            let now_ms = clock::boot_ms();
            let (targets, suitable) = self.ranked_targets(&self.state(), query, now_ms);
            if targets.is_empty() {
                return Err(self.no_target_refusal(&self.state(), query, now_ms));
            }
            let limits: Vec<RequestLimit> = {
                let state = self.state();
                let limits = targets
                    .iter()
                    .map(|target| state.availability.limit(target));
                limits.collect()
            };
            let mut search = SlotSearch::new(source, query, &targets, &limits, suitable);
            let outcome = search.run().await;
            let now_ms = clock::boot_ms();
            let (reports, is_return) = (search.reports, search.is_return());
            let is_first_measurement =
                Self::is_first_measurement(&self.state(), &targets, &outcome);
            self.record_replies(&mut search, now_ms);
            drop(search);
            let is_keeper = matches!(source, SlotSource::Keepers(_));
            if is_keeper && matches!(outcome, SearchOutcome::NoAgent) {
                metrics::gateway_without_keeper(query.service);
                self.drop_wait_estimates(&targets);
                return self.acquire_from_share(query).await;
            }
            let mut state = self.state();
            match outcome {
                // The agent told its speed with the grant; a speed is learned at most once.
                SearchOutcome::Granted(position, _)
                    if is_first_measurement
                        && self.is_unsuitable(&state, query, &targets[position], now_ms) =>
                {
                    let target = &targets[position].name;
                    tracing::debug!(request = query.request, %target, "gateway: slot released, target is too slow");
                }
                SearchOutcome::Granted(position, slot_request)
                    if self.accepts_work(&state, &targets[position], now_ms)
                        && self.allows_version(query, &targets[position]) =>
                {
                    let target = targets[position].clone();
                    Self::record_search(query, reports, is_return, now_ms);
                    if counts_work {
                        Self::long_work_share(&mut state, query).count_granted(query.work_units);
                    }
                    return Ok(self.assign_slot(
                        &mut state,
                        query,
                        target,
                        Some(slot_request),
                        now_ms,
                    ));
                }
                SearchOutcome::Granted(position, _) => {
                    let target = &targets[position].name;
                    tracing::info!(request = query.request, %target, "gateway: slot released, target takes no more requests");
                }
                SearchOutcome::Refused(wait_ms) => {
                    return Err(Self::search_refusal(query, wait_ms, is_return, now_ms));
                }
                // Without an agent there is no admission control: the best target is used even if
                // it has no free slot, unless only its agent can keep to its limit.
                SearchOutcome::NoAgent => return self.assign_unlimited(&mut state, query, now_ms),
            }
        }
    }

    /// Takes over what agents replied to a search.
    fn record_replies(&self, search: &mut SlotSearch, now_ms: u64) {
        let targets = search.targets;
        let mut state = self.state();
        for (name, wait_ms) in std::mem::take(&mut search.wait_estimates) {
            state.stats.entry(name).or_default().wait_estimate = Some((wait_ms, now_ms));
        }
        for (position, speed) in std::mem::take(&mut search.speeds) {
            let name = targets[position].name.clone();
            state.stats.entry(name).or_default().speed = speed;
        }
        for position in std::mem::take(&mut search.draining) {
            state
                .availability
                .record_draining(&targets[position], now_ms);
        }
    }

    /// Drops the waits that keepers reported: while none answers, nobody waits there, and a target
    /// with a reported wait would get nothing until the report has expired.
    fn drop_wait_estimates(&self, targets: &[TargetEntry]) {
        let mut state = self.state();
        for target in targets {
            if let Some(stats) = state.stats.get_mut(&target.name) {
                stats.wait_estimate = None;
            }
        }
    }
}
