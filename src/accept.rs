//! Accepting connections without giving up on a passing error.

use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// How long to wait after an error, such as no free file descriptor.
const RETRY_MS: u64 = 50;

/// The next connection. Errors are logged under the part's name and retried.
pub async fn accept(listener: &TcpListener, part: &str) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                tracing::warn!("{part}: cannot accept a connection: {error}");
                tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
            }
        }
    }
}
