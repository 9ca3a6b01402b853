//! Runs the attempts of one call until one succeeds or none is left: retries after failures,
//! and a hedged attempt beside one that takes too long.

use super::progress::Progress;
use super::{Call, Choice, Entry, no_backend};
use crate::call_log::FailedTryLine;
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

/// One attempt.
struct Try {
    choice: Choice,
    /// Counts from 1.
    number: u32,
    begun: Moment,
}

/// An attempt with its result.
struct EndedTry {
    tried: Try,
    result: Result<Response<Body>, CallError>,
}

/// When the only attempt in progress is hedged.
#[derive(Clone, Copy)]
struct Overdue {
    begun: Moment,
    at: Moment,
    /// The time was extended once, because the backend keeps answering other calls.
    extended: bool,
}

/// Factor by which the time before a hedge is extended while the backend answers other calls.
/// Then the call itself is probably long, and would be long at another backend as well.
const EXTENSION: u32 = 2;

/// NextStep step of a call.
enum Event {
    Ended(Box<EndedTry>),
    /// The only attempt in progress exceeded its expected time.
    Overdue,
}

/// Drives the attempts of one call.
pub(super) struct Tries<'call> {
    entry: &'call Arc<Entry>,
    call: &'call Call,
    template: &'call Request<Bytes>,
    attempts: Attempts,
    tried: Vec<NodeId>,
    under_way: FuturesUnordered<BoxFuture<'call, EndedTry>>,
    /// `None` if the attempt in progress is not to be hedged, or was hedged already.
    overdue: Option<Overdue>,
    last: Option<CallError>,
    /// Zone of the last attempt, and whether the call was spilled there.
    last_zone: Option<(Zone, bool)>,
}

impl<'call> Tries<'call> {
    pub(super) fn new(
        entry: &'call Arc<Entry>,
        call: &'call Call,
        template: &'call Request<Bytes>,
    ) -> Self {
        let mut attempts = Attempts::new(call.repeatable, call.deadline, call.route.max_attempts);
        attempts.class = call.retry_claim();
        Self {
            entry,
            call,
            template,
            attempts,
            tried: Vec::new(),
            under_way: FuturesUnordered::new(),
            overdue: None,
            last: None,
            last_zone: None,
        }
    }

    /// Runs attempts until there is a response or a final error; `progress` is updated for the
    /// log.
    pub(super) async fn run(
        mut self,
        progress: &mut Progress,
    ) -> Result<Response<Body>, CallError> {
        let (entry, now) = (self.entry, self.entry.now());
        entry.with_budget(self.call, |budget| budget.call_made(now));
        entry.note_demand(self.call, self.template.body().len());
        let result = self.until_answered(progress).await;
        if result.is_err() {
            entry.with_budget(self.call, |budget| self.attempts.end(budget));
        }
        result
    }

    async fn until_answered(
        &mut self,
        progress: &mut Progress,
    ) -> Result<Response<Body>, CallError> {
        self.begin_next()?;
        loop {
            progress.tries = self.tried.len() as u32;
            if let Some((zone, sent_away)) = &self.last_zone {
                progress.zone = Some(zone.clone());
                progress.sent_away = *sent_away;
            }
            match self.next_event().await {
                Event::Overdue => self.hedge(),
                Event::Ended(ended) => match ended.result {
                    Ok(response) => return Ok(response),
                    Err(call_error) => {
                        progress.identity =
                            progress.identity.or(self.identity_if_lost(&call_error));
                        self.after_failure(&ended.tried, call_error)?;
                    }
                },
            }
        }
    }

    async fn next_event(&mut self) -> Event {
        let Some(overdue) = self.overdue else {
            return ended(self.under_way.next().await);
        };
        let wait = overdue.at.since(self.entry.now());
        match timeout(wait, self.under_way.next()).await {
            Ok(next) => ended(next),
            Err(_) => Event::Overdue,
        }
    }

    /// Starts an attempt at the best backend that has not been tried.
    fn begin_next(&mut self) -> Result<(), CallError> {
        let Some(choice) = self.entry.choose(self.call, &self.tried) else {
            let call_error = self.last.take().unwrap_or_else(|| no_backend(self.call));
            return Err(final_answer(call_error, self.attempts.outcome()));
        };
        self.attempts.begin();
        self.begin(choice);
        self.overdue = self.overdue();
        Ok(())
    }

    fn begin(&mut self, choice: Choice) {
        let (entry, call, template) = (self.entry, self.call, self.template);
        self.tried.push(choice.node.clone());
        self.last_zone = Some((choice.zone.clone(), choice.sent_away));
        let number = self.tried.len() as u32;
        let tried = Try {
            choice,
            number,
            begun: entry.now(),
        };
        self.under_way.push(Box::pin(async move {
            let id = try_id(&call.id, number);
            let result = entry.try_once(call, &id, &tried.choice, template).await;
            EndedTry { tried, result }
        }));
    }

    /// When to hedge an attempt that starts now.
    fn overdue(&self) -> Option<Overdue> {
        if !self.attempts.may_hedge() {
            return None;
        }
        let now = self.entry.now();
        let route = &self.call.route.name;
        let wait = self.entry.state().balancer.hedge_delay(route)?;
        // A hedged attempt needs as much time again before the deadline.
        (wait * 2 < self.call.deadline.since(now)).then_some(Overdue {
            begun: now,
            at: now + wait,
            extended: false,
        })
    }

