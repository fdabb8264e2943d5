//! Validation of the document: against its JSON Schema, and of the names it refers to.

use crate::document_types as types;
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    sync::LazyLock,
};

/// JSON Schema that documents are validated against.
pub const SCHEMA: &str = include_str!("../schema/document.json");

static VALIDATOR: LazyLock<jsonschema::Validator> = LazyLock::new(|| {
    let schema = serde_json::from_str(SCHEMA).expect("the schema is valid JSON");
    jsonschema::validator_for(&schema).expect("the schema is a valid JSON Schema")
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

/// Parses a document and validates it against the schema, then checks its names.
///
/// # Errors
/// Fails with every validation error found.
pub fn read(yaml: &str) -> Result<types::Document, ValidationErrors> {
    let document = parse(yaml)?;
    match check_names(&document, yaml) {
        errors if errors.is_empty() => Ok(document),
        errors => Err(ValidationErrors(errors)),
    }
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
    let errors: Vec<ValidationError> = VALIDATOR
        .iter_errors(&value)
        .map(|error| {
            let path = error.instance_path().to_string();
            let message = with_expected_value(&error.to_string(), &error.schema_path().to_string());
            error_at(yaml, &path, message)
        })
        .collect();
    if !errors.is_empty() {
        return Err(ValidationErrors(errors));
    }
    serde_json::from_value(value)
        .map_err(|error| ValidationErrors(vec![error_at(yaml, "", error.to_string())]))
}

/// Appends the schema's description of the value to the validator's message.
fn with_expected_value(message: &str, schema_path: &str) -> String {
    let schema: serde_json::Value = serde_json::from_str(SCHEMA).unwrap_or_default();
    let parent = schema_path
        .rsplit_once('/')
        .map_or("", |(parent, _)| parent);
    let resolved = parent
        .rsplit_once("/$ref")
        .map_or(parent, |(before, _)| before);
    let described = [parent, resolved].into_iter().find_map(|pointer| {
        schema
            .pointer(pointer)?
            .get("description")?
            .as_str()
            .map(String::from)
    });
    match described {
        Some(description) => format!("{message}. Expected: {description}"),
        None => message.to_string(),
    }
}

fn error_at(yaml: &str, path: &str, message: String) -> ValidationError {
    let path = if path.is_empty() { "/" } else { path };
    ValidationError {
        line: line_of(yaml, path),
        path: path.into(),
        message,
    }
}

/// Line of the value at a path, or of its nearest parent that exists.
fn line_of(yaml: &str, path: &str) -> usize {
    let Ok(mut node) = marked_yaml::parse_yaml(0, yaml) else {
        return 0;
    };
    let mut line = node.span().start().map_or(1, marked_yaml::Marker::line);
    for part in path.split('/').filter(|part| !part.is_empty()) {
        let child = match &node {
            marked_yaml::Node::Mapping(mapping) => mapping.get_node(part).cloned(),
            marked_yaml::Node::Sequence(sequence) => part
                .parse()
                .ok()
                .and_then(|index| sequence.get_node(index).cloned()),
            marked_yaml::Node::Scalar(_) => None,
        };
        let Some(child) = child else { break };
        line = child.span().start().map_or(line, marked_yaml::Marker::line);
        node = child;
    }
    line
}

/// Reports names that are defined twice, or used but not defined.
fn check_names(document: &types::Document, yaml: &str) -> Vec<ValidationError> {
    let mut errors = Vec::new();
    let mut report = |path: String, message: String| errors.push(error_at(yaml, &path, message));
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
            report(
                format!("/tiers/{i}/name"),
                format!("the tier {:?} is defined twice", *tier.name),
            );
        }
        if let Some(first) = ranks.insert(tier.rank, &tier.name) {
            let message = format!(
                "rank {} is taken by the tier {:?}; each tier has its own",
                tier.rank, **first
            );
            report(format!("/tiers/{i}/rank"), message);
        }
    }
    let mut models = BTreeMap::new();
    for (i, service) in document.services.iter().enumerate() {
        if !names.insert(("service", service.name.to_string())) {
            let message = format!("the service {:?} is defined twice", *service.name);
            report(format!("/services/{i}/name"), message);
        }
        for (j, model) in service.models.iter().enumerate() {
            if let Some(first) = models.insert(model.as_str(), service.name.as_str()) {
                let message = format!("the model {:?} belongs to the service {first:?}", **model);
                report(format!("/services/{i}/models/{j}"), message);
            }
        }
    }
    let mut keys = BTreeMap::new();
    for (i, customer) in document.customers.iter().enumerate() {
        if !names.insert(("customer", customer.name.to_string())) {
            let message = format!("the customer {:?} is defined twice", *customer.name);
            report(format!("/customers/{i}/name"), message);
        }
        let keys_of_customer = customer.key_sha256.iter().chain(&customer.more_keys_sha256);
        for key in keys_of_customer {
            if let Some(first) = keys.insert(key.as_str(), customer.name.as_str()) {
                let message = format!("the customer {first:?} has the same key");
                report(format!("/customers/{i}/key_sha256"), message);
            }
        }
        if let Some(tier) = customer
            .tier
            .as_ref()
            .filter(|tier| !tiers.contains(tier.as_str()))
        {
            report(
                format!("/customers/{i}/tier"),
                unknown_name("tier", tier, &tiers),
            );
        }
    }
    for (i, rule) in document.rules.iter().enumerate() {
        if !services.contains(rule.service.as_str()) {
            let message = unknown_name("service", &rule.service, &services);
            report(format!("/rules/{i}/service"), message);
        }
        if let Some(tier) = rule
            .tier
            .as_ref()
            .filter(|tier| !tiers.contains(tier.as_str()))
        {
            report(
                format!("/rules/{i}/tier"),
                unknown_name("tier", tier, &tiers),
            );
        }
        for (j, customer) in rule.customers.iter().enumerate() {
            if !customers.contains(customer.as_str()) {
                let message = unknown_name("customer", customer, &customers);
                report(format!("/rules/{i}/customers/{j}"), message);
            }
        }
    }
    let mut host_prefixes = BTreeSet::new();
    for (i, route) in document.routes.iter().enumerate() {
        if !host_prefixes.insert((route.host.to_ascii_lowercase(), route.path_prefix.as_str())) {
            let message = "another route has the same host and path prefix".to_string();
            report(format!("/routes/{i}/path_prefix"), message);
        }
        if !tiers.contains(route.tier.as_str()) {
            report(
                format!("/routes/{i}/tier"),
                unknown_name("tier", &route.tier, &tiers),
            );
        }
        if route.targets.iter().all(|target| target.weight == 0) {
            let message = "at least one weight is above 0".to_string();
            report(format!("/routes/{i}/targets"), message);
        }
        for (j, target) in route.targets.iter().enumerate() {
            if !services.contains(target.service.as_str()) {
                let message = unknown_name("service", &target.service, &services);
                report(format!("/routes/{i}/targets/{j}/service"), message);
            }
        }
    }
    errors
}

fn unknown_name(what: &str, name: &str, known: &BTreeSet<&str>) -> String {
    let known: Vec<&str> = known.iter().copied().collect();
    format!(
        "there is no {what} {name:?}; defined are: {}",
        known.join(", ")
    )
}
