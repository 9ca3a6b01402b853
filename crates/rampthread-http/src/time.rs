//! Boot-time clock, and timeouts that follow it.
//!
//! `CLOCK_MONOTONIC`, which the runtime's timers use, does not advance while the machine is
//! suspended, so deadlines, leases and the ages of connections would be too young after a
//! suspension. `CLOCK_BOOTTIME` includes that time and is never set back.

use rustix::time::{ClockId, clock_gettime};
use std::future::Future;
use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Maximum duration of a single timer of the runtime. A wait that spans a suspension ends at
/// most this late. Most calls take less, so that one timer is enough.
const MAX_TIMER_DURATION: Duration = Duration::from_millis(500);

/// Offset added to the clock by tests, in nanoseconds.
static TEST_OFFSET_NANOS: AtomicU64 = AtomicU64::new(0);

/// A point in time of `CLOCK_BOOTTIME`, which advances while the machine is suspended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// Reads `CLOCK_BOOTTIME`.
    pub fn now() -> Self {
        let read = clock_gettime(ClockId::Boottime);
        let seconds = Duration::from_secs(read.tv_sec.unsigned_abs());
        let nanos = read.tv_nsec.unsigned_abs() + TEST_OFFSET_NANOS.load(Ordering::Relaxed);
        Self(seconds + Duration::from_nanos(nanos))
    }

    /// Time since this instant, including suspensions.
    pub fn elapsed(self) -> Duration {
        Self::now().0.saturating_sub(self.0)
    }

    /// Time until this instant; zero once it has passed.
    fn remaining(self) -> Duration {
        self.0.saturating_sub(Self::now().0)
    }

    /// The instant that lies `wait` in the future.
    fn after(wait: Duration) -> Self {
        Self(Self::now().0.saturating_add(wait))
    }
}

/// The future given to [`timeout`] did not complete in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the wait ended first")]
pub struct TimeoutError;

/// Waits for `future` for at most `wait`. Time in which the machine is suspended counts.
pub async fn timeout<F: Future>(wait: Duration, future: F) -> Result<F::Output, TimeoutError> {
    let end = BootInstant::after(wait);
    let mut future = pin!(future);
    loop {
        let slice = end.remaining().min(MAX_TIMER_DURATION);
        match async_std::future::timeout(slice, &mut future).await {
            Ok(output) => return Ok(output),
            Err(_) if end.remaining().is_zero() => return Err(TimeoutError),
            Err(_) => {}
        }
    }
}

/// Sleeps for `wait`. Time in which the machine is suspended counts.
pub async fn sleep(wait: Duration) {
    let end = BootInstant::after(wait);
    loop {
        let remaining = end.remaining();
        if remaining.is_zero() {
            return;
        }
        async_std::task::sleep(remaining.min(MAX_TIMER_DURATION)).await;
    }
}

/// Advances the clock but not the runtime's timers, like a suspension of the machine. For
/// tests.
#[doc(hidden)]
pub fn advance_clock_for_tests(time: Duration) {
    TEST_OFFSET_NANOS.fetch_add(time.as_nanos() as u64, Ordering::Relaxed);
}
