//! The leader's duties: members, membership changes, limit leases and replies to renewals.

use super::*;

/// Maximum number of processes that are sent the document per tick, which bounds the time that
/// a tick spends on it: a leader with a third of a core can write this many within one tick.
const MAX_DOCUMENTS_PER_TICK: usize = 8;

impl ReplicaState {
    /// Runs the leader's periodic work: leases, membership, old claims.
    pub(super) fn lead(&mut self) -> Result<(), ActorProcessingErr> {
        let now_ms = self.now_ms();
        if self.check_lease().is_err() {
            self.quota_server.stop_charging();
            self.fail_pending_renewals();
            return Ok(());
        }
        self.compile_document();
        // In terms of the boot clock: `now_ms` is 1 at `started_ms`.
        let lease_expires_at_ms = self.started_ms + self.core.lease_expires_at_ms(now_ms) - 1;
        let reserved_ppm = self.demands.reserved_ppm(now_ms);
        self.quota_server
            .extend_lease(lease_expires_at_ms, reserved_ppm);
        let expired_members = self.members.expire(now_ms);
        self.demands.expire(now_ms);
        for name in &expired_members {
            self.demands.mark_silent(name);
            self.directory_seen.remove(name);
            tracing::warn!("control: removed {name}: no renewal for {MEMBER_LEASE_MS} ms");
        }
        let expired_targets = self.directory.expire(self.target_lease_ms, now_ms);
        for target in &expired_targets {
            tracing::warn!(
                %target, silent_ms = self.target_lease_ms,
                "control: target lease expired"
            );
        }
        let term_ms = now_ms - self.leader_since_ms;
        let members_completed = !self.members_complete && term_ms > MEMBERS_REBUILD_MS;
        let directory_completed =
            !self.directory_complete && term_ms > directory::DIRECTORY_REBUILD_MS;
        self.members_complete |= members_completed;
        self.directory_complete |= directory_completed;
        self.broadcast_directory(now_ms);
        let members = &self.members;
        self.has_updates |= self
            .suspects
            .tick(|| members.names(ProcessRole::Gateway), now_ms);
        self.has_updates |= members_completed
            || directory_completed
            || !expired_members.is_empty()
            || !expired_targets.is_empty();
        // Batched per tick: while many targets announce themselves, replying to each change
        // would wake every reader.
        if std::mem::take(&mut self.has_updates) {
            self.reply_to_changed();
        }
        self.reply_to_expired(now_ms);
        self.send_acknowledgements(now_ms);
        self.log_silent_voters(now_ms);
        self.repair_membership(now_ms)?;
        self.decide_rollouts()?;
        self.record_versions(now_ms)?;
        if now_ms >= self.claims_expired_ms + CLAIM_EXPIRY_INTERVAL_MS {
            self.claims_expired_ms = now_ms;
            let before_unix_ms = unix_ms().saturating_sub(CLAIM_RETENTION_MS);
            let command = postcard::to_stdvec(&Command::ExpireClaims { before_unix_ms })?;
            self.step(Input::Propose(vec![command.into()]))?;
        }
        Ok(())
    }

