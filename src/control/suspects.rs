//! Requests, and parts of prompts, that are suspected to crash targets; the leader's soft state. Pure:
//! no I/O and no clock.
//!
//! Several requests run at a target when it crashes, and most of them are innocent. A request, which
//! its caller and gateways may send again, or a part, which other requests share, is blocked when it
//! was present at several crashes and no evidence speaks for it:
//!
//! | input | effect |
//! |---|---|
//! | targets crashed twice while they ran the request | the request is suspected; each run of a target counts once. One at which a blocked request was present, too, does not count beside others |
//! | a target crashed before the first event of a request with the part | the part is suspected; a further crash counts if it comes [`CRASH_INTERVAL_MS`] later, and requests without the part were served in between |
//! | a complete response to the request, or to one with the part, sent after it was suspected | it is cleared |
//! | a complete response to a request of the service without it, sent after that | the next crash may count |
//! | [`BLOCKING_CRASHES`] counted crashes, for a part under at least three requests | it is blocked for [`FIRST_BLOCK_MS`] or [`FIRST_REQUEST_BLOCK_MS`], and [`BLOCK_GROWTH`] times longer after each crash that comes [`BLOCK_NOTICE_MS`] later |
//! | the block has lasted that long | one gateway may try one request; another gateway after [`TRIAL_MS`] without result; any crash in a trial counts |
//! | no crash for [`SUSPICION_TTL_MS`] | what is not blocked is no longer suspected |
//! | a gateway reports a block that a new leader does not know | the new leader takes it over |
//!
//! For parts, crashes within [`CRASH_INTERVAL_MS`] count once: an outage that ends many targets at the
//! same time says nothing about what they ran. Neither does one in which nothing else is served. A
//! request is at several targets in turn only if it is sent again after each crash, which few are.

use super::table::{Changes, Position, Table};
use crate::{derives::record, units::*};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Number of counted crashes after which a part is blocked.
pub const BLOCKING_CRASHES: u64 = 3;
/// Number of counted crashes from which on gateways are told of a request.
const PUBLISHED_REQUEST_CRASHES: u64 = 2;
/// Number of requests under which crashes must have come before a part of theirs is blocked.
const MIN_REQUESTS: usize = 3;
/// Maximum number of crashes of a request that do not count as a blocked request was present, too.
const MAX_EXPLAINED_CRASHES: u64 = 1;
/// Minimum time between two crashes that count separately.
pub const CRASH_INTERVAL_MS: u64 = 200;
/// Duration of the first block of a part.
pub const FIRST_BLOCK_MS: u64 = 30_000;
/// Duration of the first block of a request: fewer callers wait for its end than for that of a part.
pub const FIRST_REQUEST_BLOCK_MS: u64 = 60_000;
/// Time after the beginning of a block in which crashes don't lengthen it: requests that were sent
/// before are under way.
pub const BLOCK_NOTICE_MS: u64 = 5000;
/// Factor by which a block grows with each later crash.
pub const BLOCK_GROWTH: u64 = 4;
/// Maximum duration of a block until one request is tried.
pub const MAX_BLOCK_MS: u64 = 3_600_000;
/// Time that a gateway has for a trial.
pub const TRIAL_MS: u64 = 20_000;
/// Time after its last crash for which a part stays suspected.
pub const SUSPICION_TTL_MS: u64 = 600_000;
/// Time for which the crashes of a cleared part are remembered; longer than gateways repeat reports.
const CLEARED_TTL_MS: u64 = 30_000;
/// Maximum number of reported crashes that are kept for a part or request, to recognise repeated
/// reports.
const MAX_RUNS: usize = 64;
/// Maximum number of suspected parts and requests. Beyond it, those whose last crash is longest ago are dropped.
const MAX_SUSPECTS: usize = 2048;

record! {
    /// What may be suspected.
    #[derive(Copy, Default, PartialOrd, Ord, derive_more::Display)]
    pub enum SuspectKind {
        /// A part of prompts.
        #[default]
        #[display("part")]
        Part,
        /// A request, with all its repeats.
        #[display("request")]
        Request,
    }

    /// A part of the prompts of a service, or a request to it.
    #[derive(PartialOrd, Ord)]
    pub struct SuspectKey {
        /// The service.
        pub service: ServiceName,
        /// What the id belongs to.
        #[serde(default)]
        pub kind: SuspectKind,
        /// Id of the part, or digest of the request.
        #[serde(rename = "part")]
        pub id: PartId,
    }

    /// One run of a target.
    #[derive(PartialOrd, Ord)]
    pub struct TargetRun {
        /// The target.
        pub target: TargetName,
        /// When the run started.
        pub started_unix_ms: u64,
    }

