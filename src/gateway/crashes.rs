//! Reports crashes of targets with the parts of the prompts that they were about to respond to,
//! and refuses requests with blocked parts.

use super::{
    attempts::{Attempts, Progress},
    connections::refuses_connections,
    dialect::TrafficDialect,
    incoming_request::IncomingRequest,
    suspects::{PartsVerdict, SuspectedParts},
    targets::SlotGuard,
};
use crate::{
    clock, control::suspects::TargetRun, entry::refusal::Refusal, metrics, verdict::Reason,
};
use std::sync::MutexGuard;

impl<D: TrafficDialect> Attempts<D> {
    /// Refuses a request that holds a blocked part, unless it is this gateway's trial.
    ///
    /// # Errors
    /// Returns a refusal with the verdict "not run".
    pub fn check_parts(&self, incoming: &IncomingRequest) -> Result<PartsVerdict, Refusal> {
        let parts = incoming.shared_parts();
        let now_ms = clock::boot_ms();
        let verdict = self
            .suspects()
            .check(&self.name, &incoming.service, &parts, now_ms);
        match verdict {
            PartsVerdict::Blocked(part, wait_ms) => {
                let message = format!("prompts with part {part} crash targets");
                Err(Refusal::not_run(Reason::PartBlocked, message).retry_after(wait_ms))
            }
            allowed => Ok(allowed),
        }
    }

    /// Like [`Self::check_parts`], for a request that is about to be sent: it uses up the trial.
    pub fn take_trial(
        &self,
        incoming: &IncomingRequest,
        progress: &mut Progress,
    ) -> Result<(), Refusal> {
        if !progress.is_trial && self.check_parts(incoming)? == PartsVerdict::Trial {
            let parts = incoming.shared_parts();
            progress.is_trial = self.suspects().use_trial(&incoming.service, &parts);
            if !progress.is_trial {
                // Another request has taken it meanwhile.
                self.check_parts(incoming)?;
            }
            tracing::info!(request = incoming.id, "gateway: blocked part tried");
        }
        Ok(())
    }

    /// Reports the parts of a request if its target ended before the first event, or if the request
    /// was a trial, whatever became of its target.
    /// A request with a part that was present at several crashes is not sent to another target.
    pub async fn record_break(
        &self,
        incoming: &IncomingRequest,
        progress: &mut Progress,
        slot: &SlotGuard,
    ) {
        let parts = incoming.shared_parts();
        let is_crash = progress.is_trial || refuses_connections(slot.target.address).await;
        if !is_crash {
            return;
        }
        let run = TargetRun {
            target: slot.target.name.clone(),
            started_unix_ms: slot.target.started_unix_ms,
        };
        metrics::gateway_crash(&incoming.service);
        tracing::warn!(
            request = incoming.id, target = %run.target, started_unix_ms = run.started_unix_ms,
            method = %incoming.method, path = incoming.uri.path(), body_bytes = incoming.body.len(),
            parts = parts.len(), "gateway: target crashed before the first event"
        );
        if parts.is_empty() {
            return;
        }
        let mut suspects = self.suspects();
        progress.may_crash_targets |= suspects.is_suspected(&incoming.service, &parts);
        suspects.record_crash(&incoming.service, run, &parts, clock::boot_ms());
        self.view
            .report_suspects(suspects.reports(clock::boot_ms()));
    }

    /// Records a complete response, which speaks for the parts of its request.
    pub fn record_complete(&self, incoming: &IncomingRequest, slot: &SlotGuard) {
        let mut suspects = self.suspects();
        let now_ms = clock::boot_ms();
        let is_news = suspects.record_response(
            &incoming.service,
            &incoming.metadata.parts,
            slot.began_ms(),
            now_ms,
        );
        if is_news {
            self.view.report_suspects(suspects.reports(now_ms));
        }
    }

    /// Updates what is reported of suspected parts.
    pub fn report_suspects(&self) {
        let reports = self.suspects().reports(clock::boot_ms());
        self.view.report_suspects(reports);
    }

    fn suspects(&self) -> MutexGuard<'_, SuspectedParts> {
        let mut suspects = self.suspected_parts.lock().expect("no holder panics");
        suspects.update(&self.view.load().suspects, clock::boot_ms());
        suspects
    }
}
