//! Records of the versions that began streams, at gateways and agents.

use guavacove::{
    control::directory::TargetEntry,
    request_limit::RequestLimit,
    stream_records::{GatewayStreams, RecordAgents, SentRecord, StreamKey, StreamRecords},
    stream_version::RECORD_MS,
};
use quickcheck::quickcheck;
use std::{collections::BTreeSet, net::SocketAddr};

/// Maximum number of records of an agent, and of streams of a gateway.
const MAX_RECORDS: u64 = 4096;
/// Number of agents that a record is sent to.
const HOLDERS: usize = 3;
const PORT: u16 = 1;

fn agent(number: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, number], PORT))
}

fn target(number: u8, version: &str) -> TargetEntry {
    TargetEntry {
        name: number.to_string().as_str().into(),
        started_unix_ms: 0,
        service: "s".into(),
        address: SocketAddr::from(([127, 0, 0, number], 9)),
        failure_domain: "a".into(),
        slots: 1,
        leaving: false,
        warming_up: false,
        limit: RequestLimit::default(),
        version: version.into(),
    }
}

/// The agents beside targets with these numbers; those of `leaving` leave.
fn agents(numbers: impl IntoIterator<Item = u8>, leaving: &[SocketAddr]) -> RecordAgents {
    let targets = numbers.into_iter().map(|number| TargetEntry {
        leaving: leaving.contains(&agent(number)),
        ..target(number, "v1")
    });
    RecordAgents::beside(targets.collect::<Vec<_>>().iter(), PORT)
}

/// Guards against records at agents that are about to end, and against those there that nobody asks for.
#[test]
fn agents_that_leave_are_asked_and_get_no_records() {
    let all = agents(0..40, &[]);
    for key in (0..200).map(StreamKey) {
        let holders = all.holders(key);
        assert_eq!(holders.len(), HOLDERS);
        let later = agents(0..40, &holders[..1]);
        assert!(!later.holders(key).contains(&holders[0]));
        assert_eq!(later.holders(key).len(), HOLDERS);
        let asked = later.asked(key);
        assert!(
            holders
                .iter()
                .chain(&later.holders(key))
                .all(|holder| asked.contains(holder))
        );
    }
}

quickcheck! {
    /// Guards against a record that is not found as agents were added, lost or listed in another
    /// order since: with one agent more or less, one that holds the record is asked.
    fn a_record_is_found_after_a_change_of_agents(
        key: u64, before: Vec<u8>, added: u8, lost: u8
    ) -> bool {
        let key = StreamKey(key);
        let holders = agents(before.clone(), &[]).holders(key);
        let mut after = before.clone();
        after.reverse();
        after.retain(|number| *number != lost);
        after.push(added);
        let asked = agents(after, &[]).asked(key);
        let is_lost = |holder: &SocketAddr| *holder == agent(lost);
        holders.iter().all(is_lost) || holders.iter().any(|holder| asked.contains(holder))
    }
}

const KEY: StreamKey = StreamKey(7);

fn begun(key: StreamKey) -> GatewayStreams {
    let mut streams = GatewayStreams::default();
    assert!(streams.begin(key, "s".into(), "v1".into(), 0));
    streams
}

fn receivers(records: Vec<SentRecord>) -> BTreeSet<SocketAddr> {
    assert!(
        records
            .iter()
            .all(|record| record.key == KEY && record.version == "v1".into())
    );
    let count = records.len();
    let receivers: BTreeSet<_> = records.into_iter().map(|record| record.agent).collect();
    assert_eq!(receivers.len(), count, "each agent gets one");
    receivers
}

