//! The node that decides: takes the lease, judges, and puts on record what has ended.
//!
//! Several nodes know an order; one at a time decides. It holds a lease in the platform's
//! store, and its writes hold only while the record of that lease is the one it wrote (a
//! fencing token), and while the state is the one it has read. An end is told to others
//! only once it is on record; before that, only what is safe if it turns out otherwise:
//! that a version gets no calls.
//!
//! One call to the store is under way at a time. A call without an answer may have been
//! done: the records are read again before anything else is written.

use super::RolloutBounds;
use super::evaluation::VersionEvaluator;
use super::evidence::{ResponseCounts, VersionEvidence};
use super::schedule::{self, NextAction, RolloutProgress};
use super::state::{ALL_CALLS_PERMILLE, OrderId, Phase, RolloutState};
use super::table::RolloutTable;
use crate::fleet::{LeaseId, ProcessEpoch};
use crate::ids::{NodeId, ResourceName, SoftwareVersion};
use crate::time::Moment;
use std::collections::BTreeMap;
use std::time::Duration;

/// Life of the lease. Meanwhile nobody takes over from a decider that has ended; shares
/// that are not confirmed end sooner.
pub const LEASE_TTL: Duration = Duration::from_secs(3);
/// Time from the start of a renewal that succeeded to the next one; one that fails is
/// repeated after [`RETRY`], so that several tries fit into the lease.
const RENEWAL: Duration = Duration::from_millis(800);
/// Time between two rounds of the decider.
pub const EVALUATION_INTERVAL: Duration = Duration::from_millis(400);
/// The same near the end of a roll-out, where it must be in time.
const HURRIED_EVALUATION_INTERVAL: Duration = Duration::from_millis(100);
/// Silence of the decider after which the first in the order tries to take over.
const SILENCE: Duration = Duration::from_millis(1_200);
/// Time that each node leaves to those before it in the order.
const TURN: Duration = Duration::from_millis(300);
/// Pause after a try that led nowhere.
const PAUSE: Duration = Duration::from_millis(500);
/// Nodes, the first in the order, that compare the records with what is known after the
/// store was restored.
const RECHECKERS: u32 = 4;
/// Pause before a failed call is repeated while this node decides.
const RETRY: Duration = Duration::from_millis(300);
/// Seconds over which the present rate of calls is measured.
const RATE_TIME: f64 = 1.0;

/// A state as the store holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRollout {
    /// The state.
    pub state: RolloutState,
    /// Its last change.
    pub revision: u64,
    /// When it was written, by the wall clock of who wrote it, in milliseconds since 1970.
    pub written_ms: u64,
}

/// A call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DeciderRequest {
    /// Read who decides, and every state.
    Read,
    /// Become the decider, if there is none.
    Claim {
        /// Whose term it is.
        term: u64,
        /// Life of the lease.
        life: Duration,
    },
    /// Keep the lease.
    Renew {
        /// Which one.
        lease: LeaseId,
    },
    /// Put a state on record, if this node still decides and nobody else has.
    Write {
        /// The state.
        state: RolloutState,
        /// Last change of the state that it takes the place of; 0: there is none.
        expected: u64,
        /// Last change of the record of the lease.
        fence: u64,
    },
    /// Give the lease back.
    Release {
        /// Which one.
        lease: LeaseId,
    },
}

/// What the store answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DeciderResponse {
    /// What it holds.
    Records {
        /// Last change of the record of the lease; none: nobody decides.
        fence: Option<u64>,
        /// The highest term that anything on record names.
        term: u64,
        /// The states.
        states: Vec<StoredRollout>,
    },
    /// This node decides.
    Claimed {
        /// Its lease.
        lease: LeaseId,
        /// Last change of the record of the lease.
        fence: u64,
    },
    /// The lease is kept, or given back.
    Kept,
    /// The state is on record.
    Written {
        /// Its last change.
        revision: u64,
    },
    /// Another node decides, the lease is over, or the state is another one.
    Conflict,
    /// Nothing is known of the call.
    Failed,
}

/// What a roll-out's decision rests on, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutDecision {
    /// The state from now on.
    pub state: RolloutState,
    /// The inputs.
    pub reason: String,
}

/// What a step of the decider leads to.
#[derive(Debug, Default, PartialEq)]
pub struct DeciderOutput {
    /// The store is to be called.
    pub request: Option<DeciderRequest>,
    /// These states are new and are to be told.
    pub updates: Vec<RolloutState>,
    /// Decisions, for the log.
    pub decisions: Vec<RolloutDecision>,
}

