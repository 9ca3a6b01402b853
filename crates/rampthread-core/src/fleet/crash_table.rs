//! Backend crashes by request, replicated to all nodes.
//!
//! The table is a grow-only set of reports. Each report names a request and the incarnation of
//! a backend that crashed while running it. Tables are merged by union, so that a crash counts
//! once, however often and in whatever order it is reported. A cleared report does not count as
//! a crash any more. It stays in the table as a tombstone that overrides late copies. Reports
//! expire by their age, which is sent along.

use crate::call::identity::RequestIdentity;
use crate::call::quarantine::{
    CrashCounts, MAX_CRASH_RETENTION, QUARANTINE_CRASHES, QuarantineState,
};
use crate::ids::InstanceId;
use crate::time::Moment;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// Maximum number of requests in the table, enough for 50 crashes with 18 concurrent calls each.
/// They take 200 kB. Beyond that, the requests with the fewest crashes are evicted, oldest first.
pub const MAX_SUSPECTS: usize = 1_024;
/// Maximum number of crashes kept per request. Two precede its first quarantine trial, and the
/// others are more than the longest quarantine requires.
const MAX_CRASHES: usize = 9;

/// Age from which peers reconcile any crash report. Younger reports may still be on their way to all
/// peers.
const SETTLED_AGE: Duration = Duration::from_secs(1);
/// Age up to which peers reconcile any crash report. This suffices, since a node that missed a
/// report gets it within a few probes. Older reports need not expire on all peers at once.
const COMPARED_AGE: Duration = Duration::from_secs(10);

/// Report of a backend that crashed while it ran a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashReport {
    /// Identity of the request, a digest of its content.
    pub identity: RequestIdentity,
    /// Backend incarnation that crashed.
    pub instance: InstanceId,
    /// Time since the crash.
    pub age: Duration,
    /// True if the request was in a quarantine trial at this backend.
    pub on_trial: bool,
    /// True if the report no longer counts as a crash: the request was answered since, an
    /// operator lifted its quarantine, or the backend turned out to be alive.
    pub cleared: bool,
}

/// Identifies a report: the request and the crashed backend incarnation.
pub type ReportKey = (RequestIdentity, InstanceId);

impl CrashReport {
    /// Returns the request and the incarnation that identify the report.
    pub fn key(&self) -> ReportKey {
        (self.identity, self.instance.clone())
    }
}

/// Result of merging a report into the crash table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The report was new to the crash table, or showed that a known crash was cleared or
    /// happened in a quarantine trial.
    New,
    /// The crash table already contained the report.
    Known,
    /// The crash table contains the report as cleared, which the sender does not know.
    Outdated,
}

/// Crash of one backend incarnation as stored in the table.
#[derive(Debug, Clone, Copy)]
struct StoredCrash {
    at: Moment,
    /// True if the crash happened in a quarantine trial of the request.
    on_trial: bool,
    /// True if the report was cleared and no longer counts.
    cleared: bool,
}

/// Crashes that one request caused, by crashed backend incarnation.
type CrashesByInstance = BTreeMap<InstanceId, StoredCrash>;

/// Crash reports known to this node, by request and crashed incarnation.
#[derive(Debug, Clone, Default)]
pub struct CrashTable {
    suspects: BTreeMap<RequestIdentity, CrashesByInstance>,
    revision: u64,
}

impl CrashTable {
    /// Returns true if the table contains no report, neither counting nor cleared ones.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the number of requests with reports, including requests whose reports were all
    /// cleared.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns a counter that is incremented with every change of the crash table, so that
    /// callers can detect changes.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Merges a report into the table.
    pub fn merge(&mut self, report: &CrashReport, now: Moment) -> MergeOutcome {
        if report.age >= MAX_CRASH_RETENTION {
            return MergeOutcome::Known;
        }
        let at = now - report.age;
        let crashes = self.suspects.entry(report.identity).or_default();
        let outcome = merge_crash(crashes, report, at);
        if outcome == MergeOutcome::New {
            self.revision += 1;
            self.evict_excess_request();
        }
        outcome
    }

