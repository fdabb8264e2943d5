//! Server of an agent: links from entries, announcements of the target and periodic tasks.

use super::{Announcement, dispatcher::Dispatcher, orders::AcceptedOrders};
use crate::{
    accept,
    control::{
        ControlClient,
        members::{Member, ProcessRole},
    },
    control_view::ControlView,
    http_server::{HttpListener, HttpServer},
    link::{self, LinkReceiver, LinkSender},
    settings::AgentSettings,
    units::*,
    wire::*,
};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use std::{collections::HashSet, io, net::SocketAddr, sync::Arc, time::Duration};
use tokio::net::{TcpListener, TcpStream};

/// Interval at which leases and deadlines are checked.
const TICK_MS: u64 = 50;
/// Interval at which the target is sent changed orders.
const ORDERS_SYNC_MS: u64 = 200;
/// Maximum size of an announcement.
const MAX_ANNOUNCEMENT_BYTES: usize = 16 * 1024;

/// An agent could not bind one of its addresses.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("cannot listen at {address}: {error}")]
pub struct AgentStartError {
    /// Address that could not be bound.
    pub address: SocketAddr,
    /// The error of the operating system.
    pub error: io::Error,
}

/// A running agent.
pub struct Agent {
    dispatcher: Arc<Dispatcher>,
    name: TargetName,
    address: SocketAddr,
    announcements: HttpServer,
}

impl Agent {
    /// Binds the addresses and starts.
    ///
    /// # Errors
    /// Fails if an address cannot be bound.
    pub async fn bind(settings: &AgentSettings) -> Result<Self, AgentStartError> {
        let (links, address) = listen(settings.listen).await?;
        let announcements = HttpListener::bind(settings.announce)
            .await
            .map_err(|error| AgentStartError {
                address: settings.announce,
                error,
            })?;
        let incarnation = Incarnation::random();
        let member = Member {
            name: ProcessName(settings.name.0.clone()),
            role: ProcessRole::Agent,
            failure_domain: settings.failure_domain.clone(),
            incarnation,
            address: settings.advertise.unwrap_or(address).to_string(),
            target: None,
        };
        let client = Arc::new(ControlClient::new(settings.control.clone()));
        let view = ControlView::spawn(client, member);
        let dispatcher = Arc::new(Dispatcher::new(settings.name.clone(), incarnation, view));
        tokio::spawn(accept_links(links, Arc::clone(&dispatcher)));
        let dispatcher_for_announcements = Arc::clone(&dispatcher);
        let announcements = announcements.serve("agent", move |request| {
            let dispatcher = Arc::clone(&dispatcher_for_announcements);
            async move { handle_announcement(request, &dispatcher).await }
        });
        tokio::spawn(tick(Arc::clone(&dispatcher)));
        tokio::spawn(sync_orders(Arc::clone(&dispatcher)));
        tracing::info!("agent: {} listening on {address}", settings.name);
        Ok(Self {
            dispatcher,
            name: settings.name.clone(),
            address,
            announcements,
        })
    }

    /// Address that entries connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Address that the target sends its announcements to.
    pub fn announce_address(&self) -> SocketAddr {
        self.announcements.address()
    }

    /// Applies later settings to the running agent: the addresses of the control instances.
    pub fn update_settings(&self, settings: &AgentSettings) {
        self.dispatcher.view().set_control(settings.control.clone());
    }

    /// Stops accepting requests, finishes those in progress and deregisters from the control
    /// group.
    pub async fn shutdown(self) {
        self.dispatcher.drain();
        while !self.dispatcher.is_idle() {
            tokio::time::sleep(Duration::from_millis(TICK_MS)).await;
        }
        self.dispatcher.view().deregister().await;
        tracing::info!("agent: {} stopped", self.name);
    }
}

async fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), AgentStartError> {
    let failed = |error| AgentStartError { address, error };
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    Ok((listener, address))
}

async fn tick(dispatcher: Arc<Dispatcher>) {
    let mut interval = tokio::time::interval(Duration::from_millis(TICK_MS));
    loop {
        interval.tick().await;
        dispatcher.tick();
    }
}

/// Keeps the orders of the target up to date.
async fn sync_orders(dispatcher: Arc<Dispatcher>) {
    let mut accepted = AcceptedOrders::default();
    let mut interval = tokio::time::interval(Duration::from_millis(ORDERS_SYNC_MS));
    loop {
        interval.tick().await;
        if let Some(announcement) = dispatcher.announced() {
            accepted
                .sync(&dispatcher.view().load(), &announcement)
                .await;
        }
    }
}

async fn accept_links(listener: TcpListener, dispatcher: Arc<Dispatcher>) {
    loop {
        let stream = accept::accept(&listener, "agent").await;
        tokio::spawn(serve_link(stream, Arc::clone(&dispatcher)));
    }
}

async fn serve_link(stream: TcpStream, dispatcher: Arc<Dispatcher>) {
    let (sender, mut receiver): (LinkSender<FromAgent>, LinkReceiver<ToAgent>) = link::open(stream);
    if sender.send(dispatcher.hello()).await.is_err() {
        return;
    }
    let mut reserved = HashSet::new();
    while let Some(message) = receiver.receive().await {
        if let ToAgent::Reserve(reserve) = &message {
            reserved.insert(reserve.request);
        }
        if let ToAgent::Release { request } | ToAgent::Dispatch { request, .. } = &message {
            reserved.remove(request);
        }
        dispatcher.handle(message, &sender);
    }
    for request in reserved {
        dispatcher.release(request);
    }
}

async fn handle_announcement(
    request: Request<Incoming>,
    dispatcher: &Dispatcher,
) -> Response<Full<Bytes>> {
    let (status, message) = match (request.method(), request.uri().path()) {
        (&Method::PUT, "/target") => {
            let body = Limited::new(request.into_body(), MAX_ANNOUNCEMENT_BYTES)
                .collect()
                .await;
            let parsed = body.map_err(|error| error.to_string()).and_then(|body| {
                serde_json::from_slice::<Announcement>(&body.to_bytes())
                    .map_err(|error| error.to_string())
            });
            match parsed {
                Ok(announcement) => match dispatcher.apply_announcement(announcement) {
                    Ok(()) => (StatusCode::OK, "announced\n".to_string()),
                    Err(error) => (StatusCode::CONFLICT, format!("{error}\n")),
                },
                Err(error) => (
                    StatusCode::BAD_REQUEST,
                    format!("not an announcement: {error}\n"),
                ),
            }
        }
        _ => (
            StatusCode::NOT_FOUND,
            "announce with PUT /target\n".to_string(),
        ),
    };
    let mut response = Response::new(Full::new(message.into()));
    *response.status_mut() = status;
    response
}
