//! Catches up with the control group while the leader does not renew a view: asks every control
//! instance at once for what was committed, and finds the next leader.
//!
//! What is committed may be merged from any instance in any order: departures and versions of the
//! document only grow. Everything else of a view comes from leaders alone.
//!
//! | view | asked |
//! |---|---|
//! | confirmed by a leader less than [`MAX_RENEWAL_AGE_MS`] ago | nobody |
//! | confirmed longer ago | all, for what was committed since, with [`MARGIN_MS`] |
//! | never confirmed, with a cached document | all, first for everything, then for the latest |
//! | never confirmed, without a document | nobody: the process has yet to fetch one |

use super::{
    View, ViewUpdate, document_choice,
    peek::{self, PeekTask},
};
use crate::{
    clock,
    control::{ControlClient, departures::Departure, rpc::*, state::AcceptedDocument},
    rollout::Rollout,
    units::*,
};
use arc_swap::ArcSwap;
use jsonrpsee::http_client::HttpClient;
use ractor::ActorRef;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::sync::{Notify, mpsc};

/// Age from which a view counts as one that the leader does not renew: leaders hold renewals for
/// less.
pub const MAX_RENEWAL_AGE_MS: u64 = 1000;
/// Time added to the age of a view: an instance learns of a commit later than the leader.
pub const MARGIN_MS: u64 = 1000;
/// Time for which a view that no leader has confirmed is caught up after the first time.
pub const UNCONFIRMED_AGE_MS: u64 = 5000;
/// Interval at which the age of the view is checked, and first interval between two calls.
const INTERVAL_MS: u64 = 200;
/// Maximum interval between two calls, which grows by half each time: many processes may lose the
/// same leader.
const MAX_INTERVAL_MS: u64 = 1000;
/// Timeout of one call.
const CALL_TIMEOUT_MS: u64 = 300;

/// The age that instances are asked for, or `None` if nobody is asked.
pub fn asked_age_ms(view_age_ms: Option<u64>, has_document: bool, has_asked: bool) -> Option<u64> {
    match view_age_ms {
        Some(age_ms) if age_ms < MAX_RENEWAL_AGE_MS => None,
        Some(age_ms) => Some(age_ms.saturating_add(MARGIN_MS)),
        None if !has_document => None,
        None if has_asked => Some(UNCONFIRMED_AGE_MS),
        None => Some(u64::MAX),
    }
}

/// Catches up as long as the process runs.
pub(super) struct CatchUpTask {
    pub(super) client: Arc<ControlClient>,
    pub(super) view: Arc<ArcSwap<View>>,
    /// Restarts the renewal at the leader that was found.
    pub(super) leader_found: Arc<Notify>,
}

impl CatchUpTask {
    pub(super) async fn run(self, actor: ActorRef<ViewUpdate>) {
        let (mut has_asked, mut interval_ms) = (false, INTERVAL_MS);
        loop {
            tokio::time::sleep(Duration::from_millis(interval_ms)).await;
            let view = self.view.load();
            let view_age_ms = view.age_ms(clock::boot_ms());
            let version = view.policy.version;
            drop(view);
            let age_ms = asked_age_ms(view_age_ms, version > DocumentVersion(0), has_asked);
            match age_ms {
                None if has_asked => {
                    tracing::info!("view: confirmed by a leader again");
                    (has_asked, interval_ms) = (false, INTERVAL_MS);
                }
                None => {}
                Some(age_ms) => {
                    if !has_asked {
                        tracing::warn!(
                            view_age_ms,
                            "view: not confirmed, asking all control instances"
                        );
                    }
                    self.ask_all(age_ms, version, &actor).await;
                    interval_ms = match has_asked {
                        true => (interval_ms * 3 / 2).min(MAX_INTERVAL_MS),
                        false => interval_ms,
                    };
                    has_asked = true;
                }
            }
        }
    }

    /// Asks all instances and merges each reply as it arrives, then fetches later documents.
    async fn ask_all(&self, age_ms: u64, version: DocumentVersion, actor: &ActorRef<ViewUpdate>) {
        let (sender, mut replies) = mpsc::unbounded_channel();
        let call = |client: HttpClient| async move { client.catch_up(age_ms).await };
        let asking = self.client.call_each(
            CALL_TIMEOUT_MS,
            call,
            // Owns the sender: the channel closes after the last reply.
            move |address: SocketAddr, client: HttpClient, reply: CatchUpReply| {
                self.client.add_discovered(&reply.control);
                // A renewal that waits for this very instance is not cut short: it may be on its way.
                if reply.leads && self.client.prefer(address) {
                    tracing::info!(%address, "view: a leader is found");
                    self.leader_found.notify_one();
                }
                let _ = sender.send((client, reply));
            },
        );
        let merging = async {
            let (mut clients, mut holdings) = (Vec::new(), Vec::new());
            while let Some((client, reply)) = replies.recv().await {
                merge_committed(reply.departures, reply.rollouts, None, actor).await;
                clients.push(client);
                holdings.push(reply.holding);
            }
            (clients, holdings)
        };
        let ((), (clients, holdings)) = tokio::join!(asking, merging);
        let newest = clients.iter().zip(&holdings);
        let newest = newest.max_by_key(|(_, holding)| holding.committed);
        let (newest, mut pending) = match newest {
            Some((client, holding)) if holding.committed > version => {
                match PeekTask::fetch(client, PeekScope::Document).await {
                    Some(reply) => (Some(reply.known.document), reply.pending),
                    None => return,
                }
            }
            _ => (None, Vec::new()),
        };
        let base = newest.as_ref().map_or(version, |newest| newest.version);
        let mut possible = document_choice::later(&holdings, base);
        let view = self.view.load();
        for policy in &view.possible_policies {
            possible.remove(&policy.version);
        }
        drop(view);
        pending.retain(|document| possible.contains(&document.version));
        let holders = clients.iter().zip(&holdings);
        let possible = peek::fetch_possible(&possible, pending, holders).await;
        merge_possible(possible.unwrap_or_default(), actor).await;
        if let Some(document) = newest {
            tracing::info!(version = %document.version, "view: fetched a newer document");
            merge_committed(Vec::new(), Vec::new(), Some(document), actor).await;
        }
    }
}

async fn merge_committed(
    departures: Vec<Departure>,
    rollouts: Vec<Rollout>,
    document: Option<AcceptedDocument>,
    actor: &ActorRef<ViewUpdate>,
) {
    let merged = ractor::call!(actor, |done| ViewUpdate::Committed {
        departures,
        rollouts,
        document,
        possible: Vec::new(),
        done
    });
    if let Err(error) = merged {
        tracing::warn!(%error, "view: failed to merge what is committed");
    }
}

pub(super) async fn merge_possible(possible: Vec<AcceptedDocument>, actor: &ActorRef<ViewUpdate>) {
    if possible.is_empty() {
        return;
    }
    let merged = ractor::call!(actor, |done| ViewUpdate::Committed {
        departures: Vec::new(),
        rollouts: Vec::new(),
        document: None,
        possible,
        done
    });
    if let Err(error) = merged {
        tracing::warn!(%error, "view: failed to merge documents that may be in force");
    }
}
