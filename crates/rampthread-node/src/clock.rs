//! The process's clock, as the state machines count it: the boot-time clock, which
//! goes on while the machine is suspended.

use rampthread_core::time::Moment;
use rampthread_http::BootInstant;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// What the clock shows at the start of the process: more than any age that comes
/// from elsewhere (a crash is remembered for 70 minutes), which would else be cut to
/// the process's own.
const AT_START: Duration = Duration::from_secs(2 * 3_600);

/// Counts from the start of the process, which is two hours.
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
        Moment((AT_START + self.start.elapsed()).as_micros() as u64)
    }
}

/// Wall clock in microseconds since 1970; names this life of the process.
pub fn wall_clock_micros() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(1, |since| since.as_micros() as u64)
}
