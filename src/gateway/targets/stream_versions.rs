//! Versions that began streams: kept by this gateway and by agents, and asked for when a caller takes
//! a stream up.

use super::*;
use crate::{
    gateway::incoming_request::IncomingRequest,
    stream_records::{GatewayStreams, RecordAgents, SentRecord, StreamKey},
    stream_version::{self, Evidence, StreamChoice, VersionHistory},
};
use futures::{StreamExt, stream::FuturesUnordered};
use std::{collections::BTreeSet, pin::pin};
use tokio::time::timeout;

/// Maximum time to wait for agents and for a leader: the time to connect and to be answered by instances
/// with a small share of a processor.
const RECALL_TIMEOUT_MS: u64 = 1000;
/// `Retry-After` of a stream that can go on nowhere at present.
const STREAM_RETRY_AFTER_MS: u64 = 1000;
/// `Retry-After` of a stream of which an agent may yet tell the version.
const RECALL_RETRY_AFTER_MS: u64 = 250;

/// What this gateway knows of versions and streams.
#[derive(Default)]
pub(super) struct StreamVersions {
    history: VersionHistory,
    streams: GatewayStreams,
    /// The agents and the services with several versions for which all records have been sent.
    sent_for: (RecordAgents, BTreeSet<ServiceName>),
}

/// The key of the stream that a request begins or takes up.
fn stream_key(incoming: &IncomingRequest) -> Option<StreamKey> {
    let metadata = &incoming.metadata;
    let id = match metadata.resume_after {
        Some(_) => &metadata.resumes,
        None => &metadata.id,
    };
    id.as_deref().map(StreamKey::of)
}

impl Targets {
    /// Keeps the version of a stream whose first event has come from a target, and records it at
    /// agents if its service runs several.
    pub fn begin_stream(&self, incoming: &IncomingRequest, target: &TargetEntry) {
        let Some(key) = stream_key(incoming) else {
            return;
        };
        let now_ms = clock::boot_ms();
        let (service, version) = (target.service.clone(), target.version.clone());
        let due = {
            let mut streams = self.stream_versions();
            streams.history.note(&service, &version, now_ms);
            let has_several = streams.history.has_several(&service);
            let is_kept = streams.streams.begin(key, service, version.clone(), now_ms);
            match (has_several, is_kept) {
                (false, _) => Vec::new(),
                (true, true) => streams.streams.due_of(key, &self.record_agents()),
                (true, false) => {
                    let holders = self.record_agents().holders(key).into_iter();
                    let record = |agent| SentRecord {
                        agent,
                        key,
                        version: version.clone(),
                    };
                    holders.map(record).collect()
                }
            }
        };
        self.send_records(due);
    }

    /// Forgets a stream that is complete; its caller may take up one that is not.
    pub fn end_stream(&self, incoming: &IncomingRequest, is_complete: bool) {
        if let Some(key) = stream_key(incoming) {
            let mut streams = self.stream_versions();
            streams.streams.end(key, is_complete, clock::boot_ms());
        }
    }

    /// Takes over the versions that are listed or committed, and sends the records that agents lack:
    /// they may have restarted, or come into the place of others.
    pub(super) fn update_streams(&self, view: &View) {
        let now_ms = clock::boot_ms();
        let lost = self.admission_links.take_lost_holders();
        let due = {
            let mut streams = self.stream_versions();
            let StreamVersions {
                history,
                streams,
                sent_for,
            } = &mut *streams;
            history.observe(view.targets.values(), now_ms);
            history.observe_committed(&view.versions, now_ms);
            let several = history.services_with_several();
            for agent in &lost {
                streams.lose_agent(*agent);
            }
            if several.is_empty() {
                *sent_for = Default::default();
                return;
            }
            let wanted = (self.record_agents(), several);
            if lost.is_empty() && wanted == *sent_for {
                return;
            }
            *sent_for = wanted;
            let (agents, several) = sent_for;
            streams.due(agents, |service| several.contains(service), now_ms)
        };
        self.send_records(due);
    }

    fn send_records(&self, records: Vec<SentRecord>) {
        for SentRecord {
            agent,
            key,
            version,
        } in records
        {
            self.admission_links.record_stream(agent, key, version);
        }
    }

