//! Stand-ins for the platform, the engines and the clients, and a small deployment of the project's
//! programs on loopback addresses. Standard library only.
#![allow(dead_code)]

use std::{
    collections::{BTreeMap, BTreeSet},
    fs::{self, File},
    io::{self, BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const HEARTBEAT_MS: u64 = 1200;
pub const CONTACT_MS: u64 = 3000;
/// Longest time that a script takes.
const LONGEST_MS: u64 = 112_000;
pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "i9n73hh2b9wu3fexd9dn";
pub const TENANT: &str = "hule930";

// ---- record and time

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();

pub fn open_record(folder: &str) {
    START.set(Instant::now()).expect("once");
    let file = File::create(format!("{folder}/record.txt")).expect("the record can be written");
    RECORD.set(Mutex::new(file)).expect("once");
}

/// Milliseconds since the script started.
pub fn now_ms() -> u64 {
    START
        .get()
        .expect("the record is open")
        .elapsed()
        .as_millis() as u64
}

pub fn record(text: &str) {
    let line = format!("{:>7} ms  {text}\n", now_ms());
    let mut file = RECORD.get().expect("the record is open").lock().unwrap();
    file.write_all(line.as_bytes())
        .expect("the record can be written");
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Sleeps until this many milliseconds since the script started.
pub fn sleep_until(at_ms: u64) {
    sleep_ms(at_ms.saturating_sub(now_ms()));
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

/// Whether the disruption is to happen.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Ends the script as one that could not run.
pub fn cannot_run(system: &System, why: &str) -> ! {
    record(&format!("cannot run: {why}"));
    println!("cannot run: {why}");
    system.end();
    std::process::exit(2)
}

/// Ends all processes, records the verdict and exits with it.
pub fn finish(system: &System, broken: bool, verdict: &str) -> ! {
    record(&format!(
        "verdict: {}: {verdict}",
        if broken { "BROKEN" } else { "held" }
    ));
    println!("{}: {verdict}", if broken { "BROKEN" } else { "held" });
    system.end();
    std::process::exit(i32::from(broken))
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A new id of a client attempt.
pub fn new_id() -> String {
    let mut x = unix_ms()
        ^ (NEXT_ID.fetch_add(1, Ordering::Relaxed) << 44)
        ^ (u64::from(std::process::id()) << 20);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    format!("{:016x}", x ^ (x >> 31))
}

// ---- HTTP

#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The request line, or the status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        match line.split_once(':') {
            _ if line.is_empty() && head.first.is_empty() => {}
            _ if line.is_empty() => return Ok(Some(head)),
            _ if head.first.is_empty() => head.first = line.to_string(),
            Some((name, value)) => head
                .headers
                .push((name.to_ascii_lowercase(), value.trim().to_string())),
            None => return Err(io::Error::other("not a header")),
        }
    }
}

/// Reads a body and passes on each part of it; returns whether it is complete.
fn read_body(
    reader: &mut BufReader<TcpStream>,
    head: &Head,
    mut part: impl FnMut(&[u8]),
) -> io::Result<bool> {
    let mut buffer = [0; 16384];
    if head
        .get("transfer-encoding")
        .is_some_and(|coding| coding.contains("chunked"))
    {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(false);
            }
            let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16);
            let size = size.map_err(|_| io::Error::other("not a chunk"))?;
            let mut left = size + 2;
            while left > 0 {
                let wanted = left.min(buffer.len());
                let count = reader.read(&mut buffer[..wanted])?;
                if count == 0 {
                    return Ok(false);
                }
                let data = count.min(left.saturating_sub(2));
                part(&buffer[..data]);
                left -= count;
            }
            if size == 0 {
                return Ok(true);
            }
        }
    }
    let mut left = head
        .get("content-length")
        .and_then(|length| length.parse().ok())
        .unwrap_or(0usize);
    while left > 0 {
        let wanted = left.min(buffer.len());
        let count = reader.read(&mut buffer[..wanted])?;
        if count == 0 {
            return Ok(false);
        }
        part(&buffer[..count]);
        left -= count;
    }
    Ok(true)
}

#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub head: Head,
    pub body: Vec<u8>,
    pub complete: bool,
    /// Why there is no complete answer.
    pub error: String,
}

impl Answer {
    pub fn status(&self) -> u16 {
        self.head.status()
    }
}

