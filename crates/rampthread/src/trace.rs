//! `rampthread trace`: puts the log lines of several processes about one
//! request, version or back end in order and says what caused its end.

use crate::exit::Exit;
use clap::ArgMatches;
use rampthread_core::call::cause::Cause;
use serde::Serialize;
use serde_json::{Map, Value};
use std::collections::BTreeSet;
use std::io::Read;
use std::path::PathBuf;

/// Separates a call's id from that of a call that its back end makes.
const CHILD: char = '.';
/// Fields that every line has; they are shown apart.
const HEAD: [&str; 3] = ["timestamp", "level", "message"];

/// One log line about the subject.
#[derive(Debug, Clone, Serialize)]
pub struct TraceLine {
    /// When it was written, by the writer's clock.
    pub timestamp: String,
    /// Which process or file it comes from.
    pub source: String,
    /// What happened.
    pub message: String,
    /// Everything else.
    pub fields: Map<String, Value>,
}

/// All lines about the subject, and what they say together.
#[derive(Debug, Serialize)]
pub struct Trace {
    /// In the order of their time stamps.
    pub lines: Vec<TraceLine>,
    /// Lines that could not be read.
    pub unreadable: usize,
    /// The cause, in one sentence.
    pub conclusion: String,
}

impl Trace {
    /// Collects the lines about `subject` from texts, each with its source.
    pub fn of(subject: &str, texts: &[(String, String)]) -> Trace {
        let mut read = Vec::new();
        let mut unreadable = 0;
        for (source, text) in texts {
            for line in text.lines().filter(|line| line.contains('{')) {
                match read_line(source, line) {
                    Some(line) => read.push(line),
                    None => unreadable += 1,
                }
            }
        }
        let identities = identities_of(subject, &read);
        let mut lines: Vec<TraceLine> = read
            .into_iter()
            .filter(|line| is_about(line, subject) || judges_one_of(line, &identities))
            .collect();
        lines.sort_by(|left, right| left.timestamp.cmp(&right.timestamp));
        let conclusion = conclude(subject, &lines);
        Trace {
            lines,
            unreadable,
            conclusion,
        }
    }
}

/// Reads one line; what stands before the JSON names the process.
fn read_line(source: &str, line: &str) -> Option<TraceLine> {
    let (prefix, json) = line.split_at(line.find('{')?);
    let mut fields: Map<String, Value> = serde_json::from_str(json.trim()).ok()?;
    let mut head = HEAD.map(|name| text_of(fields.remove(name)));
    let named = prefix.split_whitespace().last();
    Some(TraceLine {
        timestamp: std::mem::take(&mut head[0]),
        source: named.unwrap_or(source).to_string(),
        message: std::mem::take(&mut head[2]),
        fields,
    })
}

fn text_of(value: Option<Value>) -> String {
    match value {
        Some(Value::String(text)) => text,
        Some(other) => other.to_string(),
        None => String::new(),
    }
}

/// A request, the calls that its back ends made for it, a version, a back end.
fn is_about(line: &TraceLine, subject: &str) -> bool {
    line.fields.values().any(|value| match value {
        Value::String(text) => text == subject || is_child(text, subject),
        Value::Number(number) => number.to_string() == subject,
        _ => false,
    })
}

/// What the request asks for, where its lines say so.
fn identities_of(subject: &str, lines: &[TraceLine]) -> BTreeSet<String> {
    let own = lines.iter().filter(|line| is_about(line, subject));
    own.filter_map(|line| field(line, "identity"))
        .map(str::to_string)
        .collect()
}

/// True for a line about crashes under such a request, or its quarantine. Other
/// attempts of it have ids, and traces, of their own.
fn judges_one_of(line: &TraceLine, identities: &BTreeSet<String>) -> bool {
    let known = field(line, "identity").is_some_and(|identity| identities.contains(identity));
    known && !line.fields.contains_key("request_id")
}

