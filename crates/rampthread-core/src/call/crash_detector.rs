//! Decides which lost responses a crash of the backend explains.
//!
//! A lost connection alone is no crash: resets, corrupt responses and full backends lose
//! responses too. A crash is shown by a port that refuses connections after the loss, or by
//! another incarnation that reports at the address without a departure of the previous one.
//!
//! A response to a call that began after the loss shows that the backend is running, and
//! withdraws the report. That holds where every incarnation has an id of its own, since a
//! call names the id that it is for. A backend that reports its start time may keep its id:
//! its next incarnation answers calls for the previous one until it has reported. There,
//! only a report of the same incarnation, well after the loss, shows that it is running. A
//! backend that reports neither is checked again: a port that stays closed belongs to no
//! running process.

use crate::backend_incarnation::BackendIncarnation;
use crate::call::identity::RequestIdentity;
use crate::ids::InstanceId;
use crate::time::Moment;
use std::time::Duration;

/// Maximum number of losses kept, by request: four times the slots of a large backend.
const MAX_LOSSES: usize = 128;
/// Time for which a lost response may turn out to be a crash; a crashed backend is back
/// within seconds.
const LOSS_RETENTION: Duration = Duration::from_secs(10);

/// Minimum time for which a loss at a backend with start times may turn out to be a crash
/// after a call was answered there: a new incarnation takes that long to report.
const MIN_ANSWERED_RETENTION: Duration = Duration::from_secs(3);
/// Heartbeats within which the next incarnation reports, even if its first report is lost.
const HEARTBEATS_TO_REPORT: u32 = 2;
/// Longest delay of a heartbeat: one that arrives sooner after a loss does not show that
/// its sender outlived it.
const HEARTBEAT_LATENESS: Duration = Duration::from_secs(3);

#[derive(Debug, Clone)]
struct Loss {
    identity: RequestIdentity,
    instance: InstanceId,
    /// Time of the first loss.
    at: Moment,
    /// Time of the last loss: a call that began later shows that the backend is running.
    last: Moment,
    /// The request was on trial.
    on_trial: bool,
    /// It was reported as a crash.
    reported: bool,
    /// When a call that began later was answered, by this incarnation or the next one.
    answered: Option<Moment>,
}

impl Loss {
    fn may_be_a_crash(&self, now: Moment, answered_retention: Duration) -> bool {
        let answered_long_ago = self
            .answered
            .is_some_and(|answered| now.since(answered) >= answered_retention);
        now.since(self.last) < LOSS_RETENTION && !answered_long_ago
    }
}

/// A request whose response was lost, and the incarnation that it was sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashSuspect {
    /// Identity of the request.
    pub identity: RequestIdentity,
    /// Incarnation of the backend.
    pub instance: InstanceId,
    /// When its response was first lost with this incarnation.
    pub at: Moment,
    /// The request was on trial: it ran alone after its quarantine.
    pub on_trial: bool,
}

/// Lost responses of one backend: the local one of a gate, or one that an entry sends calls
/// to.
#[derive(Debug)]
pub struct CrashDetector {
    losses: Vec<Loss>,
    /// Time for which a loss may be a crash after a later call was answered.
    answered_retention: Duration,
}

impl Default for CrashDetector {
    fn default() -> Self {
        Self::with_heartbeat(Duration::ZERO)
    }
}

impl CrashDetector {
    /// No losses; the backend reports once per `heartbeat`.
    pub fn with_heartbeat(heartbeat: Duration) -> Self {
        Self {
            losses: Vec::new(),
            answered_retention: MIN_ANSWERED_RETENTION.max(heartbeat * HEARTBEATS_TO_REPORT),
        }
    }

    /// Records a lost response. `refuses`: the backend's port refuses connections, so that
    /// the loss is reported as a crash.
    pub fn record_loss(&mut self, lost: &CrashSuspect, refuses: bool) {
        self.forget_old(lost.at);
        let existing = self
            .losses
            .iter_mut()
            .find(|loss| loss.identity == lost.identity && loss.instance == lost.instance);
        if let Some(existing) = existing {
            existing.last = lost.at;
            existing.answered = None;
            existing.on_trial |= lost.on_trial;
            existing.reported |= refuses;
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

    /// Makes room for a request that was on trial by dropping the newest other one. Other
    /// requests beyond the maximum are ignored: what is lost after a crash was sent to a
    /// backend that had ended, and must not displace the request that ended it.
    fn make_room(&mut self, lost: &CrashSuspect) -> bool {
        let newest = self.losses.iter().rposition(|loss| !loss.on_trial);
        let Some(newest) = newest.filter(|_| lost.on_trial) else {
            return false;
        };
        self.losses.remove(newest);
        true
    }

    /// Records that a call for `instance` that began at `begun` was answered: the backend
    /// is running, unless its next incarnation may have responded. Returns the reports to
    /// withdraw.
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

    /// Records that the newest report of `instance` is from `heard`: it has outlived losses
    /// well before that. Returns the reports to withdraw.
    pub fn reported_alive(&mut self, instance: &InstanceId, heard: Moment) -> Vec<CrashSuspect> {
        let outlived =
            |loss: &Loss| loss.instance == *instance && loss.last + HEARTBEAT_LATENESS < heard;
        let withdrawn = self.suspicions(|loss| outlived(loss) && loss.reported);
        self.losses.retain(|loss| !outlived(loss));
        withdrawn
    }

    /// Records that `present` reports at the address. Returns the losses of other
    /// incarnations that this explains and that were not reported yet.
    pub fn record_replacement(&mut self, present: &InstanceId, now: Moment) -> Vec<CrashSuspect> {
        let gone = |loss: &Loss| loss.instance != *present;
        let retention = self.answered_retention;
        let counts = |loss: &Loss| loss.may_be_a_crash(now, retention) && !loss.reported;
        let explained = self.suspicions(|loss| gone(loss) && counts(loss));
        self.losses.retain(|loss| !gone(loss));
        explained
    }

    /// Records that the port was found closed shortly after the loss, without a response in
    /// between. Returns the crash to report, if it was not reported before.
    pub fn port_closed(&mut self, lost: &CrashSuspect) -> Option<CrashSuspect> {
        let is_meant = |loss: &&mut Loss| {
            loss.identity == lost.identity && loss.instance == lost.instance && !loss.reported
        };
        let loss = self.losses.iter_mut().find(is_meant)?;
        loss.reported = true;
        Some(lost.clone())
    }

    /// Records that the port of `instance` has stayed closed since a crash was reported,
    /// which makes that report final. Returns further losses that this explains; `None` if
    /// the report was withdrawn, since the backend has responded.
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

    /// Records the departure of `instance`: it ends as planned, possibly with calls in
    /// progress.
    pub fn record_departure(&mut self, instance: &InstanceId) {
        self.losses.retain(|loss| loss.instance != *instance);
    }

    /// True when `instance` has lost responses lately and has not responded since.
    pub fn may_have_ended(&self, instance: &InstanceId, now: Moment) -> bool {
        let retention = self.answered_retention;
        let unanswered =
            |loss: &Loss| loss.answered.is_none() && loss.may_be_a_crash(now, retention);
        self.losses
            .iter()
            .any(|loss| loss.instance == *instance && unanswered(loss))
    }

    /// Drops losses that no crash can explain any more.
    pub fn forget_old(&mut self, now: Moment) {
        self.losses
            .retain(|loss| now.since(loss.last) < LOSS_RETENTION);
    }

    /// True without recent losses.
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
