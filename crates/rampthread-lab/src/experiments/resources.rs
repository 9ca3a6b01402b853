//! Processor time of this process.

use super::ExperimentError;
use procfs::process::Process;
use std::time::{Duration, Instant};

/// A reading to subtract from a later one.
#[derive(Debug, Clone, Copy)]
pub struct Reading {
    at: Instant,
    processor: Duration,
}

impl Reading {
    /// Reads now.
    pub fn now() -> Result<Self, ExperimentError> {
        let process = Process::myself()?;
        let stat = process.stat()?;
        let ticks = stat.utime + stat.stime;
        Ok(Self {
            at: Instant::now(),
            processor: Duration::from_secs_f64(ticks as f64 / procfs::ticks_per_second() as f64),
        })
    }

    /// Cores in use between this reading and `later`.
    pub fn cores_until(&self, later: &Reading) -> f64 {
        let wall = (later.at - self.at).as_secs_f64();
        (later.processor - self.processor).as_secs_f64() / wall
    }
}
