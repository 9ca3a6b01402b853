//! Leases of the few members that read the log in the store, the log readers.
//!
//! Safety does not depend on a lease; it only bounds the number of nodes that call the store. A
//! log reader whose lease expired by its own clock gives it up before anything else. Store
//! answers that belong to an ended lease are dropped by their request id, except for log
//! entries, which are valid whoever read them.

use super::action::{
    Action, Decision, LeaseId, Outbox, RequestId, StoreAnswer, StoreFailure, StoreRequest,
};
use super::membership::Membership;
use super::settings::FleetSettings;
use crate::ids::{NodeId, Version};
use crate::rendezvous;
use crate::time::Moment;
use rand::Rng;
use std::time::Duration;

/// Number of renewals of a reader lease within its time to live.
const RENEWALS_PER_TTL: u32 = 3;
/// Key of the rendezvous hash that selects the members that may acquire a reader lease, a lease
/// to read the log in the store.
const CANDIDATE_KEY: &str = "store-reader";
/// Number of doublings after which the backoff of store requests stays constant.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

/// Purpose of a request that this log reader has sent to the store. It determines how the answer
/// is handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestPurpose {
    /// Acquires a free reader lease.
    Acquire { reader_slot: usize },
    /// Renews this node's reader lease.
    Renew,
    /// Waits for new entries of the log.
    Watch,
    /// Reads the newest version in the log for nodes that queried it.
    Head,
    /// Reads the snapshot of the configuration, since older log entries were deleted.
    Snapshot,
}

/// Request to the store that has no answer yet.
#[derive(Debug)]
struct PendingRequest {
    id: RequestId,
    purpose: RequestPurpose,
    sent: Moment,
}

/// Reader lease that this node holds.
#[derive(Debug, Clone, Copy)]
struct ReaderLease {
    id: LeaseId,
    reader_slot: usize,
    /// Time at which this node considers the lease expired. It is counted from the sending of
    /// the request, so it is never later than the expiry in the store.
    expires: Moment,
    renew_at: Moment,
}

/// Queries of nodes for the head of the log. Those that arrive during a read of the store share
/// the next read.
#[derive(Debug, Default)]
struct HeadQueries {
    /// Nodes whose queries arrived since the current read began, with the nonces of the
    /// queries.
    waiting: Vec<(NodeId, u64)>,
    /// Nodes whose queries the current read answers, with the nonces of the queries.
    running: Vec<(NodeId, u64)>,
}

/// Data from the store that a log reader passes to the agent.
#[derive(Debug, PartialEq, Eq)]
pub enum ReaderEvent {
    /// New entries of the log.
    Entries {
        /// Version of the first entry in the list.
        first: Version,
        /// Encoded log entries, without gaps.
        entries: Vec<super::message::SharedBytes>,
    },
    /// Encoded snapshot of the configuration, read because older log entries were deleted.
    Snapshot(super::message::SharedBytes),
    /// The head of the log, for nodes that sent queries.
    Heads {
        /// Newest version in the log.
        head: Version,
        /// Nodes that sent queries, with the nonces of the queries.
        requesters: Vec<(NodeId, u64)>,
    },
}

/// State of this node as a log reader, or as a candidate for a reader lease.
#[derive(Debug)]
pub struct StoreReader {
    lease: Option<ReaderLease>,
    pending: Vec<PendingRequest>,
    not_before: Moment,
    failures: u32,
    next_acquire_at: Moment,
    head_queries: HeadQueries,
    last_request_id: RequestId,
    store_down: bool,
    needs_snapshot: bool,
}

impl StoreReader {
    /// Creates the state of a node without a lease. Request ids are assigned from
    /// `first_request` on.
    pub fn new(first_request: RequestId) -> Self {
        Self {
            lease: None,
            pending: Vec::new(),
            not_before: Moment::default(),
            failures: 0,
            next_acquire_at: Moment::default(),
            head_queries: HeadQueries::default(),
            last_request_id: first_request,
            store_down: false,
            needs_snapshot: false,
        }
    }

    /// Returns true if the reader lease is valid by this node's own clock.
    pub fn holds_lease(&self, now: Moment) -> bool {
        self.lease.is_some_and(|lease| now < lease.expires)
    }

