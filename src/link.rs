//! Framed TCP connection with heartbeats and dead-peer detection.
//!
//! While work is in progress on a link, each end with work sends heartbeats and closes the link
//! if it receives nothing for [`SILENCE_TIMEOUT_MS`], so that its owner can reconnect on a new
//! socket. An idle link sends no heartbeats.

use crate::derives::record;
use bytes::{Bytes, BytesMut};
use futures::{SinkExt, StreamExt};
use serde::{Serialize, de::DeserializeOwned};
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::mpsc,
    time::{Instant, timeout},
};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

/// Heartbeat interval of a link with work in progress.
const HEARTBEAT_MS: u64 = 300;
/// Time without data from the peer after which a link with work in progress is closed.
pub const SILENCE_TIMEOUT_MS: u64 = 1500;
/// Timeout for establishing a connection.
const CONNECT_TIMEOUT_MS: u64 = 1000;
/// Maximum size of a frame.
pub const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;
const OUTGOING_QUEUE_FRAMES: usize = 4096;
const INCOMING_QUEUE_FRAMES: usize = 1024;
const WRITE_BATCH_BYTES: usize = 64 * 1024;

record! {
    enum Frame<T> {
        Ping,
        Pong,
        Payload(T),
    }
}

/// The sending end of a link.
#[derive(Clone)]
pub struct LinkSender<Out> {
    frames: mpsc::Sender<Frame<Out>>,
    work: Arc<AtomicU64>,
}

/// Guard that keeps heartbeats running on a link until it is dropped.
pub struct KeepaliveGuard(Arc<AtomicU64>);

impl Drop for KeepaliveGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The link is closed or its queue is full; the message was not queued.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("the link is closed")]
pub struct LinkClosed;

impl<Out> LinkSender<Out> {
    /// Queues a message; waits while the queue is full.
    ///
    /// # Errors
    /// Fails if the link is closed.
    pub async fn send(&self, message: Out) -> Result<(), LinkClosed> {
        self.frames
            .send(Frame::Payload(message))
            .await
            .map_err(|_| LinkClosed)
    }

    /// Queues a message without waiting.
    ///
    /// # Errors
    /// Fails if the link is closed or its queue is full.
    pub fn try_send(&self, message: Out) -> Result<(), LinkClosed> {
        self.frames
            .try_send(Frame::Payload(message))
            .map_err(|_| LinkClosed)
    }

    /// Marks work in progress; heartbeats are sent until the returned guard is dropped.
    pub fn keep_alive(&self) -> KeepaliveGuard {
        self.work.fetch_add(1, Ordering::Relaxed);
        KeepaliveGuard(Arc::clone(&self.work))
    }

    /// Completes once the link is closed.
    pub async fn closed(&self) {
        self.frames.closed().await;
    }

    /// Whether the link is closed.
    pub fn is_closed(&self) -> bool {
        self.frames.is_closed()
    }
}

/// The receiving end of a link.
pub struct LinkReceiver<In>(mpsc::Receiver<In>);

impl<In> LinkReceiver<In> {
    /// Receives the next message; `None` once the link is closed.
    pub async fn receive(&mut self) -> Option<In> {
        self.0.recv().await
    }
}

/// Connects to an address and opens a link.
///
/// # Errors
/// Fails if the connection cannot be established in time.
pub async fn connect<Out, In>(
    address: SocketAddr,
) -> io::Result<(LinkSender<Out>, LinkReceiver<In>)>
where
    Out: Serialize + Send + Sync + 'static,
    In: DeserializeOwned + Send + 'static,
{
    let connecting = TcpStream::connect(address);
    let stream = timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), connecting).await??;
    Ok(open(stream))
}

/// Opens a link on an established connection.
pub fn open<Out, In>(stream: TcpStream) -> (LinkSender<Out>, LinkReceiver<In>)
where
    Out: Serialize + Send + Sync + 'static,
    In: DeserializeOwned + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let (read_half, write_half) = stream.into_split();
    let (frames, outgoing) = mpsc::channel(OUTGOING_QUEUE_FRAMES);
    let (messages, incoming) = mpsc::channel(INCOMING_QUEUE_FRAMES);
    let work = Arc::new(AtomicU64::new(0));
    let sender = LinkSender {
        frames,
        work: Arc::clone(&work),
    };
    let pongs = sender.frames.downgrade();
    let writer = tokio::spawn(write_frames(outgoing, write_half, Arc::clone(&work)));
    tokio::spawn(async move {
        read_frames(messages, pongs, read_half, work).await;
        writer.abort();
    });
    (sender, LinkReceiver(incoming))
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

async fn write_frames<Out: Serialize>(
    mut outgoing: mpsc::Receiver<Frame<Out>>,
    write_half: OwnedWriteHalf,
    work: Arc<AtomicU64>,
) {
    let mut sink = FramedWrite::new(write_half, codec());
    sink.set_backpressure_boundary(WRITE_BATCH_BYTES);
    let mut heartbeat = tokio::time::interval(Duration::from_millis(HEARTBEAT_MS));
    loop {
        let frame = tokio::select! {
            frame = outgoing.recv() => frame,
            _ = heartbeat.tick() => match work.load(Ordering::Relaxed) {
                0 => continue,
                _ => Some(Frame::Ping),
            },
        };
        let Some(frame) = frame else { return };
        if feed(&mut sink, &frame).await.is_err() {
            return;
        }
        while let Ok(frame) = outgoing.try_recv() {
            if feed(&mut sink, &frame).await.is_err() {
                return;
            }
        }
        if SinkExt::<Bytes>::flush(&mut sink).await.is_err() {
            return;
        }
    }
}

async fn feed<Out: Serialize>(
    sink: &mut FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    frame: &Frame<Out>,
) -> io::Result<()> {
    let bytes = postcard::to_stdvec(frame).map_err(io::Error::other)?;
    sink.feed(Bytes::from(bytes)).await
}

async fn read_frames<Out, In: DeserializeOwned>(
    messages: mpsc::Sender<In>,
    pongs: mpsc::WeakSender<Frame<Out>>,
    read_half: OwnedReadHalf,
    work: Arc<AtomicU64>,
) {
    let mut stream = FramedRead::new(read_half, codec());
    let mut last_received = Instant::now();
    let mut silence_check = tokio::time::interval(Duration::from_millis(HEARTBEAT_MS));
    loop {
        let frame: Option<Result<BytesMut, io::Error>> = tokio::select! {
            biased;
            frame = stream.next() => frame,
            _ = silence_check.tick() => {
                if work.load(Ordering::Relaxed) == 0 {
                    last_received = Instant::now();
                } else if last_received.elapsed() > Duration::from_millis(SILENCE_TIMEOUT_MS) {
                    return;
                }
                continue;
            }
        };
        last_received = Instant::now();
        let decoded = match frame {
            Some(Ok(bytes)) => postcard::from_bytes::<Frame<In>>(&bytes),
            _ => return,
        };
        match decoded {
            Ok(Frame::Payload(message)) => match messages.send(message).await {
                Ok(()) => {}
                Err(_) => return,
            },
            Ok(Frame::Ping) => match pongs.upgrade() {
                Some(sender) => drop(sender.try_send(Frame::Pong)),
                None => return,
            },
            Ok(Frame::Pong) => {}
            Err(error) => {
                tracing::warn!(%error, "link: closed, a message cannot be read");
                return;
            }
        }
    }
}
