//! Settings file of each kind of process, with its validation.

use crate::{
    agent::slots::SlotsOptions,
    control::{
        directory::LEASE_INTERVALS,
        replica::InstanceConfig,
        roster::{Discovery, InstanceAddresses},
    },
    derives::record,
    entry::routing::RoutingPolicy,
    gateway::{byte_budget::ByteCount, retry_budget::RetryBudgetLimits},
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
    /// Export of logs, traces and metrics.
    #[serde(deny_unknown_fields, default)]
    #[derive(Default)]
    pub struct TelemetrySettings {
        /// Base URL of an OTLP collector over HTTP; nothing is exported if unset.
        pub otlp_endpoint: Option<String>,
        /// Whether log lines are JSON.
        pub json_logs: bool,
        /// Address at which metrics are served as Prometheus text; not served if unset.
        pub metrics: Option<SocketAddr>,
    }

    /// Settings of `guavacove entry`.
    #[serde(deny_unknown_fields)]
    pub struct EntrySettings {
        /// Process name, unique in the system.
        pub name: ProcessName,
        /// Failure domain of the process.
        pub failure_domain: FailureDomain,
        /// Address at which callers connect.
        pub listen: SocketAddr,
        /// RPC addresses of the control instances.
        pub control: Vec<SocketAddr>,
        /// Address at which operators query the history of a request; not served if unset.
        #[serde(default)]
        pub admin: Option<SocketAddr>,
        /// Time for which the entry keeps accepting connections after it becomes unready, until
        /// the load balancer has noticed.
        #[serde(default = "default_balancer_delay_ms")]
        pub balancer_delay_ms: u64,
        /// How requests are routed to agents. Policies other than the default exist for
        /// benchmarks.
        #[serde(default)]
        pub routing: RoutingPolicy,
        /// See [`TelemetrySettings`].
        #[serde(default)]
        pub telemetry: TelemetrySettings,
    }

    /// Settings of `guavacove gateway`.
    #[serde(deny_unknown_fields)]
    pub struct GatewaySettings {
        /// Process name, unique in the system.
        pub name: ProcessName,
        /// Failure domain of the process.
        pub failure_domain: FailureDomain,
        /// Address at which callers connect.
        pub listen: SocketAddr,
        /// Address of the readiness check for the load balancer.
        pub readiness: SocketAddr,
        /// Addresses of some control instances; the gateway discovers the others.
        pub control: Vec<SocketAddr>,
        /// RPC port of the control instances, if it differs from the ports in `control`.
        #[serde(default)]
        pub control_port: Option<u16>,
        /// Port of the admission agents at the addresses of model targets. If unset, gateways
        /// divide the slots of model targets among themselves, as for plain services.
        #[serde(default)]
        pub admission_port: Option<u16>,
        /// Whether the requests of all gateways to a plain target wait in one queue, which an
        /// admission agent of a model target keeps. Needs `admission_port` and a model target.
        #[serde(default)]
        pub shared_queues: bool,
        /// Time for which the gateway keeps serving after it becomes unready, until the load
        /// balancer has noticed.
        #[serde(
            default = "default_balancer_delay_ms",
            deserialize_with = "rounding::up"
        )]
        pub balancer_delay_ms: u64,
        /// Time from a stop request until the process is killed. While it stops, the gateway
        /// starts no work that would take longer. In settings `stop_grace_s`, in seconds.
        #[serde(
            rename = "stop_grace_s",
            default = "default_stop_grace_ms",
            deserialize_with = "rounding::thousandths"
        )]
        pub stop_grace_ms: u64,
        /// See [`QuotaTolerance`].
        #[serde(default)]
        pub quota_tolerance: QuotaTolerance,
        /// Bytes that the gateway holds at most of request bodies, buffered responses and
        /// incomplete events. In settings `byte_budget_mb`, in units of 1,048,576 bytes.
        #[serde(default = "default_byte_budget_mb")]
        pub byte_budget_mb: u64,
        /// Retry budget across all gateways.
        #[serde(default = "default_repeats")]
        pub repeats: RetryBudgetLimits,
        /// How the targets for a request are ordered.
        #[serde(default)]
        pub placement: PlacementRule,
        /// What is assumed to be cached of a prompt's shared parts.
        #[serde(default)]
        pub prefix_cache: PrefixCacheRule,
        /// See [`TelemetrySettings`].
        #[serde(default)]
        pub telemetry: TelemetrySettings,
    }

    /// How a gateway orders the targets for a request.
    #[derive(Copy, Default)]
    #[serde(rename_all = "snake_case")]
    pub enum PlacementRule {
        /// By the time to the first event, and by how much the estimated end exceeds the deadline;
        /// see [`crate::gateway::placement`].
        #[default]
        FirstEvent,
        /// By the estimated first event and the risk that the deadline is missed; see
        /// [`crate::scheduling::target_order`].
        RunEstimate,
    }

    /// What a gateway assumes to be cached of a prompt's shared parts.
    #[derive(Copy, Default)]
    #[serde(rename_all = "snake_case")]
    pub enum PrefixCacheRule {
        /// All of them, at the one target that rendezvous hashing assigns them to.
        #[default]
        Hashed,
        /// By a model of each target's memory; see [`crate::scheduling::prefix_cache`].
        Modelled,
    }

    /// Settings of `guavacove admission`.
    #[serde(deny_unknown_fields)]
    pub struct AdmissionSettings {
        /// Process name, unique in the system.
        pub name: ProcessName,
        /// Address at which gateways connect, on the target's host.
        pub listen: SocketAddr,
        /// Whether requests that would get their slot too late are refused within a fifth of their
        /// objective, by the rate at which requests of their class get slots.
        #[serde(default)]
        pub early_refusals: bool,
        /// Whether customers of the same tier share the slots by their weights.
        #[serde(default)]
        pub fair_shares: bool,
        /// See [`TelemetrySettings`].
        #[serde(default)]
        pub telemetry: TelemetrySettings,
    }

    /// Settings of `guavacove agent`.
    #[serde(deny_unknown_fields)]
    pub struct AgentSettings {
        /// Target name, unique in the system.
        pub name: TargetName,
        /// Failure domain of the process.
        pub failure_domain: FailureDomain,
        /// Address at which entries connect.
        pub listen: SocketAddr,
        /// Address advertised to entries; `listen` if unset.
        #[serde(default)]
        pub advertise: Option<SocketAddr>,
        /// Loopback address to which the target sends its announcements.
        pub announce: SocketAddr,
        /// RPC addresses of the control instances.
        pub control: Vec<SocketAddr>,
        /// See [`TelemetrySettings`].
        #[serde(default)]
        pub telemetry: TelemetrySettings,
    }

    /// Amount by which all gateways together may exceed a customer's quota. Requests are
    /// refused only above it.
    #[derive(Copy, Default)]
    #[serde(deny_unknown_fields)]
    pub struct QuotaTolerance {
        /// Maximum units above rate and burst in any window.
        #[serde(deserialize_with = "rounding::down")]
        pub units: u64,
        /// Length of a window, in seconds.
        #[serde(deserialize_with = "rounding::up")]
        pub window_s: u64,
    }

    /// A control instance in a static list of peers.
    #[serde(deny_unknown_fields)]
    pub struct PeerSettings {
        /// Number from 1 to 7. It belongs to the instance, not to its disk.
        pub number: u8,
        /// Address at which the other replicas connect.
        pub peer: SocketAddr,
        /// Address of the RPC server.
        pub rpc: SocketAddr,
    }

    /// Discovery of control instances, and the ports that they serve.
    #[serde(deny_unknown_fields)]
    pub struct DiscoverySettings {
        /// Address at which operators and targets reach this instance.
        pub api: SocketAddr,
        /// Port for other control instances, at the IP address of `api`.
        pub peer_port: u16,
        /// RPC port for other processes, at the IP address of `api`.
        pub rpc_port: u16,
        /// Port at which gateways charge customers' quotas, at the IP address of `api`; the
        /// port after `peer_port` if unset.
        #[serde(default)]
        pub accounts_port: Option<u16>,
        /// The `api` addresses of some control instances.
        pub seeds: Vec<SocketAddr>,
        /// Whether this is the first start of the whole system, with empty disks. Only then may
        /// an instance bootstrap a new group.
        #[serde(default)]
        pub first_start: bool,
        /// Interval between the announcements of a target, in milliseconds.
        #[serde(default = "default_announcement_ms", deserialize_with = "rounding::up")]
        pub announcement_ms: u64,
    }

    /// Operators' console of a control instance.
    #[serde(deny_unknown_fields)]
    pub struct ConsoleSettings {
        /// Address at which operators' browsers connect; a loopback address by default.
        #[serde(default = "default_console_listen")]
        pub listen: SocketAddr,
        /// Sign-in token of the operators; at least 16 characters.
        pub token: String,
    }

    /// Settings of `guavacove control`.
    #[serde(deny_unknown_fields)]
    pub struct ControlSettings {
        /// Number of this instance in `peers`; 0 with `discovery`.
        #[serde(default)]
        pub number: u8,
        /// Failure domain of the process.
        pub failure_domain: FailureDomain,
        /// All control instances including this one: 1, 3, 5 or 7. Empty with `discovery`.
        #[serde(default)]
        pub peers: Vec<PeerSettings>,
        /// See [`DiscoverySettings`].
        #[serde(default)]
        pub discovery: Option<DiscoverySettings>,
        /// Folder of the log. Empty if this instance has no disk: it then redirects callers to
        /// the others, or keeps the log in memory if no instance has a disk.
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

/// Default port of the console.
const CONSOLE_PORT: u16 = 7180;
/// Minimum length of the operators' sign-in token.
const MIN_TOKEN_CHARACTERS: usize = 16;

fn default_console_listen() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, CONSOLE_PORT))
}

