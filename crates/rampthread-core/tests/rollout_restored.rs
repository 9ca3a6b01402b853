//! The rollout decider when the store is restored from an older backup.

use rampthread_core::ids::{NodeId, ResourceName, SoftwareVersion};
use rampthread_core::rollout::decider::{DeciderContext, DeciderOutput};
use rampthread_core::rollout::table::OrderSource;
use rampthread_core::rollout::{
    Decider, DeciderRequest, DeciderResponse, Phase, RolloutBounds, RolloutOrder, RolloutState,
    RolloutTable, StoredRollout,
};
use rampthread_core::time::Moment;
use std::time::Duration;

const START: Moment = Moment(3_600_000_000);
const STEP: Duration = Duration::from_millis(50);
/// Longer than any delay before the next store request.
const LONGEST_DELAY: Duration = Duration::from_secs(2);

const BOUNDS: RolloutBounds = RolloutBounds {
    exposure_share: 0.05,
    exposure_slack_calls: 20.0,
    rollback_deadline: Duration::from_secs(3),
};

struct Node {
    decider: Decider,
    table: RolloutTable,
    now: Moment,
    rank: u32,
}

impl Node {
    fn new() -> Self {
        let me = NodeId::new("node-1").unwrap();
        Self {
            decider: Decider::new(me, BOUNDS),
            table: RolloutTable::default(),
            now: START,
            rank: 0,
        }
    }

    fn receive_order(&mut self) {
        let order = order();
        assert!(
            self.table
                .accept_order(&order, OrderSource::NewWrite, self.now)
        );
    }

    fn tick(&mut self) -> DeciderOutput {
        let context = DeciderContext {
            eligible: true,
            rank: self.rank,
            slots: &|_, _| (1, 1),
            evidence_collection_time: Duration::from_secs(1),
        };
        self.decider.tick(&mut self.table, &context, self.now)
    }

    /// The next store request within [`LONG`].
    fn next_request(&mut self) -> Option<DeciderRequest> {
        let until = self.now + LONGEST_DELAY;
        while self.now < until {
            if let Some(request) = self.tick().request {
                return Some(request);
            }
            self.now = self.now + STEP;
        }
        None
    }

    fn respond(&mut self, response: DeciderResponse) {
        self.decider
            .on_response(response, &mut self.table, self.now);
    }

    fn restore(&mut self) {
        self.decider.on_store_restored(&self.table, self.now);
    }

    /// Acquires the lease with this id and returns the term.
    fn acquire_lease(&mut self, lease: u64) -> u64 {
        assert_eq!(self.next_request(), Some(DeciderRequest::Read));
        self.respond(no_records());
        let Some(DeciderRequest::Claim { term, .. }) = self.next_request() else {
            panic!("the node did not claim the lease");
        };
        self.respond(DeciderResponse::Claimed { lease, fence: 9 });
        assert!(self.decider.holds_lease(self.now));
        term
    }
}

fn no_records() -> DeciderResponse {
    DeciderResponse::Records {
        fence: None,
        term: 0,
        states: Vec::new(),
    }
}

/// After a restore, another node may hold a lease with the same id and revision.
#[test]
fn decider_steps_down_and_returns_in_a_later_term() {
    let mut node = Node::new();
    node.receive_order();
    let term = node.acquire_lease(7);
    assert!(matches!(
        node.next_request(),
        Some(DeciderRequest::Write { .. })
    ));
    node.respond(DeciderResponse::Written { revision: 10 });
    node.tick();
    node.restore();
    assert!(!node.decider.holds_lease(node.now));
    assert!(node.acquire_lease(7) > term);
}

#[test]
fn response_to_a_request_before_the_restore_is_ignored() {
    let mut node = Node::new();
    node.receive_order();
    assert_eq!(node.next_request(), Some(DeciderRequest::Read));
    node.respond(no_records());
    assert!(matches!(
        node.next_request(),
        Some(DeciderRequest::Claim { .. })
    ));
    node.restore();
    node.respond(DeciderResponse::Claimed { lease: 7, fence: 9 });
    assert!(!node.decider.holds_lease(node.now));
    assert_eq!(node.next_request(), Some(DeciderRequest::Read));
}

