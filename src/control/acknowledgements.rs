//! Decides when a change is acknowledged: once every process that acts on it has it. Pure: no I/O
//! and no clock.
//!
//! | processes that act on it | known for | the change is |
//! |---|---|---|
//! | all known, and all have it | any time | acknowledged |
//! | one lacks it, or some may be unknown | less than [`MAX_WAIT_MS`] | held back |
//! | one lacks it, or some may be unknown | [`MAX_WAIT_MS`] or longer | acknowledged |
//!
//! A process that lacks a change for that long is not in touch with the leader. The wait counts
//! from the first time that the leader knew the change, so that a caller that asks again is not
//! held back anew.

use crate::units::DocumentVersion;

/// Maximum time for which a change is held back: callers ask another instance after a second, and
/// are then answered.
pub const MAX_WAIT_MS: u64 = 1400;

/// What a process must have before a change is acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Awaited {
    /// This version of the document, or a later one.
    #[display("document {_0}")]
    Document(DocumentVersion),
    /// This revision of the directory of targets, or a later one.
    #[display("targets {_0}")]
    Targets(u64),
}

/// What a process that acts on changes has, as of its last renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Its document.
    pub document_version: DocumentVersion,
    /// The revision of this leader's directory; `None` if it has none of it, and does not need it.
    pub targets_revision: Option<u64>,
}

struct Pending<T> {
    awaited: Awaited,
    known_since_ms: u64,
    acknowledgement: T,
}

/// An acknowledgement that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Due<T> {
    /// What was held back.
    pub acknowledgement: T,
    /// What the processes must have.
    pub awaited: Awaited,
    /// Time for which the leader has known the change.
    pub known_for_ms: u64,
    /// Number of known processes that lack it.
    pub lacking: usize,
}

/// The acknowledgements that are held back.
pub struct Acknowledgements<T>(Vec<Pending<T>>);

impl<T> Default for Acknowledgements<T> {
    fn default() -> Self {
        Self(Vec::new())
    }
}

impl<T> Acknowledgements<T> {
    /// Holds an acknowledgement back.
    pub fn hold(&mut self, awaited: Awaited, known_since_ms: u64, acknowledgement: T) {
        self.0.push(Pending {
            awaited,
            known_since_ms,
            acknowledgement,
        });
    }

    /// Whether none is held back.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Takes those that are due. `processes` are the known ones; `is_complete` tells whether those
    /// are all.
    pub fn take_due(
        &mut self,
        processes: impl Iterator<Item = Progress>,
        is_complete: bool,
        now_ms: u64,
    ) -> Vec<Due<T>> {
        let processes: Vec<Progress> = processes.collect();
        let lacking = |awaited: Awaited| {
            let lacks = |process: &&Progress| match awaited {
                Awaited::Document(version) => process.document_version < version,
                Awaited::Targets(revision) => {
                    process.targets_revision.is_some_and(|has| has < revision)
                }
            };
            processes.iter().filter(lacks).count()
        };
        let is_due = |pending: &mut Pending<T>| {
            now_ms >= pending.known_since_ms + MAX_WAIT_MS
                || is_complete && lacking(pending.awaited) == 0
        };
        let due = self.0.extract_if(.., is_due);
        due.map(|pending| Due {
            lacking: lacking(pending.awaited),
            awaited: pending.awaited,
            known_for_ms: now_ms.saturating_sub(pending.known_since_ms),
            acknowledgement: pending.acknowledgement,
        })
        .collect()
    }

    /// Takes all.
    pub fn take_all(&mut self) -> Vec<T> {
        let all = std::mem::take(&mut self.0).into_iter();
        all.map(|pending| pending.acknowledgement).collect()
    }
}
