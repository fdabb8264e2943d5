//! Routes of the document: which one is taken, and what is not valid.

use guavacove::{document::Policy, units::DocumentVersion};

fn document(routes: &str) -> String {
    format!(
        "format: 1
tiers:
  - {{name: live, rank: 0, deadline_ms: 1000}}
  - {{name: batch, rank: 2, deadline_ms: 1000}}
services:
  - {{name: drafts, kind: model}}
  - {{name: filings, kind: plain}}
customers:
  - name: first
    tier: live
    key_sha256: {0}
    more_keys_sha256: [{1}]
routes:
{routes}",
        "a".repeat(64),
        "b".repeat(64)
    )
}

fn route(name: &str, prefix: &str, targets: &str) -> String {
    format!(
        "  - {{name: {name}, host: h.example, path_prefix: {prefix}, targets: [{targets}], repeat: \
         never, streams: false, timeout_ms: 1000, objective_ms: 100, tier: batch}}\n"
    )
}

const DRAFTS: &str = "{service: drafts, weight: 1}";

fn faults(yaml: &str) -> String {
    let compiled = Policy::compile(DocumentVersion(1), yaml);
    compiled.map_or_else(|faults| faults.to_string(), |_| String::new())
}

#[test]
fn the_longest_prefix_of_the_host_decides() {
    let routes = route("short", "/a/", DRAFTS) + &route("long", "/a/b/", DRAFTS);
    let policy = Policy::compile(DocumentVersion(1), &document(&routes)).unwrap();
    let name = |host: &str, path: &str| policy.route(host, path).map(|route| route.name.clone());
    assert_eq!(name("h.example", "/a/b/c").as_deref(), Some("long"));
    assert_eq!(name("H.Example:80", "/a/x").as_deref(), Some("short"));
    assert_eq!(name("h.example", "/a"), None);
    assert_eq!(name("other.example", "/a/b/c"), None);
}

#[test]
fn json_reads_as_yaml_does() {
    let yaml = document(&route("one", "/a/", DRAFTS));
    let value: serde_json::Value = serde_norway::from_str(&yaml).unwrap();
    assert_eq!(faults(&value.to_string()), "");
}

macro_rules! faulty {
    ($($name:ident: $routes:expr => $message:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let faults = faults(&document(&$routes));
                assert!(faults.contains($message), "{faults}");
            }
        )*
    };
}

faulty! {
    two_routes_at_one_place: route("one", "/a/", DRAFTS) + &route("two", "/a/", DRAFTS)
        => "another route has the same host and path prefix";
    an_unknown_service: route("one", "/a/", "{service: none, weight: 1}")
        => "there is no service \"none\"";
    no_weight_at_all: route("one", "/a/", "{service: drafts, weight: 0}")
        => "at least one weight is above 0";
    no_timeout: route("one", "/a/", DRAFTS).replace("timeout_ms: 1000", "timeout_ms: 0")
        => "/routes/0/timeout_ms";
    a_prefix_that_ends_without_a_slash: route("one", "/a", DRAFTS) => "/routes/0/path_prefix";
}

#[test]
fn two_customers_cannot_share_a_key() {
    let second = format!(
        "customers:\n  - {{name: second, tier: live, more_keys_sha256: [{}]}}",
        "b".repeat(64)
    );
    let yaml = document(&route("one", "/a/", DRAFTS)).replacen("customers:", &second, 1);
    assert!(faults(&yaml).contains("has the same key"));
}
