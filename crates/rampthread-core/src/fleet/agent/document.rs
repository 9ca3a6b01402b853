//! The agent where the platform's store holds the configuration as one
//! document: the store has decided order and validity, so the change log, its
//! readers, witnesses and the restart floor take no part. What stays: a version
//! never falls within one life of the process, and peers give a node what the
//! store refuses it.

use super::Agent;
use crate::config::ConfigState;
use crate::fleet::action::{Action, Decision, Outbox};
use crate::fleet::member::EndpointRecord;
use crate::fleet::reported_backend::BackendReport;
use crate::ids::InstanceId;
use crate::time::Moment;
use std::sync::Arc;
use std::time::Duration;

/// Time for which a remembered back end counts without a heartbeat. It is about
/// one interval of heartbeats: a back end that took its leave from the last life
/// just before that ended must not get work for longer.
const REMEMBERED_LIFE: Duration = Duration::from_millis(1_400);

impl Agent {
    pub(super) fn tick_with_document(&mut self, now: Moment, outbox: &mut Outbox) {
        let held = self.adoption.version();
        self.membership
            .tick(now, held, &self.settings, &mut self.rng, outbox);
        self.settle(now, outbox);
        self.drop_unconfirmed_backend(now, outbox);
        self.announce(now);
    }

    fn drop_unconfirmed_backend(&mut self, now: Moment, outbox: &mut Outbox) {
        if self.remembered_until.is_none_or(|until| now < until) {
            return;
        }
        self.remembered_until = None;
        if self.reported.forget_unconfirmed() {
            self.change_endpoint(None, outbox);
        }
    }

    fn change_endpoint(&mut self, endpoint: Option<EndpointRecord>, outbox: &mut Outbox) {
        outbox.explain(Decision::BackendChanged {
            endpoint: endpoint.clone(),
        });
        self.endpoint = endpoint;
    }

    /// Takes the document that the store holds. An older one than the one in
    /// force is ignored.
    pub fn on_document(&mut self, state: Arc<ConfigState>, now: Moment) -> Vec<Action> {
        let mut outbox = Outbox::default();
        if let Some(state) = self.replica.replace(state) {
            self.distribution
                .start(state.version(), now, &self.settings);
            self.adoption.stage(state, now, &self.settings, &mut outbox);
        }
        self.settle(now, &mut outbox);
        self.announce(now);
        self.finish(outbox)
    }

    /// Takes a report of the back end beside this node.
    pub fn on_backend_report(&mut self, report: BackendReport, now: Moment) -> Vec<Action> {
        match self.reported.take(report) {
            Some(endpoint) => self.announce_endpoint(Some(endpoint), now),
            None => Vec::new(),
        }
    }

    /// Takes up what an earlier life of this node had been told of its back end.
    pub fn remember_backend(&mut self, endpoint: EndpointRecord, now: Moment) -> Vec<Action> {
        match self.reported.remember(endpoint) {
            Some(endpoint) => {
                self.remembered_until = Some(now + REMEMBERED_LIFE);
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
        outbox.actions.push(Action::RecordEndpoint);
        self.announce(now);
        let held = self.adoption.version();
        // A small fleet is told whole; a large one by rumour.
        let peers = self.membership.reachable_peers().count();
        let fanout = if peers <= self.settings.news_direct {
            peers
        } else {
            self.settings.news_fanout
        };
        self.membership.tell_news(
            fanout,
            now,
            held,
            &self.settings,
            &mut self.rng,
            &mut outbox,
        );
        self.finish(outbox)
    }

    /// What the back end beside this node said last.
    pub fn endpoint(&self) -> Option<&EndpointRecord> {
        self.endpoint.as_ref()
    }
}
