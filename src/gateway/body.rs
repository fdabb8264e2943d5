//! Response bodies: buffered ones, and streams relayed from a target to a caller.

use super::{
    attempts::{Attempts, Progress, TargetResponse},
    byte_budget::{ByteCount, ByteReservation},
    connections::Connection,
    dialect::TrafficDialect,
    events::{self, EventBoundary, EventSplitter},
    handover::{HandoverOutcome, SilentOutput},
    incoming_request::{IncomingRequest, strip_hop_by_hop},
    targets::SlotGuard,
};
use crate::{
    caller_stream::UNFRAMED_VERSION,
    clock,
    document::RetryPolicy,
    metrics,
    response_end::{ContentEnd, EndVerdict, Framing},
};
use bytes::{Bytes, BytesMut};
use futures::{FutureExt, Stream};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::{
    Response,
    body::{Body, Frame, Incoming, SizeHint},
    header,
};
use std::{
    io,
    pin::{Pin, pin},
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};
use tokio::time::timeout;

/// Silence timeout of a resumable stream, as a multiple of the route's pause limit.
const SILENCE_TIMEOUT_PAUSES: u64 = 3;
/// Minimum silence timeout of a resumable stream.
const MIN_SILENCE_TIMEOUT_MS: u64 = 1000;

/// Time for which a caller reads nothing after which a break of its response is put down to it:
/// targets end responses that stay unread for some seconds, and short pauses are the network's.
const MIN_UNREAD_MS: u64 = 1000;
/// Size from which an incomplete event counts against the byte budget; ordinary ones are far
/// smaller, and need no bookkeeping.
const MIN_RESERVED_EVENT_BYTES: u64 = 64 * 1024;

/// Why a response that a target began did not become complete.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum BreakCause {
    /// The connection or the framing of the response failed.
    #[display("{_0}")]
    Broken(String),
    /// The target sent nothing for this long.
    #[display("no data for {_0} ms")]
    Silent(u64),
    /// The deadline passed.
    #[display("deadline exceeded")]
    Deadline,
    /// This gateway is about to be killed.
    #[display("gateway stops")]
    Stopping,
}

impl BreakCause {
    /// Label of the metric.
    fn label(&self) -> &'static str {
        match self {
            Self::Broken(_) => "broken",
            Self::Silent(_) => "silent",
            Self::Deadline => "deadline",
            Self::Stopping => "stopping",
        }
    }
}

/// Result of the next read from a target's response.
enum BodyRead {
    Bytes(Bytes),
    /// The response ended, and its content there.
    End(ContentEnd),
    /// The target sent nothing for this long.
    Silent(u64),
    Failed(BreakCause),
}

/// Relays a response body and resumes it at another target after a failure.
pub struct Relay<D> {
    attempts: Arc<Attempts<D>>,
    incoming: Arc<IncomingRequest>,
    progress: Progress,
    /// Splits the stream into complete events, if it is resumable.
    events: Option<EventSplitter>,
    /// Where its last event ends, if it is not resumable.
    boundary: Option<EventBoundary>,
    /// Media type that the response states.
    media_type: Option<String>,
    /// Start of the body that was read before.
    read: Bytes,
    body: Incoming,
    connection: Option<Connection>,
    slot: SlotGuard,
    /// Units of output of earlier targets, estimated as in [`Progress::done_units`].
    earlier_units: u64,
    bytes: u64,
    /// Time of the last forwarded bytes, and the longest pause between two forwards.
    last_sent_ms: u64,
    longest_pause_ms: u64,
    /// Longest time for which the caller did not take what was forwarded from the present target.
    /// What the target had sent until then is read afterwards, before the break.
    unread_ms: u64,
    /// Part of the byte budget that a long incomplete event takes.
    partial_reservation: Option<ByteReservation>,
    /// Time of the head of the present target's response, and its bytes since then.
    head_ms: u64,
    target_bytes: u64,
    /// Whether the present target sent an event.
    target_has_event: bool,
    /// What ends the response of the present target.
    framing: Framing,
    ended: bool,
    is_complete: bool,
}

