//! Gateway: routes requests by host and path, balances them over the targets and relays the
//! responses.
//!
//! The modules `placement`, `notices`, `waiting_line`, `turnout`, `quotas`, `repeats` and
//! `events` are pure: they read no clock and open no connection.

pub mod account_link;
mod admission_links;
mod attempts;
mod body;
mod connections;
pub mod dialect;
pub mod events;
mod incoming_request;
pub mod notices;
pub mod placement;
pub mod quotas;
mod refusal_response;
pub mod repeats;
pub mod retry_after;
mod search;
mod server;
mod targets;
pub mod turnout;
pub mod waiting_line;

pub use self::{
    dialect::{Answered, Asked, Forwarded, PromptPart, TrafficDialect},
    server::{Gateway, GatewayStartError},
};
