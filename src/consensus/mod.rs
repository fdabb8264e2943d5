//! Raft consensus with pre-votes, a leader lease and membership changes of one replica at a
//! time: a deterministic state machine without I/O, and its storage.
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
    rules::{ProductionRules, Rules},
    storage::{RecoveredState, Storage, StorageError},
};
