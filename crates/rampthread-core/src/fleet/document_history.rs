//! The last states of the document, kept so that peers that lag get only what
//! has changed since the version that they hold.

use super::message::{Message, SharedBytes};
use crate::config::{ConfigState, StateDelta};
use crate::ids::Version;
use std::collections::VecDeque;
use std::sync::Arc;

/// States kept. They share the resources that did not change.
const KEPT_STATES: usize = 16;

/// The last states, oldest first.
#[derive(Debug, Default)]
pub struct DocumentHistory {
    states: VecDeque<Arc<ConfigState>>,
    /// What peers that hold the version were sent, up to the newest state. All
    /// that ask share one copy: many ask for the same within moments.
    answers: Vec<(Version, SharedBytes)>,
    /// Content digest of the newest state, once a delta has needed it.
    newest_digest: Option<String>,
}

impl DocumentHistory {
    /// Takes in a newer state.
    pub fn push(&mut self, state: Arc<ConfigState>) {
        self.answers.clear();
        self.newest_digest = None;
        self.states.push_back(state);
        if self.states.len() > KEPT_STATES {
            self.states.pop_front();
        }
    }

    /// The answer to a peer that holds `held`: what has changed since, or the
    /// whole state where that version is not kept any more. [`Version::ZERO`] asks
    /// for the whole state.
    pub fn answer(&mut self, held: Version) -> Message {
        let Some(newest) = self.states.back().cloned() else {
            return nothing_new(held);
        };
        if held >= newest.version() {
            return nothing_new(held);
        }
        if held == Version::ZERO {
            let snapshot = self.shared(held, || newest.encode_packed_snapshot());
            return Message::PullSnapshot { snapshot };
        }
        let base = self.states.iter().find(|state| state.version() == held);
        let Some(base) = base.cloned() else {
            return self.answer(Version::ZERO);
        };
        let digest = self
            .newest_digest
            .get_or_insert_with(|| newest.content_digest())
            .clone();
        let encode = || StateDelta::with_digest(&base, &newest, digest).encode();
        Message::PullEntries {
            first: held.next(),
            entries: vec![self.shared(held, encode)],
        }
    }

    /// The bytes for peers that hold `held`, made once for each newest state.
    fn shared(&mut self, held: Version, encode: impl FnOnce() -> Vec<u8>) -> SharedBytes {
        let known = self.answers.iter().find(|(version, _)| *version == held);
        if let Some((_, bytes)) = known {
            return bytes.clone();
        }
        let bytes: SharedBytes = encode().into();
        self.answers.push((held, bytes.clone()));
        bytes
    }
}

fn nothing_new(held: Version) -> Message {
    Message::PullEntries {
        first: held.next(),
        entries: Vec::new(),
    }
}
