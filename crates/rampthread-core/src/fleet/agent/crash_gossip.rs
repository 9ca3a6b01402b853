//! Dissemination of crash reports. A crash report says that a backend crashed while it ran
//! a certain request; a request that has crashed several backends is a poison request and
//! is quarantined.
//!
//! A node sends a new report at once to its whole zone and to some members of each other
//! zone, which forward it within their zones. The report is repeated for a few gossip
//! rounds. Probes carry a digest of the crash table. When digests differ, two nodes compare
//! their crash tables, so that a node that was partitioned, lost messages or has just
//! started learns the reports it lacks.

use super::Agent;
use crate::call::identity::RequestIdentity;
use crate::call::quarantine::{QUARANTINE_CRASHES, QuarantineState};
use crate::fleet::action::{Action, Decision, Outbox};
use crate::fleet::crash_table::{CrashReport, CrashTable, MergeOutcome, ReportKey};
use crate::fleet::message::{Message, ProbeBody};
use crate::ids::{NodeId, Zone};
use crate::rendezvous;
use crate::time::Moment;
use rand::seq::IteratorRandom;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Maximum number of crash reports in one message, so that it fits a datagram.
const REPORTS_PER_MESSAGE: usize = 12;
/// Maximum number of crash reports about poison requests in one comparison of crash tables;
/// about 64 kB.
const POISON_REPORTS_PER_COMPARISON: usize = 1_024;
/// Maximum number of recent crash reports about other requests in one comparison of crash
/// tables, sampled at random if there are more; about 16 kB.
const RECENT_REPORTS_PER_COMPARISON: usize = 256;
/// Number of members of each other zone to which a node sends a new crash report.
const REMOTE_ZONE_FANOUT: usize = 2;
/// Number of gossip rounds in which the node that observed a crash repeats its report. At
/// 30% message loss, 1 of 1,000 zones misses all rounds and learns the report when crash
/// tables are compared.
const ORIGIN_GOSSIP_ROUNDS: u32 = 3;
/// Number of gossip rounds in which a node repeats a crash report received from a peer.
const FORWARD_GOSSIP_ROUNDS: u32 = 3;
/// Number of gossip rounds in which a node sends that an earlier crash of a request does
/// not count any more, once the same request crashes another backend. Low, since many nodes
/// may send the same.
const CLEARING_GOSSIP_ROUNDS: u32 = 2;
/// Number of members of the same zone to which a node sends crash reports in a gossip
/// round.
const LOCAL_ZONE_FANOUT: usize = 2;
/// Shortest interval between two crash table comparisons that this node starts because of a
/// probe.
const MIN_COMPARISON_INTERVAL: Duration = Duration::from_millis(250);
/// Number of crash table comparisons with further peers after a probe has shown a different
/// digest. At 30% message loss, one in four comparisons completes.
const COMPARISONS_AFTER_MISMATCH: u32 = 8;
/// Number of crash table comparisons with peers that a node starts, one per gossip round,
/// after its start or a suspension. One might reach a peer that has just stopped, and the
/// next probe comes a second later.
const COMPARISONS_AT_START: u32 = 4;

/// Remaining gossip rounds of a crash report.
#[derive(Debug, Clone, Copy)]
struct PendingCrashReport {
    /// Gossip rounds left.
    left: u32,
    /// Whether the report is also sent to other zones.
    other_zones: bool,
}

/// Crash table of a node, and the reports that it still has to send.
#[derive(Debug)]
pub(super) struct CrashGossip {
    table: CrashTable,
    /// Reports to send in the next gossip rounds.
    pending_gossip: BTreeMap<ReportKey, PendingCrashReport>,
    /// Time of the next gossip round of crash reports.
    next_round: Moment,
    /// Earliest time at which a probe may trigger the next crash table comparison.
    next_comparison: Moment,
    /// Number of crash table comparisons still to be started after a start, a suspension or
    /// a digest mismatch.
    comparisons_left: u32,
    /// Cached digest of the crash reports about poison requests.
    digest: u64,
    /// Revision of the crash table for which `digest` was computed.
    digest_revision: u64,
    /// Time of the last tick or probe, for which digests in outgoing probes are computed.
    now: Moment,
}

impl CrashGossip {
    /// Creates an empty crash table that is to be compared with those of some peers.
    pub(super) fn new() -> Self {
        Self {
            table: CrashTable::default(),
            pending_gossip: BTreeMap::new(),
            next_round: Moment::default(),
            next_comparison: Moment::default(),
            comparisons_left: COMPARISONS_AT_START,
            digest: 0,
            digest_revision: 0,
            now: Moment::default(),
        }
    }

    /// Schedules crash table comparisons with peers as after a start, since the table may
    /// be outdated.
    pub(super) fn schedule_comparisons(&mut self) {
        self.comparisons_left = COMPARISONS_AT_START;
    }

