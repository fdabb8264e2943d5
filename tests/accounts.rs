//! A gateway's link to the quota accounts: of a leader, of an instance that does not lead, and of
//! one that cannot be reached. Guards against charges that only a leader may accept, and against
//! gateways that keep asking an unreachable leader.

use guavacove::{
    clock,
    control::{accounts::ChargeResult, quota_server::QuotaServer},
    document::Policy,
    gateway::account_link::AccountLink,
    units::DocumentVersion,
};
use std::net::{Ipv4Addr, SocketAddr};

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

#[tokio::test]
async fn a_leader_charges_requested_units() {
    let quota_server = QuotaServer::default();
    let address = quota_server.bind(any_port()).await.unwrap();
    quota_server.start_term(0, 0);
    quota_server.extend_lease(clock::boot_ms() + 10_000, 0);
    let link = AccountLink::spawn();
    let mut early = link.request_charge(address, &"one".into(), 100, 0).unwrap();
    assert_eq!(early.wait_briefly().await, None, "it has no quotas yet");
    let mut policy = Policy::default();
    policy.version = DocumentVersion(1);
    quota_server.set_policy(policy);
    let mut asked = link.request_charge(address, &"one".into(), 100, 0).unwrap();
    // Without a quota in the document there is no limit.
    assert_eq!(
        asked.wait_briefly().await,
        Some(ChargeResult::Charged {
            is_ample: true,
            after_ms: 0
        })
    );
}

/// The first reply is final, however often the caller waits for it again while the gateway's
/// local share is exhausted.
#[tokio::test]
async fn a_follower_charges_nothing_however_often_it_is_awaited() {
    let quota_server = QuotaServer::default();
    let address = quota_server.bind(any_port()).await.unwrap();
    let link = AccountLink::spawn();
    let mut asked = link.request_charge(address, &"one".into(), 100, 0).unwrap();
    assert_eq!(asked.wait_briefly().await, None);
    assert_eq!(asked.wait().await, None);
    assert_eq!(asked.wait().await, None);
}

#[tokio::test]
async fn unreachable_accounts_are_probed_at_intervals() {
    let listener = tokio::net::TcpListener::bind(any_port()).await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let link = AccountLink::spawn();
    let mut asked = link.request_charge(address, &"one".into(), 100, 0).unwrap();
    assert_eq!(asked.wait().await, None);
    tokio::time::sleep(std::time::Duration::from_millis(600)).await;
    let probes = (0..10).filter_map(|_| link.request_charge(address, &"one".into(), 100, 0));
    assert_eq!(probes.count(), 1);
}