    /// Initializes the leader's tables once it has committed an entry of its term: it has then
    /// applied everything that its predecessors acknowledged.
    pub(super) fn begin_term(&mut self) {
        let leads = self.core.role() == RoleName::Leader && self.core.has_committed_in_term();
        if !leads || self.leader_term == self.core.term() {
            return;
        }
        let now_ms = self.now_ms();
        self.leader_term = self.core.term();
        self.leader_since_ms = now_ms;
        self.members_complete = false;
        self.directory_complete = false;
        self.members = ProcessTable::default();
        self.directory = Directory::from_announcements(self.cache.targets.clone(), now_ms);
        self.directory.set_services(NamedServices::of(&self.policy));
        for departure in self.control.departures().iter() {
            self.directory.apply_departure(departure);
        }
        for (target, until_ms) in self.recent_departures.late_until(now_ms) {
            self.directory.withdraw_unknown(target, until_ms);
        }
        self.departed.clear();
        self.proposed_returns.clear();
        self.directory_seen.clear();
        self.demands = DemandTable::new(self.cache.gateways, now_ms);
        // If no instance has led since this one started, no quota was charged meanwhile.
        let idle_ms = if self.had_leader { 0 } else { now_ms };
        self.quota_server
            .start_term(self.quota_tolerance_per_s, idle_ms);
        self.had_leader = true;
        self.limits = Limits::new(now_ms);
        self.suspects = Suspects::default();
        self.rollouts.begin_term();
        self.version_tracker
            .begin_term(self.control.versions(), now_ms);
        metrics::control_leadership_started();
        tracing::info!(term = self.leader_term.0, "control: became leader");
    }

    /// Logs which voters are silent: the group bears fewer further losses until they are back or
    /// replaced.
    fn log_silent_voters(&mut self, now_ms: u64) {
        let membership = self.core.membership();
        let silent = self.roster.silent_voters(membership, now_ms);
        if silent != self.silent_voters {
            let names: Vec<String> = silent.iter().map(ToString::to_string).collect();
            let voters = membership.voters.len();
            tracing::warn!(
                voters,
                silent = names.join(" "),
                "control: silent voters changed"
            );
            self.set_silent_voters(silent);
        }
    }

    /// Forgets which voters are silent: only the leader tells.
    pub(super) fn clear_silent_voters(&mut self) {
        if !self.silent_voters.is_empty() {
            self.set_silent_voters(BTreeSet::new());
        }
    }

    fn set_silent_voters(&mut self, silent: BTreeSet<ReplicaId>) {
        metrics::control_silent_voters(silent.len() as u64);
        self.silent_voters = silent;
    }

    /// Proposes the next membership change that the group needs, if any.
    pub(super) fn repair_membership(&mut self, now_ms: u64) -> Result<(), ActorProcessingErr> {
        let change = self.roster.next_membership_change(
            self.core.membership(),
            &self.core.caught_up_learners(),
            now_ms,
        );
        if let Some(change) = change
            && self.step(Input::Change(change.clone()))?.is_none()
        {
            tracing::info!(?change, "control: changing the group's membership");
        }
        Ok(())
    }

    /// Broadcasts the directory and the number of gateways to the other replicas, so that the
    /// next leader starts with them.
    fn broadcast_directory(&mut self, now_ms: u64) {
        if now_ms < self.directory_sent_ms + CACHED_STATE_INTERVAL_MS {
            return;
        }
        let epoch = (FencingNumber(self.leader_term.0), true);
        let changes = self.directory.changes(self.directory_sent.as_ref(), epoch);
        // Until all gateways had time to renew, the previous leader's count is more accurate.
        let gateways = match self.members_complete {
            true => self.demands.share_holders(now_ms),
            false => self.cache.gateways,
        };
        if changes.is_none() && gateways == self.cache.gateways {
            return;
        }
        if let Some(changes) = changes {
            self.directory_sent = Some(changes.seen);
            self.cache.targets = self.directory.announcements();
        }
        self.directory_sent_ms = now_ms;
        self.cache.gateways = gateways;
        self.cache_changed = true;
        let targets = self.cache.targets.clone();
        self.peers
            .broadcast(&PeerMessage::Directory { targets, gateways });
    }

