//! Route matching, and validation of routes in the document.

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

fn validation_errors(yaml: &str) -> String {
    let compiled = Policy::compile(DocumentVersion(1), yaml);
    compiled.map_or_else(
        |validation_errors| validation_errors.to_string(),
        |_| String::new(),
    )
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = route("short", "/a/", DRAFTS) + &route("long", "/a/b/", DRAFTS);
    let policy = Policy::compile(DocumentVersion(1), &document(&routes)).unwrap();
    let name = |host: &str, path: &str| policy.route(host, path).map(|route| route.name.clone());
    assert_eq!(name("h.example", "/a/b/c").as_deref(), Some("long"));
    assert_eq!(name("H.Example:80", "/a/x").as_deref(), Some("short"));
    assert_eq!(name("h.example", "/a"), None);
    assert_eq!(name("other.example", "/a/b/c"), None);
}

#[test]
fn json_documents_are_accepted() {
    let yaml = document(&route("one", "/a/", DRAFTS));
    let value: serde_json::Value = serde_norway::from_str(&yaml).unwrap();
    assert_eq!(validation_errors(&value.to_string()), "");
}

macro_rules! invalid_documents {
    ($($name:ident: $routes:expr => $message:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let errors = validation_errors(&document(&$routes));
                assert!(errors.contains($message), "{errors}");
            }
        )*
    };
}

invalid_documents! {
    two_routes_with_the_same_prefix: route("one", "/a/", DRAFTS) + &route("two", "/a/", DRAFTS)
        => "another route has the same host and path prefix";
    an_unknown_service: route("one", "/a/", "{service: none, weight: 1}")
        => "there is no service \"none\"";
    only_zero_weights: route("one", "/a/", "{service: drafts, weight: 0}")
        => "at least one weight is above 0";
    a_zero_timeout: route("one", "/a/", DRAFTS).replace("timeout_ms: 1000", "timeout_ms: 0")
        => "/routes/0/timeout_ms";
    a_prefix_without_a_trailing_slash: route("one", "/a", DRAFTS) => "/routes/0/path_prefix";
}

#[test]
fn two_customers_cannot_share_a_key() {
    let second = format!(
        "customers:\n  - {{name: second, tier: live, more_keys_sha256: [{}]}}",
        "b".repeat(64)
    );
    let yaml = document(&route("one", "/a/", DRAFTS)).replacen("customers:", &second, 1);
    assert!(validation_errors(&yaml).contains("has the same key"));
}
