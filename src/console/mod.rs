//! The operators' console: forms drawn from the schema, whose output is the document.

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