/// The backup lacks the end of a rollout, which operators look up in the store.
#[test]
fn end_missing_in_the_backup_is_persisted_again() {
    let mut node = Node::new();
    let ended_state = RolloutState {
        phase: Phase::Succeeded,
        term: 3,
        ..initial_state()
    };
    assert!(node.table.merge(ended_state, node.now));
    assert_eq!(node.next_request(), None);
    node.restore();
    node.acquire_lease(1);
    let Some(DeciderRequest::Write { state, .. }) = node.next_request() else {
        panic!("the node did not write the state");
    };
    assert_eq!((state.phase, state.order), (Phase::Succeeded, 4));
}

/// The restored store may contain a lease that has not expired yet.
#[test]
fn records_are_read_again_while_the_backup_has_a_lease() {
    let mut node = Node::new();
    let ended_state = RolloutState {
        phase: Phase::RolledBack,
        term: 3,
        ..initial_state()
    };
    assert!(node.table.merge(ended_state, node.now));
    node.restore();
    assert_eq!(node.next_request(), Some(DeciderRequest::Read));
    node.respond(DeciderResponse::Records {
        fence: Some(2),
        term: 1,
        states: Vec::new(),
    });
    assert_eq!(node.next_request(), None);
    assert_eq!(node.next_request(), Some(DeciderRequest::Read));
}

#[test]
fn low_rank_or_no_rollouts_sends_no_store_request() {
    let mut node = Node::new();
    node.restore();
    assert_eq!(node.next_request(), None);
    let ended_state = RolloutState {
        phase: Phase::Succeeded,
        ..initial_state()
    };
    assert!(node.table.merge(ended_state, node.now));
    node.rank = 40;
    node.restore();
    for _ in 0..20 {
        assert_eq!(node.next_request(), None);
    }
}

fn order() -> RolloutOrder {
    RolloutOrder {
        service: ResourceName::new("shop").unwrap(),
        order: 4,
        target: SoftwareVersion::new("2.0").unwrap(),
        duration: Duration::from_secs(60),
    }
}

fn initial_state() -> RolloutState {
    RolloutState::from_order(&order(), Duration::ZERO)
}

/// An operator writes the order again. Store requests fail and claims are rejected, but the
/// state that the store has lost must be persisted in the end.
#[test]
fn recheck_is_repeated_until_records_match() {
    let mut node = Node::new();
    assert!(node.table.merge(rolled_back(), node.now));
    node.decider.recheck(node.now);
    assert_eq!(node.next_request(), Some(DeciderRequest::Read));
    node.respond(DeciderResponse::Failed);
    assert_eq!(node.next_request(), Some(DeciderRequest::Read));
    node.respond(no_records());
    assert!(matches!(
        node.next_request(),
        Some(DeciderRequest::Claim { .. })
    ));
    node.respond(DeciderResponse::Conflict);
    node.acquire_lease(7);
    assert!(matches!(
        node.next_request(),
        Some(DeciderRequest::Write { .. })
    ));
    node.respond(DeciderResponse::Conflict);
    assert_eq!(node.next_request(), Some(DeciderRequest::Read));
    node.respond(DeciderResponse::Records {
        fence: Some(9),
        term: 1,
        states: Vec::new(),
    });
    assert!(matches!(
        node.next_request(),
        Some(DeciderRequest::Write { .. })
    ));
    node.respond(DeciderResponse::Written { revision: 12 });
    assert_eq!(
        node.next_request(),
        Some(DeciderRequest::Release { lease: 7 })
    );
    node.respond(DeciderResponse::Kept);
    assert_eq!(node.next_request(), None);
    node.now = node.now + LONGEST_DELAY + LONGEST_DELAY;
    assert_eq!(node.next_request(), None);
}

#[test]
fn recheck_with_matching_records_is_complete() {
    let mut node = Node::new();
    assert!(node.table.merge(rolled_back(), node.now));
    node.decider.recheck(node.now);
    assert_eq!(node.next_request(), Some(DeciderRequest::Read));
    node.respond(DeciderResponse::Records {
        fence: None,
        term: 3,
        states: vec![StoredRollout {
            state: rolled_back(),
            revision: 5,
            written_ms: 0,
        }],
    });
    node.now = node.now + LONGEST_DELAY;
    assert_eq!(node.next_request(), None);
}

fn rolled_back() -> RolloutState {
    RolloutState {
        phase: Phase::RolledBack,
        term: 3,
        ..initial_state()
    }
}
