//! What an entry node may conclude from the reply to a fence (a request that forbids a call
//! to start), if messages are delayed and processes are replaced or suspended.
//!
//! Guards against an error response with `not-run` for a call that ran: its request reached
//! a gate node and the call began; the entry node was delayed; the gate node's process was
//! replaced; the entry node found its connection lost and fenced the call; the new process
//! had no record of the call and replied "never starts". This reply must not be trusted if
//! the process is younger than the request.

use proptest::prelude::*;
use rampthread_core::call::fence::{
    FENCE_RETENTION, FenceAnswer, FenceStatus, FenceTable, MAX_COUNTED_GAP, MAX_FENCE_ENTRIES,
    StartError,
};
use rampthread_core::call::fence_outcome::{AbandonedHop, FenceOutcome, FenceReply};
use rampthread_core::ids::NodeId;
use rampthread_core::time::Moment;
use std::time::Duration;

/// Id of the call, and name of the node that it is sent to.
const CALL: &str = "call~1";
const GATE: &str = "node-1";
/// Rates of the two clocks in thousandths, within the limits of chrony's slewing.
const RATES: std::ops::RangeInclusive<u64> = 917..=1_083;

/// An event in the simulation of one request.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// The given milliseconds pass. The gate process is suspended or idle, so it does not
    /// access its table of starts and fences.
    Pause(u64),
    /// The given milliseconds pass. The gate process reads what has arrived and accesses
    /// its table of starts and fences.
    Run(u64),
    /// The entry node connects to the gate node process that listens now.
    Connect,
    /// The gate node process that the entry node connected to reads the request.
    Arrive,
    /// The gate node process ends.
    Kill,
    /// A new gate node process takes over the address.
    Start,
    /// The entry node has lost the connection and forbids the call to start. The gate
    /// process that listens now gets the fence.
    Fence,
    /// The reply to the fence reaches the entry node, which concludes whether the call may
    /// have run.
    ReceiveReply,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (1_u64..3_000).prop_map(Step::Pause),
        1 => (1_u64..200_000).prop_map(Step::Pause),
        1 => (1_u64..150_000).prop_map(Step::Run),
        2 => Just(Step::Connect),
        3 => Just(Step::Arrive),
        1 => Just(Step::Kill),
        2 => Just(Step::Start),
        2 => Just(Step::Fence),
        2 => Just(Step::ReceiveReply),
    ]
}

/// One process of the gate node.
struct GateProcess {
    table: FenceTable,
    alive: bool,
}

/// Simulation of one request to one address, at which gate node processes replace each
/// other, with clocks of different rates.
struct Simulation {
    /// True time in milliseconds.
    now: u64,
    entry_rate: u64,
    gate_rate: u64,
    gate_offset: u64,
    processes: Vec<GateProcess>,
    /// When the entry node sent the request, by its own clock.
    sent_at: Moment,
    /// Index of the gate node process that the request's connection leads to.
    connected: Option<usize>,
    /// The entry node has abandoned the request: it connects no more.
    abandoned: bool,
    started: bool,
    reply: Option<FenceReply>,
    outcome: Option<FenceOutcome>,
}

impl Simulation {
    fn new(now: u64, entry_rate: u64, gate_rate: u64, gate_offset: u64) -> Self {
        let mut simulation = Self {
            now,
            entry_rate,
            gate_rate,
            gate_offset,
            processes: Vec::new(),
            sent_at: Moment(now * entry_rate),
            connected: None,
            abandoned: false,
            started: false,
            reply: None,
            outcome: None,
        };
        simulation.apply(Step::Start);
        simulation
    }

    /// Present time by the entry node's clock.
    fn entry_now(&self) -> Moment {
        Moment(self.now * self.entry_rate)
    }

    /// Present time by the gate node's clock.
    fn gate_now(&self) -> Moment {
        Moment(self.gate_offset + self.now * self.gate_rate)
    }