    /// Processes a target's announcement.
    pub(super) fn receive_announcement(
        &mut self,
        announcement: TargetAnnouncement,
        sender: ReplySender<()>,
    ) -> Result<(), ActorProcessingErr> {
        if let Err(error) = self.check_leading() {
            // An instance that lost its cache forwards the announcement to those that still have
            // theirs.
            if self.core.leader().is_none() {
                self.cache_target(announcement.clone());
                self.peers.broadcast(&PeerMessage::Heard(announcement));
            }
            let _ = sender.send(Err(error));
            return Ok(());
        }
        if self.directory.yields(&announcement.entry) {
            let TargetEntry {
                name,
                service,
                address,
                ..
            } = &announcement.entry;
            metrics::control_yielding_announcement();
            tracing::info!(
                target = %name, %service, %address,
                "control: announcement ignored, its service is not in the document"
            );
            drop(sender.send(Ok(())));
            return Ok(());
        }
        let departure = announcement.departure();
        let is_named = self.directory.names_service_of(&announcement.entry);
        self.announce(announcement);
        self.propose_returns()?;
        match departure {
            // Nothing is sent to it, and another writer may name any number of such targets.
            Some(departure) if !is_named => self.hold_departure(departure.target, sender),
            Some(departure) if !self.directory.has_departed(&departure.target) => {
                tracing::warn!(
                    target = %departure.target,
                    started_unix_ms = departure.version.started_unix_ms,
                    "control: departure refused, a later start is listed"
                );
                drop(sender.send(Err(ControlError::LaterStartListed)));
            }
            Some(departure) => self.depart(departure, sender)?,
            None => drop(sender.send(Ok(()))),
        }
        Ok(())
    }

    /// Records a target's announcement in the directory.
    pub(super) fn announce(&mut self, announcement: TargetAnnouncement) {
        metrics::control_announcement();
        let now_ms = self.now_ms();
        let TargetAnnouncement { entry, sequence } = announcement.clone();
        if !announcement.entry.leaving {
            self.departed.remove(&announcement.entry.name);
        }
        if self.directory.announce(announcement, now_ms) {
            tracing::info!(
                target = %entry.name, service = %entry.service, address = %entry.address,
                sequence, started_unix_ms = entry.started_unix_ms, leaving = entry.leaving,
                "control: target changed"
            );
            self.has_updates = true;
        }
    }

    /// Records the limits of targets that a gateway reports.
    fn report_limits(&mut self, gateway: &ProcessName, reports: &[LimitReport]) {
        for report in reports {
            if self.directory.report_limit(report) {
                let limit_per_s = report
                    .limit
                    .rate
                    .map_or("none".into(), |rate| rate.to_string());
                tracing::info!(
                    target = %report.target, started_unix_ms = report.started_unix_ms, limit_per_s,
                    version = report.limit.version, %gateway, "control: limit of target changed"
                );
                self.has_updates = true;
            }
        }
    }

    /// Records what a gateway reports of parts that are suspected to crash targets.
    fn report_suspects(&mut self, reports: &SuspectReports, now_ms: u64) {
        let is_complete = self.members_complete;
        if self
            .suspects
            .report(reports, is_complete, now_ms, unix_ms())
        {
            metrics::control_blocked_parts(self.suspects.blocked() as u64);
            self.has_updates = true;
        }
    }

    pub(super) fn fail_pending_renewals(&mut self) {
        let error = self.not_leader_error();
        self.rollouts.fail_pending(&error);
        for request in std::mem::take(&mut self.pending_limits) {
            let _ = request.sender.send(Err(self.not_leader_error()));
        }
        for pending in std::mem::take(&mut self.pending_renewals) {
            let _ = pending.sender.send(Err(self.not_leader_error()));
        }
    }

