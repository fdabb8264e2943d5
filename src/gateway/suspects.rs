//! What a gateway knows of requests and parts of prompts that are suspected to crash targets, and
//! what it has seen of them. Pure: no I/O and no clock. The leader decides; see [`crate::control::suspects`].
//!
//! | input | effect |
//! |---|---|
//! | a blocked request, or one with a blocked part | refused, with the time until one may be tried |
//! | the same, but this gateway may try it | sent once for each trial |
//! | a request broke that is suspected, or holds a part suspected, of `REPEATED_CRASHES` | not sent to another target |
//! | a target crashed while it ran a request | the request is reported for [`REPORT_MS`], with its shared parts if it had no event |
//! | a complete response, sent after a part was suspected | reported once for each suspicion or crash, and kind of testimony |

use super::dialect::PromptPart;
use crate::{
    control::suspects::{
        CrashReport, Suspect, SuspectKey, SuspectKind, SuspectReports, TargetRun, Testimony,
        TestimonyReport,
    },
    units::*,
};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

/// Time for which a report is repeated with each renewal: it may be lost, or the leader may change.
pub const REPORT_MS: u64 = 6000;
/// Number of crashes from which on a request that broke is not sent to another target. After a first
/// crash the parts that all requests share are suspected for a moment, too.
const REPEATED_CRASHES: u64 = 2;
/// Maximum number of crash reports that are kept.
const MAX_CRASH_REPORTS: usize = 256;
/// Maximum number of shared parts of a prompt that are reported.
const MAX_REPORTED_PARTS: usize = 64;
/// Shortest time that callers of a blocked part are told to wait.
const MIN_RETRY_AFTER_MS: u64 = 1000;

/// What a request may be suspected by.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SuspectTraits {
    /// Parts of its prompt that other requests may share.
    pub parts: Vec<PartId>,
    /// Digest of the request, if it is needed: see [`CrashSuspects::knows_requests`].
    pub request: Option<PartId>,
}

impl SuspectTraits {
    fn keys(&self, service: &ServiceName) -> impl Iterator<Item = SuspectKey> {
        let parts = self.parts.iter().map(|part| (SuspectKind::Part, *part));
        let request = self.request.map(|digest| (SuspectKind::Request, digest));
        parts.chain(request).map(|(kind, id)| SuspectKey {
            service: service.clone(),
            kind,
            id,
        })
    }
}

/// Whether a request may be sent, as far as crashes are concerned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CrashVerdict {
    /// Neither it nor any of its parts is blocked.
    Allowed,
    /// It is blocked, and this gateway may try it, or one request with a blocked part.
    Trial,
    /// This is blocked; one request may be tried after the time in milliseconds.
    Blocked(SuspectKey, u64),
}

struct KnownSuspect {
    suspect: Suspect,
    /// When this gateway learnt of the present state.
    changed_ms: u64,
    /// When it learnt of the suspicion.
    known_ms: u64,
    has_cleared: bool,
    has_others: bool,
    is_trial_used: bool,
}

/// The suspects that a gateway knows, and its reports.
#[derive(Default)]
pub struct CrashSuspects {
    updated_from: Arc<BTreeMap<SuspectKey, Suspect>>,
    known: BTreeMap<SuspectKey, KnownSuspect>,
    crashes: VecDeque<(u64, CrashReport)>,
    testimonies: VecDeque<(u64, TestimonyReport)>,
}

impl CrashSuspects {
    /// Takes over what the leader suspects.
    pub fn update(&mut self, suspects: &Arc<BTreeMap<SuspectKey, Suspect>>, now_ms: u64) {
        if Arc::ptr_eq(&self.updated_from, suspects) {
            return;
        }
        self.updated_from = Arc::clone(suspects);
        for suspect in suspects.values() {
            match self.known.get_mut(&suspect.key) {
                Some(known) if known.suspect == *suspect => {}
                Some(known) if known.suspect.since_unix_ms == suspect.since_unix_ms => {
                    let is_new_trial =
                        suspect.trial_by.is_some() && known.suspect.trial_by != suspect.trial_by;
                    known.is_trial_used &= !is_new_trial;
                    known.has_others &= suspect.crashes == known.suspect.crashes;
                    known.suspect = suspect.clone();
                    known.changed_ms = now_ms;
                }
                _ => {
                    let known = KnownSuspect {
                        suspect: suspect.clone(),
                        changed_ms: now_ms,
                        known_ms: now_ms,
                        has_cleared: false,
                        has_others: false,
                        is_trial_used: false,
                    };
                    self.known.insert(suspect.key.clone(), known);
                }
            }
        }
        self.known.retain(|key, _| suspects.contains_key(key));
    }

    /// Returns whether requests to the service are suspected, so that their digests are needed.
    pub fn knows_requests(&self, service: &ServiceName) -> bool {
        let mut known = self.known.keys();
        known.any(|key| key.kind == SuspectKind::Request && key.service == *service)
    }

