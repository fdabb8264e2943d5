//! Calls to the target beside the agent.

use super::{Announcement, LoadReport, answer::Answer, answer::Ending};
use crate::{
    control::command::{Outcome, RecordedAnswer},
    telemetry,
    units::RequestId,
    verdict::{Reason, Verdict},
    wire::Dispatched,
};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use std::{net::SocketAddr, time::Duration};
use tokio::{
    net::TcpStream,
    time::{sleep, timeout},
};

/// The header that names a request to an engine, for cancel and resume.
pub const REQUEST_ID: &str = "guavacove-request-id";
/// How long a connection to the target may take to be made.
const CONNECT_TIMEOUT_MS: u64 = 1000;
/// How long an engine may be silent before it is asked for the rest of an answer on
/// a new connection, as the old one may have gone silent for good.
const ENGINE_SILENCE_MS: u64 = 2000;
/// How long an engine may take to begin the rest of an answer.
const RESUME_TIMEOUT_MS: u64 = 2000;
/// How long an engine may take to report its load.
const LOAD_TIMEOUT_MS: u64 = 500;
/// How long a target may take to accept an order.
const ORDER_TIMEOUT_MS: u64 = 2000;
/// How often an answer that breaks, or an engine that does not resume it, is tried
/// again before the answer is given up.
const RESUMES: u32 = 3;
/// The longest answer that is kept for a resend.
pub const RECORDED_BYTES: usize = 16 * 1024;
/// The end of a whole token stream.
const DONE_MARK: &[u8] = b"data: [DONE]";
const TAIL_BYTES: usize = 64;

/// Why a call failed, and whether the request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CallError(Verdict);

/// Sends a request on a new connection.
async fn send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, CallError> {
    let connecting = TcpStream::connect(address);
    let connected = timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), connecting).await;
    let Ok(Ok(stream)) = connected else {
        return Err(CallError(Verdict::NotRun));
    };
    let _ = stream.set_nodelay(true);
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|_| CallError(Verdict::NotRun))?;
    tokio::spawn(connection);
    sender
        .send_request(request)
        .await
        .map_err(|_| CallError(Verdict::MayHaveRun))
}

/// The message to the target, in the current span; `None` if it is malformed.
pub fn prepare(
    request: RequestId,
    address: SocketAddr,
    head: &Dispatched,
) -> Option<Request<Full<Bytes>>> {
    let mut builder = Request::builder()
        .method(head.method.as_str())
        .uri(head.path.as_str());
    for (name, value) in &head.headers {
        builder = builder.header(name.as_str(), value.as_ref());
    }
    if !head.headers.iter().any(|(name, _)| name == "host") {
        builder = builder.header("host", address.to_string());
    }
    builder = builder.header(REQUEST_ID, request.to_string());
    let traceparent = telemetry::traceparent(&tracing::Span::current());
    if let Some(traceparent) = traceparent.as_ref().or(head.traceparent.as_ref()) {
        builder = builder.header(telemetry::TRACEPARENT, traceparent);
    }
    builder.body(Full::new(head.body.clone())).ok()
}

/// Headers that concern one connection only.
pub fn is_hop_by_hop(name: &str) -> bool {
    matches!(
        name,
        "connection"
            | "keep-alive"
            | "proxy-authenticate"
            | "proxy-authorization"
            | "proxy-connection"
            | "te"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
    )
}

/// The end-to-end headers of a message.
pub fn end_to_end(headers: &hyper::HeaderMap) -> Vec<(String, Bytes)> {
    let named = headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok());
    let named: Vec<String> = named
        .flat_map(|value| {
            value
                .split(',')
                .map(|name| name.trim().to_ascii_lowercase())
        })
        .collect();
    headers
        .iter()
        .filter(|(name, _)| !is_hop_by_hop(name.as_str()))
        .filter(|(name, _)| !named.iter().any(|hop| hop == name.as_str()))
        .map(|(name, value)| (name.to_string(), Bytes::copy_from_slice(value.as_bytes())))
        .collect()
}

