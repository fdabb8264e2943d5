//! The directory of targets when announcements are delayed, duplicated or reordered. Guards
//! against stale announcements that restore a target which has withdrawn, is draining or was
//! replaced at its address.

use guavacove::{
    control::{
        command::{Command, Reply},
        departures::{Departure, Departures, LATE_MS, RecentDepartures, Return},
        directory::{
            AnnouncementError, AnnouncementVersion, Directory, TargetAnnouncement, TargetEntry,
            remove_replaced,
        },
        precedence::{NamedServices, Precedence},
        return_evidence::{REPEATED_RETURN_MS, RETURN_MS},
        rpc::CachedState,
        state::ControlState,
    },
    request_limit::RequestLimit,
    units::{FencingNumber, TargetVersion},
};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::net::SocketAddr;

fn announcement(name: &str, started: u64, sequence: u64, leaving: bool) -> TargetAnnouncement {
    at_port(name, started, sequence, leaving, 7000)
}

fn at_port(
    name: &str,
    started: u64,
    sequence: u64,
    leaving: bool,
    port: u16,
) -> TargetAnnouncement {
    TargetAnnouncement {
        entry: TargetEntry {
            name: name.into(),
            started_unix_ms: started,
            service: "drafts".into(),
            address: SocketAddr::from(([10, 0, 0, 1], port)),
            failure_domain: "a".into(),
            slots: 4,
            leaving,
            warming_up: false,
            limit: RequestLimit::default(),
            version: TargetVersion::default(),
        },
        sequence,
    }
}

/// An announcement for a service that [`named_services`] does not contain.
fn foreign(
    name: &str,
    started: u64,
    sequence: u64,
    leaving: bool,
    port: u16,
) -> TargetAnnouncement {
    let mut announcement = at_port(name, started, sequence, leaving, port);
    announcement.entry.service = "archive".into();
    announcement
}

fn named_services() -> NamedServices {
    NamedServices::from_iter(["drafts".into()])
}

fn names(directory: &Directory) -> Vec<(String, bool)> {
    let targets = directory.targets();
    targets.into_iter().map(|t| (t.name.0, t.leaving)).collect()
}

#[test]
fn a_stale_announcement_does_not_end_a_drain() {
    let mut directory = Directory::default();
    assert!(directory.announce(announcement("t", 1, 1, false), 0));
    assert!(directory.announce(announcement("t", 1, 3, true), 10));
    assert!(!directory.announce(announcement("t", 1, 2, false), 20));
    assert_eq!(names(&directory), [("t".to_string(), true)]);
}

#[test]
fn a_withdrawn_target_stays_removed_until_it_restarts() {
    let mut directory = Directory::default();
    directory.announce(announcement("t", 1, 5, false), 0);
    assert!(directory.withdraw(&"t".into()));
    assert!(!directory.announce(announcement("t", 1, 6, false), 10));
    assert!(names(&directory).is_empty());
    assert!(directory.announce(announcement("t", 2, 1, false), 20));
    assert_eq!(names(&directory).len(), 1);
}

#[test]
fn the_later_start_at_an_address_wins_in_either_order() {
    let mut directory = Directory::default();
    directory.announce(announcement("old", 1, 9, false), 0);
    directory.announce(announcement("new", 2, 1, false), 10);
    assert_eq!(names(&directory), [("new".to_string(), false)]);
    // An announcement that the old target sent before it crashed arrives last.
    assert!(!directory.announce(announcement("old", 1, 10, false), 20));
    assert_eq!(names(&directory), [("new".to_string(), false)]);
}

#[test]
fn the_lease_of_a_silent_target_expires_and_readers_see_its_removal() {
    let mut directory = Directory::default();
    let epoch = (FencingNumber(1), true);
    directory.announce(announcement("t", 1, 1, false), 0);
    let seen = directory.changes(None, epoch).unwrap().seen;
    assert!(directory.changes(Some(&seen), epoch).is_none());
    assert!(directory.expire(5000, 5000).is_empty());
    assert_eq!(directory.expire(5000, 5001).len(), 1);
    let changes = directory.changes(Some(&seen), epoch).unwrap();
    assert_eq!(changes.removed.len(), 1);
    assert!(!changes.whole);
}

#[test]
fn the_next_leader_starts_from_the_cached_announcements_and_their_order() {
    let mut directory = Directory::default();
    directory.announce(announcement("t", 1, 7, false), 0);
    let mut next = Directory::from_announcements(directory.announcements(), 100);
    assert_eq!(names(&next), [("t".to_string(), false)]);
    assert!(!next.announce(at_port("t", 1, 6, false, 7001), 110));
    assert_eq!(next.targets()[0].address.port(), 7000);
    assert!(next.announce(announcement("t", 1, 8, true), 120));
}

#[derive(Clone, Debug)]
struct Sent(u8, u8, bool);

impl Arbitrary for Sent {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(
            u8::arbitrary(g) % 3,
            u8::arbitrary(g) % 8,
            bool::arbitrary(g),
        )
    }
}

/// Whatever the order of arrival, the announcement sent last determines the entry, which leaves once
/// one of the announcements of that start has said so.
fn the_last_sent_wins_and_a_start_stays_leaving(sent: Vec<Sent>) -> bool {
    let mut directory = Directory::default();
    for Sent(start, sequence, leaving) in &sent {
        let (start, sequence) = (u64::from(*start), u64::from(*sequence));
        let mut announced = announcement("t", start, sequence, *leaving);
        announced.entry.slots = 1 + sequence as u32;
        directory.announce(announced, 0);
    }
    let latest = sent
        .iter()
        .map(|Sent(start, sequence, _)| (*start, *sequence));
    let Some((start, sequence)) = latest.max() else {
        return directory.targets().is_empty();
    };
    let mut of_start = sent.iter().filter(|sent| sent.0 == start);
    let leaves = of_start.any(|Sent(.., leaving)| *leaving);
    let slots = directory.targets()[0].slots;
    names(&directory) == [("t".to_string(), leaves)] && slots == 1 + u32::from(sequence)
}

