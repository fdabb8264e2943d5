//! Speed measurement of targets with requests of all sizes.

use guavacove::target_pace::{SpeedMeter, TargetSpeed};

/// Guards against a measured speed that depends on the sizes of the requests: one target receives
/// requests of varying size, another one of the same speed only long ones.
#[test]
fn request_sizes_do_not_affect_the_measured_speed() {
    let mut long = SpeedMeter::default();
    let mut mixed = SpeedMeter::default();
    for number in 0..40u64 {
        long.record_run(3000, 1000);
        long.record_first_event(100, 10_000);
        let units = 10 + number * 37 % 500;
        mixed.record_run(units * 3, units);
        let tokens = 1000 + number * 701 % 20_000;
        mixed.record_first_event(tokens / 100, tokens);
    }
    assert_eq!(long.speed().unit_micros, Some(3000));
    assert_eq!(mixed.speed().unit_micros, Some(3000));
    let nanos = mixed.speed().prompt_token_nanos.unwrap();
    let long_nanos = long.speed().prompt_token_nanos.unwrap();
    assert!((9_900..=10_000).contains(&long_nanos), "{long_nanos}");
    assert!((9_900..=10_000).contains(&nanos), "{nanos}");
}

#[test]
fn the_measurement_follows_a_target_that_becomes_slow() {
    let mut meter = SpeedMeter::default();
    for _ in 0..50 {
        meter.record_run(300, 100);
        meter.record_first_event(50, 5000);
    }
    for _ in 0..30 {
        meter.record_run(1200, 100);
        meter.record_first_event(200, 5000);
    }
    let speed = meter.speed();
    assert!(speed.unit_micros > Some(10_000), "{speed:?}");
    assert!(speed.prompt_token_nanos > Some(32_000), "{speed:?}");
}

#[test]
fn the_speed_is_unknown_before_enough_samples_and_ignores_absurd_ones() {
    let mut meter = SpeedMeter::default();
    for _ in 0..3 {
        meter.record_run(300, 100);
        meter.record_first_event(50, 5000);
    }
    assert_eq!(meter.speed(), TargetSpeed::default());
    meter.record_run(u64::MAX / 2000, 0);
    meter.record_first_event(u64::MAX, u64::MAX);
    meter.record_first_event(10, 0);
    meter.record_first_event(50, 5000);
    let speed = meter.speed();
    assert!(speed.unit_micros.is_some());
    let nanos = speed.prompt_token_nanos.unwrap();
    assert!((9_900..=10_000).contains(&nanos), "{nanos}");
    assert!(speed.first_event_micros(1_000).is_some());
}
