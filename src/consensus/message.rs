//! Messages between replicas.

use super::{Entry, LogIndex, Snapshot, Term};
use crate::derives::record;

record! {
    /// A message from one replica to another. `sent_ms` is the leader's own monotonic
    /// time. The reply echoes it, so that leases do not need synchronized clocks.
    #[allow(missing_docs)]
    pub enum Message {
        /// Asks whether a vote would be granted in `term`. Raises no term.
        PreVote { term: Term, last_index: LogIndex, last_term: Term },
        /// Reply to a pre-vote. `term` is the requested term if granted, otherwise the
        /// sender's own.
        PreVoteReply { term: Term, granted: bool },
        /// Requests a vote. `hand_over` is set if the leader transfers its leadership.
        Vote { term: Term, last_index: LogIndex, last_term: Term, hand_over: bool },
        /// Reply to a vote request.
        VoteReply { term: Term, granted: bool },
        /// Entries after `prev_index`; none in a heartbeat.
        Append {
            term: Term,
            prev_index: LogIndex,
            prev_term: Term,
            entries: Vec<Entry>,
            commit_index: LogIndex,
            sent_ms: u64,
        },
        /// Reply to an append or a snapshot. `index` is the last index known to match
        /// or, if rejected, the index after which the leader retries.
        AppendReply { term: Term, accepted: bool, index: LogIndex, sent_ms: u64 },
        /// Replaces the follower's log up to the snapshot's index by a snapshot.
        Install { term: Term, snapshot: Snapshot, sent_ms: u64 },
        /// Asks the receiver to start an election at once, to transfer leadership to it.
        CampaignNow { term: Term },
    }
}

impl Message {
    /// The sender's term, or the term that it requests a pre-vote for.
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
