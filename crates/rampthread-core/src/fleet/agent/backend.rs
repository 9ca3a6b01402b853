//! Announcement of the local backend to peers: the endpoint that the backend reports
//! itself, or the one recorded before this node restarted.

use super::Agent;
use crate::fleet::action::{Action, Decision, Outbox};
use crate::fleet::backend_tracker::{BackendReport, BackendTracker, ReportStatus};
use crate::fleet::member::EndpointRecord;
use crate::ids::InstanceId;
use crate::time::Moment;

/// Result of handling a report of the local backend: the driver carries out the actions,
/// then acknowledges the report or not.
#[derive(Debug)]
pub struct HandledReport {
    /// Actions that the driver must carry out.
    pub actions: Vec<Action>,
    /// True when the content of the report is in effect at this node; otherwise the report
    /// must not be acknowledged.
    pub acknowledge: bool,
}

impl Agent {
    /// Drops an endpoint restored after a restart if the backend has not reported by
    /// `restored_endpoint_expiry`.
    pub(super) fn drop_unconfirmed_backend(&mut self, now: Moment, outbox: &mut Outbox) {
        if self
            .restored_endpoint_expiry
            .is_none_or(|until| now < until)
        {
            return;
        }
        self.restored_endpoint_expiry = None;
        if self.reported.drop_unconfirmed() {
            self.set_endpoint(None, outbox);
        }
    }

    /// Replaces the announced endpoint of the local backend and logs the change.
    fn set_endpoint(&mut self, endpoint: Option<EndpointRecord>, outbox: &mut Outbox) {
        let endpoint = endpoint.map(|endpoint| self.with_known_speed(endpoint));
        outbox.log_decision(Decision::BackendChanged {
            endpoint: endpoint.clone(),
        });
        self.endpoint = endpoint;
    }

    /// Copies the measured speed into a newly reported endpoint of the same backend
    /// instance, since backend reports do not contain a speed.
    fn with_known_speed(&self, endpoint: EndpointRecord) -> EndpointRecord {
        let present = self.endpoint.as_ref();
        let same = present.filter(|present| present.instance == endpoint.instance);
        let known = same.and_then(|present| present.speed_percent);
        EndpointRecord {
            speed_percent: endpoint.speed_percent.or(known),
            ..endpoint
        }
    }

    /// Records the steady-state speed that this node has measured for the backend
    /// `instance`, in percent of the service's usual speed, and announces it if it has changed.
    pub fn record_backend_speed(
        &mut self,
        instance: &InstanceId,
        speed_percent: u16,
        now: Moment,
    ) -> Vec<Action> {
        let known = self.endpoint.as_ref().filter(|endpoint| {
            endpoint.instance == *instance && endpoint.speed_percent != Some(speed_percent)
        });
        let Some(known) = known else {
            return Vec::new();
        };
        let endpoint = EndpointRecord {
            speed_percent: Some(speed_percent),
            ..known.clone()
        };
        self.announce_endpoint(Some(endpoint), now)
    }

    /// Handles a heartbeat or departure report that the local backend sent to this node.
    pub fn on_backend_report(&mut self, report: BackendReport, now: Moment) -> HandledReport {
        let (actions, acknowledge) = match self.reported.apply_report(report, now) {
            ReportStatus::Changed(endpoint) => (self.apply_reported_endpoint(endpoint, now), true),
            ReportStatus::Unchanged => (Vec::new(), true),
            ReportStatus::PossiblyStale => (Vec::new(), false),
        };
        HandledReport {
            actions,
            acknowledge,
        }
    }

    /// Announces a reported endpoint. A departure is also recorded in the store at once, so
    /// that the record outlives all nodes that receive the announcement.
    fn apply_reported_endpoint(&mut self, endpoint: EndpointRecord, now: Moment) -> Vec<Action> {
        let mut actions = self.announce_endpoint(Some(endpoint.clone()), now);
        if endpoint.draining {
            actions.push(Action::RecordDeparture(endpoint));
        }
        actions
    }

    /// Current incarnation of the local backend and arrival of its latest report; `None` if
    /// it has not reported to this process.
    pub fn last_backend_report(&self) -> Option<(&InstanceId, Moment)> {
        self.reported.last_report()
    }

    /// Restores the backend that the store has recorded from before this node's restart.
    pub fn restore_backend(&mut self, endpoint: EndpointRecord, now: Moment) -> Vec<Action> {
        self.restore_endpoint(now, |reported| reported.restore(endpoint))
    }

    /// Restores the backend as peers remember it from before this node's restart.
    pub(super) fn restore_backend_from_peer(&mut self, now: Moment) -> Vec<Action> {
        match self.membership.take_previous_backend() {
            Some(endpoint) => {
                self.restore_endpoint(now, |reported| reported.restore_from_peer(endpoint))
            }
            None => Vec::new(),
        }
    }

    /// Restores an endpoint for a limited time. The time counts from the start of this
    /// process, since the backend may have departed just before the previous process ended.
    fn restore_endpoint(
        &mut self,
        now: Moment,
        take_up: impl FnOnce(&mut BackendTracker) -> Option<EndpointRecord>,
    ) -> Vec<Action> {
        let until = self.started + self.settings.unconfirmed_backend_ttl;
        if now >= until {
            return Vec::new();
        }
        match take_up(&mut self.reported) {
            Some(endpoint) => {
                self.restored_endpoint_expiry = Some(until);
                self.announce_endpoint(Some(endpoint), now)
            }
            None => Vec::new(),
        }
    }

    /// Handles a response by which the backend at the local address is not `instance`: removes
    /// the endpoint if it belongs to that incarnation.
    pub fn on_misdirected(&mut self, instance: &InstanceId, now: Moment) -> Vec<Action> {
        if self.reported.on_instance_mismatch(instance) {
            return self.announce_endpoint(None, now);
        }
        Vec::new()
    }

    /// Replaces the announced endpoint of the local backend and sends the change to peers
    /// at once.
    fn announce_endpoint(&mut self, endpoint: Option<EndpointRecord>, now: Moment) -> Vec<Action> {
        let mut outbox = Outbox::default();
        self.set_endpoint(endpoint, &mut outbox);
        self.announce(now);
        self.send_updates_now(now, &mut outbox);
        self.collect_actions(outbox)
    }

    /// Sends urgent member updates to peers at once unless some were sent a moment ago.
    /// Relays backend departures in any case.
    pub(super) fn send_urgent_updates(&mut self, now: Moment, outbox: &mut Outbox) {
        self.membership
            .forward_departures(self.adoption.version(), outbox);
        if self.membership.has_urgent_updates(now) {
            self.send_updates_now(now, outbox);
        }
    }

    /// Sends this node's member updates to peers without waiting for the next gossip round.
    pub(super) fn send_updates_now(&mut self, now: Moment, outbox: &mut Outbox) {
        let held = self.adoption.version();
        self.membership
            .gossip_updates(now, held, &self.settings, &mut self.rng, outbox);
    }

    /// Endpoint of the local backend that this node announces; `None` while no backend is
    /// known.
    pub fn endpoint(&self) -> Option<&EndpointRecord> {
        self.endpoint.as_ref()
    }
}
