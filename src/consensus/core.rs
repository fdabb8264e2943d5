//! State machine of a replica: leader election, log replication, membership
//! changes and the leader lease.

mod election;
mod replication;

use super::*;
use crate::derives::{key, record};
use std::{
    collections::{BTreeMap, BTreeSet},
    marker::PhantomData,
};

key! {
    /// Timing parameters of a group; they are the same at every replica.
    pub struct Timing {
        /// Interval between a leader's heartbeats to each replica.
        pub heartbeat_ms: u64,
        /// Minimum election timeout. A replica also refuses votes for this long
        /// after its last contact with a leader.
        pub election_ms: u64,
        /// Maximum jitter added to the election timeout, from a hash of the
        /// replica, the term and the time.
        pub spread_ms: u64,
        /// Length of the leader lease, from the time at which the acknowledged
        /// message was sent. Shorter than `election_ms` by the clock drift allowed.
        pub lease_ms: u64,
    }

    /// Current role of a replica, as shown in its status.
    pub enum RoleName {
        /// Receives the log but is not part of any quorum.
        Learner,
        /// Replicates from a leader or waits for one.
        Follower,
        /// Requests pre-votes or votes.
        Candidate,
        /// Leads the group.
        Leader,
    }
}

record! {
    /// Input of one step.
    #[allow(missing_docs)]
    pub enum Input {
        /// Checks the timers.
        Tick,
        /// Handles a message from another replica.
        Receive { from: ReplicaId, message: Message },
        /// Appends commands to the log; only a leader accepts them.
        Propose(Vec<bytes::Bytes>),
        /// Changes the membership; only a leader accepts it.
        Change(MembershipChange),
        /// Transfers leadership to the most advanced voter.
        HandOver,
        /// Bootstraps the group: every initial replica starts from the same
        /// snapshot. A replica that already belongs to a group ignores it.
        Found(Snapshot),
        /// Replaces the entries up to `index` by the state machine at `index`.
        Compact { index: LogIndex, state: bytes::Bytes },
    }

    /// State to sync, in this order, before anything is sent or applied.
    #[derive(Default)]
    pub struct Persist {
        /// Snapshot that replaces everything up to its index.
        pub snapshot: Option<Snapshot>,
        /// Index after which all entries are dropped.
        pub truncate_after: Option<LogIndex>,
        /// Entries to append.
        pub entries: Vec<Entry>,
        /// New term and vote.
        pub hard: Option<HardState>,
    }

    /// Output of one step. The driver syncs, then sends, then applies.
    #[derive(Default)]
    pub struct Effects {
        /// State to sync first.
        pub persist: Persist,
        /// Messages to send after the sync.
        pub messages: Vec<(ReplicaId, Message)>,
        /// Received snapshot that the state machine must restore.
        pub restore: Option<Snapshot>,
        /// Newly committed entries to apply last, in log order.
        pub committed: Vec<Entry>,
        /// Reason for which the proposal was rejected.
        pub refused: Option<ProposeError>,
    }

    /// Reason for which a proposal was rejected as a whole.
    #[derive(derive_more::Display, derive_more::Error)]
    pub enum ProposeError {
        /// This replica is not the leader.
        #[display("this replica does not lead the control group")]
        NotLeader,
        /// The leader has not yet committed an entry of its own term.
        #[display("the leader is not ready yet")]
        NotReady,
        /// An earlier membership change is not yet committed.
        #[display("another change of the replicas is in progress")]
        ChangeInProgress,
        /// The learner to promote does not yet hold all committed entries.
        #[display("the replica has not caught up yet")]
        NotCaughtUp,
    }

    /// Replication progress of one other replica, as the leader tracks it.
    #[derive(Default)]
    struct Progress {
        match_index: LogIndex,
        next_index: LogIndex,
        acknowledged_ms: Option<u64>,
    }

