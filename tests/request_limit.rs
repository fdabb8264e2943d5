//! The limits on requests a second that targets state.

use guavacove::request_limit::{KnownLimit, RequestLimit, RequestRate, StatedLimit};

fn rate(milli_per_s: u64) -> RequestRate {
    RequestRate { milli_per_s }
}

fn limited(milli_per_s: u64) -> StatedLimit {
    StatedLimit::Limited(rate(milli_per_s))
}

#[test]
fn a_rate_is_a_decimal_number() {
    let cases = [
        ("1", Some(1000)),
        ("2.5", Some(2500)),
        ("0.2", Some(200)),
        ("0", Some(0)),
        ("0.0004", Some(0)),
        (".5", Some(500)),
        ("99999999999999999999", Some(1_000_000_000_000)),
        ("", None),
        (".", None),
        ("-1", None),
        ("1,5", None),
        ("1e3", None),
        ("inf", None),
        ("NaN", None),
        ("two", None),
    ];
    for (text, expected) in cases {
        let parsed = text.parse::<RequestRate>().ok();
        assert_eq!(parsed, expected.map(rate), "{text:?}");
    }
    assert_eq!(rate(2500).to_string(), "2.5");
}

/// Answers as (sent, arrived, stated limit), and the limit known after each.
fn observe_all(answers: &[(u64, u64, StatedLimit, Option<u64>)]) {
    let mut known = KnownLimit::default();
    for (sent_ms, now_ms, stated, expected) in answers {
        known.observe(*stated, *sent_ms, *now_ms);
        let expected = expected.map(rate);
        assert_eq!(
            known.limit().rate,
            expected,
            "after {stated:?} sent at {sent_ms}"
        );
    }
}

#[test]
fn an_answer_that_began_before_the_limit_was_known_neither_lifts_nor_changes_it() {
    observe_all(&[
        (0, 50, StatedLimit::Unlimited, None),
        (10, 100, limited(2000), Some(2000)),
        (20, 110, StatedLimit::Unlimited, Some(2000)),
        (90, 120, limited(5000), Some(2000)),
        (100, 130, limited(5000), Some(5000)),
        (120, 140, limited(2000), Some(5000)),
        (131, 150, limited(2000), Some(2000)),
        (140, 160, StatedLimit::Unlimited, Some(2000)),
        (151, 170, StatedLimit::Unlimited, None),
        (165, 180, limited(2000), None),
        (171, 190, limited(2000), Some(2000)),
    ]);
}

#[test]
fn an_unreadable_limit_changes_nothing() {
    observe_all(&[
        (0, 10, StatedLimit::Unreadable, None),
        (20, 30, limited(2000), Some(2000)),
        (40, 50, StatedLimit::Unreadable, Some(2000)),
    ]);
}

#[test]
fn of_two_known_limits_the_newer_version_counts_and_of_one_version_the_stricter() {
    let limit = |version, milli_per_s: Option<u64>| RequestLimit {
        version,
        rate: milli_per_s.map(rate),
    };
    let cases = [
        (limit(0, None), limit(0, Some(2)), true),
        (limit(0, Some(2)), limit(0, None), false),
        (limit(0, Some(2)), limit(0, Some(1)), true),
        (limit(0, Some(2)), limit(0, Some(3)), false),
        (limit(0, Some(2)), limit(1, Some(3)), true),
        (limit(0, Some(2)), limit(1, None), true),
        (limit(1, None), limit(0, Some(1)), false),
        (limit(1, None), limit(1, None), false),
    ];
    for (known, other, replaces) in cases {
        assert_eq!(
            other.supersedes(&known),
            replaces,
            "{other:?} for {known:?}"
        );
        let mut process = KnownLimit::default();
        process.merge(known, 1);
        assert_eq!(process.merge(other, 2), replaces);
    }
}
