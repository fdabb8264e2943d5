//! An answer on its way: kept until the entry has acknowledged it, so that a
//! new link can continue where a broken one stopped.

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

/// The most bytes sent and not acknowledged.
const WINDOW_BYTES: u64 = 256 * 1024;

/// How an answer ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// It is whole.
    Whole {
        /// The CRC-32 of its bytes.
        crc: u32,
    },
    /// It is not.
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
    pump: u64,
    detached_since: Option<Instant>,
}

/// One answer, between the target's connection and the entry's link.
pub struct Answer {
    request: RequestId,
    state: Mutex<State>,
    produced: Notify,
    consumed: Notify,
}

impl Answer {
    /// An answer of which nothing has come yet.
    pub fn new(request: RequestId) -> Self {
        let state = State {
            head: None,
            parts: VecDeque::new(),
            length: 0,
            acknowledged: 0,
            end_acknowledged: false,
            ending: None,
            cancelled: false,
            pump: 0,
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

    /// Takes the status and headers.
    pub fn set_head(&self, status: u16, headers: Vec<(String, Bytes)>) {
        self.update(|state| state.head = Some((status, headers)));
        self.produced.notify_waiters();
    }

    /// Takes a part of the body; waits while too much is not acknowledged.
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

    /// Ends the answer.
    pub fn end(&self, ending: Ending) {
        self.update(|state| state.ending = Some(ending));
        self.produced.notify_waiters();
    }

    /// Drops what the entry has; `offset` at the end acknowledges the end too.
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

    /// Completes once the answer is cancelled.
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

    /// Whether no link has carried the answer for this long.
    pub fn detached_for(&self, duration: Duration) -> bool {
        self.update(|state| {
            state.ending.is_none()
                && state
                    .detached_since
                    .is_some_and(|since| since.elapsed() > duration)
        })
    }

    /// Sends the answer from an offset on; a later call takes over from this one.
    pub async fn pump(&self, link: LinkSender<FromAgent>, mut offset: u64) {
        let _work = link.work();
        let own = self.update(|state| {
            state.pump += 1;
            state.detached_since = None;
            state.pump
        });
        let mut head_sent = offset > 0;
        loop {
            let produced = self.produced.notified();
            let frames = self.frames(own, &mut head_sent, &mut offset);
            let Some((frames, ended)) = frames else {
                return;
            };
            let waits = frames.is_empty();
            for frame in frames {
                if link.send(frame).await.is_err() {
                    self.detach(own);
                    return;
                }
            }
            match (ended, waits) {
                (true, _) => return,
                (false, false) => {}
                (false, true) => tokio::select! {
                    () = produced => {}
                    () = link.closed() => {
                        self.detach(own);
                        return;
                    }
                },
            }
        }
    }

    fn detach(&self, pump: u64) {
        self.update(|state| {
            if state.pump == pump {
                state.detached_since = Some(Instant::now());
            }
        });
    }

    /// What is to be sent next, and whether the end is in it; `None` for a
    /// pump that another one has taken over from.
    fn frames(
        &self,
        pump: u64,
        head_sent: &mut bool,
        offset: &mut u64,
    ) -> Option<(Vec<FromAgent>, bool)> {
        let request = self.request;
        self.update(|state| {
            if state.pump != pump {
                return None;
            }
            let mut frames = Vec::new();
            if let Some((status, headers)) = state.head.as_ref().filter(|_| !*head_sent) {
                let (status, headers) = (*status, headers.clone());
                frames.push(FromAgent::Head {
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
                frames.push(FromAgent::Data {
                    request,
                    offset: *offset,
                    bytes,
                });
                *offset += length;
            }
            let ending = state.ending.clone().map(|ending| match ending {
                Ending::Whole { crc } => FromAgent::End {
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
            frames.extend(ending);
            Some((frames, ended))
        })
    }
}
