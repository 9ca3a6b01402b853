//! What an experiment found, as a table, JSON or a plot.

use super::{ExperimentError, Options};
use plotters::prelude::*;
use serde::Serialize;
use std::path::Path;
use std::process::Command;

const PLOT_SIZE: (u32, u32) = (900, 500);

/// One measured value.
#[derive(Debug, Clone, Serialize)]
pub struct Figure {
    /// What was measured, under which condition.
    pub name: String,
    /// The value.
    pub value: f64,
    /// Its unit.
    pub unit: &'static str,
}

/// A line of a plot.
#[derive(Debug, Clone, Serialize)]
pub struct Series {
    /// Its label.
    pub label: String,
    /// Its points.
    pub points: Vec<(f64, f64)>,
}

/// The whole result.
#[derive(Debug, Clone, Serialize)]
pub struct ExperimentResult {
    /// Which experiment.
    pub name: String,
    /// Seed of load and choices.
    pub seed: u64,
    /// Commit of the code, `unknown` outside a checkout.
    pub commit: String,
    /// Cores of the machine.
    pub cores: usize,
    /// The values, in the order of measuring.
    pub figures: Vec<Figure>,
    /// Lines for a plot.
    pub series: Vec<Series>,
}

impl ExperimentResult {
    /// An empty result.
    pub fn new(name: &str, options: &Options) -> Self {
        Self {
            name: name.to_string(),
            seed: options.seed,
            commit: commit(),
            cores: std::thread::available_parallelism().map_or(0, usize::from),
            figures: Vec::new(),
            series: Vec::new(),
        }
    }

    /// Adds a value.
    pub fn add(&mut self, name: impl Into<String>, value: f64, unit: &'static str) {
        self.figures.push(Figure {
            name: name.into(),
            value,
            unit,
        });
    }

    /// Prints a table.
    pub fn print(&self) {
        println!(
            "{} (seed {}, {} cores, commit {})",
            self.name, self.seed, self.cores, self.commit
        );
        let width = self
            .figures
            .iter()
            .map(|figure| figure.name.len())
            .max()
            .unwrap_or(0);
        for figure in &self.figures {
            println!(
                "  {:<width$}  {:>12.3} {}",
                figure.name, figure.value, figure.unit
            );
        }
    }

    /// Writes the series as an SVG into `folder`.
    pub fn plot(&self, folder: &Path) -> Result<(), ExperimentError> {
        let failed = |error: &dyn std::fmt::Display| ExperimentError::Plot(error.to_string());
        std::fs::create_dir_all(folder).map_err(|error| failed(&error))?;
        let file = folder.join(format!("{}.svg", self.name));
        let area = SVGBackend::new(&file, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(|error| failed(&error))?;
        let points = || self.series.iter().flat_map(|series| &series.points);
        let right = points().map(|point| point.0).fold(0.0, f64::max);
        let top = points().map(|point| point.1).fold(0.0, f64::max);
        let mut chart = ChartBuilder::on(&area)
            .margin(20)
            .x_label_area_size(40)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..right.max(1e-9), 0.0..top.max(1e-9))
            .map_err(|error| failed(&error))?;
        chart
            .configure_mesh()
            .draw()
            .map_err(|error| failed(&error))?;
        for (index, series) in self.series.iter().enumerate() {
            let color = Palette99::pick(index).to_rgba();
            chart
                .draw_series(LineSeries::new(series.points.iter().copied(), color))
                .map_err(|error| failed(&error))?;
        }
        area.present().map_err(|error| failed(&error))
    }
}

fn commit() -> String {
    let output = Command::new("git")
        .args(["rev-parse", "--short", "HEAD"])
        .output();
    match output {
        Ok(output) if output.status.success() => {
            String::from_utf8_lossy(&output.stdout).trim().to_string()
        }
        _ => "unknown".to_string(),
    }
}
