//! The entry: accepts callers' requests, schedules each at an agent and relays the response.

mod agent_links;
mod body;
mod claims;
mod delivery;
mod history;
mod limits;
pub(crate) mod refusal;
mod request;
mod reservations;
mod response;
pub mod routing;
mod scheduler;
mod server;

pub use self::server::{Entry, EntryStartError};
