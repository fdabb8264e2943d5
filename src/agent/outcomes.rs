//! Bounded store of the outcomes of recent dispatches, for idempotent retries.

use crate::{control::command::Outcome, derives::record, units::GrantNumber};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of outcomes kept.
const MAX_OUTCOMES: usize = 4096;
/// Maximum total size of the recorded responses kept.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

record! {
    /// Outcomes of the most recently ended dispatches; the one that ended first is evicted
    /// first.
    #[derive(Default)]
    pub struct Outcomes {
        by_grant: BTreeMap<GrantNumber, Outcome>,
        ended: VecDeque<GrantNumber>,
        answer_bytes: usize,
        forgotten: Option<GrantNumber>,
    }
}

impl Outcomes {
    /// Stores an outcome, and evicts the oldest ones beyond the bounds.
    pub fn insert(&mut self, grant: GrantNumber, outcome: Outcome) {
        self.answer_bytes += outcome.answer_bytes();
        self.by_grant.insert(grant, outcome);
        self.ended.push_back(grant);
        while self.ended.len() > MAX_OUTCOMES || self.answer_bytes > MAX_RESPONSE_BYTES {
            let Some(oldest) = self.ended.pop_front() else {
                return;
            };
            let evicted = self.by_grant.remove(&oldest);
            self.answer_bytes -= evicted.map_or(0, |outcome| outcome.answer_bytes());
            self.forgotten = self.forgotten.max(Some(oldest));
        }
    }

    /// The outcome of a dispatch, if it is still stored.
    pub fn get(&self, grant: GrantNumber) -> Option<&Outcome> {
        self.by_grant.get(&grant)
    }

    /// Whether the outcome of this grant may have been evicted. Only the highest evicted grant
    /// number is kept, so any grant up to it counts as possibly evicted.
    pub fn may_have_evicted(&self, grant: GrantNumber) -> bool {
        self.forgotten >= Some(grant)
    }
}
