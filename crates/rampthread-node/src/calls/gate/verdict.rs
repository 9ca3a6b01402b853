//! Whether what came back is the back end's answer to this call.

use super::Hop;
use crate::calls::forward;
use http::response::Parts;
use http::{StatusCode, header};
use rampthread_core::call::dialect::CallDialect;
use rampthread_core::call::headers::{self, Outcome};

/// What an answer is worth.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// The back end's answer to this call.
    Answered,
    /// The back end says that it did not run the call.
    NotRun,
    /// Another incarnation answered at the address; it did not run the call.
    Misdirected,
    /// Something else, for this reason; the call may have run.
    NotItsAnswer(&'static str),
}

pub(super) fn judge(parts: &Parts, hop: &Hop, dialect: &CallDialect) -> Verdict {
    if dialect.misdirected == Some(parts.status) {
        return Verdict::Misdirected;
    }
    if let Some(id) = &dialect.request_id
        && forward::text(&parts.headers, id.as_str()) != Some(hop.request_id())
    {
        return Verdict::NotItsAnswer("the answer names another request");
    }
    if says_not_run(parts, dialect) {
        return Verdict::NotRun;
    }
    let Some(signature) = &dialect.signature else {
        return Verdict::Answered;
    };
    if parts.status.is_success() && !parts.headers.contains_key(signature) {
        return Verdict::NotItsAnswer("a success without a signature");
    }
    if parts.headers.contains_key(header::CONTENT_ENCODING) {
        return Verdict::NotItsAnswer("an encoded body, which nobody asked for");
    }
    Verdict::Answered
}

fn says_not_run(parts: &Parts, dialect: &CallDialect) -> bool {
    let executed = dialect
        .not_executed
        .as_ref()
        .is_none_or(|header| !parts.headers.contains_key(header));
    let own_word = parts.status == StatusCode::SERVICE_UNAVAILABLE
        && forward::text(&parts.headers, headers::OUTCOME) == Some(Outcome::NotRun.as_str());
    !executed || own_word
}
