//! Why a call, or an attempt to deliver it, ended without a response of the backend. The
//! values are stable: they are used in logs, in metrics and between nodes.

use http::StatusCode;
use std::fmt;

/// Declares [`Cause`] with the value and the HTTP status of each variant.
macro_rules! causes {
    ($($(#[$documentation:meta])* $name:ident = $value:literal, $status:ident;)*) => {
        /// Why a call, or an attempt to deliver it, has no response of a backend.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum Cause {
            $($(#[$documentation])* $name,)*
        }

        impl Cause {
            /// Every cause, in order of declaration.
            pub const ALL: &'static [Cause] = &[$(Cause::$name,)*];

            /// Text of the cause in logs, metrics and headers between nodes.
            pub fn as_str(self) -> &'static str {
                match self { $(Cause::$name => $value,)* }
            }

            /// HTTP status with which the entry node responds to the caller.
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
    /// The tenant of the call has used up its rate limit.
    OverQuota = "over-quota", TOO_MANY_REQUESTS;
    /// The request cannot be parsed.
    BadRequest = "bad-request", BAD_REQUEST;
    /// The request line and headers exceed the configured size.
    HeadTooLarge = "head-too-large", REQUEST_HEADER_FIELDS_TOO_LARGE;
    /// The request line and headers did not arrive within the configured time.
    HeadTimeout = "head-timeout", REQUEST_TIMEOUT;
    /// The request body exceeds the configured size.
    BodyTooLarge = "body-too-large", PAYLOAD_TOO_LARGE;
    /// The request body did not arrive within the configured time.
    BodyTimeout = "body-timeout", REQUEST_TIMEOUT;
    /// The idempotency key of the request was used before, or may be in use.
    KeyInUse = "key-in-use", CONFLICT;
    /// No majority of the claim holders, the nodes that store claims of the request's
    /// idempotency key, replied.
    NoClaimMajority = "key-unclaimed", SERVICE_UNAVAILABLE;
    /// No backend of the service is known to accept calls.
    NoBackend = "no-back-end", SERVICE_UNAVAILABLE;
    /// The backend has no free slot and the queue of its gate node is full.
    QueueFull = "full", SERVICE_UNAVAILABLE;
    /// The rate limit that the backend has named allows no more calls in time.
    RateLimited = "rate-limited", SERVICE_UNAVAILABLE;
    /// Too many large bodies are in transfer to the backend.
    LinkFull = "link-full", SERVICE_UNAVAILABLE;
    /// No slot of the backend became free before the call's deadline.
    QueueDeadline = "queue-deadline", SERVICE_UNAVAILABLE;
    /// The backend is shutting down.
    Draining = "draining", SERVICE_UNAVAILABLE;
    /// The gate node's local backend is not the one that the call was sent to, or there is
    /// none.
    WrongBackend = "another-back-end", SERVICE_UNAVAILABLE;
    /// The node that got the call has an older configuration, which lacks the service or
    /// backend that the call is for.
    ConfigurationBehind = "configuration-behind", SERVICE_UNAVAILABLE;
    /// The backend refused the call (shed it), and reported that it did not run it.
    Shed = "shed", SERVICE_UNAVAILABLE;
    /// No connection could be made to the backend or to its gate node.
    Unreachable = "unreachable", SERVICE_UNAVAILABLE;
    /// The request does not run because backends crashed while running requests with the
    /// same content.
    Quarantined = "quarantined", SERVICE_UNAVAILABLE;
    /// The entry node abandoned the attempt and forbade the backend's node to start it,
    /// before it had started.
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
    /// The attempt took longer than the hedge delay. A hedged attempt was started at
    /// another backend beside it.
    Overdue = "overdue", GATEWAY_TIMEOUT;
    /// No response came before the call's deadline.
    Deadline = "deadline", GATEWAY_TIMEOUT;
    /// A node that is not a member of the fleet sent a request that only members may send.
    NotAMember = "stranger", FORBIDDEN;
}

impl Cause {
    /// True when no slot of the backend was free in time. [`Cause::Shed`] does not count:
    /// the gate node had a free slot for the call, and the backend refused to run it.
    pub fn is_out_of_capacity(self) -> bool {
        matches!(self, Cause::QueueFull | Cause::QueueDeadline)
    }

    /// True when the call was sent to a backend and no complete response came back.
    pub fn is_lost_answer(self) -> bool {
        matches!(
            self,
            Cause::ConnectionLost | Cause::TruncatedResponse | Cause::BackendCrashed
        )
    }

    /// Returns the cause whose text is `value`; `None` for an unknown text, which a node
    /// with a newer program may send.
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
