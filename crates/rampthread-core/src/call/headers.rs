//! HTTP headers in which nodes pass information along with a call, and back with its
//! response. The *entry node* is the node that receives a call from its caller; the *gate
//! node* is the node that forwards the call to its local backend.

use http::StatusCode;
use std::fmt;
use std::time::Duration;

/// Id that the entry node gives to a call, unique across the fleet.
pub const CALL_ID: &str = "rampthread-call-id";
/// Milliseconds left until the call's deadline; each node writes the time that is left when
/// it sends the call on.
pub const DEADLINE_MS: &str = "rampthread-deadline-ms";
/// Number of services that the call has passed through; compared with [`MAX_HOPS`].
pub const HOPS: &str = "rampthread-hops";
/// What became of the request: an [`Outcome`].
pub const OUTCOME: &str = "rampthread-outcome";
/// Name of the service that makes the call. Calling services share a gate node's queue
/// fairly.
pub const CALLER: &str = "rampthread-caller";
/// Name of the route by which the entry node, which received the call, chose the service.
pub const ROUTE: &str = "rampthread-route";
/// On a request: the backend that the call is for. On a response: the backend that sent it.
pub const BACKEND: &str = "rampthread-backend";
/// Version of the configuration that the entry node routed the call by.
pub const VERSION: &str = "rampthread-version";
/// Token by which a node proves to another that it is a member of the fleet.
pub const HOP_TOKEN: &str = "rampthread-hop-token";
/// Number of calls that run and wait at the backend, on responses of a gate node.
pub const LOAD: &str = "rampthread-load";
/// Whether a request that was not run had reached the backend: a [`Reach`].
pub const REACH: &str = "rampthread-reach";
/// Why a gate node did not run a request: a [`Cause`](super::cause::Cause).
pub const CAUSE: &str = "rampthread-cause";
/// Why a gate node did not run a request, as free text for logs.
pub const REASON: &str = "rampthread-reason";
/// Name of the backend incarnation that ended while it ran the request.
pub const CRASHED: &str = "rampthread-crashed";
/// Milliseconds after which the caller should retry, set by the backend's node on an error
/// response.
pub const RETRY_AFTER_MS: &str = "rampthread-retry-after-ms";
/// Identifies the tenant that the call belongs to; absent on calls without a tenant.
pub const TENANT: &str = "rampthread-tenant";
/// Speed of the backend, on responses of a gate node: a
/// [`BackendSpeed`](super::backend_speed::BackendSpeed).
pub const PACE: &str = "rampthread-pace";
/// Rate limit of the backend. On a request: the limit that the entry node has seen in a
/// response of the backend, a [`RateLimit`](super::rate_limit::RateLimit). On a response of a
/// gate node: a [`LimitReport`](super::rate_limit::LimitReport).
pub const RATE_LIMIT: &str = "rampthread-rate-limit";
/// `true` on responses of a gate node whose backend has said that it leaves.
pub const LEAVING: &str = "rampthread-leaving";
/// Milliseconds that the call waited for a slot of the backend, on responses of a gate
/// node; absent if the call did not wait.
pub const WAITED_MS: &str = "rampthread-waited-ms";
/// Rank of the call in queues, set by its tenant or else its route; rank 0 is served first.
pub const RANK: &str = "rampthread-rank";
/// [`Precedence`](super::precedence::Precedence) of the call within its rank; absent on a
/// first attempt.
pub const PRECEDENCE: &str = "rampthread-precedence";
/// On a reply of a gate node: the entry node may now send the large request body that it
/// announced.
pub const GRANTED: &str = "rampthread-granted";
/// Length in bytes of a large request body that the entry node wants to send.
pub const BODY_BYTES: &str = "rampthread-body-bytes";
/// When the entry node sent the request to the backend's node: a
/// [`SentAt`](super::path_delay::SentAt).
pub const SENT_AT: &str = "rampthread-sent";
/// How long the call may wait in the gate node's queue: a [`QueueingLimit`].
pub const WAITING: &str = "rampthread-waiting";
/// Key by which a caller marks a request that it may send again (IETF draft
/// `idempotency-key-header`).
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Prefix of the headers that only nodes may set.
pub const PREFIX: &str = "rampthread-";
/// Maximum number of services that one call may pass through; guards against routing loops.
pub const MAX_HOPS: u32 = 32;

/// What became of a request, as far as the node that responds knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// A backend responded to the request.
    Completed,
    /// No byte of the request reached a backend, and none will.
    NotRun,
    /// A backend may have run the request.
    Unknown,
}

impl Outcome {
    /// Text of the outcome for the [`OUTCOME`] header, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Completed => "completed",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }

