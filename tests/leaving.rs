//! Membership, draining targets, fenced orders and graceful shutdown.

mod support;

use std::time::Instant;
use support::*;

/// Time after which a draining target must not receive new requests; a requirement of the users.
const DRAIN_DEADLINE_MS: u64 = 2000;
/// A quarter of that is allowed for an order to get from the leader to the agent.
const MAX_IN_FORCE_MS: u64 = DRAIN_DEADLINE_MS / 4;
/// A process that is disconnected from the control group keeps serving for at least this long.
const MIN_SERVING_MS: u64 = 2500;
/// Time between the last reply to a renewal and the disconnection, and time for which that
/// renewal was held; less than the maximum for which the leader holds one.
const RENEWAL_OFFSET_MS: u64 = 500;
/// Duration of the network partition around a control leader.
const PARTITION_MS: u128 = 30_000;
/// Time within which a silent agent must be removed from the members.
const MAX_REMOVAL_MS: u64 = 3000;

async fn count_runs(system: &mut System, name: &str) -> u64 {
    let address = system.target(name).address;
    let runs = get_json(address, "/runs").await;
    runs["by_request"]
        .as_object()
        .map_or(0, |runs| runs.len() as u64)
}

async fn three_plain() -> System {
    System::builder()
        .plain(5)
        .plain(5)
        .plain(5)
        .proxied()
        .start()
        .await
}

/// Sends filings in a loop, alternating between both entries; returns their responses.
fn spawn_filings(system: &System, count: usize) -> tokio::task::JoinHandle<Vec<Answer>> {
    let callers = [system.caller(0, LEDGERWELL), system.caller(1, LEDGERWELL)];
    tokio::spawn(async move {
        let mut answers = Vec::new();
        for number in 0..count {
            answers.push(callers[number % 2].file(&format!("steady-{number}")).await);
        }
        answers
    })
}

/// A drained target receives no new requests after two seconds, and receives requests again once
/// the drain is undone.
async fn drains() {
    let mut system = three_plain().await;
    let filing = spawn_filings(&system, 300);
    sleep_ms(300).await;
    let output = system.command(&["drain", "filings-2"]);
    assert!(output.status.success(), "{output:?}");
    sleep_ms(DRAIN_DEADLINE_MS).await;
    let before = count_runs(&mut system, "filings-2").await;
    let answers = filing.await.unwrap();
    assert!(answers.iter().all(|answer| answer.status == 201));
    for number in 0..30 {
        let answer = system
            .caller(0, LEDGERWELL)
            .file(&format!("late-{number}"))
            .await;
        assert_eq!(answer.status, 201, "{answer:?}");
    }
    assert_eq!(count_runs(&mut system, "filings-2").await, before);
    let output = system.command(&["drain", "filings-2", "--undo"]);
    assert!(output.status.success(), "{output:?}");
    let has_new_runs = |runs: u64| runs > before;
    sleep_ms(1000).await;
    for number in 0..60 {
        system
            .caller(0, LEDGERWELL)
            .file(&format!("again-{number}"))
            .await;
    }
    assert!(
        has_new_runs(count_runs(&mut system, "filings-2").await),
        "the drain did not end"
    );
}

/// A drain takes effect at the agent without delay, at any point of its renewal interval.
async fn drains_take_effect_immediately() {
    let system = System::builder().entries(1).plain(5).start().await;
    let is_leaving = |system: &System| {
        let status = system.status();
        let processes = status["processes"].as_array().cloned().unwrap_or_default();
        let mut members = processes.iter().map(|process| &process["member"]);
        members.any(|member| member["target"]["leaving"] == true)
    };
    for phase in 0..8 {
        sleep_ms(500 + phase * 110).await;
        for (arguments, wanted) in [
            (vec!["drain", "filings-1"], true),
            (vec!["drain", "filings-1", "--undo"], false),
        ] {
            assert!(system.command(&arguments).status.success());
            eventually("the order is in force", MAX_IN_FORCE_MS, || async {
                is_leaving(&system) == wanted
            })
            .await;
            sleep_ms(phase * 90).await;
        }
    }
}