/// Sends a request on a new connection and reads the answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    limit_ms: u64,
) -> Answer {
    let mut answer = Answer::default();
    let sent = (|| -> io::Result<()> {
        let stream =
            TcpStream::connect_timeout(&address, Duration::from_millis(limit_ms.min(1000)))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(limit_ms)))?;
        let mut text = format!("{method} {path} HTTP/1.1\r\n");
        if !headers.iter().any(|(name, _)| *name == "Host") {
            text += &format!("Host: {address}\r\n");
        }
        for (name, value) in headers {
            text += &format!("{name}: {value}\r\n");
        }
        text += &format!("Content-Length: {}\r\n\r\n", body.len());
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        (&stream).write_all(&bytes)?;
        let mut reader = BufReader::new(stream);
        answer.head =
            read_head(&mut reader)?.ok_or_else(|| io::Error::other("closed before an answer"))?;
        let head = answer.head.clone();
        answer.complete = read_body(&mut reader, &head, |part| {
            answer.body.extend_from_slice(part)
        })?;
        Ok(())
    })();
    match sent {
        Err(error) => answer.error = error.to_string(),
        Ok(()) if !answer.complete => answer.error = "broken off".into(),
        Ok(()) => {}
    }
    answer
}

/// A call to the nodes that serve control: follows two redirects and goes on to the next node.
pub fn call_control(nodes: &[SocketAddr], method: &str, path: &str, body: &str) -> Option<Answer> {
    for node in nodes {
        let mut address = *node;
        for _ in 0..3 {
            let json = [("Content-Type", "application/json".to_string())];
            let answer = call(address, method, path, &json, body.as_bytes(), 1000);
            match answer.status() {
                307 => {
                    let location = answer.head.get("location").unwrap_or_default();
                    let host = location.trim_start_matches("http://").split('/').next();
                    match host.and_then(|host| host.parse().ok()) {
                        Some(next) => address = next,
                        None => break,
                    }
                }
                200 | 400 | 404 | 409 | 412 | 413 | 422 if answer.complete => return Some(answer),
                _ => break,
            }
        }
    }
    None
}

// ---- the platform: machines and their processes

pub struct Process {
    role: &'static str,
    machine: usize,
    child: Mutex<Option<Child>>,
}

/// One machine of the deployment.
pub struct Machine {
    pub name: String,
    pub ip: String,
    pub counted: bool,
    pub serves: Vec<&'static str>,
}

pub struct System {
    pub machines: Vec<Machine>,
    processes: Mutex<Vec<Arc<Process>>>,
    folder: PathBuf,
    network: u8,
    ports: BTreeMap<&'static str, u16>,
    first_start: AtomicBool,
}

impl System {
    /// Chooses a network on the loopback device and free ports.
    pub fn new() -> Arc<Self> {
        let network = 20 + (std::process::id() % 200) as u8;
        let free = || {
            let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
            listener.local_addr().unwrap().port()
        };
        let names = [
            "frontend",
            "readiness",
            "control_plane",
            "metrics",
            "metrics_control",
        ];
        let mut ports: BTreeMap<&'static str, u16> =
            names.into_iter().map(|name| (name, free())).collect();
        // A range of ports, of which the first two and the last are used.
        let is_free = |port: u16| TcpListener::bind(("0.0.0.0", port)).is_ok();
        let first = 7600 + (std::process::id() % 100) as u16 * 16;
        let mut ranges = (first..28_000).step_by(16);
        let internal =
            ranges.find(|port| [0, 1, 15].into_iter().all(|offset| is_free(port + offset)));
        ports.insert("internal", internal.expect("free ports"));
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        Arc::new(Self {
            machines: Vec::new(),
            processes: Mutex::default(),
            folder,
            network,
            ports,
            first_start: AtomicBool::new(true),
        })
    }

