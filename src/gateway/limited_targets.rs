//! Keeps to the limits on requests a second of targets without an agent.

use super::{
    account_link::Charge,
    attempts::{Attempts, max_wait_of_tier_ms},
    dialect::TrafficDialect,
    targets::{SlotGuard, SlotQuery},
};
use crate::{clock, control::accounts::ChargeResult};
use std::time::Duration;

/// Time after which a gateway tries a target without an agent again that states a limit, while the
/// leader, who counts the requests, does not reply.
const LEADER_AWAY_HOLD_MS: u64 = 300;

impl<D: TrafficDialect> Attempts<D> {
    /// Takes a request to a target that states a limit and has no agent: the leader spaces the
    /// requests of all gateways. The error is the time in milliseconds until the limit allows one.
    pub async fn keep_to_limit(&self, query: &SlotQuery<'_>, slot: &SlotGuard) -> Result<(), u64> {
        let Some(limit) = slot.limit_without_agent() else {
            return Ok(());
        };
        let objective_left_ms = query
            .waiting
            .objective_at_ms
            .saturating_sub(clock::boot_ms());
        let max_wait_ms = match self.targets.has_alternative(query, &slot.target.name) {
            true => 0,
            false => max_wait_of_tier_ms(objective_left_ms, query.waiting.rank),
        };
        let charge = Charge::Target {
            target: slot.target.name.clone(),
            started_unix_ms: slot.target.started_unix_ms,
            limit,
        };
        let accounts = self.view.load().accounts;
        let charge_request = accounts.and_then(|accounts| {
            self.account_link
                .request_charge(accounts, charge.clone(), max_wait_ms)
        });
        let result = match charge_request {
            Some(mut request) => request.wait_briefly().await,
            None => None,
        };
        match result {
            Some(ChargeResult::Charged { after_ms, .. }) => {
                tokio::time::sleep(Duration::from_millis(after_ms)).await;
                match slot.accepts_work() {
                    true => Ok(()),
                    false => {
                        self.account_link.refund(charge);
                        Err(0)
                    }
                }
            }
            Some(ChargeResult::Refused { wait_ms }) => Err(wait_ms),
            None => {
                let shares = self.view.load().shares.clone();
                let gateways = shares.map_or(0, |shares| shares.gateways);
                let may_send = limit
                    .rate
                    .is_some_and(|rate| slot.take_uncounted(&self.name, rate, gateways));
                may_send.then_some(()).ok_or(LEADER_AWAY_HOLD_MS)
            }
        }
    }
}
