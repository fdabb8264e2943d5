//! Decides when a rollout changes its stage. Pure: no I/O, and time is an argument.
//!
//! Made for 30 to 40 gateways that send 20 to 2,000 requests a second to one service whose rollout
//! lasts 6 to 60 s.
//!
//! | input | where it comes from |
//! |---|---|
//! | the rollout | the replicated state |
//! | time since the order | time recorded with the state, plus the time since this replica applied it |
//! | counts by route and version | sums over the gateways, see [`super::evidence`] |
//! | ready targets of the new version, and of others | the directory |
//! | longest timeout of the routes | the document |
//! | whether old targets are quiet | the gateways' reports since the cut-over |
//!
//! | stage | when | next stage |
//! |---|---|---|
//! | exposing or cutting over | a test says that the new version is bad | rolled back |
//! | exposing | a step of the schedule is due, or each route has enough answers | exposing, a higher share |
//! | exposing | the cut-over is due, with enough answers and without suspicion | cutting over |
//! | exposing | the last time for a cut-over, with enough answers and a suspicion | rolled back |
//! | exposing | shortly before the deadline | rolled back |
//! | cutting over | old targets are quiet, without suspicion | completed |
//! | cutting over | shortly before the deadline, without suspicion and with a ready target | completed |
//! | cutting over | shortly before the deadline otherwise | rolled back |
//!
//! The tests are sequential likelihood-ratio tests that start over when the evidence for the old
//! version's rate is strong (CUSUM), so that a version that turns bad late is found as soon as one
//! that is bad at once. They are fed once per [`WINDOW_MS`]. Failures in at most two consecutive
//! windows with clear ones around them count once: a crash of a target fails all requests that it
//! holds at that time. A bad version fails in more windows. Answers must stay slow for some time.

use super::{
    OutcomeCounts, PPM_PER_UNIT, Rollout, RolloutStage,
    evidence::{RouteSums, ServiceSums},
};
use std::{
    collections::{BTreeMap, VecDeque},
    fmt,
};

