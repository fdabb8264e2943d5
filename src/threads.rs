//! Dedicated thread for control state, separate from the threads for traffic.

use std::{future::Future, thread};

/// Runs a future on a dedicated thread, so that traffic cannot delay it.
pub fn spawn_control(name: &str, future: impl Future<Output = ()> + Send + 'static) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the operating system provides an event queue");
    thread::Builder::new()
        .name(name.into())
        .spawn(move || runtime.block_on(future))
        .expect("the operating system can start a thread");
}
