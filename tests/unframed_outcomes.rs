//! Answers of plain targets that have neither a length nor chunks, on the path of entries and
//! agents. What the caller gets is read from the socket.

mod support;

use guavacove::units::RequestId;
use serde_json::json;
use socket2::SockRef;
use std::{
    net::{Shutdown, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};
use support::{
    LEDGERWELL, Process, RawAnswer, RawEnd, System, eventually, fetch, fetch_raw, free_address,
    get, sleep_ms,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
};

const EVENTS: &str = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";
const HALF_EVENT: &str = "id: 1\ndata: one\n\nid: 2\nda";

/// What the target does after its answer.
#[derive(Clone, Copy, Debug)]
enum After {
    Close,
    /// Closes its connections and refuses new ones.
    Crash,
    /// The same, and starts again at its address while its agent is frozen.
    Restart,
    /// The same as a crash, and has said before that it is leaving.
    Leave,
    /// Has said before that it is leaving, and still accepts connections.
    Stay,
    /// Goes on after a long pause.
    Pause,
    /// Resets the connection, while a long request is still being written.
    Reset,
}

#[derive(Clone, Copy, Debug)]
struct Answer {
    content_type: &'static str,
    text: &'static str,
    after: After,
}

/// How far a crash has come.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Crash {
    None,
    Begun,
    /// The target does not listen any more.
    Unheard,
}

async fn answer(
    mut stream: TcpStream,
    answer: Answer,
    crash: Arc<watch::Sender<Crash>>,
    started_unix_ms: u64,
) {
    let mut request = Vec::new();
    while !request.windows(4).any(|end| end == b"\r\n\r\n") {
        if stream.read_buf(&mut request).await.unwrap_or(0) == 0 {
            return;
        }
    }
    if request.starts_with(b"GET /started ") {
        let head = format!(
            "HTTP/1.1 200 OK\r\nguavacove-target-started: {started_unix_ms}\r\ncontent-length: 0\r\n\r\n"
        );
        let _ = stream.write_all(head.as_bytes()).await;
        return;
    }
    let head = match answer.content_type {
        // Stops inside the head.
        "" => String::new(),
        content_type => format!("HTTP/1.1 200 OK\r\ncontent-type: {content_type}\r\n\r\n"),
    };
    // Ends with an error when the agent closes the connection first.
    let _ = stream.write_all((head + answer.text).as_bytes()).await;
    if let After::Reset = answer.after {
        sleep_ms(60).await;
        let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        return;
    }
    sleep_ms(300).await;
    if let After::Pause = answer.after {
        sleep_ms(10_000).await;
    }
    if !matches!(answer.after, After::Close | After::Stay) {
        crash.send_replace(Crash::Begun);
        let mut crash = crash.subscribe();
        let _ = crash.wait_for(|crash| *crash == Crash::Unheard).await;
    }
}

/// Serves connections until the target crashes; then they are refused.
async fn serve(mut listener: TcpListener, script: Answer, started_unix_ms: Arc<AtomicU64>) {
    let address = listener.local_addr().unwrap();
    let crash = Arc::new(watch::Sender::new(Crash::None));
    let mut crashed = crash.subscribe();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    let started = started_unix_ms.load(Ordering::Relaxed);
                    tokio::spawn(answer(stream, script, Arc::clone(&crash), started));
                }
            }
            _ = crashed.changed() => {
                // Also for a process that is being spawned and has inherited it.
                SockRef::from(&listener).shutdown(Shutdown::Both).unwrap();
                drop(listener);
                crash.send_replace(Crash::Unheard);
                if !matches!(script.after, After::Restart) {
                    return;
                }
                sleep_ms(300).await;
                started_unix_ms.fetch_add(1000, Ordering::Relaxed);
                listener = TcpListener::bind(address).await.unwrap();
                crashed.mark_unchanged();
            }
        }
    }
}

/// Announces a target of a service to its agent until the test ends.
async fn announce(
    agent: SocketAddr,
    address: SocketAddr,
    is_leaving: Arc<AtomicBool>,
    started_unix_ms: Arc<AtomicU64>,
) {
    loop {
        let body = json!({
            "service": "filings", "address": address, "slots": 4,
            "leaving": is_leaving.load(Ordering::Relaxed),
            "started_unix_ms": started_unix_ms.load(Ordering::Relaxed),
            "identity_path": "/started",
        });
        let request = hyper::Request::put("/target")
            .header("host", "agent")
            .body(http_body_util::Full::new(body.to_string().into()));
        fetch(agent, request.unwrap()).await;
        sleep_ms(100).await;
    }
}

