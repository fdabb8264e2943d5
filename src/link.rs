//! A framed connection that notices when the other end has gone silent.
//!
//! While either end has work on the link it sends heartbeats; hearing nothing
//! for [`SILENCE_MS`] then closes the link, so that its owner opens another on
//! a new socket. An idle link costs nothing.

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

/// How often a link with work on it sends a heartbeat.
const HEARTBEAT_MS: u64 = 300;
/// How long the other end may be silent while there is work on the link.
pub const SILENCE_MS: u64 = 1500;
/// How long a connection may take to be made.
const CONNECT_TIMEOUT_MS: u64 = 1000;
/// The longest frame, in bytes.
pub const FRAME_LIMIT_BYTES: usize = 64 * 1024 * 1024;
const OUTGOING_FRAMES: usize = 4096;
const INCOMING_FRAMES: usize = 1024;
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

/// Marks work in progress on a link until it is dropped.
pub struct LinkWork(Arc<AtomicU64>);

impl Drop for LinkWork {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The other end is gone; the message was not sent, or not whole.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("the link is closed")]
pub struct LinkClosed;

impl<Out> LinkSender<Out> {
    /// Queues a message; waits while the other end is slow.
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

    /// Marks work in progress: heartbeats run until the mark is dropped.
    pub fn work(&self) -> LinkWork {
        self.work.fetch_add(1, Ordering::Relaxed);
        LinkWork(Arc::clone(&self.work))
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
    /// The next message; `None` once the link is closed.
    pub async fn receive(&mut self) -> Option<In> {
        self.0.recv().await
    }
}

/// Connects to an address and opens a link.
///
/// # Errors
/// Fails if no connection is made in time.
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

/// Opens a link on a connection.
pub fn open<Out, In>(stream: TcpStream) -> (LinkSender<Out>, LinkReceiver<In>)
where
    Out: Serialize + Send + Sync + 'static,
    In: DeserializeOwned + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let (read_half, write_half) = stream.into_split();
    let (frames, outgoing) = mpsc::channel(OUTGOING_FRAMES);
    let (messages, incoming) = mpsc::channel(INCOMING_FRAMES);
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
        .max_frame_length(FRAME_LIMIT_BYTES)
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
    let mut heard = Instant::now();
    let mut check = tokio::time::interval(Duration::from_millis(HEARTBEAT_MS));
    loop {
        let frame: Option<Result<BytesMut, io::Error>> = tokio::select! {
            biased;
            frame = stream.next() => frame,
            _ = check.tick() => {
                if work.load(Ordering::Relaxed) == 0 {
                    heard = Instant::now();
                } else if heard.elapsed() > Duration::from_millis(SILENCE_MS) {
                    return;
                }
                continue;
            }
        };
        heard = Instant::now();
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
            Err(_) => return,
        }
    }
}