fn is_child(id: &str, subject: &str) -> bool {
    id.strip_prefix(subject)
        .is_some_and(|rest| rest.starts_with(CHILD))
}

fn field<'a>(line: &'a TraceLine, name: &str) -> Option<&'a str> {
    line.fields.get(name)?.as_str()
}

fn number(line: &TraceLine, name: &str) -> u64 {
    line.fields.get(name).and_then(Value::as_u64).unwrap_or(0)
}

fn conclude(subject: &str, lines: &[TraceLine]) -> String {
    let ended = |line: &&TraceLine| line.message == "call ended";
    let own = lines
        .iter()
        .rev()
        .filter(ended)
        .find(|line| field(line, "request_id") == Some(subject));
    if let Some(own) = own {
        return conclude_call(own, lines);
    }
    let child = lines
        .iter()
        .filter(ended)
        .find(|line| field(line, "cause").is_some());
    if let Some(child) = child {
        return format!(
            "The request's own last line is not here; {}",
            child_sentence(child)
        );
    }
    if lines.is_empty() {
        return "No line names it: it ended calmly and was not sampled, its lines were left out \
                (see 'lines left out'), or its process is not among these logs."
            .to_string();
    }
    format!(
        "{} lines name it; none tells the end of a call.",
        lines.len()
    )
}

/// Which back ends had crashed under a request that was refused for it.
fn crashes_before(lines: &[TraceLine]) -> String {
    let quarantined = |line: &&TraceLine| line.message == "request quarantined";
    let Some(line) = lines.iter().rev().find(quarantined) else {
        return String::new();
    };
    let instances = field(line, "instances").unwrap_or("?");
    format!(
        " They are {instances}, identity {}.",
        field(line, "identity").unwrap_or("?")
    )
}

fn conclude_call(own: &TraceLine, lines: &[TraceLine]) -> String {
    let took = number(own, "took_ms");
    let tries = number(own, "tries");
    let status = number(own, "status");
    if let Some(cause) = field(own, "cause").and_then(Cause::parse) {
        let reason = field(own, "reason").unwrap_or_default();
        let crashes = match cause {
            Cause::Quarantined => crashes_before(lines),
            _ => String::new(),
        };
        return format!(
            "Ended with {status} ({}) after {tries} tries and {took} ms: {} ({reason}).{crashes}",
            field(own, "outcome").unwrap_or("unknown"),
            sentence(cause),
        );
    }
    let child = lines
        .iter()
        .find(|line| line.message == "call ended" && field(line, "cause").is_some());
    if let (true, Some(child)) = (status >= 500, child) {
        return format!(
            "The back end ran it and answered {status} after {took} ms; {}",
            child_sentence(child)
        );
    }
    if status >= 500 {
        return format!("The back end ran it and answered {status} itself after {took} ms.");
    }
    let target = number(own, "target_ms");
    if target > 0 && took > target {
        return format!(
            "Answered {status} after {took} ms and {tries} tries, later than its target of \
             {target} ms."
        );
    }
    format!("Answered {status} after {took} ms and {tries} tries.")
}

fn child_sentence(child: &TraceLine) -> String {
    let cause = field(child, "cause").and_then(Cause::parse);
    format!(
        "its own call {} to {} failed: {}.",
        field(child, "request_id").unwrap_or("?"),
        field(child, "service").unwrap_or("an unknown service"),
        cause.map_or("an unknown cause", sentence),
    )
}

