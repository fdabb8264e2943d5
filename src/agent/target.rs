//! HTTP client for calls from an agent to its target.

use super::{Announcement, LoadReport, response::BufferedResponse, response::Ending};
use crate::{
    control::command::{Outcome, RecordedResponse},
    gateway::events::EventBoundary,
    response_end::{self, ContentEnd, EndVerdict, Framing},
    response_head,
    stream_version::may_ask_for_rest,
    target_run::{self, AddressCheck, Listing, RunAfter, RunStatement, TargetRun},
    telemetry,
    units::{RequestId, TargetName},
    verdict::{Reason, Verdict},
    wire::DispatchedRequest,
};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, Response, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use std::{io, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    net::TcpStream,
    time::{sleep, timeout},
};

/// Header with the request id, by which an engine cancels and resumes requests.
pub const REQUEST_ID_HEADER: &str = "guavacove-request-id";
/// Header with the start of the run that answers, in Unix milliseconds.
pub const STARTED_HEADER: &str = "guavacove-target-started";
/// Timeout for connecting to the target.
const CONNECT_TIMEOUT_MS: u64 = 1000;
/// Time without data from an engine after which the response is resumed on a new connection,
/// as the old one may be dead.
const ENGINE_SILENCE_MS: u64 = 2000;
/// Timeout for an engine to start sending the rest of a response.
const RESUME_TIMEOUT_MS: u64 = 2000;
/// Timeout for the whole load report of an engine.
const LOAD_TIMEOUT_MS: u64 = 500;
/// Maximum size of a load report.
const MAX_LOAD_BYTES: usize = 64 * 1024;
/// Timeout for a target to tell its start.
const IDENTITY_TIMEOUT_MS: u64 = 1000;
/// Timeout for a target to accept an order.
const ORDER_TIMEOUT_MS: u64 = 2000;
/// Number of failures after which a response is reported as failed. While the engine is silent,
/// each failed resume request counts as one, and a successful one resets the count. A broken
/// response counts as one; if the resume request after it fails, the limit is reached at once.
const MAX_FAILURES: u32 = 3;
/// Maximum size of a response body that is recorded for idempotent retries.
pub const MAX_RECORDED_BYTES: usize = 16 * 1024;
/// Last event of a complete token stream.
const DONE_MARK: &[u8] = b"data: [DONE]";
/// Number of bytes at the end of a body that are searched for [`DONE_MARK`].
const TAIL_BYTES: usize = 64;

/// A failed call; the verdict says whether the request may have run.
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
    send_on(stream, request).await
}

async fn send_on(
    stream: TcpStream,
    request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, CallError> {
    let _ = stream.set_nodelay(true);
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|_| CallError(Verdict::NotRun))?;
    tokio::spawn(connection);
    sender
        .send_request(request)
        .await
        .map_err(|_| CallError(Verdict::MayHaveRun))
}

/// Builds the request to the target, with the trace context of the current span; `None` if it
/// is malformed.
pub fn build_request(
    request: RequestId,
    address: SocketAddr,
    head: &DispatchedRequest,
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
    builder = builder.header(REQUEST_ID_HEADER, request.to_string());
    let traceparent = telemetry::traceparent(&tracing::Span::current());
    if let Some(traceparent) = traceparent.as_ref().or(head.traceparent.as_ref()) {
        builder = builder.header(telemetry::TRACEPARENT, traceparent);
    }
    builder.body(Full::new(head.body.clone())).ok()
}

