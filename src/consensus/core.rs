//! The step function of a replica: election, log, membership change, lease.

mod election;
mod replication;

use super::*;
use crate::derives::{key, record};
use std::{
    collections::{BTreeMap, BTreeSet},
    marker::PhantomData,
};

key! {
    /// The intervals of a group; the same at every replica.
    pub struct Timing {
        /// How often a leader sends to each replica.
        pub heartbeat_ms: u64,
        /// The shortest wait before an election; votes are refused as long after
        /// the last contact with a leader.
        pub election_ms: u64,
        /// Elections start up to this much later, by a hash of replica and term.
        pub spread_ms: u64,
        /// How long a leader may act on an acknowledgement, from when it sent.
        /// Shorter than `election_ms` by the drift allowed between clocks.
        pub lease_ms: u64,
    }

    /// What a replica is at present, for status pages.
    pub enum RoleName {
        /// Receives the log but does not count.
        Learner,
        /// Follows a leader or waits for one.
        Follower,
        /// Asks for votes.
        Candidate,
        /// Leads the group.
        Leader,
    }
}

record! {
    /// What happens to a replica.
    #[allow(missing_docs)]
    pub enum Input {
        /// Time has passed.
        Tick,
        /// A message came.
        Receive { from: ReplicaId, message: Message },
        /// Commands to append, as the leader.
        Propose(Vec<bytes::Bytes>),
        /// A change of membership, as the leader.
        Change(MembershipChange),
        /// Hand over leadership to the most advanced voter.
        HandOver,
        /// The group is founded: every first replica starts from the same
        /// snapshot. A replica that already belongs to a group ignores it.
        Found(Snapshot),
        /// The state machine at `index`, in place of the entries up to it.
        Compact { index: LogIndex, state: bytes::Bytes },
    }

    /// What must be synced before anything is sent or applied, in this order.
    #[derive(Default)]
    pub struct Persist {
        /// A snapshot that replaces everything up to its index.
        pub snapshot: Option<Snapshot>,
        /// Drops the entries after this position.
        pub truncate_after: Option<LogIndex>,
        /// Entries to append.
        pub entries: Vec<Entry>,
        /// The new term and vote.
        pub hard: Option<HardState>,
    }

    /// What a step asks its driver to do: sync, then send, then apply.
    #[derive(Default)]
    pub struct Effects {
        /// To be synced first.
        pub persist: Persist,
        /// To be sent next.
        pub messages: Vec<(ReplicaId, Message)>,
        /// A received snapshot that the state machine is to restore.
        pub restore: Option<Snapshot>,
        /// To be applied last, in order.
        pub committed: Vec<Entry>,
        /// Why a proposal was not appended.
        pub refused: Option<ProposeError>,
    }

    /// Why a proposal was not appended. None of it will be.
    #[derive(derive_more::Display, derive_more::Error)]
    pub enum ProposeError {
        /// This replica does not lead.
        #[display("this replica does not lead the control group")]
        NotLeader,
        /// The leader has not committed in its own term yet.
        #[display("the leader is not ready yet")]
        NotReady,
        /// Another membership change is not committed yet.
        #[display("another change of the replicas is in progress")]
        ChangeInProgress,
        /// The learner lacks entries.
        #[display("the replica has not caught up yet")]
        NotCaughtUp,
    }

    #[derive(Default)]
    struct Progress {
        match_index: LogIndex,
        next_index: LogIndex,
        acknowledged_ms: Option<u64>,
    }

    struct Leadership {
        progress: BTreeMap<ReplicaId, Progress>,
        sent_ms: u64,
        since_ms: u64,
    }

    enum Role {
        Follower,
        PreCandidate(BTreeSet<ReplicaId>),
        Candidate(BTreeSet<ReplicaId>),
        Leader(Leadership),
    }
}

