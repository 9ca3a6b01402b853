//! What happened, with the time since the start of the case in milliseconds.

use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(u128, String)>>>,
}

impl Record {
    pub fn new() -> Record {
        Record {
            start: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn note(&self, text: impl Into<String>) {
        let at = self.start.elapsed().as_millis();
        self.lines.lock().unwrap().push((at, text.into()));
    }

    /// The same on standard output as well, for the steps of a case.
    pub fn tell(&self, text: impl Into<String>) {
        let text = text.into();
        println!("{:7} ms  {text}", self.start.elapsed().as_millis());
        self.note(text);
    }

    /// Writes everything to `path`, in the order of time.
    pub fn write(&self, path: &std::path::Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let text: String = lines
            .iter()
            .map(|(at, text)| format!("{at:7} {text}\n"))
            .collect();
        std::fs::write(path, text).expect("record.txt can be written");
    }
}
