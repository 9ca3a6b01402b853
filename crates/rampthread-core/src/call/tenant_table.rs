//! Whose call it is, by the key that came with it.

use super::cause::Cause;
use crate::config::{ConfigState, KeyDigest, RateLimit, Tenant};
use crate::fleet::TenantTag;
use http::HeaderMap;
use http::header::AUTHORIZATION;
use std::collections::HashMap;
use std::sync::Arc;

/// The scheme that keys come with (RFC 6750, section 2.1), compared without case.
const SCHEME: &str = "bearer";
/// Longest key that is looked up, in bytes.
const MAX_KEY_BYTES: usize = 512;

/// The tenants of one configuration version, by the digests of their keys.
#[derive(Debug, Default)]
pub struct TenantTable {
    by_key: HashMap<KeyDigest, Arc<Tenant>>,
    /// Those with a limit, as nodes name them to each other.
    limited: HashMap<TenantTag, Arc<Tenant>>,
    in_use: bool,
}

/// Why a request is of nobody who may send it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum TenantKeyError {
    /// It has no key, or not in a form that can be read.
    #[error("the request has no key of a tenant")]
    NoKey,
    /// No tenant has this key.
    #[error("the request's key belongs to no tenant")]
    UnknownKey,
}

impl TenantKeyError {
    /// The word in logs and metrics.
    pub fn cause(self) -> Cause {
        match self {
            TenantKeyError::NoKey => Cause::KeyMissing,
            TenantKeyError::UnknownKey => Cause::KeyUnknown,
        }
    }
}

impl TenantTable {
    /// The tenants of `state`.
    pub fn new(state: &ConfigState) -> Self {
        let mut table = TenantTable::default();
        for tenant in state.tenants() {
            table.in_use = true;
            let tenant = Arc::new(tenant.clone());
            let keys = tenant.keys.iter().map(|key| (*key, tenant.clone()));
            table.by_key.extend(keys);
            if tenant.limit().is_some() {
                let tag = TenantTag::of(&tenant.name);
                table.limited.insert(tag, tenant.clone());
            }
        }
        table
    }

    /// True when the configuration has tenants: calls need a key, and no key goes further
    /// than the node that they came to.
    pub fn has_tenants(&self) -> bool {
        self.in_use
    }

    /// The limit of a tenant; none where it has none or is not known.
    pub fn limit(&self, tag: TenantTag) -> Option<RateLimit> {
        self.limited.get(&tag)?.limit()
    }

    /// The tenants that have a limit.
    pub fn limited(&self) -> impl Iterator<Item = (TenantTag, &Arc<Tenant>)> {
        self.limited.iter().map(|(tag, tenant)| (*tag, tenant))
    }

    /// True when some tenant has a limit.
    pub fn has_limits(&self) -> bool {
        !self.limited.is_empty()
    }

    /// The tenant that a call with these headers is of; none where it needs none. A call
    /// of a public route is its tenant's where its key is known.
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

/// True for a key that a request can come with.
pub fn is_valid_key(key: &str) -> bool {
    let visible = |byte: u8| byte == b' ' || byte.is_ascii_graphic();
    let whole = !key.is_empty() && key.trim() == key;
    whole && key.len() <= MAX_KEY_BYTES && key.bytes().all(visible)
}

/// The key of a request. Two of them tell nothing: which one was meant is not known.
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
