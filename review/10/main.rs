//! Another writer sends heartbeats with the addresses of the servers of one service, under other ids and
//! with a service that no configuration names. Are the servers' own heartbeats still followed?

#[path = "../common-2/harness.rs"]
mod harness;
#[path = "../common-2/two_services.rs"]
mod two_services;

use harness::*;
use two_services::{Deployment, SERVICES, ZONE, serve_if_asked};

const OTHER_SERVICE: &str = "archive9z";

fn main() {
    serve_if_asked();
    let deployment = Deployment::start("10");
    if has_trouble() {
        let (service, _, machines) = SERVICES[0];
        let site = &deployment.site;
        record(format!("another writer begins: heartbeats with the addresses of {machines:?}, servers of {service}, for {OTHER_SERVICE}"));
        for machine in machines {
            let address = site.at(machine, site.server_port());
            keep_announced(deployment.control.clone(), format!("x-{machine}"), heartbeat(OTHER_SERVICE, address, ZONE, 6));
        }
    }
    deployment.judge();
}
