//! Why a call or one of its attempts ended without a response of the backend. The values
//! are stable: they are used in logs, in metrics and between nodes.

use http::StatusCode;
use std::fmt;

macro_rules! causes {
    ($($(#[$documentation:meta])* $name:ident = $value:literal, $status:ident;)*) => {
        /// Why there is no response of a backend.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum Cause {
            $($(#[$documentation])* $name,)*
        }

        impl Cause {
            /// Every cause.
            pub const ALL: &'static [Cause] = &[$(Cause::$name,)*];

            /// The value in logs, metrics and headers.
            pub fn as_str(self) -> &'static str {
                match self { $(Cause::$name => $value,)* }
            }

            /// Status of the response to the caller.
            pub fn status(self) -> StatusCode {
                match self { $(Cause::$name => StatusCode::$status,)* }
            }
        }
    };
}

causes! {
    /// The node has no configuration yet.
    NotReady = "not-ready", SERVICE_UNAVAILABLE;
    /// No route of the configuration matches.
    NoRoute = "no-route", NOT_FOUND;
    /// The route needs a key, and the request has none.
    KeyMissing = "key-missing", UNAUTHORIZED;
    /// The request's key belongs to no tenant.
    KeyUnknown = "key-unknown", UNAUTHORIZED;
    /// The tenant exceeds its limit.
    OverQuota = "over-quota", TOO_MANY_REQUESTS;
    /// The request cannot be parsed.
    BadRequest = "bad-request", BAD_REQUEST;
    /// The request head is larger than allowed.
    HeadTooLarge = "head-too-large", REQUEST_HEADER_FIELDS_TOO_LARGE;
    /// The request head did not arrive in time.
    HeadTimeout = "head-timeout", REQUEST_TIMEOUT;
    /// The body is larger than allowed.
    BodyTooLarge = "body-too-large", PAYLOAD_TOO_LARGE;
    /// The body did not arrive in time.
    BodyTimeout = "body-timeout", REQUEST_TIMEOUT;
    /// The idempotency key was used before, or may be in use.
    KeyInUse = "key-in-use", CONFLICT;
    /// No majority of the holders of the idempotency key replied.
    NoClaimMajority = "key-unclaimed", SERVICE_UNAVAILABLE;
    /// The service has no backend that is known to accept calls.
    NoBackend = "no-back-end", SERVICE_UNAVAILABLE;
    /// The backend has no free slot and its queue is full.
    QueueFull = "full", SERVICE_UNAVAILABLE;
    /// Too many large bodies are in transfer to the backend.
    LinkFull = "link-full", SERVICE_UNAVAILABLE;
    /// No slot became free before the deadline.
    QueueDeadline = "queue-deadline", SERVICE_UNAVAILABLE;
    /// The backend is shutting down.
    Draining = "draining", SERVICE_UNAVAILABLE;
    /// The gate's local backend is another one, or there is none.
    WrongBackend = "another-back-end", SERVICE_UNAVAILABLE;
    /// The gate's configuration lacks what the call needs.
    ConfigurationBehind = "configuration-behind", SERVICE_UNAVAILABLE;
    /// The backend reported that it did not run the call.
    Shed = "shed", SERVICE_UNAVAILABLE;
    /// No connection to the backend or to its gate.
    Unreachable = "unreachable", SERVICE_UNAVAILABLE;
    /// Backends have crashed under requests with the same content.
    Quarantined = "quarantined", SERVICE_UNAVAILABLE;
    /// The attempt was fenced before it started.
    Fenced = "fenced", SERVICE_UNAVAILABLE;
    /// The connection was lost after the call was sent.
    ConnectionLost = "connection-lost", BAD_GATEWAY;
    /// The backend ended while it ran the call: the connection was lost and the backend
    /// accepts no new one.
    BackendCrashed = "back-end-crashed", BAD_GATEWAY;
    /// The response does not belong to this call.
    MismatchedResponse = "not-its-answer", BAD_GATEWAY;
    /// The response was truncated.
    TruncatedResponse = "broken-off", BAD_GATEWAY;
    /// The attempt exceeded the hedge delay and another backend was free, so that a hedged
    /// attempt began beside it.
    Overdue = "overdue", GATEWAY_TIMEOUT;
    /// No response before the deadline.
    Deadline = "deadline", GATEWAY_TIMEOUT;
    /// The sender is not a member of the fleet.
    NotAMember = "stranger", FORBIDDEN;
}

impl Cause {
    /// True when no slot of the backend was free in time. A backend that sheds is not out
    /// of capacity in this sense: its gate had a slot for the call.
    pub fn is_out_of_capacity(self) -> bool {
        matches!(self, Cause::QueueFull | Cause::QueueDeadline)
    }

    /// True when the call was at a backend and no complete response came back.
    pub fn is_lost_answer(self) -> bool {
        matches!(
            self,
            Cause::ConnectionLost | Cause::TruncatedResponse | Cause::BackendCrashed
        )
    }

    /// Parses the value; `None` if it is unknown.
    pub fn parse(value: &str) -> Option<Cause> {
        Self::ALL
            .iter()
            .copied()
            .find(|cause| cause.as_str() == value)
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