    /// Index of the gate process that listens at the address now.
    fn listening(&self) -> Option<usize> {
        self.processes.iter().position(|process| process.alive)
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Pause(ms) => self.now += ms,
            Step::Run(ms) => self.run(ms),
            Step::Connect if !self.abandoned && self.connected.is_none() => {
                self.connected = self.listening();
            }
            Step::Arrive => self.read_request(),
            Step::Kill => self
                .processes
                .iter_mut()
                .for_each(|process| process.alive = false),
            Step::Start if self.listening().is_none() => {
                let table = FenceTable::new(self.gate_now());
                self.processes.push(GateProcess { table, alive: true });
            }
            Step::Fence if self.reply.is_none() => self.fence(),
            Step::ReceiveReply if self.outcome.is_none() => self.conclude(),
            Step::Connect | Step::Start | Step::Fence | Step::ReceiveReply => {}
        }
    }

    /// The gate node process first reads what has arrived, and then uses the table often.
    fn run(&mut self, ms: u64) {
        self.read_request();
        let end = self.now + ms;
        while self.now < end {
            self.now = end.min(self.now + 500);
            let now = self.gate_now();
            if let Some(listening) = self.listening() {
                self.processes[listening].table.expire(now);
            }
        }
    }

    /// The connected gate process reads the request and starts the call unless it was
    /// fenced.
    fn read_request(&mut self) {
        let now = self.gate_now();
        let Some(process) = self.connected.map(|index| &mut self.processes[index]) else {
            return;
        };
        if process.alive && process.table.start(&CALL.to_string(), now).is_ok() {
            self.started = true;
        }
        self.connected = None;
        self.abandoned = true;
    }

    /// The entry node abandons the request, and the listening gate process fences the call.
    fn fence(&mut self) {
        self.abandoned = true;
        let now = self.gate_now();
        let Some(listening) = self.listening() else {
            return;
        };
        self.reply = Some(FenceReply {
            by: NodeId::new(GATE).ok(),
            answer: self.processes[listening]
                .table
                .fence(&CALL.to_string(), now),
        });
    }

    /// The entry node concludes from the reply whether the call may have run.
    fn conclude(&mut self) {
        let Some(reply) = &self.reply else { return };
        let node = NodeId::new(GATE).unwrap();
        let age = self.entry_now().since(self.sent_at);
        let hop = AbandonedHop { node: &node, age };
        self.outcome = Some(FenceOutcome::new(hop, Some(reply)));
    }
}

fn simulation() -> impl Strategy<Value = Simulation> {
    (0_u64..400_000, RATES, RATES, 0_u64..1_000_000_000)
        .prop_map(|(now, entry, gate, offset)| Simulation::new(now, entry, gate, offset))
}

impl std::fmt::Debug for Simulation {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "simulation at {} ms, rates {} and {}, offset {}",
            self.now, self.entry_rate, self.gate_rate, self.gate_offset
        )
    }
}

fn reply(by: Option<&str>, fenced: FenceStatus, table_age: Duration) -> FenceReply {
    FenceReply {
        by: by.map(|name| NodeId::new(name).unwrap()),
        answer: FenceAnswer {
            fenced,
            retention: table_age,
        },
    }
}

/// Conclusion for an abandoned request of this age, sent to the node [`GATE`].
fn outcome(age: Duration, reply: &FenceReply) -> FenceOutcome {
    let node = NodeId::new(GATE).unwrap();
    FenceOutcome::new(AbandonedHop { node: &node, age }, Some(reply))
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4_096))]

    /// The entry node concludes that a call never starts only if the call has not started
    /// anywhere and does not start afterwards, in any order of request, end and start of
    /// gate processes, fence, delays and suspensions.
    #[test]
    fn never_starts_is_concluded_only_for_a_call_that_never_starts(
        mut simulation in simulation(),
        steps in prop::collection::vec(step(), 1..40),
    ) {
        for step in steps {
            simulation.apply(step);
            let concluded = simulation.outcome == Some(FenceOutcome::NeverStarts);
            prop_assert!(!(concluded && simulation.started), "refused as not run, and started");
        }
    }

    /// A gate process that started well before the request, and has not started the call, is
    /// trusted: the entry node concludes that the call never starts, so that the caller can
    /// retry. Here the process started 1.5 times the age of the request before it.
    #[test]
    fn a_gate_older_than_the_request_is_trusted(
        older in 1_u64..100_000,
        before in 0_u64..40_000,
        after in 0_u64..40_000,
        entry_rate in RATES,
        gate_rate in RATES,
        offset in 0_u64..1_000_000_000,
    ) {
        let mut simulation = Simulation::new(0, entry_rate, gate_rate, offset);
        simulation.apply(Step::Run((before + after) * 3 / 2 + older));
        simulation.sent_at = simulation.entry_now();
        simulation.apply(Step::Connect);
        simulation.apply(Step::Pause(before));
        simulation.apply(Step::Fence);
        simulation.apply(Step::Pause(after));
        simulation.apply(Step::ReceiveReply);
        prop_assert_eq!(simulation.outcome, Some(FenceOutcome::NeverStarts));
        simulation.apply(Step::Arrive);
        prop_assert!(!simulation.started);
    }

    /// An entry node trusts the reply "never starts" only from the node that the request
    /// was sent to.
    #[test]
    fn a_reply_of_another_or_unnamed_node_proves_nothing(
        age_ms in 0_u64..10_000,
        by in prop_oneof![Just(None), Just(Some("node-2"))],
    ) {
        let reply = reply(by, FenceStatus::NeverStarts, FENCE_RETENTION);
        let concluded = outcome(Duration::from_millis(age_ms), &reply);
        prop_assert_eq!(concluded, FenceOutcome::Unknown);
    }

    /// An unknown status in the reply to a fence is not taken for "never starts".
    #[test]
    fn an_unknown_value_proves_nothing(value in "[a-z-]{0,20}") {
        prop_assume!(value != FenceStatus::NeverStarts.as_str());
        prop_assert_ne!(FenceStatus::parse(&value), FenceStatus::NeverStarts);
    }
}