    /// Parses the [`OUTCOME`] header; `None` if the value is unknown.
    pub fn parse(value: &str) -> Option<Outcome> {
        [Outcome::Completed, Outcome::NotRun, Outcome::Unknown]
            .into_iter()
            .find(|outcome| outcome.as_str() == value)
    }
}

/// True for the HTTP statuses by which callers conclude that a request has not run and
/// never will. A node sends such a status only if it knows that the request was not run.
pub fn implies_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// How far an attempt to deliver a call got: to the backend, or only to the backend's gate
/// node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    /// The attempt reached the backend, or may have. A further attempt is then a retry that
    /// counts against the retry budget.
    Backend,
    /// The backend's gate node rejected the attempt, or could not be reached.
    Gate,
}

impl Reach {
    /// Text for the [`REACH`] header.
    pub fn as_str(self) -> &'static str {
        match self {
            Reach::Backend => "back-end",
            Reach::Gate => "gate",
        }
    }

    /// Parses the [`REACH`] header. Any value but `gate` counts as [`Reach::Backend`],
    /// since the attempt may have reached the backend.
    pub fn parse(value: Option<&str>) -> Reach {
        match value {
            Some("gate") => Reach::Gate,
            _ => Reach::Backend,
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// How long a call may wait in the queue of the backend's gate node, the node that forwards
/// calls to the backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueingLimit {
    /// The call never waits in the queue: it runs at once or is rejected, since another
    /// backend seems to have a free slot.
    Never,
    /// The call may wait as long as its response can meet the target latency of its route,
    /// of which this much is left.
    ForTarget(Duration),
    /// The call may wait as long as its response can meet its deadline.
    UntilDeadline,
}

/// Value of the [`WAITING`] header for [`QueueingLimit::Never`], a call that must not wait.
const NEVER: &str = "never";
/// Value of the [`WAITING`] header for [`QueueingLimit::UntilDeadline`], a call that may
/// wait until its deadline.
const UNTIL_DEADLINE: &str = "until-deadline";

impl QueueingLimit {
    /// Parses the [`WAITING`] header. An absent or unknown value means
    /// [`QueueingLimit::Never`].
    pub fn parse(value: Option<&str>) -> QueueingLimit {
        match value {
            Some(UNTIL_DEADLINE) => QueueingLimit::UntilDeadline,
            Some(value) => value.parse().map_or(QueueingLimit::Never, |target| {
                QueueingLimit::ForTarget(Duration::from_millis(target))
            }),
            None => QueueingLimit::Never,
        }
    }
}

impl fmt::Display for QueueingLimit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            QueueingLimit::Never => formatter.write_str(NEVER),
            QueueingLimit::ForTarget(target) => write!(formatter, "{}", target.as_millis()),
            QueueingLimit::UntilDeadline => formatter.write_str(UNTIL_DEADLINE),
        }
    }
}

/// Why a node rejects a call whose rampthread headers are invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum HeaderError {
    /// Malformed [`DEADLINE_MS`] header.
    #[error("{DEADLINE_MS}: {found:?} is not a number of milliseconds")]
    Deadline {
        /// Invalid value of the header, cut to 32 characters.
        found: String,
    },
    /// Malformed [`HOPS`] header.
    #[error("{HOPS}: {found:?} is not a number")]
    Hops {
        /// Invalid value of the header, cut to 32 characters.
        found: String,
    },
    /// The call has passed through more than [`MAX_HOPS`] services.
    #[error("{HOPS}: {found} is above {MAX_HOPS}; is there a loop?")]
    TooDeep {
        /// Services that the call has passed through before this node.
        found: u32,
    },
}

/// Longest deadline that a caller may set; a longer one is cut to this.
const MAX_DEADLINE: Duration = Duration::from_secs(3_600);

/// Parses [`DEADLINE_MS`], the time until the deadline; `None` if the header is absent.
pub fn parse_deadline(text: Option<&str>) -> Result<Option<Duration>, HeaderError> {
    let Some(text) = text else { return Ok(None) };
    let milliseconds: u64 = text.trim().parse().map_err(|_| HeaderError::Deadline {
        found: text.chars().take(32).collect(),
    })?;
    Ok(Some(Duration::from_millis(milliseconds).min(MAX_DEADLINE)))
}

/// Parses the [`HOPS`] header of a request and returns its count plus one, for the service
/// that the call passes through now.
pub fn next_hop(text: Option<&str>) -> Result<u32, HeaderError> {
    let hops: u32 = match text {
        None => 0,
        Some(text) => text.trim().parse().map_err(|_| HeaderError::Hops {
            found: text.chars().take(32).collect(),
        })?,
    };
    if hops >= MAX_HOPS {
        return Err(HeaderError::TooDeep { found: hops });
    }
    Ok(hops + 1)
}
