//! Limits the log lines about calls and members, so that the log volume stays bounded under
//! any load and in a fleet of any size.
//!
//! Normal outcomes are sampled by request id, so that all nodes log the same requests.
//! Failures are logged up to a rate per cause; suppressed lines are counted and reported in
//! one summary line.

use crate::time::Moment;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// Of the calls with a normal outcome, one in this many is logged.
pub const SAMPLE_INTERVAL: u64 = 64;
/// Maximum number of log lines of one cause in a burst.
const BURST_LINES: f64 = 20.0;
/// Sustained rate of log lines per cause.
const LINES_PER_SECOND: f64 = 5.0;
/// Minimum time between two summary lines about suppressed log lines.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(5);

/// True for request ids whose calls are logged even if their outcome is normal.
pub fn is_sampled(request_id: &str) -> bool {
    let mut hasher = DefaultHasher::new();
    request_id.hash(&mut hasher);
    hasher.finish().is_multiple_of(SAMPLE_INTERVAL)
}

/// Limits the rate of the log lines about one cause of failures.
#[derive(Debug)]
struct LogTokenBucket {
    tokens: f64,
    refilled_at: Moment,
    /// Lines about the cause that were not logged since the last summary.
    suppressed: u64,
}

/// One line of the summary: how many log lines were suppressed for a cause.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuppressedLines {
    /// Text of the cause that the suppressed lines are about.
    pub cause: &'static str,
    /// How many lines were not logged since the last summary.
    pub lines: u64,
}

/// Decides which log lines are written, with a token bucket for each cause.
#[derive(Debug, Default)]
pub struct LogRateLimiter {
    buckets: BTreeMap<&'static str, LogTokenBucket>,
    next_summary: Moment,
}

impl LogRateLimiter {
    /// True when a line of `cause` may be logged now; otherwise counts the line as
    /// suppressed.
    pub fn allow(&mut self, cause: &'static str, now: Moment) -> bool {
        let bucket = self.buckets.entry(cause).or_insert(LogTokenBucket {
            tokens: BURST_LINES,
            refilled_at: now,
            suppressed: 0,
        });
        let earned = now.since(bucket.refilled_at).as_secs_f64() * LINES_PER_SECOND;
        bucket.tokens = (bucket.tokens + earned).min(BURST_LINES);
        bucket.refilled_at = now;
        if bucket.tokens < 1.0 {
            bucket.suppressed += 1;
            return false;
        }
        bucket.tokens -= 1.0;
        true
    }

    /// Returns the causes whose log lines were suppressed since the last summary. The
    /// result is empty until the interval between summaries has passed.
    pub fn summary(&mut self, now: Moment) -> Vec<SuppressedLines> {
        if now < self.next_summary {
            return Vec::new();
        }
        self.next_summary = now + SUMMARY_INTERVAL;
        let mut suppressed = Vec::new();
        for (cause, bucket) in &mut self.buckets {
            let lines = std::mem::take(&mut bucket.suppressed);
            if lines > 0 {
                suppressed.push(SuppressedLines { cause, lines });
            }
        }
        suppressed
    }
}