#[test]
fn order_of_arrival_does_not_matter() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 5))
        .tests(300)
        .quickcheck(the_last_sent_wins_and_a_start_stays_leaving as fn(Vec<Sent>) -> bool);
}

/// After a power loss of the whole system, targets restart under new names while there is no
/// leader yet. A replica must replace them in its cached state, but only where it is certain.
#[test]
fn a_replica_without_a_leader_replaces_targets_restarted_at_known_addresses() {
    let mut known = CachedState {
        targets: vec![
            at_port("old-1", 10, 90, false, 7001),
            at_port("old-2", 10, 90, true, 7002),
        ],
        ..CachedState::default()
    };
    assert!(known.replace_restarted(
        at_port("new-1", 20, 1, false, 7001),
        &NamedServices::default()
    ));
    assert!(
        !known.replace_restarted(
            at_port("old-1", 10, 91, false, 7001),
            &NamedServices::default()
        ),
        "late"
    );
    assert!(
        !known.replace_restarted(
            at_port("new-1", 20, 2, false, 7001),
            &NamedServices::default()
        ),
        "unchanged"
    );
    assert!(
        !known.replace_restarted(
            at_port("old-2", 10, 91, false, 7002),
            &NamedServices::default()
        ),
        "may have left"
    );
    assert!(
        !known.replace_restarted(
            at_port("other", 20, 1, false, 7003),
            &NamedServices::default()
        ),
        "may have withdrawn"
    );
    let known: Vec<&str> = known
        .targets
        .iter()
        .map(|t| t.entry.name.0.as_str())
        .collect();
    assert_eq!(known, ["new-1", "old-2"]);
}

#[test]
fn targets_replaced_at_their_address_are_removed() {
    let entries = [
        at_port("old-1", 10, 1, false, 7001).entry,
        at_port("new-1", 20, 1, false, 7001).entry,
        at_port("other", 5, 1, false, 7002).entry,
    ];
    let mut targets = entries.map(|entry| (entry.name.clone(), entry)).into();
    remove_replaced(&mut targets, &NamedServices::default());
    let names: Vec<&str> = targets.keys().map(|name| name.0.as_str()).collect();
    assert_eq!(names, ["new-1", "other"]);
}

/// A target moves to another address, and another target takes over the old address.
#[test]
fn the_address_index_follows_moves_and_removals() {
    let mut directory = Directory::default();
    directory.announce(at_port("a", 10, 1, false, 7001), 1);
    directory.announce(at_port("a", 10, 2, false, 7002), 2);
    directory.announce(at_port("b", 5, 1, false, 7001), 3);
    assert_eq!(directory.targets().len(), 2, "the old address is free");
    directory.announce(at_port("c", 20, 1, false, 7002), 4);
    let names: Vec<String> = names(&directory)
        .into_iter()
        .map(|(name, _)| name)
        .collect();
    assert_eq!(names, ["b", "c"]);
    directory.withdraw(&"c".into());
    directory.announce(at_port("d", 1, 1, false, 7002), 5);
    assert_eq!(
        directory.targets().len(),
        2,
        "a withdrawn target occupies no address"
    );
    directory.expire(100, 1000);
    directory.announce(at_port("e", 0, 1, false, 7001), 1001);
    assert_eq!(directory.targets().len(), 1);
}

/// Guards against a target that is locked out by an entry of another writer in its name.
#[test]
fn a_target_is_listed_again_after_the_lease_of_a_higher_entry() {
    for (started, sequence) in [(9_999_999_999_999, 1), (10, u64::MAX)] {
        let mut directory = Directory::default();
        directory.announce(announcement("t", 10, 1, false), 0);
        directory.announce(at_port("t", started, sequence, true, 9), 10);
        assert!(!directory.announce(announcement("t", 10, 2, false), 20));
        assert_eq!(directory.expire(100, 200).len(), 1);
        assert!(!directory.announce(announcement("t", 10, 3, false), 210));
        assert!(directory.announce(announcement("t", 10, 4, false), 220));
        assert_eq!(names(&directory), [("t".to_string(), false)]);
    }
}

/// Guards against the same by an entry at an address that a later start holds.
#[test]
fn a_target_is_listed_after_a_higher_entry_at_the_address_of_another() {
    let mut directory = Directory::default();
    directory.announce(at_port("other", 20, 1, false, 9), 0);
    assert!(!directory.announce(at_port("t", 10, u64::MAX, false, 9), 10));
    assert!(!directory.announce(announcement("t", 10, 1, false), 20));
    assert!(directory.announce(announcement("t", 10, 2, false), 30));
    assert_eq!(directory.targets().len(), 2);
}

/// Guards against the same by such an entry that arrives more than once.
#[test]
fn a_target_is_listed_after_a_higher_entry_that_is_repeated() {
    let mut directory = Directory::default();
    directory.announce(at_port("other", 20, 1, false, 9), 0);
    for _ in 0..3 {
        assert!(!directory.announce(at_port("t", 10, u64::MAX, false, 9), 10));
    }
    assert!(!directory.announce(announcement("t", 10, 1, false), 20));
    assert!(directory.announce(announcement("t", 10, 2, false), 30));
    assert_eq!(directory.targets().len(), 2);
}

/// Guards against the same by an entry that a later start replaces at its address.
#[test]
fn a_target_is_listed_after_a_higher_entry_that_was_replaced() {
    let mut directory = Directory::default();
    directory.announce(at_port("t", 10, u64::MAX, false, 9), 0);
    directory.announce(at_port("other", 20, 1, false, 9), 10);
    assert!(!directory.announce(announcement("t", 10, 1, false), 20));
    assert!(directory.announce(announcement("t", 10, 2, false), 30));
    assert_eq!(directory.targets().len(), 2);
}

