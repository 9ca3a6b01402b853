//! When a caller whose call was turned away should come back.
//!
//! A gate that is full knows when room comes. A back end that turns a call away beside free
//! slots is another thing: neither its gate nor the others have a queue to wait for, and the
//! next call may be taken. Its caller should come back while an answer can still be in time,
//! and not all callers at one moment.

use std::time::Duration;

/// Part of the time to spare after which to come back: the other part is for the way, and
/// for one return more.
const SPENT_SHARE: f64 = 0.5;
/// Least time to spare with which an early return makes sense: in less, the answer is
/// most likely late anyway.
const LEAST_SPARE: Duration = Duration::from_millis(20);

/// When to come back after a back end with free slots turned the call away; none when an
/// answer cannot be in time any more. `target_left` is what is left of the time within
/// which an answer is worth most, `answer_time` how long answers of the route take, and
/// `chance` is drawn from 0 to 1, to spread those who return.
pub fn after_shed(target_left: Duration, answer_time: Duration, chance: f64) -> Option<Duration> {
    let spare = target_left.saturating_sub(answer_time);
    if spare < LEAST_SPARE {
        return None;
    }
    let latest = spare.mul_f64(SPENT_SHARE);
    Some(latest.mul_f64((1.0 + chance.clamp(0.0, 1.0)) / 2.0))
}
