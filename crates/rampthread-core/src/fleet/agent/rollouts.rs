//! Roll-outs: orders come from the store to those who watch it, states go around by
//! messages, evidence goes to who decides.
//!
//! A state that is new is passed on at once to a few members, so that it reaches a fleet of
//! any size in a few steps; the decider tells what changes for callers to many directly. A
//! state that only shows that the decider lives is passed on once. Without an order no
//! message is sent.

use super::Agent;
use crate::fleet::action::{Action, Decision, Outbox};
use crate::fleet::message::{Message, ProcessEpoch};
use crate::ids::{NodeId, ResourceName, SoftwareVersion};
use crate::rendezvous;
use crate::rollout::decider::{DeciderContext, DeciderOutput};
use crate::rollout::table::OrderSource;
use crate::rollout::{
    Decider, DeciderResponse, RolloutBounds, RolloutOrder, RolloutState, RolloutTable,
    VersionEvidence, VersionRule,
};
use crate::time::Moment;
use std::collections::BTreeMap;
use std::time::Duration;

/// Members of the own zone that are told at a time.
const NEAR_TOLD: usize = 3;
/// Members of each other zone that are told by a node that has heard something new for
/// callers; of what only shows that the decider lives, one other zone is told.
const FAR_TOLD: usize = 1;
/// Members that the decider tells itself what changes for callers.
const DIRECTLY_TOLD: usize = 96;
/// Times that a node passes on what changes for callers, with [`ROUND`] between them.
const ROUNDS_OF_CHANGES: u32 = 3;
/// Time between two of them.
const ROUND: Duration = Duration::from_millis(150);
/// Least time between two reports of evidence of one node.
const LEAST_REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Time for each member, where that makes more than [`LEAST_REPORT_INTERVAL`]: the decider
/// hears of at most some 330 nodes a second in a fleet of any size.
const REPORT_INTERVAL_A_MEMBER: Duration = Duration::from_millis(3);
/// Time between two reports of everything: rows that have not changed since they were
/// reported are left out meanwhile, and a message may be lost or the decider new.
const WHOLE_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Rows of evidence in one datagram: some 60 bytes each.
const ROWS_PER_MESSAGE: usize = 20;
/// Silence of an open roll-out after which peers are asked: the decider confirms it twice
/// a second.
const STANDSTILL: Duration = Duration::from_secs(2);
/// Time between two questions to peers.
const QUESTION_INTERVAL: Duration = Duration::from_millis(500);
/// The same after [`QUESTIONS_AT_FIRST`] in vain.
const LATER_QUESTION_INTERVAL: Duration = Duration::from_secs(10);
/// The same while a roll-out that is known stands still: it may have ended long ago.
const STANDSTILL_QUESTION_INTERVAL: Duration = Duration::from_secs(2);
/// Questions at short intervals.
const QUESTIONS_AT_FIRST: u32 = 8;
/// Key of the order in which watchers take over.
const DECIDERS_KEY: &str = "roll-out deciders";

/// One node's part in roll-outs.
#[derive(Debug)]
pub(super) struct Rollouts {
    bounds: RolloutBounds,
    table: RolloutTable,
    decider: Decider,
    /// States that are still to be passed on, with the rounds left.
    untold: BTreeMap<ResourceName, u32>,
    next_telling: Moment,
    evidence: Vec<VersionEvidence>,
    evidence_is_new: bool,
    next_report: Moment,
    /// What was reported last, and when all of it is told again.
    reported: Vec<VersionEvidence>,
    next_whole_report: Moment,
    /// When peers are asked next, and how often they were asked in vain.
    next_question: Moment,
    questions: u32,
}

impl Rollouts {
    pub(super) fn new(me: NodeId, bounds: RolloutBounds) -> Self {
        Self {
            bounds,
            table: RolloutTable::default(),
            decider: Decider::new(me, bounds),
            untold: BTreeMap::new(),
            next_telling: Moment::default(),
            evidence: Vec::new(),
            evidence_is_new: false,
            next_report: Moment::default(),
            reported: Vec::new(),
            next_whole_report: Moment::default(),
            next_question: Moment::default(),
            questions: 0,
        }
    }
}

