//! Every command but `node`.

use crate::client::{Answer, Client, ClientError};
use crate::exit::Exit;
use crate::{command_line, run_node, tables, trace};
use clap::ArgMatches;
use http::{Method, StatusCode};
use http_body_util::BodyExt;
use rampthread_core::findings::Findings;
use rampthread_node::api::{
    ChangeView, QuarantineView, ResourceView, RolloutView, SpreadView, StatusView, TenantView,
};
use rampthread_node::settings::{LoadError, load, read_resource_toml};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Runs the chosen command.
pub async fn run(matches: &ArgMatches) -> Exit {
    match matches.subcommand() {
        Some(("node", matches)) => run_node::run(matches).await,
        Some(("check", matches)) => check(matches),
        Some(("apply", matches)) => apply(matches).await,
        Some(("get", matches)) => get(matches).await,
        Some(("delete", matches)) => delete(matches).await,
        Some(("watch", matches)) => watch(matches).await,
        Some(("status", matches)) => status(matches).await,
        Some(("explain", matches)) => explain(matches).await,
        Some(("trace", matches)) => trace::run(matches),
        Some(("operation", matches)) => operation(matches).await,
        Some(("drain", matches)) => drain(matches).await,
        Some(("quarantine", matches)) => quarantine(matches).await,
        Some(("tenants", matches)) => list_tenants(matches).await,
        Some(("rollouts", matches)) => rollouts(matches).await,
        Some(("completions", matches)) => completions(matches),
        _ => {
            println!("rampthread {}", env!("CARGO_PKG_VERSION"));
            Exit::Done
        }
    }
}

fn client(matches: &ArgMatches) -> Client {
    let address = matches.get_one::<SocketAddr>("api").copied();
    Client::new(address.expect("the API address has a default"))
}

fn text<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).map_or("", String::as_str)
}

fn wants_json(matches: &ArgMatches) -> bool {
    matches.get_flag("json")
}

fn print_json(answer: &Answer) {
    println!("{}", String::from_utf8_lossy(&answer.body));
}

fn parse<T: DeserializeOwned>(answer: &Answer) -> Option<T> {
    serde_json::from_slice(&answer.body).ok()
}

/// A read that failed changes nothing, so its outcome is never unknown.
fn read_failed(error: &ClientError) -> Exit {
    eprintln!("{error}");
    Exit::Failed
}

fn print_findings(findings: &Findings, json: bool) {
    if json {
        println!("{}", serde_json::to_string(findings).unwrap_or_default());
        return;
    }
    for finding in findings.iter() {
        eprintln!("{finding}");
    }
    eprintln!("{} findings", findings.len());
}

fn check(matches: &ArgMatches) -> Exit {
    let mut findings = Findings::new();
    for path in paths(matches, "settings") {
        match load(path, &Vec::new()) {
            Ok(_) => {}
            Err(LoadError::Invalid(found)) => findings.append(found),
            Err(error) => findings.push(
                path.display().to_string(),
                error.to_string(),
                "a readable file",
            ),
        }
    }
    for path in paths(matches, "resources") {
        if let Err(found) = read_resources(path) {
            findings.append(found);
        }
    }
    if findings.is_empty() {
        println!("no findings");
        return Exit::Done;
    }
    print_findings(&findings, wants_json(matches));
    Exit::BadInput
}

fn paths<'a>(matches: &'a ArgMatches, name: &str) -> impl Iterator<Item = &'a PathBuf> {
    matches.get_many::<PathBuf>(name).into_iter().flatten()
}

/// Reads and checks a resource file; returns it as JSON for the API.
fn read_resources(path: &Path) -> Result<serde_json::Value, Findings> {
    let name = path.display().to_string();
    let mut findings = Findings::new();
    let content = match std::fs::read_to_string(path) {
        Ok(content) => content,
        Err(error) => {
            findings.push(name, error.to_string(), "a readable file");
            return Err(findings);
        }
    };
    read_resource_toml(&name, &content)?;
    rampthread_node::settings::toml_to_json(&name, &content)
}

fn operation_id(matches: &ArgMatches) -> String {
    match matches.get_one::<String>("operation-id") {
        Some(id) => id.clone(),
        None => uuid::Uuid::new_v4().simple().to_string(),
    }
}

async fn apply(matches: &ArgMatches) -> Exit {
    let path = matches
        .get_one::<PathBuf>("file")
        .cloned()
        .unwrap_or_default();
    let body = match read_resources(&path) {
        Ok(body) => body.to_string().into_bytes(),
        Err(findings) => {
            print_findings(&findings, wants_json(matches));
            return Exit::BadInput;
        }
    };
    let id = operation_id(matches);
    let headers = [("idempotency-key", id.clone())];
    let sent = client(matches)
        .send(Method::POST, "/v1/apply", &headers, body)
        .await;
    change_exit(matches, &id, sent)
}