    pub(super) fn renew(&mut self, request: SyncRequest, sender: ReplySender<SyncReply>) {
        if let Err(error) = self.check_lease() {
            let _ = sender.send(Err(error));
            return;
        }
        let now_ms = self.now_ms();
        if self.leader_term != self.core.term() {
            let _ = sender.send(Err(ControlError::Unresolved));
            return;
        }
        let changed = match request.goodbye {
            true => {
                self.members.remove(&request.member.name);
                self.directory_seen.remove(&request.member.name);
                self.demands.remove(&request.member.name);
                true
            }
            false => {
                if request.member.role == ProcessRole::Gateway {
                    self.record_directory_seen(&request);
                    let (name, demand) = (request.member.name.clone(), request.demand.clone());
                    self.demands.report(name, demand, now_ms);
                    self.report_limits(&request.member.name, &request.limits);
                    self.report_suspects(&request.suspects, now_ms);
                    self.report_rollouts(&request);
                }
                let status = ProcessStatus {
                    member: request.member.clone(),
                    document_version: request.document_version,
                    load: request.load.clone(),
                };
                self.members.renew(status, now_ms)
            }
        };
        let (reply, has_changes) = self.reply_to(&request, now_ms);
        if has_changes || request.wait_ms == 0 {
            Self::send_reply(sender, reply);
        } else {
            self.pending_renewals.push(PendingRenewal {
                request,
                sender,
                arrived_ms: now_ms,
            });
        }
        self.has_updates |= changed;
    }

    /// Grants limit leases on the contracts of the document in force, once it is compiled.
    pub(super) fn request_limits(&mut self, request: LimitRequest) {
        match self.policy_version == self.control.document().version {
            true => self.grant_limits(request),
            false => self.pending_limits.push(request),
        }
    }

    fn grant_limits(&mut self, request: LimitRequest) {
        let LimitRequest {
            entry,
            wants,
            sender,
        } = request;
        let now_ms = self.now_ms();
        let grants = self.check_lease().map(|()| {
            let (policy, limits) = (&self.policy, &mut self.limits);
            let grants = wants.iter().filter_map(|want| {
                let contract = policy.contract(&want.customer)?;
                Some(limits.grant(&entry, want, contract, now_ms))
            });
            grants.collect()
        });
        let _ = sender.send(grants);
    }

    /// Compiles the document in force on another thread: a long one takes so long that the lease
    /// would expire meanwhile.
    pub(super) fn compile_document(&mut self) {
        let document = self.control.document();
        if self.compiling_version == document.version {
            return;
        }
        self.compiling_version = document.version;
        let (version, yaml) = (document.version, document.yaml.clone());
        let myself = self.myself.clone();
        tokio::task::spawn_blocking(move || {
            let policy = Policy::compile(version, &yaml).map_err(|errors| {
                // Documents are validated before they are accepted, but possibly by an older
                // version of this program.
                tracing::error!(
                    %version, faults = %errors,
                    "control: failed to compile the document; the previous limits stay in force"
                );
            });
            let compiled = ReplicaMessage::Compiled(version, policy.ok().map(Arc::new));
            if let Err(error) = myself.cast(compiled) {
                tracing::debug!(%error, "control: stops, a compiled document is not used");
            }
        });
    }

    /// Applies the quotas and contracts of a compiled document; `None` if it failed to compile.
    pub(super) fn apply_policy(&mut self, version: DocumentVersion, policy: Option<Arc<Policy>>) {
        if version < self.policy_version {
            return;
        }
        self.policy_version = version;
        if let Some(policy) = policy {
            self.quota_server.set_policy(Arc::clone(&policy));
            self.directory.set_services(NamedServices::of(&policy));
            self.policy = policy;
        }
        self.start_pending_rollouts();
        for request in std::mem::take(&mut self.pending_limits) {
            self.request_limits(request);
        }
    }

