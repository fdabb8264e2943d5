//! Non-idempotent requests under failure: never twice, and every verdict true.

mod support;

use std::collections::BTreeMap;
use support::*;

/// How long a caller goes on resending one key.
const RESENDS: usize = 40;

async fn filing_system(delay_ms: u64) -> System {
    System::builder()
        .plain(delay_ms)
        .plain(delay_ms)
        .plain(delay_ms)
        .start()
        .await
}

/// What callers were told.
#[derive(Default)]
struct Told {
    not_run: Vec<String>,
    ran: BTreeMap<String, bytes::Bytes>,
    may_have_run: Vec<String>,
}

impl Told {
    fn note(&mut self, key: &str, answer: &Answer) {
        match answer.verdict() {
            "not-run" => self.not_run.push(answer.id().into()),
            "may-have-run" => self.may_have_run.push(key.into()),
            "ran" if answer.status == 201 && answer.whole => {
                let first = self
                    .ran
                    .entry(key.into())
                    .or_insert_with(|| answer.body.clone());
                assert_eq!(*first, answer.body, "{key}: another answer to a resend");
            }
            _ => {}
        }
    }

    /// No key ran twice; what ran has run; what was said not to run has not.
    async fn check(&self, system: &System) {
        let (by_key, by_request) = system.runs().await;
        let doubled: Vec<_> = by_key.iter().filter(|(_, count)| **count > 1).collect();
        assert!(doubled.is_empty(), "ran twice: {doubled:?}");
        for key in self.ran.keys() {
            assert_eq!(
                by_key.get(key),
                Some(&1),
                "{key} was answered and did not run"
            );
        }
        for id in &self.not_run {
            assert_eq!(
                by_request.get(id),
                None,
                "{id} was refused as not run and ran"
            );
        }
    }
}

/// Resends a key through the entries in turn until it has an answer or a
/// verdict that will not change.
async fn resend(system: &System, key: &str, told: &mut Told) -> Answer {
    let mut last = Answer::default();
    for number in 0..RESENDS {
        last = system
            .caller(number % system.entries.len(), LEDGERWELL)
            .file(key)
            .await;
        told.note(key, &last);
        if last.status == 201 {
            break;
        }
        sleep_ms(100).await;
    }
    last
}

fn spawn_filings(
    system: &System,
    entry: usize,
    keys: &[String],
) -> Vec<tokio::task::JoinHandle<(String, Answer)>> {
    let filings = keys.iter().map(|key| {
        let (caller, key) = (system.caller(entry, LEDGERWELL), key.clone());
        tokio::spawn(async move {
            let answer = caller.file(&key).await;
            (key, answer)
        })
    });
    filings.collect()
}

async fn gather(filings: Vec<tokio::task::JoinHandle<(String, Answer)>>, told: &mut Told) {
    for filing in filings {
        let (key, answer) = filing.await.unwrap();
        told.note(&key, &answer);
    }
}

fn keys(round: usize, count: usize) -> Vec<String> {
    (0..count)
        .map(|number| format!("round-{round}-{number}"))
        .collect()
}

/// The entry is killed at one moment after the other of a filing's course.
async fn entries_are_killed() {
    let mut system = filing_system(15).await;
    let mut told = Told::default();
    for round in 0..12 {
        let keys = keys(round, 6);
        let filings = spawn_filings(&system, 0, &keys);
        sleep_ms(round as u64 * 2).await;
        system.entries[0].0.kill();
        gather(filings, &mut told).await;
        for key in &keys {
            let caller = system.caller(1, LEDGERWELL);
            let answer = caller.file(key).await;
            told.note(key, &answer);
            assert_eq!(answer.status, 201, "{key}: {answer:?}");
        }
        system.entries[0].0.start_again();
        system.wait_ready().await;
    }
    told.check(&system).await;
    assert_eq!(told.ran.len(), 72);
}

