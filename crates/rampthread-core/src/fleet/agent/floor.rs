//! Restart floor: the lowest version that a restarted node may activate, so that it never
//! goes back behind a version it activated before the restart. The node activates nothing
//! until the restart floor is known.
//!
//! Two queries run in parallel, and the first answer counts: the head of the change log,
//! read after this process asked for it, and the records of witness nodes (peers that
//! record which version this node holds).

use super::{Agent, Defect};
use crate::fleet::action::{Decision, FloorSource, Outbox};
use crate::fleet::message::Message;
use crate::fleet::witness::FloorStatus;
use crate::ids::Version;
use crate::time::Moment;
use rand::Rng;

impl Agent {
    /// Sends the queries for the restart floor, and repeats them until the restart floor is
    /// known.
    pub(super) fn request_floor(&mut self, now: Moment, outbox: &mut Outbox) {
        if self.floor.is_some() || now < self.next_floor_query {
            return;
        }
        self.next_floor_query = now + self.settings.query_retry_interval;
        if self.defect == Some(Defect::SkipFloor) && self.replica.version() > Version::ZERO {
            self.confirm_floor(Version::ZERO, FloorSource::Witnesses, now, outbox);
            return;
        }
        self.request_head(outbox);
        let nonce = self.rng.random();
        self.floor_query.send(
            &self.identity.id,
            &self.identity.region,
            self.replica.staged(),
            &self.settings,
            nonce,
            outbox,
        );
    }

    /// Queries all log readers for the head of the change log.
    pub(super) fn request_head(&mut self, outbox: &mut Outbox) {
        let nonce = self.head_nonce;
        let me = &self.identity.id;
        if self.membership.me().conditions.reader {
            self.reader.request_head(me.clone(), nonce);
        }
        let readers = self.membership.readers().filter(|reader| reader.id != *me);
        for reader in readers {
            outbox.send(&reader.id, Message::HeadQuery { nonce });
        }
    }

    /// Handles a log reader's reply with the head of the change log. Replies to queries of
    /// an earlier process are ignored by their nonce.
    pub(super) fn on_head(&mut self, nonce: u64, head: Version, now: Moment, outbox: &mut Outbox) {
        if nonce != self.head_nonce || self.floor.is_some() {
            return;
        }
        self.replica.observe_version(head);
        self.apply_head(head, now, outbox);
    }

    /// Sets the restart floor to the head of the change log once this node has received all
    /// entries up to it. The head is at or above every version that this node id ever held.
    pub(super) fn apply_head(&mut self, head: Version, now: Moment, outbox: &mut Outbox) {
        if self.replica.version() >= head {
            self.confirm_floor(head, FloorSource::Store, now, outbox);
        } else {
            self.target_head = Some(head);
        }
    }

    /// Sets the restart floor (lowest version that this process may activate) once this node
    /// has all entries up to `target_head`, the head of the change log in an earlier reply.
    pub(super) fn recheck_floor(&mut self, now: Moment, outbox: &mut Outbox) {
        if let Some(head) = self.target_head {
            self.apply_head(head, now, outbox);
        }
    }

    /// Sets the restart floor once enough witness nodes have replied which version they
    /// have recorded for this node.
    pub(super) fn evaluate_witnesses(&mut self, now: Moment, outbox: &mut Outbox) {
        if self.floor.is_some() {
            return;
        }
        match self.floor_query.status(self.replica.version()) {
            FloorStatus::Undecided => {}
            FloorStatus::CatchUp(version) => self.replica.observe_version(version),
            FloorStatus::Confirmed(floor) => {
                self.adoption.start_from(self.floor_query.set().clone());
                self.confirm_floor(floor, FloorSource::Witnesses, now, outbox);
            }
        }
    }

    /// Sets the restart floor. From then on versions at or above it may become active.
    pub(super) fn confirm_floor(
        &mut self,
        floor: Version,
        source: FloorSource,
        now: Moment,
        outbox: &mut Outbox,
    ) {
        self.floor = Some(floor);
        outbox.log_decision(Decision::FloorConfirmed { floor, source });
        let staged = self.replica.staged().clone();
        self.adoption.stage(staged, now, &self.settings, outbox);
    }
}
