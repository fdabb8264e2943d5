//! Settings of one process: addresses, failure domain, peers, data folder.

use crate::{
    control::{
        directory::LEASE_INTERVALS,
        replica::Identity,
        roster::{Discovery, InstanceAddresses},
    },
    derives::record,
    entry::routing::RoutingPolicy,
    gateway::repeats::RepeatBounds,
    rounding,
    units::*,
};
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
        /// Where metrics are served as Prometheus text; nowhere if unset.
        pub metrics: Option<SocketAddr>,
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

    /// Settings of `guavacove gateway`.
    #[serde(deny_unknown_fields)]
    pub struct GatewaySettings {
        /// The process's name, unique in the system.
        pub name: ProcessName,
        /// The failure domain that it runs in.
        pub failure_domain: FailureDomain,
        /// Where callers connect.
        pub listen: SocketAddr,
        /// Where the balancer asks whether it takes new connections.
        pub readiness: SocketAddr,
        /// Addresses of some control instances; it learns of the others.
        pub control: Vec<SocketAddr>,
        /// The port of their RPC, if it is not the one in `control`.
        #[serde(default)]
        pub control_port: Option<u16>,
        /// The port of the admission agents at the addresses of model targets; without
        /// it, gateways share the places of those as they do those of plain services.
        #[serde(default)]
        pub admission_port: Option<u16>,
        /// How long it serves on after it turns unready, for the balancer.
        #[serde(
            default = "default_balancer_delay_ms",
            deserialize_with = "rounding::up"
        )]
        pub balancer_delay_ms: u64,
        /// How long after a request to stop the process is killed; what would last longer
        /// is not begun then. In settings `stop_grace_s`, in seconds.
        #[serde(
            rename = "stop_grace_s",
            default = "default_stop_grace_ms",
            deserialize_with = "rounding::thousandths"
        )]
        pub stop_grace_ms: u64,
        /// See [`QuotaTolerance`].
        #[serde(default)]
        pub quota_tolerance: QuotaTolerance,
        /// The budget of repeats over all gateways.
        #[serde(default = "default_repeats")]
        pub repeats: RepeatBounds,
        /// See [`TelemetrySettings`].
        #[serde(default)]
        pub telemetry: TelemetrySettings,
    }

    /// Settings of `guavacove admission`.
    #[serde(deny_unknown_fields)]
    pub struct KeeperSettings {
        /// The process's name, unique in the system.
        pub name: ProcessName,
        /// Where gateways connect, at the address of the target.
        pub listen: SocketAddr,
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

    /// How far beyond a customer's quota all gateways together may go. A customer is
    /// refused only beyond that.
    #[derive(Copy, Default)]
    #[serde(deny_unknown_fields)]
    pub struct QuotaTolerance {
        /// The units beyond rate and burst in any window.
        #[serde(deserialize_with = "rounding::down")]
        pub units: u64,
        /// The length of a window, in seconds.
        #[serde(deserialize_with = "rounding::up")]
        pub window_s: u64,
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

    /// How control instances find each other, and targets and operators find them.
    #[serde(deny_unknown_fields)]
    pub struct DiscoverySettings {
        /// Where operators and targets reach this instance.
        pub api: SocketAddr,
        /// Where other control instances reach it, at the same address as `api`.
        pub peer_port: u16,
        /// Where other processes reach it, at the same address as `api`.
        pub rpc_port: u16,
        /// Where gateways charge customers' quotas, at the same address as `api`; the port
        /// after `peer_port` if not set.
        #[serde(default)]
        pub accounts_port: Option<u16>,
        /// The `api` addresses of some control instances.
        pub seeds: Vec<SocketAddr>,
        /// Whether the whole system starts for the first time, with empty disks.
        #[serde(default)]
        pub first_start: bool,
        /// How often a target announces itself, in milliseconds.
        #[serde(default = "default_announcement_ms", deserialize_with = "rounding::up")]
        pub announcement_ms: u64,
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
        /// This instance's number among `peers`; 0 where instances find each other.
        #[serde(default)]
        pub number: u8,
        /// The failure domain that it runs in.
        pub failure_domain: FailureDomain,
        /// Every control instance, this one included: 1, 3, 5 or 7. Left out where
        /// instances find each other.
        #[serde(default)]
        pub peers: Vec<PeerSettings>,
        /// See [`DiscoverySettings`].
        #[serde(default)]
        pub discovery: Option<DiscoverySettings>,
        /// Where the log is kept. Empty if this instance has no disk: it then refers
        /// callers to the others, or keeps the log in memory where none has a disk.
        pub data_folder: PathBuf,
        /// See [`QuotaTolerance`].
        #[serde(default)]
        pub quota_tolerance: QuotaTolerance,
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

/// The part of what is tolerated beyond a quota that is handed out all the time; the rest
/// covers what gateways hold at one moment.
const BEYOND_QUOTA_PERCENT: u64 = 50;
fn default_announcement_ms() -> u64 {
    1000
}

/// A tenth of the requests, and a few: what most services bear.
fn default_repeats() -> RepeatBounds {
    RepeatBounds {
        per_mille: 100,
        window_ms: 10_000,
        slack: 20,
    }
}

/// What service managers commonly grant.
fn default_stop_grace_ms() -> u64 {
    30_000
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
        let reader = serde_norway::Deserializer::from_str(&text);
        let settings: Self = serde_path_to_error::deserialize(reader).map_err(|error| {
            let line = error
                .inner()
                .location()
                .map_or(1, |location| location.line());
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

impl GatewaySettings {
    /// The RPC addresses of the control instances that are named.
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        let port = |address: &SocketAddr| self.control_port.unwrap_or(address.port());
        let addresses = self.control.iter();
        addresses
            .map(|address| SocketAddr::new(address.ip(), port(address)))
            .collect()
    }
}

impl Settings for GatewaySettings {
    fn fault(&self) -> Option<(&'static str, String)> {
        no_control(&self.control)
    }
}

impl Settings for KeeperSettings {
    fn fault(&self) -> Option<(&'static str, String)> {
        None
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
        let found = self.discovery.is_some();
        if found && !numbers.is_empty() {
            let message = "peers: leave them out where `discovery` is set".to_string();
            return Some(("peers", message));
        }
        if found {
            let seeds = self
                .discovery
                .as_ref()
                .map(|discovery| discovery.seeds.len());
            let message = "seeds: name the address of at least one control instance".to_string();
            return (seeds == Some(0)).then_some(("seeds", message));
        }
        if self.data_folder.as_os_str().is_empty() {
            let message = "data_folder: name the folder where the log is kept".to_string();
            return Some(("data_folder", message));
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
    pub fn addresses(&self) -> InstanceAddresses {
        let listed = self.peers.iter().find(|peer| peer.number == self.number);
        match (&self.discovery, listed) {
            (Some(discovery), _) => InstanceAddresses {
                peer: SocketAddr::new(discovery.api.ip(), discovery.peer_port),
                rpc: SocketAddr::new(discovery.api.ip(), discovery.rpc_port),
                api: Some(discovery.api),
            },
            (None, Some(own)) => InstanceAddresses {
                peer: own.peer,
                rpc: own.rpc,
                api: None,
            },
            (None, None) => unreachable!("checked when the settings were read"),
        }
    }

    /// Where this instance serves the accounts of customers' quotas; any port where instances
    /// are listed.
    pub fn accounts_address(&self) -> SocketAddr {
        let ip = self.addresses().rpc.ip();
        let port = self.discovery.as_ref().map_or(0, |discovery| {
            let after_peer = discovery.peer_port.saturating_add(1);
            discovery.accounts_port.unwrap_or(after_peer)
        });
        SocketAddr::new(ip, port)
    }

    /// What this instance says of itself, and how it finds the others.
    pub fn identity(&self) -> Identity {
        let QuotaTolerance { units, window_s } = self.quota_tolerance;
        let beyond_quota_per_s = units * BEYOND_QUOTA_PERCENT / 100 / window_s.max(1);
        let addresses = self.addresses();
        let durable = !self.data_folder.as_os_str().is_empty();
        match &self.discovery {
            Some(discovery) => {
                let peer = |seed: &SocketAddr| SocketAddr::new(seed.ip(), discovery.peer_port);
                let seeds: Vec<SocketAddr> = discovery.seeds.iter().map(peer).collect();
                Identity {
                    addresses,
                    may_found: discovery.first_start && seeds.contains(&addresses.peer),
                    durable,
                    discovery: Discovery::Seeds(seeds),
                    target_lease_ms: discovery.announcement_ms * LEASE_INTERVALS,
                    beyond_quota_per_s,
                }
            }
            None => Identity {
                addresses,
                may_found: true,
                durable,
                discovery: Discovery::Listed(self.peers.clone()),
                target_lease_ms: default_announcement_ms() * LEASE_INTERVALS,
                beyond_quota_per_s,
            },
        }
    }
}
