//! The configuration document, compiled into an indexed [`Policy`].

pub use crate::document_check::{SCHEMA, ValidationError, ValidationErrors};

use crate::{
    document_check, document_types as types,
    scheduling::fair_share::{ShareHolder, ShareWeight},
    units::*,
};
use sha2::{Digest, Sha256};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};
use subtle::ConstantTimeEq;

/// Largest number in a policy, such as 30 years in milliseconds; larger ones of a document count as
/// this one. Sums of such numbers and their products with percentages and millionths fit 64 bits.
const MAX_NUMBER: u64 = 1_000_000_000_000;

/// Priority tier of requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TierPolicy {
    /// Name of the tier.
    pub name: TierName,
    /// Priority of the tier; 0 is the highest.
    pub rank: TierRank,
    /// Maximum duration of a request, in milliseconds.
    pub deadline_ms: u64,
}

/// Rate and concurrency limits of a customer, across all entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ContractPolicy {
    /// Maximum requests per second.
    pub requests_per_s: u64,
    /// Maximum number of tokens in progress.
    pub concurrent_tokens: u64,
}

/// A customer, identified by one of its API keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CustomerPolicy {
    /// Name of the customer.
    pub name: CustomerName,
    /// Default tier. Rules override it; on routes it overrides the route's tier.
    pub tier: Option<TierName>,
    /// Limits at entries; `None` means no limit.
    pub contract: Option<ContractPolicy>,
    /// Quota on routes; `None` means no limit.
    pub quota: Option<QuotaPolicy>,
    key_sha256: [u8; 32],
}

/// Rate limit of a customer on routes, across all gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaPolicy {
    /// Whether the units are tokens; they are requests otherwise.
    pub counts_tokens: bool,
    /// Sustained rate in units per second.
    pub rate_per_s: u64,
    /// Burst above the sustained rate, in units.
    pub burst: u64,
    /// Tokens charged for a request that states no number of tokens.
    pub default_tokens: u64,
}

/// Retry policy of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// Requests may run more than once.
    Idempotent,
    /// A stream may resume at another target after the last complete event.
    Resumable,
    /// Requests run at most once.
    Never,
}

/// A route of the gateways.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutePolicy {
    /// Name of the route.
    pub name: String,
    /// Prefix of the paths that the route matches.
    pub path_prefix: String,
    /// Services that receive the requests, with their weights.
    pub targets: Vec<(ServiceName, u64)>,
    /// Retry policy.
    pub retry: RetryPolicy,
    /// Whether the response is a stream of events.
    pub streams: bool,
    /// Maximum time until the response is complete.
    pub timeout_ms: u64,
    /// Latency objective of the response or, for a stream, of its first event.
    pub objective_ms: u64,
    /// Objective for the gap between two events; 0 if the document sets none.
    pub event_gap_objective_ms: u64,
    /// Time after which callers that receive no event disconnect; `None` if the document
    /// sets none.
    pub caller_event_timeout_ms: Option<u64>,
    /// Rank of the route's tier.
    pub rank: TierRank,
    /// Maximum number of targets to which one request is sent.
    pub max_targets: u64,
    /// Whether callers need no API key.
    pub public: bool,
    /// Whether the prompts of requests have prefixes in common.
    pub shares_prefixes: bool,
}

/// Limits that gateways enforce on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head.
    pub header_bytes: u64,
    /// Maximum size of a request body.
    pub body_bytes: u64,
    /// Maximum time to receive a request head.
    pub header_timeout_ms: u64,
    /// Maximum time for which a connection may stay idle.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// Limits that apply if the document sets none.
    fn default() -> Self {
        Self {
            header_bytes: 64 * 1024,
            body_bytes: 16 * 1024 * 1024,
            header_timeout_ms: 10_000,
            idle_timeout_ms: 60_000,
        }
    }
}

