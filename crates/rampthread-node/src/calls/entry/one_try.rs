//! One attempt: sends the hop, processes the response, and fences an abandoned hop.

use super::versions::VersionAnswer;
use super::{Call, Choice, Entry, NO_BACKEND_RETRY, outcome_of};
use crate::call_log::FencedHopLine;
use crate::calls::gate::{Hop, LARGE_BODY_BYTES};
use crate::calls::guarded_body::GuardedBody;
use crate::calls::header_filter;
use crate::calls::hop_headers;
use crate::calls::response::{CallError, read_response_body};
use bytes::Bytes;
use http::response::Parts;
use http::{HeaderMap, Request, Response};
use rampthread_core::call::backend_speed::BackendSpeed;
use rampthread_core::call::cause::Cause;
use rampthread_core::call::fence_outcome::{AbandonedHop, FenceOutcome};
use rampthread_core::call::headers::{self, Outcome, QueueingLimit, Reach};
use rampthread_core::call::precedence::Precedence;
use rampthread_core::ids::{InstanceId, NodeId};
use rampthread_core::time::Moment;
use rampthread_http::timeout;
use rampthread_http::{Body, ConnectionReuse, SendError, boxed, full, read_boxed_limited};
use std::sync::Arc;
use std::time::Duration;

/// Time limit of a fence request.
const FENCE_WAIT: Duration = Duration::from_millis(250);
/// Added to the call's deadline before a hop counts as lost, so that the gate's own deadline
/// error arrives first.
const HOP_SLACK: Duration = Duration::from_millis(20);
/// Largest response that is buffered before it is forwarded, in bytes. If a buffered response
/// is truncated, the call can still be retried or failed with a status.
const WHOLE_ANSWER_BYTES: u64 = 1 << 20;
/// Largest response without a `Content-Length`, in bytes.
const MAX_UNDECLARED_BYTES: usize = 16 << 20;

impl Entry {
    /// Sends the call to the chosen backend and waits for the response until the deadline.
    /// Dropping the future cancels a repeatable call.
    pub(super) async fn try_once(
        self: &Arc<Self>,
        call: &Call,
        id: &str,
        choice: &Choice,
        template: &Request<Bytes>,
    ) -> Result<Response<Body>, CallError> {
        let in_flight = InFlight::new(self, &choice.node);
        let begun = self.now();
        let remaining = call.deadline.since(begun) + HOP_SLACK;
        let sending = self.send(call, id, choice, template);
        match timeout(remaining, sending).await {
            Ok(Ok(response)) => {
                self.take_answer(call, choice, response, in_flight, begun)
                    .await
            }
            Ok(Err(failure)) => Err(self.lost(call, id, choice, failure).await),
            Err(_) => {
                self.state()
                    .balancer
                    .record_failure(&choice.node, self.now());
                self.note_version_answer(call, choice, VersionAnswer::Failure);
                let reason = format!("no answer of {} before the deadline", choice.node);
                Err(CallError::unknown(Cause::Deadline, reason))
            }
        }
    }

    /// Forwards the call to the gate of the chosen backend.
    async fn send(
        self: &Arc<Self>,
        call: &Call,
        id: &str,
        choice: &Choice,
        template: &Request<Bytes>,
    ) -> Result<Response<Body>, FailedHop> {
        let hop = self.hop(call, id, choice);
        if choice.node == self.control().id {
            return Ok(self.options.gate.handle(hop, copy_of(template)).await);
        }
        let request = self.hop_request(&hop, choice, template);
        let reuse = if call.repeatable {
            ConnectionReuse::AnyIdle
        } else {
            ConnectionReuse::RecentOnly
        };
        let peers = &self.options.peers;
        let address = choice.target.address;
        let bytes = template.body().len();
        let begun = self.now();
        let failed = |error| FailedHop { error, begun };
        if self.asks_before_sending(call, choice, bytes)
            && let Some(refused) = peers
                .reserve(address, request.headers(), bytes)
                .await
                .map_err(failed)?
        {
            return Ok(refused);
        }
        let begun = self.now();
        let failed = |error| FailedHop { error, begun };
        let sent = peers.pool().send(address, request, reuse).await;
        sent.map(|response| response.map(boxed)).map_err(failed)
    }

    /// Whether to reserve at the gate before sending the body. A large body needs a transfer
    /// permit; a smaller one would probably be sent in vain where gates are full.
    fn asks_before_sending(&self, call: &Call, choice: &Choice, bytes: usize) -> bool {
        let now = self.now();
        bytes >= LARGE_BODY_BYTES
            || self
                .room(call)
                .should_ask_before_body(&choice.zone, bytes, now)
    }

