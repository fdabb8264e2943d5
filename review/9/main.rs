//! The servers of one service leave and start again under the ids that they had. A withdrawal that was
//! held up on the way arrives after that. Are the servers used again?

#[path = "../common-2/harness.rs"]
mod harness;
#[path = "../common-2/two_services.rs"]
mod two_services;

use harness::*;
use std::{net::SocketAddr, thread};
use two_services::{Deployment, SERVICES, serve_if_asked};

/// Time for which the network holds the first withdrawal of each server.
const HELD_MS: u64 = 4000;
/// Time from a server's end until it starts again.
const RESTART_MS: u64 = 500;

fn main() {
    serve_if_asked();
    let deployment = Deployment::start("9");
    let (service, _, machines) = SERVICES[0];
    let leader = leader_of(&deployment.control);
    record(format!("the servers {machines:?} of {service} leave in turn; {leader} leads"));
    for machine in machines {
        leave_and_return(&deployment, leader, service, machine);
    }
    sleep_ms(HELD_MS + 1000);
    deployment.judge();
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
fn leave_and_return(deployment: &Deployment, leader: SocketAddr, service: &str, machine: u8) {
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
    let reply = call_control(&deployment.control, "DELETE", &path, "", 5000);
    record(format!("the withdrawal of {id} is answered with {:?}", reply.map(|reply| reply.status)));
    sleep_ms(200);
    kill(&id);
    sleep_ms(RESTART_MS);
    deployment.start_server(service, machine);
}