    /// Clears the reports of a request for crashes up to the time `until`. Returns the reports
    /// that were changed.
    pub fn clear(
        &mut self,
        identity: &RequestIdentity,
        until: Moment,
        now: Moment,
    ) -> Vec<CrashReport> {
        let Some(crashes) = self.suspects.get_mut(identity) else {
            return Vec::new();
        };
        let mut changed = Vec::new();
        let counts = |crash: &StoredCrash| !crash.cleared && crash.at <= until;
        for (instance, crash) in crashes.iter_mut().filter(|(_, crash)| counts(crash)) {
            crash.cleared = true;
            changed.push(to_report(*identity, instance, *crash, now));
        }
        self.revision += u64::from(!changed.is_empty());
        changed
    }

    /// Returns whether the request is unsuspected, suspected, quarantined or due for a
    /// quarantine trial.
    pub fn standing(&self, identity: &RequestIdentity, now: Moment) -> QuarantineState {
        let Some(crashes) = self.suspects.get(identity) else {
            return QuarantineState::Unsuspected;
        };
        let counted = crashes.values().filter(|crash| !crash.cleared);
        let last = counted.map(|crash| crash.at).max().unwrap_or_default();
        QuarantineState::after(count_crashes(crashes), now.since(last))
    }

    /// Returns the reports of a request that were not cleared, newest last.
    pub fn uncleared_reports(&self, identity: &RequestIdentity, now: Moment) -> Vec<CrashReport> {
        let crashes = self.suspects.get(identity).into_iter().flatten();
        let mut reports: Vec<CrashReport> = crashes
            .filter(|(_, crash)| !crash.cleared)
            .map(|(instance, crash)| to_report(*identity, instance, *crash, now))
            .collect();
        reports.sort_by_key(|report| std::cmp::Reverse(report.age));
        reports
    }

    /// Returns the reports of a request that were cleared.
    pub fn cleared_reports(&self, identity: &RequestIdentity, now: Moment) -> Vec<CrashReport> {
        let crashes = self.suspects.get(identity).into_iter().flatten();
        crashes
            .filter(|(_, crash)| crash.cleared)
            .map(|(instance, crash)| to_report(*identity, instance, *crash, now))
            .collect()
    }

    /// Returns the report of a request and an incarnation as stored in the table.
    pub fn report(
        &self,
        identity: &RequestIdentity,
        instance: &InstanceId,
        now: Moment,
    ) -> Option<CrashReport> {
        let crash = self.suspects.get(identity)?.get(instance)?;
        Some(to_report(*identity, instance, *crash, now))
    }

    /// Returns the requests with uncleared reports, and the time of the first crash of each.
    pub fn suspects(&self) -> impl Iterator<Item = (&RequestIdentity, Moment)> {
        self.suspects.iter().filter_map(|(identity, crashes)| {
            let counted = crashes.values().filter(|crash| !crash.cleared);
            let first = counted.map(|crash| crash.at).min()?;
            Some((identity, first))
        })
    }

    /// Returns the requests with uncleared reports of several crashed backends, which are to be
    /// quarantined.
    pub fn poison_requests(&self) -> impl Iterator<Item = &RequestIdentity> {
        self.suspects
            .iter()
            .filter(|(_, crashes)| count_crashes(crashes).crashes >= QUARANTINE_CRASHES)
            .map(|(identity, _)| identity)
    }

    /// Returns the uncleared reports of [`CrashTable::poison_requests`], which peers reconcile.
    pub fn poison_reports(&self, now: Moment) -> Vec<CrashReport> {
        self.poison_requests()
            .flat_map(|identity| self.uncleared_reports(identity, now))
            .collect()
    }

    /// Returns the reports of the last seconds, including cleared reports and those of requests
    /// with a single crash. If peers agree on these reports, a response clears the same ones
    /// everywhere.
    pub fn recent(&self, now: Moment) -> Vec<CrashReport> {
        self.all_crashes()
            .filter(|(_, _, crash)| is_reconciled_by_peers(crash, now))
            .map(|(identity, instance, crash)| to_report(*identity, instance, *crash, now))
            .collect()
    }

    /// Returns a digest of [`CrashTable::recent`], which leaves out the ages of the reports and
    /// whether they were cleared; 0 if there are no reports.
    pub fn recent_digest(&self, now: Moment) -> u64 {
        self.all_crashes()
            .filter(|(_, _, crash)| is_reconciled_by_peers(crash, now))
            .map(|(identity, instance, _)| hash_of(&(identity, instance)))
            .fold(0, |digest, report| digest ^ report)
    }

