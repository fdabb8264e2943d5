//! Settings of one process: addresses, failure domain, peers, data folder.

use crate::{derives::record, entry::routing::RoutingPolicy, units::*};
use serde::de::DeserializeOwned;
use std::{
    fs, io,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
};

record! {
    /// Where logs and traces go.
    #[serde(deny_unknown_fields, default)]
    #[derive(Default)]
    pub struct TelemetrySettings {
        /// The base URL of an OTLP collector over HTTP; none sends nothing.
        pub otlp_endpoint: Option<String>,
        /// Whether log lines are JSON.
        pub json_logs: bool,
    }

    /// Settings of `guavacove entry`.
    #[serde(deny_unknown_fields)]
    pub struct EntrySettings {
        /// The process's name, unique in the system.
        pub name: ProcessName,
        /// The failure domain that it runs in.
        pub failure_domain: FailureDomain,
        /// Where callers connect.
        pub listen: SocketAddr,
        /// The RPC addresses of the control instances.
        pub control: Vec<SocketAddr>,
        /// Where operators ask what happened to a request; nowhere if unset.
        #[serde(default)]
        pub admin: Option<SocketAddr>,
        /// How long it stays open after it turns unready, for the balancer.
        #[serde(default = "default_balancer_delay_ms")]
        pub balancer_delay_ms: u64,
        /// How requests are brought to agents; the others are for measurements.
        #[serde(default)]
        pub routing: RoutingPolicy,
        /// See [`TelemetrySettings`].
        #[serde(default)]
        pub telemetry: TelemetrySettings,
    }

    /// Settings of `guavacove agent`.
    #[serde(deny_unknown_fields)]
    pub struct AgentSettings {
        /// The target's name, unique in the system.
        pub name: TargetName,
        /// The failure domain that it runs in.
        pub failure_domain: FailureDomain,
        /// Where entries connect.
        pub listen: SocketAddr,
        /// The address that entries are told; `listen` if not set.
        #[serde(default)]
        pub advertise: Option<SocketAddr>,
        /// The loopback address where the target announces itself.
        pub announce: SocketAddr,
        /// The RPC addresses of the control instances.
        pub control: Vec<SocketAddr>,
        /// See [`TelemetrySettings`].
        #[serde(default)]
        pub telemetry: TelemetrySettings,
    }

    /// One control instance, as the others know it.
    #[serde(deny_unknown_fields)]
    pub struct PeerSettings {
        /// Its number, from 1 to 7; it stays with the instance, not the disk.
        pub number: u8,
        /// Where it listens for the other replicas.
        pub peer: SocketAddr,
        /// Where it listens for RPC.
        pub rpc: SocketAddr,
    }

    /// The operators' console of a control instance.
    #[serde(deny_unknown_fields)]
    pub struct ConsoleSettings {
        /// Where operators' browsers connect; a loopback address by default.
        #[serde(default = "default_console_listen")]
        pub listen: SocketAddr,
        /// What operators sign in with; at least 16 characters.
        pub token: String,
    }

    /// Settings of `guavacove control`.
    #[serde(deny_unknown_fields)]
    pub struct ControlSettings {
        /// This instance's number among `peers`.
        pub number: u8,
        /// The failure domain that it runs in.
        pub failure_domain: FailureDomain,
        /// Every control instance, this one included: 1, 3, 5 or 7.
        pub peers: Vec<PeerSettings>,
        /// Where the log is kept.
        pub data_folder: PathBuf,
        /// See [`ConsoleSettings`]; no console if unset.
        #[serde(default)]
        pub console: Option<ConsoleSettings>,
        /// See [`TelemetrySettings`].
        #[serde(default)]
        pub telemetry: TelemetrySettings,
    }
}

/// Where the console listens by default.
const CONSOLE_PORT: u16 = 7180;
/// The shortest token that operators may sign in with, in characters.
const TOKEN_CHARACTERS: usize = 16;

fn default_console_listen() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, CONSOLE_PORT))
}

fn default_balancer_delay_ms() -> u64 {
    3000
}

/// Why settings cannot be used.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[display("{}: cannot be read: {error}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the operating system says.
        error: io::Error,
    },
    /// The file is not what is expected.
    #[display("{}:{line}: {message}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The line, from 1.
        line: usize,
        /// What is wrong and what is allowed.
        message: String,
    },
}

/// Reads and checks one kind of settings.
pub trait Settings: DeserializeOwned {
    /// What is wrong beyond the shape: the offending key, and a remedy.
    fn fault(&self) -> Option<(&'static str, String)>;

    /// Reads a settings file.
    ///
    /// # Errors
    /// Fails with the file, the line and a remedy.
    fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path).map_err(|error| SettingsError::Unreadable {
            path: path.into(),
            error,
        })?;
        let settings: Self = serde_norway::from_str(&text).map_err(|error| {
            let line = error.location().map_or(1, |location| location.line());
            SettingsError::Invalid {
                path: path.into(),
                line,
                message: error.to_string(),
            }
        })?;
        match settings.fault() {
            None => Ok(settings),
            Some((key, message)) => {
                let starts = |line: &str| line.trim_start().starts_with(&format!("{key}:"));
                let line = text
                    .lines()
                    .position(starts)
                    .map_or(1, |position| position + 1);
                Err(SettingsError::Invalid {
                    path: path.into(),
                    line,
                    message,
                })
            }
        }
    }
}

fn no_control(control: &[SocketAddr]) -> Option<(&'static str, String)> {
    let message = "control: name at least one RPC address of a control instance".to_string();
    control.is_empty().then_some(("control", message))
}

impl Settings for EntrySettings {
    fn fault(&self) -> Option<(&'static str, String)> {
        no_control(&self.control)
    }
}

impl Settings for AgentSettings {
    fn fault(&self) -> Option<(&'static str, String)> {
        let announce = "announce: only the target beside the agent announces itself, so this must \
                        be a loopback address such as 127.0.0.1:7300";
        match self.announce.ip().is_loopback() {
            true => no_control(&self.control),
            false => Some(("announce", announce.to_string())),
        }
    }
}

impl Settings for ControlSettings {
    fn fault(&self) -> Option<(&'static str, String)> {
        let mut numbers: Vec<u8> = self.peers.iter().map(|peer| peer.number).collect();
        numbers.sort_unstable();
        numbers.dedup();
        if numbers.len() != self.peers.len() {
            return Some(("peers", "peers: each peer needs a number of its own".into()));
        }
        if !matches!(numbers.len(), 1 | 3 | 5 | 7) {
            let count = numbers.len();
            let message = format!("peers: there are {count}; name 1, 3, 5 or 7 control instances");
            return Some(("peers", message));
        }
        let token = self.console.as_ref().map(|console| console.token.len());
        if token.is_some_and(|characters| characters < TOKEN_CHARACTERS) {
            let message = format!(
                "token: the console's token is too short; use {TOKEN_CHARACTERS} characters or more"
            );
            return Some(("token", message));
        }
        let listed = numbers.binary_search(&self.number).is_ok();
        let message = format!("number: {} is not among the peers {numbers:?}", self.number);
        (!listed).then_some(("number", message))
    }
}

impl ControlSettings {
    /// This instance's own addresses.
    pub fn own(&self) -> &PeerSettings {
        let own = self.peers.iter().find(|peer| peer.number == self.number);
        own.expect("checked when the settings were read")
    }
}
