//! Requests to a node's operator API.

use http::{Method, Request, StatusCode};
use rampthread_http::{
    Body, ConnectionReuse, Pool, PoolSettings, PooledBody, SendError, full, read_limited,
};
use std::net::SocketAddr;
use std::time::Duration;

const MAX_ANSWER: usize = 64 << 20;
/// Longer than a node's patience with one change.
const WAIT: Duration = Duration::from_secs(15);

/// An answer of the API.
#[derive(Debug)]
pub struct Answer {
    /// Status code.
    pub status: StatusCode,
    /// Whole body.
    pub body: Vec<u8>,
}

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The request was never sent.
    #[error("cannot reach {address}: {reason}")]
    NotSent {
        /// Whom.
        address: SocketAddr,
        /// What happened.
        reason: String,
    },
    /// It may have taken effect.
    #[error("the answer of {address} was lost: {reason}")]
    Lost {
        /// Whom.
        address: SocketAddr,
        /// What happened.
        reason: String,
    },
}

/// A client of one node.
pub struct Client {
    address: SocketAddr,
    pool: Pool,
}

impl Client {
    /// A client of the node whose API listens on `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            pool: Pool::new(PoolSettings::default()),
        }
    }

    fn lost(&self, reason: impl ToString) -> ClientError {
        ClientError::Lost {
            address: self.address,
            reason: reason.to_string(),
        }
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        headers: &[(&'static str, String)],
        body: Vec<u8>,
    ) -> Result<Request<Body>, ClientError> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(http::header::HOST, self.address.to_string());
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        request
            .body(full(body))
            .map_err(|error| ClientError::NotSent {
                address: self.address,
                reason: error.to_string(),
            })
    }

    /// Sends a request and opens the answer.
    pub async fn open(
        &self,
        method: Method,
        path: &str,
        headers: &[(&'static str, String)],
        body: Vec<u8>,
    ) -> Result<http::Response<PooledBody>, ClientError> {
        let request = self.request(method, path, headers, body)?;
        let sending = self
            .pool
            .send(self.address, request, ConnectionReuse::AnyIdle);
        match rampthread_http::timeout(WAIT, sending).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(SendError::NotSent { reason, .. })) => Err(ClientError::NotSent {
                address: self.address,
                reason,
            }),
            Ok(Err(SendError::ResponseLost { reason })) => Err(self.lost(reason)),
            Err(_) => Err(self.lost("no answer in time")),
        }
    }

    /// Sends a request and reads the whole answer.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&'static str, String)],
        body: Vec<u8>,
    ) -> Result<Answer, ClientError> {
        let response = self.open(method, path, headers, body).await?;
        let status = response.status();
        let body = read_limited(response.into_body(), MAX_ANSWER)
            .await
            .map_err(|error| self.lost(error))?;
        Ok(Answer {
            status,
            body: body.to_vec(),
        })
    }

    /// Reads `path`.
    pub async fn get(&self, path: &str) -> Result<Answer, ClientError> {
        self.send(Method::GET, path, &[], Vec::new()).await
    }
}
