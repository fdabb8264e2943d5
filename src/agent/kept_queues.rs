//! Queues that an agent keeps for plain targets, by the name of the target.
//!
//! A queue exists while a gateway is connected to it, and for [`UNUSED_MS`] afterwards.

use crate::units::TargetName;
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

/// Time after the last gateway disconnected until a queue is removed. Its measured run times are
/// kept for gateways that return.
const UNUSED_MS: u64 = 10_000;

struct Kept<Q> {
    queue: Arc<Mutex<Q>>,
    used_ms: u64,
}

/// The queues; see the [module](self).
pub struct KeptQueues<Q>(Mutex<BTreeMap<TargetName, Kept<Q>>>);

impl<Q> Default for KeptQueues<Q> {
    fn default() -> Self {
        Self(Mutex::default())
    }
}

impl<Q> KeptQueues<Q> {
    /// Returns the queue of a target, which `create` makes if there is none.
    pub fn open(
        &self,
        target: &TargetName,
        now_ms: u64,
        create: impl FnOnce() -> Q,
    ) -> Arc<Mutex<Q>> {
        let mut queues = self.0.lock().expect("no holder panics");
        let kept = queues.entry(target.clone()).or_insert_with(|| {
            tracing::info!(%target, "agent: keeps the queue of a plain target");
            Kept {
                queue: Arc::new(Mutex::new(create())),
                used_ms: now_ms,
            }
        });
        kept.used_ms = now_ms;
        Arc::clone(&kept.queue)
    }

    /// Removes the queues that have not been used for a while, and returns the others.
    pub fn sweep(&self, now_ms: u64) -> Vec<(TargetName, Arc<Mutex<Q>>)> {
        let mut queues = self.0.lock().expect("no holder panics");
        queues.retain(|target, kept| {
            // Each link to the queue holds a reference.
            if Arc::strong_count(&kept.queue) > 1 {
                kept.used_ms = now_ms;
            }
            let is_used = now_ms < kept.used_ms + UNUSED_MS;
            if !is_used {
                tracing::info!(%target, "agent: removed the queue of a plain target");
            }
            is_used
        });
        let queues = queues.iter();
        queues
            .map(|(target, kept)| (target.clone(), Arc::clone(&kept.queue)))
            .collect()
    }
}
