//! At which version of their software targets go on with a stream, and the versions of services.

use guavacove::{
    control::{
        command::Command,
        directory::TargetEntry,
        rollouts::{RolloutOrder, RolloutStart},
        state::ControlState,
    },
    request_limit::RequestLimit,
    stream_version::{
        AnnouncedRun, Evidence, RECORD_MS, ServiceVersions, StreamChoice, VersionChange,
        VersionHistory, choose, may_ask_for_rest,
    },
    units::TargetVersion,
};
use quickcheck::quickcheck;
use std::{collections::BTreeSet, net::SocketAddr};

const NOW_MS: u64 = 3 * RECORD_MS;
/// When a version was last seen that counts no longer.
const LONG_AGO: u64 = NOW_MS - RECORD_MS;
/// When a version was last seen that still counts.
const LATELY: u64 = LONG_AGO + 1;
/// Maximum number of versions of a service in the replicated state, and of services.
const MAX_VERSIONS: usize = 16;
const MAX_SERVICES: usize = 1024;

fn only(version: &str) -> StreamChoice {
    StreamChoice::Only(version.into())
}

fn began(version: &str) -> Evidence {
    Evidence::Began(version.into())
}

macro_rules! choices {
    ($($name:ident: $evidence:expr, [$(($version:literal, $seen_ms:expr)),*] => $choice:expr;)*) => {
        $(
            /// Guards against a stream whose events are of two versions, and against one that is
            /// refused although its version is known.
            #[test]
            fn $name() {
                let mut history = VersionHistory::default();
                $(history.note(&"s".into(), &$version.into(), $seen_ms);)*
                history.observe(std::iter::empty(), NOW_MS);
                assert_eq!(choose(&$evidence, &history.versions(&"s".into())), $choice);
            }
        )*
    };
}

use Evidence::{Confirmed, NotRecorded, Unanswered, Unnamed};
use StreamChoice::Refused;

choices! {
    recorded_and_none_known: began("v1"), [] => only("v1");
    recorded_and_one_known: began("v1"), [("v1", NOW_MS)] => only("v1");
    recorded_and_several_known: began("v2"), [("v1", NOW_MS), ("v2", NOW_MS)] => only("v2");
    // review/13: the last target of its version is gone.
    recorded_and_another_known: began("v1"), [("v2", NOW_MS)] => only("v1");
    recorded_and_two_others_known: began("v0"), [("v1", LATELY), ("v2", NOW_MS)] => only("v0");
    not_recorded_and_one_known: NotRecorded, [("v1", NOW_MS)] => Refused;
    unanswered_and_one_known: Unanswered, [("v1", NOW_MS)] => Refused;
    unnamed_and_one_known: Unnamed, [("v1", NOW_MS)] => Refused;
    one_is_confirmed: Confirmed, [("v1", NOW_MS)] => only("v1");
    another_is_gone_for_long: Confirmed, [("v1", LONG_AGO), ("v2", NOW_MS)] => only("v2");
    // review/12: the record may be lost, whichever version is older.
    not_recorded_and_a_newer_one_known: NotRecorded, [("v1", LATELY), ("v2", NOW_MS)] => Refused;
    not_recorded_and_an_older_one_known: NotRecorded, [("v2", NOW_MS), ("v1", LATELY)] => Refused;
    not_recorded_and_two_of_one_age: NotRecorded, [("v1", NOW_MS), ("v2", NOW_MS)] => Refused;
    not_recorded_and_three_known: NotRecorded, [("v2", NOW_MS), ("v1", LATELY), ("v3", NOW_MS)] => Refused;
    unanswered_and_several_known: Unanswered, [("v1", LATELY), ("v2", NOW_MS)] => Refused;
    several_are_confirmed: Confirmed, [("v1", LATELY), ("v2", NOW_MS)] => Refused;
    a_target_states_no_version: NotRecorded, [("", NOW_MS), ("v2", NOW_MS)] => Refused;
    not_recorded_and_none_known: NotRecorded, [] => Refused;
    unanswered_and_none_known: Unanswered, [] => Refused;
    none_is_confirmed: Confirmed, [("v1", LONG_AGO)] => Refused;
}

/// Guards against targets of another version that a choice allows.
#[test]
fn a_choice_allows_its_version_only() {
    let allows =
        |choice: StreamChoice| ["v1", "v2", ""].map(|version| choice.allows(&version.into()));
    assert_eq!(allows(only("v1")), [true, false, false]);
    assert_eq!(allows(Refused), [false; 3]);
}

