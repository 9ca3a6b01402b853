//! `rampthread-lab`: stand-ins, demo and experiments.

mod commands;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = commands::command().get_matches();
    async_std::task::block_on(commands::run(&matches))
}