/// Width of the windows in which answers are judged together: the time within which failures after a
/// crash of a target count once.
pub const WINDOW_MS: u64 = 200;
/// Longest run of windows with failures that counts as one failure. Two, as a crash may fall on the
/// border of two windows.
const MAX_BURST_WINDOWS: u64 = 2;
/// Failures that the worst two windows of a longer run count as: a crash may fall into a run of other
/// failures, which counts in full.
const MAX_BURST_FAILURES: u64 = 2;
/// Number of windows of the old version's recent answers: 3 s.
const RECENT_WINDOWS: usize = 15;
/// Logarithm of the likelihood ratio at which a version is bad: a ratio of about 100,000, as each of
/// several routes is tested after each of thousands of answers.
const BAD_SCORE: f64 = 11.5;
/// Logarithm of the ratio at which a version is suspected: it is neither cut over nor completed.
const SUSPICIOUS_SCORE: f64 = 5.0;
/// Logarithm of the ratio at which a cut-over is put off, as long as there is time for it.
const DOUBTFUL_SCORE: f64 = 3.0;
/// Lowest score. Good answers before a failure are credited to this extent, as gateways report
/// failures at once and other answers up to 800 ms later.
const MIN_SCORE: f64 = -4.0;
/// Least assumed rate of failures of a good version, and by how much a bad one exceeds it.
const MIN_FAILURE_RATE: f64 = 0.02;
const BAD_FAILURE_EXCESS: f64 = 0.12;
/// The same for slow answers. The old version's 90th percentile is measured with an error.
const MIN_SLOW_RATE: f64 = 0.05;
const BAD_SLOW_EXCESS: f64 = 0.25;
/// A good version may have the old one's rate times this.
const RATE_TOLERANCE: f64 = 1.5;
/// Weight of the rate over all routes in the rate of one route, in answers.
const PRIOR_ANSWERS: f64 = 20.0;
/// Answers of the old version that its 90th percentile is taken from.
const MIN_LATENCY_ANSWERS: u64 = 20;
/// Time for which answers must stay slow while few targets are exposed, as a noisy neighbour of one
/// target looks the same; and after the cut-over, when all targets serve.
const SLOW_EXPOSED_MS: u64 = 2000;
const SLOW_CUTTING_OVER_MS: u64 = 200;
/// Highest score of slow answers, so that it sinks soon after a slow period that has ended.
const MAX_SLOW_SCORE: f64 = 12.0;
/// Answers in a row that are not slow after which a slow period has ended.
const RECOVERED_ANSWERS: u64 = 12;
/// The same for a route with few requests, if none was slow for this time.
const RECOVERED_FEW_ANSWERS: u64 = 3;
const RECOVERED_MS: u64 = 2500;
/// Time after the last slow answers for which the version is suspected because of them.
const CURRENT_MS: u64 = 1500;
/// Shares of the steps, in millionths.
const STEP_SHARES_PPM: [u64; 3] = [10_000, 20_000, 40_000];
/// Share just before the cut-over, and for how long: a version that turned bad after the last step is
/// then found before it gets all requests.
const LAST_SHARE_PPM: u64 = 150_000;
const LAST_STEP_MS: u64 = 1000;
/// Highest share, for services with few requests.
const MAX_SHARE_PPM: u64 = 500_000;
/// The new version may get this part of the requests until the deadline, and this many more: half of
/// the bounds on a bad version.
const BUDGET_SHARE: f64 = 0.05;
const BUDGET_REQUESTS: f64 = 25.0;
/// Answers of a route with which the share may be raised before its time.
const STEP_ANSWERS: u64 = 20;
/// Answers wanted from each route before the cut-over.
const WANTED_ANSWERS: f64 = 12.0;
/// Answers needed for a cut-over.
const MIN_ANSWERS: u64 = 5;
/// Least time between two changes of the share.
const MIN_STEP_MS: u64 = 500;
/// Time to distribute a stage to all gateways.
const SPREAD_MS: u64 = 1000;
/// The rollout ends this long before its deadline, so that the result is known by then.
const END_MARGIN_MS: u64 = 500;

/// Numbers of ready targets of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadyTargets {
    /// Of the new version.
    pub new: usize,
    /// Of other versions.
    pub old: usize,
    /// Whether the leader knows all targets.
    pub is_complete: bool,
}

/// What a decision is made from.
#[derive(Clone, Copy, Debug)]
pub struct Inputs<'a> {
    /// The rollout.
    pub rollout: &'a Rollout,
    /// Time since the order, in milliseconds.
    pub elapsed_ms: u64,
    /// The counts of all gateways.
    pub sums: &'a ServiceSums,
    /// The targets.
    pub ready: ReadyTargets,
    /// Longest timeout of the routes to the service, in milliseconds; `None` if it is unknown.
    pub longest_timeout_ms: Option<u64>,
    /// Whether all gateways have the stage and no request in progress at an old target.
    pub is_quiet: bool,
}

/// When the stages of a rollout are due, in milliseconds since the order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// The first share.
    pub first_ms: u64,
    /// The cut-over.
    pub cut_over_ms: u64,
    /// The last time for a cut-over.
    pub last_cut_over_ms: u64,
    /// The end.
    pub end_ms: u64,
}

impl Schedule {
    /// The schedule of a rollout.
    pub fn new(duration_ms: u64, longest_timeout_ms: Option<u64>) -> Self {
        let drain_ms = longest_timeout_ms.unwrap_or(u64::MAX).min(duration_ms / 4);
        let margin_ms = END_MARGIN_MS.min(duration_ms / 10);
        let spread_ms = SPREAD_MS.min(duration_ms / 4);
        let end_ms = duration_ms - margin_ms;
        let cut_over_ms = end_ms.saturating_sub(drain_ms + spread_ms);
        Self {
            first_ms: MIN_STEP_MS.min(duration_ms / 20),
            cut_over_ms,
            last_cut_over_ms: cut_over_ms.max(end_ms.saturating_sub(spread_ms + spread_ms / 2)),
            end_ms,
        }
    }

