//! Admission of calls at the entry: identifies the tenant and applies the tenant's rate limit.

use super::Entry;
use crate::calls::response::CallError;
use crate::control::ActiveConfig;
use http::header::AUTHORIZATION;
use http::{HeaderMap, HeaderName};
use rampthread_core::call::headers::Outcome;
use rampthread_core::config::{Route, Tenant};
use rampthread_core::fleet::TenantHash;
use std::sync::Arc;

impl Entry {
    /// Identifies the tenant of a call by the key in its headers; `None` where the route needs
    /// no tenant.
    pub(super) fn identify(
        &self,
        config: &ActiveConfig,
        route: &Route,
        headers: &HeaderMap,
    ) -> Result<Option<Arc<Tenant>>, CallError> {
        let tenant = config.tenants.identify(headers, route.public);
        let tenant =
            tenant.map_err(|found| CallError::not_run(found.cause(), found.to_string()))?;
        Ok(tenant.cloned())
    }

    /// Takes a token from the tenant's rate limit, which covers all attempts of the call;
    /// `None` where the tenant has no limit.
    pub(super) async fn take_token(
        &self,
        tenant: Option<&Tenant>,
    ) -> Result<Option<TenantHash>, CallError> {
        match tenant {
            Some(tenant) => self.options.tenant_limits.acquire(tenant).await,
            None => Ok(None),
        }
    }

    /// Returns the rate limit token of a call if no backend has run the call.
    pub(super) fn refund_token_if_not_run<T>(
        &self,
        token_tenant: Option<TenantHash>,
        result: &Result<T, CallError>,
    ) {
        let (Some(tenant), Err(call_error)) = (token_tenant, result) else {
            return;
        };
        if call_error.outcome == Outcome::NotRun {
            self.options.tenant_limits.refund(tenant);
        }
    }
}

/// Priority of a call: the tenant's if the tenant has one, or else the route's.
pub(super) fn rank(tenant: Option<&Tenant>, route: &Route) -> u32 {
    tenant
        .and_then(|tenant| tenant.priority)
        .unwrap_or(route.priority)
}

/// Removes from a forwarded request the tenant's key, which only the entry node needs, and any
/// tenant name set by the caller.
pub(super) fn remove_identity(config: &ActiveConfig, tenant: &HeaderName, headers: &mut HeaderMap) {
    headers.remove(tenant);
    if config.tenants.has_tenants() {
        headers.remove(AUTHORIZATION);
    }
}