/// Guards against a crashed target that late or repeated announcements restore after its lease.
#[test]
fn late_announcements_restore_no_target_whose_lease_has_expired() {
    let mut directory = Directory::default();
    directory.announce(announcement("t", 10, 7, false), 0);
    assert_eq!(directory.expire(100, 200).len(), 1);
    for sequence in [5, 5, 4, 3] {
        assert!(!directory.announce(announcement("t", 10, sequence, false), 210));
    }
    assert!(names(&directory).is_empty());
}

/// Guards against a withdrawn target that counts as one whose lease has expired.
#[test]
fn a_target_that_withdraws_after_its_lease_stays_removed() {
    let mut directory = Directory::default();
    directory.announce(announcement("t", 10, 7, false), 0);
    assert_eq!(directory.expire(100, 200).len(), 1);
    directory.withdraw(&"t".into());
    for sequence in [5, 6, 8, 9] {
        assert!(!directory.announce(announcement("t", 10, sequence, false), 210));
    }
}

/// Guards against a directory that grows with every name that was ever announced.
#[test]
fn a_lock_out_ends_after_many_other_leases_have_expired() {
    let mut directory = Directory::default();
    directory.announce(at_port("t", u64::MAX, u64::MAX, false, 1), 0);
    for number in 0..5000_u16 {
        directory.announce(at_port(&format!("n-{number}"), 1, 1, false, 2 + number), 0);
    }
    assert_eq!(directory.expire(100, 200).len(), 5001);
    let accepted =
        (1..=2).filter(|sequence| directory.announce(announcement("t", 10, *sequence, false), 210));
    assert_eq!(accepted.count(), 1);
}

#[test]
fn an_entry_for_an_unnamed_service_yields_to_one_for_a_named_service() {
    let services = named_services();
    let precedence =
        |service: &str, holder: &str| services.precedence(&service.into(), &holder.into());
    assert_eq!(precedence("drafts", "archive"), Precedence::Holds);
    assert_eq!(precedence("archive", "drafts"), Precedence::Yields);
    assert_eq!(precedence("drafts", "drafts"), Precedence::ByVersion);
    assert_eq!(precedence("archive", "other"), Precedence::ByVersion);
    let unknown = NamedServices::default();
    let precedence = unknown.precedence(&"archive".into(), &"drafts".into());
    assert_eq!(precedence, Precedence::ByVersion);
}

/// Guards against a target that is replaced by an entry for a service that the document does not
/// name, under its name or at its address (review case 10).
#[test]
fn an_entry_for_an_unnamed_service_replaces_no_target() {
    for other in [
        foreign("x", 20, 1, false, 7000),
        foreign("x", 20, 1, true, 7000),
        foreign("t", 20, 1, false, 9000),
        foreign("t", 20, 1, true, 7000),
        foreign("t", 10, 9, true, 7000),
    ] {
        let mut directory = Directory::default();
        directory.set_services(named_services());
        directory.announce(announcement("t", 10, 1, false), 0);
        for repeated in 0..3 {
            assert!(directory.yields(&other.entry), "{other:?}");
            assert!(!directory.announce(other.clone(), 10 + repeated));
        }
        directory.announce(announcement("t", 10, 2, false), 20);
        assert_eq!(names(&directory), [("t".into(), false)], "{other:?}");
        let cached = directory.announcements();
        let mut known = CachedState {
            targets: cached,
            ..CachedState::default()
        };
        assert!(!known.replace_restarted(other, &named_services()));
    }
}

/// Guards against the same by an entry that came before the document was known.
#[test]
fn a_target_of_a_named_service_takes_its_place_with_its_next_announcement() {
    for other in [
        foreign("x", 20, 1, false, 7000),
        foreign("t", 20, 9, true, 9000),
    ] {
        let mut directory = Directory::default();
        directory.announce(announcement("t", 10, 1, false), 0);
        directory.announce(other.clone(), 10);
        directory.set_services(named_services());
        assert!(directory.announce(announcement("t", 10, 2, false), 20));
        assert_eq!(names(&directory), [("t".into(), false)], "{other:?}");
    }
}

/// Guards against a target that stays away after its service was dropped and named again.
#[test]
fn a_target_stays_listed_while_its_service_is_not_named() {
    let mut directory = Directory::default();
    directory.announce(announcement("t", 10, 1, false), 0);
    directory.set_services(NamedServices::from_iter(["other".into()]));
    directory.announce(announcement("t", 10, 2, false), 20);
    directory.set_services(named_services());
    assert_eq!(names(&directory), [("t".into(), false)]);
}

/// What another writer does under the name `t` of a target of a named service, between its withdrawal
/// and its late announcements.
#[derive(Clone, Copy, Debug)]
enum Intrusion {
    /// An entry for an unnamed service.
    Entry { started: u64, leaves: bool },
    /// The same, once the lease of the entry has expired.
    ExpiredEntry { started: u64 },
    /// An entry that is listed before the document is known.
    EntryBeforeDocument { started: u64 },
    /// The same, and its lease expires.
    ExpiredBeforeDocument { started: u64 },
    /// Entries for many services before the document is known.
    ManyBeforeDocument,
}

const INTRUSIONS: [Intrusion; 10] = [
    Intrusion::Entry {
        started: 5,
        leaves: false,
    },
    Intrusion::Entry {
        started: 10,
        leaves: false,
    },
    Intrusion::Entry {
        started: 20,
        leaves: false,
    },
    Intrusion::Entry {
        started: 20,
        leaves: true,
    },
    Intrusion::ExpiredEntry { started: 10 },
    Intrusion::ExpiredEntry { started: 20 },
    Intrusion::EntryBeforeDocument { started: 20 },
    Intrusion::ExpiredBeforeDocument { started: 10 },
    Intrusion::ExpiredBeforeDocument { started: 20 },
    Intrusion::ManyBeforeDocument,
];

