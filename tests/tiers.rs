//! The order of shedding: a higher tier is never shed before a lower one.

mod support;

use guavacove::{
    agent::{Admission, Capacity, Decision},
    units::*,
    verdict::Reason,
    wire::Reserve,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::{
    collections::BTreeMap,
    time::{SystemTime, UNIX_EPOCH},
};
use support::*;

const QUEUE_REQUESTS: usize = 5;
/// Messages on their way when a request was shed.
const TRACE_SLACK_MS: u64 = 100;

/// What happens at an agent.
#[derive(Clone, Debug)]
enum Happening {
    Arrives { tier: u8, tokens: u64 },
    Runs,
    Ends,
    Passes { ms: u64 },
}

impl Arbitrary for Happening {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 8 {
            0..4 => Self::Arrives {
                tier: u8::arbitrary(g) % 5,
                tokens: u64::arbitrary(g) % 40,
            },
            4 => Self::Runs,
            5 => Self::Ends,
            _ => Self::Passes {
                ms: u64::arbitrary(g) % 1000,
            },
        }
    }
}

/// What is shed or displaced is never of a higher tier than what waits on; and
/// tokens and slots in use stay within the capacity, but for one alone.
fn lowest_goes_first(happenings: Vec<Happening>) -> bool {
    let capacity = Capacity {
        slots: 3,
        tokens: TokenCount(60),
    };
    let mut admission = Admission::new(Incarnation(1), capacity, QUEUE_REQUESTS);
    let mut tiers = BTreeMap::new();
    let (mut granted, mut running) = (Vec::new(), Vec::new());
    let (mut now_ms, mut next) = (1, 0);
    happenings.iter().all(|happening| {
        let decisions = match happening {
            Happening::Arrives { tier, tokens } => {
                next += 1;
                let request = RequestId(0, next);
                tiers.insert(request, TierRank(*tier));
                let reserve = Reserve {
                    request,
                    tier: TierRank(*tier),
                    service: "s".into(),
                    prompt_tokens: TokenCount(0),
                    total_tokens: TokenCount(*tokens),
                    deadline_ms: 2000,
                    document_version: DocumentVersion(1),
                    insist: true,
                    push: false,
                };
                admission.reserve(reserve, now_ms)
            }
            Happening::Runs => {
                if let Some((request, grant)) = granted.pop()
                    && admission.start(request, grant, now_ms).is_ok()
                {
                    running.push(grant);
                }
                Vec::new()
            }
            Happening::Ends => match running.pop() {
                Some(grant) => {
                    let outcome = guavacove::control::command::Outcome::MayHaveRun;
                    admission.finish(grant, outcome, Some(100), now_ms)
                }
                None => Vec::new(),
            },
            Happening::Passes { ms } => {
                now_ms += ms;
                admission.tick(now_ms)
            }
        };
        let lowest = admission
            .waiting_by_tier()
            .last_key_value()
            .map(|(tier, _)| *tier);
        let fair = decisions.iter().all(|decision| match decision {
            Decision::Refuse {
                request,
                reason: Reason::Shed | Reason::Displaced,
                ..
            } => lowest.is_none_or(|lowest| tiers[request] >= lowest),
            Decision::Grant { request, grant } => {
                granted.push((*request, *grant));
                true
            }
            _ => true,
        });
        let alone = admission.open_requests() <= 1;
        let within = admission.open_requests() <= 3 && admission.used_tokens() <= TokenCount(60);
        fair && (alone || within)
    })
}