    /// Whether the gate may queue the call. While another backend appears free, the call must
    /// run immediately or be rejected.
    pub(super) fn waiting(&self, call: &Call, choice: &Choice) -> QueueingLimit {
        if choice.others_free {
            return QueueingLimit::Never;
        }
        match call.route.target_latency_ms {
            // The response misses the target anyway, so it must not delay calls that can meet
            // it.
            Some(_) if call.precedence == Precedence::Retry => QueueingLimit::Never,
            Some(_) => QueueingLimit::ForTarget(self.target_left(call).unwrap_or_default()),
            None => QueueingLimit::UntilDeadline,
        }
    }

    /// Handles a hop whose gate was unreachable or whose response was lost.
    async fn lost(
        self: &Arc<Self>,
        call: &Call,
        id: &str,
        choice: &Choice,
        failure: FailedHop,
    ) -> CallError {
        let now = self.now();
        match failure.error {
            SendError::NotSent {
                reason,
                unreachable,
            } => {
                if unreachable {
                    self.state().balancer.record_unreachable(&choice.node, now);
                } else {
                    self.state().balancer.record_failure(&choice.node, now);
                }
                CallError::not_run(Cause::Unreachable, reason).retry_after(NO_BACKEND_RETRY)
            }
            SendError::ResponseLost { reason } => {
                self.state().balancer.record_failure(&choice.node, now);
                if call.repeatable {
                    return CallError::unknown(Cause::ConnectionLost, reason);
                }
                self.fence(call, id, choice, failure.begun, reason).await
            }
        }
    }

    /// Asks the gate never to start the abandoned hop, which was sent at `begun`, and derives
    /// the outcome.
    async fn fence(
        &self,
        call: &Call,
        id: &str,
        choice: &Choice,
        begun: Moment,
        reason: String,
    ) -> CallError {
        let wait = FENCE_WAIT.min(call.deadline.since(self.now()));
        let (node, address) = (&choice.node, choice.target.address);
        let reply = self.options.peers.fence(address, node, id, wait).await;
        let age = self.now().since(begun);
        let finding = FenceOutcome::new(AbandonedHop { node, age }, reply.as_ref());
        self.control().call_log.hop_fenced(&FencedHopLine {
            request_id: &call.id,
            node: node.as_str(),
            address,
            hop_age: age,
            reply: reply.as_ref(),
            finding,
        });
        match finding {
            FenceOutcome::NeverStarts => {
                CallError::not_run(Cause::Fenced, format!("{reason}; fenced before it started"))
                    .retry_after(NO_BACKEND_RETRY)
            }
            FenceOutcome::Started | FenceOutcome::Unknown | FenceOutcome::NoReply => {
                let reason = format!("{reason}; fence: {}", finding.as_str());
                CallError::unknown(Cause::ConnectionLost, reason)
            }
        }
    }

    fn hop(&self, call: &Call, id: &str, choice: &Choice) -> Hop {
        Hop {
            call_id: id.to_string(),
            caller: call.caller.clone(),
            route: call.route.name.clone(),
            backend: choice.target.backend.clone(),
            deadline: call.deadline,
            repeatable: call.repeatable,
            hops: call.hops,
            tenant: call.tenant.clone(),
            rank: call.rank,
            precedence: call.precedence,
            waiting: self.waiting(call, choice),
        }
    }

    fn hop_request(&self, hop: &Hop, choice: &Choice, template: &Request<Bytes>) -> Request<Body> {
        let mut request = copy_of(template).map(full);
        let to = request.headers_mut();
        let process_epoch = self.options.peers.process_epoch();
        hop_headers::write(hop, &self.options.dialect, process_epoch, self.now(), to);
        if let Some(token) = self.options.peers.token(&choice.node, &hop.call_id) {
            header_filter::set_internal(to, headers::HOP_TOKEN, &token);
        }
        request
    }

