//! Pauses between failed calls of the platform.

use rampthread_platform::PlatformError;
use std::time::Duration;

/// First pause after a failed call; doubles with full jitter.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause after a failed call.
pub(super) const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Longest pause where nobody waits for the call: each one is paid for, and a
/// store that refuses some of a large fleet is not asked again by all at once.
const LONGEST_PATIENT_PAUSE: Duration = Duration::from_secs(6);
/// Doublings of the first pause.
const MAX_DOUBLINGS: u32 = 7;

/// Pauses between failed calls: exponential with full jitter, so that a herd of
/// nodes does not come back in step.
#[derive(Debug)]
pub(super) struct Backoff {
    failures: u32,
    longest: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            failures: 0,
            longest: LONGEST_PAUSE,
        }
    }
}

impl Backoff {
    /// For calls that nobody waits for.
    pub(super) fn patient() -> Self {
        Self {
            longest: LONGEST_PATIENT_PAUSE,
            ..Self::default()
        }
    }

    /// True while no call has failed since the last one that succeeded.
    pub(super) fn is_first(&self) -> bool {
        self.failures == 0
    }

    pub(super) fn succeeded(&mut self) {
        self.failures = 0;
    }

    pub(super) fn next_pause(&mut self, error: &PlatformError) -> Duration {
        let doubled = FIRST_PAUSE * (1 << self.failures.min(MAX_DOUBLINGS));
        self.failures += 1;
        let jittered = doubled
            .min(self.longest)
            .mul_f64(rand::random_range(0.5..1.5));
        match error {
            PlatformError::NotRun {
                retry_after: Some(asked),
                ..
            } => jittered.max((*asked).min(self.longest)),
            _ => jittered,
        }
    }
}
