//! Whether the run of a target that wrote a response is still there.

use guavacove::{
    control::directory::TargetEntry,
    request_limit::RequestLimit,
    target_run::{AddressCheck, Listing, RunAfter, RunStatement, TargetRun, judge},
    units::TargetVersion,
};

fn run() -> TargetRun {
    TargetRun {
        name: "t".into(),
        started_unix_ms: 5,
    }
}

fn answered(name: Option<&str>, started_unix_ms: Option<u64>) -> AddressCheck {
    AddressCheck::Answered(RunStatement {
        name: name.map(Into::into),
        started_unix_ms,
    })
}

/// Guards against a part of a response that counts as the whole because another run of the target,
/// or another target, accepts connections at its address (review case 6).
#[test]
fn only_the_run_that_wrote_a_response_is_present() {
    use AddressCheck::{Accepted, IsAnother, NotReached, Refused};
    use RunAfter::{Gone, Present, Unknown};
    // The result if the directory lists no later run, and if it lists one.
    let cases = [
        (Refused, [Gone, Gone]),
        (NotReached, [Unknown, Unknown]),
        (IsAnother, [Gone, Gone]),
        (Accepted, [Present, Gone]),
        (answered(None, None), [Unknown, Gone]),
        (answered(Some("t"), None), [Present, Gone]),
        (answered(Some("u"), None), [Gone, Gone]),
        (answered(None, Some(5)), [Present, Present]),
        (answered(None, Some(4)), [Gone, Gone]),
        (answered(None, Some(6)), [Gone, Gone]),
        (answered(Some("t"), Some(5)), [Present, Present]),
        (answered(Some("t"), Some(6)), [Gone, Gone]),
        (answered(Some("u"), Some(5)), [Gone, Gone]),
    ];
    for (check, expected) in cases {
        let results =
            [Listing::NoLaterRun, Listing::LaterRun].map(|listing| judge(&run(), &check, listing));
        assert_eq!(results, expected, "{check:?}");
        if results[0] != results[1] && check != answered(None, None) {
            assert!(check.needs_directory(), "{check:?}");
        }
    }
}

/// Guards against a successor that is overlooked because it has another name.
#[test]
fn a_later_run_has_the_name_or_the_address() {
    let address = "10.0.0.1:80".parse().unwrap();
    let other_address = "10.0.0.2:80".parse().unwrap();
    let cases = [
        ("t", address, 5, false),
        ("t", address, 4, false),
        ("t", address, 6, true),
        ("t", other_address, 6, true),
        ("u", address, 6, true),
        ("u", address, 4, false),
        ("u", other_address, 6, false),
    ];
    for (name, listed_address, started_unix_ms, expected) in cases {
        let entry = TargetEntry {
            name: name.into(),
            started_unix_ms,
            service: "plain".into(),
            address: listed_address,
            failure_domain: "a".into(),
            slots: 1,
            leaving: false,
            warming_up: false,
            limit: RequestLimit::default(),
            version: TargetVersion::default(),
        };
        let is_succeeded = run().is_succeeded_by(address, &entry);
        assert_eq!(
            is_succeeded, expected,
            "{name} {listed_address} {started_unix_ms}"
        );
    }
}