impl<D: TrafficDialect> Relay<D> {
    /// Returns the head of the response and the relay for its body, of which this start has been
    /// read.
    pub fn begin(
        attempts: Arc<Attempts<D>>,
        incoming: Arc<IncomingRequest>,
        progress: Progress,
        target_response: TargetResponse,
        read: Bytes,
    ) -> (Response<()>, Self) {
        let TargetResponse {
            response,
            connection,
            slot,
        } = target_response;
        let framing = Framing::of(&incoming.method, response.status(), response.headers());
        let (mut parts, body) = response.into_parts();
        // The caller's response ends with its connection, too.
        if framing == Framing::Connection {
            parts.version = UNFRAMED_VERSION;
            parts.headers.remove(header::CONTENT_LENGTH);
        }
        parts.headers = strip_hop_by_hop(parts.headers);
        let has_events = incoming.route.streams && events::is_event_stream(&parts.headers);
        let resumable = has_events && incoming.route.retry == RetryPolicy::Resumable;
        if resumable {
            parts.headers.remove(header::CONTENT_LENGTH);
        }
        let first_ms = clock::boot_ms() - incoming.arrived_ms;
        let status = parts.status.as_u16();
        metrics::gateway_response_started(&incoming.service, incoming.rank, status, first_ms);
        tracing::info!(
            request = incoming.id, route = incoming.route.name, target = %slot.target.name,
            status = parts.status.as_u16(), first_ms = clock::boot_ms() - incoming.arrived_ms,
            waited_ms = slot.waited_ms, work_units = incoming.work_units(),
            quota_units = incoming.quota_units(),
            customer = incoming.customer.as_ref().map(|customer| customer.name.0.as_str()),
            tries = progress.tried_targets.len(), version = incoming.version.0, "gateway: stream begins"
        );
        let relay = Self {
            events: resumable.then(|| EventSplitter::after(incoming.metadata.resume_after)),
            boundary: (has_events && !resumable).then(EventBoundary::default),
            attempts,
            incoming,
            progress,
            media_type: events::media_type(&parts.headers),
            read,
            body,
            connection: Some(connection),
            slot,
            earlier_units: 0,
            bytes: 0,
            last_sent_ms: clock::boot_ms(),
            longest_pause_ms: 0,
            unread_ms: 0,
            partial_reservation: None,
            head_ms: clock::boot_ms(),
            target_bytes: 0,
            target_has_event: false,
            framing,
            ended: false,
            is_complete: false,
        };
        (Response::from_parts(parts, ()), relay)
    }

    /// Converts the relay into a stream of frames.
    pub fn into_stream(self: Box<Self>) -> impl Stream<Item = io::Result<Frame<Bytes>>> {
        futures::stream::unfold(self, |mut relay| async move {
            if relay.ended {
                return None;
            }
            let item = relay.next_until_stop().await?;
            relay.ended = item.is_err();
            Some((item.map(Frame::data), relay))
        })
    }

