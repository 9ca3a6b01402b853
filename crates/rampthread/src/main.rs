//! `rampthread`: the node and its operators' command line.
//!
//! Exit codes: 0 done, 1 failed or refused, 2 bad input, 3 outcome unknown.

mod client;
mod command_line;
mod commands;
mod exit;
mod run_node;
mod tables;
mod trace;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = command_line::command().get_matches();
    let code = async_std::task::block_on(commands::run(&matches));
    code.into()
}