    /// The reply to a renewal, and whether it contains any change for the process.
    pub(super) fn reply_to(&self, request: &SyncRequest, arrived_ms: u64) -> (SyncReply, bool) {
        let document = self.control.document();
        let document = (document.version != request.document_version).then(|| AcceptedDocument {
            source: None,
            ..document.clone()
        });
        let fencing = FencingNumber(self.core.term().0);
        let epoch = (fencing, self.members_complete);
        let members = match request.members_wanted {
            true => self.members.changes(request.members_seen.as_ref(), epoch),
            false => None,
        };
        let is_gateway = request.member.role == ProcessRole::Gateway;
        let targets = match is_gateway {
            true => {
                let epoch = (fencing, self.directory_complete);
                self.directory.changes(request.targets_seen.as_ref(), epoch)
            }
            false => None,
        };
        let suspects = match is_gateway {
            true => {
                let epoch = (fencing, self.members_complete);
                self.suspects.changes(request.suspects_seen.as_ref(), epoch)
            }
            false => None,
        };
        let rollouts = match is_gateway {
            true => self.rollouts_after(request.rollouts_seen),
            false => Vec::new(),
        };
        let versions = match is_gateway {
            true => self.control.versions().clone(),
            false => ServiceVersions::default(),
        };
        let shares = is_gateway && self.members_complete;
        let shares = shares.then(|| self.demands.shares_of(&request.member.name, self.now_ms()));
        // An agent has the same name as its target.
        let target = TargetName(request.member.name.0.clone());
        let orders = self
            .control
            .orders()
            .get(&target)
            .cloned()
            .unwrap_or_default();
        let has_changes = document.is_some()
            || members.is_some()
            || targets.is_some()
            || suspects.is_some()
            || !rollouts.is_empty()
            || orders != request.orders;
        (
            SyncReply {
                held_ms: self.now_ms().saturating_sub(arrived_ms),
                fencing,
                document,
                members,
                orders,
                targets,
                suspects,
                rollouts,
                versions,
                shares,
                accounts: Some(self.accounts_address),
                control: self.roster.rpc_addresses(self.now_ms()),
            },
            has_changes,
        )
    }

    fn send_reply(sender: ReplySender<SyncReply>, reply: SyncReply) {
        // A process that disconnected renews on another connection.
        let _ = sender.send(Ok(reply));
    }

    /// Replies to pending renewals for which there is a change. Documents are long, so only some
    /// are sent per tick and other replies go out between them.
    pub(super) fn reply_to_changed(&mut self) {
        if self.check_lease().is_err() {
            return;
        }
        let (version, mut documents) = (self.control.document().version, 0);
        for pending in std::mem::take(&mut self.pending_renewals) {
            let lacks_document = pending.request.document_version != version;
            documents += usize::from(lacks_document);
            if lacks_document && documents > MAX_DOCUMENTS_PER_TICK {
                self.has_updates = true;
                self.pending_renewals.push(pending);
                continue;
            }
            match self.reply_to(&pending.request, pending.arrived_ms) {
                (reply, true) => Self::send_reply(pending.sender, reply),
                (_, false) => self.pending_renewals.push(pending),
            }
        }
    }

    /// Replies to pending renewals that have reached their maximum wait.
    pub(super) fn reply_to_expired(&mut self, now_ms: u64) {
        for pending in std::mem::take(&mut self.pending_renewals) {
            match pending.deadline_ms() <= now_ms {
                true => {
                    let (reply, _) = self.reply_to(&pending.request, pending.arrived_ms);
                    Self::send_reply(pending.sender, reply);
                }
                false => self.pending_renewals.push(pending),
            }
        }
    }

    pub(super) fn status(&self) -> StatusReply {
        let membership = self.core.membership();
        let matches = self.core.match_indexes();
        let own_index = self.core.log().last_index();
        let replicas = membership
            .voters
            .iter()
            .chain(&membership.learners)
            .map(|id| {
                let match_index = matches.get(id).copied().unwrap_or(own_index).0;
                let voter = membership.voters.contains(id);
                ReplicaStatus {
                    id: id.to_string(),
                    voter,
                    match_index,
                }
            });
        StatusReply {
            leader: self.core.id().to_string(),
            term: FencingNumber(self.core.term().0),
            commit_index: self.core.commit_index().0,
            replicas: replicas.collect(),
            document_version: self.control.document().version,
            claims: self.control.claim_count() as u64,
            orders: self.control.orders().clone().into_iter().collect(),
            processes: self.members.statuses(),
            targets: self.directory.targets(),
        }
    }
}
