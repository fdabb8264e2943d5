//! The gateway's pure decisions: the budget of repeats, whole events, placement.

use guavacove::{
    gateway::{
        events::EventSplitter,
        placement::{
            Candidate, Eligibility, Prefix, RequestProfile, count_suitable, eligible, order_by_cost,
        },
        repeats::{RepeatBounds, RetryBudget},
    },
    grants::work_units,
    target_pace::TargetPace,
};
use quickcheck::{Gen, QuickCheck};

const BOUNDS: RepeatBounds = RepeatBounds {
    per_mille: 200,
    window_ms: 10_000,
    slack: 60,
};

#[test]
fn repeats_of_all_gateways_stay_within_the_shared_budget() {
    let gateways = 7;
    let mut budgets: Vec<RetryBudget> = (0..gateways).map(|_| RetryBudget::new(BOUNDS)).collect();
    let mut requests = Vec::new();
    let mut repeats = Vec::new();
    for step in 0..6000u64 {
        let now_ms = step * 5;
        let budget = &mut budgets[(step % gateways) as usize];
        budget.record_request(&"drafts".into(), now_ms);
        requests.push(now_ms);
        // Every request fails and would be repeated twice.
        for _ in 0..2 {
            if budget.try_spend(&"drafts".into(), gateways, now_ms) {
                repeats.push(now_ms);
            }
        }
    }
    let count = |times: &[u64], from_ms: u64| {
        times
            .iter()
            .filter(|at| (from_ms..from_ms + 10_000).contains(*at))
            .count() as u64
    };
    for from_ms in (0..20_000).step_by(250) {
        let most = count(&requests, from_ms) / 5 + 60;
        assert!(count(&repeats, from_ms) <= most, "from {from_ms} ms");
    }
    assert!(repeats.len() > 500, "the budget is used: {}", repeats.len());
}

/// However a stream is cut into reads, the same whole events come out, and the last id is
/// that of the last whole one.
fn events_come_whole(count: u8, cuts: Vec<u8>) -> bool {
    let text = (1..=count).fold(String::new(), |text, id| {
        format!("{text}id: {id}\ndata: {{\"n\":{id}}}\n\n")
    });
    let half = "id: 999\ndata: cut o";
    let bytes = format!("{text}{half}").into_bytes();
    let (mut events, mut out, mut at) = (EventSplitter::default(), Vec::new(), 0);
    for cut in cuts.iter().chain(&[255; 20]) {
        let end = (at + usize::from(*cut) + 1).min(bytes.len());
        out.extend_from_slice(&events.push(&bytes[at..end]));
        at = end;
    }
    out.extend_from_slice(&events.push(&bytes[at..]));
    let last_id = (count > 0).then_some(u64::from(count));
    out == text.as_bytes() && events.is_partial() && events.last_id() == last_id
}

#[test]
fn only_whole_events_are_passed_on() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 9))
        .tests(300)
        .quickcheck(events_come_whole as fn(u8, Vec<u8>) -> bool);
}

fn candidate(name: &str, in_progress: u64, first_ms: Option<u64>) -> Candidate {
    Candidate {
        name: name.into(),
        in_progress,
        slots: 4,
        wait_ms: 0,
        first_ms,
        pace: TargetPace::default(),
        is_near: true,
        warming_up: false,
    }
}

#[test]
fn a_straggler_gets_what_the_others_have_no_room_for() {
    let mut candidates = vec![
        candidate("slow", 0, Some(900)),
        candidate("fast", 0, Some(100)),
    ];
    assert_eq!(
        order_by_cost(&candidates, Prefix::default(), RequestProfile::default(), 1),
        [1, 0]
    );
    candidates[1].wait_ms = 1500;
    assert_eq!(
        order_by_cost(&candidates, Prefix::default(), RequestProfile::default(), 1),
        [0, 1]
    );
}

