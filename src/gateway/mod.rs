//! The gateway: routes requests by host and path, and sends them to targets itself.
//!
//! The modules `placement`, `waiting_line`, `quotas`, `repeats` and `events` decide;
//! they read no clock and open no connection.

mod answer;
mod attempts;
mod body;
mod connections;
pub mod dialect;
pub mod events;
mod inbound;
mod keepers;
pub mod placement;
pub mod quotas;
pub mod repeats;
mod search;
mod server;
mod targets;
pub mod turnout;
pub mod waiting_line;

pub use self::{
    dialect::{Answered, Asked, Forwarded, PromptPart, TrafficDialect},
    server::{Gateway, GatewayStartError},
};
