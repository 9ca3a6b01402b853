//! All time comparisons must use the boot-time clock, and timers must go through this crate,
//! since others stop while the machine is suspended.

use std::path::{Path, PathBuf};

/// Crates that serve calls or run the control plane.
const PRODUCT_CRATES: &[&str] = &[
    "rampthread",
    "rampthread-core",
    "rampthread-http",
    "rampthread-node",
    "rampthread-platform",
    "rampthread-wire",
];
/// Files that may use other clocks: the boot-time clock itself, and a timer whose delay after a
/// suspension is harmless.
const ALLOWED_FILES: &[&str] = &[
    "rampthread-http/src/time.rs",
    "rampthread-http/src/server/connection.rs",
];
/// Source text that uses a clock or timer which stops during a suspension.
const FORBIDDEN_PATTERNS: &[&str] = &[
    "std::time::Instant",
    "{Duration, Instant",
    "async_std::future::timeout",
];

/// Adds all Rust files below `folder` to `found`.
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
fn product_code_uses_the_boot_time_clock() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut files = Vec::new();
    for name in PRODUCT_CRATES {
        sources(&crates.join(name).join("src"), &mut files);
    }
    assert!(files.len() > 100, "source files not found");
    let mut violations = Vec::new();
    for file in files {
        let path = file.display().to_string();
        if ALLOWED_FILES.iter().any(|allowed| path.ends_with(allowed)) {
            continue;
        }
        let text = std::fs::read_to_string(&file).unwrap();
        for (number, line) in text.lines().enumerate() {
            if FORBIDDEN_PATTERNS.iter().any(|clock| line.contains(clock)) {
                violations.push(format!("{path}:{}: {line}", number + 1));
            }
        }
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}
