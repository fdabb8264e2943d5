//! Records in the log which versions the targets of each service run.

use super::*;
use crate::stream_version::VersionHistory;

/// Interval at which the directory is compared with the log.
const CHECK_INTERVAL_MS: u64 = 200;

/// What the leader has seen of the versions in its term.
#[derive(Default)]
pub(super) struct VersionTracker {
    history: VersionHistory,
    checked_ms: u64,
}

impl VersionTracker {
    /// Begins a term. Versions in the log count as seen now, as it is not known how long their last
    /// targets have been gone.
    pub(super) fn begin_term(&mut self, versions: &ServiceVersions, now_ms: u64) {
        *self = Self::default();
        self.history.observe_committed(versions, now_ms);
    }
}

impl ReplicaState {
    /// Proposes the versions that are listed and not recorded, and those that are gone.
    pub(super) fn record_versions(&mut self, now_ms: u64) -> Result<(), ActorProcessingErr> {
        let tracker = &mut self.version_tracker;
        if now_ms < tracker.checked_ms + CHECK_INTERVAL_MS {
            return Ok(());
        }
        tracker.checked_ms = now_ms;
        let directory = &self.directory;
        let named = directory.listed();
        let named = named.filter(|target| directory.names_service_of(target));
        tracker.history.observe(named, now_ms);
        for change in self.control.versions().changes_to(&tracker.history) {
            tracing::info!(
                service = %change.service, version = %change.version, runs = change.runs,
                "control: versions of a service change"
            );
            self.propose(Command::ChangeVersion(change), Proposer::Leader)?;
        }
        Ok(())
    }
}
