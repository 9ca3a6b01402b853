//! Ingestion of log entries and activation of versions.

use super::{Agent, Defect};
use crate::config::{ConfigState, Outcome};
use crate::fleet::action::{Action, Decision, Outbox};
use crate::fleet::message::SharedBytes;
use crate::fleet::version_source::VersionSource;
use crate::fleet::{ConfigSource, DistributionMode};
use crate::ids::{NodeId, Version};
use crate::time::Moment;
use std::sync::Arc;

impl Agent {
    /// Records that `peer` holds `version`, and pulls the version if it is newer than the
    /// replica.
    pub(super) fn observe_peer_version(
        &mut self,
        peer: &NodeId,
        version: Version,
        now: Moment,
        outbox: &mut Outbox,
    ) {
        if self.settings.source == ConfigSource::Document {
            self.holders.note(peer, version);
        }
        let lagged = self.replica.is_behind();
        self.replica.observe_version(version);
        let may_pull =
            self.settings.distribution == DistributionMode::Gossip || self.floor.is_none();
        if may_pull && version > self.replica.version() {
            self.distribution.note_source(peer);
            if self.settings.source == ConfigSource::Document {
                self.request_newer_document(peer, lagged, now, outbox);
                return;
            }
            self.distribution
                .pull_from(peer, &self.replica, now, outbox);
        }
    }

    /// Adds a log entry to the replica and stages the resulting states for activation.
    pub(super) fn ingest_entry(
        &mut self,
        version: Version,
        entry: SharedBytes,
        now: Moment,
        outbox: &mut Outbox,
    ) {
        let states = self.replica.insert(version, entry);
        for state in &states {
            report_rejected_version(state, outbox);
        }
        if let Some(newest) = states.last() {
            self.distribution
                .start(newest.version(), VersionSource::Log, now, &self.settings);
            self.collect_decided_proposals(now);
        }
        if self.floor.is_none() {
            // A newer state may name other witness nodes (nodes that record this node's
            // versions). Query them soon for the restart floor.
            self.next_floor_query = now;
            return;
        }
        for state in states {
            self.adoption.stage(state, now, &self.settings, outbox);
        }
    }

    /// Adds consecutive log entries, of which `first` is the version of the first.
    pub(super) fn ingest_entries(
        &mut self,
        first: Version,
        entries: Vec<SharedBytes>,
        now: Moment,
        outbox: &mut Outbox,
    ) {
        let mut version = first;
        for entry in entries {
            self.ingest_entry(version, entry, now, outbox);
            version = version.next();
        }
    }

    /// Replaces the replica with a newer snapshot; a snapshot that cannot be decoded is
    /// logged.
    pub(super) fn restore_snapshot(&mut self, snapshot: &[u8], now: Moment, outbox: &mut Outbox) {
        match self.replica.restore(snapshot) {
            Ok(Some(state)) => {
                self.distribution
                    .start(state.version(), VersionSource::Log, now, &self.settings);
                self.collect_decided_proposals(now);
                if self.floor.is_some() {
                    self.adoption.stage(state, now, &self.settings, outbox);
                }
            }
            Ok(None) => {}
            Err(error) => outbox.log_decision(Decision::VersionRefused {
                version: self.replica.version(),
                reason: error.to_string(),
            }),
        }
    }

    /// Activates versions that enough witness nodes have acknowledged, then sends due
    /// version notices and proposal replies.
    pub(super) fn activate_ready_versions(&mut self, now: Moment, outbox: &mut Outbox) {
        if self.floor.is_none() {
            self.recheck_floor(now, outbox);
        }
        let no_witnesses = self.settings.source == ConfigSource::Document
            || self.defect == Some(Defect::SkipWitnesses);
        if no_witnesses && self.floor.is_some() {
            self.adoption.advance_without_witnesses();
        }
        if let Some(state) = self.adoption.advance() {
            self.activate(state, now, outbox);
        }
        self.tick_distribution(now, outbox);
        self.answer_replicated_proposals(now, outbox);
    }

    /// Sends version notices to peers and pulls versions from peers as far as they are due.
    pub(super) fn tick_distribution(&mut self, now: Moment, outbox: &mut Outbox) {
        self.distribution.tick(
            now,
            &self.membership,
            &self.replica,
            &self.settings,
            &mut self.rng,
            outbox,
        );
    }

    /// Makes `state` the active configuration for new calls, and logs where it came from.
    pub(super) fn activate(&mut self, state: Arc<ConfigState>, now: Moment, outbox: &mut Outbox) {
        let version = state.version();
        outbox.actions.push(Action::Adopt(state));
        let learnt_from = self.learnt_from;
        let store_answer_ms = self.store_watch.answer_age(now);
        let store_answer_ms = store_answer_ms.map(|age| age.as_millis() as u64);
        let watcher =
            self.settings.source == ConfigSource::Document && self.store_watch.is_watching();
        outbox.log_decision(Decision::VersionAdopted {
            version,
            learnt_from,
            store_answer_ms,
            watcher,
        });
        if !self.ready {
            self.ready = true;
            outbox.actions.push(Action::Ready(true));
        }
        // Document mode has no readers to report to: probes carry the version.
        if self.settings.source == ConfigSource::ChangeLog {
            self.reports.report(version, &self.membership, outbox);
        }
    }
}

/// Logs why the entry of the newest version changed nothing, unless it was accepted.
fn report_rejected_version(state: &ConfigState, outbox: &mut Outbox) {
    let version = state.version();
    let reason = match state
        .operation_at(version)
        .map(|recorded| &recorded.outcome)
    {
        Some(Outcome::Accepted) => return,
        Some(Outcome::Refused(findings) | Outcome::Conflict(findings)) => findings.to_string(),
        None => "unreadable, or its operation was decided before".to_string(),
    };
    outbox.log_decision(Decision::VersionRefused { version, reason });
}