    /// Adds `counted` machines that serve control and clients, `edges` that serve clients only, and
    /// `sides` with an engine.
    pub fn with_machines(counted: u8, edges: u8, sides: u8) -> Arc<Self> {
        let mut system = Arc::into_inner(Self::new()).expect("it is new");
        let mut add =
            |name: String, subnet: u8, number: u8, counted: bool, serves: Vec<&'static str>| {
                let ip = format!("127.{}.{subnet}.{number}", system.network);
                system.machines.push(Machine {
                    name,
                    ip,
                    counted,
                    serves,
                });
            };
        for number in 1..=counted {
            add(
                format!("edge-a-{number}"),
                1,
                number,
                true,
                vec!["edge", "control"],
            );
        }
        for number in 1..=edges {
            add(format!("edge-b-{number}"), 2, number, false, vec!["edge"]);
        }
        for number in 1..=sides {
            add(format!("side-a-{number}"), 3, number, false, vec!["side"]);
        }
        let system = Arc::new(system);
        system.end_in_time();
        system
    }

    /// Ends all processes if the script takes too long or panics.
    fn end_in_time(self: &Arc<Self>) {
        let (late, panicked) = (Arc::clone(self), Arc::clone(self));
        thread::spawn(move || {
            sleep_until(LONGEST_MS);
            cannot_run(&late, "it took too long");
        });
        std::panic::set_hook(Box::new(move |panic| {
            cannot_run(&panicked, &panic.to_string())
        }));
    }

    fn address(&self, machine: usize, port: &str) -> SocketAddr {
        format!("{}:{}", self.machines[machine].ip, self.ports[port])
            .parse()
            .unwrap()
    }

    pub fn machines_that(&self, serve: &str) -> Vec<usize> {
        let all = 0..self.machines.len();
        all.filter(|machine| self.machines[*machine].serves.contains(&serve))
            .collect()
    }

    pub fn control(&self) -> Vec<SocketAddr> {
        let machines = self.machines_that("control").into_iter();
        machines
            .map(|machine| self.address(machine, "control_plane"))
            .collect()
    }

    pub fn frontend(&self, machine: usize) -> SocketAddr {
        self.address(machine, "frontend")
    }

    pub fn is_ready(&self, machine: usize) -> bool {
        call(
            self.address(machine, "readiness"),
            "GET",
            "/readyz",
            &[],
            b"",
            1000,
        )
        .status()
            == 200
    }

    /// Fills a template of the deploy file, as its page describes it.
    fn settings(&self, role: &str, machine: usize) -> String {
        let template = fs::read_to_string(format!("deploy/{role}.yaml")).expect("a template");
        let ip = &self.machines[machine].ip;
        let internal = self.ports["internal"];
        let seeds: Vec<String> = self.control().iter().map(ToString::to_string).collect();
        let first_start = self.first_start.load(Ordering::Relaxed);
        let data = self
            .folder
            .join(format!("data-{machine}"))
            .display()
            .to_string();
        let values: Vec<(&str, String)> = vec![
            ("node_name", self.machines[machine].name.clone()),
            ("zone", "be-east-a".into()),
            ("ip", ip.clone()),
            (
                "data_dir",
                if self.machines[machine].counted {
                    data
                } else {
                    String::new()
                },
            ),
            ("bootstrap", first_start.to_string()),
            ("heartbeat_ms", HEARTBEAT_MS.to_string()),
            ("internal_ports.0", internal.to_string()),
            ("internal_ports.1", (internal + 15).to_string()),
            (
                "listen.frontend",
                self.address(machine, "frontend").to_string(),
            ),
            (
                "listen.readiness",
                self.address(machine, "readiness").to_string(),
            ),
            (
                "listen.control_plane",
                self.address(machine, "control_plane").to_string(),
            ),
            ("bounds.grace_s", "8".into()),
            ("bounds.quota_slack", "110000".into()),
            ("bounds.quota_window_s", "8".into()),
            ("bounds.retry_ratio", "0.2".into()),
            ("bounds.retry_window_s", "10".into()),
            ("bounds.retry_slack", "60".into()),
        ];
        let mut text = String::new();
        let mut rest = template.as_str();
        while let Some((before, after)) = rest.split_once("{{#") {
            let (name, after) = after.split_once("}}").expect("a section");
            let (section, after) = after
                .split_once(&format!("{{{{/{name}}}}}"))
                .expect("its end");
            text += before;
            match name {
                "seeds" => seeds
                    .iter()
                    .for_each(|seed| text += &section.replace("{{.}}", seed)),
                _ => text += section,
            }
            rest = after;
        }
        text += rest;
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        let metrics = if role == "control" {
            "metrics_control"
        } else {
            "metrics"
        };
        text = text
            .replace(":9464", &format!(":{}", self.ports[metrics]))
            .replace(":9465", &format!(":{}", self.ports[metrics]));
        assert!(!text.contains("{{"), "a placeholder of {role} is not known");
        text
    }

    /// Starts all processes of these machines.
    pub fn start(&self, machines: &[usize]) {
        for &machine in machines {
            let serves = &self.machines[machine].serves;
            for (role, served) in [
                ("control", "control"),
                ("gateway", "edge"),
                ("admission", "side"),
            ] {
                if serves.contains(&served) {
                    self.spawn(role, machine);
                }
            }
        }
    }

    fn spawn(&self, role: &'static str, machine: usize) {
        let settings = self.folder.join(format!("{role}-{machine}.yaml"));
        fs::write(&settings, self.settings(role, machine)).expect("settings can be written");
        let log = |kind: &str| {
            let name = self.folder.join(format!("{role}-{machine}.{kind}"));
            Stdio::from(
                File::options()
                    .append(true)
                    .create(true)
                    .open(name)
                    .expect("a log"),
            )
        };
        let child = Command::new("target/release/guavacove")
            .args([role, "--settings"])
            .arg(&settings)
            .env_clear()
            .stdin(Stdio::null())
            .stdout(log("out"))
            .stderr(log("err"))
            .spawn()
            .expect("the program starts; is it built?");
        let mut processes = self.processes.lock().unwrap();
        processes.retain(|known| known.role != role || known.machine != machine);
        processes.push(Arc::new(Process {
            role,
            machine,
            child: Mutex::new(Some(child)),
        }));
    }

    /// SIGKILL to all processes of these machines, at the same moment.
    pub fn kill(&self, machines: &[usize]) {
        self.first_start.store(false, Ordering::Relaxed);
        let names: Vec<&str> = machines
            .iter()
            .map(|machine| self.machines[*machine].name.as_str())
            .collect();
        record(&format!(
            "platform: SIGKILL to all processes of {}",
            names.join(", ")
        ));
        let processes = self.processes.lock().unwrap();
        let chosen = processes
            .iter()
            .filter(|process| machines.contains(&process.machine));
        let mut children: Vec<Child> = chosen
            .filter_map(|process| process.child.lock().unwrap().take())
            .collect();
        for child in &mut children {
            let _ = child.kill();
        }
        for child in &mut children {
            let _ = child.wait();
        }
    }

    /// Sends a signal to one process.
    pub fn signal(&self, role: &str, machine: usize, signal: &str) {
        let processes = self.processes.lock().unwrap();
        let chosen = processes
            .iter()
            .find(|process| process.role == role && process.machine == machine);
        let child = chosen.expect("it was started").child.lock().unwrap();
        let id = child.as_ref().expect("it runs").id().to_string();
        record(&format!(
            "platform: SIG{signal} to {role} of {}",
            self.machines[machine].name
        ));
        let _ = Command::new("kill")
            .args([&format!("-{signal}"), &id])
            .status();
    }

    /// Stops and starts the processes of these machines in turn, as planned work: SIGTERM, and SIGKILL
    /// after `grace_s`.
    pub fn roll(&self, machines: &[usize], gap_ms: u64) {
        self.first_start.store(false, Ordering::Relaxed);
        for &machine in machines {
            record(&format!(
                "platform: SIGTERM to the processes of {}",
                self.machines[machine].name
            ));
            let processes = self.processes.lock().unwrap().clone();
            let chosen = processes
                .iter()
                .filter(|process| process.machine == machine);
            for process in chosen {
                let Some(mut child) = process.child.lock().unwrap().take() else {
                    continue;
                };
                let _ = Command::new("kill")
                    .args(["-TERM", &child.id().to_string()])
                    .status();
                let sent = Instant::now();
                while !matches!(child.try_wait(), Ok(Some(_)))
                    && sent.elapsed() < Duration::from_secs(8)
                {
                    sleep_ms(10);
                }
                let _ = child.kill();
                let _ = child.wait();
            }
            sleep_ms(300);
            self.start(&[machine]);
            sleep_ms(gap_ms);
        }
        record("platform: all of them are started again");
    }

    /// Ends all processes and removes the temporary folder.
    pub fn end(&self) {
        for process in self.processes.lock().unwrap().iter() {
            if let Some(mut child) = process.child.lock().unwrap().take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("logs: {}", self.folder.display());
        }
    }

    /// The operator's first configuration, sent until it is accepted.
    pub fn configure(&self, config: &str) {
        for _ in 0..150 {
            let answer = call_control(&self.control(), "PUT", "/config", config);
            if answer.is_some_and(|answer| answer.status() == 200) {
                record("operator: configuration acknowledged");
                return;
            }
            sleep_ms(100);
        }
        cannot_run(self, "the first configuration was not accepted");
    }

    pub fn wait_until_ready(&self, machines: &[usize]) {
        for &machine in machines {
            let mut tries = 0;
            while !self.is_ready(machine) {
                tries += 1;
                if tries > 200 {
                    cannot_run(
                        self,
                        &format!("{} is not ready", self.machines[machine].name),
                    );
                }
                sleep_ms(50);
            }
        }
    }
}

