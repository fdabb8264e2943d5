//! The document: checked against its schema, then compiled into a [`Policy`].

use crate::{document_types as types, units::*};
use sha2::{Digest, Sha256};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    fmt,
    sync::LazyLock,
};
use subtle::ConstantTimeEq;

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

/// A tier as routing uses it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TierPolicy {
    /// Its name.
    pub name: TierName,
    /// Its rank; 0 is the highest.
    pub rank: TierRank,
    /// How long a request may take, in milliseconds.
    pub deadline_ms: u64,
}

/// A customer's contract.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ContractPolicy {
    /// Requests a second over all entries.
    pub requests_per_s: u64,
    /// Tokens in progress over all entries.
    pub concurrent_tokens: u64,
}

/// A customer as routing uses it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CustomerPolicy {
    /// Its name.
    pub name: CustomerName,
    /// Its tier, unless a rule says otherwise.
    pub tier: TierName,
    /// What it may use; no limit without one.
    pub contract: Option<ContractPolicy>,
    key_sha256: [u8; 32],
}

/// A service as routing uses it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServicePolicy {
    /// Its name.
    pub name: ServiceName,
    /// Whether it streams tokens.
    pub is_model: bool,
    /// How many requests may wait at one target.
    pub queue_requests: usize,
    /// The tokens assumed for an answer that names no limit.
    pub max_tokens: TokenCount,
    /// Refuses non-idempotent requests without a key.
    pub requires_key: bool,
}

/// What the document says of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Treatment {
    /// Its tier.
    pub tier: TierPolicy,
    /// Whether running it twice is harmless.
    pub idempotent: bool,
    /// Whether it is repeated when its fate is unknown.
    pub repeat_when_unknown: bool,
}

/// A checked document, arranged for look-up.
#[derive(Clone, Debug, Default)]
pub struct Policy {
    /// The document's version.
    pub version: DocumentVersion,
    tiers: BTreeMap<TierName, TierPolicy>,
    services: BTreeMap<ServiceName, ServicePolicy>,
    models: HashMap<String, ServiceName>,
    customers: HashMap<[u8; 8], Vec<CustomerPolicy>>,
    contracts: HashMap<CustomerName, ContractPolicy>,
    rules: Vec<types::Rule>,
}

impl Policy {
    /// Checks a document and arranges it.
    ///
    /// # Errors
    /// Fails with every fault found.
    pub fn compile(version: DocumentVersion, yaml: &str) -> Result<Self, Faults> {
        let document = parse(yaml)?;
        let faults = dangling(&document, yaml);
        if !faults.is_empty() {
            return Err(Faults(faults));
        }
        let mut policy = Self {
            version,
            rules: document.rules,
            ..Self::default()
        };
        for tier in document.tiers {
            let name = TierName(tier.name.into());
            let rank = TierRank(tier.rank as u8);
            let deadline_ms = tier.deadline_ms as u64;
            policy.tiers.insert(
                name.clone(),
                TierPolicy {
                    name,
                    rank,
                    deadline_ms,
                },
            );
        }
        for service in document.services {
            let name = ServiceName(service.name.into());
            for model in service.models {
                policy.models.insert(model.into(), name.clone());
            }
            let compiled = ServicePolicy {
                name: name.clone(),
                is_model: service.kind == types::ServiceKind::Model,
                queue_requests: service.queue_requests.get() as usize,
                max_tokens: TokenCount(service.max_tokens.get()),
                requires_key: service.require_key,
            };
            policy.services.insert(name, compiled);
        }
        for customer in document.customers {
            let key_sha256 = decode_sha256(&customer.key_sha256);
            let contract = customer.contract.map(|contract| ContractPolicy {
                requests_per_s: contract.requests_per_s.get(),
                concurrent_tokens: contract.concurrent_tokens.get(),
            });
            let name = CustomerName(customer.name.into());
            let tier = TierName(customer.tier.into());
            let prefix = key_prefix(&key_sha256);
            if let Some(contract) = contract {
                policy.contracts.insert(name.clone(), contract);
            }
            let compiled = CustomerPolicy {
                name,
                tier,
                contract,
                key_sha256,
            };
            policy.customers.entry(prefix).or_default().push(compiled);
        }
        Ok(policy)
    }

