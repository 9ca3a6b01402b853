//! Recent states of the document, so that lagging peers get only the difference to their
//! version.

use super::message::{Message, SharedBytes};
use crate::config::{ConfigState, StateDelta};
use crate::ids::Version;
use std::collections::VecDeque;
use std::sync::Arc;

/// Number of document states kept. The states share the resources that did not change between
/// them.
const KEPT_STATES: usize = 16;

/// The newest states of the configuration document, oldest first. Replies to lagging peers are
/// made from them.
#[derive(Debug, Default)]
pub struct DocumentHistory {
    states: VecDeque<Arc<ConfigState>>,
    /// Encoded replies by the version of the requesting peer, valid for the newest state. Many
    /// peers request the difference to the same version at about the same time, so they share
    /// one copy of the reply.
    encoded_replies: Vec<(Version, SharedBytes)>,
    /// Content digest of the newest state, computed when a delta first needs it.
    newest_digest: Option<String>,
}

impl DocumentHistory {
    /// Adds a newer state of the document.
    pub fn push(&mut self, state: Arc<ConfigState>) {
        self.encoded_replies.clear();
        self.newest_digest = None;
        self.states.push_back(state);
        if self.states.len() > KEPT_STATES {
            self.states.pop_front();
        }
    }

    /// Returns the reply to a peer that holds `held`: the delta to the newest state, or the
    /// full state if that version is no longer kept. [`Version::ZERO`] requests the full state.
    pub fn answer(&mut self, held: Version) -> Message {
        let Some(newest) = self.states.back().cloned() else {
            return empty_pull_reply(held);
        };
        if held >= newest.version() {
            return empty_pull_reply(held);
        }
        if held == Version::ZERO {
            let snapshot = self.shared_reply(held, || newest.encode_compressed_snapshot());
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
            entries: vec![self.shared_reply(held, encode)],
        }
    }

    /// Returns the encoded reply for peers that hold version `held`. It is encoded once and
    /// reused until a newer state of the document arrives.
    fn shared_reply(&mut self, held: Version, encode: impl FnOnce() -> Vec<u8>) -> SharedBytes {
        let known = self
            .encoded_replies
            .iter()
            .find(|(version, _)| *version == held);
        if let Some((_, bytes)) = known {
            return bytes.clone();
        }
        let bytes: SharedBytes = encode().into();
        self.encoded_replies.push((held, bytes.clone()));
        bytes
    }
}

/// Returns the reply to a peer whose version is not older than the newest one known here.
fn empty_pull_reply(held: Version) -> Message {
    Message::PullEntries {
        first: held.next(),
        entries: Vec::new(),
    }
}