    /// Digest of the crash reports that nodes compare: those about poison requests, and
    /// those of the last seconds. Each probe carries it.
    fn digest(&mut self) -> u64 {
        if self.digest_revision != self.table.revision() {
            self.digest_revision = self.table.revision();
            self.digest = self.table.digest();
        }
        self.digest ^ self.table.recent_digest(self.now)
    }
}

impl Agent {
    /// All crash reports known to this node.
    pub fn crash_table(&self) -> &CrashTable {
        &self.crashes.table
    }

    /// Records crash reports of this node's own observations, which may also withdraw
    /// earlier reports, and sends them to peers.
    pub fn report_crashes(&mut self, reports: &[CrashReport], now: Moment) -> Vec<Action> {
        let mut outbox = Outbox::default();
        let recorded = self.crashes.table.poison_reports(now);
        let new = self.merge_reports(reports, now, &mut outbox);
        self.persist_poison_crashes(&new, now, &mut outbox);
        retract_recorded_crashes(&recorded, &new, &mut outbox);
        self.broadcast_crash_reports(new, now, &mut outbox);
        self.collect_actions(outbox)
    }

    /// Merges crash reports that need not be sent to peers: those that came with a peer's
    /// response to a call, which the peer itself sends to the fleet, and those read from
    /// the store.
    pub fn merge_crash_reports(&mut self, reports: &[CrashReport], now: Moment) -> Vec<Action> {
        let mut outbox = Outbox::default();
        self.merge_reports(reports, now, &mut outbox);
        self.collect_actions(outbox)
    }

    /// Stores all crashes of each poison request in `new`. Only the node that observed the
    /// last crash does so.
    fn persist_poison_crashes(&self, new: &[CrashReport], now: Moment, outbox: &mut Outbox) {
        let identities: BTreeSet<RequestIdentity> = new
            .iter()
            .filter(|report| !report.cleared)
            .map(|report| report.identity)
            .collect();
        for identity in identities {
            let against = self.crashes.table.uncleared_reports(&identity, now);
            if against.len() >= QUARANTINE_CRASHES {
                outbox.actions.push(Action::RecordCrashes(against));
            }
        }
    }

    /// Makes the crashes of a request up to `until` count no more, because a backend
    /// answered the request then or an operator lifted its quarantine.
    pub fn clear_request(
        &mut self,
        identity: &RequestIdentity,
        until: Moment,
        origin: &str,
        now: Moment,
    ) -> Vec<Action> {
        let mut outbox = Outbox::default();
        let crashes = self.crashes.table.uncleared_reports(identity, now).len();
        let cleared = self.crashes.table.clear(identity, until, now);
        if !cleared.is_empty() {
            outbox.log_decision(Decision::RequestCleared {
                identity: *identity,
                crashes,
                origin: origin.to_string(),
            });
        }
        // Peers need to learn that a single crash does not count only if the request
        // crashes a second backend, and are told then. After a crash with 18 calls in flight,
        // this costs each of 430 nodes 6.5 kB in place of 9.2 kB.
        if crashes >= QUARANTINE_CRASHES {
            outbox.actions.push(Action::ForgetCrashes(cleared.clone()));
            self.broadcast_crash_reports(cleared, now, &mut outbox);
        }
        self.collect_actions(outbox)
    }

    /// Sends pending crash reports, starts due crash table comparisons and drops expired
    /// reports, once per gossip round.
    pub(super) fn tick_crash_gossip(&mut self, now: Moment, outbox: &mut Outbox) {
        self.crashes.now = now;
        let idle = self.crashes.table.is_empty() && self.crashes.comparisons_left == 0;
        if idle || now < self.crashes.next_round {
            return;
        }
        self.crashes.next_round = now + self.settings.gossip_interval;
        self.crashes.table.forget_old(now);
        self.start_scheduled_comparison(now, outbox);
        let due = std::mem::take(&mut self.crashes.pending_gossip);
        let (mut same_zone, mut other_zones) = (Vec::new(), Vec::new());
        for (key, transmissions) in due {
            let (identity, instance) = &key;
            let Some(report) = self.crashes.table.report(identity, instance, now) else {
                continue;
            };
            if transmissions.other_zones {
                other_zones.push(report.clone());
            }
            same_zone.push(report);
            let left = transmissions.left - 1;
            if left > 0 {
                let transmissions = PendingCrashReport {
                    left,
                    ..transmissions
                };
                self.crashes.pending_gossip.insert(key, transmissions);
            }
        }
        let targets = self
            .membership
            .random_same_zone_peers(LOCAL_ZONE_FANOUT, &mut self.rng);
        send_crash_reports(&targets, &same_zone, outbox);
        let targets = self
            .membership
            .random_other_zone_peers(REMOTE_ZONE_FANOUT, &mut self.rng);
        send_crash_reports(&targets, &other_zones, outbox);
    }

