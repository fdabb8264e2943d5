//! Test harness of the review: starts the programs of the deploy file as separate processes on
//! loopback addresses, and holds the stand-ins of the operator, the servers and the clients.
//! Standard library only.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{self, Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, SocketAddrV4, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const FRONTEND_PORT: u16 = 18221;
pub const READINESS_PORT: u16 = 18224;
pub const CONTROL_PORT: u16 = 18229;
pub const INTERNAL_PORTS: (u16, u16) = (17600, 17615);
pub const SERVER_PORT: u16 = 18080;
pub const HEARTBEAT_MS: u64 = 1200;
pub const API_KEY: &str = "k0000000000000000one";
pub const HOST: &str = "files.example";
pub const SIGNATURE: &str = "3e1b.07.5a2";

/// Exit codes of a script.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// Whether the disruption is wanted.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record of a run, written to `record.txt`.
pub struct Record {
    file: Mutex<File>,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Self> {
        let file = File::create(path).expect("record.txt can be created");
        Arc::new(Self {
            file: Mutex::new(file),
            began: Instant::now(),
        })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.began.elapsed().as_secs_f64();
        let line = format!("{at:8.3} {}\n", text.as_ref());
        print!("{line}");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// The loopback network of a run: each machine has an address of its own, and all use the same
/// ports.
pub struct Network {
    second: u8,
    third: u8,
}

impl Network {
    /// Finds addresses whose ports are free.
    pub fn find() -> Option<Self> {
        let pid = std::process::id();
        for attempt in 0..50u32 {
            let number = pid.wrapping_mul(7).wrapping_add(attempt * 131);
            let network = Self {
                second: 20 + (number % 200) as u8,
                third: ((number / 200) % 250) as u8,
            };
            let ports = [
                FRONTEND_PORT,
                READINESS_PORT,
                CONTROL_PORT,
                INTERNAL_PORTS.0,
                INTERNAL_PORTS.0 + 1,
                INTERNAL_PORTS.1,
                SERVER_PORT,
                9464,
                9465,
            ];
            let is_free = (1..=40).all(|host| {
                let bind = |port: &u16| TcpListener::bind(network.address(host, *port)).is_ok();
                ports.iter().all(bind)
            });
            if is_free {
                return Some(network);
            }
        }
        None
    }

    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.second, self.third, host)
    }

    pub fn address(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::V4(SocketAddrV4::new(self.ip(host), port))
    }
}

/// A process that the script started; it is killed when this is dropped.
pub struct Process {
    pub name: String,
    child: Child,
}

