//! Which machines the member table has rows for.

use super::Membership;
use super::member_entry::Member;
use crate::fleet::member::Machine;
use crate::ids::NodeId;
use crate::time::Moment;
use std::collections::BTreeSet;
use std::time::Duration;

/// A member that is neither listed nor alive is forgotten after this time.
const FORGET_AFTER: Duration = Duration::from_secs(600);

impl Membership {
    /// Since when a member gets no messages any more; none while it does.
    pub fn unreachable_since(&self, id: &NodeId) -> Option<Moment> {
        let member = self.members.get(id)?;
        (!member.record.reachable()).then_some(member.since)
    }

    /// Machines seen in the settings or the platform's list.
    pub fn list_machines(&mut self, machines: &[Machine], now: Moment) {
        let listed: BTreeSet<&NodeId> = machines.iter().map(|machine| &machine.id).collect();
        for (id, member) in &mut self.members {
            member.listed = listed.contains(id);
        }
        self.add_machines(machines, now);
    }

    /// Machines seen besides those that are known.
    pub fn add_machines(&mut self, machines: &[Machine], now: Moment) {
        for machine in machines {
            if machine.id == self.me.id {
                continue;
            }
            let known = self.members.entry(machine.id.clone());
            known.or_insert_with(|| Member::listed(machine, now)).listed = true;
            self.meet_zone(&machine.zone);
        }
        self.count_zone();
        self.refresh_digest();
    }

    pub(super) fn forget_unlisted(&mut self, now: Moment) {
        self.members.retain(|_, member| {
            member.listed || member.record.reachable() || now.since(member.since) < FORGET_AFTER
        });
        self.count_zone();
    }
}