    /// A target crashed while it ran a request.
    pub struct CrashReport {
        /// The service.
        pub service: ServiceName,
        /// The run that ended.
        pub run: TargetRun,
        /// Parts of the request's prompt that other requests may share, if it crashed before the
        /// first event.
        pub parts: Vec<PartId>,
        /// Digest of the request; `None` if the gateway does not state it.
        #[serde(default)]
        pub request: Option<PartId>,
    }

    /// Evidence for what is suspected.
    #[derive(Copy)]
    pub enum Testimony {
        /// A response to the request, or to one with the part, was complete.
        Cleared,
        /// A response to a request of the service without the part was complete.
        OthersServed,
    }

    /// A testimony of a gateway.
    pub struct TestimonyReport {
        /// The part or request.
        pub key: SuspectKey,
        /// See [`Suspect::since_unix_ms`].
        pub since_unix_ms: u64,
        /// See [`Suspect::crashes`].
        pub crashes: u64,
        /// What the gateway has seen.
        pub testimony: Testimony,
    }

    /// A suspected part or request, as gateways know it.
    pub struct Suspect {
        /// The part or request.
        pub key: SuspectKey,
        /// When it was first suspected, by the leader's clock; identifies the suspicion.
        pub since_unix_ms: u64,
        /// Number of crashes that counted.
        pub crashes: u64,
        /// Whether the request, or requests with the part, are refused.
        pub is_blocked: bool,
        /// Duration of the present block until one request is tried.
        pub block_ms: u64,
        /// The gateway that may try one request.
        pub trial_by: Option<ProcessName>,
    }

    /// What a gateway reports with its renewals.
    #[derive(Default)]
    pub struct SuspectReports {
        /// Crashes that it has seen recently.
        pub crashes: Vec<CrashReport>,
        /// Evidence for what is suspected.
        pub testimonies: Vec<TestimonyReport>,
        /// The blocks that it knows, for a new leader.
        pub blocks: Vec<Suspect>,
    }
}

/// A reader's position in the table.
pub type SuspectsPosition = Position;
/// The changes of the table since a reader's position.
pub type SuspectChanges = Changes<SuspectKey, Suspect>;

/// What is known of a part or request. It outlives the suspicion, as gateways repeat their reports.
#[derive(Default)]
struct Evidence {
    /// Runs whose crashes were reported.
    runs: VecDeque<TargetRun>,
    /// Number of the oldest of these of which a request was cleared.
    cleared_runs: usize,
    counted_ms: u64,
    /// The requests under which the crashes came, as far as it matters whether there are several.
    requests: Vec<Option<PartId>>,
    /// Whether requests without the part were served since the last crash that counted.
    others_served: bool,
    /// Since when the present block or trial lasts.
    since_ms: u64,
    /// Number of trials of the present block, which selects the gateway.
    trials: u64,
}

/// What is suspected during one leadership.
#[derive(Default)]
pub struct Suspects {
    table: Table<SuspectKey, Suspect>,
    evidence: BTreeMap<SuspectKey, Evidence>,
}

impl Suspects {
    /// Processes a gateway's reports; returns whether what is published changed. Blocks are taken
    /// over only while the table is not complete.
    pub fn report(
        &mut self,
        reports: &SuspectReports,
        is_complete: bool,
        now_ms: u64,
        now_unix_ms: u64,
    ) -> bool {
        let mut is_changed = false;
        for block in &reports.blocks {
            is_changed |= !is_complete && self.take_over(block, now_ms);
        }
        for testimony in &reports.testimonies {
            is_changed |= self.testify(testimony);
        }
        for crash in &reports.crashes {
            let parts = crash.parts.iter().map(|part| (SuspectKind::Part, *part));
            let request = crash.request.map(|digest| (SuspectKind::Request, digest));
            for (kind, id) in request.into_iter().chain(parts) {
                let key = SuspectKey {
                    service: crash.service.clone(),
                    kind,
                    id,
                };
                is_changed |= self.accuse(&key, crash, now_ms, now_unix_ms);
            }
        }
        is_changed
    }