    /// Like [`Self::next`], until the response has to end as this process is about to be killed: an
    /// unfinished one without framing would look whole then.
    async fn next_until_stop(&mut self) -> Option<io::Result<Bytes>> {
        let attempts = Arc::clone(&self.attempts);
        let next = tokio::select! {
            biased;
            next = self.next() => Some(next),
            () = attempts.stop_time.reached() => None,
        };
        match next {
            Some(next) => next,
            None => Some(Err(self.fail(&BreakCause::Stopping))),
        }
    }

    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        // The server asks for more once the caller has taken what it was sent.
        let unread_ms = clock::boot_ms().saturating_sub(self.last_sent_ms);
        self.unread_ms = self.unread_ms.max(unread_ms);
        loop {
            let read = match self.read().await {
                BodyRead::Silent(silent_ms) => self.hand_over(silent_ms).await,
                read => read,
            };
            let cause = match read {
                BodyRead::Bytes(bytes) => {
                    if self.target_bytes == 0 && !bytes.is_empty() {
                        self.slot.record_first_event();
                    }
                    self.target_bytes += bytes.len() as u64;
                    if let Some(boundary) = &mut self.boundary {
                        boundary.push(&bytes);
                    }
                    let whole = match &mut self.events {
                        Some(events) => events.push(&bytes),
                        None => bytes,
                    };
                    if !whole.is_empty() {
                        self.partial_reservation = None;
                        self.target_has_event |= self
                            .boundary
                            .is_none_or(|boundary| !boundary.is_inside_event());
                        self.record_sent(whole.len() as u64);
                        return Some(Ok(whole));
                    }
                    let events = self.events.as_ref();
                    let partial_bytes = events.map_or(0, EventSplitter::partial_bytes);
                    match events.is_some_and(EventSplitter::is_too_long) {
                        true => BreakCause::Broken("event exceeds the maximum size".into()),
                        false if self.may_hold(partial_bytes) => continue,
                        false => BreakCause::Broken("no room for an event of this size".into()),
                    }
                }
                BodyRead::End(content) => match self.judge_end(content).await {
                    EndVerdict::Whole => {
                        self.finish();
                        return None;
                    }
                    EndVerdict::Broken(why) => BreakCause::Broken(why.into()),
                },
                BodyRead::Silent(silent_ms) => BreakCause::Silent(silent_ms),
                BodyRead::Failed(cause) => cause,
            };
            if let Some(error) = self.recover(cause).await {
                // The server flushes when it has to wait; at an error it drops what it buffered.
                tokio::task::yield_now().await;
                return Some(Err(error));
            }
        }
    }

    /// Returns whether the response of the present target is whole.
    async fn judge_end(&self, content: ContentEnd) -> EndVerdict {
        let content = match content {
            // Its caller resumed it, perhaps after the last event.
            ContentEnd::BeforeFirstEvent if self.incoming.metadata.resume_after.is_some() => {
                ContentEnd::AfterEvent
            }
            content => content,
        };
        let (attempts, slot) = (&self.attempts, &self.slot);
        attempts
            .judge_end(&self.incoming, slot, self.framing, content)
            .await
    }

    fn record_sent(&mut self, bytes: u64) {
        self.bytes += bytes;
        let now_ms = clock::boot_ms();
        self.longest_pause_ms = self.longest_pause_ms.max(now_ms - self.last_sent_ms);
        self.last_sent_ms = now_ms;
        let is_first = self.progress.last_event_ms.replace(now_ms).is_none();
        if is_first && self.events.is_some() {
            let target = &self.slot.target;
            self.progress.stream_version = Some(target.version.clone());
            self.attempts.targets.begin_stream(&self.incoming, target);
        }
    }

    /// Takes an incomplete event of this size into the byte budget; returns whether it fits.
    fn may_hold(&mut self, partial_bytes: u64) -> bool {
        let bytes = ByteCount(partial_bytes);
        match &mut self.partial_reservation {
            _ if partial_bytes < MIN_RESERVED_EVENT_BYTES => true,
            Some(reservation) => reservation.grow_to(bytes),
            none => {
                *none = self.attempts.byte_budget.reserve(bytes);
                none.is_some()
            }
        }
    }

    /// Whether the target may have ended the response because its caller did not read it.
    fn was_unread(&self, cause: &BreakCause) -> bool {
        matches!(cause, BreakCause::Broken(_)) && self.unread_ms >= MIN_UNREAD_MS
    }

    fn record_failure(&mut self, cause: &BreakCause) {
        match self.was_unread(cause) {
            true => tracing::info!(
                request = self.incoming.id, target = %self.slot.target.name,
                unread_ms = self.unread_ms, error = %cause,
                "gateway: response broke off after its caller had not read it"
            ),
            false => self
                .slot
                .record_failure(&self.incoming.id, &cause.to_string()),
        }
        let count = self.events.as_ref().map_or(0, EventSplitter::count);
        let units = self.earlier_units + self.slot.units_done(self.last_sent_ms);
        self.progress.done_units = units.max(count);
    }

    /// Resumes the stream at another target after a failure; returns the error that ends the
    /// body if that is not possible.
    async fn recover(&mut self, cause: BreakCause) -> Option<io::Error> {
        self.record_failure(&cause);
        // Closing the connection first cancels the run at the failed target.
        self.connection = None;
        if let BreakCause::Broken(error) = &cause
            && !self.was_unread(&cause)
        {
            let since_head_ms = Some(clock::boot_ms() - self.head_ms);
            let (incoming, slot) = (&self.incoming, &self.slot);
            slot.log_break(incoming, since_head_ms, self.target_bytes, error);
            let (attempts, progress) = (&self.attempts, &mut self.progress);
            let has_event = self.target_has_event;
            attempts
                .record_break(incoming, progress, slot, has_event)
                .await;
        }
        match self.resume(&cause).await {
            true => None,
            false => Some(self.fail(&cause)),
        }
    }

    async fn read(&mut self) -> BodyRead {
        let left_ms = self.incoming.left_ms();
        if let Some(fault) = self.events.as_ref().and_then(EventSplitter::fault) {
            return BodyRead::Failed(BreakCause::Broken(fault.to_string()));
        }
        if !self.read.is_empty() {
            return BodyRead::Bytes(std::mem::take(&mut self.read));
        }
        // A timeout of 0 would still return bytes that have already arrived.
        if left_ms == 0 {
            return BodyRead::Failed(BreakCause::Deadline);
        }
        let timeout_ms = match self.resumable_events() {
            Some(_) => (self.incoming.route.event_gap_objective_ms * SILENCE_TIMEOUT_PAUSES)
                .max(MIN_SILENCE_TIMEOUT_MS),
            None => u64::MAX,
        };
        let wait_ms = timeout_ms.min(left_ms);
        match timeout(Duration::from_millis(wait_ms), self.body.frame()).await {
            Ok(frame) => self.decode(frame),
            Err(_) if wait_ms == left_ms => BodyRead::Failed(BreakCause::Deadline),
            Err(_) => BodyRead::Silent(wait_ms),
        }
    }

    fn decode(&self, frame: Option<Result<Frame<Bytes>, hyper::Error>>) -> BodyRead {
        decode(frame, self.events.as_ref(), self.boundary.as_ref())
    }

    /// Listens to a silent target while another one is asked to go on with the stream, and returns
    /// what the next read gives.
    async fn hand_over(&mut self, silent_ms: u64) -> BodyRead {
        let cause = BreakCause::Silent(silent_ms);
        self.record_failure(&cause);
        let last_id = self.events.as_ref().and_then(EventSplitter::last_id);
        let attempts = Arc::clone(&self.attempts);
        let connection = self.connection.take();
        let events = self.events.clone().unwrap_or_default();
        let media_type = self.media_type.as_deref();
        let outcome = {
            let body = &mut self.body;
            let mut silent = pin!(
                async move {
                    SilentRead {
                        read: read_event(body, events).await,
                        connection,
                    }
                }
                .fuse()
            );
            let accepts = |response: &Response<Incoming>| {
                events::may_continue(media_type, response.status(), response.headers())
            };
            let handover = attempts.hand_over(
                &self.incoming,
                &mut self.progress,
                last_id,
                &accepts,
                silent.as_mut(),
            );
            handover.await
        };
        match outcome {
            HandoverOutcome::Kept(SilentRead { read, connection }) => {
                self.connection = connection;
                read
            }
            HandoverOutcome::Replaced(reply) => {
                self.take_over(*reply, &cause);
                BodyRead::Bytes(Bytes::new())
            }
            HandoverOutcome::Failed(why) => BodyRead::Failed(BreakCause::Broken(why)),
            HandoverOutcome::Expired => BodyRead::Failed(BreakCause::Deadline),
        }
    }

    /// The events passed on, if another target can go on after them.
    fn resumable_events(&self) -> Option<&EventSplitter> {
        self.events.as_ref().filter(|events| events.can_resume())
    }

    /// Resumes the stream at another target; returns whether that succeeded.
    async fn resume(&mut self, cause: &BreakCause) -> bool {
        let Some(events) = self.resumable_events() else {
            return false;
        };
        let last_id = events.last_id();
        let media_type = self.media_type.as_deref();
        let resumed =
            self.attempts
                .resume(&self.incoming, &mut self.progress, last_id, |response| {
                    events::may_continue(media_type, response.status(), response.headers())
                });
        match resumed.await {
            Some(reply) => {
                self.take_over(reply, cause);
                true
            }
            None => false,
        }
    }

    /// Goes on with the response of another target, after the last complete event.
    fn take_over(&mut self, reply: TargetResponse, cause: &BreakCause) {
        let from = self.slot.target.name.clone();
        let last_id = self.events.as_mut().and_then(|events| {
            events.drop_partial();
            events.last_id()
        });
        metrics::gateway_retried(&self.incoming.service, "resumed");
        tracing::info!(
            request = self.incoming.id, %from, target = %reply.slot.target.name, last_id,
            error = %cause, took_ms = clock::boot_ms() - self.incoming.arrived_ms,
            "gateway: stream resumed"
        );
        let TargetResponse {
            response,
            connection,
            slot,
        } = reply;
        self.earlier_units = self.progress.done_units;
        self.framing = Framing::of(&self.incoming.method, response.status(), response.headers());
        self.head_ms = clock::boot_ms();
        self.unread_ms = 0;
        self.target_bytes = 0;
        self.target_has_event = false;
        self.body = response.into_body();
        self.connection = Some(connection);
        self.slot = slot;
    }

    /// Ends the response, which is whole.
    fn finish(&mut self) {
        self.ended = true;
        self.is_complete = true;
        self.slot.record_completion();
        self.attempts.record_complete(&self.incoming, &self.slot);
        let took_ms = clock::boot_ms() - self.incoming.arrived_ms;
        metrics::gateway_response_completed(&self.incoming.service, self.incoming.rank, took_ms);
        if let Some(connection) = self.connection.take() {
            self.attempts
                .connections
                .release(&self.slot.target, connection);
        }
        tracing::info!(
            request = self.incoming.id, route = self.incoming.route.name,
            target = %self.slot.target.name, bytes = self.bytes,
            events = self.events.as_ref().map(EventSplitter::count), framing = %self.framing, pause_ms = self.longest_pause_ms,
            took_ms = clock::boot_ms() - self.incoming.arrived_ms, "gateway: stream ends"
        );
    }

    fn fail(&mut self, cause: &BreakCause) -> io::Error {
        self.ended = true;
        metrics::gateway_stream_aborted(&self.incoming.service, cause.label());
        tracing::warn!(
            request = self.incoming.id, target = %self.slot.target.name, bytes = self.bytes,
            error = %cause, verdict = "may-have-run", framing = %self.framing,
            left_ms = self.incoming.left_ms(), version = self.incoming.version.0,
            took_ms = clock::boot_ms() - self.incoming.arrived_ms, "gateway: stream broke off"
        );
        io::Error::other(cause.to_string())
    }
}

