//! Headers that travel with a call, and the outcome that an answer names.

use http::StatusCode;
use std::fmt;
use std::time::Duration;

/// Names one call across the fleet.
pub const CALL_ID: &str = "rampthread-call-id";
/// Time left for the call, in milliseconds.
pub const DEADLINE_MS: &str = "rampthread-deadline-ms";
/// Services that the call has passed through.
pub const HOPS: &str = "rampthread-hops";
/// What became of the request: one of [`Outcome`].
pub const OUTCOME: &str = "rampthread-outcome";
/// The service that makes the call; limits are fair between callers.
pub const CALLER: &str = "rampthread-caller";
/// The route that the entry node chose.
pub const ROUTE: &str = "rampthread-route";
/// The back end that is meant, or that answered.
pub const BACKEND: &str = "rampthread-backend";
/// Configuration version that the call began with.
pub const VERSION: &str = "rampthread-version";
/// Proof that a fleet member sent this hop.
pub const HOP_TOKEN: &str = "rampthread-hop-token";
/// Calls in flight and queued at the back end, on answers between nodes.
pub const LOAD: &str = "rampthread-load";
/// Whether a request that was not run reached the back end: one of [`Reach`].
pub const REACH: &str = "rampthread-reach";
/// Why a gate did not run a request: one of [`Cause`](super::cause::Cause).
pub const CAUSE: &str = "rampthread-cause";
/// Why a gate did not run a request, for logs.
pub const REASON: &str = "rampthread-reason";
/// The incarnation of a back end that ended while it ran the request.
pub const CRASHED: &str = "rampthread-crashed";
/// When to come back, in milliseconds, on answers between nodes.
pub const RETRY_AFTER_MS: &str = "rampthread-retry-after-ms";
/// The tenant whose call it is, by its key; a call without one has none.
pub const TENANT: &str = "rampthread-tenant";
/// How fast a back end works, on answers between nodes: a
/// [`BackendSpeed`](super::backend_speed::BackendSpeed).
pub const PACE: &str = "rampthread-pace";
/// Time that the call waited for a slot, in milliseconds, on answers between nodes;
/// missing where it did not wait.
pub const WAITED_MS: &str = "rampthread-waited-ms";
/// Rank of the call's tenant, else of its route; 0 goes first.
pub const RANK: &str = "rampthread-rank";
/// Precedence of the call within its rank, unless it is a first attempt.
pub const PRECEDENCE: &str = "rampthread-precedence";
/// The gate lets a large body come.
pub const GRANTED: &str = "rampthread-granted";
/// Length of a large body that waits for a grant.
pub const BODY_BYTES: &str = "rampthread-body-bytes";
/// When the hop was sent: a [`SentAt`](super::path_delay::SentAt).
pub const SENT_AT: &str = "rampthread-sent";
/// Whether the call may wait for a slot: one of [`QueueingLimit`].
pub const WAITING: &str = "rampthread-waiting";
/// A caller's name for a request that it may send again (IETF draft
/// `idempotency-key-header`).
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Prefix of every header that only nodes may set.
pub const PREFIX: &str = "rampthread-";
/// Most services that one call may pass through (letter 1: up to 21 deep).
pub const MAX_HOPS: u32 = 32;

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The back end answered.
    Completed,
    /// No byte of it reached a back end and none will.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Outcome {
    /// The word in the [`OUTCOME`] header.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Completed => "completed",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }

    /// Reads the word of the [`OUTCOME`] header.
    pub fn parse(word: &str) -> Option<Outcome> {
        [Outcome::Completed, Outcome::NotRun, Outcome::Unknown]
            .into_iter()
            .find(|outcome| outcome.as_str() == word)
    }
}

/// True for the statuses by which callers conclude that a request has not run and never
/// will. No answer has one of them unless that is known.
pub fn implies_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Whether a try reached a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    /// It did, or may have: the next try is a second arrival.
    Backend,
    /// The node beside the back end refused it, or could not be reached.
    Gate,
}

impl Reach {
    /// The word in the [`REACH`] header.
    pub fn as_str(self) -> &'static str {
        match self {
            Reach::Backend => "back-end",
            Reach::Gate => "gate",
        }
    }

    /// Reads the word of the [`REACH`] header; what is not known to have
    /// stopped at the gate may have reached the back end.
    pub fn parse(word: Option<&str>) -> Reach {
        match word {
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

/// Whether a call may wait for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueingLimit {
    /// It runs now or is refused: another back end seems free.
    Never,
    /// While the target latency of its route can be met.
    ForTarget(Duration),
    /// While its deadline can be met.
    UntilDeadline,
}

const NEVER: &str = "never";
const UNTIL_DEADLINE: &str = "until-deadline";

impl QueueingLimit {
    /// Reads the [`WAITING`] header; anything else does not wait.
    pub fn parse(word: Option<&str>) -> QueueingLimit {
        match word {
            Some(UNTIL_DEADLINE) => QueueingLimit::UntilDeadline,
            Some(word) => word.parse().map_or(QueueingLimit::Never, |target| {
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

/// Why a call's own headers are refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum HeaderError {
    /// The deadline is no number of milliseconds.
    #[error("{DEADLINE_MS}: {found:?} is not a number of milliseconds")]
    Deadline {
        /// What was found.
        found: String,
    },
    /// The hop count is no number.
    #[error("{HOPS}: {found:?} is not a number")]
    Hops {
        /// What was found.
        found: String,
    },
    /// The call has passed through too many services.
    #[error("{HOPS}: {found} is above {MAX_HOPS}; is there a loop?")]
    TooDeep {
        /// What was found.
        found: u32,
    },
}

/// Longest deadline that a caller may set.
const MAX_DEADLINE: Duration = Duration::from_secs(3_600);

/// Reads the remaining time.
pub fn parse_deadline(text: Option<&str>) -> Result<Option<Duration>, HeaderError> {
    let Some(text) = text else { return Ok(None) };
    let milliseconds: u64 = text.trim().parse().map_err(|_| HeaderError::Deadline {
        found: text.chars().take(32).collect(),
    })?;
    Ok(Some(Duration::from_millis(milliseconds).min(MAX_DEADLINE)))
}

/// Reads the hop count and adds this hop.
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
