//! Acknowledgements of changes: sent once the processes that act on a change have it.

use super::*;

/// Number of documents of which it is kept when they became known.
const MAX_KNOWN_DOCUMENTS: usize = 64;
/// Number of targets of which it is kept when their leaving became known.
const MAX_KNOWN_DEPARTURES: usize = 4096;

/// Time after which a return that is not committed is proposed again.
const RETURN_RETRY_MS: u64 = 1000;

impl ReplicaState {
    /// Records when the document in force became known.
    pub(super) fn record_document(&mut self) {
        let (version, now_ms) = (self.control.document().version, self.now_ms());
        self.documents_known_ms.entry(version).or_insert(now_ms);
        if self.documents_known_ms.len() > MAX_KNOWN_DOCUMENTS {
            self.documents_known_ms.pop_first();
        }
    }

    /// When this instance, as the leader, first knew this version or a later one.
    fn document_known_ms(&self, version: DocumentVersion) -> u64 {
        let known_ms = self.documents_known_ms.range(version..).map(|(_, at)| *at);
        known_ms.min().unwrap_or(0).max(self.leader_since_ms)
    }

    /// Replies to a committed command; a change of the document or of the directory only once the
    /// processes have it.
    pub(super) fn acknowledge(&mut self, proposer: Proposer, reply: Reply) {
        match (proposer, reply) {
            (Proposer::Caller(sender), Reply::Applied(version)) => {
                let (awaited, held) = (
                    Awaited::Document(version),
                    HeldReply::Caller(sender, Reply::Applied(version)),
                );
                let known_ms = self.document_known_ms(version);
                self.acknowledgements.hold(awaited, known_ms, held);
            }
            (Proposer::Caller(sender), reply) => drop(sender.send(Ok(reply))),
            (Proposer::Target(target, sender), _) => self.hold_departure(target, sender),
            (Proposer::Leader, _) => {}
        }
    }

    /// Records that a run of a target gets no new requests, and replies once that is replicated
    /// and the gateways know it.
    pub(super) fn depart(
        &mut self,
        departure: Departure,
        sender: ReplySender<()>,
    ) -> Result<(), ActorProcessingErr> {
        let target = departure.target.clone();
        // A return that is committed next ends what is recorded now.
        let is_covered = self.control.departures().covers(&departure)
            && !self.proposed_returns.contains_key(&target);
        match is_covered {
            true => {
                self.hold_departure(target, sender);
                Ok(())
            }
            false => self.propose(Command::Depart(departure), Proposer::Target(target, sender)),
        }
    }

    /// Applies a committed departure to the cached targets and, on the leader, to the directory.
    pub(super) fn apply_departure(&mut self, departure: &Departure) {
        let now_ms = self.now_ms();
        self.recent_departures.learn(departure.clone(), now_ms);
        self.cache_changed |= self.cache.apply_departures(std::iter::once(departure));
        // Whether or not the lease holds at present: the tables serve the whole term.
        let has_tables = self.leader_term == self.core.term();
        match has_tables && self.core.role() == RoleName::Leader {
            false => {}
            true if departure.is_of_unknown_run() => {
                let until_ms = now_ms + LATE_MS;
                self.directory.withdraw_unknown(&departure.target, until_ms);
                self.has_updates = true;
            }
            true => self.has_updates |= self.directory.apply_departure(departure),
        }
    }

    /// Proposes the returns of runs that have been shown to be there.
    pub(super) fn propose_returns(&mut self) -> Result<(), ActorProcessingErr> {
        let now_ms = self.now_ms();
        for back in self.directory.take_returns() {
            let proposed_ms = self.proposed_returns.get(&back.target);
            if proposed_ms.is_none_or(|at_ms| now_ms >= at_ms + RETURN_RETRY_MS) {
                self.proposed_returns.insert(back.target.clone(), now_ms);
                self.propose(Command::Return(back), Proposer::Leader)?;
            }
        }
        Ok(())
    }

