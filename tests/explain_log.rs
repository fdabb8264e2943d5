//! `explain --log` collects the lines of one request from the logs of several processes.
//! Guards against lines of other requests, and against prefixes that break the parser.

use guavacove::explain_log::request_lines;

const LOG: &str = r#"
   0.5 gateway-2 {"timestamp":"2026-01-01T00:00:02Z","level":"INFO","fields":{"message":"gateway: stream ends","request":"abc","bytes":7}}
not a line of ours that names abc
{"timestamp":"2026-01-01T00:00:01Z","level":"WARN","fields":{"message":"gateway: tried again","request":"abc","reason":"shed"}}
{"timestamp":"2026-01-01T00:00:01Z","level":"INFO","fields":{"message":"gateway: answered","request":"abcd"}}
"#;

#[test]
fn only_lines_of_the_request_are_printed_each_with_its_fields() {
    let mut lines = request_lines(LOG, "abc");
    lines.sort();
    assert_eq!(
        lines,
        [
            "2026-01-01T00:00:01Z  gateway: tried again  reason=shed\n",
            "2026-01-01T00:00:02Z  gateway: stream ends  bytes=7\n",
        ]
    );
}
