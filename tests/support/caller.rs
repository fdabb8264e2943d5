//! An HTTP client that sends callers' requests and reads complete responses.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request, client::conn::http1};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

const CALL_TIMEOUT: Duration = Duration::from_mins(1);

#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if no response arrived.
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Whether the body is complete by HTTP's framing.
    pub whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }

    pub fn verdict(&self) -> &str {
        self.header("guavacove-verdict")
    }

    pub fn id(&self) -> &str {
        self.header("guavacove-request-id")
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    pub fn reason(&self) -> String {
        self.json()["error"]["reason"]
            .as_str()
            .unwrap_or_default()
            .into()
    }

    /// Whether this is a complete token stream with exactly the stand-in engine's bytes for
    /// this request id.
    pub fn is_whole_stream(&self, tokens: u64) -> bool {
        let event = |position| {
            let text = guavacove::standin::token_text(self.id(), position);
            let choice = json!({"index": 0, "text": text, "finish_reason": null});
            format!(
                "data: {}\n\n",
                json!({"id": self.id(), "choices": [choice]})
            )
        };
        let expected: String = (0..tokens).map(event).collect();
        self.whole && self.text() == format!("{expected}data: [DONE]\n\n")
    }
}

#[derive(Clone)]
pub struct Caller {
    pub entry: SocketAddr,
    pub api_key: &'static str,
}

impl Caller {
    pub fn new(entry: SocketAddr, api_key: &'static str) -> Self {
        Self { entry, api_key }
    }

    pub async fn send(&self, method: &str, path: &str, key: Option<&str>, body: &str) -> Answer {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "guavacove")
            .header("authorization", format!("Bearer {}", self.api_key));
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        fetch(
            self.entry,
            request
                .body(Full::new(Bytes::from(body.to_string())))
                .unwrap(),
        )
        .await
    }

    pub async fn complete(&self, prompt: &str, max_tokens: u64, stream: bool) -> Answer {
        let body = json!({
            "model": "draft-large", "prompt": prompt, "max_tokens": max_tokens, "stream": stream,
        });
        self.send("POST", "/v1/completions", None, &body.to_string())
            .await
    }

    pub async fn file(&self, key: &str) -> Answer {
        let body = format!("notice {key}");
        self.send("POST", "/services/filings/notices", Some(key), &body)
            .await
    }
}

/// Sends one request on a new connection and reads the complete response.
pub async fn fetch(address: SocketAddr, request: Request<Full<Bytes>>) -> Answer {
    let mut response = Answer::default();
    let _ = timeout(CALL_TIMEOUT, exchange(address, request, &mut response)).await;
    response
}

async fn exchange(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    response: &mut Answer,
) -> Option<()> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    receive(&mut sender, request, response).await
}

/// Sends a request on a connection; `answer` receives the response as far as it arrives.
pub async fn receive(
    sender: &mut http1::SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
    answer: &mut Answer,
) -> Option<()> {
    let mut response = sender.send_request(request).await.ok()?;
    answer.status = response.status().as_u16();
    answer.headers = response.headers().clone();
    let mut reading = Reading {
        body: Vec::new(),
        answer,
    };
    while let Some(frame) = response.frame().await {
        let data = frame.ok()?.into_data().unwrap_or_default();
        reading.body.extend_from_slice(&data);
    }
    reading.answer.whole = true;
    Some(())
}

/// A body that is being read; the answer gets it at the end, also if the reader is dropped.
struct Reading<'a> {
    body: Vec<u8>,
    answer: &'a mut Answer,
}

impl Drop for Reading<'_> {
    fn drop(&mut self) {
        self.answer.body = std::mem::take(&mut self.body).into();
    }
}

/// How a response ended that was read from the socket, without a client that interprets it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RawEnd {
    /// Its length was reached, or its last chunk came: it claims to be whole.
    Complete,
    /// It has neither a length nor chunks, and its connection was closed.
    Closed,
    /// The connection was reset, or closed before the length or the last chunk.
    Broken,
    /// There was no response.
    None,
}

/// A response as it was read from the socket.
#[derive(Clone, Debug)]
pub struct RawAnswer {
    pub head: String,
    /// The body without the framing of its chunks, as far as it came.
    pub text: String,
    pub end: RawEnd,
}

impl RawAnswer {
    pub fn status(&self) -> u16 {
        let status = self.head.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Sends a request as it stands on a new connection, and reads the response from the socket.
pub async fn fetch_raw(address: SocketAddr, request: &str) -> RawAnswer {
    let mut bytes = Vec::new();
    let reading = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(request.as_bytes()).await.ok()?;
        loop {
            match stream.read_buf(&mut bytes).await {
                Ok(0) => return Some(true),
                Ok(_) if parse_raw(&bytes, None).end == RawEnd::Complete => return Some(true),
                Ok(_) => {}
                Err(_) => return Some(false),
            }
        }
    };
    let is_closed = timeout(CALL_TIMEOUT, reading).await.ok().flatten();
    parse_raw(&bytes, is_closed)
}

/// Reads a response; `is_closed` tells whether its connection was closed or reset, if it ended.
fn parse_raw(bytes: &[u8], is_closed: Option<bool>) -> RawAnswer {
    let all = String::from_utf8_lossy(bytes).into_owned();
    let Some((head, body)) = all.split_once("\r\n\r\n") else {
        return RawAnswer {
            head: all,
            text: String::new(),
            end: RawEnd::None,
        };
    };
    let lines = head.lines().skip(1).filter_map(|line| line.split_once(':'));
    let field = |wanted: &str| {
        let mut fields = lines
            .clone()
            .filter(|(name, _)| name.eq_ignore_ascii_case(wanted));
        fields.next().map(|(_, value)| value.trim().to_string())
    };
    let length: Option<usize> = field("content-length").and_then(|value| value.parse().ok());
    let status = head.split(' ').nth(1).unwrap_or_default();
    let (text, is_complete) = match length {
        _ if matches!(status, "204" | "304") => (String::new(), true),
        _ if field("transfer-encoding").is_some() => decode_chunks(body),
        Some(length) => (body.chars().take(length).collect(), body.len() >= length),
        None => (body.to_string(), false),
    };
    let is_framed = length.is_some() || field("transfer-encoding").is_some();
    RawAnswer {
        head: head.into(),
        text,
        end: match (is_complete, is_closed) {
            (true, _) => RawEnd::Complete,
            (false, Some(true)) if !is_framed => RawEnd::Closed,
            (false, _) => RawEnd::Broken,
        },
    }
}

/// Returns the text of the chunks, and whether the last one is among them.
fn decode_chunks(mut rest: &str) -> (String, bool) {
    let mut text = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let size = usize::from_str_radix(size.split(';').next().unwrap_or_default(), 16);
        match size {
            Ok(0) => return (text, after.starts_with("\r\n")),
            Ok(size) if after.len() >= size + 2 && after.is_char_boundary(size) => {
                text.push_str(&after[..size]);
                rest = &after[size + 2..];
            }
            _ => {
                text.push_str(after);
                return (text, false);
            }
        }
    }
    (text, false)
}
