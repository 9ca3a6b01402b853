//! Identifies the tenant of a call by the API key in its headers.

use super::cause::Cause;
use crate::config::{ConfigState, KeyDigest, RateLimit, Tenant};
use crate::fleet::TenantHash;
use http::HeaderMap;
use http::header::AUTHORIZATION;
use std::collections::HashMap;
use std::sync::Arc;

/// Authorization scheme of API keys (RFC 6750, section 2.1), compared case-insensitively.
const SCHEME: &str = "bearer";
/// Maximum length of an API key in bytes; a longer one counts as no key.
const MAX_KEY_BYTES: usize = 512;

/// The tenants of one configuration version, indexed by the digests of their API keys.
#[derive(Debug, Default)]
pub struct TenantTable {
    by_key: HashMap<KeyDigest, Arc<Tenant>>,
    /// Tenants with a rate limit, by the hash of the tenant that nodes send to each other
    /// instead of its name.
    limited: HashMap<TenantHash, Arc<Tenant>>,
    /// False in a configuration without tenants, where calls need no API key.
    in_use: bool,
}

/// Why no tenant was found for a request that needs one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum TenantKeyError {
    /// The request carries no API key, or one that cannot be parsed.
    #[error("the request has no key of a tenant")]
    NoKey,
    /// The request carries an API key that belongs to no tenant of the configuration.
    #[error("the request's key belongs to no tenant")]
    UnknownKey,
}

impl TenantKeyError {
    /// The [`Cause`] under which a request without a valid API key is rejected, logged and
    /// counted.
    pub fn cause(self) -> Cause {
        match self {
            TenantKeyError::NoKey => Cause::KeyMissing,
            TenantKeyError::UnknownKey => Cause::KeyUnknown,
        }
    }
}

impl TenantTable {
    /// Indexes the tenants of a configuration by API key.
    pub fn new(state: &ConfigState) -> Self {
        let mut table = TenantTable::default();
        for tenant in state.tenants() {
            table.in_use = true;
            let tenant = Arc::new(tenant.clone());
            let keys = tenant.keys.iter().map(|key| (*key, tenant.clone()));
            table.by_key.extend(keys);
            if tenant.limit().is_some() {
                let tag = TenantHash::of(&tenant.name);
                table.limited.insert(tag, tenant.clone());
            }
        }
        table
    }

    /// True when the configuration has tenants. Calls then need an API key, and API keys
    /// are not forwarded beyond the node that received them.
    pub fn has_tenants(&self) -> bool {
        self.in_use
    }

    /// Rate limit of the tenant with this hash; `None` if it has no limit or is unknown.
    pub fn limit(&self, tag: TenantHash) -> Option<RateLimit> {
        self.limited.get(&tag)?.limit()
    }

    /// Tenants with a rate limit, each with the hash by which load reports name it.
    pub fn limited(&self) -> impl Iterator<Item = (TenantHash, &Arc<Tenant>)> {
        self.limited.iter().map(|(tag, tenant)| (*tag, tenant))
    }

    /// False if no tenant has a rate limit, so that demand of tenants need not be reported.
    pub fn has_limits(&self) -> bool {
        !self.limited.is_empty()
    }

    /// Returns the tenant of a call with these headers; `None` where the configuration has
    /// no tenants. A call of a `public` route needs no API key, and belongs to a tenant
    /// only if it has a known one.
    pub fn identify(
        &self,
        headers: &HeaderMap,
        public: bool,
    ) -> Result<Option<&Arc<Tenant>>, TenantKeyError> {
        if !self.in_use {
            return Ok(None);
        }
        let found = match bearer_key(headers) {
            Some(key) => self
                .by_key
                .get(&KeyDigest::of(key))
                .ok_or(TenantKeyError::UnknownKey),
            None => Err(TenantKeyError::NoKey),
        };
        match found {
            Ok(tenant) => Ok(Some(tenant)),
            Err(_) if public => Ok(None),
            Err(unidentified) => Err(unidentified),
        }
    }
}

/// True if `key` fits in an `Authorization` header: visible ASCII without spaces at its
/// ends, and not too long.
pub fn is_valid_key(key: &str) -> bool {
    let visible = |byte: u8| byte == b' ' || byte.is_ascii_graphic();
    let whole = !key.is_empty() && key.trim() == key;
    whole && key.len() <= MAX_KEY_BYTES && key.bytes().all(visible)
}

/// Extracts the API key of a request. Two `Authorization` headers are ambiguous and count
/// as none.
fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let value = values.next()?.to_str().ok()?;
    if values.next().is_some() {
        return None;
    }
    let (scheme, key) = value.trim().split_once(' ')?;
    let key = key.trim();
    let readable = scheme.eq_ignore_ascii_case(SCHEME) && !key.is_empty();
    (readable && key.len() <= MAX_KEY_BYTES).then_some(key)
}
