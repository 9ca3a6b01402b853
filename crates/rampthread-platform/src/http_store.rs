//! The store behind the stand-ins' HTTP protocol.

use crate::error::PlatformError;
use crate::http_client::{Answer, HttpClient, percent_encode};
use crate::protocol::{GrantedLease, RangeReply, WatchReply, paths};
use crate::store::{CreateOutcome, Range, Store, WatchOutcome};
use async_trait::async_trait;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use http::{Method, StatusCode};
use serde::de::DeserializeOwned;
use std::time::Duration;

/// A store reached by HTTP.
pub struct HttpStore {
    client: HttpClient,
}

impl HttpStore {
    /// Uses `client` for every request.
    pub fn new(client: HttpClient) -> Self {
        Self { client }
    }

    async fn ask(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        extra_wait: Duration,
    ) -> Result<Answer, PlatformError> {
        self.client.request(method, path, body, extra_wait).await
    }
}

fn json<T: DeserializeOwned>(answer: &Answer) -> Result<T, PlatformError> {
    serde_json::from_slice(&answer.body).map_err(|error| PlatformError::Protocol {
        reason: error.to_string(),
    })
}

fn unexpected(status: StatusCode) -> PlatformError {
    PlatformError::Protocol {
        reason: format!("status {status}"),
    }
}

fn to_range(reply: RangeReply) -> Result<Range, PlatformError> {
    let items = reply
        .items
        .into_iter()
        .map(|item| {
            let value = STANDARD
                .decode(item.value)
                .map_err(|error| PlatformError::Protocol {
                    reason: error.to_string(),
                })?;
            Ok((item.key, value))
        })
        .collect::<Result<_, PlatformError>>()?;
    Ok(Range {
        items,
        last_key: reply.last_key,
    })
}

#[async_trait]
impl Store for HttpStore {
    async fn create(
        &self,
        key: &str,
        value: Vec<u8>,
        lease: Option<u64>,
    ) -> Result<CreateOutcome, PlatformError> {
        let mut path = format!("{}{}", paths::KEY, percent_encode(key));
        if let Some(lease) = lease {
            path.push_str(&format!("?lease={lease}"));
        }
        let answer = self.ask(Method::PUT, &path, value, Duration::ZERO).await?;
        match answer.status {
            StatusCode::CREATED => Ok(CreateOutcome::Created),
            StatusCode::PRECONDITION_FAILED => Ok(CreateOutcome::Exists),
            status => Err(unexpected(status)),
        }
    }

    async fn get(&self, key: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        let path = format!("{}{}", paths::KEY, percent_encode(key));
        let answer = self
            .ask(Method::GET, &path, Vec::new(), Duration::ZERO)
            .await?;
        match answer.status {
            StatusCode::OK => Ok(Some(answer.body.to_vec())),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(unexpected(status)),
        }
    }

    async fn remove(&self, key: &str) -> Result<(), PlatformError> {
        let path = format!("{}{}", paths::KEY, percent_encode(key));
        let answer = self
            .ask(Method::DELETE, &path, Vec::new(), Duration::ZERO)
            .await?;
        match answer.status {
            StatusCode::NO_CONTENT | StatusCode::NOT_FOUND => Ok(()),
            status => Err(unexpected(status)),
        }
    }

    async fn range(&self, prefix: &str, after: &str, limit: usize) -> Result<Range, PlatformError> {
        let path = format!(
            "{}?prefix={}&after={}&limit={limit}",
            paths::RANGE,
            percent_encode(prefix),
            percent_encode(after)
        );
        let answer = self
            .ask(Method::GET, &path, Vec::new(), Duration::ZERO)
            .await?;
        to_range(json(&answer)?)
    }

    async fn watch(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
        wait: Duration,
    ) -> Result<WatchOutcome, PlatformError> {
        let path = format!(
            "{}?prefix={}&after={}&limit={limit}&wait_ms={}",
            paths::WATCH,
            percent_encode(prefix),
            percent_encode(after),
            wait.as_millis()
        );
        let answer = self.ask(Method::GET, &path, Vec::new(), wait).await?;
        match json::<WatchReply>(&answer)? {
            WatchReply::Keys(reply) => Ok(WatchOutcome::Keys(to_range(reply)?)),
            WatchReply::Compacted => Ok(WatchOutcome::Compacted),
        }
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<u64, PlatformError> {
        let path = format!("{}?ttl_ms={}", paths::LEASE, ttl.as_millis());
        let answer = self
            .ask(Method::POST, &path, Vec::new(), Duration::ZERO)
            .await?;
        Ok(json::<GrantedLease>(&answer)?.id)
    }

    async fn renew_lease(&self, lease: u64) -> Result<bool, PlatformError> {
        let path = format!("{}/{lease}", paths::LEASE);
        let answer = self
            .ask(Method::POST, &path, Vec::new(), Duration::ZERO)
            .await?;
        match answer.status {
            StatusCode::NO_CONTENT => Ok(true),
            StatusCode::NOT_FOUND => Ok(false),
            status => Err(unexpected(status)),
        }
    }

    async fn end_lease(&self, lease: u64) -> Result<(), PlatformError> {
        let path = format!("{}/{lease}", paths::LEASE);
        self.ask(Method::DELETE, &path, Vec::new(), Duration::ZERO)
            .await?;
        Ok(())
    }
}
