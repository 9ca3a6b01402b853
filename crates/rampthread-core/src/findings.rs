//! Validation errors of an input, each with its location.
//!
//! Checks do not stop at the first error. They add one [`Finding`] per error to
//! [`Findings`], and the input's author gets all of them at once.

use serde::{Deserialize, Serialize};
use std::fmt;

/// One validation error in a settings file, a resource file, a change set or a
/// configuration state: where it is, what was found and what is accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Location of the error: a file and key path, such as `node.toml: limits.slots`.
    pub place: String,
    /// Invalid value or condition, as text for the author of the input.
    pub found: String,
    /// Accepted values or conditions, as text for the author of the input.
    pub allowed: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}: found {}; allowed: {}",
            self.place, self.found, self.allowed
        )
    }
}

/// All validation errors found in an input; empty if the input is valid.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// Creates an empty list, to which checks add their errors.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a validation error at `place`, with what was found there and what is accepted.
    pub fn push(
        &mut self,
        place: impl Into<String>,
        found: impl Into<String>,
        allowed: impl Into<String>,
    ) {
        self.0.push(Finding {
            place: place.into(),
            found: found.into(),
            allowed: allowed.into(),
        });
    }

    /// Adds all errors of `other` after those of this list.
    pub fn append(&mut self, other: Findings) {
        self.0.extend(other.0);
    }

    /// Formats the first `count` errors and the number of further ones, so that log lines
    /// stay short.
    pub fn first(&self, count: usize) -> String {
        let shown = Findings(self.0.iter().take(count).cloned().collect());
        match self.0.len().saturating_sub(count) {
            0 => shown.to_string(),
            more => format!("{shown}; {more} more"),
        }
    }

    /// True if the input is valid.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Number of validation errors found so far.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Iterates over the validation errors in the order in which the checks found them.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.0.iter()
    }

    /// Returns `Ok(value)` if the input is valid, else the errors.
    pub fn into_result<T>(self, value: T) -> Result<T, Findings> {
        if self.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.0.iter().enumerate() {
            if index > 0 {
                formatter.write_str("\n")?;
            }
            write!(formatter, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
