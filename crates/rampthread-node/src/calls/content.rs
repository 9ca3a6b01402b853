//! What a request asks for, kept while it is under way: cheap to keep, since its
//! parts are shared, and digested only when somebody asks.

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderValue, Method, Request, Uri};
use rampthread_core::call::identity::{IdentityKey, RequestContent, RequestIdentity};

/// The parts of a request that make its identity.
#[derive(Debug, Clone, Default)]
pub(super) struct KeptContent {
    method: Method,
    authority: Option<HeaderValue>,
    uri: Uri,
    body: Bytes,
}

impl KeptContent {
    pub(super) fn of(request: &Request<Bytes>) -> Self {
        Self {
            method: request.method().clone(),
            authority: request.headers().get(HOST).cloned(),
            uri: request.uri().clone(),
            body: request.body().clone(),
        }
    }

    /// Names the request.
    pub(super) fn identity(&self, key: &IdentityKey) -> RequestIdentity {
        let authority = self.authority.as_ref().and_then(|host| host.to_str().ok());
        let target = self
            .uri
            .path_and_query()
            .map_or("/", |target| target.as_str());
        key.identify(&RequestContent {
            method: self.method.as_str(),
            authority: authority.unwrap_or_default(),
            target,
            body: &self.body,
        })
    }
}
