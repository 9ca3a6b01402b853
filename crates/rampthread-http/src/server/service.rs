//! What a server does with the requests that it reads.

use super::head::Rejection;
use super::request_body::RequestBody;
use crate::body::{Body, full};
use crate::time::BootInstant;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use http::request::Parts;
use http::{Request, Response};
use std::net::SocketAddr;

/// When the first bytes of a request arrived; among the request's extensions.
/// A request may wait for earlier ones of its connection before it starts.
#[derive(Debug, Clone, Copy)]
pub struct ReceivedAt(pub BootInstant);

/// Handles requests. A closure from a request and the caller's address to a
/// future of the answer is one, whose requests never overlap.
pub trait Service: Send + Sync + 'static {
    /// Answers a request. The future is dropped when the caller leaves.
    fn handle(
        &self,
        request: Request<RequestBody>,
        peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>>;

    /// True when a request without a body may start while earlier ones of its
    /// connection run. If one of those ends the connection, the caller sends it
    /// again: it must bear to run twice.
    fn may_overlap(&self, _head: &Parts) -> bool {
        false
    }

    /// The answer to a request that was refused by its head alone.
    fn reject(&self, peer: SocketAddr, rejection: &Rejection) -> Response<Body> {
        tracing::debug!(%peer, %rejection, "request rejected");
        rejection_answer(rejection)
    }
}

/// A plain answer that tells a rejection.
pub fn rejection_answer(rejection: &Rejection) -> Response<Body> {
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
