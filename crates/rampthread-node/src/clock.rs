//! The process's clock, as the state machines count it: the boot-time clock, which
//! goes on while the machine is suspended.

use rampthread_core::time::Moment;
use rampthread_http::BootInstant;
use std::time::{SystemTime, UNIX_EPOCH};

/// Counts from the start of the process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: BootInstant,
}

impl Clock {
    /// Starts now.
    pub fn start() -> Self {
        Self {
            start: BootInstant::now(),
        }
    }

    /// The present moment; never 0, which stands for "never".
    pub fn now(&self) -> Moment {
        Moment(self.start.elapsed().as_micros() as u64 + 1)
    }
}

/// Wall clock in microseconds since 1970; names this life of the process.
pub fn wall_clock_micros() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(1, |since| since.as_micros() as u64)
}
