//! Decides which document a process serves by that no leader has confirmed, from what control
//! instances hold. Pure: no I/O and no clock.
//!
//! A document that was acknowledged is in the logs of a majority of the voters, but possibly only
//! the leader that is lost knew that it was committed. So the newest document that is known to be
//! committed may be outdated, and a later one in a log may be in force.
//!
//! | instances that replied | others have yet to reply | choice |
//! |---|---|---|
//! | none has a document | any | none |
//! | a majority of the voters | any | the newest committed document |
//! | fewer | yes | none yet |
//! | fewer | no | the newest committed document |
//!
//! In both rows with a choice, later documents in the logs of those that replied may be in force.
//! After fewer replies than a majority nobody can tell whether there is a later one; the process
//! serves on, as it does while it is cut off.

use crate::{consensus::ReplicaId, control::rpc::DocumentHolding, units::DocumentVersion};
use std::collections::BTreeSet;

/// The documents to fetch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentChoice {
    /// The document to serve by.
    pub committed: DocumentVersion,
    /// Later ones, each of which may be in force.
    pub possible: BTreeSet<DocumentVersion>,
}

/// Chooses the document; `are_complete` tells whether no other instance is going to reply.
/// Returns `None` if more replies are needed, or if there is no document.
pub fn choose(holdings: &[DocumentHolding], are_complete: bool) -> Option<DocumentChoice> {
    let newest = holdings.iter().map(|holding| holding.committed).max();
    let committed = newest.filter(|version| *version > DocumentVersion(0))?;
    (are_complete || have_majority(holdings)).then(|| DocumentChoice {
        committed,
        possible: later(holdings, committed),
    })
}

/// The documents later than this version that may be in force.
pub fn later(holdings: &[DocumentHolding], than: DocumentVersion) -> BTreeSet<DocumentVersion> {
    let pending = holdings.iter().flat_map(|holding| &holding.pending);
    pending.copied().filter(|version| *version > than).collect()
}

/// Whether those that replied are a majority of the voters, whichever of them knows the latest
/// voters.
fn have_majority(holdings: &[DocumentHolding]) -> bool {
    let replied: BTreeSet<ReplicaId> = holdings.iter().map(|holding| holding.replica).collect();
    let mut groups = holdings
        .iter()
        .map(|holding| &holding.voters)
        .filter(|voters| !voters.is_empty())
        .peekable();
    groups.peek().is_some()
        && groups.all(|voters| voters.intersection(&replied).count() > voters.len() / 2)
}
