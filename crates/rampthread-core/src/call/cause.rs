//! Why a call, or an attempt to deliver it, ended without a response of the backend. The
//! values are stable: they are used in logs, in metrics and between nodes.

use http::StatusCode;
use std::fmt;

/// Declares [`Cause`] with the value and the HTTP status of each variant.
macro_rules! causes {
    ($($(#[$documentation:meta])* $name:ident = $value:literal, $status:ident;)*) => {
        /// Why there is no response of a backend.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum Cause {
            $($(#[$documentation])* $name,)*
        }

        impl Cause {
            /// Every cause, in order of declaration.
            pub const ALL: &'static [Cause] = &[$(Cause::$name,)*];

            /// Value that is logged, counted in metrics and sent in headers.
            pub fn as_str(self) -> &'static str {
                match self { $(Cause::$name => $value,)* }
            }

            /// Status of the error response that the caller gets.
            pub fn status(self) -> StatusCode {
                match self { $(Cause::$name => StatusCode::$status,)* }
            }
        }
    };
}

causes! {
    /// The node has no configuration yet.
    NotReady = "not-ready", SERVICE_UNAVAILABLE;
    /// No route of the configuration matches the request.
    NoRoute = "no-route", NOT_FOUND;
    /// The route needs an API key, and the request has none.
    KeyMissing = "key-missing", UNAUTHORIZED;
    /// The API key of the request belongs to no tenant.
    KeyUnknown = "key-unknown", UNAUTHORIZED;
    /// The tenant sends more than its rate limit.
    OverQuota = "over-quota", TOO_MANY_REQUESTS;
    /// The request cannot be parsed.
    BadRequest = "bad-request", BAD_REQUEST;
    /// The head of the request is larger than allowed.
    HeadTooLarge = "head-too-large", REQUEST_HEADER_FIELDS_TOO_LARGE;
    /// The head of the request did not arrive in time.
    HeadTimeout = "head-timeout", REQUEST_TIMEOUT;
    /// The body of the request is larger than allowed.
    BodyTooLarge = "body-too-large", PAYLOAD_TOO_LARGE;
    /// The body of the request did not arrive in time.
    BodyTimeout = "body-timeout", REQUEST_TIMEOUT;
    /// The idempotency key of the request was used before, or may be in use.
    KeyInUse = "key-in-use", CONFLICT;
    /// No majority of the holders, the nodes that store claims of the request's idempotency
    /// key, replied.
    NoClaimMajority = "key-unclaimed", SERVICE_UNAVAILABLE;
    /// No backend of the service is known to accept calls.
    NoBackend = "no-back-end", SERVICE_UNAVAILABLE;
    /// The backend has no free slot and the queue of its gate is full.
    QueueFull = "full", SERVICE_UNAVAILABLE;
    /// Too many large bodies are in transfer to the backend.
    LinkFull = "link-full", SERVICE_UNAVAILABLE;
    /// No slot of the backend became free before the call's deadline.
    QueueDeadline = "queue-deadline", SERVICE_UNAVAILABLE;
    /// The backend is shutting down.
    Draining = "draining", SERVICE_UNAVAILABLE;
    /// The gate's local backend is not the one that the call was sent to, or there is none.
    WrongBackend = "another-back-end", SERVICE_UNAVAILABLE;
    /// The configuration of the gate's node does not have yet what the call needs.
    ConfigurationBehind = "configuration-behind", SERVICE_UNAVAILABLE;
    /// The backend reported that it did not run the call.
    Shed = "shed", SERVICE_UNAVAILABLE;
    /// No connection could be made to the backend or to its gate.
    Unreachable = "unreachable", SERVICE_UNAVAILABLE;
    /// Requests with the same content are in quarantine, since backends crashed under them.
    Quarantined = "quarantined", SERVICE_UNAVAILABLE;
    /// The entry fenced the attempt before it started.
    Fenced = "fenced", SERVICE_UNAVAILABLE;
    /// The connection to the backend was lost after the call was sent.
    ConnectionLost = "connection-lost", BAD_GATEWAY;
    /// The backend ended while it ran the call: the connection was lost and the backend
    /// accepts no new one.
    BackendCrashed = "back-end-crashed", BAD_GATEWAY;
    /// The response that came back does not belong to the call.
    MismatchedResponse = "not-its-answer", BAD_GATEWAY;
    /// The response of the backend was truncated.
    TruncatedResponse = "broken-off", BAD_GATEWAY;
    /// The attempt exceeded the hedge delay, and another backend was free: a hedged attempt
    /// began beside it.
    Overdue = "overdue", GATEWAY_TIMEOUT;
    /// No response came before the call's deadline.
    Deadline = "deadline", GATEWAY_TIMEOUT;
    /// The sender of the request between nodes is not a member of the fleet.
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

    /// Parses the value of a cause; `None` if it is unknown.
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
