//! Findings: everything that is wrong with an input, each with its place.
//!
//! Checks never stop at the first fault. They push one [`Finding`] per fault
//! into [`Findings`], which is reported as a whole (house style of the brief).

use serde::{Deserialize, Serialize};
use std::fmt;

/// One fault in an input.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Where: a file and key path, such as `node.toml: limits.slots`.
    pub place: String,
    /// What was found there.
    pub found: String,
    /// What would be accepted.
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

/// A list of faults. Empty means the input is good.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// No findings yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds one fault.
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

    /// Takes over all findings of `other`.
    pub fn append(&mut self, other: Findings) {
        self.0.extend(other.0);
    }

    /// The first `count` findings as one text, and how many more there are: a line of a
    /// log stays short though everything is wrong.
    pub fn first(&self, count: usize) -> String {
        let shown = Findings(self.0.iter().take(count).cloned().collect());
        match self.0.len().saturating_sub(count) {
            0 => shown.to_string(),
            more => format!("{shown}; {more} more"),
        }
    }

    /// True when nothing is wrong.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Number of findings.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// The findings in the order in which they were made.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.0.iter()
    }

    /// `Ok(value)` when nothing is wrong, else these findings.
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
