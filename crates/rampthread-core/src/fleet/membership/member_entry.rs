//! One row of the member table.

use crate::fleet::member::{Conditions, EndpointRecord, Machine, MemberRecord, Status};
use crate::time::Moment;

#[derive(Debug, Clone)]
pub(super) struct Member {
    pub(super) record: MemberRecord,
    /// Since when the record has its status.
    pub(super) since: Moment,
    /// Named by the settings or the platform's list.
    pub(super) listed: bool,
    /// It has heard this node's own record.
    pub(super) introduced: bool,
    /// The back end that an earlier life announced, while the present one announces none.
    pub(super) former_backend: Option<EndpointRecord>,
}

impl Member {
    /// A machine that nobody has heard of yet.
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
            introduced: false,
            former_backend: None,
        }
    }

    /// What `next` leaves of the back end that this record announces, or remembers. A life
    /// that has just begun knows of none; one that serves calls has dropped it.
    pub(super) fn backend_before(&self, next: &MemberRecord) -> Option<EndpointRecord> {
        let begins = next.endpoint.is_none() && !next.conditions.ready;
        let known = self
            .record
            .endpoint
            .as_ref()
            .or(self.former_backend.as_ref());
        known.filter(|_| begins).cloned()
    }
}