/// A service that targets offer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServicePolicy {
    /// Name of the service.
    pub name: ServiceName,
    /// Whether the service generates tokens.
    pub is_model: bool,
    /// Maximum number of requests queued at one target.
    pub max_queued_requests: usize,
    /// Output tokens assumed for a request that sets no limit.
    pub default_output_tokens: TokenCount,
    /// Whether non-idempotent requests without an idempotency key are rejected.
    pub requires_key: bool,
    /// Maximum number of connections to one target from all gateways; `None` means no limit.
    pub max_connections: Option<u64>,
    /// Memory of one target for prompts and answers, in tokens; `None` if unknown.
    pub memory_tokens: Option<u64>,
    /// Paths at which a target tells its name or when it started, in the order in which they are
    /// asked.
    pub identity_paths: Vec<String>,
}

/// Policy that the rules of the document assign to one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestPolicy {
    /// Tier of the request.
    pub tier: TierPolicy,
    /// Whether the request is safe to run twice.
    pub idempotent: bool,
    /// Whether the request is retried if it is unknown whether it ran.
    pub retry_when_unknown: bool,
}

/// A validated document, indexed for lookup.
#[derive(Clone, Debug, Default)]
pub struct Policy {
    /// Version of the document.
    pub version: DocumentVersion,
    tiers: BTreeMap<TierName, TierPolicy>,
    services: BTreeMap<ServiceName, ServicePolicy>,
    models: HashMap<String, ServiceName>,
    customers: HashMap<[u8; 8], Vec<CustomerPolicy>>,
    contracts: HashMap<CustomerName, ContractPolicy>,
    quotas: HashMap<CustomerName, QuotaPolicy>,
    /// Weight of customers without a quota.
    default_weight: ShareWeight,
    has_customers: bool,
    rules: Vec<types::Rule>,
    routes: HashMap<String, Vec<Arc<RoutePolicy>>>,
    /// Limits that gateways enforce on callers.
    pub caller_limits: CallerLimits,
}

