//! Why a call or one of its tries ended without the back end's answer. The
//! words are stable: they stand in logs, in metrics and between nodes.

use http::StatusCode;
use std::fmt;

macro_rules! causes {
    ($($(#[$documentation:meta])* $name:ident = $word:literal, $status:ident;)*) => {
        /// Why there is no answer of a back end.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum Cause {
            $($(#[$documentation])* $name,)*
        }

        impl Cause {
            /// Every cause.
            pub const ALL: &'static [Cause] = &[$(Cause::$name,)*];

            /// The word in logs, metrics and headers.
            pub fn as_str(self) -> &'static str {
                match self { $(Cause::$name => $word,)* }
            }

            /// Status that a caller gets for it.
            pub fn status(self) -> StatusCode {
                match self { $(Cause::$name => StatusCode::$status,)* }
            }
        }
    };
}

causes! {
    /// The node holds no configuration yet.
    NotReady = "not-ready", SERVICE_UNAVAILABLE;
    /// No route of the configuration matches.
    NoRoute = "no-route", NOT_FOUND;
    /// The route needs a key, and the request has none.
    KeyMissing = "key-missing", UNAUTHORIZED;
    /// The request's key belongs to no tenant.
    KeyUnknown = "key-unknown", UNAUTHORIZED;
    /// The tenant asks for more than its limit.
    OverQuota = "over-quota", TOO_MANY_REQUESTS;
    /// The request cannot be read.
    BadRequest = "bad-request", BAD_REQUEST;
    /// The head is larger than allowed.
    HeadTooLarge = "head-too-large", REQUEST_HEADER_FIELDS_TOO_LARGE;
    /// The head did not arrive in time.
    HeadTimeout = "head-timeout", REQUEST_TIMEOUT;
    /// The body is larger than allowed.
    BodyTooLarge = "body-too-large", PAYLOAD_TOO_LARGE;
    /// The body did not arrive in time.
    BodyTimeout = "body-timeout", REQUEST_TIMEOUT;
    /// Its idempotency key was used before, or may be in use.
    KeyInUse = "key-in-use", CONFLICT;
    /// No majority of the holders of its idempotency key answers.
    NoClaimMajority = "key-unclaimed", SERVICE_UNAVAILABLE;
    /// No back end of the service is known to take work.
    NoBackend = "no-back-end", SERVICE_UNAVAILABLE;
    /// The back end has no slot free and its queue is too long.
    QueueFull = "full", SERVICE_UNAVAILABLE;
    /// Too many large bodies are on their way to the back end.
    LinkFull = "link-full", SERVICE_UNAVAILABLE;
    /// No slot came free before the deadline.
    QueueDeadline = "queue-deadline", SERVICE_UNAVAILABLE;
    /// The back end is leaving.
    Draining = "draining", SERVICE_UNAVAILABLE;
    /// Another back end, or none, stands beside the node.
    WrongBackend = "another-back-end", SERVICE_UNAVAILABLE;
    /// The configuration of the gate's node lacks what the call needs.
    ConfigurationBehind = "configuration-behind", SERVICE_UNAVAILABLE;
    /// The back end said that it did not run the call.
    Shed = "shed", SERVICE_UNAVAILABLE;
    /// No connection to the back end or to the node beside it.
    Unreachable = "unreachable", SERVICE_UNAVAILABLE;
    /// Back ends have crashed under requests like it.
    Quarantined = "quarantined", SERVICE_UNAVAILABLE;
    /// The try was fenced before it started.
    Fenced = "fenced", SERVICE_UNAVAILABLE;
    /// The connection was lost after the call was sent.
    ConnectionLost = "connection-lost", BAD_GATEWAY;
    /// The back end ended while it ran the call: the connection was lost and the
    /// back end accepts no new one.
    BackendCrashed = "back-end-crashed", BAD_GATEWAY;
    /// What came back is not the back end's answer to this call.
    MismatchedResponse = "not-its-answer", BAD_GATEWAY;
    /// The answer broke off.
    TruncatedResponse = "broken-off", BAD_GATEWAY;
    /// The answer was overdue and another back end was free: a second try began
    /// beside the first.
    Overdue = "overdue", GATEWAY_TIMEOUT;
    /// No answer before the deadline.
    Deadline = "deadline", GATEWAY_TIMEOUT;
    /// The sender is no member of the fleet.
    NotAMember = "stranger", FORBIDDEN;
}

impl Cause {
    /// True when the back end could not take the call for want of a slot in time. One that
    /// sheds is another thing: its gate had a slot for the call.
    pub fn is_out_of_capacity(self) -> bool {
        matches!(self, Cause::QueueFull | Cause::QueueDeadline)
    }

    /// True when the call was at a back end and its answer did not come whole.
    pub fn is_lost_answer(self) -> bool {
        matches!(
            self,
            Cause::ConnectionLost | Cause::TruncatedResponse | Cause::BackendCrashed
        )
    }

    /// Reads the word; none when it is unknown.
    pub fn parse(word: &str) -> Option<Cause> {
        Self::ALL
            .iter()
            .copied()
            .find(|cause| cause.as_str() == word)
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