    /// The step of [`STEP_SHARES_PPM`] that is due; `None` before the first.
    fn step(&self, elapsed_ms: u64) -> Option<usize> {
        let since_ms = elapsed_ms.checked_sub(self.first_ms)?;
        let exposure_ms = self.cut_over_ms.saturating_sub(self.first_ms).max(1);
        let steps = STEP_SHARES_PPM.len() as u64;
        Some((since_ms * steps / exposure_ms).min(steps - 1) as usize)
    }
}

/// A sequential test of one rate.
#[derive(Clone, Debug, Default)]
struct Test {
    score: f64,
    /// Consecutive windows with bad answers, which are not yet in the score.
    run_windows: u64,
    run_score: f64,
    run_bad: u64,
    /// Bad answers of the last window, and the most in two consecutive ones.
    last_bad: u64,
    burst_bad: u64,
}

/// The logarithms of the likelihood ratios of a bad and a good answer.
#[derive(Clone, Copy)]
struct Weights {
    bad: f64,
    good: f64,
}

impl Weights {
    fn new(rate: f64, min_rate: f64, excess: f64) -> Self {
        let good_rate = (rate * RATE_TOLERANCE).clamp(min_rate, 0.6);
        let bad_rate = (good_rate + excess.max(good_rate / 2.0)).min(0.95);
        Self {
            bad: (bad_rate / good_rate).ln(),
            good: ((1.0 - bad_rate) / (1.0 - good_rate)).ln(),
        }
    }

    fn of(self, bad: u64, good: u64) -> f64 {
        bad as f64 * self.bad + good as f64 * self.good
    }
}

impl Test {
    fn add(&mut self, bad: u64, good: u64, weights: Weights, has_bursts: bool) {
        let clamp = |score: f64| score.max(MIN_SCORE);
        match (has_bursts, bad) {
            (false, _) => self.score = clamp(self.score + weights.of(bad, good)),
            (true, 0) => {
                self.score = clamp(self.value(weights) + weights.of(0, good));
                *self = Self {
                    score: self.score,
                    ..Self::default()
                };
            }
            (true, _) => {
                self.run_windows += 1;
                self.run_bad += bad;
                self.burst_bad = self.burst_bad.max(self.last_bad + bad);
                self.last_bad = bad;
                self.run_score += weights.of(bad, good);
            }
        }
    }

    /// The score with the current run.
    fn value(&self, weights: Weights) -> f64 {
        let excess = match self.run_windows <= MAX_BURST_WINDOWS {
            true => self.run_bad.saturating_sub(1),
            false => self.burst_bad.saturating_sub(MAX_BURST_FAILURES),
        };
        (self.score + self.run_score - excess as f64 * weights.bad).max(MIN_SCORE)
    }
}

/// The tests of one route, or of all routes together.
#[derive(Clone, Debug, Default)]
struct RouteTests {
    failures: Test,
    slow: Test,
    failure_score: f64,
    /// Since when the score of slow answers makes the version suspected.
    slow_since_ms: Option<u64>,
    /// The last window in which most answers were slow.
    slow_until_ms: u64,
    /// Answers that were not slow since then.
    good_since_slow: u64,
}

/// Why a rollout changes its stage: the counts and the scores that decided it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Grounds {
    /// Answers of the new version, and the failures among them.
    pub new: (u64, u64),
    /// Answers of the old versions, and the failures among them.
    pub old: (u64, u64),
    /// Highest score of a test of failures, and of slow answers.
    pub scores: (f64, f64),
}

