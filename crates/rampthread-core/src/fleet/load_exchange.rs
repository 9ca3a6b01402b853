//! Exchange of load reports within and between zones.
//!
//! Each node reports to the aggregator of its zone, the first ready member in rendezvous order.
//! The aggregator sums up the reports, sends the sums to the first members of the other zones,
//! and sends the loads of all known zones to its own zone. So a node sends and receives one
//! message per interval whatever the size of the fleet, and only aggregators send across zones.
//!
//! Nothing is persisted: the data lost with an aggregator is sent again within an interval.
//! Members skip a silent aggregator before the membership detects its failure. A node without
//! anything to report sends nothing.

use super::action::Outbox;
use super::load::{LoadReport, ServiceLoad, TenantHash, TenantLoad, ZoneLoad};
use super::member::Status;
use super::membership::Membership;
use super::message::Message;
use crate::ids::{NodeId, ResourceName, Zone};
use crate::rendezvous;
use crate::time::Moment;
use std::collections::BTreeMap;
use std::time::Duration;

/// Minimum interval between the load messages that one node sends. The demand of callers changes
/// over seconds.
const MIN_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between load messages of one node, divided by the number of members of its zone. It
/// applies if the product exceeds [`MIN_INTERVAL`], and limits an aggregator to 125 reports per
/// second.
const INTERVAL_PER_MEMBER: Duration = Duration::from_millis(8);
/// Number of intervals for which a report is valid, and after which a silent aggregator is
/// skipped. Two consecutive messages may be lost.
const TIMEOUT_INTERVALS: u32 = 4;
/// Number of members of each other zone to which an aggregator sends the load of its zone. More
/// than one, since one may have failed unnoticed.
const RECEIVERS_PER_OTHER_ZONE: usize = 2;
/// Maximum number of tenants in a load message. Those with the highest request rates are
/// included.
pub const MAX_TENANTS: usize = 256;

/// Returns the interval between load messages of one node in a zone with `members` members.
pub fn load_interval(members: u32) -> Duration {
    MIN_INTERVAL.max(INTERVAL_PER_MEMBER * members)
}

/// A load report or a zone's load, with the time of its measurement by this node's clock.
#[derive(Debug, Clone)]
struct Timestamped<T> {
    /// Load report or load of a zone.
    value: T,
    /// Time of the measurement by this node's clock.
    at: Moment,
}

/// State of one node in the exchange of load reports.
#[derive(Debug, Default)]
pub struct LoadExchange {
    /// Latest report of this node about its own load.
    own: Option<Timestamped<LoadReport>>,
    /// Latest reports received from members of this zone.
    reports: BTreeMap<NodeId, Timestamped<LoadReport>>,
    /// Latest known load of each zone, this node's own included.
    zones: BTreeMap<Zone, Timestamped<ZoneLoad>>,
    /// Time at which this node sends its next load report or, as an aggregator, the zone loads.
    due: Moment,
    /// Members of each zone in rendezvous order, as of the member table's revision `ranked_at`.
    /// The first one is the aggregator.
    members_by_zone: BTreeMap<Zone, Vec<NodeId>>,
    ranked_at: Option<u64>,
    /// Number of silent members that this node skips when it selects the aggregator of its
    /// zone.
    skipped: usize,
    /// Since when the aggregator of this zone has been silent. `None` if this node has not
    /// reported to it yet.
    silent_since: Option<Moment>,
}

impl LoadExchange {
    /// Sets this node's own load report. It expires after some intervals unless it is set again.
    pub fn set_own_report(&mut self, report: LoadReport, now: Moment) {
        let report = LoadReport {
            tenants: highest_rates(report.tenants),
            ..report
        };
        self.own = Some(Timestamped {
            value: report,
            at: now,
        });
    }

    /// Returns the latest known load of each zone with its age.
    pub fn zones(&self, now: Moment) -> Vec<ZoneLoad> {
        let aged = |received: &Timestamped<ZoneLoad>| ZoneLoad {
            age: now.since(received.at),
            ..received.value.clone()
        };
        self.zones.values().map(aged).collect()
    }

