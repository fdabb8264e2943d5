//! Messages between replicas.

use super::{Entry, LogIndex, Snapshot, Term};
use crate::derives::record;

record! {
    /// A message from one replica to another. `sent_ms` is the leader's own
    /// monotonic time, echoed in the reply, so that leases need no common clock.
    #[allow(missing_docs)]
    pub enum Message {
        /// Asks whether a vote would be granted in `term`, without raising any term.
        PreVote { term: Term, last_index: LogIndex, last_term: Term },
        /// Answers a pre-vote; `term` is the asked one, or the replier's when refused.
        PreVoteReply { term: Term, granted: bool },
        /// Asks for a vote. `hand_over` is set when the leader asked for the election.
        Vote { term: Term, last_index: LogIndex, last_term: Term, hand_over: bool },
        /// Answers a vote.
        VoteReply { term: Term, granted: bool },
        /// Sends entries after `prev_index`; empty as a heartbeat.
        Append {
            term: Term,
            prev_index: LogIndex,
            prev_term: Term,
            entries: Vec<Entry>,
            commit_index: LogIndex,
            sent_ms: u64,
        },
        /// Answers an append or a snapshot. `index` is the last index known to match,
        /// or where the follower's log ends when refused.
        AppendReply { term: Term, accepted: bool, index: LogIndex, sent_ms: u64 },
        /// Replaces the follower's log by a snapshot.
        Install { term: Term, snapshot: Snapshot, sent_ms: u64 },
        /// The leader hands over leadership to the receiver.
        CampaignNow { term: Term },
    }
}

impl Message {
    /// The term that the sender was in, or asks for.
    pub fn term(&self) -> Term {
        match self {
            Self::PreVote { term, .. }
            | Self::PreVoteReply { term, .. }
            | Self::Vote { term, .. }
            | Self::VoteReply { term, .. }
            | Self::Append { term, .. }
            | Self::AppendReply { term, .. }
            | Self::Install { term, .. }
            | Self::CampaignNow { term } => *term,
        }
    }
}
