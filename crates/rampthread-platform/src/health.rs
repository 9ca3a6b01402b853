//! Health reports of a backend. They are hints only, since they may be outdated or wrong.

use crate::error::PlatformError;
use crate::http_client::HttpClient;
use crate::protocol::paths;
use async_trait::async_trait;
use http::Method;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Health report of a backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendReport {
    /// Whether the backend accepts requests.
    pub healthy: bool,
    /// Whether the backend wants no new requests.
    #[serde(default)]
    pub draining: bool,
    /// Number of slots in use.
    #[serde(default)]
    pub busy_slots: u32,
}

/// Reads the health of one backend.
#[async_trait]
pub trait BackendHealth: Send + Sync {
    /// Reads the backend's present health report.
    async fn report(&self) -> Result<BackendReport, PlatformError>;
}

/// Reads health reports over HTTP.
pub struct HttpBackendHealth {
    client: HttpClient,
}

impl HttpBackendHealth {
    /// Creates a reader that sends its requests with `client`.
    pub fn new(client: HttpClient) -> Self {
        Self { client }
    }
}

#[async_trait]
impl BackendHealth for HttpBackendHealth {
    async fn report(&self) -> Result<BackendReport, PlatformError> {
        let answer = self
            .client
            .request(Method::GET, paths::HEALTH, Vec::new(), Duration::ZERO)
            .await?;
        serde_json::from_slice(&answer.body).map_err(|error| PlatformError::Protocol {
            reason: error.to_string(),
        })
    }
}