async fn delete(matches: &ArgMatches) -> Exit {
    let path = format!(
        "/v1/resources/{}/{}",
        text(matches, "kind"),
        text(matches, "name")
    );
    let id = operation_id(matches);
    let mut headers = vec![("idempotency-key", id.clone())];
    if let Some(generation) = matches.get_one::<u64>("if-generation") {
        headers.push(("if-match", format!("\"{generation}\"")));
    }
    let sent = client(matches)
        .send(Method::DELETE, &path, &headers, Vec::new())
        .await;
    change_exit(matches, &id, sent)
}

/// Shows what became of a change; a lost answer is unknown, never refused.
fn change_exit(matches: &ArgMatches, id: &str, sent: Result<Answer, ClientError>) -> Exit {
    let answer = match sent {
        Ok(answer) => answer,
        Err(error @ ClientError::NotSent { .. }) => {
            eprintln!("{error}");
            return Exit::Failed;
        }
        Err(error) => {
            eprintln!("{error}\noutcome unknown; look it up: rampthread operation {id}");
            return Exit::Unknown;
        }
    };
    if wants_json(matches) {
        print_json(&answer);
    } else if let Some(view) = parse::<ChangeView>(&answer) {
        tables::print_change(&view);
    } else {
        print_json(&answer);
    }
    match answer.status {
        StatusCode::OK => Exit::Done,
        StatusCode::BAD_REQUEST => Exit::BadInput,
        StatusCode::GATEWAY_TIMEOUT => {
            eprintln!("look it up later: rampthread operation {id}");
            Exit::Unknown
        }
        _ => Exit::Failed,
    }
}

#[derive(Deserialize)]
struct ResourceList {
    resources: Vec<ResourceView>,
}

async fn get(matches: &ArgMatches) -> Exit {
    let kind = matches.get_one::<String>("kind");
    let name = matches.get_one::<String>("name");
    let path = match (kind, name) {
        (Some(kind), Some(name)) => format!("/v1/resources/{kind}/{name}"),
        (Some(kind), None) => format!("/v1/resources/{kind}"),
        _ => "/v1/resources".to_string(),
    };
    let answer = match client(matches).get(&path).await {
        Ok(answer) => answer,
        Err(error) => return read_failed(&error),
    };
    if answer.status != StatusCode::OK {
        eprintln!("{path}: {}", answer.status);
        return Exit::Failed;
    }
    if wants_json(matches) {
        print_json(&answer);
    } else if let Some(list) = parse::<ResourceList>(&answer) {
        tables::print_resources(&list.resources);
    } else if let Some(view) = parse::<ResourceView>(&answer) {
        tables::print_resources(&[view]);
    }
    Exit::Done
}

async fn status(matches: &ArgMatches) -> Exit {
    let answer = match client(matches).get("/v1/status").await {
        Ok(answer) => answer,
        Err(error) => return read_failed(&error),
    };
    match (wants_json(matches), parse::<StatusView>(&answer)) {
        (false, Some(view)) => tables::print_status(&view),
        _ => print_json(&answer),
    }
    Exit::Done
}

async fn explain(matches: &ArgMatches) -> Exit {
    let subject = text(matches, "subject")
        .replace('"', "%22")
        .replace(' ', "%20");
    let answer = match client(matches).get(&format!("/v1/explain/{subject}")).await {
        Ok(answer) => answer,
        Err(error) => return read_failed(&error),
    };
    match (
        wants_json(matches),
        parse::<Vec<serde_json::Value>>(&answer),
    ) {
        (false, Some(entries)) if entries.is_empty() => {
            println!("this node decided nothing about it")
        }
        (false, Some(entries)) => entries.iter().for_each(|entry| println!("{entry}")),
        _ => print_json(&answer),
    }
    Exit::Done
}

async fn operation(matches: &ArgMatches) -> Exit {
    let path = format!("/v1/operations/{}", text(matches, "id"));
    let answer = match client(matches).get(&path).await {
        Ok(answer) => answer,
        Err(error) => return read_failed(&error),
    };
    match (wants_json(matches), parse::<ChangeView>(&answer)) {
        (false, Some(view)) => tables::print_change(&view),
        _ => print_json(&answer),
    }
    match answer.status {
        StatusCode::OK => Exit::Done,
        StatusCode::NOT_FOUND => Exit::Unknown,
        _ => Exit::Failed,
    }
}

async fn drain(matches: &ArgMatches) -> Exit {
    match client(matches)
        .send(Method::POST, "/v1/drain", &[], Vec::new())
        .await
    {
        Ok(answer) if answer.status.is_success() => {
            println!("draining");
            Exit::Done
        }
        Ok(answer) => {
            eprintln!("{}", answer.status);
            Exit::Failed
        }
        Err(error) => read_failed(&error),
    }
}