#[derive(Debug)]
struct Lease {
    id: LeaseId,
    fence: u64,
    term: u64,
    /// Until when it holds for certain.
    holds_until: Moment,
    renew_at: Moment,
}

#[derive(Debug)]
enum Role {
    /// Others decide, or nobody has to.
    Idle,
    /// The records are known: this node may claim.
    Candidate { term: u64 },
    /// This node decides.
    Decides(Lease),
}

/// One roll-out as the decider sees it.
#[derive(Debug)]
struct Case {
    order: OrderId,
    judge: VersionEvaluator,
    /// What each node has told last in each of its lives: counts begin anew with a life.
    heard: BTreeMap<(NodeId, ProcessEpoch), BTreeMap<EvidenceKey, ResponseCounts>>,
    /// Counted since the last round.
    round: Vec<VersionEvidence>,
    rate: f64,
    /// Since when evidence is taken.
    since: Moment,
    /// When the move was first seen, and the version's answers heard by then.
    moving_since: Option<(Moment, u64)>,
    /// It has succeeded, and that is to go on record.
    succeeds: bool,
}

type EvidenceKey = (SoftwareVersion, u8, ResourceName);

/// What the decider knows besides states and evidence.
#[derive(Clone, Copy)]
pub struct DeciderContext<'a> {
    /// The store answers this node, so that it may decide.
    pub eligible: bool,
    /// Eligible nodes before this one in the order.
    pub rank: u32,
    /// Slots of a service's back ends: those of the given version, and the others.
    pub slots: &'a dyn Fn(&ResourceName, &SoftwareVersion) -> (u32, u32),
    /// Time within which a new decider hears all that the fleet has seen.
    pub evidence_collection_time: Duration,
}

/// One node's part in deciding.
#[derive(Debug)]
pub struct Decider {
    me: NodeId,
    bounds: RolloutBounds,
    role: Role,
    /// The call under way, and when it began.
    calling: Option<(DeciderRequest, Moment)>,
    next_try: Moment,
    next_round: Moment,
    last_round: Moment,
    /// Last change of each state on record; known while this node decides.
    on_record: BTreeMap<ResourceName, StoredRollout>,
    cases: BTreeMap<ResourceName, Case>,
    /// What is on record may differ from `on_record`.
    doubts_records: bool,
    /// From when on the records are to be compared with what is known: owed until they
    /// were read, or written, and hold all of it.
    recheck_from: Option<Moment>,
    /// The highest term that this node has claimed; the store may forget it.
    claimed_term: u64,
    /// The store came back from an older copy, and nobody is known to have looked since.
    restored: bool,
    /// The call under way was begun before the store was restored.
    call_is_void: bool,
}

impl Decider {
    /// A node that decides nothing yet.
    pub fn new(me: NodeId, bounds: RolloutBounds) -> Self {
        Self {
            me,
            bounds,
            role: Role::Idle,
            calling: None,
            next_try: Moment::default(),
            next_round: Moment::default(),
            last_round: Moment::default(),
            on_record: BTreeMap::new(),
            cases: BTreeMap::new(),
            doubts_records: false,
            recheck_from: None,
            claimed_term: 0,
            restored: false,
            call_is_void: false,
        }
    }

    /// True while this node decides.
    pub fn holds_lease(&self, now: Moment) -> bool {
        matches!(&self.role, Role::Decides(lease) if now < lease.holds_until)
    }

    /// Takes what a node tells to have seen.
    pub fn on_evidence(
        &mut self,
        from: &NodeId,
        process_epoch: ProcessEpoch,
        evidence: &[VersionEvidence],
    ) {
        for seen in evidence {
            let Some(case) = self.cases.get_mut(&seen.service) else {
                continue;
            };
            if case.order != seen.order {
                continue;
            }
            let key = (seen.version.clone(), seen.group, seen.route.clone());
            let heard = case.heard.entry((from.clone(), process_epoch)).or_default();
            let before = heard.entry(key).or_default();
            // A smaller count is an earlier report that came late.
            let Some(counts) = seen.counts.since(before) else {
                continue;
            };
            before.clone_from(&seen.counts);
            if counts.responses > 0 {
                case.round.push(VersionEvidence {
                    counts,
                    ..seen.clone()
                });
            }
        }
    }

