//! Targets that send bytes without end, on the path of entries and agents.

mod support;

use serde_json::json;
use std::net::SocketAddr;
use support::{LEDGERWELL, Process, System, eventually, fetch, free_address, get, sleep_ms};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Maximum resident memory of a process that a target sends bytes to: far below what arrives in
/// [`SENDING_MS`].
const MAX_RESIDENT_KB: u64 = 64 * 1024;
/// Time for which the target sends.
const SENDING_MS: u64 = 4000;

/// The response that has no end.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Endless {
    /// The head of a load report.
    ReportHead,
    /// The body of a load report.
    Report,
    /// The head of an answer.
    AnswerHead,
    /// The body of an answer whose caller does not read.
    Answer,
}

impl Endless {
    /// The first bytes of the response to a request and those that are repeated after them, if it
    /// has no end.
    fn script(self, head: &str) -> (&'static str, Option<Vec<u8>>) {
        let is_report = head.starts_with("GET /load ");
        let is_of_this_kind = matches!(self, Self::ReportHead | Self::Report) == is_report;
        let bytes = || Some(vec![b'x'; 16 * 1024]);
        match self {
            Self::ReportHead | Self::AnswerHead if is_of_this_kind => {
                ("HTTP/1.1 200 OK\r\nx-filler: ", bytes())
            }
            Self::Report | Self::Answer if is_of_this_kind => (
                "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\n",
                bytes(),
            ),
            _ => ("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", None),
        }
    }
}

async fn answer(mut stream: TcpStream, endless: Endless) {
    let mut request = Vec::new();
    while !request.windows(4).any(|end| end == b"\r\n\r\n") {
        if stream.read_buf(&mut request).await.unwrap_or(0) == 0 {
            return;
        }
    }
    let (first, repeated) = endless.script(&String::from_utf8_lossy(&request));
    let mut is_open = stream.write_all(first.as_bytes()).await.is_ok();
    while let (true, Some(bytes)) = (is_open, &repeated) {
        is_open = stream.write_all(bytes).await.is_ok();
    }
}

/// A system with one target, which sends bytes without end, and its agent.
async fn system_with_target(endless: Endless) -> (System, Process) {
    // With this policy, agents ask engines for load reports.
    let system = System::builder().routing("push-to-least");
    let system = system.controls(1).entries(1).start().await;
    let (listen, announced) = (free_address(), free_address());
    let settings = json!({
        "name": "filings-1", "failure_domain": "a", "listen": listen, "announce": announced,
        "control": system.control_addresses,
    });
    let file = system.write("filings-1.yaml", &settings.to_string());
    let log = system.folder.path().join("filings-1.log");
    let agent = Process::spawn(vec!["agent".into(), "--settings".into(), file], log);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address: SocketAddr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream, endless));
        }
    });
    let is_engine = matches!(endless, Endless::ReportHead | Endless::Report);
    tokio::spawn(async move {
        loop {
            let body = json!({
                "service": "filings", "address": address, "slots": 4, "is_engine": is_engine,
            });
            let request = hyper::Request::put("/target")
                .header("host", "agent")
                .body(http_body_util::Full::new(body.to_string().into()));
            fetch(announced, request.unwrap()).await;
            sleep_ms(500).await;
        }
    });
    eventually("the target is a member", 15_000, || async {
        let status = system.status();
        let processes = status["processes"].as_array().cloned().unwrap_or_default();
        let mut processes = processes.iter();
        processes.any(|process| !process["member"]["target"].is_null())
    })
    .await;
    eventually("the entry is ready", 15_000, || async {
        get(system.entries[0].1, "/readyz").await.status == 200
    })
    .await;
    sleep_ms(300).await;
    (system, agent)
}

/// Guards against processes that keep all bytes of a target that sends without end, and run out of
/// memory.
async fn an_endless_response_is_bounded(endless: Endless) {
    let (system, agent) = system_with_target(endless).await;
    let mut caller = TcpStream::connect(system.entries[0].1).await.unwrap();
    let request = format!(
        "POST /services/filings/notices HTTP/1.1\r\nhost: guavacove\r\nauthorization: Bearer \
         {LEDGERWELL}\r\nidempotency-key: once\r\ncontent-length: 0\r\n\r\n"
    );
    caller.write_all(request.as_bytes()).await.unwrap();
    sleep_ms(SENDING_MS).await;
    let entry_kb = system.entries[0].0.peak_memory_kb();
    let agent_kb = agent.peak_memory_kb();
    println!("peak memory: the entry {entry_kb} KiB, the agent {agent_kb} KiB");
    assert!(entry_kb < MAX_RESIDENT_KB, "the entry keeps {entry_kb} KiB");
    assert!(agent_kb < MAX_RESIDENT_KB, "the agent keeps {agent_kb} KiB");
}

cases! {
    an_endless_load_report_is_bounded => an_endless_response_is_bounded(Endless::Report);
    an_endless_head_of_a_load_report_is_bounded =>
        an_endless_response_is_bounded(Endless::ReportHead);
    an_endless_answer_is_bounded => an_endless_response_is_bounded(Endless::Answer);
    an_endless_head_of_an_answer_is_bounded => an_endless_response_is_bounded(Endless::AnswerHead);
}