/// The progress of an answer's body.
struct Body {
    crc: crc32fast::Hasher,
    length: u64,
    tail: Vec<u8>,
    kept: Vec<u8>,
}

impl Body {
    fn take(&mut self, bytes: &[u8], keep: bool) {
        self.crc.update(bytes);
        self.length += bytes.len() as u64;
        self.tail
            .extend_from_slice(&bytes[bytes.len().saturating_sub(TAIL_BYTES)..]);
        let surplus = self.tail.len().saturating_sub(TAIL_BYTES);
        self.tail.drain(..surplus);
        if keep && self.kept.len() <= RECORDED_BYTES {
            self.kept.extend_from_slice(bytes);
        }
    }

    fn has_done_mark(&self) -> bool {
        self.tail
            .windows(DONE_MARK.len())
            .any(|window| window == DONE_MARK)
    }
}

/// How reading one response ended.
enum Read {
    Whole,
    Broken,
    /// Nothing came for a while.
    Silent,
    Cancelled,
}

/// What became of a message to the target.
enum Sent {
    Answered(Response<Incoming>),
    Failed(CallError),
    Cancelled,
}

/// Sends a request and waits for the head of its answer.
async fn begin(
    announcement: &Announcement,
    request: RequestId,
    message: Request<Full<Bytes>>,
    answer: &Answer,
    keep: bool,
) -> Sent {
    let sending = send(announcement.address, message);
    tokio::pin!(sending);
    loop {
        let silence = sleep(Duration::from_millis(ENGINE_SILENCE_MS));
        tokio::select! {
            sent = &mut sending => return match sent {
                Ok(response) => Sent::Answered(response),
                Err(error) => Sent::Failed(error),
            },
            () = answer.cancelled(), if !keep => return Sent::Cancelled,
            () = silence, if announcement.is_engine => {
                if let Ok(resumed) = resume(announcement, request, 0).await {
                    return Sent::Answered(resumed);
                }
            }
        }
    }
}

/// Dispatches a request and passes the answer on; returns what became of it.
pub async fn run(
    announcement: &Announcement,
    request: RequestId,
    message: Request<Full<Bytes>>,
    head: &Dispatched,
    answer: &Answer,
) -> Outcome {
    let keep = head.keep_outcome;
    let mut response = match begin(announcement, request, message, answer, keep).await {
        Sent::Answered(response) => response,
        Sent::Failed(CallError(verdict)) => {
            answer.end(Ending::Failed(verdict, Reason::TargetFailed));
            return match verdict {
                Verdict::NotRun => Outcome::NotRun,
                _ => Outcome::MayHaveRun,
            };
        }
        Sent::Cancelled => {
            cancel(announcement, request);
            answer.end(Ending::Failed(Verdict::MayHaveRun, Reason::TargetFailed));
            return Outcome::MayHaveRun;
        }
    };
    let status = response.status().as_u16();
    let headers = end_to_end(response.headers());
    let is_stream = headers
        .iter()
        .any(|(name, value)| name == "content-type" && value.starts_with(b"text/event-stream"));
    answer.set_head(status, headers.clone());
    let mut body = Body {
        crc: crc32fast::Hasher::new(),
        length: 0,
        tail: Vec::new(),
        kept: Vec::new(),
    };
    let mut failures = 0;
    loop {
        let waits = keep || !announcement.is_engine;
        let read = read(&mut response, answer, &mut body, keep, waits).await;
        let whole = matches!(read, Read::Whole)
            && (!announcement.is_engine || !is_stream || body.has_done_mark());
        match read {
            _ if whole => break,
            Read::Cancelled => {
                cancel(announcement, request);
                answer.end(Ending::Failed(Verdict::MayHaveRun, Reason::TargetFailed));
                return Outcome::MayHaveRun;
            }
            Read::Silent if failures < RESUMES => {
                match resume(announcement, request, body.length).await {
                    Ok(resumed) => (response, failures) = (resumed, 0),
                    Err(_) => failures += 1,
                }
            }
            _ if announcement.is_engine && failures < RESUMES => {
                failures += 1;
                match resume(announcement, request, body.length).await {
                    Ok(resumed) => response = resumed,
                    Err(_) => failures = RESUMES,
                }
            }
            _ => {
                answer.end(Ending::Failed(Verdict::MayHaveRun, Reason::TargetFailed));
                return Outcome::MayHaveRun;
            }
        }
    }
    answer.end(Ending::Whole {
        crc: body.crc.finalize(),
    });
    match body.kept.len() <= RECORDED_BYTES {
        true => Outcome::Answered(RecordedAnswer {
            status,
            headers: headers
                .into_iter()
                .map(|(name, value)| (name, String::from_utf8_lossy(&value).into_owned()))
                .collect(),
            body: body.kept,
        }),
        false => Outcome::AnsweredLong,
    }
}

