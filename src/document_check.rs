//! Validation of the document: against its JSON Schema, and of the names it refers to.

use crate::document_types as types;
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    sync::LazyLock,
};

/// JSON Schema that documents are validated against.
pub const SCHEMA: &str = include_str!("../schema/document.json");

/// Maximum number of errors that are reported.
pub const MAX_REPORTED_ERRORS: usize = 50;
/// Maximum number of defined names that an error lists.
const MAX_LISTED_NAMES: usize = 20;
/// Maximum length of a message.
const MAX_MESSAGE_BYTES: usize = 2000;
/// Longest document in which errors are located.
const MAX_LOCATED_BYTES: usize = 1024 * 1024;

static SCHEMA_VALUE: LazyLock<serde_json::Value> =
    LazyLock::new(|| serde_json::from_str(SCHEMA).expect("the schema is valid JSON"));

static VALIDATOR: LazyLock<jsonschema::Validator> = LazyLock::new(|| {
    jsonschema::validator_for(&SCHEMA_VALUE).expect("the schema is a valid JSON Schema")
});

/// A validation error, with the offending value and a remedy.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ValidationError {
    /// Line number, from 1; 0 if unknown.
    pub line: usize,
    /// JSON pointer to the value, such as `/customers/3/tier`.
    pub path: String,
    /// The problem and the values that are allowed.
    pub message: String,
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "line {}: {}: {}", self.line, self.path, self.message)
    }
}

/// All validation errors of a document.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Error, serde::Serialize, serde::Deserialize)]
#[error(ignore)]
pub struct ValidationErrors(pub Vec<ValidationError>);

impl fmt::Display for ValidationErrors {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (position, error) in self.0.iter().enumerate() {
            let separator = if position == 0 { "" } else { "\n" };
            write!(f, "{separator}{error}")?;
        }
        Ok(())
    }
}

/// The errors found so far. Only the first ones are kept, as a document may have one for each of
/// thousands of routes.
#[derive(Default)]
struct Faults {
    /// JSON pointers and messages.
    kept: Vec<(String, String)>,
    count: usize,
}

impl Faults {
    /// Adds an error. Neither the path nor the message is built if it is not kept.
    fn report(&mut self, path: impl FnOnce() -> String, message: impl FnOnce() -> String) {
        self.count += 1;
        if self.kept.len() < MAX_REPORTED_ERRORS {
            let mut message = message();
            message.truncate(message.floor_char_boundary(MAX_MESSAGE_BYTES));
            self.kept.push((path(), message));
        }
    }

    /// The errors with their lines; `Ok` if there are none.
    fn into_result(self, yaml: &str) -> Result<(), ValidationErrors> {
        if self.kept.is_empty() {
            return Ok(());
        }
        let left_out = self.count - self.kept.len();
        let lines = Lines::of(yaml);
        let errors = self.kept.into_iter().map(|(path, message)| {
            let path = if path.is_empty() { "/".into() } else { path };
            ValidationError {
                line: lines.line_of(&path),
                path,
                message,
            }
        });
        let more = (left_out > 0).then(|| ValidationError {
            line: 0,
            path: "/".into(),
            message: format!("{left_out} more errors are not shown"),
        });
        Err(ValidationErrors(errors.chain(more).collect()))
    }
}

/// Parses a document and validates it against the schema, then checks its names.
///
/// # Errors
/// Fails with the first [`MAX_REPORTED_ERRORS`] validation errors, and the number of the others.
pub fn read(yaml: &str) -> Result<types::Document, ValidationErrors> {
    let document = parse(yaml)?;
    check_names(&document).into_result(yaml)?;
    Ok(document)
}

