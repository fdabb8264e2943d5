//! Output stream of a stand-in engine, kept in full so that it can be resumed at any offset.

use bytes::Bytes;
use futures::{StreamExt, stream};
use http_body_util::{Either, Full, StreamBody};
use hyper::{Response, body::Frame};
use std::{
    io,
    sync::{Arc, Mutex},
};
use tokio::sync::Notify;

/// Body of a response: complete or streamed.
pub type EngineBody = Either<Full<Bytes>, EngineStreamBody>;
/// Body of a streamed response.
pub type EngineStreamBody =
    StreamBody<futures::stream::BoxStream<'static, Result<Frame<Bytes>, io::Error>>>;

#[derive(Default)]
struct StreamState {
    bytes: Vec<u8>,
    done: bool,
    cancelled: bool,
}

pub struct EngineStream {
    is_stream: bool,
    state: Mutex<StreamState>,
    changed: Notify,
}

impl EngineStream {
    /// Creates an empty output; `is_stream` if it is sent as server-sent events.
    pub(super) fn new(is_stream: bool) -> Self {
        Self {
            is_stream,
            state: Mutex::default(),
            changed: Notify::new(),
        }
    }

    /// Appends bytes; returns whether the stream is cancelled.
    pub(super) fn append(&self, bytes: &[u8]) -> bool {
        let mut state = self.state.lock().expect("no holder panics");
        state.bytes.extend_from_slice(bytes);
        self.changed.notify_waiters();
        state.cancelled
    }

    /// Asks the producer to stop.
    pub(super) fn cancel(&self) {
        self.state.lock().expect("no holder panics").cancelled = true;
        self.changed.notify_waiters();
    }

    pub(super) fn finish(&self) {
        self.state.lock().expect("no holder panics").done = true;
        self.changed.notify_waiters();
    }

    /// Waits for bytes after an offset; `None` at the end of the stream.
    pub(super) async fn read_after(&self, offset: usize) -> Option<Bytes> {
        loop {
            let changed = self.changed.notified();
            {
                let state = self.state.lock().expect("no holder panics");
                if state.bytes.len() > offset {
                    return Some(Bytes::copy_from_slice(&state.bytes[offset..]));
                }
                if state.done || state.cancelled {
                    return None;
                }
            }
            changed.await;
        }
    }

    pub(super) async fn collect(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        while let Some(more) = self.read_after(bytes.len()).await {
            bytes.extend_from_slice(&more);
        }
        bytes
    }
}

/// Builds a response that sends a stream from an offset on as it is produced.
pub fn stream_response(stream: Arc<EngineStream>, offset: usize) -> Response<EngineBody> {
    let content_type = match stream.is_stream {
        true => "text/event-stream",
        false => "application/json",
    };
    let frames = stream::unfold((stream, offset), |(stream, offset)| async move {
        let bytes = stream.read_after(offset).await?;
        let offset = offset + bytes.len();
        Some((Ok(Frame::data(bytes)), (stream, offset)))
    });
    let mut response = Response::new(Either::Right(StreamBody::new(frames.boxed())));
    let content_type = hyper::header::HeaderValue::from_static(content_type);
    response.headers_mut().insert("content-type", content_type);
    response
}
