//! Log replication: appends, snapshots, commits and the leader lease.

use super::*;

impl<R: Rules> Core<R> {
    pub(super) fn append_as_leader(&mut self, payloads: Vec<Payload>, effects: &mut Effects) {
        for payload in payloads {
            let entry = Entry {
                index: self.log.last_index().next(),
                term: self.hard.term,
                payload,
            };
            self.log.entries.push(entry.clone());
            effects.persist.entries.push(entry);
        }
    }

    /// Appends entries from the leader, replacing conflicting ones, and returns the
    /// last index known to match its log; `None` if the previous entry differs.
    pub(super) fn append_from_leader(
        &mut self,
        prev_index: LogIndex,
        prev_term: Term,
        entries: Vec<Entry>,
        effects: &mut Effects,
    ) -> Option<LogIndex> {
        let compacted = prev_index < self.log.snapshot.index;
        if !compacted && self.log.term_at(prev_index) != Some(prev_term) {
            return None;
        }
        let mut matched = prev_index;
        for entry in entries {
            matched = entry.index;
            let local_term = self.log.term_at(entry.index);
            if entry.index <= self.log.snapshot.index || local_term == Some(entry.term) {
                continue;
            }
            if local_term.is_some() {
                self.log.truncate_after(entry.index.previous());
                effects.persist.truncate_after = Some(entry.index.previous());
            }
            self.log.entries.push(entry.clone());
            effects.persist.entries.push(entry);
        }
        Some(matched)
    }

    pub(super) fn install_snapshot(&mut self, snapshot: Snapshot, effects: &mut Effects) {
        if snapshot.index <= self.commit_index {
            return;
        }
        if self.log.term_at(snapshot.index) == Some(snapshot.term) {
            self.log.compact(snapshot.clone());
        } else {
            self.log = Log {
                snapshot: snapshot.clone(),
                entries: Vec::new(),
            };
            effects.persist.truncate_after = Some(snapshot.index);
        }
        self.commit_index = snapshot.index;
        effects.persist.snapshot = Some(snapshot.clone());
        effects.restore = Some(snapshot);
    }

    pub(super) fn compact_log(
        &mut self,
        index: LogIndex,
        state: bytes::Bytes,
        effects: &mut Effects,
    ) {
        let index = index.min(self.commit_index);
        let Some(term) = self
            .log
            .term_at(index)
            .filter(|_| index > self.log.snapshot.index)
        else {
            return;
        };
        let covered = self
            .log
            .entries
            .iter()
            .rev()
            .filter(|entry| entry.index <= index);
        let membership = covered.clone().find_map(|entry| match &entry.payload {
            Payload::Membership(membership) => Some(membership.clone()),
            _ => None,
        });
        let membership = membership.unwrap_or_else(|| self.log.snapshot.membership.clone());
        let snapshot = Snapshot {
            index,
            term,
            membership,
            state,
        };
        self.log.compact(snapshot.clone());
        effects.persist.snapshot = Some(snapshot);
    }

    pub(super) fn handle_append_reply(
        &mut self,
        now_ms: u64,
        from: ReplicaId,
        accepted: bool,
        index: LogIndex,
        sent_ms: u64,
        effects: &mut Effects,
    ) {
        let last_index = self.log.last_index();
        let Role::Leader(leader_state) = &mut self.role else {
            return;
        };
        let Some(progress) = leader_state.progress.get_mut(&from) else {
            return;
        };
        progress.acknowledged_ms = progress.acknowledged_ms.max(Some(sent_ms));
        if accepted {
            progress.match_index = progress.match_index.max(index.min(last_index));
            progress.next_index = progress.next_index.max(progress.match_index.next());
        } else {
            progress.next_index = index.next().max(progress.match_index.next());
        }
        let is_behind = progress.next_index <= last_index;
        if is_behind {
            self.send_append(now_ms, from, effects);
        }
        self.advance_commit();
    }

    pub(super) fn replicate(&mut self, now_ms: u64, heartbeat: bool, effects: &mut Effects) {
        if let Role::Leader(leader_state) = &mut self.role {
            leader_state.sent_ms = if heartbeat {
                now_ms
            } else {
                leader_state.sent_ms
            };
        }
        for id in self.membership().others(self.id) {
            self.send_append(now_ms, id, effects);
        }
    }

    pub(super) fn send_append(&mut self, now_ms: u64, to: ReplicaId, effects: &mut Effects) {
        let Role::Leader(leader_state) = &mut self.role else {
            return;
        };
        let Some(progress) = leader_state.progress.get_mut(&to) else {
            return;
        };
        let (term, sent_ms, commit_index) = (self.hard.term, now_ms, self.commit_index);
        let prev_index = progress.next_index.previous();
        let message = match self.log.term_at(prev_index) {
            Some(prev_term) => {
                let entries = self.log.slice(progress.next_index, R::max_append_entries());
                progress.next_index = LogIndex(progress.next_index.0 + entries.len() as u64);
                Message::Append {
                    term,
                    prev_index,
                    prev_term,
                    entries,
                    commit_index,
                    sent_ms,
                }
            }
            None => {
                let snapshot = self.log.snapshot.clone();
                progress.next_index = snapshot.index.next();
                Message::Install {
                    term,
                    snapshot,
                    sent_ms,
                }
            }
        };
        effects.messages.push((to, message));
    }

    /// Commits the entries that a quorum holds. The leader's own log counts up to its
    /// last entry, as the driver syncs before the next step.
    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(leader_state) = &self.role else {
            return;
        };
        let commit_voters = R::commit_voters(self.membership());
        let mut match_indexes: Vec<LogIndex> = commit_voters
            .iter()
            .map(|id| match leader_state.progress.get(id) {
                Some(progress) => progress.match_index,
                None if *id == self.id => self.log.last_index(),
                None => LogIndex(0),
            })
            .collect();
        match_indexes.sort_unstable_by(|a, b| b.cmp(a));
        let Some(index) = match_indexes.get(commit_voters.len() / 2).copied() else {
            return;
        };
        let term = self.log.term_at(index);
        if term.is_some_and(|term| R::may_commit_by_counting(term, self.hard.term)) {
            self.raise_commit_index(index);
        }
    }

    pub(super) fn raise_commit_index(&mut self, index: LogIndex) {
        self.commit_index = self.commit_index.max(index.min(self.log.last_index()));
    }

    /// Whether an entry of the current term is committed. A leader then knows everything that was
    /// committed in earlier terms.
    pub fn has_committed_in_term(&self) -> bool {
        self.log.term_at(self.commit_index) == Some(self.hard.term)
    }

    /// End of the lease that a quorum's acknowledgements grant, whether or not the leader has
    /// committed an entry in its term; 0 if there is none.
    pub(super) fn quorum_lease_end_ms(&self, leader_state: &LeaderState, now_ms: u64) -> u64 {
        let voters = &self.membership().voters;
        let mut acknowledged_ms: Vec<u64> = voters
            .iter()
            .map(|id| match leader_state.progress.get(id) {
                Some(progress) => progress.acknowledged_ms.unwrap_or(0),
                None if *id == self.id => now_ms,
                None => 0,
            })
            .collect();
        acknowledged_ms.sort_unstable_by(|a, b| b.cmp(a));
        match acknowledged_ms.get(voters.len() / 2) {
            Some(0) | None => 0,
            Some(sent_ms) => sent_ms + self.timing.lease_ms,
        }
    }
}
