//! Bodies of answers: whole ones, and streams on their way from an agent.

use super::{
    agent_links::{Event, Exchange},
    delivery::Delivery,
    limits::Permit,
    refusal::Refusal,
};
use crate::{
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

/// How many bytes arrive between two acknowledgements.
const ACKNOWLEDGE_BYTES: u64 = 64 * 1024;

/// The events of all exchanges of one request.
pub type EventReceiver = mpsc::UnboundedReceiver<(usize, Event)>;

/// An answer on its way from an agent: checks offsets, length and checksum.
pub struct Arriving {
    request: RequestId,
    exchange: Exchange,
    events: EventReceiver,
    crc: crc32fast::Hasher,
    offset: u64,
    acknowledged: u64,
}

/// An answer's status and headers.
pub struct AnswerHead {
    /// The HTTP status.
    pub status: u16,
    /// End-to-end headers.
    pub headers: Vec<(String, Bytes)>,
}

/// What has arrived.
pub enum Arrival {
    /// The next part of the body.
    Part(Bytes),
    /// The answer is whole.
    End,
    /// The answer will not be whole.
    Broken(Verdict, Reason),
}

impl Arriving {
    /// An answer whose head has arrived.
    pub fn new(request: RequestId, exchange: Exchange, events: EventReceiver) -> Self {
        let crc = crc32fast::Hasher::new();
        Self {
            request,
            exchange,
            events,
            crc,
            offset: 0,
            acknowledged: 0,
        }
    }

    /// The answer's status and headers.
    ///
    /// # Errors
    /// Fails with a verdict if no answer comes.
    pub async fn head(&mut self) -> Result<AnswerHead, (Verdict, Reason)> {
        while let Some((number, event)) = self.events.recv().await {
            match event {
                _ if number != self.exchange.number() => {}
                Event::Message(FromAgent::Head {
                    status, headers, ..
                }) => {
                    return Ok(AnswerHead { status, headers });
                }
                event => {
                    if let Some(Arrival::Broken(verdict, reason)) = self.take(event) {
                        return Err((verdict, reason));
                    }
                }
            }
        }
        Err((Verdict::MayHaveRun, Reason::LinkLost))
    }

    /// The next part, or how the answer ended.
    pub fn poll_next(&mut self, context: &mut Context) -> Poll<Arrival> {
        loop {
            let Some((number, event)) = ready!(self.events.poll_recv(context)) else {
                return Poll::Ready(Arrival::Broken(Verdict::MayHaveRun, Reason::LinkLost));
            };
            if number != self.exchange.number() {
                continue;
            }
            if let Some(arrival) = self.take(event) {
                return Poll::Ready(arrival);
            }
        }
    }

    /// The next part, or how the answer ended.
    pub async fn next(&mut self) -> Arrival {
        std::future::poll_fn(|context| self.poll_next(context)).await
    }

    fn take(&mut self, event: Event) -> Option<Arrival> {
        match event {
            Event::Message(FromAgent::Data { offset, bytes, .. }) => self.take_part(offset, bytes),
            Event::Message(FromAgent::End { length, crc, .. }) => {
                let whole = length == self.offset && crc == self.crc.clone().finalize();
                self.exchange.acknowledge(length);
                self.exchange.mark_ended();
                Some(match whole {
                    true => Arrival::End,
                    false => Arrival::Broken(Verdict::Ran, Reason::TargetFailed),
                })
            }
            Event::Message(FromAgent::Failed {
                verdict, reason, ..
            }) => {
                self.exchange.acknowledge(self.offset);
                self.exchange.mark_ended();
                Some(Arrival::Broken(verdict, reason))
            }
            Event::Message(_) => None,
            Event::Lost => Some(Arrival::Broken(Verdict::MayHaveRun, Reason::LinkLost)),
        }
    }

    /// Takes a part; what has arrived before, as after a resume, is dropped.
    fn take_part(&mut self, offset: u64, bytes: Bytes) -> Option<Arrival> {
        let end = offset + bytes.len() as u64;
        if end <= self.offset {
            return None;
        }
        if offset > self.offset {
            return Some(Arrival::Broken(Verdict::MayHaveRun, Reason::LinkLost));
        }
        let fresh = bytes.slice((self.offset - offset) as usize..);
        self.crc.update(&fresh);
        self.offset = end;
        self.exchange.set_received_offset(end);
        if end >= self.acknowledged + ACKNOWLEDGE_BYTES {
            self.acknowledged = end;
            self.exchange.acknowledge(end);
        }
        Some(Arrival::Part(fresh))
    }
}

/// A stream to a caller. If the answer breaks, a token stream ends in an error
/// event and any other body in an error that closes the connection.
pub struct Relay {
    arriving: Arriving,
    buffered: Option<Bytes>,
    is_event_stream: bool,
    done: bool,
    delivery: Option<Delivery>,
    _permit: Option<Permit>,
}

/// The body of an answer to a caller.
pub enum AnswerBody {
    /// All of it is here.
    Whole(Option<Bytes>),
    /// It is on its way.
    Relay(Box<Relay>),
}

impl AnswerBody {
    /// A body that is all here.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }

    /// A body that is on its way, after what was buffered of it.
    pub fn relay(
        arriving: Arriving,
        buffered: Bytes,
        is_event_stream: bool,
        permit: Option<Permit>,
    ) -> Self {
        let buffered = (!buffered.is_empty()).then_some(buffered);
        Self::Relay(Box::new(Relay {
            arriving,
            buffered,
            is_event_stream,
            done: false,
            delivery: None,
            _permit: permit,
        }))
    }

    /// Notes how the delivery ends, at once if the body is all here.
    pub fn deliver(&mut self, delivery: Delivery) {
        match self {
            Self::Whole(_) => delivery.finish(),
            Self::Relay(relay) => relay.delivery = Some(delivery),
        }
    }
}

impl Relay {
    fn poll_part(&mut self, context: &mut Context) -> Poll<Option<io::Result<Bytes>>> {
        if let Some(bytes) = self.buffered.take() {
            return Poll::Ready(Some(Ok(bytes)));
        }
        if self.done {
            return Poll::Ready(None);
        }
        match ready!(self.arriving.poll_next(context)) {
            Arrival::Part(bytes) => Poll::Ready(Some(Ok(bytes))),
            Arrival::End => {
                self.done = true;
                if let Some(delivery) = self.delivery.take() {
                    delivery.finish();
                }
                Poll::Ready(None)
            }
            Arrival::Broken(verdict, reason) => {
                self.done = true;
                if let Some(delivery) = self.delivery.take() {
                    delivery.break_off(verdict, &reason);
                }
                Poll::Ready(Some(self.break_off(verdict, reason)))
            }
        }
    }

    fn break_off(&self, verdict: Verdict, reason: Reason) -> io::Result<Bytes> {
        let message = "the answer broke off; what came before is not whole";
        let refusal = Refusal {
            verdict,
            ..Refusal::not_run(reason, message)
        };
        match self.is_event_stream {
            true => {
                let json = refusal.to_json(self.arriving.request);
                Ok(format!("\n\nevent: error\ndata: {json}\n\n").into())
            }
            false => Err(io::Error::other(refusal)),
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if let Some(delivery) = self.delivery.take() {
            delivery.abandon();
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Relay(relay) => relay
                .poll_part(context)
                .map(|part| part.map(|bytes| bytes.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        match self {
            Self::Whole(bytes) => {
                let length = bytes.as_ref().map_or(0, |bytes| bytes.len() as u64);
                hyper::body::SizeHint::with_exact(length)
            }
            Self::Relay(_) => hyper::body::SizeHint::default(),
        }
    }
}
