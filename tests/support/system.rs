//! A system of control instances, entries, agents and stand-in targets as real processes.

use super::*;
use http_body_util::Full;
use hyper::Request;
use serde_json::{Value, json};
use std::{collections::BTreeMap, net::SocketAddr, path::PathBuf, time::Duration};

/// Token for signing in to the console.
pub const CONSOLE_TOKEN: &str = "a-token-for-tests-only";
pub const DOCUMENT: &str = include_str!("../../examples/document.yaml");

pub struct SystemBuilder {
    controls: usize,
    entries: usize,
    engines: Vec<Vec<String>>,
    plains: Vec<Vec<String>>,
    document: String,
    proxied: bool,
    routing: &'static str,
    collector: Option<String>,
}

pub struct Target {
    pub name: String,
    pub agent: Process,
    pub process: Process,
    pub address: SocketAddr,
    /// Between entries and the agent, if the system is proxied.
    pub link: Option<Proxy>,
    /// Between the agent and an engine, if the system is proxied.
    pub engine_link: Option<Proxy>,
}

pub struct Control {
    pub process: Process,
    pub number: usize,
    pub rpc: SocketAddr,
    pub console: SocketAddr,
    pub data_folder: PathBuf,
    /// Between the callers of this instance's RPC and the instance, if the system is proxied.
    pub rpc_proxy: Option<Proxy>,
    /// Proxies from this instance to its peers, by the peer's number, if the system is proxied.
    pub peer_proxies: Vec<(usize, Proxy)>,
}

pub struct System {
    pub controls: Vec<Control>,
    pub entries: Vec<(Process, SocketAddr)>,
    /// The admin address of each entry.
    pub admins: Vec<SocketAddr>,
    pub targets: Vec<Target>,
    pub folder: tempfile::TempDir,
    pub control_addresses: Vec<SocketAddr>,
}

impl System {
    pub fn builder() -> SystemBuilder {
        SystemBuilder {
            controls: 3,
            entries: 2,
            engines: Vec::new(),
            plains: Vec::new(),
            document: DOCUMENT.into(),
            proxied: false,
            routing: "late-binding",
            collector: None,
        }
    }

    pub fn caller(&self, entry: usize, api_key: &'static str) -> Caller {
        Caller::new(self.entries[entry].1, api_key)
    }

    pub fn target(&mut self, name: &str) -> &mut Target {
        self.targets
            .iter_mut()
            .find(|target| target.name == name)
            .expect("the target exists")
    }

    /// Runs a command of the operator against the control group.
    pub fn command(&self, arguments: &[&str]) -> std::process::Output {
        let addresses: Vec<String> = self
            .control_addresses
            .iter()
            .map(ToString::to_string)
            .collect();
        let mut arguments = arguments.to_vec();
        for address in &addresses {
            arguments.extend(["--control", address]);
        }
        guavacove(&arguments)
    }

    pub fn status(&self) -> Value {
        let output = self.command(&["status", "--json"]);
        serde_json::from_slice(&output.stdout).unwrap_or(Value::Null)
    }

    /// The leader's position in `controls`.
    pub fn leader(&self) -> usize {
        let leader = self.status()["leader"].as_str().unwrap_or("0").to_string();
        let number: usize = leader
            .split('-')
            .next()
            .and_then(|n| n.parse().ok())
            .unwrap_or(0);
        number.checked_sub(1).expect("a leader is known")
    }

    pub fn write(&self, name: &str, text: &str) -> String {
        let path = self.folder.path().join(name);
        std::fs::write(&path, text).expect("the file can be written");
        path.display().to_string()
    }

    /// Applies a document and returns the command's output.
    pub fn apply(&self, yaml: &str, extra: &[&str]) -> std::process::Output {
        let file = self.write(&format!("document-{}.yaml", rand::random::<u64>()), yaml);
        let mut arguments = vec!["apply", file.as_str()];
        arguments.extend(extra);
        self.command(&arguments)
    }

    /// The number of runs at the stand-ins, by idempotency key and by request id.
    pub async fn runs(&self) -> (BTreeMap<String, u64>, BTreeMap<String, u64>) {
        let (mut by_key, mut by_request) = (BTreeMap::new(), BTreeMap::new());
        for target in &self.targets {
            let runs = get_json(target.address, "/runs").await;
            let plain = runs.get("by_key").is_some();
            let requests = if plain { &runs["by_request"] } else { &runs };
            add_counts(&mut by_key, &runs["by_key"]);
            add_counts(&mut by_request, requests);
        }
        (by_key, by_request)
    }

