//! Loading of a node's settings from the settings file, the environment and command-line
//! flags.

use super::collect::deserialize_collecting;
use super::node_settings::NodeSettings;
use figment::providers::{Env, Format, Serialized, Toml};
use figment::value::{Dict, Value};
use figment::{Figment, Profile};
use rampthread_core::findings::Findings;
use rampthread_wire::FleetKey;
use secrecy::ExposeSecret;
use std::path::Path;

/// Prefix of environment variables with settings; `__` separates sections, as in
/// `RAMPTHREAD_NODE__ID`.
const ENVIRONMENT_PREFIX: &str = "RAMPTHREAD_";

/// Settings given by command-line flags: key path, such as `node.id`, and value.
pub type Overrides = Vec<(String, String)>;

/// Reason why the settings could not be loaded.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The settings file could not be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// Path of the settings file.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The settings are invalid; contains all errors found.
    #[error("{0}")]
    Invalid(#[from] Findings),
}

/// Loads the settings file `path`, applies the environment and `overrides`, and validates
/// the result.
pub fn load(path: &Path, overrides: &Overrides) -> Result<NodeSettings, LoadError> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|source| LoadError::Unreadable {
        path: name.clone(),
        source,
    })?;
    let environment = Env::prefixed(ENVIRONMENT_PREFIX)
        .split("__")
        .filter(|key| key.as_str().contains('.'));
    Ok(read(&name, &text, Some(environment), overrides)?)
}

/// Like [`load`] for settings given as `text`, without the environment. `name` stands for
/// the file in findings.
pub fn load_text(name: &str, text: &str, overrides: &Overrides) -> Result<NodeSettings, Findings> {
    read(name, text, None, overrides)
}

/// Merges the settings from all sources, deserializes and validates them.
fn read(
    name: &str,
    text: &str,
    environment: Option<Env>,
    overrides: &Overrides,
) -> Result<NodeSettings, Findings> {
    let mut findings = Findings::new();
    let mut figment = Figment::from(Toml::string(text));
    if let Some(environment) = environment {
        figment = figment.merge(environment);
    }
    for (key, value) in overrides {
        figment = figment.merge(Serialized::default(key, value));
    }
    let dict = match merged_keys(&figment) {
        Ok(dict) => dict,
        Err(error) => {
            findings.push(name, error.replace('\n', " "), "TOML");
            return Err(findings);
        }
    };
    check_required_by_kind(&dict, name, &mut findings);
    let settings =
        deserialize_collecting::<NodeSettings>(Value::from(dict), name, placeholder, &mut findings);
    let Some(settings) = settings else {
        return Err(findings);
    };
    check(&settings, name, &mut findings);
    findings.into_result(settings)
}

/// Merges the keys of all sources, without figment's profiles.
fn merged_keys(figment: &Figment) -> Result<Dict, String> {
    use figment::Provider;
    let mut data = figment.data().map_err(|error| error.to_string())?;
    Ok(data.remove(&Profile::Default).unwrap_or_default())
}

/// Valid placeholder for a missing required key, so that later keys are checked as well.
fn placeholder(key: &str) -> Option<Value> {
    let text = |text: &str| Value::from(text);
    let address = || text("127.0.0.1:1");
    let section = |keys: &[&str]| {
        let dict: Dict = keys
            .iter()
            .filter_map(|key| Some((key.to_string(), placeholder(key)?)))
            .collect();
        Value::from(dict)
    };
    Some(match key {
        "id" | "zone" | "region" | "current" => text("missing"),
        "callers" | "peers" | "api" | "store" | "address" => address(),
        "node" => section(&["id", "zone", "region"]),
        "listen" => section(&["callers", "peers", "api"]),
        "platform" => section(&["store"]),
        _ => return None,
    })
}

/// Validates settings that deserialized without errors.
fn check(settings: &NodeSettings, name: &str, findings: &mut Findings) {
    check_keys(settings, name, findings);
    check_retries(settings, name, findings);
    check_quota(settings, name, findings);
    check_rollouts(settings, name, findings);
    let fleet = &settings.fleet;
    let durations = [
        ("fleet.probe_interval", fleet.probe_interval),
        ("fleet.suspicion", fleet.suspicion),
        ("fleet.lease_ttl", fleet.lease_ttl),
        ("fleet.proposal_patience", fleet.proposal_patience),
        ("backend.health_interval", settings.backend.health_interval),
        (
            "platform.machine_interval",
            settings.platform.machine_interval,
        ),
    ];
    for (place, duration) in durations {
        if duration.is_zero() {
            findings.push(format!("{name}: {place}"), "0", "a duration above 0");
        }
    }
    if fleet.snapshot_interval == 0 {
        let place = format!("{name}: fleet.snapshot_interval");
        findings.push(place, "0", "1 or more");
    }
}