/// A system whose only plain target answers like this, with its agent, and a request to it.
async fn system_with_target(script: Answer) -> (System, Process, String) {
    let system = System::builder().controls(1).entries(1).start().await;
    let (listen, announced) = (free_address(), free_address());
    let settings = json!({
        "name": "filings-1", "failure_domain": "a", "listen": listen, "announce": announced,
        "control": system.control_addresses,
    });
    let file = system.write("filings-1.yaml", &settings.to_string());
    let log = system.folder.path().join("filings-1.log");
    let agent = Process::spawn(vec!["agent".into(), "--settings".into(), file], log);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let started_unix_ms = Arc::new(AtomicU64::new(1_700_000_000_000));
    tokio::spawn(serve(listener, script, Arc::clone(&started_unix_ms)));
    let is_leaving = Arc::new(AtomicBool::new(false));
    tokio::spawn(announce(
        announced,
        address,
        Arc::clone(&is_leaving),
        started_unix_ms,
    ));
    eventually("the target is a member", 15_000, || async {
        let status = system.status();
        let processes = status["processes"].as_array().cloned().unwrap_or_default();
        processes
            .iter()
            .any(|process| !process["member"]["target"].is_null())
    })
    .await;
    eventually("the entry is ready", 15_000, || async {
        get(system.entries[0].1, "/readyz").await.status == 200
    })
    .await;
    sleep_ms(300).await;
    let key = RequestId::random().to_string();
    let body = match script.after {
        After::Reset => "x".repeat(UPLOAD_BYTES),
        _ => String::new(),
    };
    let request = format!(
        "POST /services/filings/notices HTTP/1.1\r\nhost: guavacove\r\nauthorization: Bearer \
         {LEDGERWELL}\r\nidempotency-key: {key}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    if let After::Leave | After::Stay = script.after {
        let later = Arc::clone(&is_leaving);
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(100)).await;
            later.store(true, Ordering::Relaxed);
        });
    }
    (system, agent, request)
}

/// The answer to one request.
async fn answer_to_a_caller(script: Answer) -> RawAnswer {
    let (system, agent, request) = system_with_target(script).await;
    let entry = system.entries[0].1;
    let asking = tokio::spawn(async move { fetch_raw(entry, &request).await });
    if let After::Restart = script.after {
        // Before the crash; longer than the target needs to listen again.
        sleep_ms(150).await;
        agent.freeze();
        sleep_ms(1000).await;
        agent.thaw();
    }
    asking.await.unwrap()
}

/// Guards against a part of an answer that looks whole as the process that passes it on is killed.
async fn a_killed_process_breaks_its_answers_off(is_agent_killed: bool) {
    let script = Answer {
        content_type: STREAM,
        text: EVENTS,
        after: After::Pause,
    };
    let (mut system, mut agent, request) = system_with_target(script).await;
    let entry = system.entries[0].1;
    let asking = tokio::spawn(async move { fetch_raw(entry, &request).await });
    sleep_ms(1000).await;
    match is_agent_killed {
        true => agent.kill(),
        false => system.entries[0].0.kill(),
    }
    let answer = asking.await.unwrap();
    assert_eq!(
        (answer.status(), answer.end),
        (200, RawEnd::Broken),
        "{answer:?}"
    );
}

/// Guards against an answer whose target stopped inside the head and that reaches its caller as a
/// whole one.
async fn a_stopped_head_is_no_answer(text: &'static str, after: After) {
    an_answer_claims_no_more_than_its_target("", text, after, 502, RawEnd::Complete).await;
}

/// Guards against an answer that is told to be whole, by its length or its last chunk, although
/// its target only closed the connection, be it as it crashed.
async fn an_answer_claims_no_more_than_its_target(
    content_type: &'static str,
    text: &'static str,
    after: After,
    status: u16,
    end: RawEnd,
) {
    let script = Answer {
        content_type,
        text,
        after,
    };
    let answer = answer_to_a_caller(script).await;
    assert_eq!((answer.status(), answer.end), (status, end), "{answer:?}");
    if end == RawEnd::Closed {
        assert_eq!(answer.text, text);
    }
    assert!(
        status != 200 || text.starts_with(answer.text.split("event: error").next().unwrap()),
        "{answer:?}"
    );
}

