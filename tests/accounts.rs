//! A gateway's link to the quota accounts: of a leader, of an instance that does not lead, and of
//! one that cannot be reached. Guards against charges that only a leader may accept, and against
//! gateways that keep asking an unreachable leader.

use guavacove::{
    clock,
    control::{accounts::ChargeResult, quota_server::QuotaServer},
    document::Policy,
    gateway::account_link::{AccountLink, Charge},
    request_limit::{RequestLimit, RequestRate},
    units::DocumentVersion,
};
use std::net::{Ipv4Addr, SocketAddr};

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn quota_charge() -> Charge {
    Charge::Quota {
        customer: "one".into(),
        units: 100,
    }
}

#[tokio::test]
async fn a_leader_charges_requested_units() {
    let quota_server = QuotaServer::default();
    let address = quota_server.bind(any_port()).await.unwrap();
    quota_server.start_term(0, 0);
    quota_server.extend_lease(clock::boot_ms() + 10_000, 0);
    let link = AccountLink::spawn();
    let mut early = link.request_charge(address, quota_charge(), 0).unwrap();
    assert_eq!(early.wait_briefly().await, None, "it has no quotas yet");
    let mut policy = Policy::default();
    policy.version = DocumentVersion(1);
    quota_server.set_policy(policy.into());
    let mut asked = link.request_charge(address, quota_charge(), 0).unwrap();
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
    let mut asked = link.request_charge(address, quota_charge(), 0).unwrap();
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
    let mut asked = link.request_charge(address, quota_charge(), 0).unwrap();
    assert_eq!(asked.wait().await, None);
    tokio::time::sleep(std::time::Duration::from_millis(600)).await;
    let probes = (0..10).filter_map(|_| link.request_charge(address, quota_charge(), 0));
    assert_eq!(probes.count(), 1);
}

/// Guards against gateways that each send a target its whole limit: incident
/// 2026-12-filings-target-limit.
#[tokio::test]
async fn a_leader_spaces_the_requests_of_all_gateways_to_a_limited_target() {
    let quota_server = QuotaServer::default();
    let address = quota_server.bind(any_port()).await.unwrap();
    quota_server.start_term(0, 0);
    quota_server.extend_lease(clock::boot_ms() + 10_000, 0);
    let charge = Charge::Target {
        target: "engine-1".into(),
        started_unix_ms: 1,
        limit: RequestLimit {
            version: 0,
            rate: Some(RequestRate { milli_per_s: 1000 }),
        },
    };
    let mut after_ms = Vec::new();
    for link in [AccountLink::spawn(), AccountLink::spawn()] {
        let mut asked = link.request_charge(address, charge.clone(), 5000).unwrap();
        match asked.wait().await {
            Some(ChargeResult::Charged { after_ms: ms, .. }) => after_ms.push(ms),
            other => panic!("{other:?}"),
        }
    }
    assert!((900..=1000).contains(&after_ms[0]), "{after_ms:?}");
    assert!((1900..=2000).contains(&after_ms[1]), "{after_ms:?}");
    quota_server.stop_charging();
    let link = AccountLink::spawn();
    let mut asked = link.request_charge(address, charge, 5000).unwrap();
    assert_eq!(asked.wait().await, None, "it no longer leads");
}
