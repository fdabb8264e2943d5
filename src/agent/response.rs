//! A response that is being forwarded to an entry, buffered until the entry has acknowledged it,
//! so that a new link can resume where a broken one stopped.

use crate::{
    link::LinkSender,
    units::RequestId,
    verdict::{Reason, Verdict},
    wire::FromAgent,
};
use bytes::Bytes;
use std::{
    collections::VecDeque,
    sync::Mutex,
    time::{Duration, Instant},
};
use tokio::sync::Notify;

/// Maximum number of bytes that are buffered and not acknowledged.
const WINDOW_BYTES: u64 = 256 * 1024;

/// How a response ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// It is complete.
    Complete {
        /// The CRC-32 of its bytes.
        crc: u32,
    },
    /// It failed before it was complete.
    Failed(Verdict, Reason),
}

type Head = (u16, Vec<(String, Bytes)>);

struct State {
    head: Option<Head>,
    parts: VecDeque<(u64, Bytes)>,
    length: u64,
    acknowledged: u64,
    end_acknowledged: bool,
    ending: Option<Ending>,
    cancelled: bool,
    generation: u64,
    detached_since: Option<Instant>,
}

/// One response, between the connection to the target and the link to the entry.
pub struct BufferedResponse {
    request: RequestId,
    state: Mutex<State>,
    produced: Notify,
    consumed: Notify,
}

impl BufferedResponse {
    /// Creates an empty response.
    pub fn new(request: RequestId) -> Self {
        let state = State {
            head: None,
            parts: VecDeque::new(),
            length: 0,
            acknowledged: 0,
            end_acknowledged: false,
            ending: None,
            cancelled: false,
            generation: 0,
            detached_since: None,
        };
        let (produced, consumed) = (Notify::new(), Notify::new());
        Self {
            request,
            state: Mutex::new(state),
            produced,
            consumed,
        }
    }

    fn update<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        change(&mut self.state.lock().expect("no holder panics"))
    }

    /// Sets the status and headers.
    pub fn set_head(&self, status: u16, headers: Vec<(String, Bytes)>) {
        self.update(|state| state.head = Some((status, headers)));
        self.produced.notify_waiters();
    }

    /// Appends a part of the body; waits while [`WINDOW_BYTES`] are unacknowledged.
    pub async fn push(&self, bytes: Bytes) {
        loop {
            let consumed = self.consumed.notified();
            let full = self.update(|state| {
                !state.cancelled && state.length - state.acknowledged >= WINDOW_BYTES
            });
            if !full {
                break;
            }
            consumed.await;
        }
        self.update(|state| {
            let offset = state.length;
            state.length += bytes.len() as u64;
            state.parts.push_back((offset, bytes));
        });
        self.produced.notify_waiters();
    }

    /// Ends the response.
    pub fn end(&self, ending: Ending) {
        self.update(|state| state.ending = Some(ending));
        self.produced.notify_waiters();
    }

    /// Drops the bytes before `offset`. An offset equal to the length also acknowledges the end.
    pub fn acknowledge(&self, offset: u64) {
        self.update(|state| {
            state.acknowledged = state.acknowledged.max(offset.min(state.length));
            let acknowledged = state.acknowledged;
            while state
                .parts
                .front()
                .is_some_and(|(at, b)| at + b.len() as u64 <= acknowledged)
            {
                state.parts.pop_front();
            }
            state.end_acknowledged = state.ending.is_some() && offset >= state.length;
        });
        self.consumed.notify_waiters();
    }

    /// Asks the producer to stop.
    pub fn cancel(&self) {
        self.update(|state| state.cancelled = true);
        self.consumed.notify_waiters();
        self.produced.notify_waiters();
    }

    /// Completes once the response is cancelled.
    pub async fn cancelled(&self) {
        loop {
            let consumed = self.consumed.notified();
            if self.update(|state| state.cancelled) {
                return;
            }
            consumed.await;
        }
    }

    /// Completes once the entry has acknowledged the end.
    pub async fn end_acknowledged(&self) {
        loop {
            let consumed = self.consumed.notified();
            if self.update(|state| state.end_acknowledged) {
                return;
            }
            consumed.await;
        }
    }

    /// Whether the response is incomplete and has had no link for longer than `duration`.
    pub fn detached_for(&self, duration: Duration) -> bool {
        self.update(|state| {
            state.ending.is_none()
                && state
                    .detached_since
                    .is_some_and(|since| since.elapsed() > duration)
        })
    }

    /// Sends the response over a link, starting at an offset. A later call replaces this one.
    pub async fn send_to(&self, link: LinkSender<FromAgent>, mut offset: u64) {
        let _keepalive = link.keep_alive();
        let generation = self.update(|state| {
            state.generation += 1;
            state.detached_since = None;
            state.generation
        });
        let mut head_sent = offset > 0;
        loop {
            let produced = self.produced.notified();
            let messages = self.next_messages(generation, &mut head_sent, &mut offset);
            let Some((messages, ended)) = messages else {
                return;
            };
            let is_empty = messages.is_empty();
            for message in messages {
                if link.send(message).await.is_err() {
                    self.detach(generation);
                    return;
                }
            }
            match (ended, is_empty) {
                (true, _) => return,
                (false, false) => {}
                (false, true) => tokio::select! {
                    () = produced => {}
                    () = link.closed() => {
                        self.detach(generation);
                        return;
                    }
                },
            }
        }
    }

    fn detach(&self, generation: u64) {
        self.update(|state| {
            if state.generation == generation {
                state.detached_since = Some(Instant::now());
            }
        });
    }

    /// The next messages to send, and whether they include the end; `None` if a later sender has
    /// replaced this one.
    fn next_messages(
        &self,
        generation: u64,
        head_sent: &mut bool,
        offset: &mut u64,
    ) -> Option<(Vec<FromAgent>, bool)> {
        let request = self.request;
        self.update(|state| {
            if state.generation != generation {
                return None;
            }
            let mut messages = Vec::new();
            if let Some((status, headers)) = state.head.as_ref().filter(|_| !*head_sent) {
                let (status, headers) = (*status, headers.clone());
                messages.push(FromAgent::Head {
                    request,
                    status,
                    headers,
                });
                *head_sent = true;
            }
            let start = state
                .parts
                .partition_point(|(at, b)| at + b.len() as u64 <= *offset);
            for (at, bytes) in state.parts.iter().skip(start) {
                let skip = offset.saturating_sub(*at) as usize;
                let bytes = bytes.slice(skip..);
                let length = bytes.len() as u64;
                messages.push(FromAgent::Data {
                    request,
                    offset: *offset,
                    bytes,
                });
                *offset += length;
            }
            let ending = state.ending.clone().map(|ending| match ending {
                Ending::Complete { crc } => FromAgent::End {
                    request,
                    length: state.length,
                    crc,
                },
                Ending::Failed(verdict, reason) => FromAgent::Failed {
                    request,
                    verdict,
                    reason,
                },
            });
            let ended = ending.is_some();
            messages.extend(ending);
            Some((messages, ended))
        })
    }
}
