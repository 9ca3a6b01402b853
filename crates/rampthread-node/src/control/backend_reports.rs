//! The listener to which the back end beside this node reports.
//!
//! A report is acknowledged once this node acts on it: from then on its gate
//! lets no new work through to a back end that leaves, whatever other nodes
//! know.

use super::Control;
use http::{Request, Response, StatusCode};
use rampthread_http::{Body, RequestBody, full, read_limited};
use rampthread_platform::{ReportError, ReportReader};
use std::sync::Arc;

/// Largest body of a report, in bytes.
const MAX_REPORT_BYTES: usize = 64 * 1024;

/// Serves the reports.
pub struct ReportService {
    control: Arc<Control>,
    reader: Arc<dyn ReportReader>,
}

impl ReportService {
    /// Reads calls with `reader`.
    pub fn new(control: Arc<Control>, reader: Arc<dyn ReportReader>) -> Self {
        Self { control, reader }
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
                self.control.on_backend_report(report);
                let mut response = Response::new(full("{}"));
                let json = http::HeaderValue::from_static("application/json");
                response
                    .headers_mut()
                    .insert(http::header::CONTENT_TYPE, json);
                response
            }
            Err(ReportError::NoSuchCall) => answer(StatusCode::NOT_FOUND, "no such call"),
            Err(ReportError::Invalid(findings)) => {
                tracing::warn!(%findings, "a report of the back end cannot be read");
                answer(StatusCode::BAD_REQUEST, &findings.to_string())
            }
        }
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