impl Process {
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal by its name, such as `TERM`.
    pub fn signal(&self, signal: &str) {
        let _ = Command::new("kill")
            .args([format!("-{signal}"), self.pid().to_string()])
            .status();
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Processor time used so far, in milliseconds.
    pub fn cpu_ms(&self) -> u64 {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.pid())).unwrap_or_default();
        let rest = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
        let fields: Vec<&str> = rest.split_whitespace().collect();
        let ticks = |at: usize| fields.get(at).and_then(|f| f.parse::<u64>().ok());
        (ticks(11).unwrap_or(0) + ticks(12).unwrap_or(0)) * 10
    }

    /// Resident memory, in bytes.
    pub fn resident_bytes(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kib.unwrap_or(0) * 1024
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Mask of processors, as the system calls of the C library take it.
type CoreMask = [u64; 16];

unsafe extern "C" {
    fn sched_getaffinity(pid: i32, size: usize, mask: *mut CoreMask) -> i32;
    fn sched_setaffinity(pid: i32, size: usize, mask: *const CoreMask) -> i32;
}

/// Binds a command to one of the cores that this process may use. The platform's machines have one
/// core, and a process sizes its thread pools by the cores that it sees.
fn bind_to_one_core(command: &mut Command, number: usize) {
    use std::os::unix::process::CommandExt;
    let mut allowed: CoreMask = [0; 16];
    // The mask is as long as the size says.
    unsafe { sched_getaffinity(0, size_of::<CoreMask>(), &raw mut allowed) };
    let cores: Vec<usize> = (0..1024).filter(|core| allowed[core / 64] >> (core % 64) & 1 == 1).collect();
    let Some(core) = cores.get(number % cores.len().max(1)).copied() else {
        return;
    };
    let mut mask: CoreMask = [0; 16];
    mask[core / 64] = 1 << (core % 64);
    // The closure makes one system call and allocates nothing.
    unsafe {
        command.pre_exec(move || {
            sched_setaffinity(0, size_of::<CoreMask>(), &raw const mask);
            Ok(())
        })
    };
}

/// A small deployment: its folder, its network and the settings that all processes share.
pub struct Deployment {
    pub record: Arc<Record>,
    pub network: Network,
    pub folder: PathBuf,
    repository: PathBuf,
    /// Hosts of the instances whose addresses the settings name.
    pub seeds: Vec<u8>,
    /// Whether each process sees one core, as on the platform's machines.
    pub one_core: bool,
    started: AtomicU64,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Deployment {
    pub fn new(record: Arc<Record>, seeds: Vec<u8>) -> Option<Self> {
        let repository = std::env::current_dir().ok()?;
        let name = format!("guavacove-review-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).ok()?;
        Some(Self {
            record,
            network: Network::find()?,
            folder,
            repository,
            seeds,
            one_core: false,
            started: AtomicU64::new(0),
        })
    }

    /// The fields of the platform that the templates use.
    fn fields(&self, name: &str, host: u8, zone: &str, bootstrap: bool) -> BTreeMap<String, String> {
        let ip = self.network.ip(host);
        let data = self.folder.join(format!("data-{name}"));
        let mut fields = BTreeMap::new();
        let mut set = |key: &str, value: String| {
            fields.insert(key.to_string(), value);
        };
        set("node_name", name.into());
        set("ip", ip.to_string());
        set("zone", zone.into());
        set("listen.frontend", format!("{ip}:{FRONTEND_PORT}"));
        set("listen.readiness", format!("{ip}:{READINESS_PORT}"));
        set("listen.control_plane", format!("{ip}:{CONTROL_PORT}"));
        set("internal_ports.0", INTERNAL_PORTS.0.to_string());
        set("internal_ports.1", INTERNAL_PORTS.1.to_string());
        set("data_dir", data.display().to_string());
        set("bootstrap", bootstrap.to_string());
        set("heartbeat_ms", HEARTBEAT_MS.to_string());
        set("bounds.grace_s", "8".into());
        set("bounds.quota_slack", "110000".into());
        set("bounds.quota_window_s", "8".into());
        set("bounds.retry_ratio", "0.2".into());
        set("bounds.retry_window_s", "10".into());
        set("bounds.retry_slack", "60".into());
        fields
    }

    /// Fills a template of the deploy folder in.
    fn fill(&self, template: &str, fields: &BTreeMap<String, String>) -> String {
        let path = self.repository.join("deploy").join(template);
        let text = fs::read_to_string(&path).expect("the template can be read");
        let seeds = self.seeds.iter();
        let seeds: Vec<String> = seeds
            .map(|host| self.network.address(*host, CONTROL_PORT).to_string())
            .collect();
        let mut filled = String::new();
        let mut in_seeds = false;
        for line in text.lines() {
            let is_section = line.trim_start().starts_with("{{#") || line.trim_start().starts_with("{{/");
            if is_section {
                in_seeds = line.contains("{{#seeds}}");
                continue;
            }
            let lines = match in_seeds {
                true => seeds.iter().map(|seed| line.replace("{{.}}", seed)).collect(),
                false => vec![line.to_string()],
            };
            for mut line in lines {
                for (name, value) in fields {
                    line = line.replace(&format!("{{{{{name}}}}}"), value);
                }
                assert!(!line.contains("{{"), "placeholder without a value: {line}");
                filled.push_str(&line);
                filled.push('\n');
            }
        }
        filled
    }

    fn start(&self, role: &str, name: &str, settings: &str) -> Process {
        let path = self.folder.join(format!("{name}.yaml"));
        fs::write(&path, settings).expect("the settings can be written");
        let log = File::create(self.folder.join(format!("{name}.log"))).expect("a log can be created");
        let program = self.repository.join("target/release/guavacove");
        let mut command = Command::new(program);
        if self.one_core {
            let core = self.started.fetch_add(1, Ordering::Relaxed) as usize;
            bind_to_one_core(&mut command, core);
        }
        let child = command
            .args([role, "--settings"])
            .arg(&path)
            .current_dir(&self.repository)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log can be opened twice"))
            .stderr(log)
            .spawn()
            .expect("the program starts");
        self.record.line(format!("start {role} {name} pid={}", child.id()));
        Process {
            name: name.into(),
            child,
        }
    }

    /// Starts a control instance of a machine without a disk.
    pub fn diskless_control(&self, host: u8, zone: &str, bootstrap: bool) -> Process {
        let name = format!("control-{host}");
        let mut fields = self.fields(&name, host, zone, bootstrap);
        fields.insert("data_dir".into(), String::new());
        let settings = self.fill("control.yaml", &fields);
        self.start("control", &name, &settings)
    }

    pub fn control(&self, host: u8, zone: &str, bootstrap: bool) -> Process {
        let name = format!("control-{host}");
        let fields = self.fields(&name, host, zone, bootstrap);
        let _ = fs::create_dir_all(self.folder.join(format!("data-{name}")));
        let settings = self.fill("control.yaml", &fields);
        self.start("control", &name, &settings)
    }

    pub fn gateway(&self, host: u8, zone: &str) -> Process {
        let name = format!("gateway-{host}");
        let fields = self.fields(&name, host, zone, false);
        let settings = self.fill("gateway.yaml", &fields);
        self.start("gateway", &name, &settings)
    }

    pub fn admission(&self, host: u8, zone: &str) -> Process {
        let name = format!("admission-{host}");
        let fields = self.fields(&name, host, zone, false);
        let settings = self.fill("admission.yaml", &fields);
        self.start("admission", &name, &settings)
    }

    /// The control addresses that the operator and the servers pick from.
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        let seeds = self.seeds.iter();
        seeds
            .map(|host| self.network.address(*host, CONTROL_PORT))
            .collect()
    }
}

/// Waits until a condition holds.
pub fn eventually(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let began = Instant::now();
    while began.elapsed() < limit {
        if holds() {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// How a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// At its stated length, or at its last chunk.
    Framed,
    /// The connection was closed, and only that ends a response without length and chunks.
    Closed,
    /// The connection was closed before the stated length or the last chunk.
    Short,
    /// The connection was reset.
    Reset,
    /// Nothing came for too long.
    TimedOut,
    /// There was no response.
    Nothing,
}

#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub end: End,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Whether a client takes the response for a complete one.
    pub fn looks_complete(&self) -> bool {
        matches!(self.end, End::Framed | End::Closed)
    }

    fn none(end: End) -> Self {
        Self {
            status: 0,
            headers: Vec::new(),
            body: Vec::new(),
            end,
        }
    }
}

/// Sends a request on a new connection and reads its response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Response {
    call_watched(address, method, path, headers, body, limit, |_| {})
}

/// As [`call`]; tells how many bytes of the body have come.
pub fn call_watched(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
    mut seen: impl FnMut(usize),
) -> Response {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1).min(limit)) else {
        return Response::none(End::Nothing);
    };
    let _ = stream.set_nodelay(true);
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        head.push_str(&format!("Host: {address}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    let _ = stream.set_write_timeout(Some(limit));
    if stream.write_all(&bytes).is_err() {
        return Response::none(End::Nothing);
    }
    read_response(&mut stream, method, limit, &mut seen)
}

/// Reads one response.
pub fn read_response(
    stream: &mut TcpStream,
    method: &str,
    limit: Duration,
    seen: &mut impl FnMut(usize),
) -> Response {
    let until = Instant::now() + limit;
    let mut bytes: Vec<u8> = Vec::new();
    let mut read = |bytes: &mut Vec<u8>| -> Option<End> {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Some(End::TimedOut);
        }
        let _ = stream.set_read_timeout(Some(left));
        let mut buffer = [0; 16384];
        match stream.read(&mut buffer) {
            Ok(0) => Some(End::Closed),
            Ok(count) => {
                bytes.extend_from_slice(&buffer[..count]);
                None
            }
            Err(error) => Some(match error.kind() {
                io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => End::TimedOut,
                _ => End::Reset,
            }),
        }
    };
    let head_end = loop {
        if let Some(at) = bytes.windows(4).position(|part| part == b"\r\n\r\n") {
            break at + 4;
        }
        if let Some(end) = read(&mut bytes) {
            return Response::none(match end {
                End::Closed => End::Nothing,
                end => end,
            });
        }
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let mut lines = head.split("\r\n");
    let status = lines.next().and_then(|line| line.split(' ').nth(1)?.parse().ok());
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_string(), value.trim().to_string()))
        .collect();
    let mut response = Response {
        status: status.unwrap_or(0),
        headers,
        body: Vec::new(),
        end: End::Framed,
    };
    let mut rest = bytes.split_off(head_end);
    let chunked = response
        .header("transfer-encoding")
        .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
    let length = response
        .header("content-length")
        .and_then(|value| value.parse::<usize>().ok());
    if method == "HEAD" || matches!(response.status, 204 | 304) {
        return response;
    }
    loop {
        let (body, is_whole) = match (chunked, length) {
            (true, _) => decode_chunks(&rest),
            (false, Some(length)) => (rest[..rest.len().min(length)].to_vec(), rest.len() >= length),
            (false, None) => (rest.clone(), false),
        };
        seen(body.len());
        response.body = body;
        if is_whole {
            return response;
        }
        if let Some(end) = read(&mut rest) {
            let is_unframed = !chunked && length.is_none();
            response.end = match end {
                End::Closed if !is_unframed => End::Short,
                end => end,
            };
            return response;
        }
    }
}

