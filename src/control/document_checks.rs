//! Checks of documents that operators send.

use super::rpc::ControlError;
use crate::{document::Policy, units::DocumentVersion};
use std::sync::Arc;
use tokio::{sync::Semaphore, task};

/// Runs checks on a blocking thread, one at a time: a long document takes a while, in which other
/// calls are served, and several at once would take their memory at once.
#[derive(Clone)]
pub struct DocumentChecks(Arc<Semaphore>);

impl Default for DocumentChecks {
    fn default() -> Self {
        Self(Arc::new(Semaphore::new(1)))
    }
}

impl DocumentChecks {
    /// Validates a document, as an instance does before proposing it.
    ///
    /// # Errors
    /// Fails with the validation errors.
    pub async fn validate(&self, yaml: String) -> Result<(), ControlError> {
        self.run(move || Policy::compile(DocumentVersion(0), &yaml).map(drop))
            .await?
            .map_err(ControlError::Invalid)
    }

    /// Runs work that takes long for a long document. It goes on if the caller gives up.
    ///
    /// # Errors
    /// Fails with [`ControlError::Unresolved`] if the work panics.
    pub async fn run<T: Send + 'static>(
        &self,
        work: impl FnOnce() -> T + Send + 'static,
    ) -> Result<T, ControlError> {
        let permit = Arc::clone(&self.0).acquire_owned().await;
        let permit = permit.map_err(|_| ControlError::Unresolved)?;
        let running = task::spawn_blocking(move || {
            let _permit = permit;
            work()
        });
        running.await.map_err(|error| {
            tracing::error!(%error, "control: the check of a document failed");
            ControlError::Unresolved
        })
    }
}
