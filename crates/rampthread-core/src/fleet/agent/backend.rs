//! What this node announces of the back end beside it: what that reports, or what an
//! earlier life of the node had been told.

use super::Agent;
use crate::fleet::action::{Action, Decision, Outbox};
use crate::fleet::member::EndpointRecord;
use crate::fleet::reported_backend::{BackendReport, Reported, ReportedBackend};
use crate::ids::InstanceId;
use crate::time::Moment;

/// What became of a back end's report.
#[derive(Debug)]
pub struct TakenReport {
    /// To be carried out.
    pub actions: Vec<Action>,
    /// All that it says is in force at this node: it may be acknowledged.
    pub acted_upon: bool,
}

impl Agent {
    pub(super) fn drop_unconfirmed_backend(&mut self, now: Moment, outbox: &mut Outbox) {
        if self.remembered_until.is_none_or(|until| now < until) {
            return;
        }
        self.remembered_until = None;
        if self.reported.forget_unconfirmed() {
            self.change_endpoint(None, outbox);
        }
    }

    fn change_endpoint(&mut self, endpoint: Option<EndpointRecord>, outbox: &mut Outbox) {
        let endpoint = endpoint.map(|endpoint| self.with_speed(endpoint));
        outbox.explain(Decision::BackendChanged {
            endpoint: endpoint.clone(),
        });
        self.endpoint = endpoint;
    }

    /// A report says nothing of the speed, which this node has measured.
    fn with_speed(&self, endpoint: EndpointRecord) -> EndpointRecord {
        let present = self.endpoint.as_ref();
        let same = present.filter(|present| present.instance == endpoint.instance);
        let known = same.and_then(|present| present.speed_percent);
        EndpointRecord {
            speed_percent: endpoint.speed_percent.or(known),
            ..endpoint
        }
    }

    /// The gate beside the back end has measured its standing speed.
    pub fn note_backend_speed(
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

    /// Takes a report of the back end beside this node. Where it is not acted upon it
    /// must not be acknowledged.
    pub fn on_backend_report(&mut self, report: BackendReport, now: Moment) -> TakenReport {
        let (actions, acted_upon) = match self.reported.take(report, now) {
            Reported::Changed(endpoint) => (self.take_reported(endpoint, now), true),
            Reported::Known => (Vec::new(), true),
            Reported::Doubtful => (Vec::new(), false),
        };
        TakenReport {
            actions,
            acted_upon,
        }
    }

    /// A leave goes on record at once: it must outlast all that hear of it now.
    fn take_reported(&mut self, endpoint: EndpointRecord, now: Moment) -> Vec<Action> {
        let mut actions = self.announce_endpoint(Some(endpoint.clone()), now);
        if endpoint.draining {
            actions.push(Action::RecordLeave(endpoint));
        }
        actions
    }

    /// When the present incarnation of the back end beside this node reported last.
    pub fn backend_heard(&self) -> Option<(&InstanceId, Moment)> {
        self.reported.heard()
    }

    /// Takes up what the store holds of the back end that an earlier life of this node had
    /// been told of.
    pub fn remember_backend(&mut self, endpoint: EndpointRecord, now: Moment) -> Vec<Action> {
        self.take_up_memory(now, |reported| reported.remember(endpoint))
    }

    /// The same as peers have told it.
    pub(super) fn remember_backend_from_peer(&mut self, now: Moment) -> Vec<Action> {
        match self.membership.take_earlier_backend() {
            Some(endpoint) => {
                self.take_up_memory(now, |reported| reported.remember_from_peer(endpoint))
            }
            None => Vec::new(),
        }
    }

    /// The earlier life ended before this one began, and the back end may have taken its
    /// leave just before: the time for which a memory counts runs from then.
    fn take_up_memory(
        &mut self,
        now: Moment,
        take_up: impl FnOnce(&mut ReportedBackend) -> Option<EndpointRecord>,
    ) -> Vec<Action> {
        let until = self.started + self.settings.unconfirmed_backend_ttl;
        if now >= until {
            return Vec::new();
        }
        match take_up(&mut self.reported) {
            Some(endpoint) => {
                self.remembered_until = Some(until);
                self.announce_endpoint(Some(endpoint), now)
            }
            None => Vec::new(),
        }
    }

    /// The back end at the address says that it is not `instance`.
    pub fn on_misdirected(&mut self, instance: &InstanceId, now: Moment) -> Vec<Action> {
        if self.reported.misdirected(instance) {
            return self.announce_endpoint(None, now);
        }
        Vec::new()
    }

    fn announce_endpoint(&mut self, endpoint: Option<EndpointRecord>, now: Moment) -> Vec<Action> {
        let mut outbox = Outbox::default();
        self.change_endpoint(endpoint, &mut outbox);
        self.announce(now);
        self.tell_news(now, &mut outbox);
        self.finish(outbox)
    }

    /// Tells at once what this zone does not know yet, unless it was told something a
    /// moment ago. Leaves that it was told to pass on go at once.
    pub(super) fn tell_first(&mut self, now: Moment, outbox: &mut Outbox) {
        self.membership
            .relay_leaves(self.adoption.version(), outbox);
        if self.membership.has_first_news(now) {
            self.tell_news(now, outbox);
        }
    }

    /// Tells what this node announces without waiting for the next round.
    pub(super) fn tell_news(&mut self, now: Moment, outbox: &mut Outbox) {
        let held = self.adoption.version();
        self.membership
            .tell_news(now, held, &self.settings, &mut self.rng, outbox);
    }

    /// What the back end beside this node said last.
    pub fn endpoint(&self) -> Option<&EndpointRecord> {
        self.endpoint.as_ref()
    }
}
