//! Answers that the entry gives itself: refusals, each with its verdict.

use super::body::AnswerBody;
use crate::{
    units::RequestId,
    verdict::{Reason, Verdict},
};
use hyper::{Response, StatusCode, header::HeaderValue};

/// The header that carries the verdict.
pub const VERDICT: &str = "guavacove-verdict";

/// Why a request was not answered by a target, and what its caller can do.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{reason}: {message}")]
pub struct Refusal {
    /// The stable word.
    pub reason: Reason,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// When to come back, if that makes sense.
    pub retry_after_ms: Option<u64>,
    /// A sentence for a person.
    pub message: String,
}

impl Refusal {
    /// A refusal of a request that did not run.
    pub fn not_run(reason: Reason, message: impl Into<String>) -> Self {
        Self {
            reason,
            verdict: Verdict::NotRun,
            retry_after_ms: None,
            message: message.into(),
        }
    }

    /// A refusal of a request that may have run.
    pub fn may_have_run(reason: Reason, message: impl Into<String>) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            ..Self::not_run(reason, message)
        }
    }

    /// Says when to come back.
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
            (Reason::InProgress | Reason::AnswerNotKept, _) => StatusCode::CONFLICT,
            (Reason::OverLimit, _) => StatusCode::TOO_MANY_REQUESTS,
            (Reason::Expired, Verdict::NotRun) => StatusCode::GATEWAY_TIMEOUT,
            (_, Verdict::NotRun) => StatusCode::SERVICE_UNAVAILABLE,
            (_, Verdict::MayHaveRun | Verdict::Ran) => StatusCode::BAD_GATEWAY,
        }
    }

    /// The refusal as JSON text.
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

    /// The refusal as a response.
    pub fn into_response(self, request: RequestId) -> Response<AnswerBody> {
        let mut response = Response::new(AnswerBody::whole(self.to_json(request)));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert("content-type", HeaderValue::from_static("application/json"));
        if let Some(retry_after_ms) = self.retry_after_ms {
            headers.insert(
                "retry-after",
                HeaderValue::from(retry_after_ms.div_ceil(1000)),
            );
        }
        mark(&mut response, request, self.verdict);
        response
    }
}

/// Adds the request's id and verdict to a response.
pub fn mark(response: &mut Response<AnswerBody>, request: RequestId, verdict: Verdict) {
    let value = |text: String| HeaderValue::from_str(&text).expect("ids and verdicts are ASCII");
    let headers = response.headers_mut();
    headers.insert(crate::agent::REQUEST_ID, value(request.to_string()));
    headers.insert(VERDICT, value(verdict.to_string()));
}
