//! The replicated state machine: the document, change ids and claims.

use super::{command::*, orders::TargetOrders};
use crate::{derives::record, units::*};
use std::collections::{BTreeMap, VecDeque};

/// How many change ids are kept to recognise resends.
const REMEMBERED_CHANGES: usize = 4096;

record! {
    /// The document in force and the change that made it.
    #[derive(Default)]
    pub struct AcceptedDocument {
        /// 0 until the first document is accepted.
        pub version: DocumentVersion,
        /// The change that made it.
        pub change: ChangeId,
        /// The document.
        pub yaml: String,
        /// The text as it was sent, where the operator has a format of their own.
        pub source: Option<String>,
    }

    struct RememberedChange {
        change: ChangeId,
        expected: DocumentVersion,
        yaml_sha256: Vec<u8>,
        reply: Reply,
    }

    /// What every replica holds after the same commands.
    #[derive(Default)]
    pub struct ControlState {
        document: AcceptedDocument,
        changes: VecDeque<RememberedChange>,
        claims: BTreeMap<ClaimKey, Claim>,
        orders: BTreeMap<TargetName, TargetOrders>,
    }
}

impl ControlState {
    /// The document in force.
    pub fn document(&self) -> &AcceptedDocument {
        &self.document
    }

    /// The state that each target is to be in, where it was ordered.
    pub fn orders(&self) -> &BTreeMap<TargetName, TargetOrders> {
        &self.orders
    }

    /// How many claims are kept.
    pub fn claim_count(&self) -> usize {
        self.claims.len()
    }

    /// The claim of a key.
    pub fn claim(&self, key: &ClaimKey) -> Option<&Claim> {
        self.claims.get(key)
    }

    /// Applies one committed command. Equal states and commands give equal replies.
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
                self.orders.entry(target).or_default().take(order);
                Reply::Done
            }
            Command::ExpireClaims { before_unix_ms } => {
                self.claims
                    .retain(|_, claim| claim.created_unix_ms >= before_unix_ms);
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
        let reply = if expected == self.document.version {
            let version = DocumentVersion(self.document.version.0 + 1);
            self.document = AcceptedDocument {
                version,
                change: change.clone(),
                yaml,
                source: None,
            };
            Reply::Applied(version)
        } else {
            let winner = self.document.change.clone();
            Reply::Lost {
                current: self.document.version,
                winner,
            }
        };
        let remembered = RememberedChange {
            change,
            expected,
            yaml_sha256,
            reply: reply.clone(),
        };
        self.changes.push_back(remembered);
        if self.changes.len() > REMEMBERED_CHANGES {
            self.changes.pop_front();
        }
        reply
    }

    /// The highest version takes effect; any other one is answered and changes nothing.
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
        let free = match held {
            None => true,
            Some(claim) if claim.attempt == attempt && claim.outcome == Outcome::Open => {
                return Reply::Claimed;
            }
            Some(claim) if claim.fingerprint != fingerprint => false,
            Some(claim) => {
                let holder = (claim.attempt.request, claim.attempt.attempt);
                let proved = claim.outcome == Outcome::Open && replaces == Some(holder);
                claim.outcome == Outcome::NotRun || proved
            }
        };
        match held {
            Some(claim) if !free => Reply::Held(claim.clone()),
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
        let holds = claim.attempt.request == request && claim.attempt.attempt == attempt;
        if holds && claim.outcome == Outcome::Open {
            claim.outcome = outcome;
        }
        Reply::Settled(Some(claim.outcome.clone()))
    }
}
