//! Runs the cases of the review: `standins CASE FOLDER`. Exits with 0 if the rule held, 1 if
//! it was broken, 2 if the case couldn't run. With TROUBLE=0 there is no disruption.

mod backend;
mod client;
mod fleet;
mod json;
mod large_answers;
mod left_answers;
mod lost_slots;
mod record;
mod setup;
mod store;
mod wire;

use record::Record;
use std::path::Path;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: standins CASE FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new();
    record.tell(format!("case {case}, with the disruption: {trouble}"));
    let verdict = match case.as_str() {
        "large-answers" => large_answers::run(&record, trouble),
        "lost-slots" => lost_slots::run(&record, trouble),
        "left-answers" => left_answers::run(&record, trouble),
        other => Verdict::CouldNotRun(format!("no case {other}")),
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_string(), 0),
        Verdict::Broken => ("the rule was broken".to_string(), 1),
        Verdict::CouldNotRun(reason) => (format!("the case couldn't run: {reason}"), 2),
    };
    record.tell(text);
    record.write(&Path::new(folder).join("record.txt"));
    std::process::exit(code);
}
