//! Clock of the process for the state machines: the boot-time clock, which continues while
//! the machine is suspended.

use rampthread_core::time::Moment;
use rampthread_http::BootInstant;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Value of the clock at the start of the process. Larger than any age received from other
/// nodes (crash reports are kept for 70 minutes), so that subtracting an age does not go
/// below zero.
const START_OFFSET: Duration = Duration::from_secs(2 * 3_600);

/// Monotonic clock that starts at two hours.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: BootInstant,
}

impl Clock {
    /// Starts the clock of this process.
    pub fn start() -> Self {
        Self {
            start: BootInstant::now(),
        }
    }

    /// Current time; never 0, which stands for "never".
    pub fn now(&self) -> Moment {
        Moment((START_OFFSET + self.start.elapsed()).as_micros() as u64)
    }
}

/// Wall-clock time in microseconds since the Unix epoch; at the start of the process it
/// becomes the process epoch.
pub fn wall_clock_micros() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(1, |since| since.as_micros() as u64)
}
