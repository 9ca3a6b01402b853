//! Steps of a single node that maintains the snapshot of its zone.

mod mesh;

use mesh::endpoint_record;
use rampthread_core::fleet::{
    Agent, AgentIdentity, FleetSettings, Machine, ZoneDirectory, ZoneSnapshot, ZoneStep, ZoneWrite,
    recorded_backend,
};
use rampthread_core::ids::{NodeId, Region, Zone};
use rampthread_core::time::Moment;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::time::Duration;

const START: Moment = Moment(3_600_000_000);
/// Longer than the delay of a first write, and than the time for which a change must settle.
const SETTLE_WAIT: Duration = Duration::from_secs(10);

/// An agent without peers in its zone.
fn lone_agent() -> Agent {
    let identity = AgentIdentity {
        id: NodeId::new("node-1").unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: zone(),
        region: Region::new("region").unwrap(),
        process_epoch: 1_700_000_000_000_000,
    };
    Agent::new(identity, FleetSettings::for_documents(), &[], 1, START)
}

fn zone() -> Zone {
    Zone::new("zone").unwrap()
}

/// Passes the result of a store read to the zone directory.
fn read(directory: &mut ZoneDirectory, snapshot_read: Option<&ZoneSnapshot>, now: Moment) {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    directory.on_read(snapshot_read, [], now, &mut rng);
}

/// Returns the write that follows a read of an empty store, and its time.
fn first_write(directory: &mut ZoneDirectory, agent: &Agent, now: Moment) -> (ZoneWrite, Moment) {
    let mut now = now;
    for _ in 0..100 {
        match directory.next_step(now, agent.membership()) {
            Some(ZoneStep::Write(write)) => return (write, now),
            Some(ZoneStep::Read { .. }) => read(directory, None, now),
            _ => now = now + Duration::from_millis(250),
        }
    }
    panic!("no snapshot was written");
}

/// Returns the snapshot as the store holds it after the write.
fn stored(write: ZoneWrite, revision: u64) -> ZoneSnapshot {
    ZoneSnapshot {
        revision,
        lease: 7,
        ..write.snapshot
    }
}

#[test]
fn first_write_on_an_empty_store_is_conditional() {
    let (agent, mut directory) = (lone_agent(), ZoneDirectory::new(zone()));
    read(&mut directory, None, START);
    let (write, _) = first_write(&mut directory, &agent, START);
    assert_eq!((write.snapshot.revision, write.with_lease), (0, false));
    assert_eq!(write.snapshot.members.len(), 1);
}

/// A snapshot that has expired is written again. If only a missing snapshot found by the first
/// read led to a write, a zone with a single machine would stay unlisted after a store outage
/// longer than the lease.
#[rstest]
#[case::lease_expired(|directory: &mut ZoneDirectory, now| directory.on_renewed(false, now))]
#[case::conflict_without_snapshot(|directory: &mut ZoneDirectory, now| directory.on_conflict(None, now))]
fn expired_snapshot_is_written_again(#[case] expire: fn(&mut ZoneDirectory, Moment)) {
    let (agent, mut directory) = (lone_agent(), ZoneDirectory::new(zone()));
    read(&mut directory, None, START);
    let (write, now) = first_write(&mut directory, &agent, START);
    directory.on_written(stored(write, 5), now);
    assert_eq!(
        directory.next_step(now + SETTLE_WAIT, agent.membership()),
        None
    );
    expire(&mut directory, now + SETTLE_WAIT);
    let (again, _) = first_write(&mut directory, &agent, now + SETTLE_WAIT);
    assert_eq!(again.snapshot.revision, 0);
}

/// A read may return an older snapshot than the one that this node has written.
#[test]
fn stale_read_is_ignored() {
    let (agent, mut directory) = (lone_agent(), ZoneDirectory::new(zone()));
    read(&mut directory, None, START);
    let (write, now) = first_write(&mut directory, &agent, START);
    let older = ZoneSnapshot {
        revision: 3,
        lease: 7,
        ..ZoneSnapshot::default()
    };
    directory.on_written(stored(write, 5), now);
    read(&mut directory, Some(&older), now);
    read(&mut directory, None, now);
    assert_eq!(
        directory.next_step(now + SETTLE_WAIT, agent.membership()),
        None
    );
}

/// The outcome of the write is unknown, so the store must be read before the next write.
#[test]
fn store_is_read_after_a_write_with_unknown_outcome() {
    let (agent, mut directory) = (lone_agent(), ZoneDirectory::new(zone()));
    read(&mut directory, None, START);
    let (_, now) = first_write(&mut directory, &agent, START);
    directory.on_write_unknown();
    let step = directory.next_step(now, agent.membership());
    assert_eq!(step, Some(ZoneStep::Read { consistent: true }));
}

