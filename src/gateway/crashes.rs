//! Reports crashes of targets with the requests that they ran, and refuses requests that are blocked
//! as they crash targets, or hold a part that does.

use super::{
    attempts::{Attempts, Progress},
    connections::refuses_connections,
    dialect::TrafficDialect,
    incoming_request::IncomingRequest,
    suspects::{CrashSuspects, CrashVerdict, SuspectTraits},
    targets::SlotGuard,
};
use crate::{
    clock,
    control::suspects::{SuspectKey, SuspectKind, TargetRun},
    entry::refusal::Refusal,
    metrics,
    verdict::Reason,
};
use std::sync::MutexGuard;

impl<D: TrafficDialect> Attempts<D> {
    /// Refuses a request that is blocked or holds a blocked part, unless it is this gateway's trial.
    ///
    /// # Errors
    /// Returns a refusal with the verdict "not run".
    pub fn check_crashes(&self, incoming: &IncomingRequest) -> Result<CrashVerdict, Refusal> {
        let suspects = self.suspects();
        let traits = SuspectTraits {
            parts: incoming.shared_parts(),
            request: suspects
                .knows_requests(&incoming.service)
                .then(|| incoming.digest()),
        };
        let verdict = suspects.check(&self.name, &incoming.service, &traits, clock::boot_ms());
        let (key, wait_ms) = match verdict {
            CrashVerdict::Blocked(key, wait_ms) => (key, wait_ms),
            allowed => return Ok(allowed),
        };
        let SuspectKey { kind, id, .. } = key;
        let (reason, message) = match kind {
            SuspectKind::Part => (
                Reason::PartBlocked,
                format!("prompts with part {id} crash targets"),
            ),
            SuspectKind::Request => (
                Reason::RequestBlocked,
                format!("this request crashed each target that ran it (digest {id})"),
            ),
        };
        Err(Refusal::not_run(reason, message).retry_after(wait_ms))
    }

    /// Like [`Self::check_crashes`], for a request that is about to be sent: it uses up the trial.
    pub fn take_trial(
        &self,
        incoming: &IncomingRequest,
        progress: &mut Progress,
    ) -> Result<(), Refusal> {
        if !progress.is_trial && self.check_crashes(incoming)? == CrashVerdict::Trial {
            let traits = SuspectTraits {
                parts: incoming.shared_parts(),
                request: Some(incoming.digest()),
            };
            progress.is_trial = self.suspects().use_trial(&incoming.service, &traits);
            if !progress.is_trial {
                // Another request has taken it meanwhile.
                self.check_crashes(incoming)?;
            }
            tracing::info!(
                request = incoming.id,
                "gateway: blocked request or part tried"
            );
        }
        Ok(())
    }

    /// Reports a request whose target ended while it ran it, or that was a trial, whatever became of
    /// its target; `has_event` says whether the target had sent an event, which clears the parts of
    /// the prompt. A request that was present at several crashes, or that holds such a part, is not
    /// sent to another target.
    pub async fn record_break(
        &self,
        incoming: &IncomingRequest,
        progress: &mut Progress,
        slot: &SlotGuard,
        has_event: bool,
    ) {
        let is_crash = progress.is_trial || refuses_connections(slot.target.address).await;
        if !is_crash {
            return;
        }
        let run = TargetRun {
            target: slot.target.name.clone(),
            started_unix_ms: slot.target.started_unix_ms,
        };
        let traits = SuspectTraits {
            parts: match has_event && !progress.is_trial {
                true => Vec::new(),
                false => incoming.shared_parts(),
            },
            request: Some(incoming.digest()),
        };
        metrics::gateway_crash(&incoming.service);
        tracing::warn!(
            request = incoming.id, target = %run.target, started_unix_ms = run.started_unix_ms,
            method = %incoming.method, path = incoming.uri.path(), body_bytes = incoming.body.len(),
            digest = %incoming.digest(), parts = traits.parts.len(), has_event,
            "gateway: target crashed while it ran a request"
        );
        let now_ms = clock::boot_ms();
        let mut suspects = self.suspects();
        suspects.record_crash(&incoming.service, run, &traits, now_ms);
        progress.may_crash_targets |= suspects.is_suspected(&incoming.service, &traits);
        self.view.report_suspects(suspects.reports(now_ms));
    }

    /// Records a complete response, which speaks for its request and the parts of its prompt.
    pub fn record_complete(&self, incoming: &IncomingRequest, slot: &SlotGuard) {
        let mut suspects = self.suspects();
        let now_ms = clock::boot_ms();
        let digest = suspects
            .knows_requests(&incoming.service)
            .then(|| incoming.digest());
        let is_news = suspects.record_response(
            &incoming.service,
            &incoming.metadata.parts,
            digest,
            slot.began_ms(),
            now_ms,
        );
        if is_news {
            self.view.report_suspects(suspects.reports(now_ms));
        }
    }

    /// Updates what is reported of suspects.
    pub fn report_suspects(&self) {
        let reports = self.suspects().reports(clock::boot_ms());
        self.view.report_suspects(reports);
    }

    fn suspects(&self) -> MutexGuard<'_, CrashSuspects> {
        let mut suspects = self.crash_suspects.lock().expect("no holder panics");
        suspects.update(&self.view.load().suspects, clock::boot_ms());
        suspects
    }
}
