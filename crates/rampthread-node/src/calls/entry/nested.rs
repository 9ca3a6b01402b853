//! Nested calls: those that a backend makes while it handles a call itself.

use super::{Call, Entry};
use crate::calls::header_filter;
use http::HeaderMap;
use rampthread_core::call::attempts::RetryClass;
use rampthread_core::call::headers;
use rampthread_core::call::precedence::Precedence;

impl Call {
    /// Whether the caller is a backend that holds a slot until this call ends.
    pub(super) fn is_nested(&self) -> bool {
        self.precedence == Precedence::Nested
    }

    /// Class of the call in the retry budget, which counts retries of nested calls separately.
    pub(super) fn retry_class(&self) -> RetryClass {
        match self.is_nested() {
            true => RetryClass::Nested,
            false => RetryClass::Caller,
        }
    }
}

impl Entry {
    /// Records whether the call's route carries nested calls. Only the gate node can see this;
    /// it adds a header to its response.
    pub(super) fn record_nested_route(&self, call: &Call, response_headers: &HeaderMap) {
        let value = header_filter::header_str(response_headers, headers::PRECEDENCE);
        if value == Some(Precedence::Nested.as_str()) {
            let now = self.now();
            self.state()
                .nested_routes
                .record_report(&call.route.name, now);
        }
    }
}
