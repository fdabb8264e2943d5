//! The control group under crashes, lost disks, frozen processes, network partitions and
//! concurrent changes.

mod support;

use guavacove::{
    control::{
        ControlClient,
        rpc::{ApplyReply, ControlRpcClient},
    },
    units::*,
};
use jsonrpsee::http_client::HttpClientBuilder;
use std::time::{Duration, Instant};
use support::*;

const DOCUMENT: &str = include_str!("../examples/document.yaml");
/// Maximum time until a change is in force in every process; a requirement of the users.
const MAX_IN_FORCE_MS: u128 = 4000;

fn document(queue_requests: u64) -> String {
    DOCUMENT.replace(
        "queue_requests: 64",
        &format!("queue_requests: {queue_requests}"),
    )
}

fn client(system: &System) -> ControlClient {
    ControlClient::new(system.control_addresses.clone())
}

async fn apply(client: &ControlClient, change: &str, expected: u64, yaml: &str) -> ApplyReply {
    let reply = client.call(1000, 20_000, |client| {
        let (change, yaml) = (ChangeId::from(change), yaml.to_string());
        async move { client.apply(change, DocumentVersion(expected), yaml).await }
    });
    reply.await.expect("a leader answers")
}

async fn document_in_force(client: &ControlClient) -> (u64, String) {
    let document = client.call(1000, 20_000, |client| async move { client.get().await });
    let document = document.await.expect("a leader answers");
    (document.version.0, document.yaml)
}

async fn small_group() -> System {
    System::builder().entries(1).start().await
}

/// A retried change gets its first reply. Of concurrent changes exactly one is accepted, and the
/// replies to the others name it.
async fn retries_and_races() {
    let system = small_group().await;
    let client = client(&system);
    let first = apply(&client, "change-a", 1, &document(70)).await;
    assert_eq!(first, ApplyReply::Applied(DocumentVersion(2)));
    assert_eq!(apply(&client, "change-a", 1, &document(70)).await, first);
    let racers = (0..8).map(|racer| {
        let client = ControlClient::new(system.control_addresses.clone());
        tokio::spawn(async move {
            apply(
                &client,
                &format!("racer-{racer}"),
                2,
                &document(100 + racer),
            )
            .await
        })
    });
    let racers: Vec<_> = racers.collect();
    let mut replies = Vec::new();
    for racer in racers {
        replies.push(racer.await.unwrap());
    }
    let won = ApplyReply::Applied(DocumentVersion(3));
    let winner = replies
        .iter()
        .position(|reply| *reply == won)
        .expect("one wins");
    let winner = ChangeId(format!("racer-{winner}"));
    let lost = ApplyReply::Lost {
        current: DocumentVersion(3),
        winner,
    };
    assert_eq!(replies.iter().filter(|reply| **reply == won).count(), 1);
    assert_eq!(replies.iter().filter(|reply| **reply == lost).count(), 7);
    let reused = apply(&client, "change-a", 1, &document(71)).await;
    assert_eq!(reused, ApplyReply::ChangeReused);
    assert_eq!(document_in_force(&client).await, (3, document_of(&replies)));
}

fn document_of(replies: &[ApplyReply]) -> String {
    let won = |reply: &ApplyReply| matches!(reply, ApplyReply::Applied(_));
    document(100 + replies.iter().position(won).unwrap() as u64)
}

/// Applies changes while `inject_fault` disturbs the group. No accepted change may be lost or
/// reverted.
async fn apply_changes_under_faults(
    mut system: System,
    rounds: u64,
    inject_fault: impl Fn(&mut System, u64),
) {
    let client = client(&system);
    let mut version = 1;
    for round in 0..rounds {
        inject_fault(&mut system, round);
        for step in 0..3 {
            let yaml = document(1000 + version);
            let change = format!("round-{round}-{step}");
            let reply = apply(&client, &change, version, &yaml).await;
            version += 1;
            assert_eq!(reply, ApplyReply::Applied(DocumentVersion(version)));
            assert_eq!(document_in_force(&client).await, (version, yaml));
        }
    }
}

async fn leaders_are_killed() {
    let system = small_group().await;
    apply_changes_under_faults(system, 4, |system, round| {
        if round % 2 == 0 {
            let leader = system.leader();
            system.controls[leader].process.kill();
        } else {
            for control in &mut system.controls {
                if control.process.has_ended() {
                    control.process.start_again();
                }
            }
        }
    })
    .await;
}

