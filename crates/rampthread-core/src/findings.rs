//! Validation errors of an input, each with its location.
//!
//! Checks do not stop at the first error. They add one [`Finding`] per error to
//! [`Findings`], and the input's author gets all of them at once.

use serde::{Deserialize, Serialize};
use std::fmt;

/// One error in an input.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Location: a file and key path, such as `node.toml: limits.slots`.
    pub place: String,
    /// The invalid value or condition that was found.
    pub found: String,
    /// Description of the values that are accepted.
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

/// List of the errors found in an input; empty if the input is valid.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an error at `place`, with what was found there and what is accepted.
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

    /// Moves all findings of `other` to the end of this list.
    pub fn append(&mut self, other: Findings) {
        self.0.extend(other.0);
    }

    /// The first `count` findings as text and the number of further ones, to keep log lines
    /// short.
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

    /// Number of errors found.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Findings in the order in which they were added.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.0.iter()
    }

    /// Returns `Ok(value)` if there are no findings, else the findings.
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
