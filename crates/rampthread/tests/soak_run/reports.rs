//! Reports of the back ends, each to the node beside it, and how a back end leaves.

use crate::platform_support::PlatformFleet;
use crate::soak_history::recorder::Recorder;
use crate::soak_history::{BackEndStart, What};
use async_std::future::timeout;
use async_std::task::block_on;
use rampthread_adapter_standin::StandInBackend;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::Scope;
use std::time::{Duration, Instant};

/// Pause between two reports.
const PAUSE: Duration = Duration::from_millis(500);
/// A report that is not acknowledged within this time counts as lost.
const REPORT_WAIT: Duration = Duration::from_secs(1);
/// Step of waits that end with the soak.
const STEP: Duration = Duration::from_millis(50);
/// Time for which a back end that leaves goes on serving: the platform's bound for
/// drains and a little longer.
const SERVES_ON: Duration = Duration::from_millis(2_600);
/// Tries to have the leave acknowledged.
const DRAIN_TRIES: u32 = 4;
/// Time until the next incarnation listens.
const DOWN: Duration = Duration::from_millis(300);
/// Sequences of later reports are above those that the stand-in sends itself.
const FIRST_SEQUENCE: u64 = 10;

/// Requests to leave, one a back end.
pub struct Reporters {
    leave: Vec<Arc<AtomicBool>>,
}

impl Reporters {
    pub fn start<'scope, 'env: 'scope>(
        scope: &'scope Scope<'scope, 'env>,
        fleet: &PlatformFleet,
        recorder: &Recorder,
        stop: &'env AtomicBool,
    ) -> Self {
        let leave: Vec<Arc<AtomicBool>> =
            fleet.backends.iter().map(|_| Default::default()).collect();
        for (node, backend) in fleet.backends.iter().enumerate() {
            let reporter = Reporter {
                backend: backend.clone(),
                reports: fleet.reports(node),
                sequence: AtomicU64::new(FIRST_SEQUENCE),
                recorder: recorder.clone(),
            };
            let leave = leave[node].clone();
            scope.spawn(move || reporter.run(&leave, stop));
        }
        Self { leave }
    }

    /// The back end beside `node` leaves in good order and starts again.
    pub fn leave(&self, node: usize) {
        self.leave[node].store(true, Ordering::Relaxed);
    }
}

struct Reporter {
    backend: StandInBackend,
    reports: SocketAddr,
    sequence: AtomicU64,
    recorder: Recorder,
}

impl Reporter {
    fn run(&self, leave: &AtomicBool, stop: &AtomicBool) {
        while !stop.load(Ordering::Relaxed) {
            if leave.swap(false, Ordering::Relaxed) {
                self.leave(stop);
            }
            if !self.backend.is_down() {
                self.report("ready");
            }
            wait(PAUSE, stop);
        }
    }

    /// True when the report was acknowledged in time.
    fn report(&self, state: &str) -> bool {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let report = self.backend.heartbeat(self.reports, state, sequence);
        block_on(timeout(REPORT_WAIT, report)).unwrap_or(false)
    }

    fn leave(&self, stop: &AtomicBool) {
        let start = self.start();
        let acknowledged = (0..DRAIN_TRIES).any(|_| self.report("draining"));
        if self.is_another_than(&start) {
            return;
        }
        if acknowledged {
            self.recorder.note(What::DrainAcknowledged(start.clone()));
        }
        wait(SERVES_ON, stop);
        if self.is_another_than(&start) {
            return;
        }
        let goodbye = self.backend.deregister(self.reports);
        let _ = block_on(timeout(REPORT_WAIT, goodbye));
        self.start_again();
    }

    /// Crashed meanwhile: what was said holds for the last incarnation.
    fn is_another_than(&self, start: &BackEndStart) -> bool {
        self.backend.is_down() || self.start() != *start
    }

    /// The present start.
    fn start(&self) -> BackEndStart {
        BackEndStart {
            id: self.backend.instance(),
            born_ms: self.backend.born_ms(),
        }
    }

    /// Every second start keeps the id of the one before.
    fn start_again(&self) {
        self.backend.crash(DOWN);
    }
}

fn wait(time: Duration, stop: &AtomicBool) {
    let begun = Instant::now();
    while begun.elapsed() < time && !stop.load(Ordering::Relaxed) {
        std::thread::sleep(STEP);
    }
}