impl fmt::Display for Grounds {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let ((new, new_failed), (old, old_failed)) = (self.new, self.old);
        let (failures, slow) = self.scores;
        write!(
            f,
            "new {new_failed} of {new} failed, old {old_failed} of {old} failed, \
             scores {failures:.1} (failures) and {slow:.1} (slow)"
        )
    }
}

/// The decision on one rollout. A new leader begins with a fresh one.
#[derive(Clone, Debug, Default)]
pub struct Decision {
    /// The end of the last window, and the counts at that time.
    window: Option<u64>,
    counted: ServiceSums,
    recent: VecDeque<ServiceSums>,
    routes: BTreeMap<String, RouteTests>,
    total: RouteTests,
    share_changed_ms: u64,
}

impl Decision {
    /// The next stage, if the rollout is to change its stage now.
    pub fn next(&mut self, inputs: &Inputs) -> Option<RolloutStage> {
        let Inputs {
            rollout,
            elapsed_ms,
            sums,
            ready,
            ..
        } = *inputs;
        if rollout.has_ended() {
            return None;
        }
        let is_cutting_over = rollout.stage == RolloutStage::CuttingOver;
        let window = elapsed_ms / WINDOW_MS;
        if self.window.is_none_or(|known| window > known) {
            self.judge(sums, elapsed_ms);
            self.window = Some(window);
        }
        if let Some(reason) = self.verdict(is_cutting_over) {
            return Some(RolloutStage::RolledBack { reason });
        }
        let schedule = Schedule::new(rollout.duration_ms, inputs.longest_timeout_ms);
        let rolled_back = |reason: &str| {
            let reason = reason.into();
            Some(RolloutStage::RolledBack { reason })
        };
        let is_suspected = self.is_suspected(sums, SUSPICIOUS_SCORE);
        match is_cutting_over {
            true if elapsed_ms >= schedule.end_ms => match (ready.new, is_suspected) {
                (0, _) => rolled_back("no target of the new version at the deadline"),
                (_, true) => rolled_back("the new version is still suspected at the deadline"),
                (_, false) => Some(RolloutStage::Completed),
            },
            true => {
                let spread_ms = SPREAD_MS.min(rollout.duration_ms / 4);
                let is_spread = elapsed_ms >= rollout.stage_at_ms + spread_ms;
                let is_due = inputs.is_quiet && is_spread && !is_suspected && ready.new > 0;
                is_due.then_some(RolloutStage::Completed)
            }
            false if elapsed_ms >= schedule.end_ms => match (ready.new, is_suspected) {
                (0, _) => rolled_back("no target of the new version"),
                (_, true) => rolled_back("the new version is still suspected at the deadline"),
                (_, false) => rolled_back("too few answers for a decision"),
            },
            false if ready.new == 0 => None,
            false if ready.old == 0 && ready.is_complete && sums.total.old.sent == 0 => {
                // Nothing to compare with, and no other target for the requests.
                (elapsed_ms >= schedule.first_ms).then_some(RolloutStage::CuttingOver)
            }
            false if elapsed_ms >= schedule.cut_over_ms => {
                let is_last = elapsed_ms >= schedule.last_cut_over_ms;
                let has_answers = has_answers(&sums.total);
                let has_targets = ready.new * 2 >= ready.old || is_last;
                let is_doubtful = !is_last && self.is_suspected(sums, DOUBTFUL_SCORE);
                match (has_answers, is_suspected || is_doubtful) {
                    (true, true) if is_last => {
                        rolled_back("the new version is suspected at the last time to cut over")
                    }
                    (true, false) if has_targets => Some(RolloutStage::CuttingOver),
                    _ => self.exposure(inputs, &schedule),
                }
            }
            false => self.exposure(inputs, &schedule),
        }
    }

