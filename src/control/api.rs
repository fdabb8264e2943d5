//! What operators and targets ask of a control instance, in a protocol of their own.
//!
//! An [`ApiDialect`] decodes calls and encodes answers. An instance that does not lead
//! refers its callers to the one that does.

use super::{
    command::{Command, Reply},
    directory::TargetAnnouncement,
    replica::{ReplicaMessage, ReplySender, check},
    roster::InstanceAddresses,
    rpc::ControlError,
};
use crate::{http_server::HttpServer, units::*};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, Response, StatusCode, body::Incoming, header};
use ractor::ActorRef;
use std::{io, net::SocketAddr, time::Duration};
use tokio::{sync::oneshot, time::timeout};

/// The longest body of a call, in bytes: a document with thousands of routes.
const BODY_LIMIT_BYTES: usize = 16 * 1024 * 1024;
/// How long a call may take; its caller asks another instance then.
const CALL_TIMEOUT_MS: u64 = 3000;

/// A call as the product understands it.
#[derive(Debug)]
pub enum ApiCall {
    /// Makes a document the one in force if its version is the highest so far.
    Apply {
        /// Chosen by the operator.
        version: DocumentVersion,
        /// The document.
        yaml: String,
        /// The text as it was sent.
        source: String,
    },
    /// Reads the document in force, as it was sent.
    Read,
    /// A target says what it is.
    Announce(Box<TargetAnnouncement>),
    /// A target says that it is gone.
    Withdraw(TargetName),
    /// The call cannot be understood, and why.
    Invalid(String),
    /// There is no such call.
    Unknown,
}

/// An answer as the product gives it.
#[derive(Debug)]
pub enum ApiReply {
    /// The document or a higher one is in force.
    Accepted(DocumentVersion),
    /// The text of the document in force.
    Document(String),
    /// The announcement is taken; the next ones are best sent to this address.
    Announced(SocketAddr),
    /// The withdrawal is taken.
    Withdrawn,
    /// The call is not valid, and why.
    Invalid(String),
    /// There is no such call.
    Unknown,
    /// Another instance answers this call.
    Elsewhere(SocketAddr),
    /// It cannot be answered at present, and why.
    Unavailable(String),
}

/// The protocol that operators and targets speak.
pub trait ApiDialect: Copy + Send + Sync + 'static {
    /// Decodes a call.
    fn decode(&self, method: &Method, path: &str, body: &[u8]) -> ApiCall;

    /// The JSON body of an answer.
    fn body(&self, reply: &ApiReply) -> String;
}

/// No protocol: every call is unknown.
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
) -> io::Result<HttpServer> {
    let handle = move |request: Request<Incoming>| {
        let replica = replica.clone();
        async move { answer(request, address, dialect, &replica).await }
    };
    HttpServer::bind(address, "control", handle).await
}

async fn answer<D: ApiDialect>(
    request: Request<Incoming>,
    own: SocketAddr,
    dialect: D,
    replica: &ActorRef<ReplicaMessage>,
) -> Response<Full<Bytes>> {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path();
    let limit = Duration::from_millis(CALL_TIMEOUT_MS);
    let call = async {
        match Limited::new(body, BODY_LIMIT_BYTES).collect().await {
            Ok(body) => {
                let call = dialect.decode(&parts.method, path, &body.to_bytes());
                carry_out(call, own, replica).await
            }
            Err(error) => ApiReply::Invalid(format!("the body did not come whole: {error}")),
        }
    };
    let late = || ApiReply::Unavailable(format!("no answer within {CALL_TIMEOUT_MS} ms"));
    let reply = timeout(limit, call).await.unwrap_or_else(|_| late());
    log(&parts.method, path, &reply);
    respond(&reply, path, dialect)
}

async fn carry_out(call: ApiCall, own: SocketAddr, replica: &ActorRef<ReplicaMessage>) -> ApiReply {
    match call {
        ApiCall::Apply {
            version,
            yaml,
            source,
        } => match check(&yaml) {
            Err(error) => ApiReply::Invalid(error.to_string()),
            Ok(()) => {
                let command = Command::ApplyHighest {
                    version,
                    yaml,
                    source,
                };
                match ask(replica, |sender| ReplicaMessage::Propose(command, sender)).await {
                    Ok(Reply::Applied(version)) => ApiReply::Accepted(version),
                    Ok(other) => ApiReply::Unavailable(format!("unexpected reply {other:?}")),
                    Err(error) => refusal(error),
                }
            }
        },
        ApiCall::Read => match ask(replica, ReplicaMessage::Get).await {
            Ok(document) => match document.source {
                Some(source) => ApiReply::Document(source),
                None => ApiReply::Unavailable("there is no document yet".into()),
            },
            Err(error) => refusal(error),
        },
        ApiCall::Announce(announcement) => {
            let message = |sender| ReplicaMessage::Announce(*announcement, sender);
            match ask(replica, message).await {
                Ok(()) => ApiReply::Announced(own),
                Err(error) => refusal(error),
            }
        }
        ApiCall::Withdraw(target) => {
            let message = |sender| ReplicaMessage::Withdraw(target, sender);
            match ask(replica, message).await {
                Ok(()) => ApiReply::Withdrawn,
                Err(error) => refusal(error),
            }
        }
        ApiCall::Invalid(message) => ApiReply::Invalid(message),
        ApiCall::Unknown => ApiReply::Unknown,
    }
}

async fn ask<T>(
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

fn refusal(error: ControlError) -> ApiReply {
    match error {
        ControlError::NotLeader(Some(InstanceAddresses { api: Some(api), .. })) => {
            ApiReply::Elsewhere(api)
        }
        ControlError::Invalid(faults) => ApiReply::Invalid(faults.to_string()),
        other => ApiReply::Unavailable(other.to_string()),
    }
}

fn log(method: &Method, path: &str, reply: &ApiReply) {
    match reply {
        ApiReply::Accepted(version) => {
            tracing::info!(%method, path, version = version.0, "control: document accepted");
        }
        ApiReply::Invalid(why) => tracing::warn!(%method, path, why, "control: call refused"),
        ApiReply::Unavailable(why) => {
            tracing::warn!(%method, path, why, "control: call not answered");
        }
        ApiReply::Document(_)
        | ApiReply::Announced(_)
        | ApiReply::Withdrawn
        | ApiReply::Unknown
        | ApiReply::Elsewhere(_) => tracing::debug!(%method, path, ?reply, "control: call"),
    }
}

fn respond<D: ApiDialect>(reply: &ApiReply, path: &str, dialect: D) -> Response<Full<Bytes>> {
    let status = match reply {
        ApiReply::Accepted(_)
        | ApiReply::Document(_)
        | ApiReply::Announced(_)
        | ApiReply::Withdrawn => StatusCode::OK,
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
