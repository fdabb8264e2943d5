//! Threads: one for control state, the others for traffic.

use std::{future::Future, thread};

/// Runs a future on a thread of its own, apart from traffic.
pub fn spawn_control(name: &str, future: impl Future<Output = ()> + Send + 'static) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the operating system gives an event queue");
    thread::Builder::new()
        .name(name.into())
        .spawn(move || runtime.block_on(future))
        .expect("the operating system gives a thread");
}
