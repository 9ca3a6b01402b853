//! What a case writes down: one line for each thing that was sent, answered or run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    begun: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn new(folder: &str) -> std::io::Result<Self> {
        let file = File::create(format!("{folder}/record.txt"))?;
        Ok(Self {
            begun: Instant::now(),
            file: Mutex::new(BufWriter::new(file)),
        })
    }

    /// Seconds since the case began.
    pub fn now(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let now = self.now();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{now:9.3} {}", text.as_ref());
        let _ = file.flush();
    }

    /// A line that is also printed.
    pub fn say(&self, text: impl AsRef<str>) {
        self.line(text.as_ref());
        println!("{}", text.as_ref());
    }
}
