//! Checks whether a backend's response belongs to the call, and whether it reports that the
//! call was not run.
//!
//! Bytes on a connection may belong to an earlier request, since a backend may respond
//! twice. So nothing in a response is trusted, least of all that the call was not run,
//! before it is known to name the call.

use super::dialect::CallDialect;
use super::headers::{self, Outcome, implies_not_run};
use http::header::CONTENT_ENCODING;
use http::{HeaderMap, HeaderName, StatusCode};

/// Result of the check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseCheck {
    /// The response belongs to this call.
    Answered,
    /// The backend reports that it did not run the call.
    NotRun,
    /// Another incarnation responded at the address; it did not run the call.
    Misdirected,
    /// It does not belong to the call, for this reason; the call may have run.
    MismatchedResponse(&'static str),
}

/// The ids of a call.
#[derive(Debug, Clone, Copy)]
pub struct CallIds<'a> {
    /// Id that its caller chose.
    pub request_id: &'a str,
    /// Id of this attempt.
    pub call_id: &'a str,
}

/// Status and headers of a response.
#[derive(Debug, Clone, Copy)]
pub struct ResponseHead<'a> {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: &'a HeaderMap,
}

impl ResponseHead<'_> {
    /// Checks the response to `call`.
    pub fn check(self, call: CallIds<'_>, dialect: &CallDialect) -> ResponseCheck {
        if let Some(header) = &dialect.request_id
            && self.text(header.as_str()) != Some(call.request_id)
        {
            return ResponseCheck::MismatchedResponse("the response names another request");
        }
        if dialect.misdirected == Some(self.status) {
            return ResponseCheck::Misdirected;
        }
        match &dialect.not_executed {
            Some(header) if self.has(header) => return ResponseCheck::NotRun,
            Some(_) if implies_not_run(self.status) => {
                let reason = "a status that implies not-run, without the header that reports it";
                return ResponseCheck::MismatchedResponse(reason);
            }
            None if self.reports_not_run(call) => return ResponseCheck::NotRun,
            Some(_) | None => {}
        }
        let Some(signature) = &dialect.signature else {
            return ResponseCheck::Answered;
        };
        if self.status.is_success() && !self.has(signature) {
            return ResponseCheck::MismatchedResponse("a successful response without a signature");
        }
        if self.has(&CONTENT_ENCODING) {
            return ResponseCheck::MismatchedResponse("an encoded body that was not requested");
        }
        ResponseCheck::Answered
    }

    /// True when the response reports `not-run` in rampthread's own headers. A backend that
    /// passes on the error response to a nested call passes on the id of that call too.
    fn reports_not_run(self, call: CallIds<'_>) -> bool {
        let outcome = self.text(headers::OUTCOME).and_then(Outcome::parse);
        let named = self.text(headers::CALL_ID);
        let of_another = named.is_some_and(|name| name != call.request_id && name != call.call_id);
        self.status == StatusCode::SERVICE_UNAVAILABLE
            && outcome == Some(Outcome::NotRun)
            && !of_another
    }

    fn text(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    fn has(&self, name: &HeaderName) -> bool {
        self.headers.contains_key(name)
    }
}
