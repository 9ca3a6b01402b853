//! Interface between the server and request handlers.

use super::head::Rejection;
use super::request_body::RequestBody;
use crate::body::{Body, full};
use crate::time::BootInstant;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use http::request::Parts;
use http::{Request, Response};
use std::net::SocketAddr;

/// Time of arrival of a request's first bytes, added to its extensions. A request may wait for
/// earlier ones on its connection before it starts.
#[derive(Debug, Clone, Copy)]
pub struct ReceivedAt(pub BootInstant);

/// Request handler. It is implemented for closures that take a request and the client's address
/// and return a future of the response; their requests never overlap.
pub trait Service: Send + Sync + 'static {
    /// Handles a request. The future is dropped if the client disconnects.
    fn handle(
        &self,
        request: Request<RequestBody>,
        peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>>;

    /// Whether a request without a body may start while earlier ones on its connection are
    /// running. If one of those closes the connection, the client resends the request, so it
    /// must be repeatable.
    fn may_overlap(&self, _head: &Parts) -> bool {
        false
    }

    /// Response to a request that was rejected by its head alone.
    fn reject(&self, peer: SocketAddr, rejection: &Rejection) -> Response<Body> {
        tracing::debug!(%peer, %rejection, "request rejected");
        rejection_response(rejection)
    }
}

/// Plain text response with the reason of a rejection.
pub fn rejection_response(rejection: &Rejection) -> Response<Body> {
    let mut response = Response::new(full(format!("{rejection}\n")));
    *response.status_mut() = rejection.status();
    response
}

impl<F, Fut> Service for F
where
    F: Fn(Request<RequestBody>, SocketAddr) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    fn handle(
        &self,
        request: Request<RequestBody>,
        peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        self(request, peer).boxed()
    }
}