    /// Returns all crashes in the table, including cleared ones.
    fn all_crashes(&self) -> impl Iterator<Item = (&RequestIdentity, &InstanceId, &StoredCrash)> {
        self.suspects.iter().flat_map(|(identity, crashes)| {
            let reports = crashes.iter();
            reports.map(move |(instance, crash)| (identity, instance, crash))
        })
    }

    /// Returns a digest of [`CrashTable::poison_reports`], without the ages of the reports; 0
    /// if there are none.
    pub fn digest(&self) -> u64 {
        let mut digest = 0;
        for identity in self.poison_requests() {
            for (instance, crash) in &self.suspects[identity] {
                if !crash.cleared {
                    digest ^= hash_of(&(identity, instance, crash.on_trial));
                }
            }
        }
        digest
    }

    /// Removes the requests whose newest crash is older than their quarantine and the retention
    /// after it.
    pub fn forget_old(&mut self, now: Moment) {
        let before = self.suspects.len();
        self.suspects.retain(|_, crashes| {
            let newest = crashes.values().map(|crash| crash.at).max();
            let kept = count_crashes(crashes).retention();
            newest.is_some_and(|newest| now.since(newest) < kept)
        });
        self.revision += u64::from(self.suspects.len() != before);
    }

    /// Removes the request with the fewest crashes, the oldest of them, if the table exceeds
    /// [`MAX_SUSPECTS`].
    fn evict_excess_request(&mut self) {
        if self.suspects.len() <= MAX_SUSPECTS {
            return;
        }
        let least = self
            .suspects
            .iter()
            .min_by_key(|(_, crashes)| {
                let newest = crashes.values().map(|crash| crash.at).max();
                (count_crashes(crashes).crashes, newest)
            })
            .map(|(identity, _)| *identity);
        if let Some(least) = least {
            self.suspects.remove(&least);
        }
    }
}

/// Returns true if the crash has an age at which peers compare and exchange its report.
fn is_reconciled_by_peers(crash: &StoredCrash, now: Moment) -> bool {
    (SETTLED_AGE..COMPARED_AGE).contains(&now.since(crash.at))
}

/// Returns a hash of the parts of a report that peers compare.
fn hash_of(report: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    report.hash(&mut hasher);
    hasher.finish()
}

/// Merges a report into the crashes of its request.
fn merge_crash(crashes: &mut CrashesByInstance, report: &CrashReport, at: Moment) -> MergeOutcome {
    if let Some(known) = crashes.get_mut(&report.instance) {
        // Each hop adds to the age of a copy of the report, so the earliest time is the most
        // accurate.
        known.at = known.at.min(at);
        let newly_cleared = report.cleared && !known.cleared;
        known.cleared |= report.cleared;
        let newly_on_trial = report.on_trial && !known.on_trial;
        known.on_trial |= report.on_trial;
        return match (
            newly_cleared || newly_on_trial,
            known.cleared && !report.cleared,
        ) {
            (true, _) => MergeOutcome::New,
            (false, true) => MergeOutcome::Outdated,
            (false, false) => MergeOutcome::Known,
        };
    }
    if crashes.len() >= MAX_CRASHES {
        let oldest = crashes.iter().min_by_key(|(_, crash)| crash.at);
        let Some((oldest, _)) = oldest.filter(|(_, crash)| crash.at < at) else {
            return MergeOutcome::Known;
        };
        let oldest = oldest.clone();
        crashes.remove(&oldest);
    }
    let crash = StoredCrash {
        at,
        on_trial: report.on_trial,
        cleared: report.cleared,
    };
    crashes.insert(report.instance.clone(), crash);
    MergeOutcome::New
}

/// Counts the uncleared crashes of a request, in total and in quarantine trials.
fn count_crashes(crashes: &CrashesByInstance) -> CrashCounts {
    let counted = || crashes.values().filter(|crash| !crash.cleared);
    CrashCounts {
        crashes: counted().count(),
        in_trials: counted().filter(|crash| crash.on_trial).count(),
    }
}

/// Converts a stored crash to the report that is sent to peers.
fn to_report(
    identity: RequestIdentity,
    instance: &InstanceId,
    crash: StoredCrash,
    now: Moment,
) -> CrashReport {
    CrashReport {
        identity,
        instance: instance.clone(),
        age: now.since(crash.at),
        on_trial: crash.on_trial,
        cleared: crash.cleared,
    }
}
