//! What a back end says of its load in a header of its answers.

use thiserror::Error;

/// Largest figure of calls or slots that is believed.
const MOST_CALLS: u32 = 1_000_000;
/// Longest work that is believed, in percent of the usual time.
const MOST_PERCENT: u16 = 10_000;

/// The load of a back end by its own account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackendLoad {
    /// Calls that run.
    pub running: u32,
    /// Calls that wait.
    pub waiting: u32,
    /// Calls that may run at once.
    pub slots: u32,
    /// How long work takes at present, in percent of its usual time; none: not told.
    pub service_time_percent: Option<u16>,
}

/// Why a header tells no load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum BackendLoadError {
    /// There must be three or four.
    #[error("a load of {0} figures")]
    Figures(usize),
    /// A figure that is no number, or one that cannot be true.
    #[error("figure {0} of the load is no number in its range")]
    Figure(usize),
}

impl BackendLoad {
    /// Reads `running,waiting,slots` and, where told, the percent of the usual time.
    pub fn parse(text: &str) -> Result<Self, BackendLoadError> {
        let figures: Vec<&str> = text.split(',').map(str::trim).collect();
        if !(3..=4).contains(&figures.len()) {
            return Err(BackendLoadError::Figures(figures.len()));
        }
        let calls = |index: usize| {
            let figure = figures[index].parse().ok();
            let figure = figure.filter(|calls| *calls <= MOST_CALLS);
            figure.ok_or(BackendLoadError::Figure(index + 1))
        };
        let percent = |text: &&str| {
            let figure = text.parse().ok();
            let figure = figure.filter(|percent| (1..=MOST_PERCENT).contains(percent));
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
