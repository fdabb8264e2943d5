//! Complete responses despite dead connections, engine failures and disconnecting callers.

mod support;

use support::*;

/// Time within which the agent replaces a dead connection to an engine.
const TARGET_SILENCE_MS: u64 = 2500;

async fn one_slow_engine() -> System {
    let engine = ["--decode-tokens-per-s", "40", "--slots", "64"];
    System::builder()
        .entries(1)
        .engine(&engine)
        .proxied()
        .start()
        .await
}

/// Guards against lost or repeated requests when links between entry and agent stop delivering
/// data mid-stream. The open links are silenced twice; new links work.
async fn silenced_links() {
    let mut system = one_slow_engine().await;
    let tokens = 240;
    let calls = (0..12).map(|number| {
        let caller = system.caller(0, LEDGERWELL);
        tokio::spawn(async move { caller.complete(&format!("{number}"), tokens, true).await })
    });
    let calls: Vec<_> = calls.collect();
    for _ in 0..2 {
        sleep_ms(1000).await;
        system
            .target("engine-1")
            .link
            .as_ref()
            .unwrap()
            .silence_open();
        sleep_ms(1600).await;
    }
    for call in calls {
        let answer = call.await.unwrap();
        assert!(
            answer.is_whole_stream(tokens),
            "{} bytes, {}",
            answer.body.len(),
            answer.status
        );
    }
    let (_, by_request) = system.runs().await;
    assert!(
        by_request.values().all(|count| *count == 1),
        "{by_request:?}"
    );
}

/// Guards against a truncated stream being reported as complete. The link goes silent and cannot
/// be replaced: the stream ends in an error, and later requests are refused as not run.
async fn dead_link() {
    let mut system = one_slow_engine().await;
    let caller = system.caller(0, LEDGERWELL);
    let call = tokio::spawn(async move { caller.complete("x", 2000, true).await });
    sleep_ms(1000).await;
    system.target("engine-1").link.as_ref().unwrap().cut();
    let answer = call.await.unwrap();
    let text = answer.text();
    assert!(!text.contains("[DONE]"), "reported as complete");
    assert!(!answer.whole, "framed as complete");
    assert!(
        text.contains("event: error") && text.contains("link-lost"),
        "{text}"
    );
    let refused = system.caller(0, LEDGERWELL).complete("y", 5, true).await;
    assert_eq!(
        (refused.status, refused.verdict()),
        (503, "not-run"),
        "{refused:?}"
    );
}

/// Guards against truncated responses being reported as complete when the engine is killed
/// mid-response.
async fn killed_engine() {
    let mut system = one_slow_engine().await;
    let caller = system.caller(0, LEDGERWELL);
    let (streaming, waiting) = (caller.clone(), caller);
    let stream = tokio::spawn(async move { streaming.complete("x", 2000, true).await });
    let plain = tokio::spawn(async move { waiting.complete("x", 2000, false).await });
    sleep_ms(800).await;
    system.target("engine-1").process.kill();
    let stream = stream.await.unwrap();
    assert!(!stream.text().contains("[DONE]"), "reported as complete");
    assert!(!stream.whole, "framed as complete");
    assert!(stream.text().contains("event: error"), "{}", stream.text());
    let plain = plain.await.unwrap();
    assert_eq!(
        (plain.status, plain.verdict()),
        (502, "may-have-run"),
        "{plain:?}"
    );
}

/// Guards against wasted engine capacity: a request whose caller disconnects must be cancelled
/// at the engine at once.
async fn disconnecting_caller() {
    let mut system = one_slow_engine().await;
    let engine = system.target("engine-1").address;
    let caller = system.caller(0, LEDGERWELL);
    let call = tokio::spawn(async move { caller.complete("x", 5000, true).await });
    sleep_ms(800).await;
    call.abort();
    eventually("the engine has cancelled", 500, || async {
        get_json(engine, "/stats").await["cancelled"] == 1
    })
    .await;
}

