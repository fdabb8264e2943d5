//! Requests of all gateways to a target without an agent that states a limit.

use guavacove::{
    control::{
        accounts::ChargeResult,
        target_paces::{LinkNumber, TargetPaces},
    },
    request_limit::{RequestLimit, RequestRate},
    request_pace::draws_interval,
    units::ProcessName,
};
use std::collections::BTreeMap;

const START_MS: u64 = 1_000_000;
/// Window over which requests are counted.
const WINDOW_MS: u64 = 4000;
/// Time for which a gateway holds back without a reply of the leader.
const LEADER_AWAY_HOLD_MS: u64 = 300;

fn limit(milli_per_s: u64) -> RequestLimit {
    RequestLimit {
        version: 0,
        rate: Some(RequestRate { milli_per_s }),
    }
}

/// Every gateway wants to send `callers` requests at any moment, and asks for all of them before
/// it has an answer. It learns of the limit at its own moment, and holds back for as long as it
/// was told last. The leader is away for a second from each of `lost_ms`, and the next one knows
/// nothing. Returns when requests of gateways that knew the limit were sent.
fn sends(
    gateways: u64,
    callers: u64,
    milli_per_s: u64,
    max_wait_ms: u64,
    lost_ms: &[u64],
) -> (Vec<u64>, u64) {
    let take = |paces: &mut TargetPaces, gateway, milli_per_s, max_wait_ms, now_ms| {
        let link = LinkNumber(gateway);
        paces.take(
            link,
            &"plain-1".into(),
            1,
            limit(milli_per_s),
            max_wait_ms,
            now_ms,
        )
    };
    let mut paces = TargetPaces::default();
    let mut held_until_ms: BTreeMap<u64, u64> = BTreeMap::new();
    let (mut sent, mut asked) = (Vec::new(), 0);
    for now_ms in (START_MS..START_MS + 30_000).step_by(10) {
        let since_ms = now_ms - START_MS;
        if lost_ms.contains(&since_ms) {
            paces = TargetPaces::default();
        }
        let away_ms = |from_ms: &u64| *from_ms..from_ms + 1000;
        let is_away = lost_ms
            .iter()
            .any(|from_ms| away_ms(from_ms).contains(&since_ms));
        for gateway in 0..gateways {
            let knows = since_ms >= gateway * 2000 / gateways;
            let held_ms = held_until_ms.get(&gateway).copied().unwrap_or(0);
            if !knows || now_ms < held_ms {
                continue;
            }
            for _ in 0..callers {
                asked += 1;
                let wait_ms = match is_away {
                    true => LEADER_AWAY_HOLD_MS,
                    false => match take(&mut paces, gateway, milli_per_s, max_wait_ms, now_ms) {
                        ChargeResult::Charged { after_ms, .. } => {
                            sent.push(now_ms + after_ms);
                            10
                        }
                        ChargeResult::Refused { wait_ms } => wait_ms,
                    },
                };
                held_until_ms.insert(gateway, now_ms + wait_ms);
            }
        }
    }
    sent.sort_unstable();
    (sent, asked)
}

/// The largest number of requests in any [`WINDOW_MS`].
fn most_in_window(sent: &[u64]) -> u64 {
    let in_window = |start: &u64| {
        let window = *start..start + WINDOW_MS;
        sent.iter().filter(|at| window.contains(at)).count() as u64
    };
    sent.iter().map(in_window).max().unwrap_or(0)
}

/// Guards against a target that gets more requests from all gateways together than the limit that
/// it states: incident 2026-12-filings-target-limit.
#[test]
fn the_leader_allows_no_more_than_the_limit_however_many_gateways_ask() {
    for gateways in [1, 3, 12, 100, 300] {
        for milli_per_s in [200, 1000, 7500, 50_000] {
            for max_wait_ms in [0, 150] {
                for lost_ms in [0, 7000, 15_550] {
                    let (sent, asked) = sends(gateways, 1, milli_per_s, max_wait_ms, &[lost_ms]);
                    let most = most_in_window(&sent);
                    let allowed = milli_per_s * WINDOW_MS / 1_000_000 + 2 + milli_per_s / 5000;
                    let case = format!("{gateways} gateways, {milli_per_s}, {max_wait_ms} ms");
                    assert!(most <= allowed, "{case}: {most} in 4 s, {allowed} expected");
                    // What a few requests can use.
                    let usable = milli_per_s.min(gateways * 50_000) * 22_000 / 1_000_000;
                    assert!(
                        sent.len() as u64 >= usable * 8 / 10,
                        "{case}: {} in 30 s, {usable} usable",
                        sent.len()
                    );
                    // Gateways do not all come back at once, nor before there is room.
                    let most_asked = 3 * sent.len() as u64 + gateways * 12;
                    assert!(asked <= most_asked, "{case}: {asked} asked");
                }
            }
        }
    }
}

