//! Quarantine of requests under which backends crash (poison requests, or *queries of
//! death*).
//!
//! A crash finds many requests in progress, and at most one of them caused it, so a single
//! crash only makes suspects. A second crash under the same request puts it into a short
//! quarantine. Then it is on trial: it runs at one backend, the same for all nodes, with no
//! other request on trial there. A response clears it; another crash proves that it is
//! poison, and the next quarantine is long. Crashes outside of trials do not extend the
//! quarantine: a request that many callers send is in progress at every crash, and if a
//! whole service ends at once it is not the cause. Any complete response of a backend
//! clears a request, which harmless ones get with their next attempt.

use std::time::Duration;

/// Crashes under one request from which it is quarantined. One is not enough: of 18
/// requests that a crash may find in progress, 17 are unrelated.
pub const QUARANTINE_CRASHES: usize = 2;
/// Quarantine until the first trial: long enough for all nodes to learn of the crashes
/// (within 3 s in a fleet of 1,000 with 30 % packet loss), and short for a request of many
/// callers that was in progress at the crashes without causing them.
const SHORT_QUARANTINE: Duration = Duration::from_secs(2);
/// Quarantine after a crash in a trial; doubles with each further one.
const LONG_QUARANTINE: Duration = Duration::from_secs(600);
/// Longest quarantine.
const LONGEST_QUARANTINE: Duration = Duration::from_secs(3_600);
/// Time after the end of the quarantine for which crashes are kept, so that a request that
/// comes every few minutes is still recognized.
const RETENTION: Duration = Duration::from_secs(600);

/// Maximum number of doublings computed: more than lead to the longest quarantine.
const MAX_DOUBLINGS: usize = 8;

/// State of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineState {
    /// No backend has crashed under it, or it was cleared.
    Unsuspected,
    /// One backend has: it may be retried, but not hedged.
    Suspected,
    /// Several have: it does not run.
    Quarantined {
        /// Backends that crashed under it.
        crashes: usize,
        /// Time until its trial.
        left: Duration,
    },
    /// Its quarantine is over: it runs at one backend.
    OnTrial {
        /// Backends that crashed under it.
        crashes: usize,
    },
}

/// Crashes that count against a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CrashCounts {
    /// All crashes.
    pub crashes: usize,
    /// Crashes while it was on trial.
    pub in_trials: usize,
}

impl CrashCounts {
    /// Time for which the request may not run after its last crash.
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

    /// Time for which the crashes are kept after the last one.
    pub fn retention(self) -> Duration {
        self.quarantine() + RETENTION
    }
}

/// Longest time for which any crash is kept.
pub const MAX_CRASH_RETENTION: Duration = LONGEST_QUARANTINE.saturating_add(RETENTION);

impl QuarantineState {
    /// State of a request with these crashes against it, the last one `since_last` ago.
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