    /// Waits until every entry is ready and every target is registered.
    pub async fn wait_ready(&self) {
        for (_, entry) in &self.entries {
            eventually("the entry is ready", 15_000, || async {
                get(*entry, "/readyz").await.status == 200
            })
            .await;
        }
        let targets = self.targets.len();
        eventually("every target is a member", 15_000, || async {
            let status = self.status();
            let processes = status["processes"].as_array().cloned().unwrap_or_default();
            let registered = processes
                .iter()
                .filter(|process| !process["member"]["target"].is_null());
            registered.count() == targets
        })
        .await;
        sleep_ms(200).await;
    }

    /// Isolates one control instance from all other processes, or ends that.
    pub fn cut_control(&self, position: usize, cut: bool) {
        self.cut_peers(position, cut);
        if let Some(proxy) = &self.controls[position].rpc_proxy {
            set_cut(proxy, cut);
        }
    }

    /// Isolates one control instance from its peers, or ends that. Entries, agents and
    /// operators still reach it.
    pub fn cut_peers(&self, position: usize, cut: bool) {
        let number = self.controls[position].number;
        for control in &self.controls {
            for (to, proxy) in &control.peer_proxies {
                if control.number == number || *to == number {
                    set_cut(proxy, cut);
                }
            }
        }
    }
}

impl Drop for System {
    fn drop(&mut self) {
        keep_logs_on_failure(&mut self.folder);
    }
}

fn set_cut(proxy: &Proxy, cut: bool) {
    if cut { proxy.cut() } else { proxy.restore() }
}

fn add_counts(totals: &mut BTreeMap<String, u64>, counts: &Value) {
    for (name, count) in counts.as_object().into_iter().flatten() {
        *totals.entry(name.clone()).or_default() += count.as_u64().unwrap_or(0);
    }
}

pub async fn get(address: SocketAddr, path: &str) -> Answer {
    let request = Request::get(path)
        .header("host", "test")
        .body(Full::default())
        .unwrap();
    fetch(address, request).await
}

pub async fn get_json(address: SocketAddr, path: &str) -> Value {
    get(address, path).await.json()
}

impl SystemBuilder {
    pub fn controls(self, controls: usize) -> Self {
        Self { controls, ..self }
    }

    pub fn entries(self, entries: usize) -> Self {
        Self { entries, ..self }
    }

    /// Adds an engine with these options of `stand-in-engine`.
    pub fn engine(mut self, options: &[&str]) -> Self {
        self.engines
            .push(options.iter().map(ToString::to_string).collect());
        self
    }

    /// Adds a plain target whose requests take `delay_ms`.
    pub fn plain(self, delay_ms: u64) -> Self {
        self.plain_with(&["--delay-ms", &delay_ms.to_string()])
    }

    /// Adds a plain target with these options of `stand-in-plain`.
    pub fn plain_with(mut self, options: &[&str]) -> Self {
        self.plains
            .push(options.iter().map(ToString::to_string).collect());
        self
    }

    pub fn document(self, document: &str) -> Self {
        Self {
            document: document.into(),
            ..self
        }
    }

    /// Sets the routing mode of the entries.
    pub fn routing(self, routing: &'static str) -> Self {
        Self { routing, ..self }
    }

    /// Makes entries and agents send traces and metrics to a collector.
    pub fn collector(self, endpoint: &str) -> Self {
        Self {
            collector: Some(endpoint.into()),
            ..self
        }
    }

    /// Puts a proxy on every connection between processes.
    pub fn proxied(self) -> Self {
        Self {
            proxied: true,
            ..self
        }
    }

    pub async fn start(self) -> System {
        let folder = tempfile::tempdir().expect("a folder");
        let mut system = System {
            controls: Vec::new(),
            entries: Vec::new(),
            admins: Vec::new(),
            targets: Vec::new(),
            folder,
            control_addresses: Vec::new(),
        };
        self.start_controls(&mut system).await;
        for position in 0..self.entries {
            start_entry(
                &mut system,
                position,
                self.routing,
                self.collector.as_deref(),
            );
        }
        for (position, options) in self.engines.iter().enumerate() {
            let name = format!("engine-{}", position + 1);
            self.start_target(&mut system, name, "stand-in-engine", options)
                .await;
        }
        for (position, options) in self.plains.iter().enumerate() {
            let name = format!("filings-{}", position + 1);
            self.start_target(&mut system, name, "stand-in-plain", options)
                .await;
        }
        if !self.document.is_empty() {
            let output = system.apply(&self.document, &["--expected", "0"]);
            assert!(
                output.status.success(),
                "{}",
                String::from_utf8_lossy(&output.stderr)
            );
            system.wait_ready().await;
        }
        system
    }

