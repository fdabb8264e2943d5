//! Leader election: pre-votes, votes and leadership transfer.

use super::*;
use std::hash::{DefaultHasher, Hash, Hasher};

impl<R: Rules> Core<R> {
    /// Returns whether a vote now could elect a leader during a lease that this
    /// replica holds or has acknowledged.
    pub(super) fn must_withhold_vote(&self, now_ms: u64) -> bool {
        let holds_lease = matches!(&self.role, Role::Leader(leader_state)
      if self.quorum_lease_end_ms(leader_state, now_ms) > now_ms);
        R::withholds_votes_during_lease()
            && (holds_lease || now_ms < self.last_contact_ms + self.timing.election_ms)
    }

    /// Records contact with a leader of the current term and becomes its follower.
    pub(super) fn follow_leader(&mut self, leader: ReplicaId, now_ms: u64) {
        self.last_contact_ms = now_ms;
        self.become_follower(Some(leader), now_ms);
    }

    pub(super) fn become_follower(&mut self, leader: Option<ReplicaId>, now_ms: u64) {
        self.role = Role::Follower;
        self.leader = leader;
        self.schedule_election(now_ms);
    }

    /// Sets the election timeout. Its jitter is a hash, as equal states must give equal effects. The
    /// hash must not be linear: two replicas that time out together would do so again and again.
    pub(super) fn schedule_election(&mut self, now_ms: u64) {
        let mut hasher = DefaultHasher::new();
        (self.id, self.hard.term, now_ms).hash(&mut hasher);
        let delay_ms = self.timing.election_ms + hasher.finish() % (self.timing.spread_ms + 1);
        self.election_due_ms = now_ms + delay_ms;
    }

    pub(super) fn start_pre_vote(&mut self, now_ms: u64, effects: &mut Effects) {
        self.leader = None;
        self.schedule_election(now_ms);
        if !self.membership().voters.contains(&self.id) {
            self.role = Role::Follower;
            return;
        }
        self.role = Role::PreCandidate(BTreeSet::from([self.id]));
        let (term, last_index) = (self.hard.term.next(), self.log.last_index());
        let last_term = self.log.last_term();
        self.send_to_voters(
            &Message::PreVote {
                term,
                last_index,
                last_term,
            },
            effects,
        );
        if self.is_quorum(&BTreeSet::from([self.id])) {
            self.start_election(now_ms, false, effects);
        }
    }

    pub(super) fn start_election(&mut self, now_ms: u64, hand_over: bool, effects: &mut Effects) {
        if !self.membership().voters.contains(&self.id) {
            return;
        }
        self.hard = HardState {
            term: self.hard.term.next(),
            voted_for: Some(self.id),
        };
        self.leader = None;
        self.role = Role::Candidate(BTreeSet::from([self.id]));
        self.schedule_election(now_ms);
        let (term, last_index) = (self.hard.term, self.log.last_index());
        let last_term = self.log.last_term();
        self.send_to_voters(
            &Message::Vote {
                term,
                last_index,
                last_term,
                hand_over,
            },
            effects,
        );
        if self.is_quorum(&BTreeSet::from([self.id])) {
            self.become_leader(now_ms, effects);
        }
    }

    /// Counts a vote or pre-vote and returns whether it completes a quorum.
    pub(super) fn add_vote(&mut self, from: ReplicaId, granted: bool) -> bool {
        let votes = match &mut self.role {
            Role::PreCandidate(votes) | Role::Candidate(votes) if granted => {
                votes.insert(from);
                votes.clone()
            }
            _ => return false,
        };
        self.is_quorum(&votes)
    }

    pub(super) fn become_leader(&mut self, now_ms: u64, effects: &mut Effects) {
        let next_index = self.log.last_index().next();
        let progress = self.membership().others(self.id).into_iter().map(|id| {
            (
                id,
                Progress {
                    next_index,
                    ..Progress::default()
                },
            )
        });
        let progress = progress.collect();
        self.role = Role::Leader(LeaderState {
            progress,
            sent_ms: now_ms,
            since_ms: now_ms,
        });
        self.leader = Some(self.id);
        self.append_as_leader(vec![Payload::Noop], effects);
        self.replicate(now_ms, true, effects);
        self.advance_commit();
    }

    /// Asks the most advanced voter to start an election and steps down. The lease
    /// stays given up for the rest of the term, as the request may arrive at any time.
    pub(super) fn transfer_leadership(&mut self, now_ms: u64, effects: &mut Effects) {
        let term = self.hard.term;
        let voters = &self.membership().voters;
        let Role::Leader(leader_state) = &self.role else {
            return;
        };
        let others = leader_state
            .progress
            .iter()
            .filter(|(id, _)| voters.contains(id));
        let most_advanced =
            others.max_by_key(|(_, progress)| (progress.match_index, progress.acknowledged_ms));
        effects
            .messages
            .extend(most_advanced.map(|(id, _)| (*id, Message::CampaignNow { term })));
        self.become_follower(None, now_ms);
    }

    pub(super) fn is_quorum(&self, votes: &BTreeSet<ReplicaId>) -> bool {
        let voters = &self.membership().voters;
        votes.intersection(voters).count() > voters.len() / 2
    }

    pub(super) fn send_to_voters(&self, message: &Message, effects: &mut Effects) {
        let others = self.membership().voters.iter().filter(|id| **id != self.id);
        effects
            .messages
            .extend(others.map(|id| (*id, message.clone())));
    }
}