/// A configuration with a resumable stream and a service of model engines.
pub fn config(version: u64, engines: &str, slots: u32) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-doc","host":"{HOST}","path_prefix":"/lohu930/","route_type":"streaming","timeout_ms":15000,"slo_ms":600,"priority":2,"service":"{engines}","max_attempts":2,"public":false,"session_affinity":true,"resumable":true,"gap_target_ms":800}}],"services":[{{"name":"{engines}","health_path":"/healthz","max_connections":380,"protocol":"h1","tls":false,"engine":{{"max_concurrency":{slots},"kv_capacity":236203,"kv_bytes":18432,"link_mbps":370000.0,"moves":true,"backups":true,"stride":4,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_ttl_s":5.0,"models":[{{"name":"m"}}]}}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"{TENANT}","api_keys":["{KEY}"],"priority":1,"unit":"tokens","plain_tokens":200,"rate_per_s":387063,"burst":387063}}]}}"#
    )
}

// ---- engines

/// Number of requests that an engine queues beyond those that it runs.
const QUEUE: u64 = 12;

/// Whether the caller has closed its connection.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

/// A run of a request at an engine.
#[derive(Clone, Debug)]
pub struct Run {
    pub at_ms: u64,
    pub engine: String,
    pub version: &'static str,
    pub request: String,
    pub parts: String,
    pub last_event: u64,
}

