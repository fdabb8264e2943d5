//! Numbers in settings may be fractions, as templates scale them. Guards against a value that
//! is rounded to the unsafe side, and against one out of range that is accepted.

use guavacove::settings::{ControlSettings, GatewaySettings, Settings};

const GATEWAY: &str = "name: g\nfailure_domain: a\nlisten: \"127.0.0.1:1\"\nreadiness: \
                       \"127.0.0.1:2\"\ncontrol: [\"127.0.0.1:3\"]\n";
const CONTROL: &str = "failure_domain: a\ndata_folder: x\ndiscovery:\n  api: \"127.0.0.1:1\"\n  \
                       peer_port: 2\n  rpc_port: 3\n  seeds: [\"127.0.0.1:1\"]\n";

/// Reads settings from a file, as a process does at startup.
fn read<S: Settings>(text: &str) -> Result<S, String> {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("settings.yaml");
    std::fs::write(&path, text).unwrap();
    S::read(&path).map_err(|error| error.to_string())
}

fn gateway(lines: &str) -> Result<GatewaySettings, String> {
    read(&format!("{GATEWAY}{lines}"))
}

fn control(lines: &str) -> Result<ControlSettings, String> {
    read(&format!("{CONTROL}{lines}"))
}

macro_rules! numbers {
    ($($name:ident: $read:ident($line:expr) => $settings:ident: $value:expr, $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let $settings = $read($line).unwrap();
                assert_eq!($value, $expected);
            }
        )*
    };
}

numbers! {
    a_grace_is_rounded_down: gateway("stop_grace_s: 7.9999") => read: read.stop_grace_ms, 7999;
    a_whole_grace_is_kept: gateway("stop_grace_s: 8") => read: read.stop_grace_ms, 8000;
    a_delay_is_rounded_up: gateway("balancer_delay_ms: 2500.2") => read: read.balancer_delay_ms, 2501;
    a_retry_slack_is_rounded_down: gateway("repeats: {ratio: 0.2, window_s: 10, slack: 37.878787}") => read: read.repeats.slack, 37;
    a_retry_ratio_is_rounded_down: gateway("repeats: {ratio: 0.1239, window_s: 10, slack: 1}") => read: read.repeats.per_mille, 123;
    a_retry_window_in_seconds_becomes_milliseconds: gateway("repeats: {ratio: 0.2, window_s: 9.5, slack: 1}") => read: read.repeats.window_ms, 9500;
    tolerated_units_are_rounded_down: gateway("quota_tolerance: {units: 16666.67, window_s: 8}") => read: read.quota_tolerance.units, 16_666;
    a_quota_window_is_rounded_up: gateway("quota_tolerance: {units: 1, window_s: 7.2}") => read: read.quota_tolerance.window_s, 8;
    tolerated_units_of_control_are_rounded_down: control("quota_tolerance: {units: 0.5, window_s: 8.0}") => read: read.quota_tolerance.units, 0;
    an_announcement_interval_is_rounded_up: control("  announcement_ms: 1200.5") => read: read.discovery.unwrap().announcement_ms, 1201;
}

macro_rules! rejected {
    ($($name:ident: $read:ident($line:expr), $words:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let error = $read($line).unwrap_err();
                for word in $words {
                    assert!(error.contains(word), "{word:?} is missing in: {error}");
                }
            }
        )*
    };
}

rejected! {
    a_negative_grace_is_rejected: gateway("stop_grace_s: -1"), ["stop_grace_s", "-1", "from 0 to"];
    an_infinite_slack_is_rejected: gateway("repeats: {ratio: 0.2, window_s: 10, slack: .inf}"), ["repeats.slack", "inf"];
    not_a_number_is_rejected: gateway("quota_tolerance: {units: .nan, window_s: 8}"), ["quota_tolerance.units", "NaN"];
    a_word_is_rejected: gateway("quota_tolerance: {units: many, window_s: 8}"), ["quota_tolerance.units", "many"];
    an_out_of_range_window_is_rejected: control("quota_tolerance: {units: 1, window_s: 1e99}"), ["quota_tolerance.window_s", "from 0 to"];
}
