//! Draws a schedule from a seed. Each seed has a few families of faults only, so that
//! each of them is also met without the noise of all others.

use super::{
    BackEndFault, Defect, Fault, LinkFault, Nodes, Schedule, Step, StoreFault, VersionKind,
};
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use std::ops::Range;
use std::time::Duration;

/// Faults that belong together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Family {
    /// An entry is held up while gates are killed and started again.
    GatesReplacedBesideHeldEntry,
    /// The store's links of all that watch it, or of most nodes, fail; then a version.
    WatchersCut,
    Processes,
    Links,
    Store,
    Versions,
    BackEnds,
}

const FAMILIES: [Family; 7] = [
    Family::GatesReplacedBesideHeldEntry,
    Family::WatchersCut,
    Family::Processes,
    Family::Links,
    Family::Store,
    Family::Versions,
    Family::BackEnds,
];

/// Families of one seed.
const FAMILIES_OF_A_SEED: Range<usize> = 1..5;
/// Milliseconds between the beginnings of two faults.
const FAULT_GAP: Range<u64> = 100..1_200;
/// Milliseconds between two ordinary versions, which every schedule has.
const VERSION_GAP: Range<u64> = 400..2_500;
/// Part of the schedules in which a request crashes back ends.
const CRASHING_SHARE: f64 = 0.6;
/// Part of the schedules in which back ends go on with work that nobody waits for.
const WORKS_ON_SHARE: f64 = 0.5;

const LINK_FAULTS: [LinkFault; 7] = [
    LinkFault::Delayed,
    LinkFault::Reset,
    LinkFault::Silent,
    LinkFault::AnswersLost,
    LinkFault::RequestsLost,
    LinkFault::Narrow,
    LinkFault::Forgotten,
];

/// Limits that back ends name, in requests in 1000 s.
const LIMITS: [u32; 5] = [0, 500, 2_000, 5_000, 12_500];

const DEFECTS: [Defect; 5] = [
    Defect::NoRoutes,
    Defect::NoServices,
    Defect::NoLimits,
    Defect::ServiceAndSplit,
    Defect::Unreadable,
];

impl Schedule {
    /// The schedule of a seed: the same one each time.
    pub fn draw(seed: u64, nodes: usize, length: Duration) -> Self {
        let mut draw = Draw {
            rng: StdRng::seed_from_u64(seed),
            nodes,
            end: length.as_millis() as u64,
            steps: Vec::new(),
        };
        let crashing_request = draw.rng.random_bool(CRASHING_SHARE);
        let works_on = draw.rng.random_bool(WORKS_ON_SHARE);
        draw.ordinary_versions();
        draw.faults();
        draw.steps.sort_by_key(|step| step.at);
        Self {
            seed,
            nodes,
            length,
            crashing_request,
            works_on,
            steps: draw.steps,
        }
    }
}

struct Draw {
    rng: StdRng,
    nodes: usize,
    /// Milliseconds after which all faults are over.
    end: u64,
    steps: Vec<Step>,
}

impl Draw {
    fn ordinary_versions(&mut self) {
        let mut at = 0;
        while at < self.end {
            at += self.rng.random_range(VERSION_GAP);
            self.step(at, 0, Fault::Version(VersionKind::Plain));
        }
        // The last document is a sound one, whatever was written before it.
        self.step(self.end - 1, 0, Fault::Version(VersionKind::Plain));
    }

    fn faults(&mut self) {
        let count = self.rng.random_range(FAMILIES_OF_A_SEED);
        let families: Vec<Family> = FAMILIES
            .choose_multiple(&mut self.rng, count)
            .copied()
            .collect();
        let mut at = self.rng.random_range(FAULT_GAP);
        while at < self.end {
            let family = families[self.rng.random_range(0..families.len())];
            at = self.family(family, at);
            at += self.rng.random_range(FAULT_GAP);
        }
    }

    /// Draws one fault of a family; returns when the next one may begin.
    fn family(&mut self, family: Family, at: u64) -> u64 {
        match family {
            Family::GatesReplacedBesideHeldEntry => self.gates_replaced(at),
            Family::WatchersCut => return self.watchers_cut(at),
            Family::Processes => self.process(at),
            Family::Links => self.link(at),
            Family::Store => self.store(at),
            Family::Versions => self.versions(at),
            Family::BackEnds => self.back_end(at),
        }
        at
    }

    fn step(&mut self, at: u64, lasts: u64, fault: Fault) {
        if at >= self.end {
            return;
        }
        let lasts = lasts.min(self.end - at);
        self.steps.push(Step {
            at: Duration::from_millis(at),
            lasts: Duration::from_millis(lasts),
            fault,
        });
    }

    fn node(&mut self) -> usize {
        self.rng.random_range(0..self.nodes)
    }

    /// Between `from` and `to` percent of the nodes, one at least.
    fn some(&mut self, from: usize, to: usize) -> Vec<usize> {
        let percent = self.rng.random_range(from..to);
        let count = (self.nodes * percent / 100).max(1);
        let mut nodes: Vec<usize> = (0..self.nodes).collect();
        nodes.shuffle(&mut self.rng);
        nodes.truncate(count);
        nodes
    }

    /// At once in half of the cases.
    fn down_for(&mut self, late: Range<u64>) -> u64 {
        match self.rng.random_bool(0.5) {
            true => 0,
            false => self.rng.random_range(late),
        }
    }

