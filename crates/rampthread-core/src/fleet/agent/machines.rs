//! Machine list of the platform, and drain and departure of this node.

use super::Agent;
use crate::fleet::action::{Action, Outbox};
use crate::fleet::member::Machine;
use crate::fleet::membership::Membership;
use crate::fleet::settings::ConfigSource;
use crate::time::Moment;

impl Agent {
    /// Replaces the platform's machine list. If the list marks this node as leaving, this
    /// node starts to drain.
    pub fn set_machines(&mut self, machines: &[Machine], now: Moment) -> Vec<Action> {
        let mut outbox = Outbox::default();
        self.update_machines(now, &mut outbox, |membership| {
            membership.set_machines(machines, now);
        });
        for machine in machines.iter().filter(|machine| machine.leaving) {
            if machine.id == self.identity.id {
                self.start_drain("machine list", &mut outbox);
            } else {
                self.notify_drain(&machine.id, &mut outbox);
            }
        }
        self.collect_actions(outbox)
    }

    /// Adds machines that are not known yet, without removing any.
    pub fn add_machines(&mut self, machines: &[Machine], now: Moment) -> Vec<Action> {
        let mut outbox = Outbox::default();
        self.update_machines(now, &mut outbox, |membership| {
            membership.add_machines(machines, now);
        });
        self.collect_actions(outbox)
    }

    /// Updates the known machines with `learn`. If this node had no peers before, it
    /// contacts some at once rather than with the next probe, and finds out whether it is a
    /// document watcher before it reads the document.
    fn update_machines(
        &mut self,
        now: Moment,
        outbox: &mut Outbox,
        learn: impl FnOnce(&mut Membership),
    ) {
        let alone = self.membership.reachable_peers().next().is_none();
        learn(&mut self.membership);
        if alone && self.settings.source == ConfigSource::Document {
            let held = self.adoption.version();
            self.membership
                .contact_first_peers(held, &self.settings, &mut self.rng, outbox);
            self.compare_with_several_peers(now, outbox);
            self.update_watcher_role(now, outbox);
        }
    }

    /// Stops accepting new calls for the local backend; `origin` names who requested it,
    /// for the log.
    pub fn drain(&mut self, origin: &str) -> Vec<Action> {
        let mut outbox = Outbox::default();
        self.start_drain(origin, &mut outbox);
        self.collect_actions(outbox)
    }

    /// Records whether the health checks of the local backend succeed.
    pub fn set_backend_up(&mut self, up: bool) {
        self.backend_up = up;
    }

    /// Releases the reader lease and announces the departure of this node, which is about
    /// to stop.
    pub fn leave(&mut self) -> Vec<Action> {
        let mut outbox = Outbox::default();
        self.reader.release(&mut outbox);
        self.membership.leave(&mut self.rng, &mut outbox);
        self.collect_actions(outbox)
    }
}
