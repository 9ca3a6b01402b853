//! Speed of a backend, as measured by its gate node, the node that forwards calls to it. A
//! node that seldom sends calls to the backend cannot measure the speed itself.

use std::fmt;
use std::time::Duration;

/// The usual value of a speed or service time that is given in percent.
pub const USUAL_PERCENT: u16 = 100;

/// Speed and current slowdown of one backend, as measured by its gate node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackendSpeed {
    /// Long-term speed in percent of the usual speed of the service's backends: at 200 the
    /// backend does the same work in half the time.
    pub speed_percent: u16,
    /// Current service time in percent of the backend's usual service time: at 200 a call
    /// takes twice as long. It changes several times a second if other processes share the
    /// machine.
    pub service_time_percent: u16,
    /// Time for which the backend is expected to be slow because it has just started; zero
    /// afterwards.
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
    /// Parses `speed_percent,service_time_percent,warm_up_left`, the last in milliseconds;
    /// `None` if the text has another form.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split(',');
        let speed_percent = parts.next()?.parse().ok()?;
        let service_time_percent = parts.next()?.parse().ok()?;
        let warm_up_left = Duration::from_millis(parts.next()?.parse().ok()?);
        let valid = parts.next().is_none() && speed_percent > 0 && service_time_percent > 0;
        valid.then_some(Self {
            speed_percent,
            service_time_percent,
            warm_up_left,
        })
    }
}

impl fmt::Display for BackendSpeed {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let warm_up_ms = self.warm_up_left.as_millis();
        write!(
            formatter,
            "{},{},{warm_up_ms}",
            self.speed_percent, self.service_time_percent
        )
    }
}