    /// Extends the time before the hedge once, if the backend has answered other calls since
    /// the attempt started.
    fn extend(&mut self) -> bool {
        let (Some(overdue), Some(node)) = (self.overdue, self.tried.last()) else {
            return false;
        };
        let answers = self
            .entry
            .state()
            .balancer
            .answered_since(node, overdue.begun);
        if overdue.extended || !answers {
            return false;
        }
        let wait = overdue.at.since(overdue.begun) * EXTENSION;
        self.overdue = Some(Overdue {
            at: overdue.begun + wait,
            extended: true,
            ..overdue
        });
        true
    }

    /// Starts a hedged attempt if a backend appears to have a free slot. The first attempt is
    /// not cancelled: if the hedge is rejected, the first may still succeed.
    ///
    /// A request suspected of crashing a backend is not hedged.
    fn hedge(&mut self) {
        if self.extend() {
            return;
        }
        self.overdue = None;
        if self.entry.standing(self.call) != QuarantineState::Unsuspected {
            return;
        }
        let (entry, call, now) = (self.entry, self.call, self.entry.now());
        if let Some(overdue) = self.tried.last() {
            entry.state().balancer.record_failure(overdue, now);
        }
        let Some(choice) = entry.choose(call, &self.tried).filter(|choice| choice.free) else {
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
            .hedged(&call.id, choice.node.as_str());
        self.begin(Choice {
            // The hedge must not queue.
            others_free: true,
            ..choice
        });
    }

    /// Decides what follows a failed attempt; an error ends the call.
    fn after_failure(&mut self, tried: &Try, call_error: CallError) -> Result<(), CallError> {
        self.log(tried, &call_error);
        let quarantined = matches!(
            self.entry.standing(self.call),
            QuarantineState::Quarantined { .. }
        );
        let (entry, now) = (self.entry, self.entry.now());
        let attempts = &mut self.attempts;
        let next = entry.with_budget(self.call, |budget| {
            attempts.after(call_error.outcome, call_error.reach, now, budget)
        });
        let full = call_error.cause == Cause::QueueFull;
        let call_error = sooner(call_error, self.last.take());
        match next {
            NextStep::AwaitOther => {
                self.overdue = None;
                self.last = Some(call_error);
                Ok(())
            }
            // The call was allowed to queue and the queue was too long. Other backends are no
            // better, and asking them costs traffic between zones. A nested call still tries
            // them, since failing it would waste the work of its parent.
            NextStep::Retry if full && !tried.choice.others_free && !self.call.is_nested() => {
                Err(final_answer(call_error, self.attempts.outcome()))
            }
            // Retrying would risk another backend.
            NextStep::Retry if quarantined => {
                Err(final_answer(call_error, self.attempts.outcome()))
            }
            NextStep::Retry => {
                self.count_second_try();
                self.last = Some(call_error);
                self.begin_next()
            }
            NextStep::GiveUp(outcome) => Err(final_answer(call_error, outcome)),
        }
    }

    fn count_second_try(&self) {
        let metrics = &self.entry.control().metrics;
        metrics.retries.inc();
        let claim = self.call.retry_claim().as_str();
        let label = RetryLabel { claim };
        metrics.retries_by_claim.get_or_create(&label).inc();
    }

    /// Identity of the request if the error is a lost response, for the log.
    fn identity_if_lost(&self, call_error: &CallError) -> Option<RequestIdentity> {
        let lost = call_error.cause.is_lost_answer();
        lost.then(|| self.entry.identity(self.call))
    }

    fn log(&self, tried: &Try, call_error: &CallError) {
        let (entry, choice) = (self.entry, &tried.choice);
        entry.control().call_log.try_failed(&FailedTryLine {
            request_id: &self.call.id,
            number: tried.number,
            node: choice.node.as_str(),
            backend: choice.target.backend.as_str(),
            seen_load: choice.seen_load,
            room_percent: choice.room_percent,
            waiting: entry.waiting(self.call, choice),
            took: entry.now().since(tried.begun),
            call_error,
            identity: self.identity_if_lost(call_error),
        });
    }
}

/// Unwraps the next finished attempt. The set is never empty while the call waits on it.
fn ended(next: Option<EndedTry>) -> Event {
    Event::Ended(Box::new(next.expect("a try is under way")))
}

/// Returns the newer error with the smaller retry delay of the two.
fn sooner(newer: CallError, older: Option<CallError>) -> CallError {
    let waits = [
        newer.retry_after,
        older.and_then(|call_error| call_error.retry_after),
    ];
    CallError {
        retry_after: waits.into_iter().flatten().min(),
        ..newer
    }
}

/// Error returned to the caller: the last attempt's, with the combined outcome of all attempts.
/// If the combined outcome is unknown, a status that implies more (a client error, or one that
/// promises that the request did not run) is replaced by 502.
fn final_answer(last: CallError, outcome: Outcome) -> CallError {
    let says_more = !last.status.is_server_error() || implies_not_run(last.status);
    let status = match outcome {
        Outcome::Unknown if says_more => StatusCode::BAD_GATEWAY,
        _ => last.status,
    };
    CallError {
        status,
        outcome,
        ..last
    }
}

/// Every attempt has its own id, so that a fence on one does not stop the next.
fn try_id(call_id: &str, number: u32) -> String {
    format!("{call_id}{ATTEMPT_SEPARATOR}{number}")
}
