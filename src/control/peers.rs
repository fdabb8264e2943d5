//! Links between control instances.

use super::replica::ReplicaMessage;
use crate::{
    accept,
    consensus::{Message, ReplicaId, Snapshot},
    derives::record,
    link,
};
use ractor::ActorRef;
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};
use tokio::{net::TcpListener, sync::mpsc};

/// How long to wait before connecting again.
const RECONNECT_MS: u64 = 100;
/// Messages waiting for a link; more are dropped, and sent again by the core.
const WAITING_MESSAGES: usize = 1024;

record! {
    /// What control instances tell each other.
    #[allow(missing_docs)]
    pub enum PeerMessage {
        /// Who runs under a number, and whether it belongs to a group.
        Present { id: ReplicaId, in_group: bool },
        /// Founds the group.
        Found { snapshot: Snapshot },
        /// A message of the replicated log.
        Core { from: ReplicaId, to: ReplicaId, message: Message },
    }
}

/// The outgoing links, by the number of the instance.
pub struct Peers(BTreeMap<u8, mpsc::Sender<PeerMessage>>);

impl Peers {
    /// Starts a task for each peer that keeps a link to it open.
    pub fn spawn(addresses: BTreeMap<u8, SocketAddr>) -> Self {
        let links = addresses.into_iter().map(|(number, address)| {
            let (sender, waiting) = mpsc::channel(WAITING_MESSAGES);
            tokio::spawn(keep_link(address, waiting));
            (number, sender)
        });
        Self(links.collect())
    }

    /// Sends to one instance, or drops the message if its link is down.
    pub fn send(&self, number: u8, message: PeerMessage) {
        if let Some(sender) = self.0.get(&number) {
            let _ = sender.try_send(message);
        }
    }

    /// Sends to all.
    pub fn broadcast(&self, message: &PeerMessage) {
        for number in self.0.keys() {
            self.send(*number, message.clone());
        }
    }
}

async fn keep_link(address: SocketAddr, mut waiting: mpsc::Receiver<PeerMessage>) {
    loop {
        if let Ok((sender, mut receiver)) = link::connect::<PeerMessage, PeerMessage>(address).await
        {
            let _work = sender.work();
            loop {
                tokio::select! {
                    message = waiting.recv() => match message {
                        Some(message) => if sender.send(message).await.is_err() { break },
                        None => return,
                    },
                    message = receiver.receive() => if message.is_none() { break },
                }
            }
        }
        while waiting.try_recv().is_ok() {}
        tokio::time::sleep(Duration::from_millis(RECONNECT_MS)).await;
    }
}

/// Accepts links of other instances and passes their messages to the replica.
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
