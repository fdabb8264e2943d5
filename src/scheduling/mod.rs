//! Decisions under load, as pure modules: they read no clock and open no connection.

pub mod admission;
pub mod fair_share;
pub mod prefix_cache;
pub mod run_estimate;
pub mod target_order;
