//! Handover of a request from a silent target to a replacement.
//!
//! A sound target may fall silent for a while and go on. Its run is ended only for a run at another
//! target that has begun to respond, or that was accepted and would otherwise overlap with it for
//! too long. Only targets of models must not overlap: safe calls may run at two other targets until
//! one responds. [`Handover`] decides this without clock or I/O:
//!
//! | silent target | replacement | step |
//! |---|---|---|
//! | open | none, and a retry is allowed | seek a slot at another target |
//! | open | none, as no retry, slot or connection was available or the last one failed | listen, seek again after [`SEEK_INTERVAL_MS`] |
//! | open | sent within the last [`MAX_OVERLAP_MS`], or both may run it | listen to both |
//! | open | sent before that, and only one may run it | close the silent target, listen to the replacement |
//! | failed | none | its failure ends the handover |
//! | closed or failed | sent | listen to the replacement until the deadline; if it is silent itself, seek another one for it |
//!
//! The first of the two that responds is used, and the other one is closed. If both fail, the
//! failure of the silent target is what counts.

use super::{
    attempts::{AttemptOutcome, Attempts, Progress, TargetResponse},
    connections::{CallError, Connection},
    dialect::TrafficDialect,
    incoming_request::IncomingRequest,
};
use crate::{clock, metrics, units::ServiceName, verdict::Reason};
use futures::{
    FutureExt,
    future::{BoxFuture, Fuse},
};
use hyper::{Response, body::Incoming};
use std::{
    pin::{Pin, pin},
    sync::Arc,
    time::Duration,
};
use tokio::time::{sleep, timeout};

/// Time between two searches for a replacement.
pub const SEEK_INTERVAL_MS: u64 = 250;
/// Maximum time for which a silent target of a model and its replacement work on the same request.
pub const MAX_OVERLAP_MS: u64 = 250;

/// Next step of a handover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Seeks a replacement.
    Seek,
    /// Listens until this time, then asks for the next step.
    ListenUntil(u64),
    /// Closes the silent target.
    CloseSilent,
    /// The deadline has passed.
    Expire,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Replacement {
    /// None is in progress; another one may be sought from this time on.
    SoughtFrom(u64),
    /// The request was sent to it at this time.
    Sent(u64),
}

/// State of a handover.
#[derive(Clone, Copy, Debug)]
pub struct Handover {
    deadline_at_ms: u64,
    /// Maximum time for which both targets work on the request, if there is one.
    max_overlap_ms: Option<u64>,
    replacement: Replacement,
    is_silent_open: bool,
}

impl Handover {
    /// Begins a handover from a target that has just been found silent. `max_overlap_ms` is the
    /// maximum time for which both targets work on the request; `None` if there is no limit.
    pub fn begin(deadline_at_ms: u64, max_overlap_ms: Option<u64>) -> Self {
        Self {
            deadline_at_ms,
            max_overlap_ms,
            replacement: Replacement::SoughtFrom(0),
            is_silent_open: true,
        }
    }

    /// Returns the next step. `may_retry` says whether the request may be sent to another target.
    pub fn step(&self, may_retry: bool, now_ms: u64) -> Step {
        match self.replacement {
            _ if now_ms >= self.deadline_at_ms => Step::Expire,
            Replacement::SoughtFrom(from_ms) if now_ms < from_ms => {
                Step::ListenUntil(from_ms.min(self.deadline_at_ms))
            }
            Replacement::SoughtFrom(_) if may_retry => Step::Seek,
            Replacement::SoughtFrom(_) => Step::ListenUntil(self.deadline_at_ms),
            Replacement::Sent(at_ms) if self.is_silent_open => match self.max_overlap_ms {
                Some(max_ms) if now_ms >= at_ms + max_ms => Step::CloseSilent,
                Some(max_ms) => Step::ListenUntil((at_ms + max_ms).min(self.deadline_at_ms)),
                None => Step::ListenUntil(self.deadline_at_ms),
            },
            Replacement::Sent(_) => Step::ListenUntil(self.deadline_at_ms),
        }
    }

    /// Records that no replacement is available, or that it did not respond as needed.
    pub fn record_failure(&mut self, now_ms: u64) {
        self.replacement = Replacement::SoughtFrom(now_ms + SEEK_INTERVAL_MS);
    }

    /// Records that the request was sent to a replacement.
    pub fn record_sent(&mut self, now_ms: u64) {
        self.replacement = Replacement::Sent(now_ms);
    }

    /// Records that the silent target was closed, or that it failed.
    pub fn record_closed(&mut self) {
        self.is_silent_open = false;
    }

    /// Whether the silent target has neither been closed nor failed.
    pub fn is_silent_open(&self) -> bool {
        self.is_silent_open
    }
}

/// Outcome of a handover; `T` is what the silent target sent.
pub enum HandoverOutcome<T> {
    /// The silent target went on, or it failed and no replacement is in progress.
    Kept(T),
    /// The replacement responded.
    Replaced(Box<TargetResponse>),
    /// The silent target was closed, and its replacement failed.
    Failed(String),
    /// The deadline passed.
    Expired,
}