impl Intrusion {
    /// Plays it to a directory that does not know the document yet; the document is known after it.
    fn play(self, directory: &mut Directory, now_ms: u64) {
        let is_before = !matches!(self, Self::Entry { .. } | Self::ExpiredEntry { .. });
        if !is_before {
            directory.set_services(named_services());
        }
        match self {
            Self::Entry { started, leaves } => {
                directory.announce(foreign("t", started, 1, leaves, 9), now_ms);
            }
            Self::ExpiredEntry { started }
            | Self::EntryBeforeDocument { started }
            | Self::ExpiredBeforeDocument { started } => {
                directory.announce(foreign("t", started, 1, false, 9), now_ms);
            }
            Self::ManyBeforeDocument => {
                for number in 0..20 {
                    let mut entry = foreign("t", 20 + number, 1, false, 9);
                    entry.entry.service = format!("archive-{number}").as_str().into();
                    directory.announce(entry, now_ms);
                }
            }
        }
        if matches!(
            self,
            Self::ExpiredEntry { .. } | Self::ExpiredBeforeDocument { .. }
        ) {
            directory.expire(0, now_ms + 1);
        }
        directory.set_services(named_services());
    }
}

/// Guards against a withdrawn target that late announcements list again, as an entry for an unnamed
/// service has replaced its tombstone (review case 15).
#[test]
fn an_entry_for_an_unnamed_service_replaces_no_tombstone() {
    for intrusion in INTRUSIONS {
        let mut directory = Directory::default();
        directory.announce(announcement("t", 10, 1, false), 0);
        directory.withdraw(&"t".into());
        intrusion.play(&mut directory, 10);
        for sequence in [2, 3, 4] {
            let now_ms = 100 * sequence;
            directory.announce(announcement("t", 10, sequence, false), now_ms);
            assert!(directory.has_departed(&"t".into()), "{intrusion:?}");
        }
        assert_eq!(directory.take_returns(), [], "{intrusion:?}");
        let withdrawal = directory.withdrawal(&"t".into()).unwrap();
        assert_eq!(withdrawal.version.started_unix_ms, 10, "{intrusion:?}");
        assert!(
            directory.announce(announcement("t", 11, 1, false), 600),
            "its next run beside {intrusion:?}"
        );
        assert_eq!(names(&directory), [("t".into(), false)], "{intrusion:?}");
    }
}

/// Guards against a target that is listed without a return, so that its departure stays in the log and
/// the next leader removes the target (`SOAK_SEED=73`).
#[test]
fn a_run_is_back_by_its_return_only_beside_an_entry_for_an_unnamed_service() {
    for intrusion in INTRUSIONS {
        let mut directory = Directory::default();
        directory.announce(announcement("t", 10, 1, false), 0);
        let withdrawal = directory.withdrawal(&"t".into()).unwrap();
        directory.withdraw(&"t".into());
        intrusion.play(&mut directory, 10);
        let mut departures = Departures::default();
        departures.record(withdrawal);
        let mut returned_ms = None;
        for interval in 1..=12 {
            let now_ms = interval * INTERVAL_MS;
            directory.announce(announcement("t", 10, 1 + interval, false), now_ms);
            directory.expire(5 * INTERVAL_MS, now_ms);
            for back in directory.take_returns() {
                departures.forget(&back);
                directory.apply_return(&back, now_ms);
                returned_ms = returned_ms.or(Some(now_ms));
            }
            assert_eq!(
                directory.has_departed(&"t".into()),
                returned_ms.is_none(),
                "{intrusion:?} at {now_ms} ms"
            );
        }
        let returned_ms = returned_ms.expect("the run is shown to be there");
        assert!(returned_ms >= RETURN_MS, "{intrusion:?}: {returned_ms}");
        assert_eq!(departures.iter().count(), 0, "{intrusion:?}");
    }
}

/// Guards against the same at a new leader, whose cache lists that entry and whose log has the
/// departure.
#[test]
fn a_departure_in_the_log_binds_beside_a_cached_entry_for_an_unnamed_service() {
    for (started, has_withdrawn) in [(5, true), (10, true), (20, true), (20, false)] {
        let cached = vec![foreign("t", started, 1, false, 9)];
        let mut directory = Directory::from_announcements(cached, 0);
        directory.set_services(named_services());
        directory.apply_departure(&departure(9, 10, has_withdrawn));
        assert!(!directory.announce(announcement("t", 10, 7, false), 10));
        assert!(!directory.announce(announcement("t", 10, 8, false), 20));
        assert!(directory.has_departed(&"t".into()), "{started}");
        assert!(directory.announce(announcement("t", 11, 1, false), 30));
        assert_eq!(names(&directory), [("t".into(), false)]);
    }
}

/// Guards against an entry for an unnamed service that leaves its mark on a run of a target.
#[test]
fn a_target_does_not_take_over_that_another_writer_drained_its_name() {
    let mut directory = Directory::default();
    directory.announce(foreign("t", 10, 1, true, 9), 0);
    directory.set_services(named_services());
    assert!(directory.announce(announcement("t", 10, 2, false), 10));
    assert_eq!(names(&directory), [("t".into(), false)]);
}

#[test]
fn a_view_keeps_the_target_of_a_named_service_at_an_address() {
    let entries = [
        at_port("t", 10, 1, false, 7000),
        foreign("x", 20, 1, false, 7000),
    ];
    let entries = entries.map(|announcement| announcement.entry);
    let mut targets = entries.map(|entry| (entry.name.clone(), entry)).into();
    remove_replaced(&mut targets, &named_services());
    assert_eq!(targets.into_keys().collect::<Vec<_>>(), ["t".into()]);
}

