//! The lease of a process's view, against a mock control instance. Guards against a view that
//! expires too early after a slow renewal or an aborted one.

use guavacove::{
    clock,
    control::{
        ControlClient,
        departures::Departure,
        directory::{
            AnnouncementVersion, LimitReport, TargetChanges, TargetEntry, TargetsPosition,
        },
        members::{Member, ProcessRole},
        rpc::{CatchUpReply, ControlError, DocumentHolding, SyncReply, SyncRequest},
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

/// A leader that is lost: it lists a target as ready, and is late with a reply that still does so.
/// Meanwhile it tells as any instance would that the target leaves.
#[derive(Default)]
struct LateLeader {
    renewals: AtomicU64,
}

impl LateLeader {
    /// Time that the late reply takes: more than a view may be old, less than a renewal may take.
    const LATE_MS: u64 = 1400;
    /// Number of slots of the target in the late reply.
    const LATE_SLOTS: u32 = 9;

    async fn sync(&self) -> Result<SyncReply, ErrorObjectOwned> {
        let number = self.renewals.fetch_add(1, Ordering::Relaxed);
        let slots = match number {
            0 => 1,
            1 => Self::LATE_SLOTS,
            _ => std::future::pending().await,
        };
        sleep_ms(number * Self::LATE_MS).await;
        let target = TargetEntry {
            name: "t".into(),
            started_unix_ms: 5,
            service: "filings".into(),
            address: "127.0.0.1:1".parse().unwrap(),
            failure_domain: FailureDomain("a".into()),
            slots,
            leaving: false,
            warming_up: false,
            limit: RequestLimit::default(),
            version: TargetVersion::default(),
        };
        Ok(SyncReply {
            held_ms: number * 800,
            fencing: FencingNumber(1),
            document: Some(AcceptedDocument {
                version: DocumentVersion(1),
                yaml: DOCUMENT.into(),
                ..AcceptedDocument::default()
            }),
            targets: Some(TargetChanges {
                seen: TargetsPosition {
                    epoch: (FencingNumber(1), true),
                    revision: number + 1,
                },
                whole: number == 0,
                present: vec![target],
                removed: Vec::new(),
            }),
            ..SyncReply::default()
        })
    }

    fn catch_up() -> CatchUpReply {
        let version = AnnouncementVersion {
            started_unix_ms: 5,
            sequence: 7,
        };
        let holding = DocumentHolding {
            committed: DocumentVersion(1),
            ..DocumentHolding::default()
        };
        CatchUpReply {
            holding,
            departures: vec![Departure {
                target: "t".into(),
                version,
                has_withdrawn: false,
            }],
            ..CatchUpReply::default()
        }
    }

    async fn serve(self: Arc<Self>) -> (SocketAddr, ServerHandle) {
        let mut module = RpcModule::from_arc(self);
        let sync = module.register_async_method("guavacove_sync", |_, leader, _| async move {
            leader.sync().await
        });
        sync.expect("a new name");
        let catch_up = module.register_method("guavacove_catch_up", |_, _, _| {
            Ok::<_, ErrorObjectOwned>(Self::catch_up())
        });
        catch_up.expect("a new name");
        let server = Server::builder().build("127.0.0.1:0").await.unwrap();
        (server.local_addr().unwrap(), server.start(module))
    }
}

/// Guards against a departure that a view has learned and that a late reply of an earlier leader
/// undoes.
async fn keeps_departures_against_a_late_reply() {
    let (address, _handle) = Arc::<LateLeader>::default().serve().await;
    let view = view_of(address);
    let listed = || view.load().targets.get(&"t".into()).cloned();
    until("the target leaves", || listed().is_some_and(|t| t.leaving)).await;
    until("the late reply", || {
        listed().is_some_and(|t| t.slots == LateLeader::LATE_SLOTS)
    })
    .await;
    assert!(listed().unwrap().leaving, "the late reply undid it");
}

cases! {
    a_view_keeps_departures_against_a_late_reply => keeps_departures_against_a_late_reply();
    a_view_is_renewed_while_reports_change => is_renewed_while_reports_change();
    a_view_stays_valid_after_a_change_of_leader => stays_valid_after_a_change_of_leader();
    a_view_stays_valid_after_a_changed_registration => stays_valid_after_a_changed_registration();
}
