//! Customers' contracts, enforced over all entries. Guards against entries that together admit
//! more than a contract allows, and against limits that a killed entry keeps.

mod support;

use guavacove::{
    control::limits::{LIMIT_LEASE_MS, LimitWant, Limits},
    document::ContractPolicy,
    units::*,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};
use support::*;

const REQUESTS_PER_S: u64 = 20;
const CONCURRENT_TOKENS: u64 = 1000;

fn limited_document() -> String {
    let contract = format!(
        "tier: draft\n    contract: {{requests_per_s: {REQUESTS_PER_S}, concurrent_tokens: \
         {CONCURRENT_TOKENS}}}"
    );
    include_str!("../examples/document.yaml").replacen("tier: draft", &contract, 1)
}

/// Sends far more requests than the contract allows through the given entries; returns the
/// numbers of answered and of refused requests.
async fn send_over_limit(system: &System, entries: &[usize], duration_s: u64) -> (u64, u64) {
    let (answered, refused) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let until = Instant::now() + Duration::from_secs(duration_s);
    let tasks = entries
        .iter()
        .flat_map(|entry| (0..4).map(move |task| (*entry, task)));
    let tasks = tasks.map(|(entry, _)| {
        let caller = system.caller(entry, LEDGERWELL);
        let (answered, refused) = (Arc::clone(&answered), Arc::clone(&refused));
        tokio::spawn(async move {
            while Instant::now() < until {
                let answer = caller.send("GET", "/services/filings/x", None, "").await;
                match (answer.status, answer.reason().as_str()) {
                    (200, _) => answered.fetch_add(1, Ordering::Relaxed),
                    (429, "over-limit") => refused.fetch_add(1, Ordering::Relaxed),
                    other => panic!("{other:?}"),
                };
                sleep_ms(20).await;
            }
        })
    });
    for task in tasks.collect::<Vec<_>>() {
        task.await.unwrap();
    }
    (
        answered.load(Ordering::Relaxed),
        refused.load(Ordering::Relaxed),
    )
}

/// The rate over all entries stays within the contract and one lease period's worth. What one
/// entry does not use is available to the other, also once it is killed.
async fn rates_are_shared() {
    let mut system = System::builder()
        .plain(1)
        .document(&limited_document())
        .start()
        .await;
    sleep_ms(LIMIT_LEASE_MS).await;
    let duration_s = 5;
    let (answered, refused) = send_over_limit(&system, &[0, 1], duration_s).await;
    println!("both entries: {answered} answered, {refused} refused");
    let lease = REQUESTS_PER_S * LIMIT_LEASE_MS / 1000;
    let offered = REQUESTS_PER_S * duration_s;
    let allowed = offered * 8 / 10..=offered + lease;
    assert!(allowed.contains(&answered), "{answered}");
    assert!(refused > 0);
    system.entries[0].0.kill();
    let (answered, _) = send_over_limit(&system, &[1], duration_s).await;
    println!("one entry killed: {answered} answered by the other");
    assert!(allowed.contains(&answered), "{answered}");
}

/// The tokens in progress at both entries together stay within the contract.
async fn tokens_are_shared() {
    let slow = ["--decode-tokens-per-s", "20", "--slots", "64"];
    let document = limited_document().replace("requests_per_s: 20", "requests_per_s: 1000");
    let system = System::builder()
        .engine(&slow)
        .document(&document)
        .start()
        .await;
    sleep_ms(LIMIT_LEASE_MS).await;
    // Each request holds 101 tokens for about five seconds, so nine fit.
    let calls = (0..40).map(|number| {
        let caller = system.caller(number % 2, LEDGERWELL);
        tokio::spawn(async move { caller.complete("x", 100, true).await })
    });
    let mut answered = 0;
    for call in calls.collect::<Vec<_>>() {
        let answer = call.await.unwrap();
        match answer.status {
            200 => answered += 1,
            _ => assert_eq!(answer.reason(), "over-limit", "{answer:?}"),
        }
    }
    println!("{answered} streams of 101 tokens within {CONCURRENT_TOKENS}");
    assert!(
        (5..=CONCURRENT_TOKENS / 101).contains(&answered),
        "{answered}"
    );
}

/// A call to the leader: the entry, the time since the last call, and the demand.
#[derive(Clone, Debug)]
struct Call {
    entry: u8,
    after_ms: u64,
    requests: u64,
    tokens: u64,
    leader_changes: bool,
}

impl Arbitrary for Call {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            entry: u8::arbitrary(g) % 4,
            after_ms: u64::arbitrary(g) % 700,
            requests: u64::arbitrary(g) % 50,
            tokens: u64::arbitrary(g) % 2000,
            leader_changes: u8::arbitrary(g) % 16 == 0,
        }
    }
}

/// The sum of leases never exceeds the contract, and admitted requests never exceed its rate
/// plus one second's worth, also over changes of leader.
fn contracts_hold(calls: Vec<Call>) -> bool {
    let contract = ContractPolicy {
        requests_per_s: REQUESTS_PER_S,
        concurrent_tokens: CONCURRENT_TOKENS,
    };
    let mut now_ms = 1;
    let mut limits = Limits::new(now_ms);
    let mut held: BTreeMap<u8, (u64, u64)> = BTreeMap::new();
    let mut admitted = 0;
    calls.iter().all(|call| {
        now_ms += call.after_ms;
        if call.leader_changes {
            limits = Limits::new(now_ms);
        }
        held.retain(|_, (_, until_ms)| *until_ms > now_ms);
        let own = held.get(&call.entry).map_or(0, |(tokens, _)| *tokens);
        let want = LimitWant {
            customer: "c".into(),
            requests: call.requests,
            tokens: TokenCount(call.tokens),
            held: TokenCount(own),
        };
        let entry = ProcessName(call.entry.to_string());
        let grant = limits.grant(&entry, &want, contract, now_ms);
        admitted += grant.requests;
        held.insert(call.entry, (grant.tokens.0, now_ms + LIMIT_LEASE_MS));
        let sum: u64 = held.values().map(|(tokens, _)| *tokens).sum();
        sum <= CONCURRENT_TOKENS && admitted <= REQUESTS_PER_S * (now_ms / 1000 + 2)
    })
}

#[test]
fn leases_never_exceed_a_contract() {
    let generator = Gen::from_size_and_seed(200, 7);
    QuickCheck::new()
        .rng(generator)
        .tests(500)
        .quickcheck(contracts_hold as fn(Vec<Call>) -> bool);
}

cases! {
    a_customers_rate_is_shared_by_entries => rates_are_shared();
    a_customers_tokens_are_shared_by_entries => tokens_are_shared();
}
