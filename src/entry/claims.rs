//! Claims of non-idempotent requests, made before their dispatch.

use super::{
    agent_links::{AgentLinks, Event},
    refusal::Refusal,
    request::Inbound,
};
use crate::{
    control::{
        ControlClient,
        client::ControlCallError,
        command::{Claim, ClaimKey, ClaimedAttempt, Outcome, RecordedAnswer},
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

/// How long one try to reach the leader may take.
const CALL_TIMEOUT_MS: u64 = 700;
/// How long a claim may take, a change of leader included.
const CLAIM_TIMEOUT_MS: u64 = 4000;
/// How long an agent may take to say what became of a grant.
const FENCE_TIMEOUT_MS: u64 = 2000;
/// How often an agent is asked while an earlier attempt runs.
const FENCE_INTERVAL_MS: u64 = 100;
/// The advice when to come back while an earlier attempt runs.
const IN_PROGRESS_RETRY_MS: u64 = 1000;

/// The earlier dispatch that is proved not to have run.
pub type Replaced = (RequestId, Attempt);

/// What is to be done with a request that needs a claim.
pub enum Claimed {
    /// Dispatch it.
    Dispatch,
    /// An earlier attempt did not run: claim again, in its place.
    Again(Replaced),
    /// An earlier attempt was answered: pass that answer on.
    Answered(RecordedAnswer),
}

/// Makes and settles claims.
pub struct Claims {
    client: Arc<ControlClient>,
    links: Arc<AgentLinks>,
}

fn claim_key(inbound: &Inbound) -> ClaimKey {
    ClaimKey {
        customer: inbound.customer.name.clone(),
        service: inbound.service.name.clone(),
        key: inbound.key.clone().unwrap_or_default(),
    }
}

fn fingerprint(inbound: &Inbound) -> Vec<u8> {
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

impl Claims {
    /// Claims through a control client; fences over the entry's links.
    pub fn new(client: Arc<ControlClient>, links: Arc<AgentLinks>) -> Self {
        Self { client, links }
    }

    /// Claims a request before its dispatch.
    ///
    /// # Errors
    /// Fails with a refusal if the claim is held and the request must not run.
    pub async fn claim(
        &self,
        inbound: &Inbound,
        attempt: &ClaimedAttempt,
        replaces: Option<Replaced>,
        view: &View,
    ) -> Result<Claimed, Refusal> {
        let (key, fingerprint) = (claim_key(inbound), fingerprint(inbound));
        let reply = self
            .client
            .call(CALL_TIMEOUT_MS, CLAIM_TIMEOUT_MS, |client| {
                let (key, fingerprint) = (key.clone(), fingerprint.clone());
                let attempt = attempt.clone();
                async move { client.claim(key, fingerprint, attempt, replaces).await }
            });
        match reply.await {
            Ok(ClaimReply::Claimed) => Ok(Claimed::Dispatch),
            Ok(ClaimReply::Held(claim)) => self.resolve(inbound, *claim, &fingerprint, view).await,
            Err(error) => {
                let message = format!("the request could not be claimed: {error}");
                let refusal = Refusal::not_run(Reason::ClaimUnavailable, message);
                Err(refusal.retry_after(IN_PROGRESS_RETRY_MS))
            }
        }
    }

    /// Looks for an earlier answer before a place is sought.
    ///
    /// # Errors
    /// Fails with a refusal if the claim is held and the request must not run.
    pub async fn look_up(
        &self,
        inbound: &Inbound,
        view: &View,
    ) -> Result<Option<Claimed>, Refusal> {
        let key = claim_key(inbound);
        let reply = self
            .client
            .call(CALL_TIMEOUT_MS, CLAIM_TIMEOUT_MS, |client| {
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
                Err(refusal.retry_after(IN_PROGRESS_RETRY_MS))
            }
        }
    }

    /// Records what became of a claim.
    ///
    /// # Errors
    /// Fails if the control group does not answer; the agent keeps the outcome.
    pub async fn settle(
        &self,
        inbound: &Inbound,
        (request, attempt): Replaced,
        outcome: Outcome,
    ) -> Result<Option<Outcome>, ControlCallError> {
        let key = claim_key(inbound);
        let call = self
            .client
            .call(CALL_TIMEOUT_MS, CLAIM_TIMEOUT_MS, |client| {
                let (key, outcome) = (key.clone(), outcome.clone());
                async move { client.settle(key, request, attempt, outcome).await }
            });
        call.await
    }

    /// Finds out what became of the attempt that holds a claim.
    async fn resolve(
        &self,
        inbound: &Inbound,
        claim: Claim,
        fingerprint: &[u8],
        view: &View,
    ) -> Result<Claimed, Refusal> {
        if claim.fingerprint != fingerprint {
            let message = "this Idempotency-Key was used for another request";
            return Err(Refusal::not_run(Reason::KeyReused, message));
        }
        let holder = (claim.attempt.request, claim.attempt.attempt);
        let outcome = match claim.outcome {
            Outcome::Open => self.fence(inbound, &claim.attempt, view).await?,
            settled => settled,
        };
        match outcome {
            Outcome::Answered(answer) => Ok(Claimed::Answered(answer)),
            Outcome::NotRun => Ok(Claimed::Again(holder)),
            Outcome::AnsweredLong => {
                let message = "the request ran before; its answer was too long to be kept";
                let refusal = Refusal::not_run(Reason::AnswerNotKept, message);
                Err(Refusal {
                    verdict: Verdict::Ran,
                    ..refusal
                })
            }
            Outcome::Open | Outcome::MayHaveRun => {
                let message = "an earlier attempt may have run; it is not repeated";
                Err(Refusal::may_have_run(Reason::AgentRestarted, message))
            }
        }
    }

    /// Asks the agent what became of an attempt, and withdraws its grant if it
    /// is unused. Waits while the attempt runs.
    async fn fence(
        &self,
        inbound: &Inbound,
        attempt: &ClaimedAttempt,
        view: &View,
    ) -> Result<Outcome, Refusal> {
        loop {
            let outcome = self.ask(attempt).await;
            let name = ProcessName(attempt.target.0.clone());
            let member = view.agents.get(&name);
            let replaced = member.is_some_and(|m| m.incarnation != attempt.grant.incarnation);
            match outcome {
                Some(Outcome::Open) if inbound.left_ms() > FENCE_INTERVAL_MS => {
                    tokio::time::sleep(Duration::from_millis(FENCE_INTERVAL_MS)).await;
                }
                Some(Outcome::Open) => {
                    let message = "an earlier attempt with this key is still running";
                    let refusal = Refusal::may_have_run(Reason::InProgress, message);
                    return Err(refusal.retry_after(IN_PROGRESS_RETRY_MS));
                }
                None if !replaced => {
                    let message = "an earlier attempt may have run, and its agent does not answer";
                    let refusal = Refusal::may_have_run(Reason::LinkLost, message);
                    return Err(refusal.retry_after(IN_PROGRESS_RETRY_MS));
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

    async fn ask(&self, attempt: &ClaimedAttempt) -> Option<Outcome> {
        let (events, mut receiver) = mpsc::unbounded_channel();
        let question = RequestId::random();
        let fence = ToAgent::Fence {
            request: question,
            grant: attempt.grant,
        };
        let mut exchange = self
            .links
            .open(&attempt.agent_address, question, 0, events, fence);
        exchange.ended();
        let answer = timeout(Duration::from_millis(FENCE_TIMEOUT_MS), receiver.recv()).await;
        match answer {
            Ok(Some((_, Event::Message(FromAgent::Fenced { outcome, .. })))) => Some(outcome),
            _ => None,
        }
    }
}
