//! Learning log entries and moving versions into force.

use super::{Agent, Defect};
use crate::config::{ConfigState, Outcome};
use crate::fleet::action::{Action, Decision, Outbox};
use crate::fleet::learnt_from::LearntFrom;
use crate::fleet::message::SharedBytes;
use crate::fleet::{ConfigSource, DistributionMode};
use crate::ids::{NodeId, Version};
use crate::time::Moment;
use std::sync::Arc;

impl Agent {
    /// `peer` holds `version`; pull if that is news.
    pub(super) fn hear(
        &mut self,
        peer: &NodeId,
        version: Version,
        now: Moment,
        outbox: &mut Outbox,
    ) {
        if self.settings.source == ConfigSource::Document {
            self.holders.note(peer, version);
        }
        let lagged = self.replica.lags();
        self.replica.hear(version);
        let may_pull =
            self.settings.distribution == DistributionMode::Gossip || self.floor.is_none();
        if may_pull && version > self.replica.version() {
            self.distribution.note_source(peer);
            if self.settings.source == ConfigSource::Document {
                self.hear_of_document(peer, lagged, now, outbox);
                return;
            }
            self.distribution
                .pull_from(peer, &self.replica, now, outbox);
        }
    }

    pub(super) fn learn(
        &mut self,
        version: Version,
        entry: SharedBytes,
        now: Moment,
        outbox: &mut Outbox,
    ) {
        let states = self.replica.insert(version, entry);
        for state in &states {
            explain_refusal(state, outbox);
        }
        if let Some(newest) = states.last() {
            self.distribution
                .start(newest.version(), LearntFrom::Log, now, &self.settings);
            self.collect_finished(now);
        }
        if self.floor.is_none() {
            // A newer state may name other witnesses: ask them soon.
            self.next_floor_query = now;
            return;
        }
        for state in states {
            self.adoption.stage(state, now, &self.settings, outbox);
        }
    }

    pub(super) fn learn_all(
        &mut self,
        first: Version,
        entries: Vec<SharedBytes>,
        now: Moment,
        outbox: &mut Outbox,
    ) {
        let mut version = first;
        for entry in entries {
            self.learn(version, entry, now, outbox);
            version = version.next();
        }
    }

    pub(super) fn restore(&mut self, snapshot: &[u8], now: Moment, outbox: &mut Outbox) {
        match self.replica.restore(snapshot) {
            Ok(Some(state)) => {
                self.distribution
                    .start(state.version(), LearntFrom::Log, now, &self.settings);
                self.collect_finished(now);
                if self.floor.is_some() {
                    self.adoption.stage(state, now, &self.settings, outbox);
                }
            }
            Ok(None) => {}
            Err(error) => outbox.explain(Decision::VersionRefused {
                version: self.replica.version(),
                reason: error.to_string(),
            }),
        }
    }

    /// Moves versions that their witnesses have noted into force.
    pub(super) fn settle(&mut self, now: Moment, outbox: &mut Outbox) {
        if self.floor.is_none() {
            self.check_floor(now, outbox);
        }
        let no_witnesses = self.settings.source == ConfigSource::Document
            || self.defect == Some(Defect::SkipWitnesses);
        if no_witnesses && self.floor.is_some() {
            self.adoption.advance_without_witnesses();
        }
        if let Some(state) = self.adoption.advance() {
            self.adopt(state, now, outbox);
        }
        self.spread_news(now, outbox);
        self.answer_holds(now, outbox);
    }

    /// Sends due notices and pulls.
    pub(super) fn spread_news(&mut self, now: Moment, outbox: &mut Outbox) {
        self.distribution.tick(
            now,
            &self.membership,
            &self.replica,
            &self.settings,
            &mut self.rng,
            outbox,
        );
    }

    pub(super) fn adopt(&mut self, state: Arc<ConfigState>, now: Moment, outbox: &mut Outbox) {
        let version = state.version();
        outbox.actions.push(Action::Adopt(state));
        let learnt_from = self.learnt_from;
        let store_answer_ms = self.store_watch.answer_age(now);
        let store_answer_ms = store_answer_ms.map(|age| age.as_millis() as u64);
        let watcher = self.settings.source == ConfigSource::Document && self.store_watch.watches();
        outbox.explain(Decision::VersionAdopted {
            version,
            learnt_from,
            store_answer_ms,
            watcher,
        });
        if !self.ready {
            self.ready = true;
            outbox.actions.push(Action::Ready(true));
        }
        // A document has no readers to report to: the version rides on probes.
        if self.settings.source == ConfigSource::ChangeLog {
            self.reports.report(version, &self.membership, outbox);
        }
    }
}

fn explain_refusal(state: &ConfigState, outbox: &mut Outbox) {
    let version = state.version();
    let reason = match state
        .operation_at(version)
        .map(|recorded| &recorded.outcome)
    {
        Some(Outcome::Accepted) => return,
        Some(Outcome::Refused(findings) | Outcome::Conflict(findings)) => findings.to_string(),
        None => "unreadable, or its operation was decided before".to_string(),
    };
    outbox.explain(Decision::VersionRefused { version, reason });
}
