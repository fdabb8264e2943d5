//! Requests and parts of prompts that crash targets: the leader's decision and what gateways report,
//! with a simulated clock, simulated targets and messages that take time.

use guavacove::{
    control::suspects::*,
    gateway::{
        PromptPart,
        suspects::{CrashSuspects, CrashVerdict, SuspectTraits},
    },
    units::*,
};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use std::{collections::BTreeMap, sync::Arc};

const STEP_MS: u64 = 10;
const TARGETS: usize = 18;
const FIRST_PART: PartId = PartId(1);
const CRASHING_PART: PartId = PartId(0xbad);
/// Time from the arrival at a target until it crashes, or the first event of a sound request.
const CRASH_AFTER_MS: u64 = 60;
const FIRST_EVENT_AFTER_MS: u64 = 70;
const RUN_MS: u64 = 400;
const DOWN_MS: u64 = 3200;
/// Time after the fifth crash in which gateways must learn of it, and what may arrive after that.
const NOTICE_MS: u64 = 3000;
const MAX_LATE: usize = 3;
/// Time until a new leader's table is complete.
const REBUILD_MS: u64 = 2500;

fn service() -> ServiceName {
    "model".into()
}

/// Conditions of a simulated day.
#[derive(Clone, Debug)]
struct Day {
    seed: u64,
    gateways: usize,
    sound_per_s: u64,
    crashing_per_s: f64,
    /// Number of subjects; each sound request holds the first part and one of these.
    subjects: u64,
    /// Times at which another leader begins.
    leaders_ms: Vec<u64>,
    /// Times at which targets end by themselves, and how many.
    outages: Vec<(u64, usize)>,
    /// Whether every request crashes its target until this time.
    all_crash_until_ms: u64,
    /// Number of requests that crash targets and are sent again and again; 0 if each is a new one.
    repeated: u64,
    /// How often a sound request is sent again when its target crashes.
    sound_retries: u64,
    /// Number of targets.
    targets: usize,
    for_ms: u64,
}

impl Default for Day {
    fn default() -> Self {
        Self {
            seed: 1,
            gateways: 7,
            sound_per_s: 100,
            crashing_per_s: 2.0,
            subjects: 40,
            leaders_ms: Vec::new(),
            outages: Vec::new(),
            all_crash_until_ms: 0,
            repeated: 0,
            sound_retries: 0,
            targets: TARGETS,
            for_ms: 60_000,
        }
    }
}

struct Request {
    gateway: usize,
    target: usize,
    sent_ms: u64,
    traits: SuspectTraits,
    crashes: bool,
    retries_left: u64,
}

struct GatewayState {
    name: ProcessName,
    suspected: CrashSuspects,
    known: Arc<BTreeMap<SuspectKey, Suspect>>,
    seen: Option<SuspectsPosition>,
    next_renewal_ms: u64,
    last_reports: SuspectReports,
}

#[derive(Debug, Default)]
struct Outcome {
    crashes: Vec<u64>,
    crashing_arrivals: Vec<u64>,
    /// Crashes and arrivals of each request that is sent again and again.
    by_request: BTreeMap<PartId, (Vec<u64>, Vec<u64>)>,
    sound_sent: usize,
    /// Times at which sound requests were refused.
    sound_refused: Vec<u64>,
}

impl Outcome {
    fn late_arrivals(&self) -> usize {
        let fifth_ms = self.crashes.get(4).copied().unwrap_or(u64::MAX - NOTICE_MS);
        let late = self.crashing_arrivals.iter();
        late.filter(|at_ms| **at_ms > fifth_ms + NOTICE_MS).count()
    }

    /// The most arrivals of a request, later than the notice after its third crash.
    fn late_repeats(&self) -> usize {
        let late = self.by_request.values().map(|(crashes, arrivals)| {
            let third_ms = crashes.get(2).copied().unwrap_or(u64::MAX - NOTICE_MS);
            let late = arrivals.iter();
            late.filter(|at_ms| **at_ms > third_ms + NOTICE_MS).count()
        });
        late.max().unwrap_or(0)
    }
}

