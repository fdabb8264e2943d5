//! Case 2: the seeds are exchanged for the control instances without a disk, and these restart
//! together. They and the core never find each other again, so that the machine that replaces one
//! of the core does not join, and the loss of another one much later ends the control group.

#[path = "../common/harness.rs"]
mod harness;

use harness::*;
use std::{
    fs,
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Machines without a disk that are down together: three of six, a share of 0.5.
const DISKLESS: [u8; 3] = [4, 5, 6];
/// `for_s` of `herd_kill` in the site file.
const DOWN: Duration = Duration::from_secs(2);
/// Time from the end of a machine of the core until an empty one starts at another address.
const SUCCESSOR_DELAY: Duration = Duration::from_secs(1);
/// Time from the start of the first successor until the second machine is lost: five times
/// `catch_up_s`.
const BETWEEN: Duration = Duration::from_secs(20);
/// `recover_s` of the site is 12.
const RECOVERY: Duration = Duration::from_secs(20);
/// More than `contact_ms`.
const READING: Duration = Duration::from_secs(15);

fn main() {
    let folder = std::env::args().nth(1).expect("usage: case2 FOLDER");
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    finish(run(&record));
}

/// Ends a control instance for good, with its disk.
fn remove(deployment: &Deployment, control: &mut Process) {
    control.kill();
    let _ = fs::remove_dir_all(deployment.folder.join(format!("data-{}", control.name)));
    deployment.record.line(format!("platform: {} is gone for good (SIGKILL, its disk is lost)", control.name));
}

fn zone(host: u8) -> String {
    format!("z-{}", 1 + (host - 1) % 3)
}

/// Reads the configuration at each instance; returns the text of an answer.
fn read(deployment: &Deployment, hosts: &[u8]) -> Option<String> {
    hosts.iter().find_map(|host| {
        let address = deployment.network.address(*host, CONTROL_PORT);
        let response = call_control(address, "GET", "/config", b"", Duration::from_secs(1));
        let text = String::from_utf8_lossy(&response.body).into_owned();
        let begin: String = text.chars().take(60).collect();
        deployment.record.line(format!("operator: read at {address}: status {} {begin}", response.status));
        (response.status == 200).then_some(text)
    })
}

fn run(record: &Arc<Record>) -> i32 {
    let Some(mut deployment) = Deployment::new(Arc::clone(record), vec![1, 2, 3]) else {
        return COULD_NOT_RUN;
    };
    let mut core: Vec<Process> = (1..=3)
        .map(|host| deployment.control(host, &zone(host), true))
        .collect();
    let mut diskless: Vec<Process> = DISKLESS
        .iter()
        .flat_map(|host| {
            [
                deployment.diskless_control(*host, &zone(*host), true),
                deployment.gateway(*host, &zone(*host)),
            ]
        })
        .collect();
    let text = config(7, &[route("draft", "streaming", "llm")], &[("llm", true)]);
    if put_config(&deployment, &text, Duration::from_secs(20)) != Some(200) {
        record.line("the configuration was not accepted");
        return COULD_NOT_RUN;
    }
    record.line("operator: version 7 is acknowledged");
    let is_ready_everywhere = || DISKLESS.iter().all(|host| is_ready(&deployment, *host));
    if !eventually(Duration::from_secs(20), is_ready_everywhere) {
        record.line("a gateway is not ready");
        return COULD_NOT_RUN;
    }
    let mut hosts = vec![1, 2, 3, 4, 5, 6];
    if trouble() {
        record.line("platform: the settings name other seeds from now on, the instances 4, 5 and 6");
        deployment.seeds = DISKLESS.to_vec();
        thread::sleep(Duration::from_secs(3));
        record.line("platform: the machines 4, 5 and 6 are down for 2 s (SIGKILL)");
        diskless.clear();
        thread::sleep(DOWN);
        for host in DISKLESS {
            diskless.push(deployment.diskless_control(host, &zone(host), false));
            diskless.push(deployment.gateway(host, &zone(host)));
        }
        thread::sleep(Duration::from_secs(6));
        for (position, successor) in [(0, 7), (1, 8)] {
            remove(&deployment, &mut core[position]);
            thread::sleep(SUCCESSOR_DELAY);
            hosts[position] = successor;
            core.push(deployment.control(successor, &zone(successor), false));
            if position == 0 {
                thread::sleep(BETWEEN);
                read(&deployment, &[2, 3, 4, 5, 6, 7]);
                read(&deployment, &[4, 5, 6, 7]);
            }
        }
    }
    record.line("platform: all machines are there");
    thread::sleep(RECOVERY);
    for host in DISKLESS {
        record.line(format!("platform: gateway-{host} is ready: {}", is_ready(&deployment, host)));
    }
    let began = Instant::now();
    let mut answer = None;
    while answer.is_none() && began.elapsed() < READING {
        answer = read(&deployment, &hosts);
        thread::sleep(Duration::from_millis(300));
    }
    let is_kept = answer.as_ref() == Some(&text);
    record.line(format!(
        "read back: {}",
        match (&answer, is_kept) {
            (None, _) => "no instance answers",
            (Some(_), true) => "version 7, as it was sent",
            (Some(_), false) => "something else",
        }
    ));
    match (is_kept, trouble()) {
        (true, _) => HELD,
        (false, true) => BROKEN,
        (false, false) => COULD_NOT_RUN,
    }
}
