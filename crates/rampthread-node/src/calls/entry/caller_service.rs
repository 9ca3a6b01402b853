//! HTTP service that passes requests from the listener for callers to the entry node.

use super::Entry;
use crate::calls::response::CallError;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use http::request::Parts;
use http::{Request, Response};
use rampthread_core::call::cause::Cause;
use rampthread_http::{Body, Rejection, RequestBody, Service};
use std::net::SocketAddr;
use std::sync::Arc;

/// Passes the requests of callers to the entry node.
pub struct CallerService(pub Arc<Entry>);

impl Service for CallerService {
    fn handle(
        &self,
        request: Request<RequestBody>,
        _peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        self.0.clone().handle(request).boxed()
    }

    fn may_overlap(&self, head: &Parts) -> bool {
        self.0.may_overlap(head)
    }

    fn reject(&self, peer: SocketAddr, rejection: &Rejection) -> Response<Body> {
        let cause = match rejection {
            Rejection::Malformed(_) => Cause::BadRequest,
            Rejection::HeadTooLarge { .. } => Cause::HeadTooLarge,
            Rejection::HeadTimeout { .. } => Cause::HeadTimeout,
        };
        let call_error = CallError::not_run(cause, rejection.to_string());
        self.0.control().call_log.rejected(peer, &call_error);
        call_error.into_caller_response(&self.0.options.dialect)
    }
}
