//! Exit codes of every command.

use std::process::ExitCode;

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// Done.
    Done,
    /// Failed or refused.
    Failed,
    /// The input is wrong; nothing was sent.
    BadInput,
    /// The outcome of a change is not known.
    Unknown,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(match exit {
            Exit::Done => 0,
            Exit::Failed => 1,
            Exit::BadInput => 2,
            Exit::Unknown => 3,
        })
    }
}