/// Whether a header applies to a single connection only.
pub fn is_hop_by_hop_header(name: &str) -> bool {
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
pub fn end_to_end_headers(headers: &hyper::HeaderMap) -> Vec<(String, Bytes)> {
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
        .filter(|(name, _)| !is_hop_by_hop_header(name.as_str()))
        .filter(|(name, _)| !named.iter().any(|hop| hop == name.as_str()))
        .map(|(name, value)| (name.to_string(), Bytes::copy_from_slice(value.as_bytes())))
        .collect()
}

/// Progress of receiving a response body.
struct BodyProgress {
    crc: crc32fast::Hasher,
    boundary: EventBoundary,
    length: u64,
    tail: Vec<u8>,
    recorded: Vec<u8>,
}

impl BodyProgress {
    fn append(&mut self, bytes: &[u8], record_outcome: bool) {
        self.crc.update(bytes);
        self.boundary.push(bytes);
        self.length += bytes.len() as u64;
        self.tail
            .extend_from_slice(&bytes[bytes.len().saturating_sub(TAIL_BYTES)..]);
        let surplus = self.tail.len().saturating_sub(TAIL_BYTES);
        self.tail.drain(..surplus);
        if record_outcome && self.recorded.len() <= MAX_RECORDED_BYTES {
            self.recorded.extend_from_slice(bytes);
        }
    }

    fn content_end(&self, is_stream: bool) -> ContentEnd {
        match is_stream {
            false => ContentEnd::NotEvents,
            true if self.boundary.is_inside_event() => ContentEnd::InsideEvent,
            true if self.boundary.is_unbegun() => ContentEnd::BeforeFirstEvent,
            true => ContentEnd::AfterEvent,
        }
    }

    fn has_done_mark(&self) -> bool {
        self.tail
            .windows(DONE_MARK.len())
            .any(|window| window == DONE_MARK)
    }
}

/// How reading one response ended.
enum ReadResult {
    /// By its framing, or with its connection.
    Ended,
    Broken,
    /// No data arrived within [`ENGINE_SILENCE_MS`].
    Silent,
    Cancelled,
}

/// Result of sending a request to the target.
enum SendResult {
    Answered(Response<Incoming>),
    Failed(CallError),
    Cancelled,
}

/// Sends a request and waits for the head of its response.
async fn send_with_resume(
    announcement: &Announcement,
    request: RequestId,
    message: Request<Full<Bytes>>,
    buffer: &BufferedResponse,
    record_outcome: bool,
) -> SendResult {
    let sending = send(announcement.address, message);
    tokio::pin!(sending);
    loop {
        let silence = sleep(Duration::from_millis(ENGINE_SILENCE_MS));
        tokio::select! {
            sent = &mut sending => return match sent {
                Ok(response) => SendResult::Answered(response),
                Err(error) => SendResult::Failed(error),
            },
            () = buffer.cancelled(), if !record_outcome => return SendResult::Cancelled,
            () = silence, if announcement.is_engine => {
                if let Ok(resumed) = resume(announcement, request, 0).await {
                    return SendResult::Answered(resumed);
                }
            }
        }
    }
}

/// Runs a request at the target, forwards the response and returns the outcome. `latest` returns the
/// latest announcement at the agent.
pub async fn run(
    announcement: &Announcement,
    latest: impl Fn() -> Option<Arc<Announcement>>,
    request: RequestId,
    message: Request<Full<Bytes>>,
    head: &DispatchedRequest,
    buffer: &BufferedResponse,
) -> Outcome {
    // A run whose outcome is recorded is not cancelled by the caller, and silence in its response
    // body is tolerated.
    let record_outcome = head.keep_outcome;
    let method = message.method().clone();
    let mut response =
        match send_with_resume(announcement, request, message, buffer, record_outcome).await {
            SendResult::Answered(response) => response,
            SendResult::Failed(CallError(verdict)) => {
                buffer.end(Ending::Failed(verdict, Reason::TargetFailed));
                return match verdict {
                    Verdict::NotRun => Outcome::NotRun,
                    _ => Outcome::MayHaveRun,
                };
            }
            SendResult::Cancelled => {
                cancel(announcement, request);
                buffer.end(Ending::Failed(Verdict::MayHaveRun, Reason::TargetFailed));
                return Outcome::MayHaveRun;
            }
        };
    if let Err(error) = response_head::check_status(response.status()) {
        tracing::warn!("agent: the answer to {request} is none: {error}");
        buffer.end(Ending::Failed(Verdict::MayHaveRun, Reason::TargetFailed));
        return Outcome::MayHaveRun;
    }
    let status = response.status().as_u16();
    let mut framing = Framing::of(&method, response.status(), response.headers());
    let headers = end_to_end_headers(response.headers());
    let is_stream = headers
        .iter()
        .any(|(name, value)| name == "content-type" && value.starts_with(b"text/event-stream"));
    let mut passed_on = headers.clone();
    if framing == Framing::Connection {
        passed_on.push(("connection".into(), Bytes::from_static(b"close")));
    }
    buffer.set_head(status, passed_on);
    let mut body = BodyProgress {
        crc: crc32fast::Hasher::new(),
        boundary: EventBoundary::default(),
        length: 0,
        tail: Vec::new(),
        recorded: Vec::new(),
    };
    let mut failures = 0;
    loop {
        let tolerate_silence = record_outcome || !announcement.is_engine;
        let read = read_body(
            &mut response,
            buffer,
            &mut body,
            record_outcome,
            tolerate_silence,
        )
        .await;
        let verdict = match read {
            ReadResult::Ended if announcement.is_engine && is_stream && body.has_done_mark() => {
                EndVerdict::Whole
            }
            ReadResult::Ended if announcement.is_engine && is_stream => {
                EndVerdict::Broken("stream ended before its last event")
            }
            ReadResult::Ended => {
                let content = body.content_end(is_stream);
                judge_end(request, announcement, &latest, framing, content).await
            }
            _ => EndVerdict::Broken("not ended"),
        };
        match read {
            ReadResult::Ended if verdict == EndVerdict::Whole => break,
            ReadResult::Cancelled => {
                cancel(announcement, request);
                buffer.end(Ending::Failed(Verdict::MayHaveRun, Reason::TargetFailed));
                return Outcome::MayHaveRun;
            }
            ReadResult::Silent if failures < MAX_FAILURES => {
                match resume_same_run(announcement, &latest, request, body.length).await {
                    Ok(resumed) => {
                        framing = framing_of(&resumed);
                        (response, failures) = (resumed, 0);
                    }
                    Err(_) => failures += 1,
                }
            }
            _ if announcement.is_engine && failures < MAX_FAILURES => {
                failures += 1;
                match resume_same_run(announcement, &latest, request, body.length).await {
                    Ok(resumed) => {
                        framing = framing_of(&resumed);
                        response = resumed;
                    }
                    Err(_) => failures = MAX_FAILURES,
                }
            }
            _ => {
                buffer.end(Ending::Failed(Verdict::MayHaveRun, Reason::TargetFailed));
                return Outcome::MayHaveRun;
            }
        }
    }
    buffer.end(Ending::Complete {
        crc: body.crc.finalize(),
    });
    match body.recorded.len() <= MAX_RECORDED_BYTES {
        true => Outcome::Answered(RecordedResponse {
            status,
            headers: headers
                .into_iter()
                .map(|(name, value)| (name, String::from_utf8_lossy(&value).into_owned()))
                .collect(),
            body: body.recorded,
        }),
        false => Outcome::AnsweredLong,
    }
}

/// Reads a response until it ends, breaks or, unless `tolerate_silence` is set, no data arrives
/// in time.
async fn read_body(
    response: &mut Response<Incoming>,
    buffer: &BufferedResponse,
    body: &mut BodyProgress,
    record_outcome: bool,
    tolerate_silence: bool,
) -> ReadResult {
    loop {
        let frame = tokio::select! {
            frame = timeout(Duration::from_millis(ENGINE_SILENCE_MS), response.frame()) => frame,
            () = buffer.cancelled(), if !record_outcome => return ReadResult::Cancelled,
        };
        match frame {
            Ok(Some(Ok(frame))) => {
                if let Ok(bytes) = frame.into_data() {
                    body.append(&bytes, record_outcome);
                    buffer.push(bytes).await;
                }
            }
            Ok(None) => return ReadResult::Ended,
            Ok(Some(Err(_))) => return ReadResult::Broken,
            Err(_) if tolerate_silence => {}
            Err(_) => return ReadResult::Silent,
        }
    }
}

/// The framing of the rest of a response.
fn framing_of(resumed: &Response<Incoming>) -> Framing {
    Framing::of(&Method::GET, resumed.status(), resumed.headers())
}

/// Whether a response that has ended is whole; asks which run is at the address of its target if
/// that matters.
async fn judge_end(
    request: RequestId,
    announcement: &Announcement,
    latest: impl Fn() -> Option<Arc<Announcement>>,
    framing: Framing,
    content: ContentEnd,
) -> EndVerdict {
    if !response_end::depends_on_run(framing, content) {
        return response_end::judge(framing, content, RunAfter::Unknown);
    }
    let check = check_address(announcement).await;
    let run = TargetRun {
        name: TargetName::default(),
        started_unix_ms: announcement.started_unix_ms.unwrap_or_default(),
    };
    let is_later = |latest: &Announcement| latest.started_unix_ms > announcement.started_unix_ms;
    let listing = match latest().is_some_and(|latest| is_later(&latest)) {
        true => Listing::LaterRun,
        false => Listing::NoLaterRun,
    };
    let run_after = target_run::judge(&run, &check, listing);
    let verdict = response_end::judge(framing, content, run_after);
    if verdict != EndVerdict::Whole {
        tracing::warn!(
            "agent: the answer to {request} ended ({framing}, {content:?}), {check:?}, {listing:?}: {verdict:?}"
        );
    }
    verdict
}

/// Asks the address of a target which run is there.
async fn check_address(announcement: &Announcement) -> AddressCheck {
    let connecting = TcpStream::connect(announcement.address);
    let connected = timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), connecting).await;
    let path = announcement.identity_path.as_deref();
    match (connected, announcement.started_unix_ms.and(path)) {
        (Ok(Err(error)), _) if error.kind() == io::ErrorKind::ConnectionRefused => {
            AddressCheck::Refused
        }
        (Ok(Err(_)) | Err(_), _) => AddressCheck::NotReached,
        (Ok(Ok(_)), None) => AddressCheck::Accepted,
        (Ok(Ok(stream)), Some(path)) => {
            let asking = read_start(stream, announcement.address, path);
            match timeout(Duration::from_millis(IDENTITY_TIMEOUT_MS), asking).await {
                Ok(Ok(statement)) => AddressCheck::Answered(statement),
                Ok(Err(error)) => {
                    tracing::info!("agent: the target did not tell its start: {error}");
                    AddressCheck::NotReached
                }
                Err(_) => {
                    tracing::info!("agent: the target did not tell its start in time");
                    AddressCheck::NotReached
                }
            }
        }
    }
}

