//! Response bodies: complete ones, and streams relayed from an agent.

use super::{
    agent_links::{Event, Exchange},
    delivery::DeliveryTracker,
    limits::Permit,
    refusal::Refusal,
};
use crate::{
    gateway::events::EventBoundary,
    units::RequestId,
    verdict::{Reason, Verdict},
    wire::FromAgent,
};
use bytes::Bytes;
use hyper::body::{Body, Frame};
use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};
use tokio::sync::mpsc;

/// Number of received bytes after which an acknowledgement is sent.
const ACKNOWLEDGE_INTERVAL_BYTES: u64 = 64 * 1024;

/// The events of all exchanges of one request.
pub type EventReceiver = mpsc::UnboundedReceiver<(usize, Event)>;

/// A response being received from an agent; verifies offsets, length and checksum.
pub struct AgentResponse {
    request: RequestId,
    exchange: Exchange,
    events: EventReceiver,
    crc: crc32fast::Hasher,
    offset: u64,
    acknowledged_offset: u64,
}

/// The status and headers of a response.
pub struct ResponseHead {
    /// The HTTP status.
    pub status: u16,
    /// End-to-end headers.
    pub headers: Vec<(String, Bytes)>,
    /// Whether the response of the target has neither a length nor chunks.
    pub is_unframed: bool,
}

/// An event in the reception of a response body.
pub enum BodyEvent {
    /// The next chunk of the body.
    Chunk(Bytes),
    /// The body is complete.
    End,
    /// The body will stay incomplete.
    Failed(Verdict, Reason),
}

impl AgentResponse {
    /// Starts to receive the response to a dispatched request.
    pub fn new(request: RequestId, exchange: Exchange, events: EventReceiver) -> Self {
        let crc = crc32fast::Hasher::new();
        Self {
            request,
            exchange,
            events,
            crc,
            offset: 0,
            acknowledged_offset: 0,
        }
    }

    /// Waits for the status and headers.
    ///
    /// # Errors
    /// Fails with a verdict if the agent sends no response.
    pub async fn head(&mut self) -> Result<ResponseHead, (Verdict, Reason)> {
        while let Some((index, event)) = self.events.recv().await {
            match event {
                _ if index != self.exchange.index() => {}
                Event::Message(FromAgent::Head {
                    status,
                    mut headers,
                    ..
                }) => {
                    let all = headers.len();
                    headers.retain(|(name, _)| name != "connection");
                    return Ok(ResponseHead {
                        status,
                        is_unframed: headers.len() < all,
                        headers,
                    });
                }
                event => {
                    if let Some(BodyEvent::Failed(verdict, reason)) = self.handle_event(event) {
                        return Err((verdict, reason));
                    }
                }
            }
        }
        Err((Verdict::MayHaveRun, Reason::LinkLost))
    }

    /// Polls for the next event of the body.
    pub fn poll_next(&mut self, context: &mut Context) -> Poll<BodyEvent> {
        loop {
            let Some((index, event)) = ready!(self.events.poll_recv(context)) else {
                return Poll::Ready(BodyEvent::Failed(Verdict::MayHaveRun, Reason::LinkLost));
            };
            if index != self.exchange.index() {
                continue;
            }
            if let Some(body_event) = self.handle_event(event) {
                return Poll::Ready(body_event);
            }
        }
    }

    /// Waits for the next event of the body.
    pub async fn next(&mut self) -> BodyEvent {
        std::future::poll_fn(|context| self.poll_next(context)).await
    }

    fn handle_event(&mut self, event: Event) -> Option<BodyEvent> {
        match event {
            Event::Message(FromAgent::Data { offset, bytes, .. }) => self.add_chunk(offset, bytes),
            Event::Message(FromAgent::End { length, crc, .. }) => {
                let complete = length == self.offset && crc == self.crc.clone().finalize();
                self.exchange.acknowledge(length);
                self.exchange.mark_ended();
                Some(match complete {
                    true => BodyEvent::End,
                    false => BodyEvent::Failed(Verdict::Ran, Reason::TargetFailed),
                })
            }
            Event::Message(FromAgent::Failed {
                verdict, reason, ..
            }) => {
                self.exchange.acknowledge(self.offset);
                self.exchange.mark_ended();
                Some(BodyEvent::Failed(verdict, reason))
            }
            Event::Message(_) => None,
            Event::Lost => Some(BodyEvent::Failed(Verdict::MayHaveRun, Reason::LinkLost)),
        }
    }

    /// Accepts a chunk, without the bytes that were already received before a resume.
    fn add_chunk(&mut self, offset: u64, bytes: Bytes) -> Option<BodyEvent> {
        let end = offset + bytes.len() as u64;
        if end <= self.offset {
            return None;
        }
        if offset > self.offset {
            return Some(BodyEvent::Failed(Verdict::MayHaveRun, Reason::LinkLost));
        }
        let new_bytes = bytes.slice((self.offset - offset) as usize..);
        self.crc.update(&new_bytes);
        self.offset = end;
        self.exchange.set_received_offset(end);
        if end >= self.acknowledged_offset + ACKNOWLEDGE_INTERVAL_BYTES {
            self.acknowledged_offset = end;
            self.exchange.acknowledge(end);
        }
        Some(BodyEvent::Chunk(new_bytes))
    }
}