/// Guards against agents that lack a record: after a stream began, after they restarted, and after they
/// came into the place of others. Each gets it once.
#[test]
fn agents_get_the_records_that_they_lack() {
    let (mut streams, all) = (begun(KEY), agents(0..9, &[]));
    let holders = all.holders(KEY);
    let wanted: BTreeSet<_> = holders.iter().copied().collect();
    assert_eq!(receivers(streams.due_of(KEY, &all)), wanted);
    assert!(streams.due_of(KEY, &all).is_empty());
    assert!(streams.due(&all, |_| true, 0).is_empty());
    streams.lose_agent(holders[0]);
    assert_eq!(
        receivers(streams.due(&all, |_| true, 0)),
        [holders[0]].into()
    );
    let fewer = agents(0..9, &holders[..1]);
    let place: BTreeSet<_> = fewer
        .holders(KEY)
        .into_iter()
        .filter(|agent| !wanted.contains(agent))
        .collect();
    assert_eq!(place.len(), 1);
    assert_eq!(receivers(streams.due(&fewer, |_| true, 0)), place);
    // Meanwhile it may have restarted.
    assert_eq!(
        receivers(streams.due(&all, |_| true, 0)),
        [holders[0]].into()
    );
    assert!(streams.due_of(StreamKey(8), &all).is_empty());
}

/// Guards against messages for services with one version, and against streams that began before the
/// second one and are never recorded.
#[test]
fn records_are_sent_once_a_service_has_several_versions() {
    let (mut streams, all) = (begun(KEY), agents(0..9, &[]));
    assert!(streams.due(&all, |_| false, 0).is_empty());
    assert_eq!(
        receivers(streams.due(&all, |service| *service == "s".into(), 0)).len(),
        HOLDERS
    );
}

/// Guards against a stream that its gateway forgets before its caller took it up, or while it runs,
/// and against one that it never forgets.
#[test]
fn streams_that_broke_off_are_kept_for_a_while() {
    let (mut streams, all) = (begun(KEY), agents(0..9, &[]));
    let is_kept = |streams: &mut GatewayStreams, now_ms| {
        streams.due(&all, |_| false, now_ms);
        streams.version(KEY) == Some(&"v1".into())
    };
    assert!(is_kept(&mut streams, 9 * RECORD_MS), "it runs");
    streams.end(KEY, false, 10);
    assert!(is_kept(&mut streams, RECORD_MS + 9));
    // Taken up here: the first version is kept.
    assert!(streams.begin(KEY, "s".into(), "v2".into(), RECORD_MS));
    assert!(is_kept(&mut streams, 9 * RECORD_MS));
    streams.end(KEY, false, 10);
    assert!(!is_kept(&mut streams, RECORD_MS + 10));
    let mut streams = begun(KEY);
    streams.end(StreamKey(8), true, 0);
    assert!(is_kept(&mut streams, 0));
    streams.end(KEY, true, 0);
    assert!(!is_kept(&mut streams, 0), "it is complete");
}

/// Guards against streams of a gateway that grow without a bound.
#[test]
fn the_streams_of_a_gateway_are_bounded() {
    let mut streams = begun(StreamKey(0));
    let mut begin =
        |number, now_ms| streams.begin(StreamKey(number), "s".into(), "v1".into(), now_ms);
    assert!((1..MAX_RECORDS).all(|number| begin(number, 0)));
    assert!(!begin(MAX_RECORDS, 0));
    assert!(begin(0, 0), "it is kept already");
    streams.end(StreamKey(1), false, 0);
    let mut begin = |now_ms| streams.begin(StreamKey(MAX_RECORDS), "s".into(), "v1".into(), now_ms);
    assert!(!begin(RECORD_MS - 1));
    assert!(begin(RECORD_MS));
}

/// Guards against a later attempt that overwrites which version began a stream.
#[test]
fn the_first_record_of_a_stream_is_kept() {
    let mut records = StreamRecords::default();
    let key = StreamKey::of("one");
    records.record(key, "v1".into(), 0);
    records.record(key, "v2".into(), 10);
    assert_eq!(records.find(key, RECORD_MS - 1), Some(&"v1".into()));
    assert_eq!(records.find(key, RECORD_MS), None);
    assert_eq!(records.find(StreamKey::of("two"), 0), None);
}

/// Guards against records that grow without a bound.
#[test]
fn the_oldest_records_are_dropped() {
    let mut records = StreamRecords::default();
    for number in 0..10_000 {
        records.record(StreamKey(number), "v1".into(), 0);
    }
    let kept = (0..10_000).filter(|number| records.find(StreamKey(*number), 0).is_some());
    assert_eq!(kept.count() as u64, MAX_RECORDS);
    assert!(records.find(StreamKey(9_999), 0).is_some());
}
