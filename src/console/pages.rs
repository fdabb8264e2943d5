//! The console's page, compiled into the program.

use super::server::{Reply, respond};
use hyper::{Response, StatusCode, header::HeaderValue};

const HTML: &str = include_str!("console.html");
const CSS: &str = include_str!("console.css");
const SCRIPT: &str = include_str!("console.js");
/// Only what the console itself serves is loaded, and nobody may frame it.
const CONTENT_SECURITY_POLICY: &str = "default-src 'none'; script-src 'self'; style-src 'self'; \
                                       connect-src 'self'; img-src data:; form-action 'none'; \
                                       base-uri 'none'; frame-ancestors 'none'";

/// The page or one of its parts; `None` for any other path.
pub fn page(path: &str) -> Option<Response<Reply>> {
    let (kind, text) = match path {
        "/" => ("text/html; charset=utf-8", HTML),
        "/console.css" => ("text/css; charset=utf-8", CSS),
        "/console.js" => ("text/javascript; charset=utf-8", SCRIPT),
        _ => return None,
    };
    let mut response = respond(StatusCode::OK, kind, text.into());
    let policy = HeaderValue::from_static(CONTENT_SECURITY_POLICY);
    response
        .headers_mut()
        .insert("content-security-policy", policy);
    Some(response)
}
