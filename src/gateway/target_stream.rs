//! The socket of a connection to a target.

use socket2::SockRef;
use std::{
    io::{self, ErrorKind, IoSlice},
    mem::MaybeUninit,
    net::Shutdown,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// A socket that is shared by the HTTP library, which reads and writes, and by the connection's
/// owner, which looks at its state. One task may read and write at a time.
#[derive(Clone)]
pub struct TargetStream(Arc<TcpStream>);

impl TargetStream {
    /// Wraps a socket.
    pub fn new(stream: TcpStream) -> Self {
        Self(Arc::new(stream))
    }

    /// Returns whether bytes or the end have arrived that were not read yet. It asks the operating
    /// system, as the runtime may not have been told yet.
    pub fn has_input(&self) -> bool {
        let peeked = SockRef::from(&*self.0).peek(&mut [MaybeUninit::uninit()]);
        !matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    /// Makes the operating system discard what has not been delivered when the socket is closed,
    /// and reset the connection.
    pub fn reset_on_close(&self) {
        if let Err(error) = SockRef::from(&*self.0).set_linger(Some(Duration::ZERO)) {
            tracing::debug!(%error, "gateway: an abandoned connection is closed in order");
        }
    }
}

impl AsyncRead for TargetStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context,
        buffer: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        // The operating system reads nothing into an empty buffer, which looks like the end.
        if buffer.remaining() == 0 {
            return Poll::Ready(Ok(()));
        }
        loop {
            ready!(self.0.poll_read_ready(context))?;
            match self.0.try_read_buf(buffer) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result.map(drop)),
            }
        }
    }
}

impl AsyncWrite for TargetStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(context, &[IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context,
        parts: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(context))?;
            match self.0.try_write_vectored(parts) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.0).shutdown(Shutdown::Write))
    }
}
