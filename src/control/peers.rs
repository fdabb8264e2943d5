//! Links between control instances.

use super::{directory::TargetAnnouncement, replica::ReplicaMessage, roster::Presence};
use crate::{
    accept,
    consensus::{Message, ReplicaId, Snapshot},
    derives::record,
    link,
};
use ractor::ActorRef;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};
use tokio::{
    net::TcpListener,
    runtime::Handle,
    sync::{Notify, mpsc},
    time::Instant,
};

/// Delay before reconnecting.
const RECONNECT_DELAY_MS: u64 = 100;
/// Delay before reconnecting to an instance that was not reached for [`RECONNECT_PATIENCE_MS`] and
/// has sent nothing meanwhile.
const LONG_RECONNECT_DELAY_MS: u64 = 1000;
/// Time for which an instance is tried again after the short delay.
const RECONNECT_PATIENCE_MS: u64 = 30_000;
/// Maximum number of messages queued per link; more are dropped, and retransmitted by the
/// consensus core.
const MAX_QUEUED_MESSAGES: usize = 1024;

record! {
    /// A message between control instances.
    #[allow(missing_docs)]
    pub enum PeerMessage {
        /// An instance's presence message.
        Present(Presence),
        /// Invites the receiver to join the group, and thus to bootstrap (found) it, with this
        /// snapshot.
        Found { snapshot: Snapshot },
        /// The leader's directory of targets and number of gateways, for the next leader.
        Directory { targets: Vec<TargetAnnouncement>, gateways: u64 },
        /// A target's announcement, forwarded by an instance that knows no leader.
        Heard(TargetAnnouncement),
        /// A message of the consensus core.
        Core { from: ReplicaId, to: ReplicaId, message: Message },
    }
}

/// The outgoing links, by peer address.
pub struct Peers {
    links: BTreeMap<SocketAddr, Link>,
    runtime: Handle,
}

struct Link {
    messages: mpsc::Sender<PeerMessage>,
    /// Ends the delay before the next attempt to connect.
    retry: Arc<Notify>,
}

impl Peers {
    /// Creates a set without links. Link tasks will run on the current runtime.
    pub fn new() -> Self {
        Self {
            links: BTreeMap::new(),
            runtime: Handle::current(),
        }
    }

    /// Opens and closes links so that there is one to each of these addresses.
    pub fn set_addresses(&mut self, addresses: &BTreeSet<SocketAddr>) {
        self.links.retain(|address, _| addresses.contains(address));
        for address in addresses {
            self.links.entry(*address).or_insert_with(|| {
                let (messages, queue) = mpsc::channel(MAX_QUEUED_MESSAGES);
                let retry = Arc::<Notify>::default();
                self.runtime
                    .spawn(run_link(*address, queue, Arc::clone(&retry)));
                Link { messages, retry }
            });
        }
    }

    /// Queues a message to one instance; drops it if there is no link or its queue is full.
    pub fn send(&self, address: SocketAddr, message: PeerMessage) {
        if let Some(link) = self.links.get(&address) {
            let _ = link.messages.try_send(message);
        }
    }

    /// Reconnects without delay to an instance that is known to run.
    pub fn retry(&self, address: SocketAddr) {
        if let Some(link) = self.links.get(&address) {
            link.retry.notify_waiters();
        }
    }

    /// Queues a message to all instances.
    pub fn broadcast(&self, message: &PeerMessage) {
        for address in self.links.keys() {
            self.send(*address, message.clone());
        }
    }
}

impl Default for Peers {
    fn default() -> Self {
        Self::new()
    }
}

async fn run_link(address: SocketAddr, mut queue: mpsc::Receiver<PeerMessage>, retry: Arc<Notify>) {
    let mut reached_at = Instant::now();
    loop {
        if let Ok((sender, mut receiver)) = link::connect::<PeerMessage, PeerMessage>(address).await
        {
            let _keepalive = sender.keep_alive();
            loop {
                tokio::select! {
                    message = queue.recv() => match message {
                        Some(message) => if sender.send(message).await.is_err() { break },
                        None => return,
                    },
                    message = receiver.receive() => if message.is_none() { break },
                }
            }
            reached_at = Instant::now();
        }
        while queue.try_recv().is_ok() {}
        if queue.is_closed() {
            return;
        }
        let delay_ms = match reached_at.elapsed() < Duration::from_millis(RECONNECT_PATIENCE_MS) {
            true => RECONNECT_DELAY_MS,
            false => LONG_RECONNECT_DELAY_MS,
        };
        tokio::select! {
            () = tokio::time::sleep(Duration::from_millis(delay_ms)) => {}
            () = retry.notified() => {}
        }
    }
}

/// Accepts links from other instances and passes their messages to the replica.
pub async fn serve(listener: TcpListener, replica: ActorRef<ReplicaMessage>) {
    loop {
        let stream = accept::accept(&listener, "control").await;
        let replica = replica.clone();
        tokio::spawn(async move {
            let (_sender, mut receiver) = link::open::<PeerMessage, PeerMessage>(stream);
            while let Some(message) = receiver.receive().await {
                if replica.cast(ReplicaMessage::Peer(message)).is_err() {
                    return;
                }
            }
        });
    }
}
