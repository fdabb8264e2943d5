//! The console's JSON API: reads, validates and applies the document, merges edits, generates
//! API keys, and reports the state of the system.

use super::{
    draft::{diff_lines, to_yaml},
    rebase::rebase,
    server::{ResponseBody, error_response, json_response, not_found, response},
};
use crate::{
    control::{
        ControlClient,
        client::ControlCallError,
        rpc::{ApplyReply, ControlError, ControlRpcClient},
        state::AcceptedDocument,
    },
    document::{Policy, SCHEMA, ValidationErrors},
    units::*,
};
use hyper::{Method, Response, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use std::{fmt::Write, sync::Arc};

/// Timeout of one attempt to call the leader.
const CALL_TIMEOUT_MS: u64 = 2000;
/// Timeout of a call over all attempts, including the search for the leader.
const TOTAL_TIMEOUT_MS: u64 = 6000;
/// Length of the random part of a generated API key, in bytes.
const API_KEY_BYTES: usize = 24;

/// The body of an apply request.
#[derive(Deserialize)]
struct Edit {
    /// The version that the edit is based on.
    expected: DocumentVersion,
    /// Identifies the change, so that a retry of the request is applied once.
    change: ChangeId,
    document: Value,
}

/// The body of a rebase request.
#[derive(Deserialize)]
struct Rebase {
    base: Value,
    mine: Value,
    theirs: Value,
}

/// Handles the API calls of the console's page.
pub struct Api(Arc<ControlClient>);

impl Api {
    /// Creates an API that forwards calls to the control group's leader.
    pub fn new(client: Arc<ControlClient>) -> Self {
        Self(client)
    }

    /// Handles one call of a signed-in operator.
    pub async fn handle(&self, method: &Method, path: &str, body: &str) -> Response<ResponseBody> {
        let result = match (method, path) {
            (&Method::GET, "/api/schema") => {
                Ok(response(StatusCode::OK, "application/json", SCHEMA.into()))
            }
            (&Method::GET, "/api/document") => self.document().await,
            (&Method::GET, "/api/status") => self.status().await,
            (&Method::POST, "/api/check") => self.check(body).await,
            (&Method::POST, "/api/apply") => self.apply(body).await,
            (&Method::POST, "/api/rebase") => Ok(rebase_edit(body)),
            (&Method::POST, "/api/keys") => Ok(generate_key()),
            _ => Ok(not_found()),
        };
        result.unwrap_or_else(|error| control_error(&error, path == "/api/apply"))
    }

    async fn current_document(&self) -> Result<AcceptedDocument, ControlCallError> {
        let get = |client: jsonrpsee::http_client::HttpClient| async move { client.get().await };
        self.0.call(CALL_TIMEOUT_MS, TOTAL_TIMEOUT_MS, get).await
    }

    async fn document(&self) -> Result<Response<ResponseBody>, ControlCallError> {
        Ok(json_response(
            StatusCode::OK,
            &versioned_json(&self.current_document().await?),
        ))
    }

    async fn status(&self) -> Result<Response<ResponseBody>, ControlCallError> {
        let status =
            |client: jsonrpsee::http_client::HttpClient| async move { client.status().await };
        let status = self
            .0
            .call(CALL_TIMEOUT_MS, TOTAL_TIMEOUT_MS, status)
            .await?;
        Ok(json_response(StatusCode::OK, &status))
    }

    /// Converts a draft to YAML, compares it to the current document and validates it.
    async fn check(&self, draft: &str) -> Result<Response<ResponseBody>, ControlCallError> {
        let draft: Value = match serde_json::from_str(draft) {
            Ok(draft) => draft,
            Err(error) => return Ok(bad_request(&error)),
        };
        let current = self.current_document().await?;
        let checking = tokio::task::spawn_blocking(move || check_draft(&current, &draft));
        match checking.await {
            Ok(reply) => Ok(json_response(StatusCode::OK, &reply)),
            Err(error) => {
                tracing::error!(%error, "console: the check of a draft failed");
                let message = "the check of the draft failed; the log has the reason";
                let status = StatusCode::INTERNAL_SERVER_ERROR;
                Ok(error_response(status, "check-failed", message))
            }
        }
    }

    async fn apply(&self, body: &str) -> Result<Response<ResponseBody>, ControlCallError> {
        let edit: Edit = match serde_json::from_str(body) {
            Ok(edit) => edit,
            Err(error) => return Ok(bad_request(&error)),
        };
        let (id, expected, yaml) = (edit.change, edit.expected, to_yaml(&edit.document));
        let call = self.0.call(CALL_TIMEOUT_MS, TOTAL_TIMEOUT_MS, |client| {
            let (id, yaml) = (id.clone(), yaml.clone());
            async move { client.apply(id, expected, yaml).await }
        });
        match call.await? {
            ApplyReply::Applied(version) => {
                tracing::info!("console: accepted change {id} as version {version}");
                let reply = json!({"outcome": "applied", "version": version});
                Ok(json_response(StatusCode::OK, &reply))
            }
            ApplyReply::Lost { current, winner } => {
                let reply = json!({
                    "outcome": "lost",
                    "current": current,
                    "winner": winner,
                    "in_force": versioned_json(&self.current_document().await?),
                });
                Ok(json_response(StatusCode::CONFLICT, &reply))
            }
            ApplyReply::ChangeReused => Ok(error_response(
                StatusCode::CONFLICT,
                "change-reused",
                "this change id was used for another document; check and apply again",
            )),
        }
    }
}

/// Parses an accepted document; returns an empty one if none has been accepted yet.
fn parse(document: &AcceptedDocument) -> Value {
    let empty = json!({"format": 1, "tiers": [], "services": [], "customers": [], "rules": []});
    let value: Option<Value> = serde_norway::from_str(&document.yaml).ok();
    value.filter(Value::is_object).unwrap_or(empty)
}

/// An accepted document with its version and change, as the page loads it.
fn versioned_json(document: &AcceptedDocument) -> Value {
    json!({
        "version": document.version,
        "change": document.change,
        "document": parse(document),
    })
}

fn rebase_edit(body: &str) -> Response<ResponseBody> {
    match serde_json::from_str::<Rebase>(body) {
        Ok(edit) => {
            let rebased = rebase(&edit.base, &edit.mine, &edit.theirs);
            json_response(StatusCode::OK, &rebased)
        }
        Err(error) => bad_request(&error),
    }
}

/// Generates an API key for a customer. The key is not stored: the document holds its hash.
fn generate_key() -> Response<ResponseBody> {
    let mut random = [0; API_KEY_BYTES];
    if let Err(error) = getrandom::fill(&mut random) {
        let message = format!("no random numbers are to be had: {error}");
        return error_response(StatusCode::INTERNAL_SERVER_ERROR, "no-random", &message);
    }
    let api_key = format!("gc-{}", to_hex(&random));
    let key_sha256 = to_hex(&Sha256::digest(api_key.as_bytes()));
    let reply = json!({"api_key": api_key, "key_sha256": key_sha256});
    json_response(StatusCode::OK, &reply)
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// Compares a draft with the document in force, and validates it.
fn check_draft(current: &AcceptedDocument, draft: &Value) -> Value {
    let (current_yaml, yaml) = (to_yaml(&parse(current)), to_yaml(draft));
    let compiled = Policy::compile(DocumentVersion(0), &yaml);
    json!({
        "version": current.version,
        "diff": diff_lines(&current_yaml, &yaml),
        "loses_comments": current_yaml != current.yaml && current.version > DocumentVersion(0),
        "faults": compiled.err().map_or(Vec::new(), |errors| errors.0),
        "yaml": yaml,
    })
}

fn bad_request(error: &serde_json::Error) -> Response<ResponseBody> {
    let message = format!("the request is not what is expected: {error}");
    error_response(StatusCode::BAD_REQUEST, "bad-request", &message)
}

fn invalid_edit(errors: &ValidationErrors) -> Response<ResponseBody> {
    let reply = json!({"outcome": "invalid", "faults": errors});
    json_response(StatusCode::UNPROCESSABLE_ENTITY, &reply)
}

fn control_error(error: &ControlCallError, is_change: bool) -> Response<ResponseBody> {
    let message = match error {
        ControlCallError::Refused(ControlError::Invalid(errors)) => return invalid_edit(errors),
        error if is_change => {
            format!("{error}; the change may be accepted: send the same one again")
        }
        error => error.to_string(),
    };
    error_response(StatusCode::SERVICE_UNAVAILABLE, "no-leader", &message)
}