#[test]
fn a_prefix_goes_where_it_is_kept_until_waiting_there_costs_more() {
    let mut candidates: Vec<Candidate> = (0..6)
        .map(|number| candidate(&format!("engine-{number}"), 0, Some(100)))
        .collect();
    let prefix = Prefix {
        id: Some(42),
        percent: 90,
    };
    let holder = order_by_cost(&candidates, prefix, RequestProfile::default(), 1)[0];
    assert_eq!(
        order_by_cost(&candidates, prefix, RequestProfile::default(), 2)[0],
        holder,
        "gateways agree on the holder"
    );
    candidates[holder].wait_ms = 300;
    assert_ne!(
        order_by_cost(&candidates, prefix, RequestProfile::default(), 1)[0],
        holder
    );
}

#[test]
fn equal_targets_are_not_all_chosen_alike() {
    let candidates: Vec<Candidate> = (0..6)
        .map(|number| candidate(&format!("engine-{number}"), 0, None))
        .collect();
    let first: std::collections::BTreeSet<usize> = (0..50)
        .map(|seed| {
            order_by_cost(
                &candidates,
                Prefix::default(),
                RequestProfile::default(),
                seed,
            )[0]
        })
        .collect();
    assert!(first.len() > 3, "{first:?}");
}

/// Engines of two speeds under long and short prompts: reading a long one would stop all
/// streams of a slow engine for longer than callers bear.
#[test]
fn long_prompts_go_to_targets_that_stop_no_stream_by_reading_them() {
    let paced = |name, unit_micros, prompt_token_nanos| Candidate {
        pace: TargetPace {
            unit_micros: Some(unit_micros),
            prompt_token_nanos: Some(prompt_token_nanos),
        },
        ..candidate(name, 0, None)
    };
    let mut candidates = [paced("slow", 15_000, 50_000), paced("fast", 3500, 12_000)];
    candidates[1].wait_ms = 700;
    let run = |prompt_tokens| RequestProfile {
        work_units: 100,
        prompt_tokens,
        pause_ms: 400,
        left_ms: 15_000,
    };
    let first =
        |candidates: &[Candidate], run| order_by_cost(candidates, Prefix::default(), run, 1)[0];
    assert_eq!(first(&candidates, run(7000)), 1, "350 ms of reading there");
    assert_eq!(count_suitable(&candidates, run(7000)), 1);
    assert_eq!(first(&candidates, run(600)), 0, "waiting costs more");
    assert_eq!(count_suitable(&candidates, run(600)), 2);
    // Where no target is fit, the usual order decides.
    assert_eq!(count_suitable(&candidates, run(30_000)), 2);
    assert_eq!(first(&candidates[..1], run(30_000)), 0);
    // Without a stated pause all are fit.
    let unstated = RequestProfile {
        pause_ms: 0,
        ..run(7000)
    };
    assert_eq!(count_suitable(&candidates, unstated), 2);
}

#[test]
fn absurd_counts_of_tokens_are_placed_like_others() {
    let paced = |name| Candidate {
        pace: TargetPace {
            unit_micros: Some(3000),
            prompt_token_nanos: Some(10_000),
        },
        ..candidate(name, 9, None)
    };
    let candidates = [paced("one"), paced("two")];
    let run = RequestProfile {
        work_units: work_units(u64::MAX, u64::MAX),
        prompt_tokens: u64::MAX,
        pause_ms: u64::MAX,
        left_ms: 1000,
    };
    assert_eq!(
        order_by_cost(&candidates, Prefix::default(), run, 1).len(),
        2
    );
    assert_eq!(count_suitable(&candidates, run), 2);
}

