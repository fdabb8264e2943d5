//! The outcomes of the latest dispatches, kept for resends within bounds.

use crate::{control::command::Outcome, derives::record, units::GrantNumber};
use std::collections::{BTreeMap, VecDeque};

/// How many outcomes are kept.
const KEPT_OUTCOMES: usize = 4096;
/// How many bytes of answers are kept.
const KEPT_ANSWER_BYTES: usize = 8 * 1024 * 1024;

record! {
    /// What became of the latest dispatches; those that ended first go first.
    #[derive(Default)]
    pub struct Outcomes {
        by_grant: BTreeMap<GrantNumber, Outcome>,
        ended: VecDeque<GrantNumber>,
        answer_bytes: usize,
        forgotten: Option<GrantNumber>,
    }
}

impl Outcomes {
    /// Keeps an outcome, and forgets the oldest beyond the bounds.
    pub fn keep(&mut self, grant: GrantNumber, outcome: Outcome) {
        self.answer_bytes += outcome.answer_bytes();
        self.by_grant.insert(grant, outcome);
        self.ended.push_back(grant);
        while self.ended.len() > KEPT_OUTCOMES || self.answer_bytes > KEPT_ANSWER_BYTES {
            let Some(oldest) = self.ended.pop_front() else {
                return;
            };
            let dropped = self.by_grant.remove(&oldest);
            self.answer_bytes -= dropped.map_or(0, |outcome| outcome.answer_bytes());
            self.forgotten = self.forgotten.max(Some(oldest));
        }
    }

    /// The outcome of a dispatch, if it is kept.
    pub fn get(&self, grant: GrantNumber) -> Option<&Outcome> {
        self.by_grant.get(&grant)
    }

    /// Whether an outcome of this grant may have been forgotten. Grants up to the
    /// highest one forgotten cannot be told from it.
    pub fn may_have_forgotten(&self, grant: GrantNumber) -> bool {
        self.forgotten >= Some(grant)
    }
}
