//! The control group: the document, claims, membership and orders.

pub mod client;
pub mod command;
pub mod limits;
pub mod members;
pub mod orders;
mod peers;
mod replica;
pub mod rpc;
pub mod server;
pub mod state;

pub use self::{client::ControlClient, server::ControlServer};
