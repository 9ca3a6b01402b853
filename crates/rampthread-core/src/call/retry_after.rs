//! Decides when a caller should retry a call that was shed, i.e. refused by the backend.
//!
//! A gate node that is full knows when a slot will be free. A backend that sheds a call
//! while it has free slots gives no such time: the call does not wait in a queue, and the
//! backend may accept the next call. The caller should retry while a response can still
//! meet the target latency. The times of different callers are spread, so that they do not
//! all retry at once.

use std::time::Duration;

/// Maximum share of the spare time that passes before the retry; the rest is for the round
/// trip and one more retry. Spare time is what the target latency leaves after the mean
/// response time.
const WAIT_RATIO: f64 = 0.5;
/// Minimum spare time for an early retry; with less, the response most likely misses the
/// target latency.
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