/// The snapshot in the copy from which the store is restored.
fn copied_snapshot(members: usize) -> ZoneSnapshot {
    let machine = |index: usize| Machine {
        id: NodeId::new(&format!("copied-{index}")).unwrap(),
        address: format!("127.0.0.1:{}", 100 + index).parse().unwrap(),
        zone: zone(),
        region: Region::new("region").unwrap(),
        leaving: false,
        endpoint: None,
    };
    let machines = (0..members).map(machine);
    ZoneSnapshot {
        members: machines.map(|it| (it.id.clone(), it)).collect(),
        revision: 3,
        lease: 4,
    }
}

/// After a restore of the store from an older copy, the snapshot is read and written at once.
/// If the node waited for the next renewal of its lease, new machines would not find the zone
/// for up to 200 s.
#[rstest]
#[case::the_copy_is_empty(None, 0)]
#[case::the_copy_is_older(Some(copied_snapshot(2)), 3)]
fn snapshot_is_read_and_written_after_a_restore(
    #[case] copy: Option<ZoneSnapshot>,
    #[case] revision: u64,
) {
    let (agent, mut directory) = (lone_agent(), ZoneDirectory::new(zone()));
    read(&mut directory, None, START);
    let (write, now) = first_write(&mut directory, &agent, START);
    directory.on_written(stored(write, 5), now);
    assert_eq!(
        directory.next_step(now + SETTLE_WAIT, agent.membership()),
        None
    );
    let mut now = now + SETTLE_WAIT;
    directory.on_store_restored(now);
    let step = directory.next_step(now, agent.membership());
    assert_eq!(step, Some(ZoneStep::Read { consistent: true }));
    read(&mut directory, copy.as_ref(), now);
    let written = loop {
        now = now + Duration::from_millis(250);
        match directory.next_step(now, agent.membership()) {
            Some(ZoneStep::Write(write)) => break write,
            Some(ZoneStep::Read { .. }) => read(&mut directory, copy.as_ref(), now),
            Some(step) => panic!("{step:?}"),
            None => {}
        }
    };
    assert_eq!(written.snapshot.revision, revision);
    assert!(
        written
            .snapshot
            .members
            .contains_key(&agent.membership().me().id)
    );
    let kept = copy.iter().flat_map(|copy| copy.members.keys());
    assert!(
        kept.into_iter()
            .all(|id| written.snapshot.members.contains_key(id))
    );
}

/// A member known only from a snapshot is kept if the restored copy lacks it.
#[test]
fn members_missing_in_the_restored_copy_are_written() {
    let (agent, mut directory) = (lone_agent(), ZoneDirectory::new(zone()));
    let known = ZoneSnapshot {
        revision: 9,
        ..copied_snapshot(3)
    };
    read(&mut directory, Some(&known), START);
    directory.on_store_restored(START);
    let older = copied_snapshot(1);
    let mut now = START;
    let written = loop {
        match directory.next_step(now, agent.membership()) {
            Some(ZoneStep::Write(write)) => break write,
            Some(ZoneStep::Read { .. }) => read(&mut directory, Some(&older), now),
            Some(step) => panic!("{step:?}"),
            None => now = now + Duration::from_millis(250),
        }
        assert!(now < START + SETTLE_WAIT, "no snapshot was written");
    };
    assert_eq!(written.snapshot.members.len(), 4);
    assert_eq!((written.snapshot.revision, written.snapshot.lease), (3, 4));
}

/// After a restore, the previous lease id may belong to another owner, so it must not be
/// renewed. The lease of the restored copy is renewed at once, since its last renewals may be
/// lost.
#[test]
fn lease_of_the_restored_copy_is_renewed() {
    let (agent, mut directory) = (lone_agent(), ZoneDirectory::new(zone()));
    read(&mut directory, None, START);
    let (write, now) = first_write(&mut directory, &agent, START);
    let copy = ZoneSnapshot {
        lease: 2,
        ..stored(write.clone(), 3)
    };
    directory.on_written(stored(write, 5), now);
    directory.on_store_restored(now);
    let step = directory.next_step(now, agent.membership());
    assert_eq!(step, Some(ZoneStep::Read { consistent: true }));
    read(&mut directory, Some(&copy), now);
    let step = directory.next_step(now, agent.membership());
    assert_eq!(step, Some(ZoneStep::Renew(2)));
}

#[rstest]
#[case::no_departure("i-1..5", None, "i-1..5", false)]
#[case::of_this_start("i-1..5", Some("i-1..5"), "i-1..5", true)]
#[case::of_an_earlier_start("i-1..5", Some("i-1..4"), "i-1..5", false)]
#[case::of_a_later_start("i-1..5", Some("i-1..6"), "i-1..6", true)]
#[case::starts_are_unknown("i-1", Some("i-2"), "i-2", true)]
fn recorded_departure_applies_unless_of_an_earlier_incarnation(
    #[case] snapshot: &str,
    #[case] departed: Option<&str>,
    #[case] known: &str,
    #[case] draining: bool,
) {
    let snapshot = Some(endpoint_record(snapshot, 1, false));
    let departures = departed.map(|departed| endpoint_record(departed, 2, true));
    let taken = recorded_backend(snapshot, departures).unwrap();
    assert_eq!((taken.instance.as_str(), taken.draining), (known, draining));
}
