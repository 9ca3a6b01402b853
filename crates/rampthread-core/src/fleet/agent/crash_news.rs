//! How reports of crashes reach every node: told at once to the whole zone and to
//! some members of each other zone, which tell theirs; repeated a few times; and
//! compared with each probe, so that a node that was cut off, lost the messages
//! or has just started learns them from the first peer that answers it.

use super::Agent;
use crate::call::identity::RequestIdentity;
use crate::call::quarantine::{QUARANTINE_CRASHES, Standing};
use crate::fleet::action::{Action, Decision, Outbox};
use crate::fleet::crash_table::{CrashReport, CrashTable, ReportKey, Taken};
use crate::fleet::message::{Message, ProbeBody};
use crate::ids::{NodeId, Zone};
use crate::rendezvous;
use crate::time::Moment;
use rand::seq::IteratorRandom;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Reports in one message: it fits a datagram.
const REPORTS_PER_MESSAGE: usize = 12;
/// Reports of one comparison of tables, in bytes about 64 kB: those under which
/// several back ends have crashed, so there are few.
const REPORTS_PER_COMPARISON: usize = 1_024;
/// Reports of one comparison under which a single back end has crashed, drawn where
/// there are more: in bytes about 16 kB.
const RECENT_PER_COMPARISON: usize = 256;
/// Members of each other zone that are told at once.
const FAR_TOLD: usize = 2;
/// Rounds in which the node that saw a crash repeats it. With 30 of 100 messages
/// lost, 1 of 1,000 zones misses all of them, and learns it by comparison.
const ROUNDS_OF_ORIGIN: u32 = 3;
/// Rounds in which others repeat what they have heard.
const ROUNDS_OF_OTHERS: u32 = 3;
/// Rounds in which the clearing of an earlier crash is told when a later one makes
/// it matter: many nodes may know of it, so that each tells few.
const ROUNDS_OF_CLEARINGS: u32 = 2;
/// Members of the own zone that are told in a round.
const TOLD_PER_ROUND: usize = 2;
/// Least time between two comparisons that this node begins.
const COMPARISON_INTERVAL: Duration = Duration::from_millis(250);

/// Comparisons with further peers after one that showed a difference: with 30 of
/// 100 messages lost, one in four comes to its end.
const FURTHER_COMPARISONS: u32 = 8;
/// Comparisons that a node begins at its start and after a suspension, one a round.
/// Its first probe may go to a peer that has just ended, and the next one comes a second
/// later: a fleet of four told a new node after 2.1 s so, now within 0.5 s (fleet in
/// memory).
const COMPARISONS_AT_START: u32 = 4;

/// Rounds in which a report is still told.
#[derive(Debug, Clone, Copy)]
struct Rounds {
    left: u32,
    /// Other zones are told as well.
    far: bool,
}

/// The table of crashes and what is still to be told of it.
#[derive(Debug)]
pub(super) struct CrashNews {
    table: CrashTable,
    untold: BTreeMap<ReportKey, Rounds>,
    next_round: Moment,
    next_comparison: Moment,
    /// Comparisons that are still to be made, since this node has just started or
    /// woken, or a peer's table differed.
    comparisons_left: u32,
    digest: u64,
    digest_revision: u64,
    /// When this node last ticked or heard a probe: probes and their answers carry a
    /// digest as of then.
    now: Moment,
}

impl CrashNews {
    /// Nothing is known yet, and peers are to be asked.
    pub(super) fn new() -> Self {
        Self {
            table: CrashTable::default(),
            untold: BTreeMap::new(),
            next_round: Moment::default(),
            next_comparison: Moment::default(),
            comparisons_left: COMPARISONS_AT_START,
            digest: 0,
            digest_revision: 0,
            now: Moment::default(),
        }
    }

    /// What is known may be old: peers are asked as at the start.
    pub(super) fn ask_others(&mut self) {
        self.comparisons_left = COMPARISONS_AT_START;
    }

    /// Of what peers compare: reports on offenders, and those of the last seconds. Each
    /// probe carries it.
    fn digest(&mut self) -> u64 {
        if self.digest_revision != self.table.revision() {
            self.digest_revision = self.table.revision();
            self.digest = self.table.digest();
        }
        self.digest ^ self.table.recent_digest(self.now)
    }
}

impl Agent {
    /// Every report of a crash that this node knows.
    pub fn crash_table(&self) -> &CrashTable {
        &self.crashes.table
    }

    /// Takes what this node itself has seen: crashes, or that they were none.
    pub fn report_crashes(&mut self, reports: &[CrashReport], now: Moment) -> Vec<Action> {
        let mut outbox = Outbox::default();
        let recorded = self.crashes.table.against_offenders(now);
        let new = self.take_reports(reports, now, &mut outbox);
        self.record_offenders(&new, now, &mut outbox);
        forget_withdrawn(&recorded, &new, &mut outbox);
        self.tell_of_crashes(new, now, &mut outbox);
        self.finish(outbox)
    }

