//! Takes events down while a soak runs, from many threads.

use super::{At, Event, History, What};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A handle to the history that is being written.
#[derive(Clone)]
pub struct Recorder {
    begun: Instant,
    events: Arc<Mutex<Vec<Event>>>,
}

impl Recorder {
    pub fn new(nodes: usize) -> Self {
        let begin = Event {
            at: At::BEGIN,
            what: What::Begun { nodes },
        };
        Self {
            begun: Instant::now(),
            events: Arc::new(Mutex::new(vec![begin])),
        }
    }

    /// Takes down what is seen now.
    pub fn note(&self, what: What) {
        self.note_at(Instant::now(), what);
    }

    /// Takes down what was seen at `when`.
    pub fn note_at(&self, when: Instant, what: What) {
        let at = At::after(when.saturating_duration_since(self.begun));
        self.events.lock().unwrap().push(Event { at, what });
    }

    /// Ends the history and puts it in order.
    pub fn finish(&self) -> History {
        self.note(What::Ended);
        History::new(self.events.lock().unwrap().clone())
    }
}
