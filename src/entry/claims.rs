//! Idempotency: claims the key of a non-idempotent request before its dispatch.

use super::{
    agent_links::{AgentLinks, Event},
    refusal::Refusal,
    request::IncomingRequest,
};
use crate::{
    control::{
        ControlClient,
        client::ControlCallError,
        command::{Claim, ClaimKey, ClaimedAttempt, Outcome, RecordedResponse},
        rpc::{ClaimReply, ControlRpcClient},
    },
    control_view::View,
    units::*,
    verdict::{Reason, Verdict},
    wire::{FromAgent, ToAgent},
};
use sha2::{Digest, Sha256};
use std::{sync::Arc, time::Duration};
use tokio::{sync::mpsc, time::timeout};

/// Timeout of one call to the leader.
const ATTEMPT_TIMEOUT_MS: u64 = 700;
/// Timeout of a claim, including a change of leader.
const CLAIM_TIMEOUT_MS: u64 = 4000;
/// Timeout of an agent's reply to an outcome query.
const OUTCOME_QUERY_TIMEOUT_MS: u64 = 2000;
/// Interval at which an agent is polled while an earlier attempt runs.
const OUTCOME_POLL_INTERVAL_MS: u64 = 100;
/// Retry delay sent to the caller while a claim cannot be resolved.
const RETRY_AFTER_MS: u64 = 1000;

/// Identifies one attempt of a request.
pub type AttemptId = (RequestId, Attempt);

/// How to proceed with a request that needs a claim.
pub enum ClaimDecision {
    /// The claim is held: dispatch the request.
    Dispatch,
    /// An earlier attempt holds the claim and did not run: claim again and replace it.
    RetryClaim(AttemptId),
    /// An earlier attempt was answered: send its recorded response.
    Replay(RecordedResponse),
}

/// Creates and settles claims.
pub struct ClaimClient {
    client: Arc<ControlClient>,
    links: Arc<AgentLinks>,
}

fn claim_key(inbound: &IncomingRequest) -> ClaimKey {
    ClaimKey {
        customer: inbound.customer.name.clone(),
        service: inbound.service.name.clone(),
        key: inbound.key.clone().unwrap_or_default(),
    }
}

fn fingerprint(inbound: &IncomingRequest) -> Vec<u8> {
    let mut sha256 = Sha256::new();
    for part in [
        inbound.method.as_bytes(),
        inbound.path.as_bytes(),
        &inbound.body,
    ] {
        sha256.update((part.len() as u64).to_le_bytes());
        sha256.update(part);
    }
    sha256.finalize().to_vec()
}

impl ClaimClient {
    /// Creates a client that claims at the control group and queries outcomes at agents.
    pub fn new(client: Arc<ControlClient>, links: Arc<AgentLinks>) -> Self {
        Self { client, links }
    }

    /// Claims a request's idempotency key for an attempt.
    ///
    /// # Errors
    /// Fails if another attempt holds the claim and the request must not run, or if the
    /// control group does not reply.
    pub async fn claim(
        &self,
        inbound: &IncomingRequest,
        attempt: &ClaimedAttempt,
        replaces: Option<AttemptId>,
        view: &View,
    ) -> Result<ClaimDecision, Refusal> {
        let (key, fingerprint) = (claim_key(inbound), fingerprint(inbound));
        let reply = self
            .client
            .call(ATTEMPT_TIMEOUT_MS, CLAIM_TIMEOUT_MS, |client| {
                let (key, fingerprint) = (key.clone(), fingerprint.clone());
                let attempt = attempt.clone();
                async move { client.claim(key, fingerprint, attempt, replaces).await }
            });
        match reply.await {
            Ok(ClaimReply::Claimed) => Ok(ClaimDecision::Dispatch),
            Ok(ClaimReply::Held(claim)) => self.resolve(inbound, *claim, &fingerprint, view).await,
            Err(error) => {
                let message = format!("the request could not be claimed: {error}");
                let refusal = Refusal::not_run(Reason::ClaimUnavailable, message);
                Err(refusal.retry_after(RETRY_AFTER_MS))
            }
        }
    }

    /// Resolves an existing claim before a slot is reserved: a response that is recorded needs
    /// none. If the claim is open, its agent is queried for the outcome. Returns `None` if
    /// there is no claim or its attempt did not run, and never [`ClaimDecision::Dispatch`].
    ///
    /// # Errors
    /// Fails if another attempt holds the claim and the request must not run, or if the
    /// control group does not reply.
    pub async fn resolve_existing(
        &self,
        inbound: &IncomingRequest,
        view: &View,
    ) -> Result<Option<ClaimDecision>, Refusal> {
        let key = claim_key(inbound);
        let reply = self
            .client
            .call(ATTEMPT_TIMEOUT_MS, CLAIM_TIMEOUT_MS, |client| {
                let key = key.clone();
                async move { client.claim_of(key).await }
            });
        match reply.await {
            Ok(None) => Ok(None),
            Ok(Some(claim)) if claim.outcome == Outcome::NotRun => Ok(None),
            Ok(Some(claim)) => self
                .resolve(inbound, claim, &fingerprint(inbound), view)
                .await
                .map(Some),
            Err(error) => {
                let message = format!(
                    "this attempt did not run, but earlier ones with its key could not be looked \
                     up: {error}"
                );
                let refusal = Refusal::may_have_run(Reason::ClaimUnavailable, message);
                Err(refusal.retry_after(RETRY_AFTER_MS))
            }
        }
    }

