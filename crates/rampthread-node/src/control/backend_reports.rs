//! The listener to which the back end beside this node reports.
//!
//! A report is acknowledged once this node acts on it: from then on its gate
//! lets no new work through to a back end that leaves, whatever other nodes
//! know.

use super::Control;
use http::{Request, Response, StatusCode};
use rampthread_core::call::log_rate_limit::LogRateLimiter;
use rampthread_core::ids::InstanceId;
use rampthread_http::{Body, RequestBody, full, read_limited};
use rampthread_platform::{ReportError, ReportReader};
use std::sync::{Arc, Mutex};

/// Largest body of a report, in bytes.
const MAX_REPORT_BYTES: usize = 64 * 1024;

/// Serves the reports.
pub struct ReportService {
    control: Arc<Control>,
    reader: Arc<dyn ReportReader>,
    log_budget: Mutex<LogRateLimiter>,
}

impl ReportService {
    /// Reads calls with `reader`.
    pub fn new(control: Arc<Control>, reader: Arc<dyn ReportReader>) -> Self {
        Self {
            control,
            reader,
            log_budget: Mutex::default(),
        }
    }

    /// Handles one report.
    pub async fn handle(self: Arc<Self>, request: Request<RequestBody>) -> Response<Body> {
        let (parts, body) = request.into_parts();
        let body = match read_limited(body, MAX_REPORT_BYTES).await {
            Ok(body) => body,
            Err(error) => return answer(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        match self.reader.read(&parts.method, parts.uri.path(), &body) {
            Ok(report) => {
                let sender = report.incarnation();
                if !self.control.on_backend_report(report) {
                    return self.refuse_doubtful(&sender);
                }
                let mut response = Response::new(full("{}"));
                let json = http::HeaderValue::from_static("application/json");
                response
                    .headers_mut()
                    .insert(http::header::CONTENT_TYPE, json);
                response
            }
            Err(ReportError::NoSuchCall) => answer(StatusCode::NOT_FOUND, "no such call"),
            Err(ReportError::Invalid(findings)) => {
                self.control.metrics.unusable_reports.inc();
                if self.may_log("report that cannot be read") {
                    let path = parts.uri.path();
                    tracing::warn!(%path, %findings, "a report of a back end cannot be used");
                }
                answer(StatusCode::BAD_REQUEST, &findings.to_string())
            }
        }
    }

    /// The report seems to be of an incarnation that has ended. Its sender has ended with
    /// it, or reports again.
    fn refuse_doubtful(&self, sender: &InstanceId) -> Response<Body> {
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
        answer(StatusCode::CONFLICT, "of an earlier start, as it seems")
    }

    /// Anybody may send reports: their lines are bounded.
    fn may_log(&self, cause: &'static str) -> bool {
        let now = self.control.clock.now();
        let mut budget = self
            .log_budget
            .lock()
            .unwrap_or_else(|broken| broken.into_inner());
        for left_out in budget.summary(now) {
            tracing::warn!(
                cause = left_out.cause,
                lines = left_out.lines,
                "lines left out"
            );
        }
        budget.allow(cause, now)
    }
}

/// Answers whether this node takes callers.
pub async fn answer_readiness(
    control: Arc<Control>,
    path: &'static str,
    request: Request<RequestBody>,
) -> Response<Body> {
    if request.uri().path() != path {
        return answer(StatusCode::NOT_FOUND, "no such call");
    }
    if control.takes_callers() {
        answer(StatusCode::OK, "ready")
    } else {
        answer(StatusCode::SERVICE_UNAVAILABLE, "not ready")
    }
}

fn answer(status: StatusCode, text: &str) -> Response<Body> {
    let mut response = Response::new(full(format!("{text}\n")));
    *response.status_mut() = status;
    response
}