fn decode_chunks(bytes: &[u8]) -> (Vec<u8>, bool) {
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let Some(line) = bytes[at..].windows(2).position(|part| part == b"\r\n") else {
            return (body, false);
        };
        let text = String::from_utf8_lossy(&bytes[at..at + line]).into_owned();
        let size = usize::from_str_radix(text.split(';').next().unwrap_or("").trim(), 16).unwrap_or(0);
        let from = at + line + 2;
        if size == 0 {
            let ends = bytes.len() >= from + 2;
            return (body, ends);
        }
        if bytes.len() < from + size + 2 {
            body.extend_from_slice(&bytes[from.min(bytes.len())..(from + size).min(bytes.len())]);
            return (body, false);
        }
        body.extend_from_slice(&bytes[from..from + size]);
        at = from + size + 2;
    }
}

/// Calls a control instance, following redirects twice.
pub fn call_control(address: SocketAddr, method: &str, path: &str, body: &[u8], limit: Duration) -> Response {
    let mut address = address;
    for _ in 0..3 {
        let headers = [("Content-Type", "application/json")];
        let response = call(address, method, path, &headers, body, limit);
        let location = response.header("location").unwrap_or_default().to_string();
        let next = location.strip_prefix("http://").and_then(|rest| rest.split('/').next()?.parse().ok());
        match (response.status, next) {
            (307, Some(next)) => address = next,
            _ => return response,
        }
    }
    Response::none(End::Nothing)
}

