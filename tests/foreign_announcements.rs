//! Announcements of another writer, on the path of entries and agents.

mod support;

use serde_json::{Value, json};
use support::{LEDGERWELL, System, fetch};

/// Guards against a target that is replaced at its agent by an announcement for a service that the
/// document does not name (review case 10).
async fn an_announcement_for_an_unnamed_service_replaces_no_target() {
    let builder = System::builder().controls(1).entries(1).plain(5);
    let system = builder.start().await;
    let settings = system.folder.path().join("filings-1.yaml");
    let settings: Value =
        serde_json::from_str(&std::fs::read_to_string(settings).unwrap()).unwrap();
    let agent = settings["announce"].as_str().unwrap().parse().unwrap();
    let caller = system.caller(0, LEDGERWELL);
    for number in 0..5 {
        let body = json!({"service": "archive", "address": system.targets[0].address, "slots": 4});
        let request = hyper::Request::put("/target")
            .header("host", "agent")
            .body(http_body_util::Full::new(body.to_string().into()));
        let refused = fetch(agent, request.unwrap()).await;
        assert_eq!(refused.status, 409, "{refused:?}");
        let answer = caller.file(&format!("notice-{number}")).await;
        assert_eq!(answer.status, 201, "{answer:?}");
    }
}

cases! {
    an_unnamed_service_replaces_no_target_of_an_agent =>
        an_announcement_for_an_unnamed_service_replaces_no_target();
}