    /// Takes what others tell the rest of the fleet, or what all can read: the word
    /// of a gate that came with its answer, and crashes that were on record.
    pub fn note_crashes(&mut self, reports: &[CrashReport], now: Moment) -> Vec<Action> {
        let mut outbox = Outbox::default();
        self.take_reports(reports, now, &mut outbox);
        self.finish(outbox)
    }

    /// The node that saw the last crash keeps all that counts against a request.
    fn record_offenders(&self, new: &[CrashReport], now: Moment, outbox: &mut Outbox) {
        let identities: BTreeSet<RequestIdentity> = new
            .iter()
            .filter(|report| !report.cleared)
            .map(|report| report.identity)
            .collect();
        for identity in identities {
            let against = self.crashes.table.against(&identity, now);
            if against.len() >= QUARANTINE_CRASHES {
                outbox.actions.push(Action::RecordCrashes(against));
            }
        }
    }

    /// A back end has answered the request at `until`, or an operator lifts its
    /// quarantine: crashes up to then count no more.
    pub fn clear_request(
        &mut self,
        identity: &RequestIdentity,
        until: Moment,
        origin: &str,
        now: Moment,
    ) -> Vec<Action> {
        let mut outbox = Outbox::default();
        let crashes = self.crashes.table.against(identity, now).len();
        let cleared = self.crashes.table.clear(identity, until, now);
        if !cleared.is_empty() {
            outbox.explain(Decision::RequestCleared {
                identity: *identity,
                crashes,
                origin: origin.to_string(),
            });
        }
        // The clearing of a single crash matters only if a second one follows, and
        // is told then. A crash with 18 calls under way costs a fleet of 430 nodes
        // 6.5 kB a node so, 9.2 kB with all clearings told.
        if crashes >= QUARANTINE_CRASHES {
            outbox.actions.push(Action::ForgetCrashes(cleared.clone()));
            self.tell_of_crashes(cleared, now, &mut outbox);
        }
        self.finish(outbox)
    }

    /// Repeats what may not be known everywhere, and forgets what is old.
    pub(super) fn tick_crash_news(&mut self, now: Moment, outbox: &mut Outbox) {
        self.crashes.now = now;
        let idle = self.crashes.table.is_empty() && self.crashes.comparisons_left == 0;
        if idle || now < self.crashes.next_round {
            return;
        }
        self.crashes.next_round = now + self.settings.gossip_interval;
        self.crashes.table.forget_old(now);
        self.compare_further(now, outbox);
        let due = std::mem::take(&mut self.crashes.untold);
        let (mut near, mut far) = (Vec::new(), Vec::new());
        for (key, rounds) in due {
            let (identity, instance) = &key;
            let Some(report) = self.crashes.table.held(identity, instance, now) else {
                continue;
            };
            if rounds.far {
                far.push(report.clone());
            }
            near.push(report);
            let left = rounds.left - 1;
            if left > 0 {
                let rounds = Rounds { left, ..rounds };
                self.crashes.untold.insert(key, rounds);
            }
        }
        let targets = self.membership.near_targets(TOLD_PER_ROUND, &mut self.rng);
        send_reports(&targets, &near, outbox);
        let targets = self.membership.far_targets(FAR_TOLD, &mut self.rng);
        send_reports(&targets, &far, outbox);
    }

    /// Reports of a peer. `all`: everything that it holds against offenders, to be
    /// answered with what it lacks.
    pub(super) fn on_crash_reports(
        &mut self,
        from: &NodeId,
        reports: &[CrashReport],
        all: bool,
        now: Moment,
        outbox: &mut Outbox,
    ) {
        let table = &self.crashes.table;
        let outdated: Vec<CrashReport> = reports
            .iter()
            .filter(|report| !report.cleared)
            .filter_map(|report| table.held(&report.identity, &report.instance, now))
            .filter(|held| held.cleared)
            .collect();
        let new = self.take_reports(reports, now, outbox);
        self.pass_on(from, new, now, outbox);
        let mut answer = outdated;
        if all {
            let lacking = |held: &CrashReport| !reports.iter().any(|told| is_same(told, held));
            let compared = self.compared_reports(now);
            answer.extend(compared.into_iter().filter(lacking));
        }
        answer.truncate(REPORTS_PER_COMPARISON + RECENT_PER_COMPARISON);
        send_reports(std::slice::from_ref(from), &answer, outbox);
    }

