//! Which lines about calls and members are written, so that the volume of logs
//! stays bounded under any load and in a fleet of any size.
//!
//! Calm outcomes are sampled by the request's id, so that the entry and the
//! gate keep the same requests. Failures are written up to a rate for each
//! cause; what is left out is counted and told in one line.

use crate::time::Moment;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// Of so many calm calls, one is written.
pub const SAMPLE: u64 = 64;
/// Lines of one cause that may be written at once.
const BURST: f64 = 20.0;
/// Lines of one cause that may be written in a second, on the long run.
const RATE: f64 = 5.0;
/// Time between two lines that tell what was left out.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(5);

/// True for the calls whose calm lines are written.
pub fn is_sampled(request_id: &str) -> bool {
    let mut hasher = DefaultHasher::new();
    request_id.hash(&mut hasher);
    hasher.finish().is_multiple_of(SAMPLE)
}

/// Lines of one cause.
#[derive(Debug)]
struct Allowance {
    tokens: f64,
    filled: Moment,
    left_out: u64,
}

/// Lines that were left out for one cause since the last summary.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuppressedLines {
    /// The cause.
    pub cause: &'static str,
    /// How many.
    pub lines: u64,
}

/// The allowance of every cause.
#[derive(Debug, Default)]
pub struct LogRateLimiter {
    allowances: BTreeMap<&'static str, Allowance>,
    next_summary: Moment,
}

impl LogRateLimiter {
    /// True when a line of `cause` may be written now.
    pub fn allow(&mut self, cause: &'static str, now: Moment) -> bool {
        let allowance = self.allowances.entry(cause).or_insert(Allowance {
            tokens: BURST,
            filled: now,
            left_out: 0,
        });
        let earned = now.since(allowance.filled).as_secs_f64() * RATE;
        allowance.tokens = (allowance.tokens + earned).min(BURST);
        allowance.filled = now;
        if allowance.tokens < 1.0 {
            allowance.left_out += 1;
            return false;
        }
        allowance.tokens -= 1.0;
        true
    }

    /// What was left out since the last summary, if one is due.
    pub fn summary(&mut self, now: Moment) -> Vec<SuppressedLines> {
        if now < self.next_summary {
            return Vec::new();
        }
        self.next_summary = now + SUMMARY_INTERVAL;
        let mut left_out = Vec::new();
        for (cause, allowance) in &mut self.allowances {
            let lines = std::mem::take(&mut allowance.left_out);
            if lines > 0 {
                left_out.push(SuppressedLines { cause, lines });
            }
        }
        left_out
    }
}
