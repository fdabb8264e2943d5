//! Reads callers' requests and validates them against the document.

use super::refusal::Refusal;
use crate::{
    agent::end_to_end_headers,
    control_view::View,
    document::{CustomerPolicy, RequestPolicy, ServicePolicy},
    telemetry,
    units::*,
    verdict::Reason,
};
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{Request, body::Incoming, http::request::Parts};
use serde_json::Value;
use std::{
    hash::{DefaultHasher, Hasher},
    time::Instant,
};

/// Maximum size of a request body.
pub const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// The request header that carries the idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 255;
/// Estimated bytes of prompt per token.
const BYTES_PER_TOKEN: u64 = 4;
/// Length of the prompt prefix that selects an agent by cache affinity.
const PREFIX_BYTES: usize = 512;

/// A validated request, ready to be scheduled.
#[derive(Clone)]
pub struct IncomingRequest {
    /// The request ID, assigned by this entry.
    pub id: RequestId,
    /// The customer that sent it.
    pub customer: CustomerPolicy,
    /// The requested service.
    pub service: ServicePolicy,
    /// The policy that the document's rules assign to it.
    pub request_policy: RequestPolicy,
    /// The HTTP method.
    pub method: String,
    /// The path and query sent to the target.
    pub path: String,
    /// The headers sent to the target.
    pub headers: Vec<(String, Bytes)>,
    /// The complete body.
    pub body: Bytes,
    /// The caller's idempotency key, if any.
    pub key: Option<IdempotencyKey>,
    /// The estimated tokens of the prompt.
    pub prompt_tokens: TokenCount,
    /// The estimated tokens of the prompt and the longest response.
    pub total_tokens: TokenCount,
    /// A hash of the prompt prefix; `None` without a prompt.
    pub prefix_hash: Option<u64>,
    /// The time of arrival.
    pub arrived: Instant,
}

/// The service, path and token counts derived from a request.
struct ParsedRequest<'a> {
    service: &'a ServicePolicy,
    path: String,
    prompt_tokens: TokenCount,
    total_tokens: TokenCount,
    prefix_hash: Option<u64>,
}

impl IncomingRequest {
    /// Reads a complete request and validates it.
    ///
    /// # Errors
    /// Fails with a refusal if the request is malformed, too large or not authorized.
    pub async fn read(
        id: RequestId,
        request: Request<Incoming>,
        view: &View,
    ) -> Result<Self, Refusal> {
        let arrived = Instant::now();
        let (parts, body) = request.into_parts();
        let customer = authenticate(&parts, view)?.clone();
        let key = idempotency_key(&parts)?;
        let body = Limited::new(body, MAX_BODY_BYTES)
            .collect()
            .await
            .map_err(|error| match error.downcast_ref::<LengthLimitError>() {
                Some(_) => {
                    let message = format!("the body is longer than {MAX_BODY_BYTES} bytes");
                    Refusal::not_run(Reason::TooLarge, message)
                }
                None => Refusal::not_run(Reason::BadRequest, "the body did not come whole"),
            })?;
        let body = body.to_bytes();
        let method = parts.method.as_str().to_string();
        let parsed = parse_request(&parts, &body, view)?;
        let request_policy = view
            .policy
            .request_policy(&customer, parsed.service, &method, &parsed.path)
            .ok_or_else(|| Refusal::not_run(Reason::BadRequest, "the request has no tier"))?;
        if !request_policy.idempotent && parsed.service.requires_key && key.is_none() {
            let message = "this request is non-idempotent: name it by an Idempotency-Key";
            return Err(Refusal::not_run(Reason::KeyRequired, message));
        }
        Ok(Self {
            id,
            customer,
            service: parsed.service.clone(),
            request_policy,
            method,
            path: parsed.path,
            headers: forwarded_headers(&parts),
            body,
            key,
            prompt_tokens: parsed.prompt_tokens,
            total_tokens: parsed.total_tokens,
            prefix_hash: parsed.prefix_hash,
            arrived,
        })
    }

    /// Milliseconds until the deadline.
    pub fn remaining_ms(&self) -> u64 {
        let elapsed_ms = self.arrived.elapsed().as_millis() as u64;
        self.request_policy
            .tier
            .deadline_ms
            .saturating_sub(elapsed_ms)
    }

    /// Reapplies the document's rules after the document has changed.
    ///
    /// # Errors
    /// Fails if the document no longer defines the service.
    pub fn update_policy(&mut self, view: &View) -> Result<(), Refusal> {
        let service = view.policy.service(&self.service.name).cloned();
        let service_removed =
            || Refusal::not_run(Reason::UnknownService, "the service is no longer defined");
        self.service = service.ok_or_else(service_removed)?;
        let policy = &view.policy;
        let request_policy =
            policy.request_policy(&self.customer, &self.service, &self.method, &self.path);
        self.request_policy = request_policy.ok_or_else(service_removed)?;
        Ok(())
    }

    /// Copies the request without headers and body.
    pub fn without_content(&self) -> Self {
        let (headers, body) = (Vec::new(), Bytes::new());
        Self {
            headers,
            body,
            ..self.clone()
        }
    }

    /// Whether the idempotency key must be claimed before the dispatch.
    pub fn needs_claim(&self) -> bool {
        !self.request_policy.idempotent && self.key.is_some()
    }
}

