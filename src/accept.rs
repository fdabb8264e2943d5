//! Accepts connections and retries after transient errors.

use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Delay after an error, such as running out of file descriptors.
const RETRY_DELAY_MS: u64 = 50;

/// Accepts the next connection. Errors are logged with `component` as prefix and retried.
pub async fn accept(listener: &TcpListener, component: &str) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                tracing::warn!("{component}: failed to accept a connection: {error}");
                tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
            }
        }
    }
}
