//! Simulated targets for `guavacove dev`, tests and benchmarks.

mod announcer;
mod engine;
mod fault;
mod plain;
mod prefix_cache;

pub use self::{
    announcer::Announcer,
    engine::{Engine, EngineSettings, token_text},
    fault::{Fault, FaultKind, FaultSwitch},
    plain::{PlainService, PlainServiceSettings},
    prefix_cache::PrefixCache,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, StatusCode};

/// Builds a JSON response.
fn json(status: StatusCode, value: &serde_json::Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(value.to_string().into()));
    *response.status_mut() = status;
    let json = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert("content-type", json);
    response
}
