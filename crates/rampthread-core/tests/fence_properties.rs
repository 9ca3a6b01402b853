//! What is believed of a fence, whatever is held up, replaced or suspended meanwhile.
//!
//! What users saw: a request that may run once was refused as not run, and ran. Order
//! of events: its hop reached a gate and the call began; the entry was held up; the
//! gate's process was replaced; the entry went on, found its connection lost and asked
//! for a fence; the new process had never heard of the call. Cause: its "never starts"
//! was believed though its memory was younger than the hop. Without that condition
//! `never_starts_is_believed_only_of_a_call_that_never_starts` fails.

use proptest::prelude::*;
use rampthread_core::call::fence::{
    FENCE_RETENTION, FenceAnswer, FenceStatus, FenceTable, MAX_COUNTED_GAP, MAX_FENCE_ENTRIES,
    StartError,
};
use rampthread_core::call::fence_outcome::{AbandonedHop, FenceOutcome, FenceReply};
use rampthread_core::ids::NodeId;
use rampthread_core::time::Moment;
use std::time::Duration;

/// Name of the call, and of the node that is sent it.
const CALL: &str = "call~1";
const GATE: &str = "node-1";
/// Rates of the two clocks in thousandths: as far off as chrony slews them.
const RATES: std::ops::RangeInclusive<u64> = 917..=1_083;

/// What happens next.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// Time passes; the gate stands still, or has nothing to do.
    Pause(u64),
    /// Time passes in which the gate runs: what has arrived is read.
    Run(u64),
    /// The hop's connection is made to the process that listens now.
    Connect,
    /// The process that the hop's connection leads to reads it.
    Arrive,
    /// The process at the address ends.
    Kill,
    /// The next process takes the address.
    Start,
    /// The entry has lost the hop, and the process at the address reads its question.
    Ask,
    /// The answer reaches the entry.
    Receive,
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
        2 => Just(Step::Ask),
        2 => Just(Step::Receive),
    ]
}

/// One process of the gate.
struct Life {
    table: FenceTable,
    alive: bool,
}

/// One hop, one address, the processes that stand there in turn, and two clocks.
struct World {
    /// True time, in milliseconds.
    now: u64,
    entry_rate: u64,
    gate_rate: u64,
    gate_offset: u64,
    lives: Vec<Life>,
    /// When the entry handed the hop on, by its own clock.
    begun: Moment,
    /// The process that the hop's connection leads to.
    connected: Option<usize>,
    /// The entry has given up: no connection is made any more.
    given_up: bool,
    started: bool,
    reply: Option<FenceReply>,
    finding: Option<FenceOutcome>,
}

impl World {
    fn new(now: u64, entry_rate: u64, gate_rate: u64, gate_offset: u64) -> Self {
        let mut world = Self {
            now,
            entry_rate,
            gate_rate,
            gate_offset,
            lives: Vec::new(),
            begun: Moment(now * entry_rate),
            connected: None,
            given_up: false,
            started: false,
            reply: None,
            finding: None,
        };
        world.take(Step::Start);
        world
    }

    fn entry_now(&self) -> Moment {
        Moment(self.now * self.entry_rate)
    }

    fn gate_now(&self) -> Moment {
        Moment(self.gate_offset + self.now * self.gate_rate)
    }

