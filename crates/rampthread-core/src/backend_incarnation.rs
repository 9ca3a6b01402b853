//! Identity of one process of a backend. A backend may keep its id when it restarts; then
//! only its start time tells the two processes apart.

use crate::ids::{InstanceId, InvalidName};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Separates the id from the start time in [`BackendIncarnation::name`].
const SEPARATOR: &str = "..";
/// Maximum length of a backend id, in bytes. Leaves room in a name for the separator and
/// the longest start time.
pub const MAX_BACKEND_ID_BYTES: usize = InstanceId::MAX_BYTES - SEPARATOR.len() - MAX_START_DIGITS;
/// Number of decimal digits of the longest start time, `u64::MAX`.
const MAX_START_DIGITS: usize = 20;

/// Start time of a backend process, in Unix milliseconds by the backend's own clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StartedAt(pub u64);

/// One process of a backend, identified by the backend's id and the start time of the
/// process. Nodes pass it on as [`BackendIncarnation::name`]; nodes that do not know start
/// times treat that name as an ordinary id.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackendIncarnation {
    id: InstanceId,
    started_at: Option<StartedAt>,
}

/// Reason why a text is not a valid backend id for a [`BackendIncarnation`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InvalidIncarnation {
    /// The backend id is not a valid name.
    #[error(transparent)]
    Name(#[from] InvalidName),
    /// The backend id is too long, or contains the separator that marks a start time.
    #[error("an id has at most {MAX_BACKEND_ID_BYTES} bytes and no {SEPARATOR:?} in it")]
    Reserved,
}

impl BackendIncarnation {
    /// Creates the incarnation of the backend `id`. `started_at` is `None` if the backend
    /// does not report its start time.
    pub fn new(id: &str, started_at: Option<StartedAt>) -> Result<Self, InvalidIncarnation> {
        let id = InstanceId::new(id)?;
        if id.as_str().len() > MAX_BACKEND_ID_BYTES || id.as_str().contains(SEPARATOR) {
            return Err(InvalidIncarnation::Reserved);
        }
        Ok(Self { id, started_at })
    }

    /// Parses a name made by [`BackendIncarnation::name`]. A name without a start time
    /// becomes an id with unknown start time.
    pub fn from_name(name: &InstanceId) -> Self {
        let with_start = name
            .as_str()
            .rsplit_once(SEPARATOR)
            .and_then(|(id, started_at)| {
                let started_at = StartedAt(started_at.parse().ok()?);
                Self::new(id, Some(started_at)).ok()
            });
        with_start.unwrap_or_else(|| Self {
            id: name.clone(),
            started_at: None,
        })
    }

    /// Joins the id and the start time to one name. Any two incarnations that can be told
    /// apart have different names.
    pub fn name(&self) -> InstanceId {
        let Some(StartedAt(started_at)) = self.started_at else {
            return self.id.clone();
        };
        InstanceId::new(&format!("{}{SEPARATOR}{started_at}", self.id))
            .expect("a valid backend id with a start time is a valid name")
    }

    /// Id that the backend reports. A restarted backend may report the same id.
    pub fn id(&self) -> &InstanceId {
        &self.id
    }

    /// Start time of the backend process; `None` if the backend does not report it.
    pub fn started_at(&self) -> Option<StartedAt> {
        self.started_at
    }
}

impl fmt::Display for BackendIncarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.name().fmt(formatter)
    }
}
