//! Non-idempotent requests under failures: each key runs at most once, and every verdict that
//! callers receive is true.

mod support;

use std::collections::BTreeMap;
use support::*;

/// Maximum number of times that a caller sends one key.
const MAX_RESENDS: usize = 40;

async fn filing_system(delay_ms: u64) -> System {
    System::builder()
        .plain(delay_ms)
        .plain(delay_ms)
        .plain(delay_ms)
        .start()
        .await
}

/// The verdicts that callers received.
#[derive(Default)]
struct ReportedVerdicts {
    not_run: Vec<String>,
    ran: BTreeMap<String, bytes::Bytes>,
    may_have_run: Vec<String>,
}

impl ReportedVerdicts {
    fn record(&mut self, key: &str, answer: &Answer) {
        match answer.verdict() {
            "not-run" => self.not_run.push(answer.id().into()),
            "may-have-run" => self.may_have_run.push(key.into()),
            "ran" if answer.status == 201 && answer.whole => {
                let first = self
                    .ran
                    .entry(key.into())
                    .or_insert_with(|| answer.body.clone());
                assert_eq!(
                    *first, answer.body,
                    "{key}: the response to a resend differs"
                );
            }
            _ => {}
        }
    }

    /// Asserts that no key ran twice, every answered key ran, and no request reported as
    /// not run did run.
    async fn check(&self, system: &System) {
        let (by_key, by_request) = system.runs().await;
        let ran_twice: Vec<_> = by_key.iter().filter(|(_, count)| **count > 1).collect();
        assert!(ran_twice.is_empty(), "ran twice: {ran_twice:?}");
        for key in self.ran.keys() {
            assert_eq!(
                by_key.get(key),
                Some(&1),
                "{key} was answered but did not run"
            );
        }
        for id in &self.not_run {
            assert_eq!(
                by_request.get(id),
                None,
                "{id} was reported as not run but ran"
            );
        }
    }
}