    /// Lets time pass.
    pub fn tick(
        &mut self,
        table: &mut RolloutTable,
        context: &DeciderContext<'_>,
        now: Moment,
    ) -> DeciderOutput {
        let mut step = DeciderOutput::default();
        if matches!(self.role, Role::Decides(_)) && !self.holds_lease(now) {
            self.step_down(now);
        }
        if self.holds_lease(now) {
            self.decide(table, context, now, &mut step);
        }
        if self.calling.is_none() {
            step.request = self.next_call(table, context, now);
            if let Some(call) = &step.request {
                self.calling = Some((call.clone(), now));
            }
        }
        step
    }

    fn step_down(&mut self, now: Moment) {
        self.role = Role::Idle;
        self.next_try = now + PAUSE;
        self.on_record.clear();
        self.cases.clear();
        self.doubts_records = false;
    }

    fn next_call(
        &mut self,
        table: &RolloutTable,
        context: &DeciderContext<'_>,
        now: Moment,
    ) -> Option<DeciderRequest> {
        match &self.role {
            Role::Decides(lease) if now >= lease.renew_at => {
                Some(DeciderRequest::Renew { lease: lease.id })
            }
            Role::Decides(_) if now < self.next_try => None,
            Role::Decides(_) if self.doubts_records => Some(DeciderRequest::Read),
            Role::Decides(lease) => match self.unrecorded(table, now) {
                Some((state, expected)) => Some(DeciderRequest::Write {
                    state,
                    expected,
                    fence: lease.fence,
                }),
                None if table.has_open() => None,
                None => Some(DeciderRequest::Release { lease: lease.id }),
            },
            Role::Candidate { term } => Some(DeciderRequest::Claim {
                term: *term,
                life: LEASE_TTL,
            }),
            Role::Idle => self
                .should_try(table, context, now)
                .then_some(DeciderRequest::Read),
        }
    }

    /// True when nobody seems to decide, and it is this node's turn.
    fn should_try(
        &mut self,
        table: &RolloutTable,
        context: &DeciderContext<'_>,
        now: Moment,
    ) -> bool {
        let turn = TURN * context.rank;
        if !context.eligible || now < self.next_try {
            return false;
        }
        if self.restored && context.rank >= RECHECKERS {
            self.restored = false;
            self.recheck_from = None;
        }
        if self.recheck_from.is_some_and(|from| now >= from + turn) {
            return true;
        }
        let Some(silence) = table.longest_silence(now) else {
            return false;
        };
        let untouched = table.states(now).iter().all(|state| state.term == 0);
        let patience = if untouched { Duration::ZERO } else { SILENCE };
        silence >= patience + turn
    }

    /// The store may have lost what was on record: it is compared with what is known.
    pub fn recheck(&mut self, now: Moment) {
        self.recheck_from = Some(now);
        self.doubts_records = true;
    }

    /// The store came back from an older copy. A lease of before is none any more, whatever
    /// bears its number now: this node stops, and takes its place anew.
    pub fn on_store_restored(&mut self, table: &RolloutTable, now: Moment) {
        self.call_is_void = self.calling.is_some();
        self.step_down(now);
        self.restored = !table.is_empty();
        self.recheck_from = self.restored.then_some(now);
    }

    /// A state that is not on record as it is known, with the last change of what is.
    fn unrecorded(&self, table: &RolloutTable, now: Moment) -> Option<(RolloutState, u64)> {
        table.states(now).into_iter().find_map(|state| {
            let stored = self.on_record.get(&state.service);
            let state = self.to_record(state);
            let differs = stored.is_none_or(|stored| {
                (stored.state.order, stored.state.phase) != (state.order, state.phase)
            });
            let expected = stored.map_or(0, |stored| stored.revision);
            differs.then_some((state, expected))
        })
    }

    /// What the record is to hold: a move is not on record, since who takes over judges
    /// anew; what is being ended is on record as its end.
    fn to_record(&self, state: RolloutState) -> RolloutState {
        let case = self.cases.get(&state.service);
        let phase = match state.phase {
            Phase::RollingBack => Phase::RolledBack,
            Phase::Moving if case.is_some_and(|case| case.succeeds) => Phase::Succeeded,
            Phase::Moving => Phase::Running,
            phase => phase,
        };
        let share_permille = match phase {
            Phase::Succeeded => ALL_CALLS_PERMILLE,
            _ => 0,
        };
        let term = match &self.role {
            Role::Decides(lease) => lease.term,
            _ => state.term,
        };
        RolloutState {
            phase,
            share_permille,
            term,
            ..state
        }
    }

    // ---- answers of the store ----

