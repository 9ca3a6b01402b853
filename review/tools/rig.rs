//! Stand-ins for the review's scripts: the platform's store, back ends, clients, and the part of
//! the platform that starts nodes. Standard library only; built with `rustc` by review/build.sh.

#[path = "backend.rs"]
mod backend;
#[path = "cases.rs"]
mod cases;
#[path = "client.rs"]
mod client;
#[path = "http.rs"]
mod http;
#[path = "json.rs"]
mod json;
#[path = "length.rs"]
mod length;
#[path = "memory.rs"]
mod memory;
#[path = "node.rs"]
mod node;
#[path = "record.rs"]
mod record;
#[path = "store.rs"]
mod store;
#[path = "unframed.rs"]
mod unframed;

fn main() {
    let words: Vec<String> = std::env::args().collect();
    if words.get(1).is_some_and(|word| word == "backend") {
        std::process::exit(unframed::serve(&words[2..]));
    }
    // run.sh reads TROUBLE and passes it on.
    let trouble = words.get(3).is_none_or(|value| value != "0");
    let (case, folder) = match (words.get(1), words.get(2)) {
        (Some(case), Some(folder)) => (case.clone(), folder.clone()),
        _ => {
            eprintln!("usage: rig CASE FOLDER [TROUBLE]");
            std::process::exit(2);
        }
    };
    let outcome = std::panic::catch_unwind(|| cases::run(&case, &folder, trouble));
    std::process::exit(outcome.unwrap_or(2));
}
