//! Faults of a stand-in target, which stand for a bad version of its software.

use crate::derives::{key, record};
use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

key! {
    /// What is wrong with an answer.
    #[serde(rename_all = "snake_case")]
    pub enum FaultKind {
        /// It is a failure (500).
        Fail,
        /// It comes later by this time, in milliseconds.
        SlowMs(u64),
    }
}

record! {
    /// When answers of a target are bad; all conditions must hold.
    #[serde(deny_unknown_fields)]
    pub struct Fault {
        /// What is wrong with them.
        pub kind: FaultKind,
        /// Time after which they become bad, in milliseconds.
        #[serde(default)]
        pub after_ms: u64,
        /// Number of requests in progress above which they are bad.
        #[serde(default)]
        pub above_in_progress: u64,
        /// Beginning of the path of the requests whose answers are bad; all if empty.
        #[serde(default)]
        pub path_prefix: String,
    }
}

impl Fault {
    /// A fault of every answer.
    pub fn always(kind: FaultKind) -> Self {
        Self {
            kind,
            after_ms: 0,
            above_in_progress: 0,
            path_prefix: String::new(),
        }
    }

    /// Returns what is wrong with the answer to a request, if anything. `in_progress` includes the
    /// request.
    pub fn applies(&self, elapsed_ms: u64, in_progress: u64, path: &str) -> Option<FaultKind> {
        let is_bad = elapsed_ms >= self.after_ms
            && in_progress > self.above_in_progress
            && path.starts_with(&self.path_prefix);
        is_bad.then_some(self.kind)
    }
}

/// The fault that a target was told, if any.
#[derive(Debug, Default)]
pub struct FaultSwitch(Mutex<Option<(Fault, Instant)>>);

impl FaultSwitch {
    /// Sets the fault, whose time begins now, or ends it.
    pub fn set(&self, fault: Option<Fault>) {
        let fault = fault.map(|fault| (fault, Instant::now()));
        *self.0.lock().expect("no holder panics") = fault;
    }

    /// Sets the fault that a body states as JSON, or ends it if the body is empty; returns whether
    /// the body could be read.
    pub fn set_from(&self, body: &[u8]) -> bool {
        let fault = match body.is_empty() {
            true => Ok(None),
            false => serde_json::from_slice(body).map(Some),
        };
        let is_read = fault.is_ok();
        if let Ok(fault) = fault {
            self.set(fault);
        }
        is_read
    }

    /// Returns what is wrong with the answer to a request, after the time by which it is late.
    pub async fn apply(&self, in_progress: u64, path: &str) -> Option<FaultKind> {
        let kind = self.kind(in_progress, path);
        if let Some(FaultKind::SlowMs(late_ms)) = kind {
            tokio::time::sleep(Duration::from_millis(late_ms)).await;
        }
        kind
    }

    fn kind(&self, in_progress: u64, path: &str) -> Option<FaultKind> {
        let fault = self.0.lock().expect("no holder panics");
        let (fault, since) = fault.as_ref()?;
        fault.applies(since.elapsed().as_millis() as u64, in_progress, path)
    }
}
