//! The static files of the console, compiled into the binary.

use super::server::{ResponseBody, response};
use hyper::{Response, StatusCode, header::HeaderValue};

const HTML: &str = include_str!("console.html");
const CSS: &str = include_str!("console.css");
const SCRIPT: &str = include_str!("console.js");
/// Restricts the page to resources that the console serves, and forbids framing it.
const CONTENT_SECURITY_POLICY: &str = "default-src 'none'; script-src 'self'; style-src 'self'; \
                                       connect-src 'self'; img-src data:; form-action 'none'; \
                                       base-uri 'none'; frame-ancestors 'none'";

/// The page, its style sheet or its script; `None` for any other path.
pub fn page(path: &str) -> Option<Response<ResponseBody>> {
    let (content_type, text) = match path {
        "/" => ("text/html; charset=utf-8", HTML),
        "/console.css" => ("text/css; charset=utf-8", CSS),
        "/console.js" => ("text/javascript; charset=utf-8", SCRIPT),
        _ => return None,
    };
    let mut response = response(StatusCode::OK, content_type, text.into());
    let policy = HeaderValue::from_static(CONTENT_SECURITY_POLICY);
    response
        .headers_mut()
        .insert("content-security-policy", policy);
    Some(response)
}
