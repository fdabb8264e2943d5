//! What a replica does until it belongs to a group.

use super::*;

/// Whether this replica is one of the founders: it was told so, now or at an earlier start
/// with this disk. Otherwise instances that restart in the middle of the founding would not
/// count as founders, and too few would be left to found the group.
pub(super) fn may_found(storage: &Storage, identity: &Identity) -> bool {
    let noted = storage.read_note(FOUNDER_NOTE).unwrap_or(false);
    if noted || !identity.may_found {
        return noted;
    }
    match storage.write_note(FOUNDER_NOTE, &true) {
        Ok(()) => true,
        Err(error) => {
            tracing::warn!(%error, "control: cannot note that this instance is a founder, so it is none");
            false
        }
    }
}

impl ReplicaState {
    /// Founds the group once all its founders are present and none belongs to one.
    pub(super) fn found(&mut self) -> Result<(), ActorProcessingErr> {
        if !self.core.membership().is_empty() {
            return Ok(());
        }
        let now_ms = self.now_ms();
        let founding = self.roster.founding(now_ms);
        let snapshot = |voters| {
            let membership = Membership {
                voters,
                ..Membership::default()
            };
            Snapshot {
                index: FOUNDING_INDEX,
                term: Term(0),
                membership,
                state: Bytes::new(),
            }
        };
        let found = match (&self.invited, founding) {
            (Some(invited), _) => Some(invited.clone()),
            (None, Founding::Found(voters)) if voters.len() == 1 => Some(voters),
            (None, Founding::Invite(voters)) => {
                self.invited = Some(voters.clone());
                Some(voters)
            }
            (None, Founding::Found(_) | Founding::Wait) => None,
        };
        let Some(voters) = found else {
            return Ok(());
        };
        if self.roster.most_in_group(&voters, now_ms) {
            tracing::info!(voters = voters.len(), "control: founded the group");
            self.step(Input::Found(snapshot(voters)))?;
        } else {
            let snapshot = snapshot(voters);
            self.peers.broadcast(&PeerMessage::Found { snapshot });
        }
        Ok(())
    }
}