/// Asks for the start of the run that accepted a connection.
async fn read_start(
    stream: TcpStream,
    address: SocketAddr,
    path: &str,
) -> Result<RunStatement, String> {
    let question = Request::get(path).header("host", address.to_string());
    let question = question.body(Full::<Bytes>::default());
    let question = question.map_err(|error| error.to_string())?;
    let sent = send_on(stream, question).await;
    let response = sent.map_err(|CallError(verdict)| format!("the call failed: {verdict}"))?;
    let started = response.headers().get(STARTED_HEADER);
    Ok(RunStatement {
        name: None,
        started_unix_ms: started.and_then(|started| started.to_str().ok()?.trim().parse().ok()),
    })
}

fn engine_request(method: Method, request: RequestId, query: &str) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(format!("/v1/requests/{request}{query}"))
        .header("host", "engine")
        .body(Full::default())
        .expect("an id and a number make a valid path")
}

/// Requests the rest of a response from the engine on a new connection.
async fn resume(
    announcement: &Announcement,
    request: RequestId,
    offset: u64,
) -> Result<Response<Incoming>, CallError> {
    tracing::warn!("agent: resuming {request} at byte {offset}");
    let message = engine_request(Method::GET, request, &format!("?offset={offset}"));
    let sending = send(announcement.address, message);
    match timeout(Duration::from_millis(RESUME_TIMEOUT_MS), sending).await {
        Ok(Ok(response)) if response.status().is_success() => Ok(response),
        _ => Err(CallError(Verdict::MayHaveRun)),
    }
}