fn parse(yaml: &str) -> Result<types::Document, ValidationErrors> {
    // JSON is valid YAML, but a JSON parser reads it faster.
    let json = yaml
        .starts_with('{')
        .then(|| serde_json::from_str(yaml).ok());
    let parsed = json
        .flatten()
        .map_or_else(|| serde_norway::from_str(yaml), Ok);
    let value: serde_json::Value = parsed.map_err(|error| {
        let line = error.location().map_or(0, |location| location.line());
        let message = format!("this is not YAML: {error}");
        ValidationErrors(vec![ValidationError {
            line,
            path: "/".into(),
            message,
        }])
    })?;
    let mut faults = Faults::default();
    for error in VALIDATOR.iter_errors(&value) {
        faults.report(
            || error.instance_path().to_string(),
            || with_expected_value(&error.to_string(), &error.schema_path().to_string()),
        );
    }
    faults.into_result(yaml)?;
    serde_json::from_value(value).map_err(|error| {
        let mut faults = Faults::default();
        faults.report(String::new, || error.to_string());
        faults.into_result(yaml).expect_err("it has an error")
    })
}

/// Appends the schema's description of the value to the validator's message.
fn with_expected_value(message: &str, schema_path: &str) -> String {
    let parent = schema_path
        .rsplit_once('/')
        .map_or("", |(parent, _)| parent);
    let resolved = parent
        .rsplit_once("/$ref")
        .map_or(parent, |(before, _)| before);
    let described = [parent, resolved].into_iter().find_map(|pointer| {
        let schema = SCHEMA_VALUE.pointer(pointer)?;
        schema.get("description")?.as_str()
    });
    // The message quotes the value, which may be long.
    let quoted = &message[..message.floor_char_boundary(MAX_MESSAGE_BYTES / 2)];
    match described {
        Some(description) => format!("{quoted}. Expected: {description}"),
        None => quoted.to_string(),
    }
}

/// The lines of a document's values.
struct Lines(Option<marked_yaml::Node>);

impl Lines {
    /// Parses a document. The lines of a very long one are unknown, as the parsed form takes many
    /// times its size.
    fn of(yaml: &str) -> Self {
        let is_located = yaml.len() <= MAX_LOCATED_BYTES;
        Self(
            is_located
                .then(|| marked_yaml::parse_yaml(0, yaml).ok())
                .flatten(),
        )
    }

    /// Line of the value at a path, or of its nearest parent that exists; 0 if unknown.
    fn line_of(&self, path: &str) -> usize {
        let Some(mut node) = self.0.as_ref() else {
            return 0;
        };
        let mut line = node.span().start().map_or(1, marked_yaml::Marker::line);
        for part in path.split('/').filter(|part| !part.is_empty()) {
            let child = match node {
                marked_yaml::Node::Mapping(mapping) => mapping.get_node(part),
                marked_yaml::Node::Sequence(sequence) => {
                    part.parse().ok().and_then(|index| sequence.get_node(index))
                }
                marked_yaml::Node::Scalar(_) => None,
            };
            let Some(child) = child else { break };
            line = child.span().start().map_or(line, marked_yaml::Marker::line);
            node = child;
        }
        line
    }
}