    fn gates_replaced(&mut self, at: u64) {
        let entry = self.node();
        let held = self.rng.random_range(300..2_000);
        self.step(at, held, Fault::Hold { node: entry });
        let mut gates = match self.rng.random_bool(0.5) {
            true => vec![self.node()],
            false => self.some(40, 100),
        };
        gates.retain(|gate| *gate != entry);
        let killed = at + self.rng.random_range(1..held / 2);
        let down = self.down_for(50..500);
        self.step(killed, down, Fault::Kill { nodes: gates });
    }

    fn watchers_cut(&mut self, at: u64) -> u64 {
        let nodes = match self.rng.random_bool(0.7) {
            true => Nodes::Watchers,
            false => Nodes::These(self.some(50, 95)),
        };
        let link = match self.rng.random_bool(0.5) {
            true => LinkFault::Silent,
            false => LINK_FAULTS[self.rng.random_range(0..LINK_FAULTS.len())],
        };
        let lasts = self.rng.random_range(1_500..7_000);
        self.step(at, lasts, Fault::StoreLink { nodes, link });
        let version = at + self.rng.random_range(50..1_000);
        self.step(version, 0, Fault::Version(VersionKind::Plain));
        at + lasts
    }

    fn process(&mut self, at: u64) {
        let node = self.node();
        match self.rng.random_range(0..7) {
            0 => {
                let down = self.down_for(50..1_500);
                let nodes = vec![node];
                self.step(at, down, Fault::Kill { nodes });
            }
            1 => {
                let down = self.down_for(50..800);
                let nodes = self.some(30, 80);
                self.step(at, down, Fault::Kill { nodes });
            }
            2 => {
                let held = self.rng.random_range(50..1_500);
                self.step(at, held, Fault::Hold { node });
            }
            3 => {
                for node in self.some(30, 80) {
                    let begin = at + self.rng.random_range(0..200);
                    let held = self.rng.random_range(100..1_500);
                    self.step(begin, held, Fault::Hold { node });
                }
            }
            4 => self.terminate(node, at),
            5 => {
                for node in self.some(20, 60) {
                    let begin = at + self.rng.random_range(0..500);
                    self.terminate(node, begin);
                }
            }
            _ => {
                for again in 0..self.rng.random_range(1..5) {
                    self.step(at + again * 40, 0, Fault::Reload { node });
                }
            }
        }
    }

    /// A planned stop; at times told twice, reloaded before, or held up within it.
    fn terminate(&mut self, node: usize, at: u64) {
        self.step(at, 0, Fault::Terminate { node });
        match self.rng.random_range(0..5) {
            0 => self.step(at + 100, 0, Fault::Terminate { node }),
            1 => self.step(at.saturating_sub(20), 0, Fault::Reload { node }),
            2 => self.step(at + 50, 400, Fault::Hold { node }),
            _ => {}
        }
    }

    fn link(&mut self, at: u64) {
        let nodes = match self.rng.random_range(0..4) {
            0 => self.some(50, 95),
            _ => self.some(10, 40),
        };
        let nodes = Nodes::These(nodes);
        let link = LINK_FAULTS[self.rng.random_range(0..LINK_FAULTS.len())];
        let lasts = self.rng.random_range(50..2_500);
        let fault = match self.rng.random_bool(0.5) {
            true => Fault::StoreLink { nodes, link },
            false => Fault::BackEndLink { nodes, link },
        };
        self.step(at, lasts, fault);
    }

    fn store(&mut self, at: u64) {
        let lasts = self.rng.random_range(50..2_000);
        let fault = match self.rng.random_range(0..7) {
            0 => StoreFault::Busy,
            1 => StoreFault::Silent,
            2 => StoreFault::Slow,
            3 => StoreFault::LosesAnswers,
            4 => StoreFault::ForgetsHistory,
            _ => StoreFault::Refuses(self.some(10, 90)),
        };
        self.step(at, lasts, Fault::Store(fault));
    }

    fn versions(&mut self, at: u64) {
        match self.rng.random_range(0..5) {
            0 => {
                for number in 0..self.rng.random_range(3..12) {
                    let begin = at + number * self.rng.random_range(5..60);
                    self.step(begin, 0, Fault::Version(VersionKind::Plain));
                }
            }
            1 => self.step(at, 0, Fault::Version(VersionKind::Large)),
            2 => self.passing_version(at, VersionKind::Older),
            _ => {
                let defect = DEFECTS[self.rng.random_range(0..DEFECTS.len())];
                self.passing_version(at, VersionKind::Invalid(defect));
            }
        }
    }

    /// One that must not be taken, until the next sound one.
    fn passing_version(&mut self, at: u64, kind: VersionKind) {
        if at + 1 >= self.end {
            return;
        }
        self.step(at, 0, Fault::Version(kind));
        let next = at + self.rng.random_range(300..1_200);
        self.step(next, 0, Fault::Version(VersionKind::Plain));
    }

    fn back_end(&mut self, at: u64) {
        let fault = match self.rng.random_range(0..9) {
            0 | 1 => BackEndFault::Crash,
            2 => BackEndFault::Sheds,
            3 => BackEndFault::NamesAnother,
            4 => BackEndFault::Unsigned,
            5 | 6 => BackEndFault::NamesLimit(LIMITS[self.rng.random_range(0..LIMITS.len())]),
            7 => BackEndFault::SaysLeaving,
            _ => BackEndFault::Leave,
        };
        let node = self.node();
        let lasts = match fault {
            BackEndFault::NamesLimit(_) => self.rng.random_range(2_000..9_000),
            BackEndFault::SaysLeaving => self.rng.random_range(2_600..5_000),
            _ => self.rng.random_range(100..1_200),
        };
        self.step(at, lasts, Fault::BackEnd { node, fault });
    }
}
