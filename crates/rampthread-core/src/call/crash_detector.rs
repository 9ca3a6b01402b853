//! Decides which lost responses a crash of the backend explains.
//!
//! A lost connection alone is no crash: resets, corrupt responses and full backends lose
//! responses too. A crash is shown by a port that refuses connections after the response
//! was lost, or by another incarnation of the backend that reports at the address without a
//! departure of the previous one.
//!
//! A response to a call that began after the loss shows that the backend is running, and
//! withdraws the crash report. This holds where each incarnation has an id of its own,
//! since a call names the id of the incarnation that it is for. A backend that reports its
//! start time may keep its id: until the next incarnation has reported, it answers calls
//! for the previous one. For such a backend, only a load report of the same incarnation,
//! well after the loss, shows that the incarnation is running. For a backend that neither
//! changes its id nor reports its start time, the port is checked again: a port that stays
//! closed belongs to no running process.

use crate::backend_incarnation::BackendIncarnation;
use crate::call::identity::RequestIdentity;
use crate::ids::InstanceId;
use crate::time::Moment;
use std::time::Duration;

/// Maximum number of lost responses that are remembered for one backend: four times the
/// slots of a large backend.
const MAX_LOSSES: usize = 128;
/// Time for which a lost response may still be explained by a crash. A crashed backend is
/// restarted within seconds, and its next incarnation then shows the crash.
const LOSS_RETENTION: Duration = Duration::from_secs(10);

/// Minimum time for which a lost response may still be explained by a crash after a later
/// call was answered. It applies to backends that report their start time: their next
/// incarnation answers calls before its first report.
const MIN_ANSWERED_RETENTION: Duration = Duration::from_secs(3);
/// Number of heartbeats within which the next incarnation of a backend reports, even if its
/// first report is lost.
const HEARTBEATS_TO_REPORT: u32 = 2;
/// Longest delay of a heartbeat (regular report of a backend) between sending and arrival.
/// A heartbeat that arrives within this time after a response was lost may have been sent
/// before the loss, and does not show that the backend still runs.
const HEARTBEAT_LATENESS: Duration = Duration::from_secs(3);

/// A call to one backend incarnation whose response was lost. Repeats of the same request
/// are one element.
#[derive(Debug, Clone)]
struct LostCall {
    identity: RequestIdentity,
    instance: InstanceId,
    /// When the request's response was first lost.
    at: Moment,
    /// When the request's response was last lost. A response to a call that began later
    /// shows that the backend is running.
    last: Moment,
    /// True if the request was on trial, i.e. ran alone after its quarantine.
    on_trial: bool,
    /// True if a crash was reported because of this lost response.
    reported: bool,
    /// When a later call to the same backend id was answered, by the same incarnation or
    /// the next one.
    answered: Option<Moment>,
}

impl LostCall {
    /// True while a crash of the backend may still explain the lost response.
    fn may_be_a_crash(&self, now: Moment, answered_retention: Duration) -> bool {
        let answered_long_ago = self
            .answered
            .is_some_and(|answered| now.since(answered) >= answered_retention);
        now.since(self.last) < LOSS_RETENTION && !answered_long_ago
    }
}

/// A request that may have crashed a backend, and the incarnation of the backend that it
/// was sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashSuspect {
    /// Digest of the request's content, by which repeats of the request are recognized.
    pub identity: RequestIdentity,
    /// Backend incarnation that the request was sent to.
    pub instance: InstanceId,
    /// When the response of this incarnation to the request was first lost.
    pub at: Moment,
    /// True if the request was on trial: it ran alone after its quarantine.
    pub on_trial: bool,
}

/// Lost responses of one backend, and which of them were reported as crashes. Used by a
/// gate node for its local backend, and by an entry node for each backend that it sends
/// calls to.
#[derive(Debug)]
pub struct CrashDetector {
    losses: Vec<LostCall>,
    /// Time for which a lost response may still be reported as a crash after a later call
    /// was answered: the answer may come from the next incarnation of the backend, whose
    /// first heartbeat has not arrived yet.
    answered_retention: Duration,
}

impl Default for CrashDetector {
    fn default() -> Self {
        Self::with_heartbeat(Duration::ZERO)
    }
}

impl CrashDetector {
    /// Creates a detector for a backend that reports once per `heartbeat`.
    pub fn with_heartbeat(heartbeat: Duration) -> Self {
        Self {
            losses: Vec::new(),
            answered_retention: MIN_ANSWERED_RETENTION.max(heartbeat * HEARTBEATS_TO_REPORT),
        }
    }

