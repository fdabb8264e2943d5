//! The agents beside a target: admission control, at-most-once dispatch and request outcomes.
//!
//! Two programs run as agents. An [`Agent`] serves entries and is their only path to its target:
//! it queues requests, grants slots, dispatches each attempt at most once and records its outcome.
//! An [`AdmissionAgent`] serves gateways, which call the target themselves: it only grants slots.

mod admission;
mod admission_agent;
mod announcement;
mod dispatcher;
mod kept_queues;
mod load_report;
mod orders;
mod outcomes;
mod pace;
mod response;
mod server;
pub mod slot_ceiling;
pub mod slots;
mod target;

pub use self::{
    admission::{Admission, Capacity, Decision, GrantError, GrantStatus},
    admission_agent::{AdmissionAgent, AdmissionAgentStartError},
    announcement::Announcement,
    load_report::LoadReport,
    server::{Agent, AgentStartError},
    target::{REQUEST_ID_HEADER, STARTED_HEADER, end_to_end_headers, is_hop_by_hop_header},
};
