//! The HTTP API of a control instance for operators and targets.
//!
//! An [`ApiDialect`] decodes calls and encodes replies: it defines the paths and formats that
//! operators and targets use. An instance that is not the leader redirects callers to the leader.

use super::{
    command::{Command, Reply},
    directory::TargetAnnouncement,
    document_checks::DocumentChecks,
    replica::{ReplicaMessage, ReplySender, RolloutRequest, validate_version},
    rollouts::RolloutOrder,
    roster::InstanceAddresses,
    rpc::{ControlError, conflicting_rollout},
};
use crate::{http_server::HttpServer, rollout::Rollout, units::*};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, Response, StatusCode, body::Incoming, header};
use ractor::ActorRef;
use std::{io, net::SocketAddr, time::Duration};
use tokio::{sync::oneshot, time::timeout};

/// Maximum size of a call's body, in bytes: a document with thousands of routes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Maximum size of a body that is decoded at once, between other calls.
const MAX_INLINE_BYTES: usize = 64 * 1024;
/// Time limit of a call; its caller then tries another instance.
const CALL_TIMEOUT_MS: u64 = 3000;
/// Maximum length of a path and of an error in the log, in bytes.
const MAX_LOGGED_BYTES: usize = 2000;

/// A decoded call.
#[derive(Debug)]
pub enum ApiCall {
    /// Replaces the document if this version is the highest so far.
    Apply {
        /// Chosen by the operator.
        version: DocumentVersion,
        /// The document as YAML.
        yaml: String,
        /// The text as the operator sent it.
        source: String,
    },
    /// Reads the document in force, as the operator sent it.
    Read,
    /// Announces a target.
    Announce(Box<TargetAnnouncement>),
    /// Withdraws a target.
    Withdraw(TargetName),
    /// Orders a rollout.
    StartRollout(RolloutOrder),
    /// Reads the latest rollout of a service.
    ReadRollout(ServiceName),
    /// A value of the call is not valid, with the reason.
    Unprocessable(String),
    /// The call could not be decoded, with the reason.
    Invalid(String),
    /// Decoding the call failed for another reason.
    Failed(String),
    /// There is no such call.
    Unknown,
}

/// A reply to a call.
#[derive(Debug)]
pub enum ApiReply {
    /// The document or one with a higher version is in force.
    Accepted(DocumentVersion),
    /// The text of the document in force.
    Document(String),
    /// The announcement is accepted; later ones should be sent to this address.
    Announced(SocketAddr),
    /// The withdrawal is accepted.
    Withdrawn,
    /// The rollout is ordered.
    RolloutOrdered(RolloutOrder),
    /// The latest rollout of the service.
    Rollout(Box<Rollout>),
    /// A value of the call is not valid, with the reason.
    Unprocessable(String),
    /// The call conflicts with an earlier one, with the reason.
    Conflict(String),
    /// The call is not valid, with the reason.
    Invalid(String),
    /// There is no such call.
    Unknown,
    /// Redirects the caller to the instance at this address.
    Elsewhere(SocketAddr),
    /// The call cannot be answered at present, with the reason.
    Unavailable(String),
}

/// The paths and formats of the calls that operators and targets make, and of their replies.
pub trait ApiDialect: Copy + Send + Sync + 'static {
    /// Decodes a call.
    fn decode(&self, method: &Method, path: &str, body: &[u8]) -> ApiCall;

    /// Encodes a reply as JSON.
    fn body(&self, reply: &ApiReply) -> String;
}

/// A dialect without calls: every call is unknown, so the API is disabled.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoApi;

impl ApiDialect for NoApi {
    fn decode(&self, _method: &Method, _path: &str, _body: &[u8]) -> ApiCall {
        ApiCall::Unknown
    }

    fn body(&self, _reply: &ApiReply) -> String {
        String::new()
    }
}

/// Serves the API of an instance.
pub async fn serve<D: ApiDialect>(
    address: SocketAddr,
    dialect: D,
    replica: ActorRef<ReplicaMessage>,
    checks: DocumentChecks,
) -> io::Result<HttpServer> {
    let handle = move |request: Request<Incoming>| {
        let (replica, checks) = (replica.clone(), checks.clone());
        async move { handle_request(request, address, dialect, &replica, &checks).await }
    };
    HttpServer::bind(address, "control", handle).await
}