async fn all_are_killed_and_restarted() {
    let system = small_group().await;
    apply_changes_under_faults(system, 3, |system, _| {
        for control in &mut system.controls {
            control.process.kill();
        }
        for control in &mut system.controls {
            control.process.start_again();
        }
    })
    .await;
}

/// A leader that was frozen still assumes that it leads when it resumes.
async fn a_leader_is_frozen() {
    let system = small_group().await;
    let frozen = std::sync::Mutex::new(None);
    apply_changes_under_faults(system, 4, move |system, _| {
        let mut frozen = frozen.lock().unwrap();
        if let Some(position) = frozen.take() {
            let control: &support::Control = &system.controls[position];
            control.process.thaw();
        } else {
            let leader = system.leader();
            system.controls[leader].process.freeze();
            *frozen = Some(leader);
        }
    })
    .await;
}

/// A partitioned leader must not reply once its lease has expired, and rejoins as a follower.
async fn a_leader_is_partitioned() {
    let system = System::builder().entries(1).proxied().start().await;
    let leader = system.leader();
    let others: Vec<_> = (0..3).filter(|position| *position != leader).collect();
    system.cut_control(leader, true);
    // Called directly: a `ControlClient` would follow its hint to the new leader.
    let url = format!("http://{}", system.controls[leader].rpc);
    let direct = HttpClientBuilder::default().build(url).unwrap();
    let rest = ControlClient::new(
        others
            .iter()
            .map(|p| system.control_addresses[*p])
            .collect(),
    );
    let accepted = apply(&rest, "during", 1, &document(77)).await;
    assert_eq!(accepted, ApplyReply::Applied(DocumentVersion(2)));
    let asked = Instant::now();
    while asked.elapsed() < Duration::from_millis(1500) {
        let stale = direct.get().await;
        assert!(stale.is_err(), "the partitioned leader replied: {stale:?}");
        sleep_ms(50).await;
    }
    system.cut_control(leader, false);
    sleep_ms(1500).await;
    assert_eq!(document_in_force(&client(&system)).await, (2, document(77)));
}

/// An instance with a new disk is a new replica, which votes once it has caught up. The next
/// disk is lost right after that.
async fn disks_are_lost_one_after_the_other() {
    let mut system = small_group().await;
    let client = client(&system);
    for version in 1..6 {
        apply(
            &client,
            &format!("change-{version}"),
            version,
            &document(200 + version),
        )
        .await;
    }
    for lost in [0, 1, 2] {
        system.controls[lost].process.kill();
        std::fs::remove_dir_all(&system.controls[lost].data_folder).unwrap();
        system.controls[lost].process.start_again();
        eventually(
            "the new replica is a voter and the old one is removed",
            15_000,
            || async {
                let status = system.status();
                let replicas = status["replicas"].as_array().cloned().unwrap_or_default();
                let voters = replicas
                    .iter()
                    .filter(|replica| replica["voter"] == true)
                    .count();
                let numbers: std::collections::BTreeSet<String> = replicas
                    .iter()
                    .map(|replica| replica["id"].as_str().unwrap()[..1].to_string())
                    .collect();
                // Checked in a single status: between two, the new one may have become a learner.
                replicas.len() == 3
                    && voters == 3
                    && numbers.len() == 3
                    && has_latest_replica(&replicas, &system.controls[lost])
            },
        )
        .await;
    }
    assert_eq!(document_in_force(&client).await, (6, document(205)));
    let reply = apply(&client, "after", 6, &document(300)).await;
    assert_eq!(reply, ApplyReply::Applied(DocumentVersion(7)));
}

/// Whether the latest replica of a restarted instance is among these.
fn has_latest_replica(replicas: &[serde_json::Value], control: &Control) -> bool {
    let log = control.process.log();
    let ids: Vec<&str> = log
        .lines()
        .filter_map(|line| line.split("control: replica ").nth(1)?.split(' ').next())
        .collect();
    let last = ids.last().copied().unwrap_or_default();
    ids.len() > 1 && replicas.iter().any(|replica| replica["id"] == last)
}

/// A change is stored by two replicas. One of them loses its disk, the other is down, and the
/// third never received it. The group must refuse reads rather than lose the change.
async fn a_disk_is_lost_without_a_quorum() {
    let mut system = small_group().await;
    let leader = system.leader();
    let (second, third) = ((leader + 1) % 3, (leader + 2) % 3);
    system.controls[third].process.kill();
    let client = client(&system);
    let accepted = apply(&client, "held-by-two", 1, &document(88)).await;
    assert_eq!(accepted, ApplyReply::Applied(DocumentVersion(2)));
    system.controls[leader].process.kill();
    system.controls[second].process.kill();
    std::fs::remove_dir_all(&system.controls[second].data_folder).unwrap();
    system.controls[second].process.start_again();
    system.controls[third].process.start_again();
    let read = client
        .call(500, 4000, |client| async move { client.get().await })
        .await;
    assert!(read.is_err(), "replied without a quorum: {read:?}");
    system.controls[leader].process.start_again();
    assert_eq!(document_in_force(&client).await, (2, document(88)));
}

