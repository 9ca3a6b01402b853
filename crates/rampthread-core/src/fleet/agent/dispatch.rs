//! Routes each peer message to the component that handles it.

use super::Agent;
use crate::fleet::ConfigSource;
use crate::fleet::action::Outbox;
use crate::fleet::message::{Envelope, Message, ProbeBody};
use crate::fleet::writer::Requester;
use crate::ids::{NodeId, Version};
use crate::time::Moment;

impl Agent {
    /// Passes a message from a peer to the component that handles messages of this kind.
    pub(super) fn dispatch_message(
        &mut self,
        envelope: Envelope,
        now: Moment,
        outbox: &mut Outbox,
    ) {
        let Envelope {
            from,
            process_epoch,
            message,
        } = envelope;
        match message {
            Message::Ping(body) => self.on_ping(&from, body, now, outbox),
            Message::Ack(body) => {
                let held = body.held;
                self.compare_crashes(&from, &body, now, outbox);
                self.membership.on_ack(&from, body, now, outbox);
                self.observe_peer_version(&from, held, now, outbox);
            }
            Message::PingRequest { sequence, target } => self.membership.on_ping_request(
                &from,
                sequence,
                &target,
                now,
                self.adoption.version(),
                &self.settings,
                outbox,
            ),
            Message::TableSummary { digests } => {
                self.membership.on_table_summary(&from, &digests, outbox);
            }
            Message::TableRecords { members, wanted } => self
                .membership
                .on_table_records(&from, members, &wanted, now, outbox),
            Message::Notice { version, entry } => {
                if let Some(entry) = entry {
                    self.ingest_entry(version, entry, now, outbox);
                }
                self.observe_peer_version(&from, version, now, outbox);
            }
            Message::Pull { held } if self.settings.source == ConfigSource::Document => {
                outbox.send(&from, self.history.answer(held));
            }
            Message::Pull { held } => self.distribution.on_pull(
                &from,
                held,
                now,
                &self.membership,
                &self.replica,
                &self.settings,
                &mut self.rng,
                outbox,
            ),
            Message::PullEntries { entries, .. }
                if self.settings.source == ConfigSource::Document =>
            {
                self.apply_deltas(&from, &entries, now, outbox);
            }
            Message::PullEntries { first, entries } => {
                let before = self.replica.version();
                self.ingest_entries(first, entries, now, outbox);
                let found_new = self.replica.version() > before;
                self.distribution.on_pull_reply(found_new, now);
                if self.replica.is_behind() {
                    self.distribution
                        .pull_from(&from, &self.replica, now, outbox);
                }
            }
            Message::PullSnapshot { snapshot }
                if self.settings.source == ConfigSource::Document =>
            {
                self.apply_snapshot(&snapshot, now, outbox);
            }
            Message::PullSnapshot { snapshot } => {
                self.distribution.on_pull_reply(true, now);
                self.restore_snapshot(&snapshot, now, outbox);
            }
            Message::PullRefused { retry_after, .. }
                if self.settings.source == ConfigSource::Document =>
            {
                self.on_document_pull_refused(retry_after, now, outbox);
            }
            Message::PullRefused {
                retry_after,
                instead,
            } => self.distribution.on_pull_refused(
                retry_after,
                instead,
                &self.replica,
                now,
                &mut self.rng,
                outbox,
            ),
            Message::Held { version } => {
                self.holders.note(&from, version);
                outbox.send(&from, Message::HeldAck { version });
                self.observe_peer_version(&from, version, now, outbox);
            }
            Message::HeldAck { version } => self.reports.on_ack(&from, version),
            Message::HeadQuery { .. } if self.settings.source == ConfigSource::Document => {
                self.on_document_query(now);
            }
            Message::HeadQuery { nonce } => {
                if self.reader.holds_lease(now) {
                    self.reader.request_head(from, nonce);
                    self.tick_reader(now, outbox);
                }
            }
            Message::HeadReply { nonce, head } => self.on_head(nonce, head, now, outbox),
            Message::Record {
                record,
                witness_epoch,
            } => {
                self.observe_peer_version(&from, record.version, now, outbox);
                let version = if witness_epoch == self.identity.process_epoch {
                    self.witness_records.record_version(&from, record)
                } else {
                    Version::ZERO
                };
                let asker_epoch = process_epoch;
                outbox.send(
                    &from,
                    Message::RecordAck {
                        version,
                        asker_epoch,
                    },
                );
            }
            Message::RecordAck {
                version,
                asker_epoch,
            } => {
                if asker_epoch == self.identity.process_epoch {
                    self.adoption.on_ack(&from, process_epoch, version, outbox);
                }
            }
            Message::FloorQuery { nonce } => {
                let record = self.witness_records.record(&from);
                let newest_known = self.replica.version();
                outbox.send(
                    &from,
                    Message::FloorReply {
                        nonce,
                        record,
                        newest_known,
                    },
                );
            }
            Message::FloorReply {
                nonce,
                record,
                newest_known,
            } => {
                self.observe_peer_version(&from, newest_known, now, outbox);
                self.floor_query
                    .on_answer(&from, nonce, record, newest_known);
                self.evaluate_witnesses(now, outbox);
            }
            Message::Propose {
                submission,
                reader_epoch,
                entry,
            } => {
                let requester = Requester {
                    node: from,
                    submission,
                };
                self.on_propose(requester, reader_epoch, entry, now, outbox);
            }
            Message::ProposeReply {
                submission, answer, ..
            } => self
                .proposals
                .on_answer(&from, process_epoch, submission, answer, outbox),
            Message::PropagationQuery { nonce } => {
                if self.reader.holds_lease(now) {
                    let status = self.propagation_status();
                    outbox.send(&from, Message::PropagationReply { nonce, status });
                }
            }
            Message::PropagationReply { nonce, status } => {
                self.on_propagation_reply(nonce, status, outbox)
            }
            Message::CrashReports { reports, complete } => {
                self.on_crash_reports(&from, &reports, complete, now, outbox);
            }
            Message::LoadReport(report) => {
                self.loads.on_report(&from, report, now, &self.membership);
            }
            Message::ZoneLoads(zones) => {
                self.loads.on_zones(&from, zones, now, &self.membership);
            }
            Message::TokenRequest(request) => {
                self.on_token_request(from, process_epoch, request, outbox);
            }
            Message::TokenGrant(grant) => self.on_token_grant(&from, grant, outbox),
            Message::Rollouts(states) => self.on_rollouts(&from, states, now, outbox),
            Message::VersionEvidence(evidence) => {
                self.on_version_evidence(&from, process_epoch, &evidence);
            }
            Message::StoreEra { era } => self.on_store_era(era, outbox),
            Message::Drain => self.start_drain("machine list, told by a reader", outbox),
        }
    }

    /// Handles a probe of a peer: compares crash tables, acknowledges the probe and notes
    /// which version the peer holds.
    pub(super) fn on_ping(
        &mut self,
        from: &NodeId,
        body: ProbeBody,
        now: Moment,
        outbox: &mut Outbox,
    ) {
        let peer_version = body.held;
        self.compare_crashes(from, &body, now, outbox);
        let held = self.adoption.version();
        self.membership
            .on_ping(from, body, now, held, &self.settings, outbox);
        self.observe_peer_version(from, peer_version, now, outbox);
    }
}
