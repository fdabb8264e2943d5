//! Property tests of the order in which routing asks agents for a slot.

use guavacove::entry::routing::{Candidate, RoutingPolicy, order_agents};
use quickcheck::{Gen, QuickCheck, TestResult};

fn candidates(waits_ms: &[u8]) -> Vec<Candidate> {
    let candidate = |(number, wait_ms): (usize, &u8)| Candidate {
        name: format!("engine-{number}").as_str().into(),
        wait_ms: u64::from(*wait_ms) * 10,
        open_requests: 0,
    };
    waits_ms.iter().enumerate().map(candidate).collect()
}

fn late_binding(waits_ms: &[u8], prefix: u64, seed: u64) -> Vec<usize> {
    let policy = RoutingPolicy::LateBinding;
    order_agents(policy, &candidates(waits_ms), Some(prefix), seed)
}

/// Every agent is asked exactly once, and all entries use the same order whatever their
/// seed.
fn entries_agree_on_the_order(waits_ms: Vec<u8>, prefix: u64, seed: u64, other_seed: u64) -> bool {
    let ordered = late_binding(&waits_ms, prefix, seed);
    let mut sorted = ordered.clone();
    sorted.sort_unstable();
    sorted == (0..waits_ms.len()).collect::<Vec<_>>()
        && ordered == late_binding(&waits_ms, prefix, other_seed)
}

/// Waits never change which agent comes first. The others are sorted by wait, apart from
/// differences below the bucket width.
fn the_prefix_agent_is_first(waits_ms: Vec<u8>, prefix: u64, seed: u64) -> TestResult {
    let idle = vec![0; waits_ms.len()];
    let ordered = late_binding(&waits_ms, prefix, seed);
    let Some((prefix_agent, others)) = ordered.split_first() else {
        return TestResult::discard();
    };
    let wait_ms = |index: &usize| u64::from(waits_ms[*index]) * 10;
    let sorted_by_wait = others
        .windows(2)
        .all(|pair| wait_ms(&pair[0]) < wait_ms(&pair[1]) + 250);
    TestResult::from_bool(
        Some(prefix_agent) == late_binding(&idle, prefix, seed).first() && sorted_by_wait,
    )
}

/// Removing an agent moves only its own prefixes; the other agents keep their order.
fn removing_an_agent_keeps_the_order(agents: u8, prefix: u64, seed: u64) -> bool {
    let count = usize::from(agents % 40) + 2;
    let before = late_binding(&vec![0; count], prefix, seed);
    let after = late_binding(&vec![0; count - 1], prefix, seed);
    let without: Vec<usize> = before
        .into_iter()
        .filter(|index| *index != count - 1)
        .collect();
    without == after
}

fn check(property: impl quickcheck::Testable) {
    let generator = Gen::from_size_and_seed(40, 5);
    QuickCheck::new()
        .rng(generator)
        .tests(500)
        .quickcheck(property);
}

#[test]
fn entries_ask_in_the_same_order() {
    check(entries_agree_on_the_order as fn(Vec<u8>, u64, u64, u64) -> bool);
}

#[test]
fn the_prefix_agent_is_asked_first() {
    check(the_prefix_agent_is_first as fn(Vec<u8>, u64, u64) -> TestResult);
}

#[test]
fn other_prefixes_stay_when_an_agent_leaves() {
    check(removing_an_agent_keeps_the_order as fn(u8, u64, u64) -> bool);
}
