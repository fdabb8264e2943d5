//! What targets say of themselves in answers, and for how long that holds.

use guavacove::{
    control::directory::TargetEntry,
    gateway::{
        notices::{Availability, AvailabilityTracker},
        placement::{Eligibility, eligible},
        retry_after::{DEFAULT_WAIT_MS, MAX_WAIT_MS, retry_after_ms},
    },
};
use hyper::{HeaderMap, header::RETRY_AFTER};
use std::time::{Duration, SystemTime};

fn target(name: &str, started_unix_ms: u64) -> TargetEntry {
    TargetEntry {
        name: name.into(),
        started_unix_ms,
        service: "model".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        failure_domain: "a".into(),
        slots: 4,
        leaving: false,
        warming_up: false,
    }
}

#[test]
fn a_target_that_leaves_takes_no_work_until_it_is_started_again() {
    let mut availability = AvailabilityTracker::default();
    let (leaving, again) = (target("engine-1", 10), target("engine-1", 11));
    assert!(availability.record_draining(&leaving, 1000));
    assert!(!availability.record_draining(&leaving, 1001), "told once");
    availability.record_pause(&leaving, 10, 1001);
    assert_eq!(availability.get(&leaving, 900_000), Availability::Draining);
    assert_eq!(availability.get(&again, 1002), Availability::Available);
    assert_eq!(
        availability.get(&target("engine-2", 10), 1002),
        Availability::Available
    );
}

#[test]
fn a_directory_that_loses_a_target_for_a_while_does_not_make_it_ready() {
    let mut availability = AvailabilityTracker::default();
    let leaving = target("engine-1", 10);
    availability.record_draining(&leaving, 1000);
    for now_ms in (1000..200_000).step_by(250) {
        // Listed at first, gone for 20 s, listed again.
        let is_listed = !(50_000..70_000).contains(&now_ms);
        availability.sweep(|_, _| is_listed, now_ms);
    }
    assert_eq!(availability.get(&leaving, 200_000), Availability::Draining);
    availability.sweep(|_, _| false, 300_000);
    assert_eq!(
        availability.get(&leaving, 300_000),
        Availability::Available,
        "forgotten"
    );
}

#[test]
fn pauses_that_follow_each_other_end_with_the_last_one() {
    let mut availability = AvailabilityTracker::default();
    let closed = target("engine-1", 10);
    availability.record_pause(&closed, 2000, 1000);
    availability.record_pause(&closed, 500, 1100);
    assert_eq!(
        availability.get(&closed, 2999),
        Availability::PausedUntil(3000)
    );
    assert_eq!(availability.get(&closed, 3000), Availability::Available);
    availability.record_pause(&closed, 1000, 3500);
    assert_eq!(
        availability.get(&closed, 4000),
        Availability::PausedUntil(4500)
    );
    assert_eq!(
        availability.get(&target("engine-1", 12), 4000),
        Availability::Available
    );
}

#[test]
fn closed_targets_are_not_used_even_if_there_are_no_others() {
    let closed = Eligibility {
        is_closed: true,
        ..Eligibility::default()
    };
    let resting = Eligibility {
        is_backing_off: true,
        ..Eligibility::default()
    };
    assert_eq!(eligible(&[closed, resting]), [1]);
    assert!(eligible(&[closed, closed]).is_empty());
}

macro_rules! waits {
    ($($name:ident: $text:expr => $wait_ms:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let now = SystemTime::UNIX_EPOCH + Duration::from_secs(784_111_777);
                let mut headers = HeaderMap::new();
                headers.insert(RETRY_AFTER, $text.parse().unwrap());
                assert_eq!(retry_after_ms(&headers, now), Some($wait_ms));
            }
        )*
    };
}

waits! {
    whole_seconds: "3" => 3000;
    a_fraction_is_rounded_up: "0.2501" => 251;
    nothing: "0" => 0;
    a_date_to_come: "Sun, 06 Nov 1994 08:49:42 GMT" => 5000;
    a_date_gone_by: "Sun, 06 Nov 1994 08:49:30 GMT" => 0;
    an_absurd_time: "1e300" => MAX_WAIT_MS;
    an_infinite_time: "inf" => MAX_WAIT_MS;
    a_negative_time: "-4" => DEFAULT_WAIT_MS;
    no_number: "NaN" => DEFAULT_WAIT_MS;
    no_time_at_all: "soon" => DEFAULT_WAIT_MS;
    an_empty_value: "" => DEFAULT_WAIT_MS;
}

#[test]
fn an_answer_without_the_header_closes_nothing() {
    assert_eq!(
        retry_after_ms(&HeaderMap::new(), SystemTime::UNIX_EPOCH),
        None
    );
}
