//! Handling of stop signals, and detection of changed settings.

use std::{fs, path::PathBuf, time::Duration};
use tokio::signal::unix::{SignalKind, signal};

/// Polling interval of the settings file, as it may change without a signal.
const SETTINGS_POLL_INTERVAL_MS: u64 = 1000;

/// Completes on the first SIGINT (Ctrl-C) or SIGTERM.
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

/// Logs each SIGHUP and each change of a settings file. A running process keeps its addresses
/// and seeds, as it has already discovered the others.
pub async fn log_settings_changes(path: PathBuf) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            tracing::warn!(%error, "settings: SIGHUP is not handled");
            return;
        }
    };
    let mut known = fs::read(&path).ok();
    loop {
        let asked = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(Duration::from_millis(SETTINGS_POLL_INTERVAL_MS)) => false,
        };
        let current = fs::read(&path).ok();
        let changed = current.is_some() && current != known;
        if asked || changed {
            tracing::info!(path = %path.display(), asked, changed, "settings: file checked");
        }
        known = current.or(known);
    }
}
