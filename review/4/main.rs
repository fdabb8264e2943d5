//! Case 4: a gateway is killed while it relays a stream that its server sends without a length.
//! Its client takes the part that came for the whole answer.

#[path = "../common/harness.rs"]
mod harness;

use harness::*;
use std::{
    io::Write,
    net::TcpListener,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

const GATEWAYS: u8 = 7;
const SERVERS: u8 = 10;
const SLOTS: u32 = 5;
/// One run in this many is answered without a length: 0.025, half of the servers' dose of 0.05.
const CLIENTS: usize = 40;
const EVENTS: usize = 13;
const EVENT_PAUSE_MS: u64 = 150;

fn event(number: usize) -> String {
    format!("id: {number}\ndata: piece {number} of {EVENTS}\n\n")
}

fn whole_answer() -> String {
    (1..=EVENTS).map(event).collect()
}

fn main() {
    let folder = std::env::args().nth(1).expect("usage: case4 FOLDER");
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    finish(run(&record));
}

/// Writes the stream, with chunks or, if `is_unframed`, ended by its connection.
fn answer(request: &Request, stream: &mut std::net::TcpStream, is_unframed: bool) -> std::io::Result<()> {
    let framing = match is_unframed {
        true => "Connection: close\r\n",
        false => "Transfer-Encoding: chunked\r\n",
    };
    let head = answer_head(request, &format!("Content-Type: text/event-stream\r\n{framing}"));
    stream.write_all(head.as_bytes())?;
    for number in 1..=EVENTS {
        thread::sleep(Duration::from_millis(EVENT_PAUSE_MS));
        let text = event(number);
        match is_unframed {
            true => stream.write_all(text.as_bytes())?,
            false => stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?,
        }
    }
    match is_unframed {
        true => Ok(()),
        false => stream.write_all(b"0\r\n\r\n"),
    }
}

fn run(record: &Arc<Record>) -> i32 {
    let Some(deployment) = Deployment::new(Arc::clone(record), vec![1, 2, 3]) else {
        return COULD_NOT_RUN;
    };
    let mut processes: Vec<Process> = (1..=3)
        .map(|host| deployment.control(host, &format!("z-{host}"), true))
        .collect();
    let mut gateways: Vec<Process> = (0..GATEWAYS)
        .map(|number| deployment.gateway(11 + number, &format!("z-{}", 1 + number % 3)))
        .collect();
    let stop = Arc::new(AtomicBool::new(false));
    let runs = Arc::new(AtomicUsize::new(0));
    for number in 0..SERVERS {
        let host = 21 + number;
        processes.push(deployment.admission(host, "z-1"));
        let address = deployment.network.address(host, SERVER_PORT);
        let Ok(listener) = TcpListener::bind(address) else {
            return COULD_NOT_RUN;
        };
        let server = Server::new(&format!("i-llm-{number}"), "llm", address, SLOTS);
        let (log, runs) = (Arc::clone(record), Arc::clone(&runs));
        serve(listener, server.id.clone(), move |request, stream| {
            let id = request.header("x-guavacove-request-id").unwrap_or("").to_string();
            let is_unframed = runs.fetch_add(1, Ordering::Relaxed) % CLIENTS == CLIENTS / 2;
            log.line(format!("server: runs {id}, without a length: {is_unframed}"));
            let written = answer(request, stream, is_unframed).is_ok();
            log.line(format!("server: ends {id}, written: {written}"));
            written && !is_unframed
        });
        server.beat_forever(deployment.control_addresses(), Arc::clone(&stop));
    }
    let text = config(1, &[route("draft", "streaming", "llm")], &[("llm", true)]);
    if put_config(&deployment, &text, Duration::from_secs(20)) != Some(200) {
        record.line("the configuration was not accepted");
        return COULD_NOT_RUN;
    }
    let front = deployment.network.address(11, FRONTEND_PORT);
    let is_served = eventually(Duration::from_secs(20), || {
        is_ready(&deployment, 11)
            && ask(front, "calm", "POST", "/draft/1", b"x", 6000, |_| {}).body == whole_answer().as_bytes()
    });
    if !is_served {
        record.line("a calm request was not served");
        return COULD_NOT_RUN;
    }
    // The servers' heartbeats have reached the gateway.
    thread::sleep(Duration::from_millis(2 * HEARTBEAT_MS));
    runs.store(0, Ordering::Relaxed);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let log = Arc::clone(record);
            thread::spawn(move || {
                let id = format!("c4-{number}");
                log.line(format!("client: sends {id}"));
                let response = ask(front, &id, "POST", "/draft/1", b"x", 6000, |_| {});
                log.line(format!(
                    "client: {id} status={} signature={:?} body={} of {} bytes, end={:?}",
                    response.status,
                    response.header("x-guavacove-server-signature"),
                    response.body.len(),
                    whole_answer().len(),
                    response.end,
                ));
                response
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(EVENT_PAUSE_MS * 8));
    if trouble() {
        record.line("platform: SIGKILL of the gateway");
        gateways[0].kill();
    }
    let responses: Vec<Response> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    stop.store(true, Ordering::Relaxed);
    let is_whole = |response: &&Response| response.body == whole_answer().as_bytes();
    let looks_served = |response: &&Response| {
        response.status == 200
            && response.header("x-guavacove-server-signature") == Some(SIGNATURE)
            && response.looks_complete()
    };
    let served: Vec<&Response> = responses.iter().filter(looks_served).collect();
    let broken = served.iter().filter(|response| !is_whole(response)).count();
    record.line(format!(
        "{} of {CLIENTS} answers look complete, {broken} of them are only a part of the server's",
        served.len()
    ));
    match (broken, trouble()) {
        (0, false) if served.len() < CLIENTS * 9 / 10 => COULD_NOT_RUN,
        (0, _) => HELD,
        _ => BROKEN,
    }
}
