//! Test support: a builder for a system of real processes, a TCP proxy and an HTTP client.
#![allow(dead_code)]

mod caller;
mod process;
mod proxy;
mod system;

#[allow(unused_imports)]
pub use self::{
    caller::{Answer, Caller, RawAnswer, RawEnd, fetch, fetch_raw, receive},
    process::{Process, free_address, guavacove, keep_logs_on_failure},
    proxy::Proxy,
    system::{CONSOLE_TOKEN, Control, DOCUMENT, STOP_LIMIT, System, get, get_json},
};

pub const LEDGERWELL: &str = "ledgerwell-example-key";
pub const VANDERMEULEN: &str = "vandermeulen-example-key";
pub const OVERNIGHT: &str = "overnight-example-key";

/// Defines a test for each case, which runs a future on its own runtime.
#[macro_export]
macro_rules! cases {
    ($($(#[$meta:meta])* $name:ident => $body:expr;)*) => {
        $(
            #[test]
            $(#[$meta])*
            fn $name() {
                tokio::runtime::Builder::new_multi_thread()
                    .worker_threads(4)
                    .enable_all()
                    .build()
                    .unwrap()
                    .block_on($body);
            }
        )*
    };
}

/// Polls a condition until it holds; panics after `limit_ms`.
pub async fn eventually<F: Future<Output = bool>>(
    what: &str,
    limit_ms: u64,
    condition: impl Fn() -> F,
) {
    let started = std::time::Instant::now();
    while !condition().await {
        let waited_ms = started.elapsed().as_millis() as u64;
        assert!(waited_ms < limit_ms, "{what}: not within {limit_ms} ms");
        sleep_ms(20).await;
    }
}

pub async fn sleep_ms(duration_ms: u64) {
    tokio::time::sleep(std::time::Duration::from_millis(duration_ms)).await;
}
