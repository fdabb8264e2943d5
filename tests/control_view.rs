//! How long a process goes by what the control group told it, against a control instance
//! that answers as each case says.

use guavacove::{
    clock,
    control::{
        ControlClient,
        members::{Member, ProcessRole},
        rpc::{ControlError, SyncReply, SyncRequest},
        state::AcceptedDocument,
    },
    control_view::ControlView,
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

/// A process that is cut off from control serves on for at least this long.
const SERVES_ON_MS: u64 = 2500;
/// How often a condition is looked at.
const LOOK_MS: u64 = 10;

/// A control instance that leads, for some of the time. All its fields are times.
#[derive(Default)]
#[allow(clippy::struct_field_names)]
struct Leader {
    /// Until then it says that leadership is changing.
    unsettled_until_ms: u64,
    /// From then on it answers nothing.
    cut_at_ms: AtomicU64,
    /// When it last answered.
    answered_ms: AtomicU64,
}

impl Leader {
    async fn sync(&self, request: SyncRequest) -> Result<SyncReply, ErrorObjectOwned> {
        let arrived_ms = clock::boot_ms();
        if arrived_ms < self.unsettled_until_ms {
            return Err(ControlError::Unresolved.into());
        }
        let lacks = request.document_version == DocumentVersion(0);
        if !lacks {
            sleep_ms(request.wait_ms).await;
        }
        if clock::boot_ms() >= self.cut_at_ms.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        self.answered_ms.store(clock::boot_ms(), Ordering::Relaxed);
        Ok(SyncReply {
            held_ms: clock::boot_ms() - arrived_ms,
            fencing: FencingNumber(1),
            document: lacks.then(|| AcceptedDocument {
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
        sleep_ms(LOOK_MS).await;
    }
}

/// The first renewal takes long because leadership changes; the leader is cut off as soon as
/// it has answered.
async fn holds_after_a_change_of_leader() {
    let leader = Arc::new(Leader {
        unsettled_until_ms: clock::boot_ms() + 1300,
        cut_at_ms: AtomicU64::new(u64::MAX),
        ..Leader::default()
    });
    let (address, _handle) = Arc::clone(&leader).serve().await;
    let view = view_of(address);
    until("a first view", || view.load().holds()).await;
    leader.cut_at_ms.store(0, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(SERVES_ON_MS)).await;
    assert!(view.load().holds(), "the view ran out too early");
}

/// What the process says of itself changes while a renewal is held back, and the leader is
/// cut off while it could hold back the next one.
async fn holds_after_an_announcement() {
    let leader = Arc::new(Leader {
        cut_at_ms: AtomicU64::new(u64::MAX),
        ..Leader::default()
    });
    let (address, _handle) = Arc::clone(&leader).serve().await;
    let view = view_of(address);
    until("a first view", || view.load().holds()).await;
    sleep_ms(700).await;
    view.announce(|member| member.address = "127.0.0.1:2".into());
    sleep_ms(700).await;
    let now_ms = clock::boot_ms();
    leader.cut_at_ms.store(now_ms, Ordering::Relaxed);
    let answered_ms = leader.answered_ms.load(Ordering::Relaxed);
    assert!(
        answered_ms + 900 > now_ms,
        "no renewal for {} ms",
        now_ms - answered_ms
    );
    tokio::time::sleep(Duration::from_millis(SERVES_ON_MS)).await;
    assert!(view.load().holds(), "the view ran out too early");
}

cases! {
    a_view_holds_after_a_change_of_leader => holds_after_a_change_of_leader();
    a_view_holds_after_an_announcement => holds_after_an_announcement();
}