/// What a silent target sends in the end.
pub trait SilentOutput {
    /// Whether it shows that the target goes on; `accepts` says which heads of responses count.
    fn goes_on<A: Fn(&Response<Incoming>) -> bool>(&self, accepts: &A) -> bool;
}

/// Result of a call to a target.
pub type Called = Result<(Response<Incoming>, Connection), CallError>;

impl SilentOutput for Called {
    fn goes_on<A: Fn(&Response<Incoming>) -> bool>(&self, accepts: &A) -> bool {
        matches!(self, Ok((response, _)) if accepts(response))
    }
}

impl<D: TrafficDialect> Attempts<D> {
    /// Listens to a silent target and seeks a replacement for it, until one of them responds. A
    /// response of the replacement counts if `accepts` its head, and what the silent target sends
    /// during a run of the replacement if it goes on. Terminating `silent` closes the connection to
    /// the silent target.
    pub async fn hand_over<F, A>(
        self: &Arc<Self>,
        incoming: &IncomingRequest,
        progress: &mut Progress,
        resume_after: Option<u64>,
        accepts: &A,
        mut silent: Pin<&mut Fuse<F>>,
    ) -> HandoverOutcome<F::Output>
    where
        F: Future<Output: SilentOutput>,
        A: Fn(&Response<Incoming>) -> bool + Sync,
    {
        let is_model = incoming.route.streams || self.is_model(&incoming.service);
        let max_overlap_ms = is_model.then_some(MAX_OVERLAP_MS);
        let mut handover = Handover::begin(incoming.deadline_at_ms, max_overlap_ms);
        let outcome = loop {
            let now_ms = clock::boot_ms();
            match handover.step(Self::has_attempt_left(incoming, progress), now_ms) {
                Step::Expire => break HandoverOutcome::Expired,
                Step::CloseSilent => handover.close(silent.as_mut()),
                Step::ListenUntil(at_ms) => {
                    if let Ok(output) = timeout(until(at_ms, now_ms), silent.as_mut()).await {
                        break HandoverOutcome::Kept(output);
                    }
                }
                Step::Seek => {
                    let silent = silent.as_mut();
                    let replacement = self.try_replacement(
                        incoming,
                        progress,
                        resume_after,
                        accepts,
                        silent,
                        &mut handover,
                    );
                    match replacement.await {
                        Some(outcome) => break outcome,
                        None => handover.record_failure(clock::boot_ms()),
                    }
                }
            }
        };
        metrics::gateway_handover(&incoming.service, outcome.label());
        tracing::info!(
            request = incoming.id,
            outcome = outcome.label(),
            tries = progress.tried_targets.len(),
            took_ms = clock::boot_ms() - incoming.arrived_ms,
            left_ms = incoming.left_ms(),
            "gateway: silence ended"
        );
        outcome
    }

