//! Runs the attempts of one call until an attempt succeeds or none is left: retries after
//! failures, and a hedged attempt beside one that takes too long.

use super::progress::CallProgress;
use super::{Call, Entry, SelectedBackend, no_backend_error};
use crate::call_log::FailedAttempt;
use crate::calls::gate::ATTEMPT_SEPARATOR;
use crate::calls::response::CallError;
use crate::metrics::RetryLabel;
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;
use http::{Request, Response, StatusCode};
use rampthread_core::call::attempts::{Attempts, NextStep};
use rampthread_core::call::cause::Cause;
use rampthread_core::call::headers::{Outcome, implies_not_run};
use rampthread_core::call::identity::RequestIdentity;
use rampthread_core::call::quarantine::QuarantineState;
use rampthread_core::ids::{NodeId, Zone};
use rampthread_core::time::Moment;
use rampthread_http::Body;
use rampthread_http::timeout;
use std::sync::Arc;

/// One attempt to run a call at a backend.
struct Attempt {
    selected: SelectedBackend,
    /// Number of the attempt within its call; the first is 1.
    number: u32,
    started_at: Moment,
}

/// A finished attempt with its response or error.
struct FinishedAttempt {
    attempt: Attempt,
    result: Result<Response<Body>, CallError>,
}

/// When to start a hedged attempt, that is, a second one beside the only attempt in progress.
#[derive(Clone, Copy)]
struct HedgeTimer {
    started_at: Moment,
    at: Moment,
    /// The hedge was already postponed once, because the backend keeps answering other calls.
    was_extended: bool,
}

/// Factor by which the hedge delay grows if the backend answers other calls meanwhile. The call
/// itself is probably long then, and would be as long at another backend.
const HEDGE_EXTENSION_FACTOR: u32 = 2;

/// Event that the attempt loop handles next.
enum AttemptEvent {
    Finished(Box<FinishedAttempt>),
    /// The only attempt in progress takes longer than expected and is to be hedged.
    HedgeDue,
}

/// Runs and retries the attempts of one call.
pub(super) struct AttemptLoop<'call> {
    entry: &'call Arc<Entry>,
    call: &'call Call,
    template: &'call Request<Bytes>,
    attempts: Attempts,
    tried_nodes: Vec<NodeId>,
    in_progress: FuturesUnordered<BoxFuture<'call, FinishedAttempt>>,
    /// When to hedge the attempt in progress; `None` if it is not to be hedged, or was hedged
    /// already.
    hedge_timer: Option<HedgeTimer>,
    last_error: Option<CallError>,
    /// Zone of the last attempt, and whether the attempt was spilled to that zone.
    last_zone: Option<(Zone, bool)>,
}

impl<'call> AttemptLoop<'call> {
    pub(super) fn new(
        entry: &'call Arc<Entry>,
        call: &'call Call,
        template: &'call Request<Bytes>,
    ) -> Self {
        let mut attempts = Attempts::new(call.repeatable, call.deadline, call.route.max_attempts);
        attempts.class = call.retry_class();
        Self {
            entry,
            call,
            template,
            attempts,
            tried_nodes: Vec::new(),
            in_progress: FuturesUnordered::new(),
            hedge_timer: None,
            last_error: None,
            last_zone: None,
        }
    }

    /// Runs attempts until there is a response or a final error. Updates `progress` for the
    /// log.
    pub(super) async fn run(
        mut self,
        progress: &mut CallProgress,
    ) -> Result<Response<Body>, CallError> {
        let (entry, now) = (self.entry, self.entry.now());
        entry.with_budget(self.call, |budget| budget.call_made(now));
        entry.record_demand(self.call, self.template.body().len());
        let result = self.run_until_response(progress).await;
        if result.is_err() {
            entry.with_budget(self.call, |budget| self.attempts.end(budget));
        }
        result
    }

    /// Starts attempts and handles their ends until one has a response or no attempt may
    /// follow.
    async fn run_until_response(
        &mut self,
        progress: &mut CallProgress,
    ) -> Result<Response<Body>, CallError> {
        self.start_next_attempt()?;
        loop {
            progress.attempts = self.tried_nodes.len() as u32;
            if let Some((zone, spilled)) = &self.last_zone {
                progress.zone = Some(zone.clone());
                progress.spilled = *spilled;
            }
            match self.next_event().await {
                AttemptEvent::HedgeDue => self.start_hedge(),
                AttemptEvent::Finished(finished) => match finished.result {
                    Ok(response) => return Ok(response),
                    Err(call_error) => {
                        progress.identity =
                            progress.identity.or(self.identity_if_lost(&call_error));
                        self.after_failure(&finished.attempt, call_error)?;
                    }
                },
            }
        }
    }