    /// Records the outcome of a claimed attempt.
    ///
    /// # Errors
    /// Fails if the control group does not reply. The agent still keeps the outcome.
    pub async fn settle(
        &self,
        inbound: &IncomingRequest,
        (request, attempt): AttemptId,
        outcome: Outcome,
    ) -> Result<Option<Outcome>, ControlCallError> {
        let key = claim_key(inbound);
        let call = self
            .client
            .call(ATTEMPT_TIMEOUT_MS, CLAIM_TIMEOUT_MS, |client| {
                let (key, outcome) = (key.clone(), outcome.clone());
                async move { client.settle(key, request, attempt, outcome).await }
            });
        call.await
    }

    /// Determines the outcome of the attempt that holds a claim, and how to proceed.
    async fn resolve(
        &self,
        inbound: &IncomingRequest,
        claim: Claim,
        fingerprint: &[u8],
        view: &View,
    ) -> Result<ClaimDecision, Refusal> {
        if claim.fingerprint != fingerprint {
            let message = "this Idempotency-Key was used for another request";
            return Err(Refusal::not_run(Reason::KeyReused, message));
        }
        let holder = (claim.attempt.request, claim.attempt.attempt);
        let outcome = match claim.outcome {
            Outcome::Open => self.resolve_at_agent(inbound, &claim.attempt, view).await?,
            settled => settled,
        };
        match outcome {
            Outcome::Answered(answer) => Ok(ClaimDecision::Replay(answer)),
            Outcome::NotRun => Ok(ClaimDecision::RetryClaim(holder)),
            Outcome::AnsweredLong => {
                let message = "the request ran before; its answer was not kept";
                let refusal = Refusal::not_run(Reason::ResponseNotRecorded, message);
                Err(Refusal {
                    verdict: Verdict::Ran,
                    ..refusal
                })
            }
            Outcome::Open | Outcome::MayHaveRun => {
                // A claim does not record why its outcome is unknown. All causes are reported as
                // a restart of the agent.
                let message = "an earlier attempt may have run; it is not repeated";
                Err(Refusal::may_have_run(Reason::AgentRestarted, message))
            }
        }
    }

    /// Queries the agent for the outcome of an attempt, which revokes its grant if unused.
    /// Polls while the attempt runs.
    async fn resolve_at_agent(
        &self,
        inbound: &IncomingRequest,
        attempt: &ClaimedAttempt,
        view: &View,
    ) -> Result<Outcome, Refusal> {
        loop {
            let outcome = self.query_outcome(attempt).await;
            // An agent and its target have the same name.
            let name = ProcessName(attempt.target.0.clone());
            let member = view.agents.get(&name);
            let agent_restarted =
                member.is_some_and(|m| m.incarnation != attempt.grant.incarnation);
            match outcome {
                Some(Outcome::Open) if inbound.remaining_ms() > OUTCOME_POLL_INTERVAL_MS => {
                    tokio::time::sleep(Duration::from_millis(OUTCOME_POLL_INTERVAL_MS)).await;
                }
                Some(Outcome::Open) => {
                    let message = "an earlier attempt with this key is still running";
                    let refusal = Refusal::may_have_run(Reason::InProgress, message);
                    return Err(refusal.retry_after(RETRY_AFTER_MS));
                }
                None if !agent_restarted => {
                    let message = "an earlier attempt may have run, and its agent does not answer";
                    let refusal = Refusal::may_have_run(Reason::LinkLost, message);
                    return Err(refusal.retry_after(RETRY_AFTER_MS));
                }
                resolved => {
                    let outcome = resolved.unwrap_or(Outcome::MayHaveRun);
                    if outcome != Outcome::NotRun {
                        let holder = (attempt.request, attempt.attempt);
                        let _ = self.settle(inbound, holder, outcome.clone()).await;
                    }
                    return Ok(outcome);
                }
            }
        }
    }

    async fn query_outcome(&self, attempt: &ClaimedAttempt) -> Option<Outcome> {
        let (events, mut receiver) = mpsc::unbounded_channel();
        let query_id = RequestId::random();
        let query = ToAgent::Fence {
            request: query_id,
            grant: attempt.grant,
        };
        let mut exchange = self
            .links
            .open(&attempt.agent_address, query_id, 0, events, query);
        exchange.mark_ended();
        let reply = timeout(
            Duration::from_millis(OUTCOME_QUERY_TIMEOUT_MS),
            receiver.recv(),
        )
        .await;
        match reply {
            Ok(Some((_, Event::Message(FromAgent::Fenced { outcome, .. })))) => Some(outcome),
            _ => None,
        }
    }
}
