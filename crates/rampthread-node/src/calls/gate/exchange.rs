//! Sends an admitted call to the backend, and validates and reads the response.

use super::lost_response::LossDetectingBody;
use super::slot::Slot;
use super::trial::Trial;
use super::{CONFIG_RETRY_AFTER, Gate, Hop};
use crate::calls::guarded_body::GuardedBody;
use crate::calls::header_filter;
use crate::calls::request_content::CallContent;
use crate::calls::response::{CallError, read_response_body};
use crate::control::LocalBackend;
use bytes::Bytes;
use http::header::RETRY_AFTER;
use http::response::Parts;
use http::{HeaderMap, Request, Response};
use rampthread_core::call::cause::Cause;
use rampthread_core::call::headers::{self, Outcome};
use rampthread_core::call::response_check::{CallIds, ResponseCheck, ResponseHead};
use rampthread_http::{Body, ConnectionReuse, PooledBody, SendError, boxed, full, read_limited};
use std::sync::Arc;
use std::time::Duration;

/// Maximum size of a response that the gate node buffers before returning it to the entry node,
/// in bytes. 100 concurrent calls hold at most 6 MB.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 64 * 1024;

/// Longest retry delay that is passed on from a backend's refusal.
const MAX_NAMED_RETRY_AFTER: Duration = Duration::from_secs(60);

/// A call that holds a slot, with what is needed to send the call to the backend.
pub(super) struct AdmittedCall {
    pub(super) hop: Hop,
    pub(super) content: CallContent,
    pub(super) backend: LocalBackend,
    pub(super) slot: Slot,
    /// Trial of a suspected request; held until the response has arrived or was lost.
    pub(super) trial: Option<Trial>,
}

impl Gate {
    /// Sends the call to the backend and validates the response. If the response was lost,
    /// checks whether the backend crashed.
    pub(super) async fn exchange(
        self: Arc<Self>,
        call: AdmittedCall,
        request: Request<Body>,
    ) -> Result<Response<Body>, CallError> {
        let AdmittedCall {
            hop,
            content,
            backend,
            mut slot,
            trial,
        } = call;
        slot.sent = true;
        let started_at = self.control.clock.now();
        let on_trial = trial.is_some();
        let response = match self.send(&hop, request, &backend).await {
            Ok(response) => {
                let wrap_body = |body| {
                    let (backend, content) = (backend.clone(), content.clone());
                    boxed(LossDetectingBody::new(
                        body,
                        self.clone(),
                        backend,
                        content,
                        on_trial,
                    ))
                };
                self.process_response(&hop, response, &backend, slot, wrap_body)
                    .await
            }
            Err(call_error) => {
                slot.sent = call_error.outcome != Outcome::NotRun;
                drop(slot);
                Err(call_error)
            }
        };
        let result = match response {
            Ok(response) => {
                self.record_response(&backend, started_at);
                Ok(response)
            }
            Err(call_error) if call_error.cause.is_lost_answer() => Err(self
                .investigate_loss(&backend, &content, on_trial, call_error)
                .await),
            Err(call_error) => Err(call_error),
        };
        drop(trial);
        result
    }

    /// Sends the request to the backend and waits for the head of the response until the
    /// deadline.
    async fn send(
        &self,
        hop: &Hop,
        request: Request<Body>,
        backend: &LocalBackend,
    ) -> Result<Response<PooledBody>, CallError> {
        let reuse = if hop.repeatable {
            ConnectionReuse::AnyIdle
        } else {
            ConnectionReuse::RecentOnly
        };
        let remaining = hop.deadline.since(self.control.clock.now());
        let sending = self.pool.send(backend.address, request, reuse);
        match rampthread_http::timeout(remaining, sending).await {
            Ok(sent) => sent.map_err(|error| from_send_error(&error)),
            Err(_) => {
                let reason = "the deadline passed at the back end";
                Err(CallError::unknown(Cause::Deadline, reason))
            }
        }
    }

