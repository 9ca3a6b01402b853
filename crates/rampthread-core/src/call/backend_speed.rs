//! How fast a back end works, as the gate beside it has measured it: what an entry that
//! seldom meets the back end cannot know.

use std::fmt;
use std::time::Duration;

/// As fast as is usual, in percent.
pub const USUAL_PERCENT: u16 = 100;

/// The pace of one back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackendSpeed {
    /// Its standing speed in percent of its service's: 200 does the same work in half
    /// the time.
    pub speed_percent: u16,
    /// How long work takes at present in percent of its usual time: 200 takes twice as
    /// long. It changes several times a second where others share the machine.
    pub service_time_percent: u16,
    /// Time for which it stays slow after its start.
    pub warm_up_left: Duration,
}

impl Default for BackendSpeed {
    fn default() -> Self {
        Self {
            speed_percent: USUAL_PERCENT,
            service_time_percent: USUAL_PERCENT,
            warm_up_left: Duration::ZERO,
        }
    }
}

impl BackendSpeed {
    /// Reads `speed_percent,service_time_percent,warm_up_left`, the last in milliseconds; none where it
    /// is no pace.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split(',');
        let speed_percent = parts.next()?.parse().ok()?;
        let service_time_percent = parts.next()?.parse().ok()?;
        let warm_up_left = Duration::from_millis(parts.next()?.parse().ok()?);
        let sound = parts.next().is_none() && speed_percent > 0 && service_time_percent > 0;
        sound.then_some(Self {
            speed_percent,
            service_time_percent,
            warm_up_left,
        })
    }
}

impl fmt::Display for BackendSpeed {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let cold_ms = self.warm_up_left.as_millis();
        write!(
            formatter,
            "{},{},{cold_ms}",
            self.speed_percent, self.service_time_percent
        )
    }
}
