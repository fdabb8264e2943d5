//! The document, arranged for look-up as a [`Policy`].

pub use crate::document_check::{Fault, Faults, SCHEMA};

use crate::{document_check, document_types as types, units::*};
use sha2::{Digest, Sha256};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};
use subtle::ConstantTimeEq;

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
    /// Its tier, unless a rule says otherwise; on routes it goes before the route's.
    pub tier: Option<TierName>,
    /// What it may use; no limit without one.
    pub contract: Option<ContractPolicy>,
    /// What it may send by routes; no limit without one.
    pub quota: Option<QuotaPolicy>,
    key_sha256: [u8; 32],
}

/// What a customer may send by routes, over all gateways together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaPolicy {
    /// Whether it counts tokens; requests otherwise.
    pub counts_tokens: bool,
    /// Units a second.
    pub rate_per_s: u64,
    /// Units beyond the rate at one time.
    pub burst: u64,
    /// The tokens that a request counts as that states none.
    pub plain_tokens: u64,
}

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// They may run more than once.
    Idempotent,
    /// Their streams may go on at another target after the last whole event.
    Resumable,
    /// They run at most once.
    Never,
}

/// A route as gateways use it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutePolicy {
    /// Its name.
    pub name: String,
    /// The start of the paths that it is for.
    pub path_prefix: String,
    /// Where its requests go, by weight.
    pub targets: Vec<(ServiceName, u64)>,
    /// What may be repeated.
    pub repeat: Repeat,
    /// Whether the answer is a stream of events.
    pub streams: bool,
    /// The longest time until a final answer.
    pub timeout_ms: u64,
    /// The time within which an answer, or its first event, is of full value.
    pub objective_ms: u64,
    /// The longest pause between events that is of full value; 0 if none is stated.
    pub pause_ms: u64,
    /// How long callers wait for the next event before they leave; `None` if not stated.
    pub silence_ms: Option<u64>,
    /// Its tier's rank.
    pub rank: TierRank,
    /// How many targets one request may be sent to.
    pub max_targets: u64,
    /// Whether callers need no API key.
    pub public: bool,
    /// Whether requests share parts of their prompts.
    pub shares_prefixes: bool,
}

/// What gateways accept of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The longest head of a request.
    pub header_bytes: u64,
    /// The longest body of a request.
    pub body_bytes: u64,
    /// How long the head of a request may take to arrive.
    pub header_timeout_ms: u64,
    /// How long a connection may stay unused.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// What holds where the document says nothing.
    fn default() -> Self {
        Self {
            header_bytes: 64 * 1024,
            body_bytes: 16 * 1024 * 1024,
            header_timeout_ms: 10_000,
            idle_timeout_ms: 60_000,
        }
    }
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
    /// How many connections one target takes from all gateways; `None` means no limit.
    pub max_connections: Option<u64>,
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
    quotas: HashMap<CustomerName, QuotaPolicy>,
    has_customers: bool,
    rules: Vec<types::Rule>,
    routes: HashMap<String, Vec<Arc<RoutePolicy>>>,
    /// What gateways accept of callers.
    pub caller_limits: CallerLimits,
}

impl Policy {
    /// Checks a document and arranges it.
    ///
    /// # Errors
    /// Fails with every fault found.
    pub fn compile(version: DocumentVersion, yaml: &str) -> Result<Self, Faults> {
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
                queue_requests: service.queue_requests.get() as usize,
                max_tokens: TokenCount(service.max_tokens.get()),
                requires_key: service.require_key,
                max_connections: Some(service.max_connections).filter(|most| *most > 0),
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
                rate_per_s: quota.rate_per_s,
                burst: quota.burst,
                plain_tokens: quota.plain_tokens,
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
                header_bytes: limits.max_header_bytes.get(),
                body_bytes: limits.max_body_bytes.get(),
                header_timeout_ms: limits.header_timeout_ms.get(),
                idle_timeout_ms: limits.idle_timeout_ms.get(),
            };
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

    /// Whether there is any customer; routes need no API key otherwise.
    pub fn has_customers(&self) -> bool {
        self.has_customers
    }

    /// The route of a request: of those of its host, the one with the longest prefix.
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

    /// The rank of a request of a customer on a route.
    pub fn rank(&self, customer: Option<&CustomerPolicy>, route: &RoutePolicy) -> TierRank {
        let tier = customer.and_then(|customer| customer.tier.as_ref());
        let tier = tier.and_then(|name| self.tiers.get(name));
        tier.map_or(route.rank, |tier| tier.rank)
    }

    /// The contract of a customer, if it has one.
    pub fn contract(&self, customer: &CustomerName) -> Option<ContractPolicy> {
        self.contracts.get(customer).copied()
    }

    /// Whether a route of this name is in force.
    pub fn has_route(&self, name: &str) -> bool {
        let mut routes = self.routes.values().flatten();
        routes.any(|route| route.name == name)
    }

    /// The quota of a customer, if it has one.
    pub fn quota(&self, customer: &CustomerName) -> Option<QuotaPolicy> {
        self.quotas.get(customer).copied()
    }

    /// The name of a tier; its rank if the document has none of that rank.
    pub fn tier_name(&self, rank: TierRank) -> TierName {
        let tier = self.tiers.values().find(|tier| tier.rank == rank);
        tier.map_or_else(|| TierName(rank.to_string()), |tier| tier.name.clone())
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
        let tier = tier.map(|name| TierName::from(name.as_str()));
        let tier = tier.or_else(|| customer.tier.clone())?;
        let tier = self.tiers.get(&tier)?.clone();
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

fn compile_route(route: types::Route, rank: TierRank) -> RoutePolicy {
    let targets = route.targets.into_iter();
    RoutePolicy {
        name: route.name.into(),
        path_prefix: route.path_prefix.into(),
        targets: targets
            .map(|target| (ServiceName(target.service.into()), target.weight as u64))
            .collect(),
        repeat: match route.repeat {
            types::RouteRepeat::Idempotent => Repeat::Idempotent,
            types::RouteRepeat::Resumable => Repeat::Resumable,
            types::RouteRepeat::Never => Repeat::Never,
        },
        streams: route.streams,
        timeout_ms: route.timeout_ms.get(),
        objective_ms: route.objective_ms,
        pause_ms: route.pause_ms,
        silence_ms: Some(route.silence_ms).filter(|silence_ms| *silence_ms > 0),
        rank,
        max_targets: route.max_targets.get(),
        public: route.public,
        shares_prefixes: route.shares_prefixes,
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
