//! Validation of settings, documents and the command line. Guards against invalid input that is
//! accepted, and against an error that does not locate the problem or has the wrong exit code.

mod support;

use support::guavacove;

const DOCUMENT: &str = include_str!("../examples/document.yaml");

fn run(arguments: &[&str]) -> (i32, String) {
    let output = guavacove(arguments);
    let text = [output.stdout, output.stderr].concat();
    (
        output.status.code().unwrap_or(-1),
        String::from_utf8_lossy(&text).into_owned(),
    )
}

/// Asserts that a command on a file with the given text exits with a code and prints all words.
fn assert_rejected(command: &[&str], text: &str, code: i32, words: &[&str]) {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("file.yaml");
    std::fs::write(&file, text).unwrap();
    let mut arguments = command.to_vec();
    let file = file.display().to_string();
    arguments.push(&file);
    let (actual_code, output) = run(&arguments);
    assert_eq!(actual_code, code, "{output}");
    for word in words {
        assert!(output.contains(word), "{word:?} is missing in: {output}");
    }
}

macro_rules! documents {
    ($($name:ident: $from:expr => $to:expr, $words:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert!(DOCUMENT.contains($from));
                assert_rejected(&["check"], &DOCUMENT.replacen($from, $to, 1), 2, &$words);
            }
        )*
    };
}

documents! {
    an_unknown_key_is_named: "deadline_ms: 30000" => "deadline: 30000", ["/tiers/0", "deadline"];
    a_value_out_of_range_is_named: "deadline_ms: 30000" => "deadline_ms: 5", ["file.yaml:8:", "/tiers/0/deadline_ms", "milliseconds"];
    an_unknown_tier_is_named: "tier: draft" => "tier: drift", ["/customers/0/tier", "there is no tier \"drift\"", "live"];
    an_unknown_service_is_named: "- service: filings" => "- service: fillings", ["/rules/0/service", "fillings"];
    a_duplicate_rank_is_named: "rank: 1" => "rank: 0", ["/tiers/1/rank", "taken by the tier \"live\""];
    an_invalid_key_hash_is_named: "key_sha256: b5" => "key_sha256: xx", ["/customers/0/key_sha256", "SHA-256"];
    invalid_yaml_is_named: "tiers:" => "tiers: [", ["not YAML"];
}

macro_rules! settings {
    ($($name:ident: $command:expr, $text:expr, $words:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert_rejected(&[$command, "--settings"], $text, 2, &$words);
            }
        )*
    };
}

settings! {
    an_unknown_setting_is_named: "entry", "name: e\nfailure_domain: a\nlisten: 127.0.0.1:0\ncontrol: [\"127.0.0.1:1\"]\ncolour: red\n", ["file.yaml:", "colour", "expected"];
    a_missing_setting_is_named: "agent", "name: e\nfailure_domain: a\n", ["file.yaml:", "listen"];
    an_invalid_address_is_named: "entry", "name: e\nfailure_domain: a\nlisten: here\ncontrol: []\n", ["file.yaml:3", "socket address"];
    an_empty_control_list_is_named: "entry", "name: e\nfailure_domain: a\nlisten: 127.0.0.1:0\ncontrol: []\n", ["file.yaml:4", "at least one"];
    a_non_loopback_announce_address_is_named: "agent", "name: e\nfailure_domain: a\nlisten: 127.0.0.1:0\nannounce: 0.0.0.0:1\ncontrol: [\"127.0.0.1:1\"]\n", ["file.yaml:4", "loopback"];
    a_short_console_token_is_rejected: "control", "number: 1\nfailure_domain: a\ndata_folder: x\npeers:\n  - {number: 1, peer: \"127.0.0.1:1\", rpc: \"127.0.0.1:2\"}\nconsole:\n  token: short\n", ["file.yaml:7", "16 characters"];
    two_control_instances_are_rejected: "control", "number: 1\nfailure_domain: a\ndata_folder: x\npeers:\n  - {number: 1, peer: \"127.0.0.1:1\", rpc: \"127.0.0.1:2\"}\n  - {number: 2, peer: \"127.0.0.1:3\", rpc: \"127.0.0.1:4\"}\n", ["file.yaml:4", "1, 3, 5 or 7"];
}

#[test]
fn every_command_has_help() {
    let commands = [
        "entry", "agent", "control", "check", "apply", "get", "status", "drain", "order",
        "explain", "dev",
    ];
    let (code, overview) = run(&["--help"]);
    assert_eq!(code, 0);
    for command in commands {
        assert!(overview.contains(command), "{command} is missing");
        let (code, help) = run(&[command, "--help"]);
        assert_eq!(code, 0, "{help}");
        assert!(help.contains("Usage:"), "{help}");
    }
}

#[test]
fn invalid_usage_exits_with_2() {
    assert_eq!(run(&["fly"]).0, 2);
    assert_eq!(run(&["entry"]).0, 2);
    assert_eq!(run(&["status"]).0, 2);
    assert_eq!(run(&["apply", "/nowhere.yaml"]).0, 2);
}

#[test]
fn an_unreachable_leader_exits_with_1() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("document.yaml");
    std::fs::write(&file, DOCUMENT).unwrap();
    let address = support::free_address().to_string();
    let file = file.display().to_string();
    let (code, output) = run(&["apply", &file, "--control", &address, "--expected", "0"]);
    assert_eq!(code, 1, "{output}");
    assert!(output.contains("--change"), "{output}");
}

#[test]
fn the_examples_are_valid() {
    assert_eq!(run(&["check", "examples/document.yaml"]).0, 0);
}

#[test]
fn the_example_settings_are_valid() {
    use guavacove::settings::*;
    let path = |name: &str| std::path::Path::new("examples").join(name);
    for number in 1..=3 {
        let settings = ControlSettings::read(&path(&format!("control-{number}.yaml"))).unwrap();
        assert_eq!(settings.number, number);
    }
    EntrySettings::read(&path("entry-1.yaml")).unwrap();
    AgentSettings::read(&path("agent-engine-1.yaml")).unwrap();
    AgentSettings::read(&path("agent-filings-1.yaml")).unwrap();
}

#[test]
fn a_port_in_use_is_reported_with_its_address() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let port = taken.local_addr().unwrap().port().to_string();
    let (code, output) = run(&["dev", "--port", &port]);
    assert_eq!(code, 1, "{output}");
    assert!(output.contains("cannot listen at 127.0.0.1"), "{output}");
}
