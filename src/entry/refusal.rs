//! Refusals: error responses, each with a reason and a verdict.

use super::body::ResponseBody;
use crate::{
    units::RequestId,
    verdict::{Reason, Verdict},
};
use hyper::{Response, StatusCode, header::HeaderValue};

/// The response header that carries the verdict.
pub const VERDICT_HEADER: &str = "guavacove-verdict";

/// Error sent to a caller: why the request got no response from a target or only a part of
/// one, and when to retry.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{reason}: {message}")]
pub struct Refusal {
    /// The machine-readable reason.
    pub reason: Reason,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// The delay after which a retry makes sense, if any.
    pub retry_after_ms: Option<u64>,
    /// The human-readable message.
    pub message: String,
}

impl Refusal {
    /// Creates the refusal of a request that did not run.
    pub fn not_run(reason: Reason, message: impl Into<String>) -> Self {
        Self {
            reason,
            verdict: Verdict::NotRun,
            retry_after_ms: None,
            message: message.into(),
        }
    }

    /// Creates the refusal of a request that may have run.
    pub fn may_have_run(reason: Reason, message: impl Into<String>) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            ..Self::not_run(reason, message)
        }
    }

    /// Sets the delay after which to retry.
    pub fn retry_after(self, retry_after_ms: u64) -> Self {
        Self {
            retry_after_ms: Some(retry_after_ms),
            ..self
        }
    }

    fn status(&self) -> StatusCode {
        match (&self.reason, self.verdict) {
            (Reason::BadRequest | Reason::KeyRequired, _) => StatusCode::BAD_REQUEST,
            (Reason::TooLarge, _) => StatusCode::PAYLOAD_TOO_LARGE,
            (Reason::UnknownCustomer, _) => StatusCode::UNAUTHORIZED,
            (Reason::UnknownService, _) => StatusCode::NOT_FOUND,
            (Reason::KeyReused, _) => StatusCode::UNPROCESSABLE_ENTITY,
            (Reason::InProgress | Reason::ResponseNotRecorded, _) => StatusCode::CONFLICT,
            (Reason::OverLimit, _) => StatusCode::TOO_MANY_REQUESTS,
            (Reason::Expired, Verdict::NotRun) => StatusCode::GATEWAY_TIMEOUT,
            (_, Verdict::NotRun) => StatusCode::SERVICE_UNAVAILABLE,
            (_, Verdict::MayHaveRun | Verdict::Ran) => StatusCode::BAD_GATEWAY,
        }
    }

    /// Formats the refusal as the JSON body of an error response.
    pub fn to_json(&self, request: RequestId) -> String {
        let error = serde_json::json!({
            "reason": self.reason.to_string(),
            "verdict": self.verdict.to_string(),
            "message": self.message,
            "request_id": request.to_string(),
            "retry_after_ms": self.retry_after_ms,
        });
        serde_json::json!({ "error": error }).to_string()
    }

    /// Converts the refusal into an error response.
    pub fn into_response(self, request: RequestId) -> Response<ResponseBody> {
        let mut response = Response::new(ResponseBody::complete(self.to_json(request)));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert("content-type", HeaderValue::from_static("application/json"));
        if let Some(retry_after_ms) = self.retry_after_ms {
            headers.insert(
                "retry-after",
                HeaderValue::from(retry_after_ms.div_ceil(1000)),
            );
        }
        set_result_headers(&mut response, request, self.verdict);
        response
    }
}

/// Sets the headers with the request's ID and verdict.
pub fn set_result_headers(
    response: &mut Response<ResponseBody>,
    request: RequestId,
    verdict: Verdict,
) {
    let value = |text: String| HeaderValue::from_str(&text).expect("IDs and verdicts are ASCII");
    let headers = response.headers_mut();
    headers.insert(crate::agent::REQUEST_ID_HEADER, value(request.to_string()));
    headers.insert(VERDICT_HEADER, value(verdict.to_string()));
}