/// Like [`resume`], unless another run of the target has been announced since: what that one writes
/// does not fit.
async fn resume_same_run(
    announcement: &Announcement,
    latest: &impl Fn() -> Option<Arc<Announcement>>,
    request: RequestId,
    offset: u64,
) -> Result<Response<Incoming>, CallError> {
    let announced = latest().map(|latest| latest.run());
    match may_ask_for_rest(&announcement.run(), announced.as_ref()) {
        true => resume(announcement, request, offset).await,
        false => {
            tracing::warn!("agent: not resuming {request}, its target runs anew");
            Err(CallError(Verdict::MayHaveRun))
        }
    }
}

/// Sends an order to the target; returns whether it was accepted.
pub async fn send_order(address: SocketAddr, order: Request<Full<Bytes>>) -> bool {
    let response = timeout(
        Duration::from_millis(ORDER_TIMEOUT_MS),
        send(address, order),
    )
    .await;
    response.is_ok_and(|sent| sent.is_ok_and(|response| response.status().is_success()))
}

/// Fetches the load report of an engine; `None` if it provides none.
pub async fn fetch_load(address: SocketAddr) -> Option<LoadReport> {
    let limit = Duration::from_millis(LOAD_TIMEOUT_MS);
    let timed_out = || Err(format!("it did not come within {LOAD_TIMEOUT_MS} ms"));
    let read = timeout(limit, read_load(address)).await;
    let report = read.unwrap_or_else(|_| timed_out());
    report
        .inspect_err(|why| tracing::debug!(%address, why, "agent: no load report"))
        .ok()
}

/// Reads a load report; the error says why there is none.
async fn read_load(address: SocketAddr) -> Result<LoadReport, String> {
    let request = Request::get("/load").header("host", "engine");
    let request = request.body(Full::default());
    let request = request.map_err(|error| error.to_string())?;
    let sent = send(address, request).await;
    let response = sent.map_err(|CallError(verdict)| format!("the call failed: {verdict}"))?;
    let body = Limited::new(response.into_body(), MAX_LOAD_BYTES);
    let body = body.collect().await.map_err(|error| error.to_string())?;
    serde_json::from_slice(&body.to_bytes()).map_err(|error| error.to_string())
}

/// Cancels a request at the engine, as its response is no longer needed.
fn cancel(announcement: &Announcement, request: RequestId) {
    if announcement.is_engine {
        let address = announcement.address;
        let message = engine_request(Method::DELETE, request, "");
        tokio::spawn(async move { send(address, message).await.map(drop) });
    }
}