impl Agent {
    /// Takes orders that stand in the store: written just now, or found there.
    pub fn on_orders(
        &mut self,
        orders: &[RolloutOrder],
        source: OrderSource,
        now: Moment,
    ) -> Vec<Action> {
        let mut outbox = Outbox::default();
        let Some(roll_outs) = &mut self.roll_outs else {
            return Vec::new();
        };
        let mut new = Vec::new();
        for order in orders {
            if roll_outs.table.accept_order(order, source, now) {
                new.extend(roll_outs.table.state(&order.service, now));
            } else if source == OrderSource::NewWrite {
                // Written again: the store may have lost what was on record.
                roll_outs.decider.recheck(now);
            }
        }
        for state in &new {
            outbox.explain(decision(state, "the order was read"));
        }
        match source {
            OrderSource::NewWrite => self.tell_widely(new, now, &mut outbox),
            // Most likely others know more of it: a node that starts finds old orders.
            OrderSource::Existing => {
                self.pass_on_later(&new, 1, now);
                outbox.actions.push(Action::RolloutsChanged);
            }
        }
        self.tick_roll_outs(now, &mut outbox);
        self.finish(outbox)
    }

    /// The store came back from an older copy: a lease of before is none any more.
    pub(super) fn end_decision(&mut self, now: Moment) {
        if let Some(roll_outs) = &mut self.roll_outs {
            roll_outs.decider.on_store_restored(&roll_outs.table, now);
        }
    }

    /// Takes what callers of this node got from versions that are being brought in.
    pub fn note_evidence(&mut self, evidence: Vec<VersionEvidence>) {
        if let Some(roll_outs) = &mut self.roll_outs
            && roll_outs.evidence != evidence
        {
            roll_outs.evidence = evidence;
            roll_outs.evidence_is_new = true;
        }
    }

    /// Takes the store's answer to a call for a decision.
    pub fn on_decider_answer(&mut self, answer: DeciderResponse, now: Moment) -> Vec<Action> {
        let mut outbox = Outbox::default();
        if let Some(roll_outs) = &mut self.roll_outs {
            let table = &mut roll_outs.table;
            let step = roll_outs.decider.on_response(answer, table, now);
            self.carry_out(step, now, &mut outbox);
        }
        self.tick_roll_outs(now, &mut outbox);
        self.finish(outbox)
    }

    /// All roll-outs that this node knows.
    pub fn roll_outs(&self, now: Moment) -> Vec<RolloutState> {
        let roll_outs = self.roll_outs.as_ref();
        roll_outs.map_or_else(Vec::new, |roll_outs| roll_outs.table.states(now))
    }

    /// What entries may do with the versions of each service.
    pub fn version_rules(&self, now: Moment) -> BTreeMap<ResourceName, VersionRule> {
        let roll_outs = self.roll_outs.as_ref();
        roll_outs.map_or_else(BTreeMap::new, |roll_outs| {
            roll_outs.table.rules(&roll_outs.bounds, now)
        })
    }

    /// True while this node decides.
    pub fn decides_roll_outs(&self, now: Moment) -> bool {
        let roll_outs = self.roll_outs.as_ref();
        roll_outs.is_some_and(|roll_outs| roll_outs.decider.holds_lease(now))
    }

    pub(super) fn tick_roll_outs(&mut self, now: Moment, outbox: &mut Outbox) {
        let idle = |roll_outs: &Rollouts| roll_outs.table.is_empty();
        if self.roll_outs.as_ref().is_none_or(idle) {
            self.ask_peers(now, outbox);
            return;
        }
        let rank = self.decider_rank();
        let eligible = self.store_watch.watches();
        let Some(roll_outs) = &mut self.roll_outs else {
            return;
        };
        let membership = &self.membership;
        let slots = |service: &ResourceName, version: &SoftwareVersion| {
            let mut slots = (0, 0);
            for record in membership.records().filter(|record| record.reachable()) {
                let Some(endpoint) = &record.endpoint else {
                    continue;
                };
                if endpoint.service != *service || endpoint.draining {
                    continue;
                }
                let sum: &mut u32 = match endpoint.version.as_ref() == Some(version) {
                    true => &mut slots.0,
                    false => &mut slots.1,
                };
                *sum = sum.saturating_add(endpoint.slots);
            }
            slots
        };
        let context = DeciderContext {
            eligible,
            rank,
            slots: &slots,
            evidence_collection_time: WHOLE_REPORT_INTERVAL
                + report_interval(membership.records().count()),
        };
        let step = roll_outs.decider.tick(&mut roll_outs.table, &context, now);
        self.carry_out(step, now, outbox);
        self.pass_on_states(now, outbox);
        self.ask_peers(now, outbox);
        self.report_evidence(now, outbox);
    }