    /// Sends load messages once per interval: this node's report to the aggregator or, if this
    /// node is the aggregator, the sums of the reports to the other nodes.
    pub fn tick(&mut self, now: Moment, membership: &Membership, outbox: &mut Outbox) {
        if now < self.due {
            return;
        }
        self.update_member_order(membership);
        let zone = membership.me().zone.clone();
        let interval = self.message_interval(&zone);
        self.due = now + interval;
        self.expire_reports(now, interval * TIMEOUT_INTERVALS);
        if self.own.is_none() && self.reports.is_empty() {
            self.silent_since = None;
            return;
        }
        self.skip_silent(now, &zone, interval * TIMEOUT_INTERVALS);
        let me = &membership.me().id;
        match self.aggregator(&zone).cloned() {
            Some(aggregator) if aggregator != *me => self.report_to(&aggregator, now, outbox),
            _ => self.publish_zone_loads(&zone, me, now, outbox),
        }
    }

    /// Sends a report to the aggregator. It includes reports received from members that
    /// consider the aggregator failed; two aggregators would each publish only a part of the
    /// zone's load.
    fn report_to(&mut self, aggregator: &NodeId, now: Moment, outbox: &mut Outbox) {
        self.silent_since.get_or_insert(now);
        let report = match &self.own {
            Some(own) if self.reports.is_empty() => own.value.clone(),
            _ => self.sum_reports(),
        };
        outbox.send(aggregator, Message::LoadReport(report));
    }

    /// Stores the load report of a member of this zone.
    pub fn on_report(
        &mut self,
        from: &NodeId,
        report: LoadReport,
        now: Moment,
        membership: &Membership,
    ) {
        let same_zone = membership
            .record(from)
            .is_some_and(|record| record.zone == membership.me().zone);
        if same_zone {
            let received = Timestamped {
                value: report,
                at: now,
            };
            self.reports.insert(from.clone(), received);
        }
    }

    /// Stores the loads sent by an aggregator. Of two loads of one zone the newer one is kept.
    pub fn on_zones(
        &mut self,
        from: &NodeId,
        zones: Vec<ZoneLoad>,
        now: Moment,
        membership: &Membership,
    ) {
        let Some(record) = membership.record(from) else {
            return;
        };
        if record.zone == membership.me().zone {
            self.on_aggregator_message(from, &record.zone, now);
        }
        for zone in zones {
            let known = membership
                .records()
                .any(|record| record.zone == zone.zone && record.reachable());
            let at = Moment(now.0.saturating_sub(zone.age.as_micros() as u64));
            let newer = self.zones.get(&zone.zone).is_none_or(|held| held.at < at);
            if known && newer {
                let received = Timestamped { value: zone, at };
                self.zones.insert(received.value.zone.clone(), received);
            }
        }
    }

    /// Handles a message of an aggregator of this zone. A member ranked before the current
    /// aggregator becomes the aggregator again; lower-ranked ones are ignored.
    fn on_aggregator_message(&mut self, from: &NodeId, zone: &Zone, now: Moment) {
        let order = self.members_by_zone.get(zone);
        let place = order.and_then(|order| order.iter().position(|member| member == from));
        if let Some(place) = place.filter(|place| *place <= self.skipped) {
            self.skipped = place;
            self.silent_since = self.silent_since.map(|_| now);
        }
    }

    /// Recomputes the rendezvous order of the members in each zone if the member table has
    /// changed.
    fn update_member_order(&mut self, membership: &Membership) {
        if self.ranked_at == Some(membership.revision()) {
            return;
        }
        let mut members: BTreeMap<Zone, Vec<NodeId>> = BTreeMap::new();
        let me = membership.me();
        let ready = membership
            .records()
            .filter(|record| record.reachable() && record.conditions.ready && record.id != me.id);
        for record in ready.chain([me]) {
            let zone = members.entry(record.zone.clone()).or_default();
            zone.push(record.id.clone());
        }
        let is_present = |zone: &Zone| {
            let mut records = membership.records();
            records.any(|record| record.zone == *zone && record.status != Status::Left)
        };
        self.zones.retain(|zone, _| is_present(zone));
        let before = self.aggregator(&me.zone).cloned();
        self.members_by_zone = members
            .into_iter()
            .map(|(zone, members)| {
                let order = rendezvous::order(zone.as_str(), members);
                (zone, order)
            })
            .collect();
        self.ranked_at = Some(membership.revision());
        if self.aggregator(&me.zone) != before.as_ref() {
            self.skipped = 0;
            self.silent_since = None;
        }
    }