/// Guards against a target that is hardly used as each gateway is told to wait for its own
/// requests that were refused together.
#[test]
fn requests_of_one_gateway_that_are_refused_together_count_once() {
    let mut failures = Vec::new();
    for gateways in [1, 4, 12, 300] {
        for callers in [3, 12] {
            for milli_per_s in [1000, 2000, 7500] {
                for lost_ms in [&[0][..], &[0, 4000, 8000, 12_000, 16_000, 20_000, 24_000]] {
                    let (sent, _) = sends(gateways, callers, milli_per_s, 0, lost_ms);
                    let most = most_in_window(&sent);
                    let allowed = milli_per_s * WINDOW_MS / 1_000_000 + 2 + milli_per_s / 5000;
                    // Each new leader allows nothing for an interval, beside the second without one.
                    let usable_ms = 28_000 - 2000 * lost_ms.len() as u64;
                    let usable = milli_per_s.min(gateways * 50_000) * usable_ms / 1_000_000;
                    let count = sent.len() as u64;
                    if most > allowed || count < usable * 7 / 10 {
                        failures.push(format!(
                            "{gateways} gateways, {callers} callers, {milli_per_s}, {} leaders lost: \
                             {count} in 30 s, {usable} usable; {most} in 4 s, {allowed} allowed",
                            lost_ms.len()
                        ));
                    }
                }
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against a gateway that is kept waiting by what another link or an earlier limit was told.
#[test]
fn a_refused_gateway_is_told_the_same_time_until_its_link_ends_or_the_limit_changes() {
    let mut paces = TargetPaces::default();
    let wait_ms = |paces: &mut TargetPaces, link, limit, now_ms| match paces.take(
        LinkNumber(link),
        &"plain-1".into(),
        1,
        limit,
        0,
        now_ms,
    ) {
        ChargeResult::Refused { wait_ms } => wait_ms,
        charged @ ChargeResult::Charged { .. } => panic!("{charged:?}"),
    };
    assert_eq!(wait_ms(&mut paces, 1, limit(1000), START_MS), 1000);
    assert_eq!(wait_ms(&mut paces, 1, limit(1000), START_MS), 1000);
    assert_eq!(wait_ms(&mut paces, 1, limit(1000), START_MS + 400), 600);
    assert_eq!(wait_ms(&mut paces, 2, limit(1000), START_MS + 400), 1200);
    paces.forget(LinkNumber(1));
    assert_eq!(wait_ms(&mut paces, 1, limit(1000), START_MS + 400), 2200);
    let stricter = limit(500);
    assert_eq!(wait_ms(&mut paces, 1, stricter, START_MS + 400), 1200);
}

#[test]
fn a_later_run_of_a_target_has_no_limit_until_it_states_one() {
    let mut paces = TargetPaces::default();
    let target = "plain-1".into();
    let allowed = |charge| matches!(charge, ChargeResult::Charged { .. });
    let link = LinkNumber(1);
    assert!(!allowed(paces.take(
        link,
        &target,
        1,
        limit(1000),
        0,
        START_MS
    )));
    assert!(allowed(paces.take(
        link,
        &target,
        2,
        RequestLimit::default(),
        0,
        START_MS
    )));
    assert!(
        !allowed(paces.take(link, &target, 1, limit(1000), 0, START_MS + 5000)),
        "the gateway does not know the later run"
    );
}

#[test]
fn a_request_that_was_not_sent_is_allowed_again() {
    let mut paces = TargetPaces::default();
    let target = "plain-1".into();
    let take = |paces: &mut TargetPaces| {
        paces.take(LinkNumber(1), &target, 1, limit(1000), 5000, START_MS)
    };
    let charged = |after_ms| ChargeResult::Charged {
        is_ample: false,
        after_ms,
    };
    assert_eq!(take(&mut paces), charged(1000));
    assert_eq!(take(&mut paces), charged(2000));
    paces.give_back(&"plain-1".into(), 1);
    assert_eq!(take(&mut paces), charged(2000));
}

/// Guards against a service whose targets all state limits and that gets nothing while there is no
/// leader, and against gateways that together send more than the limit then.
#[test]
fn without_a_leader_all_gateways_together_draw_half_of_the_limit() {
    for gateways in [1, 3, 12, 100, 300] {
        for milli_per_s in [200, 1000, 7500] {
            let rate = RequestRate { milli_per_s };
            let mut sent = Vec::new();
            for gateway in 0..gateways {
                let name = ProcessName(format!("gateway-{gateway}"));
                let mut last = None;
                // Clocks start at different times.
                let offset_ms = gateway * 7919;
                for now_ms in (0..400_000).step_by(20) {
                    let drawn = draws_interval(
                        &name,
                        &"plain-1".into(),
                        rate,
                        gateways,
                        START_MS + offset_ms + now_ms,
                    );
                    if drawn.is_some() && drawn != last {
                        last = drawn;
                        sent.push(now_ms);
                    }
                }
            }
            sent.sort_unstable();
            let most = most_in_window(&sent);
            let allowed = milli_per_s * WINDOW_MS * 3 / 2_000_000 + 5;
            let case = format!("{gateways} gateways, {milli_per_s}");
            assert!(most <= allowed, "{case}: {most} in 4 s, {allowed} allowed");
            let half = milli_per_s * 400 / 2000;
            let count = sent.len() as u64;
            assert!(
                (half / 2..=half * 3 / 2).contains(&count),
                "{case}: {count} in 400 s, {half} expected"
            );
        }
    }
    let rate = RequestRate { milli_per_s: 1000 };
    let unknown = draws_interval(&"gateway-1".into(), &"plain-1".into(), rate, 0, START_MS);
    assert_eq!(unknown, None, "the number of gateways is unknown");
}
