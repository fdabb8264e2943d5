//! Which agents are asked for a place, in which order.

use guavacove::entry::routing::{Candidate, RoutingPolicy, order};
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
    order(policy, &candidates(waits_ms), Some(prefix), seed)
}

/// Every agent is asked, none twice; entries agree on the order, whatever they draw.
fn entries_agree(waits_ms: Vec<u8>, prefix: u64, seed: u64, other_seed: u64) -> bool {
    let asked = late_binding(&waits_ms, prefix, seed);
    let mut sorted = asked.clone();
    sorted.sort_unstable();
    sorted == (0..waits_ms.len()).collect::<Vec<_>>()
        && asked == late_binding(&waits_ms, prefix, other_seed)
}

/// Waits never change who is asked first, and among the others the shorter wait
/// comes first if the difference counts.
fn the_holder_is_first(waits_ms: Vec<u8>, prefix: u64, seed: u64) -> TestResult {
    let idle = vec![0; waits_ms.len()];
    let asked = late_binding(&waits_ms, prefix, seed);
    let Some((holder, others)) = asked.split_first() else {
        return TestResult::discard();
    };
    let wait_ms = |index: &usize| u64::from(waits_ms[*index]) * 10;
    let in_order = others
        .windows(2)
        .all(|pair| wait_ms(&pair[0]) < wait_ms(&pair[1]) + 250);
    TestResult::from_bool(Some(holder) == late_binding(&idle, prefix, seed).first() && in_order)
}

/// An agent that leaves takes only its own prefixes along: others keep their order.
fn a_leaving_agent_moves_nothing_else(agents: u8, prefix: u64, seed: u64) -> bool {
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
    check(entries_agree as fn(Vec<u8>, u64, u64, u64) -> bool);
}

#[test]
fn the_holder_of_a_prefix_is_asked_first() {
    check(the_holder_is_first as fn(Vec<u8>, u64, u64) -> TestResult);
}

#[test]
fn other_prefixes_stay_when_an_agent_leaves() {
    check(a_leaving_agent_moves_nothing_else as fn(u8, u64, u64) -> bool);
}