macro_rules! announcements {
    ($($name:ident: $change:expr => $result:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut changed = announcement("t", 1_700_000_000_000, 1, false);
                let change: fn(&mut TargetAnnouncement) = $change;
                change(&mut changed);
                assert_eq!(changed.check(), $result);
            }
        )*
    };
}

fn address(text: &str) -> SocketAddr {
    text.parse().unwrap()
}

announcements! {
    a_sound_announcement: |_| {} => Ok(());
    the_longest_name: |a| a.entry.name = "x".repeat(255).as_str().into() => Ok(());
    a_name_that_is_too_long: |a| a.entry.name = "x".repeat(256).as_str().into() => Err(AnnouncementError::Name);
    an_empty_name: |a| a.entry.name = "".into() => Err(AnnouncementError::Name);
    a_name_that_no_header_holds: |a| a.entry.name = "t\u{e9}".into() => Err(AnnouncementError::Name);
    a_name_with_a_space: |a| a.entry.name = "t 1".into() => Err(AnnouncementError::Name);
    a_service_of_a_megabyte: |a| a.entry.service = "x".repeat(1 << 20).as_str().into() => Err(AnnouncementError::Service);
    an_empty_service: |a| a.entry.service = "".into() => Err(AnnouncementError::Service);
    a_service_with_a_line_break: |a| a.entry.service = "a\nb".into() => Err(AnnouncementError::Service);
    no_failure_domain: |a| a.entry.failure_domain = "".into() => Ok(());
    a_failure_domain_of_a_megabyte: |a| a.entry.failure_domain = "x".repeat(1 << 20).as_str().into() => Err(AnnouncementError::FailureDomain);
    a_failure_domain_with_a_null: |a| a.entry.failure_domain = "a\0b".into() => Err(AnnouncementError::FailureDomain);
    port_zero: |a| a.entry.address = address("10.0.0.1:0") => Err(AnnouncementError::Address);
    the_highest_port: |a| a.entry.address = address("10.0.0.1:65535") => Ok(());
    an_unspecified_address: |a| a.entry.address = address("0.0.0.0:80") => Err(AnnouncementError::Address);
    an_unspecified_ipv6_address: |a| a.entry.address = address("[::]:80") => Err(AnnouncementError::Address);
    a_broadcast_address: |a| a.entry.address = address("255.255.255.255:80") => Err(AnnouncementError::Address);
    a_multicast_address: |a| a.entry.address = address("224.0.0.1:80") => Err(AnnouncementError::Address);
    an_ipv6_address: |a| a.entry.address = address("[2001:db8::1]:80") => Ok(());
    no_slots: |a| a.entry.slots = 0 => Err(AnnouncementError::NoSlots);
    no_slots_while_it_drains: |a| { a.entry.slots = 0; a.entry.leaving = true; } => Ok(());
    the_highest_number_of_slots: |a| a.entry.slots = u32::MAX => Ok(());
    a_start_in_the_year_9999: |a| a.entry.started_unix_ms = 253_402_300_799_999 => Ok(());
    a_start_in_microseconds: |a| a.entry.started_unix_ms = 1_700_000_000_000_000 => Err(AnnouncementError::StartTime);
    a_start_at_the_largest_number: |a| a.entry.started_unix_ms = u64::MAX => Err(AnnouncementError::StartTime);
    a_start_at_zero: |a| a.entry.started_unix_ms = 0 => Ok(());
    the_highest_sequence_number: |a| a.sequence = (1 << 53) - 1 => Ok(());
    a_sequence_number_that_is_too_large: |a| a.sequence = u64::MAX => Err(AnnouncementError::Sequence);
}

fn departure(sequence: u64, started_unix_ms: u64, has_withdrawn: bool) -> Departure {
    Departure {
        target: "t".into(),
        version: AnnouncementVersion {
            started_unix_ms,
            sequence,
        },
        has_withdrawn,
    }
}

/// A new leader starts from a cache that may be older than an acknowledged departure.
#[test]
fn departures_bind_the_next_leader() {
    // The departure, and what the leader lists of the run that began at 5.
    let cases = [
        (departure(9, 5, false), Some(true)),
        (departure(9, 5, true), None),
        // Of an earlier run.
        (departure(9, 4, false), Some(false)),
        (departure(9, 4, true), Some(false)),
    ];
    for (departure, expected) in cases {
        let cached = vec![announcement("t", 5, 7, false)];
        let mut directory = Directory::from_announcements(cached, 0);
        directory.apply_departure(&departure);
        // A heartbeat from before the departure comes late.
        directory.announce(announcement("t", 5, 8, false), 10);
        let leaving = names(&directory).first().map(|(_, leaving)| *leaving);
        assert_eq!(leaving, expected, "{departure:?}");
        assert!(
            directory.announce(announcement("t", 6, 1, false), 20),
            "its next run"
        );
    }
}

#[test]
fn the_latest_departure_of_a_target_is_kept() {
    let mut departures = Departures::default();
    // Whether it is covered before it is recorded.
    let recorded = [
        (departure(1, 5, false), false),
        (departure(2, 5, false), true),
        (departure(3, 5, true), false),
        (departure(4, 5, false), true),
        (departure(9, 4, true), true),
        (departure(1, 6, false), false),
    ];
    for (departure, is_covered) in recorded {
        assert_eq!(departures.covers(&departure), is_covered, "{departure:?}");
        departures.record(departure);
    }
    assert_eq!(departures.iter().count(), 1);
}

/// Snapshots of earlier versions hold no departures.
#[test]
fn departures_survive_a_snapshot_and_its_absence() {
    let mut state = ControlState::default();
    let earlier = postcard::to_stdvec(&state).unwrap();
    let reply = state.apply(Command::Depart(departure(1, 5, true)));
    assert_eq!(reply, Reply::Done);
    let decoded = ControlState::decode(&state.encode().unwrap()).unwrap();
    assert!(decoded.departures().covers(&departure(1, 5, true)));
    let decoded = ControlState::decode(&earlier).unwrap();
    assert_eq!(decoded.departures().iter().count(), 0);
}

