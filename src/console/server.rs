//! The console's HTTP server: routing, authentication and protection against cross-site
//! requests.

use super::{api::Api, pages, sign_in::Sessions};
use crate::{control::ControlClient, http_server::HttpServer, settings::ConsoleSettings};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, body::Incoming, header::HeaderValue,
};
use serde_json::json;
use std::{io, net::SocketAddr, sync::Arc};

/// Maximum size of a request body, which carries up to a whole document.
const MAX_REQUEST_BYTES: usize = 8 * 1024 * 1024;
/// Header that the console's own script sets; pages of other sites cannot set it.
const CSRF_HEADER: &str = "guavacove-console";

/// The body of a response.
pub type ResponseBody = Full<Bytes>;

/// The console could not bind its address.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("the console cannot listen at {address}: {error}")]
pub struct ConsoleStartError {
    /// The address to listen on.
    pub address: SocketAddr,
    /// The error of the operating system.
    pub error: io::Error,
}

/// A running console.
pub struct Console(HttpServer);

/// The state that all requests share.
struct Shared {
    api: Api,
    sessions: Sessions,
}

impl Console {
    /// Binds the address and starts serving; API calls are forwarded through `client`.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub async fn bind(
        settings: &ConsoleSettings,
        client: Arc<ControlClient>,
    ) -> Result<Self, ConsoleStartError> {
        let shared = Arc::new(Shared {
            api: Api::new(client),
            sessions: Sessions::new(settings.token.clone()),
        });
        let handle = move |request| {
            let shared = Arc::clone(&shared);
            async move { shared.handle(request).await }
        };
        let address = settings.listen;
        let server = HttpServer::bind(address, "console", handle)
            .await
            .map_err(|error| ConsoleStartError { address, error })?;
        tracing::info!("console: listening on {}", server.address());
        Ok(Self(server))
    }

    /// The address that the console listens on.
    pub fn address(&self) -> SocketAddr {
        self.0.address()
    }

    /// Completes open requests and stops.
    pub async fn shutdown(self) {
        self.0.shutdown().await;
    }
}

impl Shared {
    async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let cookies = header_text(request.headers(), "cookie").to_string();
        let path = request.uri().path().to_string();
        let signed_in = self.sessions.is_signed_in(&cookies);
        match (request.method().clone(), path.as_str()) {
            (Method::GET, path) if !path.starts_with("/api/") => {
                pages::page(path).unwrap_or_else(not_found)
            }
            (Method::POST, _) if !is_same_site(request.headers()) => error_response(
                StatusCode::FORBIDDEN,
                "cross-site",
                "this did not come from the console's own page",
            ),
            (Method::POST, "/sign-in") => self.sign_in(request).await,
            (Method::POST, "/sign-out") => with_cookie(
                json_response(StatusCode::OK, &json!({})),
                &self.sessions.sign_out(&cookies),
            ),
            _ if !signed_in => error_response(
                StatusCode::UNAUTHORIZED,
                "signed-out",
                "sign in with the console's token, which is in the settings of this control \
                 instance",
            ),
            (method, path) => match read_body(request).await {
                Ok(body) => self.api.handle(&method, path, &body).await,
                Err(error) => *error,
            },
        }
    }

    async fn sign_in(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let body = match read_body(request).await {
            Ok(body) => body,
            Err(error) => return *error,
        };
        let parsed: serde_json::Value = serde_json::from_str(&body).unwrap_or_default();
        let token = parsed["token"].as_str().unwrap_or_default();
        match self.sessions.sign_in(token) {
            Some(cookie) => with_cookie(json_response(StatusCode::OK, &json!({})), &cookie),
            None => {
                tracing::warn!("console: rejected a sign-in with a wrong token");
                error_response(
                    StatusCode::UNAUTHORIZED,
                    "wrong-token",
                    "the token is wrong",
                )
            }
        }
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default()
}

/// Whether a request comes from the console's own page, by the headers that browsers set.
fn is_same_site(headers: &HeaderMap) -> bool {
    let (origin, host) = (header_text(headers, "origin"), header_text(headers, "host"));
    let origin_host = origin.split_once("://").map_or("", |(_, host)| host);
    let same_origin = origin.is_empty() || origin_host == host;
    let fetch_site = header_text(headers, "sec-fetch-site");
    let same_site = matches!(fetch_site, "" | "same-origin");
    headers.contains_key(CSRF_HEADER) && same_origin && same_site
}

async fn read_body(request: Request<Incoming>) -> Result<String, Box<Response<ResponseBody>>> {
    let body = Limited::new(request.into_body(), MAX_REQUEST_BYTES).collect();
    let bad_request = |message: &str| {
        let response = error_response(StatusCode::BAD_REQUEST, "bad-request", message);
        Box::new(response)
    };
    let bytes = body
        .await
        .map_err(|error| bad_request(&format!("the request cannot be read: {error}")))?
        .to_bytes();
    String::from_utf8(bytes.to_vec()).map_err(|_| bad_request("the request is not UTF-8"))
}

/// A response that browsers neither cache nor interpret as another content type.
pub fn response(
    status: StatusCode,
    content_type: &'static str,
    body: Bytes,
) -> Response<ResponseBody> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let headers = [
        ("content-type", content_type),
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

/// A response with a JSON body.
pub fn json_response(status: StatusCode, value: &impl serde::Serialize) -> Response<ResponseBody> {
    let text = serde_json::to_string(value).unwrap_or_default();
    response(status, "application/json", text.into())
}

/// An error response with a stable, machine-readable reason and a message for the operator.
pub fn error_response(status: StatusCode, reason: &str, message: &str) -> Response<ResponseBody> {
    json_response(status, &json!({"reason": reason, "message": message}))
}

/// The error response to an unknown path.
pub fn not_found() -> Response<ResponseBody> {
    error_response(
        StatusCode::NOT_FOUND,
        "no-such-path",
        "there is no such page",
    )
}

fn with_cookie(mut response: Response<ResponseBody>, cookie: &str) -> Response<ResponseBody> {
    if let Ok(value) = HeaderValue::from_str(cookie) {
        response.headers_mut().insert("set-cookie", value);
    }
    response
}
