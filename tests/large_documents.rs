//! The time that checking a document takes, for each kind of fault. Guards against work that grows
//! with the square of the number of routes, and against errors that grow with it.

use guavacove::{
    document::{Policy, ValidationErrors},
    document_check::MAX_REPORTED_ERRORS,
    units::DocumentVersion,
};
use serde_json::{Value, json};
use std::time::{Duration, Instant};

const ROUTES: usize = 700;
/// How many times longer the longer document is.
const GROWTH: usize = 8;
/// Work that grows with the square takes [`GROWTH`] times as long as this allows.
const MAX_TIME_GROWTH: u32 = GROWTH as u32 * 3;
const MAX_ERROR_BYTES: usize = 128 * 1024;

fn route(number: usize) -> Value {
    json!({
        "name": format!("r{number}"), "host": "h.example", "path_prefix": format!("/p{number}/"),
        "repeat": "never", "streams": true, "silence_ms": 2000, "timeout_ms": 6000,
        "objective_ms": 500, "pause_ms": 400, "tier": "first", "max_targets": 1, "public": false,
        "shares_prefixes": true, "targets": [{ "service": "model", "weight": 1 }],
    })
}

/// A document with this many routes and services, each changed by `spoil`.
fn document(routes: usize, spoil: fn(usize, &mut Value)) -> Value {
    let routes = (0..routes).map(|number| {
        let mut route = route(number);
        spoil(number, &mut route);
        route
    });
    let routes: Vec<Value> = routes.collect();
    let services = (0..routes.len()).map(
        |number| json!({ "name": format!("s{number}"), "kind": "plain", "max_connections": 0 }),
    );
    let services =
        services.chain([json!({ "name": "model", "kind": "model", "max_connections": 0 })]);
    json!({
        "format": 1,
        "tiers": [{ "name": "first", "rank": 0, "deadline_ms": 60000 }],
        "services": services.collect::<Vec<Value>>(),
        "customers": [],
        "routes": routes,
    })
}

fn check(yaml: &str) -> (Duration, Result<(), ValidationErrors>) {
    let began = Instant::now();
    let checked = Policy::compile(DocumentVersion(1), yaml).map(drop);
    (began.elapsed(), checked)
}

fn assert_grows_linearly(spoil: fn(usize, &mut Value), is_valid: bool, text: fn(&Value) -> String) {
    let [short, long] = [ROUTES, ROUTES * GROWTH].map(|routes| {
        let text = text(&document(routes, spoil));
        let (_, checked) = check(&text);
        assert_eq!(checked.is_ok(), is_valid, "{checked:?}");
        if let Err(errors) = checked {
            assert_eq!(errors.0.len(), MAX_REPORTED_ERRORS + 1);
            let last = &errors.0[MAX_REPORTED_ERRORS].message;
            let left_out = routes - MAX_REPORTED_ERRORS;
            assert!(last.contains(&format!("{left_out} more")), "{last}");
            assert!(errors.to_string().len() < MAX_ERROR_BYTES);
        }
        // The shortest of several: the machine may be busy.
        (0..3).map(|_| check(&text).0).min().unwrap()
    });
    println!("{ROUTES} routes take {short:?}, {GROWTH} times as many {long:?}");
    assert!(long < short * MAX_TIME_GROWTH, "{short:?}, then {long:?}");
}

fn json_text(document: &Value) -> String {
    document.to_string()
}

fn yaml_text(document: &Value) -> String {
    serde_norway::to_string(document).unwrap()
}

macro_rules! faults {
    ($($name:ident: $spoil:expr, $is_valid:expr, $text:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert_grows_linearly($spoil, $is_valid, $text);
            }
        )*
    };
}

faults! {
    valid_routes: |_, _| {}, true, json_text;
    valid_routes_as_yaml: |_, _| {}, true, yaml_text;
    unknown_services: |_, route| route["targets"][0]["service"] = json!("none"), false, json_text;
    unknown_services_as_yaml: |_, route| route["targets"][0]["service"] = json!("none"), false, yaml_text;
    unknown_tiers: |_, route| route["tier"] = json!("none"), false, json_text;
    zero_weights: |_, route| route["targets"][0]["weight"] = json!(0), false, json_text;
    values_out_of_range: |_, route| route["timeout_ms"] = json!(0), false, json_text;
    unknown_keys: |_, route| route["colour"] = json!("red"), false, json_text;
}

/// Every route but the first duplicates it, so one error less than in the other cases.
#[test]
fn duplicates_are_counted() {
    let text = document(ROUTES, |_, route| route["path_prefix"] = json!("/same/")).to_string();
    let errors = check(&text).1.unwrap_err();
    let left_out = ROUTES - 1 - MAX_REPORTED_ERRORS;
    assert!(
        errors
            .to_string()
            .ends_with(&format!("{left_out} more errors are not shown"))
    );
}