/// Reports names that are defined twice, or used but not defined.
fn check_names(document: &types::Document) -> Faults {
    let mut faults = Faults::default();
    let tiers: BTreeSet<&str> = document
        .tiers
        .iter()
        .map(|tier| tier.name.as_str())
        .collect();
    let services: BTreeSet<&str> = document.services.iter().map(|s| s.name.as_str()).collect();
    let customers: BTreeSet<&str> = document.customers.iter().map(|c| c.name.as_str()).collect();
    let mut names = BTreeSet::new();
    let mut ranks = BTreeMap::new();
    for (i, tier) in document.tiers.iter().enumerate() {
        if !names.insert(("tier", tier.name.to_string())) {
            faults.report(
                || format!("/tiers/{i}/name"),
                || format!("the tier {:?} is defined twice", *tier.name),
            );
        }
        if let Some(first) = ranks.insert(tier.rank, &tier.name) {
            let rank = tier.rank;
            faults.report(
                || format!("/tiers/{i}/rank"),
                || {
                    format!(
                        "rank {rank} is taken by the tier {:?}; each tier has its own",
                        **first
                    )
                },
            );
        }
    }
    let mut models = BTreeMap::new();
    for (i, service) in document.services.iter().enumerate() {
        if !names.insert(("service", service.name.to_string())) {
            faults.report(
                || format!("/services/{i}/name"),
                || format!("the service {:?} is defined twice", *service.name),
            );
        }
        for (j, model) in service.models.iter().enumerate() {
            if let Some(first) = models.insert(model.as_str(), service.name.as_str()) {
                faults.report(
                    || format!("/services/{i}/models/{j}"),
                    || format!("the model {:?} belongs to the service {first:?}", **model),
                );
            }
        }
    }
    let mut keys = BTreeMap::new();
    for (i, customer) in document.customers.iter().enumerate() {
        if !names.insert(("customer", customer.name.to_string())) {
            faults.report(
                || format!("/customers/{i}/name"),
                || format!("the customer {:?} is defined twice", *customer.name),
            );
        }
        let keys_of_customer = customer.key_sha256.iter().chain(&customer.more_keys_sha256);
        for key in keys_of_customer {
            if let Some(first) = keys.insert(key.as_str(), customer.name.as_str()) {
                faults.report(
                    || format!("/customers/{i}/key_sha256"),
                    || format!("the customer {first:?} has the same key"),
                );
            }
        }
        if let Some(tier) = customer
            .tier
            .as_ref()
            .filter(|tier| !tiers.contains(tier.as_str()))
        {
            faults.report(
                || format!("/customers/{i}/tier"),
                || unknown_name("tier", tier, &tiers),
            );
        }
    }
    for (i, rule) in document.rules.iter().enumerate() {
        if !services.contains(rule.service.as_str()) {
            faults.report(
                || format!("/rules/{i}/service"),
                || unknown_name("service", &rule.service, &services),
            );
        }
        if let Some(tier) = rule
            .tier
            .as_ref()
            .filter(|tier| !tiers.contains(tier.as_str()))
        {
            faults.report(
                || format!("/rules/{i}/tier"),
                || unknown_name("tier", tier, &tiers),
            );
        }
        for (j, customer) in rule.customers.iter().enumerate() {
            if !customers.contains(customer.as_str()) {
                faults.report(
                    || format!("/rules/{i}/customers/{j}"),
                    || unknown_name("customer", customer, &customers),
                );
            }
        }
    }
    let mut host_prefixes = BTreeSet::new();
    for (i, route) in document.routes.iter().enumerate() {
        if !host_prefixes.insert((route.host.to_ascii_lowercase(), route.path_prefix.as_str())) {
            faults.report(
                || format!("/routes/{i}/path_prefix"),
                || "another route has the same host and path prefix".into(),
            );
        }
        if !tiers.contains(route.tier.as_str()) {
            faults.report(
                || format!("/routes/{i}/tier"),
                || unknown_name("tier", &route.tier, &tiers),
            );
        }
        if route.targets.iter().all(|target| target.weight == 0) {
            faults.report(
                || format!("/routes/{i}/targets"),
                || "at least one weight is above 0".into(),
            );
        }
        for (j, target) in route.targets.iter().enumerate() {
            if !services.contains(target.service.as_str()) {
                faults.report(
                    || format!("/routes/{i}/targets/{j}/service"),
                    || unknown_name("service", &target.service, &services),
                );
            }
        }
    }
    faults
}

fn unknown_name(what: &str, name: &str, known: &BTreeSet<&str>) -> String {
    let listed: Vec<&str> = known.iter().copied().take(MAX_LISTED_NAMES).collect();
    let listed = listed.join(", ");
    match known.len().saturating_sub(MAX_LISTED_NAMES) {
        0 => format!("there is no {what} {name:?}; defined are: {listed}"),
        more => format!("there is no {what} {name:?}; defined are: {listed} and {more} more"),
    }
}