    /// Waits for the end of an attempt, or for the time to hedge.
    async fn next_event(&mut self) -> AttemptEvent {
        let Some(hedge_timer) = self.hedge_timer else {
            return finished(self.in_progress.next().await);
        };
        let wait = hedge_timer.at.since(self.entry.now());
        match timeout(wait, self.in_progress.next()).await {
            Ok(next) => finished(next),
            Err(_) => AttemptEvent::HedgeDue,
        }
    }

    /// Starts an attempt at the best backend that this call has not tried yet.
    fn start_next_attempt(&mut self) -> Result<(), CallError> {
        let Some(selected) = self.entry.select_backend(self.call, &self.tried_nodes) else {
            let call_error = self
                .last_error
                .take()
                .unwrap_or_else(|| no_backend_error(self.call));
            return Err(final_error(call_error, self.attempts.outcome()));
        };
        if let Some(refusal) = self.entry.refuse_for_rate_limit(self.call, &selected) {
            let call_error = self.last_error.take().unwrap_or(refusal);
            return Err(final_error(call_error, self.attempts.outcome()));
        }
        self.attempts.begin();
        self.start_attempt(selected);
        self.hedge_timer = self.hedge_timer();
        Ok(())
    }

    /// Sends the call to `selected` without waiting for the end of the attempt.
    fn start_attempt(&mut self, selected: SelectedBackend) {
        let (entry, call, template) = (self.entry, self.call, self.template);
        self.tried_nodes.push(selected.node.clone());
        self.last_zone = Some((selected.zone.clone(), selected.spilled));
        let number = self.tried_nodes.len() as u32;
        let attempt = Attempt {
            selected,
            number,
            started_at: entry.now(),
        };
        self.in_progress.push(Box::pin(async move {
            let id = attempt_id(&call.id, number);
            let result = entry
                .send_attempt(call, &id, &attempt.selected, template)
                .await;
            FinishedAttempt { attempt, result }
        }));
    }

    /// When to start a hedged attempt beside an attempt that starts now; `None` if the latter is
    /// not to be hedged.
    fn hedge_timer(&self) -> Option<HedgeTimer> {
        if !self.attempts.may_hedge() {
            return None;
        }
        let now = self.entry.now();
        let route = &self.call.route.name;
        let wait = self.entry.state().balancer.hedge_delay(route)?;
        // Hedges only if the deadline leaves the hedged attempt as much time as the first
        // attempt had.
        (wait * 2 < self.call.deadline.since(now)).then_some(HedgeTimer {
            started_at: now,
            at: now + wait,
            was_extended: false,
        })
    }

    /// Postpones the hedge once if the backend has answered other calls since the attempt
    /// started. Returns whether the hedge was postponed.
    fn extend_hedge_timer(&mut self) -> bool {
        let (Some(timer), Some(node)) = (self.hedge_timer, self.tried_nodes.last()) else {
            return false;
        };
        let has_answered_others = self
            .entry
            .state()
            .balancer
            .answered_since(node, timer.started_at);
        if timer.was_extended || !has_answered_others {
            return false;
        }
        let wait = timer.at.since(timer.started_at) * HEDGE_EXTENSION_FACTOR;
        self.hedge_timer = Some(HedgeTimer {
            at: timer.started_at + wait,
            was_extended: true,
            ..timer
        });
        true
    }

    /// Starts a hedged attempt if a backend appears to have a free slot. The first attempt is
    /// not cancelled: if the hedge is rejected, the first attempt may still succeed.
    ///
    /// A request suspected of crashing a backend is not hedged.
    fn start_hedge(&mut self) {
        if self.extend_hedge_timer() {
            return;
        }
        self.hedge_timer = None;
        if self.entry.quarantine_state(self.call) != QuarantineState::Unsuspected {
            return;
        }
        let (entry, call, now) = (self.entry, self.call, self.entry.now());
        if let Some(slow_node) = self.tried_nodes.last() {
            entry.state().balancer.record_failure(slow_node, now);
        }
        let Some(selected) = entry
            .select_backend(call, &self.tried_nodes)
            .filter(|selected| selected.has_free_slot)
        else {
            return;
        };
        let attempts = &mut self.attempts;
        if !entry.with_budget(call, |budget| attempts.begin_hedge(now, budget)) {
            return;
        }
        entry.control().metrics.hedges.inc();
        entry
            .control()
            .call_log
            .hedged(&call.id, selected.node.as_str());
        self.start_attempt(SelectedBackend {
            // Forbids the gate node to queue the hedged attempt: while another backend appears
            // to have a free slot, the gate node runs a call immediately or rejects it.
            others_have_free_slot: true,
            may_queue_for_limit: false,
            ..selected
        });
    }