    /// Takes the answer to the call under way.
    pub fn on_response(
        &mut self,
        answer: DeciderResponse,
        table: &mut RolloutTable,
        now: Moment,
    ) -> DeciderOutput {
        let mut step = DeciderOutput::default();
        let Some((call, begun)) = self.calling.take() else {
            return step;
        };
        if std::mem::take(&mut self.call_is_void) {
            self.step_down(now);
            return step;
        }
        match (call, answer) {
            (
                DeciderRequest::Read,
                DeciderResponse::Records {
                    fence,
                    term,
                    states,
                },
            ) => self.on_records(fence, term, states, table, now, &mut step),
            (DeciderRequest::Claim { term, .. }, DeciderResponse::Claimed { lease, fence }) => {
                self.claimed_term = self.claimed_term.max(term);
                self.next_round = now;
                self.last_round = now;
                self.next_try = now;
                self.role = Role::Decides(Lease {
                    id: lease,
                    fence,
                    term,
                    holds_until: begun + LEASE_TTL,
                    renew_at: begun + RENEWAL,
                });
            }
            (DeciderRequest::Renew { .. }, DeciderResponse::Kept) => {
                if let Role::Decides(lease) = &mut self.role {
                    lease.holds_until = begun + LEASE_TTL;
                    lease.renew_at = begun + RENEWAL;
                }
            }
            (DeciderRequest::Renew { .. }, DeciderResponse::Failed) => {
                if let Role::Decides(lease) = &mut self.role {
                    lease.renew_at = now + RETRY;
                }
            }
            (DeciderRequest::Write { state, .. }, DeciderResponse::Written { revision }) => {
                self.on_written(state, revision, table, now, &mut step);
            }
            (DeciderRequest::Write { .. } | DeciderRequest::Read, _) if self.holds_lease(now) => {
                self.doubts_records = true;
                self.next_try = now + RETRY;
            }
            _ => self.step_down(now),
        }
        step
    }

    fn on_records(
        &mut self,
        fence: Option<u64>,
        term: u64,
        states: Vec<StoredRollout>,
        table: &mut RolloutTable,
        now: Moment,
        step: &mut DeciderOutput,
    ) {
        for stored in &states {
            if table.merge(stored.state.clone(), now) {
                step.updates.push(stored.state.clone());
            }
        }
        let by_service = states
            .into_iter()
            .map(|stored| (stored.state.service.clone(), stored));
        self.on_record = by_service.collect();
        self.doubts_records = false;
        if let Role::Decides(lease) = &self.role {
            if fence == Some(lease.fence) {
                self.settle_recheck(table, now);
            } else {
                self.step_down(now);
            }
            return;
        }
        self.settle_recheck(table, now);
        let unrecorded = self.unrecorded(table, now).is_some();
        if fence.is_some() && self.recheck_from.is_some() {
            // Who decides may put it on record, or be gone.
            self.recheck_from = Some(now + LEASE_TTL);
        }
        let needed = table.has_open() || unrecorded;
        if fence.is_some() || !needed {
            self.step_down(now);
            return;
        }
        let known = table.states(now).into_iter().map(|state| state.term);
        let term = known.fold(term.max(self.claimed_term), u64::max);
        let term = term.saturating_add(1);
        self.role = Role::Candidate { term };
    }

    /// A recheck is done once the records hold all that is known.
    fn settle_recheck(&mut self, table: &RolloutTable, now: Moment) {
        if self.unrecorded(table, now).is_none() {
            self.recheck_from = None;
            self.restored = false;
        }
    }

    fn on_written(
        &mut self,
        state: RolloutState,
        revision: u64,
        table: &mut RolloutTable,
        now: Moment,
        step: &mut DeciderOutput,
    ) {
        if state.phase.is_ended() && table.merge(state.clone(), now) {
            step.updates.push(state.clone());
        }
        let reason = "on record".to_string();
        step.decisions.push(RolloutDecision {
            state: state.clone(),
            reason,
        });
        let stored = StoredRollout {
            state,
            revision,
            // Only who reads it from the store needs it.
            written_ms: 0,
        };
        self.on_record.insert(stored.state.service.clone(), stored);
        self.settle_recheck(table, now);
    }

    // ---- decisions ----

