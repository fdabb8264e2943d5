//! Records of the versions that began streams, at gateways and agents. Pure: no I/O, and the time is
//! passed in.
//!
//! While a service runs several versions, a gateway sends the version of each stream that goes through
//! it to the [`HOLDERS`] agents that a hash of the stream's key names. It sends the records again to agents
//! that come into their place, and to agents that it has lost the link to, as those may have restarted.
//! So a record outlives the agents as long as its gateway runs, and the gateway as long as one of
//! the agents does. A gateway that is asked to go on with a stream asks the agents by the same hash.

use crate::{
    control::directory::TargetEntry,
    derives::quantity,
    stream_version::RECORD_MS,
    units::{ServiceName, TargetVersion},
};
use siphasher::sip::SipHasher13;
use std::{
    collections::{BTreeSet, HashMap, VecDeque, hash_map::Entry},
    hash::Hasher,
    net::{IpAddr, SocketAddr},
};

/// Maximum number of records of an agent, and of streams of a gateway.
const MAX_RECORDS: usize = 4096;
/// Number of agents that a record is sent to: it survives the loss of all but one.
const HOLDERS: usize = 3;
/// Number of agents that are asked for a record: agents that were added since may come first.
const ASKED_HOLDERS: usize = 5;

quantity! {
    /// A hash of the id of the attempt that began a stream.
    StreamKey(u64)
}

impl StreamKey {
    /// The key of a stream that an attempt with this id began.
    pub fn of(attempt_id: &str) -> Self {
        Self(hash(&[attempt_id.as_bytes()]))
    }
}

/// The same in every build: gateways and agents of several builds run side by side.
fn hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = SipHasher13::new();
    for part in parts {
        hasher.write(part);
    }
    hasher.finish()
}

/// Orders the agents for a stream.
fn rank(key: StreamKey, agent: SocketAddr) -> u64 {
    let ip = match agent.ip() {
        IpAddr::V4(ip) => ip.to_ipv6_mapped(),
        IpAddr::V6(ip) => ip,
    };
    let port = agent.port().to_le_bytes();
    hash(&[&key.0.to_le_bytes(), &ip.octets(), &port])
}

/// The agents that may hold records.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecordAgents {
    /// Those whose targets stay.
    staying: BTreeSet<SocketAddr>,
    /// Those whose targets leave: they are asked, but get no new records.
    leaving: BTreeSet<SocketAddr>,
}

impl RecordAgents {
    /// The agents at this port beside targets.
    pub fn beside<'a>(targets: impl Iterator<Item = &'a TargetEntry>, port: u16) -> Self {
        let mut agents = Self::default();
        for target in targets {
            let agent = SocketAddr::new(target.address.ip(), port);
            match target.leaving {
                true => agents.leaving.insert(agent),
                false => agents.staying.insert(agent),
            };
        }
        agents
    }

    /// The agents that the record of a stream is sent to.
    pub fn holders(&self, key: StreamKey) -> Vec<SocketAddr> {
        first_agents(key, self.staying.iter().copied(), HOLDERS)
    }

    /// The agents that are asked for the record of a stream.
    pub fn asked(&self, key: StreamKey) -> Vec<SocketAddr> {
        let all = self.staying.union(&self.leaving).copied();
        let mut asked = first_agents(key, all, ASKED_HOLDERS);
        asked.extend(self.holders(key));
        asked.sort_unstable();
        asked.dedup();
        asked
    }
}

fn first_agents(
    key: StreamKey,
    agents: impl Iterator<Item = SocketAddr>,
    count: usize,
) -> Vec<SocketAddr> {
    let mut agents: Vec<(u64, SocketAddr)> =
        agents.map(|agent| (rank(key, agent), agent)).collect();
    if agents.len() > count {
        agents.select_nth_unstable(count);
        agents.truncate(count);
    }
    agents.into_iter().map(|(_, agent)| agent).collect()
}

