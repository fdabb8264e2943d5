//! Gateway: routes requests by host and path, balances them over the targets and relays the
//! responses.
//!
//! The modules `placement`, `notices`, `request_queue`, `queue_keeper`, `starvation`, `quotas`,
//! `retry_budget`, `response_origin`, `suspects`, `versions` and `events`, and the type `Usage` of
//! `byte_budget`, are pure: they read no clock and open no connection.

pub mod account_link;
mod admission_links;
mod attempts;
mod body;
pub mod byte_budget;
pub mod connections;
mod crashes;
pub mod dialect;
pub mod events;
pub mod handover;
mod incoming_request;
mod limited_targets;
pub mod notices;
pub mod placement;
pub mod queue_keeper;
pub mod quotas;
mod refusal_response;
mod request_body;
pub mod request_queue;
pub mod response_origin;
pub mod retry_after;
pub mod retry_budget;
mod run_check;
mod search;
mod server;
mod shared_queues;
mod slot_source;
pub mod starvation;
mod stop_time;
pub mod suspects;
mod target_stream;
mod targets;
pub mod version_outcomes;
pub mod versions;

pub use self::{
    dialect::{ForwardedMetadata, PromptPart, RequestMetadata, ResponseMetadata, TrafficDialect},
    server::{Gateway, GatewayStartError},
};
