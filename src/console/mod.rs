//! The operators' web console: edits the document in forms that are generated from its schema.

mod api;
mod draft;
mod pages;
mod rebase;
mod server;
mod sign_in;

pub use self::{
    rebase::{Rebased, rebase},
    server::{Console, ConsoleStartError},
};
