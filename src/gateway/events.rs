//! Splits an event stream into whole events, so that a stream that breaks can go on
//! elsewhere without a piece twice or a piece lost.

use bytes::{Bytes, BytesMut};

/// The longest event that is waited for: far above what an event of text holds.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// The whole events of a stream so far, and what has arrived of the next one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<u64>,
    count: u64,
}

impl EventSplitter {
    /// Events after one that the caller already has.
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Takes bytes; returns the events that are whole now, as they came.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        let search_from = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(bytes);
        let Some(end) = end_of_last_event(&self.partial, search_from) else {
            return Bytes::new();
        };
        let events = self.partial.split_to(end).freeze();
        for line in events.split(|byte| *byte == b'\n') {
            let id = line.strip_prefix(b"id:").and_then(parse);
            self.count += u64::from(id.is_some());
            self.last_id = id.or(self.last_id);
        }
        events
    }

    /// Whether the stream stopped inside an event.
    pub fn is_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Whether the event that the stream is inside of is too long to be one.
    pub fn is_too_long(&self) -> bool {
        self.partial.len() > MAX_EVENT_BYTES
    }

    /// Drops what has arrived of an event that will not become whole.
    pub fn drop_partial(&mut self) {
        self.partial = BytesMut::new();
    }

    /// The id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// How many whole events with an id came.
    pub fn count(&self) -> u64 {
        self.count
    }
}

/// Where the last whole event ends; events end with an empty line.
fn end_of_last_event(bytes: &[u8], from: usize) -> Option<usize> {
    let ends_at = |at: usize| match &bytes[at..] {
        [b'\n', b'\n', ..] => Some(at + 2),
        [b'\n', b'\r', b'\n', ..] => Some(at + 3),
        _ => None,
    };
    (from..bytes.len()).rev().find_map(ends_at)
}

fn parse(digits: &[u8]) -> Option<u64> {
    std::str::from_utf8(digits).ok()?.trim().parse().ok()
}
