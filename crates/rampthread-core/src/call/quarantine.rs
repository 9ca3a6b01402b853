//! What becomes of a request under which back ends crash (a *query of death*).
//!
//! A crash has many requests under way, and one of them is guilty or none. So
//! one crash makes suspects only. A second one under the same request puts it
//! into quarantine for a moment. Then it is on trial: it runs at one back end, the
//! same for all nodes, and there no other one on trial beside it. Its answer clears
//! it; its crash leaves no doubt, and the next quarantine is long. Crashes outside
//! of a trial do not make it longer: a request that many callers send is under way
//! at every crash, and where a whole service ends at once it was nobody's fault or
//! another's. A request is cleared by any whole answer of a back end, which innocent
//! ones get with their next try.

use std::time::Duration;

/// Crashes under one request from which on it is in quarantine. One is no
/// evidence: of 18 requests that a crash may find under way, 17 are innocent.
pub const QUARANTINE_CRASHES: usize = 2;
/// Quarantine until the first trial. Nearly all nodes know of the crashes by then:
/// most within milliseconds, the last of 1,000 with 30 of 100 messages lost within
/// 3 s (tests in memory). A request of many callers that was under way at the
/// crashes without any fault is refused no longer than that.
const SHORT_QUARANTINE: Duration = Duration::from_secs(2);
/// Quarantine after a crash in a trial; each further one doubles it.
const LONG_QUARANTINE: Duration = Duration::from_secs(600);
/// Longest quarantine.
const LONGEST_QUARANTINE: Duration = Duration::from_secs(3_600);
/// Time after the end of the quarantine for which crashes are remembered: a
/// request that comes every few minutes is still known.
const MEMORY: Duration = Duration::from_secs(600);

/// Doublings of the long quarantine that are looked at: more than lead to the
/// longest.
const MAX_DOUBLINGS: usize = 8;

/// What is known of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineState {
    /// No back end has crashed under it, or it was cleared.
    Unsuspected,
    /// One back end has: it may be tried again, and is not hedged.
    Suspected,
    /// Several have: it does not run.
    Quarantined {
        /// Back ends that crashed under it.
        crashes: usize,
        /// Time until its trial.
        left: Duration,
    },
    /// Its quarantine is over: it runs at one back end.
    OnTrial {
        /// Back ends that crashed under it.
        crashes: usize,
    },
}

/// Crashes that count against a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CrashCounts {
    /// All of them.
    pub crashes: usize,
    /// Those in which it was on trial.
    pub in_trials: usize,
}

impl CrashCounts {
    /// How long the request is kept from running after its last crash.
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

    /// How long the crashes are remembered after the last one.
    pub fn memory(self) -> Duration {
        self.quarantine() + MEMORY
    }
}

/// Longest time for which any crash is remembered.
pub const LONGEST_MEMORY: Duration = LONGEST_QUARANTINE.saturating_add(MEMORY);

impl QuarantineState {
    /// The standing of a request with such evidence against it, the last crash so
    /// long ago.
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
