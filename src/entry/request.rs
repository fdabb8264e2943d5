//! A caller's request, read and checked against the document.

use super::refusal::Refusal;
use crate::{
    agent::end_to_end,
    control_view::View,
    document::{CustomerPolicy, ServicePolicy, Treatment},
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

/// The longest body, in bytes.
pub const BODY_LIMIT_BYTES: usize = 16 * 1024 * 1024;
/// The header that names a request of a customer.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The longest idempotency key, in bytes.
const KEY_LIMIT_BYTES: usize = 255;
/// Bytes of a prompt for one token, as an estimate.
const BYTES_PER_TOKEN: u64 = 4;
/// How much of a prompt chooses the agent that likely holds its prefix.
const PREFIX_BYTES: usize = 512;

/// A request, ready to be scheduled.
#[derive(Clone)]
pub struct Inbound {
    /// Its id.
    pub id: RequestId,
    /// Whose it is.
    pub customer: CustomerPolicy,
    /// What is to run it.
    pub service: ServicePolicy,
    /// What the rules say of it.
    pub treatment: Treatment,
    /// The HTTP method.
    pub method: String,
    /// Path and query for the target.
    pub path: String,
    /// End-to-end headers.
    pub headers: Vec<(String, Bytes)>,
    /// The whole body.
    pub body: Bytes,
    /// The caller's idempotency key.
    pub key: Option<IdempotencyKey>,
    /// The tokens of the prompt, estimated.
    pub prompt_tokens: TokenCount,
    /// The tokens of prompt and longest answer, estimated.
    pub total_tokens: TokenCount,
    /// Identifies the start of the prompt.
    pub prefix: Option<u64>,
    /// When it came.
    pub arrived: Instant,
}

/// The service, path and body size that a request names.
struct Named<'a> {
    service: &'a ServicePolicy,
    path: String,
    prompt_tokens: TokenCount,
    total_tokens: TokenCount,
    prefix: Option<u64>,
}

impl Inbound {
    /// Reads a request to its end and checks it.
    ///
    /// # Errors
    /// Fails with a refusal for the caller.
    pub async fn read(
        id: RequestId,
        request: Request<Incoming>,
        view: &View,
    ) -> Result<Self, Refusal> {
        let arrived = Instant::now();
        let (parts, body) = request.into_parts();
        let customer = authenticate(&parts, view)?.clone();
        let key = idempotency_key(&parts)?;
        let body = Limited::new(body, BODY_LIMIT_BYTES)
            .collect()
            .await
            .map_err(|error| match error.downcast_ref::<LengthLimitError>() {
                Some(_) => {
                    let message = format!("the body is longer than {BODY_LIMIT_BYTES} bytes");
                    Refusal::not_run(Reason::TooLarge, message)
                }
                None => Refusal::not_run(Reason::BadRequest, "the body did not come whole"),
            })?;
        let body = body.to_bytes();
        let method = parts.method.as_str().to_string();
        let named = name(&parts, &body, view)?;
        let treatment = view
            .policy
            .treatment(&customer, named.service, &method, &named.path)
            .ok_or_else(|| Refusal::not_run(Reason::BadRequest, "the request has no tier"))?;
        if !treatment.idempotent && named.service.requires_key && key.is_none() {
            let message = "this request is non-idempotent: name it by an Idempotency-Key";
            return Err(Refusal::not_run(Reason::KeyRequired, message));
        }
        Ok(Self {
            id,
            customer,
            service: named.service.clone(),
            treatment,
            method,
            path: named.path,
            headers: forwarded(&parts),
            body,
            key,
            prompt_tokens: named.prompt_tokens,
            total_tokens: named.total_tokens,
            prefix: named.prefix,
            arrived,
        })
    }

    /// How much of its deadline is left, in milliseconds.
    pub fn left_ms(&self) -> u64 {
        let elapsed_ms = self.arrived.elapsed().as_millis() as u64;
        self.treatment.tier.deadline_ms.saturating_sub(elapsed_ms)
    }

    /// Reads the rules again, as after a change of the document.
    ///
    /// # Errors
    /// Fails if the document no longer knows its service.
    pub fn reconsider(&mut self, view: &View) -> Result<(), Refusal> {
        let service = view.policy.service(&self.service.name).cloned();
        let gone = || Refusal::not_run(Reason::UnknownService, "the service is no longer defined");
        self.service = service.ok_or_else(gone)?;
        let policy = &view.policy;
        let treatment = policy.treatment(&self.customer, &self.service, &self.method, &self.path);
        self.treatment = treatment.ok_or_else(gone)?;
        Ok(())
    }

