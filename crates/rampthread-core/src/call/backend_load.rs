//! The load that a backend reports in a header of its responses.

use thiserror::Error;

/// Maximum number of calls or slots that is accepted.
const MAX_CALLS: u32 = 1_000_000;
/// Maximum service time that is accepted, in percent of the usual one.
const MAX_PERCENT: u16 = 10_000;

/// Load of a backend, as it reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackendLoad {
    /// Calls that run.
    pub running: u32,
    /// Calls that wait.
    pub waiting: u32,
    /// Calls that may run at a time.
    pub slots: u32,
    /// Current service time in percent of its usual value; `None` if not reported.
    pub service_time_percent: Option<u16>,
}

/// Why a header is not a valid load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum BackendLoadError {
    /// It has this many fields instead of three or four.
    #[error("expected 3 or 4 comma-separated fields, found {0}")]
    Figures(usize),
    /// The field with this number, counted from 1, is not a number or out of range.
    #[error("field {0} is not a number in its range")]
    Figure(usize),
}

impl BackendLoad {
    /// Parses `running,waiting,slots`, optionally followed by the service time in percent.
    pub fn parse(text: &str) -> Result<Self, BackendLoadError> {
        let figures: Vec<&str> = text.split(',').map(str::trim).collect();
        if !(3..=4).contains(&figures.len()) {
            return Err(BackendLoadError::Figures(figures.len()));
        }
        let calls = |index: usize| {
            let figure = figures[index].parse().ok();
            let figure = figure.filter(|calls| *calls <= MAX_CALLS);
            figure.ok_or(BackendLoadError::Figure(index + 1))
        };
        let percent = |text: &&str| {
            let figure = text.parse().ok();
            let figure = figure.filter(|percent| (1..=MAX_PERCENT).contains(percent));
            figure.ok_or(BackendLoadError::Figure(4))
        };
        Ok(Self {
            running: calls(0)?,
            waiting: calls(1)?,
            slots: calls(2)?,
            service_time_percent: figures.get(3).map(percent).transpose()?,
        })
    }
}