fn play(day: &Day) -> Outcome {
    let mut random = SmallRng::seed_from_u64(day.seed);
    let mut outcome = Outcome::default();
    let mut gateways: Vec<GatewayState> = (0..day.gateways)
        .map(|number| GatewayState {
            name: ProcessName(format!("gateway-{number}")),
            suspected: CrashSuspects::default(),
            known: Arc::default(),
            seen: None,
            next_renewal_ms: random.random_range(0..800),
            last_reports: SuspectReports::default(),
        })
        .collect();
    let names: Vec<ProcessName> = gateways
        .iter()
        .map(|gateway| gateway.name.clone())
        .collect();
    let (mut suspects, mut term, mut leads_since_ms) = (Suspects::default(), 1, 0);
    let mut runs = vec![0u64; day.targets];
    let mut up_from_ms = vec![0u64; day.targets];
    let mut next_request = 1_000_000;
    let mut requests: Vec<Request> = Vec::new();
    for now_ms in (0..day.for_ms).step_by(STEP_MS as usize) {
        if day.leaders_ms.contains(&now_ms) {
            (suspects, term, leads_since_ms) = (Suspects::default(), term + 1, now_ms);
        }
        // Requests end whole, or with their target.
        let mut ending: Vec<usize> = requests
            .iter()
            .filter(|request| request.crashes && now_ms >= request.sent_ms + CRASH_AFTER_MS)
            .map(|request| request.target)
            .collect();
        for (_, count) in day.outages.iter().filter(|(at_ms, _)| *at_ms == now_ms) {
            ending.extend(0..(*count).min(day.targets));
        }
        ending.sort_unstable();
        ending.dedup();
        let mut again: Vec<(usize, SuspectTraits, u64)> = Vec::new();
        for target in &ending {
            outcome.crashes.push(now_ms);
            let run = TargetRun {
                target: TargetName(format!("i-{target}")),
                started_unix_ms: runs[*target],
            };
            for request in requests.iter().filter(|request| request.target == *target) {
                let has_event = now_ms >= request.sent_ms + FIRST_EVENT_AFTER_MS;
                let is_clear = has_event && !request.crashes;
                let traits = SuspectTraits {
                    parts: if is_clear {
                        Vec::new()
                    } else {
                        request.traits.parts.clone()
                    },
                    ..request.traits
                };
                let suspected = &mut gateways[request.gateway].suspected;
                suspected.record_crash(&service(), run.clone(), &traits, now_ms);
                if request.crashes
                    && let Some(digest) = request.traits.request
                {
                    outcome.by_request.entry(digest).or_default().0.push(now_ms);
                }
                if !request.crashes && request.retries_left > 0 {
                    again.push((
                        request.gateway,
                        request.traits.clone(),
                        request.retries_left - 1,
                    ));
                }
            }
            runs[*target] += 1;
            up_from_ms[*target] = now_ms + DOWN_MS;
        }
        requests.retain(|request| !ending.contains(&request.target));
        for request in requests
            .iter()
            .filter(|request| now_ms >= request.sent_ms + RUN_MS)
        {
            let parts: Vec<PromptPart> = request
                .traits
                .parts
                .iter()
                .map(|id| PromptPart {
                    id: *id,
                    tokens: 100,
                })
                .collect();
            gateways[request.gateway].suspected.record_response(
                &service(),
                &parts,
                request.traits.request,
                request.sent_ms,
                now_ms,
            );
        }
        requests.retain(|request| now_ms < request.sent_ms + RUN_MS);
        // New requests.
        let is_due = |random: &mut SmallRng, per_s: f64| {
            random.random_bool((per_s * STEP_MS as f64 / 1000.0).min(1.0))
        };
        let mut new: Vec<(usize, SuspectTraits, bool, u64)> = Vec::new();
        for crashes in [false, true] {
            let per_s = if crashes {
                day.crashing_per_s
            } else {
                day.sound_per_s as f64
            };
            if !is_due(&mut random, per_s) {
                continue;
            }
            let subject = PartId(1000 + random.random_range(0..day.subjects));
            next_request += 1;
            let (mut parts, mut request) = (vec![FIRST_PART, subject], PartId(next_request));
            match (crashes, day.repeated) {
                (false, _) => {}
                (true, 0) => parts.insert(1, CRASHING_PART),
                (true, repeated) => {
                    let number = random.random_range(0..repeated);
                    // Its subject is that of sound requests, too.
                    parts = vec![FIRST_PART, PartId(1000 + number % day.subjects)];
                    request = PartId(900_000 + number);
                }
            }
            let traits = SuspectTraits {
                parts,
                request: Some(request),
            };
            let gateway = random.random_range(0..day.gateways);
            new.push((gateway, traits, crashes, day.sound_retries));
        }
        let retried = again.into_iter();
        new.extend(retried.map(|(gateway, traits, left)| (gateway, traits, false, left)));
        for (number, traits, crashes, retries_left) in new {
            let up: Vec<usize> = (0..day.targets)
                .filter(|at| up_from_ms[*at] <= now_ms)
                .collect();
            let Some(target) = up.choose(&mut random) else {
                continue;
            };
            let gateway = &mut gateways[number];
            gateway.suspected.update(&gateway.known, now_ms);
            outcome.sound_sent += usize::from(!crashes);
            match gateway
                .suspected
                .check(&gateway.name, &service(), &traits, now_ms)
            {
                CrashVerdict::Blocked(..) if crashes => continue,
                CrashVerdict::Blocked(..) => {
                    outcome.sound_refused.push(now_ms);
                    continue;
                }
                CrashVerdict::Trial => {
                    assert!(gateway.suspected.use_trial(&service(), &traits));
                }
                CrashVerdict::Allowed => {}
            }
            if crashes {
                outcome.crashing_arrivals.push(now_ms);
                let digest = traits.request.expect("each request has a digest");
                outcome.by_request.entry(digest).or_default().1.push(now_ms);
            }
            requests.push(Request {
                gateway: number,
                target: *target,
                sent_ms: now_ms,
                traits,
                crashes: crashes || now_ms < day.all_crash_until_ms,
                retries_left,
            });
        }
        // Renewals, at once when there is something to report.
        let is_complete = now_ms >= leads_since_ms + REBUILD_MS;
        suspects.tick(|| names.clone(), now_ms);
        let epoch = (FencingNumber(term), is_complete);
        for gateway in &mut gateways {
            gateway.suspected.update(&gateway.known, now_ms);
            let reports = gateway.suspected.reports(now_ms);
            let has_news = reports != gateway.last_reports;
            let has_changes = suspects.changes(gateway.seen.as_ref(), epoch).is_some();
            if now_ms < gateway.next_renewal_ms && !has_news && !has_changes {
                continue;
            }
            gateway.next_renewal_ms = now_ms + 800;
            suspects.report(&reports, is_complete, now_ms, now_ms);
            gateway.last_reports = reports;
            if let Some(changes) = suspects.changes(gateway.seen.as_ref(), epoch) {
                let mut known = match changes.whole && is_complete {
                    true => BTreeMap::new(),
                    false => BTreeMap::clone(&gateway.known),
                };
                for key in &changes.removed {
                    known.remove(key);
                }
                known.extend(
                    changes
                        .present
                        .into_iter()
                        .map(|one| (one.key.clone(), one)),
                );
                gateway.known = Arc::new(known);
                gateway.seen = Some(changes.seen);
            }
        }
    }
    outcome
}

