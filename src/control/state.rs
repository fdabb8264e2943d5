//! The replicated state machine: the document, change IDs, claims and orders.

use super::{
    command::*,
    departures::Departures,
    orders::TargetOrders,
    rollouts::{Rollouts, StartOutcome},
};
use crate::{derives::record, stream_version::ServiceVersions, units::*};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of change IDs kept to detect retries.
const MAX_CHANGE_IDS: usize = 4096;

record! {
    /// The document in force and the change that set it.
    #[derive(Default)]
    pub struct AcceptedDocument {
        /// Its version; 0 until the first document is accepted.
        pub version: DocumentVersion,
        /// The change that set it.
        pub change: ChangeId,
        /// The document as YAML.
        pub yaml: String,
        /// The text as the operator sent it, if in the operator's own format.
        pub source: Option<String>,
    }

    struct ChangeRecord {
        change: ChangeId,
        expected: DocumentVersion,
        yaml_sha256: Vec<u8>,
        reply: Reply,
    }

    /// The state of the replicated state machine.
    #[derive(Default)]
    pub struct ControlState {
        document: AcceptedDocument,
        changes: VecDeque<ChangeRecord>,
        claims: BTreeMap<ClaimKey, Claim>,
        orders: BTreeMap<TargetName, TargetOrders>,
        /// Encoded after the other fields, as earlier versions do not have it.
        #[serde(skip)]
        departures: Departures,
        /// Encoded after the departures, for the same reason.
        #[serde(skip)]
        rollouts: Rollouts,
        /// Encoded after the rollouts, for the same reason.
        #[serde(skip)]
        versions: ServiceVersions,
    }
}

impl ControlState {
    /// Encodes the state for a snapshot.
    ///
    /// # Errors
    /// Fails if a value cannot be encoded.
    pub fn encode(&self) -> postcard::Result<Vec<u8>> {
        let mut bytes = postcard::to_stdvec(self)?;
        bytes.extend(postcard::to_stdvec(&self.departures)?);
        if !self.rollouts.is_empty() || !self.versions.is_empty() {
            bytes.extend(postcard::to_stdvec(&self.rollouts)?);
        }
        if !self.versions.is_empty() {
            bytes.extend(postcard::to_stdvec(&self.versions)?);
        }
        Ok(bytes)
    }

