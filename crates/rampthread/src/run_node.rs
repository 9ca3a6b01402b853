//! `rampthread node`: runs until a signal, then drains.

use crate::exit::Exit;
use async_signal::{Signal, Signals};
use clap::ArgMatches;
use futures_lite::{StreamExt, future};
use rampthread_core::findings::Findings;
use rampthread_node::logging::{LogFormat, LoggingError, Logs, start_logging};
use rampthread_node::settings::{ConfigurationKind, LoadError, Overrides, load};
use rampthread_node::{Node, NodeSettings};
use rampthread_platform::{HttpClient, PlatformAdapter};
use std::path::PathBuf;
use std::time::Duration;

/// Time between two looks at the settings file.
const FILE_INTERVAL: Duration = Duration::from_secs(2);

/// Runs a node to its planned end.
pub async fn run(matches: &ArgMatches) -> Exit {
    let settings = match settings(matches) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return Exit::BadInput;
        }
    };
    let logs = match start_logs(matches) {
        Ok(logs) => logs,
        Err(error) => {
            eprintln!("{error}");
            return Exit::BadInput;
        }
    };
    let mut signals = match Signals::new([Signal::Term, Signal::Int, Signal::Hup]) {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!("signals cannot be watched: {error}");
            return Exit::Failed;
        }
    };
    let id = settings.node.id.clone();
    let adapter = adapter(&settings);
    let node = match Node::start(settings, adapter).await {
        Ok(node) => node,
        Err(error) => {
            eprintln!("{id}: {error}");
            return Exit::BadInput;
        }
    };
    async_std::task::spawn(logs.report_dropped_lines(node.control.metrics.clone()));
    tracing::info!(node = %id, version = env!("CARGO_PKG_VERSION"), "node started");
    run_until_stopped(&node, matches, &mut signals).await;
    let cut = node.drain().await;
    tracing::info!(node = %id, cut, "node stopped");
    Exit::Done
}

/// What ends a wait of a running node.
enum Wake {
    Signal(Option<std::io::Result<Signal>>),
    LookAtFile,
}

/// Serves until a signal to stop; takes over changed settings meanwhile, on
/// SIGHUP or when the file differs.
async fn run_until_stopped(node: &Node, matches: &ArgMatches, signals: &mut Signals) {
    let mut known = settings_text(matches);
    loop {
        let signal = async { Wake::Signal(signals.next().await) };
        let look = async {
            async_std::task::sleep(FILE_INTERVAL).await;
            Wake::LookAtFile
        };
        match future::or(signal, look).await {
            Wake::Signal(Some(Ok(Signal::Hup))) => {}
            Wake::Signal(_) => return,
            Wake::LookAtFile if settings_text(matches) == known => continue,
            Wake::LookAtFile => {}
        }
        known = settings_text(matches);
        match settings(matches) {
            Ok(settings) => node.reload(&settings),
            Err(error) => {
                let findings = error.to_string().replace('\n', "; ");
                tracing::error!(%findings, "changed settings are not taken over");
            }
        }
    }
}

fn settings_text(matches: &ArgMatches) -> Option<String> {
    std::fs::read_to_string(matches.get_one::<PathBuf>("settings")?).ok()
}

/// The users' platform, where it holds the configuration as a document.
fn adapter(settings: &NodeSettings) -> Option<PlatformAdapter> {
    let platform = &settings.platform;
    match platform.configuration {
        ConfigurationKind::ChangeLog => None,
        ConfigurationKind::Document => {
            let rate = platform.store_requests_per_second;
            let client = HttpClient::new(platform.store, rate, platform.wait);
            Some(rampthread_adapter::adapter(
                client,
                settings.roll_outs.is_some(),
            ))
        }
    }
}

fn start_logs(matches: &ArgMatches) -> Result<Logs, LoggingError> {
    let filter = matches
        .get_one::<String>("log-level")
        .map_or("info", String::as_str);
    let format = match matches.get_one::<String>("log-format").map(String::as_str) {
        Some("json") => LogFormat::Json,
        Some("text") => LogFormat::Text,
        _ => LogFormat::for_stdout(),
    };
    start_logging(format, filter)
}

fn settings(matches: &ArgMatches) -> Result<NodeSettings, LoadError> {
    let path = matches
        .get_one::<PathBuf>("settings")
        .cloned()
        .unwrap_or_default();
    load(&path, &overrides(matches)?)
}

/// Reads the `--set KEY=VALUE` flags.
fn overrides(matches: &ArgMatches) -> Result<Overrides, Findings> {
    let mut findings = Findings::new();
    let mut overrides = Overrides::new();
    for text in matches.get_many::<String>("set").into_iter().flatten() {
        match text.split_once('=') {
            Some((key, value)) => overrides.push((key.to_string(), value.to_string())),
            None => findings.push("--set", format!("{text:?}"), "KEY=VALUE"),
        }
    }
    findings.into_result(overrides)
}
