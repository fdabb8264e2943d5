//! End-to-end tests of callers, entries, agents and targets in separate processes.

mod support;

use support::*;

async fn two_entries() -> System {
    let fast = ["--slots", "256", "--kv-tokens", "1000000"];
    System::builder()
        .engine(&fast)
        .engine(&fast)
        .engine(&fast)
        .plain(5)
        .start()
        .await
}

async fn either_entry_serves_streams_and_filings() {
    let system = two_entries().await;
    for entry in 0..2 {
        let caller = system.caller(entry, LEDGERWELL);
        let stream = caller
            .complete("Draft a statement of affairs.", 30, true)
            .await;
        assert!(stream.is_whole_stream(30), "{stream:?}");
        assert_eq!(stream.verdict(), "ran");
        let plain = caller.complete("Summarise the letter.", 10, false).await;
        let last = guavacove::standin::token_text(plain.id(), 9);
        assert!(
            plain.json()["choices"][0]["text"]
                .as_str()
                .unwrap()
                .ends_with(&last)
        );
        let key = format!("notice-{entry}");
        let filed = caller.file(&key).await;
        assert_eq!((filed.status, filed.verdict()), (201, "ran"), "{filed:?}");
        let resent = system.caller(1 - entry, LEDGERWELL).file(&key).await;
        assert_eq!(resent.body, filed.body);
    }
    let (by_key, _) = system.runs().await;
    assert!(by_key.values().all(|count| *count == 1), "{by_key:?}");
}

async fn an_applied_document_is_in_force() {
    let system = two_entries().await;
    let changed = changed_document("queue_requests: 64", "queue_requests: 65");
    let output = system.apply(&changed, &["--wait"]);
    assert!(output.status.success(), "{output:?}");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(text.contains("in force in all 6 processes"), "{text}");
}

fn changed_document(from: &str, to: &str) -> String {
    include_str!("../examples/document.yaml").replace(from, to)
}

async fn concurrent_streams_are_intact() {
    let system = two_entries().await;
    let streams = (0..300).map(|number| {
        let caller = system.caller(number % 2, VANDERMEULEN);
        tokio::spawn(async move {
            let prompt = format!("Question {number}: {}", "when? ".repeat(number % 40));
            let tokens = 20 + number as u64 % 30;
            (tokens, caller.complete(&prompt, tokens, true).await)
        })
    });
    let streams: Vec<_> = streams.collect();
    let mut ids = std::collections::BTreeSet::new();
    for stream in streams {
        let (tokens, answer) = stream.await.unwrap();
        assert!(answer.is_whole_stream(tokens), "{answer:?}");
        assert!(ids.insert(answer.id().to_string()));
    }
    let (_, by_request) = system.runs().await;
    assert!(by_request.values().all(|count| *count == 1));
}

async fn refusals_carry_reason_and_verdict() {
    let system = two_entries().await;
    let entry = system.entries[0].1;
    let unauthorized = Caller::new(entry, "nobody").complete("x", 1, false).await;
    assert_eq!(
        (unauthorized.status, unauthorized.reason().as_str()),
        (401, "unknown-customer")
    );
    let caller = system.caller(0, LEDGERWELL);
    let bad = caller
        .send("POST", "/v1/completions", None, "{not json")
        .await;
    assert_eq!(
        (bad.status, bad.reason().as_str(), bad.verdict()),
        (400, "bad-request", "not-run")
    );
    let body = r#"{"model": "nothing", "prompt": "x"}"#;
    let unknown = caller.send("POST", "/v1/completions", None, body).await;
    assert_eq!(
        (unknown.status, unknown.reason().as_str()),
        (404, "unknown-service")
    );
    let keyless = caller
        .send("POST", "/services/filings/notices", None, "x")
        .await;
    assert_eq!(
        (keyless.status, keyless.reason().as_str()),
        (400, "key-required")
    );
    let long = "x".repeat(17 * 1024 * 1024);
    let long = caller
        .send("POST", "/services/filings/notices", Some("long"), &long)
        .await;
    assert_eq!((long.status, long.reason().as_str()), (413, "too-large"));
    let after = caller.complete("still there?", 2, true).await;
    assert!(after.is_whole_stream(2));
}

