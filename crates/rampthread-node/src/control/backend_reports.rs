//! HTTP service for reports of the local backend.
//!
//! A report is acknowledged once this node acts on it. After the acknowledgement of a
//! departure, this node's gate (which forwards calls to the backend) admits no new calls,
//! whatever other nodes know.

use super::Control;
use http::{Request, Response, StatusCode};
use rampthread_core::call::log_rate_limit::LogRateLimiter;
use rampthread_core::ids::InstanceId;
use rampthread_http::{Body, RequestBody, full, read_limited};
use rampthread_platform::{ReportError, ReportReader};
use std::sync::{Arc, Mutex};

/// Maximum size of a report's body, in bytes.
const MAX_REPORT_BYTES: usize = 64 * 1024;

/// Handles the HTTP requests in which the local backend reports its state to the node.
pub struct ReportService {
    control: Arc<Control>,
    reader: Arc<dyn ReportReader>,
    log_rate_limiter: Mutex<LogRateLimiter>,
}

impl ReportService {
    /// Creates the service; `reader` parses the platform's report format.
    pub fn new(control: Arc<Control>, reader: Arc<dyn ReportReader>) -> Self {
        Self {
            control,
            reader,
            log_rate_limiter: Mutex::default(),
        }
    }

    /// Handles one report and returns the HTTP response for the backend.
    pub async fn handle(self: Arc<Self>, request: Request<RequestBody>) -> Response<Body> {
        let (parts, body) = request.into_parts();
        let body = match read_limited(body, MAX_REPORT_BYTES).await {
            Ok(body) => body,
            Err(error) => return text_response(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        match self.reader.read(&parts.method, parts.uri.path(), &body) {
            Ok(report) => {
                let sender = report.incarnation();
                if !self.control.on_backend_report(report) {
                    return self.reject_stale_report(&sender);
                }
                let mut response = Response::new(full("{}"));
                let json = http::HeaderValue::from_static("application/json");
                response
                    .headers_mut()
                    .insert(http::header::CONTENT_TYPE, json);
                response
            }
            Err(ReportError::NoSuchCall) => text_response(StatusCode::NOT_FOUND, "no such call"),
            Err(ReportError::Invalid(findings)) => {
                self.control.metrics.unusable_reports.inc();
                if self.may_log("report that cannot be read") {
                    let path = parts.uri.path();
                    tracing::warn!(%path, %findings, "unusable report of the local backend");
                }
                text_response(StatusCode::BAD_REQUEST, &findings.to_string())
            }
        }
    }

    /// Rejects a report that seems to be from an incarnation (run of the backend's process)
    /// that has ended. The sender has ended too, or it will report again.
    fn reject_stale_report(&self, sender: &InstanceId) -> Response<Body> {
        self.control.metrics.doubtful_reports.inc();
        if self.may_log("report of another incarnation") {
            let present = self.control.local_backend();
            let present = present.and_then(|backend| backend.instance);
            let present = present.as_ref().map_or("none", InstanceId::as_str);
            tracing::warn!(
                instance = %sender,
                %present,
                "a report of another incarnation than the present one"
            );
        }
        text_response(StatusCode::CONFLICT, "of an earlier start, as it seems")
    }

    /// Returns whether a line about `cause` may be logged. Any process may send reports, so
    /// the number of log lines is limited.
    fn may_log(&self, cause: &'static str) -> bool {
        let now = self.control.clock.now();
        let mut limiter = self
            .log_rate_limiter
            .lock()
            .unwrap_or_else(|broken| broken.into_inner());
        for suppressed in limiter.summary(now) {
            tracing::warn!(
                cause = suppressed.cause,
                lines = suppressed.lines,
                "lines left out"
            );
        }
        limiter.allow(cause, now)
    }
}

/// Answers a readiness probe on `path` with whether callers may use this node.
pub async fn answer_readiness(
    control: Arc<Control>,
    path: &'static str,
    request: Request<RequestBody>,
) -> Response<Body> {
    if request.uri().path() != path {
        return text_response(StatusCode::NOT_FOUND, "no such call");
    }
    if control.takes_callers() {
        text_response(StatusCode::OK, "ready")
    } else {
        text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready")
    }
}

/// Builds a plain-text response.
fn text_response(status: StatusCode, text: &str) -> Response<Body> {
    let mut response = Response::new(full(format!("{text}\n")));
    *response.status_mut() = status;
    response
}
