//! Restart floor: the lowest version that a restarted node may activate. Nothing is active
//! before it is known.
//!
//! Two queries run in parallel, and the first answer counts: the head of the log, read
//! after this process asked for it, and the records of this id's witnesses.

use super::{Agent, Defect};
use crate::fleet::action::{Decision, FloorSource, Outbox};
use crate::fleet::message::Message;
use crate::fleet::witness::FloorStatus;
use crate::ids::Version;
use crate::time::Moment;
use rand::Rng;

impl Agent {
    /// Sends the queries for the restart floor at the retry interval until it is known.
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
    /// Queries all readers for the head of the log.
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
    /// Handles a reader's reply with the head of the log.
    pub(super) fn on_head(&mut self, nonce: u64, head: Version, now: Moment, outbox: &mut Outbox) {
        if nonce != self.head_nonce || self.floor.is_some() {
            return;
        }
        self.replica.observe_version(head);
        self.apply_head(head, now, outbox);
    }
    /// Takes the head of the log as the restart floor once the replica has reached it. The
    /// head is at or above every version that this node id ever held.
    pub(super) fn apply_head(&mut self, head: Version, now: Moment, outbox: &mut Outbox) {
        if self.replica.version() >= head {
            self.confirm_floor(head, FloorSource::Store, now, outbox);
        } else {
            self.target_head = Some(head);
        }
    }
    /// Sets the floor once the replica has reached a head received earlier.
    pub(super) fn recheck_floor(&mut self, now: Moment, outbox: &mut Outbox) {
        if let Some(head) = self.target_head {
            self.apply_head(head, now, outbox);
        }
    }
    /// Sets the floor once enough witnesses have replied.
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
    /// Sets the restart floor, from which on versions may become active.
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
