//! Experiments: `rampthread-lab experiment NAME`.
//!
//! Load is open-loop, baselines are settings of the same code, and a result
//! carries its seed, commit, machine and settings. An experiment that fails
//! part-way reports no result.

mod calls;
mod report;
mod resources;

pub use report::{ExperimentResult, Figure, Series};

use crate::fleet::FleetError;
use std::path::PathBuf;

/// Settings of one experiment.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seed of load and choices.
    pub seed: u64,
    /// Where plots go, if anywhere.
    pub plot: Option<PathBuf>,
}

/// Names of all experiments.
pub const NAMES: [&str; 3] = ["added-latency", "overload", "slow-backend"];

/// Why there is no result.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// The fleet did not start, or did not do what it must.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// The process's own figures cannot be read.
    #[error("process figures: {0}")]
    Process(#[from] procfs::ProcError),
    /// A plot cannot be written.
    #[error("plot: {0}")]
    Plot(String),
    /// No experiment has this name.
    #[error("no experiment {0:?}; there are: {names}", names = NAMES.join(", "))]
    Name(String),
}

/// Runs one experiment.
pub async fn run(name: &str, options: &Options) -> Result<ExperimentResult, ExperimentError> {
    let result = match name {
        "added-latency" => calls::added_latency(options).await,
        "overload" => calls::overload(options).await,
        "slow-backend" => calls::slow_backend(options).await,
        _ => Err(ExperimentError::Name(name.to_string())),
    }?;
    if let Some(folder) = &options.plot {
        result.plot(folder)?;
    }
    Ok(result)
}
