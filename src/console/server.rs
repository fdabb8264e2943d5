//! A running console.

use super::{api::Api, pages, sign_in::SignIns};
use crate::{control::ControlClient, http_server::HttpServer, settings::ConsoleSettings};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, body::Incoming, header::HeaderValue,
};
use serde_json::json;
use std::{io, net::SocketAddr, sync::Arc};

/// The longest request, in bytes: a document.
const REQUEST_LIMIT_BYTES: usize = 8 * 1024 * 1024;
/// Set by the console's own script; a page of another site cannot set it.
const OWN_HEADER: &str = "guavacove-console";

/// The body of a response.
pub type Reply = Full<Bytes>;

/// Why a console cannot start.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("the console cannot listen at {address}: {error}")]
pub struct ConsoleStartError {
    /// The address.
    pub address: SocketAddr,
    /// What the operating system says.
    pub error: io::Error,
}

/// A running console.
pub struct Console(HttpServer);

struct Shared {
    api: Api,
    sign_ins: SignIns,
}

impl Console {
    /// Binds the address and starts; changes go through `client`.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub async fn bind(
        settings: &ConsoleSettings,
        client: Arc<ControlClient>,
    ) -> Result<Self, ConsoleStartError> {
        let shared = Arc::new(Shared {
            api: Api::new(client),
            sign_ins: SignIns::new(settings.token.clone()),
        });
        let handle = move |request| {
            let shared = Arc::clone(&shared);
            async move { shared.answer(request).await }
        };
        let address = settings.listen;
        let server = HttpServer::bind(address, "console", handle)
            .await
            .map_err(|error| ConsoleStartError { address, error })?;
        tracing::info!("console: listens at {}", server.address());
        Ok(Self(server))
    }

    /// Where operators' browsers connect.
    pub fn address(&self) -> SocketAddr {
        self.0.address()
    }

    /// Finishes every request and stops.
    pub async fn shutdown(self) {
        self.0.shutdown().await;
    }
}

impl Shared {
    async fn answer(&self, request: Request<Incoming>) -> Response<Reply> {
        let cookies = text(request.headers(), "cookie").to_string();
        let path = request.uri().path().to_string();
        let signed_in = self.sign_ins.knows(&cookies);
        match (request.method().clone(), path.as_str()) {
            (Method::GET, path) if !path.starts_with("/api/") => {
                pages::page(path).unwrap_or_else(no_such_path)
            }
            (Method::POST, _) if !is_same_site(request.headers()) => refuse(
                StatusCode::FORBIDDEN,
                "cross-site",
                "this did not come from the console's own page",
            ),
            (Method::POST, "/sign-in") => self.sign_in(request).await,
            (Method::POST, "/sign-out") => with_cookie(
                json_reply(StatusCode::OK, &json!({})),
                &self.sign_ins.sign_out(&cookies),
            ),
            _ if !signed_in => refuse(
                StatusCode::UNAUTHORIZED,
                "signed-out",
                "sign in with the console's token, which is in the settings of this control \
                 instance",
            ),
            (method, path) => match read(request).await {
                Ok(body) => self.api.answer(&method, path, &body).await,
                Err(refused) => *refused,
            },
        }
    }

    async fn sign_in(&self, request: Request<Incoming>) -> Response<Reply> {
        let body = match read(request).await {
            Ok(body) => body,
            Err(refused) => return *refused,
        };
        let parsed: serde_json::Value = serde_json::from_str(&body).unwrap_or_default();
        let token = parsed["token"].as_str().unwrap_or_default();
        match self.sign_ins.sign_in(token) {
            Some(cookie) => with_cookie(json_reply(StatusCode::OK, &json!({})), &cookie),
            None => {
                tracing::warn!("console: a sign-in with a wrong token was refused");
                refuse(
                    StatusCode::UNAUTHORIZED,
                    "wrong-token",
                    "the token is wrong",
                )
            }
        }
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default()
}

/// Whether a request comes from the console's own page, as far as a browser tells.
fn is_same_site(headers: &HeaderMap) -> bool {
    let (origin, host) = (text(headers, "origin"), text(headers, "host"));
    let origin_host = origin.split_once("://").map_or("", |(_, host)| host);
    let same_origin = origin.is_empty() || origin_host == host;
    let fetch_site = text(headers, "sec-fetch-site");
    let same_site = matches!(fetch_site, "" | "same-origin");
    headers.contains_key(OWN_HEADER) && same_origin && same_site
}

async fn read(request: Request<Incoming>) -> Result<String, Box<Response<Reply>>> {
    let body = Limited::new(request.into_body(), REQUEST_LIMIT_BYTES).collect();
    let unusable = |message: &str| {
        let refused = refuse(StatusCode::BAD_REQUEST, "bad-request", message);
        Box::new(refused)
    };
    let bytes = body
        .await
        .map_err(|error| unusable(&format!("the request cannot be read: {error}")))?
        .to_bytes();
    String::from_utf8(bytes.to_vec()).map_err(|_| unusable("the request is not UTF-8"))
}

/// A response that browsers neither keep nor interpret otherwise.
pub fn respond(status: StatusCode, kind: &'static str, body: Bytes) -> Response<Reply> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let headers = [
        ("content-type", kind),
        ("cache-control", "no-store"),
        ("x-content-type-options", "nosniff"),
        ("referrer-policy", "no-referrer"),
    ];
    for (name, value) in headers {
        response
            .headers_mut()
            .insert(name, HeaderValue::from_static(value));
    }
    response
}

/// A response in JSON.
pub fn json_reply(status: StatusCode, value: &impl serde::Serialize) -> Response<Reply> {
    let text = serde_json::to_string(value).unwrap_or_default();
    respond(status, "application/json", text.into())
}

/// A refusal: a stable word, and a message to the operator.
pub fn refuse(status: StatusCode, reason: &str, message: &str) -> Response<Reply> {
    json_reply(status, &json!({"reason": reason, "message": message}))
}

/// The refusal of an unknown path.
pub fn no_such_path() -> Response<Reply> {
    refuse(
        StatusCode::NOT_FOUND,
        "no-such-path",
        "there is no such page",
    )
}

fn with_cookie(mut response: Response<Reply>, cookie: &str) -> Response<Reply> {
    if let Ok(value) = HeaderValue::from_str(cookie) {
        response.headers_mut().insert("set-cookie", value);
    }
    response
}