/// Checks the keys that only one kind of configuration requires. Works on the raw keys, so
/// that they are reported with all other missing keys.
fn check_required_by_kind(keys: &Dict, name: &str, findings: &mut Findings) {
    let configuration = entry(keys, "platform", "configuration").and_then(Value::as_str);
    let needed: &[(&str, &str)] = if configuration == Some("document") {
        &[("listen", "ready"), ("listen", "reports")]
    } else {
        &[("platform", "machines"), ("keys", "current")]
    };
    for (section, key) in needed {
        if entry(keys, section, key).is_none() {
            let place = format!("{name}: {section}.{key}");
            findings.push(
                place,
                "nothing",
                "a value; this kind of configuration needs it",
            );
        }
    }
}

/// Raw value of a key in a section of the settings.
fn entry<'a>(keys: &'a Dict, section: &str, key: &str) -> Option<&'a Value> {
    match keys.get(section)? {
        Value::Dict(_, section) => section.get(key),
        _ => None,
    }
}

/// Checks that all fleet keys have the right format.
fn check_keys(settings: &NodeSettings, name: &str, findings: &mut Findings) {
    let Some(keys) = &settings.keys else { return };
    check_key(keys.current.expose_secret(), "keys.current", name, findings);
    for (index, key) in keys.accepted.iter().enumerate() {
        let place = format!("keys.accepted[{index}]");
        check_key(key.expose_secret(), &place, name, findings);
    }
}

/// Checks that the retry limit is not negative and its window not zero.
fn check_retries(settings: &NodeSettings, name: &str, findings: &mut Findings) {
    let Some(retries) = &settings.retries else {
        return;
    };
    for (place, value) in [("ratio", retries.ratio), ("slack", retries.slack)] {
        check_not_negative(value, &format!("{name}: retries.{place}"), findings);
    }
    if retries.window.is_zero() {
        findings.push(format!("{name}: retries.window"), "0", "a duration above 0");
    }
}

/// Checks that the tolerances of tenant limits are not negative and their window not zero.
fn check_quota(settings: &NodeSettings, name: &str, findings: &mut Findings) {
    let quota = &settings.quota;
    for (place, value) in [("overage", quota.overage), ("slack", quota.slack)] {
        check_not_negative(value, &format!("{name}: quota.{place}"), findings);
    }
    if quota.window.is_zero() {
        findings.push(format!("{name}: quota.window"), "0", "a duration above 0");
    }
}

/// Checks the bounds of rollouts, if they are set.
fn check_rollouts(settings: &NodeSettings, name: &str, findings: &mut Findings) {
    let Some(roll_outs) = &settings.roll_outs else {
        return;
    };
    let slack = roll_outs.exposure_slack;
    check_not_negative(
        slack,
        &format!("{name}: roll_outs.exposure_slack"),
        findings,
    );
    let share = roll_outs.exposure_share;
    if !(0.0..=1.0).contains(&share) {
        let place = format!("{name}: roll_outs.exposure_share");
        findings.push(place, share.to_string(), "a number from 0 to 1");
    }
    if roll_outs.roll_back.is_zero() {
        let place = format!("{name}: roll_outs.roll_back");
        findings.push(place, "0", "a duration above 0");
    }
}

/// Adds a finding if `value` is negative or not finite.
fn check_not_negative(value: f64, place: &str, findings: &mut Findings) {
    if !value.is_finite() || value < 0.0 {
        findings.push(place, value.to_string(), "a number from 0");
    }
}

/// Adds a finding if `text` is not a fleet key. The finding does not show the text.
fn check_key(text: &str, place: &str, name: &str, findings: &mut Findings) {
    if FleetKey::from_base64(text).is_err() {
        findings.push(
            format!("{name}: {place}"),
            "no fleet key (its value is not shown)",
            "32 bytes in base64",
        );
    }
}