/// What a cause means for whoever asks.
fn sentence(cause: Cause) -> &'static str {
    match cause {
        Cause::NotReady => "the node held no configuration yet",
        Cause::NoRoute => "no route of the configuration in force matched",
        Cause::KeyMissing => "its route needs a tenant's key, and it had none that can be read",
        Cause::KeyUnknown => "its key belonged to no tenant of the configuration in force",
        Cause::OverQuota => "its tenant asked for more than its limit",
        Cause::BadRequest => "the request could not be read",
        Cause::HeadTooLarge => "its head was larger than allowed",
        Cause::HeadTimeout => "its head did not arrive in time",
        Cause::BodyTooLarge => "its body was larger than allowed",
        Cause::BodyTimeout => "its body did not arrive in time",
        Cause::KeyInUse => "its idempotency key was in use or used before",
        Cause::NoClaimMajority => "no majority held its idempotency key",
        Cause::NoBackend => "no back end of the service was known to take work",
        Cause::QueueFull => "every slot was taken and the queue too long to wait in",
        Cause::RateLimited => "the rate limits that back ends name allowed it no call in time",
        Cause::LinkFull => "too many large bodies were on their way to the back end",
        Cause::QueueDeadline => "no slot came free before its deadline",
        Cause::Draining => "the back end was leaving",
        Cause::WrongBackend => "the back end that was meant was not there any more",
        Cause::ConfigurationBehind => "the gate's node lacked what the route needs",
        Cause::Shed => "the back end itself refused to run it",
        Cause::Unreachable => "no connection could be had",
        Cause::Quarantined => {
            "back ends had crashed under the same request (see 'request quarantined')"
        }
        Cause::Fenced => "it was given up on before it started",
        Cause::ConnectionLost => "the connection was lost after it was sent; it may have run",
        Cause::BackendCrashed => "the back end ended while it ran it; it may have run",
        Cause::MismatchedResponse => "what came back was not its answer; it may have run",
        Cause::TruncatedResponse => "the answer broke off; it has run",
        Cause::Overdue => "the answer was overdue and another back end was free",
        Cause::Deadline => "no answer came before its deadline; it may have run",
        Cause::NotAMember => "the sender was no member of the fleet",
    }
}

/// Runs the command.
pub fn run(matches: &ArgMatches) -> Exit {
    let subject = matches
        .get_one::<String>("subject")
        .map_or("", String::as_str);
    let texts = match read_texts(matches) {
        Ok(texts) => texts,
        Err(error) => {
            eprintln!("{error}");
            return Exit::BadInput;
        }
    };
    let trace = Trace::of(subject, &texts);
    if matches.get_flag("json") {
        println!("{}", serde_json::to_string(&trace).unwrap_or_default());
    } else {
        print(&trace);
    }
    if trace.lines.is_empty() {
        return Exit::Failed;
    }
    Exit::Done
}

fn read_texts(matches: &ArgMatches) -> Result<Vec<(String, String)>, String> {
    let Some(files) = matches.get_many::<PathBuf>("logs") else {
        let mut bytes = Vec::new();
        let read = std::io::stdin().read_to_end(&mut bytes);
        read.map_err(|error| format!("standard input: {error}"))?;
        let text = String::from_utf8_lossy(&bytes).to_string();
        return Ok(vec![("stdin".to_string(), text)]);
    };
    let mut texts = Vec::new();
    let mut findings = Vec::new();
    for file in files {
        match std::fs::read(file) {
            Ok(bytes) => {
                let name = file.file_stem().unwrap_or(file.as_os_str());
                let text = String::from_utf8_lossy(&bytes).to_string();
                texts.push((name.to_string_lossy().to_string(), text));
            }
            Err(error) => findings.push(format!("{}: {error}", file.display())),
        }
    }
    if findings.is_empty() {
        return Ok(texts);
    }
    Err(findings.join("\n"))
}

fn print(trace: &Trace) {
    for line in &trace.lines {
        let fields: Vec<String> = line
            .fields
            .iter()
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        let (time, source, message) = (&line.timestamp, &line.source, &line.message);
        println!("{time}  {source}  {message}  {}", fields.join(" "));
    }
    if trace.unreadable > 0 {
        println!("({} lines could not be read)", trace.unreadable);
    }
    println!("{}", trace.conclusion);
}
