//! Case 1: two machines of the core are replaced one after the other, and the control group never
//! has a leader again.

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

/// Time from the end of a machine until an empty one starts at another address.
const SUCCESSOR_DELAY: Duration = Duration::from_secs(1);
/// `catch_up_s`: so long after the start of its successor, a machine that was removed does not count
/// as lost any more.
const CATCH_UP: Duration = Duration::from_secs(4);
/// The second machine is lost so much later than it may be.
const SPARE_TIME: Duration = Duration::from_secs(1);
/// `recover_s` of the site is 12.
const RECOVERY: Duration = Duration::from_secs(20);
/// More than `contact_ms`.
const READING: Duration = Duration::from_secs(15);

fn main() {
    let folder = std::env::args().nth(1).expect("usage: case1 FOLDER");
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    finish(run(&record));
}

/// Ends a control instance for good, with its disk.
fn remove(deployment: &Deployment, control: &mut Process) {
    control.kill();
    let _ = fs::remove_dir_all(deployment.folder.join(format!("data-{}", control.name)));
    deployment.record.line(format!("platform: {} is gone for good (SIGKILL, its disk is lost)", control.name));
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
    let Some(deployment) = Deployment::new(Arc::clone(record), vec![1, 2, 3]) else {
        return COULD_NOT_RUN;
    };
    let mut controls: Vec<Process> = (1..=3)
        .map(|host| deployment.control(host, &format!("z-{host}"), true))
        .collect();
    let text = config(7, &[route("draft", "streaming", "llm")], &[("llm", true)]);
    if put_config(&deployment, &text, Duration::from_secs(20)) != Some(200) {
        record.line("the configuration was not accepted");
        return COULD_NOT_RUN;
    }
    record.line("operator: version 7 is acknowledged");
    thread::sleep(Duration::from_secs(3));
    let mut hosts = vec![1, 2, 3];
    if trouble() {
        for (position, successor) in [(0, 4), (1, 5)] {
            remove(&deployment, &mut controls[position]);
            thread::sleep(SUCCESSOR_DELAY);
            hosts[position] = successor;
            controls.push(deployment.control(successor, &format!("z-{}", position + 1), false));
            thread::sleep(CATCH_UP + SPARE_TIME);
        }
    }
    record.line("platform: all machines are there");
    thread::sleep(RECOVERY);
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