    /// Applies a committed return of a run.
    pub(super) fn apply_return(&mut self, back: &Return) {
        let now_ms = self.now_ms();
        self.proposed_returns.remove(&back.target);
        self.recent_departures.forget(back);
        let has_tables = self.leader_term == self.core.term();
        if !has_tables || self.core.role() != RoleName::Leader {
            return;
        }
        self.departed.remove(&back.target);
        if self.directory.apply_return(back, now_ms) {
            metrics::control_target_returned();
            tracing::warn!(
                target = %back.target, started_unix_ms = back.version.started_unix_ms,
                sequence = back.version.sequence,
                "control: target counted as leaving or gone, but goes on announcing itself; listed again"
            );
            self.has_updates = true;
        }
    }

    /// Removes a target from the directory, until the run shows that it is there.
    pub(super) fn withdraw(
        &mut self,
        target: &TargetName,
        sender: ReplySender<()>,
    ) -> Result<(), ActorProcessingErr> {
        let departure = self.directory.withdrawal(target);
        let is_listed = self.directory.lists(target);
        if is_listed {
            self.departed.remove(target);
        }
        // Gateways may list a target that this leader does not know.
        if !self.departed.contains_key(target) {
            self.directory.withdraw(target);
            let is_repeated = departure.as_ref().is_some_and(|departure| {
                let now_ms = self.now_ms();
                self.recent_departures
                    .has_earlier_withdrawal(departure, now_ms)
            });
            if is_repeated {
                self.directory.record_repeated_withdrawal(target);
            }
            tracing::info!(%target, is_listed, is_repeated, "control: target withdrawn");
            self.has_updates = true;
        }
        let unknown = || Departure::of_unknown_run(target.clone());
        self.depart(departure.unwrap_or_else(unknown), sender)
    }

    pub(super) fn hold_departure(&mut self, target: TargetName, sender: ReplySender<()>) {
        let known = (self.directory.revision(), self.now_ms());
        let departed = self.departed.entry(target.clone());
        let (revision, known_ms) = *departed.or_insert(known);
        if self.departed.len() > MAX_KNOWN_DEPARTURES {
            self.departed.pop_first();
        }
        let held = HeldReply::Target(target, sender);
        self.acknowledgements
            .hold(Awaited::Targets(revision), known_ms, held);
    }

    /// Records which revision of this term's directory a gateway has.
    pub(super) fn record_directory_seen(&mut self, request: &SyncRequest) {
        let term = FencingNumber(self.core.term().0);
        let seen = request.targets_seen.as_ref();
        let revision = seen.filter(|seen| seen.epoch.0 == term);
        let revision = revision.map_or(0, |seen| seen.revision);
        let name = request.member.name.clone();
        self.directory_seen.insert(name, revision);
    }

    /// Sends the acknowledgements that are due.
    pub(super) fn send_acknowledgements(&mut self, now_ms: u64) {
        if self.acknowledgements.is_empty() {
            return;
        }
        let statuses = self.members.statuses().into_iter();
        let directory_seen = &self.directory_seen;
        let progress = statuses.filter_map(|status| {
            let targets_revision = match status.member.role {
                ProcessRole::Gateway => {
                    let revision = directory_seen.get(&status.member.name);
                    Some(revision.copied().unwrap_or(0))
                }
                ProcessRole::Entry => None,
                ProcessRole::Agent => return None,
            };
            Some(Progress {
                document_version: status.document_version,
                targets_revision,
            })
        });
        let due = self
            .acknowledgements
            .take_due(progress, self.members_complete, now_ms);
        let is_complete = self.members_complete;
        for due in due {
            let Due {
                acknowledgement,
                awaited,
                known_for_ms,
                lacking,
            } = due;
            if lacking > 0 || !is_complete {
                metrics::control_acknowledged_early(acknowledgement.kind());
            }
            tracing::info!(
                change = acknowledgement.subject(), %awaited, term = self.leader_term.0, known_for_ms,
                lacking, is_complete, "control: change acknowledged"
            );
            acknowledgement.send();
        }
    }
}