/// Reads a response until it ends, breaks or, unless it `waits`, is silent.
async fn read(
    response: &mut Response<Incoming>,
    answer: &Answer,
    body: &mut Body,
    keep: bool,
    waits: bool,
) -> Read {
    loop {
        let frame = tokio::select! {
            frame = timeout(Duration::from_millis(ENGINE_SILENCE_MS), response.frame()) => frame,
            () = answer.cancelled(), if !keep => return Read::Cancelled,
        };
        match frame {
            Ok(Some(Ok(frame))) => {
                if let Ok(bytes) = frame.into_data() {
                    body.take(&bytes, keep);
                    answer.push(bytes).await;
                }
            }
            Ok(None) => return Read::Whole,
            Ok(Some(Err(_))) => return Read::Broken,
            Err(_) if waits => {}
            Err(_) => return Read::Silent,
        }
    }
}

fn engine_request(method: Method, request: RequestId, query: &str) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(format!("/v1/requests/{request}{query}"))
        .header("host", "engine")
        .body(Full::default())
        .expect("an id and a number make a valid path")
}

/// Asks the engine for the rest of an answer on a new connection.
async fn resume(
    announcement: &Announcement,
    request: RequestId,
    offset: u64,
) -> Result<Response<Incoming>, CallError> {
    tracing::warn!("agent: resumes {request} at byte {offset}");
    let message = engine_request(Method::GET, request, &format!("?offset={offset}"));
    let sending = send(announcement.address, message);
    match timeout(Duration::from_millis(RESUME_TIMEOUT_MS), sending).await {
        Ok(Ok(response)) if response.status().is_success() => Ok(response),
        _ => Err(CallError(Verdict::MayHaveRun)),
    }
}

/// Whether the target accepts an order.
pub async fn accepts(address: SocketAddr, order: Request<Full<Bytes>>) -> bool {
    let answered = timeout(
        Duration::from_millis(ORDER_TIMEOUT_MS),
        send(address, order),
    )
    .await;
    answered.is_ok_and(|answer| answer.is_ok_and(|response| response.status().is_success()))
}

/// The load that an engine reports; `None` if it reports none.
pub async fn load(address: SocketAddr) -> Option<LoadReport> {
    let question = Request::get("/load").header("host", "engine");
    let sending = send(address, question.body(Full::default()).ok()?);
    let response = timeout(Duration::from_millis(LOAD_TIMEOUT_MS), sending).await;
    let body = response.ok()?.ok()?.into_body().collect().await.ok()?;
    serde_json::from_slice(&body.to_bytes()).ok()
}

/// Tells the engine that nobody waits for an answer any more.
fn cancel(announcement: &Announcement, request: RequestId) {
    if announcement.is_engine {
        let address = announcement.address;
        let message = engine_request(Method::DELETE, request, "");
        tokio::spawn(async move { send(address, message).await.map(drop) });
    }
}
