//! The servers of one service leave and start again under the ids that they had. A withdrawal that was
//! held up on the way arrives after that. Are the servers used again?

#[path = "../common-2/harness.rs"]
mod harness;

use harness::*;
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

const ZONE: &str = "uks-a";
/// The services, the route of each, and the machines of its servers.
const SERVICES: [(&str, &str, [u8; 3]); 2] =
    [("filing1b", "notices", [20, 21, 22]), ("status1c", "status", [30, 31, 32])];
/// Time for which the network holds the first withdrawal of each server.
const HELD_MS: u64 = 4000;
/// Time from a server's end until it starts again.
const RESTART_MS: u64 = 500;
const CALLERS: usize = 4;
/// Time under load before the servers leave, and after that.
const LOAD_BEFORE: Duration = Duration::from_secs(6);
const LOAD: Duration = Duration::from_secs(30);
const PAUSE_MS: u64 = 50;
const WORK_MS: u64 = 15;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    match arguments.get(1).map(String::as_str) {
        Some("server") => serve_requests(&arguments[2..]),
        _ => run(),
    }
}

fn serve_requests(arguments: &[String]) {
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

fn call_repeatedly(gateway: SocketAddr, route: &str, caller: usize, until: Instant, counts: &Counts) {
    for number in 0.. {
        if Instant::now() >= until {
            return;
        }
        let id = format!("review9-{route}-{caller}-{number}");
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

/// Address of the instance that answers a read of the configuration without a redirect.
fn leader_of(control: &[SocketAddr]) -> SocketAddr {
    let leads = |address: &&SocketAddr| call(**address, "GET", "/config", "", 1000).is_ok_and(|reply| reply.status == 200);
    let mut leader = None;
    wait_for("a leader is known", 5000, || {
        leader = control.iter().find(leads).copied();
        leader.is_some()
    });
    leader.expect("it was found")
}

/// A server withdraws, ends, and starts again under its id. Its first call gets no response within a
/// second, as the network holds it; so it calls the next instance.
fn leave_and_return(site: &Site, control: &[SocketAddr], leader: SocketAddr, service: &str, machine: u8) {
    let id = format!("i-{machine}");
    let path = format!("/instances/{id}");
    if has_trouble() {
        let (path, id) = (path.clone(), id.clone());
        thread::spawn(move || {
            sleep_ms(HELD_MS);
            let reply = call(leader, "DELETE", &path, "", 1000);
            record(format!("the withdrawal of {id} that was held arrives: {:?}", reply.map(|reply| reply.status)));
        });
        sleep_ms(1000);
    }
    let reply = call_control(control, "DELETE", &path, "", 5000);
    record(format!("the withdrawal of {id} is answered with {:?}", reply.map(|reply| reply.status)));
    sleep_ms(200);
    kill(&id);
    sleep_ms(RESTART_MS);
    start_server(site, control, service, machine);
}

fn start_server(site: &Site, control: &[SocketAddr], service: &str, machine: u8) {
    let id = format!("i-{machine}");
    let mut command = Command::new(std::env::current_exe().unwrap());
    command.args(["server", &id, service, &site.at(machine, site.server_port()).to_string()]);
    start(&id, &site.folder, command.args(control.iter().map(ToString::to_string)));
}

fn run() {
    open_record();
    let site = Site::open("9");
    let cores = [1, 2, 3];
    let control: Vec<SocketAddr> = cores.iter().map(|core| site.at(*core, site.control)).collect();
    for core in cores {
        site.start_role("control", &format!("edge-{core}-control"), core, ZONE, &cores, true);
    }
    site.start_role("gateway", "edge-1-gateway", 1, ZONE, &cores, true);
    for (service, _, machines) in SERVICES {
        for machine in machines {
            start_server(&site, &control, service, machine);
        }
    }
    let routes = SERVICES.map(|(service, route, _)| {
        format!(r#"{{"name":"r-{route}","host":"filing.example","path_prefix":"/{route}/","route_type":"unsafe","timeout_ms":1500,"slo_ms":300,"priority":2,"service":"{service}","max_attempts":1,"public":false}}"#)
    });
    let services = SERVICES.map(|(service, ..)| {
        format!(r#"{{"name":"{service}","health_path":"/healthz","max_connections":120,"protocol":"h1","tls":false}}"#)
    });
    let config = format!(
        r#"{{"version":1,"routes":[{}],"services":[{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"tenant-1","api_keys":["key-of-tenant-1"],"priority":1,"unit":"tokens","plain_tokens":200,"rate_per_s":387063,"burst":387063}}]}}"#,
        routes.join(","),
        services.join(",")
    );
    wait_for("the configuration is accepted", 15_000, || {
        call_control(&control, "PUT", "/config", &config, 2000).is_some_and(|reply| reply.status == 200)
    });
    let gateway = site.at(1, site.front);
    for (_, route, _) in SERVICES {
        wait_for("a request is served", 15_000, || {
            request(gateway, route, "review9-first").is_some_and(|(status, _)| status == 200)
        });
    }
    sleep_ms(2000);
    let load = |what: &str, length: Duration| {
        let until = Instant::now() + length;
        let counts = SERVICES.map(|_| Arc::new(Counts::default()));
        let mut callers = Vec::new();
        for ((_, route, _), counts) in SERVICES.iter().zip(&counts) {
            let kinds = [("sent", &counts.asked), ("served", &counts.served), ("refused with 503", &counts.refused)];
            for (kind, count) in kinds {
                record_each_second(format!("{route}: {kind}"), Arc::clone(count));
            }
            for caller in 0..CALLERS {
                let counts = Arc::clone(counts);
                callers.push(thread::spawn(move || call_repeatedly(gateway, route, caller, until, &counts)));
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
    };
    let before = load("before", LOAD_BEFORE);
    if before.iter().any(|counts| counts.share() < 0.9) {
        record("the case could not run: requests are not served before the disruption");
        end_all();
        std::process::exit(2);
    }
    let (service, _, machines) = SERVICES[0];
    let leader = leader_of(&control);
    record(format!("the servers {machines:?} of {service} leave in turn; {leader} leads"));
    for machine in machines {
        leave_and_return(&site, &control, leader, service, machine);
    }
    sleep_ms(HELD_MS + 1000);
    let [disturbed, other] = load("then", LOAD);
    let all = (disturbed.share() + other.share()) / 2.0;
    let verdict = format!(
        "served: {:.3} of one kind of request, {:.3} of the other",
        disturbed.share(),
        other.share()
    );
    finish(disturbed.share() < all / 4.0, &verdict);
}