    /// Returns the member that holds the token pool of `zone`, this node's zone, if any is known:
    /// the zone's aggregator, or the member after it if the aggregator is `avoided`.
    pub fn pool_holder(&self, zone: &Zone, avoided: Option<&NodeId>) -> Option<&NodeId> {
        let order = self.members_by_zone.get(zone)?;
        let mut from_aggregator = order.iter().skip(self.skipped);
        from_aggregator.find(|member| Some(*member) != avoided)
    }

    /// Returns the members that hold the token pools of the zones other than `zone`.
    pub fn pool_holders_of_other_zones(&self, zone: &Zone) -> impl Iterator<Item = &NodeId> {
        let others = self.members_by_zone.iter();
        others
            .filter(move |(other, _)| *other != zone)
            .filter_map(|(_, order)| order.first())
    }

    /// Returns the member that currently aggregates the loads of `zone`, if any is known.
    fn aggregator(&self, zone: &Zone) -> Option<&NodeId> {
        let order = self.members_by_zone.get(zone)?;
        order.get(self.skipped)
    }

    /// Returns the interval between load messages, which depends on the number of members in
    /// `zone`.
    fn message_interval(&self, zone: &Zone) -> Duration {
        let members = self.members_by_zone.get(zone).map_or(1, Vec::len) as u32;
        load_interval(members)
    }

    /// Removes reports that are older than `ttl`.
    fn expire_reports(&mut self, now: Moment, ttl: Duration) {
        self.reports.retain(|_, report| now.since(report.at) < ttl);
        if self
            .own
            .as_ref()
            .is_some_and(|own| now.since(own.at) >= ttl)
        {
            self.own = None;
        }
    }

    /// Skips the aggregator of this zone if it has been silent for `timeout`.
    fn skip_silent(&mut self, now: Moment, zone: &Zone, timeout: Duration) {
        let silent = self
            .silent_since
            .is_some_and(|since| now.since(since) >= timeout);
        if silent && self.members_by_zone.contains_key(zone) {
            self.skipped += 1;
            self.silent_since = None;
        }
    }

    /// Sends the load of this zone to other zones, and the loads of all zones to this one.
    fn publish_zone_loads(&mut self, zone: &Zone, me: &NodeId, now: Moment, outbox: &mut Outbox) {
        let sum = self.sum_reports();
        let load = ZoneLoad {
            zone: zone.clone(),
            age: Duration::ZERO,
            nodes: sum.nodes,
            services: sum.services,
            tenants: sum.tenants,
        };
        let received = Timestamped {
            value: load,
            at: now,
        };
        self.zones.insert(zone.clone(), received.clone());
        for (other, order) in &self.members_by_zone {
            if other == zone {
                continue;
            }
            for receiver in order.iter().take(RECEIVERS_PER_OTHER_ZONE) {
                outbox.send(receiver, Message::ZoneLoads(vec![received.value.clone()]));
            }
        }
        let all = self.zones(now);
        let members = self.members_by_zone.get(zone).into_iter().flatten();
        for member in members.filter(|member| *member != me) {
            outbox.send(member, Message::ZoneLoads(all.clone()));
        }
    }

    /// Sums up this node's own report and the reports received from members.
    fn sum_reports(&self) -> LoadReport {
        let mut services: BTreeMap<&ResourceName, ServiceLoad> = BTreeMap::new();
        let mut tenants: BTreeMap<TenantHash, TenantLoad> = BTreeMap::new();
        let mut period = Duration::ZERO;
        let mut nodes: u32 = 0;
        for report in self.reports.values().chain(&self.own) {
            period = period.max(report.value.period);
            nodes = nodes.saturating_add(report.value.nodes);
            for load in &report.value.services {
                let sum = services
                    .entry(&load.service)
                    .or_insert_with(|| ServiceLoad::zero(load.service.clone()));
                sum.add(load);
            }
            for load in &report.value.tenants {
                let sum = tenants
                    .entry(load.tenant)
                    .or_insert_with(|| TenantLoad::zero(load.tenant));
                sum.add(load);
            }
        }
        LoadReport {
            nodes,
            period,
            services: services.into_values().collect(),
            tenants: highest_rates(tenants.into_values().collect()),
        }
    }
}

/// Keeps the [`MAX_TENANTS`] tenants with the highest request rates.
fn highest_rates(mut loads: Vec<TenantLoad>) -> Vec<TenantLoad> {
    loads.sort_by_key(|load| std::cmp::Reverse(load.requested_millirps));
    loads.truncate(MAX_TENANTS);
    loads
}
