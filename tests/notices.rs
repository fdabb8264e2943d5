//! Availability that targets report in their responses, and the `Retry-After` header.

use guavacove::{
    control::directory::TargetEntry,
    gateway::{
        notices::{Availability, AvailabilityTracker},
        placement::{Exclusions, eligible},
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
fn a_draining_target_is_unavailable_until_it_restarts() {
    let mut availability = AvailabilityTracker::default();
    let (draining, restarted) = (target("engine-1", 10), target("engine-1", 11));
    assert!(availability.record_draining(&draining, 1000));
    assert!(
        !availability.record_draining(&draining, 1001),
        "reported once"
    );
    availability.record_pause(&draining, 10, 1001);
    assert_eq!(availability.get(&draining, 900_000), Availability::Draining);
    assert_eq!(availability.get(&restarted, 1002), Availability::Available);
    assert_eq!(
        availability.get(&target("engine-2", 10), 1002),
        Availability::Available
    );
}

#[test]
fn a_draining_target_that_the_directory_lists_again_stays_unavailable() {
    let mut availability = AvailabilityTracker::default();
    let draining = target("engine-1", 10);
    availability.record_draining(&draining, 1000);
    for now_ms in (1000..200_000).step_by(250) {
        // Listed at first, missing for 20 s, listed again.
        let is_listed = !(50_000..70_000).contains(&now_ms);
        availability.sweep(|_, _| is_listed, now_ms);
    }
    assert_eq!(availability.get(&draining, 200_000), Availability::Draining);
    availability.sweep(|_, _| false, 300_000);
    assert_eq!(
        availability.get(&draining, 300_000),
        Availability::Available,
        "forgotten"
    );
}

#[test]
fn overlapping_pauses_end_with_the_longest() {
    let mut availability = AvailabilityTracker::default();
    let paused = target("engine-1", 10);
    availability.record_pause(&paused, 2000, 1000);
    availability.record_pause(&paused, 500, 1100);
    assert_eq!(
        availability.get(&paused, 2999),
        Availability::PausedUntil(3000)
    );
    assert_eq!(availability.get(&paused, 3000), Availability::Available);
    availability.record_pause(&paused, 1000, 3500);
    assert_eq!(
        availability.get(&paused, 4000),
        Availability::PausedUntil(4500)
    );
    assert_eq!(
        availability.get(&target("engine-1", 12), 4000),
        Availability::Available
    );
}

#[test]
fn closed_targets_are_never_eligible() {
    let paused = Exclusions {
        is_closed: true,
        ..Exclusions::default()
    };
    let backing_off = Exclusions {
        is_backing_off: true,
        ..Exclusions::default()
    };
    assert_eq!(eligible(&[paused, backing_off]), [1]);
    assert!(eligible(&[paused, paused]).is_empty());
}

macro_rules! retry_after_values {
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

retry_after_values! {
    whole_seconds: "3" => 3000;
    a_fraction_is_rounded_up: "0.2501" => 251;
    zero: "0" => 0;
    a_future_date: "Sun, 06 Nov 1994 08:49:42 GMT" => 5000;
    a_past_date: "Sun, 06 Nov 1994 08:49:30 GMT" => 0;
    an_excessive_number: "1e300" => MAX_WAIT_MS;
    infinity: "inf" => MAX_WAIT_MS;
    a_negative_number: "-4" => DEFAULT_WAIT_MS;
    not_a_number: "NaN" => DEFAULT_WAIT_MS;
    plain_text: "soon" => DEFAULT_WAIT_MS;
    an_empty_value: "" => DEFAULT_WAIT_MS;
}

#[test]
fn a_response_without_the_header_has_no_wait() {
    assert_eq!(
        retry_after_ms(&HeaderMap::new(), SystemTime::UNIX_EPOCH),
        None
    );
}