/// Sends an order of the operator until it is answered clearly. A call without a response within a
/// second is sent to the next instance, with a growing pause.
pub fn put_config(deployment: &Deployment, text: &str, limit: Duration) -> Option<u16> {
    let began = Instant::now();
    let mut pause = Duration::from_millis(100);
    let mut next = 0;
    while began.elapsed() < limit {
        let addresses = deployment.control_addresses();
        let address = addresses[next % addresses.len()];
        next += 1;
        let response = call_control(address, "PUT", "/config", text.as_bytes(), Duration::from_secs(1));
        if matches!(response.status, 200 | 400 | 409 | 412 | 413 | 422) {
            return Some(response.status);
        }
        thread::sleep(pause);
        pause = (pause * 2).min(Duration::from_secs(1));
    }
    None
}

/// A route of a configuration.
pub struct Route {
    pub name: String,
    pub prefix: String,
    pub kind: &'static str,
    pub service: String,
    pub timeout_ms: u64,
}

pub fn route(name: &str, kind: &'static str, service: &str) -> Route {
    Route {
        name: format!("r-{name}"),
        prefix: format!("/{name}/"),
        kind,
        service: service.into(),
        timeout_ms: 6000,
    }
}

/// The text of a configuration.
pub fn config(version: u64, routes: &[Route], services: &[(&str, bool)]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            format!(
                r#"{{"name":"{}","host":"{HOST}","path_prefix":"{}","route_type":"{}","timeout_ms":{},"slo_ms":1000,"priority":1,"service":"{}","max_attempts":2,"public":false,"session_affinity":false,"resumable":false,"gap_target_ms":800}}"#,
                route.name, route.prefix, route.kind, route.timeout_ms, route.service
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|(name, is_model)| {
            let engine = match is_model {
                true => r#","engine":{"max_concurrency":5,"kv_capacity":236203,"models":[{"name":"m"}]}"#,
                false => "",
            };
            format!(r#"{{"name":"{name}","health_path":"/healthz","max_connections":120,"protocol":"h1","tls":false{engine}}}"#)
        })
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"first","api_keys":["{API_KEY}"]}}]}}"#,
        routes.join(","),
        services.join(",")
    )
}

/// A server as the directory sees it.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub slots: u32,
    pub born: u64,
    pub sequence: Arc<AtomicU64>,
    pub draining: Arc<AtomicBool>,
}

impl Server {
    pub fn new(id: &str, service: &str, address: SocketAddr, slots: u32) -> Self {
        Self {
            id: id.into(),
            service: service.into(),
            address,
            slots,
            born: unix_ms(),
            sequence: Arc::default(),
            draining: Arc::default(),
        }
    }

