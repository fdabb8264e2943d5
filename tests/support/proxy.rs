//! A TCP proxy that can go silent, be late, or close what is open.

use super::free_address;
use std::{
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Notify,
    time::{Duration, sleep},
};

#[derive(Default)]
struct Mode {
    /// Connections made up to this one are silent.
    silent_up_to: AtomicU64,
    /// Whether new connections are silent too.
    cut: AtomicU64,
    connections: AtomicU64,
    passed_bytes: AtomicU64,
    /// How late bytes are passed on.
    delay_ms: AtomicU64,
    /// Whether only bytes from the server are dropped.
    cut_down: AtomicBool,
    closes: Notify,
}

pub struct Proxy {
    pub address: SocketAddr,
    mode: Arc<Mode>,
}

impl Proxy {
    pub async fn spawn(upstream: SocketAddr) -> Self {
        Self::spawn_at(free_address().ip(), upstream).await
    }

    /// As [`Self::spawn`], at another loopback address.
    pub async fn spawn_at(ip: IpAddr, upstream: SocketAddr) -> Self {
        let (address, listener) = loop {
            let address = SocketAddr::new(ip, free_address().port());
            if let Ok(listener) = TcpListener::bind(address).await {
                break (address, listener);
            }
        };
        let mode = Arc::new(Mode::default());
        let accepted = Arc::clone(&mode);
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let mode = Arc::clone(&accepted);
                let number = mode.connections.fetch_add(1, Ordering::Relaxed) + 1;
                tokio::spawn(async move {
                    if let Ok(server) = TcpStream::connect(upstream).await {
                        let (client_read, client_write) = client.into_split();
                        let (server_read, server_write) = server.into_split();
                        let up = pass(client_read, server_write, &mode, number, false);
                        let down = pass(server_read, client_write, &mode, number, true);
                        tokio::select! {
                            _ = async { tokio::join!(up, down) } => {}
                            () = mode.closes.notified() => {}
                        }
                    }
                });
            }
        });
        Self { address, mode }
    }

    /// How many bytes have passed, both ways.
    pub fn passed_bytes(&self) -> u64 {
        self.mode.passed_bytes.load(Ordering::Relaxed)
    }

    /// Drops all bytes, of new connections too.
    pub fn cut(&self) {
        self.mode.cut.store(1, Ordering::Relaxed);
    }

    /// Passes bytes on late.
    pub fn delay(&self, delay_ms: u64) {
        self.mode.delay_ms.store(delay_ms, Ordering::Relaxed);
    }

    /// Drops what comes from the server, and passes on what goes to it.
    pub fn cut_down(&self, cut: bool) {
        self.mode.cut_down.store(cut, Ordering::Relaxed);
    }

    /// Closes the connections that are open.
    pub fn close_open(&self) {
        self.mode.closes.notify_waiters();
    }

    /// Ends a cut. Connections made during it stay silent.
    pub fn mend(&self) {
        self.silence_open();
        self.mode.cut.store(0, Ordering::Relaxed);
    }

    /// Makes the connections that are open silent for good; new ones work.
    pub fn silence_open(&self) {
        let open = self.mode.connections.load(Ordering::Relaxed);
        self.mode.silent_up_to.store(open, Ordering::Relaxed);
    }
}

async fn pass(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    mode: &Mode,
    number: u64,
    is_down: bool,
) {
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(length) = from.read(&mut buffer).await {
        sleep(Duration::from_millis(mode.delay_ms.load(Ordering::Relaxed))).await;
        let silent = mode.cut.load(Ordering::Relaxed) > 0
            || is_down && mode.cut_down.load(Ordering::Relaxed)
            || number <= mode.silent_up_to.load(Ordering::Relaxed);
        match (length, silent) {
            (0, true) => std::future::pending().await,
            (0, false) => return,
            (_, true) => {}
            (length, false) => {
                mode.passed_bytes
                    .fetch_add(length as u64, Ordering::Relaxed);
                if to.write_all(&buffer[..length]).await.is_err() {
                    return;
                }
            }
        }
    }
}
