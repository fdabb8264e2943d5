//! The connection of a caller.

use hyper::Version;
use socket2::SockRef;
use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Version of a response that ends with its connection: the HTTP library writes neither a length
/// nor chunks for this one only.
pub const UNFRAMED_VERSION: Version = Version::HTTP_10;

/// Whether the last response on a connection was cut.
#[derive(Default)]
pub struct ResponseCut {
    /// Whether only the end of the connection ends the last response.
    is_unframed: AtomicBool,
    is_cut: AtomicBool,
}

impl ResponseCut {
    /// Records that a response begins.
    pub fn begin(&self, request: Version, response: Version) {
        let is_unframed = request < Version::HTTP_11 || response == UNFRAMED_VERSION;
        self.is_unframed.store(is_unframed, Ordering::Relaxed);
    }

    /// Records the failure that ended the connection.
    pub fn record_failure(&self, error: &hyper::Error) {
        let is_cut = error.is_user() && self.is_unframed.load(Ordering::Relaxed);
        self.is_cut.store(is_cut, Ordering::Relaxed);
    }
}

/// A connection that is reset instead of closed if its last response was cut and has no other end
/// than that of the connection.
pub struct CallerStream {
    stream: TcpStream,
    cut: Arc<ResponseCut>,
}

impl CallerStream {
    /// Wraps a connection; `cut` tells, when it is dropped, whether to reset it.
    pub fn new(stream: TcpStream, cut: Arc<ResponseCut>) -> Self {
        Self { stream, cut }
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        if !self.cut.is_cut.load(Ordering::Relaxed) {
            return;
        }
        if let Err(error) = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)) {
            tracing::warn!(%error, "http: connection with a cut response not reset");
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context,
        buffer: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context,
        slices: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(context, slices)
    }
}