    /// The counts and scores at present.
    pub fn grounds(&self, sums: &ServiceSums) -> Grounds {
        let of = |counts: &OutcomeCounts| (counts.answered(), counts.failed);
        let tests = || std::iter::once(&self.total).chain(self.routes.values());
        let failures = tests().map(|tests| tests.failure_score);
        let slow = tests().map(|tests| tests.slow.score);
        Grounds {
            new: of(&sums.total.new),
            old: of(&sums.total.old),
            scores: (
                failures.fold(MIN_SCORE, f64::max),
                slow.fold(MIN_SCORE, f64::max),
            ),
        }
    }

    /// Feeds the tests with the answers since the last window.
    fn judge(&mut self, sums: &ServiceSums, elapsed_ms: u64) {
        let nothing = RouteSums::default();
        let recent = self.recent.front().cloned().unwrap_or_default();
        self.total.judge(
            &sums.total,
            &self.counted.total,
            &recent.total,
            None,
            elapsed_ms,
        );
        for (route, of_route) in &sums.routes {
            let before = self.counted.routes.get(route).unwrap_or(&nothing);
            let recent = recent.routes.get(route).unwrap_or(&nothing);
            let tests = self.routes.entry(route.clone()).or_default();
            tests.judge(of_route, before, recent, Some(&sums.total), elapsed_ms);
        }
        self.recent.push_back(sums.clone());
        if self.recent.len() > RECENT_WINDOWS {
            self.recent.pop_front();
        }
        self.counted = sums.clone();
    }

    /// Why the version is bad, if it is.
    fn verdict(&self, is_cutting_over: bool) -> Option<String> {
        let needed_ms = match is_cutting_over {
            true => SLOW_CUTTING_OVER_MS,
            false => SLOW_EXPOSED_MS,
        };
        let judge = |place: &str, tests: &RouteTests| {
            let slow_ms = tests
                .slow_since_ms
                .map(|since_ms| tests.slow_until_ms.saturating_sub(since_ms));
            match slow_ms {
                _ if tests.failure_score >= BAD_SCORE => Some(format!("failures on {place}")),
                Some(slow_ms) if slow_ms >= needed_ms && tests.slow.score >= BAD_SCORE => {
                    Some(format!("slow answers on {place}"))
                }
                _ => None,
            }
        };
        judge("all routes", &self.total).or_else(|| {
            let mut routes = self.routes.iter();
            routes.find_map(|(route, tests)| judge(&format!("route {route}"), tests))
        })
    }

    /// Whether a test has at least this score, or an earlier term leaves the version suspected.
    fn is_suspected(&self, sums: &ServiceSums, score: f64) -> bool {
        let now_ms = self.window.unwrap_or(0) * WINDOW_MS;
        let mut tests = std::iter::once(&self.total).chain(self.routes.values());
        let is_suspected = tests.any(|tests| {
            let is_slow = tests.slow.score >= score && now_ms <= tests.slow_until_ms + CURRENT_MS;
            tests.failure_score >= score || is_slow
        });
        is_suspected || is_suspected_before_term(&sums.total)
    }

    /// A higher share, if one is due.
    fn exposure(&mut self, inputs: &Inputs, schedule: &Schedule) -> Option<RolloutStage> {
        let (rollout, elapsed_ms) = (inputs.rollout, inputs.elapsed_ms);
        let RolloutStage::Exposing { share_ppm } = rollout.stage else {
            return None;
        };
        let mut step = schedule.step(elapsed_ms)?;
        let is_first = share_ppm == 0;
        if !is_first && elapsed_ms < self.share_changed_ms.max(rollout.stage_at_ms) + MIN_STEP_MS {
            return None;
        }
        let mut routes = inputs.sums.routes.values();
        let is_answered = routes.all(|route| route.new.answered() >= STEP_ANSWERS);
        if is_answered && !inputs.sums.routes.is_empty() {
            let reached = STEP_SHARES_PPM
                .iter()
                .take_while(|known| **known <= share_ppm);
            step = step.max(reached.count().min(STEP_SHARES_PPM.len() - 1));
        }
        let exposure_ms = schedule.cut_over_ms.saturating_sub(schedule.first_ms);
        let last_step_ms = LAST_STEP_MS.min(exposure_ms / 4);
        let is_last_step = elapsed_ms + last_step_ms >= schedule.cut_over_ms;
        let step_ppm = match is_last_step && !self.is_suspected(inputs.sums, SUSPICIOUS_SCORE) {
            true => LAST_SHARE_PPM,
            false => STEP_SHARES_PPM[step],
        };
        let wanted_ppm = share_for(inputs, schedule, step_ppm);
        let is_raised = wanted_ppm * 2 >= share_ppm * 3 && wanted_ppm > share_ppm;
        let is_lowered = wanted_ppm * 3 <= share_ppm * 2 && wanted_ppm < share_ppm;
        (is_raised || is_lowered).then(|| {
            self.share_changed_ms = elapsed_ms;
            RolloutStage::Exposing {
                share_ppm: wanted_ppm,
            }
        })
    }
}