/// Finds the customer of a request by its API key.
///
/// # Errors
/// Fails if the API key is missing or unknown.
pub fn authenticate<'a>(parts: &Parts, view: &'a View) -> Result<&'a CustomerPolicy, Refusal> {
    let header = parts
        .headers
        .get("authorization")
        .and_then(|value| value.to_str().ok());
    let api_key = header.and_then(|value| value.strip_prefix("Bearer "));
    api_key
        .and_then(|api_key| view.policy.customer(api_key.trim()))
        .ok_or_else(|| {
            let message = "send the API key of a customer as `Authorization: Bearer KEY`";
            Refusal::not_run(Reason::UnknownCustomer, message)
        })
}

fn idempotency_key(parts: &Parts) -> Result<Option<IdempotencyKey>, Refusal> {
    let invalid_key = || {
        let message =
            format!("an Idempotency-Key is 1 to {MAX_KEY_BYTES} visible ASCII characters");
        Refusal::not_run(Reason::BadRequest, message)
    };
    let Some(value) = parts.headers.get(IDEMPOTENCY_KEY_HEADER) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| invalid_key())?;
    match text.len() {
        1..=MAX_KEY_BYTES => Ok(Some(IdempotencyKey(text.into()))),
        _ => Err(invalid_key()),
    }
}

/// The headers to forward to the target, without the API key and internal headers.
fn forwarded_headers(parts: &Parts) -> Vec<(String, Bytes)> {
    let is_stripped = |name: &str| {
        matches!(
            name,
            "authorization" | "content-length" | "expect" | telemetry::TRACEPARENT
        ) || name.starts_with("guavacove-")
    };
    let headers = end_to_end_headers(&parts.headers);
    headers
        .into_iter()
        .filter(|(name, _)| !is_stripped(name))
        .collect()
}

fn parse_request<'a>(
    parts: &Parts,
    body: &Bytes,
    view: &'a View,
) -> Result<ParsedRequest<'a>, Refusal> {
    match (parts.method.as_str(), parts.uri.path()) {
        ("POST", "/v1/chat/completions" | "/v1/completions") => parse_model(parts, body, view),
        (_, path) => match path.strip_prefix("/services/") {
            Some(rest) => parse_service(parts, rest, view),
            None => {
                let message = "there is POST /v1/chat/completions, POST /v1/completions, GET \
                               /v1/models and /services/NAME/...";
                Err(Refusal::not_run(Reason::UnknownService, message))
            }
        },
    }
}

fn parse_service<'a>(
    parts: &Parts,
    rest: &str,
    view: &'a View,
) -> Result<ParsedRequest<'a>, Refusal> {
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let service = view
        .policy
        .service(&ServiceName::from(name))
        .filter(|s| !s.is_model);
    let service = service.ok_or_else(|| {
        let message = format!("the document names no plain service {name:?}");
        Refusal::not_run(Reason::UnknownService, message)
    })?;
    let query = parts
        .uri
        .query()
        .map(|query| format!("?{query}"))
        .unwrap_or_default();
    Ok(ParsedRequest {
        service,
        path: format!("/{path}{query}"),
        prompt_tokens: TokenCount(0),
        // A request to a plain service counts as one token.
        total_tokens: TokenCount(1),
        prefix_hash: None,
    })
}

fn parse_model<'a>(
    parts: &Parts,
    body: &Bytes,
    view: &'a View,
) -> Result<ParsedRequest<'a>, Refusal> {
    let bad_request = |message: String| Refusal::not_run(Reason::BadRequest, message);
    let json: Value = serde_json::from_slice(body)
        .map_err(|error| bad_request(format!("the body is not JSON: {error}")))?;
    let model = json.get("model").and_then(Value::as_str);
    let model = model.ok_or_else(|| bad_request("the body names no `model`".into()))?;
    let service = view.policy.service_for_model(model).ok_or_else(|| {
        let message = format!("the document names no model {model:?}");
        Refusal::not_run(Reason::UnknownService, message)
    })?;
    let prompt = prompt_text(&json).ok_or_else(|| {
        bad_request("the body has neither a `prompt` nor `messages` with content".into())
    })?;
    let prompt_tokens = prompt.len() as u64 / BYTES_PER_TOKEN + 1;
    let token_limit = ["max_completion_tokens", "max_tokens"]
        .iter()
        .find_map(|name| json.get(*name));
    let max_tokens = token_limit
        .and_then(Value::as_u64)
        .unwrap_or(service.default_output_tokens.0);
    let mut hasher = DefaultHasher::new();
    hasher.write(&prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)]);
    Ok(ParsedRequest {
        service,
        path: parts.uri.path().to_string(),
        prompt_tokens: TokenCount(prompt_tokens),
        total_tokens: TokenCount(prompt_tokens.saturating_add(max_tokens)),
        prefix_hash: Some(hasher.finish()),
    })
}

/// The text of the `prompt` field, or of all `messages` joined.
fn prompt_text(json: &Value) -> Option<String> {
    let text = |value: &Value| match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    let messages = json.get("messages").and_then(Value::as_array);
    match (json.get("prompt"), messages) {
        (Some(prompt), _) => Some(text(prompt)),
        (None, Some(messages)) => Some(
            messages
                .iter()
                .filter_map(|message| message.get("content"))
                .map(text)
                .collect(),
        ),
        (None, None) => None,
    }
}
