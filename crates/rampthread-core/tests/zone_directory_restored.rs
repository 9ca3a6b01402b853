//! The nodes of a zone keep its snapshot in a store that may come back from an older copy
//! at any step, and whose answers may be lost.

mod mesh;

use mesh::Mesh;
use proptest::prelude::*;
use rampthread_core::fleet::{ZoneDirectory, ZoneSnapshot, ZoneStep, ZoneWrite};
use rampthread_core::ids::Zone;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::time::Duration;

const NODES: usize = 3;
const STEP: Duration = Duration::from_millis(250);
/// Steps between two lists of the directory by one node: 6 s.
const LIST_STEPS: usize = 24;
/// Steps without a fault at the end: one list of each node, a settled change, the turns
/// of those after the writer, and a renewal that is due at once.
const QUIET_STEPS: usize = 120;

/// Whose a lease is.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Owner {
    Snapshot,
    Other,
}

#[derive(Debug, Clone, Default)]
struct Content {
    snapshot: Option<ZoneSnapshot>,
    revision: u64,
    leases: BTreeMap<u64, Owner>,
}

impl Content {
    fn grant(&mut self, owner: Owner) -> u64 {
        let lease = self.leases.len() as u64 + 1;
        self.leases.insert(lease, owner);
        lease
    }

    /// The snapshot as it was written; none where another one stands.
    fn write(&mut self, write: &ZoneWrite) -> Option<ZoneSnapshot> {
        let standing = self.snapshot.as_ref().map_or(0, |it| it.revision);
        if standing != write.snapshot.revision {
            return None;
        }
        let known = write.snapshot.lease;
        let lease = match known != 0 && self.leases.contains_key(&known) {
            true => known,
            false => self.grant(Owner::Snapshot),
        };
        self.revision += 1;
        let written = ZoneSnapshot {
            revision: self.revision,
            lease,
            ..write.snapshot.clone()
        };
        self.snapshot = Some(written.clone());
        Some(written)
    }
}

#[derive(Debug, Clone, Copy)]
enum Fault {
    None,
    Copy,
    Restore,
    RestoreEmpty,
    LoseAnswers,
    /// Somebody else takes a lease, and changes something.
    Other,
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        12 => Just(Fault::None),
        2 => Just(Fault::Copy),
        2 => Just(Fault::Restore),
        1 => Just(Fault::RestoreEmpty),
        2 => Just(Fault::LoseAnswers),
        2 => Just(Fault::Other),
    ]
}

struct Play {
    mesh: Mesh,
    directories: Vec<ZoneDirectory>,
    /// The era that each node has seen.
    eras: Vec<u64>,
    store: Content,
    copy: Content,
    era: u64,
    rng: ChaCha8Rng,
}

impl Play {
    fn new() -> Self {
        let mut mesh = Mesh::new(NODES);
        mesh.run(Duration::from_secs(3));
        let zone = Zone::new("zone").unwrap();
        Self {
            mesh,
            directories: (0..NODES)
                .map(|_| ZoneDirectory::new(zone.clone()))
                .collect(),
            eras: vec![0; NODES],
            store: Content::default(),
            copy: Content::default(),
            era: 0,
            rng: ChaCha8Rng::seed_from_u64(1),
        }
    }

    fn suffer(&mut self, fault: Fault) {
        match fault {
            Fault::Copy => self.copy = self.store.clone(),
            Fault::Restore => self.restore(self.copy.clone()),
            Fault::RestoreEmpty => self.restore(Content::default()),
            Fault::Other => {
                self.store.grant(Owner::Other);
                self.store.revision += 1;
            }
            Fault::None | Fault::LoseAnswers => {}
        }
    }

    fn restore(&mut self, content: Content) {
        self.store = content;
        self.era += 1;
    }

    fn step(&mut self, number: usize, lost: bool) {
        self.mesh.run(STEP);
        let now = self.mesh.now;
        for node in 0..NODES {
            if number % LIST_STEPS == node {
                self.call(node, Some(ZoneStep::Read { consistent: false }), lost);
            }
            let membership = self.mesh.agents[node].membership();
            let step = self.directories[node].next_step(now, membership);
            self.call(node, step, lost);
        }
    }

    /// A call of a node; an answer that shows a newer era is that news and nothing else.
    fn call(&mut self, node: usize, step: Option<ZoneStep>, lost: bool) {
        let Some(step) = step else { return };
        let now = self.mesh.now;
        let directory = &mut self.directories[node];
        let written = match &step {
            ZoneStep::Write(write) => self.store.write(write),
            _ => None,
        };
        let risen = self.eras[node] < self.era;
        if lost || risen {
            if matches!(step, ZoneStep::Write(_)) {
                directory.on_write_unknown();
            }
            if risen && !lost {
                self.eras[node] = self.era;
                directory.on_store_restored(now);
            }
            return;
        }
        match (step, written) {
            (ZoneStep::Read { .. }, _) => {
                let found = self.store.snapshot.as_ref();
                directory.on_read(found, [], now, &mut self.rng);
            }
            (ZoneStep::Write(_), Some(written)) => directory.on_written(written, now),
            (ZoneStep::Write(_), None) => {
                directory.on_conflict(self.store.snapshot.as_ref(), now);
            }
            (ZoneStep::Renew(lease), _) => {
                directory.on_renewed(self.store.leases.contains_key(&lease), now);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    /// Whatever the store lost, soon after the last fault it holds all nodes of the zone
    /// again, at the latest when each of them has listed the directory once.
    #[test]
    fn the_zone_stands_whole_in_the_store_again(
        faults in prop::collection::vec(fault(), 0..80),
    ) {
        let mut play = Play::new();
        for (number, fault) in faults.iter().enumerate() {
            play.suffer(*fault);
            play.step(number, matches!(fault, Fault::LoseAnswers));
        }
        for number in 0..QUIET_STEPS {
            play.step(number, false);
        }
        let snapshot = play.store.snapshot.as_ref().expect("a snapshot");
        prop_assert_eq!(snapshot.members.len(), NODES);
        prop_assert!(play.store.leases.contains_key(&snapshot.lease));
    }
}