/// Sends a key through the entries in turn until it is answered with 201 or the attempts
/// are used up.
async fn resend_until_created(
    system: &System,
    key: &str,
    reported: &mut ReportedVerdicts,
) -> Answer {
    let mut last_answer = Answer::default();
    for attempt in 0..MAX_RESENDS {
        last_answer = system
            .caller(attempt % system.entries.len(), LEDGERWELL)
            .file(key)
            .await;
        reported.record(key, &last_answer);
        if last_answer.status == 201 {
            break;
        }
        sleep_ms(100).await;
    }
    last_answer
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

async fn record_filings(
    filings: Vec<tokio::task::JoinHandle<(String, Answer)>>,
    reported: &mut ReportedVerdicts,
) {
    for filing in filings {
        let (key, answer) = filing.await.unwrap();
        reported.record(&key, &answer);
    }
}

fn keys(round: usize, count: usize) -> Vec<String> {
    (0..count)
        .map(|number| format!("round-{round}-{number}"))
        .collect()
}

/// Guards against a second run on a resend after the entry was killed; each round kills it
/// 2 ms later in the processing of the filings.
async fn entries_are_killed() {
    let mut system = filing_system(15).await;
    let mut reported = ReportedVerdicts::default();
    for round in 0..12 {
        let keys = keys(round, 6);
        let filings = spawn_filings(&system, 0, &keys);
        sleep_ms(round as u64 * 2).await;
        system.entries[0].0.kill();
        record_filings(filings, &mut reported).await;
        for key in &keys {
            let caller = system.caller(1, LEDGERWELL);
            let answer = caller.file(key).await;
            reported.record(key, &answer);
            assert_eq!(answer.status, 201, "{key}: {answer:?}");
        }
        system.entries[0].0.start_again();
        system.wait_ready().await;
    }
    reported.check(&system).await;
    assert_eq!(reported.ran.len(), 72);
}

/// Guards against a second run by an entry that resumes with expired leases: it is frozen
/// during filings for longer than every lease while the callers resend through the other.
async fn an_entry_is_frozen() {
    let system = filing_system(10).await;
    let mut reported = ReportedVerdicts::default();
    for round in 0..3 {
        let keys = keys(round, 40);
        let filings = spawn_filings(&system, 0, &keys);
        sleep_ms(3 + round as u64 * 4).await;
        system.entries[0].0.freeze();
        sleep_ms(4500).await;
        for key in &keys {
            let answer = system.caller(1, LEDGERWELL).file(key).await;
            reported.record(key, &answer);
            assert_eq!(answer.status, 201, "{key}: {answer:?}");
        }
        system.entries[0].0.thaw();
        record_filings(filings, &mut reported).await;
    }
    reported.check(&system).await;
}

/// Like above, but the freeze is so short that the entry's grants are still valid when it
/// resumes.
async fn an_entry_is_frozen_briefly() {
    let system = filing_system(1).await;
    let mut reported = ReportedVerdicts::default();
    for round in 0..12 {
        let keys = keys(round, 40);
        let filings = spawn_filings(&system, 0, &keys);
        sleep_ms(1 + round as u64 / 2).await;
        system.entries[0].0.freeze();
        let resends = spawn_filings(&system, 1, &keys);
        sleep_ms(400).await;
        system.entries[0].0.thaw();
        record_filings(resends, &mut reported).await;
        record_filings(filings, &mut reported).await;
    }
    reported.check(&system).await;
}

/// Guards against a second run, or a request without a verdict, when agents are killed
/// before or after the dispatch and restarted.
async fn agents_are_killed() {
    let mut system = filing_system(15).await;
    let mut reported = ReportedVerdicts::default();
    for round in 0..8 {
        let keys = keys(round, 12);
        let filings = spawn_filings(&system, round % 2, &keys);
        sleep_ms(round as u64 * 3).await;
        let name = format!("filings-{}", round % 3 + 1);
        system.target(&name).agent.kill();
        record_filings(filings, &mut reported).await;
        for key in &keys {
            let answer = resend_until_dispatched(&system, key, &mut reported).await;
            let has_run_verdict = matches!(answer.verdict(), "ran" | "may-have-run");
            assert!(has_run_verdict, "{key}: {answer:?}");
        }
        system.target(&name).agent.start_again();
        system.wait_ready().await;
    }
    for round in 0..8 {
        for key in keys(round, 12) {
            resend_until_dispatched(&system, &key, &mut reported).await;
        }
    }
    reported.check(&system).await;
    assert!(
        reported.ran.len() >= 48,
        "only {} of 96 were answered",
        reported.ran.len()
    );
}

async fn resend_until_dispatched(
    system: &System,
    key: &str,
    reported: &mut ReportedVerdicts,
) -> Answer {
    let mut answer = Answer::default();
    for _ in 0..MAX_RESENDS {
        answer = system.caller(1, LEDGERWELL).file(key).await;
        reported.record(key, &answer);
        if answer.verdict() != "not-run" {
            break;
        }
        sleep_ms(100).await;
    }
    answer
}

/// An entry and an agent are killed together during filings, so that neither knows the
/// outcome afterwards.
async fn an_entry_and_an_agent_are_killed() {
    let mut system = System::builder().plain(20).start().await;
    let mut reported = ReportedVerdicts::default();
    for round in 0..8 {
        let keys = keys(round, 10);
        let filings = spawn_filings(&system, 0, &keys);
        sleep_ms(4 + round as u64 * 3).await;
        system.entries[0].0.kill();
        system.target("filings-1").agent.kill();
        record_filings(filings, &mut reported).await;
        system.target("filings-1").agent.start_again();
        for key in &keys {
            let answer = resend_until_dispatched(&system, key, &mut reported).await;
            let has_run_verdict = matches!(answer.verdict(), "ran" | "may-have-run");
            assert!(has_run_verdict, "{key}: {answer:?}");
        }
        system.entries[0].0.start_again();
        system.wait_ready().await;
    }
    reported.check(&system).await;
}

/// The target closes every third connection after it has run the request: the key must not
/// run again, and its verdict is `may-have-run`.
async fn targets_break_off() {
    let options = ["--delay-ms", "5", "--break-every", "3"];
    let system = System::builder().plain_with(&options).start().await;
    let mut reported = ReportedVerdicts::default();
    for key in keys(0, 30) {
        for entry in [0, 1, 0] {
            let answer = system.caller(entry, LEDGERWELL).file(&key).await;
            reported.record(&key, &answer);
            assert!(
                matches!(answer.verdict(), "ran" | "may-have-run"),
                "{key}: {answer:?}"
            );
        }
    }
    reported.check(&system).await;
    assert_eq!((reported.ran.len(), reported.may_have_run.len()), (20, 30));
}

/// The caller disconnects before the response; a resend gets that response.
async fn callers_disconnect() {
    let system = filing_system(50).await;
    let mut reported = ReportedVerdicts::default();
    for round in 0..10 {
        let key = format!("lost-{round}");
        let filings = spawn_filings(&system, 0, std::slice::from_ref(&key));
        sleep_ms(round * 8).await;
        filings.iter().for_each(tokio::task::JoinHandle::abort);
        let answer = resend_until_created(&system, &key, &mut reported).await;
        assert_eq!(answer.status, 201, "{key}: {answer:?}");
    }
    reported.check(&system).await;
}

/// The agent is frozen during a filing until the entry times out; once it resumes, a resend
/// gets the response.
async fn an_agent_is_frozen() {
    let mut system = System::builder().plain(300).start().await;
    let mut reported = ReportedVerdicts::default();
    let filings = spawn_filings(&system, 0, &["frozen".into()]);
    sleep_ms(150).await;
    system.target("filings-1").agent.freeze();
    record_filings(filings, &mut reported).await;
    assert_eq!(reported.may_have_run, ["frozen"], "{:?}", reported.not_run);
    system.target("filings-1").agent.thaw();
    let answer = resend_until_created(&system, "frozen", &mut reported).await;
    assert_eq!(answer.status, 201, "{answer:?}");
    reported.check(&system).await;
}

/// The target responds after the tier's deadline; a resend gets that response.
async fn an_answer_is_late() {
    let document = DOCUMENT.replacen("deadline_ms: 60000", "deadline_ms: 600", 1);
    let system = System::builder().plain(1500).document(&document);
    let system = system.start().await;
    let mut reported = ReportedVerdicts::default();
    let filings = spawn_filings(&system, 0, &["late".into()]);
    record_filings(filings, &mut reported).await;
    assert_eq!(reported.may_have_run, ["late"], "{:?}", reported.not_run);
    let answer = resend_until_created(&system, "late", &mut reported).await;
    assert_eq!(answer.status, 201, "{answer:?}");
    reported.check(&system).await;
}

/// 200 filings per second while the leader is killed and restarted.
async fn a_leader_is_killed_under_load() {
    let mut system = filing_system(5).await;
    let mut reported = ReportedVerdicts::default();
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
    record_filings(filings, &mut reported).await;
    let answered_first = reported.ran.len();
    for tick in 0..80 {
        for key in keys(tick, 10) {
            if !reported.ran.contains_key(&key) {
                let answer = resend_until_created(&system, &key, &mut reported).await;
                assert_eq!(answer.status, 201, "{key}: {answer:?}");
            }
        }
    }
    println!(
        "{answered_first} of 800 answered without a resend, {} in total",
        reported.ran.len()
    );
    reported.check(&system).await;
    assert_eq!(reported.ran.len(), 800);
}

cases! {
    a_filing_runs_once_when_entries_are_killed => entries_are_killed();
    a_filing_runs_once_when_an_entry_is_frozen => an_entry_is_frozen();
    a_filing_runs_once_when_an_entry_is_frozen_briefly => an_entry_is_frozen_briefly();
    a_filing_runs_once_when_agents_are_killed => agents_are_killed();
    a_filing_runs_once_when_entry_and_agent_are_killed => an_entry_and_an_agent_are_killed();
    a_filing_runs_once_when_its_target_breaks_off => targets_break_off();
    a_resend_gets_the_lost_answer => callers_disconnect();
    a_resend_gets_the_answer_of_a_frozen_agent => an_agent_is_frozen();
    a_resend_gets_the_late_answer => an_answer_is_late();
    a_filing_runs_once_when_a_leader_is_killed => a_leader_is_killed_under_load();
}
