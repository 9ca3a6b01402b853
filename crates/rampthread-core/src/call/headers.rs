//! Headers that travel with a call, and the outcome that a response carries.

use http::StatusCode;
use std::fmt;
use std::time::Duration;

/// Id of the call, unique across the fleet.
pub const CALL_ID: &str = "rampthread-call-id";
/// Time left for the call, in milliseconds.
pub const DEADLINE_MS: &str = "rampthread-deadline-ms";
/// Number of services that the call has passed through.
pub const HOPS: &str = "rampthread-hops";
/// What became of the request: an [`Outcome`].
pub const OUTCOME: &str = "rampthread-outcome";
/// The service that makes the call; calling services share a queue fairly.
pub const CALLER: &str = "rampthread-caller";
/// The route that the entry chose.
pub const ROUTE: &str = "rampthread-route";
/// The backend that is addressed, or that responded.
pub const BACKEND: &str = "rampthread-backend";
/// Configuration version under which the call was routed.
pub const VERSION: &str = "rampthread-version";
/// Proof that a fleet member sent this hop.
pub const HOP_TOKEN: &str = "rampthread-hop-token";
/// Calls in flight and queued at the backend, on responses between nodes.
pub const LOAD: &str = "rampthread-load";
/// Whether a request that was not run reached the backend: a [`Reach`].
pub const REACH: &str = "rampthread-reach";
/// Why a gate did not run a request: a [`Cause`](super::cause::Cause).
pub const CAUSE: &str = "rampthread-cause";
/// Why a gate did not run a request, as free text for logs.
pub const REASON: &str = "rampthread-reason";
/// The incarnation of a backend that ended while it ran the request.
pub const CRASHED: &str = "rampthread-crashed";
/// When to retry, in milliseconds, on responses between nodes.
pub const RETRY_AFTER_MS: &str = "rampthread-retry-after-ms";
/// The call's tenant, identified by its key; absent on calls without a tenant.
pub const TENANT: &str = "rampthread-tenant";
/// Speed of the backend, on responses between nodes: a
/// [`BackendSpeed`](super::backend_speed::BackendSpeed).
pub const PACE: &str = "rampthread-pace";
/// Time that the call waited for a slot, in milliseconds, on responses between nodes;
/// absent where it did not wait.
pub const WAITED_MS: &str = "rampthread-waited-ms";
/// Rank of the call's tenant, else of its route; 0 goes first.
pub const RANK: &str = "rampthread-rank";
/// [`Precedence`](super::precedence::Precedence) of the call within its rank; absent on a
/// first attempt.
pub const PRECEDENCE: &str = "rampthread-precedence";
/// The gate permits the transfer of a large body.
pub const GRANTED: &str = "rampthread-granted";
/// Length of a large body that waits for permission to be sent.
pub const BODY_BYTES: &str = "rampthread-body-bytes";
/// When the hop was sent: a [`SentAt`](super::path_delay::SentAt).
pub const SENT_AT: &str = "rampthread-sent";
/// How long the call may wait for a slot: a [`QueueingLimit`].
pub const WAITING: &str = "rampthread-waiting";
/// Key that a caller chooses for a request that it may send again (IETF draft
/// `idempotency-key-header`).
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Prefix of every header that only nodes may set.
pub const PREFIX: &str = "rampthread-";
/// Maximum number of services that one call may pass through; guards against routing loops.
pub const MAX_HOPS: u32 = 32;

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The backend responded.
    Completed,
    /// No byte of it reached a backend and none will.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Outcome {
    /// The value of the [`OUTCOME`] header.
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

/// True for the statuses by which callers conclude that a request has not run and never
/// will. No response carries one of them unless that is known.
pub fn implies_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// How far an attempt got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    /// It reached the backend, or may have: a further attempt is a retry that counts
    /// against the budget.
    Backend,
    /// The gate rejected it, or could not be reached.
    Gate,
}

impl Reach {
    /// The value of the [`REACH`] header.
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

/// How long a call may wait for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueingLimit {
    /// It runs now or is rejected, since another backend seems to have a free slot.
    Never,
    /// While the target latency of its route can be met; the time left for that.
    ForTarget(Duration),
    /// While its deadline can be met.
    UntilDeadline,
}

const NEVER: &str = "never";
const UNTIL_DEADLINE: &str = "until-deadline";

impl QueueingLimit {
    /// Parses the [`WAITING`] header; any other value does not wait.
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

/// Why the headers of an incoming call are rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum HeaderError {
    /// The deadline is not a number of milliseconds.
    #[error("{DEADLINE_MS}: {found:?} is not a number of milliseconds")]
    Deadline {
        /// The value, cut to 32 characters.
        found: String,
    },
    /// The hop count is not a number.
    #[error("{HOPS}: {found:?} is not a number")]
    Hops {
        /// The value, cut to 32 characters.
        found: String,
    },
    /// The call has passed through too many services.
    #[error("{HOPS}: {found} is above {MAX_HOPS}; is there a loop?")]
    TooDeep {
        /// Number of services so far.
        found: u32,
    },
}

/// Longest deadline that a caller may set; longer ones are shortened to it.
const MAX_DEADLINE: Duration = Duration::from_secs(3_600);

/// Parses the time left from [`DEADLINE_MS`]; `None` where the header is absent.
pub fn parse_deadline(text: Option<&str>) -> Result<Option<Duration>, HeaderError> {
    let Some(text) = text else { return Ok(None) };
    let milliseconds: u64 = text.trim().parse().map_err(|_| HeaderError::Deadline {
        found: text.chars().take(32).collect(),
    })?;
    Ok(Some(Duration::from_millis(milliseconds).min(MAX_DEADLINE)))
}

/// Parses the hop count and adds this hop.
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
