//! What targets said of themselves in their answers: a pure decision.
//!
//! | input | output |
//! |---|---|
//! | an answer that says that its target leaves | that run of the target gets nothing new |
//! | a refusal with a time to come back | it gets nothing until then |
//! | a run of a target, told by name and start | whether it takes work |
//!
//! A target that is started again is another run, about which nothing was said. The
//! directory may list a target as ready long after it said so, or list it again; what the
//! target itself said goes before that.

use crate::{control::directory::TargetEntry, units::TargetName};
use std::collections::HashMap;

/// How long what a target said is kept after it was last listed: directories that are
/// rebuilt may list a target again that was gone for some seconds.
const KEPT_MS: u64 = 60_000;

/// Whether a target takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// It does.
    Open,
    /// Not until this time, in milliseconds since the instance started.
    ClosedUntil(u64),
    /// Not any more.
    Leaves,
}

struct Said {
    leaves: bool,
    closed_until_ms: u64,
    listed_ms: u64,
}

/// See the module.
#[derive(Default)]
pub struct Notices(HashMap<(TargetName, u64), Said>);

fn key(target: &TargetEntry) -> (TargetName, u64) {
    (target.name.clone(), target.started_unix_ms)
}

impl Notices {
    /// Notes that a target leaves; returns whether that is news.
    pub fn leaves(&mut self, target: &TargetEntry, now_ms: u64) -> bool {
        !std::mem::replace(&mut self.said(target, now_ms).leaves, true)
    }

    /// Notes that a target wants nothing for a while. A shorter time does not take back a
    /// longer one.
    pub fn closed(&mut self, target: &TargetEntry, for_ms: u64, now_ms: u64) {
        let said = self.said(target, now_ms);
        said.closed_until_ms = said.closed_until_ms.max(now_ms + for_ms);
    }

    /// Whether a target takes work.
    pub fn of(&self, target: &TargetEntry, now_ms: u64) -> Notice {
        if self.0.is_empty() {
            return Notice::Open;
        }
        match self.0.get(&key(target)) {
            Some(said) if said.leaves => Notice::Leaves,
            Some(said) if now_ms < said.closed_until_ms => {
                Notice::ClosedUntil(said.closed_until_ms)
            }
            _ => Notice::Open,
        }
    }

    /// Drops what was said by targets that have not been listed for long.
    pub fn sweep(&mut self, is_listed: impl Fn(&TargetName, u64) -> bool, now_ms: u64) {
        self.0.retain(|(name, started_unix_ms), said| {
            if is_listed(name, *started_unix_ms) {
                said.listed_ms = now_ms;
            }
            now_ms < said.listed_ms.max(said.closed_until_ms) + KEPT_MS
        });
    }

    fn said(&mut self, target: &TargetEntry, now_ms: u64) -> &mut Said {
        self.0.entry(key(target)).or_insert(Said {
            leaves: false,
            closed_until_ms: 0,
            listed_ms: now_ms,
        })
    }
}
