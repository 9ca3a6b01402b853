//! The parts of a request that identify it, kept while its call is in progress. Clones share
//! the data; the identity is computed once, on demand.

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderValue, Method, Request, Uri};
use rampthread_core::call::identity::{IdentityKey, RequestContent, RequestIdentity};
use std::sync::{Arc, OnceLock};

/// The parts of a request that its identity is derived from. Clones share the data.
#[derive(Debug, Clone, Default)]
pub(super) struct CallContent(Arc<RequestParts>);

/// Request data that all clones of a [`CallContent`] share.
#[derive(Debug, Default)]
struct RequestParts {
    method: Method,
    authority: Option<HeaderValue>,
    uri: Uri,
    body: Bytes,
    identity: OnceLock<RequestIdentity>,
}

impl CallContent {
    pub(super) fn of(request: &Request<Bytes>) -> Self {
        Self(Arc::new(RequestParts {
            method: request.method().clone(),
            authority: request.headers().get(HOST).cloned(),
            uri: request.uri().clone(),
            body: request.body().clone(),
            identity: OnceLock::new(),
        }))
    }

    /// Size of the request body, in bytes.
    pub(super) fn body_bytes(&self) -> usize {
        self.0.body.len()
    }

    /// Identity of the request, a keyed digest; computed at the first use.
    pub(super) fn identity(&self, key: &IdentityKey) -> RequestIdentity {
        *self.0.identity.get_or_init(|| self.0.identify(key))
    }
}

impl RequestParts {
    fn identify(&self, key: &IdentityKey) -> RequestIdentity {
        let authority = self.authority.as_ref().and_then(|host| host.to_str().ok());
        let target = self.uri.path_and_query();
        key.identify(&RequestContent {
            method: self.method.as_str(),
            authority: authority.unwrap_or_default(),
            target: target.map_or("/", |target| target.as_str()),
            body: &self.body,
        })
    }
}