impl Policy {
    /// Validates and indexes a document.
    ///
    /// # Errors
    /// Fails with every validation error found.
    pub fn compile(version: DocumentVersion, yaml: &str) -> Result<Self, ValidationErrors> {
        let document = document_check::read(yaml)?;
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
                max_queued_requests: service.queue_requests.get() as usize,
                default_output_tokens: TokenCount(service.max_tokens.get()),
                requires_key: service.require_key,
                max_connections: Some(bounded(service.max_connections)).filter(|limit| *limit > 0),
                memory_tokens: Some(bounded(service.memory_tokens)).filter(|tokens| *tokens > 0),
                identity_paths: service.identity_paths.into_iter().map(Into::into).collect(),
            };
            policy.services.insert(name, compiled);
        }
        for customer in document.customers {
            let first = customer.key_sha256.iter();
            let keys = first.chain(&customer.more_keys_sha256);
            let keys: Vec<[u8; 32]> = keys.map(|key| decode_sha256(key)).collect();
            let contract = customer.contract.map(|contract| ContractPolicy {
                requests_per_s: contract.requests_per_s.get(),
                concurrent_tokens: contract.concurrent_tokens.get(),
            });
            let name = CustomerName(customer.name.into());
            let tier = customer.tier.map(|tier| TierName(tier.into()));
            let quota = customer.quota.map(|quota| QuotaPolicy {
                counts_tokens: quota.unit == types::QuotaUnit::Tokens,
                rate_per_s: bounded(quota.rate_per_s),
                burst: bounded(quota.burst),
                default_tokens: bounded(quota.plain_tokens),
            });
            let quota = quota.filter(|quota| quota.rate_per_s > 0);
            if let Some(quota) = quota {
                policy.quotas.insert(name.clone(), quota);
            }
            if let Some(contract) = contract {
                policy.contracts.insert(name.clone(), contract);
            }
            for key_sha256 in keys {
                let compiled = CustomerPolicy {
                    name: name.clone(),
                    tier: tier.clone(),
                    contract,
                    quota,
                    key_sha256,
                };
                let prefix = key_prefix(&key_sha256);
                policy.customers.entry(prefix).or_default().push(compiled);
            }
            policy.has_customers = true;
        }
        policy.default_weight = ShareWeight::default_among(policy.quotas.values().copied());
        for route in document.routes {
            let host = route.host.to_ascii_lowercase();
            let rank = policy.tiers.get(&TierName::from(route.tier.as_str()));
            let rank = rank.map_or(TierRank(0), |tier| tier.rank);
            let compiled = Arc::new(compile_route(route, rank));
            policy.routes.entry(host).or_default().push(compiled);
        }
        for routes in policy.routes.values_mut() {
            routes.sort_by_key(|route| Reverse(route.path_prefix.len()));
        }
        if let Some(limits) = document.caller_limits {
            policy.caller_limits = CallerLimits {
                header_bytes: bounded(limits.max_header_bytes.get()),
                body_bytes: bounded(limits.max_body_bytes.get()),
                header_timeout_ms: bounded(limits.header_timeout_ms.get()),
                idle_timeout_ms: bounded(limits.idle_timeout_ms.get()),
            };
        }
        Ok(policy)
    }

    /// The customer that owns an API key. Hashes are compared in constant time.
    pub fn customer(&self, api_key: &str) -> Option<&CustomerPolicy> {
        let sha256: [u8; 32] = Sha256::digest(api_key.as_bytes()).into();
        let candidates = self.customers.get(&key_prefix(&sha256))?;
        candidates
            .iter()
            .find(|customer| bool::from(customer.key_sha256.ct_eq(&sha256)))
    }

    /// Returns whether any customer is defined; if not, routes need no API key.
    pub fn has_customers(&self) -> bool {
        self.has_customers
    }

    /// The route of a request: the one with the longest matching prefix on its host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RoutePolicy>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.routes.get(name) {
            Some(routes) => routes,
            None => self.routes.get(&name.to_ascii_lowercase())?,
        };
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Whether another document sends such a request to the same services, for the same customer.
    pub fn handles_alike(
        &self,
        other: &Self,
        host: &str,
        path: &str,
        api_key: Option<&str>,
    ) -> bool {
        // The customer where one is needed; `Some(None)` if no customer has the key.
        let customer = |policy: &Self, route: &RoutePolicy| {
            let is_needed = !route.public && policy.has_customers;
            let customer = api_key.and_then(|key| policy.customer(key));
            is_needed.then(|| customer.map(|customer| customer.name.clone()))
        };
        match (self.route(host, path), other.route(host, path)) {
            (None, None) => true,
            (Some(here), Some(there)) => {
                here.targets == there.targets && customer(self, here) == customer(other, there)
            }
            (Some(_), None) | (None, Some(_)) => false,
        }
    }

    /// Rank of a customer's request on a route.
    pub fn rank(&self, customer: Option<&CustomerPolicy>, route: &RoutePolicy) -> TierRank {
        let tier = customer.and_then(|customer| customer.tier.as_ref());
        let tier = tier.and_then(|name| self.tiers.get(name));
        tier.map_or(route.rank, |tier| tier.rank)
    }

    /// Contract of a customer, if it has one.
    pub fn contract(&self, customer: &CustomerName) -> Option<ContractPolicy> {
        self.contracts.get(customer).copied()
    }

    /// Returns whether a route of this name is defined.
    pub fn has_route(&self, name: &str) -> bool {
        let mut routes = self.routes.values().flatten();
        routes.any(|route| route.name == name)
    }

    /// Quota of a customer, if it has one.
    pub fn quota(&self, customer: &CustomerName) -> Option<QuotaPolicy> {
        self.quotas.get(customer).copied()
    }

    /// Returns the account that a request's slot time is charged to, with its weight.
    pub fn share_holder(&self, customer: Option<&CustomerPolicy>) -> ShareHolder {
        let weight = customer.and_then(|customer| customer.quota);
        let weight = weight.map_or(self.default_weight, ShareWeight::of);
        ShareHolder::of(customer.map(|customer| &customer.name), weight)
    }

    /// Name of the tier of a rank; the rank itself if no tier has it.
    pub fn tier_name(&self, rank: TierRank) -> TierName {
        let tier = self.tiers.values().find(|tier| tier.rank == rank);
        tier.map_or_else(|| TierName(rank.to_string()), |tier| tier.name.clone())
    }

    /// The service that offers a model.
    pub fn service_for_model(&self, model: &str) -> Option<&ServicePolicy> {
        self.models
            .get(model)
            .and_then(|name| self.services.get(name))
    }

    /// Looks up a service by name.
    pub fn service(&self, name: &ServiceName) -> Option<&ServicePolicy> {
        self.services.get(name)
    }

    /// Names of all services.
    pub fn service_names(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }

    /// The longest timeout of the routes to a service, in milliseconds.
    pub fn longest_timeout_ms(&self, service: &ServiceName) -> Option<u64> {
        let routes = self.routes.values().flatten();
        let routes = routes.filter(|route| route.targets.iter().any(|(name, _)| name == service));
        routes.map(|route| route.timeout_ms).max()
    }

    /// All model names, sorted.
    pub fn models(&self) -> BTreeSet<&str> {
        self.models.keys().map(String::as_str).collect()
    }

    /// Policy of a request, from the first rule that matches it. Without a rule, requests
    /// to models, `GET` and `HEAD` are idempotent and all others are not.
    pub fn request_policy(
        &self,
        customer: &CustomerPolicy,
        service: &ServicePolicy,
        method: &str,
        path: &str,
    ) -> Option<RequestPolicy> {
        let rule = self
            .rules
            .iter()
            .find(|rule| rule_matches(rule, customer, service, method, path));
        let tier = rule.and_then(|rule| rule.tier.as_ref());
        let tier = tier.map(|name| TierName::from(name.as_str()));
        let tier = tier.or_else(|| customer.tier.clone())?;
        let tier = self.tiers.get(&tier)?.clone();
        let idempotency = rule.and_then(|rule| rule.idempotency);
        let idempotent = match idempotency {
            Some(idempotency) => idempotency == types::Idempotency::Idempotent,
            None => service.is_model || matches!(method, "GET" | "HEAD"),
        };
        let retry_when_unknown = idempotent && rule.is_some_and(|rule| rule.repeat_when_unknown);
        Some(RequestPolicy {
            tier,
            idempotent,
            retry_when_unknown,
        })
    }
}