/// Plays a day with ten seeds and checks that a crashing part is kept from targets.
fn is_contained(day: &Day) {
    for seed in 1..=10 {
        let outcome = play(&Day {
            seed,
            ..day.clone()
        });
        let late = outcome.late_arrivals();
        assert!(late <= MAX_LATE, "seed {seed}: {late} late, {outcome:?}");
        assert!(
            outcome.crashes.len() <= 20 + day.outages.len(),
            "seed {seed}: {} crashes",
            outcome.crashes.len()
        );
        let refused = outcome.sound_refused.len();
        assert!(
            refused * 50 <= outcome.sound_sent,
            "seed {seed}: {refused} of {} sound requests refused",
            outcome.sound_sent
        );
    }
}

/// Plays a day of requests that crash targets and are sent again and again, with ten seeds, and checks
/// that they are kept from targets and that sound requests are served, also those with the same parts.
fn repeats_are_contained(day: &Day) {
    for seed in 1..=10 {
        let outcome = play(&Day {
            seed,
            ..day.clone()
        });
        let late = outcome.late_repeats();
        assert!(
            late <= MAX_LATE,
            "seed {seed}: {late} late, {:?}",
            outcome.by_request
        );
        let refused = outcome.sound_refused.len();
        assert!(
            refused * 50 <= outcome.sound_sent,
            "seed {seed}: {refused} of {} sound requests refused",
            outcome.sound_sent
        );
    }
}

