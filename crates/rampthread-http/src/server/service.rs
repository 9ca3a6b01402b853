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

/// Time at which the first bytes of a request arrived; an extension of the request. A pipelined
/// request may wait for earlier ones before its handler starts.
#[derive(Debug, Clone, Copy)]
pub struct ReceivedAt(pub BootInstant);

/// Handles the requests of a server. Implemented for closures from a request and the client's
/// address to a future of the response; their requests never overlap.
pub trait Service: Send + Sync + 'static {
    /// Handles a request. The server drops the future if the client disconnects.
    fn handle(
        &self,
        request: Request<RequestBody>,
        peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>>;

    /// Whether a request without a body may start while earlier requests on its connection are
    /// running. If an earlier response closes the connection, the client resends this request,
    /// so running it twice must be harmless.
    fn may_overlap(&self, _head: &Parts) -> bool {
        false
    }

    /// Response to a request that the server rejected by its head, without calling
    /// [`Service::handle`].
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
