//! Which start of a back end is meant. A back end may keep its id over a restart; then
//! only the time of its start, `started_at`, tells the two apart.

use crate::ids::{InstanceId, InvalidName};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Stands between the id and the start in [`BackendIncarnation::name`].
const SEPARATOR: &str = "..";
/// Longest id that a back end may give itself, in bytes: with the separator and the
/// most digits of a start it still makes a name.
pub const MAX_BACKEND_ID_BYTES: usize = InstanceId::MAX_BYTES - SEPARATOR.len() - MAX_START_DIGITS;
/// Decimal digits of the largest `u64`.
const MAX_START_DIGITS: usize = 20;

/// When a back end started, in Unix milliseconds by its own clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StartedAt(pub u64);

/// One start of a back end. Nodes pass it on under [`BackendIncarnation::name`], which
/// nodes that know nothing of starts take for an id like any other: to them every start
/// has an id of its own.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackendIncarnation {
    id: InstanceId,
    started_at: Option<StartedAt>,
}

/// Why an id cannot be one of a back end.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InvalidIncarnation {
    /// It is no name.
    #[error(transparent)]
    Name(#[from] InvalidName),
    /// It could not be told from an id with a start.
    #[error("an id has at most {MAX_BACKEND_ID_BYTES} bytes and no {SEPARATOR:?} in it")]
    Reserved,
}

impl BackendIncarnation {
    /// The back end that calls itself `id` and started at `started_at`, if it says so.
    pub fn new(id: &str, started_at: Option<StartedAt>) -> Result<Self, InvalidIncarnation> {
        let id = InstanceId::new(id)?;
        if id.as_str().len() > MAX_BACKEND_ID_BYTES || id.as_str().contains(SEPARATOR) {
            return Err(InvalidIncarnation::Reserved);
        }
        Ok(Self { id, started_at })
    }

    /// The incarnation of this name. A name without a start is an id whose start is
    /// unknown.
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

    /// One name for both, different for any two incarnations that can be told apart.
    pub fn name(&self) -> InstanceId {
        let Some(StartedAt(started_at)) = self.started_at else {
            return self.id.clone();
        };
        InstanceId::new(&format!("{}{SEPARATOR}{started_at}", self.id))
            .expect("a checked id and a number make a name")
    }

    /// What the back end calls itself; several starts may share it.
    pub fn id(&self) -> &InstanceId {
        &self.id
    }

    /// When it started, if it says so.
    pub fn started_at(&self) -> Option<StartedAt> {
        self.started_at
    }
}

impl fmt::Display for BackendIncarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.name().fmt(formatter)
    }
}