    /// The version at which a stream that its caller takes up may go on.
    ///
    /// # Errors
    /// Returns a refusal with the verdict "not run" if the version is not known, or has no target.
    pub async fn version_of_stream(
        &self,
        incoming: &IncomingRequest,
    ) -> Result<TargetVersion, Refusal> {
        let key = stream_key(incoming);
        let now_ms = clock::boot_ms();
        let view = self.view.load();
        let own = key.and_then(|key| self.stream_versions().streams.version(key).cloned());
        let (evidence, versions) = match (own, key) {
            (Some(version), _) => (Evidence::Began(version), BTreeSet::new()),
            (None, key) => self.find_evidence(key, &incoming.service, now_ms).await,
        };
        let choice = stream_version::choose(&evidence, &versions);
        metrics::gateway_stream_taken_up(&incoming.service, evidence.label(), choice.label());
        tracing::info!(
            request = incoming.id,
            resumes = incoming.metadata.resumes,
            after = incoming.metadata.resume_after,
            evidence = ?evidence,
            versions = versions.len(),
            choice = ?choice,
            asked_ms = clock::boot_ms() - now_ms,
            view_age_ms = view.age_ms(now_ms),
            "gateway: stream taken up"
        );
        let refuse = |message: String, retry_after_ms| {
            tracing::warn!(
                request = incoming.id,
                resumes = incoming.metadata.resumes,
                why = message,
                "gateway: stream not taken up"
            );
            let refusal = Refusal::not_run(Reason::NoTarget, message);
            Err(refusal.retry_after(retry_after_ms))
        };
        let unknown = "the version that began it is not known";
        match (choice, &evidence) {
            (StreamChoice::Only(version), Evidence::Began(_)) => {
                let view = self.view.load();
                let serves = |target: &TargetEntry| {
                    target.service == incoming.service
                        && target.version == version
                        && !target.leaving
                };
                match view.targets.values().any(serves) {
                    true => Ok(version),
                    false => refuse(
                        format!("no target of version {version} goes on with it"),
                        STREAM_RETRY_AFTER_MS,
                    ),
                }
            }
            (StreamChoice::Only(version), _) => Ok(version),
            (StreamChoice::Refused, Evidence::Unanswered) => {
                refuse(unknown.into(), RECALL_RETRY_AFTER_MS)
            }
            (StreamChoice::Refused, _) => refuse(unknown.into(), STREAM_RETRY_AFTER_MS),
        }
    }

    /// Asks agents for the version that began a stream. If one version is known, asks a leader at the
    /// same time whether there is no other one.
    async fn find_evidence(
        &self,
        key: Option<StreamKey>,
        service: &ServiceName,
        now_ms: u64,
    ) -> (Evidence, BTreeSet<TargetVersion>) {
        let recalled = async {
            match key {
                Some(key) => self.recall_stream(key).await,
                None => Evidence::Unnamed,
            }
        };
        let has_one = || self.known_versions(service).len() == 1;
        let confirmed = async {
            let limit = Duration::from_millis(RECALL_TIMEOUT_MS);
            has_one() && self.view.confirm_since(now_ms, limit).await && has_one()
        };
        let (mut recalled, mut confirmed) = (pin!(recalled), pin!(confirmed));
        let evidence = tokio::select! {
            evidence = recalled.as_mut() => match evidence {
                Evidence::Began(_) => evidence,
                _ if confirmed.await => Evidence::Confirmed,
                _ => evidence,
            },
            is_confirmed = confirmed.as_mut() => match is_confirmed {
                true => Evidence::Confirmed,
                false => recalled.await,
            },
        };
        (evidence, self.known_versions(service))
    }

    /// The versions of a service, as this gateway knows now.
    fn known_versions(&self, service: &ServiceName) -> BTreeSet<TargetVersion> {
        let (view, now_ms) = (self.view.load(), clock::boot_ms());
        let mut streams = self.stream_versions();
        streams.history.observe(view.targets.values(), now_ms);
        streams.history.observe_committed(&view.versions, now_ms);
        streams.history.versions(service)
    }

    /// Asks agents for the version that began a stream.
    async fn recall_stream(&self, key: StreamKey) -> Evidence {
        let asked = self.record_agents().asked(key).into_iter();
        let mut replies: FuturesUnordered<_> = asked
            .map(|agent| self.admission_links.recall_stream(agent, key))
            .collect();
        let replied = async {
            let mut evidence = Evidence::NotRecorded;
            while let Some(reply) = replies.next().await {
                match reply {
                    Ok(Some(version)) => return Evidence::Began(version),
                    Ok(None) => {}
                    // The link closed.
                    Err(_) => evidence = Evidence::Unanswered,
                }
            }
            evidence
        };
        let limit = Duration::from_millis(RECALL_TIMEOUT_MS);
        timeout(limit, replied)
            .await
            .unwrap_or(Evidence::Unanswered)
    }

    /// The agents beside the targets of model services.
    fn record_agents(&self) -> RecordAgents {
        let Some(port) = self.admission_port else {
            return RecordAgents::default();
        };
        let view = self.view.load();
        let is_model = |target: &&TargetEntry| {
            let service = view.policy.service(&target.service);
            service.is_some_and(|service| service.is_model)
        };
        RecordAgents::beside(view.targets.values().filter(is_model), port)
    }

    pub(super) fn stream_versions(&self) -> std::sync::MutexGuard<'_, StreamVersions> {
        self.stream_versions.lock().expect("no holder panics")
    }
}
