//! Rate limit that a backend names in its responses: the requests per second that it takes from
//! all callers together.

use serde::Serialize;
use std::fmt;
use std::time::Duration;
use thiserror::Error;

/// Lowest rate that is applied, in requests per second. A backend that names a limit of zero
/// still gets a request now and then, whose response shows when the limit ends.
const MIN_APPLIED_RATE: f64 = 0.25;

/// Requests per second that a backend takes from all callers together; finite, 0 or more.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize)]
pub struct RateLimit(f64);

/// Where a gate node has learnt a rate limit from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitSource {
    /// A response of the backend.
    Response,
    /// A call of an entry node that has seen the limit in a response.
    EntryNode,
}

impl LimitSource {
    /// Text of the source for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            LimitSource::Response => "response",
            LimitSource::EntryNode => "entry-node",
        }
    }
}

/// Why the value of a rate limit header is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RateLimitError {
    /// The value is not a decimal number.
    #[error("the rate limit is not a number")]
    NotANumber,
    /// The number is negative, infinite or NaN.
    #[error("the rate limit is not a finite number of 0 or more")]
    OutOfRange,
}

impl RateLimit {
    /// Parses a decimal number of requests per second.
    pub fn parse(text: &str) -> Result<Self, RateLimitError> {
        let per_second = text.trim().parse();
        Self::new(per_second.map_err(|_| RateLimitError::NotANumber)?)
    }

    /// Creates a limit of `per_second` requests per second.
    pub fn new(per_second: f64) -> Result<Self, RateLimitError> {
        if !per_second.is_finite() || per_second < 0.0 {
            return Err(RateLimitError::OutOfRange);
        }
        Ok(Self(per_second))
    }

    /// Requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// Rate at which requests are sent to the backend, in requests per second; above zero.
    pub fn applied_rate(self) -> f64 {
        self.0.max(MIN_APPLIED_RATE)
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// Rate limit of a backend and the expected wait there, as its gate node (the node that
/// forwards calls to the backend) reports them to entry nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitReport {
    /// The limit that the backend has named.
    pub limit: RateLimit,
    /// Time until the gate node can send one more call to the backend.
    pub wait: Duration,
}

impl LimitReport {
    /// Parses the text that [`Display`](fmt::Display) writes; `None` if it is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        let (limit, wait_ms) = text.split_once(';')?;
        Some(Self {
            limit: RateLimit::parse(limit).ok()?,
            wait: Duration::from_millis(wait_ms.parse().ok()?),
        })
    }
}

impl fmt::Display for LimitReport {
    /// Writes `limit;wait`, in requests per second and milliseconds.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{};{}", self.limit, self.wait.as_millis())
    }
}