/// A record that a gateway sends to an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SentRecord {
    /// The agent.
    pub agent: SocketAddr,
    /// The stream.
    pub key: StreamKey,
    /// The version that began it.
    pub version: TargetVersion,
}

struct GatewayStream {
    service: ServiceName,
    version: TargetVersion,
    /// The agents that the record was sent to.
    holders: Vec<SocketAddr>,
    /// When it broke off, as its caller may take it up; `None` while it runs.
    broke_off_ms: Option<u64>,
}

/// The streams that go through a gateway, or broke off there within [`RECORD_MS`].
#[derive(Default)]
pub struct GatewayStreams(HashMap<StreamKey, GatewayStream>);

impl GatewayStreams {
    /// Adds a stream whose first event has come, or one that a caller took up; returns whether it is
    /// kept. Of more than the maximum number, later ones are not.
    pub fn begin(
        &mut self,
        key: StreamKey,
        service: ServiceName,
        version: TargetVersion,
        now_ms: u64,
    ) -> bool {
        if self.0.len() >= MAX_RECORDS && !self.0.contains_key(&key) {
            self.expire(now_ms);
            if self.0.len() >= MAX_RECORDS {
                return false;
            }
        }
        match self.0.entry(key) {
            Entry::Occupied(mut known) => known.get_mut().broke_off_ms = None,
            Entry::Vacant(stream) => {
                stream.insert(GatewayStream {
                    service,
                    version,
                    holders: Vec::new(),
                    broke_off_ms: None,
                });
            }
        }
        true
    }

    /// Removes a stream that is complete, or keeps one that broke off for [`RECORD_MS`].
    pub fn end(&mut self, key: StreamKey, is_complete: bool, now_ms: u64) {
        match self.0.entry(key) {
            Entry::Occupied(stream) if is_complete => drop(stream.remove()),
            Entry::Occupied(mut stream) => stream.get_mut().broke_off_ms = Some(now_ms),
            Entry::Vacant(_) => {}
        }
    }

    /// The version that began a stream, if it is kept.
    pub fn version(&self, key: StreamKey) -> Option<&TargetVersion> {
        self.0.get(&key).map(|stream| &stream.version)
    }

    /// Records that an agent may have lost its records.
    pub fn lose_agent(&mut self, agent: SocketAddr) {
        for stream in self.0.values_mut() {
            stream.holders.retain(|holder| *holder != agent);
        }
    }

    /// The records of one stream that its agents lack.
    pub fn due_of(&mut self, key: StreamKey, agents: &RecordAgents) -> Vec<SentRecord> {
        let stream = self.0.get_mut(&key);
        stream.map_or_else(Vec::new, |stream| stream.due(key, agents))
    }

    /// The records that agents lack, of streams of services with several versions.
    pub fn due(
        &mut self,
        agents: &RecordAgents,
        has_several: impl Fn(&ServiceName) -> bool,
        now_ms: u64,
    ) -> Vec<SentRecord> {
        self.expire(now_ms);
        let streams = self.0.iter_mut();
        let wanted = streams.filter(|(_, stream)| has_several(&stream.service));
        wanted
            .flat_map(|(key, stream)| stream.due(*key, agents))
            .collect()
    }

    fn expire(&mut self, now_ms: u64) {
        self.0.retain(|_, stream| {
            let broke_off_ms = stream.broke_off_ms;
            broke_off_ms.is_none_or(|at_ms| now_ms < at_ms + RECORD_MS)
        });
    }
}

impl GatewayStream {
    fn due(&mut self, key: StreamKey, agents: &RecordAgents) -> Vec<SentRecord> {
        let holders = agents.holders(key);
        let lacking = holders.iter().filter(|agent| !self.holders.contains(agent));
        let records = lacking.map(|agent| SentRecord {
            agent: *agent,
            key,
            version: self.version.clone(),
        });
        let records = records.collect();
        self.holders = holders;
        records
    }
}

/// The records that an agent holds, for [`RECORD_MS`] each.
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
