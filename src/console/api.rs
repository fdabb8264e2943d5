//! What the console's page asks for: the document, checks, changes, keys, the state.

use super::{
    draft::{compare, lay_out},
    rebase::rebase,
    server::{Reply, json_reply, no_such_path, refuse, respond},
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

/// How long one try to reach the leader may take.
const CALL_TIMEOUT_MS: u64 = 2000;
/// How long a call looks for the leader.
const TOTAL_TIMEOUT_MS: u64 = 6000;
/// The random part of a customer's new API key, in bytes.
const API_KEY_BYTES: usize = 24;

/// A change as the page sends it.
#[derive(Deserialize)]
struct Edit {
    /// The version that it was drawn from.
    expected: DocumentVersion,
    /// Identifies the change, also when it is sent again.
    change: ChangeId,
    document: Value,
}

/// An edit that is to be redone on top of another document.
#[derive(Deserialize)]
struct Rebase {
    base: Value,
    mine: Value,
    theirs: Value,
}

/// Answers the page's calls.
pub struct Api(Arc<ControlClient>);

impl Api {
    /// Calls go to the control group's leader.
    pub fn new(client: Arc<ControlClient>) -> Self {
        Self(client)
    }

    /// Answers one call of somebody who is signed in.
    pub async fn answer(&self, method: &Method, path: &str, body: &str) -> Response<Reply> {
        let answered = match (method, path) {
            (&Method::GET, "/api/schema") => {
                Ok(respond(StatusCode::OK, "application/json", SCHEMA.into()))
            }
            (&Method::GET, "/api/document") => self.document().await,
            (&Method::GET, "/api/status") => self.status().await,
            (&Method::POST, "/api/check") => self.check(body).await,
            (&Method::POST, "/api/apply") => self.apply(body).await,
            (&Method::POST, "/api/rebase") => Ok(redo(body)),
            (&Method::POST, "/api/keys") => Ok(new_key()),
            _ => Ok(no_such_path()),
        };
        answered.unwrap_or_else(|error| unavailable(&error, path == "/api/apply"))
    }

    async fn in_force(&self) -> Result<AcceptedDocument, ControlCallError> {
        let get = |client: jsonrpsee::http_client::HttpClient| async move { client.get().await };
        self.0.call(CALL_TIMEOUT_MS, TOTAL_TIMEOUT_MS, get).await
    }

    async fn document(&self) -> Result<Response<Reply>, ControlCallError> {
        Ok(json_reply(StatusCode::OK, &drawn(&self.in_force().await?)))
    }

    async fn status(&self) -> Result<Response<Reply>, ControlCallError> {
        let status =
            |client: jsonrpsee::http_client::HttpClient| async move { client.status().await };
        let status = self
            .0
            .call(CALL_TIMEOUT_MS, TOTAL_TIMEOUT_MS, status)
            .await?;
        Ok(json_reply(StatusCode::OK, &status))
    }

    /// Lays a draft out as YAML, compares it to the document in force, and checks it.
    async fn check(&self, draft: &str) -> Result<Response<Reply>, ControlCallError> {
        let draft: Value = match serde_json::from_str(draft) {
            Ok(draft) => draft,
            Err(error) => return Ok(bad_request(&error)),
        };
        let in_force = self.in_force().await?;
        let (before, yaml) = (lay_out(&value_of(&in_force)), lay_out(&draft));
        let checked = Policy::compile(DocumentVersion(0), &yaml);
        let answer = json!({
            "version": in_force.version,
            "diff": compare(&before, &yaml),
            "loses_comments": before != in_force.yaml && in_force.version > DocumentVersion(0),
            "faults": checked.err().map_or(Vec::new(), |errors| errors.0),
            "yaml": yaml,
        });
        Ok(json_reply(StatusCode::OK, &answer))
    }

    async fn apply(&self, body: &str) -> Result<Response<Reply>, ControlCallError> {
        let edit: Edit = match serde_json::from_str(body) {
            Ok(edit) => edit,
            Err(error) => return Ok(bad_request(&error)),
        };
        let (id, expected, yaml) = (edit.change, edit.expected, lay_out(&edit.document));
        let applied = self.0.call(CALL_TIMEOUT_MS, TOTAL_TIMEOUT_MS, |client| {
            let (id, yaml) = (id.clone(), yaml.clone());
            async move { client.apply(id, expected, yaml).await }
        });
        match applied.await? {
            ApplyReply::Applied(version) => {
                tracing::info!("console: change {id} is accepted as version {version}");
                let answer = json!({"outcome": "applied", "version": version});
                Ok(json_reply(StatusCode::OK, &answer))
            }
            ApplyReply::Lost { current, winner } => {
                let answer = json!({
                    "outcome": "lost",
                    "current": current,
                    "winner": winner,
                    "in_force": drawn(&self.in_force().await?),
                });
                Ok(json_reply(StatusCode::CONFLICT, &answer))
            }
            ApplyReply::ChangeReused => Ok(refuse(
                StatusCode::CONFLICT,
                "change-reused",
                "this change id was used for another document; check and apply again",
            )),
        }
    }
}

/// The document itself; an empty one before the first is accepted.
fn value_of(document: &AcceptedDocument) -> Value {
    let empty = json!({"format": 1, "tiers": [], "services": [], "customers": [], "rules": []});
    let value: Option<Value> = serde_norway::from_str(&document.yaml).ok();
    value.filter(Value::is_object).unwrap_or(empty)
}

/// A document with its version, as the forms show it.
fn drawn(document: &AcceptedDocument) -> Value {
    json!({
        "version": document.version,
        "change": document.change,
        "document": value_of(document),
    })
}

fn redo(body: &str) -> Response<Reply> {
    match serde_json::from_str::<Rebase>(body) {
        Ok(edit) => {
            let rebased = rebase(&edit.base, &edit.mine, &edit.theirs);
            json_reply(StatusCode::OK, &rebased)
        }
        Err(error) => bad_request(&error),
    }
}

/// Draws an API key for a customer. It is not kept: only its hash is in the document.
fn new_key() -> Response<Reply> {
    let mut random = [0; API_KEY_BYTES];
    if let Err(error) = getrandom::fill(&mut random) {
        let message = format!("no random numbers are to be had: {error}");
        return refuse(StatusCode::INTERNAL_SERVER_ERROR, "no-random", &message);
    }
    let api_key = format!("gc-{}", hexadecimal(&random));
    let key_sha256 = hexadecimal(&Sha256::digest(api_key.as_bytes()));
    let answer = json!({"api_key": api_key, "key_sha256": key_sha256});
    json_reply(StatusCode::OK, &answer)
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn bad_request(error: &serde_json::Error) -> Response<Reply> {
    let message = format!("the request is not what is expected: {error}");
    refuse(StatusCode::BAD_REQUEST, "bad-request", &message)
}

fn invalid(errors: &ValidationErrors) -> Response<Reply> {
    let answer = json!({"outcome": "invalid", "faults": errors});
    json_reply(StatusCode::UNPROCESSABLE_ENTITY, &answer)
}

fn unavailable(error: &ControlCallError, is_change: bool) -> Response<Reply> {
    let message = match error {
        ControlCallError::Refused(ControlError::Invalid(errors)) => return invalid(errors),
        error if is_change => {
            format!("{error}; the change may be accepted: send the same one again")
        }
        error => error.to_string(),
    };
    refuse(StatusCode::SERVICE_UNAVAILABLE, "no-leader", &message)
}
