//! Who waits at the store for a new document, and whether the store answers this
//! node.

use super::action::{Decision, Outbox};
use super::member::Status;
use super::membership::Membership;
use super::settings::FleetSettings;
use crate::ids::NodeId;
use crate::rendezvous;
use crate::time::Moment;
use std::time::Duration;

/// Key of the rendezvous order of those that watch the document.
const WATCHERS_KEY: &str = "document watchers";
/// Nodes that watch the document even if it reaches them slowly: a storm of
/// versions fills their links, so no more than are needed when one or two fail.
const LEAST_WATCHERS: usize = 4;

/// The watchers of the document as this node sees them, and its own part.
#[derive(Debug)]
pub struct StoreWatch {
    /// This node is one of them; as of `revision` of the member table.
    chosen: bool,
    revision: u64,
    /// The store answered the last call.
    answers: bool,
    answered_at: Option<Moment>,
}

impl Default for StoreWatch {
    fn default() -> Self {
        Self {
            // A node that knows no other is the only one that can watch.
            chosen: true,
            revision: 0,
            answers: false,
            answered_at: None,
        }
    }
}

impl StoreWatch {
    /// True when this node is one of the few that wait at the store.
    pub fn is_chosen(&self) -> bool {
        self.chosen
    }

    /// True when the choice was made from the present member table.
    pub fn is_current(&self, membership: &Membership) -> bool {
        self.revision == membership.revision()
    }

    /// True when the store answered this node's last call.
    pub fn answers(&self) -> bool {
        self.answers
    }

    /// Time since the store last answered this node for the document.
    pub fn answer_age(&self, now: Moment) -> Option<Duration> {
        self.answered_at.map(|answered| now.since(answered))
    }

    /// Notes whether the store answered this node's last call.
    pub fn note(&mut self, answers: bool, now: Moment) {
        self.answers = answers;
        if answers {
            self.answered_at = Some(now);
        }
    }

    /// Chooses the watchers again if the member table has changed.
    pub fn choose(
        &mut self,
        membership: &Membership,
        settings: &FleetSettings,
        outbox: &mut Outbox,
    ) {
        if self.is_current(membership) {
            return;
        }
        self.revision = membership.revision();
        let watchers = watchers(membership, settings);
        let chosen = watchers.contains(&membership.me().id);
        if chosen == self.chosen {
            return;
        }
        self.chosen = chosen;
        let watchers = watchers.len();
        outbox.explain(match chosen {
            true => Decision::WatchBegun { watchers },
            false => Decision::WatchEnded {
                store_answers: self.answers,
                watchers,
            },
        });
    }
}

/// Those that the store answers come first, spread over the zones.
fn watchers(membership: &Membership, settings: &FleetSettings) -> Vec<NodeId> {
    let alive = |wanted: bool| {
        membership
            .records()
            .filter(|record| record.status == Status::Alive)
            .filter(move |record| record.conditions.reader == wanted)
            .map(|record| (record.id.clone(), record.zone.clone()))
    };
    let count = settings.document_watchers;
    let mut watchers = rendezvous::spread(WATCHERS_KEY, alive(true), count);
    let missing = LEAST_WATCHERS.min(count).saturating_sub(watchers.len());
    watchers.extend(rendezvous::spread(WATCHERS_KEY, alive(false), missing));
    watchers
}