/// Replicas, entries and agents that missed 500 changes catch up to the last one, the replica
/// from a snapshot, and act on none of the others.
async fn many_changes_are_missed() {
    let mut system = System::builder().entries(2).plain(1).start().await;
    let client = client(&system);
    let leader = system.leader();
    let absent = (leader + 1) % 3;
    system.controls[absent].process.kill();
    system.entries[1].0.kill();
    let agent = &mut system.target("filings-1").agent;
    agent.freeze();
    for version in 1..501 {
        apply(
            &client,
            &format!("change-{version}"),
            version,
            &document(version),
        )
        .await;
    }
    system.controls[absent].process.start_again();
    system.entries[1].0.start_again();
    system.target("filings-1").agent.thaw();
    let restored = |system: &System| {
        let log = system.controls[absent].process.log();
        let entries = log
            .lines()
            .filter_map(|line| line.split("snapshot up to entry ").nth(1));
        entries
            .filter_map(|entry| entry.parse::<u64>().ok())
            .any(|entry| entry > 100)
    };
    eventually("the replica restores a snapshot", 10_000, || async {
        restored(&system)
    })
    .await;
    system.wait_ready().await;
    let status = system.status();
    for process in status["processes"].as_array().unwrap() {
        assert_eq!(process["document_version"], 501, "{process}");
    }
    let filed = system.caller(1, LEDGERWELL).file("after").await;
    assert_eq!(filed.status, 201, "{filed:?}");
    // The remaining two, one of them restored, must now form a quorum.
    let other = (0..3).find(|p| *p != leader && *p != absent).unwrap();
    system.controls[other].process.kill();
    assert_eq!(document_in_force(&client).await, (501, document(500)));
}

/// A change is in force in thirty processes within four seconds, while one of them is frozen.
async fn thirty_processes_apply() {
    let mut builder = System::builder().entries(3);
    for _ in 0..8 {
        builder = builder.plain(1);
    }
    let mut system = builder.start().await;
    let mut agents = Vec::new();
    for number in 0..16 {
        let settings = serde_json::json!({
            "name": format!("idle-{number}"),
            "failure_domain": "a",
            "listen": free_address(),
            "announce": free_address(),
            "control": system.control_addresses,
        });
        let file = system.write(&format!("idle-{number}.yaml"), &settings.to_string());
        let log = system.folder.path().join("idle.log");
        agents.push(Process::spawn(
            vec!["agent".into(), "--settings".into(), file],
            log,
        ));
    }
    eventually("27 processes are members", 15_000, || async {
        system.status()["processes"]
            .as_array()
            .is_some_and(|known| known.len() == 27)
    })
    .await;
    // One of them is frozen when the change is accepted.
    agents[0].freeze();
    let started = Instant::now();
    let output = system.apply(&document(99), &["--wait"]);
    let elapsed_ms = started.elapsed().as_millis();
    assert!(output.status.success(), "{output:?}");
    println!("in force in 30 processes after {elapsed_ms} ms, one of them frozen");
    assert!(elapsed_ms < MAX_IN_FORCE_MS, "{elapsed_ms} ms");
    agents[0].thaw();
    assert!(system.entries[0].0.terminate(Duration::from_secs(10)));
}

cases! {
    retries_get_the_first_reply_and_races_one_winner => retries_and_races();
    accepted_changes_survive_killed_leaders => leaders_are_killed();
    accepted_changes_survive_a_restart_of_the_whole_group => all_are_killed_and_restarted();
    accepted_changes_survive_frozen_leaders => a_leader_is_frozen();
    a_partitioned_leader_does_not_reply => a_leader_is_partitioned();
    lost_disks_are_replaced_one_after_the_other => disks_are_lost_one_after_the_other();
    reads_are_refused_after_a_lost_disk_rather_than_stale => a_disk_is_lost_without_a_quorum();
    processes_that_missed_many_changes_catch_up => many_changes_are_missed();
    a_change_is_in_force_at_thirty_processes_in_time => thirty_processes_apply();
}
