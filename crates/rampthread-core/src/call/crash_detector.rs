//! Which lost answers a crash of the back end explains.
//!
//! A lost connection is no crash: resets, spoilt answers and full back ends lose
//! answers too. Evidence is a port that refuses connections after the loss, or
//! another incarnation that reports at the address without a leave of the one
//! before. An answer to a call that began after the loss shows that the back end
//! lives: what was reported is withdrawn. That holds where every start has an id of its
//! own, since a call names the id that it is for. A back end that says when it started may
//! keep its id: its next start answers calls for the last one until it has reported. There
//! only a report of the same start, well after the loss, shows that it lives. One that says
//! neither is looked at again: a port that stays closed belongs to nobody who lives.

use crate::backend_incarnation::BackendIncarnation;
use crate::call::identity::RequestIdentity;
use crate::ids::InstanceId;
use crate::time::Moment;
use std::time::Duration;
/// Different requests remembered at most: four times the slots of a large back end.
const MAX_LOSSES: usize = 128;
/// Time for which a lost answer may turn out to be a crash: a back end that
/// crashed is back within seconds.
const LOSS_MEMORY: Duration = Duration::from_secs(10);
/// Least time for which a loss at a back end that names its start may turn out to be a
/// crash after a call was answered there: a start takes so long to report.
const LEAST_ANSWERED_MEMORY: Duration = Duration::from_secs(3);
/// Heartbeats within which the next start reports, though its first one is lost.
const HEARTBEATS_TO_REPORT: u32 = 2;
/// A heartbeat may arrive so much later than it was sent: one that comes sooner after a
/// loss does not show that its sender outlived it.
const HEARTBEAT_LATENESS: Duration = Duration::from_secs(3);
#[derive(Debug, Clone)]
struct Loss {
    identity: RequestIdentity,
    instance: InstanceId,
    /// When it was lost first.
    at: Moment,
    /// When it was lost last: a call that began later shows that the back end lives.
    last: Moment,
    /// The request was on trial.
    on_trial: bool,
    /// It was reported as a crash.
    reported: bool,
    /// When a call that began later was answered, by this start or by the next one.
    answered: Option<Moment>,
}
impl Loss {
    fn may_be_a_crash(&self, now: Moment, answered_memory: Duration) -> bool {
        let answered_long_ago = self
            .answered
            .is_some_and(|answered| now.since(answered) >= answered_memory);
        now.since(self.last) < LOSS_MEMORY && !answered_long_ago
    }
}
/// A request and the incarnation that it is, or was, reported for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashSuspect {
    /// The request.
    pub identity: RequestIdentity,
    /// The incarnation.
    pub instance: InstanceId,
    /// When its answer was lost, the first time with this incarnation.
    pub at: Moment,
    /// The request was on trial.
    pub on_trial: bool,
}
/// The lost answers of one back end: of that beside a gate, or of one that an entry
/// sends calls to.
#[derive(Debug)]
pub struct CrashDetector {
    losses: Vec<Loss>,
    /// Time for which a loss may be a crash after a call was answered.
    answered_memory: Duration,
}
impl Default for CrashDetector {
    fn default() -> Self {
        Self::with_heartbeat(Duration::ZERO)
    }
}
impl CrashDetector {
    /// Nothing was lost; the back end reports each `heartbeat`.
    pub fn with_heartbeat(heartbeat: Duration) -> Self {
        Self {
            losses: Vec::new(),
            answered_memory: LEAST_ANSWERED_MEMORY.max(heartbeat * HEARTBEATS_TO_REPORT),
        }
    }
    /// An answer was lost; `refuses`: the back end's port refuses connections, so
    /// that it is reported as a crash.
    pub fn record_loss(&mut self, lost: &CrashSuspect, refuses: bool) {
        self.forget_old(lost.at);
        let known = self
            .losses
            .iter_mut()
            .find(|loss| loss.identity == lost.identity && loss.instance == lost.instance);
        if let Some(known) = known {
            known.last = lost.at;
            known.answered = None;
            known.on_trial |= lost.on_trial;
            known.reported |= refuses;
            return;
        }
        if self.losses.len() >= MAX_LOSSES && !self.make_room(lost) {
            return;
        }
        self.losses.push(Loss {
            identity: lost.identity,
            instance: lost.instance.clone(),
            at: lost.at,
            last: lost.at,
            on_trial: lost.on_trial,
            reported: refuses,
            answered: None,
        });
    }
    /// Makes room for a request that was on trial. Any other that comes late is not
    /// remembered: what is lost after the crash was sent to a back end that had ended,
    /// and must not push out what ended it (soak behind proxies: over 128 losses in 0.6 s
    /// hid the request on trial, and it ended two back ends more).
    fn make_room(&mut self, lost: &CrashSuspect) -> bool {
        let newest = self.losses.iter().rposition(|loss| !loss.on_trial);
        let Some(newest) = newest.filter(|_| lost.on_trial) else {
            return false;
        };
        self.losses.remove(newest);
        true
    }
    /// A call for `instance` that began at `begun` was answered: it lives, unless its next
    /// start may have answered. Returns what must be withdrawn.
    pub fn record_response(&mut self, instance: &InstanceId, begun: Moment) -> Vec<CrashSuspect> {
        let names_start = BackendIncarnation::from_name(instance)
            .started_at()
            .is_some();
        if names_start {
            self.note_answer(instance, begun);
            return Vec::new();
        }
        let disproved = |loss: &Loss| loss.instance == *instance && loss.last < begun;
        let withdrawn = self.suspicions(|loss| disproved(loss) && loss.reported);
        self.losses.retain(|loss| !disproved(loss));
        withdrawn
    }
    fn note_answer(&mut self, instance: &InstanceId, begun: Moment) {
        let losses = self.losses.iter_mut();
        for loss in losses.filter(|loss| loss.instance == *instance && loss.last < begun) {
            loss.answered.get_or_insert(begun);
        }
    }
    /// `instance` reported last at `heard`: it has outlived what was lost well before.
    /// Returns what must be withdrawn.
    pub fn reported_alive(&mut self, instance: &InstanceId, heard: Moment) -> Vec<CrashSuspect> {
        let outlived =
            |loss: &Loss| loss.instance == *instance && loss.last + HEARTBEAT_LATENESS < heard;
        let withdrawn = self.suspicions(|loss| outlived(loss) && loss.reported);
        self.losses.retain(|loss| !outlived(loss));
        withdrawn
    }
    /// `present` reports at the address. Returns the losses of other incarnations
    /// that are explained by it, and were not reported yet.
    pub fn record_replacement(&mut self, present: &InstanceId, now: Moment) -> Vec<CrashSuspect> {
        let gone = |loss: &Loss| loss.instance != *present;
        let memory = self.answered_memory;
        let counts = |loss: &Loss| loss.may_be_a_crash(now, memory) && !loss.reported;
        let explained = self.suspicions(|loss| gone(loss) && counts(loss));
        self.losses.retain(|loss| !gone(loss));
        explained
    }
    /// The port was found closed a moment after the loss, and nobody has answered
    /// meanwhile: returns the crash that is to be reported, if it was not.
    pub fn port_closed(&mut self, lost: &CrashSuspect) -> Option<CrashSuspect> {
        let is_meant = |loss: &&mut Loss| {
            loss.identity == lost.identity && loss.instance == lost.instance && !loss.reported
        };
        let loss = self.losses.iter_mut().find(is_meant)?;
        loss.reported = true;
        Some(lost.clone())
    }
    /// The port of `instance` has stayed closed since a crash was reported: nothing
    /// withdraws that any more. Returns the losses that this explains besides; none where
    /// no report stands, since it has answered meanwhile.
    pub fn ended(&mut self, instance: &InstanceId) -> Option<Vec<CrashSuspect>> {
        let of_it = |loss: &Loss| loss.instance == *instance;
        let stands = self.losses.iter().any(|loss| of_it(loss) && loss.reported);
        if !stands {
            return None;
        }
        let explained = self.suspicions(|loss| of_it(loss) && !loss.reported);
        self.losses.retain(|loss| !of_it(loss));
        Some(explained)
    }
    /// `instance` has taken its leave: it ends as planned, with calls under way at
    /// times.
    pub fn record_departure(&mut self, instance: &InstanceId) {
        self.losses.retain(|loss| loss.instance != *instance);
    }
    /// True when `instance` has lost answers lately and given none since.
    pub fn may_have_ended(&self, instance: &InstanceId, now: Moment) -> bool {
        let memory = self.answered_memory;
        let unanswered = |loss: &Loss| loss.answered.is_none() && loss.may_be_a_crash(now, memory);
        self.losses
            .iter()
            .any(|loss| loss.instance == *instance && unanswered(loss))
    }
    /// Forgets what no crash explains any more.
    pub fn forget_old(&mut self, now: Moment) {
        self.losses
            .retain(|loss| now.since(loss.last) < LOSS_MEMORY);
    }
    /// True when nothing was lost lately.
    pub fn is_empty(&self) -> bool {
        self.losses.is_empty()
    }
    fn suspicions(&self, wanted: impl Fn(&Loss) -> bool) -> Vec<CrashSuspect> {
        let losses = self.losses.iter().filter(|loss| wanted(loss));
        losses
            .map(|loss| CrashSuspect {
                identity: loss.identity,
                instance: loss.instance.clone(),
                at: loss.at,
                on_trial: loss.on_trial,
            })
            .collect()
    }
}