    /// Records a crash at which the part or request was present.
    fn accuse(
        &mut self,
        key: &SuspectKey,
        crash: &CrashReport,
        now_ms: u64,
        now_unix_ms: u64,
    ) -> bool {
        if !self.evidence.contains_key(key) {
            self.make_room();
        }
        let evidence = self.evidence.entry(key.clone()).or_default();
        if evidence.runs.contains(&crash.run) {
            return false;
        }
        evidence.runs.push_back(crash.run.clone());
        if evidence.runs.len() > MAX_RUNS {
            evidence.runs.pop_front();
            evidence.cleared_runs = evidence.cleared_runs.saturating_sub(1);
        }
        let crashes = match key.kind {
            SuspectKind::Part => self.count_part_crash(key, crash, now_ms),
            SuspectKind::Request => self.count_request_crash(key, now_ms),
        };
        let Some(crashes) = crashes else {
            return false;
        };
        let Some(suspect) = self.table.get(key) else {
            let suspect = Suspect {
                key: key.clone(),
                since_unix_ms: now_unix_ms,
                crashes,
                is_blocked: false,
                block_ms: 0,
                trial_by: None,
            };
            return self.table.put(key.clone(), suspect, now_ms);
        };
        let is_tried = suspect.trial_by.is_some();
        let evidence = &self.evidence[key];
        let is_expected = now_ms < evidence.since_ms + BLOCK_NOTICE_MS;
        let has_requests =
            key.kind == SuspectKind::Request || evidence.requests.len() >= MIN_REQUESTS;
        self.table.update(key, |suspect| suspect.crashes = crashes);
        match self.table.get(key) {
            Some(suspect)
                if !suspect.is_blocked && (crashes < BLOCKING_CRASHES || !has_requests) => {}
            // A request that was sent before gateways knew of the block.
            Some(suspect) if suspect.is_blocked && !is_tried && is_expected => {}
            _ => self.block(key, now_ms),
        }
        true
    }

    /// Counts a crash before the first event of a request with a part; `None` if it does not count.
    fn count_part_crash(
        &mut self,
        key: &SuspectKey,
        crash: &CrashReport,
        now_ms: u64,
    ) -> Option<u64> {
        let evidence = self.evidence.get_mut(key)?;
        // A gateway that states no digest may have reported another request each time.
        if evidence.requests.len() < MIN_REQUESTS
            && (crash.request.is_none() || !evidence.requests.contains(&crash.request))
        {
            evidence.requests.push(crash.request);
        }
        let crashes = match self.table.get(key) {
            None => 1,
            Some(suspect)
                if suspect.trial_by.is_some()
                    || evidence.others_served
                        && now_ms >= evidence.counted_ms + CRASH_INTERVAL_MS =>
            {
                suspect.crashes + 1
            }
            Some(_) => return None,
        };
        evidence.counted_ms = now_ms;
        evidence.others_served = false;
        Some(crashes)
    }

    /// Counts a crash of a request; `None` while it is not published. Most requests that run at a
    /// target as it crashes are never sent again.
    fn count_request_crash(&mut self, key: &SuspectKey, now_ms: u64) -> Option<u64> {
        self.evidence.get_mut(key)?.counted_ms = now_ms;
        match self.table.get(key) {
            Some(suspect) if suspect.is_blocked => Some(suspect.crashes + 1),
            known => {
                let is_known = known.is_some();
                let crashes = self.count_unexplained(key);
                (is_known || crashes >= PUBLISHED_REQUEST_CRASHES).then_some(crashes)
            }
        }
    }

    /// Returns the number of crashes of a request, less those that a blocked one explains, but not
    /// more than [`MAX_EXPLAINED_CRASHES`]. If blocked ones were present at each, it cannot be told
    /// from them, and all count.
    fn count_unexplained(&self, key: &SuspectKey) -> u64 {
        let Some(evidence) = self.evidence.get(key) else {
            return 0;
        };
        let is_blocked_other = |other: &&Suspect| {
            other.is_blocked
                && other.key.kind == SuspectKind::Request
                && other.key.service == key.service
                && other.key != *key
        };
        let blocked = self.table.values().filter(is_blocked_other);
        let explained: BTreeSet<&TargetRun> = blocked
            .filter_map(|other| self.evidence.get(&other.key))
            .flat_map(|other| &other.runs)
            .collect();
        let runs = evidence.runs.iter().skip(evidence.cleared_runs);
        let crashes = runs.len() as u64;
        match runs.filter(|run| explained.contains(run)).count() as u64 {
            count if count == crashes => crashes,
            count => crashes - count.min(MAX_EXPLAINED_CRASHES),
        }
    }

    fn testify(&mut self, report: &TestimonyReport) -> bool {
        let known = self.table.get(&report.key);
        let Some(known) = known.filter(|known| known.since_unix_ms == report.since_unix_ms) else {
            return false;
        };
        match report.testimony {
            Testimony::Cleared => {
                tracing::info!(
                    service = %report.key.service, kind = %report.key.kind, part = %report.key.id,
                    crashes = known.crashes, was_blocked = known.is_blocked, "control: suspect cleared"
                );
                if let Some(evidence) = self.evidence.get_mut(&report.key) {
                    evidence.cleared_runs = evidence.runs.len();
                }
                self.table.remove(&report.key)
            }
            Testimony::OthersServed => {
                let crashes = known.crashes;
                if let Some(evidence) = self.evidence.get_mut(&report.key) {
                    evidence.others_served |= report.crashes == crashes;
                }
                false
            }
        }
    }