const UPLOAD_BYTES: usize = 3_000_000;
const STREAM: &str = "text/event-stream";
const PLAIN: &str = "text/plain";
const STATUS_000: &str = "HTTP/1.1 000 X\r\ncontent-length: 2\r\n\r\nok";
const STATUS_101: &str = "HTTP/1.1 101 X\r\ncontent-length: 2\r\n\r\nok";
const STATUS_999: &str = "HTTP/1.1 999 X\r\ncontent-length: 2\r\n\r\nok";

cases! {
    killed_entries_break_streams_off => a_killed_process_breaks_its_answers_off(false);
    streams_of_killed_agents_are_broken => a_killed_process_breaks_its_answers_off(true);
    status_lines_are_no_answers => a_stopped_head_is_no_answer("HTTP/1.1 200 OK\r\n", After::Close);
    half_headers_are_no_answers =>
        a_stopped_head_is_no_answer("HTTP/1.1 200 OK\r\ncontent-ty", After::Close);
    heads_without_an_empty_line_are_no_answers =>
        a_stopped_head_is_no_answer("HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n", After::Close);
    crashes_inside_the_head_are_no_answers =>
        a_stopped_head_is_no_answer("HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n", After::Crash);

    status_000_is_no_answer => a_stopped_head_is_no_answer(STATUS_000, After::Close);
    status_101_is_no_answer => a_stopped_head_is_no_answer(STATUS_101, After::Close);
    status_999_is_no_answer => a_stopped_head_is_no_answer(STATUS_999, After::Close);
    parts_before_the_end_of_an_upload_are_not_the_whole =>
        an_answer_claims_no_more_than_its_target(PLAIN, "filed", After::Reset, 502, RawEnd::Complete);
    parts_of_streams_before_the_end_of_an_upload_are_not_the_whole =>
        an_answer_claims_no_more_than_its_target(STREAM, EVENTS, After::Reset, 200, RawEnd::Broken);

    closed_answers_claim_no_more_than_their_target =>
        an_answer_claims_no_more_than_its_target(PLAIN, "filed", After::Close, 200, RawEnd::Closed);
    answers_of_crashed_targets_are_not_passed_on =>
        an_answer_claims_no_more_than_its_target(PLAIN, "filed", After::Crash, 502, RawEnd::Complete);
    answers_of_leaving_targets_that_are_gone_are_not_passed_on =>
        an_answer_claims_no_more_than_its_target(PLAIN, "filed", After::Leave, 502, RawEnd::Complete);
    answers_of_leaving_targets_are_passed_on =>
        an_answer_claims_no_more_than_its_target(PLAIN, "filed", After::Stay, 200, RawEnd::Closed);
    closed_streams_claim_no_more_than_their_target =>
        an_answer_claims_no_more_than_its_target(STREAM, EVENTS, After::Close, 200, RawEnd::Closed);
    streams_of_crashed_targets_are_broken =>
        an_answer_claims_no_more_than_its_target(STREAM, EVENTS, After::Crash, 200, RawEnd::Broken);
    answers_of_targets_that_started_again_are_not_passed_on =>
        an_answer_claims_no_more_than_its_target(PLAIN, "filed", After::Restart, 502, RawEnd::Complete);
    streams_of_targets_that_started_again_are_broken =>
        an_answer_claims_no_more_than_its_target(STREAM, EVENTS, After::Restart, 200, RawEnd::Broken);
    streams_closed_inside_an_event_are_broken =>
        an_answer_claims_no_more_than_its_target(STREAM, HALF_EVENT, After::Close, 200, RawEnd::Broken);
    streams_closed_before_their_first_event_are_broken =>
        an_answer_claims_no_more_than_its_target(STREAM, "", After::Close, 200, RawEnd::Broken);
    streams_of_leaving_targets_that_are_gone_are_broken =>
        an_answer_claims_no_more_than_its_target(STREAM, EVENTS, After::Leave, 200, RawEnd::Broken);
    streams_of_leaving_targets_are_passed_on =>
        an_answer_claims_no_more_than_its_target(STREAM, EVENTS, After::Stay, 200, RawEnd::Closed);
}