/// Plays a day without a crashing part with ten seeds and checks that sound requests are served.
fn blocks_nothing(day: &Day) {
    for seed in 1..=10 {
        let day = Day {
            seed,
            crashing_per_s: 0.0,
            ..day.clone()
        };
        let outcome = play(&day);
        let refused = outcome.sound_refused.len();
        assert!(
            refused * 100 <= outcome.sound_sent,
            "seed {seed}: {refused} of {} refused, the first at {:?}",
            outcome.sound_sent,
            outcome.sound_refused.first()
        );
    }
}

macro_rules! days {
    ($($name:ident => $check:ident, $day:expr;)*) => {
        $(
            #[test]
            fn $name() {
                $check(&$day);
            }
        )*
    };
}

fn every(interval_ms: u64, count: usize) -> Vec<(u64, usize)> {
    (1..40)
        .map(|number| (5000 + number * interval_ms, count))
        .collect()
}

days! {
    a_crashing_part_is_contained => is_contained, Day::default();
    with_one_gateway => is_contained, Day { gateways: 1, ..Day::default() };
    with_a_hundred_gateways => is_contained, Day { gateways: 100, ..Day::default() };
    with_three_hundred_gateways => is_contained, Day { gateways: 300, for_ms: 40_000, ..Day::default() };
    when_it_comes_often => is_contained, Day { crashing_per_s: 10.0, ..Day::default() };
    when_it_comes_seldom => is_contained, Day { crashing_per_s: 0.3, for_ms: 120_000, ..Day::default() };
    with_few_sound_requests => is_contained, Day { sound_per_s: 5, ..Day::default() };
    with_rare_subjects => is_contained, Day { subjects: 2000, ..Day::default() };
    for_two_minutes => is_contained, Day { for_ms: 150_000, ..Day::default() };
    with_a_new_leader_at_the_third_crash => is_contained, Day { leaders_ms: vec![1500, 2500], ..Day::default() };
    with_new_leaders_in_series => is_contained, Day { leaders_ms: (1..12).map(|n| n * 4000).collect(), ..Day::default() };
    beside_targets_that_end_by_themselves => is_contained, Day { outages: every(1000, 1), ..Day::default() };
    an_outage_of_all_targets_blocks_nothing => blocks_nothing, Day { outages: vec![(5000, TARGETS), (15_000, TARGETS)], ..Day::default() };
    outages_of_single_targets_block_nothing => blocks_nothing, Day { outages: every(300, 1), ..Day::default() };
    outages_of_a_third_of_the_targets_block_nothing => blocks_nothing, Day { outages: every(1500, 6), ..Day::default() };
    outages_with_rare_subjects_block_nothing => blocks_nothing, Day { outages: every(1000, 3), subjects: 2000, ..Day::default() };
    a_repeated_request_is_contained => repeats_are_contained, Day { repeated: 1, ..Day::default() };
    a_repeated_request_is_contained_by_one_gateway => repeats_are_contained, Day { repeated: 1, gateways: 1, ..Day::default() };
    a_repeated_request_is_contained_by_three_hundred_gateways => repeats_are_contained, Day { repeated: 1, gateways: 300, for_ms: 40_000, ..Day::default() };
    a_repeated_request_is_contained_at_few_targets => repeats_are_contained, Day { repeated: 1, targets: 3, sound_per_s: 40, sound_retries: 3, ..Day::default() };
    a_repeated_request_is_contained_with_one_subject => repeats_are_contained, Day { repeated: 1, subjects: 1, ..Day::default() };
    a_request_repeated_often_is_contained => repeats_are_contained, Day { repeated: 1, crashing_per_s: 10.0, ..Day::default() };
    a_request_repeated_seldom_is_contained => repeats_are_contained, Day { repeated: 1, crashing_per_s: 0.3, for_ms: 150_000, ..Day::default() };
    a_hundred_repeated_requests_are_contained => repeats_are_contained, Day { repeated: 100, sound_retries: 3, for_ms: 120_000, ..Day::default() };
    a_repeated_request_is_contained_with_new_leaders_in_series => repeats_are_contained, Day { repeated: 1, leaders_ms: (1..12).map(|n| n * 4000).collect(), ..Day::default() };
    a_repeated_request_is_contained_beside_outages => repeats_are_contained, Day { repeated: 1, outages: every(1000, 1), sound_retries: 3, ..Day::default() };
    outages_block_no_request_that_is_sent_again => blocks_nothing, Day { outages: every(1000, 3), sound_retries: 3, ..Day::default() };
    outages_of_most_targets_block_no_request_that_is_sent_again => blocks_nothing, Day { outages: every(2500, 14), sound_retries: 3, ..Day::default() };
    outages_at_few_targets_block_no_request_that_is_sent_again => blocks_nothing, Day { outages: every(500, 2), targets: 3, sound_per_s: 40, sound_retries: 3, ..Day::default() };
    outages_with_few_requests_block_nothing => blocks_nothing, Day { outages: every(1000, 3), sound_per_s: 10, ..Day::default() };
}

