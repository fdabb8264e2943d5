//! Case 3: an invalid configuration of many routes keeps every control instance busy for minutes.
//! Meanwhile none of them answers a read of the configuration.

#[path = "../common/harness.rs"]
mod harness;

use harness::*;
use std::{
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// The largest growth of a configuration in the site file.
const ROUTES: usize = 1400;
/// Time without a response after which the operator moves on: more than a second, as the body is
/// large.
const RESPONSE_LIMIT: Duration = Duration::from_secs(3);
const SENDING: Duration = Duration::from_secs(15);
/// Five times `contact_ms`.
const READING: Duration = Duration::from_secs(20);

fn main() {
    let folder = std::env::args().nth(1).expect("usage: case3 FOLDER");
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    finish(run(&record));
}

fn run(record: &Arc<Record>) -> i32 {
    let Some(mut deployment) = Deployment::new(Arc::clone(record), vec![1, 2, 3]) else {
        return COULD_NOT_RUN;
    };
    deployment.one_core = true;
    let controls: Vec<Process> = (1..=3)
        .map(|host| deployment.control(host, &format!("z-{host}"), true))
        .collect();
    let stop = Arc::new(AtomicBool::new(false));
    let server = Server::new("i-llm-1", "llm", deployment.network.address(21, SERVER_PORT), 5);
    let routes: Vec<Route> = (0..ROUTES)
        .map(|number| route(&format!("p{number}"), "streaming", "llm"))
        .collect();
    let services = [("llm", true), ("filing", false)];
    let first = config(1, &routes, &services);
    if put_config(&deployment, &first, Duration::from_secs(20)) != Some(200) {
        record.line("the first configuration was not accepted");
        return COULD_NOT_RUN;
    }
    record.line(format!("operator: version 1, {ROUTES} routes, {} bytes, acknowledged", first.len()));
    let addresses = deployment.control_addresses();
    // With the disruption, the services lack the one that the routes name.
    let second = match trouble() {
        true => config(2, &routes, &services[1..]),
        false => config(2, &routes, &services),
    };
    let sender = {
        let (log, stop, addresses) = (Arc::clone(record), Arc::clone(&stop), addresses.clone());
        thread::spawn(move || {
            let mut pause = Duration::from_millis(250);
            for address in addresses.iter().cycle() {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                let response = call_control(*address, "PUT", "/config", second.as_bytes(), RESPONSE_LIMIT);
                log.line(format!(
                    "operator: version 2 sent to {address}: status {}, end={:?}",
                    response.status, response.end
                ));
                if matches!(response.status, 200 | 400 | 409 | 412 | 413 | 422) {
                    return;
                }
                thread::sleep(pause);
                pause = (pause * 2).min(Duration::from_secs(2));
            }
        })
    };
    thread::sleep(SENDING);
    record.line("operator: the day ends, the configuration is read back");
    let began = Instant::now();
    let (mut reads, mut answered, mut beats, mut acknowledged) = (0, 0, 0, 0);
    while began.elapsed() < READING {
        for address in &addresses {
            let response = call_control(*address, "GET", "/config", b"", Duration::from_secs(1));
            let version = String::from_utf8_lossy(&response.body).chars().take(12).collect::<String>();
            record.line(format!("operator: read at {address}: status {} {version}", response.status));
            reads += 1;
            answered += usize::from(response.status == 200);
        }
        beats += 1;
        acknowledged += usize::from(server.beat(&addresses));
        thread::sleep(Duration::from_millis(200));
    }
    stop.store(true, Ordering::Relaxed);
    for control in &controls {
        record.line(format!("{}: {} ms of processor time", control.name, control.cpu_ms()));
    }
    record.line(format!(
        "{answered} of {reads} reads were answered, {acknowledged} of {beats} heartbeats acknowledged"
    ));
    drop(controls);
    let _ = sender.join();
    match (answered, trouble()) {
        (0, true) => BROKEN,
        (0, false) => COULD_NOT_RUN,
        _ => HELD,
    }
}
