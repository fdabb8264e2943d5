//! Whole answers over links that go silent, and callers that hang up.

mod support;

use support::*;

/// An engine's connection that is silent is replaced within this time.
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

/// Links go silent for good in mid-stream, one after the other; new ones work.
async fn links_go_silent() {
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

/// A link that stays silent: the stream ends in an error and is not passed off
/// as whole, and later requests are refused as not run.
async fn a_link_stays_silent() {
    let mut system = one_slow_engine().await;
    let caller = system.caller(0, LEDGERWELL);
    let call = tokio::spawn(async move { caller.complete("x", 2000, true).await });
    sleep_ms(1000).await;
    system.target("engine-1").link.as_ref().unwrap().cut();
    let answer = call.await.unwrap();
    let text = answer.text();
    assert!(!text.contains("[DONE]"), "passed off as whole");
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

/// The engine dies in mid-stream.
async fn an_engine_dies() {
    let mut system = one_slow_engine().await;
    let caller = system.caller(0, LEDGERWELL);
    let (streaming, waiting) = (caller.clone(), caller);
    let stream = tokio::spawn(async move { streaming.complete("x", 2000, true).await });
    let plain = tokio::spawn(async move { waiting.complete("x", 2000, false).await });
    sleep_ms(800).await;
    system.target("engine-1").process.kill();
    let stream = stream.await.unwrap();
    assert!(!stream.text().contains("[DONE]"), "passed off as whole");
    assert!(stream.text().contains("event: error"), "{}", stream.text());
    let plain = plain.await.unwrap();
    assert_eq!(
        (plain.status, plain.verdict()),
        (502, "may-have-run"),
        "{plain:?}"
    );
}

/// A caller that hangs up frees the engine at once.
async fn a_caller_hangs_up() {
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

/// The agent freezes in mid-stream for longer than its links hold.
async fn an_agent_is_frozen() {
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

/// The connection to the engine goes silent, before its first token and in
/// mid-stream; new ones work.
async fn a_target_connection_goes_silent() {
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

/// The same before the head of an answer that is not streamed.
async fn a_target_connection_is_silent_before_the_head() {
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

/// An engine that computes a long prompt says nothing for long; it is waited for.
async fn an_engine_takes_its_time() {
    let engine = ["--prefill-tokens-per-s", "5"];
    let system = System::builder().entries(1).engine(&engine).start().await;
    // The prompt takes 20 s; the tier's deadline is 60 s.
    let caller = system.caller(0, LEDGERWELL);
    let answer = caller.complete(&"x".repeat(400), 5, true).await;
    assert!(answer.is_whole_stream(5), "{answer:?}");
}

/// A target dies with its agent alive: what its agent cannot connect to gets no
/// more work at once, so that the budget of retries is not spent on it.
async fn a_dead_target_is_avoided() {
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
    a_stream_resumes_when_its_target_connection_is_silent => a_target_connection_goes_silent();
    an_answer_comes_when_its_target_connection_is_silent => a_target_connection_is_silent_before_the_head();
    a_slow_prefill_is_waited_for => an_engine_takes_its_time();
    a_dead_target_gets_no_more_work => a_dead_target_is_avoided();
    streams_resume_when_links_go_silent => links_go_silent();
    a_stream_over_a_dead_link_is_not_passed_off_as_whole => a_link_stays_silent();
    an_answer_of_a_dead_engine_is_not_passed_off_as_whole => an_engine_dies();
    a_caller_that_hangs_up_cancels_at_the_engine => a_caller_hangs_up();
    a_stream_resumes_when_its_agent_was_frozen => an_agent_is_frozen();
}
