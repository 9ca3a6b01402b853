//! One attempt of a call: sends the call as a hop to the gate node at the backend's node,
//! processes the response, and fences an abandoned hop (asks the gate node never to start it).

use super::versions::VersionResult;
use super::{Call, Entry, NO_BACKEND_RETRY_AFTER, SelectedBackend, outcome_of};
use crate::call_log::FencedHop;
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

/// Timeout of a fence request.
const FENCE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time added to the call's deadline before a hop counts as lost, so that the gate's own
/// deadline error arrives first.
const HOP_DEADLINE_MARGIN: Duration = Duration::from_millis(20);
/// Maximum size of a response that the entry node buffers before forwarding it, in bytes. If
/// such a response is truncated, the call can still be retried or answered with an error
/// status.
const MAX_BUFFERED_RESPONSE_BYTES: u64 = 1 << 20;
/// Maximum size of a response without a `Content-Length`, in bytes.
const MAX_UNSIZED_RESPONSE_BYTES: usize = 16 << 20;

impl Entry {
    /// Sends the call to the selected backend and waits for the response until the deadline.
    /// Dropping the future cancels a repeatable call.
    pub(super) async fn send_attempt(
        self: &Arc<Self>,
        call: &Call,
        id: &str,
        selected: &SelectedBackend,
        template: &Request<Bytes>,
    ) -> Result<Response<Body>, CallError> {
        let in_flight = InFlight::new(self, &selected.node);
        let started_at = self.now();
        let remaining = call.deadline.since(started_at) + HOP_DEADLINE_MARGIN;
        let sending = self.send(call, id, selected, template);
        match timeout(remaining, sending).await {
            Ok(Ok(response)) => {
                self.handle_response(call, selected, response, in_flight, started_at)
                    .await
            }
            Ok(Err(failure)) => Err(self.handle_send_error(call, id, selected, failure).await),
            Err(_) => {
                self.state()
                    .balancer
                    .record_failure(&selected.node, self.now());
                self.record_version_result(call, selected, VersionResult::Failure);
                let reason = format!("no answer of {} before the deadline", selected.node);
                Err(CallError::unknown(Cause::Deadline, reason))
            }
        }
    }

    /// Sends the call to the gate node of the selected backend, directly if that is the local
    /// one.
    async fn send(
        self: &Arc<Self>,
        call: &Call,
        id: &str,
        selected: &SelectedBackend,
        template: &Request<Bytes>,
    ) -> Result<Response<Body>, FailedHop> {
        let hop = self.hop(call, id, selected);
        if selected.node == self.control().id {
            return Ok(self.options.gate.handle(hop, copy_request(template)).await);
        }
        let request = self.hop_request(&hop, selected, template);
        let reuse = if call.repeatable {
            ConnectionReuse::AnyIdle
        } else {
            ConnectionReuse::RecentOnly
        };
        let peers = &self.options.peers;
        let address = selected.target.address;
        let bytes = template.body().len();
        let started_at = self.now();
        let failed = |error| FailedHop { error, started_at };
        if self.should_reserve(call, selected, bytes)
            && let Some(rejection) = peers
                .reserve(address, request.headers(), bytes)
                .await
                .map_err(failed)?
        {
            return Ok(rejection);
        }
        let started_at = self.now();
        let failed = |error| FailedHop { error, started_at };
        let sent = peers.pool().send(address, request, reuse).await;
        sent.map(|response| response.map(boxed)).map_err(failed)
    }

    /// Whether to reserve at the gate node before sending the request body. A large body needs
    /// a transfer permit. A smaller body is reserved for only if gate nodes are probably full,
    /// so that it is not sent in vain.
    fn should_reserve(&self, call: &Call, selected: &SelectedBackend, bytes: usize) -> bool {
        let now = self.now();
        bytes >= LARGE_BODY_BYTES
            || self
                .acceptance_estimate(call)
                .should_ask_before_body(&selected.zone, bytes, now)
    }

    /// How long the gate node may queue the call. While another backend appears free, the gate
    /// node must run the call immediately or reject it.
    pub(super) fn queueing_limit(&self, call: &Call, selected: &SelectedBackend) -> QueueingLimit {
        if selected.others_have_free_slot && !selected.may_queue_for_limit {
            return QueueingLimit::Never;
        }
        match call.route.target_latency_ms {
            // The response misses the latency target anyway, so the call must not delay calls
            // that can meet it.
            Some(_) if call.precedence == Precedence::Retry => QueueingLimit::Never,
            Some(_) => QueueingLimit::ForTarget(self.remaining_target(call).unwrap_or_default()),
            None => QueueingLimit::UntilDeadline,
        }
    }