async fn handle_request<D: ApiDialect>(
    request: Request<Incoming>,
    own_address: SocketAddr,
    dialect: D,
    replica: &ActorRef<ReplicaMessage>,
    checks: &DocumentChecks,
) -> Response<Full<Bytes>> {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path();
    let limit = Duration::from_millis(CALL_TIMEOUT_MS);
    let call = async {
        match Limited::new(body, MAX_BODY_BYTES).collect().await {
            Ok(body) => {
                let body = body.to_bytes();
                let call = decode(parts.method.clone(), path, body, dialect, checks);
                execute(call.await, own_address, replica, checks).await
            }
            Err(error) => ApiReply::Invalid(format!("the body did not come whole: {error}")),
        }
    };
    let timed_out = || ApiReply::Unavailable(format!("no answer within {CALL_TIMEOUT_MS} ms"));
    let reply = timeout(limit, call).await.unwrap_or_else(|_| timed_out());
    log(&parts.method, path, &reply);
    respond(&reply, path, dialect)
}

/// Decodes a call; a long one on another thread.
async fn decode<D: ApiDialect>(
    method: Method,
    path: &str,
    body: Bytes,
    dialect: D,
    checks: &DocumentChecks,
) -> ApiCall {
    if body.len() <= MAX_INLINE_BYTES {
        return dialect.decode(&method, path, &body);
    }
    let path = path.to_string();
    let decoding = checks.run(move || dialect.decode(&method, &path, &body));
    let decoded = decoding.await;
    decoded.unwrap_or_else(|error| ApiCall::Failed(error.to_string()))
}

async fn execute(
    call: ApiCall,
    own_address: SocketAddr,
    replica: &ActorRef<ReplicaMessage>,
    checks: &DocumentChecks,
) -> ApiReply {
    match call {
        ApiCall::Apply {
            version,
            yaml,
            source,
        } => match validate(version, &yaml, checks).await {
            Err(error) => error_reply(error),
            Ok(()) => {
                let command = Command::ApplyHighest {
                    version,
                    yaml,
                    source,
                };
                match call_replica(replica, |sender| ReplicaMessage::Propose(command, sender)).await
                {
                    Ok(Reply::Applied(version)) => ApiReply::Accepted(version),
                    Ok(other) => ApiReply::Unavailable(format!("unexpected reply {other:?}")),
                    Err(error) => error_reply(error),
                }
            }
        },
        ApiCall::Read => match call_replica(replica, ReplicaMessage::GetDocument).await {
            Ok(document) => match document.source {
                Some(source) => ApiReply::Document(source),
                None => ApiReply::Unavailable("there is no document yet".into()),
            },
            Err(error) => error_reply(error),
        },
        ApiCall::Announce(announcement) => match announcement.check() {
            Err(error) => ApiReply::Invalid(error.to_string()),
            Ok(()) => {
                let message = |sender| ReplicaMessage::Announce(*announcement, sender);
                match call_replica(replica, message).await {
                    Ok(()) => ApiReply::Announced(own_address),
                    Err(error) => error_reply(error),
                }
            }
        },
        ApiCall::Withdraw(target) => {
            let message = |sender| ReplicaMessage::Withdraw(target, sender);
            match call_replica(replica, message).await {
                Ok(()) => ApiReply::Withdrawn,
                Err(error) => error_reply(error),
            }
        }
        ApiCall::StartRollout(order) => {
            let start =
                |sender| ReplicaMessage::Rollout(RolloutRequest::Start(order.clone(), sender));
            match call_replica(replica, start).await {
                Ok(Reply::Done) => ApiReply::RolloutOrdered(order),
                Ok(Reply::RolloutConflict) => error_reply(conflicting_rollout(&order.service)),
                Ok(other) => ApiReply::Unavailable(format!("unexpected reply {other:?}")),
                Err(error) => error_reply(error),
            }
        }
        ApiCall::ReadRollout(service) => {
            let read = |sender| ReplicaMessage::Rollout(RolloutRequest::Read(sender));
            match call_replica(replica, read).await {
                Ok(rollouts) => {
                    let mut rollouts = rollouts.into_iter();
                    let rollout = rollouts.find(|rollout| rollout.service == service);
                    rollout.map_or(ApiReply::Unknown, |rollout| {
                        ApiReply::Rollout(Box::new(rollout))
                    })
                }
                Err(error) => error_reply(error),
            }
        }
        ApiCall::Unprocessable(message) => ApiReply::Unprocessable(message),
        ApiCall::Invalid(message) => ApiReply::Invalid(message),
        ApiCall::Failed(message) => ApiReply::Unavailable(message),
        ApiCall::Unknown => ApiReply::Unknown,
    }
}