/// The entry is frozen in the midst of filings for longer than every lease;
/// the caller resends through the other entry; the first one wakes up.
async fn an_entry_is_frozen() {
    let system = filing_system(10).await;
    let mut told = Told::default();
    for round in 0..3 {
        let keys = keys(round, 40);
        let filings = spawn_filings(&system, 0, &keys);
        sleep_ms(3 + round as u64 * 4).await;
        system.entries[0].0.freeze();
        sleep_ms(4500).await;
        for key in &keys {
            let answer = system.caller(1, LEDGERWELL).file(key).await;
            told.note(key, &answer);
            assert_eq!(answer.status, 201, "{key}: {answer:?}");
        }
        system.entries[0].0.thaw();
        gather(filings, &mut told).await;
    }
    told.check(&system).await;
}

/// The entry is frozen so briefly that its grants still hold when it wakes up.
async fn an_entry_is_frozen_briefly() {
    let system = filing_system(1).await;
    let mut told = Told::default();
    for round in 0..12 {
        let keys = keys(round, 40);
        let filings = spawn_filings(&system, 0, &keys);
        sleep_ms(1 + round as u64 / 2).await;
        system.entries[0].0.freeze();
        let resends = spawn_filings(&system, 1, &keys);
        sleep_ms(400).await;
        system.entries[0].0.thaw();
        gather(resends, &mut told).await;
        gather(filings, &mut told).await;
    }
    told.check(&system).await;
}

/// Agents are killed before and after dispatches, and return.
async fn agents_are_killed() {
    let mut system = filing_system(15).await;
    let mut told = Told::default();
    for round in 0..8 {
        let keys = keys(round, 12);
        let filings = spawn_filings(&system, round % 2, &keys);
        sleep_ms(round as u64 * 3).await;
        let name = format!("filings-{}", round % 3 + 1);
        system.target(&name).agent.kill();
        gather(filings, &mut told).await;
        for key in &keys {
            let answer = resend_once(&system, key, &mut told).await;
            let settled = matches!(answer.verdict(), "ran" | "may-have-run");
            assert!(settled, "{key}: {answer:?}");
        }
        system.target(&name).agent.start_again();
        system.wait_ready().await;
    }
    for round in 0..8 {
        for key in keys(round, 12) {
            resend_once(&system, &key, &mut told).await;
        }
    }
    told.check(&system).await;
    assert!(
        told.ran.len() >= 48,
        "only {} of 96 were answered",
        told.ran.len()
    );
}

async fn resend_once(system: &System, key: &str, told: &mut Told) -> Answer {
    let mut answer = Answer::default();
    for _ in 0..RESENDS {
        answer = system.caller(1, LEDGERWELL).file(key).await;
        told.note(key, &answer);
        if answer.verdict() != "not-run" {
            break;
        }
        sleep_ms(100).await;
    }
    answer
}

/// An entry and an agent are killed together in the midst of filings.
async fn an_entry_and_an_agent_are_killed() {
    let mut system = System::builder().plain(20).start().await;
    let mut told = Told::default();
    for round in 0..8 {
        let keys = keys(round, 10);
        let filings = spawn_filings(&system, 0, &keys);
        sleep_ms(4 + round as u64 * 3).await;
        system.entries[0].0.kill();
        system.target("filings-1").agent.kill();
        gather(filings, &mut told).await;
        system.target("filings-1").agent.start_again();
        for key in &keys {
            let answer = resend_once(&system, key, &mut told).await;
            let settled = matches!(answer.verdict(), "ran" | "may-have-run");
            assert!(settled, "{key}: {answer:?}");
        }
        system.entries[0].0.start_again();
        system.wait_ready().await;
    }
    told.check(&system).await;
}

/// The target breaks off every third connection after it has run the request.
async fn targets_break_off() {
    let options = ["--delay-ms", "5", "--break-every", "3"];
    let system = System::builder().plain_with(&options).start().await;
    let mut told = Told::default();
    for key in keys(0, 30) {
        for entry in [0, 1, 0] {
            let answer = system.caller(entry, LEDGERWELL).file(&key).await;
            told.note(&key, &answer);
            assert!(
                matches!(answer.verdict(), "ran" | "may-have-run"),
                "{key}: {answer:?}"
            );
        }
    }
    told.check(&system).await;
    assert_eq!((told.ran.len(), told.may_have_run.len()), (20, 30));
}

