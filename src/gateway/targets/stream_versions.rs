//! Versions that began streams: kept by this gateway and by agents, and asked for when a caller takes
//! a stream up.

use super::*;
use crate::{
    control::replica::unix_ms,
    gateway::incoming_request::IncomingRequest,
    stream_version::{self, StreamChoice, StreamKey, StreamRecords, VersionHistory},
};
use futures::{StreamExt, stream::FuturesUnordered};
use tokio::time::timeout;

/// Maximum time to wait for agents: some round trips, and the time to connect.
const RECALL_TIMEOUT_MS: u64 = 250;
/// `Retry-After` of a stream that can go on nowhere at present.
const STREAM_RETRY_AFTER_MS: u64 = 1000;

/// What this gateway knows of versions and streams.
#[derive(Default)]
pub(super) struct StreamVersions {
    pub(super) history: VersionHistory,
    records: StreamRecords,
}

impl Targets {
    /// Records which version begins a stream, if its service runs several.
    pub fn record_stream(&self, incoming: &IncomingRequest, target: &TargetEntry) {
        let now_ms = clock::boot_ms();
        let Some(id) = &incoming.metadata.id else {
            return;
        };
        let (key, version) = (StreamKey::of(id), &target.version);
        {
            let mut streams = self.stream_versions();
            if !streams.history.note(target, now_ms) {
                return;
            }
            streams.records.record(key, version.clone(), now_ms);
        }
        for agent in key.holders(self.agents().into_iter()) {
            self.admission_links
                .record_stream(agent, key, version.clone());
        }
    }

    /// The version at which a stream that its caller takes up may go on; `None` if any will do.
    ///
    /// # Errors
    /// Returns a refusal with the verdict "not run" if the version is not known, or has no target.
    pub async fn version_of_stream(
        &self,
        incoming: &IncomingRequest,
    ) -> Result<Option<TargetVersion>, Refusal> {
        let key = incoming.metadata.resumes.as_deref().map(StreamKey::of);
        let now_ms = clock::boot_ms();
        let view = self.view.load();
        let (versions, mut record) = {
            let mut streams = self.stream_versions();
            streams.history.observe(view.targets.values(), now_ms);
            let record = key.and_then(|key| streams.records.find(key, now_ms).cloned());
            (streams.history.versions(&incoming.service), record)
        };
        let mut evidence = match record {
            Some(_) => "own-record",
            None => "not-asked",
        };
        if versions.len() > 1
            && let (Some(key), None) = (key, &record)
        {
            (record, evidence) = self.recall_stream(key).await;
        }
        let choice = stream_version::choose(record.as_ref(), &versions, unix_ms());
        metrics::gateway_stream_taken_up(&incoming.service, evidence, choice.label());
        tracing::info!(
            request = incoming.id,
            resumes = incoming.metadata.resumes,
            after = incoming.metadata.resume_after,
            evidence,
            recorded = record.as_ref().map(tracing::field::display),
            versions = versions.len(),
            choice = ?choice,
            asked_ms = clock::boot_ms() - now_ms,
            view_age_ms = view.age_ms(now_ms),
            "gateway: stream taken up"
        );
        let refuse = |message: String| {
            tracing::warn!(
                request = incoming.id,
                resumes = incoming.metadata.resumes,
                why = message,
                "gateway: stream not taken up"
            );
            let refusal = Refusal::not_run(Reason::NoTarget, message);
            Err(refusal.retry_after(STREAM_RETRY_AFTER_MS))
        };
        match choice {
            StreamChoice::Any => Ok(None),
            StreamChoice::Only(version) => {
                let serves = |target: &TargetEntry| {
                    target.service == incoming.service
                        && target.version == version
                        && !target.leaving
                };
                match view.targets.values().any(serves) {
                    true => Ok(Some(version)),
                    false => refuse(format!("no target of version {version} goes on with it")),
                }
            }
            StreamChoice::Refused => refuse("the version that began it is not known".into()),
        }
    }

    /// Asks agents for the version that began a stream. Says besides what came of it: "recorded", "not
    /// recorded" by any of them, or "unanswered", if one of them did not answer.
    async fn recall_stream(&self, key: StreamKey) -> (Option<TargetVersion>, &'static str) {
        let holders = key.asked_holders(self.agents().into_iter()).into_iter();
        let mut replies: FuturesUnordered<_> = holders
            .map(|agent| self.admission_links.recall_stream(agent, key))
            .collect();
        let first_record = async {
            let mut evidence = "not-recorded";
            while let Some(reply) = replies.next().await {
                match reply {
                    Ok(Some(version)) => return (Some(version), "recorded"),
                    Ok(None) => {}
                    Err(_) => evidence = "unanswered",
                }
            }
            (None, evidence)
        };
        let limit = Duration::from_millis(RECALL_TIMEOUT_MS);
        let recalled = timeout(limit, first_record).await;
        recalled.unwrap_or((None, "unanswered"))
    }

    /// The agents beside the targets of model services.
    fn agents(&self) -> Vec<SocketAddr> {
        let Some(port) = self.admission_port else {
            return Vec::new();
        };
        let view = self.view.load();
        let is_model = |target: &&TargetEntry| {
            let service = view.policy.service(&target.service);
            service.is_some_and(|service| service.is_model)
        };
        let models = view.targets.values().filter(is_model);
        models
            .map(|target| SocketAddr::new(target.address.ip(), port))
            .collect()
    }

    pub(super) fn stream_versions(&self) -> std::sync::MutexGuard<'_, StreamVersions> {
        self.stream_versions.lock().expect("no holder panics")
    }
}
