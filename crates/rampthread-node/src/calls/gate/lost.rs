//! An answer was lost: did the connection end, or the back end?

use super::Gate;
use crate::calls::answer::Refusal;
use crate::control::LocalBackend;
use rampthread_core::call::cause::Cause;
use rampthread_http::refuses_connections;
use std::time::Duration;

/// Wait for the back end's machine, which is this one, to refuse a connection.
const REFUSAL_WAIT: Duration = Duration::from_millis(50);

impl Gate {
    /// Asks the back end's port whether anybody listens there. A back end that
    /// takes its leave ends with calls under way at times; that is no crash.
    pub(super) async fn explain_loss(&self, backend: &LocalBackend, lost: Refusal) -> Refusal {
        let leaving = self
            .control
            .local_backend()
            .is_none_or(|now| now.name == backend.name && self.is_draining(&now));
        if leaving || !refuses_connections(backend.address, REFUSAL_WAIT).await {
            return lost;
        }
        self.control.metrics.crashed_calls.inc();
        Refusal {
            cause: Cause::BackEndCrashed,
            status: Cause::BackEndCrashed.status(),
            ..lost
        }
    }
}