/// Whether the new version has answered enough, and not much less of what was sent to it than the old
/// one: answers that are missing may be slow ones.
fn has_answers(total: &RouteSums) -> bool {
    let ratio = |counts: &OutcomeCounts| counts.answered() as f64 / counts.sent.max(1) as f64;
    total.new.answered() >= MIN_ANSWERS && ratio(&total.new) >= ratio(&total.old) / 2.0
}

/// Whether the failures of an earlier term speak against the version and fewer answers of this term
/// than wanted speak for it. They may come from a crash, so they alone do not make it bad.
fn is_suspected_before_term(total: &RouteSums) -> bool {
    let before = &total.new_before_term;
    let weights = Weights::new(
        rate_of(&total.old, 0.0),
        MIN_FAILURE_RATE,
        BAD_FAILURE_EXCESS,
    );
    let since = total.new.answered().saturating_sub(before.answered());
    weights.of(before.failed, before.succeeded) >= BAD_SCORE && (since as f64) < WANTED_ANSWERS
}

/// The share that gets each route its answers by the cut-over, at least that of the step, within the
/// budget.
fn share_for(inputs: &Inputs, schedule: &Schedule, step_ppm: u64) -> u64 {
    let (sums, elapsed_ms) = (inputs.sums, inputs.elapsed_ms);
    let left_ms = schedule.last_cut_over_ms.saturating_sub(elapsed_ms).max(1) as f64;
    let per_ms = |sums: &RouteSums| {
        sums.new.sent.saturating_add(sums.old.sent) as f64 / elapsed_ms.max(1) as f64
    };
    let rate = per_ms(&sums.total);
    if rate <= 0.0 {
        return step_ppm;
    }
    let unit = PPM_PER_UNIT as f64;
    let missing = sums.routes.values().map(|route| {
        let missing = WANTED_ANSWERS - route.new.answered() as f64;
        missing / (per_ms(route) * left_ms).max(1.0)
    });
    let missing = missing.fold(0.0, f64::max) * unit;
    let budget = BUDGET_SHARE * rate * inputs.rollout.duration_ms as f64 + BUDGET_REQUESTS;
    let budget = (budget - sums.total.new.sent as f64).max(0.0) / (rate * left_ms) * unit;
    let share = (step_ppm as f64).max(missing).min(budget);
    (share as u64).min(MAX_SHARE_PPM)
}

fn rate_of(counts: &OutcomeCounts, prior: f64) -> f64 {
    (counts.failed as f64 + PRIOR_ANSWERS * prior) / (counts.answered() as f64 + PRIOR_ANSWERS)
}

/// What was counted after `before`.
fn since(counts: &OutcomeCounts, before: &OutcomeCounts) -> OutcomeCounts {
    let latencies = counts.latency_counts.iter().enumerate();
    OutcomeCounts {
        sent: counts.sent.saturating_sub(before.sent),
        succeeded: counts.succeeded.saturating_sub(before.succeeded),
        failed: counts.failed.saturating_sub(before.failed),
        latency_counts: latencies
            .map(|(position, count)| {
                count.saturating_sub(before.latency_counts.get(position).copied().unwrap_or(0))
            })
            .collect(),
    }
}