    /// Returns true while requests to the store fail.
    pub fn store_down(&self) -> bool {
        self.store_down
    }

    /// Returns the delay after which this node may call the store again.
    pub fn retry_after(&self, now: Moment) -> Duration {
        self.not_before.since(now).max(Duration::from_millis(100))
    }

    /// Returns an unused id for a request to the store. The writer takes its ids from the same
    /// sequence.
    pub fn next_request_id(&mut self) -> RequestId {
        self.last_request_id += 1;
        self.last_request_id
    }

    /// Adds the query of the node `from` for the head of the log, answered by the next read.
    pub fn request_head(&mut self, from: NodeId, nonce: u64) {
        self.head_queries
            .waiting
            .retain(|(requester, _)| *requester != from);
        self.head_queries.waiting.push((from, nonce));
    }

    /// Acquires or renews the reader lease and sends the store requests that are due.
    pub fn tick(
        &mut self,
        now: Moment,
        known_version: Version,
        membership: &Membership,
        settings: &FleetSettings,
        rng: &mut impl Rng,
        outbox: &mut Outbox,
    ) {
        self.abandon_if_expired(now, outbox);
        self.expire_requests(now, settings, rng, outbox);
        if now < self.not_before {
            return;
        }
        match self.lease {
            Some(lease) => self.use_lease(lease, now, known_version, settings, outbox),
            None => self.try_acquire(now, membership, settings, rng, outbox),
        }
    }

    /// Forgets the reader lease without telling the store, for instance after the
    /// process was suspended.
    pub fn abandon_lease(&mut self, reason: &str, outbox: &mut Outbox) {
        let Some(lease) = self.lease.take() else {
            return;
        };
        self.head_queries = HeadQueries::default();
        self.pending.clear();
        outbox.log_decision(Decision::LeaseLost {
            place: lease.reader_slot,
            reason: reason.to_string(),
        });
    }

    /// Releases the reader lease in the store, so that another node can acquire it at
    /// once.
    pub fn release(&mut self, outbox: &mut Outbox) {
        if let Some(lease) = self.lease {
            self.abandon_lease("released at a planned stop", outbox);
            let request_id = self.next_request_id();
            let request = StoreRequest::ReleaseLease {
                lease: lease.id,
                reader_slot: lease.reader_slot,
            };
            outbox.actions.push(Action::Store {
                request_id,
                request,
            });
        }
    }

    /// Gives up the reader lease if it has expired by this node's clock.
    fn abandon_if_expired(&mut self, now: Moment, outbox: &mut Outbox) {
        if self.lease.is_some_and(|lease| now >= lease.expires) {
            self.abandon_lease("not renewed in time", outbox);
        }
    }

    /// Treats store requests without a timely answer as failed.
    fn expire_requests(
        &mut self,
        now: Moment,
        settings: &FleetSettings,
        rng: &mut impl Rng,
        outbox: &mut Outbox,
    ) {
        let timeout = settings.lease_ttl;
        let overdue = |pending: &PendingRequest| {
            let extra = match pending.purpose {
                RequestPurpose::Watch => settings.watch_wait,
                _ => Duration::ZERO,
            };
            now.since(pending.sent) >= timeout + extra
        };
        let before = self.pending.len();
        self.pending.retain(|pending| !overdue(pending));
        if self.pending.len() < before {
            self.requeue_head_queries();
            self.back_off(None, "no answer", now, settings, rng, outbox);
        }
    }

    /// Moves the head queries of a failed read to the next one.
    fn requeue_head_queries(&mut self) {
        if !self.is_pending(RequestPurpose::Head) {
            let mut requesters = std::mem::take(&mut self.head_queries.running);
            self.head_queries.waiting.append(&mut requesters);
        }
    }

    /// Returns true if a store request for this purpose has no answer yet.
    fn is_pending(&self, purpose: RequestPurpose) -> bool {
        self.pending
            .iter()
            .any(|pending| pending.purpose == purpose)
    }

    /// Sends a request to the store and remembers its purpose until the answer arrives.
    fn send_store_request(
        &mut self,
        purpose: RequestPurpose,
        request: StoreRequest,
        now: Moment,
        outbox: &mut Outbox,
    ) {
        let id = self.next_request_id();
        self.pending.push(PendingRequest {
            id,
            purpose,
            sent: now,
        });
        outbox.actions.push(Action::Store {
            request_id: id,
            request,
        });
    }

