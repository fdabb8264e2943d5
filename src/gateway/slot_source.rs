//! Where a slot search asks for the slots of a target: at the agent beside a model target, or at
//! the agent that keeps the queue of a plain target.

use super::{
    admission_links::{AdmissionLinks, PendingSlotRequest, ReplySender},
    shared_queues::SharedQueues,
};
use crate::{control::directory::TargetEntry, grants::SlotRequest};
use std::net::SocketAddr;

/// Number of queues that a request for a model joins as soon as the first agent has no free slot,
/// and the maximum number.
const MODEL_QUEUES: (usize, usize) = (3, 12);
/// The same for plain targets. A request that is granted by several agents leaves a slot unused for
/// a round trip, which is a large part of a run of some 30 ms.
const PLAIN_QUEUES: (usize, usize) = (1, 2);

/// The agents that a search asks.
#[derive(Clone, Copy)]
pub enum SlotSource<'a> {
    /// The agent at the address of each target, with this port.
    OwnAgents(&'a AdmissionLinks, u16),
    /// The agent that keeps the queue of each target.
    Keepers(&'a SharedQueues),
}

impl SlotSource<'_> {
    /// Number of queues that a request joins at first, and the maximum number.
    pub fn queues(self) -> (usize, usize) {
        match self {
            Self::OwnAgents(..) => MODEL_QUEUES,
            Self::Keepers(_) => PLAIN_QUEUES,
        }
    }

    /// Asks the agent of a target whether it remembers a refusal; `None` if it remembers none, as
    /// keepers of queues do not.
    pub fn recall(
        self,
        target: &TargetEntry,
        fingerprint: u64,
        position: usize,
        replies: ReplySender,
    ) -> Option<PendingSlotRequest> {
        match self {
            Self::OwnAgents(links, port) => {
                let address = SocketAddr::new(target.address.ip(), port);
                Some(links.recall(address, fingerprint, position, replies))
            }
            Self::Keepers(_) => None,
        }
    }

    /// Reports a refusal to the agent of a target, which remembers it.
    pub fn remember(self, target: &TargetEntry, fingerprint: u64) {
        if let Self::OwnAgents(links, port) = self {
            links.remember(SocketAddr::new(target.address.ip(), port), fingerprint);
        }
    }

    /// Requests a slot of a target.
    pub fn request_slot(
        self,
        target: &TargetEntry,
        mut request: SlotRequest,
        position: usize,
        replies: ReplySender,
    ) -> PendingSlotRequest {
        match self {
            Self::OwnAgents(links, port) => {
                let address = SocketAddr::new(target.address.ip(), port);
                links.request_slot(address, request, position, replies)
            }
            Self::Keepers(queues) => {
                // The run time of a plain target does not depend on what the caller says of a prompt
                // and its answer.
                (request.work_units, request.prompt_tokens) = (1, 0);
                // The leader counts the requests to a plain target with a limit.
                request.limit = crate::request_limit::RequestLimit::default();
                queues.request_slot(&target.name, request, position, replies)
            }
        }
    }
}
