//! Deserialization that reports all errors of a value.
//!
//! serde stops at the first error. This module records each error, removes the invalid key
//! or replaces a missing one with a placeholder, and deserializes again until all errors
//! are known.

use figment::error::Kind;
use figment::value::Value;
use rampthread_core::findings::Findings;
use serde::de::DeserializeOwned;
use std::collections::BTreeSet;

/// Maximum number of deserialization attempts; further errors are not reported.
const MAX_ATTEMPTS: usize = 100;

/// Deserializes `value` and adds all errors to `findings`; `place` names its file or
/// request. `placeholder` returns a valid value for a missing key, so that the errors in
/// the rest of the value are found as well.
pub fn deserialize_collecting<T: DeserializeOwned>(
    mut value: Value,
    place: &str,
    placeholder: fn(&str) -> Option<Value>,
    findings: &mut Findings,
) -> Option<T> {
    let before = findings.len();
    let mut removed = BTreeSet::new();
    for _ in 0..MAX_ATTEMPTS {
        let error = match value.deserialize::<T>() {
            Ok(read) if findings.len() == before => return Some(read),
            Ok(_) => return None,
            Err(error) => error,
        };
        let mut path = error.path.clone();
        match &error.kind {
            Kind::UnknownField(name, allowed) => {
                if path.last() != Some(name) {
                    path.push(name.clone());
                }
                let allowed = format!("one of the keys {}", allowed.join(", "));
                findings.push(locate(place, &path), "an unknown key", allowed);
                remove(&mut value, &path);
            }
            Kind::MissingField(name) => {
                path.push(name.to_string());
                if !removed.contains(&path) {
                    findings.push(
                        locate(place, &path),
                        "nothing",
                        "a value; the key is required",
                    );
                }
                insert(&mut value, &path, placeholder(name)?);
            }
            kind => {
                let (found, allowed) = describe(kind);
                findings.push(locate(place, &path), found, allowed);
                if !remove(&mut value, &path) {
                    return None;
                }
                removed.insert(path);
            }
        }
    }
    None
}

/// Formats the location of a finding, such as `node.toml: limits.slots`.
fn locate(place: &str, path: &[String]) -> String {
    let mut text = String::new();
    for part in path {
        if part.bytes().all(|byte| byte.is_ascii_digit()) {
            text.push_str(&format!("[{part}]"));
        } else {
            if !text.is_empty() {
                text.push('.');
            }
            text.push_str(part);
        }
    }
    if text.is_empty() {
        place.to_string()
    } else {
        format!("{place}: {text}")
    }
}

/// Texts for a deserialization error: what was found, and what is accepted.
fn describe(kind: &Kind) -> (String, String) {
    match kind {
        Kind::InvalidType(found, allowed) | Kind::InvalidValue(found, allowed) => {
            (found.to_string(), allowed.clone())
        }
        Kind::UnknownVariant(found, allowed) => (
            format!("{found:?}"),
            format!("one of {}", allowed.join(", ")),
        ),
        Kind::InvalidLength(found, allowed) => (format!("{found} items"), allowed.clone()),
        other => (
            other.to_string(),
            "a value of the documented form".to_string(),
        ),
    }
}

/// Finds the dictionary or array that contains the last key of `path`.
fn parent<'a>(value: &'a mut Value, path: &[String]) -> Option<&'a mut Value> {
    let mut current = value;
    for part in path.iter().take(path.len().saturating_sub(1)) {
        current = match current {
            Value::Dict(_, dict) => dict.get_mut(part)?,
            Value::Array(_, list) => list.get_mut(part.parse::<usize>().ok()?)?,
            _ => return None,
        };
    }
    Some(current)
}

/// Removes the key at `path`; returns false if there is none.
fn remove(value: &mut Value, path: &[String]) -> bool {
    let Some(last) = path.last() else {
        return false;
    };
    match parent(value, path) {
        Some(Value::Dict(_, dict)) => dict.remove(last).is_some(),
        Some(Value::Array(_, list)) => {
            let index = last.parse().unwrap_or(usize::MAX);
            let found = index < list.len();
            if found {
                list.remove(index);
            }
            found
        }
        _ => false,
    }
}

/// Inserts `placeholder` for the missing key at `path`.
fn insert(value: &mut Value, path: &[String], placeholder: Value) {
    if let (Some(last), Some(Value::Dict(_, dict))) = (path.last(), parent(value, path)) {
        dict.insert(last.clone(), placeholder);
    }
}
