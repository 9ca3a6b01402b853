//! Entry for one member in this node's member table.

use crate::fleet::member::{Conditions, EndpointRecord, Machine, MemberRecord, Status};
use crate::time::Moment;

/// What this node knows of another member.
#[derive(Debug, Clone)]
pub(super) struct MemberEntry {
    pub(super) record: MemberRecord,
    /// Time of the last change of the member's status.
    pub(super) since: Moment,
    /// True if the settings or the platform's list name the member.
    pub(super) listed: bool,
    /// True if this node has sent its own record to the member.
    pub(super) sent_own_record: bool,
    /// Backend announced by the previous run of the member, until its current run is ready or
    /// announces one.
    pub(super) previous_backend: Option<EndpointRecord>,
}

impl MemberEntry {
    /// Creates the entry of a machine from which this node has not received any message.
    pub(super) fn listed(machine: &Machine, now: Moment) -> Self {
        Self {
            record: MemberRecord {
                id: machine.id.clone(),
                address: machine.address,
                zone: machine.zone.clone(),
                region: machine.region.clone(),
                incarnation: 0,
                status: Status::Alive,
                conditions: Conditions::default(),
                endpoint: None,
            },
            since: now,
            listed: true,
            sent_own_record: false,
            previous_backend: None,
        }
    }

    /// Returns the backend that stays known when `next` replaces this record. A run that has
    /// just started may not know its backend yet, so the previous one is kept. A ready run without
    /// a backend has none.
    pub(super) fn previous_backend_after(&self, next: &MemberRecord) -> Option<EndpointRecord> {
        let begins = next.endpoint.is_none() && !next.conditions.ready;
        let known = self
            .record
            .endpoint
            .as_ref()
            .or(self.previous_backend.as_ref());
        known.filter(|_| begins).cloned()
    }
}
