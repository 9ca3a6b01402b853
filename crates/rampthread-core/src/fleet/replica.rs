//! The log entries that this node knows, and the state they lead to.
//!
//! Invariant: `staged` is the state after all entries up to its version, in
//! order; it never moves to a lower version.

use super::message::SharedBytes;
use crate::config::{ConfigState, SnapshotError};
use crate::ids::Version;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Entries that arrived ahead of a gap, at most.
const MAX_AHEAD: usize = 256;

/// This node's copy of the change log.
#[derive(Debug)]
pub struct Replica {
    staged: Arc<ConfigState>,
    /// Entries at or below the staged version, kept for peers that lag.
    kept: BTreeMap<Version, SharedBytes>,
    /// Entries above a gap.
    ahead: BTreeMap<Version, SharedBytes>,
    kept_limit: usize,
    /// Highest version that any message or store answer has named.
    newest_heard: Version,
}

impl Replica {
    /// An empty copy that keeps `kept_limit` entries for others.
    pub fn new(kept_limit: usize) -> Self {
        Self {
            staged: Arc::new(ConfigState::default()),
            kept: BTreeMap::new(),
            ahead: BTreeMap::new(),
            kept_limit,
            newest_heard: Version::ZERO,
        }
    }

    /// The state after all known entries.
    pub fn staged(&self) -> &Arc<ConfigState> {
        &self.staged
    }

    /// Version of [`Replica::staged`].
    pub fn version(&self) -> Version {
        self.staged.version()
    }

    /// True while a version is known to exist that this node lacks.
    pub fn lags(&self) -> bool {
        self.newest_heard > self.version()
    }

    /// Notes that `version` exists.
    pub fn hear(&mut self, version: Version) {
        self.newest_heard = self.newest_heard.max(version);
    }

    /// Takes in one entry; returns the states that it leads to, in order.
    pub fn insert(&mut self, version: Version, entry: SharedBytes) -> Vec<Arc<ConfigState>> {
        self.hear(version);
        if version <= self.version() {
            return Vec::new();
        }
        if self.ahead.len() < MAX_AHEAD || version == self.version().next() {
            self.ahead.insert(version, entry);
        }
        let mut states = Vec::new();
        while let Some(entry) = self.ahead.remove(&self.version().next()) {
            self.staged = Arc::new(self.staged.apply(&entry));
            self.keep(self.staged.version(), entry);
            states.push(self.staged.clone());
        }
        states
    }

    fn keep(&mut self, version: Version, entry: SharedBytes) {
        self.kept.insert(version, entry);
        while self.kept.len() > self.kept_limit {
            self.kept.pop_first();
        }
    }

    /// Takes over a whole state that lies ahead; returns it if it did.
    pub fn replace(&mut self, state: Arc<ConfigState>) -> Option<Arc<ConfigState>> {
        if state.version() <= self.version() {
            return None;
        }
        self.hear(state.version());
        let state = Arc::unwrap_or_clone(state).sharing_with(&self.staged);
        self.staged = Arc::new(state);
        self.kept.clear();
        let version = self.version();
        self.ahead.retain(|slot, _| *slot > version);
        Some(self.staged.clone())
    }

    /// Takes over a snapshot that lies ahead; returns the state if it did.
    pub fn restore(&mut self, snapshot: &[u8]) -> Result<Option<Arc<ConfigState>>, SnapshotError> {
        let state = ConfigState::decode_snapshot(snapshot)?;
        Ok(self.replace(Arc::new(state)))
    }

    /// The entries after `held`, at most `limit_bytes` of them; none when they
    /// are no longer kept.
    pub fn entries_after(&self, held: Version, limit_bytes: usize) -> Option<Vec<SharedBytes>> {
        if held >= self.version() {
            return Some(Vec::new());
        }
        if !self.kept.contains_key(&held.next()) {
            return None;
        }
        let mut bytes = 0;
        let mut entries = Vec::new();
        for entry in self.kept.range(held.next()..).map(|(_, entry)| entry) {
            bytes += entry.len();
            if !entries.is_empty() && bytes > limit_bytes {
                break;
            }
            entries.push(entry.clone());
        }
        Some(entries)
    }

    /// The entry of one version, if it is kept.
    pub fn entry(&self, version: Version) -> Option<&SharedBytes> {
        self.kept.get(&version)
    }
}
