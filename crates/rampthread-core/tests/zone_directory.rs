//! One node's part in keeping its zone's snapshot, step by step.

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
/// Longer than a node waits before its first write, and than a change settles.
const LONG: Duration = Duration::from_secs(10);

/// A node that is alone in its zone.
fn alone() -> Agent {
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

fn look(directory: &mut ZoneDirectory, found: Option<&ZoneSnapshot>, now: Moment) {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    directory.on_read(found, [], now, &mut rng);
}

/// The write that follows an empty store, and when.
fn first_write(directory: &mut ZoneDirectory, agent: &Agent, now: Moment) -> (ZoneWrite, Moment) {
    let mut now = now;
    for _ in 0..100 {
        match directory.next_step(now, agent.membership()) {
            Some(ZoneStep::Write(write)) => return (write, now),
            Some(ZoneStep::Read { .. }) => look(directory, None, now),
            _ => now = now + Duration::from_millis(250),
        }
    }
    panic!("nothing is written");
}

fn stands(write: ZoneWrite, revision: u64) -> ZoneSnapshot {
    ZoneSnapshot {
        revision,
        lease: 7,
        ..write.snapshot
    }
}

#[test]
fn a_node_on_an_empty_store_writes_itself_on_the_condition_that_nobody_has() {
    let (agent, mut directory) = (alone(), ZoneDirectory::new(zone()));
    look(&mut directory, None, START);
    let (write, _) = first_write(&mut directory, &agent, START);
    assert_eq!((write.snapshot.revision, write.with_lease), (0, false));
    assert_eq!(write.snapshot.members.len(), 1);
}

/// What users would see: after an outage of the store longer than a lease, a zone of one
/// machine is in no list any more, and machines that start do not find it.
///
/// Cause: only what a first read found absent was written anew.
#[rstest]
#[case::its_lease_is_over(|directory: &mut ZoneDirectory, now| directory.on_renewed(false, now))]
#[case::another_write_finds_none(|directory: &mut ZoneDirectory, now| directory.on_conflict(None, now))]
fn a_snapshot_that_is_gone_is_written_again(#[case] goes: fn(&mut ZoneDirectory, Moment)) {
    let (agent, mut directory) = (alone(), ZoneDirectory::new(zone()));
    look(&mut directory, None, START);
    let (write, now) = first_write(&mut directory, &agent, START);
    directory.on_written(stands(write, 5), now);
    assert_eq!(directory.next_step(now + LONG, agent.membership()), None);
    goes(&mut directory, now + LONG);
    let (again, _) = first_write(&mut directory, &agent, now + LONG);
    assert_eq!(again.snapshot.revision, 0);
}

/// A read may be older than what this node has written itself.
#[test]
fn an_old_read_takes_nothing_back() {
    let (agent, mut directory) = (alone(), ZoneDirectory::new(zone()));
    look(&mut directory, None, START);
    let (write, now) = first_write(&mut directory, &agent, START);
    let older = ZoneSnapshot {
        revision: 3,
        lease: 7,
        ..ZoneSnapshot::default()
    };
    directory.on_written(stands(write, 5), now);
    look(&mut directory, Some(&older), now);
    look(&mut directory, None, now);
    assert_eq!(directory.next_step(now + LONG, agent.membership()), None);
}

/// Nobody knows whether the write was done: it is looked at before anything is written.
#[test]
fn after_an_unknown_write_the_store_is_looked_at() {
    let (agent, mut directory) = (alone(), ZoneDirectory::new(zone()));
    look(&mut directory, None, START);
    let (_, now) = first_write(&mut directory, &agent, START);
    directory.on_write_unknown();
    let step = directory.next_step(now, agent.membership());
    assert_eq!(step, Some(ZoneStep::Read { consistent: true }));
}

/// The snapshot that the copy holds, if any.
fn copied(members: usize) -> ZoneSnapshot {
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

/// What users would see: for up to 200 s after the store came back from an older copy,
/// machines that start find nobody of a zone.
///
/// Cause: the snapshot was believed stored until the next renewal of its lease.
#[rstest]
#[case::the_copy_is_empty(None, 0)]
#[case::the_copy_is_older(Some(copied(2)), 3)]
fn after_a_restore_the_snapshot_is_looked_at_and_written_again(
    #[case] copy: Option<ZoneSnapshot>,
    #[case] revision: u64,
) {
    let (agent, mut directory) = (alone(), ZoneDirectory::new(zone()));
    look(&mut directory, None, START);
    let (write, now) = first_write(&mut directory, &agent, START);
    directory.on_written(stands(write, 5), now);
    assert_eq!(directory.next_step(now + LONG, agent.membership()), None);
    let mut now = now + LONG;
    directory.on_store_restored(now);
    let step = directory.next_step(now, agent.membership());
    assert_eq!(step, Some(ZoneStep::Read { consistent: true }));
    look(&mut directory, copy.as_ref(), now);
    let written = loop {
        now = now + Duration::from_millis(250);
        match directory.next_step(now, agent.membership()) {
            Some(ZoneStep::Write(write)) => break write,
            Some(ZoneStep::Read { .. }) => look(&mut directory, copy.as_ref(), now),
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

/// A member that is known from the snapshot alone, and that the copy lacks, stays.
#[test]
fn members_that_the_copy_lacks_are_written_again() {
    let (agent, mut directory) = (alone(), ZoneDirectory::new(zone()));
    let known = ZoneSnapshot {
        revision: 9,
        ..copied(3)
    };
    look(&mut directory, Some(&known), START);
    directory.on_store_restored(START);
    let older = copied(1);
    let mut now = START;
    let written = loop {
        match directory.next_step(now, agent.membership()) {
            Some(ZoneStep::Write(write)) => break write,
            Some(ZoneStep::Read { .. }) => look(&mut directory, Some(&older), now),
            Some(step) => panic!("{step:?}"),
            None => now = now + Duration::from_millis(250),
        }
        assert!(now < START + LONG, "nothing is written");
    };
    assert_eq!(written.snapshot.members.len(), 4);
    assert_eq!((written.snapshot.revision, written.snapshot.lease), (3, 4));
}

/// A lease of before may be somebody else's now: it is not renewed before the store was
/// looked at, and one that the copy holds is renewed at once, since renewals are lost.
#[test]
fn a_lease_is_renewed_only_as_the_copy_names_it() {
    let (agent, mut directory) = (alone(), ZoneDirectory::new(zone()));
    look(&mut directory, None, START);
    let (write, now) = first_write(&mut directory, &agent, START);
    let copy = ZoneSnapshot {
        lease: 2,
        ..stands(write.clone(), 3)
    };
    directory.on_written(stands(write, 5), now);
    directory.on_store_restored(now);
    let step = directory.next_step(now, agent.membership());
    assert_eq!(step, Some(ZoneStep::Read { consistent: true }));
    look(&mut directory, Some(&copy), now);
    let step = directory.next_step(now, agent.membership());
    assert_eq!(step, Some(ZoneStep::Renew(2)));
}

#[rstest]
#[case::no_leave("i-1..5", None, "i-1..5", false)]
#[case::of_this_start("i-1..5", Some("i-1..5"), "i-1..5", true)]
#[case::of_an_earlier_start("i-1..5", Some("i-1..4"), "i-1..5", false)]
#[case::of_a_later_start("i-1..5", Some("i-1..6"), "i-1..6", true)]
#[case::starts_are_unknown("i-1", Some("i-2"), "i-2", true)]
fn a_recorded_leave_counts_unless_it_is_known_to_be_earlier(
    #[case] snapshot: &str,
    #[case] left: Option<&str>,
    #[case] known: &str,
    #[case] draining: bool,
) {
    let snapshot = Some(endpoint_record(snapshot, 1, false));
    let leaves = left.map(|left| endpoint_record(left, 2, true));
    let taken = recorded_backend(snapshot, leaves).unwrap();
    assert_eq!((taken.instance.as_str(), taken.draining), (known, draining));
}