/// Empty engines join: nobody has measured them, and all gateways see them at once.
#[test]
fn a_target_that_nobody_has_measured_is_taken_for_an_ordinary_one() {
    let paced = |name: &str, scale: u64| Candidate {
        pace: TargetPace {
            unit_micros: Some(3000 * scale),
            prompt_token_nanos: Some(10_000 * scale),
        },
        ..candidate(name, 0, None)
    };
    let candidates = [
        candidate("new", 0, None),
        paced("fast", 1),
        paced("ordinary", 2),
        paced("slow", 5),
    ];
    let run = RequestProfile {
        work_units: 100,
        prompt_tokens: 1000,
        pause_ms: 0,
        left_ms: 15_000,
    };
    let order_by_cost = order_by_cost(&candidates, Prefix::default(), run, 1);
    assert_eq!((order_by_cost[0], order_by_cost[3]), (1, 3));
}

/// All engines were started anew, under other names, and announce themselves one by one; the
/// directory still lists the old ones.
#[test]
fn after_all_engines_restart_only_those_that_are_known_anew_are_asked() {
    let old = Eligibility {
        is_replaced: true,
        ..Eligibility::default()
    };
    let fresh = Eligibility::default();
    assert_eq!(
        eligible(&[old; 18]),
        [0usize; 0],
        "no repeat is spent on them"
    );
    let mut standings = [old; 18];
    for known in 0..18 {
        standings[known] = fresh;
        assert_eq!(eligible(&standings).len(), known + 1);
    }
    // One that is full is still better than one that is not there.
    standings = [old; 18];
    standings[3] = Eligibility {
        is_backing_off: true,
        ..fresh
    };
    assert_eq!(eligible(&standings), [3]);
}

#[test]
fn targets_that_rest_are_asked_only_if_no_other_is_left() {
    let is_backing_off = Eligibility {
        is_backing_off: true,
        ..Eligibility::default()
    };
    let tried = Eligibility {
        is_tried: true,
        ..Eligibility::default()
    };
    let fresh = Eligibility::default();
    assert_eq!(eligible(&[is_backing_off, fresh, tried, fresh]), [1, 3]);
    assert_eq!(eligible(&[is_backing_off, tried, is_backing_off]), [0, 2]);
    assert_eq!(eligible(&[tried]), [0usize; 0]);
}

/// Engines of two speeds under long and short streams: what would run into its deadline on a
/// slow one goes to a fast one, short work goes by the wait alone.
#[test]
fn long_work_goes_to_targets_that_end_it_in_time() {
    let mut slow = candidate("slow", 0, Some(50));
    let mut fast = candidate("fast", 0, Some(200));
    slow.pace.unit_micros = Some(12_500);
    fast.pace.unit_micros = Some(4500);
    let candidates = [slow, fast];
    let run = |work_units| RequestProfile {
        work_units,
        left_ms: 15_000,
        ..RequestProfile::default()
    };
    let first = |run| order_by_cost(&candidates, Prefix::default(), run, 1)[0];
    assert_eq!(first(run(1300)), 1, "16 s there, 6 s here");
    assert_eq!(first(run(100)), 0);
    let late = [
        candidates[0].clone(),
        Candidate {
            wait_ms: 14_000,
            ..candidates[1].clone()
        },
    ];
    assert_eq!(
        order_by_cost(&late, Prefix::default(), run(1300), 1)[0],
        0,
        "both are late, it less so"
    );
}

/// A target in trouble sends an event that never ends.
#[test]
fn an_event_that_does_not_end_is_not_kept() {
    let mut events = EventSplitter::default();
    let whole = events.push(b"id: 1\ndata: a\n\nid: 2\ndata: ");
    assert_eq!(&whole[..], b"id: 1\ndata: a\n\n");
    let mut kept_bytes = 0;
    while !events.is_too_long() {
        assert!(events.push(&[b'x'; 4096]).is_empty());
        kept_bytes += 4096;
    }
    assert!(kept_bytes < 2 * 1024 * 1024, "{kept_bytes}");
    events.drop_partial();
    assert!(!events.is_too_long() && !events.is_partial());
    assert_eq!(events.last_id(), Some(1));
}
