//! A server crashes while it writes a stream that ends with its connection, and a new start of a
//! server answers at its address. Does the caller take the part for the whole stream?

#[path = "../common-2/harness.rs"]
mod harness;

use harness::*;
use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    process::Command,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Events of a stream, and the time between them.
const EVENTS: u64 = 12;
const EVENT_MS: u64 = 100;
/// Streams in progress when the server crashes: one less than its places.
const STREAMS: usize = 4;
const ZONE: &str = "uks-a";
const SERVICE: &str = "guava1a";

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    match arguments.get(1).map(String::as_str) {
        Some("server") => serve_streams(&arguments[2..]),
        _ => run(),
    }
}

/// The stand-in server: each answer is a stream with neither a length nor chunks.
fn serve_streams(arguments: &[String]) {
    let (id, listen, advertised) = (arguments[0].clone(), &arguments[1], &arguments[2]);
    let control: Vec<SocketAddr> = arguments[3..].iter().map(|a| a.parse().unwrap()).collect();
    let own = id.clone();
    serve(listen.parse().unwrap(), move |stream| answer(&own, stream));
    let fields = heartbeat(SERVICE, advertised.parse().unwrap(), ZONE, 5);
    keep_announced(control, id, fields);
    loop {
        thread::park();
    }
}

fn answer(id: &str, mut stream: TcpStream) {
    let mut requests = reader(&stream);
    let Some(request) = read_request(&mut requests) else { return };
    if request.method == "GET" {
        let head = format!("HTTP/1.1 200 OK\r\nX-Guavacove-Instance-Id: {id}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        let _ = stream.write_all(head.as_bytes());
        return;
    }
    let request_id = request.header("x-guavacove-request-id");
    record(format!("{id} runs {request_id}"));
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Guavacove-Request-Id: {request_id}\r\nX-Guavacove-Server-Signature: {id}.{request_id}\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
    );
    let _ = stream.write_all(head.as_bytes());
    for event in 1..=EVENTS {
        if stream.write_all(format!("id: {event}\ndata: piece {event}\n\n").as_bytes()).is_err() {
            return;
        }
        record(format!("{id} sent event {event} of {EVENTS} of {request_id}"));
        thread::sleep(Duration::from_millis(EVENT_MS));
    }
    let _ = stream.shutdown(Shutdown::Both);
}

/// Passes connections on to a server; while the link is cut, holds what arrives from either side.
fn relay(listen: SocketAddr, server: SocketAddr, is_cut: Arc<AtomicBool>) {
    let listener = TcpListener::bind(listen).expect("the address is free");
    let pump = |mut from: TcpStream, mut to: TcpStream, is_cut: Arc<AtomicBool>| {
        thread::spawn(move || {
            let mut buffer = [0; 16 * 1024];
            loop {
                let read = from.read(&mut buffer);
                while is_cut.load(Ordering::Relaxed) {
                    sleep_ms(5);
                }
                match read {
                    Ok(bytes) if bytes > 0 && to.write_all(&buffer[..bytes]).is_ok() => {}
                    _ => break,
                }
            }
            let _ = to.shutdown(Shutdown::Write);
        });
    };
    thread::spawn(move || {
        for caller in listener.incoming().flatten() {
            while is_cut.load(Ordering::Relaxed) {
                sleep_ms(5);
            }
            let Ok(server) = TcpStream::connect(server) else { continue };
            pump(caller.try_clone().unwrap(), server.try_clone().unwrap(), Arc::clone(&is_cut));
            pump(server, caller, Arc::clone(&is_cut));
        }
    });
}

/// How a stream ended at the caller.
#[derive(Debug, PartialEq)]
enum End {
    /// The connection ended in order, as such a response does.
    InOrder,
    Broken(String),
}

struct Outcome {
    status: u16,
    is_signed: bool,
    last_event: u64,
    end: End,
}