/// The caller hangs up before its answer; a resend gets that answer.
async fn answers_are_lost() {
    let system = filing_system(50).await;
    let mut told = Told::default();
    for round in 0..10 {
        let key = format!("lost-{round}");
        let filings = spawn_filings(&system, 0, std::slice::from_ref(&key));
        sleep_ms(round * 8).await;
        filings.iter().for_each(tokio::task::JoinHandle::abort);
        let answer = resend(&system, &key, &mut told).await;
        assert_eq!(answer.status, 201, "{key}: {answer:?}");
    }
    told.check(&system).await;
}

/// The agent is frozen in the midst of a filing for so long that its entry gives
/// up; once it is back, a resend gets the answer.
async fn an_agent_is_frozen() {
    let mut system = System::builder().plain(300).start().await;
    let mut told = Told::default();
    let filings = spawn_filings(&system, 0, &["frozen".into()]);
    sleep_ms(150).await;
    system.target("filings-1").agent.freeze();
    gather(filings, &mut told).await;
    assert_eq!(told.may_have_run, ["frozen"], "{:?}", told.not_run);
    system.target("filings-1").agent.thaw();
    let answer = resend(&system, "frozen", &mut told).await;
    assert_eq!(answer.status, 201, "{answer:?}");
    told.check(&system).await;
}

/// The target answers after the tier's deadline; a resend gets that answer.
async fn an_answer_is_late() {
    let document = DOCUMENT.replacen("deadline_ms: 60000", "deadline_ms: 600", 1);
    let system = System::builder().plain(1500).document(&document);
    let system = system.start().await;
    let mut told = Told::default();
    let filings = spawn_filings(&system, 0, &["late".into()]);
    gather(filings, &mut told).await;
    assert_eq!(told.may_have_run, ["late"], "{:?}", told.not_run);
    let answer = resend(&system, "late", &mut told).await;
    assert_eq!(answer.status, 201, "{answer:?}");
    told.check(&system).await;
}

/// 200 filings a second while the leader is killed and returns.
async fn a_leader_is_killed_under_load() {
    let mut system = filing_system(5).await;
    let mut told = Told::default();
    let mut filings = Vec::new();
    for tick in 0..80_usize {
        filings.extend(spawn_filings(&system, tick % 2, &keys(tick, 10)));
        sleep_ms(50).await;
        if tick == 20 {
            let leader = system.leader();
            system.controls[leader].process.kill();
        }
        if tick == 60 {
            for control in &mut system.controls {
                if control.process.has_ended() {
                    control.process.start_again();
                }
            }
        }
    }
    gather(filings, &mut told).await;
    let answered_first = told.ran.len();
    for tick in 0..80 {
        for key in keys(tick, 10) {
            if !told.ran.contains_key(&key) {
                let answer = resend(&system, &key, &mut told).await;
                assert_eq!(answer.status, 201, "{key}: {answer:?}");
            }
        }
    }
    println!(
        "{answered_first} of 800 answered at first, {} in all",
        told.ran.len()
    );
    told.check(&system).await;
    assert_eq!(told.ran.len(), 800);
}

cases! {
    a_filing_runs_once_when_entries_are_killed => entries_are_killed();
    a_filing_runs_once_when_an_entry_is_frozen => an_entry_is_frozen();
    a_filing_runs_once_when_an_entry_is_frozen_briefly => an_entry_is_frozen_briefly();
    a_filing_runs_once_when_agents_are_killed => agents_are_killed();
    a_filing_runs_once_when_entry_and_agent_are_killed => an_entry_and_an_agent_are_killed();
    a_filing_runs_once_when_its_target_breaks_off => targets_break_off();
    a_resend_gets_the_lost_answer => answers_are_lost();
    a_resend_gets_the_answer_of_a_frozen_agent => an_agent_is_frozen();
    a_resend_gets_the_late_answer => an_answer_is_late();
    a_filing_runs_once_when_a_leader_is_killed => a_leader_is_killed_under_load();
}
