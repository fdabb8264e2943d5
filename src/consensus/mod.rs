//! The replicated log: a pure step function and the file it is kept in.
//!
//! Nothing here reads a clock or opens a socket. [`Core::step`] takes the time
//! and one input, and returns what must be synced, then sent, then applied.

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
    rules::{Rules, Sound},
    storage::{Durable, Storage, StorageError},
};