async fn requests_are_explained() {
    let system = two_entries().await;
    let filed = system.caller(0, LEDGERWELL).file("explained").await;
    let resent = system.caller(0, LEDGERWELL).file("explained").await;
    let admin = system.admins[0].to_string();
    let explain = |answer: &Answer| {
        let output = guavacove(&["explain", answer.id(), "--entry", &admin]);
        assert!(output.status.success(), "{output:?}");
        String::from_utf8_lossy(&output.stdout).into_owned()
    };
    let timeline = explain(&filed);
    for text in [
        "arrived from ledgerwell for filings, tier draft",
        "asked filings-1 for a place",
        "filings-1 granted a place first",
        "attempt 1: the claim was committed",
        "attempt 1: dispatched to filings-1",
        "status 201 (ran)",
    ] {
        assert!(
            timeline.contains(text),
            "{text:?} is missing in:\n{timeline}"
        );
    }
    assert!(explain(&resent).contains("an earlier answer was on record"));
    let streamed = system.caller(0, LEDGERWELL).complete("x", 5, true).await;
    let timeline = explain(&streamed);
    for text in ["as it likely holds the prompt's prefix", "passed on whole"] {
        assert!(
            timeline.contains(text),
            "{text:?} is missing in:\n{timeline}"
        );
    }
    let unknown = "0".repeat(32);
    let output = guavacove(&["explain", &unknown, "--entry", &admin]);
    assert_eq!(output.status.code(), Some(1));
}

/// `guavacove status` shows the running and waiting requests of each target by tier.
async fn status_shows_the_load() {
    let engine = ["--decode-tokens-per-s", "20", "--slots", "2"];
    let system = System::builder().entries(1).engine(&engine).start().await;
    for api_key in [LEDGERWELL, LEDGERWELL, LEDGERWELL, OVERNIGHT] {
        let caller = system.caller(0, api_key);
        tokio::spawn(async move { caller.complete("x", 100, true).await });
        sleep_ms(50).await;
    }
    eventually("the load is shown", 2000, || async {
        let status = system.status();
        let agent = status["processes"].as_array().and_then(|all| {
            let mut all = all.iter();
            all.find(|process| process["member"]["name"] == "engine-1")
        });
        let expected = serde_json::json!({"running": 2, "waiting": {"draft": 1, "overnight": 1}});
        agent.is_some_and(|agent| agent["load"] == expected)
    })
    .await;
    let text = String::from_utf8(system.command(&["status"]).stdout).unwrap();
    assert!(
        text.contains("2 in progress, 1 draft waiting, 1 overnight waiting"),
        "{text}"
    );
}

/// The port of HTTP/1.1 also serves HTTP/2 without TLS.
async fn http2_is_served() {
    use http_body_util::{BodyExt, Full};
    use hyper_util::rt::{TokioExecutor, TokioIo};
    let system = System::builder().entries(1).plain(1).start().await;
    let stream = tokio::net::TcpStream::connect(system.entries[0].1)
        .await
        .unwrap();
    let handshake =
        hyper::client::conn::http2::handshake(TokioExecutor::new(), TokioIo::new(stream));
    let (mut sender, connection) = handshake.await.unwrap();
    tokio::spawn(connection);
    let calls = (0..20).map(|number| {
        let request = hyper::Request::get(format!("http://entry/services/filings/{number}"))
            .header("authorization", format!("Bearer {LEDGERWELL}"))
            .body(Full::<bytes::Bytes>::default())
            .unwrap();
        sender.send_request(request)
    });
    for (number, call) in calls.collect::<Vec<_>>().into_iter().enumerate() {
        let response = call.await.unwrap();
        assert_eq!(response.status(), 200);
        let body = response.into_body().collect().await.unwrap().to_bytes();
        assert_eq!(body, format!("{{\"path\":\"/{number}\"}}"));
    }
}

/// `guavacove dev` serves requests and shuts down gracefully while a stream is open.
async fn dev_serves_and_stops() {
    let folder = tempfile::tempdir().unwrap();
    let address = free_address();
    let arguments = vec!["dev".into(), "--port".into(), address.port().to_string()];
    let mut dev = Process::spawn(arguments, folder.path().join("dev.log"));
    eventually("dev is ready", 15_000, || async {
        get(address, "/readyz").await.status == 200
    })
    .await;
    let caller = Caller::new(address, VANDERMEULEN);
    eventually("an engine is there", 5000, || async {
        caller
            .complete("When does my domain renew?", 5, true)
            .await
            .is_whole_stream(5)
    })
    .await;
    assert_eq!(
        Caller::new(address, LEDGERWELL)
            .file("notice-1")
            .await
            .status,
        201
    );
    let streaming = tokio::spawn(async move { caller.complete("x", 200, true).await });
    sleep_ms(300).await;
    assert!(dev.terminate(STOP_LIMIT), "{}", dev.log());
    assert!(streaming.await.unwrap().is_whole_stream(200));
}

cases! {
    http2_without_tls_is_served => http2_is_served();
    dev_serves_and_stops_gracefully => dev_serves_and_stops();
    what_runs_and_waits_is_shown => status_shows_the_load();
    a_request_is_explained => requests_are_explained();
    streams_and_filings_go_through_either_entry => either_entry_serves_streams_and_filings();
    a_document_applied_is_in_force_at_every_process => an_applied_document_is_in_force();
    concurrent_streams_keep_their_bytes => concurrent_streams_are_intact();
    refusals_name_reason_and_verdict => refusals_carry_reason_and_verdict();
}
