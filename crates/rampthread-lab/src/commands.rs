//! The command line of the lab.

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use rampthread_http::{ShutdownHandle, bind};
use rampthread_lab::demo::demo;
use rampthread_lab::experiments::{self, Options};
use rampthread_lab::standins::backend::{BackendBehaviour, BackendStandIn};
use rampthread_lab::standins::machines::MachinesStandIn;
use rampthread_lab::standins::store::StoreStandIn;
use rampthread_node::logging::{LogFormat, start_logging};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

const FAILED: u8 = 1;
const BAD_INPUT: u8 = 2;

/// The whole command line.
pub fn command() -> Command {
    let listen = Arg::new("listen")
        .long("listen")
        .required(true)
        .value_parser(value_parser!(SocketAddr))
        .help("Address to listen on, such as 127.0.0.1:8001");
    Command::new("rampthread-lab")
        .about("Stand-ins for the platform and back ends, the demo, and experiments")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg(
            Arg::new("log")
                .long("log")
                .global(true)
                .default_value("error")
                .help("Log filter, such as info or rampthread_node=debug"),
        )
        .subcommand(
            Command::new("store")
                .about("Serve the key-value stand-in; faults at PUT /v1/faults")
                .arg(listen.clone()),
        )
        .subcommand(
            Command::new("machines")
                .about("Serve the machine list stand-in; PUT and DELETE /v1/machines")
                .arg(listen.clone())
                .arg(duration_argument("lag", "0s", "Time until a change shows")),
        )
        .subcommand(
            Command::new("backend")
                .about("Serve a back end stand-in; behaviour at POST /standin/faults")
                .arg(listen)
                .arg(Arg::new("service").long("service").default_value("service"))
                .arg(
                    Arg::new("slots")
                        .long("slots")
                        .default_value("20")
                        .value_parser(value_parser!(u32)),
                )
                .arg(duration_argument("mean", "2ms", "Mean service time")),
        )
        .subcommand(
            Command::new("experiment")
                .about("Run an experiment and print what it found")
                .arg(
                    Arg::new("name")
                        .required(true)
                        .value_parser(experiments::NAMES),
                )
                .arg(
                    Arg::new("seed")
                        .long("seed")
                        .default_value("1")
                        .value_parser(value_parser!(u64)),
                )
                .arg(Arg::new("json").long("json").action(ArgAction::SetTrue))
                .arg(
                    Arg::new("plot")
                        .long("plot")
                        .value_name("DIR")
                        .value_parser(value_parser!(PathBuf))
                        .help("Write an SVG into this folder"),
                ),
        )
        .subcommand(
            Command::new("demo")
                .about("Run the Bluebonnet example in one process on loopback")
                .arg(duration_argument("for", "10s", "How long calls are sent"))
                .arg(
                    Arg::new("seed")
                        .long("seed")
                        .default_value("1")
                        .value_parser(value_parser!(u64)),
                ),
        )
}

fn duration_argument(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(humantime::parse_duration)
        .help(help)
}

/// Runs the chosen command.
pub async fn run(matches: &ArgMatches) -> ExitCode {
    let filter = matches
        .get_one::<String>("log")
        .map_or("error", String::as_str);
    if let Err(error) = start_logging(LogFormat::Text, filter) {
        eprintln!("{error}");
        return ExitCode::from(BAD_INPUT);
    }
    match matches.subcommand() {
        Some(("store", matches)) => serve_store(matches).await,
        Some(("machines", matches)) => serve_machines(matches).await,
        Some(("backend", matches)) => serve_backend(matches).await,
        Some(("experiment", matches)) => run_experiment(matches).await,
        Some(("demo", matches)) => run_demo(matches).await,
        _ => ExitCode::from(BAD_INPUT),
    }
}

fn duration(matches: &ArgMatches, name: &str) -> Duration {
    matches
        .get_one::<Duration>(name)
        .copied()
        .unwrap_or_default()
}

fn listener(matches: &ArgMatches) -> Result<async_std::net::TcpListener, ExitCode> {
    let address = matches
        .get_one::<SocketAddr>("listen")
        .copied()
        .ok_or(ExitCode::from(BAD_INPUT))?;
    bind(address).map_err(|error| {
        eprintln!("cannot bind {address}: {error}");
        ExitCode::from(BAD_INPUT)
    })
}

async fn serve_store(matches: &ArgMatches) -> ExitCode {
    match listener(matches) {
        Ok(listener) => {
            StoreStandIn::default().serve(listener).await;
            ExitCode::SUCCESS
        }
        Err(code) => code,
    }
}

async fn serve_machines(matches: &ArgMatches) -> ExitCode {
    match listener(matches) {
        Ok(listener) => {
            MachinesStandIn::new(duration(matches, "lag"))
                .serve(listener)
                .await;
            ExitCode::SUCCESS
        }
        Err(code) => code,
    }
}

async fn serve_backend(matches: &ArgMatches) -> ExitCode {
    let listener = match listener(matches) {
        Ok(listener) => listener,
        Err(code) => return code,
    };
    let service = matches
        .get_one::<String>("service")
        .cloned()
        .unwrap_or_default();
    let behaviour = BackendBehaviour {
        service,
        slots: matches.get_one::<u32>("slots").copied().unwrap_or_default(),
        mean_service_us: duration(matches, "mean").as_micros() as u64,
        ..BackendBehaviour::default()
    };
    BackendStandIn::new(behaviour)
        .serve(listener, ShutdownHandle::default())
        .await;
    ExitCode::SUCCESS
}

async fn run_demo(matches: &ArgMatches) -> ExitCode {
    let seed = matches.get_one::<u64>("seed").copied().unwrap_or_default();
    match demo(duration(matches, "for"), seed).await {
        Ok(summary) => {
            summary.print();
            if summary.is_clean() {
                ExitCode::SUCCESS
            } else {
                ExitCode::from(FAILED)
            }
        }
        Err(error) => {
            eprintln!("the demo failed: {error}");
            ExitCode::from(FAILED)
        }
    }
}

async fn run_experiment(matches: &ArgMatches) -> ExitCode {
    let name = matches.get_one::<String>("name").map_or("", String::as_str);
    let options = Options {
        seed: matches.get_one::<u64>("seed").copied().unwrap_or_default(),
        plot: matches.get_one::<PathBuf>("plot").cloned(),
    };
    match experiments::run(name, &options).await {
        Ok(result) if matches.get_flag("json") => {
            println!(
                "{}",
                serde_json::to_string_pretty(&result).unwrap_or_default()
            );
            ExitCode::SUCCESS
        }
        Ok(result) => {
            result.print();
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{name} failed, no result: {error}");
            ExitCode::from(FAILED)
        }
    }
}
