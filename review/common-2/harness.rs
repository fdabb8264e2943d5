//! Starts the project's programs with the settings templates of the deploy file, and small stand-ins
//! for clients, servers and the operator. Standard library only.
#![allow(dead_code)]

use std::{
    collections::HashMap,
    fs::{self, File},
    io::{self, BufRead, BufReader, Read, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio, exit},
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Exit code if the case could not run.
const NOT_RUN: i32 = 2;

/// Variable that tells the stand-in processes when the case began, in Unix milliseconds.
const START_VARIABLE: &str = "CASE_START_MS";

static START_MS: OnceLock<u64> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();
/// Logs of the stand-in processes, which become part of the record.
static STAND_IN_LOGS: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());

fn start_ms() -> u64 {
    *START_MS.get_or_init(|| {
        let start_ms = std::env::var(START_VARIABLE).ok();
        start_ms.and_then(|start_ms| start_ms.parse().ok()).unwrap_or_else(unix_ms)
    })
}

/// Opens the record of the case; its lines carry the seconds since then.
pub fn open_record() {
    start_ms();
    let file = File::create(own_folder().join("record.txt")).expect("the folder can be written");
    RECORD.get_or_init(|| Mutex::new(file));
}

/// Adds a line to the record; in a stand-in process, to its log.
pub fn record(line: impl AsRef<str>) {
    let at = unix_ms().saturating_sub(start_ms()) as f64 / 1000.0;
    let line = format!("{at:8.3} {}\n", line.as_ref());
    match RECORD.get() {
        Some(file) => drop(file.lock().unwrap().write_all(line.as_bytes())),
        None => drop(io::stdout().write_all(line.as_bytes())),
    }
}

/// Adds what the stand-in processes recorded, in the order of time.
fn merge_records() {
    let path = own_folder().join("record.txt");
    let mut text = fs::read_to_string(&path).unwrap_or_default();
    for log in STAND_IN_LOGS.lock().unwrap().drain(..) {
        text += &fs::read_to_string(log).unwrap_or_default();
    }
    let mut lines: Vec<&str> = text.lines().collect();
    lines.sort_by_key(|line| {
        let seconds: f64 = line.split_whitespace().next().and_then(|at| at.parse().ok()).unwrap_or(0.0);
        (seconds * 1000.0) as u64
    });
    let _ = fs::write(path, lines.join("\n") + "\n");
}

/// Records once a second what a count has gained.
pub fn record_each_second(what: String, count: Arc<AtomicU64>) {
    thread::spawn(move || {
        let mut known = 0;
        loop {
            sleep_ms(1000);
            let now = count.load(Ordering::Relaxed);
            if now > known {
                record(format!("{what}: {}", now - known));
            }
            known = now;
        }
    });
}

/// The folder of the case: the directory that `run.sh` passes.
pub fn own_folder() -> PathBuf {
    std::env::var("CASE_FOLDER").map_or_else(|_| ".".into(), PathBuf::from)
}

/// Whether the disruption takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// Polls until a condition holds; the case could not run if it does not hold in time.
pub fn wait_for(what: &str, limit_ms: u64, mut holds: impl FnMut() -> bool) {
    let began = Instant::now();
    while !holds() {
        if began.elapsed() > Duration::from_millis(limit_ms) {
            record(format!("the case could not run: {what}: not within {limit_ms} ms"));
            end_all();
            exit(NOT_RUN);
        }
        sleep_ms(20);
    }
}

static CHILDREN: Mutex<Vec<(String, Child)>> = Mutex::new(Vec::new());

/// Starts a process; its log goes to a file in the temporary folder.
pub fn start(name: &str, folder: &Path, command: &mut Command) {
    let path = folder.join(format!("{name}.log"));
    let log = File::options()
        .create(true)
        .append(true)
        .open(&path)
        .expect("the temporary folder can be written");
    let errors = log.try_clone().expect("a file can be shared");
    let mut logs = STAND_IN_LOGS.lock().unwrap();
    if std::env::current_exe().is_ok_and(|own| own == command.get_program()) && !logs.contains(&path) {
        logs.push(path);
    }
    drop(logs);
    let child = command
        .env(START_VARIABLE, start_ms().to_string())
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .unwrap_or_else(|error| {
            record(format!("the case could not run: {name} does not start: {error}"));
            end_all();
            exit(NOT_RUN);
        });
    record(format!("{name} started, process {}", child.id()));
    CHILDREN.lock().unwrap().push((name.into(), child));
}

/// Kills a process and waits for its end.
pub fn kill(name: &str) {
    let mut children = CHILDREN.lock().unwrap();
    if let Some(at) = children.iter().rposition(|(known, _)| known == name) {
        let (_, mut child) = children.remove(at);
        let _ = child.kill();
        let _ = child.wait();
        record(format!("{name} killed"));
    }
}

