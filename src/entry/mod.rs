//! The entry: takes callers' requests, finds each a place at an agent, and
//! passes the answer back.

mod agent_links;
mod body;
mod claims;
mod delivery;
mod journal;
mod limits;
pub(crate) mod refusal;
mod request;
mod reservations;
mod response;
pub mod routing;
mod scheduler;
mod server;

pub use self::server::{Entry, EntryStartError};