async fn validate(
    version: DocumentVersion,
    yaml: &str,
    checks: &DocumentChecks,
) -> Result<(), ControlError> {
    validate_version(version)?;
    checks.validate(yaml.to_string()).await
}

async fn call_replica<T>(
    replica: &ActorRef<ReplicaMessage>,
    message: impl FnOnce(ReplySender<T>) -> ReplicaMessage,
) -> Result<T, ControlError> {
    let (sender, reply) = oneshot::channel();
    let sent = replica.cast(message(sender));
    match (sent, reply.await) {
        (Ok(()), Ok(answer)) => answer,
        _ => Err(ControlError::Unresolved),
    }
}

fn error_reply(error: ControlError) -> ApiReply {
    match error {
        ControlError::NotLeader(Some(InstanceAddresses { api: Some(api), .. })) => {
            ApiReply::Elsewhere(api)
        }
        ControlError::Invalid(errors) => ApiReply::Invalid(errors.to_string()),
        ControlError::InvalidRollout(why) => ApiReply::Unprocessable(why),
        ControlError::RolloutConflict(why) => ApiReply::Conflict(why),
        other => ApiReply::Unavailable(other.to_string()),
    }
}

fn log(method: &Method, path: &str, reply: &ApiReply) {
    let path = shorten(path);
    match reply {
        ApiReply::Accepted(version) => {
            tracing::info!(%method, path, version = version.0, "control: document accepted");
        }
        ApiReply::RolloutOrdered(RolloutOrder {
            service,
            to,
            duration_ms,
        }) => tracing::info!(%service, %to, duration_ms, "control: rollout order accepted"),
        ApiReply::Invalid(why) | ApiReply::Unprocessable(why) | ApiReply::Conflict(why) => {
            let why = shorten(why);
            tracing::warn!(%method, path, why, "control: invalid API call");
        }
        ApiReply::Unavailable(why) => {
            tracing::warn!(%method, path, why, "control: API call not served");
        }
        ApiReply::Document(_)
        | ApiReply::Announced(_)
        | ApiReply::Withdrawn
        | ApiReply::Rollout(_)
        | ApiReply::Unknown
        | ApiReply::Elsewhere(_) => tracing::debug!(%method, path, ?reply, "control: API call"),
    }
}

/// The beginning of a caller's text, or of an error that quotes it.
fn shorten(text: &str) -> &str {
    &text[..text.floor_char_boundary(MAX_LOGGED_BYTES)]
}

fn respond<D: ApiDialect>(reply: &ApiReply, path: &str, dialect: D) -> Response<Full<Bytes>> {
    let status = match reply {
        ApiReply::Accepted(_)
        | ApiReply::Document(_)
        | ApiReply::Announced(_)
        | ApiReply::Withdrawn
        | ApiReply::RolloutOrdered(_)
        | ApiReply::Rollout(_) => StatusCode::OK,
        ApiReply::Unprocessable(_) => StatusCode::UNPROCESSABLE_ENTITY,
        ApiReply::Conflict(_) => StatusCode::CONFLICT,
        ApiReply::Invalid(_) => StatusCode::BAD_REQUEST,
        ApiReply::Unknown => StatusCode::NOT_FOUND,
        ApiReply::Elsewhere(_) => StatusCode::TEMPORARY_REDIRECT,
        ApiReply::Unavailable(_) => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut builder = Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, "application/json");
    if let ApiReply::Elsewhere(leader) = reply {
        builder = builder.header(header::LOCATION, format!("http://{leader}{path}"));
    }
    builder
        .body(Full::from(dialect.body(reply)))
        .expect("an address and a path of a request make a valid header")
}