fn decode(
    frame: Option<Result<Frame<Bytes>, hyper::Error>>,
    events: Option<&EventSplitter>,
    boundary: Option<&EventBoundary>,
) -> BodyRead {
    let broken = |why: &str| BodyRead::Failed(BreakCause::Broken(why.into()));
    match frame {
        Some(Ok(frame)) => BodyRead::Bytes(frame.into_data().unwrap_or_default()),
        Some(Err(error)) => broken(&error.to_string()),
        None => BodyRead::End(content_end(events, boundary)),
    }
}

fn content_end(events: Option<&EventSplitter>, boundary: Option<&EventBoundary>) -> ContentEnd {
    match (events, boundary) {
        (Some(events), _) if events.is_partial() => ContentEnd::InsideEvent,
        (Some(events), _) if events.is_resumption_unproved() => ContentEnd::BeforeResumedEvent,
        (Some(events), _) if events.is_unbegun() => ContentEnd::BeforeFirstEvent,
        (_, Some(boundary)) if boundary.is_inside_event() => ContentEnd::InsideEvent,
        (_, Some(boundary)) if boundary.is_unbegun() => ContentEnd::BeforeFirstEvent,
        (None, None) => ContentEnd::NotEvents,
        _ => ContentEnd::AfterEvent,
    }
}

