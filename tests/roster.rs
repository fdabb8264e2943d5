//! Control instances that discover each other: the group is bootstrapped once, grown, and
//! repaired by replacing voters.

use guavacove::{
    consensus::{Membership, MembershipChange, ReplicaId},
    control::roster::{
        BootstrapStep, Discovery, InstanceAddresses, KnownInstance, Presence, Roster,
    },
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

/// Longer than the time without presence messages after which a voter may be replaced.
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

/// The next change, if every learner has caught up.
fn next_change(roster: &Roster, membership: &Membership, now_ms: u64) -> Option<MembershipChange> {
    roster.next_membership_change(membership, &membership.learners, now_ms)
}

fn members(voters: &[u64], learners: &[u64]) -> Membership {
    Membership {
        voters: voters.iter().copied().map(id).collect(),
        learners: learners.iter().copied().map(id).collect(),
    }
}

fn record_all(roster: &mut Roster, instances: &[(u64, u8)], now_ms: u64) {
    for (disk, host) in instances {
        roster.record_presence(presence(*disk, *host, false, true), now_ms);
    }
}

#[test]
fn the_lowest_founder_bootstraps_once_every_seed_is_present() {
    let mut lowest = roster(1, 1, true);
    let mut other = roster(2, 2, true);
    lowest.record_presence(presence(2, 2, true, false), 10);
    assert_eq!(
        lowest.bootstrap_step(20),
        BootstrapStep::Wait,
        "a seed is not present yet"
    );
    lowest.record_presence(presence(3, 3, true, false), 20);
    other.record_presence(presence(1, 1, true, false), 20);
    other.record_presence(presence(3, 3, true, false), 20);
    let all: BTreeSet<ReplicaId> = [1, 2, 3].into_iter().map(id).collect();
    assert_eq!(
        lowest.bootstrap_step(30),
        BootstrapStep::Invite(all.clone())
    );
    assert_eq!(other.bootstrap_step(30), BootstrapStep::Wait);
    lowest.record_presence(presence(2, 2, true, true), 40);
    assert_eq!(
        lowest.bootstrap_step(50),
        BootstrapStep::Wait,
        "one has not joined"
    );
    lowest.record_presence(presence(3, 3, true, true), 50);
    assert_eq!(lowest.bootstrap_step(60), BootstrapStep::Bootstrap(all));
}

#[test]
fn an_instance_that_lost_its_disk_does_not_bootstrap() {
    let mut empty = roster(9, 1, false);
    empty.record_presence(presence(2, 2, false, false), 10);
    empty.record_presence(presence(3, 3, false, false), 10);
    assert_eq!(empty.bootstrap_step(20), BootstrapStep::Wait);
}

#[test]
fn a_seed_in_another_group_blocks_the_bootstrap() {
    let mut roster = roster(1, 1, true);
    roster.record_presence(presence(2, 2, true, false), 10);
    roster.record_presence(presence(8, 3, false, true), 10);
    assert_eq!(roster.bootstrap_step(20), BootstrapStep::Wait);
}

#[test]
fn a_new_disk_at_a_known_address_replaces_the_old_one() {
    let mut roster = roster(1, 1, true);
    record_all(&mut roster, &[(2, 2), (3, 3)], 10);
    let before = members(&[1, 2, 3], &[]);
    assert_eq!(next_change(&roster, &before, 20), None);
    roster.record_presence(presence(33, 3, false, false), 30);
    let add = MembershipChange::AddLearner(id(33));
    assert_eq!(next_change(&roster, &before, 40), Some(add));
    let learning = members(&[1, 2, 3], &[33]);
    let promote = MembershipChange::Promote(id(33));
    assert_eq!(next_change(&roster, &learning, 40), Some(promote));
    let promoted = members(&[1, 2, 3, 33], &[]);
    let remove = MembershipChange::Remove(id(3));
    assert_eq!(next_change(&roster, &promoted, 40), Some(remove));
}

#[test]
fn a_silent_voter_stays_until_a_replacement_is_promoted() {
    let mut roster = roster(1, 1, true);
    record_all(&mut roster, &[(2, 2), (3, 3)], 10);
    roster.record_presence(presence(2, 2, false, true), LONG_MS);
    let three = members(&[1, 2, 3], &[]);
    assert_eq!(
        next_change(&roster, &three, LONG_MS + 10),
        None,
        "no replacement is present"
    );
    roster.record_presence(presence(4, 4, false, false), LONG_MS);
    let add = MembershipChange::AddLearner(id(4));
    assert_eq!(next_change(&roster, &three, LONG_MS + 10), Some(add));
    let promote = MembershipChange::Promote(id(4));
    let learning = members(&[1, 2, 3], &[4]);
    assert_eq!(next_change(&roster, &learning, LONG_MS + 10), Some(promote));
    let remove = MembershipChange::Remove(id(3));
    let promoted = members(&[1, 2, 3, 4], &[]);
    assert_eq!(next_change(&roster, &promoted, LONG_MS + 10), Some(remove));
}

#[test]
fn a_short_silence_changes_no_membership() {
    let mut roster = roster(1, 1, true);
    record_all(&mut roster, &[(2, 2), (3, 3), (4, 4)], 10);
    record_all(&mut roster, &[(2, 2), (4, 4)], 3000);
    assert_eq!(next_change(&roster, &members(&[1, 2, 3], &[4]), 3100), None);
}

/// Applies membership changes until none is needed.
fn settle(roster: &Roster, mut membership: Membership, now_ms: u64) -> Membership {
    for _ in 0..40 {
        match next_change(roster, &membership, now_ms) {
            Some(change) => membership = membership.after(&change),
            None => return membership,
        }
    }
    panic!("the repair does not end: {membership:?}");
}

#[test]
fn the_number_of_voters_is_odd_and_at_most_seven() {
    for (disks, voters) in [(3, 3), (4, 3), (5, 5), (6, 5), (8, 7), (12, 7)] {
        let mut roster = roster(1, 1, true);
        let others: Vec<(u64, u8)> = (2..=disks).map(|disk| (disk, disk as u8)).collect();
        record_all(&mut roster, &others, 10);
        let settled = settle(&roster, members(&[1, 2, 3], &[]), 20);
        assert_eq!(settled.voters.len(), voters, "{disks} disks");
    }
}

#[test]
fn in_memory_instances_count_only_if_no_instance_has_a_disk() {
    let mut roster = roster(1, 1, true);
    record_all(&mut roster, &[(2, 2), (3, 3)], 10);
    let diskless = Presence {
        durable: false,
        ..presence(4, 4, false, false)
    };
    roster.record_presence(diskless, 10);
    assert_eq!(next_change(&roster, &members(&[1, 2, 3], &[]), 20), None);
}

/// Other instances that are heard all the time, from one moment to another.
type Phase = (&'static [(u64, u8)], (u64, u64));

const ALL: &[(u64, u8)] = &[(2, 2), (3, 3), (4, 4)];
const THIRD_LOST: &[(u64, u8)] = &[(2, 2), (4, 4)];

/// The next change after an instance has run through these phases.
fn change_after(membership: &Membership, phases: &[Phase]) -> Option<MembershipChange> {
    let mut roster = roster(1, 1, true);
    let mut end_ms = 0;
    for (instances, (from_ms, to_ms)) in phases {
        for now_ms in (*from_ms..=*to_ms).step_by(100) {
            record_all(&mut roster, instances, now_ms);
            roster.observe(membership, now_ms);
        }
        end_ms = *to_ms;
    }
    next_change(&roster, membership, end_ms)
}

macro_rules! silences {
    ($($(#[$doc:meta])* $name:ident: $membership:expr, $phases:expr => $expected:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                assert_eq!(change_after(&$membership, &$phases), $expected);
            }
        )*
    };
}

silences! {
    /// The successor of a lost voter is a voter before the next loss must be borne, also if it was
    /// the leader that was lost: silence counts from the last message, not from the election.
    a_lost_voter_is_replaced_without_waiting_for_long:
        members(&[1, 2, 3], &[4]), [(ALL, (100, 1000)), (THIRD_LOST, (1100, 4400))]
        => Some(MembershipChange::Promote(id(4)));
    /// A replacement that the last leader has begun is finished by the next one: four voters, one
    /// of them lost, cannot bear another loss.
    a_replacement_that_has_begun_is_finished:
        members(&[1, 2, 3, 4], &[]), [(ALL, (100, 1000)), (THIRD_LOST, (1100, 4400))]
        => Some(MembershipChange::Remove(id(3)));
    an_instance_that_was_cut_off_replaces_no_voter_that_it_did_not_hear:
        members(&[1, 2, 3], &[4]),
        [(ALL, (100, 1000)), (&[], (1100, 9000)), (THIRD_LOST, (9100, 9500))]
        => None;
    time_in_which_an_instance_was_suspended_is_no_silence_of_the_others:
        members(&[1, 2, 3], &[4]), [(ALL, (100, 1000)), (THIRD_LOST, (9000, 9500))]
        => None;
    silence_after_a_suspension_counts:
        members(&[1, 2, 3], &[4]), [(ALL, (100, 1000)), (THIRD_LOST, (9000, 12_300))]
        => Some(MembershipChange::Promote(id(4)));
}

/// A learner that is still behind does not hold up another one.
#[test]
fn only_a_learner_that_has_caught_up_is_promoted() {
    let mut roster = roster(1, 1, true);
    record_all(&mut roster, &[(2, 2), (3, 3)], 10);
    record_all(&mut roster, &[(2, 2), (4, 4), (5, 5)], LONG_MS);
    let learning = members(&[1, 2, 3], &[4, 5]);
    let next = |caught_up: &[u64]| {
        let caught_up = caught_up.iter().copied().map(id).collect();
        roster.next_membership_change(&learning, &caught_up, LONG_MS + 10)
    };
    assert_eq!(next(&[]), None);
    assert_eq!(next(&[5]), Some(MembershipChange::Promote(id(5))));
}

fn known(disk: u64, host: u8, silent_ms: u64) -> KnownInstance {
    KnownInstance {
        replica: id(disk),
        addresses: addresses(host),
        silent_ms,
    }
}

fn contacts(roster: &Roster) -> BTreeSet<SocketAddr> {
    let seeds = (1..=3).map(|host| addresses(host).peer).collect();
    &roster.peer_addresses() - &seeds
}

const MINUTE_MS: u64 = 60_000;

/// An instance without a disk restarts with nothing but its seeds, so the others must contact it.
#[test]
fn silent_instances_are_contacted_for_an_hour() {
    let mut roster = roster(1, 1, true);
    let peer = BTreeSet::from([addresses(7).peer]);
    roster.record_presence(presence(7, 7, false, false), 10);
    for (now_ms, expected) in [(59 * MINUTE_MS, peer), (61 * MINUTE_MS, BTreeSet::new())] {
        roster.prune_addresses(now_ms);
        assert_eq!(contacts(&roster), expected, "after {now_ms} ms");
    }
}

/// What others say of a silent instance must not keep it known for longer.
#[test]
fn hearsay_does_not_make_a_silent_instance_younger() {
    let mut roster = roster(1, 1, true);
    let hearsay = |silent_ms| Presence {
        known: vec![known(7, 7, silent_ms)],
        ..presence(2, 2, false, true)
    };
    assert!(roster.record_presence(hearsay(50 * MINUTE_MS), 10));
    let later = 20 * MINUTE_MS;
    assert!(!roster.record_presence(hearsay(70 * MINUTE_MS), later));
    roster.prune_addresses(later);
    assert!(contacts(&roster).is_empty());
    assert!(!roster.record_presence(hearsay(70 * MINUTE_MS), later + 10));
    let told = roster.presence(true, false, later + 10).known;
    assert!(told.iter().all(|known| known.replica != id(7)), "{told:?}");
}

/// A restarted instance without a disk is another replica at the same address.
#[test]
fn an_earlier_run_at_an_address_is_forgotten() {
    let mut roster = roster(1, 1, true);
    roster.record_presence(presence(7, 7, false, false), 10);
    roster.record_presence(presence(8, 7, false, false), 5000);
    roster.prune_addresses(5000);
    let replicas: Vec<ReplicaId> = roster.addresses().keys().copied().collect();
    assert!(replicas.contains(&id(8)) && !replicas.contains(&id(7)));
    let hearsay = Presence {
        known: vec![known(7, 7, 5000)],
        ..presence(2, 2, false, true)
    };
    roster.record_presence(hearsay.clone(), 5010);
    assert!(!roster.record_presence(hearsay, 5020), "no news");
    assert!(!roster.addresses().contains_key(&id(7)));
}

/// Instances whose addresses keep changing do not fill the roster; members stay in it.
#[test]
fn the_number_of_contacts_is_bounded() {
    let mut roster = roster(1, 1, true);
    record_all(&mut roster, &[(2, 2), (3, 3)], 10);
    roster.observe(&members(&[1, 2, 3], &[]), 20);
    for host in 10..200 {
        roster.record_presence(
            presence(u64::from(host), host, false, false),
            1000 + u64::from(host),
        );
    }
    roster.prune_addresses(2000);
    let kept = roster.addresses();
    assert_eq!(kept.len(), 2 + 64);
    assert!([2, 3, 199].iter().all(|disk| kept.contains_key(&id(*disk))));
    // Of one that was dropped another instance may still tell, again and again.
    let hearsay = Presence {
        known: vec![known(10, 10, 3000)],
        ..presence(2, 2, false, true)
    };
    assert!(!roster.record_presence(hearsay, 2010), "no news");
    assert_eq!(roster.addresses().len(), 2 + 64);
}

#[test]
fn seeds_that_the_settings_name_later_are_contacted() {
    let mut roster = roster(1, 1, true);
    roster.set_later_seeds(vec![addresses(9).peer]);
    assert_eq!(contacts(&roster), BTreeSet::from([addresses(9).peer]));
    // They say nothing about who may bootstrap the group.
    for host in [2, 3] {
        roster.record_presence(presence(u64::from(host), host, true, false), 10);
    }
    assert!(matches!(
        roster.bootstrap_step(20),
        BootstrapStep::Invite(_)
    ));
}
