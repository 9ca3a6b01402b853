//! The platform's store in memory, with its faults.

use rampthread_core::config::ConfigState;
use rampthread_core::fleet::{SharedBytes, StoreAnswer, StoreFailure, StoreRequest};
use rampthread_core::ids::Version;
use rampthread_core::time::Moment;
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Debug, Default, Clone)]
pub struct StoreFaults {
    pub outage: bool,
    pub slow: Duration,
    pub lose_after: u32,
    pub lose_before: u32,
    pub late: u32,
    pub late_by: Duration,
}

#[derive(Debug, Default)]
pub struct SimStore {
    pub faults: StoreFaults,
    log: BTreeMap<Version, SharedBytes>,
    snapshot: Option<SharedBytes>,
    leases: BTreeMap<usize, (u64, Moment)>,
    next_lease: u64,
    /// Every entry ever written, which truncation does not touch.
    pub shadow: Vec<SharedBytes>,
    /// The state after each entry; index 0 is the empty state.
    pub states: Vec<ConfigState>,
    pub requests: u64,
}

/// What happens to a request when it reaches the store.
pub enum Fate {
    Answer(Result<StoreAnswer, StoreFailure>),
    /// A watch without news: ask again later.
    Wait,
    /// It takes effect later; its answer is lost now.
    Late(Duration),
}

impl SimStore {
    pub fn new() -> Self {
        Self {
            states: vec![ConfigState::default()],
            ..Self::default()
        }
    }

    pub fn head(&self) -> Version {
        Version(self.shadow.len() as u64)
    }

    pub fn arrive(&mut self, request: &StoreRequest, now: Moment, until: Moment) -> Fate {
        if self.faults.outage {
            return Fate::Answer(Err(StoreFailure::Unknown));
        }
        let writes = matches!(
            request,
            StoreRequest::Append { .. } | StoreRequest::WriteSnapshot { .. }
        );
        if writes && self.faults.lose_before > 0 {
            self.faults.lose_before -= 1;
            return Fate::Answer(Err(StoreFailure::Unknown));
        }
        if writes && self.faults.late > 0 {
            self.faults.late -= 1;
            return Fate::Late(self.faults.late_by);
        }
        let answer = self.run(request, now, until);
        if writes && self.faults.lose_after > 0 {
            self.faults.lose_after -= 1;
            return Fate::Answer(Err(StoreFailure::Unknown));
        }
        match answer {
            Some(answer) => Fate::Answer(Ok(answer)),
            None => Fate::Wait,
        }
    }

    /// Runs a request; none when a watch has no news yet.
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

    fn append(&mut self, version: Version, entry: &SharedBytes) -> StoreAnswer {
        if version <= self.head() {
            return StoreAnswer::SlotTaken;
        }
        assert_eq!(
            version,
            self.head().next(),
            "a writer left a gap in the log: its state came from nowhere"
        );
        self.log.insert(version, entry.clone());
        self.shadow.push(entry.clone());
        let next = self.states.last().unwrap().apply(entry);
        self.states.push(next);
        StoreAnswer::Appended
    }

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

    pub fn expire_leases(&mut self) {
        self.leases.clear();
    }
}