    /// Sends the store requests that a log reader has to make: renewal, snapshot, watch and
    /// head of the log.
    fn use_lease(
        &mut self,
        lease: ReaderLease,
        now: Moment,
        known_version: Version,
        settings: &FleetSettings,
        outbox: &mut Outbox,
    ) {
        if now >= lease.renew_at && !self.is_pending(RequestPurpose::Renew) {
            let request = StoreRequest::RenewLease { lease: lease.id };
            self.send_store_request(RequestPurpose::Renew, request, now, outbox);
        }
        if self.needs_snapshot && !self.is_pending(RequestPurpose::Snapshot) {
            self.send_store_request(
                RequestPurpose::Snapshot,
                StoreRequest::ReadSnapshot,
                now,
                outbox,
            );
        }
        if !self.is_pending(RequestPurpose::Watch) && !self.needs_snapshot {
            let request = StoreRequest::WatchLog {
                after: known_version,
                wait: settings.watch_wait,
            };
            self.send_store_request(RequestPurpose::Watch, request, now, outbox);
        }
        if !self.head_queries.waiting.is_empty() && !self.is_pending(RequestPurpose::Head) {
            self.head_queries.running = std::mem::take(&mut self.head_queries.waiting);
            let request = StoreRequest::ReadLog {
                after: known_version,
            };
            self.send_store_request(RequestPurpose::Head, request, now, outbox);
        }
    }

    /// Requests a reader lease if this node is a candidate and a lease may be free.
    fn try_acquire(
        &mut self,
        now: Moment,
        membership: &Membership,
        settings: &FleetSettings,
        rng: &mut impl Rng,
        outbox: &mut Outbox,
    ) {
        let acquiring = self
            .pending
            .iter()
            .any(|pending| matches!(pending.purpose, RequestPurpose::Acquire { .. }));
        if acquiring || now < self.next_acquire_at {
            return;
        }
        let pause = settings.lease_ttl / 2;
        self.next_acquire_at = now + pause.mul_f64(rng.random_range(0.5..1.0));
        if membership.readers().count() >= settings.reader_count {
            return;
        }
        let rank = candidate_rank(membership, settings.reader_candidates);
        let Some(rank) = rank else { return };
        // The first candidates try their own slots, the others a random one.
        let reader_slot = if rank < settings.reader_count {
            rank
        } else {
            rng.random_range(0..settings.reader_count)
        };
        let request = StoreRequest::AcquireLease {
            reader_slot,
            ttl: settings.lease_ttl,
        };
        self.send_store_request(
            RequestPurpose::Acquire { reader_slot },
            request,
            now,
            outbox,
        );
    }

    /// Handles the answer to a store request of the reader and returns its data. Answers to
    /// requests of the writer are ignored.
    pub fn on_store(
        &mut self,
        id: RequestId,
        result: Result<StoreAnswer, StoreFailure>,
        now: Moment,
        settings: &FleetSettings,
        rng: &mut impl Rng,
        outbox: &mut Outbox,
    ) -> Option<ReaderEvent> {
        let index = self.pending.iter().position(|pending| pending.id == id)?;
        let pending = self.pending.swap_remove(index);
        match result {
            Ok(answer) => {
                self.store_answered(outbox);
                self.on_store_answer(pending, answer, now, settings, rng, outbox)
            }
            Err(failure) => {
                self.requeue_head_queries();
                let requested_delay = match failure {
                    StoreFailure::NotRun { retry_after } => retry_after,
                    StoreFailure::Unknown => None,
                };
                self.back_off(
                    requested_delay,
                    &failure.to_string(),
                    now,
                    settings,
                    rng,
                    outbox,
                );
                None
            }
        }
    }

