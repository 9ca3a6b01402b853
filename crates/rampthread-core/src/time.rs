//! Points in time for the state machines of this crate, which read no clock themselves.

use serde::{Deserialize, Serialize};
use std::ops::{Add, Sub};
use std::time::Duration;

/// Point in time on the monotonic clock of the process that drives the state machines, in
/// microseconds since that process started.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Moment(pub u64);

impl Moment {
    /// Time elapsed since `earlier`; zero if `earlier` is in the future.
    pub fn since(self, earlier: Moment) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Moment {
    type Output = Moment;
    fn add(self, duration: Duration) -> Moment {
        Moment(self.0.saturating_add(duration.as_micros() as u64))
    }
}

impl Sub<Duration> for Moment {
    type Output = Moment;
    fn sub(self, duration: Duration) -> Moment {
        Moment(self.0.saturating_sub(duration.as_micros() as u64))
    }
}
