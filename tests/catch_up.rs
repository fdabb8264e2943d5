//! When a process asks all control instances for what was committed, and what they tell it.

use guavacove::{
    control::{
        departures::{Departure, RecentDepartures, Standing},
        directory::AnnouncementVersion,
    },
    control_view::catch_up::{MARGIN_MS, MAX_RENEWAL_AGE_MS, UNCONFIRMED_AGE_MS, asked_age_ms},
};

macro_rules! asked {
    ($($name:ident: $age_ms:expr, $has_document:expr, $has_asked:expr => $asked_ms:expr;)*) => {
        $(
            /// Guards against a view that stays old although other instances than the leader reply.
            #[test]
            fn $name() {
                assert_eq!(asked_age_ms($age_ms, $has_document, $has_asked), $asked_ms);
            }
        )*
    };
}

const FRESH: Option<u64> = Some(MAX_RENEWAL_AGE_MS - 1);
const OLD: Option<u64> = Some(MAX_RENEWAL_AGE_MS);

asked! {
    a_confirmed_view_asks_nobody: FRESH, true, false => None;
    a_view_that_is_confirmed_again_asks_nobody: FRESH, true, true => None;
    an_old_view_asks_for_what_followed: OLD, true, false => Some(MAX_RENEWAL_AGE_MS + MARGIN_MS);
    an_old_view_asks_again: Some(4000), true, true => Some(4000 + MARGIN_MS);
    an_old_view_without_a_document_asks: OLD, false, false => Some(MAX_RENEWAL_AGE_MS + MARGIN_MS);
    the_oldest_view_asks_for_everything: Some(u64::MAX), true, true => Some(u64::MAX);
    a_cached_view_asks_for_everything: None, true, false => Some(u64::MAX);
    a_cached_view_asks_for_the_latest: None, true, true => Some(UNCONFIRMED_AGE_MS);
    an_empty_view_asks_nobody: None, false, false => None;
}

fn departure(name: &str, started_unix_ms: u64, has_withdrawn: bool) -> Departure {
    Departure {
        target: name.into(),
        version: AnnouncementVersion {
            started_unix_ms,
            sequence: 1,
        },
        has_withdrawn,
    }
}

/// Guards against a run that goes on as it was not known when it withdrew.
#[test]
fn an_unknown_run_that_has_withdrawn_is_any_run() {
    let withdrawal = Departure::of_unknown_run("t".into());
    for started_unix_ms in [0, 5, u64::MAX] {
        assert_eq!(withdrawal.standing(started_unix_ms), Standing::Withdrawn);
    }
}

/// Guards against departures that a process is not told although its view is older than they are.
#[test]
fn departures_are_told_by_the_age_of_the_view() {
    let mut recent = RecentDepartures::default();
    for (number, at_ms) in [100, 200, 300].into_iter().enumerate() {
        recent.learn(departure(&format!("t{number}"), 5, false), at_ms);
    }
    // The time now, the age of the view, and the number of departures.
    let cases = [
        (300, 0, 1),
        (300, 100, 2),
        (300, u64::MAX, 3),
        (1000, 600, 0),
    ];
    for (now_ms, age_ms, count) in cases {
        assert_eq!(
            recent.within(age_ms, now_ms).len(),
            count,
            "{age_ms} at {now_ms}"
        );
    }
    recent.learn(departure("t0", 5, true), 400);
    assert_eq!(
        recent.within(50, 400),
        [departure("t0", 5, true)],
        "it withdraws later"
    );
    assert_eq!(recent.within(u64::MAX, 400).len(), 3);
}

macro_rules! standings {
    ($($name:ident: $started_unix_ms:expr, $has_withdrawn:expr => $standing:expr;)*) => {
        $(
            /// Guards against a departure that is taken for one of another run.
            #[test]
            fn $name() {
                let departure = departure("t", 5, $has_withdrawn);
                assert_eq!(departure.standing($started_unix_ms), $standing);
            }
        )*
    };
}

standings! {
    the_run_that_leaves: 5, false => Standing::Leaving;
    the_run_that_has_withdrawn: 5, true => Standing::Withdrawn;
    a_run_before_one_that_leaves: 4, false => Standing::Leaving;
    a_run_before_one_that_has_withdrawn: 4, true => Standing::Withdrawn;
    a_run_after_one_that_leaves: 6, false => Standing::Serving;
    a_run_after_one_that_has_withdrawn: 6, true => Standing::Serving;
}
