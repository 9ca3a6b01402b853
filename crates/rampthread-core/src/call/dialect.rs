//! Header names and conventions towards callers and backends.
//!
//! [`CallDialect::default`] is rampthread's own; a platform with other names supplies
//! another dialect through its adapter. No other code knows those names.

use super::headers;
use http::{HeaderName, StatusCode};

/// Names of headers and related conventions.
#[derive(Debug, Clone)]
pub struct CallDialect {
    /// The caller's own id of the request, passed on to the backend and back. `None`: the
    /// entry assigns an id.
    pub request_id: Option<HeaderName>,
    /// Time left, in milliseconds.
    pub deadline_ms: HeaderName,
    /// The service on whose machine the call began.
    pub caller: HeaderName,
    /// `caller` names the service of a machine that many clients share. It does not tell
    /// who waits, so calls do not share queues by caller.
    pub caller_is_machine: bool,
    /// The incarnation of the backend that is addressed.
    pub target_instance: Option<HeaderName>,
    /// The call's tenant, towards backends.
    pub tenant: HeaderName,
    /// A backend's load on its responses: slots in use, calls waiting and slots, and
    /// optionally its current service time in percent of the usual one.
    pub backend_load: Option<HeaderName>,
    /// A backend's signature; where named, a successful response must have it.
    pub signature: Option<HeaderName>,
    /// Present when the backend reports that it did not run the request.
    pub not_executed: Option<HeaderName>,
    /// Status of a backend that is not the one addressed; the request was not run.
    pub misdirected: Option<StatusCode>,
    /// `Retry-After` may have fractions of a second.
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
            signature: None,
            not_executed: None,
            misdirected: None,
            fractional_retry_after: false,
        }
    }
}
