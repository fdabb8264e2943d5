//! Load reports of the stand-in engine.

mod support;

use support::*;

/// Lag of the load reports of the engine.
const LAG_MS: u64 = 1000;

/// The engine reports its load with the configured lag.
async fn load_reports_lag() {
    let engine = ["--decode-tokens-per-s", "40"];
    let mut system = System::builder().entries(1).engine(&engine).start().await;
    let address = system.target("engine-1").address;
    let calls: Vec<_> = (0..4)
        .map(|_| {
            let caller = system.caller(0, LEDGERWELL);
            tokio::spawn(async move { caller.complete("x", 120, true).await })
        })
        .collect();
    sleep_ms(LAG_MS / 2).await;
    assert_eq!(get_json(address, "/load").await["open_requests"], 0);
    sleep_ms(LAG_MS).await;
    assert_eq!(get_json(address, "/load").await["open_requests"], 4);
    for call in calls {
        assert!(call.await.unwrap().is_whole_stream(120));
    }
    assert_eq!(get_json(address, "/load").await["open_requests"], 4);
    sleep_ms(LAG_MS * 3 / 2).await;
    assert_eq!(get_json(address, "/load").await["open_requests"], 0);
}

cases! {
    an_engines_load_reports_lag => load_reports_lag();
}
