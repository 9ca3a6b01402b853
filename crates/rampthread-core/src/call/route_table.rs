//! Finds the route of the configuration that a call matches.
//!
//! Precedence: a route that names the host before one that does not; an exact path before a
//! prefix; a longer prefix before a shorter one; a route that names the method before one
//! that does not; more headers before fewer. Ties are rejected when a change of the
//! configuration is applied.

use crate::config::{ConfigState, Destination, PathMatch, Repeatability, Route};
use crate::ids::ResourceName;
use rand::Rng;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;

/// The parts of a call by which its route is found.
#[derive(Debug, Clone, Copy)]
pub struct CallHead<'a> {
    /// Host that the request names, without the port.
    pub host: Option<&'a str>,
    /// Path without the query, compared with the exact path or prefix of routes.
    pub path: &'a str,
    /// HTTP method, compared with the methods of routes that allow only some.
    pub method: &'a http::Method,
    /// Headers of the request, compared with those that routes require.
    pub headers: &'a http::HeaderMap,
}

/// The routes of one configuration version, most specific first.
///
/// Routes are indexed by host, so that the cost of a lookup depends only on the routes of
/// the call's own host.
#[derive(Debug, Default)]
pub struct RouteTable {
    /// Routes that name a host, keyed by the host in lower case.
    by_host: HashMap<String, Vec<Arc<Route>>>,
    /// Routes that do not name a host. They are tried after the routes that name the call's
    /// host.
    any_host: Vec<Arc<Route>>,
}

impl RouteTable {
    /// Sorts the routes of `state` by precedence and indexes them by host.
    pub fn new(state: &ConfigState) -> Self {
        let mut routes: Vec<&Route> = state.routes().collect();
        routes.sort_by_key(|route| specificity(route));
        let mut table = RouteTable::default();
        for route in routes {
            let list = match &route.host {
                Some(host) => table.by_host.entry(host.to_ascii_lowercase()).or_default(),
                None => &mut table.any_host,
            };
            list.push(Arc::new(route.clone()));
        }
        table
    }

    /// Returns the most specific route that matches the call.
    pub fn find(&self, head: &CallHead<'_>) -> Option<&Arc<Route>> {
        let host = head.host.map(str::to_ascii_lowercase);
        let host_routes = host.and_then(|host| self.by_host.get(&host));
        let candidates = host_routes.into_iter().flatten().chain(&self.any_host);
        candidates
            .into_iter()
            .find(|route| route_matches(route, head))
    }
}

/// Sort key of a route; in ascending order the most specific route comes first.
fn specificity(route: &Route) -> Reverse<(bool, bool, usize, bool, usize, ResourceName)> {
    Reverse((
        route.host.is_some(),
        matches!(route.path, PathMatch::Exact(_)),
        route.path.text().len(),
        !route.methods.is_empty(),
        route.headers.len(),
        route.name.clone(),
    ))
}

fn route_matches(route: &Route, head: &CallHead<'_>) -> bool {
    path_matches(&route.path, head.path)
        && method_matches(route, head.method)
        && headers_match(route, head.headers)
}

/// True if `path` matches. A prefix must end at a segment boundary: `/a` matches `/a` and
/// `/a/b`, not `/ab`.
fn path_matches(wanted: &PathMatch, path: &str) -> bool {
    match wanted {
        PathMatch::Exact(exact) => path == exact,
        PathMatch::Prefix(prefix) => {
            let Some(rest) = path.strip_prefix(prefix.as_str()) else {
                return false;
            };
            rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/')
        }
    }
}

/// True if the route allows the method; a route without methods allows all.
fn method_matches(route: &Route, method: &http::Method) -> bool {
    route.methods.is_empty() || route.methods.iter().any(|wanted| wanted == method.as_str())
}

/// True if each header that the route requires is present with the required value.
fn headers_match(route: &Route, headers: &http::HeaderMap) -> bool {
    route.headers.iter().all(|wanted| {
        headers
            .get_all(&wanted.name)
            .iter()
            .any(|value| value.as_bytes() == wanted.value.as_bytes())
    })
}

/// Picks one of a route's destination services at random, by weight. `None` if all weights
/// are 0.
pub fn choose_destination<'a>(
    destinations: &'a [Destination],
    rng: &mut impl Rng,
) -> Option<&'a ResourceName> {
    let total: u64 = destinations.iter().map(|one| u64::from(one.weight)).sum();
    if total == 0 {
        return None;
    }
    let mut remaining = rng.random_range(0..total);
    for destination in destinations {
        let weight = u64::from(destination.weight);
        if remaining < weight {
            return Some(&destination.service);
        }
        remaining -= weight;
    }
    None
}

/// Returns whether calls of this route and method may run more than once, so that they can
/// be retried after an unknown outcome.
pub fn is_repeatable(route: &Route, method: &http::Method) -> bool {
    match route.repeatability {
        Repeatability::Always => true,
        Repeatability::Never => false,
        Repeatability::SafeMethods => method.is_safe(),
    }
}