    /// Volatile state of a leader.
    struct LeaderState {
        progress: BTreeMap<ReplicaId, Progress>,
        sent_ms: u64,
        since_ms: u64,
    }

    enum Role {
        Follower,
        PreCandidate(BTreeSet<ReplicaId>),
        Candidate(BTreeSet<ReplicaId>),
        Leader(LeaderState),
    }
}

impl Persist {
    /// Returns whether there is nothing to sync.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// State of one replica. Equal states and inputs give equal effects.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Core<R: Rules = ProductionRules> {
    id: ReplicaId,
    timing: Timing,
    hard: HardState,
    log: Log,
    commit_index: LogIndex,
    role: Role,
    leader: Option<ReplicaId>,
    last_contact_ms: u64,
    election_due_ms: u64,
    rules: PhantomData<R>,
}

impl<R: Rules> Core<R> {
    /// Starts a replica from its durable state. It grants no vote for `election_ms`,
    /// as it may have acknowledged a leader just before the restart.
    pub fn new(id: ReplicaId, timing: Timing, hard: HardState, log: Log, now_ms: u64) -> Self {
        let commit_index = log.snapshot.index;
        let mut core = Self {
            id,
            timing,
            hard,
            log,
            commit_index,
            role: Role::Follower,
            leader: None,
            last_contact_ms: now_ms,
            election_due_ms: 0,
            rules: PhantomData,
        };
        core.schedule_election(now_ms);
        core
    }

    /// Id of this replica.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Current term, which also serves as the leader's fencing number.
    pub fn term(&self) -> Term {
        self.hard.term
    }

    /// Current leader, if this replica knows one.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Highest index that this replica knows to be committed.
    pub fn commit_index(&self) -> LogIndex {
        self.commit_index
    }

    /// The replicated log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Current term and vote.
    pub fn hard_state(&self) -> &HardState {
        &self.hard
    }

    /// Latest membership in the log, committed or not.
    pub fn membership(&self) -> &Membership {
        self.log.membership().1
    }

    /// Current role of this replica.
    pub fn role(&self) -> RoleName {
        match self.role {
            Role::Leader(_) => RoleName::Leader,
            Role::PreCandidate(_) | Role::Candidate(_) => RoleName::Candidate,
            Role::Follower if self.membership().learners.contains(&self.id) => RoleName::Learner,
            Role::Follower => RoleName::Follower,
        }
    }

    /// Returns whether this replica holds the leader lease at `now_ms` and may thus
    /// serve reads and issue orders: it is the leader, has committed in its own term,
    /// and a quorum acknowledged it within the lease.
    pub fn holds_lease(&self, now_ms: u64) -> bool {
        self.lease_expires_at_ms(now_ms) > now_ms
    }

    /// Earliest time at which the leader lease can expire; 0 if there is none.
    pub fn lease_expires_at_ms(&self, now_ms: u64) -> u64 {
        match &self.role {
            Role::Leader(leader_state) if self.has_committed_in_term() => {
                self.quorum_lease_end_ms(leader_state, now_ms)
            }
            _ => 0,
        }
    }

    /// Highest index that each other replica is known to hold; empty unless leader.
    pub fn match_indexes(&self) -> BTreeMap<ReplicaId, LogIndex> {
        match &self.role {
            Role::Leader(leader_state) => leader_state
                .progress
                .iter()
                .map(|(id, progress)| (*id, progress.match_index))
                .collect(),
            _ => BTreeMap::new(),
        }
    }

    /// The learners that hold all committed entries; empty unless leader.
    pub fn caught_up_learners(&self) -> BTreeSet<ReplicaId> {
        let Role::Leader(leader_state) = &self.role else {
            return BTreeSet::new();
        };
        let learners = self.membership().learners.iter();
        learners
            .filter(|id| self.is_caught_up(leader_state, **id))
            .copied()
            .collect()
    }

