//! Delays after failed requests to the platform.

use rampthread_platform::PlatformError;
use std::time::Duration;

/// Delay after the first failure; doubles with each failure, with jitter.
const INITIAL_DELAY: Duration = Duration::from_millis(50);
/// Maximum delay between retries of a request that something waits for.
pub(super) const MAX_DELAY: Duration = Duration::from_millis(800);

/// Maximum delay between retries of background requests. Requests cost money, and a store
/// that rejects some of a large fleet shouldn't be retried by all nodes at once.
const MAX_BACKGROUND_DELAY: Duration = Duration::from_secs(6);
/// Maximum number of times that the initial delay is doubled.
const MAX_DOUBLINGS: u32 = 7;

/// Exponential backoff with jitter, so that many nodes don't retry in step.
#[derive(Debug)]
pub(super) struct Backoff {
    failures: u32,
    max_delay: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            failures: 0,
            max_delay: MAX_DELAY,
        }
    }
}

impl Backoff {
    /// Creates the backoff for background requests, which nothing waits for.
    pub(super) fn for_background() -> Self {
        Self {
            max_delay: MAX_BACKGROUND_DELAY,
            ..Self::default()
        }
    }

    /// Returns whether no request has failed since the last success.
    pub(super) fn has_no_failure(&self) -> bool {
        self.failures == 0
    }

    /// Starts again with the initial delay, after a successful request.
    pub(super) fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns the delay after another failure, at least what the platform asks for.
    pub(super) fn next_delay(&mut self, error: &PlatformError) -> Duration {
        let doubled = INITIAL_DELAY * (1 << self.failures.min(MAX_DOUBLINGS));
        self.failures += 1;
        let jittered = doubled
            .min(self.max_delay)
            .mul_f64(rand::random_range(0.5..1.5));
        match error {
            PlatformError::NotRun {
                retry_after: Some(requested),
                ..
            } => jittered.max((*requested).min(self.max_delay)),
            _ => jittered,
        }
    }
}
