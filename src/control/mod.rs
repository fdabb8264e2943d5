//! The control group: a replicated log of documents, claims and orders, and the leader's soft
//! state of processes, targets and limits.

pub mod accounts;
mod api;
pub mod client;
pub mod command;
pub mod directory;
pub mod limits;
pub mod members;
pub mod orders;
pub mod peers;
pub mod quota_server;
pub mod replica;
pub mod roster;
pub mod rpc;
pub mod server;
pub mod shares;
pub mod state;
pub mod table;

pub use self::{
    api::{ApiCall, ApiDialect, ApiReply, NoApi},
    client::ControlClient,
    server::ControlServer,
};
