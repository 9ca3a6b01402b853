//! Prepares a call before its first attempt: request id, route, service, tenant, deadline and
//! request body.

use super::{Call, Entry, admission};
use crate::calls::header_filter;
use crate::calls::request_content::CallContent;
use crate::calls::response::CallError;
use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, Method, Request, Uri};
use rampthread_core::call::cause::Cause;
use rampthread_core::call::headers;
use rampthread_core::call::precedence::Precedence;
use rampthread_core::call::route_table::{CallHead, choose_destination, is_repeatable};
use rampthread_core::config::{Route, Tenant};
use rampthread_core::time::Moment;
use rampthread_http::{RequestBody, read_limited};
use std::sync::Arc;
use std::time::Duration;

/// Maximum length of a caller name, in characters; the rest of a longer name is cut off.
const MAX_CALLER_CHARS: usize = 63;
/// Maximum length of a caller's request id, in bytes; a request with a longer id gets a new id.
const MAX_REQUEST_ID_BYTES: usize = 128;

impl Entry {
    /// Id of the request: the caller's where the dialect names a header for it, or else a new
    /// one.
    pub(super) fn call_id(&self, request: &Request<RequestBody>) -> String {
        let dialect = &self.options.dialect;
        let sent = dialect
            .request_id
            .as_ref()
            .and_then(|header| header_filter::header_str(request.headers(), header.as_str()))
            .filter(|id| (1..=MAX_REQUEST_ID_BYTES).contains(&id.len()));
        match sent {
            Some(id) => id.to_string(),
            None => uuid::Uuid::new_v4().simple().to_string(),
        }
    }

    /// Matches the route and resolves the service, tenant, deadline and priority of a call. Also
    /// returns the tenant, whose rate limit token is still to be taken.
    pub(super) fn prepare_call(
        &self,
        call_id: &str,
        request: &Request<RequestBody>,
        started_at: Moment,
    ) -> Result<(Call, Option<Arc<Tenant>>), CallError> {
        let bad =
            |error: headers::HeaderError| CallError::not_run(Cause::BadRequest, error.to_string());
        let from = request.headers();
        let hops =
            headers::next_hop(header_filter::header_str(from, headers::HOPS)).map_err(bad)?;
        let requested_timeout =
            header_filter::header_str(from, self.options.dialect.deadline_ms.as_str());
        let requested_timeout = headers::parse_deadline(requested_timeout).map_err(bad)?;
        let config = self.control().active();
        let head = call_head(from, request.uri(), request.method());
        let Some(route) = config.routes.find(&head).cloned() else {
            return Err(CallError::not_run(Cause::NoRoute, "no route matches"));
        };
        let tenant = self.identify(&config, &route, from)?;
        let service = choose_destination(&route.destinations, &mut rand::rng()).cloned();
        let Some(service) = service else {
            return Err(CallError::not_run(
                Cause::NoRoute,
                "the route leads nowhere",
            ));
        };
        let age = self.age(&route, requested_timeout);
        let call = Call {
            id: call_id.to_string(),
            caller: self.caller_name(from),
            hops,
            started_at,
            deadline: started_at + self.time_limit(&route, requested_timeout),
            token_tenant: None,
            rank: admission::rank(tenant.as_deref(), &route),
            precedence: self.precedence(&route, age),
            age,
            repeatable: is_repeatable(&route, request.method()),
            tenant: tenant.as_ref().map(|tenant| tenant.name.clone()),
            key: self.claim_key(&route, tenant.as_deref(), from),
            content: CallContent::default(),
            route,
            service,
            config,
        };
        Ok((call, tenant))
    }

    /// Whether a request may run concurrently with earlier requests on its connection. The
    /// request must be repeatable: an earlier response can close the connection, and then the
    /// client sends the request again.
    pub(super) fn may_overlap(&self, head: &Parts) -> bool {
        let config = self.control().active();
        let route = config
            .routes
            .find(&call_head(&head.headers, &head.uri, &head.method));
        route.is_some_and(|route| is_repeatable(route, &head.method))
    }