/// What came from a silent target, and the connection to it.
struct SilentRead {
    read: BodyRead,
    connection: Option<Connection>,
}

impl SilentOutput for SilentRead {
    fn goes_on<A: Fn(&Response<Incoming>) -> bool>(&self, _accepts: &A) -> bool {
        !matches!(
            self.read,
            BodyRead::Failed(_)
                | BodyRead::End(ContentEnd::InsideEvent | ContentEnd::BeforeResumedEvent)
        )
    }
}

/// Reads from a silent target until an event is complete: half of one may be all that comes.
async fn read_event(body: &mut Incoming, mut events: EventSplitter) -> BodyRead {
    let mut unread = BytesMut::new();
    loop {
        match decode(body.frame().await, Some(&events), None) {
            BodyRead::Bytes(bytes) => {
                unread.extend_from_slice(&bytes);
                if !events.push(&bytes).is_empty() {
                    return BodyRead::Bytes(unread.freeze());
                }
                if events.is_too_long() {
                    let cause = BreakCause::Broken("event exceeds the maximum size".into());
                    return BodyRead::Failed(cause);
                }
            }
            read => return read,
        }
    }
}

/// Reads a body until it ends or exceeds the limit; returns what was read, and whether that is all.
///
/// # Errors
/// Returns an error if the body breaks off.
pub async fn read_start(
    body: &mut Incoming,
    limit_bytes: usize,
) -> Result<(Bytes, bool), hyper::Error> {
    let mut read = BytesMut::new();
    while read.len() <= limit_bytes {
        match body.frame().await {
            Some(frame) => read.extend_from_slice(&frame?.into_data().unwrap_or_default()),
            None => return Ok((read.freeze(), true)),
        }
    }
    Ok((read.freeze(), false))
}