impl Persist {
    /// Whether there is nothing to sync.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// One replica. Equal inputs give equal effects.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Core<R: Rules = Sound> {
    id: ReplicaId,
    timing: Timing,
    hard: HardState,
    log: Log,
    commit_index: LogIndex,
    role: Role,
    leader: Option<ReplicaId>,
    contact_ms: u64,
    election_due_ms: u64,
    rules: PhantomData<R>,
}

impl<R: Rules> Core<R> {
    /// A replica with what its disk holds. It grants no vote for `election_ms`,
    /// as it may have acknowledged a leader just before it stopped.
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
            contact_ms: now_ms,
            election_due_ms: 0,
            rules: PhantomData,
        };
        core.schedule_election(now_ms);
        core
    }

    /// This replica.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// The current term, which is also the leader's fencing number.
    pub fn term(&self) -> Term {
        self.hard.term
    }

    /// The leader, as far as this replica knows.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// The last committed position known.
    pub fn commit_index(&self) -> LogIndex {
        self.commit_index
    }

    /// The log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// The term and vote.
    pub fn hard_state(&self) -> &HardState {
        &self.hard
    }

    /// The latest membership.
    pub fn membership(&self) -> &Membership {
        self.log.membership().1
    }

    /// What this replica is at present.
    pub fn role(&self) -> RoleName {
        match self.role {
            Role::Leader(_) => RoleName::Leader,
            Role::PreCandidate(_) | Role::Candidate(_) => RoleName::Candidate,
            Role::Follower if self.membership().learners.contains(&self.id) => RoleName::Learner,
            Role::Follower => RoleName::Follower,
        }
    }

    /// Whether this replica may answer reads and give orders at `now_ms`: it
    /// leads, has committed in its own term, and a quorum acknowledged it lately.
    pub fn lease_holds(&self, now_ms: u64) -> bool {
        self.lease_until_ms(now_ms) > now_ms
    }

    /// Until when that is so at the least; 0 if it is not.
    pub fn lease_until_ms(&self, now_ms: u64) -> u64 {
        match &self.role {
            Role::Leader(leadership) if self.committed_own_term() => {
                self.lease_end_ms(leadership, now_ms)
            }
            _ => 0,
        }
    }

    /// The position up to which each replica is known to hold the log.
    pub fn match_indexes(&self) -> BTreeMap<ReplicaId, LogIndex> {
        match &self.role {
            Role::Leader(leadership) => leadership
                .progress
                .iter()
                .map(|(id, progress)| (*id, progress.match_index))
                .collect(),
            _ => BTreeMap::new(),
        }
    }

    /// Takes one input at `now_ms` of this replica's monotonic clock.
    pub fn step(&mut self, now_ms: u64, input: Input) -> Effects {
        let before = self.hard.clone();
        let commit_before = self.commit_index;
        let mut effects = Effects::default();
        match input {
            Input::Tick => self.tick(now_ms, &mut effects),
            Input::Receive { from, message } => self.receive(now_ms, from, message, &mut effects),
            Input::Propose(commands) => self.propose(now_ms, commands, &mut effects),
            Input::Change(change) => self.change(now_ms, &change, &mut effects),
            Input::HandOver => self.hand_over(now_ms, &mut effects),
            Input::Found(snapshot) if self.membership().is_empty() => {
                self.install(snapshot, &mut effects);
            }
            Input::Found(_) => {}
            Input::Compact { index, state } => self.compact(index, state, &mut effects),
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
            Role::Leader(leadership) => {
                let silent_since_ms = self
                    .lease_end_ms(leadership, now_ms)
                    .max(leadership.since_ms);
                let heartbeat_due = now_ms >= leadership.sent_ms + self.timing.heartbeat_ms;
                if now_ms > silent_since_ms + self.timing.election_ms {
                    self.follow(None, now_ms);
                } else if heartbeat_due {
                    self.replicate(now_ms, true, effects);
                }
            }
            _ if now_ms >= self.election_due_ms => self.pre_campaign(now_ms, effects),
            _ => {}
        }
    }

    fn receive(&mut self, now_ms: u64, from: ReplicaId, message: Message, effects: &mut Effects) {
        let raises_term = match &message {
            Message::PreVote { .. } | Message::PreVoteReply { granted: true, .. } => false,
            Message::Vote { hand_over, .. } => *hand_over || !self.heard_lately(now_ms),
            _ => true,
        };
        if raises_term && message.term() > self.hard.term {
            self.hard = HardState {
                term: message.term(),
                voted_for: None,
            };
            self.follow(None, now_ms);
        }
        match message {
            Message::PreVote {
                term,
                last_index,
                last_term,
            } => {
                let granted = term > self.hard.term
                    && !self.heard_lately(now_ms)
                    && (last_term, last_index) >= (self.log.last_term(), self.log.last_index());
                let term = if granted { term } else { self.hard.term };
                effects
                    .messages
                    .push((from, Message::PreVoteReply { term, granted }));
            }
            Message::PreVoteReply { term, granted } => {
                let asked = matches!(self.role, Role::PreCandidate(_));
                if asked && term == self.hard.term.next() && self.add_vote(from, granted) {
                    self.campaign(now_ms, false, effects);
                }
            }
            Message::Vote {
                term,
                last_index,
                last_term,
                hand_over,
            } => {
                let waits = !hand_over && self.heard_lately(now_ms);
                let granted = term == self.hard.term
                    && !waits
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
                let asked = matches!(self.role, Role::Candidate(_));
                if asked && term == self.hard.term && self.add_vote(from, granted) {
                    self.lead(now_ms, effects);
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
                    self.heed_leader(from, now_ms);
                }
                let matched = accepted
                    .then(|| self.append(prev_index, prev_term, entries, effects))
                    .flatten()
                    .inspect(|index| self.commit_to(commit_index.min(*index)));
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
                self.heed_leader(from, now_ms);
                let index = snapshot.index;
                self.install(snapshot, effects);
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
                self.acknowledge(now_ms, from, accepted, index, sent_ms, effects);
            }
            Message::CampaignNow { term } if term == self.hard.term => {
                self.campaign(now_ms, true, effects);
            }
            Message::Install { .. } | Message::AppendReply { .. } | Message::CampaignNow { .. } => {
            }
        }
    }

    fn propose(&mut self, now_ms: u64, commands: Vec<bytes::Bytes>, effects: &mut Effects) {
        match &self.role {
            Role::Leader(_) => {
                self.append_own(
                    commands.into_iter().map(Payload::Command).collect(),
                    effects,
                );
                self.replicate(now_ms, false, effects);
                self.advance_commit();
            }
            _ => effects.refused = Some(ProposeError::NotLeader),
        }
    }

    fn change(&mut self, now_ms: u64, change: &MembershipChange, effects: &mut Effects) {
        let (changed_at, membership) = self.log.membership();
        let refused = match (&self.role, change) {
            (Role::Leader(_), _) if !self.committed_own_term() => Some(ProposeError::NotReady),
            (Role::Leader(_), _) if changed_at > self.commit_index => {
                Some(ProposeError::ChangeInProgress)
            }
            (Role::Leader(leadership), MembershipChange::Promote(id)) => {
                let match_index = leadership
                    .progress
                    .get(id)
                    .map(|progress| progress.match_index);
                let caught_up =
                    match_index.is_some_and(|at| R::learner_caught_up(at, self.commit_index));
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
        self.append_own(vec![Payload::Membership(next)], effects);
        let next_index = self.log.last_index();
        if let Role::Leader(leadership) = &mut self.role {
            leadership.progress.retain(|id, _| others.contains(id));
            for id in others {
                let fresh = Progress {
                    next_index,
                    ..Progress::default()
                };
                leadership.progress.entry(id).or_insert(fresh);
            }
        }
        self.replicate(now_ms, false, effects);
        self.advance_commit();
    }
}
