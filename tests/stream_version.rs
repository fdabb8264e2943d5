//! At which version of their software targets go on with a stream.

use guavacove::{
    control::directory::TargetEntry,
    request_limit::RequestLimit,
    stream_version::{RECORD_MS, StreamChoice, StreamKey, StreamRecords, VersionHistory, choose},
    units::{ServiceName, TargetVersion},
};
use quickcheck::quickcheck;
use std::{collections::BTreeMap, net::SocketAddr};

const NOW_UNIX_MS: u64 = 1_700_000_000_000;
const RECENT: u64 = NOW_UNIX_MS - RECORD_MS + 1;
const LONG_AGO: u64 = NOW_UNIX_MS - RECORD_MS;

fn only(version: &str) -> StreamChoice {
    StreamChoice::Only(version.into())
}

macro_rules! choices {
    ($($name:ident: $record:expr, [$(($version:literal, $started:expr)),*] => $choice:expr;)*) => {
        $(
            /// Guards against a stream whose events are of two versions, and against one that is
            /// refused although its version is known.
            #[test]
            fn $name() {
                let record: Option<TargetVersion> = $record.map(TargetVersion::from);
                let versions = [$((TargetVersion::from($version), $started)),*];
                assert_eq!(choose(record.as_ref(), &versions, NOW_UNIX_MS), $choice);
            }
        )*
    };
}

const NONE: Option<&str> = None;

choices! {
    no_target_is_listed: NONE, [] => StreamChoice::Any;
    a_service_has_one_version: NONE, [("v1", RECENT)] => StreamChoice::Any;
    a_recorded_version_of_one: Some("v1"), [("v1", RECENT)] => StreamChoice::Any;
    a_recorded_version: Some("v2"), [("v1", LONG_AGO), ("v2", RECENT)] => only("v2");
    a_recorded_version_that_is_gone: Some("v0"), [("v1", LONG_AGO), ("v2", RECENT)] => only("v0");
    it_began_before_the_second_version: NONE, [("v2", RECENT), ("v1", LONG_AGO)] => only("v1");
    it_began_before_two_others: NONE, [("v2", RECENT), ("v1", RECENT - 1), ("v3", RECENT)] => only("v1");
    two_versions_run_for_long: NONE, [("v1", LONG_AGO - 9), ("v2", LONG_AGO)] => StreamChoice::Refused;
    a_third_version_is_new: NONE, [("v1", LONG_AGO - 9), ("v2", LONG_AGO), ("v3", RECENT)] => StreamChoice::Refused;
    targets_that_state_no_version: NONE, [("", LONG_AGO), ("v2", RECENT)] => only("");
}

fn target(service: &str, version: &str, started_unix_ms: u64) -> TargetEntry {
    TargetEntry {
        name: "t".into(),
        started_unix_ms,
        service: service.into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        failure_domain: "a".into(),
        slots: 1,
        leaving: false,
        warming_up: false,
        limit: RequestLimit::default(),
        version: version.into(),
    }
}

/// Guards against a version that counts as gone while streams that it began may be taken up.
#[test]
fn a_version_counts_for_a_while_after_its_last_target() {
    let service = ServiceName::from("drafts");
    let mut history = VersionHistory::default();
    assert!(!history.note(&target("drafts", "v1", 5), 1000));
    assert!(!history.note(&target("other", "v2", 6), 1000));
    assert!(history.note(&target("drafts", "v2", 7), 2000));
    let later = target("drafts", "v2", 9);
    history.observe([&later].into_iter(), RECORD_MS + 999);
    let both = vec![("v1".into(), 5), ("v2".into(), 7)];
    assert_eq!(history.versions(&service), both);
    history.observe([&later].into_iter(), RECORD_MS + 1000);
    assert_eq!(history.versions(&service), vec![("v2".into(), 7)]);
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
    assert_eq!(kept.count(), 4096);
    assert!(records.find(StreamKey(9_999), 0).is_some());
}

fn agents(numbers: &[u8]) -> impl Iterator<Item = SocketAddr> {
    numbers
        .iter()
        .map(|number| SocketAddr::from(([127, 0, 0, *number], 1)))
}

quickcheck! {
    /// Guards against a record that is not found as agents were added, lost or listed in another
    /// order since: with one agent more or less, one that holds the record is asked.
    fn a_record_is_found_after_a_change_of_agents(
        key: u64, before: Vec<u8>, added: u8, lost: u8
    ) -> bool {
        let key = StreamKey(key);
        let holders = key.holders(agents(&before));
        let mut after = before.clone();
        after.reverse();
        after.retain(|number| *number != lost);
        after.push(added);
        let asked = key.asked_holders(agents(&after));
        let is_lost = |holder: &SocketAddr| *holder == SocketAddr::from(([127, 0, 0, lost], 1));
        holders.iter().all(is_lost) || holders.iter().any(|holder| asked.contains(holder))
    }

    /// Guards against a stream with events of two versions, whatever the order of starts, breaks and
    /// attempts: begun while the versions of a release come and go, it goes on where it began.
    fn a_stream_goes_on_at_its_version(events: Vec<(u8, u8)>) -> bool {
        let mut history = VersionHistory::default();
        let mut records = StreamRecords::default();
        let mut running: Vec<TargetEntry> = vec![target("drafts", "v1", NOW_UNIX_MS)];
        let mut began: BTreeMap<StreamKey, (TargetVersion, u64)> = BTreeMap::new();
        let mut now_ms = 0;
        for (number, (kind, pick)) in events.into_iter().enumerate() {
            now_ms += u64::from(pick) * 100;
            let now_unix_ms = NOW_UNIX_MS + now_ms;
            history.observe(running.iter(), now_ms);
            match kind % 5 {
                0 => {
                    let version = format!("v{}", pick % 3 + 1);
                    running.push(target("drafts", &version, now_unix_ms));
                }
                1 if running.len() > 1 => drop(running.remove(usize::from(pick) % running.len())),
                2 | 3 => {
                    let target = &running[usize::from(pick) % running.len()];
                    let key = StreamKey(number as u64);
                    if history.note(target, now_ms) {
                        records.record(key, target.version.clone(), now_ms);
                    }
                    began.insert(key, (target.version.clone(), now_ms));
                }
                _ => {
                    // Callers wait for a stream for half of the time that it is recorded.
                    began.retain(|_, (_, began_ms)| now_ms < *began_ms + RECORD_MS / 2);
                    let versions = history.versions(&"drafts".into());
                    for (key, (version, _)) in &began {
                        let choice = choose(records.find(*key, now_ms), &versions, now_unix_ms);
                        let goes_on = |target: &&TargetEntry| match &choice {
                            StreamChoice::Any => true,
                            StreamChoice::Only(version) => target.version == *version,
                            StreamChoice::Refused => false,
                        };
                        if running.iter().filter(goes_on).any(|target| target.version != *version) {
                            return false;
                        }
                    }
                }
            }
        }
        true
    }
}
