//! The agent: the only way to its target. It keeps the queue, grants places,
//! dispatches each attempt at most once and knows what became of it.

mod admission;
mod announcement;
mod answer;
mod dispatcher;
mod keeper;
mod load_report;
mod orders;
mod outcomes;
mod pace;
mod server;
pub mod slots;
mod target;

pub use self::{
    admission::{Admission, Capacity, Decision, Fate, StartError},
    announcement::Announcement,
    keeper::{Keeper, KeeperStartError},
    load_report::LoadReport,
    server::{Agent, AgentStartError},
    target::{REQUEST_ID, end_to_end, is_hop_by_hop},
};