    async fn take_answer(
        self: &Arc<Self>,
        call: &Call,
        choice: &Choice,
        response: Response<Body>,
        in_flight: InFlight,
        begun: Moment,
    ) -> Result<Response<Body>, CallError> {
        let node = &choice.node;
        if let Some(load) = header_filter::parse_header(response.headers(), headers::LOAD) {
            let now = self.now();
            self.state().balancer.record_load(node, load, now);
        }
        let outcome = outcome_of(&response);
        self.note_pace(node, outcome, response.headers());
        self.note_nested(call, response.headers());
        if outcome != Outcome::Completed {
            let call_error = error_from_response(&response, outcome);
            // A backend that sheds load had a slot for the call.
            let had_room = call_error.cause == Cause::Shed;
            if had_room || call_error.cause.is_out_of_capacity() {
                self.note_room(call, choice, !had_room);
            }
            self.note_lost_answer(call, choice, &call_error);
            return Err(call_error);
        }
        self.note_room(call, choice, false);
        let (mut parts, body) = response.into_parts();
        let declared: Option<u64> = header_filter::parse_header(&parts.headers, "content-length");
        let waited = header_filter::parse_header(&parts.headers, headers::WAITED_MS).unwrap_or(0);
        let body = if declared.unwrap_or(0) > WHOLE_ANSWER_BYTES {
            body
        } else {
            let whole = self.whole_body(call, body).await?;
            self.note_whole_answer(call, choice, begun);
            whole
        };
        let now = self.now();
        let took = now.since(begun);
        let route = &call.route.name;
        let failed = parts.status.is_server_error();
        // The time to a failure says nothing about the speed of the backend.
        if !failed {
            self.state()
                .balancer
                .record_response(node, route, took, now);
            let work = took.saturating_sub(Duration::from_millis(waited));
            let bytes = call.content.body_bytes() + declared.unwrap_or(0) as usize;
            self.note_work(call, choice, work, bytes);
        }
        let answer = match failed {
            true => VersionAnswer::Failure,
            false => VersionAnswer::Good(took),
        };
        self.note_version_answer(call, choice, answer);
        self.dress_answer(call, choice, &mut parts, outcome);
        let body = GuardedBody::new(body, in_flight);
        Ok(Response::from_parts(parts, boxed(body)))
    }

    /// Records the backend's speed as reported by the gate. A response without the header means
    /// normal speed.
    fn note_pace(&self, node: &NodeId, outcome: Outcome, from: &HeaderMap) {
        let told = header_filter::header_str(from, headers::PACE).and_then(BackendSpeed::parse);
        let as_usual = (outcome == Outcome::Completed).then(BackendSpeed::default);
        if let Some(pace) = told.or(as_usual) {
            let now = self.now();
            self.state().balancer.record_speed(node, pace, now);
        }
    }

    /// Buffers a response body, so that the caller does not receive a truncated response that
    /// could still be retried.
    async fn whole_body(&self, call: &Call, body: Body) -> Result<Body, CallError> {
        let remaining = call.deadline.since(self.now()) + HOP_SLACK;
        let reading = read_boxed_limited(body, MAX_UNDECLARED_BYTES);
        read_response_body(reading, remaining).await.map(full)
    }

    /// Replaces internal headers by those meant for callers.
    fn dress_answer(&self, call: &Call, choice: &Choice, parts: &mut Parts, outcome: Outcome) {
        header_filter::remove_hop_by_hop(&mut parts.headers);
        header_filter::remove_internal(&mut parts.headers);
        header_filter::set_internal(&mut parts.headers, headers::OUTCOME, outcome.as_str());
        let version = call.config.state.version();
        header_filter::set_internal(&mut parts.headers, headers::VERSION, &version.to_string());
        let backend = choice.target.backend.as_str();
        header_filter::set_internal(&mut parts.headers, headers::BACKEND, backend);
    }
}

/// A hop that failed without a response.
struct FailedHop {
    error: SendError,
    /// Just before the hop was handed to the connection pool.
    begun: Moment,
}

/// Counts a hop as in flight until its response body ends.
struct InFlight {
    entry: Arc<Entry>,
    node: NodeId,
}

impl InFlight {
    fn new(entry: &Arc<Entry>, node: &NodeId) -> Self {
        entry.state().balancer.record_sent(node);
        Self {
            entry: entry.clone(),
            node: node.clone(),
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.entry.state().balancer.record_end(&self.node);
    }
}

fn copy_of(template: &Request<Bytes>) -> Request<Bytes> {
    let mut request = Request::new(template.body().clone());
    *request.method_mut() = template.method().clone();
    *request.uri_mut() = template.uri().clone();
    *request.headers_mut() = template.headers().clone();
    request
}

/// Decodes the error that a gate returned instead of a response of the backend.
fn error_from_response<B>(response: &Response<B>, outcome: Outcome) -> CallError {
    let from = response.headers();
    let wait =
        header_filter::parse_header(from, headers::RETRY_AFTER_MS).map(Duration::from_millis);
    let reach = match outcome {
        Outcome::NotRun => Reach::parse(header_filter::header_str(from, headers::REACH)),
        _ => Reach::Backend,
    };
    CallError {
        status: response.status(),
        outcome,
        reach,
        cause: header_filter::header_str(from, headers::CAUSE)
            .and_then(Cause::parse)
            .unwrap_or(Cause::ConnectionLost),
        reason: header_filter::header_str(from, headers::REASON)
            .unwrap_or("the node beside the back end gave no reason")
            .to_string(),
        retry_after: wait.or(Some(NO_BACKEND_RETRY)),
        crashed: header_filter::header_str(from, headers::CRASHED)
            .and_then(|instance| InstanceId::new(instance).ok()),
    }
}