    async fn start_controls(&self, system: &mut System) {
        let peers: Vec<(SocketAddr, SocketAddr)> = (0..self.controls)
            .map(|_| (free_address(), free_address()))
            .collect();
        for (position, (_, rpc)) in peers.iter().enumerate() {
            let number = position + 1;
            let mut peer_settings = Vec::new();
            let mut peer_proxies = Vec::new();
            for (other, (peer, rpc)) in peers.iter().enumerate() {
                let mut peer_address = *peer;
                if self.proxied && other != position {
                    let proxy = Proxy::spawn(*peer).await;
                    peer_address = proxy.address;
                    peer_proxies.push((other + 1, proxy));
                }
                peer_settings.push(json!({"number": other + 1, "peer": peer_address, "rpc": rpc}));
            }
            let data_folder = system.folder.path().join(format!("data-{number}"));
            let console = free_address();
            let settings = json!({
                "number": number,
                "failure_domain": failure_domain(position),
                "data_folder": data_folder,
                "peers": peer_settings,
                "console": {"listen": console, "token": CONSOLE_TOKEN},
            });
            let rpc_proxy = match self.proxied {
                true => Some(Proxy::spawn(*rpc).await),
                false => None,
            };
            let address = rpc_proxy.as_ref().map_or(*rpc, |proxy| proxy.address);
            system.control_addresses.push(address);
            let process = spawn(system, "control", &format!("control-{number}"), &settings);
            let rpc = *rpc;
            system.controls.push(Control {
                process,
                number,
                rpc,
                console,
                data_folder,
                rpc_proxy,
                peer_proxies,
            });
        }
    }

    async fn start_target(
        &self,
        system: &mut System,
        name: String,
        command: &str,
        options: &[String],
    ) {
        let (listen, announce, address) = (free_address(), free_address(), free_address());
        let link = match self.proxied {
            true => Some(Proxy::spawn(listen).await),
            false => None,
        };
        let settings = json!({
            "name": name,
            "failure_domain": "a",
            "listen": listen,
            "advertise": link.as_ref().map(|proxy| proxy.address),
            "announce": announce,
            "control": system.control_addresses,
            "telemetry": {"otlp_endpoint": self.collector},
        });
        let agent = spawn(system, "agent", &name, &settings);
        let mut arguments = vec![command.to_string()];
        arguments.extend(["--listen".into(), address.to_string()]);
        arguments.extend(["--announce".into(), announce.to_string()]);
        arguments.extend(options.iter().cloned());
        let engine_link = match self.proxied && command == "stand-in-engine" {
            true => Some(Proxy::spawn(address).await),
            false => None,
        };
        if let Some(proxy) = &engine_link {
            arguments.extend(["--advertise".into(), proxy.address.to_string()]);
        }
        let log = system.folder.path().join(format!("{name}.target.log"));
        let process = Process::spawn(arguments, log);
        system.targets.push(Target {
            name,
            agent,
            process,
            address,
            link,
            engine_link,
        });
    }
}

fn spawn(system: &System, command: &str, name: &str, settings: &Value) -> Process {
    let file = system.write(&format!("{name}.yaml"), &settings.to_string());
    let log = system.folder.path().join(format!("{name}.log"));
    Process::spawn(vec![command.into(), "--settings".into(), file], log)
}

/// Maximum duration of a graceful stop.
pub const STOP_LIMIT: Duration = Duration::from_secs(30);

fn failure_domain(position: usize) -> &'static str {
    ["a", "b", "c"][position % 3]
}

fn start_entry(system: &mut System, position: usize, routing: &str, collector: Option<&str>) {
    let name = format!("entry-{}", position + 1);
    let (listen, admin) = (free_address(), free_address());
    let settings = json!({
            "name": name,
            "failure_domain": failure_domain(position),
            "listen": listen,
            "admin": admin,
            "control": system.control_addresses,
            "balancer_delay_ms": 300,
            "routing": routing,
            "telemetry": {"otlp_endpoint": collector},
    });
    let process = spawn(system, "entry", &name, &settings);
    system.entries.push((process, listen));
    system.admins.push(admin);
}
