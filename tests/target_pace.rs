//! Speed measurement of targets with requests of all sizes.

use guavacove::target_pace::{PaceMeter, TargetPace};

/// Guards against a measured speed that depends on the sizes of the requests: one target receives
/// requests of varying size, another one of the same speed only long ones.
#[test]
fn request_sizes_do_not_affect_the_measured_speed() {
    let mut long = PaceMeter::default();
    let mut mixed = PaceMeter::default();
    for number in 0..40u64 {
        long.ended(3000, 1000);
        long.began(100, 10_000);
        let units = 10 + number * 37 % 500;
        mixed.ended(units * 3, units);
        let tokens = 1000 + number * 701 % 20_000;
        mixed.began(tokens / 100, tokens);
    }
    assert_eq!(long.pace().unit_micros, Some(3000));
    assert_eq!(mixed.pace().unit_micros, Some(3000));
    let nanos = mixed.pace().prompt_token_nanos.unwrap();
    let long_nanos = long.pace().prompt_token_nanos.unwrap();
    assert!((9_900..=10_000).contains(&long_nanos), "{long_nanos}");
    assert!((9_900..=10_000).contains(&nanos), "{nanos}");
}

#[test]
fn the_measurement_follows_a_target_that_becomes_slow() {
    let mut meter = PaceMeter::default();
    for _ in 0..50 {
        meter.ended(300, 100);
        meter.began(50, 5000);
    }
    for _ in 0..30 {
        meter.ended(1200, 100);
        meter.began(200, 5000);
    }
    let pace = meter.pace();
    assert!(pace.unit_micros > Some(10_000), "{pace:?}");
    assert!(pace.prompt_token_nanos > Some(32_000), "{pace:?}");
}

#[test]
fn the_speed_is_unknown_before_enough_samples_and_ignores_absurd_ones() {
    let mut meter = PaceMeter::default();
    for _ in 0..3 {
        meter.ended(300, 100);
        meter.began(50, 5000);
    }
    assert_eq!(meter.pace(), TargetPace::default());
    meter.ended(u64::MAX / 2000, 0);
    meter.began(u64::MAX, u64::MAX);
    meter.began(10, 0);
    meter.began(50, 5000);
    let pace = meter.pace();
    assert!(pace.unit_micros.is_some());
    let nanos = pace.prompt_token_nanos.unwrap();
    assert!((9_900..=10_000).contains(&nanos), "{nanos}");
    assert!(pace.first_event_micros(1_000).is_some());
}