    /// A probe or its answer: where the peer holds other reports, they are compared.
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
            self.crashes.next_comparison = now + COMPARISON_INTERVAL;
            self.crashes.comparisons_left = FURTHER_COMPARISONS;
            self.begin_comparison(peer, now, outbox);
        }
    }

    /// A node that has just learnt whom there is asks several at once: of two that are
    /// drawn one after the other both may be the same one that has ended unseen.
    pub(super) fn compare_with_several(&mut self, now: Moment, outbox: &mut Outbox) {
        let near = self.membership.near_peers().cloned();
        let peers = rendezvous::order(self.identity.id.as_str(), near);
        for peer in peers.iter().take(COMPARISONS_AT_START as usize) {
            self.begin_comparison(peer, now, outbox);
        }
    }

    /// Probes are a second apart, messages are lost, and peers end: at the start, and
    /// while tables differ, others are asked as well.
    fn compare_further(&mut self, now: Moment, outbox: &mut Outbox) {
        if self.crashes.comparisons_left == 0 {
            return;
        }
        if let Some(peer) = self.membership.mostly_near_peer(&mut self.rng) {
            self.crashes.comparisons_left -= 1;
            self.begin_comparison(&peer, now, outbox);
        }
    }

    fn begin_comparison(&mut self, peer: &NodeId, now: Moment, outbox: &mut Outbox) {
        let reports = self.compared_reports(now);
        outbox.send(peer, Message::CrashReports { reports, all: true });
    }

    /// What this node holds against offenders, and of the last seconds besides.
    fn compared_reports(&mut self, now: Moment) -> Vec<CrashReport> {
        let table = &self.crashes.table;
        let mut reports = table.against_offenders(now);
        reports.truncate(REPORTS_PER_COMPARISON);
        let known: BTreeSet<ReportKey> = reports.iter().map(CrashReport::key).collect();
        let recent = table.recent(now).into_iter();
        let further = recent.filter(|report| !known.contains(&report.key()));
        reports.extend(further.choose_multiple(&mut self.rng, RECENT_PER_COMPARISON));
        reports
    }

    /// Writes the digest of this node's table into what it sends.
    pub(super) fn name_crash_digest(&mut self, message: &mut Message) {
        if let Message::Ping(body) | Message::Ack(body) = message {
            body.crash_digest = self.crashes.digest();
        }
    }

    /// Takes reports in; returns those that were new.
    fn take_reports(
        &mut self,
        reports: &[CrashReport],
        now: Moment,
        outbox: &mut Outbox,
    ) -> Vec<CrashReport> {
        let mut new = Vec::new();
        for report in reports {
            if self.crashes.table.take(report, now) != Taken::New {
                continue;
            }
            new.push(report.clone());
            if !report.cleared {
                let clearings = self.crashes.table.clearings(&report.identity, now);
                self.repeat(clearings, ROUNDS_OF_CLEARINGS, true, now);
            }
            let standing = self.crashes.table.standing(&report.identity, now);
            if let Standing::Quarantined { left, .. } = standing {
                let against = self.crashes.table.against(&report.identity, now);
                outbox.explain(quarantined(report.identity, &against, left));
            }
        }
        new
    }

    /// Tells the whole zone and some of each other one, and remembers to repeat it.
    fn tell_of_crashes(&mut self, new: Vec<CrashReport>, now: Moment, outbox: &mut Outbox) {
        let direct = self.settings.direct_update_fanout;
        let near = self.membership.near_targets(direct, &mut self.rng);
        send_reports(&near, &new, outbox);
        let far = self.membership.far_targets(FAR_TOLD, &mut self.rng);
        send_reports(&far, &new, outbox);
        self.repeat(new, ROUNDS_OF_ORIGIN, true, now);
    }

    /// What another zone told is told to the whole own one; what a member of this
    /// zone told, to some of it.
    fn pass_on(&mut self, from: &NodeId, new: Vec<CrashReport>, now: Moment, outbox: &mut Outbox) {
        if self.zone_of(from) != Some(&self.identity.zone) {
            let direct = self.settings.direct_update_fanout;
            let near = self.membership.near_targets(direct, &mut self.rng);
            send_reports(&near, &new, outbox);
        }
        self.repeat(new, ROUNDS_OF_OTHERS, false, now);
    }

    fn zone_of(&self, node: &NodeId) -> Option<&Zone> {
        self.membership.record(node).map(|record| &record.zone)
    }

    fn repeat(&mut self, reports: Vec<CrashReport>, left: u32, far: bool, now: Moment) {
        if reports.is_empty() {
            return;
        }
        if self.crashes.untold.is_empty() {
            self.crashes.next_round = now + self.settings.gossip_interval;
        }
        for report in reports {
            let rounds = Rounds { left, far };
            self.crashes.untold.insert(report.key(), rounds);
        }
    }
}

/// What counted against an offender may be on record.
fn forget_withdrawn(recorded: &[CrashReport], new: &[CrashReport], outbox: &mut Outbox) {
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

fn is_same(left: &CrashReport, right: &CrashReport) -> bool {
    left.on_trial == right.on_trial && left.key() == right.key()
}

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
                    all: false,
                },
            );
        }
    }
}
