//! Checks whether a backend's response belongs to the call, and whether the backend reports
//! that it did not run the call.
//!
//! Bytes on a connection may belong to an earlier request, since a backend may respond
//! twice. So nothing in a response is trusted before the response is known to name the
//! call, least of all a report that the call was not run.

use super::dialect::CallDialect;
use super::headers::{self, Outcome, implies_not_run};
use http::header::CONTENT_ENCODING;
use http::{HeaderMap, HeaderName, StatusCode};

/// Whether a backend's response belongs to the call, and whether the backend reports that
/// it did not run the call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseCheck {
    /// The response belongs to the call.
    Answered,
    /// The backend reports that it did not run the call.
    NotRun,
    /// The response comes from another backend incarnation at the address, which did not
    /// run the call.
    Misdirected,
    /// The response does not belong to the call, for the given reason; the call may have
    /// run.
    MismatchedResponse(&'static str),
}

/// Ids by which a response can name the call that it belongs to.
#[derive(Debug, Clone, Copy)]
pub struct CallIds<'a> {
    /// Id of the request, chosen by the caller or the entry node.
    pub request_id: &'a str,
    /// Id of the present attempt to deliver the call.
    pub call_id: &'a str,
}

/// The parts of a backend's response by which it is checked.
#[derive(Debug, Clone, Copy)]
pub struct ResponseHead<'a> {
    /// HTTP status; some statuses report that the backend did not run the call.
    pub status: StatusCode,
    /// Headers with the ids of the call and the reports of the backend.
    pub headers: &'a HeaderMap,
}

impl ResponseHead<'_> {
    /// Checks that the response belongs to `call`, by the conventions of the platform's
    /// `dialect`.
    pub fn check(self, call: CallIds<'_>, dialect: &CallDialect) -> ResponseCheck {
        if let Some(header) = &dialect.request_id
            && self.header_text(header.as_str()) != Some(call.request_id)
        {
            return ResponseCheck::MismatchedResponse("the answer names another request");
        }
        if dialect.misdirected == Some(self.status) {
            return ResponseCheck::Misdirected;
        }
        match &dialect.not_executed {
            Some(header) if self.has_header(header) => return ResponseCheck::NotRun,
            Some(_) if implies_not_run(self.status) => {
                let reason = "a status that promises that the call was not run, without a word";
                return ResponseCheck::MismatchedResponse(reason);
            }
            None if self.reports_not_run(call) => return ResponseCheck::NotRun,
            Some(_) | None => {}
        }
        let Some(signature) = &dialect.signature else {
            return ResponseCheck::Answered;
        };
        if self.status.is_success() && !self.has_header(signature) {
            return ResponseCheck::MismatchedResponse("a success without a signature");
        }
        if self.has_header(&CONTENT_ENCODING) {
            return ResponseCheck::MismatchedResponse("an encoded body, which nobody asked for");
        }
        ResponseCheck::Answered
    }

    /// True when the response reports `not-run` in rampthread's own headers. A backend that
    /// passes on the error response to a call of its own passes on the id of that call too,
    /// so a response that names another call reports nothing about this one.
    fn reports_not_run(self, call: CallIds<'_>) -> bool {
        let outcome = self.header_text(headers::OUTCOME).and_then(Outcome::parse);
        let named = self.header_text(headers::CALL_ID);
        let of_another = named.is_some_and(|name| name != call.request_id && name != call.call_id);
        self.status == StatusCode::SERVICE_UNAVAILABLE
            && outcome == Some(Outcome::NotRun)
            && !of_another
    }

    /// Value of the response header `name`; `None` if the header is absent or not ASCII.
    fn header_text(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    fn has_header(&self, name: &HeaderName) -> bool {
        self.headers.contains_key(name)
    }
}