/// A target that announces its shutdown receives no new requests, also from entries that are
/// disconnected from the control group and have not been notified.
async fn targets_shut_down() {
    let mut system = three_plain().await;
    for control in &system.controls {
        control.rpc_proxy.as_ref().unwrap().cut();
    }
    system
        .target("filings-1")
        .process
        .signal(nix::sys::signal::Signal::SIGTERM);
    sleep_ms(200).await;
    let address = system.target("filings-1").address;
    let before = count_runs(&mut system, "filings-1").await;
    let partitioned = Instant::now();
    let mut count = 0;
    while partitioned.elapsed().as_millis() < u128::from(DRAIN_DEADLINE_MS) {
        let caller = system.caller(count % 2, LEDGERWELL);
        let answer = caller.send("GET", "/services/filings/x", None, "").await;
        assert_eq!(answer.status, 200, "{answer:?}");
        count += 1;
        let runs = get_json(address, "/runs").await;
        let after = runs["by_request"].as_object().map(|runs| runs.len() as u64);
        assert!(
            after.is_none_or(|after| after == before),
            "the draining target received a new request"
        );
    }
    assert!(count > 20, "only {count} requests");
    // Entries do not act on an expired view.
    sleep_ms(3000).await;
    let refused = system
        .caller(0, LEDGERWELL)
        .send("GET", "/services/filings/x", None, "")
        .await;
    assert_eq!(
        (refused.status, refused.reason().as_str()),
        (503, "cut-off"),
        "{refused:?}"
    );
    // Without the control group, earlier uses of a key cannot be looked up, so "not run" would
    // be a guess.
    let keyed = system.caller(0, LEDGERWELL).file("known-before").await;
    assert_eq!(
        (keyed.status, keyed.verdict()),
        (502, "may-have-run"),
        "{keyed:?}"
    );
}

/// An entry that is disconnected just before a renewal is replied to keeps serving: its lease
/// includes the time for which the leader held the renewal before that one.
async fn disconnected_entries_keep_serving() {
    let system = System::builder().entries(1).plain(5).proxied();
    let system = system.start().await;
    let caller = system.caller(0, LEDGERWELL);
    // The leader replies to held renewals immediately when the document changes, which
    // synchronizes the renewals with the changes.
    for number in 1..=2 {
        let document = format!("{DOCUMENT}# change {number}\n");
        let output = system.apply(&document, &["--expected", &number.to_string()]);
        assert!(output.status.success(), "{output:?}");
        sleep_ms(RENEWAL_OFFSET_MS).await;
    }
    for control in &system.controls {
        control.rpc_proxy.as_ref().unwrap().cut();
    }
    sleep_ms(MIN_SERVING_MS).await;
    let answer = caller.send("GET", "/services/filings/x", None, "").await;
    assert_eq!(answer.status, 200, "{answer:?}");
}

/// A silent agent is removed from the members within three seconds.
async fn silent_agents_are_removed() {
    let mut system = three_plain().await;
    system.target("filings-3").agent.freeze();
    let frozen = Instant::now();
    eventually("the silent agent is removed", MAX_REMOVAL_MS, || async {
        let status = system.status();
        let known = status["processes"].as_array().cloned().unwrap_or_default();
        !known
            .iter()
            .any(|process| process["member"]["name"] == "filings-3")
    })
    .await;
    println!("removed after {} ms", frozen.elapsed().as_millis());
    let answer = system.caller(0, LEDGERWELL).file("after").await;
    assert_eq!(answer.status, 201, "{answer:?}");
}

