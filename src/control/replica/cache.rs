//! State that a replica caches outside its log, for processes that start without a leader.

use super::*;

/// Maximum number of pending documents that a replica tells of: operators send up to eight
/// changes at a time.
const MAX_PENDING_DOCUMENTS: usize = 8;

/// The document that a logged command sets if it is committed.
fn pending_document(command: &Bytes) -> Option<AcceptedDocument> {
    let (version, change, yaml) = match postcard::from_bytes(command) {
        Ok(Command::ApplyHighest { version, yaml, .. }) => (version, None, yaml),
        Ok(Command::Apply {
            change,
            expected,
            yaml,
        }) => (
            DocumentVersion(expected.0.checked_add(1)?),
            Some(change),
            yaml,
        ),
        Ok(_) => return None,
        Err(error) => {
            tracing::warn!(%error, "control: a logged command cannot be read");
            return None;
        }
    };
    Some(AcceptedDocument {
        version,
        change: change.unwrap_or_default(),
        yaml,
        source: None,
    })
}

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
                versions: self.control.versions().clone(),
                ..self.cache.clone()
            },
            PeekScope::All => CachedState {
                versions: self.control.versions().clone(),
                ..self.cache.clone()
            }
            .without_source(),
        };
        let pending = self.pending_documents();
        PeekReply {
            holding: self.holding(&pending),
            known,
            pending: match wanted {
                PeekScope::Version | PeekScope::Targets => Vec::new(),
                PeekScope::Document | PeekScope::All => pending,
            },
            control: self.roster.rpc_addresses(self.now_ms()),
        }
    }

    /// What was committed within `age_ms`.
    pub(super) fn catch_up(&self, age_ms: u64) -> CatchUpReply {
        CatchUpReply {
            holding: self.holding(&self.pending_documents()),
            departures: self.recent_departures.within(age_ms, self.now_ms()),
            rollouts: self.cache.rollouts.clone(),
            leads: self.check_leading().is_ok(),
            control: self.roster.rpc_addresses(self.now_ms()),
        }
    }

    fn holding(&self, pending: &[AcceptedDocument]) -> DocumentHolding {
        DocumentHolding {
            replica: self.core.id(),
            voters: self.core.membership().voters.clone(),
            committed: self.cache.document.version,
            pending: pending.iter().map(|document| document.version).collect(),
        }
    }

    /// The latest documents in the log that are newer than the cached one and not known to be
    /// committed, without the text as operators sent it.
    fn pending_documents(&self) -> Vec<AcceptedDocument> {
        let (log, commit_index) = (self.core.log(), self.core.commit_index());
        let uncommitted = log.entries.iter().rev();
        let uncommitted = uncommitted.take_while(|entry| entry.index > commit_index);
        let documents = uncommitted.filter_map(|entry| match &entry.payload {
            Payload::Command(bytes) => pending_document(bytes),
            Payload::Noop | Payload::Membership(_) => None,
        });
        documents
            .filter(|document| document.version > self.cache.document.version)
            .take(MAX_PENDING_DOCUMENTS)
            .collect()
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
