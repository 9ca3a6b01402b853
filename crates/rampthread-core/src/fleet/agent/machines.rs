//! Which machines there are, and what the platform says of this node's own.

use super::Agent;
use crate::fleet::action::{Action, Outbox};
use crate::fleet::member::Machine;
use crate::fleet::membership::Membership;
use crate::fleet::settings::ConfigSource;
use crate::time::Moment;

impl Agent {
    /// Takes the platform's machine list.
    pub fn list_machines(&mut self, machines: &[Machine], now: Moment) -> Vec<Action> {
        let mut outbox = Outbox::default();
        self.learn_machines(now, &mut outbox, |membership| {
            membership.list_machines(machines, now);
        });
        for machine in machines.iter().filter(|machine| machine.leaving) {
            if machine.id == self.identity.id {
                self.start_drain("machine list", &mut outbox);
            } else {
                self.pass_on_drain(&machine.id, &mut outbox);
            }
        }
        self.finish(outbox)
    }

    /// Takes machines that are not known yet.
    pub fn add_machines(&mut self, machines: &[Machine], now: Moment) -> Vec<Action> {
        let mut outbox = Outbox::default();
        self.learn_machines(now, &mut outbox, |membership| {
            membership.add_machines(machines, now);
        });
        self.finish(outbox)
    }

    /// A node that knew nobody asks at once what others hold; a probe comes later. It also
    /// finds out at once that it need not watch the document, before it reads that.
    fn learn_machines(
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
                .greet(held, &self.settings, &mut self.rng, outbox);
            self.compare_with_several(now, outbox);
            self.tend_watch(now, outbox);
        }
    }

    /// Stops new work for the back end.
    pub fn drain(&mut self, origin: &str) -> Vec<Action> {
        let mut outbox = Outbox::default();
        self.start_drain(origin, &mut outbox);
        self.finish(outbox)
    }

    /// Takes what the back end's own probe says.
    pub fn backend_answers(&mut self, up: bool) {
        self.backend_up = up;
    }

    /// Says goodbye: gives the lease back and announces the departure.
    pub fn leave(&mut self) -> Vec<Action> {
        let mut outbox = Outbox::default();
        self.reader.release(&mut outbox);
        self.membership.leave(&mut self.rng, &mut outbox);
        self.finish(outbox)
    }
}
