//! Decides at which version of their software the targets of a service may go on with a stream that
//! another attempt began. Pure: no I/O, and the time is passed in.
//!
//! What two versions write does not fit together, and targets do not check it. Gateways record the
//! version that began a stream at two agents, which a hash of the attempt's id names, while a service
//! runs several versions. Versions count as run for [`RECORD_MS`] after their last target is gone.
//!
//! | record of the stream | versions of the service | choice |
//! |---|---|---|
//! | none or any | none or one | any target |
//! | a version | several | targets of that version |
//! | none | several, all but the first for less than [`RECORD_MS`] | the first version: the stream began before there were others |
//! | none | several, for longer | refused |
//!
//! It serves gateways. An entry needs no choice: its streams end with the target that began them.

use crate::{
    control::directory::TargetEntry,
    derives::quantity,
    units::{ServiceName, TargetVersion},
};
use std::{
    collections::{BTreeMap, HashMap, VecDeque, hash_map::Entry},
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
};

/// Time for which the version of a stream is kept: longer than callers wait for a stream.
pub const RECORD_MS: u64 = 60_000;
/// Maximum number of records; the oldest are dropped.
const MAX_RECORDS: usize = 4096;
/// Number of agents that a record is sent to, so that it survives the loss of one.
const HOLDERS: usize = 2;
/// Number of agents that are asked for a record: agents that were added since may come first.
const ASKED_HOLDERS: usize = 4;

quantity! {
    /// A hash of the id of the attempt that began a stream.
    StreamKey(u64)
}

impl StreamKey {
    /// The key of a stream that an attempt with this id began.
    pub fn of(attempt_id: &str) -> Self {
        Self(hash(attempt_id))
    }

    /// The agents that the record of the stream is sent to.
    pub fn holders(self, agents: impl Iterator<Item = SocketAddr>) -> Vec<SocketAddr> {
        self.first_agents(agents, HOLDERS)
    }

    /// The agents that are asked for the record of the stream.
    pub fn asked_holders(self, agents: impl Iterator<Item = SocketAddr>) -> Vec<SocketAddr> {
        self.first_agents(agents, ASKED_HOLDERS)
    }

    fn first_agents(
        self,
        agents: impl Iterator<Item = SocketAddr>,
        count: usize,
    ) -> Vec<SocketAddr> {
        let mut agents: Vec<SocketAddr> = agents.collect();
        agents.sort_unstable();
        agents.dedup();
        agents.sort_by_cached_key(|agent| hash((self, agent)));
        agents.truncate(count);
        agents
    }
}

fn hash(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// The targets at which a stream may go on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamChoice {
    /// Those of all versions.
    Any,
    /// Those of this version.
    Only(TargetVersion),
    /// None, as it is not known which version began the stream.
    Refused,
}

impl StreamChoice {
    /// Label of the metric.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Any => "any",
            Self::Only(_) => "only",
            Self::Refused => "refused",
        }
    }
}

/// Chooses the targets for a stream, from its record and the versions of its service, each with the
/// time at which the first of its targets started.
pub fn choose(
    record: Option<&TargetVersion>,
    versions: &[(TargetVersion, u64)],
    now_unix_ms: u64,
) -> StreamChoice {
    let mut by_start: Vec<&(TargetVersion, u64)> = versions.iter().collect();
    by_start.sort_by_key(|(_, started_unix_ms)| *started_unix_ms);
    match (record, &by_start[..]) {
        (_, [] | [_]) => StreamChoice::Any,
        (Some(version), _) => StreamChoice::Only(version.clone()),
        (None, [(first, _), (_, second_unix_ms), ..])
            if now_unix_ms < second_unix_ms.saturating_add(RECORD_MS) =>
        {
            StreamChoice::Only(first.clone())
        }
        (None, _) => StreamChoice::Refused,
    }
}

#[derive(Clone, Copy)]
struct VersionSeen {
    first_start_unix_ms: u64,
    last_seen_ms: u64,
}

/// The versions that each service runs, or ran within [`RECORD_MS`].
#[derive(Default)]
pub struct VersionHistory(BTreeMap<ServiceName, BTreeMap<TargetVersion, VersionSeen>>);

impl VersionHistory {
    /// Records the targets that are listed, and forgets versions that are gone for long.
    pub fn observe<'a>(&mut self, targets: impl Iterator<Item = &'a TargetEntry>, now_ms: u64) {
        for target in targets {
            self.note(target, now_ms);
        }
        self.0.retain(|_, versions| {
            versions.retain(|_, seen| now_ms < seen.last_seen_ms + RECORD_MS);
            !versions.is_empty()
        });
    }

    /// Records a target; returns whether its service runs several versions.
    pub fn note(&mut self, target: &TargetEntry, now_ms: u64) -> bool {
        if !self.0.contains_key(&target.service) {
            self.0.insert(target.service.clone(), BTreeMap::new());
        }
        let versions = self.0.get_mut(&target.service).expect("it was inserted");
        match versions.get_mut(&target.version) {
            Some(seen) => {
                seen.first_start_unix_ms = seen.first_start_unix_ms.min(target.started_unix_ms);
                seen.last_seen_ms = now_ms;
            }
            None => {
                let seen = VersionSeen {
                    first_start_unix_ms: target.started_unix_ms,
                    last_seen_ms: now_ms,
                };
                versions.insert(target.version.clone(), seen);
            }
        }
        versions.len() > 1
    }

    /// The versions of a service, for [`choose`].
    pub fn versions(&self, service: &ServiceName) -> Vec<(TargetVersion, u64)> {
        let versions = self.0.get(service).into_iter().flatten();
        versions
            .map(|(version, seen)| (version.clone(), seen.first_start_unix_ms))
            .collect()
    }
}

/// Records of the versions that began streams, for [`RECORD_MS`] each.
#[derive(Default)]
pub struct StreamRecords {
    versions: HashMap<StreamKey, (TargetVersion, u64)>,
    by_age: VecDeque<(StreamKey, u64)>,
}

impl StreamRecords {
    /// Records the version that began a stream; the first record of a stream is kept.
    pub fn record(&mut self, key: StreamKey, version: TargetVersion, now_ms: u64) {
        while let Some((oldest, recorded_ms)) = self.by_age.front().copied()
            && (self.by_age.len() >= MAX_RECORDS || now_ms >= recorded_ms + RECORD_MS)
        {
            self.by_age.pop_front();
            self.versions.remove(&oldest);
        }
        if let Entry::Vacant(record) = self.versions.entry(key) {
            record.insert((version, now_ms));
            self.by_age.push_back((key, now_ms));
        }
    }

    /// The version that began a stream, if it is recorded.
    pub fn find(&self, key: StreamKey, now_ms: u64) -> Option<&TargetVersion> {
        let (version, recorded_ms) = self.versions.get(&key)?;
        (now_ms < recorded_ms + RECORD_MS).then_some(version)
    }
}