    /// Decodes the state of a snapshot; an empty one is the initial state.
    ///
    /// # Errors
    /// Fails if the bytes are no state.
    pub fn decode(bytes: &[u8]) -> postcard::Result<Self> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        let (mut state, rest) = postcard::take_from_bytes::<Self>(bytes)?;
        if rest.is_empty() {
            return Ok(state);
        }
        let (departures, rest) = postcard::take_from_bytes(rest)?;
        state.departures = departures;
        if rest.is_empty() {
            return Ok(state);
        }
        let (rollouts, rest) = postcard::take_from_bytes(rest)?;
        state.rollouts = rollouts;
        if !rest.is_empty() {
            state.versions = postcard::from_bytes(rest)?;
        }
        Ok(state)
    }

    /// The targets that get no new requests.
    pub fn departures(&self) -> &Departures {
        &self.departures
    }

    /// The latest rollout of each service.
    pub fn rollouts(&self) -> &Rollouts {
        &self.rollouts
    }

    /// The versions that the targets of each service run, or ran lately.
    pub fn versions(&self) -> &ServiceVersions {
        &self.versions
    }

    /// The document in force.
    pub fn document(&self) -> &AcceptedDocument {
        &self.document
    }

    /// The desired state of each target that has received an order.
    pub fn orders(&self) -> &BTreeMap<TargetName, TargetOrders> {
        &self.orders
    }

    /// Number of claims.
    pub fn claim_count(&self) -> usize {
        self.claims.len()
    }

    /// Returns the claim on a key.
    pub fn claim(&self, key: &ClaimKey) -> Option<&Claim> {
        self.claims.get(key)
    }

    /// Applies a committed command. Deterministic: equal states and commands give equal replies.
    pub fn apply(&mut self, command: Command) -> Reply {
        match command {
            Command::Apply {
                change,
                expected,
                yaml,
            } => self.accept(change, expected, yaml),
            Command::ApplyHighest {
                version,
                yaml,
                source,
            } => self.accept_highest(version, yaml, source),
            Command::Claim {
                key,
                fingerprint,
                attempt,
                replaces,
                now_unix_ms,
            } => self.make_claim(key, fingerprint, attempt, replaces, now_unix_ms),
            Command::Settle {
                key,
                request,
                attempt,
                outcome,
            } => self.settle(&key, request, attempt, outcome),
            Command::Order { target, order } => {
                self.orders.entry(target).or_default().apply(order);
                Reply::Done
            }
            Command::ExpireClaims { before_unix_ms } => {
                self.claims
                    .retain(|_, claim| claim.created_unix_ms >= before_unix_ms);
                Reply::Done
            }
            Command::Depart(departure) => {
                self.departures.record(departure);
                Reply::Done
            }
            Command::Return(back) => {
                self.departures.forget(&back);
                Reply::Done
            }
            Command::StartRollout(start) => match self.rollouts.start(start) {
                StartOutcome::Accepted | StartOutcome::Repeated => Reply::Done,
                StartOutcome::Conflict => Reply::RolloutConflict,
            },
            Command::AdvanceRollout(advance) => {
                self.rollouts.advance(advance);
                Reply::Done
            }
            Command::ChangeVersion(change) => {
                self.versions.apply(change);
                Reply::Done
            }
        }
    }

    fn accept(&mut self, change: ChangeId, expected: DocumentVersion, yaml: String) -> Reply {
        use sha2::{Digest, Sha256};
        let yaml_sha256 = Sha256::digest(yaml.as_bytes()).to_vec();
        match self.changes.iter().find(|known| known.change == change) {
            Some(known) if known.yaml_sha256 == yaml_sha256 && known.expected == expected => {
                return known.reply.clone();
            }
            Some(_) => return Reply::ChangeReused,
            None => {}
        }
        let next = self.document.version.0.checked_add(1);
        let reply = match next.map(DocumentVersion) {
            Some(version) if expected == self.document.version => {
                self.document = AcceptedDocument {
                    version,
                    change: change.clone(),
                    yaml,
                    source: None,
                };
                Reply::Applied(version)
            }
            _ => Reply::Lost {
                current: self.document.version,
                winner: self.document.change.clone(),
            },
        };
        let record = ChangeRecord {
            change,
            expected,
            yaml_sha256,
            reply: reply.clone(),
        };
        self.changes.push_back(record);
        if self.changes.len() > MAX_CHANGE_IDS {
            self.changes.pop_front();
        }
        reply
    }

    /// Accepts a version higher than the current one; any other is acknowledged without effect.
    fn accept_highest(&mut self, version: DocumentVersion, yaml: String, source: String) -> Reply {
        if version > self.document.version {
            self.document = AcceptedDocument {
                version,
                change: ChangeId(format!("version-{version}")),
                yaml,
                source: Some(source),
            };
        }
        Reply::Applied(self.document.version)
    }

    fn make_claim(
        &mut self,
        key: ClaimKey,
        fingerprint: Vec<u8>,
        attempt: ClaimedAttempt,
        replaces: Option<(RequestId, Attempt)>,
        now_unix_ms: u64,
    ) -> Reply {
        let held = self.claims.get(&key);
        let created_unix_ms = held.map_or(now_unix_ms, |claim| claim.created_unix_ms);
        let is_claimable = match held {
            None => true,
            Some(claim) if claim.attempt == attempt && claim.outcome == Outcome::Open => {
                return Reply::Claimed;
            }
            Some(claim) if claim.fingerprint != fingerprint => false,
            Some(claim) => {
                let holder = (claim.attempt.request, claim.attempt.attempt);
                let is_proven_not_run = claim.outcome == Outcome::Open && replaces == Some(holder);
                claim.outcome == Outcome::NotRun || is_proven_not_run
            }
        };
        match held {
            Some(claim) if !is_claimable => Reply::Held(claim.clone()),
            _ => {
                let outcome = Outcome::Open;
                self.claims.insert(
                    key,
                    Claim {
                        fingerprint,
                        attempt,
                        created_unix_ms,
                        outcome,
                    },
                );
                Reply::Claimed
            }
        }
    }

    fn settle(
        &mut self,
        key: &ClaimKey,
        request: RequestId,
        attempt: Attempt,
        outcome: Outcome,
    ) -> Reply {
        let Some(claim) = self.claims.get_mut(key) else {
            return Reply::Settled(None);
        };
        let is_holder = claim.attempt.request == request && claim.attempt.attempt == attempt;
        if is_holder && claim.outcome == Outcome::Open {
            claim.outcome = outcome;
        }
        Reply::Settled(Some(claim.outcome.clone()))
    }
}
