//! Route matching, and validation of routes in the document.

use guavacove::{document::Policy, units::DocumentVersion};
use sha2::Digest;

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

/// A document with one route, or without, whose customers have these keys.
fn keyed_document(route: Option<&str>, keys: &[(&str, &str)]) -> Policy {
    let hash = |key: &str| format!("{:x}", sha2::Sha256::digest(key.as_bytes()));
    let customers = keys.iter().map(|(name, key)| {
        format!(
            "  - {{name: {name}, tier: live, key_sha256: {}}}\n",
            hash(key)
        )
    });
    let yaml = format!(
        "format: 1
tiers:
  - {{name: live, rank: 0, deadline_ms: 1000}}
  - {{name: batch, rank: 2, deadline_ms: 1000}}
services:
  - {{name: drafts, kind: model}}
  - {{name: filings, kind: plain}}
customers:
{}routes:
{}{}",
        customers.collect::<String>(),
        self::route("other", "/other/", DRAFTS),
        route.unwrap_or_default()
    );
    Policy::compile(DocumentVersion(1), &yaml).unwrap()
}

macro_rules! alike {
    ($($name:ident: $before:expr, $after:expr => $is_alike:literal;)*) => {
        $(
            /// Guards against a request that is served although a document that may be in force
            /// handles it differently.
            #[test]
            fn $name() {
                let (before, after): (Policy, Policy) = ($before, $after);
                for (one, other) in [(&before, &after), (&after, &before)] {
                    let is_alike = one.handles_alike(other, "h.example", "/a/x/y", Some("key"));
                    assert_eq!(is_alike, $is_alike);
                }
            }
        )*
    };
}

const FIRST: &[(&str, &str)] = &[("first", "key"), ("second", "other key")];

fn drafts() -> String {
    route("one", "/a/", DRAFTS)
}

fn public(route: &str) -> String {
    route.replace("repeat:", "public: true, repeat:")
}

alike! {
    the_same_route: keyed_document(Some(&drafts()), FIRST), keyed_document(Some(&drafts()), FIRST) => true;
    a_renamed_route: keyed_document(Some(&drafts()), FIRST),
        keyed_document(Some(&route("two", "/a/", DRAFTS)), FIRST) => true;
    no_route: keyed_document(None, FIRST), keyed_document(None, FIRST) => true;
    a_dropped_route: keyed_document(Some(&drafts()), FIRST), keyed_document(None, FIRST) => false;
    a_moved_route: keyed_document(Some(&drafts()), FIRST),
        keyed_document(Some(&route("one", "/a/", "{service: filings, weight: 1}")), FIRST) => false;
    a_longer_prefix: keyed_document(Some(&drafts()), FIRST),
        keyed_document(Some(&(drafts() + &route("two", "/a/x/", "{service: filings, weight: 1}"))), FIRST) => false;
    a_split_route: keyed_document(Some(&drafts()), FIRST),
        keyed_document(Some(&route("one", "/a/", "{service: drafts, weight: 1}, {service: filings, weight: 1}")), FIRST) => false;
    a_dropped_key: keyed_document(Some(&drafts()), FIRST),
        keyed_document(Some(&drafts()), &[("first", "new key")]) => false;
    a_key_of_another_customer: keyed_document(Some(&drafts()), FIRST),
        keyed_document(Some(&drafts()), &[("second", "key")]) => false;
    another_key_is_dropped: keyed_document(Some(&drafts()), FIRST),
        keyed_document(Some(&drafts()), &[("first", "key")]) => true;
    a_public_route_needs_no_key: keyed_document(Some(&public(&drafts())), FIRST),
        keyed_document(Some(&public(&drafts())), &[("first", "new key")]) => true;
    a_route_that_becomes_public: keyed_document(Some(&drafts()), FIRST),
        keyed_document(Some(&public(&drafts())), FIRST) => false;
    a_known_key_counts_where_one_is_needed: keyed_document(Some(&drafts()), &[("second", "x")]),
        keyed_document(Some(&drafts()), &[("third", "y")]) => true;
}