fn target(service: &str, version: &str) -> TargetEntry {
    TargetEntry {
        name: "t".into(),
        started_unix_ms: 0,
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

fn change(service: &str, version: &str, runs: bool) -> VersionChange {
    VersionChange {
        service: service.into(),
        version: version.into(),
        runs,
    }
}

fn versions(names: &[&str]) -> Vec<TargetVersion> {
    names.iter().map(|name| (*name).into()).collect()
}

/// Guards against a version that counts as gone while streams that it began may be taken up.
#[test]
fn a_version_counts_for_a_while_after_its_last_target() {
    let service = "drafts".into();
    let mut history = VersionHistory::default();
    history.note(&service, &"v1".into(), 1000);
    history.note(&"other".into(), &"v2".into(), 1000);
    assert!(!history.has_several(&service));
    let (old, new) = (target("drafts", "v1"), target("drafts", "v2"));
    history.observe([&old, &new].into_iter(), 2000);
    assert!(history.has_several(&service));
    assert_eq!(
        history.services_with_several(),
        BTreeSet::from([service.clone()])
    );
    history.observe([&new].into_iter(), RECORD_MS + 1999);
    assert_eq!(
        history.versions(&service),
        versions(&["v1", "v2"]).into_iter().collect()
    );
    assert!(!history.has(&"other".into(), &"v2".into()));
    history.observe([&new].into_iter(), RECORD_MS + 2000);
    assert_eq!(
        history.versions(&service),
        versions(&["v2"]).into_iter().collect()
    );
    assert!(!history.has_several(&service));
}

/// Guards against a process that starts after the last target of a version has left, and knows of one.
#[test]
fn committed_versions_count_as_seen_now() {
    let mut committed = ServiceVersions::default();
    committed.apply(change("s", "v1", true));
    let mut history = VersionHistory::default();
    history.observe([&target("s", "v2")].into_iter(), 5);
    history.observe_committed(&committed, 5);
    assert!(history.has_several(&"s".into()));
    history.observe([&target("s", "v2")].into_iter(), RECORD_MS + 4);
    assert!(history.has_several(&"s".into()));
}

/// Guards against a version that is recorded late, twice, or dropped while it counts.
#[test]
fn the_log_gets_what_is_new_and_what_is_gone() {
    let mut history = VersionHistory::default();
    history.note(&"s".into(), &"v1".into(), 0);
    let mut recorded = ServiceVersions::default();
    assert_eq!(recorded.changes_to(&history), [change("s", "v1", true)]);
    recorded.apply(change("s", "v1", true));
    recorded.apply(change("s", "v1", true));
    history.observe([&target("s", "v2")].into_iter(), RECORD_MS - 1);
    assert_eq!(recorded.changes_to(&history), [change("s", "v2", true)]);
    recorded.apply(change("s", "v2", true));
    assert_eq!(recorded.of(&"s".into()), versions(&["v1", "v2"]));
    assert_eq!(recorded.changes_to(&history), []);
    history.observe([&target("s", "v2")].into_iter(), RECORD_MS);
    assert_eq!(recorded.changes_to(&history), [change("s", "v1", false)]);
    recorded.apply(change("s", "v1", false));
    assert_eq!(recorded.of(&"s".into()), versions(&["v2"]));
    recorded.apply(change("s", "v2", false));
    assert!(recorded.is_empty());
}

/// Guards against a replicated state that grows without a bound.
#[test]
fn recorded_versions_are_bounded() {
    let mut recorded = ServiceVersions::default();
    for number in 0..=MAX_VERSIONS {
        recorded.apply(change("s", &number.to_string(), true));
    }
    let kept = recorded.of(&"s".into());
    assert_eq!(kept.len(), MAX_VERSIONS);
    assert!(kept.contains(&"0".into()) && !kept.contains(&"16".into()));
    for number in 0..MAX_SERVICES {
        recorded.apply(change(&number.to_string(), "v1", true));
    }
    assert_eq!(recorded.iter().count(), MAX_SERVICES);
    recorded.apply(change("s", "0", false));
    recorded.apply(change("s", "17", true));
    assert!(recorded.of(&"s".into()).contains(&"17".into()));
}

/// Guards against snapshots of an earlier version, or of a rollout without versions, that cannot be
/// read, and against versions that are lost with a snapshot.
#[test]
fn snapshots_with_and_without_versions_are_read() {
    let order = RolloutOrder {
        service: "s".into(),
        to: "v2".into(),
        duration_ms: 1,
    };
    let (from, last) = (BTreeSet::new(), None);
    let start = Command::StartRollout(RolloutStart { order, from, last });
    for has_rollout in [false, true] {
        let mut state = ControlState::default();
        if has_rollout {
            state.apply(start.clone());
        }
        // Without versions the bytes are those of the earlier version.
        let earlier = state.encode().unwrap();
        assert_eq!(ControlState::decode(&earlier).unwrap(), state);
        assert!(state.versions().is_empty());
        state.apply(Command::ChangeVersion(change("s", "v1", true)));
        state.apply(Command::ChangeVersion(change("s", "v2", true)));
        let bytes = state.encode().unwrap();
        assert!(bytes.starts_with(&earlier));
        let decoded = ControlState::decode(&bytes).unwrap();
        assert_eq!(decoded, state);
        assert_eq!(decoded.versions().of(&"s".into()), versions(&["v1", "v2"]));
        state.apply(Command::ChangeVersion(change("s", "v1", false)));
        state.apply(Command::ChangeVersion(change("s", "v2", false)));
        assert_eq!(state.encode().unwrap(), earlier);
    }
    let nothing_appended = postcard::to_stdvec(&ControlState::default()).unwrap();
    assert_eq!(
        ControlState::decode(&nothing_appended).unwrap(),
        ControlState::default()
    );
}

quickcheck! {
    /// Guards against changes that leave the log with other versions than those that count.
    fn changes_make_the_versions_those_that_count(known: Vec<(u8, u8)>, seen: Vec<(u8, u8)>) -> bool {
        let named = |(service, version): (u8, u8)| ((service % 3).to_string(), (version % 9).to_string());
        let mut recorded = ServiceVersions::default();
        for (service, version) in known.into_iter().map(named) {
            recorded.apply(change(&service, &version, true));
        }
        let mut history = VersionHistory::default();
        for (service, version) in seen.iter().copied().map(named) {
            history.note(&service.as_str().into(), &version.as_str().into(), 0);
        }
        for change in recorded.changes_to(&history) {
            recorded.apply(change);
        }
        let services = (0..3).map(|service| service.to_string().as_str().into());
        recorded.changes_to(&history).is_empty()
            && services.into_iter().all(|service| {
                recorded.of(&service).iter().cloned().collect::<BTreeSet<_>>() == history.versions(&service)
            })
    }
}

/// Guards against changes without an end, one in each check, while more versions are listed than the
/// state keeps.
#[test]
fn more_versions_than_are_kept_settle() {
    let (mut recorded, mut history) = (ServiceVersions::default(), VersionHistory::default());
    for number in 0..=MAX_VERSIONS {
        history.note(&"s".into(), &number.to_string().as_str().into(), 0);
    }
    for _ in 0..2 {
        for change in recorded.changes_to(&history) {
            recorded.apply(change);
        }
    }
    assert_eq!(recorded.changes_to(&history), []);
}

macro_rules! rests {
    ($($name:ident: $began:expr, $latest:expr => $may_ask:expr;)*) => {
        $(
            /// Guards against an agent that joins what two runs of a target wrote.
            #[test]
            fn $name() {
                let run = |(version, started_unix_ms): (&str, Option<u64>)| AnnouncedRun {
                    version: version.into(),
                    started_unix_ms,
                };
                let latest: Option<(&str, Option<u64>)> = $latest;
                assert_eq!(may_ask_for_rest(&run($began), latest.map(run).as_ref()), $may_ask);
            }
        )*
    };
}

rests! {
    the_same_run_is_asked_for_the_rest: ("v1", Some(5)), Some(("v1", Some(5))) => true;
    a_run_that_states_nothing_is_asked_for_the_rest: ("", None), Some(("", None)) => true;
    a_run_that_is_no_longer_announced_is_asked_for_the_rest: ("v1", Some(5)), None => true;
    another_version_is_not_asked_for_the_rest: ("v1", None), Some(("v2", None)) => false;
    a_later_run_is_not_asked_for_the_rest: ("v1", Some(5)), Some(("v1", Some(6))) => false;
    a_run_that_states_its_start_only_now_is_not_asked_for_the_rest: ("v1", None), Some(("v1", Some(6))) => false;
}
