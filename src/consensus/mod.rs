//! Replicated log after Raft: a deterministic state machine and its storage.
//!
//! [`Core`] reads no clock and opens no socket. [`Core::step`] takes the time and
//! one input, and returns what to sync, then send, then apply.

mod core;
mod log;
mod membership;
mod message;
mod rules;
mod storage;

pub use self::{
    core::{Core, Effects, Input, Persist, ProposeError, RoleName, Timing},
    log::{Entry, HardState, Log, LogIndex, Payload, Snapshot, Term},
    membership::{Membership, MembershipChange, ReplicaId},
    message::Message,
    rules::{Rules, ShippedRules},
    storage::{RecoveredState, Storage, StorageError},
};
