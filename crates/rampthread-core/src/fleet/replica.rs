//! Known log entries and the configuration that they lead to.
//!
//! Invariant: `staged` is the configuration after all entries up to its version, in order. Its
//! version never decreases.

use super::message::SharedBytes;
use crate::config::{ConfigState, SnapshotError};
use crate::ids::Version;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Maximum number of log entries kept while an entry before them is missing.
const MAX_ENTRIES_AHEAD: usize = 256;

/// This node's copy of the configuration log.
#[derive(Debug)]
pub struct LogReplica {
    staged: Arc<ConfigState>,
    /// Entries up to the staged version, kept for lagging peers.
    retained: BTreeMap<Version, SharedBytes>,
    /// Log entries that cannot be applied yet, since an entry before them is missing.
    ahead: BTreeMap<Version, SharedBytes>,
    max_retained: usize,
    /// Highest version that this node has received or that a peer or the store has named.
    newest_known: Version,
}

impl LogReplica {
    /// Creates an empty copy of the log that retains up to `max_retained` entries for peers.
    pub fn new(max_retained: usize) -> Self {
        Self {
            staged: Arc::new(ConfigState::default()),
            retained: BTreeMap::new(),
            ahead: BTreeMap::new(),
            max_retained,
            newest_known: Version::ZERO,
        }
    }

    /// Returns the configuration after all entries that arrived without a gap.
    pub fn staged(&self) -> &Arc<ConfigState> {
        &self.staged
    }

    /// Returns the version of the staged configuration.
    pub fn version(&self) -> Version {
        self.staged.version()
    }

    /// Returns true if a version is known to exist that this node does not have yet.
    pub fn is_behind(&self) -> bool {
        self.newest_known > self.version()
    }

    /// Records that `version` exists, so that this node pulls it if it is newer.
    pub fn observe_version(&mut self, version: Version) {
        self.newest_known = self.newest_known.max(version);
    }

    /// Inserts an entry and returns the resulting states in order. There may be none or
    /// several, depending on gaps.
    pub fn insert(&mut self, version: Version, entry: SharedBytes) -> Vec<Arc<ConfigState>> {
        self.observe_version(version);
        if version <= self.version() {
            return Vec::new();
        }
        if self.ahead.len() < MAX_ENTRIES_AHEAD || version == self.version().next() {
            self.ahead.insert(version, entry);
        }
        let mut states = Vec::new();
        while let Some(entry) = self.ahead.remove(&self.version().next()) {
            self.staged = Arc::new(self.staged.apply(&entry));
            self.retain_entry(self.staged.version(), entry);
            states.push(self.staged.clone());
        }
        states
    }

    /// Retains an applied entry for peers. Removes the oldest ones beyond the limit.
    fn retain_entry(&mut self, version: Version, entry: SharedBytes) {
        self.retained.insert(version, entry);
        while self.retained.len() > self.max_retained {
            self.retained.pop_first();
        }
    }

    /// Replaces the staged configuration with a newer one. Returns `None` if `state` is not
    /// newer.
    pub fn replace(&mut self, state: Arc<ConfigState>) -> Option<Arc<ConfigState>> {
        if state.version() <= self.version() {
            return None;
        }
        self.observe_version(state.version());
        let state = Arc::unwrap_or_clone(state).share_unchanged_resources(&self.staged);
        self.staged = Arc::new(state);
        self.retained.clear();
        let version = self.version();
        self.ahead.retain(|slot, _| *slot > version);
        Some(self.staged.clone())
    }

    /// Decodes a snapshot and replaces the staged configuration with it. Returns `None` if the
    /// snapshot is not newer.
    pub fn restore(&mut self, snapshot: &[u8]) -> Result<Option<Arc<ConfigState>>, SnapshotError> {
        let state = ConfigState::decode_snapshot(snapshot)?;
        Ok(self.replace(Arc::new(state)))
    }

    /// Returns the encoded entries after version `held`, up to `limit_bytes` but at least one.
    /// Returns `None` if they are no longer retained.
    pub fn entries_after(&self, held: Version, limit_bytes: usize) -> Option<Vec<SharedBytes>> {
        if held >= self.version() {
            return Some(Vec::new());
        }
        if !self.retained.contains_key(&held.next()) {
            return None;
        }
        let mut bytes = 0;
        let mut entries = Vec::new();
        for entry in self.retained.range(held.next()..).map(|(_, entry)| entry) {
            bytes += entry.len();
            if !entries.is_empty() && bytes > limit_bytes {
                break;
            }
            entries.push(entry.clone());
        }
        Some(entries)
    }

    /// Returns the encoded entry of a version if it is still retained.
    pub fn entry(&self, version: Version) -> Option<&SharedBytes> {
        self.retained.get(&version)
    }
}