/// The first position of latency counts that is slow: twice the 90th percentile, which is
/// interpolated within its position. Two positions are a factor of two.
fn slow_position(old: &OutcomeCounts) -> Option<usize> {
    let total: u64 = old.latency_counts.iter().sum();
    if total < MIN_LATENCY_ANSWERS {
        return None;
    }
    let wanted = total as f64 * 0.9;
    let mut seen = 0.0;
    for (position, count) in old.latency_counts.iter().enumerate() {
        let count = *count as f64;
        if count > 0.0 && seen + count >= wanted {
            let part = (wanted - seen) / count;
            return Some((position as f64 + part).round() as usize + 2);
        }
        seen += count;
    }
    None
}

fn slow_and_all(counts: &OutcomeCounts, position: usize) -> (u64, u64) {
    let all: u64 = counts.latency_counts.iter().sum();
    let slow = counts.latency_counts.iter().skip(position).sum();
    (slow, all)
}

impl RouteTests {
    /// Feeds the tests with what was counted after `before`. `recent` are the counts some seconds
    /// ago, and `total` those over all routes, if this is one of them.
    fn judge(
        &mut self,
        sums: &RouteSums,
        before: &RouteSums,
        recent: &RouteSums,
        total: Option<&RouteSums>,
        elapsed_ms: u64,
    ) {
        // What was counted before this term came at unknown times.
        let own = |sums: &RouteSums| since(&sums.new, &sums.new_before_term);
        let new = since(&own(sums), &own(before));
        let old_recently = since(&sums.old, &recent.old);
        let prior = total.map_or(0.0, |total| rate_of(&total.old, 0.0));
        let rate = rate_of(&sums.old, prior);
        let rate = rate.max(rate_of(&old_recently, rate));
        let weights = Weights::new(rate, MIN_FAILURE_RATE, BAD_FAILURE_EXCESS);
        self.failures.add(new.failed, new.succeeded, weights, true);
        self.failure_score = self.failures.value(weights);
        // The period in which the old version was slower counts.
        let position = slow_position(&sums.old).max(slow_position(&old_recently));
        if let Some(position) = position {
            let (old_slow, old_all) = slow_and_all(&sums.old, position);
            let (recent_slow, recent_all) = slow_and_all(&old_recently, position);
            let rate = old_slow as f64 / old_all.max(1) as f64;
            let recent_rate =
                (recent_slow as f64 + PRIOR_ANSWERS * rate) / (recent_all as f64 + PRIOR_ANSWERS);
            let weights = Weights::new(rate.max(recent_rate), MIN_SLOW_RATE, BAD_SLOW_EXCESS);
            let (slow, all) = slow_and_all(&new, position);
            self.slow.add(slow, all - slow, weights, false);
            if weights.of(slow, all - slow) > 0.0 {
                (self.slow_until_ms, self.good_since_slow) = (elapsed_ms, 0);
            } else {
                self.good_since_slow += all - slow;
            }
            let good_ms = elapsed_ms.saturating_sub(self.slow_until_ms);
            let has_recovered = self.good_since_slow >= RECOVERED_ANSWERS
                || self.good_since_slow >= RECOVERED_FEW_ANSWERS && good_ms >= RECOVERED_MS;
            if has_recovered {
                self.slow.score = self.slow.score.min(0.0);
            }
        }
        self.slow.score = self.slow.score.min(MAX_SLOW_SCORE);
        self.slow_since_ms = match self.slow.score >= SUSPICIOUS_SCORE {
            true => Some(self.slow_since_ms.unwrap_or(elapsed_ms)),
            false => None,
        };
    }
}
