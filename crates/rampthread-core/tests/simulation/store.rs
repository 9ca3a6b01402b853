//! In-memory store with fault injection.

use rampthread_core::config::ConfigState;
use rampthread_core::fleet::{SharedBytes, StoreAnswer, StoreFailure, StoreRequest};
use rampthread_core::ids::Version;
use rampthread_core::time::Moment;
use std::collections::BTreeMap;
use std::time::Duration;

/// Faults injected into the simulated store.
#[derive(Debug, Default, Clone)]
pub struct StoreFaults {
    pub outage: bool,
    pub slow: Duration,
    pub lose_after: u32,
    pub lose_before: u32,
    pub late: u32,
    pub late_by: Duration,
}

/// Simulated store that holds the log, the snapshot and the reader leases.
#[derive(Debug, Default)]
pub struct SimStore {
    pub faults: StoreFaults,
    log: BTreeMap<Version, SharedBytes>,
    snapshot: Option<SharedBytes>,
    leases: BTreeMap<usize, (u64, Moment)>,
    next_lease: u64,
    /// Every entry ever appended. Not affected by truncation.
    pub full_log: Vec<SharedBytes>,
    /// The state after each entry; index 0 is the empty state.
    pub states: Vec<ConfigState>,
    pub requests: u64,
}

/// How the store handles a request that has reached it.
pub enum StoreHandling {
    Answer(Result<StoreAnswer, StoreFailure>),
    /// A watch without new entries; the request is tried again later.
    Wait,
    /// The request takes effect after this delay, and its answer is lost.
    Late(Duration),
}

impl SimStore {
    pub fn new() -> Self {
        Self {
            states: vec![ConfigState::default()],
            ..Self::default()
        }
    }

    /// Returns the newest version in the log.
    pub fn head(&self) -> Version {
        Version(self.full_log.len() as u64)
    }

    /// Handles a request that has reached the store, subject to the injected faults.
    pub fn arrive(&mut self, request: &StoreRequest, now: Moment, until: Moment) -> StoreHandling {
        if self.faults.outage {
            return StoreHandling::Answer(Err(StoreFailure::Unknown));
        }
        let writes = matches!(
            request,
            StoreRequest::Append { .. } | StoreRequest::WriteSnapshot { .. }
        );
        if writes && self.faults.lose_before > 0 {
            self.faults.lose_before -= 1;
            return StoreHandling::Answer(Err(StoreFailure::Unknown));
        }
        if writes && self.faults.late > 0 {
            self.faults.late -= 1;
            return StoreHandling::Late(self.faults.late_by);
        }
        let answer = self.run(request, now, until);
        if writes && self.faults.lose_after > 0 {
            self.faults.lose_after -= 1;
            return StoreHandling::Answer(Err(StoreFailure::Unknown));
        }
        match answer {
            Some(answer) => StoreHandling::Answer(Ok(answer)),
            None => StoreHandling::Wait,
        }
    }

    /// Executes a request. Returns `None` for a watch without new entries.
    pub fn run(
        &mut self,
        request: &StoreRequest,
        now: Moment,
        until: Moment,
    ) -> Option<StoreAnswer> {
        self.leases.retain(|_, (_, expires)| *expires > now);
        Some(match request {
            StoreRequest::AcquireLease { reader_slot, ttl } => {
                if self.leases.contains_key(reader_slot) {
                    return Some(StoreAnswer::LeaseTaken);
                }
                self.next_lease += 1;
                self.leases
                    .insert(*reader_slot, (self.next_lease, now + *ttl));
                StoreAnswer::LeaseGranted {
                    lease: self.next_lease,
                }
            }
            StoreRequest::RenewLease { lease } => {
                let found = self.leases.values_mut().find(|(id, _)| id == lease);
                match found {
                    Some((_, expires)) => {
                        *expires = now + Duration::from_secs(3);
                        StoreAnswer::LeaseKept
                    }
                    None => StoreAnswer::LeaseLost,
                }
            }
            StoreRequest::ReleaseLease { lease, .. } => {
                self.leases.retain(|_, (id, _)| id != lease);
                StoreAnswer::LeaseKept
            }
            StoreRequest::Append { version, entry } => self.append(*version, entry),
            StoreRequest::ReadLog { after } => self.entries(*after),
            StoreRequest::WatchLog { after, .. } => {
                let answer = self.entries(*after);
                let no_news =
                    matches!(&answer, StoreAnswer::Entries { entries, .. } if entries.is_empty());
                if no_news && now < until {
                    return None;
                }
                answer
            }
            StoreRequest::ReadSnapshot => StoreAnswer::Snapshot(self.snapshot.clone()),
            StoreRequest::WriteSnapshot {
                snapshot,
                truncate_to,
                ..
            } => {
                self.snapshot = Some(snapshot.clone());
                self.log.retain(|version, _| version > truncate_to);
                StoreAnswer::SnapshotWritten
            }
        })
    }

    /// Appends an entry to the log if `version` is its next slot.
    fn append(&mut self, version: Version, entry: &SharedBytes) -> StoreAnswer {
        if version <= self.head() {
            return StoreAnswer::SlotTaken;
        }
        assert_eq!(
            version,
            self.head().next(),
            "a writer appended beyond the next log slot"
        );
        self.log.insert(version, entry.clone());
        self.full_log.push(entry.clone());
        let next = self.states.last().unwrap().apply(entry);
        self.states.push(next);
        StoreAnswer::Appended
    }

    /// Returns the log entries after a version, or that they were truncated.
    fn entries(&self, after: Version) -> StoreAnswer {
        if after < self.head() && !self.log.contains_key(&after.next()) {
            return StoreAnswer::Truncated;
        }
        StoreAnswer::Entries {
            first: after.next(),
            entries: self
                .log
                .range(after.next()..)
                .map(|(_, entry)| entry.clone())
                .collect(),
            head: self.head(),
        }
    }

    /// Ends all reader leases, as if none was renewed in time.
    pub fn expire_leases(&mut self) {
        self.leases.clear();
    }
}
