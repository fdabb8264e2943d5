//! Collects the inputs of placement for the eligible targets, and orders them by the rule that the
//! settings name.

use super::*;
use crate::{
    gateway::{
        placement::{self, Candidate, Prefix, RequestProfile},
        search::SearchOutcome,
    },
    scheduling::{
        prefix_cache::ServiceLoad,
        run_estimate::{RunProfile, TargetInputs},
        target_order::TargetOrder,
    },
};

/// Time for which a measured time to first event is used.
const FIRST_EVENT_TTL_MS: u64 = 5000;
/// Time for which a wait reported by an agent is used.
const WAIT_ESTIMATE_TTL_MS: u64 = 500;

impl Targets {
    /// Orders the eligible targets for a request.
    pub(super) fn order(
        &self,
        state: &State,
        eligible: &[&TargetEntry],
        query: &SlotQuery,
        now_ms: u64,
    ) -> TargetOrder {
        let inputs = eligible.iter();
        let mut inputs: Vec<TargetInputs> = inputs
            .map(|target| self.target_inputs(state, target, now_ms))
            .collect();
        let seed = query.fingerprint ^ now_ms;
        match self.rules.0 {
            PlacementRule::RunEstimate => {
                let waiting = &query.waiting;
                self.set_cached_tokens(state, &mut inputs, query, now_ms);
                let run = RunProfile {
                    work_units: query.work_units,
                    prompt_tokens: query.prompt_tokens,
                    pause_ms: query.pause_ms,
                    objective_left_ms: waiting.objective_at_ms.saturating_sub(now_ms),
                    left_ms: waiting.deadline_at_ms.saturating_sub(now_ms),
                };
                TargetOrder::new(&inputs, &run, seed)
            }
            PlacementRule::FirstEvent => order_by_first_event(&inputs, query, seed, now_ms),
        }
    }

    /// Whether the outcome is a slot at a target whose speed this gateway did not know before.
    pub(super) fn is_first_measurement(
        state: &State,
        targets: &[TargetEntry],
        outcome: &SearchOutcome,
    ) -> bool {
        let SearchOutcome::Granted(position, _) = outcome else {
            return false;
        };
        let stats = state.stats.get(&targets[*position].name);
        stats.is_none_or(|stats| stats.speed().unit_micros.is_none())
    }

    /// Whether a target that granted a slot turns out to be unsuitable, now that its speed is known.
    /// One that is still unknown is not given back, or each search would end like that.
    pub(super) fn is_unsuitable(
        &self,
        state: &State,
        query: &SlotQuery,
        target: &TargetEntry,
        now_ms: u64,
    ) -> bool {
        let stats = state.stats.get(&target.name);
        let is_measured = stats.is_some_and(|stats| stats.speed().unit_micros.is_some());
        if !is_measured || self.rules.0 != PlacementRule::RunEstimate {
            return false;
        }
        let (targets, suitable) = self.ranked_targets(state, query, now_ms);
        targets
            .iter()
            .skip(suitable)
            .map(|other| &other.name)
            .any(|name| *name == target.name)
    }

    /// Sets how many tokens of the prompt each target likely caches.
    fn set_cached_tokens(
        &self,
        state: &State,
        inputs: &mut [TargetInputs],
        query: &SlotQuery,
        now_ms: u64,
    ) {
        if query.parts.len() < 2 {
            return;
        }
        let names: Vec<&TargetName> = inputs.iter().map(|target| target.name).collect();
        match self.rules.1 {
            PrefixCacheRule::Modelled => {
                let slots = inputs.iter().map(|target| target.slots).max();
                let load = self.service_load(state, query, names.len(), slots.unwrap_or(1));
                let shared = shared_parts(query);
                let lookup = state.prefixes.look_up(query.service, shared, &load, now_ms);
                lookup.expect(names.into_iter(), |position, tokens| {
                    inputs[position].cached_tokens = tokens.preferred;
                });
            }
            PrefixCacheRule::Hashed => {
                let prefix = Prefix::of(query.parts);
                if let Some(holder) = placement::hashed_target(prefix, names.into_iter()) {
                    inputs[holder].cached_tokens =
                        query.prompt_tokens.saturating_mul(prefix.percent) / 100;
                }
            }
        }
    }