    fn present(&self) -> Option<usize> {
        self.lives.iter().position(|life| life.alive)
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Pause(ms) => self.now += ms,
            Step::Run(ms) => self.run(ms),
            Step::Connect if !self.given_up && self.connected.is_none() => {
                self.connected = self.present();
            }
            Step::Arrive => self.arrive(),
            Step::Kill => self.lives.iter_mut().for_each(|life| life.alive = false),
            Step::Start if self.present().is_none() => {
                let table = FenceTable::new(self.gate_now());
                self.lives.push(Life { table, alive: true });
            }
            Step::Ask if self.reply.is_none() => self.ask(),
            Step::Receive if self.finding.is_none() => self.receive(),
            Step::Connect | Step::Start | Step::Ask | Step::Receive => {}
        }
    }

    /// The process looks often, and first reads what has arrived.
    fn run(&mut self, ms: u64) {
        self.arrive();
        let end = self.now + ms;
        while self.now < end {
            self.now = end.min(self.now + 500);
            let now = self.gate_now();
            if let Some(present) = self.present() {
                self.lives[present].table.expire(now);
            }
        }
    }

    fn arrive(&mut self) {
        let now = self.gate_now();
        let Some(life) = self.connected.map(|index| &mut self.lives[index]) else {
            return;
        };
        if life.alive && life.table.start(&CALL.to_string(), now).is_ok() {
            self.started = true;
        }
        self.connected = None;
        self.given_up = true;
    }

    fn ask(&mut self) {
        self.given_up = true;
        let now = self.gate_now();
        let Some(present) = self.present() else {
            return;
        };
        self.reply = Some(FenceReply {
            by: NodeId::new(GATE).ok(),
            answer: self.lives[present].table.fence(&CALL.to_string(), now),
        });
    }

    fn receive(&mut self) {
        let Some(reply) = &self.reply else { return };
        let node = NodeId::new(GATE).unwrap();
        let age = self.entry_now().since(self.begun);
        let hop = AbandonedHop { node: &node, age };
        self.finding = Some(FenceOutcome::new(hop, Some(reply)));
    }
}

fn world() -> impl Strategy<Value = World> {
    (0_u64..400_000, RATES, RATES, 0_u64..1_000_000_000)
        .prop_map(|(now, entry, gate, offset)| World::new(now, entry, gate, offset))
}

impl std::fmt::Debug for World {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "world at {} ms, rates {} and {}, offset {}",
            self.now, self.entry_rate, self.gate_rate, self.gate_offset
        )
    }
}

fn reply(by: Option<&str>, fenced: FenceStatus, memory: Duration) -> FenceReply {
    FenceReply {
        by: by.map(|name| NodeId::new(name).unwrap()),
        answer: FenceAnswer {
            fenced,
            retention: memory,
        },
    }
}

fn finding(age: Duration, reply: &FenceReply) -> FenceOutcome {
    let node = NodeId::new(GATE).unwrap();
    FenceOutcome::new(AbandonedHop { node: &node, age }, Some(reply))
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4_096))]

    /// Whatever the order of hop, end and start of the gate's process, fence, delays
    /// and standstills: "never starts" is believed only of a call that has not started
    /// anywhere and does not start afterwards.
    #[test]
    fn never_starts_is_believed_only_of_a_call_that_never_starts(
        mut world in world(),
        steps in prop::collection::vec(step(), 1..40),
    ) {
        for step in steps {
            world.take(step);
            let believed = world.finding == Some(FenceOutcome::NeverStarts);
            prop_assert!(!(believed && world.started), "refused as not run, and started");
        }
    }

    /// A caller keeps its retry: a gate that has run since half the age of the hop and a
    /// millisecond before it, and had not started it, is believed.
    #[test]
    fn a_gate_that_remembers_the_time_of_the_hop_is_believed(
        older in 1_u64..100_000,
        before in 0_u64..40_000,
        after in 0_u64..40_000,
        entry_rate in RATES,
        gate_rate in RATES,
        offset in 0_u64..1_000_000_000,
    ) {
        let mut world = World::new(0, entry_rate, gate_rate, offset);
        world.take(Step::Run((before + after) * 3 / 2 + older));
        world.begun = world.entry_now();
        world.take(Step::Connect);
        world.take(Step::Pause(before));
        world.take(Step::Ask);
        world.take(Step::Pause(after));
        world.take(Step::Receive);
        prop_assert_eq!(world.finding, Some(FenceOutcome::NeverStarts));
        world.take(Step::Arrive);
        prop_assert!(!world.started);
    }

    /// Nothing else than "never starts" of the node that was meant is believed.
    #[test]
    fn another_node_or_an_older_one_proves_nothing(
        age_ms in 0_u64..10_000,
        by in prop_oneof![Just(None), Just(Some("node-2"))],
    ) {
        let reply = reply(by, FenceStatus::NeverStarts, FENCE_RETENTION);
        let found = finding(Duration::from_millis(age_ms), &reply);
        prop_assert_eq!(found, FenceOutcome::Unknown);
    }

    /// A word that is not known is no promise.
    #[test]
    fn an_unknown_word_proves_nothing(word in "[a-z-]{0,20}") {
        prop_assume!(word != FenceStatus::NeverStarts.as_str());
        prop_assert_ne!(FenceStatus::parse(&word), FenceStatus::NeverStarts);
    }
}

