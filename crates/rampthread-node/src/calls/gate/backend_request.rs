//! Builds the request that the gate node sends to the backend: system headers and the secret of
//! the route.

use super::{CONFIG_RETRY_AFTER, Gate, Hop};
use crate::calls::header_filter;
use crate::calls::response::CallError;
use crate::control::LocalBackend;
use bytes::Bytes;
use http::{HeaderValue, Request, Uri};
use rampthread_core::backend_incarnation::BackendIncarnation;
use rampthread_core::call::cause::Cause;
use rampthread_core::call::headers;
use rampthread_core::config::{Resource, ResourceKey, ResourceKind, Route};
use rampthread_core::ids::ResourceName;
use rampthread_http::{Body, full};
use secrecy::ExposeSecret;

impl Gate {
    /// Builds the request for the backend. Fails if the active version at this node lacks the
    /// route or its secret.
    pub(super) fn prepare(
        &self,
        hop: &Hop,
        request: Request<Bytes>,
        backend: &LocalBackend,
    ) -> Result<Request<Body>, CallError> {
        let (mut parts, body) = request.into_parts();
        header_filter::remove_internal(&mut parts.headers);
        header_filter::remove_hop_by_hop(&mut parts.headers);
        let had_body = parts.headers.contains_key(http::header::CONTENT_LENGTH);
        header_filter::set_length(&mut parts.headers, body.len(), had_body);
        self.set_system_headers(hop, backend, &mut parts.headers);
        self.add_secret(hop, &mut parts.headers)?;
        if !parts.headers.contains_key(http::header::HOST)
            && let Ok(host) = HeaderValue::from_str(&backend.address.to_string())
        {
            parts.headers.insert(http::header::HOST, host);
        }
        parts.uri = origin_form(&parts.uri);
        Ok(Request::from_parts(parts, full(body)))
    }

    /// Sets the headers that describe the call, and overwrites any that the caller has set.
    fn set_system_headers(&self, hop: &Hop, backend: &LocalBackend, to: &mut http::HeaderMap) {
        let remaining = hop.deadline.since(self.control.clock.now()).as_millis();
        let remaining = remaining.to_string();
        header_filter::set_header(to, &self.dialect.deadline_ms, &remaining);
        header_filter::set_header(to, &self.dialect.caller, &hop.caller);
        // The tenant follows from the request's key alone, not from a header of the caller.
        to.remove(&self.dialect.tenant);
        if let Some(tenant) = &hop.tenant {
            header_filter::set_header(to, &self.dialect.tenant, tenant.as_str());
        }
        if let (Some(header), Some(instance)) = (&self.dialect.target_instance, &backend.instance) {
            // Any incarnation of the backend with this id may run the call, which is sent at
            // most once.
            let incarnation = BackendIncarnation::from_name(instance);
            header_filter::set_header(to, header, incarnation.id().as_str());
        }
        if let Some(header) = &self.dialect.request_id {
            header_filter::set_header(to, header, hop.request_id());
        } else {
            header_filter::set_internal(to, headers::CALL_ID, &hop.call_id);
            header_filter::set_internal(to, headers::HOPS, &hop.hops.to_string());
        }
    }

    /// Decrypts the secret of the route, if it has one, and sets it as a header.
    fn add_secret(&self, hop: &Hop, headers: &mut http::HeaderMap) -> Result<(), CallError> {
        let missing = |reason: String| {
            CallError::not_run(Cause::ConfigurationBehind, reason).retry_after(CONFIG_RETRY_AFTER)
        };
        let Some(secrets) = &self.secrets else {
            return Ok(());
        };
        let active = self.control.active();
        let Some(route) = find_route(&active.state, &hop.route) else {
            return Err(missing(format!("route {} is not known here", hop.route)));
        };
        let Some(name) = &route.secret else {
            return Ok(());
        };
        let Some(secret) = active.state.secret(name) else {
            return Err(missing(format!("secret {name} is not known here")));
        };
        let value = secrets
            .open(name, &secret.sealed)
            .map_err(|error| missing(error.to_string()))?;
        let header = http::HeaderName::from_bytes(route.secret_header.as_bytes());
        let value = HeaderValue::from_str(value.expose_secret());
        if let (Ok(header), Ok(mut value)) = (header, value) {
            value.set_sensitive(true);
            headers.insert(header, value);
        }
        Ok(())
    }
}

/// The route of this name in the configuration.
fn find_route<'a>(
    state: &'a rampthread_core::config::ConfigState,
    name: &ResourceName,
) -> Option<&'a Route> {
    let key = ResourceKey {
        kind: ResourceKind::Route,
        name: name.clone(),
    };
    match &*state.get(&key)?.resource {
        Resource::Route(route) => Some(route),
        _ => None,
    }
}

/// Reduces the URI to path and query (RFC 9112, section 3.2.1).
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or_else(|_| Uri::from_static("/"))
}
