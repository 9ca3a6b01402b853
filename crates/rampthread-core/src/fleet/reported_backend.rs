//! What the back end beside this node says of itself: the present incarnation,
//! and which reports are too late to count.

use super::member::EndpointRecord;
use crate::ids::InstanceId;
use std::collections::VecDeque;

/// Earlier incarnations that are remembered, so that a late report of one does
/// not bring it back.
const MAX_RETIRED: usize = 64;

/// What a back end told the node beside it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BackendReport {
    /// It lives.
    Heartbeat(EndpointRecord),
    /// It leaves, or has left.
    Departure(InstanceId),
}

/// What the reports say so far: the present incarnation and earlier ones.
#[derive(Debug, Default)]
pub struct ReportedBackend {
    current: Option<EndpointRecord>,
    /// The present one was remembered, and has not reported to this life yet.
    unconfirmed: bool,
    retired: VecDeque<InstanceId>,
}

impl ReportedBackend {
    /// Takes a report; returns what is new, if anything is.
    pub fn take(&mut self, report: BackendReport) -> Option<EndpointRecord> {
        match report {
            BackendReport::Heartbeat(record) => self.take_heartbeat(record),
            BackendReport::Departure(instance) => self.take_departure(&instance),
        }
    }

    /// Takes up what an earlier life of this node had been told; returns it if
    /// nothing newer is known. Any heartbeat of the same incarnation is newer.
    pub fn remember(&mut self, record: EndpointRecord) -> Option<EndpointRecord> {
        if self.current.is_some() || self.retired.contains(&record.instance) {
            return None;
        }
        self.unconfirmed = true;
        self.current = Some(EndpointRecord {
            sequence: 0,
            ..record.clone()
        });
        Some(record)
    }

    /// Drops a memory that no heartbeat has confirmed; true if there was one.
    /// The back end may have taken its leave from the last life at its end.
    pub fn forget_unconfirmed(&mut self) -> bool {
        let forgotten = self.unconfirmed && self.current.is_some();
        if forgotten {
            self.current = None;
            self.unconfirmed = false;
        }
        forgotten
    }

    /// Another incarnation answers at the address: `instance` is gone, unless
    /// it reports again.
    pub fn misdirected(&mut self, instance: &InstanceId) -> bool {
        let is_current = self
            .current
            .as_ref()
            .is_some_and(|current| current.instance == *instance);
        if is_current {
            self.current = None;
        }
        is_current
    }

    fn take_heartbeat(&mut self, mut record: EndpointRecord) -> Option<EndpointRecord> {
        if self.retired.contains(&record.instance) {
            return None;
        }
        self.unconfirmed = false;
        let same = self
            .current
            .as_ref()
            .filter(|current| current.instance == record.instance);
        let Some(current) = same else {
            self.retire_current();
            self.current = Some(record.clone());
            return Some(record);
        };
        if record.sequence <= current.sequence {
            return None;
        }
        // A back end that has said that it leaves does not come back.
        record.draining |= current.draining;
        let changed = record.draining != current.draining
            || record.slots != current.slots
            || record.service != current.service
            || record.address != current.address;
        self.current = Some(record.clone());
        changed.then_some(record)
    }

    fn take_departure(&mut self, instance: &InstanceId) -> Option<EndpointRecord> {
        let current = self
            .current
            .as_mut()
            .filter(|current| current.instance == *instance);
        let Some(current) = current else {
            // Its heartbeats may still be on their way.
            self.retire(instance.clone());
            return None;
        };
        if current.draining {
            return None;
        }
        current.draining = true;
        Some(current.clone())
    }

    fn retire_current(&mut self) {
        if let Some(current) = self.current.take() {
            self.retire(current.instance);
        }
    }

    fn retire(&mut self, instance: InstanceId) {
        if self.retired.contains(&instance) {
            return;
        }
        self.retired.push_back(instance);
        if self.retired.len() > MAX_RETIRED {
            self.retired.pop_front();
        }
    }
}
