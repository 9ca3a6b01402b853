//! Dissemination of backend crash reports.
//!
//! A report is sent at once to the whole zone and to some members of each other zone, which
//! forward it within theirs, and is repeated for a few rounds. Probes carry a digest of the
//! table, so that a node that was partitioned, lost messages or has just started
//! synchronizes with the first peer that answers.

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

/// Reports in one message, so that it fits a datagram.
const REPORTS_PER_MESSAGE: usize = 12;
/// Reports sent in one comparison about requests that crashed several backends; about 64
/// kB.
const POISON_REPORTS_PER_COMPARISON: usize = 1_024;
/// Reports sent in one comparison about requests that crashed a single backend, sampled at
/// random if there are more; about 16 kB.
const RECENT_REPORTS_PER_COMPARISON: usize = 256;
/// Members of each other zone to which a new report is sent.
const REMOTE_ZONE_FANOUT: usize = 2;
/// Rounds in which the node that observed a crash repeats its report. At 30% message loss,
/// 1 of 1,000 zones misses all of them and recovers by comparison.
const ORIGIN_GOSSIP_ROUNDS: u32 = 3;
/// Rounds in which other nodes repeat a report.
const FORWARD_GOSSIP_ROUNDS: u32 = 3;
/// Rounds in which the clearing of an earlier crash is sent once a later crash makes it
/// relevant. Low, since many nodes may send it.
const CLEARING_GOSSIP_ROUNDS: u32 = 2;
/// Members of the own zone to which reports are sent in a round.
const LOCAL_ZONE_FANOUT: usize = 2;
/// Shortest interval between two comparisons started by this node.
const MIN_COMPARISON_INTERVAL: Duration = Duration::from_millis(250);
/// Number of further comparisons after one that found a difference; at 30% message loss,
/// one in four succeeds.
const COMPARISONS_AFTER_MISMATCH: u32 = 8;
/// Comparisons that a node starts after its start or a suspension, one per round. More than
/// one, since the first peer may have just stopped and probes are a second apart.
const COMPARISONS_AT_START: u32 = 4;
/// Remaining gossip rounds of a crash report.
#[derive(Debug, Clone, Copy)]
struct Transmissions {
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
    pending_gossip: BTreeMap<ReportKey, Transmissions>,
    next_round: Moment,
    /// Earliest time of the next comparison triggered by a probe.
    next_comparison: Moment,
    /// Comparisons still to be started: after a start, a suspension or a digest mismatch.
    comparisons_left: u32,
    /// Cached digest of the reports on poison requests.
    digest: u64,
    /// Revision of the crash table for which `digest` was computed.
    digest_revision: u64,
    /// Time of the last tick or probe; digests in outgoing probes are computed for it.
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

    /// Schedules comparisons as after a start, since the table may be outdated.
    pub(super) fn schedule_comparisons(&mut self) {
        self.comparisons_left = COMPARISONS_AT_START;
    }
    /// Digest carried by probes: covers reports on poison requests (those that crashed
    /// several backends) and reports of the last seconds.
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

    /// Records crashes observed by this node, or corrections of them, and announces them.
    pub fn report_crashes(&mut self, reports: &[CrashReport], now: Moment) -> Vec<Action> {
        let mut outbox = Outbox::default();
        let recorded = self.crashes.table.poison_reports(now);
        let new = self.merge_reports(reports, now, &mut outbox);
        self.persist_poison_crashes(&new, now, &mut outbox);
        retract_recorded_crashes(&recorded, &new, &mut outbox);
        self.broadcast_crash_reports(new, now, &mut outbox);
        self.finish(outbox)
    }

