//! Splits an event stream into complete events, so that a broken stream can be resumed at
//! another target without duplicate or lost events.

use bytes::{Bytes, BytesMut};
use hyper::{HeaderMap, StatusCode, header};

/// Media type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";

/// Maximum size of an event: far above that of an event with text.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Why a response does not go on with its stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum EventFault {
    /// The text between two empty lines is not an event.
    #[display("not an event")]
    NotAnEvent,
    /// The event, or one after it, was passed on before.
    #[display("event {id} after event {last_id}")]
    Repeated {
        /// Id of the event.
        id: u64,
        /// Id of the last event that was passed on.
        last_id: u64,
    },
    /// A resumption begins with a later event than the next one.
    #[display("resumed with event {id} after event {last_id}")]
    Skipped {
        /// Id of the event.
        id: u64,
        /// Id of the last event that was passed on.
        last_id: u64,
    },
    /// A resumption begins with an event that has no id.
    #[display("resumed with an event without id")]
    NoId,
}

/// What the gateway reads of an event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// Id, if it is a number.
    pub id: Option<u64>,
    /// Whether it has data, not only a comment or a field that steers the connection.
    pub has_data: bool,
}

/// The position in a stream, and what its ids tell so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// Id of the last event that was passed on.
    pub last_id: Option<u64>,
    /// Whether the ids count the events; `None` if not known. The protocol only says that they
    /// increase.
    pub counts_events: Option<bool>,
    /// Whether the next event is the first one of a resumption.
    pub is_resumed: bool,
    /// Whether an event without an id was passed on since; a resumption could repeat it.
    pub is_past_last_id: bool,
}

impl Position {
    /// Returns the position after an event, or why that event does not go on with the stream.
    /// Ids increase; an event without data need not have one. A resumption that leaves out events
    /// shows only if the ids are known to count them.
    pub fn after(self, event: Event) -> Result<Self, EventFault> {
        let counts_events = match (self.last_id, event.id) {
            _ if self.is_resumed || self.counts_events == Some(false) => self.counts_events,
            (_, None) => self.counts_events,
            (Some(last_id), Some(id)) => Some(id == last_id.saturating_add(1)),
            (None, Some(id)) => Some(id <= 1),
        };
        match (self.last_id, event.id) {
            (Some(last_id), Some(id)) if id <= last_id => Err(EventFault::Repeated { id, last_id }),
            (Some(last_id), Some(id))
                if self.is_resumed && counts_events == Some(true) && id - last_id > 1 =>
            {
                Err(EventFault::Skipped { id, last_id })
            }
            (Some(_), None) if self.is_resumed && event.has_data => Err(EventFault::NoId),
            (_, id) => Ok(Self {
                last_id: id.or(self.last_id),
                counts_events,
                is_resumed: self.is_resumed && id.is_none(),
                is_past_last_id: id.is_none() && (self.is_past_last_id || event.has_data),
            }),
        }
    }

    /// Returns the position at which another target goes on.
    pub fn resumed(self) -> Self {
        Self {
            is_resumed: self.last_id.is_some(),
            ..self
        }
    }
}

/// Splits a stream of bytes at event boundaries and buffers the incomplete event.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    position: Position,
    count: u64,
    has_events: bool,
    fault: Option<EventFault>,
}

impl EventSplitter {
    /// Creates a splitter for a stream that continues after the event with this id.
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            position: Position {
                last_id,
                ..Position::default()
            },
            ..Self::default()
        }
    }

    /// Appends bytes and returns the events that are complete now, unchanged. Those from a fault
    /// on are discarded.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        if self.fault.is_some() {
            return Bytes::new();
        }
        let search_from = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(bytes);
        let Some(end) = end_of_last_event(&self.partial, search_from) else {
            return Bytes::new();
        };
        let mut events = self.partial.split_to(end).freeze();
        let mut at = 0;
        while at < events.len() {
            let rest = &events[at..];
            let length = end_of_first_event(rest).unwrap_or(rest.len());
            match self.accept(&rest[..length]) {
                Ok(()) => at += length,
                Err(fault) => {
                    self.fault = Some(fault);
                    events.truncate(at);
                }
            }
        }
        events
    }

    fn accept(&mut self, text: &[u8]) -> Result<(), EventFault> {
        let event = read_event(text).ok_or(EventFault::NotAnEvent)?;
        self.position = self.position.after(event)?;
        self.has_events = true;
        self.count += u64::from(event.id.is_some());
        Ok(())
    }

    /// Returns why the response does not go on with the stream, after the events returned last.
    pub fn fault(&self) -> Option<EventFault> {
        self.fault
    }

    /// Returns whether no event has been returned.
    pub fn is_unbegun(&self) -> bool {
        !self.has_events
    }

    /// Returns whether an incomplete event is buffered.
    pub fn is_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Returns whether the incomplete event exceeds the maximum size.
    pub fn is_too_long(&self) -> bool {
        self.partial.len() > MAX_EVENT_BYTES
    }

    /// Returns the size of the incomplete event.
    pub fn partial_bytes(&self) -> u64 {
        self.partial.len() as u64
    }

    /// Discards the incomplete event and the fault, for the response of another target.
    pub fn drop_partial(&mut self) {
        self.partial = BytesMut::new();
        self.fault = None;
        self.position = self.position.resumed();
    }

    /// Returns whether the stream can be resumed without repeating events.
    pub fn can_resume(&self) -> bool {
        !self.position.is_past_last_id
    }

    /// Returns whether the response of another target has not yet gone on with the stream.
    pub fn is_resumption_unproved(&self) -> bool {
        self.position.is_resumed
    }

    /// Returns the id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.position.last_id
    }

    /// Returns the number of complete events with an id.
    pub fn count(&self) -> u64 {
        self.count
    }
}

