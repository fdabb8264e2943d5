//! State that a replica caches outside its log, for processes that start without a leader.

use super::*;

impl ReplicaState {
    /// Caches a target's announcement while there is no leader; returns whether the cache
    /// changed.
    pub(super) fn cache_target(&mut self, announcement: TargetAnnouncement) -> bool {
        if self.core.leader().is_some() {
            return false;
        }
        // Until the document is compiled, only a target of the same service is replaced.
        self.compile_document();
        let is_compiled = self.policy_version == self.control.document().version;
        let services = match is_compiled {
            true => NamedServices::of(&self.policy),
            false => NamedServices::from_iter([]),
        };
        let is_changed = self.cache.replace_restarted(announcement, &services);
        self.cache_changed |= is_changed;
        is_changed
    }

    /// Applies all committed departures to the cached targets.
    pub(super) fn apply_departures_to_cache(&mut self) {
        let departures = self.control.departures().iter();
        self.cache_changed |= self.cache.apply_departures(departures);
    }

    /// The requested part of the cached state.
    pub(super) fn read_cache(&self, wanted: PeekScope) -> PeekReply {
        let known = match wanted {
            PeekScope::Version => CachedState::default(),
            PeekScope::Document => CachedState {
                document: self.cache.document.clone(),
                ..CachedState::default()
            }
            .without_source(),
            PeekScope::Targets => CachedState {
                document: AcceptedDocument::default(),
                ..self.cache.clone()
            },
            PeekScope::All => self.cache.clone().without_source(),
        };
        PeekReply {
            version: self.cache.document.version,
            known,
            control: self.roster.rpc_addresses(self.now_ms()),
        }
    }

    /// What was committed within `age_ms`.
    pub(super) fn catch_up(&self, age_ms: u64) -> CatchUpReply {
        CatchUpReply {
            version: self.cache.document.version,
            departures: self.recent_departures.within(age_ms, self.now_ms()),
            rollouts: self.cache.rollouts.clone(),
            leads: self.check_leading().is_ok(),
        }
    }

    /// Caches the document in force, which is committed.
    pub(super) fn cache_document(&mut self) {
        if self.control.document().version > self.cache.document.version {
            self.cache.document = self.control.document().clone();
            self.cache_changed = true;
        }
    }

    /// Writes the cached state to disk, on another thread as the disk may stall. It only
    /// affects how soon requests are served after a restart.
    pub(super) fn store_cache(&mut self, now_ms: u64) {
        if !self.cache_changed || now_ms < self.cache_stored_ms + CACHED_STATE_INTERVAL_MS {
            return;
        }
        self.cache_changed = false;
        self.cache_stored_ms = now_ms;
        let write = self
            .storage
            .sidecar_writer(CACHED_STATE_SIDECAR, &self.cache);
        tokio::task::spawn_blocking(move || {
            if let Err(error) = write() {
                tracing::debug!(%error, "control: failed to store the cached document and targets");
            }
        });
    }
}
