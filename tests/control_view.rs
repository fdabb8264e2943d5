//! The lease of a process's view, against a mock control instance. Guards against a view that
//! expires too early after a slow renewal or an aborted one.

use guavacove::{
    clock,
    control::{
        ControlClient,
        directory::LimitReport,
        members::{Member, ProcessRole},
        rpc::{ControlError, SyncReply, SyncRequest},
        state::AcceptedDocument,
    },
    control_view::ControlView,
    request_limit::RequestLimit,
    units::*,
};
use jsonrpsee::{
    RpcModule,
    server::{Server, ServerHandle},
    types::ErrorObjectOwned,
};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

mod support;
use support::*;

/// A process that is disconnected from the control group keeps serving for at least this long.
const MIN_SERVING_MS: u64 = 2500;
/// Polling interval of conditions.
const POLL_INTERVAL_MS: u64 = 10;

/// A mock leader. All its fields are times.
#[derive(Default)]
#[allow(clippy::struct_field_names)]
struct MockLeader {
    /// Until then it replies that leadership is changing.
    electing_until_ms: u64,
    /// From then on it does not reply.
    disconnect_at_ms: AtomicU64,
    /// When it last replied.
    replied_ms: AtomicU64,
    /// Time that each reply takes.
    reply_delay_ms: u64,
}

impl MockLeader {
    async fn sync(&self, request: SyncRequest) -> Result<SyncReply, ErrorObjectOwned> {
        let arrived_ms = clock::boot_ms();
        if arrived_ms < self.electing_until_ms {
            return Err(ControlError::Unresolved.into());
        }
        sleep_ms(self.reply_delay_ms).await;
        let lacks_document = request.document_version == DocumentVersion(0);
        if !lacks_document {
            sleep_ms(request.wait_ms).await;
        }
        if clock::boot_ms() >= self.disconnect_at_ms.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        self.replied_ms.store(clock::boot_ms(), Ordering::Relaxed);
        Ok(SyncReply {
            held_ms: clock::boot_ms() - arrived_ms,
            fencing: FencingNumber(1),
            document: lacks_document.then(|| AcceptedDocument {
                version: DocumentVersion(1),
                yaml: DOCUMENT.into(),
                ..AcceptedDocument::default()
            }),
            ..SyncReply::default()
        })
    }

    async fn serve(self: Arc<Self>) -> (SocketAddr, ServerHandle) {
        let mut module = RpcModule::from_arc(self);
        let sync = module.register_async_method("guavacove_sync", |params, leader, _| async move {
            leader.sync(params.one()?).await
        });
        sync.expect("a new name");
        let server = Server::builder().build("127.0.0.1:0").await.unwrap();
        (server.local_addr().unwrap(), server.start(module))
    }
}

fn view_of(address: SocketAddr) -> ControlView {
    let member = Member {
        name: ProcessName("entry-1".into()),
        role: ProcessRole::Entry,
        failure_domain: FailureDomain("a".into()),
        incarnation: Incarnation::random(),
        address: "127.0.0.1:1".into(),
        target: None,
    };
    ControlView::spawn(Arc::new(ControlClient::new(vec![address])), member)
}

async fn until(what: &str, condition: impl Fn() -> bool) {
    let started_ms = clock::boot_ms();
    while !condition() {
        assert!(clock::boot_ms() < started_ms + 5000, "{what}");
        sleep_ms(POLL_INTERVAL_MS).await;
    }
}

/// The first renewal takes long because leadership is changing, and the leader is disconnected
/// as soon as it has replied. The lease must count from the attempt that succeeded, not from the
/// first one.
async fn stays_valid_after_a_change_of_leader() {
    let leader = Arc::new(MockLeader {
        electing_until_ms: clock::boot_ms() + 1300,
        disconnect_at_ms: AtomicU64::new(u64::MAX),
        ..MockLeader::default()
    });
    let (address, _handle) = Arc::clone(&leader).serve().await;
    let view = view_of(address);
    until("a first view", || view.load().is_valid()).await;
    leader.disconnect_at_ms.store(0, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(MIN_SERVING_MS)).await;
    assert!(view.load().is_valid(), "the view ran out too early");
}

/// The process changes its registration while the leader holds a renewal, which aborts it, and
/// the leader is disconnected while it could be holding the next one. That renewal must not be
/// held, or the view is not renewed in time.
async fn stays_valid_after_a_changed_registration() {
    let leader = Arc::new(MockLeader {
        disconnect_at_ms: AtomicU64::new(u64::MAX),
        ..MockLeader::default()
    });
    let (address, _handle) = Arc::clone(&leader).serve().await;
    let view = view_of(address);
    until("a first view", || view.load().is_valid()).await;
    sleep_ms(700).await;
    view.update_member(|member| member.address = "127.0.0.1:2".into());
    sleep_ms(700).await;
    let now_ms = clock::boot_ms();
    leader.disconnect_at_ms.store(now_ms, Ordering::Relaxed);
    let replied_ms = leader.replied_ms.load(Ordering::Relaxed);
    assert!(
        replied_ms + 900 > now_ms,
        "no renewal for {} ms",
        now_ms - replied_ms
    );
    tokio::time::sleep(Duration::from_millis(MIN_SERVING_MS)).await;
    assert!(view.load().is_valid(), "the view ran out too early");
}

/// The limits that a gateway reports change faster than a busy leader replies. Guards against
/// renewals that are dropped each time, so that none of them brings a new document or directory.
async fn is_renewed_while_reports_change() {
    let leader = Arc::new(MockLeader {
        disconnect_at_ms: AtomicU64::new(u64::MAX),
        reply_delay_ms: 400,
        ..MockLeader::default()
    });
    let (address, _handle) = Arc::clone(&leader).serve().await;
    let view = Arc::new(view_of(address));
    let reporting = {
        let view = Arc::clone(&view);
        tokio::spawn(async move {
            for number in 1.. {
                view.report_limits(vec![LimitReport {
                    target: "t".into(),
                    started_unix_ms: number,
                    limit: RequestLimit::default(),
                }]);
                sleep_ms(100).await;
            }
        })
    };
    until("a first view", || view.load().is_valid()).await;
    sleep_ms(3 * 1000).await;
    let now_ms = clock::boot_ms();
    let replied_ms = leader.replied_ms.load(Ordering::Relaxed);
    assert!(
        replied_ms + 1500 > now_ms,
        "no renewal for {} ms",
        now_ms - replied_ms
    );
    assert!(view.load().is_valid());
    reporting.abort();
}

cases! {
    a_view_is_renewed_while_reports_change => is_renewed_while_reports_change();
    a_view_stays_valid_after_a_change_of_leader => stays_valid_after_a_change_of_leader();
    a_view_stays_valid_after_a_changed_registration => stays_valid_after_a_changed_registration();
}
