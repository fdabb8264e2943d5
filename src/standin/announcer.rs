//! Announces a stand-in target to its agent and keeps the announcement renewed.

use crate::{agent::Announcement, units::TargetVersion};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, client::conn::http1};
use hyper_util::rt::TokioIo;
use std::{net::SocketAddr, time::Duration};
use tokio::{net::TcpStream, sync::watch, time::timeout};

/// Interval at which an announcement is renewed.
const RENEWAL_MS: u64 = 500;

/// Renews the announcement of a target until dropped.
pub struct Announcer(watch::Sender<Announcement>);

impl Announcer {
    /// Starts announcing a target to the agent at `agent`.
    pub fn spawn(agent: SocketAddr, announcement: Announcement) -> Self {
        let (sender, mut receiver) = watch::channel(announcement);
        tokio::spawn(async move {
            loop {
                let body = serde_json::to_string(&*receiver.borrow_and_update());
                let interval = Duration::from_millis(RENEWAL_MS);
                let _ = timeout(interval, put_announcement(agent, body.unwrap_or_default())).await;
                if let Ok(Err(_)) = timeout(interval, receiver.changed()).await {
                    return;
                }
            }
        });
        Self(sender)
    }

    /// Announces the version of the target's software from now on.
    pub fn set_version(&self, version: TargetVersion) {
        self.0
            .send_modify(|announcement| announcement.version = version);
    }

    /// Announces that the target is draining.
    pub fn drain(&self) {
        self.0
            .send_modify(|announcement| announcement.leaving = true);
    }
}

async fn put_announcement(
    agent: SocketAddr,
    body: String,
) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    let stream = TcpStream::connect(agent).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let request = Request::put("/target")
        .header("host", agent.to_string())
        .body(Full::new(Bytes::from(body)))?;
    sender.send_request(request).await?;
    Ok(())
}
