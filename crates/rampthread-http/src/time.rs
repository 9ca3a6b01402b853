//! The clock of the product, and waits that follow it.
//!
//! A machine may be suspended for seconds. The steady clock (`CLOCK_MONOTONIC`)
//! does not count that time, and the runtime's timers run on it: a deadline, the
//! age of a connection or a lease would be believed younger than it is by as long
//! as the machine stood still. `CLOCK_BOOTTIME` counts it, and is never set back.

use rustix::time::{ClockId, clock_gettime};
use std::future::Future;
use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Longest that the runtime's timer is trusted before the clock is asked again: a
/// wait that spans a suspension ends at most this much late. Calls of the users
/// take a quarter of a second in the mean, so that most waits set one timer.
const TIMER_SLICE: Duration = Duration::from_millis(500);

/// Added to the clock, in nanoseconds: how tests suspend the machine.
static SUSPENDED_NANOS: AtomicU64 = AtomicU64::new(0);

/// A moment of the boot-time clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// The present moment.
    pub fn now() -> Self {
        let read = clock_gettime(ClockId::Boottime);
        let seconds = Duration::from_secs(read.tv_sec.unsigned_abs());
        let nanos = read.tv_nsec.unsigned_abs() + SUSPENDED_NANOS.load(Ordering::Relaxed);
        Self(seconds + Duration::from_nanos(nanos))
    }

    /// Time since then, a suspension included.
    pub fn elapsed(self) -> Duration {
        Self::now().0.saturating_sub(self.0)
    }

    /// Time until this moment; zero once it has passed.
    fn left(self) -> Duration {
        self.0.saturating_sub(Self::now().0)
    }

    fn after(wait: Duration) -> Self {
        Self(Self::now().0.saturating_add(wait))
    }
}

/// The wait ended before the future.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the wait ended first")]
pub struct TimeoutError;

/// Waits for `future`, at most for `wait`, a suspension included.
pub async fn timeout<F: Future>(wait: Duration, future: F) -> Result<F::Output, TimeoutError> {
    let end = BootInstant::after(wait);
    let mut future = pin!(future);
    loop {
        let slice = end.left().min(TIMER_SLICE);
        match async_std::future::timeout(slice, &mut future).await {
            Ok(output) => return Ok(output),
            Err(_) if end.left().is_zero() => return Err(TimeoutError),
            Err(_) => {}
        }
    }
}

/// Sleeps for `wait`, a suspension included.
pub async fn sleep(wait: Duration) {
    let end = BootInstant::after(wait);
    loop {
        let left = end.left();
        if left.is_zero() {
            return;
        }
        async_std::task::sleep(left.min(TIMER_SLICE)).await;
    }
}

/// Moves the clock on while the steady clock and the timers stay, as a suspension
/// of the machine does. For tests.
#[doc(hidden)]
pub fn suspend_for_tests(time: Duration) {
    SUSPENDED_NANOS.fetch_add(time.as_nanos() as u64, Ordering::Relaxed);
}