    /// Handles crash reports of a peer. `all` marks a crash table comparison: the message
    /// contains everything that the peer holds, and the reply contains what the peer lacks.
    pub(super) fn on_crash_reports(
        &mut self,
        from: &NodeId,
        reports: &[CrashReport],
        complete: bool,
        now: Moment,
        outbox: &mut Outbox,
    ) {
        let table = &self.crashes.table;
        let outdated: Vec<CrashReport> = reports
            .iter()
            .filter(|report| !report.cleared)
            .filter_map(|report| table.report(&report.identity, &report.instance, now))
            .filter(|held| held.cleared)
            .collect();
        let new = self.merge_reports(reports, now, outbox);
        self.forward_crash_reports(from, new, now, outbox);
        let mut answer = outdated;
        if complete {
            let lacking = |held: &CrashReport| {
                !reports
                    .iter()
                    .any(|received| is_same_report(received, held))
            };
            let compared = self.compared_reports(now);
            answer.extend(compared.into_iter().filter(lacking));
        }
        answer.truncate(POISON_REPORTS_PER_COMPARISON + RECENT_REPORTS_PER_COMPARISON);
        send_crash_reports(std::slice::from_ref(from), &answer, outbox);
    }

    /// Starts a crash table comparison when a peer's probe or acknowledgement carries
    /// another digest than this node's.
    pub(super) fn compare_crashes(
        &mut self,
        peer: &NodeId,
        body: &ProbeBody,
        now: Moment,
        outbox: &mut Outbox,
    ) {
        let is_probe = body.sequence != 0;
        if !is_probe {
            return;
        }
        self.crashes.now = now;
        if body.crash_digest == self.crashes.digest() {
            self.crashes.comparisons_left = 0;
            return;
        }
        if now >= self.crashes.next_comparison {
            self.crashes.next_comparison = now + MIN_COMPARISON_INTERVAL;
            self.crashes.comparisons_left = COMPARISONS_AFTER_MISMATCH;
            self.start_crash_table_comparison(peer, now, outbox);
        }
    }

    /// Starts crash table comparisons with several peers at once when this node first
    /// learns of peers. Successive random choices may all hit a peer that has just stopped.
    pub(super) fn compare_with_several_peers(&mut self, now: Moment, outbox: &mut Outbox) {
        let same_zone = self.membership.same_zone_peers().cloned();
        let peers = rendezvous::order(self.identity.id.as_str(), same_zone);
        for peer in peers.iter().take(COMPARISONS_AT_START as usize) {
            self.start_crash_table_comparison(peer, now, outbox);
        }
    }

    /// Starts the next scheduled crash table comparison with a random peer. Probes alone
    /// would synchronize a new node too slowly: they are a second apart, and messages are
    /// lost.
    fn start_scheduled_comparison(&mut self, now: Moment, outbox: &mut Outbox) {
        if self.crashes.comparisons_left == 0 {
            return;
        }
        if let Some(peer) = self.membership.random_peer_preferring_zone(&mut self.rng) {
            self.crashes.comparisons_left -= 1;
            self.start_crash_table_comparison(&peer, now, outbox);
        }
    }

    /// Sends this node's crash reports to `peer`, which replies with those that this node
    /// lacks.
    fn start_crash_table_comparison(&mut self, peer: &NodeId, now: Moment, outbox: &mut Outbox) {
        let reports = self.compared_reports(now);
        outbox.send(
            peer,
            Message::CrashReports {
                reports,
                complete: true,
            },
        );
    }

    /// Crash reports to send in a crash table comparison: those about poison requests, and
    /// a random sample of those of the last seconds.
    fn compared_reports(&mut self, now: Moment) -> Vec<CrashReport> {
        let table = &self.crashes.table;
        let mut reports = table.poison_reports(now);
        reports.truncate(POISON_REPORTS_PER_COMPARISON);
        let known: BTreeSet<ReportKey> = reports.iter().map(CrashReport::key).collect();
        let recent = table.recent(now).into_iter();
        let further = recent.filter(|report| !known.contains(&report.key()));
        reports.extend(further.choose_multiple(&mut self.rng, RECENT_REPORTS_PER_COMPARISON));
        reports
    }

    /// Sets the crash digest of an outgoing probe or acknowledgement.
    pub(super) fn attach_crash_digest(&mut self, message: &mut Message) {
        if let Message::Ping(body) | Message::Ack(body) = message {
            body.crash_digest = self.crashes.digest();
        }
    }