/// Ends all processes that the case started.
pub fn end_all() {
    for (_, child) in CHILDREN.lock().unwrap().iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Ends the case: 1 if the rule was broken, 0 if it held.
pub fn finish(is_broken: bool, verdict: &str) -> ! {
    end_all();
    record(verdict);
    merge_records();
    println!("{verdict}");
    exit(i32::from(is_broken));
}

/// The machines of a case, and the ports that are the same on all of them.
pub struct Site {
    pub folder: PathBuf,
    net: (u8, u8),
    pub front: u16,
    pub ready: u16,
    pub control: u16,
    pub internal: u16,
}

/// Last of the internal ports, counted from the first.
const INTERNAL_PORTS: u16 = 15;

impl Site {
    /// Takes a free range of ports and a temporary folder.
    pub fn open(case: &str) -> Self {
        let id = std::process::id();
        let net = ((id >> 8) as u8 | 1, id as u8);
        let mut base = 20_000 + (id % 500) as u16 * 20;
        let is_free = |base: u16| {
            let mut ports = [base, base + 1, base + INTERNAL_PORTS]
                .into_iter()
                .chain(base + 16..base + 20);
            ports.all(|port| TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_ok())
        };
        while !is_free(base) {
            base += 20;
        }
        let folder = std::env::temp_dir().join(format!("guavacove-review-{case}-{id}"));
        fs::create_dir_all(&folder).expect("a temporary folder can be made");
        Self { folder, net, front: base + 16, ready: base + 17, control: base + 18, internal: base }
    }

    /// Address of the machine with this number.
    pub fn ip(&self, machine: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net.0, self.net.1, machine)
    }

    pub fn at(&self, machine: u8, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip(machine)), port)
    }

    /// Port for stand-in servers.
    pub fn server_port(&self) -> u16 {
        self.control + 1
    }

    /// Starts a role of the deploy file on a machine. `seeds` are machines that serve `control`.
    pub fn start_role(&self, role: &str, name: &str, machine: u8, zone: &str, seeds: &[u8], first_start: bool) {
        self.write_settings(role, name, machine, zone, seeds, first_start);
        self.run_role(role, name);
    }

    /// Starts a role again with the settings that it had.
    pub fn run_role(&self, role: &str, name: &str) {
        let settings = self.folder.join(format!("{name}.yaml"));
        let mut command = Command::new("target/release/guavacove");
        start(name, &self.folder, command.arg(role).arg("--settings").arg(settings));
    }

    pub fn write_settings(&self, role: &str, name: &str, machine: u8, zone: &str, seeds: &[u8], first_start: bool) {
        let seeds: Vec<String> = seeds.iter().map(|seed| self.at(*seed, self.control).to_string()).collect();
        let has_disk = role == "control" && !name.contains("diskless");
        let data = self.folder.join(format!("data-{name}"));
        let fields = [
            ("node_name", name.to_string()),
            ("ip", self.ip(machine).to_string()),
            ("zone", zone.to_string()),
            ("listen.frontend", self.at(machine, self.front).to_string()),
            ("listen.readiness", self.at(machine, self.ready).to_string()),
            ("listen.control_plane", self.at(machine, self.control).to_string()),
            ("internal_ports.0", self.internal.to_string()),
            ("internal_ports.1", (self.internal + INTERNAL_PORTS).to_string()),
            ("data_dir", if has_disk { data.display().to_string() } else { String::new() }),
            ("bootstrap", first_start.to_string()),
            ("heartbeat_ms", HEARTBEAT_MS.to_string()),
            ("bounds.grace_s", "8".into()),
            ("bounds.quota_slack", "110000".into()),
            ("bounds.quota_window_s", "8".into()),
            ("bounds.retry_ratio", "0.2".into()),
            ("bounds.retry_window_s", "10".into()),
            ("bounds.retry_slack", "60".into()),
        ];
        if has_disk {
            fs::create_dir_all(&data).expect("the temporary folder can be written");
        }
        let template = fs::read_to_string(format!("deploy/{role}.yaml")).expect("the template is there");
        let text = render(&template, &fields.into_iter().collect(), &seeds);
        fs::write(self.folder.join(format!("{name}.yaml")), text).expect("the folder can be written");
    }
}

/// Interval of the servers' heartbeats.
pub const HEARTBEAT_MS: u64 = 1200;

