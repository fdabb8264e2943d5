//! What a replica knows apart from its log, for processes that start without a leader.

use super::*;

impl ReplicaState {
    /// Takes what a target says of itself while there is no leader; returns whether it is news.
    pub(super) fn hear_target(&mut self, announcement: TargetAnnouncement) -> bool {
        let is_news = self.core.leader().is_none() && self.known.hear(announcement);
        self.known_changed |= is_news;
        is_news
    }

    /// What this replica knows, led or not.
    pub(super) fn peek(&self, wanted: Wanted) -> PeekReply {
        let known = match wanted {
            Wanted::Version => Known::default(),
            Wanted::Targets => Known {
                document: AcceptedDocument::default(),
                ..self.known.clone()
            },
            Wanted::All => self.known.clone().without_source(),
        };
        PeekReply {
            version: self.known.document.version,
            known,
            control: self.roster.rpc_addresses(self.now_ms()),
        }
    }

    /// Notes the document in force; it is committed.
    pub(super) fn know_document(&mut self) {
        if self.control.document().version > self.known.document.version {
            self.known.document = self.control.document().clone();
            self.known_changed = true;
        }
    }

    /// Keeps what is known on disk, on another thread as the disk may stall. Nothing depends
    /// on it but how soon service begins after a restart.
    pub(super) fn keep_known(&mut self, now_ms: u64) {
        if !self.known_changed || now_ms < self.known_kept_ms + KNOWN_INTERVAL_MS {
            return;
        }
        self.known_changed = false;
        self.known_kept_ms = now_ms;
        let write = self.storage.note_writer(KNOWN_NOTE, &self.known);
        tokio::task::spawn_blocking(move || {
            if let Err(error) = write() {
                tracing::debug!(%error, "control: latest document and targets not kept on disk");
            }
        });
    }
}