    /// Merges crash reports into the table, logs new quarantines and returns the reports
    /// that were new.
    fn merge_reports(
        &mut self,
        reports: &[CrashReport],
        now: Moment,
        outbox: &mut Outbox,
    ) -> Vec<CrashReport> {
        let mut new = Vec::new();
        for report in reports {
            if self.crashes.table.merge(report, now) != MergeOutcome::New {
                continue;
            }
            new.push(report.clone());
            if !report.cleared {
                let clearings = self.crashes.table.cleared_reports(&report.identity, now);
                self.schedule_repeats(clearings, CLEARING_GOSSIP_ROUNDS, true, now);
            }
            let standing = self.crashes.table.standing(&report.identity, now);
            if let QuarantineState::Quarantined { left, .. } = standing {
                let against = self.crashes.table.uncleared_reports(&report.identity, now);
                outbox.log_decision(quarantine_decision(report.identity, &against, left));
            }
        }
        new
    }

    /// Sends new crash reports to the whole zone and to some members of each other zone,
    /// and schedules repeats.
    fn broadcast_crash_reports(&mut self, new: Vec<CrashReport>, now: Moment, outbox: &mut Outbox) {
        let direct = self.settings.direct_update_fanout;
        let same_zone = self
            .membership
            .random_same_zone_peers(direct, &mut self.rng);
        send_crash_reports(&same_zone, &new, outbox);
        let other_zones = self
            .membership
            .random_other_zone_peers(REMOTE_ZONE_FANOUT, &mut self.rng);
        send_crash_reports(&other_zones, &new, outbox);
        self.schedule_repeats(new, ORIGIN_GOSSIP_ROUNDS, true, now);
    }

    /// Forwards new crash reports of a peer: those from another zone to this whole zone at
    /// once, others only in gossip rounds.
    fn forward_crash_reports(
        &mut self,
        from: &NodeId,
        new: Vec<CrashReport>,
        now: Moment,
        outbox: &mut Outbox,
    ) {
        if self.zone_of_member(from) != Some(&self.identity.zone) {
            let direct = self.settings.direct_update_fanout;
            let same_zone = self
                .membership
                .random_same_zone_peers(direct, &mut self.rng);
            send_crash_reports(&same_zone, &new, outbox);
        }
        self.schedule_repeats(new, FORWARD_GOSSIP_ROUNDS, false, now);
    }

    /// Zone of a member; `None` if the member is unknown.
    fn zone_of_member(&self, node: &NodeId) -> Option<&Zone> {
        self.membership.record(node).map(|record| &record.zone)
    }

    /// Schedules crash reports to be sent in the next `left` gossip rounds.
    fn schedule_repeats(
        &mut self,
        reports: Vec<CrashReport>,
        left: u32,
        other_zones: bool,
        now: Moment,
    ) {
        if reports.is_empty() {
            return;
        }
        if self.crashes.pending_gossip.is_empty() {
            self.crashes.next_round = now + self.settings.gossip_interval;
        }
        for report in reports {
            let transmissions = PendingCrashReport { left, other_zones };
            self.crashes
                .pending_gossip
                .insert(report.key(), transmissions);
        }
    }
}

/// Removes withdrawn crashes of poison requests from the store, where the crashes may be
/// recorded.
fn retract_recorded_crashes(recorded: &[CrashReport], new: &[CrashReport], outbox: &mut Outbox) {
    let recorded: BTreeSet<ReportKey> = recorded.iter().map(CrashReport::key).collect();
    let withdrawn: Vec<CrashReport> = new
        .iter()
        .filter(|report| report.cleared && recorded.contains(&report.key()))
        .cloned()
        .collect();
    if !withdrawn.is_empty() {
        outbox.actions.push(Action::ForgetCrashes(withdrawn));
    }
}

/// True when two reports are about the same crash under the same conditions.
fn is_same_report(left: &CrashReport, right: &CrashReport) -> bool {
    left.on_trial == right.on_trial && left.key() == right.key()
}

/// Log entry for a request that has been quarantined.
fn quarantine_decision(
    identity: RequestIdentity,
    against: &[CrashReport],
    left: Duration,
) -> Decision {
    Decision::RequestQuarantined {
        identity,
        instances: against
            .iter()
            .map(|report| report.instance.clone())
            .collect(),
        ages_ms: against
            .iter()
            .map(|report| report.age.as_millis() as u64)
            .collect(),
        left_ms: left.as_millis() as u64,
    }
}

/// Sends crash reports to each target, in as many messages as needed.
fn send_crash_reports(targets: &[NodeId], reports: &[CrashReport], outbox: &mut Outbox) {
    for target in targets {
        for reports in reports.chunks(REPORTS_PER_MESSAGE) {
            let reports = reports.to_vec();
            outbox.send(
                target,
                Message::CrashReports {
                    reports,
                    complete: false,
                },
            );
        }
    }
}