    /// Begins a block, or a longer one.
    fn block(&mut self, key: &SuspectKey, now_ms: u64) {
        if let Some(evidence) = self.evidence.get_mut(key) {
            evidence.since_ms = now_ms;
            evidence.trials = 0;
        }
        self.table.update(key, |suspect| {
            suspect.block_ms = match suspect.is_blocked {
                true => (suspect.block_ms * BLOCK_GROWTH).min(MAX_BLOCK_MS),
                false if key.kind == SuspectKind::Request => FIRST_REQUEST_BLOCK_MS,
                false => FIRST_BLOCK_MS,
            };
            suspect.is_blocked = true;
            suspect.trial_by = None;
            tracing::warn!(
                service = %key.service, kind = %key.kind, part = %key.id, crashes = suspect.crashes,
                block_ms = suspect.block_ms, "control: suspect blocked"
            );
        });
    }

    /// Takes over a block from an earlier leader.
    fn take_over(&mut self, block: &Suspect, now_ms: u64) -> bool {
        let known = self.table.get(&block.key);
        if !block.is_blocked || known.is_some_and(|known| known.is_blocked) {
            return false;
        }
        let evidence = self.evidence.entry(block.key.clone()).or_default();
        evidence.counted_ms = now_ms;
        evidence.others_served = true;
        evidence.since_ms = now_ms;
        let taken_over = Suspect {
            trial_by: None,
            ..block.clone()
        };
        self.table.put(block.key.clone(), taken_over, now_ms)
    }

    /// Number of blocked parts and requests.
    pub fn blocked(&self) -> usize {
        let blocked = self.table.values().filter(|suspect| suspect.is_blocked);
        blocked.count()
    }

    /// Grants trials to one of the gateways and forgets old suspicions; returns whether what is
    /// published changed.
    pub fn tick(&mut self, gateways: impl FnOnce() -> Vec<ProcessName>, now_ms: u64) -> bool {
        let mut due = Vec::new();
        let mut expired = Vec::new();
        for (key, evidence) in &self.evidence {
            match self.table.get(key) {
                Some(suspect) if suspect.is_blocked => {
                    let wait_ms = match suspect.trial_by {
                        Some(_) => TRIAL_MS,
                        None => suspect.block_ms,
                    };
                    if now_ms >= evidence.since_ms + wait_ms {
                        due.push(key.clone());
                    }
                }
                Some(_) if now_ms >= evidence.counted_ms + SUSPICION_TTL_MS => {
                    expired.push(key.clone());
                }
                None if key.kind == SuspectKind::Request
                    && evidence.cleared_runs < evidence.runs.len()
                    && now_ms < evidence.counted_ms + SUSPICION_TTL_MS => {}
                None if now_ms >= evidence.counted_ms + CLEARED_TTL_MS => {
                    expired.push(key.clone());
                }
                _ => {}
            }
        }
        let mut is_changed = false;
        for key in expired {
            is_changed |= self.remove(&key);
        }
        if due.is_empty() {
            return is_changed;
        }
        let gateways = gateways();
        for key in due {
            let Some(evidence) = self.evidence.get_mut(&key).filter(|_| !gateways.is_empty())
            else {
                continue;
            };
            let position = key.id.0.wrapping_add(evidence.trials) % gateways.len() as u64;
            evidence.trials += 1;
            evidence.since_ms = now_ms;
            let gateway = &gateways[position as usize];
            tracing::info!(
                service = %key.service, kind = %key.kind, part = %key.id, %gateway,
                "control: gateway may try a blocked suspect"
            );
            self.table
                .update(&key, |suspect| suspect.trial_by = Some(gateway.clone()));
            is_changed = true;
        }
        is_changed
    }

    /// The changes since a reader's position; `None` if there are none.
    pub fn changes(
        &self,
        seen: Option<&SuspectsPosition>,
        epoch: (FencingNumber, bool),
    ) -> Option<SuspectChanges> {
        self.table.changes(seen, epoch, |_| true)
    }

    fn remove(&mut self, key: &SuspectKey) -> bool {
        self.evidence.remove(key);
        self.table.remove(key)
    }

    /// Drops the suspicions whose last crash is longest ago while the table is full; blocks last.
    fn make_room(&mut self) {
        while self.evidence.len() >= MAX_SUSPECTS {
            let age = |key: &SuspectKey| {
                let is_blocked = self.table.get(key).is_some_and(|known| known.is_blocked);
                (is_blocked, self.evidence[key].counted_ms)
            };
            let Some(oldest) = self.evidence.keys().min_by_key(|key| age(key)).cloned() else {
                return;
            };
            self.remove(&oldest);
        }
    }
}