    /// Decides what follows a failed attempt. An error ends the call.
    fn after_failure(&mut self, attempt: &Attempt, call_error: CallError) -> Result<(), CallError> {
        self.log_failed_attempt(attempt, &call_error);
        let quarantined = matches!(
            self.entry.quarantine_state(self.call),
            QuarantineState::Quarantined { .. }
        );
        let (entry, now) = (self.entry, self.entry.now());
        let attempts = &mut self.attempts;
        let next = entry.with_budget(self.call, |budget| {
            attempts.record_outcome(call_error.outcome, call_error.reach, now, budget)
        });
        let full = call_error.cause == Cause::QueueFull;
        let call_error = with_earlier_retry(call_error, self.last_error.take());
        match next {
            NextStep::AwaitOther => {
                self.hedge_timer = None;
                self.last_error = Some(call_error);
                Ok(())
            }
            // The gate node was allowed to queue the call, but its queue was too long. Other
            // backends are no better, and trying them costs traffic between zones. A nested
            // call still tries them, since failing it would waste the work of its parent.
            NextStep::Retry
                if full && !attempt.selected.others_have_free_slot && !self.call.is_nested() =>
            {
                Err(final_error(call_error, self.attempts.outcome()))
            }
            // The request is quarantined: a retry could crash another backend.
            NextStep::Retry if quarantined => Err(final_error(call_error, self.attempts.outcome())),
            NextStep::Retry => {
                self.count_retry();
                self.last_error = Some(call_error);
                self.start_next_attempt()
            }
            NextStep::GiveUp(outcome) => Err(final_error(call_error, outcome)),
        }
    }

    /// Updates the metrics of retries.
    fn count_retry(&self) {
        let metrics = &self.entry.control().metrics;
        metrics.retries.inc();
        let claim = self.call.retry_class().as_str();
        let label = RetryLabel { claim };
        metrics.retries_by_claim.get_or_create(&label).inc();
    }

    /// Identity of the request if its response was lost, for the log.
    fn identity_if_lost(&self, call_error: &CallError) -> Option<RequestIdentity> {
        let lost = call_error.cause.is_lost_answer();
        lost.then(|| self.entry.identity(self.call))
    }

    /// Writes the log line of a failed attempt.
    fn log_failed_attempt(&self, attempt: &Attempt, call_error: &CallError) {
        let (entry, selected) = (self.entry, &attempt.selected);
        entry.control().call_log.attempt_failed(&FailedAttempt {
            request_id: &self.call.id,
            number: attempt.number,
            node: selected.node.as_str(),
            backend: selected.target.backend.as_str(),
            seen_load: selected.seen_load,
            room_percent: selected.admitted_percent,
            waiting: entry.queueing_limit(self.call, selected),
            took: entry.now().since(attempt.started_at),
            call_error,
            identity: self.identity_if_lost(call_error),
        });
    }
}

/// Event for the attempt that has finished. `next` is never `None`, since a call waits only
/// while an attempt is in progress.
fn finished(next: Option<FinishedAttempt>) -> AttemptEvent {
    AttemptEvent::Finished(Box::new(next.expect("an attempt is in progress")))
}

/// Returns the newer error with the shorter retry delay of both errors.
fn with_earlier_retry(newer: CallError, older: Option<CallError>) -> CallError {
    let delays = [
        newer.retry_after,
        older.and_then(|call_error| call_error.retry_after),
    ];
    CallError {
        retry_after: delays.into_iter().flatten().min(),
        ..newer
    }
}

/// The error for the caller: the last attempt's, with the combined outcome of all attempts. If
/// that outcome is unknown, a status that implies more is replaced by 502: a client error, or a
/// status that promises that the request has not run.
fn final_error(last_error: CallError, outcome: Outcome) -> CallError {
    let says_more = !last_error.status.is_server_error() || implies_not_run(last_error.status);
    let status = match outcome {
        Outcome::Unknown if says_more => StatusCode::BAD_GATEWAY,
        _ => last_error.status,
    };
    CallError {
        status,
        outcome,
        ..last_error
    }
}

/// Call id of one attempt. Each attempt has its own, so that fencing one attempt does not stop
/// the next.
fn attempt_id(call_id: &str, number: u32) -> String {
    format!("{call_id}{ATTEMPT_SEPARATOR}{number}")
}
