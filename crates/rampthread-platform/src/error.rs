//! Why the platform gave no answer, and whether the request can have run.

use std::time::Duration;

/// A failed request to the platform.
#[derive(Debug, Clone, thiserror::Error)]
pub enum PlatformError {
    /// The request was not run: refused, limited, or never sent.
    #[error("not run: {reason}")]
    NotRun {
        /// What happened.
        reason: String,
        /// When the platform wants to be asked again.
        retry_after: Option<Duration>,
    },
    /// The answer was lost; the request may have taken effect.
    #[error("answer lost: {reason}")]
    Unknown {
        /// What happened.
        reason: String,
    },
    /// No answer, or no further part of it, came within the time that the caller
    /// gave; the request may have taken effect.
    #[error("no answer within {waited:?}")]
    Silent {
        /// That time.
        waited: Duration,
    },
    /// The platform answered something that its protocol does not allow.
    #[error("unexpected answer: {reason}")]
    Protocol {
        /// What came.
        reason: String,
    },
}