    /// Sends a heartbeat; returns whether it was acknowledged.
    pub fn beat(&self, controls: &[SocketAddr]) -> bool {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let state = match self.draining.load(Ordering::Relaxed) {
            true => "draining",
            false => "ready",
        };
        let body = format!(
            r#"{{"service":"{}","address":"{}","zone":"z-a","version":"v1","max_concurrency":{},"state":"{state}","warmup_left_ms":0,"seq":{sequence},"born":{}}}"#,
            self.service, self.address, self.slots, self.born
        );
        let path = format!("/instances/{}", self.id);
        controls.iter().any(|address| {
            let response = call_control(*address, "PUT", &path, body.as_bytes(), Duration::from_secs(1));
            response.status == 200
        })
    }

    /// Sends heartbeats from another thread, for as long as the process runs or until `stop`.
    pub fn beat_forever(&self, controls: Vec<SocketAddr>, stop: Arc<AtomicBool>) {
        let server = self.clone();
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                server.beat(&controls);
                thread::sleep(Duration::from_millis(HEARTBEAT_MS));
            }
        });
    }
}

/// A request that a server has read.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Reads a request; `None` if the connection ends.
pub fn read_request(stream: &mut TcpStream, unread: &mut Vec<u8>) -> Option<Request> {
    let mut buffer = [0; 65536];
    let head_end = loop {
        if let Some(at) = unread.windows(4).position(|part| part == b"\r\n\r\n") {
            break at + 4;
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(count) => unread.extend_from_slice(&buffer[..count]),
        }
    };
    let head = String::from_utf8_lossy(&unread[..head_end]).into_owned();
    let mut lines = head.split("\r\n");
    let mut first = lines.next()?.split(' ');
    let (method, path) = (first.next()?.to_string(), first.next()?.to_string());
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_string(), value.trim().to_string()))
        .collect();
    let mut request = Request {
        method,
        path,
        headers,
        body: Vec::new(),
    };
    let length = request.header("content-length").and_then(|value| value.parse::<usize>().ok());
    let length = length.unwrap_or(0);
    while unread.len() < head_end + length {
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(count) => unread.extend_from_slice(&buffer[..count]),
        }
    }
    let rest = unread.split_off(head_end + length);
    request.body = unread.split_off(head_end);
    *unread = rest;
    Some(request)
}

/// Serves each connection on a thread; `handle` answers a request and returns whether the
/// connection goes on.
pub fn serve<F>(listener: TcpListener, id: String, handle: F)
where
    F: Fn(&Request, &mut TcpStream) -> bool + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let _ = stream.set_nodelay(true);
            let (handle, id) = (Arc::clone(&handle), id.clone());
            thread::spawn(move || {
                let mut unread = Vec::new();
                while let Some(request) = read_request(&mut stream, &mut unread) {
                    let expected = request.header("x-guavacove-expect-instance");
                    if expected.is_some_and(|expected| expected != id) {
                        let _ = stream.write_all(b"HTTP/1.1 421 Misdirected Request\r\nX-Guavacove-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                        continue;
                    }
                    if !handle(&request, &mut stream) {
                        let _ = stream.shutdown(Shutdown::Write);
                        return;
                    }
                }
            });
        }
    });
}

/// The head of a successful answer, with further header lines.
pub fn answer_head(request: &Request, more: &str) -> String {
    let id = request.header("x-guavacove-request-id").unwrap_or("");
    format!("HTTP/1.1 200 OK\r\nX-Guavacove-Request-Id: {id}\r\nX-Guavacove-Server-Signature: {SIGNATURE}\r\n{more}\r\n")
}

/// Whether a gateway reports that it is ready.
pub fn is_ready(deployment: &Deployment, host: u8) -> bool {
    let address = deployment.network.address(host, READINESS_PORT);
    call(address, "GET", "/readyz", &[], b"", Duration::from_secs(1)).status == 200
}

/// Sends a request of a client to a gateway.
pub fn ask(address: SocketAddr, id: &str, method: &str, path: &str, body: &[u8], deadline_ms: u64, seen: impl FnMut(usize)) -> Response {
    let authorization = format!("Bearer {API_KEY}");
    let deadline = deadline_ms.to_string();
    let headers = [
        ("Host", HOST),
        ("X-Guavacove-Request-Id", id),
        ("X-Guavacove-Deadline-Ms", deadline.as_str()),
        ("Authorization", authorization.as_str()),
    ];
    call_watched(address, method, path, &headers, body, Duration::from_millis(deadline_ms + 1500), seen)
}

/// Ends the script: `deployment` and the processes have to be dropped before.
pub fn finish(code: i32) -> ! {
    std::process::exit(code)
}
