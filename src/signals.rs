//! Signals that ask a process to stop.

use tokio::signal::unix::{SignalKind, signal};

/// Completes on the first Ctrl-C or SIGTERM.
pub async fn stop_requested() {
    let (interrupt, terminate) = (
        signal(SignalKind::interrupt()),
        signal(SignalKind::terminate()),
    );
    match (interrupt, terminate) {
        (Ok(mut interrupt), Ok(mut terminate)) => {
            tokio::select! {
                _ = interrupt.recv() => {}
                _ = terminate.recv() => {}
            }
        }
        _ => std::future::pending().await,
    }
}
