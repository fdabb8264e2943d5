//! A stand-in engine's load reports, which lag behind.

use crate::agent::LoadReport;
use std::{
    collections::VecDeque,
    sync::Mutex,
    time::{Duration, Instant},
};

/// How often the load is sampled.
pub const SAMPLE_MS: u64 = 100;

/// The samples of late.
pub struct LoadSamples {
    lag: Duration,
    samples: Mutex<VecDeque<(Instant, LoadReport)>>,
}

impl LoadSamples {
    /// No samples yet; reports will be this old.
    pub fn new(lag_ms: u64) -> Self {
        Self {
            lag: Duration::from_millis(lag_ms),
            samples: Mutex::default(),
        }
    }

    /// Takes the load of this moment.
    pub fn take(&self, open_requests: usize) {
        let mut samples = self.samples.lock().expect("no holder panics");
        samples.push_back((Instant::now(), LoadReport { open_requests }));
        let is_old = |sample: Option<&(Instant, LoadReport)>| {
            sample.is_some_and(|(at, _)| at.elapsed() >= self.lag)
        };
        while is_old(samples.get(1)) {
            samples.pop_front();
        }
    }

    /// The load as it was some time ago.
    pub fn report(&self) -> LoadReport {
        let samples = self.samples.lock().expect("no holder panics");
        let nothing = LoadReport { open_requests: 0 };
        samples.front().map_or(nothing, |(_, load)| load.clone())
    }
}
