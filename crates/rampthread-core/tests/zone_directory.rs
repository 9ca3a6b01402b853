//! One node's part in keeping its zone's snapshot, step by step.

mod mesh;

use mesh::endpoint_record;
use rampthread_core::fleet::{
    Agent, AgentIdentity, FleetSettings, ZoneDirectory, ZoneSnapshot, ZoneStep, ZoneWrite,
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
        life: 1_700_000_000_000_000,
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
            Some(ZoneStep::Look { .. }) => look(directory, None, now),
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
    assert_eq!((write.snapshot.revision, write.under_lease), (0, false));
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
    directory.on_unknown();
    let step = directory.next_step(now, agent.membership());
    assert_eq!(step, Some(ZoneStep::Look { current: true }));
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