    /// Records that the response to a request was lost. `refuses` is true if the backend's
    /// port refuses connections; the loss then counts as a reported crash.
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
        if self.losses.len() >= MAX_LOSSES && !self.make_room_for_loss(lost) {
            return;
        }
        self.losses.push(LostCall {
            identity: lost.identity,
            instance: lost.instance.clone(),
            at: lost.at,
            last: lost.at,
            on_trial: lost.on_trial,
            reported: refuses,
            answered: None,
        });
    }

    /// Makes room for the lost response to a request in a quarantine trial, by dropping the newest loss
    /// of another request. Requests not on trial are not recorded beyond the maximum: calls
    /// sent after a crash are lost too, and must not displace the request that caused it. In a
    /// soak, more than 128 losses within 0.6 s hid the request on trial, and it crashed two more
    /// backends.
    fn make_room_for_loss(&mut self, lost: &CrashSuspect) -> bool {
        let newest = self.losses.iter().rposition(|loss| !loss.on_trial);
        let Some(newest) = newest.filter(|_| lost.on_trial) else {
            return false;
        };
        self.losses.remove(newest);
        true
    }

    /// Records that a call for `instance` that began at `begun` was answered: the backend
    /// is running, unless the next incarnation of the backend may have answered instead.
    /// Returns the crash reports to withdraw.
    pub fn record_response(&mut self, instance: &InstanceId, begun: Moment) -> Vec<CrashSuspect> {
        let names_start = BackendIncarnation::from_name(instance)
            .started_at()
            .is_some();
        if names_start {
            self.mark_answered(instance, begun);
            return Vec::new();
        }
        let disproved = |loss: &LostCall| loss.instance == *instance && loss.last < begun;
        let withdrawn = self.suspects(|loss| disproved(loss) && loss.reported);
        self.losses.retain(|loss| !disproved(loss));
        withdrawn
    }

    /// Marks the earlier lost responses of `instance`, since a call that began later was
    /// answered. A marked lost response is no longer explained by a crash once
    /// `answered_retention` has passed.
    fn mark_answered(&mut self, instance: &InstanceId, begun: Moment) {
        let losses = self.losses.iter_mut();
        for loss in losses.filter(|loss| loss.instance == *instance && loss.last < begun) {
            loss.answered.get_or_insert(begun);
        }
    }

    /// Records that the newest report of `instance` was received at `heard`, which shows
    /// that this incarnation was running shortly before; the longest delay of a heartbeat
    /// is taken into account. Returns the crash reports to withdraw.
    pub fn reported_alive(&mut self, instance: &InstanceId, heard: Moment) -> Vec<CrashSuspect> {
        let outlived =
            |loss: &LostCall| loss.instance == *instance && loss.last + HEARTBEAT_LATENESS < heard;
        let withdrawn = self.suspects(|loss| outlived(loss) && loss.reported);
        self.losses.retain(|loss| !outlived(loss));
        withdrawn
    }

    /// Records that the incarnation `present` reports at the address. Returns the requests
    /// whose responses other incarnations lost, where that shows a crash that was not
    /// reported yet.
    pub fn record_replacement(&mut self, present: &InstanceId, now: Moment) -> Vec<CrashSuspect> {
        let gone = |loss: &LostCall| loss.instance != *present;
        let retention = self.answered_retention;
        let counts = |loss: &LostCall| loss.may_be_a_crash(now, retention) && !loss.reported;
        let explained = self.suspects(|loss| gone(loss) && counts(loss));
        self.losses.retain(|loss| !gone(loss));
        explained
    }

    /// Records that the port of the backend was found closed shortly after the response was
    /// lost. Returns the request and incarnation to report as a crash; `None` if this crash
    /// was reported before, or if a later call was answered in between.
    pub fn port_closed(&mut self, lost: &CrashSuspect) -> Option<CrashSuspect> {
        let is_meant = |loss: &&mut LostCall| {
            loss.identity == lost.identity && loss.instance == lost.instance && !loss.reported
        };
        let loss = self.losses.iter_mut().find(is_meant)?;
        loss.reported = true;
        Some(lost.clone())
    }

    /// Records that the port of `instance` has stayed closed since a crash was reported,
    /// which shows that the incarnation has ended. Returns further requests that the crash
    /// explains; `None` if the report was withdrawn, since the backend has answered a call.
    pub fn ended(&mut self, instance: &InstanceId) -> Option<Vec<CrashSuspect>> {
        let of_it = |loss: &LostCall| loss.instance == *instance;
        let stands = self.losses.iter().any(|loss| of_it(loss) && loss.reported);
        if !stands {
            return None;
        }
        let explained = self.suspects(|loss| of_it(loss) && !loss.reported);
        self.losses.retain(|loss| !of_it(loss));
        Some(explained)
    }

    /// Records the departure of `instance`, a planned end. Its lost responses are dropped,
    /// since a planned end is no crash.
    pub fn record_departure(&mut self, instance: &InstanceId) {
        self.losses.retain(|loss| loss.instance != *instance);
    }

    /// True if responses of `instance` were lost lately and no later call was answered, so
    /// that the incarnation may have ended.
    pub fn may_have_ended(&self, instance: &InstanceId, now: Moment) -> bool {
        let retention = self.answered_retention;
        let unanswered =
            |loss: &LostCall| loss.answered.is_none() && loss.may_be_a_crash(now, retention);
        self.losses
            .iter()
            .any(|loss| loss.instance == *instance && unanswered(loss))
    }

    /// Drops lost responses that are too old to be explained by a crash.
    pub fn forget_old(&mut self, now: Moment) {
        self.losses
            .retain(|loss| now.since(loss.last) < LOSS_RETENTION);
    }

    /// True if no lost response is remembered.
    pub fn is_empty(&self) -> bool {
        self.losses.is_empty()
    }

    /// Lists the requests whose lost responses fulfil the condition `wanted`, as crash
    /// suspects.
    fn suspects(&self, wanted: impl Fn(&LostCall) -> bool) -> Vec<CrashSuspect> {
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