    /// Hands over from a replacement that is silent as well. Boxed, as the future would contain itself.
    fn hand_over_again<'a, F, A>(
        self: &'a Arc<Self>,
        incoming: &'a IncomingRequest,
        progress: &'a mut Progress,
        resume_after: Option<u64>,
        accepts: &'a A,
        silent: Pin<&'a mut Fuse<F>>,
    ) -> BoxFuture<'a, HandoverOutcome<Called>>
    where
        F: Future<Output = Called> + Send,
        A: Fn(&Response<Incoming>) -> bool + Sync,
    {
        self.hand_over(incoming, progress, resume_after, accepts, silent)
            .boxed()
    }

    /// Sends the request to another target while listening to the silent one; `None` if that
    /// target does not take it and the silent one is still open.
    #[allow(clippy::too_many_arguments)]
    async fn try_replacement<F, A>(
        self: &Arc<Self>,
        incoming: &IncomingRequest,
        progress: &mut Progress,
        resume_after: Option<u64>,
        accepts: &A,
        mut silent: Pin<&mut Fuse<F>>,
        handover: &mut Handover,
    ) -> Option<HandoverOutcome<F::Output>>
    where
        F: Future<Output: SilentOutput>,
        A: Fn(&Response<Incoming>) -> bool + Sync,
    {
        if !self.has_retry_left(&incoming.service) {
            return None;
        }
        let acquired = tokio::select! {
            biased;
            output = silent.as_mut() => return Some(HandoverOutcome::Kept(output)),
            acquired = self.acquire_slot(incoming, progress) => acquired,
        };
        let slot = match acquired {
            Ok(slot) => slot,
            Err(refusal) => {
                tracing::debug!(
                    request = incoming.id, reason = %refusal.reason, why = refusal.message,
                    "gateway: no replacement for a silent target"
                );
                return None;
            }
        };
        let target = slot.target.clone();
        let connected = tokio::select! {
            biased;
            output = silent.as_mut() => {
                slot.give_back();
                return Some(HandoverOutcome::Kept(output));
            }
            connected = self.connections.connect(&target, incoming.connection_kind()) => connected,
            () = sleep(Duration::from_millis(incoming.left_ms())) => {
                slot.give_back();
                return Some(HandoverOutcome::Expired);
            }
        };
        let connection = match connected {
            Ok(connection) if self.spend_retry(&incoming.service) => connection,
            Ok(connection) => {
                self.connections.keep(&target, connection);
                slot.give_back();
                return None;
            }
            Err(CallError { error, .. }) => {
                progress.tried_targets.push(target.name);
                slot.record_unreachable(&incoming.id, &error);
                slot.give_back();
                return None;
            }
        };
        let silence_timeout_ms = Self::silence_timeout_ms(incoming, progress);
        let request = self.begin_attempt(incoming, progress, &slot, resume_after)?;
        let sent_ms = clock::boot_ms();
        handover.record_sent(sent_ms);
        let mut call = pin!(
            self.connections
                .call_on(&target, connection, request, slot.departure_check())
                .fuse()
        );
        let silent_at_ms = sent_ms + silence_timeout_ms;
        let mut silent_failure = None;
        let called = loop {
            let now_ms = clock::boot_ms();
            match handover.step(false, now_ms) {
                Step::CloseSilent => handover.close(silent.as_mut()),
                Step::ListenUntil(_)
                    if now_ms >= silent_at_ms
                        && !handover.is_silent_open()
                        && Self::has_attempt_left(incoming, progress) =>
                {
                    // The replacement is the silent target now.
                    let why = format!("no answer within {silence_timeout_ms} ms");
                    slot.record_failure(&incoming.id, &why);
                    let next = self.hand_over_again(
                        incoming,
                        progress,
                        resume_after,
                        accepts,
                        call.as_mut(),
                    );
                    match next.await {
                        HandoverOutcome::Kept(called) => break called,
                        HandoverOutcome::Replaced(response) => {
                            return Some(HandoverOutcome::Replaced(response));
                        }
                        HandoverOutcome::Failed(why) => {
                            return Some(match silent_failure {
                                Some(output) => HandoverOutcome::Kept(output),
                                None => HandoverOutcome::Failed(why),
                            });
                        }
                        HandoverOutcome::Expired => return Some(HandoverOutcome::Expired),
                    }
                }
                Step::ListenUntil(at_ms) => tokio::select! {
                    biased;
                    output = silent.as_mut() => match output.goes_on(accepts) {
                        true => return Some(HandoverOutcome::Kept(output)),
                        false => {
                            handover.record_closed();
                            silent_failure = Some(output);
                        }
                    },
                    called = call.as_mut() => break called,
                    () = sleep(until(listen_until(at_ms, silent_at_ms, now_ms), now_ms)) => {}
                },
                Step::Seek | Step::Expire => return Some(HandoverOutcome::Expired),
            }
        };
        let why = match self
            .interpret(incoming, progress, slot, sent_ms, called)
            .await
        {
            AttemptOutcome::Responded(response) if accepts(&response.response) => {
                return Some(HandoverOutcome::Replaced(response));
            }
            AttemptOutcome::Responded(response) => response.describe_unused(),
            AttemptOutcome::NotRun(Reason::Shed, message) => {
                progress.full_targets.push(target.name.clone());
                message
            }
            AttemptOutcome::NotRun(_, message) | AttemptOutcome::Failed(_, message) => message,
        };
        tracing::info!(
            request = incoming.id, target = %target.name, why,
            silent_open = handover.is_silent_open(), "gateway: replacement of a silent target failed"
        );
        match silent_failure {
            Some(output) => Some(HandoverOutcome::Kept(output)),
            None if handover.is_silent_open() => None,
            None => Some(HandoverOutcome::Failed(why)),
        }
    }
}

impl<D> Attempts<D> {
    fn is_model(&self, service: &ServiceName) -> bool {
        let view = self.view.load();
        let service = view.policy.service(service);
        service.is_some_and(|service| service.is_model)
    }
}

impl Handover {
    fn close<F: Future>(&mut self, mut silent: Pin<&mut Fuse<F>>) {
        silent.set(Fuse::terminated());
        self.record_closed();
    }
}

impl<T> HandoverOutcome<T> {
    /// Label of the metric.
    fn label(&self) -> &'static str {
        match self {
            Self::Kept(_) => "kept",
            Self::Replaced(_) => "replaced",
            Self::Failed(_) => "failed",
            Self::Expired => "expired",
        }
    }
}

/// Returns the earlier one of the times that have not passed.
fn listen_until(at_ms: u64, silent_at_ms: u64, now_ms: u64) -> u64 {
    match silent_at_ms > now_ms {
        true => at_ms.min(silent_at_ms),
        false => at_ms,
    }
}

fn until(at_ms: u64, now_ms: u64) -> Duration {
    Duration::from_millis(at_ms.saturating_sub(now_ms))
}
