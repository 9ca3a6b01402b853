//! Conditions of this node that its member record announces to peers (log reader, draining,
//! ready, backend up), and the start of a drain.

use super::Agent;
use crate::fleet::action::{Action, Decision, Outbox};
use crate::fleet::member::Conditions;
use crate::fleet::message::Message;
use crate::fleet::settings::ConfigSource;
use crate::ids::NodeId;
use crate::time::Moment;

impl Agent {
    /// Announces that this node accepts no new calls for its backend, and logs `origin`,
    /// the cause of the drain. Does nothing while the node is draining.
    pub(super) fn start_drain(&mut self, origin: &str, outbox: &mut Outbox) {
        if self.draining {
            return;
        }
        self.draining = true;
        self.membership
            .announce(self.conditions(), self.endpoint.as_ref());
        outbox.log_decision(Decision::DrainStarted {
            origin: origin.to_string(),
        });
        outbox.actions.push(Action::StartDrain);
    }

    /// Notifies the node `id`, which the machine list marks as leaving, that it must drain.
    /// A log reader may see the machine list before that node does.
    pub(super) fn notify_drain(&mut self, id: &NodeId, outbox: &mut Outbox) {
        let knows = self
            .membership
            .record(id)
            .is_none_or(|record| record.conditions.draining || !record.reachable());
        if !knows && self.membership.me().conditions.reader {
            outbox.send(id, Message::Drain);
        }
    }

    /// Current conditions of this node, with the log reader condition as last announced.
    pub(super) fn conditions(&self) -> Conditions {
        Conditions {
            reader: self.membership.me().conditions.reader,
            draining: self.draining,
            ready: self.ready,
            backend_up: self.backend_up,
        }
    }

    /// Updates this node's own member record, which peers receive by gossip.
    pub(super) fn announce(&mut self, now: Moment) {
        let reader = match self.settings.source {
            ConfigSource::ChangeLog => self.reader.holds_lease(now),
            ConfigSource::Document => {
                self.store_watch.is_reachable(now) && self.has_fast_store_link()
            }
        };
        let conditions = Conditions {
            reader,
            ..self.conditions()
        };
        self.membership.announce(conditions, self.endpoint.as_ref());
    }
}
