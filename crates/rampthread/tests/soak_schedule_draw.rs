//! Schedules of faults: the same ones from the same seed, and playable as they are.

mod soak_schedule;

use proptest::prelude::*;
use soak_schedule::{
    BackEndFault, Fault, LinkFault, Nodes, Schedule, ScheduleError, Step, VersionKind,
};
use std::collections::HashSet;
use std::time::Duration;

const LENGTH: Duration = Duration::from_secs(10);
/// Seeds among which each kind of fault must be found.
const SEEDS: u64 = 200;

proptest! {
    #[test]
    fn a_seed_has_one_schedule(seed: u64, nodes in 2_usize..80) {
        let schedule = Schedule::draw(seed, nodes, LENGTH);
        prop_assert_eq!(&schedule, &Schedule::draw(seed, nodes, LENGTH));
        let text = schedule.to_json();
        let read = Schedule::from_json(&text).unwrap();
        prop_assert_eq!(schedule, read);
    }

    #[test]
    fn all_faults_are_over_at_the_end(seed: u64, nodes in 2_usize..80) {
        let schedule = Schedule::draw(seed, nodes, LENGTH);
        prop_assert!(schedule.steps.is_sorted_by_key(|step| step.at));
        for step in &schedule.steps {
            prop_assert!(step.at + step.lasts <= LENGTH, "{:?}", step);
            prop_assert!(step.nodes().iter().all(|node| *node < nodes), "{:?}", step);
        }
    }

    #[test]
    fn what_must_not_be_taken_is_followed_by_a_sound_version(seed: u64) {
        let schedule = Schedule::draw(seed, 6, LENGTH);
        for (index, step) in schedule.steps.iter().enumerate() {
            let passing = matches!(
                step.fault,
                Fault::Version(VersionKind::Invalid(_) | VersionKind::Older)
            );
            let sound = |later: &Step| later.fault == Fault::Version(VersionKind::Plain);
            let followed = schedule.steps[index + 1..].iter().any(sound);
            prop_assert!(!passing || followed, "{}", schedule);
        }
    }
}

fn overlap(one: &Step, other: &Step) -> bool {
    one.at < other.at + other.lasts && other.at < one.at + one.lasts
}

/// A gate is killed while an entry is held up, and starts again before that goes on.
fn replaces_a_gate_beside_a_held_entry(schedule: &Schedule) -> bool {
    schedule.steps.iter().any(|held| {
        let Fault::Hold { node: entry } = held.fault else {
            return false;
        };
        schedule.steps.iter().any(|killed| match &killed.fault {
            Fault::Kill { nodes } => {
                nodes.iter().any(|gate| *gate != entry)
                    && held.at < killed.at
                    && killed.at + killed.lasts < held.at + held.lasts
            }
            _ => false,
        })
    })
}

/// A version is written while the store is silent to all that watch it.
fn silences_all_watchers(schedule: &Schedule) -> bool {
    schedule.steps.iter().any(|silent| {
        let fault = Fault::StoreLink {
            nodes: Nodes::Watchers,
            link: LinkFault::Silent,
        };
        silent.fault == fault
            && schedule.steps.iter().any(|version| {
                version.fault == Fault::Version(VersionKind::Plain) && overlap(version, silent)
            })
    })
}

#[test]
fn every_kind_of_fault_is_drawn() {
    let schedules: Vec<Schedule> = (0..SEEDS)
        .map(|seed| Schedule::draw(seed, 8, LENGTH))
        .collect();
    assert!(schedules.iter().any(replaces_a_gate_beside_a_held_entry));
    assert!(schedules.iter().any(silences_all_watchers));
    let steps = schedules.iter().flat_map(|schedule| &schedule.steps);
    let kinds: HashSet<String> = steps
        .map(|step| match &step.fault {
            Fault::BackEnd { fault, .. } => format!("{fault:?}"),
            Fault::StoreLink { link, .. } => format!("store {link:?}"),
            Fault::BackEndLink { link, .. } => format!("back end {link:?}"),
            Fault::Version(kind) => format!("{kind:?}"),
            other => format!("{other:?}")
                .split([' ', '('])
                .next()
                .unwrap()
                .to_string(),
        })
        .collect();
    let leave = format!("{:?}", BackEndFault::Leave);
    assert!(kinds.contains(&leave), "{kinds:?}");
    // 6 back ends' faults and 5 limits, 7 of each kind of link, 8 kinds of versions, and 5
    // others.
    assert_eq!(kinds.len(), 6 + 5 + 7 + 7 + 8 + 5, "{kinds:?}");
}

#[test]
fn a_schedule_that_cannot_be_played_is_refused_with_its_place() {
    let mut schedule = Schedule::draw(1, 4, LENGTH);
    schedule.steps.truncate(1);
    schedule.steps[0].fault = Fault::Hold { node: 4 };
    let text = schedule.to_json();
    let refused = Schedule::from_json(&text);
    let Err(ScheduleError::Node { step, node, nodes }) = refused else {
        panic!("{refused:?}");
    };
    assert_eq!((step, node, nodes), (0, 4, 4));
    let unknown = Schedule::from_json(&text.replace("hold", "flood")).unwrap_err();
    assert!(unknown.to_string().contains("flood"), "{unknown}");
    let torn = Schedule::from_json(&text[..text.len() / 2]);
    assert!(matches!(torn, Err(ScheduleError::Text(_))), "{torn:?}");
}
