//! A small deployment with two services, each of which serves one kind of request, and the check that
//! neither kind is served less than a quarter as often as all.

use crate::harness::*;
use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    process::Command,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

pub const ZONE: &str = "uks-a";
/// The services, the route of each, and the machines of its servers.
pub const SERVICES: [(&str, &str, [u8; 3]); 2] =
    [("filing1b", "notices", [20, 21, 22]), ("status1c", "status", [30, 31, 32])];
/// Machines of the control instances.
const CORES: [u8; 3] = [1, 2, 3];
const CALLERS: usize = 4;
/// Time under load before the disruption, and after it began.
const LOAD_BEFORE: Duration = Duration::from_secs(6);
const LOAD: Duration = Duration::from_secs(30);
const PAUSE_MS: u64 = 50;
const WORK_MS: u64 = 15;

/// Runs as a server if the arguments say so; returns otherwise.
pub fn serve_if_asked() {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments.get(1).is_some_and(|role| role == "server") {
        serve_requests(&arguments[2..]);
    }
}

fn serve_requests(arguments: &[String]) -> ! {
    let (id, service, listen) = (arguments[0].clone(), &arguments[1], &arguments[2]);
    let control: Vec<SocketAddr> = arguments[3..].iter().map(|a| a.parse().unwrap()).collect();
    let (own, address) = (id.clone(), listen.parse().unwrap());
    let answers = Arc::new(AtomicU64::new(0));
    record_each_second(format!("{id} of {service}: requests run and answered"), Arc::clone(&answers));
    serve(address, move |stream| answer(&own, stream, &answers));
    keep_announced(control, id, heartbeat(service, address, ZONE, 6));
    loop {
        thread::park();
    }
}

fn answer(id: &str, mut stream: TcpStream, answers: &AtomicU64) {
    let mut requests = reader(&stream);
    while let Some(request) = read_request(&mut requests) {
        let request_id = request.header("x-guavacove-request-id");
        thread::sleep(Duration::from_millis(WORK_MS));
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Guavacove-Request-Id: {request_id}\r\nX-Guavacove-Server-Signature: {id}.{request_id}\r\nContent-Length: 3\r\n\r\nok\n"
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return;
        }
        answers.fetch_add(1, Ordering::Relaxed);
    }
}

/// Requests of one kind, and those answered by a server.
#[derive(Default)]
struct Counts {
    asked: Arc<AtomicU64>,
    served: Arc<AtomicU64>,
    refused: Arc<AtomicU64>,
}

impl Counts {
    fn share(&self) -> f64 {
        let (asked, served) = (self.asked.load(Ordering::Relaxed), self.served.load(Ordering::Relaxed));
        served as f64 / asked.max(1) as f64
    }
}

/// Sends requests one after the other. Their ids begin with the `label`, which is unique in the case.
fn call_repeatedly(gateway: SocketAddr, route: &str, label: &str, until: Instant, counts: &Counts) {
    for number in 0.. {
        if Instant::now() >= until {
            return;
        }
        let id = format!("{label}-{number}");
        counts.asked.fetch_add(1, Ordering::Relaxed);
        match request(gateway, route, &id) {
            Some((200, signature)) if signature.ends_with(&id) => counts.served.fetch_add(1, Ordering::Relaxed),
            Some((503, _)) => counts.refused.fetch_add(1, Ordering::Relaxed),
            _ => 0,
        };
        sleep_ms(PAUSE_MS);
    }
}

fn request(gateway: SocketAddr, route: &str, id: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect(gateway).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(3500))).ok()?;
    let head = format!(
        "POST /{route}/{id} HTTP/1.1\r\nHost: filing.example\r\nX-Guavacove-Request-Id: {id}\r\nX-Guavacove-Deadline-Ms: 3000\r\nAuthorization: Bearer key-of-tenant-1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).ok()?;
    let mut responses = reader(&stream);
    let mut line = String::new();
    std::io::BufRead::read_line(&mut responses, &mut line).ok()?;
    let headers = read_headers(&mut responses)?;
    let signature = headers.get("x-guavacove-server-signature").cloned();
    Some((line.split(' ').nth(1)?.parse().ok()?, signature.unwrap_or_default()))
}

/// The running deployment.
pub struct Deployment {
    pub site: Site,
    /// Addresses of the operator's API.
    pub control: Vec<SocketAddr>,
    gateway: SocketAddr,
}