    fn is_caught_up(&self, leader_state: &LeaderState, id: ReplicaId) -> bool {
        let progress = leader_state.progress.get(&id);
        progress.is_some_and(|progress| R::is_caught_up(progress.match_index, self.commit_index))
    }

    /// Processes one input at `now_ms` of this replica's monotonic clock.
    pub fn step(&mut self, now_ms: u64, input: Input) -> Effects {
        let before = self.hard.clone();
        let commit_before = self.commit_index;
        let mut effects = Effects::default();
        match input {
            Input::Tick => self.tick(now_ms, &mut effects),
            Input::Receive { from, message } => self.receive(now_ms, from, message, &mut effects),
            Input::Propose(commands) => self.propose(now_ms, commands, &mut effects),
            Input::Change(change) => self.change_membership(now_ms, &change, &mut effects),
            Input::HandOver => self.transfer_leadership(now_ms, &mut effects),
            Input::Found(snapshot) if self.membership().is_empty() => {
                self.install_snapshot(snapshot, &mut effects);
            }
            Input::Found(_) => {}
            Input::Compact { index, state } => self.compact_log(index, state, &mut effects),
        }
        if self.hard != before {
            effects.persist.hard = Some(self.hard.clone());
        }
        if effects.restore.is_none() {
            let from = commit_before.next();
            let count = self.commit_index.0 - commit_before.0;
            effects.committed = self.log.slice(from, count as usize);
        }
        effects
    }

    fn tick(&mut self, now_ms: u64, effects: &mut Effects) {
        match &self.role {
            Role::Leader(leader_state) => {
                // Steps down `election_ms` after its lease ended or, if it has had none, after it
                // was elected.
                let lease_end_or_start_ms = self
                    .quorum_lease_end_ms(leader_state, now_ms)
                    .max(leader_state.since_ms);
                let heartbeat_due = now_ms >= leader_state.sent_ms + self.timing.heartbeat_ms;
                if now_ms > lease_end_or_start_ms + self.timing.election_ms {
                    self.become_follower(None, now_ms);
                } else if heartbeat_due {
                    self.replicate(now_ms, true, effects);
                }
            }
            _ if now_ms >= self.election_due_ms => self.start_pre_vote(now_ms, effects),
            _ => {}
        }
    }

