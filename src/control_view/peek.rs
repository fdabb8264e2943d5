//! Fetches the state that control instances cache, so that a gateway serves without a leader.

use super::{
    View, ViewUpdate, catch_up,
    document_choice::{self, DocumentChoice},
};
use crate::{
    control::{
        ControlClient, directory::TargetChanges, rpc::*, shares::Shares, state::AcceptedDocument,
        table::Position,
    },
    units::*,
};
use arc_swap::ArcSwap;
use jsonrpsee::http_client::HttpClient;
use ractor::ActorRef;
use std::{
    collections::BTreeSet,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

/// Timeout of the query for the document version that each control instance has cached.
const PEEK_TIMEOUT_MS: u64 = 300;
/// Timeout of the transfer of the cached state from one instance.
const FETCH_TIMEOUT_MS: u64 = 1500;
/// Initial backoff after a query that found no document; grows by half each time.
const PEEK_BACKOFF_MS: u64 = 50;
/// Maximum backoff between queries; bounded as many processes may query a group that has no
/// document yet.
const MAX_PEEK_BACKOFF_MS: u64 = 250;
/// Interval between queries of the targets while there is no leader.
const TARGETS_PEEK_INTERVAL_MS: u64 = 300;

/// Fetches the cached state of any control instance, so that requests are served without a
/// leader.
pub(super) struct PeekTask {
    pub(super) client: Arc<ControlClient>,
    pub(super) view: Arc<ArcSwap<View>>,
}

impl PeekTask {
    /// Runs until the leader has renewed the view. Queries all instances for the versions that they
    /// hold, then fetches the chosen documents and the rest of the cached state, which are long.
    /// Fetches the targets repeatedly, as they may restart at their addresses until there is a
    /// leader.
    pub(super) async fn run(self, actor: ActorRef<ViewUpdate>) {
        let mut delay_ms = PEEK_BACKOFF_MS;
        loop {
            let view = self.view.load();
            if view.valid_until_ms > 0 {
                return;
            }
            let wanted = match view.policy.version {
                DocumentVersion(0) => PeekScope::All,
                _ => PeekScope::Targets,
            };
            drop(view);
            let found_instances = AtomicBool::new(false);
            let replies = self.client.call_until(
                PEEK_TIMEOUT_MS,
                |client| async move { client.peek(PeekScope::Version).await },
                |replies: &[(HttpClient, PeekReply)]| {
                    let newest = replies.last().map(|(_, reply)| &reply.control[..]);
                    let is_new = self.client.add_discovered(newest.unwrap_or_default());
                    found_instances.fetch_or(is_new, Ordering::Relaxed);
                    document_choice::choose(&holdings(replies), false).is_some()
                },
            );
            let replies = replies.await;
            // Instances that have just been found are queried before one that may be behind is
            // believed. Instances without a disk have no document after a restart, but return the
            // addresses of others.
            let are_complete = !found_instances.load(Ordering::Relaxed);
            match document_choice::choose(&holdings(&replies), are_complete) {
                Some(choice) if Self::use_choice(&choice, wanted, &replies, &actor).await => {
                    delay_ms = TARGETS_PEEK_INTERVAL_MS;
                }
                None if !are_complete => {
                    delay_ms = PEEK_BACKOFF_MS;
                    continue;
                }
                Some(_) | None => delay_ms = (delay_ms * 3 / 2).min(MAX_PEEK_BACKOFF_MS),
            }
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
    }

    /// Fetches the chosen documents and merges them with the cached state; returns false if one of
    /// them cannot be had.
    async fn use_choice(
        choice: &DocumentChoice,
        wanted: PeekScope,
        replies: &[(HttpClient, PeekReply)],
        actor: &ActorRef<ViewUpdate>,
    ) -> bool {
        let holder = replies
            .iter()
            .find(|(_, reply)| reply.holding.committed == choice.committed);
        let fetched = match holder {
            Some((client, _)) => Self::fetch(client, wanted).await,
            None => None,
        };
        let Some(PeekReply { known, pending, .. }) = fetched else {
            return false;
        };
        if wanted == PeekScope::All {
            let holders = replies.iter();
            let holders = holders.map(|(client, reply)| (client, &reply.holding));
            let possible = fetch_possible(&choice.possible, pending, holders).await;
            let Some(possible) = possible else {
                return false;
            };
            catch_up::merge_possible(possible, actor).await;
        }
        Self::use_cached_state(known, actor).await;
        true
    }

    pub(super) async fn fetch(client: &HttpClient, wanted: PeekScope) -> Option<PeekReply> {
        let call = client.peek(wanted);
        let outcome = tokio::time::timeout(Duration::from_millis(FETCH_TIMEOUT_MS), call).await;
        match outcome {
            Ok(Ok(reply)) => Some(reply),
            Ok(Err(error)) => {
                tracing::info!(%error, "view: failed to fetch a control instance's cached state");
                None
            }
            Err(_) => {
                tracing::info!(
                    waited_ms = FETCH_TIMEOUT_MS,
                    "view: timed out fetching a control instance's cached state"
                );
                None
            }
        }
    }

    async fn use_cached_state(cached: CachedState, actor: &ActorRef<ViewUpdate>) {
        let version = cached.document.version;
        let target_count = cached.targets.len();
        let targets = cached.targets.into_iter().map(|target| target.entry);
        let shares = Shares {
            gateways: cached.gateways,
            ..Shares::default()
        };
        let reply = SyncReply {
            shares: Some(shares),
            document: Some(cached.document)
                .filter(|document| document.version > DocumentVersion(0)),
            rollouts: cached.rollouts,
            versions: cached.versions,
            targets: Some(TargetChanges {
                seen: Position::default(),
                whole: true,
                present: targets.collect(),
                removed: Vec::new(),
            }),
            ..SyncReply::default()
        };
        let merged = ractor::call!(actor, |done| ViewUpdate::Reply {
            reply: Box::new(reply),
            sent_ms: None,
            done
        });
        match merged {
            Ok(()) => tracing::info!(
                %version, targets = target_count, "view: using a control instance's cached state"
            ),
            Err(error) => tracing::warn!(%error, "view: failed to merge the cached state"),
        }
    }
}

fn holdings(replies: &[(HttpClient, PeekReply)]) -> Vec<DocumentHolding> {
    let holdings = replies.iter().map(|(_, reply)| reply.holding.clone());
    holdings.collect()
}

/// Fetches the documents of these versions that are not among the known ones; `None` if one of them
/// cannot be had.
pub(super) async fn fetch_possible(
    wanted: &BTreeSet<DocumentVersion>,
    mut known: Vec<AcceptedDocument>,
    holders: impl Iterator<Item = (&HttpClient, &DocumentHolding)>,
) -> Option<Vec<AcceptedDocument>> {
    let lacks = |known: &[AcceptedDocument], version: &DocumentVersion| {
        known.iter().all(|document| document.version != *version)
    };
    for (client, holding) in holders {
        let is_useful = |version: &&DocumentVersion| {
            lacks(&known, version) && holding.pending.contains(version)
        };
        if wanted.iter().any(|version| is_useful(&version))
            && let Some(reply) = PeekTask::fetch(client, PeekScope::Document).await
        {
            known.extend(reply.pending);
            // Committed meanwhile.
            known.push(reply.known.document);
        }
    }
    let missing = wanted.iter().filter(|version| lacks(&known, version));
    let missing: Vec<String> = missing.map(ToString::to_string).collect();
    if !missing.is_empty() {
        tracing::warn!(
            versions = missing.join(" "),
            "view: documents that may be in force cannot be had"
        );
        return None;
    }
    known.retain(|document| wanted.contains(&document.version));
    Some(known)
}
