//! Faults of the store that overlap: each lasts until its own step ends.

use super::links::proxy_ip;
use crate::platform_support::PlatformFleet;
use crate::soak_history::recorder::Recorder;
use crate::soak_history::{StoreState, What};
use crate::soak_schedule::StoreFault;
use rampthread_adapter_standin::Availability;
use std::time::Duration;

/// Added to each answer of a slow store.
const SLOW: Duration = Duration::from_millis(400);
/// Answers that a store loses.
const LOST_ANSWERS: u32 = 2;

#[derive(Default)]
pub struct StoreFaults {
    active: Vec<(usize, StoreFault)>,
}

impl StoreFaults {
    pub fn begin(
        &mut self,
        fleet: &PlatformFleet,
        recorder: &Recorder,
        step: usize,
        fault: &StoreFault,
    ) {
        self.active.push((step, fault.clone()));
        recorder.note(What::Store(self.state()));
        match fault {
            StoreFault::ForgetsHistory => {
                recorder.note(What::Store(StoreState::Forgot));
                fleet.store.forget_history();
            }
            StoreFault::LosesAnswers => fleet.store.lose_answers(LOST_ANSWERS),
            _ => {}
        }
        self.apply(fleet);
    }

    pub fn end(&mut self, fleet: &PlatformFleet, recorder: &Recorder, step: usize) {
        self.active.retain(|(own, _)| *own != step);
        self.apply(fleet);
        if !self.has(|fault| *fault == StoreFault::LosesAnswers) {
            fleet.store.lose_answers(0);
        }
        recorder.note(What::Store(self.state()));
    }

    fn has(&self, test: impl Fn(&StoreFault) -> bool) -> bool {
        self.active.iter().any(|(_, fault)| test(fault))
    }

    fn state(&self) -> StoreState {
        let down = |fault: &StoreFault| {
            matches!(
                fault,
                StoreFault::Busy | StoreFault::Silent | StoreFault::Slow | StoreFault::LosesAnswers
            )
        };
        if self.has(down) {
            StoreState::Down
        } else if self.has(|fault| matches!(fault, StoreFault::Refuses(_))) {
            StoreState::RefusesSome
        } else {
            StoreState::Sound
        }
    }

    fn apply(&self, fleet: &PlatformFleet) {
        let availability = if self.has(|fault| *fault == StoreFault::Silent) {
            Availability::Silent
        } else if self.has(|fault| *fault == StoreFault::Busy) {
            Availability::Busy
        } else {
            Availability::Up
        };
        fleet.store.set_availability(availability);
        let slow = self.has(|fault| *fault == StoreFault::Slow);
        fleet
            .store
            .set_delay(if slow { SLOW } else { Duration::ZERO });
        let refused = self.active.iter().flat_map(|(_, fault)| match fault {
            StoreFault::Refuses(nodes) => nodes.as_slice(),
            _ => &[],
        });
        fleet
            .store
            .refuse(refused.map(|node| proxy_ip(fleet.ip(*node))));
    }
}