    /// The customer whose API key this is; hashes are compared in constant time.
    pub fn customer(&self, api_key: &str) -> Option<&CustomerPolicy> {
        let sha256: [u8; 32] = Sha256::digest(api_key.as_bytes()).into();
        let candidates = self.customers.get(&key_prefix(&sha256))?;
        candidates
            .iter()
            .find(|customer| bool::from(customer.key_sha256.ct_eq(&sha256)))
    }

    /// The contract of a customer, if it has one.
    pub fn contract(&self, customer: &CustomerName) -> Option<ContractPolicy> {
        self.contracts.get(customer).copied()
    }

    /// The service of a model name.
    pub fn service_of_model(&self, model: &str) -> Option<&ServicePolicy> {
        self.models
            .get(model)
            .and_then(|name| self.services.get(name))
    }

    /// A service by its name.
    pub fn service(&self, name: &ServiceName) -> Option<&ServicePolicy> {
        self.services.get(name)
    }

    /// Every model name, in order.
    pub fn models(&self) -> BTreeSet<&str> {
        self.models.keys().map(String::as_str).collect()
    }

    /// What the rules say of a request. Without a rule, model calls, `GET` and
    /// `HEAD` are idempotent and everything else is not.
    pub fn treatment(
        &self,
        customer: &CustomerPolicy,
        service: &ServicePolicy,
        method: &str,
        path: &str,
    ) -> Option<Treatment> {
        let rule = self
            .rules
            .iter()
            .find(|rule| matches(rule, customer, service, method, path));
        let tier = rule.and_then(|rule| rule.tier.as_ref());
        let tier = tier.map_or(customer.tier.0.as_str(), |name| name.as_str());
        let tier = self.tiers.get(&TierName::from(tier))?.clone();
        let stated = rule.and_then(|rule| rule.idempotency);
        let idempotent = match stated {
            Some(stated) => stated == types::Idempotency::Idempotent,
            None => service.is_model || matches!(method, "GET" | "HEAD"),
        };
        let repeat_when_unknown = idempotent && rule.is_some_and(|rule| rule.repeat_when_unknown);
        Some(Treatment {
            tier,
            idempotent,
            repeat_when_unknown,
        })
    }
}

fn matches(
    rule: &types::Rule,
    customer: &CustomerPolicy,
    service: &ServicePolicy,
    method: &str,
    path: &str,
) -> bool {
    let method_fits = rule.methods.is_empty() || rule.methods.iter().any(|m| m.as_str() == method);
    let customer_fits = rule.customers.is_empty()
        || rule
            .customers
            .iter()
            .any(|c| *c.as_str() == customer.name.0);
    *rule.service.as_str() == service.name.0
        && method_fits
        && customer_fits
        && path.starts_with(rule.path_prefix.as_str())
}

fn key_prefix(sha256: &[u8; 32]) -> [u8; 8] {
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&sha256[..8]);
    prefix
}

fn decode_sha256(hexadecimal: &str) -> [u8; 32] {
    let mut bytes = [0; 32];
    for (position, byte) in bytes.iter_mut().enumerate() {
        let digits = hexadecimal
            .get(position * 2..position * 2 + 2)
            .unwrap_or("00");
        *byte = u8::from_str_radix(digits, 16).unwrap_or(0);
    }
    bytes
}

fn parse(yaml: &str) -> Result<types::Document, Faults> {
    let value: serde_json::Value = serde_norway::from_str(yaml).map_err(|error| {
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
        if let Some(first) = keys.insert(customer.key_sha256.as_str(), customer.name.as_str()) {
            let message = format!("the customer {first:?} has the same key");
            report(format!("/customers/{i}/key_sha256"), message);
        }
        if !tiers.contains(customer.tier.as_str()) {
            let message = unknown("tier", &customer.tier, &tiers);
            report(format!("/customers/{i}/tier"), message);
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
    faults
}

fn unknown(what: &str, name: &str, known: &BTreeSet<&str>) -> String {
    let known: Vec<&str> = known.iter().copied().collect();
    format!(
        "there is no {what} {name:?}; defined are: {}",
        known.join(", ")
    )
}
