//! Claims the idempotency key of a call before the call runs, and completes or releases the
//! claim afterwards.

use super::{Call, Entry, NO_BACKEND_RETRY_AFTER, outcome_of};
use crate::calls::idempotency_claims::ClaimAction;
use crate::calls::response::CallError;
use http::Response;
use rampthread_core::call::cause::Cause;
use rampthread_core::call::claims::ClaimDecision;
use rampthread_core::call::headers::Outcome;
use rampthread_http::Body;

impl Entry {
    /// Claims the idempotency key of the call, if the request has one. The call may run only if
    /// the claim is granted.
    pub(super) async fn claim(&self, call: &Call) -> Result<(), CallError> {
        let (Some(key), Some(claims)) = (&call.key, &self.options.claims) else {
            return Ok(());
        };
        match claims.claim(key, &call.id).await {
            ClaimDecision::Run => Ok(()),
            ClaimDecision::AlreadyDone => Err(CallError {
                outcome: Outcome::Completed,
                ..CallError::not_run(
                    Cause::KeyInUse,
                    "a request with this idempotency key was run before; it is not run again",
                )
            }),
            ClaimDecision::InProgress => Err(CallError::unknown(
                Cause::KeyInUse,
                "a request with this idempotency key may be running; it is not run twice",
            )
            .retry_after(NO_BACKEND_RETRY_AFTER)),
            ClaimDecision::NoMajority { retry_after } => Err(CallError::not_run(
                Cause::NoClaimMajority,
                "no majority of the holders of this idempotency key answers",
            )
            .retry_after(retry_after)),
        }
    }

    /// Notifies the claim holders of the idempotency key whether the call has run, without
    /// waiting for them.
    pub(super) fn finish_claim(&self, call: &Call, result: &Result<Response<Body>, CallError>) {
        let (Some(key), Some(claims)) = (call.key.clone(), self.options.claims.clone()) else {
            return;
        };
        let outcome = match result {
            Ok(response) => outcome_of(response),
            Err(call_error) => call_error.outcome,
        };
        let action = match outcome {
            Outcome::Completed => ClaimAction::Done,
            Outcome::NotRun => ClaimAction::Release,
            // The call may still run at a backend, so the claim stays open until it expires.
            Outcome::Unknown => return,
        };
        let call_id = call.id.clone();
        async_std::task::spawn(async move {
            claims.notify_holders(action, &key, &call_id).await;
        });
    }
}