/// Fills in a settings template as the platform does, as far as the templates need it.
fn render(template: &str, fields: &HashMap<&str, String>, seeds: &[String]) -> String {
    let (mut text, mut rest) = (String::new(), template);
    while let Some(at) = rest.find("{{") {
        text.push_str(&rest[..at]);
        let end = at + rest[at..].find("}}").expect("a placeholder ends");
        let name = &rest[at + 2..end];
        rest = &rest[end + 2..];
        match name.strip_prefix('#') {
            Some(section) => {
                let close = format!("{{{{/{section}}}}}");
                let length = rest.find(&close).expect("a section ends");
                let body = &rest[..length];
                rest = &rest[length + close.len()..];
                if section == "seeds" {
                    seeds.iter().for_each(|seed| text.push_str(&body.replace("{{.}}", seed)));
                } else if fields.contains_key(section) {
                    text.push_str(&render(body, fields, seeds));
                }
            }
            None => text.push_str(fields.get(name).map_or("", String::as_str)),
        }
    }
    text + rest
}

/// Response to a call of the operator or of a server.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub location: Option<SocketAddr>,
    pub body: String,
}

/// One call to an interface of the system.
pub fn call(address: SocketAddr, method: &str, path: &str, body: &str, limit_ms: u64) -> io::Result<Reply> {
    let limit = Duration::from_millis(limit_ms);
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body.as_bytes())?;
    let mut text = Vec::new();
    stream.read_to_end(&mut text)?;
    let text = String::from_utf8_lossy(&text).into_owned();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
    let location = head.lines().find_map(|line| line.to_ascii_lowercase().strip_prefix("location: http://").map(String::from));
    Ok(Reply {
        status: status.ok_or(io::ErrorKind::InvalidData)?,
        location: location.and_then(|location| location.split('/').next()?.parse().ok()),
        body: body.into(),
    })
}

/// Calls control instances in turn, as the operator and servers do: follows a redirect twice, and
/// goes on to another instance after a failure, a 5xx or a second without a response.
pub fn call_control(instances: &[SocketAddr], method: &str, path: &str, body: &str, limit_ms: u64) -> Option<Reply> {
    let began = Instant::now();
    for instance in instances.iter().cycle() {
        let mut address = *instance;
        for _ in 0..3 {
            match call(address, method, path, body, 1000) {
                Ok(Reply { status: 307, location: Some(next), .. }) => address = next,
                Ok(reply) if reply.status < 500 => return Some(reply),
                _ => break,
            }
        }
        if began.elapsed() > Duration::from_millis(limit_ms) {
            return None;
        }
        sleep_ms(50);
    }
    None
}

/// Announces a server at an interval for as long as the process runs.
pub fn keep_announced(instances: Vec<SocketAddr>, id: String, fields: String) {
    thread::spawn(move || {
        for sequence in 1.. {
            announce(&instances, &id, &fields, sequence);
            sleep_ms(HEARTBEAT_MS);
        }
    });
}

/// Sends one heartbeat; `fields` are those that stay the same.
pub fn announce(instances: &[SocketAddr], id: &str, fields: &str, sequence: u64) -> bool {
    let body = format!("{{{fields},\"seq\":{sequence}}}");
    let reply = call_control(instances, "PUT", &format!("/instances/{id}"), &body, 1000);
    reply.is_some_and(|reply| reply.status == 200)
}

/// The fields of a heartbeat that stay the same for one start of a server.
pub fn heartbeat(service: &str, address: SocketAddr, zone: &str, slots: u32) -> String {
    let born = unix_ms();
    format!(
        r#""service":"{service}","address":"{address}","zone":"{zone}","version":"v1","max_concurrency":{slots},"state":"ready","warmup_left_ms":0,"born":{born}"#
    )
}

/// A request as a stand-in server reads it.
pub struct Incoming {
    pub method: String,
    pub path: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Incoming {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads a request; `None` at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> Option<Incoming> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, path) = (words.next()?.to_string(), words.next()?.to_string());
    let headers = read_headers(reader)?;
    let length: usize = headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Incoming { method, path, headers, body })
}

pub fn read_headers(reader: &mut impl BufRead) -> Option<HashMap<String, String>> {
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        match line.trim_end().split_once(':') {
            Some((name, value)) => headers.insert(name.to_ascii_lowercase(), value.trim().to_string()),
            None => return Some(headers),
        };
    }
}

/// Serves connections, each on a thread, for as long as the process runs.
pub fn serve(address: SocketAddr, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let listener = TcpListener::bind(address).unwrap_or_else(|error| {
        record(format!("the case could not run: {address}: {error}"));
        end_all();
        exit(NOT_RUN);
    });
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || handle(stream));
        }
    });
}

/// The reading end of a stream.
pub fn reader(stream: &TcpStream) -> BufReader<TcpStream> {
    BufReader::new(stream.try_clone().expect("a socket can be shared"))
}
