//! Header names and conventions that a platform uses between callers, nodes and backends.
//!
//! [`CallDialect::default`] is rampthread's own; a platform with other names supplies
//! another dialect through its adapter. Only the adapter contains those names.

use super::headers;
use http::{HeaderName, StatusCode};

/// Names of the headers that one platform uses, and its other conventions for calls.
#[derive(Debug, Clone)]
pub struct CallDialect {
    /// Header with the caller's own id of the request, passed on to the backend and back.
    /// `None`: the entry node, the node that received the call, assigns an id.
    pub request_id: Option<HeaderName>,
    /// Header of a request with the milliseconds until the call's deadline.
    pub deadline_ms: HeaderName,
    /// Header of a request with the name of the calling service, i.e. the service on whose
    /// machine the request was made.
    pub caller: HeaderName,
    /// True if `caller` names the service of a machine that many clients share. The header
    /// then does not tell which client made the call, so that fair queueing by caller is
    /// not applied.
    pub caller_is_machine: bool,
    /// Header of a request with the id of the backend incarnation that the call is for.
    pub target_instance: Option<HeaderName>,
    /// Header in which a node passes the name of the call's tenant to the backend.
    pub tenant: HeaderName,
    /// Header of a response with the backend's load: slots in use, calls waiting and slots,
    /// and optionally its current service time in percent of the usual one.
    pub backend_load: Option<HeaderName>,
    /// Header of a response with the rate limit of the backend, a decimal number of requests per
    /// second over all callers.
    pub rate_limit: Option<HeaderName>,
    /// Header of a response, with the value `1`, by which a backend says that it leaves.
    pub leaving: Option<HeaderName>,
    /// Header of a response with the backend's signature. If the dialect names this header,
    /// a successful response must have it.
    pub signature: Option<HeaderName>,
    /// Header of a response by which a backend reports that it did not run the request.
    pub not_executed: Option<HeaderName>,
    /// Status of a response from a backend that is not the one that the call was for, and
    /// did not run it.
    pub misdirected: Option<StatusCode>,
    /// True if callers understand a `Retry-After` header with fractions of a second.
    pub fractional_retry_after: bool,
}

impl Default for CallDialect {
    fn default() -> Self {
        Self {
            request_id: None,
            deadline_ms: HeaderName::from_static(headers::DEADLINE_MS),
            caller: HeaderName::from_static(headers::CALLER),
            caller_is_machine: false,
            target_instance: None,
            tenant: HeaderName::from_static(headers::TENANT),
            backend_load: None,
            rate_limit: None,
            leaving: None,
            signature: None,
            not_executed: None,
            misdirected: None,
            fractional_retry_after: false,
        }
    }
}