/// Guards against lost streams when the agent is frozen mid-stream for longer than the silence
/// timeout of its links.
async fn frozen_agent() {
    let mut system = one_slow_engine().await;
    let caller = system.caller(0, LEDGERWELL);
    let call = tokio::spawn(async move { caller.complete("x", 200, true).await });
    sleep_ms(1000).await;
    system.target("engine-1").agent.freeze();
    sleep_ms(3000).await;
    system.target("engine-1").agent.thaw();
    let answer = call.await.unwrap();
    assert!(answer.is_whole_stream(200), "{} bytes", answer.body.len());
}

/// Guards against hanging or repeated requests when the connection to the engine stops
/// delivering data, once before the first token and once mid-stream; new connections work.
async fn silenced_target_connection() {
    let engine = [
        "--prefill-tokens-per-s",
        "50",
        "--decode-tokens-per-s",
        "40",
    ];
    let system = System::builder().entries(1).engine(&engine).proxied();
    let mut system = system.start().await;
    let caller = system.caller(0, LEDGERWELL);
    // The prompt takes 2 s.
    let prompt = "x".repeat(400);
    let call = tokio::spawn(async move { caller.complete(&prompt, 200, true).await });
    for _ in 0..2 {
        sleep_ms(1000).await;
        let proxy = system.target("engine-1").engine_link.as_ref();
        proxy.unwrap().silence_open();
        sleep_ms(TARGET_SILENCE_MS).await;
    }
    let answer = call.await.unwrap();
    assert!(answer.is_whole_stream(200), "{answer:?}");
    let runs = get_json(system.target("engine-1").address, "/runs").await;
    assert_eq!(runs[answer.id()], 1, "{runs}");
}

/// The same before the head of a response that is not streamed.
async fn target_connection_silenced_before_head() {
    let engine = ["--decode-tokens-per-s", "40"];
    let system = System::builder().entries(1).engine(&engine).proxied();
    let mut system = system.start().await;
    let caller = system.caller(0, LEDGERWELL);
    let call = tokio::spawn(async move { caller.complete("x", 100, false).await });
    sleep_ms(1000).await;
    let proxy = system.target("engine-1").engine_link.as_ref();
    proxy.unwrap().silence_open();
    let answer = call.await.unwrap();
    assert_eq!(answer.status, 200, "{answer:?}");
    let tokens: String = (0..100)
        .map(|n| guavacove::standin::token_text(answer.id(), n))
        .collect();
    assert_eq!(
        answer.json()["choices"][0]["text"],
        tokens.as_str(),
        "{answer:?}"
    );
}

/// Guards against treating a long prefill as a dead engine, as it sends no data meanwhile.
async fn slow_prefill() {
    let engine = ["--prefill-tokens-per-s", "5"];
    let system = System::builder().entries(1).engine(&engine).start().await;
    // The prompt takes 20 s; the tier's deadline is 60 s.
    let caller = system.caller(0, LEDGERWELL);
    let answer = caller.complete(&"x".repeat(400), 5, true).await;
    assert!(answer.is_whole_stream(5), "{answer:?}");
}

/// Guards against spending the retry budget on a dead target. The target is killed while its
/// agent is alive; the agent must stop accepting requests when it cannot connect.
async fn dead_target() {
    let mut system = System::builder().entries(1).plain(1).plain(1).start().await;
    let caller = system.caller(0, LEDGERWELL);
    system.target("filings-1").process.kill();
    for number in 0..60 {
        let path = format!("/services/filings/{number}");
        let answer = caller.send("GET", &path, None, "").await;
        assert_eq!(answer.status, 200, "request {number}: {answer:?}");
    }
}

cases! {
    a_stream_is_resumed_when_its_target_connection_goes_silent => silenced_target_connection();
    a_response_is_resumed_when_its_target_connection_goes_silent => target_connection_silenced_before_head();
    a_slow_prefill_does_not_time_out => slow_prefill();
    a_dead_target_gets_no_further_requests => dead_target();
    streams_are_resumed_when_links_go_silent => silenced_links();
    a_stream_over_a_dead_link_is_not_reported_as_complete => dead_link();
    a_response_of_a_killed_engine_is_not_reported_as_complete => killed_engine();
    a_disconnecting_caller_cancels_its_request_at_the_engine => disconnecting_caller();
    a_stream_is_resumed_after_its_agent_was_frozen => frozen_agent();
}
