//! Control instances that find each other: founded once, grown, and repaired.

use guavacove::{
    consensus::{Membership, MembershipChange, ReplicaId},
    control::roster::{Discovery, Founding, InstanceAddresses, Presence, Roster},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

/// Longer than a voter may be silent before another takes its place.
const LONG_MS: u64 = 20_000;

fn id(disk: u64) -> ReplicaId {
    ReplicaId { number: 0, disk }
}

fn addresses(host: u8) -> InstanceAddresses {
    InstanceAddresses {
        peer: SocketAddr::from(([10, 0, 0, host], 1)),
        rpc: SocketAddr::from(([10, 0, 0, host], 2)),
        api: Some(SocketAddr::from(([10, 0, 0, host], 3))),
    }
}

fn presence(disk: u64, host: u8, founder: bool, in_group: bool) -> Presence {
    Presence {
        replica: id(disk),
        in_group,
        leads: false,
        founder,
        durable: true,
        addresses: addresses(host),
        known: Vec::new(),
    }
}

fn roster(disk: u64, host: u8, founder: bool) -> Roster {
    let seeds = (1..=3).map(|host| addresses(host).peer).collect();
    Roster::new(
        id(disk),
        addresses(host),
        founder,
        true,
        Discovery::Seeds(seeds),
        BTreeMap::new(),
    )
}

fn members(voters: &[u64], learners: &[u64]) -> Membership {
    Membership {
        voters: voters.iter().copied().map(id).collect(),
        learners: learners.iter().copied().map(id).collect(),
    }
}

fn hear_all(roster: &mut Roster, instances: &[(u64, u8)], now_ms: u64) {
    for (disk, host) in instances {
        roster.hear(presence(*disk, *host, false, true), now_ms);
    }
}

#[test]
fn a_group_is_founded_by_the_lowest_founder_once_every_seed_was_heard() {
    let mut lowest = roster(1, 1, true);
    let mut other = roster(2, 2, true);
    lowest.hear(presence(2, 2, true, false), 10);
    assert_eq!(
        lowest.founding(20),
        Founding::Wait,
        "a seed has not been heard"
    );
    lowest.hear(presence(3, 3, true, false), 20);
    other.hear(presence(1, 1, true, false), 20);
    other.hear(presence(3, 3, true, false), 20);
    let all: BTreeSet<ReplicaId> = [1, 2, 3].into_iter().map(id).collect();
    assert_eq!(lowest.founding(30), Founding::Invite(all.clone()));
    assert_eq!(other.founding(30), Founding::Wait);
    lowest.hear(presence(2, 2, true, true), 40);
    assert_eq!(lowest.founding(50), Founding::Wait, "one has not followed");
    lowest.hear(presence(3, 3, true, true), 50);
    assert_eq!(lowest.founding(60), Founding::Found(all));
}

#[test]
fn a_lost_disk_founds_nothing() {
    let mut empty = roster(9, 1, false);
    empty.hear(presence(2, 2, false, false), 10);
    empty.hear(presence(3, 3, false, false), 10);
    assert_eq!(empty.founding(20), Founding::Wait);
}

#[test]
fn a_seed_that_belongs_to_another_group_stops_a_founding() {
    let mut roster = roster(1, 1, true);
    roster.hear(presence(2, 2, true, false), 10);
    roster.hear(presence(8, 3, false, true), 10);
    assert_eq!(roster.founding(20), Founding::Wait);
}

#[test]
fn a_new_disk_at_an_old_address_takes_the_place_of_the_old_one() {
    let mut roster = roster(1, 1, true);
    hear_all(&mut roster, &[(2, 2), (3, 3)], 10);
    let before = members(&[1, 2, 3], &[]);
    assert_eq!(roster.repair(&before, 0, 20), None);
    roster.hear(presence(33, 3, false, false), 30);
    let add = MembershipChange::AddLearner(id(33));
    assert_eq!(roster.repair(&before, 0, 40), Some(add));
    let learning = members(&[1, 2, 3], &[33]);
    let promote = MembershipChange::Promote(id(33));
    assert_eq!(roster.repair(&learning, 0, 40), Some(promote));
    let promoted = members(&[1, 2, 3, 33], &[]);
    let remove = MembershipChange::Remove(id(3));
    assert_eq!(roster.repair(&promoted, 0, 40), Some(remove));
}

#[test]
fn a_silent_voter_stays_unless_another_has_taken_its_place() {
    let mut roster = roster(1, 1, true);
    hear_all(&mut roster, &[(2, 2), (3, 3)], 10);
    roster.hear(presence(2, 2, false, true), LONG_MS);
    let three = members(&[1, 2, 3], &[]);
    assert_eq!(
        roster.repair(&three, 0, LONG_MS + 10),
        None,
        "nobody to take its place"
    );
    roster.hear(presence(4, 4, false, false), LONG_MS);
    let add = MembershipChange::AddLearner(id(4));
    assert_eq!(roster.repair(&three, 0, LONG_MS + 10), Some(add));
    let promote = MembershipChange::Promote(id(4));
    let learning = members(&[1, 2, 3], &[4]);
    assert_eq!(roster.repair(&learning, 0, LONG_MS + 10), Some(promote));
    let remove = MembershipChange::Remove(id(3));
    let promoted = members(&[1, 2, 3, 4], &[]);
    assert_eq!(roster.repair(&promoted, 0, LONG_MS + 10), Some(remove));
}

#[test]
fn a_short_silence_changes_nothing() {
    let mut roster = roster(1, 1, true);
    hear_all(&mut roster, &[(2, 2), (3, 3), (4, 4)], 10);
    hear_all(&mut roster, &[(2, 2), (4, 4)], 3000);
    assert_eq!(roster.repair(&members(&[1, 2, 3], &[4]), 0, 3100), None);
}

/// Follows the repair until it asks for nothing more.
fn settle(roster: &Roster, mut membership: Membership, now_ms: u64) -> Membership {
    for _ in 0..40 {
        match roster.repair(&membership, 0, now_ms) {
            Some(change) => membership = membership.after(&change),
            None => return membership,
        }
    }
    panic!("the repair does not end: {membership:?}");
}

#[test]
fn six_disks_make_five_voters_and_eight_make_seven() {
    for (disks, voters) in [(3, 3), (4, 3), (5, 5), (6, 5), (8, 7), (12, 7)] {
        let mut roster = roster(1, 1, true);
        let others: Vec<(u64, u8)> = (2..=disks).map(|disk| (disk, disk as u8)).collect();
        hear_all(&mut roster, &others, 10);
        let settled = settle(&roster, members(&[1, 2, 3], &[]), 20);
        assert_eq!(settled.voters.len(), voters, "{disks} disks");
    }
}

#[test]
fn instances_without_a_disk_count_only_where_there_is_no_disk() {
    let mut roster = roster(1, 1, true);
    hear_all(&mut roster, &[(2, 2), (3, 3)], 10);
    let diskless = Presence {
        durable: false,
        ..presence(4, 4, false, false)
    };
    roster.hear(diskless, 10);
    assert_eq!(roster.repair(&members(&[1, 2, 3], &[]), 0, 20), None);
}