/// Reads an event, up to and including the empty line at its end; `None` if the text is none.
/// Unknown fields are allowed, as the format says, but not alone, and not after a status line: an
/// engine that fails may write the head of another response into its stream.
pub fn read_event(text: &[u8]) -> Option<Event> {
    let mut event = Event::default();
    let (mut has_known, mut has_unknown, mut has_status_line) = (false, false, false);
    for line in text.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let colon = line.iter().position(|byte| *byte == b':');
        let name = &line[..colon.unwrap_or(line.len())];
        let value = colon.map_or(&[][..], |colon| &line[colon + 1..]);
        match name {
            b"" if colon.is_none() => {}
            b"" | b"event" | b"retry" => has_known = true,
            b"id" => {
                has_known = true;
                event.id = parse(value).or(event.id);
            }
            b"data" => {
                has_known = true;
                event.has_data = true;
            }
            _ if has_status_line => return None,
            _ => has_unknown = true,
        }
        has_status_line |= find(line, b"HTTP/1.");
    }
    (has_known || !has_unknown).then_some(event)
}

fn find(text: &[u8], wanted: &[u8]) -> bool {
    text.windows(wanted.len()).any(|part| part == wanted)
}

/// Tells whether a stream that is passed on unchanged ends between two events.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventBoundary {
    /// The last bytes.
    tail: [u8; 3],
    is_begun: bool,
}

impl EventBoundary {
    /// Records bytes that are passed on.
    pub fn push(&mut self, bytes: &[u8]) {
        self.is_begun |= !bytes.is_empty();
        for byte in &bytes[bytes.len().saturating_sub(3)..] {
            self.tail = [self.tail[1], self.tail[2], *byte];
        }
    }

    /// Returns whether no bytes have been recorded.
    pub fn is_unbegun(&self) -> bool {
        !self.is_begun
    }

    /// Returns whether the last event is incomplete.
    pub fn is_inside_event(&self) -> bool {
        let is_complete = matches!(self.tail, [_, b'\n', b'\n'] | [b'\n', b'\r', b'\n']);
        self.is_begun && !is_complete
    }
}

/// Returns the position after the last complete event; events end with an empty line.
fn end_of_last_event(bytes: &[u8], from: usize) -> Option<usize> {
    (from..bytes.len())
        .rev()
        .find_map(|at| event_end(bytes, at))
}

fn end_of_first_event(bytes: &[u8]) -> Option<usize> {
    (0..bytes.len()).find_map(|at| event_end(bytes, at))
}

/// Returns the position after an empty line whose preceding line ends here.
fn event_end(bytes: &[u8], at: usize) -> Option<usize> {
    match &bytes[at..] {
        [b'\n', b'\n', ..] => Some(at + 2),
        [b'\n', b'\r', b'\n', ..] => Some(at + 3),
        _ => None,
    }
}

fn parse(digits: &[u8]) -> Option<u64> {
    std::str::from_utf8(digits).ok()?.trim().parse().ok()
}

/// Returns the media type that headers state, in lowercase and without parameters.
pub fn media_type(headers: &HeaderMap) -> Option<String> {
    let stated = headers.get(header::CONTENT_TYPE)?.to_str().ok()?;
    let media_type = stated.split(';').next()?.trim().to_ascii_lowercase();
    Some(media_type)
}

/// Returns whether the body of a response consists of events, if its route streams: one that
/// states no type does.
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    let is_encoded = headers
        .get(header::CONTENT_ENCODING)
        .is_some_and(|encoding| encoding != "identity");
    !is_encoded && media_type(headers).is_none_or(|media_type| media_type == EVENT_STREAM)
}

/// Returns whether a response with this head may go on with a stream of the `stated` media type.
/// Its own type must be that of the stream, since its head is not passed on.
pub fn may_continue(stated: Option<&str>, status: StatusCode, headers: &HeaderMap) -> bool {
    status == StatusCode::OK
        && is_event_stream(headers)
        && (stated.is_none() || media_type(headers).as_deref() == stated)
}