/// Guards against blocks of parts that everybody uses, when every request crashes its target for a
/// while.
#[test]
fn a_time_in_which_everything_crashes_blocks_no_part_that_all_use() {
    blocks_nothing(&Day {
        all_crash_until_ms: 15_000,
        ..Day::default()
    });
}

fn key(part: u64) -> SuspectKey {
    SuspectKey {
        service: service(),
        kind: SuspectKind::Part,
        id: PartId(part),
    }
}

fn crash(part: u64, run: u64) -> SuspectReports {
    SuspectReports {
        crashes: vec![CrashReport {
            service: service(),
            run: TargetRun {
                target: "i-1".into(),
                started_unix_ms: run,
            },
            parts: vec![PartId(part)],
            request: None,
        }],
        ..SuspectReports::default()
    }
}

fn testimony(part: u64, crashes: u64, testimony: Testimony) -> SuspectReports {
    SuspectReports {
        testimonies: vec![TestimonyReport {
            key: key(part),
            since_unix_ms: 1000,
            crashes,
            testimony,
        }],
        ..SuspectReports::default()
    }
}

fn known(suspects: &Suspects) -> Vec<Suspect> {
    let changes = suspects.changes(None, (FencingNumber(1), true));
    changes.map(|changes| changes.present).unwrap_or_default()
}

/// A leader with a blocked part, since 2000 ms.
fn with_block() -> Suspects {
    let mut suspects = Suspects::default();
    for (run, now_ms) in [(1, 1000), (2, 1500), (3, 2000)] {
        suspects.report(&crash(7, run), true, now_ms, now_ms);
        suspects.report(
            &testimony(7, run, Testimony::OthersServed),
            true,
            now_ms,
            now_ms,
        );
    }
    assert!(known(&suspects)[0].is_blocked);
    suspects
}

#[test]
fn reports_that_are_repeated_count_once() {
    let mut suspects = Suspects::default();
    for now_ms in (1000..7000).step_by(500) {
        suspects.report(&crash(7, 1), true, now_ms, now_ms);
    }
    assert_eq!(known(&suspects)[0].crashes, 1);
    suspects.report(&testimony(7, 1, Testimony::Cleared), true, 7000, 7000);
    assert!(known(&suspects).is_empty());
    assert!(
        !suspects.report(&crash(7, 1), true, 7500, 7500),
        "it was cleared of this crash"
    );
}

#[test]
fn without_other_responses_nothing_is_blocked() {
    let mut suspects = Suspects::default();
    for run in 1..10 {
        suspects.report(&crash(7, run), true, run * 1000, run * 1000);
    }
    assert!(!known(&suspects)[0].is_blocked);
}

#[test]
fn one_gateway_tries_a_blocked_part_and_a_crash_lengthens_the_block() {
    let mut suspects = with_block();
    let names = || vec![ProcessName::from("a"), ProcessName::from("b")];
    let ends_ms = 2000 + FIRST_BLOCK_MS;
    assert!(!suspects.tick(names, ends_ms - 1));
    assert!(suspects.tick(names, ends_ms));
    let first = known(&suspects)[0].trial_by.clone();
    assert!(first.is_some());
    assert!(!suspects.tick(names, ends_ms + TRIAL_MS - 1));
    assert!(suspects.tick(names, ends_ms + TRIAL_MS));
    assert_ne!(known(&suspects)[0].trial_by, first, "another gateway");
    suspects.report(&crash(7, 9), true, ends_ms + TRIAL_MS + 100, 0);
    let suspect = known(&suspects)[0].clone();
    assert_eq!(
        (suspect.trial_by, suspect.block_ms),
        (None, FIRST_BLOCK_MS * BLOCK_GROWTH)
    );
}

