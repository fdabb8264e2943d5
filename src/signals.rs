//! Handling of stop signals, and detection of changed settings.

use crate::settings::Settings;
use std::{fs, path::PathBuf, time::Duration};
use tokio::signal::unix::{Signal, SignalKind, signal};

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

/// Notices each SIGHUP and each change of a settings file.
pub struct SettingsWatch {
    path: PathBuf,
    hangup: Option<Signal>,
    known: Option<Vec<u8>>,
}

impl SettingsWatch {
    /// Handles SIGHUP from now on, and compares the file with its present content.
    pub fn install(path: PathBuf) -> Self {
        let hangup = signal(SignalKind::hangup())
            .inspect_err(|error| tracing::warn!(%error, "settings: SIGHUP is not handled"));
        let known = fs::read(&path).ok();
        Self {
            path,
            hangup: hangup.ok(),
            known,
        }
    }

    /// Applies changes until the process is asked to stop: passes the settings to `apply` after
    /// each. Invalid ones are logged and not applied.
    pub async fn run_until_stop<S: Settings>(self, apply: impl Fn(&S)) {
        tokio::select! {
            () = stop_requested() => {}
            () = self.run(apply) => {}
        }
    }

    async fn run<S: Settings>(mut self, apply: impl Fn(&S)) {
        loop {
            let poll_interval = Duration::from_millis(SETTINGS_POLL_INTERVAL_MS);
            let asked = match &mut self.hangup {
                Some(hangup) => tokio::time::timeout(poll_interval, hangup.recv())
                    .await
                    .is_ok(),
                None => {
                    tokio::time::sleep(poll_interval).await;
                    false
                }
            };
            let current = fs::read(&self.path).ok();
            let changed = current.is_some() && current != self.known;
            if asked || changed {
                tracing::info!(path = %self.path.display(), asked, changed, "settings: file checked");
            }
            if changed {
                match S::read(&self.path) {
                    Ok(settings) => apply(&settings),
                    Err(error) => tracing::warn!(%error, "settings: change not applied"),
                }
            }
            self.known = current.or(self.known);
        }
    }
}
