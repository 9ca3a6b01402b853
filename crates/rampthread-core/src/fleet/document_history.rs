//! The last states of the document, kept so that peers that lag get only what
//! has changed since the version that they hold.

use super::message::{Message, SharedBytes};
use crate::config::{ConfigState, StateDelta};
use crate::ids::Version;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// States kept. They share the resources that did not change.
const KEPT_STATES: usize = 16;
/// Largest delta that goes to a peer, in bytes. A larger one is read from the
/// store, whose link is wider than a node's.
const MAX_DELTA_BYTES: usize = 16 * 1024;
/// Pause that a peer is asked for before it wants the whole state from a node.
pub const WHOLE_STATE_PAUSE: Duration = Duration::from_secs(1);

/// The last states, oldest first.
#[derive(Debug, Default)]
pub struct DocumentHistory {
    states: VecDeque<Arc<ConfigState>>,
}

impl DocumentHistory {
    /// Takes in a newer state.
    pub fn push(&mut self, state: Arc<ConfigState>) {
        self.states.push_back(state);
        if self.states.len() > KEPT_STATES {
            self.states.pop_front();
        }
    }

    /// The answer to a peer that holds `held`; [`Version::ZERO`] asks for the
    /// whole state.
    pub fn answer(&self, held: Version) -> Message {
        let Some(newest) = self.states.back() else {
            return nothing_new(held);
        };
        if held >= newest.version() {
            return nothing_new(held);
        }
        if held == Version::ZERO {
            let snapshot = newest.encode_snapshot().into();
            return Message::PullSnapshot { snapshot };
        }
        match self.delta_from(held) {
            Some(delta) if delta.len() <= MAX_DELTA_BYTES => Message::PullEntries {
                first: held.next(),
                entries: vec![delta],
            },
            _ => Message::PullRefused {
                retry_after: WHOLE_STATE_PAUSE,
                instead: None,
            },
        }
    }

    fn delta_from(&self, held: Version) -> Option<SharedBytes> {
        let newest = self.states.back()?;
        let base = self.states.iter().find(|state| state.version() == held)?;
        Some(StateDelta::between(base, newest).encode().into())
    }
}

fn nothing_new(held: Version) -> Message {
    Message::PullEntries {
        first: held.next(),
        entries: Vec::new(),
    }
}
