//! Quarantine of requests under which backends crash (poison requests, or *queries of
//! death*).
//!
//! A crash finds many requests in progress, and at most one of them caused it, so a single
//! crash only makes suspects. A second crash under the same request puts the request into a
//! short quarantine. Then the request is on trial: it runs at one backend, the same for all
//! nodes, with no other request on trial there. A response clears it; another crash proves
//! that it is poison, and its next quarantine is long. Crashes outside of trials do not
//! extend the quarantine: a request that many callers send is in progress at every crash,
//! and if a whole service ends at once it is not the cause. Any complete response of a
//! backend clears a request, which harmless ones get with their next attempt.

use std::time::Duration;

/// Number of crashes under one request from which it is quarantined. One is not enough: of
/// 18 requests that a crash may find in progress, 17 are unrelated.
pub const QUARANTINE_CRASHES: usize = 2;
/// Quarantine before a request's first trial: long enough for all nodes to learn of the
/// crashes (within 3 s in a fleet of 1,000 with 30 % packet loss), and short for a request
/// of many callers that was in progress at the crashes without causing them.
const SHORT_QUARANTINE: Duration = Duration::from_secs(2);
/// Quarantine after a crash in a trial; it doubles with each further crash in a trial.
const LONG_QUARANTINE: Duration = Duration::from_secs(600);
/// Longest quarantine of a request.
const LONGEST_QUARANTINE: Duration = Duration::from_secs(3_600);
/// Time after the end of a quarantine for which its crashes are kept, so that a request
/// that comes every few minutes is still recognized.
const RETENTION: Duration = Duration::from_secs(600);

/// Upper bound of the exponent when the quarantine doubles, so that the power cannot
/// overflow. The longest quarantine is reached before it.
const MAX_DOUBLINGS: usize = 8;

/// What is known of a request's part in crashes, and whether it may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineState {
    /// No backend has crashed under the request, or a response has cleared it.
    Unsuspected,
    /// One backend has crashed under the request: it may be retried, but not hedged.
    Suspected,
    /// Several backends have crashed under the request: it must not run.
    Quarantined {
        /// Number of crashes under the request.
        crashes: usize,
        /// Time until the request may run in a trial.
        left: Duration,
    },
    /// The quarantine of the request is over: it may run at one backend.
    OnTrial {
        /// Number of crashes under the request.
        crashes: usize,
    },
}

/// Numbers of crashes that count against a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CrashCounts {
    /// Number of all crashes under the request.
    pub crashes: usize,
    /// Number of crashes while the request was on trial.
    pub in_trials: usize,
}

impl CrashCounts {
    /// Time after the last crash for which the request must not run.
    pub fn quarantine(self) -> Duration {
        if self.crashes < QUARANTINE_CRASHES {
            return Duration::ZERO;
        }
        let Some(doublings) = self.in_trials.checked_sub(1) else {
            return SHORT_QUARANTINE;
        };
        let doublings = doublings.min(MAX_DOUBLINGS) as u32;
        (LONG_QUARANTINE * 2_u32.pow(doublings)).min(LONGEST_QUARANTINE)
    }

    /// Time after the last crash for which the crashes are kept.
    pub fn retention(self) -> Duration {
        self.quarantine() + RETENTION
    }
}

/// Longest time for which any crash is kept.
pub const MAX_CRASH_RETENTION: Duration = LONGEST_QUARANTINE.saturating_add(RETENTION);

impl QuarantineState {
    /// State of a request under which backends have crashed this often, the last time
    /// `since_last` ago.
    pub fn after(evidence: CrashCounts, since_last: Duration) -> Self {
        let crashes = evidence.crashes;
        match crashes {
            0 => QuarantineState::Unsuspected,
            1 => QuarantineState::Suspected,
            _ => match evidence.quarantine().saturating_sub(since_last) {
                Duration::ZERO => QuarantineState::OnTrial { crashes },
                left => QuarantineState::Quarantined { crashes, left },
            },
        }
    }
}