    fn receive(&mut self, now_ms: u64, from: ReplicaId, message: Message, effects: &mut Effects) {
        let raises_term = match &message {
            Message::PreVote { .. } | Message::PreVoteReply { granted: true, .. } => false,
            Message::Vote { hand_over, .. } => *hand_over || !self.must_withhold_vote(now_ms),
            _ => true,
        };
        if raises_term && message.term() > self.hard.term {
            self.hard = HardState {
                term: message.term(),
                voted_for: None,
            };
            self.become_follower(None, now_ms);
        }
        match message {
            Message::PreVote {
                term,
                last_index,
                last_term,
            } => {
                let granted = term > self.hard.term
                    && !self.must_withhold_vote(now_ms)
                    && (last_term, last_index) >= (self.log.last_term(), self.log.last_index());
                let term = if granted { term } else { self.hard.term };
                effects
                    .messages
                    .push((from, Message::PreVoteReply { term, granted }));
            }
            Message::PreVoteReply { term, granted } => {
                let is_pre_candidate = matches!(self.role, Role::PreCandidate(_));
                if is_pre_candidate && term == self.hard.term.next() && self.add_vote(from, granted)
                {
                    self.start_election(now_ms, false, effects);
                }
            }
            Message::Vote {
                term,
                last_index,
                last_term,
                hand_over,
            } => {
                let withheld = !hand_over && self.must_withhold_vote(now_ms);
                let granted = term == self.hard.term
                    && !withheld
                    && self.hard.voted_for.is_none_or(|id| id == from)
                    && (last_term, last_index) >= (self.log.last_term(), self.log.last_index());
                if granted {
                    self.hard.voted_for = Some(from);
                    self.schedule_election(now_ms);
                }
                let term = self.hard.term;
                effects
                    .messages
                    .push((from, Message::VoteReply { term, granted }));
            }
            Message::VoteReply { term, granted } => {
                let is_candidate = matches!(self.role, Role::Candidate(_));
                if is_candidate && term == self.hard.term && self.add_vote(from, granted) {
                    self.become_leader(now_ms, effects);
                }
            }
            Message::Append {
                term,
                prev_index,
                prev_term,
                entries,
                commit_index,
                sent_ms,
            } => {
                let accepted = term == self.hard.term;
                if accepted {
                    self.follow_leader(from, now_ms);
                }
                let matched = accepted
                    .then(|| self.append_from_leader(prev_index, prev_term, entries, effects))
                    .flatten()
                    .inspect(|index| self.raise_commit_index(commit_index.min(*index)));
                let index =
                    matched.unwrap_or_else(|| self.log.last_index().min(prev_index.previous()));
                let (accepted, term) = (matched.is_some(), self.hard.term);
                effects.messages.push((
                    from,
                    Message::AppendReply {
                        term,
                        accepted,
                        index,
                        sent_ms,
                    },
                ));
            }
            Message::Install {
                term,
                snapshot,
                sent_ms,
            } if term == self.hard.term => {
                self.follow_leader(from, now_ms);
                let index = snapshot.index;
                self.install_snapshot(snapshot, effects);
                let reply = Message::AppendReply {
                    term,
                    accepted: true,
                    index,
                    sent_ms,
                };
                effects.messages.push((from, reply));
            }
            Message::AppendReply {
                term,
                accepted,
                index,
                sent_ms,
            } if term == self.hard.term => {
                self.handle_append_reply(now_ms, from, accepted, index, sent_ms, effects);
            }
            Message::CampaignNow { term } if term == self.hard.term => {
                self.start_election(now_ms, true, effects);
            }
            Message::Install { .. } | Message::AppendReply { .. } | Message::CampaignNow { .. } => {
            }
        }
    }

    fn propose(&mut self, now_ms: u64, commands: Vec<bytes::Bytes>, effects: &mut Effects) {
        match &self.role {
            Role::Leader(_) => {
                self.append_as_leader(
                    commands.into_iter().map(Payload::Command).collect(),
                    effects,
                );
                self.replicate(now_ms, false, effects);
                self.advance_commit();
            }
            _ => effects.refused = Some(ProposeError::NotLeader),
        }
    }

    fn change_membership(&mut self, now_ms: u64, change: &MembershipChange, effects: &mut Effects) {
        let (changed_at, membership) = self.log.membership();
        let refused = match (&self.role, change) {
            (Role::Leader(_), _) if !self.has_committed_in_term() => Some(ProposeError::NotReady),
            (Role::Leader(_), _) if changed_at > self.commit_index => {
                Some(ProposeError::ChangeInProgress)
            }
            (Role::Leader(leader_state), MembershipChange::Promote(id)) => {
                let caught_up = self.is_caught_up(leader_state, *id);
                (!caught_up).then_some(ProposeError::NotCaughtUp)
            }
            (Role::Leader(_), _) => None,
            _ => Some(ProposeError::NotLeader),
        };
        if refused.is_some() {
            effects.refused = refused;
            return;
        }
        let next = membership.after(change);
        let others = next.others(self.id);
        self.append_as_leader(vec![Payload::Membership(next)], effects);
        let next_index = self.log.last_index();
        if let Role::Leader(leader_state) = &mut self.role {
            leader_state.progress.retain(|id, _| others.contains(id));
            for id in others {
                let initial = Progress {
                    next_index,
                    ..Progress::default()
                };
                leader_state.progress.entry(id).or_insert(initial);
            }
        }
        self.replicate(now_ms, false, effects);
        self.advance_commit();
    }
}
