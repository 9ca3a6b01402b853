//! Members known from the platform's list of machines or from the settings.

use super::Membership;
use super::member_entry::MemberEntry;
use crate::fleet::member::Machine;
use crate::ids::NodeId;
use crate::time::Moment;
use std::collections::BTreeSet;
use std::time::Duration;

/// Time after which a dead member that neither the settings nor the platform's list of machines
/// name is removed from the table.
const UNLISTED_RETENTION: Duration = Duration::from_secs(600);

impl Membership {
    /// Returns since when a member is unreachable, or `None` if it is reachable.
    pub fn unreachable_since(&self, id: &NodeId) -> Option<Moment> {
        let member = self.members.get(id)?;
        (!member.record.reachable()).then_some(member.since)
    }

    /// Replaces the machines named by the settings or the platform's list. Members that are no
    /// longer named are removed after a while if they are dead.
    pub fn set_machines(&mut self, machines: &[Machine], now: Moment) {
        let listed: BTreeSet<&NodeId> = machines.iter().map(|machine| &machine.id).collect();
        for (id, member) in &mut self.members {
            member.listed = listed.contains(id);
        }
        self.add_machines(machines, now);
    }

    /// Adds machines to those named by the settings or the platform's list.
    pub fn add_machines(&mut self, machines: &[Machine], now: Moment) {
        for machine in machines {
            if machine.id == self.me.id {
                continue;
            }
            let known = self.members.entry(machine.id.clone());
            known
                .or_insert_with(|| MemberEntry::listed(machine, now))
                .listed = true;
            self.discover_zone(&machine.zone);
        }
        self.recount_zone();
        self.refresh_digest();
    }

    pub(super) fn remove_unlisted(&mut self, now: Moment) {
        self.members.retain(|_, member| {
            member.listed
                || member.record.reachable()
                || now.since(member.since) < UNLISTED_RETENTION
        });
        self.recount_zone();
    }
}