    /// Returns whether a request with these traits may be sent now.
    pub fn check(
        &self,
        gateway: &ProcessName,
        service: &ServiceName,
        traits: &SuspectTraits,
        now_ms: u64,
    ) -> CrashVerdict {
        let blocked = traits.keys(service).filter_map(|key| self.known.get(&key));
        let mut blocked = blocked.filter(|known| known.suspect.is_blocked).peekable();
        let may_try = |known: &&KnownSuspect| {
            known.suspect.trial_by.as_ref() == Some(gateway) && !known.is_trial_used
        };
        if blocked.peek().is_none() {
            return CrashVerdict::Allowed;
        }
        match blocked.find(|known| !may_try(known)) {
            None => CrashVerdict::Trial,
            Some(known) => {
                let ends_ms = known.changed_ms + known.suspect.block_ms;
                let wait_ms = ends_ms.saturating_sub(now_ms).max(MIN_RETRY_AFTER_MS);
                CrashVerdict::Blocked(known.suspect.key.clone(), wait_ms)
            }
        }
    }

    /// Uses up the trials of these traits; returns whether there was one.
    pub fn use_trial(&mut self, service: &ServiceName, traits: &SuspectTraits) -> bool {
        let mut was_unused = false;
        for key in traits.keys(service) {
            if let Some(known) = self.known.get_mut(&key) {
                was_unused |= !std::mem::replace(&mut known.is_trial_used, true);
            }
        }
        was_unused
    }

    /// Returns whether the request, or one of the parts, was present at several crashes.
    pub fn is_suspected(&self, service: &ServiceName, traits: &SuspectTraits) -> bool {
        let own = self.crashes.iter().map(|(_, report)| report);
        let own = own.filter(|report| report.service == *service);
        let own = own.filter(|report| report.request.is_some() && report.request == traits.request);
        let own_runs: BTreeSet<&TargetRun> = own.map(|report| &report.run).collect();
        let mut known = traits.keys(service).filter_map(|key| self.known.get(&key));
        known.any(|known| known.suspect.crashes >= REPEATED_CRASHES)
            || own_runs.len() as u64 >= REPEATED_CRASHES
    }

    /// Records that a target crashed while it ran a request with these traits.
    pub fn record_crash(
        &mut self,
        service: &ServiceName,
        run: TargetRun,
        traits: &SuspectTraits,
        now_ms: u64,
    ) {
        let parts = traits.parts.iter().take(MAX_REPORTED_PARTS);
        let report = CrashReport {
            service: service.clone(),
            run,
            parts: parts.copied().collect(),
            request: traits.request,
        };
        let is_empty = report.parts.is_empty() && report.request.is_none();
        if is_empty || self.crashes.iter().any(|(_, known)| *known == report) {
            return;
        }
        self.crashes.push_back((now_ms, report));
        if self.crashes.len() > MAX_CRASH_REPORTS {
            self.crashes.pop_front();
        }
    }

    /// Records a complete response to a request that was sent at `sent_ms`; returns whether there is
    /// more to report.
    pub fn record_response(
        &mut self,
        service: &ServiceName,
        parts: &[PromptPart],
        request: Option<PartId>,
        sent_ms: u64,
        now_ms: u64,
    ) -> bool {
        let mut is_news = false;
        for (key, known) in &mut self.known {
            if key.service != *service || sent_ms < known.known_ms {
                continue;
            }
            let is_own = match key.kind {
                SuspectKind::Part => parts.iter().any(|part| part.id == key.id),
                SuspectKind::Request if request == Some(key.id) => true,
                // Crashes of a request count whatever else is served.
                SuspectKind::Request => continue,
            };
            let has_told = match is_own {
                true => &mut known.has_cleared,
                false => &mut known.has_others,
            };
            if std::mem::replace(has_told, true) {
                continue;
            }
            let report = TestimonyReport {
                key: key.clone(),
                since_unix_ms: known.suspect.since_unix_ms,
                crashes: known.suspect.crashes,
                testimony: match is_own {
                    true => Testimony::Cleared,
                    false => Testimony::OthersServed,
                },
            };
            self.testimonies.push_back((now_ms, report));
            is_news = true;
        }
        is_news
    }

    /// Returns what is to be reported with the next renewal.
    pub fn reports(&mut self, now_ms: u64) -> SuspectReports {
        let is_due = |at_ms: u64| now_ms < at_ms + REPORT_MS;
        self.crashes.retain(|(at_ms, _)| is_due(*at_ms));
        self.testimonies.retain(|(at_ms, _)| is_due(*at_ms));
        let crashes = self.crashes.iter().map(|(_, report)| report.clone());
        let testimonies = self.testimonies.iter().map(|(_, report)| report.clone());
        let blocks = self.known.values().map(|known| &known.suspect);
        SuspectReports {
            crashes: crashes.collect(),
            testimonies: testimonies.collect(),
            blocks: blocks
                .filter(|suspect| suspect.is_blocked)
                .cloned()
                .collect(),
        }
    }
}