    /// Records reports that need no announcement: received with a peer's response, which
    /// other nodes get as well, or read from the store.
    pub fn merge_crash_reports(&mut self, reports: &[CrashReport], now: Moment) -> Vec<Action> {
        let mut outbox = Outbox::default();
        self.merge_reports(reports, now, &mut outbox);
        self.finish(outbox)
    }
    /// Stores all crashes of a request that has crashed enough backends to be quarantined.
    /// Done by the node that observed the last crash.
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
    /// Clears the crashes of a request up to `until`: a backend answered the request then,
    /// or an operator lifted its quarantine.
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
        // The clearing of a single crash matters only when a second crash follows, and is
        // sent then. This saves traffic after a crash with many calls in
        // flight.
        if crashes >= QUARANTINE_CRASHES {
            outbox.actions.push(Action::ForgetCrashes(cleared.clone()));
            self.broadcast_crash_reports(cleared, now, &mut outbox);
        }
        self.finish(outbox)
    }

    /// Sends pending reports, starts due comparisons and drops expired reports.
    pub(super) fn tick_crash_gossip(&mut self, now: Moment, outbox: &mut Outbox) {
        self.crashes.now = now;
        let idle = self.crashes.table.is_empty() && self.crashes.comparisons_left == 0;
        if idle || now < self.crashes.next_round {
            return;
        }
        self.crashes.next_round = now + self.settings.gossip_interval;
        self.crashes.table.forget_old(now);
        self.continue_comparisons(now, outbox);
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
                let transmissions = Transmissions {
                    left,
                    ..transmissions
                };
                self.crashes.pending_gossip.insert(key, transmissions);
            }
        }
        let targets = self
            .membership
            .random_same_zone_peers(LOCAL_ZONE_FANOUT, &mut self.rng);
        send_reports(&targets, &same_zone, outbox);
        let targets = self
            .membership
            .random_other_zone_peers(REMOTE_ZONE_FANOUT, &mut self.rng);
        send_reports(&targets, &other_zones, outbox);
    }

    /// Handles a peer's reports. `all` marks a comparison with everything that the peer
    /// holds; the response contains what it lacks.
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
        send_reports(std::slice::from_ref(from), &answer, outbox);
    }

    /// Starts a comparison when a probe or its response carries a different digest.
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
            self.begin_comparison(peer, now, outbox);
        }
    }

    /// Compares with several peers at once when this node first learns of peers: successive
    /// random choices may all hit a peer that has just stopped.
    pub(super) fn compare_with_several_peers(&mut self, now: Moment, outbox: &mut Outbox) {
        let same_zone = self.membership.same_zone_peers().cloned();
        let peers = rendezvous::order(self.identity.id.as_str(), same_zone);
        for peer in peers.iter().take(COMPARISONS_AT_START as usize) {
            self.begin_comparison(peer, now, outbox);
        }
    }

    /// Starts the next scheduled comparison. Probes alone are too slow: they are a second
    /// apart, and messages or peers may be lost.
    fn continue_comparisons(&mut self, now: Moment, outbox: &mut Outbox) {
        if self.crashes.comparisons_left == 0 {
            return;
        }
        if let Some(peer) = self.membership.random_peer_preferring_zone(&mut self.rng) {
            self.crashes.comparisons_left -= 1;
            self.begin_comparison(&peer, now, outbox);
        }
    }

    fn begin_comparison(&mut self, peer: &NodeId, now: Moment, outbox: &mut Outbox) {
        let reports = self.compared_reports(now);
        outbox.send(
            peer,
            Message::CrashReports {
                reports,
                complete: true,
            },
        );
    }

    /// Reports for a comparison: those on quarantined requests, and a sample of those of
    /// the last seconds.
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

    /// Merges reports into the table and returns the new ones.
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
                outbox.log_decision(quarantined(report.identity, &against, left));
            }
        }
        new
    }

    /// Sends new reports to the whole zone and to some members of each other zone, and
    /// schedules repeats.
    fn broadcast_crash_reports(&mut self, new: Vec<CrashReport>, now: Moment, outbox: &mut Outbox) {
        let direct = self.settings.direct_update_fanout;
        let same_zone = self
            .membership
            .random_same_zone_peers(direct, &mut self.rng);
        send_reports(&same_zone, &new, outbox);
        let other_zones = self
            .membership
            .random_other_zone_peers(REMOTE_ZONE_FANOUT, &mut self.rng);
        send_reports(&other_zones, &new, outbox);
        self.schedule_repeats(new, ORIGIN_GOSSIP_ROUNDS, true, now);
    }

    /// Forwards new reports: those from another zone to the whole own zone, others only in
    /// gossip rounds.
    fn forward_crash_reports(
        &mut self,
        from: &NodeId,
        new: Vec<CrashReport>,
        now: Moment,
        outbox: &mut Outbox,
    ) {
        if self.zone_of(from) != Some(&self.identity.zone) {
            let direct = self.settings.direct_update_fanout;
            let same_zone = self
                .membership
                .random_same_zone_peers(direct, &mut self.rng);
            send_reports(&same_zone, &new, outbox);
        }
        self.schedule_repeats(new, FORWARD_GOSSIP_ROUNDS, false, now);
    }

    fn zone_of(&self, node: &NodeId) -> Option<&Zone> {
        self.membership.record(node).map(|record| &record.zone)
    }
    /// Schedules reports for `left` gossip rounds.
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
            let transmissions = Transmissions { left, other_zones };
            self.crashes
                .pending_gossip
                .insert(report.key(), transmissions);
        }
    }
}
/// Removes withdrawn crashes of poison requests from the store, where they may be recorded.
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
fn quarantined(identity: RequestIdentity, against: &[CrashReport], left: Duration) -> Decision {
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

fn send_reports(targets: &[NodeId], reports: &[CrashReport], outbox: &mut Outbox) {
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