fn request(gateway: SocketAddr, number: usize) -> Outcome {
    let mut stream = TcpStream::connect(gateway).expect("the gateway listens");
    stream.set_read_timeout(Some(Duration::from_millis(5000))).unwrap();
    let head = format!(
        "POST /corr/{number} HTTP/1.1\r\nHost: corr.example\r\nX-Guavacove-Request-Id: review6{number:09}\r\nX-Guavacove-Model: m\r\nX-Guavacove-Token-Count: 1800,60\r\nX-Guavacove-Prefix-Hash: a1:60,{number:x}b:1740\r\nX-Guavacove-Deadline-Ms: 4000\r\nAuthorization: Bearer key-of-tenant-1\r\nContent-Length: 5\r\n\r\nhello"
    );
    stream.write_all(head.as_bytes()).expect("the gateway reads");
    let (mut bytes, mut buffer) = (Vec::new(), [0; 4096]);
    let end = loop {
        match stream.read(&mut buffer) {
            Ok(0) => break End::InOrder,
            Ok(read) => bytes.extend_from_slice(&buffer[..read]),
            Err(error) => break End::Broken(error.to_string()),
        }
    };
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let has_framing = head.to_ascii_lowercase().contains("transfer-encoding");
    // With chunks the last one marks a whole stream.
    let end = match end {
        End::InOrder if has_framing && !body.ends_with("0\r\n\r\n") => End::Broken("no last chunk".into()),
        end => end,
    };
    Outcome {
        status: head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0),
        is_signed: head.to_ascii_lowercase().contains("x-guavacove-server-signature"),
        last_event: body.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).max().unwrap_or(0),
        end,
    }
}

fn run() {
    open_record();
    let site = Site::open("6");
    let cores = [1, 2, 3];
    let control: Vec<SocketAddr> = cores.iter().map(|core| site.at(*core, site.control)).collect();
    for core in cores {
        site.start_role("control", &format!("edge-{core}-control"), core, ZONE, &cores, true);
    }
    site.start_role("gateway", "edge-1-gateway", 1, ZONE, &cores, true);
    let advertised = site.at(20, site.server_port());
    let server = site.at(21, site.server_port());
    let is_cut = Arc::new(AtomicBool::new(false));
    relay(advertised, server, Arc::clone(&is_cut));
    site.start_role("admission", "side-20", 20, ZONE, &cores, true);
    let start_server = |id: &str| {
        let mut command = Command::new(std::env::current_exe().unwrap());
        command.args(["server", id, &server.to_string(), &advertised.to_string()]);
        start(id, &site.folder, command.args(control.iter().map(ToString::to_string)));
    };
    start_server("i-first");
    let config = format!(
        r#"{{"version":1,"routes":[{{"name":"r-corr","host":"corr.example","path_prefix":"/corr/","route_type":"streaming","timeout_ms":4000,"slo_ms":800,"priority":1,"service":"{SERVICE}","max_attempts":1,"public":false,"session_affinity":true,"resumable":false,"gap_target_ms":800}}],"services":[{{"name":"{SERVICE}","health_path":"/healthz","max_connections":380,"protocol":"h1","tls":false,"engine":{{"max_concurrency":5,"kv_capacity":236203}}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"tenant-1","api_keys":["key-of-tenant-1"],"priority":1,"unit":"tokens","plain_tokens":200,"rate_per_s":387063,"burst":387063}}]}}"#
    );
    wait_for("the configuration is accepted", 15_000, || {
        call_control(&control, "PUT", "/config", &config, 2000).is_some_and(|reply| reply.status == 200)
    });
    let gateway = site.at(1, site.front);
    let mut tried = 1000;
    wait_for("a stream is served whole", 20_000, || {
        tried += 1;
        let outcome = request(gateway, tried);
        outcome.status == 200 && outcome.last_event == EVENTS && outcome.end == End::InOrder
    });
    sleep_ms(1000);
    record(format!("{STREAMS} streams of {EVENTS} events are asked for"));
    let callers: Vec<_> = (1..=STREAMS).map(|number| thread::spawn(move || request(gateway, number))).collect();
    sleep_ms(450);
    if has_trouble() {
        record("the link between the gateway and the server is cut");
        is_cut.store(true, Ordering::Relaxed);
        sleep_ms(50);
        kill("i-first");
        sleep_ms(1500);
        start_server("i-second");
        sleep_ms(700);
        record("the cut has healed");
        is_cut.store(false, Ordering::Relaxed);
    }
    let mut taken_for_whole = 0;
    for (number, caller) in callers.into_iter().enumerate() {
        let Outcome { status, is_signed, last_event, end } = caller.join().expect("a caller ends");
        record(format!(
            "caller {}: status {status}, signed {is_signed}, last event {last_event} of {EVENTS}, end {end:?}",
            number + 1
        ));
        taken_for_whole += usize::from(status == 200 && last_event < EVENTS && end == End::InOrder);
        if !has_trouble() && (last_event < EVENTS || end != End::InOrder) {
            finish(true, "a stream was not whole although nothing was wrong");
        }
    }
    let verdict = format!("{taken_for_whole} of {STREAMS} callers got a part of a stream as the whole");
    finish(taken_for_whole > 0, &verdict);
}