pub struct Engine {
    pub id: String,
    pub service: String,
    pub version: &'static str,
    pub address: SocketAddr,
    pub slots: u64,
    pub events: u64,
    pub pause_ms: u64,
    born: AtomicU64,
    sequence: AtomicU64,
    active: AtomicU64,
    queued: AtomicU64,
    state: Mutex<&'static str>,
    /// Stops accepting connections and answering.
    gone: AtomicBool,
    announces: AtomicBool,
    /// A part of a prompt on which it crashes when it begins to write an answer.
    pub crashing_part: Mutex<Option<&'static str>>,
    /// Number of crashes; connections of earlier ones end.
    crashes: AtomicU64,
    pub crash_times: Mutex<Vec<u64>>,
    pub down_ms: u64,
    is_down: AtomicBool,
    listens: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
    pub runs: Mutex<Vec<Run>>,
}

/// What the stand-in engines have in common.
pub struct EngineSettings {
    pub service: &'static str,
    pub slots: u64,
    pub events: u64,
    pub pause_ms: u64,
}

impl Engine {
    /// Starts an engine at the `app` address of a side machine; it registers itself from now on.
    pub fn start(
        system: &Arc<System>,
        machine: usize,
        version: &'static str,
        settings: &EngineSettings,
    ) -> Arc<Self> {
        let listener =
            TcpListener::bind((system.machines[machine].ip.as_str(), 0)).expect("an address");
        let engine = Arc::new(Self {
            id: format!("i-{}", &new_id()[..8]),
            service: settings.service.into(),
            version,
            address: listener.local_addr().unwrap(),
            slots: settings.slots,
            events: settings.events,
            pause_ms: settings.pause_ms,
            born: AtomicU64::new(unix_ms()),
            sequence: AtomicU64::new(1),
            active: AtomicU64::new(0),
            queued: AtomicU64::new(0),
            state: Mutex::new("ready"),
            gone: AtomicBool::new(false),
            announces: AtomicBool::new(true),
            crashing_part: Mutex::new(None),
            crashes: AtomicU64::new(0),
            crash_times: Mutex::default(),
            down_ms: 2000,
            is_down: AtomicBool::new(false),
            listens: AtomicBool::new(true),
            open: Mutex::default(),
            runs: Mutex::default(),
        });
        record(&format!(
            "engine {} of version {version} starts at {} on {}",
            engine.id, engine.address, system.machines[machine].name
        ));
        let serving = Arc::clone(&engine);
        thread::spawn(move || serving.listen(listener));
        let (beating, control) = (Arc::clone(&engine), system.control());
        thread::spawn(move || {
            while beating.announces.load(Ordering::Relaxed) && !beating.gone.load(Ordering::Relaxed)
            {
                if !beating.is_down.load(Ordering::Relaxed) {
                    beating.beat(&control);
                }
                sleep_ms(HEARTBEAT_MS);
            }
        });
        engine
    }

    fn heartbeat(&self, service: &str, sequence: u64, born: u64) -> String {
        format!(
            r#"{{"service":"{service}","address":"{}","zone":"be-east-a","version":"{}","max_concurrency":{},"state":"{}","warmup_left_ms":0,"phase":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"seq":{sequence},"born":{born}}}"#,
            self.address,
            self.version,
            self.slots,
            *self.state.lock().unwrap(),
        )
    }

    /// One heartbeat; returns whether it was acknowledged.
    pub fn beat(&self, control: &[SocketAddr]) -> bool {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let body = self.heartbeat(&self.service, sequence, self.born.load(Ordering::Relaxed));
        let answer = call_control(control, "PUT", &format!("/instances/{}", self.id), &body);
        answer.is_some_and(|answer| answer.status() == 200)
    }

    /// The body of a heartbeat of this run with an earlier sequence number, as one that is late has.
    pub fn late_heartbeat(&self) -> String {
        let sequence = self.sequence.load(Ordering::Relaxed).saturating_sub(1);
        self.heartbeat(&self.service, sequence, self.born.load(Ordering::Relaxed))
    }

    /// The body of an entry of another writer under this engine's id, for another service.
    pub fn foreign_entry(&self, service: &str) -> String {
        self.heartbeat(service, 1, unix_ms())
    }

    /// Says that it is draining, until that is acknowledged.
    pub fn drain(&self, control: &[SocketAddr]) -> bool {
        *self.state.lock().unwrap() = "draining";
        let acknowledged = (0..5).any(|_| self.beat(control));
        record(&format!(
            "engine {} says that it is draining, acknowledged: {acknowledged}",
            self.id
        ));
        acknowledged
    }

    /// Withdraws; it goes on serving until [`Self::exit`].
    pub fn withdraw(&self, control: &[SocketAddr]) -> bool {
        self.announces.store(false, Ordering::Relaxed);
        let path = format!("/instances/{}", self.id);
        let answer = (0..5).find_map(|_| call_control(control, "DELETE", &path, ""));
        let acknowledged = answer.is_some_and(|answer| answer.status() == 200);
        record(&format!(
            "engine {} sends DELETE, acknowledged: {acknowledged}",
            self.id
        ));
        acknowledged
    }

