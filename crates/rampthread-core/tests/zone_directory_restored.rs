//! The nodes of a zone maintain its snapshot in a store that may be restored from an older copy
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
/// Steps between two reads of the directory by one node: 6 s.
const READ_INTERVAL_STEPS: usize = 24;
/// Steps without faults at the end. Enough for a read of each node, a settled change, the
/// takeover delays of the other candidates, and a renewal that is due at once.
const RECOVERY_STEPS: usize = 120;

/// Owner of a lease in the store.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Owner {
    Snapshot,
    Other,
}

/// What the simulated store holds, and what a copy of it contains.
#[derive(Debug, Clone, Default)]
struct StoreContent {
    snapshot: Option<ZoneSnapshot>,
    revision: u64,
    leases: BTreeMap<u64, Owner>,
}

impl StoreContent {
    /// Creates a lease and returns its id.
    fn grant(&mut self, owner: Owner) -> u64 {
        let lease = self.leases.len() as u64 + 1;
        self.leases.insert(lease, owner);
        lease
    }

    /// Applies a conditional write. Returns the stored snapshot, or `None` on a conflict.
    fn write(&mut self, write: &ZoneWrite) -> Option<ZoneSnapshot> {
        let stored_revision = self.snapshot.as_ref().map_or(0, |it| it.revision);
        if stored_revision != write.snapshot.revision {
            return None;
        }
        let previous_lease = write.snapshot.lease;
        let lease = match previous_lease != 0 && self.leases.contains_key(&previous_lease) {
            true => previous_lease,
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

/// Fault that the store may have in one step of the simulation.
#[derive(Debug, Clone, Copy)]
enum Fault {
    None,
    Copy,
    Restore,
    RestoreEmpty,
    LoseAnswers,
    /// Another client of the store acquires a lease and writes to the store.
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

/// Zone directories of a few nodes, and the simulated store in which they keep the snapshot.
struct RestoreSimulation {
    mesh: Mesh,
    directories: Vec<ZoneDirectory>,
    /// Latest store era known to each node. The store raises it each time it is restored.
    eras: Vec<u64>,
    store: StoreContent,
    copy: StoreContent,
    era: u64,
    rng: ChaCha8Rng,
}

impl RestoreSimulation {
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
            store: StoreContent::default(),
            copy: StoreContent::default(),
            era: 0,
            rng: ChaCha8Rng::seed_from_u64(1),
        }
    }

    /// Applies a fault to the simulated store.
    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::Copy => self.copy = self.store.clone(),
            Fault::Restore => self.restore(self.copy.clone()),
            Fault::RestoreEmpty => self.restore(StoreContent::default()),
            Fault::Other => {
                self.store.grant(Owner::Other);
                self.store.revision += 1;
            }
            Fault::None | Fault::LoseAnswers => {}
        }
    }

    /// Replaces the content of the store by that of an older copy or by an empty one, and raises
    /// the store era.
    fn restore(&mut self, content: StoreContent) {
        self.store = content;
        self.era += 1;
    }

    /// Advances the simulation by one step, in which each node may call the store.
    fn step(&mut self, number: usize, answer_lost: bool) {
        self.mesh.run(STEP);
        let now = self.mesh.now;
        for node in 0..NODES {
            if number % READ_INTERVAL_STEPS == node {
                self.call(
                    node,
                    Some(ZoneStep::Read { consistent: false }),
                    answer_lost,
                );
            }
            let membership = self.mesh.agents[node].membership();
            let step = self.directories[node].next_step(now, membership);
            self.call(node, step, answer_lost);
        }
    }

    /// Performs a store call of a node. An answer with a newer era is handled only as a notice
    /// of the restore.
    fn call(&mut self, node: usize, step: Option<ZoneStep>, answer_lost: bool) {
        let Some(step) = step else { return };
        let now = self.mesh.now;
        let directory = &mut self.directories[node];
        let written = match &step {
            ZoneStep::Write(write) => self.store.write(write),
            _ => None,
        };
        let has_newer_era = self.eras[node] < self.era;
        if answer_lost || has_newer_era {
            if matches!(step, ZoneStep::Write(_)) {
                directory.on_write_unknown();
            }
            if has_newer_era && !answer_lost {
                self.eras[node] = self.era;
                directory.on_store_restored(now);
            }
            return;
        }
        match (step, written) {
            (ZoneStep::Read { .. }, _) => {
                let snapshot = self.store.snapshot.as_ref();
                directory.on_read(snapshot, [], now, &mut self.rng);
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

    /// Whatever the store has lost, its snapshot contains all nodes of the zone soon after the
    /// last fault, at the latest after each node has read the directory once.
    #[test]
    fn snapshot_is_complete_again_after_faults(
        faults in prop::collection::vec(fault(), 0..80),
    ) {
        let mut simulation = RestoreSimulation::new();
        for (number, fault) in faults.iter().enumerate() {
            simulation.inject(*fault);
            simulation.step(number, matches!(fault, Fault::LoseAnswers));
        }
        for number in 0..RECOVERY_STEPS {
            simulation.step(number, false);
        }
        let snapshot = simulation.store.snapshot.as_ref().expect("a snapshot");
        prop_assert_eq!(snapshot.members.len(), NODES);
        prop_assert!(simulation.store.leases.contains_key(&snapshot.lease));
    }
}