    /// A node that was cut off, suspended or has just started may have missed what others
    /// know: it asks one of them while a roll-out that it knows seems to stand still, or
    /// back ends of several versions stand side by side and it knows of no roll-out.
    fn ask_peers(&mut self, now: Moment, outbox: &mut Outbox) {
        let Some(roll_outs) = &self.roll_outs else {
            return;
        };
        if now < roll_outs.next_question {
            return;
        }
        let silence = roll_outs.table.longest_silence(now);
        let stands_still = silence.is_some_and(|silence| silence >= STANDSTILL);
        let known = roll_outs.table.states(now);
        let lacks_some = self.has_unknown_versions(now);
        let lacks = stands_still || lacks_some;
        // A peer answers only for what is named, and for all where nothing is.
        let asked = if lacks_some { Vec::new() } else { known };
        let peer = self.membership.mostly_near_peer(&mut self.rng);
        let Some(roll_outs) = &mut self.roll_outs else {
            return;
        };
        roll_outs.questions = if lacks { roll_outs.questions + 1 } else { 0 };
        let pause = match roll_outs.questions > QUESTIONS_AT_FIRST {
            true if stands_still => STANDSTILL_QUESTION_INTERVAL,
            true => LATER_QUESTION_INTERVAL,
            false => QUESTION_INTERVAL,
        };
        roll_outs.next_question = now + pause;
        if let Some(peer) = peer.filter(|_| lacks) {
            outbox.send(&peer, Message::Rollouts(asked));
        }
    }

    /// True when back ends of several versions of a service stand side by side, and no
    /// roll-out of it is known.
    fn has_unknown_versions(&self, now: Moment) -> bool {
        let mut versions: BTreeMap<&ResourceName, &SoftwareVersion> = BTreeMap::new();
        let known = self.version_rules(now);
        let records = self
            .membership
            .records()
            .filter(|record| record.reachable());
        for endpoint in records.filter_map(|record| record.endpoint.as_ref()) {
            let Some(version) = &endpoint.version else {
                continue;
            };
            let first = versions.entry(&endpoint.service).or_insert(version);
            if *first != version && !known.contains_key(&endpoint.service) {
                return true;
            }
        }
        false
    }

    fn decider_rank(&self) -> u32 {
        let me = &self.identity.id;
        let mine = rendezvous::weight(DECIDERS_KEY, me);
        let watchers = self.store_watch.chosen_watchers().iter();
        watchers
            .filter(|peer| *peer != me && rendezvous::weight(DECIDERS_KEY, peer) > mine)
            .count() as u32
    }

    fn carry_out(&mut self, step: DeciderOutput, now: Moment, outbox: &mut Outbox) {
        for made in &step.decisions {
            outbox.explain(decision(&made.state, &made.reason));
        }
        if let Some(call) = step.request {
            outbox.actions.push(Action::AskDeciderStore(call));
        }
        let changed = |told: &RolloutState| {
            let made = step.decisions.iter();
            made.clone().any(|made| made.state.service == told.service)
        };
        let (changes, beats): (Vec<_>, Vec<_>) = step.updates.into_iter().partition(changed);
        self.tell_widely(changes, now, outbox);
        self.pass_on_later(&beats, 1, now);
    }

    /// What changes for callers goes to many at once.
    fn tell_widely(&mut self, states: Vec<RolloutState>, now: Moment, outbox: &mut Outbox) {
        if states.is_empty() {
            return;
        }
        self.pass_on_later(&states, ROUNDS_OF_CHANGES, now);
        outbox.actions.push(Action::RolloutsChanged);
        let peers = self
            .membership
            .reachable_peers()
            .map(|peer| peer.id.clone());
        let order = rendezvous::order(self.identity.id.as_str(), peers);
        for peer in order.iter().take(DIRECTLY_TOLD) {
            outbox.send(peer, Message::Rollouts(states.clone()));
        }
    }

    fn pass_on_later(&mut self, states: &[RolloutState], rounds: u32, now: Moment) {
        let Some(roll_outs) = &mut self.roll_outs else {
            return;
        };
        for state in states {
            let left = roll_outs.untold.entry(state.service.clone()).or_default();
            *left = (*left).max(rounds);
            roll_outs.next_telling = now;
        }
    }

    fn pass_on_states(&mut self, now: Moment, outbox: &mut Outbox) {
        let Some(roll_outs) = &mut self.roll_outs else {
            return;
        };
        if roll_outs.untold.is_empty() || now < roll_outs.next_telling {
            return;
        }
        roll_outs.next_telling = now + ROUND;
        let due = std::mem::take(&mut roll_outs.untold);
        let services = due.keys();
        let states: Vec<RolloutState> = services
            .filter_map(|service| roll_outs.table.state(service, now))
            .collect();
        let changes = due.values().any(|left| *left > 1);
        let further = due.into_iter().filter(|(_, left)| *left > 1);
        roll_outs.untold = further.map(|(service, left)| (service, left - 1)).collect();
        let mut targets = self.membership.near_targets(NEAR_TOLD, &mut self.rng);
        if changes {
            targets.extend(self.membership.far_targets(FAR_TOLD, &mut self.rng));
        } else {
            targets.extend(self.membership.far_peer(&mut self.rng));
        }
        for target in &targets {
            outbox.send(target, Message::Rollouts(states.clone()));
        }
    }