    /// Handles a hop whose gate was unreachable or whose response was lost.
    async fn handle_send_error(
        self: &Arc<Self>,
        call: &Call,
        id: &str,
        selected: &SelectedBackend,
        failure: FailedHop,
    ) -> CallError {
        let now = self.now();
        match failure.error {
            SendError::NotSent {
                reason,
                unreachable,
            } => {
                if unreachable {
                    self.state()
                        .balancer
                        .record_unreachable(&selected.node, now);
                } else {
                    self.state().balancer.record_failure(&selected.node, now);
                }
                CallError::not_run(Cause::Unreachable, reason).retry_after(NO_BACKEND_RETRY_AFTER)
            }
            SendError::ResponseLost { reason } => {
                self.state().balancer.record_failure(&selected.node, now);
                if call.repeatable {
                    return CallError::unknown(Cause::ConnectionLost, reason);
                }
                self.fence(call, id, selected, failure.started_at, reason)
                    .await
            }
        }
    }

    /// Asks the gate node never to start the abandoned hop, which was sent at `started_at`. The
    /// error says whether the call has run or not, as far as the reply shows.
    async fn fence(
        &self,
        call: &Call,
        id: &str,
        selected: &SelectedBackend,
        started_at: Moment,
        reason: String,
    ) -> CallError {
        let wait = FENCE_TIMEOUT.min(call.deadline.since(self.now()));
        let (node, address) = (&selected.node, selected.target.address);
        let reply = self.options.peers.fence(address, node, id, wait).await;
        let age = self.now().since(started_at);
        let finding = FenceOutcome::new(AbandonedHop { node, age }, reply.as_ref());
        self.control().call_log.hop_fenced(&FencedHop {
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
                    .retry_after(NO_BACKEND_RETRY_AFTER)
            }
            FenceOutcome::Started | FenceOutcome::Unknown | FenceOutcome::NoReply => {
                let reason = format!("{reason}; fence: {}", finding.as_str());
                CallError::unknown(Cause::ConnectionLost, reason)
            }
        }
    }

    /// The hop for one attempt of `call`; `id` is the call id of the attempt.
    fn hop(&self, call: &Call, id: &str, selected: &SelectedBackend) -> Hop {
        Hop {
            call_id: id.to_string(),
            caller: call.caller.clone(),
            route: call.route.name.clone(),
            backend: selected.target.backend.clone(),
            deadline: call.deadline,
            repeatable: call.repeatable,
            hops: call.hops,
            tenant: call.tenant.clone(),
            rank: call.rank,
            precedence: call.precedence,
            queueing_limit: self.queueing_limit(call, selected),
            rate_limit: selected.rate_limit,
        }
    }

    /// The caller's request with the headers of the hop, as sent to another node's gate.
    fn hop_request(
        &self,
        hop: &Hop,
        selected: &SelectedBackend,
        template: &Request<Bytes>,
    ) -> Request<Body> {
        let mut request = copy_request(template).map(full);
        let to = request.headers_mut();
        let process_epoch = self.options.peers.process_epoch();
        hop_headers::write(hop, &self.options.dialect, process_epoch, self.now(), to);
        if let Some(token) = self.options.peers.token(&selected.node, &hop.call_id) {
            header_filter::set_internal(to, headers::HOP_TOKEN, &token);
        }
        request
    }

