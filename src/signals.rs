//! Signals that ask a process to stop, or say that its settings have changed.

use std::{fs, path::PathBuf, time::Duration};
use tokio::signal::unix::{SignalKind, signal};

/// How often a settings file is looked at, as it may change without a signal.
const SETTINGS_INTERVAL_MS: u64 = 1000;

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

/// Logs each change of a settings file, on SIGHUP or without. Addresses and the seeds of a
/// running process stay: it has learnt where the others are.
pub async fn note_reloads(path: PathBuf) {
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
            () = tokio::time::sleep(Duration::from_millis(SETTINGS_INTERVAL_MS)) => false,
        };
        let found = fs::read(&path).ok();
        let changed = found.is_some() && found != known;
        if asked || changed {
            tracing::info!(path = %path.display(), asked, changed, "settings: looked at again");
        }
        known = found.or(known);
    }
}