#[test]
fn a_trial_that_is_answered_ends_the_block() {
    let mut suspects = with_block();
    suspects.tick(|| vec![ProcessName::from("a")], 2000 + FIRST_BLOCK_MS);
    suspects.report(&testimony(7, 3, Testimony::Cleared), true, 40_000, 40_000);
    assert!(known(&suspects).is_empty());
}

#[test]
fn requests_that_were_under_way_do_not_lengthen_a_block() {
    let mut suspects = with_block();
    suspects.report(&crash(7, 4), true, 2000 + BLOCK_NOTICE_MS - 1, 0);
    assert_eq!(known(&suspects)[0].block_ms, FIRST_BLOCK_MS);
    suspects.report(&testimony(7, 4, Testimony::OthersServed), true, 7000, 0);
    suspects.report(&crash(7, 5), true, 2000 + BLOCK_NOTICE_MS + 500, 0);
    assert_eq!(known(&suspects)[0].block_ms, FIRST_BLOCK_MS * BLOCK_GROWTH);
}

#[test]
fn only_a_leader_whose_table_is_incomplete_takes_blocks_over() {
    let blocks = SuspectReports {
        blocks: known(&with_block()),
        ..SuspectReports::default()
    };
    let (mut new, mut old) = (Suspects::default(), Suspects::default());
    assert!(new.report(&blocks, false, 100, 100));
    assert!(known(&new)[0].is_blocked);
    assert!(
        !old.report(&blocks, true, 100, 100),
        "it has ended the block"
    );
}

#[test]
fn the_number_of_crash_suspects_is_bounded_and_blocks_stay() {
    let mut suspects = with_block();
    for part in 100..5000 {
        suspects.report(&crash(part, part), true, 3000 + part, 3000 + part);
    }
    let known = known(&suspects);
    assert!(known.len() <= 2048, "{}", known.len());
    assert!(known.iter().any(|suspect| suspect.is_blocked));
}

fn with_part(part: u64) -> SuspectTraits {
    SuspectTraits {
        parts: vec![PartId(part)],
        request: None,
    }
}

/// A crash of a run under a request with a part.
fn crash_of(request: u64, part: u64, run: u64) -> SuspectReports {
    let mut reports = crash(part, run);
    reports.crashes[0].request = Some(PartId(request));
    reports
}

fn is_blocked(suspects: &Suspects, kind: SuspectKind, id: u64) -> bool {
    let mut known = known(suspects).into_iter();
    known.any(|one| one.key.kind == kind && one.key.id == PartId(id) && one.is_blocked)
}

/// Guards against refusals of a whole session as one request of it crashes targets.
#[test]
fn one_request_that_crashes_targets_does_not_block_its_parts() {
    let mut suspects = Suspects::default();
    for run in 1..=6 {
        let now_ms = run * 1000;
        suspects.report(&crash_of(50, 7, run), true, now_ms, now_ms);
        suspects.report(
            &testimony(7, run, Testimony::OthersServed),
            true,
            now_ms,
            now_ms,
        );
    }
    assert!(is_blocked(&suspects, SuspectKind::Request, 50));
    assert!(!is_blocked(&suspects, SuspectKind::Part, 7));
    for (request, run, expected) in [(51, 7, false), (52, 8, true)] {
        let now_ms = run * 1000;
        suspects.report(&crash_of(request, 7, run), true, now_ms, now_ms);
        assert_eq!(is_blocked(&suspects, SuspectKind::Part, 7), expected);
        suspects.report(
            &testimony(7, run, Testimony::OthersServed),
            true,
            now_ms,
            now_ms,
        );
    }
}

/// Guards against a sound request that is blocked as it ran beside one that crashes targets.
#[test]
fn crashes_that_a_blocked_request_explains_do_not_count_for_others() {
    let mut suspects = Suspects::default();
    for run in 1..=3 {
        suspects.report(&crash_of(50, 100 + run, run), true, run * 100, run * 100);
    }
    assert!(is_blocked(&suspects, SuspectKind::Request, 50));
    for run in [2, 3, 11] {
        suspects.report(&crash_of(60, 200 + run, run), true, 1000 + run, 1000 + run);
    }
    assert!(
        !is_blocked(&suspects, SuspectKind::Request, 60),
        "one of three is its own"
    );
    suspects.report(&crash_of(60, 213, 13), true, 2000, 2000);
    assert!(
        is_blocked(&suspects, SuspectKind::Request, 60),
        "two requests that crash targets may be at the same ones"
    );
}

