//! Decides when the caller of a shed call should retry.
//!
//! A gate node that is full knows when a slot will be free. A backend that sheds a call
//! beside free slots is different: there is no queue to wait for, and the next call may be
//! accepted. Its caller should retry while a response can still be in time, and callers
//! should not all retry at once.

use std::time::Duration;

/// Ratio of the spare time after which to retry; the rest is for the round trip and one
/// more retry.
const WAIT_RATIO: f64 = 0.5;
/// Minimum spare time for an early retry; with less, the response is most likely late
/// anyway.
const MIN_SPARE: Duration = Duration::from_millis(20);

/// Returns how long to wait before a retry after a backend with free slots shed the call;
/// `None` if a response can no longer be in time. `target_left` is the rest of the route's
/// target latency, `response_time` the mean response time of the route, and `jitter` a
/// random number from 0 to 1 that spreads retries.
pub fn after_shed(target_left: Duration, response_time: Duration, jitter: f64) -> Option<Duration> {
    let spare = target_left.saturating_sub(response_time);
    if spare < MIN_SPARE {
        return None;
    }
    let latest = spare.mul_f64(WAIT_RATIO);
    Some(latest.mul_f64((1.0 + jitter.clamp(0.0, 1.0)) / 2.0))
}