    fn decide(
        &mut self,
        table: &mut RolloutTable,
        context: &DeciderContext<'_>,
        now: Moment,
        step: &mut DeciderOutput,
    ) {
        let Role::Decides(lease) = &self.role else {
            return;
        };
        if now < self.next_round {
            return;
        }
        let term = lease.term;
        let passed = now.since(self.last_round);
        self.last_round = now;
        let hurry = table.states(now).iter().any(schedule::is_near_end);
        self.next_round = now
            + if hurry {
                HURRIED_EVALUATION_INTERVAL
            } else {
                EVALUATION_INTERVAL
            };
        for state in table.states(now) {
            // What is not on record yet gets no calls: nobody could end it.
            let recorded = self.on_record.get(&state.service);
            if recorded.is_none_or(|stored| stored.state.order != state.order) {
                continue;
            }
            if state.phase.is_ended() {
                self.cases.remove(&state.service);
                continue;
            }
            let (decided, reason) = self.judge(&state, context, passed, now);
            let next = RolloutState {
                term,
                step: state.step.saturating_add(1),
                decider: Some(self.me.clone()),
                ..decided
            };
            if !next.has_same_decision(&state) {
                let state = next.clone();
                step.decisions.push(RolloutDecision { state, reason });
            }
            if table.merge(next.clone(), now) {
                step.updates.push(next);
            }
        }
    }

    /// One round of one roll-out: its state from now on, and what that rests on.
    fn judge(
        &mut self,
        state: &RolloutState,
        context: &DeciderContext<'_>,
        passed: Duration,
        now: Moment,
    ) -> (RolloutState, String) {
        let case = case_of(&mut self.cases, state, now);
        case.take_round(passed);
        let with = |phase, share_permille| RolloutState {
            phase,
            share_permille,
            ..state.clone()
        };
        if state.phase == Phase::RollingBack {
            return (with(Phase::RollingBack, 0), "not on record yet".to_string());
        }
        if let Some(bad) = case.judge.regression() {
            return (with(Phase::RollingBack, 0), bad.to_string());
        }
        let (answers, target_answers) = case.judge.answers();
        if state.phase == Phase::Moving {
            case.moving_since.get_or_insert((now, target_answers));
        }
        let answers_at_move = case.moving_since.map_or(0, |(_, answers)| answers);
        let (target_slots, other_slots) = (context.slots)(&state.service, &state.target);
        let progress = RolloutProgress {
            answers,
            target_answers,
            rate: case.rate,
            target_slots,
            other_slots,
            moving_for: case.moving_since.map(|(since, _)| now.since(since)),
            answers_since_move: target_answers.saturating_sub(answers_at_move),
            reporters: case.heard.len(),
            evidence_collected_for: now.since(case.since),
            evidence_collection_time: context.evidence_collection_time,
        };
        let mut reason = format!(
            "{target_answers} of {answers} answers, {:.0} a second, {target_slots} slots beside {other_slots}, {} ms of {} ms",
            case.rate,
            state.elapsed.as_millis(),
            state.duration.as_millis(),
        );
        let next = match schedule::next_action(state, &progress, &self.bounds) {
            NextAction::Judge { permille } => with(Phase::Running, permille),
            NextAction::Move => with(Phase::Moving, ALL_CALLS_PERMILLE),
            NextAction::Succeed => {
                case.succeeds = true;
                with(Phase::Moving, ALL_CALLS_PERMILLE)
            }
            NextAction::GiveUp(lack) => {
                reason = format!("{}: {reason}", lack.as_str());
                with(Phase::RollingBack, 0)
            }
        };
        (next, reason)
    }
}

impl Case {
    fn take_round(&mut self, passed: Duration) {
        let round = std::mem::take(&mut self.round);
        let answers = round.iter().map(|seen| f64::from(seen.counts.responses));
        let answers: f64 = answers.sum();
        self.judge.take(&round, passed);
        let passed = passed.as_secs_f64();
        if passed > 0.0 {
            let weight = (passed / RATE_TIME).min(1.0);
            let rate = answers / passed;
            self.rate += (rate - self.rate) * weight;
        }
    }
}

fn case_of<'a>(
    cases: &'a mut BTreeMap<ResourceName, Case>,
    state: &RolloutState,
    now: Moment,
) -> &'a mut Case {
    let known = cases.get(&state.service);
    if known.is_none_or(|case| case.order != state.order) {
        let case = Case {
            order: state.order,
            judge: VersionEvaluator::new(state.target.clone()),
            heard: BTreeMap::new(),
            round: Vec::new(),
            rate: 0.0,
            since: now,
            moving_since: None,
            succeeds: false,
        };
        cases.insert(state.service.clone(), case);
    }
    cases.get_mut(&state.service).expect("it was just inserted")
}
