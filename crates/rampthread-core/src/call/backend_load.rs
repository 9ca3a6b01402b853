//! Load of a backend, as the backend reports it in a header of its responses.

use thiserror::Error;

/// Maximum number of calls, and of slots, that a load report may contain.
const MAX_CALLS: u32 = 1_000_000;
/// Maximum current service time that a load report may contain, in percent of the backend's
/// usual service time.
const MAX_PERCENT: u16 = 10_000;

/// Running calls, waiting calls and slots of a backend, as the backend reports them with
/// its responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackendLoad {
    /// Calls that hold a slot of the backend.
    pub running: u32,
    /// Calls that wait for a slot at the backend itself, behind the queue of its node.
    pub waiting: u32,
    /// Maximum number of calls that the backend runs at a time; it may change between
    /// responses.
    pub slots: u32,
    /// Current service time in percent of the usual one; `None` if the backend does not
    /// report it.
    pub service_time_percent: Option<u16>,
}

/// Why the value of a load header is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum BackendLoadError {
    /// The header value has this number of fields instead of three or four.
    #[error("a load of {0} figures")]
    FieldCount(usize),
    /// The field of the header value at this position, counted from 1, is not a number or
    /// is out of range.
    #[error("figure {0} of the load is no number in its range")]
    Field(usize),
}

impl BackendLoad {
    /// Parses `running,waiting,slots`, optionally followed by the service time in percent.
    pub fn parse(text: &str) -> Result<Self, BackendLoadError> {
        let fields: Vec<&str> = text.split(',').map(str::trim).collect();
        if !(3..=4).contains(&fields.len()) {
            return Err(BackendLoadError::FieldCount(fields.len()));
        }
        let calls = |index: usize| {
            let field = fields[index].parse().ok();
            let field = field.filter(|calls| *calls <= MAX_CALLS);
            field.ok_or(BackendLoadError::Field(index + 1))
        };
        let percent = |text: &&str| {
            let field = text.parse().ok();
            let field = field.filter(|percent| (1..=MAX_PERCENT).contains(percent));
            field.ok_or(BackendLoadError::Field(4))
        };
        Ok(Self {
            running: calls(0)?,
            waiting: calls(1)?,
            slots: calls(2)?,
            service_time_percent: fields.get(3).map(percent).transpose()?,
        })
    }
}
