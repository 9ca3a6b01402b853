//! The decider of roll-outs where the store comes back from an older copy.

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
/// Longer than any pause before the store is asked again.
const LONG: Duration = Duration::from_secs(2);

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

    fn order(&mut self) {
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

    /// The next call to the store within [`LONG`].
    fn call(&mut self) -> Option<DeciderRequest> {
        let until = self.now + LONG;
        while self.now < until {
            if let Some(call) = self.tick().request {
                return Some(call);
            }
            self.now = self.now + STEP;
        }
        None
    }

    fn answer(&mut self, answer: DeciderResponse) {
        self.decider.on_response(answer, &mut self.table, self.now);
    }

    fn restore(&mut self) {
        self.decider.on_store_restored(&self.table, self.now);
    }

    /// Becomes the decider, under this lease.
    fn decide(&mut self, lease: u64) -> u64 {
        assert_eq!(self.call(), Some(DeciderRequest::Read));
        self.answer(empty());
        let Some(DeciderRequest::Claim { term, .. }) = self.call() else {
            panic!("no claim");
        };
        self.answer(DeciderResponse::Claimed { lease, fence: 9 });
        assert!(self.decider.holds_lease(self.now));
        term
    }
}

fn empty() -> DeciderResponse {
    DeciderResponse::Records {
        fence: None,
        term: 0,
        states: Vec::new(),
    }
}

/// Its lease may be somebody else's by now, and the revision of its record too.
#[test]
fn a_decider_stops_and_takes_its_place_anew_in_a_later_term() {
    let mut node = Node::new();
    node.order();
    let term = node.decide(7);
    assert!(matches!(node.call(), Some(DeciderRequest::Write { .. })));
    node.answer(DeciderResponse::Written { revision: 10 });
    node.tick();
    node.restore();
    assert!(!node.decider.holds_lease(node.now));
    assert!(node.decide(7) > term);
}

#[test]
fn an_answer_to_a_call_of_before_is_no_answer() {
    let mut node = Node::new();
    node.order();
    assert_eq!(node.call(), Some(DeciderRequest::Read));
    node.answer(empty());
    assert!(matches!(node.call(), Some(DeciderRequest::Claim { .. })));
    node.restore();
    node.answer(DeciderResponse::Claimed { lease: 7, fence: 9 });
    assert!(!node.decider.holds_lease(node.now));
    assert_eq!(node.call(), Some(DeciderRequest::Read));
}

/// The copy lacks the end of a roll-out, which operators read there.
#[test]
fn an_end_that_the_copy_lacks_is_put_on_record_again() {
    let mut node = Node::new();
    let ended = RolloutState {
        phase: Phase::Succeeded,
        term: 3,
        ..begun()
    };
    assert!(node.table.merge(ended, node.now));
    assert_eq!(node.call(), None);
    node.restore();
    node.decide(1);
    let Some(DeciderRequest::Write { state, .. }) = node.call() else {
        panic!("nothing is written");
    };
    assert_eq!((state.phase, state.order), (Phase::Succeeded, 4));
}

/// A copy may name a decider whose lease goes on for a moment.
#[test]
fn while_the_copy_names_a_decider_the_records_are_read_again() {
    let mut node = Node::new();
    let ended = RolloutState {
        phase: Phase::RolledBack,
        term: 3,
        ..begun()
    };
    assert!(node.table.merge(ended, node.now));
    node.restore();
    assert_eq!(node.call(), Some(DeciderRequest::Read));
    node.answer(DeciderResponse::Records {
        fence: Some(2),
        term: 1,
        states: Vec::new(),
    });
    assert_eq!(node.call(), None);
    assert_eq!(node.call(), Some(DeciderRequest::Read));
}

#[test]
fn without_roll_outs_and_far_down_the_order_the_store_is_not_asked() {
    let mut node = Node::new();
    node.restore();
    assert_eq!(node.call(), None);
    let ended = RolloutState {
        phase: Phase::Succeeded,
        ..begun()
    };
    assert!(node.table.merge(ended, node.now));
    node.rank = 40;
    node.restore();
    for _ in 0..20 {
        assert_eq!(node.call(), None);
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

fn begun() -> RolloutState {
    RolloutState::from_order(&order(), Duration::ZERO)
}

/// The order was written again. Calls fail and claims are refused, and what the store has
/// lost is still put on record.
#[test]
fn a_recheck_is_owed_until_the_records_hold_what_is_known() {
    let mut node = Node::new();
    assert!(node.table.merge(rolled_back(), node.now));
    node.decider.recheck(node.now);
    assert_eq!(node.call(), Some(DeciderRequest::Read));
    node.answer(DeciderResponse::Failed);
    assert_eq!(node.call(), Some(DeciderRequest::Read));
    node.answer(empty());
    assert!(matches!(node.call(), Some(DeciderRequest::Claim { .. })));
    node.answer(DeciderResponse::Conflict);
    node.decide(7);
    assert!(matches!(node.call(), Some(DeciderRequest::Write { .. })));
    node.answer(DeciderResponse::Conflict);
    assert_eq!(node.call(), Some(DeciderRequest::Read));
    node.answer(DeciderResponse::Records {
        fence: Some(9),
        term: 1,
        states: Vec::new(),
    });
    assert!(matches!(node.call(), Some(DeciderRequest::Write { .. })));
    node.answer(DeciderResponse::Written { revision: 12 });
    assert_eq!(node.call(), Some(DeciderRequest::Release { lease: 7 }));
    node.answer(DeciderResponse::Kept);
    assert_eq!(node.call(), None);
    node.now = node.now + LONG + LONG;
    assert_eq!(node.call(), None);
}

#[test]
fn a_recheck_that_finds_all_on_record_is_done() {
    let mut node = Node::new();
    assert!(node.table.merge(rolled_back(), node.now));
    node.decider.recheck(node.now);
    assert_eq!(node.call(), Some(DeciderRequest::Read));
    node.answer(DeciderResponse::Records {
        fence: None,
        term: 3,
        states: vec![StoredRollout {
            state: rolled_back(),
            revision: 5,
            written_ms: 0,
        }],
    });
    node.now = node.now + LONG;
    assert_eq!(node.call(), None);
}

fn rolled_back() -> RolloutState {
    RolloutState {
        phase: Phase::RolledBack,
        term: 3,
        ..begun()
    }
}