    fn service_load(
        &self,
        state: &State,
        query: &SlotQuery,
        targets: usize,
        slots: u64,
    ) -> ServiceLoad {
        let view = self.view.load();
        let queue = state.queues.get(query.service);
        ServiceLoad {
            memory_tokens: view
                .policy
                .service(query.service)
                .and_then(|service| service.memory_tokens),
            targets: targets as u64,
            slots,
            gateways: state.shares.gateways,
            run_ms: queue.and_then(|queue| queue.run_ms),
        }
    }

    /// Records that a prompt goes to a target, and counts what is expected to be cached there.
    pub(super) fn record_prefix_use(
        &self,
        state: &mut State,
        query: &SlotQuery,
        target: &TargetEntry,
        now_ms: u64,
    ) {
        if self.rules.1 != PrefixCacheRule::Modelled {
            return;
        }
        let shared = shared_parts(query);
        if !shared.is_empty() {
            let expected_tokens = self.expected_tokens_at(state, query, target, now_ms);
            let speed = state.stats.get(&target.name).map(TargetStats::speed);
            let saved = speed.and_then(|speed| speed.prefill_micros(expected_tokens));
            metrics::gateway_prefix_cached(query.service, expected_tokens, saved.unwrap_or(0));
        }
        // Prompts without shared parts replace a target's memory, too.
        let tokens = query.prompt_tokens.saturating_add(query.work_units);
        let prefixes = &mut state.prefixes;
        prefixes.record_use(query.service, shared, &target.name, tokens, now_ms);
    }

    /// How many tokens of the prompt the target likely caches.
    fn expected_tokens_at(
        &self,
        state: &State,
        query: &SlotQuery,
        target: &TargetEntry,
        now_ms: u64,
    ) -> u64 {
        let view = self.view.load();
        let serves = |other: &&TargetEntry| other.service == *query.service && !other.leaving;
        let names = view.targets.values().filter(serves);
        let names: Vec<&TargetName> = names.map(|target| &target.name).collect();
        let position = names.iter().position(|name| **name == target.name);
        let load = self.service_load(state, query, names.len(), u64::from(target.slots));
        let parts = shared_parts(query);
        let lookup = state.prefixes.look_up(query.service, parts, &load, now_ms);
        let mut expected_tokens = 0;
        lookup.expect(names.into_iter(), |other, tokens| {
            if Some(other) == position {
                expected_tokens = tokens.cached;
            }
        });
        expected_tokens
    }

    fn target_inputs<'a>(
        &self,
        state: &State,
        target: &'a TargetEntry,
        now_ms: u64,
    ) -> TargetInputs<'a> {
        let stats = state.stats.get(&target.name);
        let fresh_stats = stats.filter(|stats| now_ms < stats.measured_at_ms + FIRST_EVENT_TTL_MS);
        TargetInputs {
            name: &target.name,
            in_progress: stats.map_or(0, |stats| stats.in_progress),
            slots: u64::from(target.slots),
            wait_ms: stats
                .and_then(|stats| stats.wait_estimate)
                .filter(|(_, at_ms)| now_ms < at_ms + WAIT_ESTIMATE_TTL_MS)
                .map_or(0, |(wait_ms, _)| wait_ms),
            first_ms: fresh_stats.and_then(|stats| stats.first_ms),
            speed: stats.map_or_else(TargetSpeed::default, TargetStats::speed),
            is_near: target.failure_domain == self.failure_domain,
            warming_up: target.warming_up,
            cached_tokens: 0,
        }
    }
}

/// The parts of the prompt that other requests may share: all but the last.
fn shared_parts<'a>(query: &SlotQuery<'a>) -> &'a [PromptPart] {
    query
        .parts
        .split_last()
        .map_or(&[], |(_own, shared)| shared)
}

fn order_by_first_event(
    inputs: &[TargetInputs],
    query: &SlotQuery,
    seed: u64,
    now_ms: u64,
) -> TargetOrder {
    let candidates = inputs.iter().map(|target| Candidate {
        name: target.name.clone(),
        in_progress: target.in_progress,
        slots: target.slots,
        wait_ms: target.wait_ms,
        first_ms: target.first_ms,
        speed: target.speed,
        is_near: target.is_near,
        warming_up: target.warming_up,
    });
    let candidates: Vec<Candidate> = candidates.collect();
    let profile = RequestProfile {
        work_units: query.work_units,
        prompt_tokens: query.prompt_tokens,
        pause_ms: query.pause_ms,
        left_ms: query.waiting.deadline_at_ms.saturating_sub(now_ms),
    };
    TargetOrder {
        positions: placement::order_by_cost(&candidates, Prefix::of(query.parts), profile, seed),
        suitable: placement::count_suitable(&candidates, profile),
    }
}