    /// Records what a gate node's response shows about the backend, and turns the response into
    /// that for the caller or into an error.
    async fn handle_response(
        self: &Arc<Self>,
        call: &Call,
        selected: &SelectedBackend,
        response: Response<Body>,
        in_flight: InFlight,
        started_at: Moment,
    ) -> Result<Response<Body>, CallError> {
        let node = &selected.node;
        if let Some(load) = header_filter::parse_header(response.headers(), headers::LOAD) {
            let now = self.now();
            self.state().balancer.record_load(node, load, now);
        }
        let outcome = outcome_of(&response);
        self.record_speed(node, outcome, response.headers());
        self.record_nested_route(call, response.headers());
        self.record_leaving(selected, response.headers());
        if outcome != Outcome::Completed {
            let call_error = error_from_response(&response, outcome);
            let call_error = self.add_retry_advice(call, call_error);
            let backend_has_answered = call_error.cause == Cause::Shed;
            self.record_rate_limit(selected, backend_has_answered, response.headers());
            // A call that the backend itself shed had been admitted to a slot.
            let had_capacity = call_error.cause == Cause::Shed;
            if had_capacity {
                let now = self.now();
                self.state().balancer.record_refusal(node, now);
            }
            if had_capacity || call_error.cause.is_out_of_capacity() {
                self.record_admission(call, selected, !had_capacity);
            }
            self.record_lost_response(call, selected, &call_error);
            return Err(call_error);
        }
        self.record_rate_limit(selected, true, response.headers());
        let is_rate_limited = response.headers().contains_key(headers::RATE_LIMIT);
        self.record_admission(call, selected, false);
        let (mut parts, body) = response.into_parts();
        let declared: Option<u64> = header_filter::parse_header(&parts.headers, "content-length");
        let waited = header_filter::parse_header(&parts.headers, headers::WAITED_MS).unwrap_or(0);
        let body = if declared.unwrap_or(0) > MAX_BUFFERED_RESPONSE_BYTES {
            body
        } else {
            let buffered = self.buffer_body(call, body).await?;
            self.record_complete_response(call, selected, started_at);
            buffered
        };
        let now = self.now();
        let elapsed = now.since(started_at);
        let route = &call.route.name;
        let failed = parts.status.is_server_error();
        // The time to a failure says nothing about the speed of the backend.
        if !failed {
            let service_time = elapsed.saturating_sub(Duration::from_millis(waited));
            // The balancer knows the wait for a rate limit apart from the response time.
            let response_time = match is_rate_limited {
                true => service_time,
                false => elapsed,
            };
            self.state()
                .balancer
                .record_response(node, route, response_time, now);
            let bytes = call.content.body_bytes() + declared.unwrap_or(0) as usize;
            self.record_service_time(call, selected, service_time, bytes);
        }
        let result = match failed {
            true => VersionResult::Failure,
            false => VersionResult::Success(elapsed),
        };
        self.record_version_result(call, selected, result);
        self.rewrite_response_headers(call, selected, &mut parts, outcome);
        let body = GuardedBody::new(body, in_flight);
        Ok(Response::from_parts(parts, boxed(body)))
    }

    /// Records the backend's speed from the header that the gate node adds. A completed
    /// response without the header means normal speed.
    fn record_speed(&self, node: &NodeId, outcome: Outcome, from: &HeaderMap) {
        let reported = header_filter::header_str(from, headers::PACE).and_then(BackendSpeed::parse);
        let normal = (outcome == Outcome::Completed).then(BackendSpeed::default);
        if let Some(speed) = reported.or(normal) {
            let now = self.now();
            self.state().balancer.record_speed(node, speed, now);
        }
    }

    /// Buffers a response body, so that the caller does not receive the beginning of a response
    /// that is truncated later while the call could still be retried.
    async fn buffer_body(&self, call: &Call, body: Body) -> Result<Body, CallError> {
        let remaining = call.deadline.since(self.now()) + HOP_DEADLINE_MARGIN;
        let reading = read_boxed_limited(body, MAX_UNSIZED_RESPONSE_BYTES);
        read_response_body(reading, remaining).await.map(full)
    }

    /// Replaces the headers used between nodes by those meant for callers.
    fn rewrite_response_headers(
        &self,
        call: &Call,
        selected: &SelectedBackend,
        parts: &mut Parts,
        outcome: Outcome,
    ) {
        header_filter::remove_hop_by_hop(&mut parts.headers);
        header_filter::remove_internal(&mut parts.headers);
        header_filter::set_internal(&mut parts.headers, headers::OUTCOME, outcome.as_str());
        let version = call.config.state.version();
        header_filter::set_internal(&mut parts.headers, headers::VERSION, &version.to_string());
        let backend = selected.target.backend.as_str();
        header_filter::set_internal(&mut parts.headers, headers::BACKEND, backend);
    }
}

/// A hop that failed without a response.
struct FailedHop {
    error: SendError,
    /// Time just before the hop was handed to the connection pool.
    started_at: Moment,
}

/// Guard that counts a hop as in flight at its gate node until the response body ends.
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

/// Copies the request that all attempts of a call share.
fn copy_request(template: &Request<Bytes>) -> Request<Bytes> {
    let mut request = Request::new(template.body().clone());
    *request.method_mut() = template.method().clone();
    *request.uri_mut() = template.uri().clone();
    *request.headers_mut() = template.headers().clone();
    request
}

/// Decodes the error that a gate node returned instead of a response of the backend.
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
        retry_after: wait,
        crashed: header_filter::header_str(from, headers::CRASHED)
            .and_then(|instance| InstanceId::new(instance).ok()),
    }
}