/// What is said of one run of a target, in the order in which it is said.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Said {
    Ready,
    Leaving,
    Withdrawn,
}

#[derive(Clone, Debug)]
struct Arrived(Vec<(u64, usize)>);

impl Arbitrary for Arrived {
    fn arbitrary(g: &mut Gen) -> Self {
        let length = u8::arbitrary(g) % 10;
        let message = |g: &mut Gen| (u64::arbitrary(g) % 3, usize::arbitrary(g) % 6);
        Self((0..length).map(|_| message(g)).collect())
    }
}

/// What each of three runs of a target says: it ends without a word, leaves, or withdraws at once.
const RUNS: [[Said; 5]; 3] = [
    [Said::Ready; 5],
    [
        Said::Ready,
        Said::Ready,
        Said::Leaving,
        Said::Leaving,
        Said::Withdrawn,
    ],
    [
        Said::Ready,
        Said::Ready,
        Said::Ready,
        Said::Ready,
        Said::Withdrawn,
    ],
];

/// A leader, as far as it decides about targets, and what is in its log.
struct Leader {
    directory: Directory,
    departures: Departures,
    /// Whether the document is known, so that another writer's entry has less standing.
    knows_services: bool,
}

impl Leader {
    fn new(directory: Directory, departures: Departures, knows_services: bool) -> Self {
        let mut leader = Self {
            directory,
            departures,
            knows_services,
        };
        if knows_services {
            leader.directory.set_services(named_services());
        }
        leader
    }

    /// Receives a message; returns the departure that it acknowledges.
    fn receive(&mut self, start: u64, position: usize) -> Option<Departure> {
        let Some(said) = RUNS[start as usize].get(position).copied() else {
            // Another writer's entry for a service that is not named.
            if self.knows_services {
                self.directory.announce(foreign("t", start, 9, false, 9), 0);
            }
            return None;
        };
        let departure = match said {
            Said::Withdrawn => {
                let departure = self.directory.withdrawal(&"t".into());
                self.directory.withdraw(&"t".into());
                departure?
            }
            Said::Ready | Said::Leaving => {
                let leaving = said == Said::Leaving;
                let announced = announcement("t", start, position as u64, leaving);
                let departure = announced.departure();
                self.directory.announce(announced, 0);
                let departure = departure?;
                if !self.directory.has_departed(&departure.target) {
                    return None;
                }
                departure
            }
        };
        if !self.departures.covers(&departure) {
            self.departures.record(departure.clone());
            self.directory.apply_departure(&departure);
        }
        Some(departure)
    }

    /// The next leader, which has cached these announcements at some time.
    fn successor(&self, cached: Vec<TargetAnnouncement>) -> Self {
        let directory = Directory::from_announcements(cached, 0);
        let mut leader = Self::new(directory, self.departures.clone(), self.knows_services);
        for departure in self.departures.iter() {
            leader.directory.apply_departure(departure);
        }
        leader
    }

    /// Whether it lists a run, or an earlier one, that gets new requests.
    fn serves(&self, departure: &Departure) -> bool {
        let mut targets = self.directory.targets().into_iter();
        targets.any(|listed| {
            listed.service == "drafts".into()
                && !listed.leaving
                && listed.started_unix_ms <= departure.version.started_unix_ms
        })
    }
}

/// Whatever arrives in whatever order, and whatever the next leader had cached: a run whose
/// departure was acknowledged is listed as ready by none. Guards against departures that are
/// acknowledged but not applied.
fn acknowledged_departures_bind(
    arrived: Arrived,
    changes: Vec<bool>,
    knows_services: bool,
) -> bool {
    let mut leader = Leader::new(Directory::default(), Departures::default(), knows_services);
    let mut cached = Vec::new();
    let mut acknowledged: Vec<Departure> = Vec::new();
    let mut changes = changes.into_iter().cycle();
    for (start, position) in arrived.0 {
        let departure = leader.receive(start, position);
        if departure.is_some() && !leader.directory.has_departed(&"t".into()) {
            return false;
        }
        acknowledged.extend(departure);
        if acknowledged
            .iter()
            .any(|departure| leader.serves(departure))
        {
            return false;
        }
        match (changes.next(), changes.next()) {
            (Some(true), _) => leader = leader.successor(cached.clone()),
            (_, Some(true)) => cached = leader.directory.announcements(),
            _ => {}
        }
        if acknowledged
            .iter()
            .any(|departure| leader.serves(departure))
        {
            return false;
        }
    }
    true
}

#[test]
fn acknowledged_departures_bind_every_leader() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 43))
        .tests(20_000)
        .quickcheck(acknowledged_departures_bind as fn(Arrived, Vec<bool>, bool) -> bool);
}

/// Guards against readers that keep a target whose departure the next leader knows from the log
/// only.
#[test]
fn departures_of_unlisted_targets_are_published() {
    for has_withdrawn in [false, true] {
        let mut directory = Directory::default();
        assert!(directory.apply_departure(&departure(9, 5, has_withdrawn)));
        assert!(
            !directory.apply_departure(&departure(9, 5, has_withdrawn)),
            "twice"
        );
        let changes = directory.changes(None, (FencingNumber(1), false)).unwrap();
        assert_eq!(changes.removed, ["t".into()]);
        assert!(
            !directory.announce(announcement("t", 5, 8, false), 10),
            "late"
        );
    }
}

