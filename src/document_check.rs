//! Checks of a document: its shape, and the names that it uses.

use crate::document_types as types;
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    sync::LazyLock,
};

/// The JSON Schema that documents are checked against.
pub const SCHEMA: &str = include_str!("../schema/document.json");

static VALIDATOR: LazyLock<jsonschema::Validator> = LazyLock::new(|| {
    let schema = serde_json::from_str(SCHEMA).expect("the schema is JSON");
    jsonschema::validator_for(&schema).expect("the schema is a JSON Schema")
});

/// One thing wrong with a document, in words its author can act on.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Fault {
    /// The line, from 1; 0 if it is not known.
    pub line: usize,
    /// The path of the value, such as `/customers/3/tier`.
    pub path: String,
    /// What is wrong and what is allowed.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "line {}: {}: {}", self.line, self.path, self.message)
    }
}

/// Everything wrong with a document.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Error, serde::Serialize, serde::Deserialize)]
#[error(ignore)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (position, fault) in self.0.iter().enumerate() {
            let separator = if position == 0 { "" } else { "\n" };
            write!(f, "{separator}{fault}")?;
        }
        Ok(())
    }
}

/// Reads a document and checks it against the schema, and its names.
///
/// # Errors
/// Fails with every fault found.
pub fn read(yaml: &str) -> Result<types::Document, Faults> {
    let document = parse(yaml)?;
    match dangling(&document, yaml) {
        faults if faults.is_empty() => Ok(document),
        faults => Err(Faults(faults)),
    }
}

fn parse(yaml: &str) -> Result<types::Document, Faults> {
    // JSON is YAML, and is read faster by a parser of its own.
    let json = yaml
        .starts_with('{')
        .then(|| serde_json::from_str(yaml).ok());
    let read = json
        .flatten()
        .map_or_else(|| serde_norway::from_str(yaml), Ok);
    let value: serde_json::Value = read.map_err(|error| {
        let line = error.location().map_or(0, |location| location.line());
        let message = format!("this is not YAML: {error}");
        Faults(vec![Fault {
            line,
            path: "/".into(),
            message,
        }])
    })?;
    let faults: Vec<Fault> = VALIDATOR
        .iter_errors(&value)
        .map(|error| {
            let path = error.instance_path().to_string();
            let message = remedy(&error.to_string(), &error.schema_path().to_string());
            fault(yaml, &path, message)
        })
        .collect();
    if !faults.is_empty() {
        return Err(Faults(faults));
    }
    serde_json::from_value(value).map_err(|error| Faults(vec![fault(yaml, "", error.to_string())]))
}

/// Adds the schema's description of the value to the validator's message.
fn remedy(message: &str, schema_path: &str) -> String {
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

fn fault(yaml: &str, path: &str, message: String) -> Fault {
    let path = if path.is_empty() { "/" } else { path };
    Fault {
        line: line_of(yaml, path),
        path: path.into(),
        message,
    }
}

/// The line of the value at a path, or of its nearest parent.
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

/// Names that are used twice, or used and not defined.
fn dangling(document: &types::Document, yaml: &str) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut report = |path: String, message: String| faults.push(fault(yaml, &path, message));
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
        let own = customer.key_sha256.iter().chain(&customer.more_keys_sha256);
        for key in own {
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
                unknown("tier", tier, &tiers),
            );
        }
    }
    for (i, rule) in document.rules.iter().enumerate() {
        if !services.contains(rule.service.as_str()) {
            let message = unknown("service", &rule.service, &services);
            report(format!("/rules/{i}/service"), message);
        }
        if let Some(tier) = rule
            .tier
            .as_ref()
            .filter(|tier| !tiers.contains(tier.as_str()))
        {
            report(format!("/rules/{i}/tier"), unknown("tier", tier, &tiers));
        }
        for (j, customer) in rule.customers.iter().enumerate() {
            if !customers.contains(customer.as_str()) {
                let message = unknown("customer", customer, &customers);
                report(format!("/rules/{i}/customers/{j}"), message);
            }
        }
    }
    let mut places = BTreeSet::new();
    for (i, route) in document.routes.iter().enumerate() {
        if !places.insert((route.host.to_ascii_lowercase(), route.path_prefix.as_str())) {
            let message = "another route has the same host and path prefix".to_string();
            report(format!("/routes/{i}/path_prefix"), message);
        }
        if !tiers.contains(route.tier.as_str()) {
            report(
                format!("/routes/{i}/tier"),
                unknown("tier", &route.tier, &tiers),
            );
        }
        if route.targets.iter().all(|target| target.weight == 0) {
            let message = "at least one weight is above 0".to_string();
            report(format!("/routes/{i}/targets"), message);
        }
        for (j, target) in route.targets.iter().enumerate() {
            if !services.contains(target.service.as_str()) {
                let message = unknown("service", &target.service, &services);
                report(format!("/routes/{i}/targets/{j}/service"), message);
            }
        }
    }
    faults
}

fn unknown(what: &str, name: &str, known: &BTreeSet<&str>) -> String {
    let known: Vec<&str> = known.iter().copied().collect();
    format!(
        "there is no {what} {name:?}; defined are: {}",
        known.join(", ")
    )
}
