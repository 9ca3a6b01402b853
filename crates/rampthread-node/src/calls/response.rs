//! Error responses that a node generates itself, each with the outcome of its request.

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Response, StatusCode, header};
use rampthread_core::call::cause::Cause;
use rampthread_core::call::dialect::CallDialect;
use rampthread_core::call::headers::{self, Outcome, Reach};
use rampthread_core::ids::InstanceId;
use rampthread_http::{Body, BodyError, full};
use std::future::Future;
use std::time::Duration;

/// Error of a call that was rejected or failed; becomes the response to the caller or, between
/// nodes, to the entry node.
#[derive(Debug, Clone)]
pub struct CallError {
    /// HTTP status code of the response.
    pub status: StatusCode,
    /// Whether the request has run.
    pub outcome: Outcome,
    /// How far the request got: to the gate node, or to a backend.
    pub reach: Reach,
    /// Cause for logs and metrics.
    pub cause: Cause,
    /// Cause as text, for the response body and logs.
    pub reason: String,
    /// Advised retry delay; `None` advises none.
    pub retry_after: Option<Duration>,
    /// Incarnation of the backend that crashed while running the call; `None` if no crash is
    /// known.
    pub crashed: Option<InstanceId>,
}

impl CallError {
    /// Error of a request that has not run, never will, and did not reach a backend.
    pub fn not_run(cause: Cause, reason: impl Into<String>) -> Self {
        Self {
            status: cause.status(),
            outcome: Outcome::NotRun,
            reach: Reach::Gate,
            cause,
            reason: reason.into(),
            retry_after: None,
            crashed: None,
        }
    }

    /// Error of a request that reached a backend and may have run there.
    pub fn unknown(cause: Cause, reason: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::Unknown,
            reach: Reach::Backend,
            ..Self::not_run(cause, reason)
        }
    }

    /// Marks the request as rejected by a backend, which did not run it.
    pub fn from_backend(mut self) -> Self {
        self.reach = Reach::Backend;
        self
    }

    /// Sets the advised retry delay.
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Response for the caller, with headers as the dialect defines them.
    pub fn into_caller_response(self, dialect: &CallDialect) -> Response<Body> {
        let wait = self.retry_after;
        let mut response = self.base_response();
        if response.status() == StatusCode::UNAUTHORIZED {
            // A 401 response must name an authentication scheme (RFC 9110, section 15.5.2).
            set_response_header(&mut response, header::WWW_AUTHENTICATE.as_str(), "Bearer");
        }
        if let Some(wait) = wait {
            let text = retry_after_text(wait, dialect.fractional_retry_after);
            set_response_header(&mut response, header::RETRY_AFTER.as_str(), &text);
        }
        response
    }

    /// Response for another node, with the cause and other details in internal headers.
    pub fn into_hop_response(self) -> Response<Body> {
        let (wait, reach, reason) = (self.retry_after, self.reach, self.reason.clone());
        let cause = self.cause;
        let crashed = self.crashed.clone();
        let mut response = self.base_response();
        set_response_header(&mut response, headers::CAUSE, cause.as_str());
        set_response_header(&mut response, headers::REASON, &reason);
        set_response_header(&mut response, headers::REACH, reach.as_str());
        if let Some(wait) = wait {
            let text = wait.as_millis().to_string();
            set_response_header(&mut response, headers::RETRY_AFTER_MS, &text);
        }
        if let Some(crashed) = crashed {
            set_response_header(&mut response, headers::CRASHED, crashed.as_str());
        }
        response
    }

    /// The parts of an error response that callers and nodes both get.
    fn base_response(self) -> Response<Body> {
        let mut response = Response::new(full(format!("{}\n", self.reason)));
        *response.status_mut() = self.status;
        set_response_header(&mut response, headers::OUTCOME, self.outcome.as_str());
        set_response_header(&mut response, "content-type", "text/plain; charset=utf-8");
        response
    }
}

/// Sets a response header. A value that is not allowed in a header is not set.
pub fn set_response_header(response: &mut Response<Body>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response
            .headers_mut()
            .insert(HeaderName::from_static(name), value);
    }
}

/// Value of `Retry-After`: whole seconds (RFC 9110, section 10.2.3), or a fraction where the
/// platform's dialect accepts fractions.
fn retry_after_text(wait: Duration, fractional: bool) -> String {
    if fractional {
        return format!("{:.3}", wait.as_secs_f64());
    }
    retry_after_seconds(wait).to_string()
}

/// Retry delay rounded up to whole seconds, at least one.
pub fn retry_after_seconds(wait: Duration) -> u64 {
    wait.as_millis().div_ceil(1_000).max(1) as u64
}

/// Awaits `reading`, which reads a response body, for at most `wait`. A truncated or late body
/// becomes an error with unknown outcome.
pub async fn read_response_body(
    reading: impl Future<Output = Result<Bytes, BodyError>>,
    wait: Duration,
) -> Result<Bytes, CallError> {
    match rampthread_http::timeout(wait, reading).await {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(error)) => {
            let reason = format!("the answer broke off: {error}");
            Err(CallError::unknown(Cause::TruncatedResponse, reason))
        }
        Err(_) => {
            let reason = "the deadline passed within the answer";
            Err(CallError::unknown(Cause::Deadline, reason))
        }
    }
}