#[test]
fn an_agent_sheds_the_lowest_tier_first() {
    let generator = Gen::from_size_and_seed(150, 11);
    let check = lowest_goes_first as fn(Vec<Happening>) -> bool;
    QuickCheck::new()
        .rng(generator)
        .tests(2000)
        .quickcheck(check);
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

struct Told {
    tier: u8,
    sent_ms: u64,
    ended_ms: u64,
    answer: Answer,
}

/// Far more overnight work than fits, then live requests: none of them is shed
/// while overnight work that was there goes on to run. Checked from the trace.
async fn live_outlasts_overnight() {
    let slow = ["--slots", "2", "--decode-tokens-per-s", "50"];
    let document = include_str!("../examples/document.yaml");
    let document = document.replace("queue_requests: 64", "queue_requests: 4");
    let engines = System::builder().engine(&slow).engine(&slow).engine(&slow);
    let system = engines.document(&document).start().await;
    let send = |number: usize, tier: u8| {
        let api_key = if tier == 0 { VANDERMEULEN } else { OVERNIGHT };
        let caller = system.caller(number % 2, api_key);
        tokio::spawn(async move {
            let sent_ms = unix_ms();
            let answer = caller.complete(&format!("{number}"), 40, true).await;
            Told {
                tier,
                sent_ms,
                ended_ms: unix_ms(),
                answer,
            }
        })
    };
    let mut calls = Vec::new();
    for number in 0..120 {
        let tier = if number >= 40 && number % 4 == 0 {
            0
        } else {
            3
        };
        calls.push(send(number, tier));
        sleep_ms(15).await;
    }
    let mut told = Vec::new();
    for call in calls {
        told.push(call.await.unwrap());
    }
    let mut starts = BTreeMap::new();
    for target in &system.targets {
        let more = get_json(target.address, "/starts").await;
        for (id, at_ms) in more.as_object().into_iter().flatten() {
            starts.insert(id.clone(), at_ms.as_u64().unwrap_or(0));
        }
    }
    let shed = |tier: u8| {
        told.iter()
            .filter(move |t| t.tier == tier && t.answer.status == 503)
    };
    println!(
        "{} live and {} overnight requests were shed",
        shed(0).count(),
        shed(3).count()
    );
    assert!(shed(3).count() > 20);
    for live in shed(0) {
        assert_eq!(live.answer.verdict(), "not-run");
        let outlasts = |other: &&Told| {
            other.tier == 3
                && other.sent_ms + TRACE_SLACK_MS < live.ended_ms
                && starts
                    .get(other.answer.id())
                    .is_some_and(|at| *at > live.ended_ms + TRACE_SLACK_MS)
        };
        let inverted = told.iter().filter(outlasts).count();
        assert_eq!(
            inverted, 0,
            "a live request was shed before {inverted} overnight ones"
        );
    }
    let retry = shed(3)
        .next()
        .unwrap()
        .answer
        .header("retry-after")
        .to_string();
    assert!(
        retry.parse::<u64>().is_ok_and(|seconds| seconds > 0),
        "{retry:?}"
    );
}

/// A request that loses its last place asks again at an agent that was full when
/// it was asked and has room by now, in place of being shed.
async fn asks_again() {
    let engine = ["--slots", "1", "--decode-tokens-per-s", "100"];
    let document = DOCUMENT.replace("queue_requests: 64", "queue_requests: 1");
    let engines = System::builder().entries(1).engine(&engine).engine(&engine);
    let system = engines.document(&document).start().await;
    let send = |max_tokens: u64| {
        let caller = system.caller(0, VANDERMEULEN);
        tokio::spawn(async move { caller.complete("x", max_tokens, true).await })
    };
    assert!(system.command(&["drain", "engine-2"]).status.success());
    sleep_ms(500).await;
    // Engine 1 runs one request for 3 s and has its queue full for so long.
    let runs = send(300);
    sleep_ms(150).await;
    let queued = send(10);
    sleep_ms(150).await;
    let undone = system.command(&["drain", "engine-2", "--undo"]);
    assert!(undone.status.success());
    sleep_ms(700).await;
    let long = send(1000);
    sleep_ms(300).await;
    // Engine 1 refuses this one, which then waits at engine 2 behind the long one.
    let asked = send(10);
    sleep_ms(2700).await;
    for request in [runs, queued] {
        assert_eq!(request.await.unwrap().status, 200);
    }
    assert!(!asked.is_finished());
    assert!(system.command(&["drain", "engine-2"]).status.success());
    let answer = asked.await.unwrap();
    assert!(answer.is_whole_stream(10), "{answer:?}");
    assert!(long.await.unwrap().is_whole_stream(1000));
}

cases! {
    a_request_that_loses_its_place_asks_again => asks_again();
    live_requests_outlast_overnight_ones => live_outlasts_overnight();
}