/// Part of the quota tolerance that is granted continuously. The rest covers the units that
/// gateways hold at any moment.
const GRANTED_TOLERANCE_PERCENT: u64 = 50;

fn default_announcement_ms() -> u64 {
    1000
}

/// Retries for a tenth of the requests, plus a small slack. Most services can sustain this
/// much extra load.
fn default_repeats() -> RetryBudgetLimits {
    RetryBudgetLimits {
        per_mille: 100,
        window_ms: 10_000,
        slack: 20,
    }
}

/// Eight bodies of the usual maximum size, in a process that needs about as much itself.
fn default_byte_budget_mb() -> u64 {
    32
}

/// The usual grace period of service managers.
fn default_stop_grace_ms() -> u64 {
    30_000
}

fn default_balancer_delay_ms() -> u64 {
    3000
}

/// Error while reading a settings file.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[display("{}: cannot read the file: {error}", path.display())]
    Unreadable {
        /// The settings file.
        path: PathBuf,
        /// Error of the operating system.
        error: io::Error,
    },
    /// The file is malformed or a setting is not allowed.
    #[display("{}:{line}: {message}", path.display())]
    Invalid {
        /// The settings file.
        path: PathBuf,
        /// Line number, from 1.
        line: usize,
        /// The problem and the values that are allowed.
        message: String,
    },
}