    pub fn exit(&self) {
        record(&format!("engine {} exits", self.id));
        self.gone.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.address);
        self.close_connections();
    }

    pub fn active(&self) -> u64 {
        self.active.load(Ordering::Relaxed)
    }

    fn close_connections(&self) {
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Ends all connections, stops listening for `down_ms` and starts again under its id.
    fn crash(&self) {
        if self.is_down.swap(true, Ordering::SeqCst) {
            return;
        }
        self.crash_times.lock().unwrap().push(now_ms());
        record(&format!("engine {} crashes", self.id));
        self.crashes.fetch_add(1, Ordering::SeqCst);
        // A process that ends accepts no connections any more when its connections are closed.
        let _ = TcpStream::connect(self.address);
        while self.listens.load(Ordering::SeqCst) {
            thread::yield_now();
        }
        self.close_connections();
    }

    fn listen(self: Arc<Self>, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            let accepted = listener.as_ref().expect("it listens").accept();
            if self.gone.load(Ordering::Relaxed) {
                return;
            }
            if self.is_down.load(Ordering::SeqCst) {
                drop(accepted);
                drop(listener.take());
                self.listens.store(false, Ordering::SeqCst);
                sleep_ms(self.down_ms);
                let again = loop {
                    match TcpListener::bind(self.address) {
                        Ok(again) => break again,
                        Err(_) => sleep_ms(20),
                    }
                };
                listener = Some(again);
                self.listens.store(true, Ordering::SeqCst);
                self.born.store(unix_ms(), Ordering::SeqCst);
                self.sequence.store(1, Ordering::SeqCst);
                self.is_down.store(false, Ordering::SeqCst);
                record(&format!("engine {} is back", self.id));
                continue;
            }
            let Ok((stream, _)) = accepted else { continue };
            if let Ok(copy) = stream.try_clone() {
                self.open.lock().unwrap().push(copy);
            }
            let engine = Arc::clone(&self);
            thread::spawn(move || {
                let _ = engine.serve(stream);
            });
        }
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        let crashes = self.crashes.load(Ordering::SeqCst);
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader)? {
            let mut body = Vec::new();
            if !read_body(&mut reader, &head, |part| body.extend_from_slice(part))? {
                return Ok(());
            }
            if self.crashes.load(Ordering::SeqCst) != crashes {
                return Ok(());
            }
            self.answer(&mut writer, &head)?;
        }
        Ok(())
    }

    fn answer(&self, writer: &mut TcpStream, head: &Head) -> io::Result<()> {
        let path = head.first.split(' ').nth(1).unwrap_or_default();
        let id = head
            .get("x-guavacove-request-id")
            .unwrap_or_default()
            .to_string();
        let respond = |writer: &mut TcpStream, status: &str, headers: &str, body: &str| {
            let echoed = if id.is_empty() {
                String::new()
            } else {
                format!("X-Guavacove-Request-Id: {id}\r\n")
            };
            let text = format!(
                "HTTP/1.1 {status}\r\n{echoed}Keep-Alive: timeout=5\r\n{headers}Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            writer.write_all(text.as_bytes())
        };
        let expected = head.get("x-guavacove-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return respond(
                writer,
                "421 Misdirected Request",
                "X-Guavacove-Not-Executed: 1\r\n",
                "",
            );
        }
        if path == "/healthz" {
            return respond(
                writer,
                "200 OK",
                &format!("X-Guavacove-Instance-Id: {}\r\n", self.id),
                "",
            );
        }
        if path == "/report" {
            let report = format!(
                r#"{{"phase":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"seq":0,"queued":0,"active":{},"kv_used":0,"kv_total":236203,"handles":0,"born":{}}}"#,
                self.active(),
                self.born.load(Ordering::SeqCst)
            );
            return respond(
                writer,
                "200 OK",
                "Content-Type: application/json\r\n",
                &report,
            );
        }
        if id.is_empty() {
            return respond(
                writer,
                "400 Bad Request",
                "X-Guavacove-Not-Executed: 1\r\n",
                "",
            );
        }
        if self.queued.fetch_add(1, Ordering::SeqCst) >= QUEUE {
            self.queued.fetch_sub(1, Ordering::SeqCst);
            return respond(
                writer,
                "503 Service Unavailable",
                "X-Guavacove-Not-Executed: 1\r\n",
                "",
            );
        }
        let crashes = self.crashes.load(Ordering::SeqCst);
        let has_begun = loop {
            let active = self.active.load(Ordering::SeqCst);
            match active < self.slots {
                true if self
                    .active
                    .compare_exchange(active, active + 1, Ordering::SeqCst, Ordering::SeqCst)
                    .is_ok() =>
                {
                    break true;
                }
                true => {}
                false if self.crashes.load(Ordering::SeqCst) != crashes || is_closed(writer) => {
                    break false;
                }
                false => sleep_ms(20),
            }
        };
        self.queued.fetch_sub(1, Ordering::SeqCst);
        if !has_begun {
            return Err(io::Error::other("ended while it waited"));
        }
        let result = self.run(writer, head, &id);
        self.active.fetch_sub(1, Ordering::SeqCst);
        result
    }

    /// Runs a stream: event N is `id: N`, and its data names the engine's version.
    fn run(&self, writer: &mut TcpStream, head: &Head, id: &str) -> io::Result<()> {
        let last_event = head
            .get("last-event-id")
            .and_then(|id| id.parse().ok())
            .unwrap_or(0u64);
        let parts = head
            .get("x-guavacove-prefix-hash")
            .unwrap_or_default()
            .to_string();
        record(&format!(
            "engine {} ({}) runs {id} from event {}, parts {parts}",
            self.id,
            self.version,
            last_event + 1
        ));
        self.runs.lock().unwrap().push(Run {
            at_ms: now_ms(),
            engine: self.id.clone(),
            version: self.version,
            request: id.into(),
            parts: parts.clone(),
            last_event,
        });
        let crashing = *self.crashing_part.lock().unwrap();
        let shared = parts.rsplit_once(',').map_or("", |(shared, _own)| shared);
        if crashing.is_some_and(|part| {
            shared
                .split(',')
                .any(|entry| entry.split(':').next() == Some(part))
        }) {
            sleep_ms(60);
            self.crash();
            return Err(io::Error::other("crashed"));
        }
        let answer_head = format!(
            "HTTP/1.1 200 OK\r\nX-Guavacove-Request-Id: {id}\r\nX-Guavacove-Server-Signature: {}.{id}\r\nX-Guavacove-Weight-Versions: 1\r\nKeep-Alive: timeout=5\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        let crashes = self.crashes.load(Ordering::SeqCst);
        sleep_ms(40);
        writer.write_all(answer_head.as_bytes())?;
        for event in last_event + 1..=self.events {
            sleep_ms(self.pause_ms);
            if is_closed(writer) {
                return Err(io::Error::other("its caller is gone"));
            }
            if self.gone.load(Ordering::Relaxed) || self.crashes.load(Ordering::SeqCst) != crashes {
                return Err(io::Error::other("ended"));
            }
            let text = format!("id: {event}\ndata: piece {event} of {}\n\n", self.version);
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            writer.write_all(chunk.as_bytes())?;
        }
        writer.write_all(b"0\r\n\r\n")
    }
}