#[test]
fn the_status_from_the_gate_determines_the_outcome() {
    let age = Duration::from_secs(1);
    let outcome_of = |fenced| outcome(age, &reply(Some(GATE), fenced, FENCE_RETENTION));
    assert_eq!(
        outcome_of(FenceStatus::NeverStarts),
        FenceOutcome::NeverStarts
    );
    assert_eq!(outcome_of(FenceStatus::Started), FenceOutcome::Started);
    assert_eq!(outcome_of(FenceStatus::Unknown), FenceOutcome::Unknown);
    let node = NodeId::new(GATE).unwrap();
    let unanswered = FenceOutcome::new(AbandonedHop { node: &node, age }, None);
    assert_eq!(unanswered, FenceOutcome::NoReply);
}

/// A call that runs for longer than [`FENCE_RETENTION`] must not be taken for one that
/// never started, after its start was dropped from the table.
#[test]
fn a_call_that_outlasts_the_retention_is_not_taken_for_one_that_never_started() {
    let mut simulation = Simulation::new(500_000, 1_000, 1_000, 0);
    simulation.apply(Step::Connect);
    simulation.apply(Step::Arrive);
    simulation.apply(Step::Run(FENCE_RETENTION.as_millis() as u64 + 10_000));
    simulation.apply(Step::Fence);
    simulation.apply(Step::ReceiveReply);
    assert_eq!(
        simulation.reply.unwrap().answer.fenced,
        FenceStatus::NeverStarts
    );
    assert_eq!(simulation.outcome, Some(FenceOutcome::Unknown));
}

/// A gate node that replies to a fence and is then suspended for longer than
/// [`FENCE_RETENTION`], with the request unread in its socket, must not have dropped the
/// fence when it reads the request.
#[test]
fn a_fence_outlasts_a_suspension_of_the_gate() {
    let mut table = FenceTable::new(Moment(0));
    let call = CALL.to_string();
    let fenced = Moment(1_000_000);
    assert_eq!(table.fence(&call, fenced).fenced, FenceStatus::NeverStarts);
    let awake = fenced + FENCE_RETENTION * 10;
    table.expire(awake);
    assert_eq!(table.start(&call, awake), Err(StartError::Fenced));
}

/// While the gate process runs, records of calls older than [`FENCE_RETENTION`] are
/// dropped.
#[test]
fn entries_expire_while_the_gate_runs() {
    let mut table = FenceTable::new(Moment(0));
    table.fence(&CALL.to_string(), Moment(0));
    let uses = FENCE_RETENTION.as_secs() + 2;
    for second in 1..=uses {
        table.expire(Moment(0) + MAX_COUNTED_GAP * second as u32);
    }
    assert!(table.is_empty());
}

/// A full fence table replies with an unknown status for calls that it does not contain,
/// and does not grow.
#[test]
fn a_full_table_reports_unknown_for_calls_that_it_does_not_contain() {
    let mut table = FenceTable::new(Moment(0));
    let now = Moment(1);
    for number in 0..MAX_FENCE_ENTRIES {
        assert!(table.start(&number.to_string(), now).is_ok());
    }
    let unknown = CALL.to_string();
    assert_eq!(table.fence(&unknown, now).fenced, FenceStatus::Unknown);
    assert_eq!(
        table.fence(&"0".to_string(), now).fenced,
        FenceStatus::Started
    );
    assert_eq!(table.start(&unknown, now), Err(StartError::Full));
    assert_eq!(table.len(), MAX_FENCE_ENTRIES);
}