/// Settings of one kind of process, read from a YAML file.
pub trait Settings: DeserializeOwned {
    /// Checks constraints that the types do not express. Returns the offending key and a
    /// message with the remedy.
    fn validation_error(&self) -> Option<(&'static str, String)>;

    /// Reads and validates a settings file.
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
        match settings.validation_error() {
            None => Ok(settings),
            Some((key, message)) => {
                let has_key = |line: &str| line.trim_start().starts_with(&format!("{key}:"));
                let line = text
                    .lines()
                    .position(has_key)
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

fn missing_control_address(control: &[SocketAddr]) -> Option<(&'static str, String)> {
    let message = "control: name at least one RPC address of a control instance".to_string();
    control.is_empty().then_some(("control", message))
}

impl Settings for EntrySettings {
    fn validation_error(&self) -> Option<(&'static str, String)> {
        missing_control_address(&self.control)
    }
}

impl GatewaySettings {
    /// Bytes that the gateway holds at most.
    pub fn byte_budget(&self) -> ByteCount {
        ByteCount(self.byte_budget_mb.saturating_mul(1024 * 1024))
    }

    /// RPC addresses of the control instances in `control`.
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        let port = |address: &SocketAddr| self.control_port.unwrap_or(address.port());
        let addresses = self.control.iter();
        addresses
            .map(|address| SocketAddr::new(address.ip(), port(address)))
            .collect()
    }
}

impl Settings for GatewaySettings {
    fn validation_error(&self) -> Option<(&'static str, String)> {
        let rules = (self.prefix_cache, self.placement);
        match (self.byte_budget_mb, rules) {
            (0, _) => Some((
                "byte_budget_mb",
                "byte_budget_mb: a gateway needs at least 1 for the bodies of requests".into(),
            )),
            (_, (PrefixCacheRule::Modelled, PlacementRule::FirstEvent)) => Some((
                "prefix_cache",
                "prefix_cache: `modelled` needs `placement: run_estimate`".to_string(),
            )),
            _ => missing_control_address(&self.control),
        }
    }
}

impl AdmissionSettings {
    /// How the agent decides about requests.
    pub fn scheduling(&self) -> SlotsOptions {
        SlotsOptions {
            early_refusals: self.early_refusals,
            fair_shares: self.fair_shares,
        }
    }
}

impl Settings for AdmissionSettings {
    fn validation_error(&self) -> Option<(&'static str, String)> {
        None
    }
}

impl Settings for AgentSettings {
    fn validation_error(&self) -> Option<(&'static str, String)> {
        let announce = "announce: only the target beside the agent announces itself, so this must \
                        be a loopback address such as 127.0.0.1:7300";
        match self.announce.ip().is_loopback() {
            true => missing_control_address(&self.control),
            false => Some(("announce", announce.to_string())),
        }
    }
}

impl Settings for ControlSettings {
    fn validation_error(&self) -> Option<(&'static str, String)> {
        let mut numbers: Vec<u8> = self.peers.iter().map(|peer| peer.number).collect();
        numbers.sort_unstable();
        numbers.dedup();
        if numbers.len() != self.peers.len() {
            return Some(("peers", "peers: each peer needs a unique number".into()));
        }
        let uses_discovery = self.discovery.is_some();
        if uses_discovery && !numbers.is_empty() {
            let message = "peers: must be empty if `discovery` is set".to_string();
            return Some(("peers", message));
        }
        if uses_discovery {
            let seeds = self
                .discovery
                .as_ref()
                .map(|discovery| discovery.seeds.len());
            let message = "seeds: name the address of at least one control instance".to_string();
            return (seeds == Some(0)).then_some(("seeds", message));
        }
        if self.data_folder.as_os_str().is_empty() {
            let message = "data_folder: name the folder for the log".to_string();
            return Some(("data_folder", message));
        }
        if !matches!(numbers.len(), 1 | 3 | 5 | 7) {
            let count = numbers.len();
            let message = format!("peers: there are {count}; name 1, 3, 5 or 7 control instances");
            return Some(("peers", message));
        }
        let token = self.console.as_ref().map(|console| console.token.len());
        if token.is_some_and(|characters| characters < MIN_TOKEN_CHARACTERS) {
            let message = format!(
                "token: the console token is too short; use at least {MIN_TOKEN_CHARACTERS} characters"
            );
            return Some(("token", message));
        }
        let is_listed = numbers.binary_search(&self.number).is_ok();
        let message = format!("number: {} is not among the peers {numbers:?}", self.number);
        (!is_listed).then_some(("number", message))
    }
}

impl ControlSettings {
    /// Addresses of this instance.
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
            (None, None) => unreachable!("validated when the settings are read"),
        }
    }

    /// Address at which this instance serves the quota accounts of customers; any free port
    /// with a static list of peers.
    pub fn accounts_address(&self) -> SocketAddr {
        let ip = self.addresses().rpc.ip();
        let port = self.discovery.as_ref().map_or(0, |discovery| {
            let after_peer = discovery.peer_port.saturating_add(1);
            discovery.accounts_port.unwrap_or(after_peer)
        });
        SocketAddr::new(ip, port)
    }

    /// Peer addresses of the instances in `discovery.seeds`; none with a static list of peers.
    pub fn seed_peers(&self) -> Vec<SocketAddr> {
        let discovery = self.discovery.iter();
        let peers = discovery.flat_map(|discovery| {
            let seeds = discovery.seeds.iter();
            seeds.map(|seed| SocketAddr::new(seed.ip(), discovery.peer_port))
        });
        peers.collect()
    }

    /// Properties of this instance, and how it discovers the others.
    pub fn instance_config(&self) -> InstanceConfig {
        let QuotaTolerance { units, window_s } = self.quota_tolerance;
        let quota_tolerance_per_s = units * GRANTED_TOLERANCE_PERCENT / 100 / window_s.max(1);
        let addresses = self.addresses();
        let durable = !self.data_folder.as_os_str().is_empty();
        match &self.discovery {
            Some(discovery) => {
                let seeds = self.seed_peers();
                InstanceConfig {
                    addresses,
                    may_bootstrap: discovery.first_start && seeds.contains(&addresses.peer),
                    durable,
                    discovery: Discovery::Seeds(seeds),
                    target_lease_ms: discovery.announcement_ms * LEASE_INTERVALS,
                    quota_tolerance_per_s,
                }
            }
            None => InstanceConfig {
                addresses,
                may_bootstrap: true,
                durable,
                discovery: Discovery::Listed(self.peers.clone()),
                target_lease_ms: default_announcement_ms() * LEASE_INTERVALS,
                quota_tolerance_per_s,
            },
        }
    }
}