#[test]
fn what_the_gate_says_of_a_call_is_what_is_found() {
    let age = Duration::from_secs(1);
    let found = |fenced| finding(age, &reply(Some(GATE), fenced, FENCE_RETENTION));
    assert_eq!(found(FenceStatus::NeverStarts), FenceOutcome::NeverStarts);
    assert_eq!(found(FenceStatus::Started), FenceOutcome::Started);
    assert_eq!(found(FenceStatus::Unknown), FenceOutcome::Unknown);
    let node = NodeId::new(GATE).unwrap();
    let unanswered = FenceOutcome::new(AbandonedHop { node: &node, age }, None);
    assert_eq!(unanswered, FenceOutcome::NoReply);
}

/// What users would see: a call that lasts longer than a gate remembers is refused as
/// not run while it runs. Order of events: it starts; its entry goes without an answer
/// for longer than [`FENCE_RETENTION`]; the connection is lost. Cause: a start that was
/// forgotten looks like none.
#[test]
fn a_call_that_lasts_longer_than_the_memory_is_not_taken_for_one_that_never_started() {
    let mut world = World::new(500_000, 1_000, 1_000, 0);
    world.take(Step::Connect);
    world.take(Step::Arrive);
    world.take(Step::Run(FENCE_RETENTION.as_millis() as u64 + 10_000));
    world.take(Step::Ask);
    world.take(Step::Receive);
    assert_eq!(world.reply.unwrap().answer.fenced, FenceStatus::NeverStarts);
    assert_eq!(world.finding, Some(FenceOutcome::Unknown));
}

/// What users would see: a call that was refused as not run runs minutes later. Order
/// of events: a gate answers a fence and stands still, suspended, for longer than
/// [`FENCE_RETENTION`], with the hop unread in its socket; it goes on, forgets the fence
/// and reads the hop. Cause: the memory aged while nothing could be read.
#[test]
fn a_fence_outlasts_a_standstill_of_the_gate() {
    let mut table = FenceTable::new(Moment(0));
    let call = CALL.to_string();
    let fenced = Moment(1_000_000);
    assert_eq!(table.fence(&call, fenced).fenced, FenceStatus::NeverStarts);
    let awake = fenced + FENCE_RETENTION * 10;
    table.expire(awake);
    assert_eq!(table.start(&call, awake), Err(StartError::Fenced));
}

/// While the process runs, what is old enough is forgotten.
#[test]
fn decisions_are_forgotten_while_the_gate_runs() {
    let mut table = FenceTable::new(Moment(0));
    table.fence(&CALL.to_string(), Moment(0));
    let looks = FENCE_RETENTION.as_secs() + 2;
    for second in 1..=looks {
        table.expire(Moment(0) + MAX_COUNTED_GAP * second as u32);
    }
    assert!(table.is_empty());
}

/// A full table promises nothing that it could not keep, and does not grow.
#[test]
fn a_full_table_cannot_tell_of_a_call_that_it_does_not_know() {
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