macro_rules! cached_targets {
    ($($name:ident: $departure:expr => $listed:expr;)*) => {
        $(
            /// Guards against processes that begin with a target that has departed.
            #[test]
            fn $name() {
                let mut cached = CachedState {
                    targets: vec![announcement("t", 5, 7, false), announcement("u", 5, 7, false)],
                    ..CachedState::default()
                };
                let departure = $departure;
                let listed: Option<bool> = $listed;
                let is_changed = cached.apply_departures(std::iter::once(&departure));
                assert_eq!(is_changed, listed != Some(false));
                assert!(!cached.apply_departures(std::iter::once(&departure)), "twice");
                let target = cached.targets.iter().find(|target| target.entry.name.0 == "t");
                assert_eq!(target.map(|target| target.entry.leaving), listed);
                assert!(!cached.targets.last().unwrap().entry.leaving, "the other one");
            }
        )*
    };
}

cached_targets! {
    a_cached_target_leaves: departure(9, 5, false) => Some(true);
    a_cached_target_has_withdrawn: departure(9, 5, true) => None;
    a_later_run_of_a_cached_target_leaves: departure(9, 6, false) => Some(true);
    a_later_run_of_a_cached_target_has_withdrawn: departure(9, 6, true) => None;
    an_earlier_run_of_a_cached_target_left: departure(9, 4, false) => Some(false);
    an_earlier_run_of_a_cached_target_withdrew: departure(9, 4, true) => Some(false);
}

/// Guards against a target that withdrew before it was known and that a late announcement lists.
#[test]
fn late_announcements_list_no_target_that_withdrew_before_it_was_known() {
    let mut directory = Directory::default();
    assert_eq!(directory.withdrawal(&"t".into()), None);
    directory.withdraw_unknown(&"t".into(), LATE_MS);
    let changes = directory.changes(None, (FencingNumber(1), false)).unwrap();
    assert_eq!(changes.removed, ["t".into()]);
    assert!(!directory.announce(announcement("t", 5, 0, false), 10));
    assert!(!directory.announce(announcement("t", 5, 1, false), LATE_MS - 1));
    assert!(
        directory.announce(announcement("t", 6, 1, false), LATE_MS),
        "its next run"
    );
    assert_eq!(names(&directory), [("t".to_string(), false)]);
}

/// Guards against such a withdrawal that binds each later run.
#[test]
fn withdrawals_of_unknown_runs_are_not_kept() {
    let withdrawal = Departure::of_unknown_run("t".into());
    let mut departures = Departures::default();
    assert!(!departures.covers(&withdrawal));
    departures.record(withdrawal.clone());
    assert_eq!(departures.iter().count(), 0);
    let mut recent = RecentDepartures::default();
    recent.learn(withdrawal.clone(), 100);
    assert_eq!(recent.within(u64::MAX, 99 + LATE_MS), [withdrawal]);
    assert_eq!(recent.late_until(99 + LATE_MS).count(), 1);
    assert!(recent.within(u64::MAX, 100 + LATE_MS).is_empty());
    assert_eq!(recent.late_until(100 + LATE_MS).count(), 0);
}

const INTERVAL_MS: u64 = 1200;

/// Applies announcements of run 10 of `t`, one each interval from `from_ms` on, and the returns that
/// they show. Returns when it was listed as serving, at most `limit_ms` later.
fn listed_after_ms(directory: &mut Directory, from_ms: u64, limit_ms: u64) -> Option<u64> {
    let mut times = (from_ms..=from_ms + limit_ms).step_by(INTERVAL_MS as usize);
    times.find_map(|now_ms| {
        directory.announce(
            announcement("t", 10, 100 + now_ms / INTERVAL_MS, false),
            now_ms,
        );
        for back in directory.take_returns() {
            directory.apply_return(&back, now_ms);
        }
        (!directory.has_departed(&"t".into())).then_some(now_ms - from_ms)
    })
}

/// Guards against a run that is out of service for as long as it lives, as the withdrawal of an
/// earlier run arrived late (review case 9).
#[test]
fn a_run_that_goes_on_announcing_itself_is_listed_again() {
    for (is_repeated, required_ms) in [(false, RETURN_MS), (true, REPEATED_RETURN_MS)] {
        let mut directory = Directory::default();
        directory.announce(announcement("t", 10, 1, false), 0);
        directory.withdraw(&"t".into());
        if is_repeated {
            directory.record_repeated_withdrawal(&"t".into());
        }
        let listed_ms = listed_after_ms(&mut directory, 1200, 20_000);
        let listed_ms = listed_ms.expect("it is listed");
        let range = required_ms..=required_ms + 2 * INTERVAL_MS;
        assert!(range.contains(&listed_ms), "{listed_ms}");
    }
}

/// Guards against the same by an entry of another writer that says that the target leaves.
#[test]
fn a_run_that_another_writer_drained_is_listed_again() {
    for (started, sequence, port) in [(10, 50, 7000), (10, 50, 9), (20, 1, 9)] {
        let mut directory = Directory::default();
        directory.announce(announcement("t", 10, 1, false), 0);
        directory.announce(at_port("t", started, sequence, true, port), 10);
        assert!(directory.has_departed(&"t".into()));
        let listed_ms = listed_after_ms(&mut directory, 1200, 20_000);
        assert!(listed_ms.is_some_and(|ms| ms >= RETURN_MS), "{listed_ms:?}");
        assert_eq!(directory.targets()[0].address.port(), 7000);
    }
}

/// Guards against requests to a run that has left: its last announcements may be late.
#[test]
fn late_announcements_are_no_return() {
    // When each arrives after the withdrawal, with the sequence number.
    let cases: [&[(u64, u64)]; 5] = [
        &[(100, 2), (101, 3), (102, 4), (103, 5)],
        &[(100, 2), (5000, 3), (9000, 4)],
        &[(100, 5), (3000, 4), (6000, 3), (12_000, 2)],
        &[(100, 2), (9000, 3), (20_000, 4), (31_000, 5)],
        &[(0, 2), (9000, 3), (9001, 4), (9002, 5)],
    ];
    for arrivals in cases {
        let mut directory = Directory::default();
        directory.announce(announcement("t", 10, 1, false), 0);
        directory.withdraw(&"t".into());
        for (at_ms, sequence) in arrivals {
            directory.announce(announcement("t", 10, *sequence, false), *at_ms);
        }
        assert_eq!(directory.take_returns(), [], "{arrivals:?}");
    }
}