/// A body streamed to a caller. If the response fails midway, it ends with an error that closes the
/// connection; an event stream has an error event before, unless it broke off inside an event.
pub struct RelayedBody {
    response: AgentResponse,
    buffered: Option<Bytes>,
    is_event_stream: bool,
    is_unframed: bool,
    boundary: EventBoundary,
    done: bool,
    failure: Option<Failure>,
    delivery: Option<DeliveryTracker>,
    _permit: Option<Permit>,
}

/// The error that ends a body, after its last bytes.
enum Failure {
    /// The server has to wait once, as it flushes then; at an error it drops what it buffered.
    BeforeFlush(io::Error),
    Flushed(io::Error),
}

/// The body of a response to a caller.
pub enum ResponseBody {
    /// The body is complete; `None` once it has been sent.
    Complete(Option<Bytes>),
    /// The body ends with its connection; `None` once it has been sent.
    Unframed(Option<Bytes>),
    /// The body is relayed as it arrives from an agent.
    Relayed(Box<RelayedBody>),
}

impl ResponseBody {
    /// Creates a complete body.
    pub fn complete(bytes: impl Into<Bytes>) -> Self {
        Self::Complete(Some(bytes.into()))
    }

    /// Creates a relayed body that starts with the bytes buffered so far.
    pub fn relayed(
        response: AgentResponse,
        buffered: Bytes,
        is_event_stream: bool,
        is_unframed: bool,
        permit: Option<Permit>,
    ) -> Self {
        let buffered = (!buffered.is_empty()).then_some(buffered);
        Self::Relayed(Box::new(RelayedBody {
            response,
            buffered,
            is_event_stream,
            is_unframed,
            boundary: EventBoundary::default(),
            done: false,
            failure: None,
            delivery: None,
            _permit: permit,
        }))
    }

    /// Whether the body has neither a length nor chunks.
    pub fn is_unframed(&self) -> bool {
        match self {
            Self::Complete(_) => false,
            Self::Unframed(_) => true,
            Self::Relayed(relayed) => relayed.is_unframed,
        }
    }

    /// Records how the delivery ends. A complete body counts as delivered at once.
    pub fn track_delivery(&mut self, delivery: DeliveryTracker) {
        match self {
            Self::Complete(_) | Self::Unframed(_) => delivery.complete(),
            Self::Relayed(relayed) => relayed.delivery = Some(delivery),
        }
    }
}

impl RelayedBody {
    fn poll_chunk(&mut self, context: &mut Context) -> Poll<Option<io::Result<Bytes>>> {
        if let Some(bytes) = self.buffered.take() {
            return Poll::Ready(Some(Ok(bytes)));
        }
        match self.failure.take() {
            Some(Failure::BeforeFlush(error)) => {
                self.failure = Some(Failure::Flushed(error));
                context.waker().wake_by_ref();
                return Poll::Pending;
            }
            Some(Failure::Flushed(error)) => return Poll::Ready(Some(Err(error))),
            None if self.done => return Poll::Ready(None),
            None => {}
        }
        match ready!(self.response.poll_next(context)) {
            BodyEvent::Chunk(bytes) => {
                self.boundary.push(&bytes);
                Poll::Ready(Some(Ok(bytes)))
            }
            BodyEvent::End => {
                self.done = true;
                if let Some(delivery) = self.delivery.take() {
                    delivery.complete();
                }
                Poll::Ready(None)
            }
            BodyEvent::Failed(verdict, reason) => self.break_off(context, verdict, reason),
        }
    }

    /// Ends the body with an error.
    fn break_off(
        &mut self,
        context: &mut Context,
        verdict: Verdict,
        reason: Reason,
    ) -> Poll<Option<io::Result<Bytes>>> {
        self.done = true;
        if let Some(delivery) = self.delivery.take() {
            delivery.fail(verdict, &reason);
        }
        let message = "the answer broke off; what came before is not whole";
        let refusal = Refusal {
            verdict,
            ..Refusal::not_run(reason, message)
        };
        let json = refusal.to_json(self.response.request);
        self.failure = Some(Failure::BeforeFlush(io::Error::other(refusal)));
        match self.is_event_stream && !self.boundary.is_inside_event() {
            true => {
                let event = format!("event: error\ndata: {json}\n\n");
                Poll::Ready(Some(Ok(event.into())))
            }
            false => self.poll_chunk(context),
        }
    }
}

impl Drop for RelayedBody {
    fn drop(&mut self) {
        if let Some(delivery) = self.delivery.take() {
            delivery.abort();
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self.get_mut() {
            Self::Complete(bytes) | Self::Unframed(bytes) => {
                Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            Self::Relayed(relayed) => relayed
                .poll_chunk(context)
                .map(|chunk| chunk.map(|bytes| bytes.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Complete(None))
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        match self {
            Self::Complete(bytes) => {
                let length = bytes.as_ref().map_or(0, |bytes| bytes.len() as u64);
                hyper::body::SizeHint::with_exact(length)
            }
            Self::Unframed(_) | Self::Relayed(_) => hyper::body::SizeHint::default(),
        }
    }
}
