//! The document, arranged for look-up as a [`Policy`].

pub use crate::document_check::{Fault, Faults, SCHEMA};

use crate::{document_check, document_types as types, units::*};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet, HashMap};
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
