//! Bootstraps the group, while this replica belongs to none.

use super::*;

/// Whether this replica is a founder: its settings say so, now or at an earlier start with
/// this disk. Without the sidecar file, instances that restart during the bootstrap would not
/// count as founders, and too few would be left to complete it.
pub(super) fn is_founder(storage: &Storage, instance_config: &InstanceConfig) -> bool {
    let is_marked = storage.read_sidecar(FOUNDER_SIDECAR).unwrap_or(false);
    if is_marked || !instance_config.may_bootstrap {
        return is_marked;
    }
    match storage.write_sidecar(FOUNDER_SIDECAR, &true) {
        Ok(()) => true,
        Err(error) => {
            tracing::warn!(%error, "control: failed to store the founder file; not a founder");
            false
        }
    }
}

impl ReplicaState {
    /// While this replica belongs to no group: invites the voters once
    /// [`Roster::bootstrap_step`] names them, and repeats the invitation until a majority of them
    /// has joined; then bootstraps the group. A single voter bootstraps it without an invitation.
    pub(super) fn bootstrap(&mut self) -> Result<(), ActorProcessingErr> {
        if !self.core.membership().is_empty() {
            return Ok(());
        }
        let now_ms = self.now_ms();
        let step = self.roster.bootstrap_step(now_ms);
        let snapshot = |voters| {
            let membership = Membership {
                voters,
                ..Membership::default()
            };
            Snapshot {
                index: BOOTSTRAP_INDEX,
                term: Term(0),
                membership,
                state: Bytes::new(),
            }
        };
        let chosen = match (&self.invited, step) {
            (Some(invited), _) => Some(invited.clone()),
            (None, BootstrapStep::Bootstrap(voters)) if voters.len() == 1 => Some(voters),
            (None, BootstrapStep::Invite(voters)) => {
                self.invited = Some(voters.clone());
                Some(voters)
            }
            (None, BootstrapStep::Bootstrap(_) | BootstrapStep::Wait) => None,
        };
        let Some(voters) = chosen else {
            return Ok(());
        };
        if self.roster.has_majority_in_group(&voters, now_ms) {
            tracing::info!(voters = voters.len(), "control: bootstrapped the group");
            self.step(Input::Found(snapshot(voters)))?;
        } else {
            let snapshot = snapshot(voters);
            self.peers.broadcast(&PeerMessage::Found { snapshot });
        }
        Ok(())
    }
}
