//! Distributed tracing: one span per hop, below the caller's span, exported to a collector.

mod support;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming, service::service_fn};
use hyper_util::rt::TokioIo;
use opentelemetry_proto::tonic::collector::trace::v1::ExportTraceServiceRequest;
use prost::Message;
use std::{
    collections::BTreeMap,
    convert::Infallible,
    net::SocketAddr,
    sync::{Arc, Mutex},
};
use support::*;
use tokio::net::TcpListener;

const TRACE: &str = "4bf92f3577b34da6a3ce929d0e0e4736";
const PARENT: &str = "00f067aa0ba902b7";

/// Trace id, span id and parent span id by span name, and the paths of all exports.
#[derive(Default)]
struct Exports {
    spans: BTreeMap<String, (String, String, String)>,
    paths: Vec<String>,
}

fn hex(bytes: &[u8]) -> String {
    bytes
        .iter()
        .fold(String::new(), |text, byte| format!("{text}{byte:02x}"))
}

/// Starts an OTLP collector that stores what it receives.
async fn start_collector() -> (SocketAddr, Arc<Mutex<Exports>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let exports = Arc::new(Mutex::new(Exports::default()));
    let shared = Arc::clone(&exports);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let shared = Arc::clone(&shared);
            let service = service_fn(move |request: Request<Incoming>| {
                let shared = Arc::clone(&shared);
                async move {
                    let path = request.uri().path().to_string();
                    let body = request.into_body().collect().await.unwrap().to_bytes();
                    let mut exports = shared.lock().unwrap();
                    if path.ends_with("/traces") {
                        let export = ExportTraceServiceRequest::decode(body).unwrap();
                        for span in export
                            .resource_spans
                            .into_iter()
                            .flat_map(|spans| spans.scope_spans)
                            .flat_map(|spans| spans.spans)
                        {
                            let ids = (
                                hex(&span.trace_id),
                                hex(&span.span_id),
                                hex(&span.parent_span_id),
                            );
                            exports.spans.insert(span.name, ids);
                        }
                    }
                    exports.paths.push(path);
                    Ok::<_, Infallible>(Response::new(Full::new(Bytes::new())))
                }
            });
            let http = hyper::server::conn::http1::Builder::new();
            tokio::spawn(http.serve_connection(TokioIo::new(stream), service));
        }
    });
    (address, exports)
}

async fn spans_form_a_tree() {
    let (collector, exports) = start_collector().await;
    let endpoint = format!("http://{collector}");
    let system = System::builder()
        .entries(1)
        .plain(5)
        .collector(&endpoint)
        .start()
        .await;
    let request = Request::get("/services/filings/x")
        .header("host", "guavacove")
        .header("authorization", format!("Bearer {LEDGERWELL}"))
        .header("traceparent", format!("00-{TRACE}-{PARENT}-01"))
        .body(Full::default())
        .unwrap();
    assert_eq!(fetch(system.entries[0].1, request).await.status, 200);
    let complete = || async {
        let exports = exports.lock().unwrap();
        let names = ["entry.request", "agent.dispatch", "target.call"];
        names.iter().all(|name| exports.spans.contains_key(*name))
            && exports.paths.iter().any(|path| path.ends_with("/metrics"))
    };
    eventually(
        "spans of three hops and metrics are exported",
        15_000,
        complete,
    )
    .await;
    let exports = exports.lock().unwrap();
    let (entry, agent, target) = (
        &exports.spans["entry.request"],
        &exports.spans["agent.dispatch"],
        &exports.spans["target.call"],
    );
    assert!([entry, agent, target].iter().all(|span| span.0 == TRACE));
    assert_eq!(entry.2, PARENT);
    assert_eq!(agent.2, entry.1);
    assert_eq!(target.2, agent.1);
}

cases! {
    each_hop_of_a_request_exports_a_span => spans_form_a_tree();
}