fn bounded(number: u64) -> u64 {
    number.min(MAX_NUMBER)
}

fn compile_route(route: types::Route, rank: TierRank) -> RoutePolicy {
    let targets = route.targets.into_iter();
    RoutePolicy {
        name: route.name.into(),
        path_prefix: route.path_prefix.into(),
        targets: targets
            .map(|target| (ServiceName(target.service.into()), target.weight as u64))
            .collect(),
        retry: match route.repeat {
            types::RouteRepeat::Idempotent => RetryPolicy::Idempotent,
            types::RouteRepeat::Resumable => RetryPolicy::Resumable,
            types::RouteRepeat::Never => RetryPolicy::Never,
        },
        streams: route.streams,
        timeout_ms: bounded(route.timeout_ms.get()),
        objective_ms: bounded(route.objective_ms),
        event_gap_objective_ms: bounded(route.pause_ms),
        caller_event_timeout_ms: Some(bounded(route.silence_ms)).filter(|ms| *ms > 0),
        rank,
        max_targets: bounded(route.max_targets.get()),
        public: route.public,
        shares_prefixes: route.shares_prefixes,
    }
}

fn rule_matches(
    rule: &types::Rule,
    customer: &CustomerPolicy,
    service: &ServicePolicy,
    method: &str,
    path: &str,
) -> bool {
    let method_matches =
        rule.methods.is_empty() || rule.methods.iter().any(|m| m.as_str() == method);
    let customer_matches = rule.customers.is_empty()
        || rule
            .customers
            .iter()
            .any(|c| *c.as_str() == customer.name.0);
    *rule.service.as_str() == service.name.0
        && method_matches
        && customer_matches
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