    /// Time limit of the call. Where the platform's dialect is in use, the timeout requested by
    /// the caller is capped by the route's; otherwise the requested timeout may be longer.
    fn time_limit(&self, route: &Route, requested_timeout: Option<Duration>) -> Duration {
        let timeout = Duration::from_millis(route.timeout_ms);
        match requested_timeout {
            Some(requested_timeout) if self.options.dialect.request_id.is_some() => {
                requested_timeout.min(timeout)
            }
            Some(requested_timeout) => requested_timeout,
            None => timeout,
        }
    }

    /// Time since the caller's first attempt, derived from the timeout that the caller
    /// requests, which shrinks with each of its attempts.
    fn age(&self, route: &Route, requested_timeout: Option<Duration>) -> Duration {
        let age = requested_timeout.map(|requested_timeout| {
            self.state()
                .attempt_ages
                .age(&route.name, requested_timeout)
        });
        age.unwrap_or_default()
    }

    /// Precedence of the call among calls of the same priority. A repeated call ranks as a
    /// retry once its response can no longer meet the route's latency target.
    fn precedence(&self, route: &Route, age: Duration) -> Precedence {
        let state = self.state();
        if state.nested_routes.is_nested(&route.name, self.now()) {
            return Precedence::Nested;
        }
        if age.is_zero() {
            return Precedence::FirstAttempt;
        }
        let response_time = state.balancer.mean_time(&route.name).unwrap_or_default();
        let target = route.target_latency_ms.map(Duration::from_millis);
        match target.is_some_and(|target| age + response_time < target) {
            true => Precedence::FirstAttempt,
            false => Precedence::Retry,
        }
    }

    /// Name of the calling service: from the settings, from a header, or "external".
    fn caller_name(&self, from: &HeaderMap) -> String {
        if let Some(caller) = &self.options.caller {
            return caller.to_string();
        }
        let caller = header_filter::header_str(from, headers::CALLER).unwrap_or("external");
        caller.chars().take(MAX_CALLER_CHARS).collect()
    }

    /// Idempotency key of the request, scoped by route and tenant; `None` without a key.
    fn claim_key(
        &self,
        route: &Route,
        tenant: Option<&Tenant>,
        from: &HeaderMap,
    ) -> Option<String> {
        self.options.claims.as_ref()?;
        let key = header_filter::header_str(from, headers::IDEMPOTENCY_KEY)?;
        // Equal keys of different routes or tenants must not collide. The `@` marks a key with
        // a tenant, since no route name starts with `@`.
        let of_route = format!("{}/{key}", route.name);
        Some(match tenant {
            Some(tenant) => format!("@{}/{of_route}", tenant.name),
            None => of_route,
        })
    }

    /// Reads the request body, up to the size limit for callers and until the deadline.
    pub(super) async fn read_body(
        &self,
        call: &Call,
        from: &HeaderMap,
        body: RequestBody,
    ) -> Result<Bytes, CallError> {
        let limits = call.config.state.caller_limits();
        let limit = limits.map_or_else(
            || self.options.live.get().body_limit,
            |limits| limits.body_bytes,
        );
        let declared: usize = header_filter::parse_header(from, "content-length").unwrap_or(0);
        if declared > limit {
            let reason = format!("the body is larger than {limit} bytes");
            return Err(CallError::not_run(Cause::BodyTooLarge, reason));
        }
        let remaining = call.deadline.since(self.now());
        let reading = read_limited(body, limit);
        match rampthread_http::timeout(remaining, reading).await {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(error)) => {
                let reason = format!("the body cannot be read: {error}");
                Err(CallError::not_run(Cause::BadRequest, reason))
            }
            Err(_) => {
                let reason = "the deadline passed before the body arrived";
                Err(CallError::not_run(Cause::BodyTimeout, reason))
            }
        }
    }
}

/// The parts of a request head that routes are matched against.
fn call_head<'a>(headers: &'a HeaderMap, uri: &'a Uri, method: &'a Method) -> CallHead<'a> {
    CallHead {
        host: header_filter::host_without_port(headers),
        path: uri.path(),
        method,
        headers,
    }
}
