//! Serves HTTP/1.1 and HTTP/2 without TLS until it is told to stop.

use crate::accept;
use bytes::Bytes;
use hyper::{
    Request, Response,
    body::{Body, Incoming},
    service::service_fn,
};
use hyper_util::{
    rt::{TokioExecutor, TokioIo},
    server::{conn::auto, graceful::GracefulShutdown},
};
use std::{convert::Infallible, error::Error, io, net::SocketAddr};
use tokio::{net::TcpListener, sync::oneshot, task::JoinHandle};

/// A bound address that is not served yet.
pub struct HttpListener {
    listener: TcpListener,
    address: SocketAddr,
}

/// A running server. Dropping it stops accepting.
pub struct HttpServer {
    address: SocketAddr,
    stop: oneshot::Sender<()>,
    serving: JoinHandle<()>,
}

impl HttpListener {
    /// Binds an address.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        Ok(Self { listener, address })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Answers each request by `handle`; `part` starts the server's log lines.
    pub fn serve<H, F, B>(self, part: &'static str, handle: H) -> HttpServer
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<B>> + Send + 'static,
        B: Body<Data = Bytes> + Send + 'static,
        B::Error: Into<Box<dyn Error + Send + Sync>>,
    {
        let (stop, stopped) = oneshot::channel();
        let serving = tokio::spawn(serve(self.listener, part, handle, stopped));
        HttpServer {
            address: self.address,
            stop,
            serving,
        }
    }
}

impl HttpServer {
    /// Binds an address and serves it; see [`HttpListener::serve`].
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub async fn bind<H, F, B>(
        address: SocketAddr,
        part: &'static str,
        handle: H,
    ) -> io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<B>> + Send + 'static,
        B: Body<Data = Bytes> + Send + 'static,
        B::Error: Into<Box<dyn Error + Send + Sync>>,
    {
        Ok(HttpListener::bind(address).await?.serve(part, handle))
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting and finishes every request.
    pub async fn shutdown(self) {
        let _ = self.stop.send(());
        let _ = self.serving.await;
    }
}

async fn serve<H, F, B>(
    listener: TcpListener,
    part: &'static str,
    handle: H,
    mut stopped: oneshot::Receiver<()>,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let graceful = GracefulShutdown::new();
    let builder = auto::Builder::new(TokioExecutor::new());
    loop {
        let stream = tokio::select! {
            stream = accept::accept(&listener, part) => stream,
            _ = &mut stopped => break,
        };
        let _ = stream.set_nodelay(true);
        let handle = handle.clone();
        let service = service_fn(move |request| {
            let answered = handle(request);
            async move { Ok::<_, Infallible>(answered.await) }
        });
        let connection = builder
            .serve_connection(TokioIo::new(stream), service)
            .into_owned();
        tokio::spawn(graceful.watch(connection));
    }
    drop(listener);
    graceful.shutdown().await;
}
