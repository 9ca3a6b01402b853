//! The exchange with the back end: the call goes out, and what comes back is
//! judged and read.

use super::slot::Slot;
use super::verdict::{Verdict, judge};
use super::{CONFIG_RETRY, Gate, Hop};
use crate::calls::answer::{Refusal, whole_answer};
use crate::calls::forward;
use crate::calls::guarded::GuardedBody;
use crate::control::LocalBackend;
use http::response::Parts;
use http::{Request, Response};
use rampthread_core::call::cause::Cause;
use rampthread_core::call::headers::{self, Outcome};
use rampthread_http::{Body, Freshness, PooledBody, SendError, boxed, full, read_limited};
use std::sync::Arc;

/// Largest answer that is read whole before it goes to the entry, in bytes: a gate
/// with 100 of them under way holds 6 MB.
const HELD_ANSWER_BYTES: usize = 64 * 1024;

impl Gate {
    /// Sends the call to the back end and judges the answer.
    pub(super) async fn exchange(
        self: Arc<Self>,
        hop: Hop,
        request: Request<Body>,
        backend: LocalBackend,
        slot: Slot,
    ) -> Result<Response<Body>, Refusal> {
        let freshness = if hop.repeatable {
            Freshness::Any
        } else {
            Freshness::Recent
        };
        let remaining = hop.deadline.since(self.control.clock.now());
        let sending = self.pool.send(backend.address, request, freshness);
        let sent = async_std::future::timeout(remaining, sending).await;
        let sent = sent.map_err(|_| {
            let reason = "the deadline passed at the back end";
            Refusal::unknown(Cause::Deadline, reason)
        })?;
        let answered = match sent {
            Ok(response) => self.answer(&hop, response, &backend, slot).await,
            Err(error) => Err(from_send_error(&error)),
        };
        match answered {
            Err(refusal) if refusal.cause.is_lost_answer() => {
                Err(self.explain_loss(&backend, refusal).await)
            }
            answered => answered,
        }
    }

    async fn answer(
        &self,
        hop: &Hop,
        response: Response<PooledBody>,
        backend: &LocalBackend,
        mut slot: Slot,
    ) -> Result<Response<Body>, Refusal> {
        let (mut parts, body) = response.into_parts();
        match judge(&parts, hop, &self.dialect) {
            Verdict::Answered => {}
            Verdict::NotRun => {
                let reason = format!("the back end answered {} and did not run it", parts.status);
                let refusal = Refusal::not_run(Cause::Shed, reason);
                return Err(refusal.by_back_end().retry_after(CONFIG_RETRY));
            }
            Verdict::Misdirected => {
                if let Some(instance) = &backend.instance {
                    self.control.on_misdirected(instance);
                }
                let reason = "another back end answers at this address";
                let refusal = Refusal::not_run(Cause::AnotherBackEnd, reason);
                return Err(refusal.retry_after(CONFIG_RETRY));
            }
            Verdict::NotItsAnswer(reason) => {
                body.abandon();
                return Err(Refusal::unknown(Cause::NotItsAnswer, reason));
            }
        }
        slot.answered(&hop.route);
        let status = parts.status.as_u16();
        let log = &self.control.call_log;
        log.hop_answered(hop.request_id(), backend.name.as_str(), status, slot.waited);
        forward::remove_hop_by_hop(&mut parts.headers);
        forward::remove_own(&mut parts.headers);
        let answer = &mut parts.headers;
        forward::set_own(answer, headers::OUTCOME, Outcome::Completed.as_str());
        let body = self.take_body(hop, &parts, body, slot).await?;
        forward::set_own(&mut parts.headers, headers::LOAD, &self.load().to_string());
        Ok(Response::from_parts(parts, body))
    }

    /// The body of an answer. One of moderate size is read whole at once: the back
    /// end is done with it, and its slot must not wait for a narrow link.
    async fn take_body(
        &self,
        hop: &Hop,
        parts: &Parts,
        body: PooledBody,
        slot: Slot,
    ) -> Result<Body, Refusal> {
        let declared: Option<usize> = forward::number(&parts.headers, "content-length");
        if declared.is_none_or(|length| length > HELD_ANSWER_BYTES) {
            return Ok(boxed(GuardedBody::new(body, slot)));
        }
        let remaining = hop.deadline.since(self.control.clock.now());
        let reading = read_limited(body, HELD_ANSWER_BYTES);
        whole_answer(reading, remaining).await.map(full)
    }
}

fn from_send_error(error: &SendError) -> Refusal {
    match error {
        SendError::NotSent { reason, .. } => {
            Refusal::not_run(Cause::Unreachable, reason.clone()).retry_after(CONFIG_RETRY)
        }
        SendError::Lost { reason } => Refusal::unknown(Cause::ConnectionLost, reason.clone()),
    }
}