    /// Handles a successful answer of the store according to the purpose of its request.
    fn on_store_answer(
        &mut self,
        pending: PendingRequest,
        answer: StoreAnswer,
        now: Moment,
        settings: &FleetSettings,
        rng: &mut impl Rng,
        outbox: &mut Outbox,
    ) -> Option<ReaderEvent> {
        match (pending.purpose, answer) {
            (RequestPurpose::Acquire { reader_slot }, StoreAnswer::LeaseGranted { lease }) => {
                self.lease = Some(ReaderLease {
                    id: lease,
                    reader_slot,
                    expires: pending.sent + settings.lease_ttl,
                    renew_at: pending.sent + settings.lease_ttl / RENEWALS_PER_TTL,
                });
                outbox.log_decision(Decision::LeaseAcquired { place: reader_slot });
                None
            }
            (RequestPurpose::Acquire { .. }, _) => {
                self.next_acquire_at = now + settings.lease_ttl.mul_f64(rng.random_range(0.3..1.0));
                None
            }
            (RequestPurpose::Renew, StoreAnswer::LeaseKept) => {
                if let Some(lease) = &mut self.lease {
                    lease.expires = pending.sent + settings.lease_ttl;
                    lease.renew_at = pending.sent + settings.lease_ttl / RENEWALS_PER_TTL;
                }
                None
            }
            (RequestPurpose::Renew, _) => {
                self.abandon_lease("the store ended it", outbox);
                None
            }
            (RequestPurpose::Watch, StoreAnswer::Truncated) => {
                self.needs_snapshot = true;
                None
            }
            (RequestPurpose::Watch, StoreAnswer::Entries { first, entries, .. }) => {
                Some(ReaderEvent::Entries { first, entries })
            }
            (RequestPurpose::Snapshot, StoreAnswer::Snapshot(snapshot)) => {
                self.needs_snapshot = false;
                snapshot.map(ReaderEvent::Snapshot)
            }
            (RequestPurpose::Head, StoreAnswer::Entries { head, .. }) => Some(ReaderEvent::Heads {
                head,
                requesters: std::mem::take(&mut self.head_queries.running),
            }),
            (RequestPurpose::Head, StoreAnswer::Truncated) => {
                self.needs_snapshot = true;
                self.requeue_head_queries();
                None
            }
            _ => None,
        }
    }

    /// Handles a failed store request of the writer.
    pub fn on_store_failure(
        &mut self,
        failure: StoreFailure,
        now: Moment,
        settings: &FleetSettings,
        rng: &mut impl Rng,
        outbox: &mut Outbox,
    ) {
        let requested_delay = match failure {
            StoreFailure::NotRun { retry_after } => retry_after,
            StoreFailure::Unknown => None,
        };
        self.back_off(
            requested_delay,
            &failure.to_string(),
            now,
            settings,
            rng,
            outbox,
        );
    }

    /// Handles a successful store request, including those of the writer.
    pub fn store_answered(&mut self, outbox: &mut Outbox) {
        self.failures = 0;
        if self.store_down {
            self.store_down = false;
            outbox.log_decision(Decision::StoreAvailable);
        }
    }

    /// Delays further store requests by an exponential backoff with full jitter, and at least by
    /// the delay that the store requested.
    fn back_off(
        &mut self,
        requested_delay: Option<Duration>,
        reason: &str,
        now: Moment,
        settings: &FleetSettings,
        rng: &mut impl Rng,
        outbox: &mut Outbox,
    ) {
        self.failures = (self.failures + 1).min(MAX_BACKOFF_DOUBLINGS);
        let ceiling = settings
            .initial_store_backoff
            .saturating_mul(1 << self.failures)
            .min(settings.max_store_backoff);
        let wait = ceiling.mul_f64(rng.random_range(0.0..1.0));
        self.not_before = now + wait.max(requested_delay.unwrap_or_default());
        if !self.store_down {
            self.store_down = true;
            outbox.log_decision(Decision::StoreUnavailable {
                reason: reason.to_string(),
            });
        }
    }
}

/// Returns this node's rank among the candidates for reader leases, which are spread over the
/// zones, or `None` if it is not one of the first `count`.
fn candidate_rank(membership: &Membership, count: usize) -> Option<usize> {
    let me = &membership.me().id;
    let candidates = membership
        .records()
        .filter(|record| record.reachable() && !record.conditions.draining)
        .map(|record| (record.id.clone(), record.zone.clone()));
    rendezvous::select_across_zones(CANDIDATE_KEY, candidates, count)
        .iter()
        .position(|candidate| candidate == me)
}
