//! The connection of a caller.

use hyper::{Response, Version, body::Body};
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

/// What ends the last response on a connection.
#[derive(Default)]
pub struct ResponseFraming {
    /// Whether only the end of the connection ends the last response.
    is_unframed: AtomicBool,
}

impl ResponseFraming {
    /// Records that a response with this body begins.
    pub fn begin<B: Body>(&self, request: Version, response: &Response<B>) {
        let has_length = response.body().size_hint().exact().is_some();
        let is_unframed = response.version() == UNFRAMED_VERSION && request >= Version::HTTP_11
            || request < Version::HTTP_11 && !has_length;
        self.is_unframed.store(is_unframed, Ordering::Relaxed);
    }
}

/// A connection that is reset unless it is shut down, while it carries a response that has no other
/// end than that of the connection.
///
/// The connection is set to be reset before the head of such a response is written: if the process
/// is killed, the operating system closes its connections, and an orderly end would make the part
/// that was written look whole. The HTTP library shuts a connection down only after a whole
/// response.
pub struct CallerStream {
    stream: TcpStream,
    framing: Arc<ResponseFraming>,
    is_reset_on_close: bool,
}

impl CallerStream {
    /// Wraps a connection; `framing` tells what ends its responses.
    pub fn new(stream: TcpStream, framing: Arc<ResponseFraming>) -> Self {
        Self {
            stream,
            framing,
            is_reset_on_close: false,
        }
    }

    fn reset_on_close(&mut self, is_reset_on_close: bool) -> io::Result<()> {
        if self.is_reset_on_close != is_reset_on_close {
            let linger = is_reset_on_close.then_some(Duration::ZERO);
            SockRef::from(&self.stream).set_linger(linger)?;
            self.is_reset_on_close = is_reset_on_close;
        }
        Ok(())
    }

    /// Prepares the connection for the response that is written to it.
    fn before_write(&mut self) -> io::Result<()> {
        let is_unframed = self.framing.is_unframed.load(Ordering::Relaxed);
        self.reset_on_close(is_unframed)
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
        let stream = self.get_mut();
        if let Err(error) = stream.before_write() {
            return Poll::Ready(Err(error));
        }
        Pin::new(&mut stream.stream).poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        let stream = self.get_mut();
        if let Err(error) = stream.reset_on_close(false) {
            return Poll::Ready(Err(error));
        }
        Pin::new(&mut stream.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context,
        slices: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        let stream = self.get_mut();
        if let Err(error) = stream.before_write() {
            return Poll::Ready(Err(error));
        }
        Pin::new(&mut stream.stream).poll_write_vectored(context, slices)
    }
}