/// A return ends the departure of that run and that of a later start by another writer.
#[test]
fn a_return_ends_the_departures_that_bind_the_run() {
    let back = Return {
        target: "t".into(),
        version: AnnouncementVersion {
            started_unix_ms: 5,
            sequence: 9,
        },
    };
    for (recorded, is_ended) in [
        (departure(3, 5, true), true),
        (departure(3, 5, false), true),
        (departure(1, 7, true), true),
        (departure(1, 4, true), false),
    ] {
        let mut departures = Departures::default();
        departures.record(recorded.clone());
        departures.forget(&back);
        assert_eq!(departures.iter().count() == 0, is_ended, "{recorded:?}");
        let mut recent = RecentDepartures::default();
        recent.learn(recorded.clone(), 0);
        recent.forget(&back);
        assert_eq!(recent.within(1000, 10).is_empty(), is_ended, "{recorded:?}");
    }
}

#[test]
fn a_withdrawal_soon_after_that_of_an_earlier_run_may_be_its_repetition() {
    let mut recent = RecentDepartures::default();
    recent.learn(departure(3, 5, true), 1000);
    let is_repeated =
        |started, now_ms| recent.has_earlier_withdrawal(&departure(1, started, true), now_ms);
    assert!(is_repeated(6, 1000 + LATE_MS - 1));
    assert!(!is_repeated(6, 1000 + LATE_MS), "calls are late by less");
    assert!(!is_repeated(5, 1500), "the same run");
}

/// What happens beside a target that starts once, announces itself and may withdraw.
#[derive(Clone, Copy, Debug)]
enum Disturbance {
    /// Withdrawals of an earlier run.
    Withdrawal,
    /// Earlier announcements of the same run, once more.
    Repeated(u64),
    /// Entries for a service that is not named, under its name or at its address.
    Foreign {
        is_same_name: bool,
        leaves: bool,
        started: u64,
    },
    /// Entries that say that it leaves.
    Draining { started: u64 },
}

impl Arbitrary for Disturbance {
    fn arbitrary(random: &mut Gen) -> Self {
        let started = *random.choose(&[5, 10, 20]).unwrap();
        let (is_same_name, leaves) = (bool::arbitrary(random), bool::arbitrary(random));
        match u8::arbitrary(random) % 4 {
            0 => Self::Withdrawal,
            1 => Self::Repeated(1 + u64::arbitrary(random) % 8),
            2 => Self::Foreign {
                is_same_name,
                leaves,
                started,
            },
            _ => Self::Draining { started },
        }
    }
}

impl Disturbance {
    fn apply(self, directory: &mut Directory, now_ms: u64) {
        let sequence = now_ms / INTERVAL_MS + 1;
        let announced = match self {
            Self::Withdrawal => {
                directory.withdraw(&"t".into());
                return;
            }
            Self::Repeated(age) => announcement("t", 10, sequence.saturating_sub(age), false),
            Self::Foreign {
                is_same_name: true,
                leaves,
                started,
            } => foreign("t", started, sequence, leaves, 9),
            Self::Foreign {
                leaves, started, ..
            } => foreign("x", started, sequence, leaves, 7000),
            Self::Draining { started } => at_port("t", started, sequence, true, 9),
        };
        directory.announce(announced, now_ms);
    }
}

/// Plays disturbances in the first [`DISTURBED`] intervals beside a target that announces itself all
/// the while. Returns in which intervals it was not listed.
fn absences(disturbances: &[(u8, Disturbance)], intervals: u64) -> Vec<u64> {
    let mut directory = Directory::default();
    directory.set_services(named_services());
    let mut absences = Vec::new();
    for interval in 0..intervals {
        let now_ms = interval * INTERVAL_MS;
        directory.announce(announcement("t", 10, interval + 1, false), now_ms);
        directory.expire(5 * INTERVAL_MS, now_ms);
        for back in directory.take_returns() {
            directory.apply_return(&back, now_ms);
        }
        if directory.has_departed(&"t".into()) {
            absences.push(interval);
        }
        let due = disturbances
            .iter()
            .filter(|(at, _)| u64::from(*at) % DISTURBED == interval);
        due.for_each(|(_, disturbance)| disturbance.apply(&mut directory, now_ms + 100));
    }
    absences
}

const DISTURBED: u64 = 8;

/// Guards against a state that a target which runs and says so cannot leave.
#[test]
fn a_target_that_announces_itself_is_listed_in_the_end() {
    fn holds(disturbances: Vec<(u8, Disturbance)>) -> bool {
        // The lease of another writer's entry, and the announcements that show a return.
        let bound = DISTURBED + 5 + RETURN_MS / INTERVAL_MS + 4;
        absences(&disturbances, bound + 5)
            .iter()
            .all(|at| *at < bound)
    }
    QuickCheck::new()
        .tests(2000)
        .quickcheck(holds as fn(Vec<(u8, Disturbance)>) -> bool);
}

/// Guards against entries of unnamed services that keep a target away at all.
#[test]
fn entries_for_unnamed_services_keep_no_target_away() {
    fn holds(mut disturbances: Vec<(u8, Disturbance)>) -> bool {
        disturbances.retain(|(_, disturbance)| {
            matches!(
                disturbance,
                Disturbance::Foreign { .. } | Disturbance::Repeated(_)
            )
        });
        absences(&disturbances, 20).is_empty()
    }
    QuickCheck::new()
        .tests(2000)
        .quickcheck(holds as fn(Vec<(u8, Disturbance)>) -> bool);
}
