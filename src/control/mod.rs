//! The control group: a replicated log of documents, claims and orders, and the leader's soft
//! state of processes, targets and limits.
//!
//! There are two kinds of limits on customers. Contracts apply to entries, which hold leases on
//! them ([`limits`]). Quotas apply to gateways, which charge each request to the customer's
//! account at the leader ([`accounts`], [`quota_server`]), or to a local share of the quota while
//! they cannot reach the leader ([`shares`]).

pub mod accounts;
pub mod acknowledgements;
mod api;
pub mod client;
pub mod command;
pub mod departures;
pub mod directory;
mod document_checks;
pub mod known_runs;
pub mod limits;
pub mod members;
pub mod orders;
pub mod peers;
pub mod precedence;
pub mod quota_server;
pub mod replica;
pub mod return_evidence;
pub mod rollouts;
pub mod roster;
pub mod rpc;
pub mod server;
pub mod shares;
pub mod state;
pub mod suspects;
pub mod table;
pub mod target_paces;

pub use self::{
    api::{ApiCall, ApiDialect, ApiReply, NoApi},
    client::ControlClient,
    server::ControlServer,
};