    /// States that a peer tells; one that is behind is told what is known here.
    pub(super) fn on_roll_outs(
        &mut self,
        from: &NodeId,
        states: Vec<RolloutState>,
        now: Moment,
        outbox: &mut Outbox,
    ) {
        let asked_for_all = states.is_empty();
        let mut newer_here = match asked_for_all {
            true => self.roll_outs(now),
            false => Vec::new(),
        };
        for state in states {
            let Some(roll_outs) = &mut self.roll_outs else {
                return;
            };
            let known = roll_outs.table.state(&state.service, now);
            if roll_outs.table.merge(state.clone(), now) {
                let changed = known.is_none_or(|known| !state.has_same_decision(&known));
                let rounds = if changed { ROUNDS_OF_CHANGES } else { 1 };
                if changed {
                    outbox.actions.push(Action::RolloutsChanged);
                }
                self.pass_on_later(&[state], rounds, now);
            } else if let Some(known) = known
                && (known.order, known.phase) > (state.order, state.phase)
            {
                newer_here.push(known);
            }
        }
        if !newer_here.is_empty() {
            outbox.send(from, Message::Rollouts(newer_here));
        }
        self.pass_on_states(now, outbox);
    }

    /// A peer has started, and knows of no roll-out.
    pub(super) fn tell_newcomer(&self, peer: &NodeId, now: Moment, outbox: &mut Outbox) {
        let states = self.roll_outs(now);
        if !states.is_empty() {
            outbox.send(peer, Message::Rollouts(states));
        }
    }

    /// Evidence of a peer: it counts where this node decides.
    pub(super) fn on_version_evidence(
        &mut self,
        from: &NodeId,
        process_epoch: ProcessEpoch,
        evidence: &[VersionEvidence],
    ) {
        if let Some(roll_outs) = &mut self.roll_outs {
            roll_outs.decider.on_evidence(from, process_epoch, evidence);
        }
    }

    fn report_evidence(&mut self, now: Moment, outbox: &mut Outbox) {
        let Some(roll_outs) = &mut self.roll_outs else {
            return;
        };
        // All is told again though no traffic adds to it: the last rows may be lost.
        let is_open = !roll_outs.evidence.is_empty() && roll_outs.table.has_open();
        let whole_is_due = is_open && now >= roll_outs.next_whole_report;
        let due = roll_outs.evidence_is_new || whole_is_due;
        if !due || now < roll_outs.next_report {
            return;
        }
        let members = self.membership.records().count();
        roll_outs.next_report = now + report_interval(members);
        roll_outs.evidence_is_new = false;
        if now >= roll_outs.next_whole_report {
            roll_outs.next_whole_report = now + WHOLE_REPORT_INTERVAL;
            roll_outs.reported.clear();
        }
        let reported = std::mem::replace(&mut roll_outs.reported, roll_outs.evidence.clone());
        let news = roll_outs
            .evidence
            .iter()
            .filter(|seen| !reported.contains(seen));
        let mut by_decider: BTreeMap<NodeId, Vec<VersionEvidence>> = BTreeMap::new();
        for seen in news {
            let state = roll_outs.table.state(&seen.service, now);
            let open = state.filter(|state| !state.phase.is_ended() && state.order == seen.order);
            if let Some(decider) = open.and_then(|state| state.decider) {
                by_decider.entry(decider).or_default().push(seen.clone());
            }
        }
        for (decider, evidence) in by_decider {
            if decider == self.identity.id {
                let process_epoch = self.identity.process_epoch;
                roll_outs
                    .decider
                    .on_evidence(&decider, process_epoch, &evidence);
                continue;
            }
            for rows in evidence.chunks(ROWS_PER_MESSAGE) {
                outbox.send(&decider, Message::VersionEvidence(rows.to_vec()));
            }
        }
    }
}

/// Time between two reports of evidence in a fleet of so many members.
fn report_interval(members: usize) -> Duration {
    LEAST_REPORT_INTERVAL.max(REPORT_INTERVAL_A_MEMBER * members as u32)
}

fn decision(state: &RolloutState, reason: &str) -> Decision {
    Decision::Rollout {
        service: state.service.clone(),
        target: state.target.clone(),
        phase: state.phase,
        share_permille: state.share_permille,
        term: state.term,
        reason: reason.to_string(),
    }
}
