//! Log of this node's latest decisions, queried with `explain`.

use crate::clock::{Clock, wall_clock_micros};
use rampthread_core::call::log_rate_limit::{LogRateLimiter, SuppressedLines};
use rampthread_core::call::rate_limit::RateLimit;
use rampthread_core::fleet::{Decision, Status};
use serde::Serialize;
use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard};

/// Maximum number of decisions kept.
const MAX_ENTRIES: usize = 2_048;

/// A decision and the time at which it was recorded.
#[derive(Debug, Clone, Serialize)]
pub struct DecisionLogEntry {
    /// Wall-clock time in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The decision and the facts behind it.
    #[serde(flatten)]
    pub decision: Decision,
}

/// Ring buffer of decisions, which are also written to the log. Frequent kinds of log lines
/// are rate-limited and summarized.
#[derive(Debug)]
pub struct DecisionLog {
    clock: Clock,
    entries: Mutex<VecDeque<DecisionLogEntry>>,
    /// Rate limiter for log lines about members, watches, rejected versions and rate limits of
    /// the backend, by cause.
    lines: Mutex<LogRateLimiter>,
}

impl DecisionLog {
    /// Creates an empty decision log.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            entries: Mutex::default(),
            lines: Mutex::default(),
        }
    }

    /// Records a decision, and logs it unless its rate limit is reached.
    pub fn record(&self, decision: Decision) {
        if self.may_log(&decision) {
            log(&decision);
        }
        let entry = DecisionLogEntry {
            at_ms: wall_clock_micros() / 1_000,
            decision,
        };
        let mut entries = lock(&self.entries);
        if entries.len() >= MAX_ENTRIES {
            entries.pop_front();
        }
        entries.push_back(entry);
    }

    /// True if the decision is not rate-limited, or the rate limit for its cause allows
    /// another log line.
    fn may_log(&self, decision: &Decision) -> bool {
        let cause = match decision {
            Decision::MemberChanged { status, .. } => status_word(*status),
            Decision::WatchBegun { .. } => "watch-begun",
            Decision::WatchEnded { .. } => "watch-ended",
            Decision::VersionRefused { .. } => "version-refused",
            Decision::RateLimitChanged { .. } => "rate-limit",
            _ => return true,
        };
        lock(&self.lines).allow(cause, self.clock.now())
    }

    /// Logs the number of suppressed lines by cause, when a summary is due.
    pub fn report_suppressed(&self) {
        let left_out = lock(&self.lines).summary(self.clock.now());
        for SuppressedLines { cause, lines } in left_out {
            tracing::info!(cause, lines, "decisions: lines left out");
        }
    }

    /// Decisions whose JSON contains `subject`, oldest first.
    pub fn entries_about(&self, subject: &str) -> Vec<DecisionLogEntry> {
        let entries = lock(&self.entries);
        entries
            .iter()
            .filter(|entry| {
                serde_json::to_string(&entry.decision).is_ok_and(|text| text.contains(subject))
            })
            .cloned()
            .collect()
    }
}

/// Locks a mutex; the data stays usable after a panic in another thread.
fn lock<T>(held: &Mutex<T>) -> MutexGuard<'_, T> {
    held.lock().unwrap_or_else(|broken| broken.into_inner())
}

/// Cause for the rate limit of log lines about members of this status.
fn status_word(status: Status) -> &'static str {
    match status {
        Status::Alive => "alive",
        Status::Suspect => "suspect",
        Status::Dead => "dead",
        Status::Left => "left",
    }
}

/// Writes the log line of a decision.
fn log(decision: &Decision) {
    match decision {
        Decision::VersionAdopted {
            version,
            learnt_from,
            store_answer_ms,
            watcher,
        } => tracing::info!(
            version = version.0,
            ?learnt_from,
            store_answer_ms,
            watcher,
            "version adopted"
        ),
        Decision::VersionRefused { version, reason } => {
            tracing::warn!(version = version.0, %reason, "version refused");
        }
        Decision::AdoptionWaits { version, missing } => {
            tracing::warn!(
                version = version.0,
                ?missing,
                "adoption waits for witnesses"
            );
        }
        Decision::FloorConfirmed { floor, source } => {
            tracing::info!(floor = floor.0, ?source, "restart floor confirmed");
        }
        Decision::StoreBehind { head, held } => {
            tracing::error!(
                head = head.0,
                held = held.0,
                "store head is behind the active version; ignored"
            );
        }
        Decision::MemberChanged {
            id,
            status,
            incarnation,
        } => tracing::info!(peer = %id, ?status, incarnation, "member changed"),
        Decision::LeaseAcquired { place } => tracing::info!(place, "reader lease acquired"),
        Decision::LeaseLost { place, reason } => {
            tracing::warn!(place, %reason, "reader lease lost");
        }
        Decision::Frozen { gap_ms } => tracing::warn!(gap_ms, "process was suspended or starved"),
        Decision::DrainStarted { origin } => tracing::info!(%origin, "drain started"),
        Decision::StoreUnavailable { reason } => tracing::warn!(%reason, "store unavailable"),
        Decision::StoreAvailable => tracing::info!("store available"),
        Decision::WatchBegun { watchers } => tracing::info!(watchers, "document watch begun"),
        Decision::WatchEnded {
            store_answers,
            watchers,
        } => tracing::info!(store_answers, watchers, "document watch ended"),
        // Another incarnation answered at the address, or a restored endpoint was not
        // confirmed by a report.
        Decision::BackendChanged { endpoint: None } => {
            tracing::warn!("local backend is gone");
        }
        Decision::BackendChanged {
            endpoint: Some(endpoint),
        } => tracing::info!(
            instance = %endpoint.instance,
            service = %endpoint.service,
            address = %endpoint.address,
            slots = endpoint.slots,
            draining = endpoint.draining,
            sequence = endpoint.sequence,
            cold_ms = endpoint.cold_ms,
            "back end reported"
        ),
        Decision::RateLimitChanged {
            backend,
            limit,
            source,
        } => tracing::info!(
            %backend,
            limit = limit.map(RateLimit::per_second),
            source = source.as_str(),
            "rate limit of the backend changed"
        ),
        Decision::BackendLeaves { backend } => {
            tracing::info!(%backend, "backend has said that it leaves");
        }
        Decision::RequestQuarantined {
            identity,
            instances,
            ages_ms,
            left_ms,
        } => tracing::warn!(
            %identity,
            crashes = instances.len(),
            ?instances,
            ?ages_ms,
            left_ms,
            "request quarantined"
        ),
        Decision::RequestCleared {
            identity,
            crashes,
            origin,
        } => tracing::info!(%identity, crashes, %origin, "request cleared"),
        Decision::Rollout {
            service,
            target,
            phase,
            share_permille,
            term,
            reason,
        } => tracing::info!(
            %service,
            %target,
            phase = phase.as_str(),
            share_permille,
            term,
            %reason,
            "rollout decision"
        ),
        // Logged by the call log, within its own rate limit.
        Decision::CallFailed { .. } => {}
    }
}
