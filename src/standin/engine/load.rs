//! Delayed load reports of a stand-in engine.

use crate::agent::LoadReport;
use std::{
    collections::VecDeque,
    sync::Mutex,
    time::{Duration, Instant},
};

/// Interval at which the load is sampled.
pub const SAMPLE_MS: u64 = 100;

/// Recent load samples.
pub struct LoadSamples {
    lag: Duration,
    samples: Mutex<VecDeque<(Instant, LoadReport)>>,
}

impl LoadSamples {
    /// Creates an empty set of samples whose reports lag by `lag_ms`.
    pub fn new(lag_ms: u64) -> Self {
        Self {
            lag: Duration::from_millis(lag_ms),
            samples: Mutex::default(),
        }
    }

    /// Records the current load.
    pub fn record(&self, open_requests: usize) {
        let mut samples = self.samples.lock().expect("no holder panics");
        samples.push_back((Instant::now(), LoadReport { open_requests }));
        let is_expired = |sample: Option<&(Instant, LoadReport)>| {
            sample.is_some_and(|(at, _)| at.elapsed() >= self.lag)
        };
        while is_expired(samples.get(1)) {
            samples.pop_front();
        }
    }

    /// The load at the configured lag ago; zero until the first sample.
    pub fn report(&self) -> LoadReport {
        let samples = self.samples.lock().expect("no holder panics");
        let idle = LoadReport { open_requests: 0 };
        samples.front().map_or(idle, |(_, load)| load.clone())
    }
}