/// Body of a response to a caller.
pub enum ResponseBody<S> {
    /// Complete body.
    Buffered(Full<Bytes>),
    /// Body that ends with its connection.
    Unframed(Full<Bytes>),
    /// Body relayed from a target.
    Streaming(StreamBody<Pin<Box<S>>>),
}

impl<S> Body for ResponseBody<S>
where
    S: Stream<Item = io::Result<Frame<Bytes>>>,
{
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self.get_mut() {
            Self::Buffered(body) | Self::Unframed(body) => {
                let frame = Pin::new(body).poll_frame(context);
                frame.map(|frame| frame.map(|frame| frame.map_err(|never| match never {})))
            }
            Self::Streaming(body) => Pin::new(body).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.is_end_stream(),
            // The library would state the length of a body that is known to be empty.
            Self::Unframed(_) => false,
            Self::Streaming(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => body.size_hint(),
            Self::Unframed(_) => SizeHint::default(),
            Self::Streaming(body) => Body::size_hint(body),
        }
    }
}

impl<D> Drop for Relay<D> {
    fn drop(&mut self) {
        if self.events.is_some() {
            let targets = &self.attempts.targets;
            targets.end_stream(&self.incoming, self.is_complete);
        }
        if !self.ended {
            metrics::gateway_stream_aborted(&self.incoming.service, "caller-left");
            tracing::info!(
                request = self.incoming.id, target = %self.slot.target.name, bytes = self.bytes,
                took_ms = clock::boot_ms() - self.incoming.arrived_ms, "gateway: caller disconnected"
            );
        }
    }
}