// ---- clients

/// A stream as its client sees it, over its tries.
#[derive(Clone, Debug, Default)]
pub struct Stream {
    pub ids: Vec<String>,
    /// The version of each event, by its id.
    pub events: Vec<(u64, String)>,
    pub complete: bool,
    /// Status of each try; 0 if there was none.
    pub statuses: Vec<u16>,
    /// When its first answer broke off after an event.
    pub broken_at_ms: Option<u64>,
}

impl Stream {
    pub fn versions(&self) -> BTreeSet<&str> {
        self.events
            .iter()
            .map(|(_, version)| version.as_str())
            .collect()
    }

    /// The versions in their order, for the record.
    pub fn describe(&self) -> String {
        let mut text = String::new();
        let mut last = "";
        for (event, version) in &self.events {
            if version != last {
                text += &format!(
                    "{}event {event} on: {version}",
                    if text.is_empty() { "" } else { ", " }
                );
                last = version;
            }
        }
        format!(
            "ids {:?}, statuses {:?}, {} events ({text}), complete: {}",
            self.ids,
            self.statuses,
            self.events.len(),
            self.complete
        )
    }
}

fn version_of(data: &str) -> Option<String> {
    data.rsplit_once(" of ")
        .map(|(_, version)| version.to_string())
}

/// One try of a stream at a gateway; returns the status and whether the answer is complete.
fn try_stream(
    stream: &mut Stream,
    address: SocketAddr,
    body: &str,
    parts: &str,
    left_ms: u64,
) -> (u16, bool, Option<u64>) {
    let id = new_id();
    let mut headers: Vec<(&str, String)> = vec![
        ("Host", HOST.into()),
        ("X-Guavacove-Request-Id", id.clone()),
        ("X-Guavacove-Model", "m".into()),
        ("X-Guavacove-Token-Count", "543,70".into()),
        ("X-Guavacove-Prefix-Hash", parts.into()),
        ("X-Guavacove-Deadline-Ms", left_ms.to_string()),
        ("Authorization", format!("Bearer {KEY}")),
    ];
    if let Some((last, _)) = stream.events.last() {
        headers.push(("Last-Event-Id", last.to_string()));
        headers.push(("Resumes", stream.ids[0].clone()));
    } else {
        stream.ids.clear();
    }
    stream.ids.push(id.clone());
    let (sent_ms, known_events) = (now_ms(), stream.events.len());
    let mut status = 0;
    let mut retry_after_ms = None;
    let mut complete = false;
    let sent = (|| -> io::Result<()> {
        let connection = TcpStream::connect_timeout(&address, Duration::from_millis(1000))?;
        connection.set_nodelay(true)?;
        // A client abandons a stream after a gap of eight times the pause.
        connection.set_read_timeout(Some(Duration::from_millis(left_ms.clamp(1, 6400))))?;
        let mut text = "POST /lohu930/2f HTTP/1.1\r\n".to_string();
        headers
            .iter()
            .for_each(|(name, value)| text += &format!("{name}: {value}\r\n"));
        text += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
        (&connection).write_all(text.as_bytes())?;
        let mut reader = BufReader::new(connection);
        let head = read_head(&mut reader)?.ok_or_else(|| io::Error::other("closed"))?;
        status = head.status();
        let seconds = head
            .get("retry-after")
            .and_then(|text| text.parse::<f64>().ok());
        retry_after_ms = seconds.map(|seconds| (seconds * 1000.0) as u64);
        let mut partial = String::new();
        complete = read_body(&mut reader, &head, |part| {
            if status != 200 {
                return;
            }
            partial += &String::from_utf8_lossy(part);
            while let Some((event, rest)) = partial
                .split_once("\n\n")
                .map(|(event, rest)| (event.to_string(), rest.to_string()))
            {
                partial = rest;
                let number = event.lines().find_map(|line| line.strip_prefix("id: "));
                let version = event
                    .lines()
                    .find_map(|line| line.strip_prefix("data: "))
                    .and_then(version_of);
                if let (Some(Ok(number)), Some(version)) = (number.map(str::parse), version) {
                    stream.events.push((number, version));
                }
            }
        })?;
        Ok(())
    })();
    let resumes = match known_events {
        0 => String::new(),
        _ => format!(
            ", resumes {} after event {}",
            stream.ids[0],
            stream.events[known_events - 1].0
        ),
    };
    let outcome = match sent {
        Err(error) => error.to_string(),
        Ok(()) if complete => "complete".into(),
        Ok(()) => "broken off".into(),
    };
    let events = stream.events.len() - known_events;
    record(&format!(
        "client: {id} sent at {sent_ms} ms to {address}{resumes}; answered {status}, {events} events, {outcome}"
    ));
    (status, complete && status == 200, retry_after_ms)
}

