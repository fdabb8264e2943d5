//! guavacove: a request scheduler for heterogeneous engines.

mod derives;

pub mod accept;
pub mod agent;
pub mod arguments;
pub mod caller_stream;
pub mod charges;
pub mod clock;
pub mod commands;
pub mod consensus;
pub mod console;
pub mod control;
pub mod control_view;
pub mod dev;
pub mod dialect;
pub mod document;
pub mod document_check;
#[allow(missing_docs, clippy::all, clippy::pedantic)]
pub mod document_types;
pub mod entry;
pub mod explain_log;
pub mod gateway;
pub mod grants;
pub mod http_server;
pub mod link;
pub mod metrics;
pub mod request_limit;
pub mod request_pace;
pub mod response_end;
pub mod response_head;
pub mod rollout;
pub mod rounding;
pub mod scheduling;
pub mod settings;
pub mod signals;
pub mod standin;
pub mod stream_records;
pub mod stream_version;
pub mod target_pace;
pub mod target_run;
pub mod telemetry;
pub mod threads;
pub mod units;
pub mod verdict;
pub mod wire;
