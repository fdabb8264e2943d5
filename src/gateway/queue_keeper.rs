//! Which agent keeps the queue of a plain target, without clock or I/O.
//!
//! | input | use |
//! |---|---|
//! | name of the target, addresses of the agents | every gateway ranks the agents by the same rendezvous hash |
//! | an agent that is lost, silent or too old | it is left out for a while, and the next one of the ranking is used |
//! | time | an agent that was left out is used again, if it answers |
//!
//! Output: the agent to use, or none if the first [`MAX_KEEPERS`] of the ranking are left out.
//!
//! The load that this is for: 3 plain targets, 53 agents and 31 gateways. When an agent comes or
//! goes, the queue of a target moves only if that agent is or was the first of its ranking.

use crate::units::TargetName;
use sha2::{Digest, Sha256};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

/// Number of agents that are tried for a target. Requests are sent without a queue while all of
/// them are left out, so it bounds the time that a request waits for a keeper, and keeps the
/// gateways together on a few agents.
pub const MAX_KEEPERS: usize = 4;
/// Time for which a lost agent is left out. The gateways that lost it are spread over two agents for
/// at most about this time when it returns.
pub const LEFT_OUT_MS: u64 = 1000;
/// The same for an agent that has just fallen silent. An agent that was not scheduled for 30 ms is
/// silent to those gateways only that asked it then, and they are to return soon.
pub const SILENT_MS: u64 = 200;
/// Time for which an agent is left out that closes the link at the first message, if it did not
/// keep the queue before either: it is of a version that keeps no queues. Once may be an agent that
/// ends at that moment.
pub const TOO_OLD_MS: u64 = 30_000;

/// Why an agent is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum KeeperLoss {
    /// The link broke or could not be opened.
    #[display("lost")]
    Lost,
    /// The agent did not answer.
    #[display("silent")]
    Silent,
    /// The agent closed the link at the first message.
    #[display("too-old")]
    TooOld,
}

/// Orders the agents for a target, the one that is to keep its queue first. The hash is the same in
/// all processes and versions.
pub fn rank_keepers(target: &TargetName, agents: &[SocketAddr]) -> Vec<SocketAddr> {
    let hash = |agent: &SocketAddr| {
        let digest = Sha256::new()
            .chain_update(&target.0)
            .chain_update([0])
            .chain_update(agent.to_string());
        <[u8; 32]>::from(digest.finalize())
    };
    let mut ranking = agents.to_vec();
    ranking.sort_by_cached_key(|agent| std::cmp::Reverse(hash(agent)));
    ranking.dedup();
    ranking
}

/// Choice of the agent for one target; see the [module](self).
#[derive(Clone, Debug)]
pub struct KeeperChoice {
    target: TargetName,
    agents: Vec<SocketAddr>,
    /// The first agents of the ranking.
    ranking: Vec<SocketAddr>,
    left_out_until_ms: BTreeMap<SocketAddr, u64>,
    /// Agents that have not kept the queue since they were last left out.
    unreturned: BTreeSet<SocketAddr>,
}

impl KeeperChoice {
    /// Creates a choice among no agents.
    pub fn new(target: TargetName) -> Self {
        Self {
            target,
            agents: Vec::new(),
            ranking: Vec::new(),
            left_out_until_ms: BTreeMap::new(),
            unreturned: BTreeSet::new(),
        }
    }

    /// Takes over the addresses of the agents.
    pub fn set_agents(&mut self, agents: &[SocketAddr]) {
        if self.agents != agents {
            self.agents = agents.to_vec();
            self.ranking = rank_keepers(&self.target, agents);
            self.ranking.truncate(MAX_KEEPERS);
            self.left_out_until_ms
                .retain(|agent, _| agents.contains(agent));
            self.unreturned.retain(|agent| agents.contains(agent));
        }
    }

    /// Leaves an agent out for a while.
    pub fn leave_out(&mut self, agent: SocketAddr, loss: KeeperLoss, now_ms: u64) {
        let left_out_ms = match (loss, self.unreturned.insert(agent)) {
            (KeeperLoss::Silent, true) => SILENT_MS,
            (KeeperLoss::TooOld, false) => TOO_OLD_MS,
            _ => LEFT_OUT_MS,
        };
        self.left_out_until_ms.insert(agent, now_ms + left_out_ms);
    }

    /// Records that an agent keeps the queue.
    pub fn record_kept(&mut self, agent: SocketAddr) {
        self.unreturned.remove(&agent);
    }

    /// Returns the agent to use.
    pub fn choose(&self, now_ms: u64) -> Option<SocketAddr> {
        let is_left_out = |agent: &&SocketAddr| {
            let until_ms = self.left_out_until_ms.get(agent);
            until_ms.is_some_and(|until_ms| now_ms < *until_ms)
        };
        self.ranking
            .iter()
            .find(|agent| !is_left_out(agent))
            .copied()
    }
}
