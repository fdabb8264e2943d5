//! An HTTP/1.1 and HTTP/2 server without TLS, with graceful shutdown.

use crate::{
    accept,
    caller_stream::{CallerStream, ResponseFraming},
};
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
use std::{convert::Infallible, error::Error, io, net::SocketAddr, pin::pin, sync::Arc};
use tokio::{net::TcpListener, sync::oneshot, task::JoinHandle};

/// A bound listener that does not accept connections yet.
pub struct HttpListener {
    listener: TcpListener,
    address: SocketAddr,
}

/// A running server. Dropping it stops accepting.
pub struct HttpServer {
    address: SocketAddr,
    stop_sender: oneshot::Sender<()>,
    server_task: JoinHandle<()>,
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

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves each request with `handler`; `component` prefixes the log lines.
    pub fn serve<H, F, B>(self, component: &'static str, handler: H) -> HttpServer
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<B>> + Send + 'static,
        B: Body<Data = Bytes> + Send + 'static,
        B::Error: Into<Box<dyn Error + Send + Sync>>,
    {
        let (stop_sender, stop_signal) = oneshot::channel();
        let server_task = tokio::spawn(serve(self.listener, component, handler, stop_signal));
        HttpServer {
            address: self.address,
            stop_sender,
            server_task,
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
        component: &'static str,
        handler: H,
    ) -> io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<B>> + Send + 'static,
        B: Body<Data = Bytes> + Send + 'static,
        B::Error: Into<Box<dyn Error + Send + Sync>>,
    {
        Ok(HttpListener::bind(address).await?.serve(component, handler))
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and finishes all open requests.
    pub async fn shutdown(self) {
        let _ = self.stop_sender.send(());
        let _ = self.server_task.await;
    }
}

async fn serve<H, F, B>(
    listener: TcpListener,
    component: &'static str,
    handler: H,
    mut stop_signal: oneshot::Receiver<()>,
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
            stream = accept::accept(&listener, component) => stream,
            _ = &mut stop_signal => break,
        };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let framing = Arc::<ResponseFraming>::default();
        let (for_response, for_stream) = (Arc::clone(&framing), Arc::clone(&framing));
        let service = service_fn(move |request: Request<Incoming>| {
            let (framing, version) = (Arc::clone(&for_response), request.version());
            let response = handler(request);
            async move {
                let response = response.await;
                framing.begin(version, &response);
                Ok::<_, Infallible>(response)
            }
        });
        let connection = builder
            .serve_connection(TokioIo::new(CallerStream::new(stream, for_stream)), service)
            .into_owned();
        let served = graceful.watch(connection);
        tokio::spawn(async move {
            let mut served = pin!(served);
            if let Err(error) = served.as_mut().await {
                tracing::debug!("{component}: connection ended: {error}");
            }
        });
    }
    drop(listener);
    graceful.shutdown().await;
}
