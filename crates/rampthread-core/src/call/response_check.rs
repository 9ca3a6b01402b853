//! Whether what came back from a back end is its answer to the call, and whether it
//! says that the call was not run.
//!
//! Bytes that come back on a connection may belong to an earlier request: a back end may
//! answer twice. So nothing is believed of an answer, least of all that the call was not
//! run, before it is known to name the call.

use super::dialect::CallDialect;
use super::headers::{self, Outcome, implies_not_run};
use http::header::CONTENT_ENCODING;
use http::{HeaderMap, HeaderName, StatusCode};

/// What an answer is worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseCheck {
    /// The back end's answer to this call.
    Answered,
    /// The back end says that it did not run the call.
    NotRun,
    /// Another incarnation answered at the address; it did not run the call.
    Misdirected,
    /// Something else, for this reason; the call may have run.
    MismatchedResponse(&'static str),
}

/// The names of a call.
#[derive(Debug, Clone, Copy)]
pub struct CallIds<'a> {
    /// As its caller named it.
    pub request_id: &'a str,
    /// As this try of it is named.
    pub call_id: &'a str,
}

/// The head of an answer.
#[derive(Debug, Clone, Copy)]
pub struct ResponseHead<'a> {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: &'a HeaderMap,
}

impl ResponseHead<'_> {
    /// Judges the answer to `call`.
    pub fn check(self, call: CallIds<'_>, dialect: &CallDialect) -> ResponseCheck {
        if let Some(header) = &dialect.request_id
            && self.text(header.as_str()) != Some(call.request_id)
        {
            return ResponseCheck::MismatchedResponse("the answer names another request");
        }
        if dialect.misdirected == Some(self.status) {
            return ResponseCheck::Misdirected;
        }
        match &dialect.not_executed {
            Some(header) if self.has(header) => return ResponseCheck::NotRun,
            Some(_) if implies_not_run(self.status) => {
                let reason = "a status that promises that the call was not run, without a word";
                return ResponseCheck::MismatchedResponse(reason);
            }
            None if self.says_not_run(call) => return ResponseCheck::NotRun,
            Some(_) | None => {}
        }
        let Some(signature) = &dialect.signature else {
            return ResponseCheck::Answered;
        };
        if self.status.is_success() && !self.has(signature) {
            return ResponseCheck::MismatchedResponse("a success without a signature");
        }
        if self.has(&CONTENT_ENCODING) {
            return ResponseCheck::MismatchedResponse("an encoded body, which nobody asked for");
        }
        ResponseCheck::Answered
    }

    /// The product's own word for it. A back end that passes on the refusal of a call
    /// that it made itself passes on the name of that call, too.
    fn says_not_run(self, call: CallIds<'_>) -> bool {
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
