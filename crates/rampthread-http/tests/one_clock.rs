//! All time comparisons must use the boot-time clock, and timers must go through this crate,
//! since others stop while the machine is suspended.

use std::path::{Path, PathBuf};

/// Crates that serve calls or run the control plane.
const PRODUCT: &[&str] = &[
    "rampthread",
    "rampthread-core",
    "rampthread-http",
    "rampthread-node",
    "rampthread-platform",
    "rampthread-wire",
];
/// The clock itself, and the one timer that may be late.
const ALLOWED: &[&str] = &[
    "rampthread-http/src/time.rs",
    "rampthread-http/src/server/connection.rs",
];
const OTHER_CLOCKS: &[&str] = &[
    "std::time::Instant",
    "{Duration, Instant",
    "async_std::future::timeout",
];

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|kind| kind == "rs") {
            found.push(path);
        }
    }
}

#[test]
fn product_code_reads_one_clock() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut files = Vec::new();
    for name in PRODUCT {
        sources(&crates.join(name).join("src"), &mut files);
    }
    assert!(files.len() > 100, "the sources were not found");
    let mut findings = Vec::new();
    for file in files {
        let path = file.display().to_string();
        if ALLOWED.iter().any(|allowed| path.ends_with(allowed)) {
            continue;
        }
        let text = std::fs::read_to_string(&file).unwrap();
        for (number, line) in text.lines().enumerate() {
            if OTHER_CLOCKS.iter().any(|clock| line.contains(clock)) {
                findings.push(format!("{path}:{}: {line}", number + 1));
            }
        }
    }
    assert!(findings.is_empty(), "{}", findings.join("\n"));
}