/// Guards against a request that is blocked for crashes of which an answer has cleared it, and against
/// tables full of requests that are never sent again.
#[test]
fn crashes_before_an_answer_do_not_count() {
    let mut suspects = Suspects::default();
    suspects.report(&crash_of(50, 101, 1), true, 1000, 1000);
    let is_known = |suspects: &Suspects| {
        let mut known = known(suspects).into_iter();
        known.any(|one| one.key.kind == SuspectKind::Request)
    };
    assert!(!is_known(&suspects), "one crash");
    suspects.report(&crash_of(50, 102, 2), true, 1000, 1000);
    assert!(is_known(&suspects));
    let mut cleared = testimony(50, 2, Testimony::Cleared);
    cleared.testimonies[0].key.kind = SuspectKind::Request;
    suspects.report(&cleared, true, 1500, 1500);
    assert!(!is_known(&suspects));
    for (run, expected) in [(3, false), (4, false), (5, true)] {
        suspects.report(&crash_of(50, 100 + run, run), true, 2000, 1000);
        assert_eq!(is_blocked(&suspects, SuspectKind::Request, 50), expected);
    }
}

/// Guards against a request that crashes targets and is taken for one that ran beside another.
#[test]
fn a_request_that_was_at_the_same_crashes_as_a_blocked_one_is_blocked() {
    let mut suspects = Suspects::default();
    for run in 1..=3 {
        for request in [50, 60] {
            suspects.report(
                &crash_of(request, 100 + run, run),
                true,
                run * 100,
                run * 100,
            );
        }
    }
    assert!(is_blocked(&suspects, SuspectKind::Request, 50));
    assert!(is_blocked(&suspects, SuspectKind::Request, 60));
}

/// Guards against a request that a gateway sends to a third target, as the leader does not know yet of
/// the two that it has crashed there.
#[test]
fn a_gateway_counts_the_crashes_that_it_has_seen_itself() {
    let mut gateway = CrashSuspects::default();
    let traits = SuspectTraits {
        parts: Vec::new(),
        request: Some(PartId(50)),
    };
    for (run, expected) in [(1, false), (1, false), (2, true)] {
        let run = TargetRun {
            target: "i-1".into(),
            started_unix_ms: run,
        };
        gateway.record_crash(&service(), run, &traits, 1000);
        assert_eq!(gateway.is_suspected(&service(), &traits), expected);
    }
    let other = SuspectTraits {
        request: Some(PartId(51)),
        ..traits
    };
    assert!(!gateway.is_suspected(&service(), &other));
}

/// Guards against reports of a process of an earlier version that cannot be read: a key without a kind
/// is that of a part.
#[test]
fn keys_and_reports_without_requests_are_those_of_parts() {
    let text = r#"{"service":"model","part":7}"#;
    assert_eq!(serde_json::from_str::<SuspectKey>(text).unwrap(), key(7));
    let text = r#"{"service":"model","run":{"target":"i-1","started_unix_ms":1},"parts":[7]}"#;
    let report: CrashReport = serde_json::from_str(text).unwrap();
    assert_eq!(report, crash(7, 1).crashes[0]);
}

/// Guards against requests that lose their retry because their target crashed while a part that all
/// requests share was suspected for a moment.
#[test]
fn a_request_is_kept_from_other_targets_only_for_a_part_of_several_crashes() {
    let mut suspects = Suspects::default();
    let mut gateway = CrashSuspects::default();
    let view = |suspects: &Suspects| {
        let known = known(suspects).into_iter();
        Arc::new(known.map(|one| (one.key.clone(), one)).collect())
    };
    suspects.report(&crash(7, 1), true, 1000, 1000);
    gateway.update(&view(&suspects), 1000);
    assert!(!gateway.is_suspected(&service(), &with_part(7)));
    suspects.report(&testimony(7, 1, Testimony::OthersServed), true, 1100, 1100);
    suspects.report(&crash(7, 2), true, 1500, 1500);
    gateway.update(&view(&suspects), 1500);
    assert!(gateway.is_suspected(&service(), &with_part(7)));
    assert!(!gateway.is_suspected(&service(), &with_part(8)));
}