    /// Checks that the response is one to this call, and turns it into the response for the
    /// entry node.
    async fn process_response(
        self: &Arc<Self>,
        hop: &Hop,
        response: Response<PooledBody>,
        backend: &LocalBackend,
        mut slot: Slot,
        wrap_body: impl FnOnce(GuardedBody<PooledBody, Slot>) -> Body,
    ) -> Result<Response<Body>, CallError> {
        let (mut parts, body) = response.into_parts();
        let head = ResponseHead {
            status: parts.status,
            headers: &parts.headers,
        };
        let ids = CallIds {
            request_id: hop.request_id(),
            call_id: &hop.call_id,
        };
        let check = head.check(ids, &self.dialect);
        if matches!(check, ResponseCheck::Answered | ResponseCheck::NotRun) {
            self.apply_backend_signals(backend, &parts.headers, slot.started_at);
            self.record_backend_load(&parts.headers);
        }
        match check {
            ResponseCheck::Answered => {}
            ResponseCheck::NotRun => {
                let reason = format!("the back end answered {} and did not run it", parts.status);
                let call_error = CallError::not_run(Cause::Shed, reason).from_backend();
                return Err(CallError {
                    retry_after: named_retry_after(&parts.headers),
                    ..call_error
                });
            }
            ResponseCheck::Misdirected => {
                if let Some(instance) = &backend.instance {
                    self.control.on_misdirected(instance);
                }
                let reason = "another back end answers at this address";
                let call_error = CallError::not_run(Cause::WrongBackend, reason);
                return Err(call_error.retry_after(CONFIG_RETRY_AFTER));
            }
            ResponseCheck::MismatchedResponse(reason) => {
                body.close_connection();
                return Err(CallError::unknown(Cause::MismatchedResponse, reason));
            }
        }
        slot.record_response(&hop.route, parts.status);
        let status = parts.status.as_u16();
        let log = &self.control.call_log;
        log.hop_answered(hop.request_id(), backend.name.as_str(), status, slot.waited);
        header_filter::remove_hop_by_hop(&mut parts.headers);
        header_filter::remove_internal(&mut parts.headers);
        let response_headers = &mut parts.headers;
        header_filter::set_internal(
            response_headers,
            headers::OUTCOME,
            Outcome::Completed.as_str(),
        );
        let waited = slot.waited.as_millis();
        if waited > 0 {
            header_filter::set_internal(response_headers, headers::WAITED_MS, &waited.to_string());
        }
        let body = match self.read_body(hop, &parts, body).await? {
            ResponseBody::Buffered(bytes) => full(bytes),
            ResponseBody::Streamed(body) => wrap_body(GuardedBody::new(body, slot)),
        };
        header_filter::set_internal(&mut parts.headers, headers::LOAD, &self.load().to_string());
        self.add_speed_header(&mut parts.headers);
        Ok(Response::from_parts(parts, body))
    }

    /// Reads the body of a response. A body of moderate size is buffered, so that a slow link
    /// to the entry node does not hold the backend's slot.
    async fn read_body(
        &self,
        hop: &Hop,
        parts: &Parts,
        body: PooledBody,
    ) -> Result<ResponseBody, CallError> {
        let declared: Option<usize> = header_filter::parse_header(&parts.headers, "content-length");
        if declared.is_none_or(|length| length > MAX_BUFFERED_RESPONSE_BYTES) {
            return Ok(ResponseBody::Streamed(body));
        }
        let remaining = hop.deadline.since(self.control.clock.now());
        let reading = read_limited(body, MAX_BUFFERED_RESPONSE_BYTES);
        read_response_body(reading, remaining)
            .await
            .map(ResponseBody::Buffered)
    }
}

/// Body of a response, buffered or to be streamed.
enum ResponseBody {
    Buffered(Bytes),
    Streamed(PooledBody),
}

/// Retry delay that the backend names in a refusal; `None` if it names none, or a date.
fn named_retry_after(from: &HeaderMap) -> Option<Duration> {
    let seconds: f64 = header_filter::parse_header(from, RETRY_AFTER.as_str())?;
    let wait = Duration::try_from_secs_f64(seconds).ok()?;
    Some(wait.min(MAX_NAMED_RETRY_AFTER))
}

/// Error for a request that got no response of the backend.
fn from_send_error(error: &SendError) -> CallError {
    match error {
        SendError::NotSent { reason, .. } => {
            CallError::not_run(Cause::Unreachable, reason.clone()).retry_after(CONFIG_RETRY_AFTER)
        }
        SendError::ResponseLost { reason } => {
            CallError::unknown(Cause::ConnectionLost, reason.clone())
        }
    }
}
