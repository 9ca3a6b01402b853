//! The platform's machine list; it lags behind reality.

use crate::error::PlatformError;
use crate::http_client::HttpClient;
use crate::protocol::paths;
use async_trait::async_trait;
use http::Method;
use rampthread_core::fleet::Machine;
use std::time::Duration;

/// Live and leaving machines, as the platform records them.
#[async_trait]
pub trait MachineList: Send + Sync {
    /// Reads the whole list.
    async fn machines(&self) -> Result<Vec<Machine>, PlatformError>;
}

/// The list behind the stand-ins' HTTP protocol.
pub struct HttpMachineList {
    client: HttpClient,
}

impl HttpMachineList {
    /// Uses `client` for every request.
    pub fn new(client: HttpClient) -> Self {
        Self { client }
    }
}

#[async_trait]
impl MachineList for HttpMachineList {
    async fn machines(&self) -> Result<Vec<Machine>, PlatformError> {
        let answer = self
            .client
            .request(Method::GET, paths::MACHINES, Vec::new(), Duration::ZERO)
            .await?;
        serde_json::from_slice(&answer.body).map_err(|error| PlatformError::Protocol {
            reason: error.to_string(),
        })
    }
}
