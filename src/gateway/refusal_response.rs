//! HTTP responses for refused requests.

use crate::{
    entry::refusal::Refusal,
    verdict::{Reason, Verdict},
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, StatusCode, header};

/// Builds the response for a refusal. 429 and 503 guarantee that the request did not and will
/// not run; 502 and 504 guarantee nothing.
pub fn build(refusal: &Refusal) -> Response<Full<Bytes>> {
    let body = serde_json::json!({ "error": {
        "reason": refusal.reason.to_string(),
        "verdict": refusal.verdict.to_string(),
        "message": refusal.message,
        "retry_after_ms": refusal.retry_after_ms,
    }});
    let mut response = Response::builder()
        .status(status(refusal))
        .header(header::CONTENT_TYPE, "application/json");
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        let seconds = format!("{}.{:03}", retry_after_ms / 1000, retry_after_ms % 1000);
        response = response.header(header::RETRY_AFTER, seconds);
    }
    response
        .body(Full::from(body.to_string()))
        .expect("a number makes a valid header")
}

fn status(refusal: &Refusal) -> StatusCode {
    match (&refusal.reason, refusal.verdict) {
        (Reason::BadRequest, _) => StatusCode::BAD_REQUEST,
        (Reason::TooLarge, _) => StatusCode::PAYLOAD_TOO_LARGE,
        (Reason::UnknownCustomer, _) => StatusCode::UNAUTHORIZED,
        (Reason::UnknownService, _) => StatusCode::NOT_FOUND,
        (Reason::OverLimit, _) => StatusCode::TOO_MANY_REQUESTS,
        (_, Verdict::NotRun) => StatusCode::SERVICE_UNAVAILABLE,
        (Reason::Expired, _) => StatusCode::GATEWAY_TIMEOUT,
        (_, Verdict::MayHaveRun | Verdict::Ran) => StatusCode::BAD_GATEWAY,
    }
}
