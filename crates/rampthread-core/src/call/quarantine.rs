//! Quarantine of requests that crash backends (poison requests, or *queries of death*).
//!
//! A backend that crashes may be running many requests, and at most one of them caused the
//! crash. So a single crash only makes suspects. If a second backend crashes while running
//! the same request, the request is put into a short quarantine. Then it is on trial: it
//! runs at one backend, the same for all nodes, with no other request on trial there. A
//! response clears the request. Another crash proves that it is poison, and its next
//! quarantine is long. Crashes outside of such trials do not extend the quarantine: a
//! request that many callers send is running at every crash. If all backends of a service
//! end at once, the request is not the cause. Any complete response of a backend clears a
//! request; a harmless request gets one with its next attempt.

use std::time::Duration;

/// Number of backend crashes while running a request from which the request is quarantined.
/// One is not enough: of 18 requests that a crashing backend may be running, 17 did not
/// cause the crash.
pub const QUARANTINE_CRASHES: usize = 2;
/// Quarantine before the first trial of a request. It is long enough for all nodes to learn
/// of the crashes (within 3 s in a fleet of 1,000 with 30 % packet loss), and short for a
/// request of many callers that did not cause them.
const SHORT_QUARANTINE: Duration = Duration::from_secs(2);
/// Quarantine after a backend crashed in a trial of the request; it doubles with each
/// further crash in a trial.
const LONG_QUARANTINE: Duration = Duration::from_secs(600);
/// Upper limit of a request's quarantine.
const LONGEST_QUARANTINE: Duration = Duration::from_secs(3_600);
/// Time after the end of a request's quarantine for which its crashes are remembered, so
/// that a request that is sent every few minutes is still recognized.
const RETENTION: Duration = Duration::from_secs(600);

/// Upper bound of the exponent when the quarantine doubles, so that the power cannot
/// overflow. The longest quarantine is reached before it.
const MAX_DOUBLINGS: usize = 8;

/// Whether a request is suspected of crashing backends, and whether it may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineState {
    /// No backend has crashed while running the request, or a response has cleared it.
    Unsuspected,
    /// One backend has crashed while running the request: it may be retried, but not
    /// hedged.
    Suspected,
    /// Several backends have crashed while running the request: it must not run.
    Quarantined {
        /// Backends that have crashed while running the request.
        crashes: usize,
        /// Time until the request may run on trial.
        left: Duration,
    },
    /// The quarantine of the request is over: it may run on trial, at one backend.
    OnTrial {
        /// Backends that have crashed while running the request.
        crashes: usize,
    },
}

/// How often backends have crashed while running a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CrashCounts {
    /// All crashes while running the request.
    pub crashes: usize,
    /// Crashes while the request was on trial.
    pub in_trials: usize,
}

impl CrashCounts {
    /// Time after the last crash for which nodes refuse to run the request.
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

    /// Time after the last crash for which nodes remember the crashes.
    pub fn retention(self) -> Duration {
        self.quarantine() + RETENTION
    }
}

/// Longest time for which nodes remember a crash: the longest quarantine and the retention
/// after it.
pub const MAX_CRASH_RETENTION: Duration = LONGEST_QUARANTINE.saturating_add(RETENTION);

impl QuarantineState {
    /// State of a request, from the number of backend crashes while running it and the time
    /// since the last of them.
    pub fn after(counts: CrashCounts, since_last: Duration) -> Self {
        let crashes = counts.crashes;
        match crashes {
            0 => QuarantineState::Unsuspected,
            1 => QuarantineState::Suspected,
            _ => match counts.quarantine().saturating_sub(since_last) {
                Duration::ZERO => QuarantineState::OnTrial { crashes },
                left => QuarantineState::Quarantined { crashes, left },
            },
        }
    }
}
