//! Settings and resource files: all errors are reported with their location, and no input
//! causes a panic.

use proptest::prelude::*;
use rampthread_node::settings::{load_text, read_resource_json, read_resource_toml};

/// Smallest valid settings file for a change log.
const GOOD: &str = r#"
[node]
id = "node-1"
zone = "hall-1"
region = "austin"
[listen]
callers = "127.0.0.1:7000"
peers = "127.0.0.1:7001"
api = "127.0.0.1:7002"
[platform]
store = "127.0.0.1:8001"
machines = "127.0.0.1:8002"
[keys]
current = "BwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwc="
"#;

#[test]
fn valid_settings_have_no_findings() {
    load_text("good", GOOD, &Vec::new()).unwrap();
}

#[test]
fn overrides_take_precedence_and_are_validated() {
    let zone = vec![("node.zone".to_string(), "hall-2".to_string())];
    let settings = load_text("good", GOOD, &zone).unwrap();
    assert_eq!(settings.node.zone.as_str(), "hall-2");
    let unknown = vec![("node.colour".to_string(), "red".to_string())];
    assert!(load_text("good", GOOD, &unknown).is_err());
}

#[test]
fn all_values_out_of_range_are_reported() {
    let bounds = "[quota]\nwindow = \"0s\"\noverage = -1\nslack = nan\n\
        [roll_outs]\nexposure_share = 1.5\nexposure_slack = -1\nroll_back = \"0s\"\n";
    let text = format!("{GOOD}{bounds}");
    let findings = load_text("file", &text, &Vec::new()).unwrap_err();
    let text = findings.to_string();
    for place in [
        "quota.window",
        "quota.overage",
        "quota.slack",
        "roll_outs.exposure_share",
        "roll_outs.exposure_slack",
        "roll_outs.roll_back",
    ] {
        assert!(text.contains(place), "{place} is missing in {text}");
    }
}

#[test]
fn all_missing_sections_are_reported() {
    let findings = load_text("empty", "", &Vec::new()).unwrap_err();
    let text = findings.to_string();
    for section in ["node", "listen", "platform", "keys"] {
        assert!(
            text.contains(&format!("empty: {section}")),
            "{section} is missing in {text}"
        );
    }
}

#[test]
fn an_invalid_key_is_not_shown() {
    let text = GOOD.replace(
        "BwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwc=",
        "my-short-secret",
    );
    let findings = load_text("file", &text, &Vec::new())
        .unwrap_err()
        .to_string();
    assert!(
        findings.contains("keys.current") && !findings.contains("my-short-secret"),
        "{findings}"
    );
}

#[test]
fn all_errors_of_a_resource_file_are_reported_together() {
    let text = r#"
[[service]]
name = "a b"
[[route]]
name = "r"
path = { prefix = "no-slash" }
destinations = []
timeout_ms = 0
colour = "red"
[[backend]]
name = "b"
service = "s"
node = "n"
address = "nowhere"
zone = "z"
slots = 0
[[gateway]]
name = "g"
"#;
    let findings = read_resource_toml("mesh.toml", text)
        .unwrap_err()
        .to_string();
    for place in [
        "service[0]: name",
        "route[0]: colour",
        "backend[0]: address",
        "backend[0]: region",
        "gateway",
    ] {
        assert!(findings.contains(place), "{place} is missing in {findings}");
    }
}

proptest! {
    #[test]
    fn arbitrary_text_is_accepted_or_rejected(text in "\\PC{0,300}") {
        let _ = load_text("any", &text, &Vec::new());
        let _ = read_resource_toml("any", &text);
        let _ = read_resource_json("any", text.as_bytes());
    }

    /// A valid file with one character changed is accepted or rejected with locations.
    #[test]
    fn an_altered_file_is_accepted_or_rejected(at in any::<usize>(), with in any::<char>()) {
        let mut characters: Vec<char> = GOOD.chars().collect();
        let index = at % characters.len();
        characters[index] = with;
        let text: String = characters.into_iter().collect();
        if let Err(findings) = load_text("altered", &text, &Vec::new()) {
            prop_assert!(findings.iter().all(|finding| finding.place.starts_with("altered")));
        }
    }
}