/// Every kind of process is restarted under load. All requests must be answered, and none may
/// run twice.
async fn rolling_restart() {
    let mut system = System::builder()
        .plain(20)
        .plain(20)
        .plain(20)
        .engine(&[])
        .engine(&[])
        .start()
        .await;
    let (stop, stopped) = tokio::sync::watch::channel(false);
    let callers: Vec<_> = (0..8)
        .map(|task| {
            let entries: Vec<Caller> = (0..2).map(|e| system.caller(e, LEDGERWELL)).collect();
            let stopped = stopped.clone();
            tokio::spawn(async move {
                let mut answers = Vec::new();
                let mut number = 0;
                while !*stopped.borrow() || answers.len() < 130 {
                    // As a load balancer does: picks the first entry that is ready.
                    let order = [number % 2, 1 - number % 2];
                    let mut chosen = None;
                    for entry in order {
                        if get(entries[entry].entry, "/readyz").await.status == 200 {
                            chosen = Some(&entries[entry]);
                            break;
                        }
                    }
                    let Some(caller) = chosen else {
                        sleep_ms(20).await;
                        continue;
                    };
                    let answer = match task % 2 {
                        0 => caller.file(&format!("rolling-{task}-{number}")).await,
                        _ => caller.complete("x", 20, true).await,
                    };
                    answers.push(answer);
                    number += 1;
                }
                answers
            })
        })
        .collect();
    sleep_ms(500).await;
    for position in 0..3 {
        assert!(
            system.controls[position].process.terminate(STOP_LIMIT),
            "control {position}"
        );
        system.controls[position].process.start_again();
        sleep_ms(2000).await;
    }
    for position in 0..2 {
        assert!(
            system.entries[position].0.terminate(STOP_LIMIT),
            "entry {position}"
        );
        system.entries[position].0.start_again();
        sleep_ms(1500).await;
    }
    for target in &mut system.targets {
        assert!(target.agent.terminate(STOP_LIMIT), "agent {}", target.name);
        target.agent.start_again();
        sleep_ms(1500).await;
    }
    stop.send(true).unwrap();
    let (mut count, mut failed) = (0, Vec::new());
    for caller in callers {
        for answer in caller.await.unwrap() {
            count += 1;
            let whole = answer.status == 201 || answer.is_whole_stream(20);
            if !whole {
                failed.push(format!(
                    "{} {} {}",
                    answer.status,
                    answer.verdict(),
                    answer.text()
                ));
            }
        }
    }
    let (by_key, by_request) = system.runs().await;
    println!(
        "{count} requests through the rolling restart, {} cut",
        failed.len()
    );
    assert!(count >= 1000, "only {count} requests");
    assert!(
        failed.is_empty(),
        "{} of {count}: {:?}",
        failed.len(),
        failed.first()
    );
    assert!(
        by_key
            .values()
            .chain(by_request.values())
            .all(|count| *count == 1)
    );
}

/// Orders carry a fencing number that increases with each leader. Orders of a leader in a
/// minority partition, which agents still reach, must not take effect, even at an engine that
/// ignores the number and after its agent has restarted.
async fn orders_are_fenced() {
    let engines = System::builder().engine(&[]).engine(&["--checks-fencing"]);
    let mut system = engines.entries(1).proxied().start().await;
    for target in ["engine-1", "engine-2"] {
        assert!(
            system
                .command(&["order", target, "--model", "first"])
                .status
                .success()
        );
        has_order(&mut system, target, "first").await;
    }
    let leader = system.leader();
    let address = system.controls[leader].rpc.to_string();
    system.cut_peers(leader, true);
    let partitioned = Instant::now();
    sleep_ms(1500).await;
    let stale = guavacove(&[
        "order",
        "engine-1",
        "--model",
        "stale",
        "--control",
        &address,
    ]);
    assert!(
        !stale.status.success(),
        "the partitioned leader accepted an order"
    );
    for target in ["engine-1", "engine-2"] {
        assert!(
            system
                .command(&["order", target, "--model", "second"])
                .status
                .success()
        );
        has_order(&mut system, target, "second").await;
    }
    system.target("engine-1").agent.kill();
    system.target("engine-1").agent.start_again();
    while partitioned.elapsed().as_millis() < PARTITION_MS {
        sleep_ms(100).await;
    }
    system.cut_peers(leader, false);
    sleep_ms(3000).await;
    for target in ["engine-1", "engine-2"] {
        let orders = get_json(system.target(target).address, "/orders").await;
        let orders = orders.as_array().cloned().unwrap_or_default();
        let fencing: Vec<u64> = orders
            .iter()
            .filter_map(|o| o["fencing"].as_u64())
            .collect();
        assert!(fencing.is_sorted(), "{orders:?}");
        assert!(
            orders.iter().all(|order| order["model"] != "stale"),
            "{orders:?}"
        );
        assert_eq!(orders.last().unwrap()["model"], "second", "{orders:?}");
    }
}

async fn has_order(system: &mut System, target: &str, model: &str) {
    let address = system.target(target).address;
    eventually("the order has arrived", 3000, || async {
        let orders = get_json(address, "/orders").await;
        orders
            .as_array()
            .is_some_and(|o| o.last().is_some_and(|last| last["model"] == model))
    })
    .await;
}

cases! {
    a_drain_takes_effect_immediately => drains_take_effect_immediately();
    orders_of_a_partitioned_leader_have_no_effect => orders_are_fenced();
    a_drained_target_gets_nothing_new => drains();
    a_draining_target_receives_no_new_requests => targets_shut_down();
    a_disconnected_entry_serves_until_its_view_expires => disconnected_entries_keep_serving();
    a_silent_agent_is_removed_in_time => silent_agents_are_removed();
    a_rolling_restart_cuts_nothing => rolling_restart();
}
