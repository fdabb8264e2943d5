//! Starts processes of the program, sends signals to them, and reserves ports for them.

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use std::{
    net::{SocketAddr, TcpStream, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Output},
    sync::{
        Mutex,
        atomic::{AtomicU16, Ordering},
    },
    time::{Duration, Instant},
};

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);
const FIRST_PORT: u16 = 10_000;
const PORT_COUNT: u16 = 20_000;

/// Bound UDP sockets that reserve this process's ports against other test processes.
static RESERVATIONS: Mutex<Vec<UdpSocket>> = Mutex::new(Vec::new());

/// A loopback address that nothing listens on and that no other test process receives. Its
/// port is below the ephemeral range.
pub fn free_address() -> SocketAddr {
    let start = (std::process::id() % 97) as u16 * 199;
    loop {
        let offset = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + (start + offset) % PORT_COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        // Probes by connecting: a listener bound here could briefly be inherited by a process
        // that is being spawned, which would keep the port in use.
        if let Ok(reservation) = UdpSocket::bind(address)
            && TcpStream::connect(address).is_err()
        {
            RESERVATIONS.lock().unwrap().push(reservation);
            return address;
        }
    }
}

fn guavacove_command() -> Command {
    Command::new(env!("CARGO_BIN_EXE_guavacove"))
}

/// The program in a process that a write beyond its limit on files does not end.
fn limitable_command() -> Command {
    let mut command = Command::new("env");
    command.args(["--ignore-signal=XFSZ", env!("CARGO_BIN_EXE_guavacove")]);
    command
}

/// Runs a command of the program to completion.
pub fn guavacove(arguments: &[&str]) -> Output {
    guavacove_command()
        .args(arguments)
        .output()
        .expect("the program runs")
}

pub struct Process {
    arguments: Vec<String>,
    log: PathBuf,
    child: Child,
}

impl Process {
    /// Peak resident memory, in kilobytes.
    pub fn peak_memory_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("it runs");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.and_then(|line| line.split_whitespace().next());
        peak.and_then(|kilobytes| kilobytes.parse().ok())
            .expect("the kernel reports it")
    }

    pub fn spawn(arguments: Vec<String>, log: PathBuf) -> Self {
        let child = spawn_child(&arguments, &log);
        Self {
            arguments,
            log,
            child,
        }
    }

    /// Lets the process write no more to files, as if its disk were full, or ends that.
    pub fn fill_disk(&self, is_full: bool) {
        let limit = if is_full { "0" } else { "unlimited" };
        let pid = self.child.id().to_string();
        let fsize = format!("--fsize={limit}:unlimited");
        let status = Command::new("prlimit")
            .args(["--pid", &pid, &fsize])
            .status();
        assert!(status.expect("prlimit runs").success(), "{fsize}");
    }

    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id().cast_signed());
        kill(pid, signal).expect("the process exists");
    }

    /// Sends SIGKILL and waits until the process ends.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process can be killed");
        self.child.wait().expect("the process ends");
    }

    /// Sends SIGTERM and waits until the process ends, at most `limit`; returns whether it
    /// exited with success.
    pub fn terminate(&mut self, limit: Duration) -> bool {
        self.signal(Signal::SIGTERM);
        let started = Instant::now();
        while started.elapsed() < limit {
            if let Some(status) = self
                .child
                .try_wait()
                .expect("the process can be waited for")
            {
                return status.success();
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }

    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    pub fn thaw(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Restarts the same command.
    pub fn start_again(&mut self) {
        self.child = spawn_child(&self.arguments, &self.log);
    }

    pub fn has_ended(&mut self) -> bool {
        self.child
            .try_wait()
            .expect("the process can be waited for")
            .is_some()
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Current resident memory, in kilobytes.
    pub fn resident_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok())
            .unwrap_or(0)
    }

    /// CPU time used so far, in milliseconds.
    pub fn cpu_time_ms(&self) -> u64 {
        const TICKS_PER_S: u64 = 100;
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        let stat = stat.unwrap_or_default();
        let fields = stat.rsplit(')').next().unwrap_or_default();
        let ticks = fields.split_whitespace().skip(11).take(2);
        ticks
            .filter_map(|ticks| ticks.parse::<u64>().ok())
            .sum::<u64>()
            * 1000
            / TICKS_PER_S
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

fn spawn_child(arguments: &[String], log: &PathBuf) -> Child {
    let log = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(log)
        .expect("the log can be written");
    let output = log.try_clone().expect("the log can be opened twice");
    limitable_command()
        .args(arguments)
        .stdout(output)
        .stderr(log)
        .spawn()
        .expect("the program starts")
}

impl Drop for Process {
    /// Kills the process. If the test is failing and the process has already ended, prints its
    /// log first.
    fn drop(&mut self) {
        if std::thread::panicking() && self.has_ended() {
            println!("{:?} has ended: {}", self.arguments, self.log());
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Number of lines at the end of each log that a failed test prints; the files are kept.
const PRINTED_LOG_LINES: usize = 40;

/// If the current test is failing, keeps its folder and prints the end of each log in it.
pub fn keep_logs_on_failure(folder: &mut tempfile::TempDir) {
    if !std::thread::panicking() {
        return;
    }
    folder.disable_cleanup(true);
    println!("logs kept in {}", folder.path().display());
    let files = std::fs::read_dir(folder.path()).into_iter().flatten();
    for file in files.flatten().map(|file| file.path()) {
        if file.extension().is_some_and(|extension| extension == "log") {
            let log = std::fs::read_to_string(&file).unwrap_or_default();
            let lines: Vec<&str> = log.lines().collect();
            let tail = &lines[lines.len().saturating_sub(PRINTED_LOG_LINES)..];
            println!("--- {}\n{}", file.display(), tail.join("\n"));
        }
    }
}
