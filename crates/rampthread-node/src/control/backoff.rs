//! Pauses between failed calls of the platform.

use rampthread_platform::PlatformError;
use std::time::Duration;

/// First pause after a failed call; doubles with full jitter.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause after a failed call.
pub(super) const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Pauses between failed calls: exponential with full jitter, so that a herd of
/// nodes does not come back in step.
#[derive(Debug, Default)]
pub(super) struct Backoff {
    failures: u32,
}

impl Backoff {
    pub(super) fn succeeded(&mut self) {
        self.failures = 0;
    }

    pub(super) fn next_pause(&mut self, error: &PlatformError) -> Duration {
        let doubled = FIRST_PAUSE * (1 << self.failures.min(6));
        self.failures += 1;
        let jittered = doubled
            .min(LONGEST_PAUSE)
            .mul_f64(rand::random_range(0.5..1.5));
        match error {
            PlatformError::NotRun {
                retry_after: Some(asked),
                ..
            } => jittered.max((*asked).min(LONGEST_PAUSE)),
            _ => jittered,
        }
    }
}
