//! The command line, as clap sees it.

use clap::{Arg, ArgAction, Command, value_parser};
use std::net::SocketAddr;
use std::path::PathBuf;

const EXIT_CODES: &str = "Exit codes: 0 done, 1 failed or refused, 2 bad input, 3 outcome unknown.";

/// The whole command line.
pub fn command() -> Command {
    Command::new("rampthread")
        .about("Configuration distribution and calls for a service mesh")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(node())
        .subcommand(check())
        .subcommand(apply())
        .subcommand(get())
        .subcommand(delete())
        .subcommand(watch())
        .subcommand(status())
        .subcommand(explain())
        .subcommand(trace())
        .subcommand(operation())
        .subcommand(drain())
        .subcommand(quarantine())
        .subcommand(tenants())
        .subcommand(rollouts())
        .subcommand(completions())
        .subcommand(Command::new("version").about("Show the version"))
}

fn api_argument() -> Arg {
    Arg::new("api")
        .long("api")
        .env("RAMPTHREAD_API")
        .default_value("127.0.0.1:7002")
        .value_parser(value_parser!(SocketAddr))
        .help("Operator API of any node")
}

fn json_argument() -> Arg {
    Arg::new("json")
        .long("json")
        .action(ArgAction::SetTrue)
        .help("Print JSON instead of a table")
}

fn file_argument(help: &'static str) -> Arg {
    Arg::new("file")
        .short('f')
        .long("file")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help(help)
}

fn operation_argument() -> Arg {
    Arg::new("operation-id")
        .long("operation-id")
        .help("Names the change, so that sending it again is one change; made up if absent")
}

fn node() -> Command {
    Command::new("node")
        .about("Run a node")
        .after_help("Example: rampthread node --settings node.toml --log-format json")
        .arg(
            Arg::new("settings")
                .long("settings")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings file, TOML"),
        )
        .arg(
            Arg::new("set")
                .long("set")
                .action(ArgAction::Append)
                .value_name("KEY=VALUE")
                .help("Overrides one setting, such as --set node.zone=zone-2"),
        )
        .arg(
            Arg::new("log-level")
                .long("log-level")
                .default_value("info")
                .help("Log filter: error, warn, info, debug, trace, or per module"),
        )
        .arg(
            Arg::new("log-format")
                .long("log-format")
                .value_parser(["text", "json"])
                .help("Form of the log lines; text on a terminal, JSON elsewhere"),
        )
}

fn check() -> Command {
    Command::new("check")
        .about("Check settings and resource files; report every fault with its place")
        .after_help("Example: rampthread check --settings node.toml --resources mesh.toml")
        .arg(
            Arg::new("settings")
                .long("settings")
                .action(ArgAction::Append)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("resources")
                .long("resources")
                .action(ArgAction::Append)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(json_argument())
}

fn apply() -> Command {
    Command::new("apply")
        .about("Apply a resource file as one atomic change")
        .after_help("Example: rampthread apply -f mesh.toml --operation-id raise-slots-17")
        .arg(file_argument("Resource file, TOML"))
        .arg(operation_argument())
        .arg(api_argument())
        .arg(json_argument())
}

fn kind_argument() -> Arg {
    Arg::new("kind")
        .value_parser(["service", "route", "secret", "backend"])
        .help("service, route, secret or backend")
}

fn get() -> Command {
    Command::new("get")
        .about("Show resources")
        .after_help("Examples: rampthread get; rampthread get route; rampthread get route embed")
        .arg(kind_argument())
        .arg(Arg::new("name").requires("kind"))
        .arg(api_argument())
        .arg(json_argument())
}

fn delete() -> Command {
    Command::new("delete")
        .about("Delete a resource")
        .after_help("Example: rampthread delete route embed --if-generation 12")
        .arg(kind_argument().required(true))
        .arg(Arg::new("name").required(true))
        .arg(
            Arg::new("if-generation")
                .long("if-generation")
                .value_parser(value_parser!(u64))
                .help("Only if this generation is the current one"),
        )
        .arg(operation_argument())
        .arg(api_argument())
        .arg(json_argument())
}

fn watch() -> Command {
    Command::new("watch")
        .about("Follow versions: decided, held by k of n, in force everywhere")
        .arg(api_argument())
        .arg(
            Arg::new("until-version")
                .long("until-version")
                .value_parser(value_parser!(u64))
                .help("End once this version is in force everywhere"),
        )
}

fn status() -> Command {
    Command::new("status")
        .about("Show the version in force, who holds it, who lags, and the members")
        .arg(api_argument())
        .arg(json_argument())
}

fn explain() -> Command {
    Command::new("explain")
        .about("Tell what a node decided about a version, a node, a call or a back end")
        .after_help("Examples: rampthread explain node-3; rampthread explain '\"version\":12'")
        .arg(Arg::new("subject").required(true))
        .arg(api_argument())
        .arg(json_argument())
}

fn trace() -> Command {
    Command::new("trace")
        .about("Put the log lines about a request, a version or a back end in order")
        .after_help("Example: rampthread trace 9c41d07be2a35f68 --logs node-1.log node-2.log")
        .arg(
            Arg::new("subject")
                .required(true)
                .help("Id of a request, number of a version, or name of a back end"),
        )
        .arg(
            Arg::new("logs")
                .long("logs")
                .num_args(1..)
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Logs of any number of processes; standard input if absent"),
        )
        .arg(json_argument())
}

fn operation() -> Command {
    Command::new("operation")
        .about("Look up what became of a change")
        .arg(Arg::new("id").required(true))
        .arg(api_argument())
        .arg(json_argument())
}

fn drain() -> Command {
    Command::new("drain")
        .about("Stop new work for the back end beside the node that is asked")
        .arg(api_argument())
}

fn quarantine() -> Command {
    let identity = Arg::new("identity")
        .required(true)
        .help("Identity of the request, from 'list' or the log");
    Command::new("quarantine")
        .about("Requests under which back ends have crashed: show them, or let one run again")
        .after_help("Example: rampthread quarantine lift 9c41d07be2a35f6800112233445566ff")
        .subcommand_required(true)
        .subcommand(
            Command::new("list")
                .about("Show the requests, with the back ends that crashed under each")
                .arg(api_argument())
                .arg(json_argument()),
        )
        .subcommand(
            Command::new("lift")
                .about("Let a request run again, at all nodes")
                .arg(identity)
                .arg(api_argument()),
        )
}

fn tenants() -> Command {
    Command::new("tenants")
        .about("Tenants with a limit: what they may and do ask for, and what is refused")
        .after_help("Example: rampthread tenants --api 10.0.0.7:7002")
        .arg(api_argument())
        .arg(json_argument())
}

fn rollouts() -> Command {
    let service = Arg::new("service").required(true).help("The service");
    Command::new("rollouts")
        .about("Roll-outs of software versions, as the node that answers knows them")
        .after_help("Example: rampthread rollouts show shop")
        .subcommand_required(true)
        .subcommand(
            Command::new("list")
                .about("Show all roll-outs")
                .arg(api_argument())
                .arg(json_argument()),
        )
        .subcommand(
            Command::new("show")
                .about("Show the roll-out of one service")
                .arg(service)
                .arg(api_argument())
                .arg(json_argument()),
        )
}

fn completions() -> Command {
    Command::new("completions")
        .about("Print shell completions")
        .arg(
            Arg::new("shell")
                .required(true)
                .value_parser(value_parser!(clap_complete::Shell)),
        )
}