    /// A copy that names the request and carries no body.
    pub fn key_only(&self) -> Self {
        let (headers, body) = (Vec::new(), Bytes::new());
        Self {
            headers,
            body,
            ..self.clone()
        }
    }

    /// Whether it needs a claim before it is dispatched.
    pub fn needs_claim(&self) -> bool {
        !self.treatment.idempotent && self.key.is_some()
    }
}

/// Finds the customer of a request by its API key.
///
/// # Errors
/// Fails if there is no key, or no customer has it.
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
    let invalid = || {
        let message =
            format!("an Idempotency-Key is 1 to {KEY_LIMIT_BYTES} visible ASCII characters");
        Refusal::not_run(Reason::BadRequest, message)
    };
    let Some(value) = parts.headers.get(IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| invalid())?;
    match text.len() {
        1..=KEY_LIMIT_BYTES => Ok(Some(IdempotencyKey(text.into()))),
        _ => Err(invalid()),
    }
}

/// The headers that the target gets. The API key stays here.
fn forwarded(parts: &Parts) -> Vec<(String, Bytes)> {
    let internal = |name: &str| {
        matches!(
            name,
            "authorization" | "content-length" | "expect" | telemetry::TRACEPARENT
        ) || name.starts_with("guavacove-")
    };
    let headers = end_to_end(&parts.headers);
    headers
        .into_iter()
        .filter(|(name, _)| !internal(name))
        .collect()
}

fn name<'a>(parts: &Parts, body: &Bytes, view: &'a View) -> Result<Named<'a>, Refusal> {
    match (parts.method.as_str(), parts.uri.path()) {
        ("POST", "/v1/chat/completions" | "/v1/completions") => name_model(parts, body, view),
        (_, path) => match path.strip_prefix("/services/") {
            Some(rest) => name_plain(parts, rest, view),
            None => {
                let message = "there is POST /v1/chat/completions, POST /v1/completions, GET \
                               /v1/models and /services/NAME/...";
                Err(Refusal::not_run(Reason::UnknownService, message))
            }
        },
    }
}

fn name_plain<'a>(parts: &Parts, rest: &str, view: &'a View) -> Result<Named<'a>, Refusal> {
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
    Ok(Named {
        service,
        path: format!("/{path}{query}"),
        prompt_tokens: TokenCount(0),
        total_tokens: TokenCount(1),
        prefix: None,
    })
}

fn name_model<'a>(parts: &Parts, body: &Bytes, view: &'a View) -> Result<Named<'a>, Refusal> {
    let malformed = |message: String| Refusal::not_run(Reason::BadRequest, message);
    let json: Value = serde_json::from_slice(body)
        .map_err(|error| malformed(format!("the body is not JSON: {error}")))?;
    let model = json.get("model").and_then(Value::as_str);
    let model = model.ok_or_else(|| malformed("the body names no `model`".into()))?;
    let service = view.policy.service_of_model(model).ok_or_else(|| {
        let message = format!("the document names no model {model:?}");
        Refusal::not_run(Reason::UnknownService, message)
    })?;
    let prompt = prompt(&json).ok_or_else(|| {
        malformed("the body has neither a `prompt` nor `messages` with content".into())
    })?;
    let prompt_tokens = prompt.len() as u64 / BYTES_PER_TOKEN + 1;
    let limit = ["max_completion_tokens", "max_tokens"]
        .iter()
        .find_map(|name| json.get(*name));
    let max_tokens = limit
        .and_then(Value::as_u64)
        .unwrap_or(service.max_tokens.0);
    let mut hasher = DefaultHasher::new();
    hasher.write(&prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)]);
    Ok(Named {
        service,
        path: parts.uri.path().to_string(),
        prompt_tokens: TokenCount(prompt_tokens),
        total_tokens: TokenCount(prompt_tokens.saturating_add(max_tokens)),
        prefix: Some(hasher.finish()),
    })
}

/// The text of a prompt, or of all messages.
fn prompt(json: &Value) -> Option<String> {
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