impl Deployment {
    /// Starts the control instances, a gateway and the servers, and waits until requests are served.
    pub fn start(case: &str) -> Self {
        open_record();
        let site = Site::open(case);
        let control = CORES.iter().map(|core| site.at(*core, site.control)).collect();
        for core in CORES {
            site.start_role("control", &format!("edge-{core}-control"), core, ZONE, &CORES, true);
        }
        site.start_role("gateway", "edge-1-gateway", 1, ZONE, &CORES, true);
        let gateway = site.at(1, site.front);
        let deployment = Self { site, control, gateway };
        for (service, _, machines) in SERVICES {
            for machine in machines {
                deployment.start_server(service, machine);
            }
        }
        wait_for("the configuration is accepted", 15_000, || {
            let reply = call_control(&deployment.control, "PUT", "/config", &configuration(), 2000);
            reply.is_some_and(|reply| reply.status == 200)
        });
        for (_, route, _) in SERVICES {
            let mut ids = (0..).map(|number| format!("first-{route}-{number}"));
            wait_for("a request is served", 15_000, || {
                let response = ids.next().and_then(|id| request(gateway, route, &id));
                response.is_some_and(|(status, _)| status == 200)
            });
        }
        sleep_ms(2000);
        let before = deployment.load("before", LOAD_BEFORE);
        if before.iter().any(|counts| counts.share() < 0.9) {
            record("the case could not run: requests are not served before the disruption");
            end_all();
            std::process::exit(2);
        }
        deployment
    }

    /// Starts the server of a machine in a process of its own.
    pub fn start_server(&self, service: &str, machine: u8) {
        let (id, site) = (format!("i-{machine}"), &self.site);
        let mut command = Command::new(std::env::current_exe().unwrap());
        command.args(["server", &id, service, &site.at(machine, site.server_port()).to_string()]);
        start(&id, &site.folder, command.args(self.control.iter().map(ToString::to_string)));
    }

    /// Sends requests of both kinds, and ends the case with what was served of each.
    pub fn judge(self) -> ! {
        let [first, second] = self.load("then", LOAD);
        let all = (first.share() + second.share()) / 2.0;
        let verdict = format!(
            "served: {:.3} of one kind of request, {:.3} of the other",
            first.share(),
            second.share()
        );
        finish(first.share().min(second.share()) < all / 4.0, &verdict);
    }

    fn load(&self, what: &str, length: Duration) -> [Arc<Counts>; 2] {
        let gateway = self.gateway;
        let until = Instant::now() + length;
        let counts = SERVICES.map(|_| Arc::new(Counts::default()));
        let mut callers = Vec::new();
        for ((_, route, _), counts) in SERVICES.iter().zip(&counts) {
            let kinds = [("sent", &counts.asked), ("served", &counts.served), ("refused with 503", &counts.refused)];
            for (kind, count) in kinds {
                record_each_second(format!("{route}: {kind}"), Arc::clone(count));
            }
            for caller in 0..CALLERS {
                let (label, counts) = (format!("{what}-{route}-{caller}"), Arc::clone(counts));
                callers.push(thread::spawn(move || call_repeatedly(gateway, route, &label, until, &counts)));
            }
        }
        for caller in callers {
            caller.join().expect("a caller ends");
        }
        for ((_, route, _), counts) in SERVICES.iter().zip(&counts) {
            record(format!(
                "{what}: {route}: {} asked, {} served, {} refused with 503",
                counts.asked.load(Ordering::Relaxed),
                counts.served.load(Ordering::Relaxed),
                counts.refused.load(Ordering::Relaxed)
            ));
        }
        counts
    }
}

fn configuration() -> String {
    let routes = SERVICES.map(|(service, route, _)| {
        format!(r#"{{"name":"r-{route}","host":"filing.example","path_prefix":"/{route}/","route_type":"unsafe","timeout_ms":1500,"slo_ms":300,"priority":2,"service":"{service}","max_attempts":1,"public":false}}"#)
    });
    let services = SERVICES.map(|(service, ..)| {
        format!(r#"{{"name":"{service}","health_path":"/healthz","max_connections":120,"protocol":"h1","tls":false}}"#)
    });
    format!(
        r#"{{"version":1,"routes":[{}],"services":[{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"tenant-1","api_keys":["key-of-tenant-1"],"priority":1,"unit":"tokens","plain_tokens":200,"rate_per_s":387063,"burst":387063}}]}}"#,
        routes.join(","),
        services.join(",")
    )
}