/// A client of a stream: sends it to the gateway of a machine, and takes it up again, a few times
/// within its deadline, at a machine that is ready.
pub fn client(
    system: &Arc<System>,
    machine: usize,
    parts: &str,
    deadline_ms: u64,
    tries: usize,
) -> Stream {
    let mut stream = Stream::default();
    // No two requests are alike; all tries of one are.
    let body = format!("{{\"bundle\":\"{}\"}}", new_id());
    let began_ms = now_ms();
    let edges = system.machines_that("edge");
    let mut machine = machine;
    for attempt in 0..tries {
        let left_ms = (began_ms + deadline_ms).saturating_sub(now_ms());
        if left_ms < 200 {
            break;
        }
        let (status, complete, retry_after_ms) =
            try_stream(&mut stream, system.frontend(machine), &body, parts, left_ms);
        stream.statuses.push(status);
        if complete {
            stream.complete = true;
            break;
        }
        if matches!(status, 400 | 401 | 404 | 413 | 431) || attempt + 1 == tries {
            break;
        }
        if !stream.events.is_empty() && stream.broken_at_ms.is_none() {
            stream.broken_at_ms = Some(now_ms());
        }
        let left_ms = (began_ms + deadline_ms).saturating_sub(now_ms());
        sleep_ms(retry_after_ms.unwrap_or(100).min(left_ms / 3));
        // The platform sends a new connection to any machine in rotation; retries reach other ones.
        for _ in 0..100 {
            let ready = edges
                .iter()
                .filter(|edge| **edge != machine && system.is_ready(**edge));
            let ready: Vec<usize> = ready.copied().collect();
            if !ready.is_empty() {
                machine =
                    ready[usize::from_str_radix(&new_id()[..4], 16).unwrap_or(0) % ready.len()];
                break;
            }
            sleep_ms(30);
        }
    }
    stream
}

/// Runs clients of streams side by side, one every `gap_ms`, at these machines in turn.
pub fn clients(
    system: &Arc<System>,
    machines: &[usize],
    count: usize,
    gap_ms: u64,
    deadline_ms: u64,
    tries: usize,
) -> Vec<thread::JoinHandle<Stream>> {
    let mut all = Vec::new();
    for number in 0..count {
        let (system, machine) = (Arc::clone(system), machines[number % machines.len()]);
        let parts = format!("5c1e07a2:60,{}:483", &new_id()[..8]);
        all.push(thread::spawn(move || {
            client(&system, machine, &parts, deadline_ms, tries)
        }));
        sleep_ms(gap_ms);
    }
    all
}