async fn quarantine(matches: &ArgMatches) -> Exit {
    match matches.subcommand() {
        Some(("lift", matches)) => lift_quarantine(matches).await,
        Some((_, matches)) => list_quarantine(matches).await,
        None => Exit::BadInput,
    }
}

async fn list_quarantine(matches: &ArgMatches) -> Exit {
    let answer = match client(matches).get("/v1/quarantine").await {
        Ok(answer) => answer,
        Err(error) => return read_failed(&error),
    };
    match (wants_json(matches), parse::<Vec<QuarantineView>>(&answer)) {
        (false, Some(views)) => tables::print_quarantine(&views),
        _ => print_json(&answer),
    }
    Exit::Done
}

async fn list_tenants(matches: &ArgMatches) -> Exit {
    let answer = match client(matches).get("/v1/tenants").await {
        Ok(answer) => answer,
        Err(error) => return read_failed(&error),
    };
    match (wants_json(matches), parse::<Vec<TenantView>>(&answer)) {
        (false, Some(views)) => tables::print_tenants(&views),
        _ => print_json(&answer),
    }
    Exit::Done
}

async fn lift_quarantine(matches: &ArgMatches) -> Exit {
    let identity = text(matches, "identity");
    let path = format!("/v1/quarantine/{identity}");
    let sent = client(matches)
        .send(Method::DELETE, &path, &[], Vec::new())
        .await;
    match sent {
        Ok(answer) if answer.status.is_success() => {
            println!("lifted");
            Exit::Done
        }
        Ok(answer) if answer.status == StatusCode::BAD_REQUEST => {
            print_json(&answer);
            Exit::BadInput
        }
        Ok(_) => {
            eprintln!("nothing is held against {identity}");
            Exit::Failed
        }
        Err(error) => read_failed(&error),
    }
}

async fn rollouts(matches: &ArgMatches) -> Exit {
    match matches.subcommand() {
        Some(("show", matches)) => show_rollout(matches).await,
        Some((_, matches)) => list_rollouts(matches).await,
        None => Exit::BadInput,
    }
}

async fn list_rollouts(matches: &ArgMatches) -> Exit {
    let answer = match client(matches).get("/v1/rollouts").await {
        Ok(answer) => answer,
        Err(error) => return read_failed(&error),
    };
    match (wants_json(matches), parse::<Vec<RolloutView>>(&answer)) {
        (false, Some(views)) => tables::print_rollouts(&views),
        _ => print_json(&answer),
    }
    Exit::Done
}

async fn show_rollout(matches: &ArgMatches) -> Exit {
    let service = text(matches, "service");
    let answer = match client(matches)
        .get(&format!("/v1/rollouts/{service}"))
        .await
    {
        Ok(answer) => answer,
        Err(error) => return read_failed(&error),
    };
    if answer.status == StatusCode::NOT_FOUND {
        eprintln!("no roll-out of {service} is known here");
        return Exit::Failed;
    }
    match (wants_json(matches), parse::<RolloutView>(&answer)) {
        (false, Some(view)) => tables::print_rollouts(&[view]),
        _ => print_json(&answer),
    }
    Exit::Done
}

async fn watch(matches: &ArgMatches) -> Exit {
    let wanted = matches.get_one::<u64>("until-version").copied();
    let client = client(matches);
    let opened = client.open(Method::GET, "/v1/watch", &[], Vec::new()).await;
    let mut body = match opened {
        Ok(response) => response.into_body(),
        Err(error) => return read_failed(&error),
    };
    let mut pending = String::new();
    while let Some(Ok(frame)) = body.frame().await {
        let Some(data) = frame.data_ref() else {
            continue;
        };
        pending.push_str(&String::from_utf8_lossy(data));
        while let Some((event, rest)) = pending.split_once("\n\n") {
            let event = event.to_string();
            pending = rest.to_string();
            if show_event(&event, wanted) {
                return Exit::Done;
            }
        }
    }
    eprintln!("the node ended the watch");
    Exit::Failed
}

/// Prints one server-sent event; true when the wanted version is everywhere.
fn show_event(event: &str, wanted: Option<u64>) -> bool {
    let field = |name: &str| {
        event
            .lines()
            .find_map(|line| line.strip_prefix(name))
            .map(str::trim)
    };
    let (Some(name), Some(data)) = (field("event:"), field("data:")) else {
        return false;
    };
    if name == "heartbeat" {
        return false;
    }
    println!("{name} {data}");
    let Ok(spread) = serde_json::from_str::<SpreadView>(data) else {
        return false;
    };
    spread.in_force_everywhere && wanted.is_some_and(|wanted| spread.version.0 >= wanted)
}

fn completions(matches: &ArgMatches) -> Exit {
    if let Some(shell) = matches.get_one::<clap_complete::Shell>("shell") {
        let mut command = command_line::command();
        clap_complete::generate(*shell, &mut command, "rampthread", &mut std::io::stdout());
    }
    Exit::Done
}
