//! Validation of single resources; references between them are checked in `state`.

use super::resource::{Backend, CallerLimits, PathMatch, Resource, Route, Service};
use super::tenant::{KeyDigest, Tenant};
use crate::findings::Findings;

/// Maximum retry budget of a service, in percent of its calls.
const MAX_PERCENT: u8 = 100;
/// Maximum number of slots or connections of one backend.
const MAX_SLOTS: u32 = 100_000;
/// Maximum timeout of a route and ramp-up time of a service, in milliseconds: one hour.
const MAX_TIMEOUT_MS: u64 = 3_600_000;
/// Maximum number of backends to which a route may send one call.
const MAX_ATTEMPTS: u64 = 100;
/// Maximum number of services among which a route divides its calls.
const MAX_DESTINATIONS: usize = 64;
/// Maximum value of the size limits on requests, in bytes; larger than the memory of any
/// machine.
const MAX_SIZE_LIMIT_BYTES: u64 = 1 << 40;
/// Maximum value of the timeouts for receiving requests, in milliseconds: one day.
const MAX_TIMEOUT_LIMIT_MS: u64 = 86_400_000;

/// Adds all violations of `resource` to `findings`; `place` is its key path.
pub fn validate_resource(resource: &Resource, place: &str, findings: &mut Findings) {
    match resource {
        Resource::Service(service) => validate_service(service, place, findings),
        Resource::Route(route) => validate_route(route, place, findings),
        Resource::Backend(backend) => validate_backend(backend, place, findings),
        Resource::Tenant(tenant) => validate_tenant(tenant, place, findings),
        Resource::Secret(_) => {}
    }
}

/// Adds all violations of the caller limits to `findings`. Zero is invalid, since no
/// request could meet it.
pub fn validate_caller_limits(limits: &CallerLimits, findings: &mut Findings) {
    let checks = [
        ("head_bytes", limits.head_bytes as u64, MAX_SIZE_LIMIT_BYTES),
        ("body_bytes", limits.body_bytes as u64, MAX_SIZE_LIMIT_BYTES),
        ("head_wait_ms", limits.head_wait_ms, MAX_TIMEOUT_LIMIT_MS),
        ("idle_ms", limits.idle_ms, MAX_TIMEOUT_LIMIT_MS),
    ];
    for (name, value, max) in checks {
        check_range(value, 1, max, &format!("limits.{name}"), findings);
    }
}

/// Checks the retry budget and the ramp-up time of a service.
fn validate_service(service: &Service, place: &str, findings: &mut Findings) {
    if service.retry_percent > MAX_PERCENT {
        findings.push(
            format!("{place}.retry_percent"),
            service.retry_percent.to_string(),
            "0 to 100",
        );
    }
    check_range(
        service.slow_start_ms,
        0,
        MAX_TIMEOUT_MS,
        &format!("{place}.slow_start_ms"),
        findings,
    );
}

/// Checks the match conditions, destinations and limits of a route.
fn validate_route(route: &Route, place: &str, findings: &mut Findings) {
    validate_path(&route.path, place, findings);
    check_range(
        u64::from(route.max_attempts),
        1,
        MAX_ATTEMPTS,
        &format!("{place}.max_attempts"),
        findings,
    );
    for (index, method) in route.methods.iter().enumerate() {
        let known = http::Method::from_bytes(method.as_bytes()).is_ok();
        if !known || method.to_ascii_uppercase() != *method {
            findings.push(
                format!("{place}.methods[{index}]"),
                format!("{method:?}"),
                "an HTTP method in capitals, such as GET",
            );
        }
    }
    for (index, header) in route.headers.iter().enumerate() {
        check_header_name(
            &header.name,
            &format!("{place}.headers[{index}].name"),
            findings,
        );
    }
    check_header_name(
        &route.secret_header,
        &format!("{place}.secret_header"),
        findings,
    );
    if route.destinations.is_empty() || route.destinations.len() > MAX_DESTINATIONS {
        findings.push(
            format!("{place}.destinations"),
            format!("{} destinations", route.destinations.len()),
            "1 to 64 destinations",
        );
    }
    let total_weight: u64 = route
        .destinations
        .iter()
        .map(|destination| u64::from(destination.weight))
        .sum();
    if !route.destinations.is_empty() && total_weight == 0 {
        findings.push(
            format!("{place}.destinations"),
            "a total weight of 0",
            "at least one weight above 0",
        );
    }
    check_range(
        route.timeout_ms,
        1,
        MAX_TIMEOUT_MS,
        &format!("{place}.timeout_ms"),
        findings,
    );
}

/// Checks that the path or prefix of a route begins with a slash.
fn validate_path(path: &PathMatch, place: &str, findings: &mut Findings) {
    if !path.text().starts_with('/') {
        findings.push(
            format!("{place}.path"),
            format!("{:?}", path.text()),
            "a path that begins with '/'",
        );
    }
}

/// Checks the numbers of slots and connections of a backend.
fn validate_backend(backend: &Backend, place: &str, findings: &mut Findings) {
    check_range(
        u64::from(backend.slots),
        1,
        u64::from(MAX_SLOTS),
        &format!("{place}.slots"),
        findings,
    );
    check_range(
        u64::from(backend.connections),
        1,
        u64::from(MAX_SLOTS),
        &format!("{place}.connections"),
        findings,
    );
}

/// Checks that no key of a tenant is the empty string.
fn validate_tenant(tenant: &Tenant, place: &str, findings: &mut Findings) {
    let empty = KeyDigest::of("");
    for (index, key) in tenant.keys.iter().enumerate() {
        if *key == empty {
            findings.push(format!("{place}.keys[{index}]"), "an empty key", "a key");
        }
    }
}

/// Adds a finding if `name` is not a valid HTTP header name.
fn check_header_name(name: &str, place: &str, findings: &mut Findings) {
    if http::HeaderName::from_bytes(name.as_bytes()).is_err() {
        findings.push(place, format!("{name:?}"), "an HTTP header name");
    }
}

/// Adds a finding if `value` is not between `min` and `max`, both inclusive.
fn check_range(value: u64, min: u64, max: u64, place: &str, findings: &mut Findings) {
    if !(min..=max).contains(&value) {
        findings.push(place, value.to_string(), format!("{min} to {max}"));
    }
}
