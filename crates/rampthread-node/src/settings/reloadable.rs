//! Settings that a running node takes from a changed file. Changes of all other settings
//! need a restart, which is logged.

use super::node_settings::{DrainSettings, NodeSettings, RetrySettings};
use arc_swap::ArcSwap;
use rampthread_core::call::attempts::RetryLimit;
use std::sync::Arc;

/// Values of the settings that can change while a node runs.
#[derive(Debug, Clone, PartialEq)]
pub struct ReloadableValues {
    /// Time limits of a graceful shutdown.
    pub drain: DrainSettings,
    /// Retry limit for the whole fleet; `None` uses the percentage of each service.
    pub retry_limit: Option<RetryLimit>,
    /// Maximum size of a request body in bytes, unless the configuration sets one.
    pub body_limit: usize,
    /// Maximum length of the queue for the local backend, in percent of its slots.
    pub queue_percent: u32,
}

impl ReloadableValues {
    /// Takes the values that can change from `settings`.
    pub fn from_settings(settings: &NodeSettings) -> Self {
        Self {
            drain: settings.drain.clone(),
            retry_limit: settings.retries.map(RetrySettings::to_retry_limit),
            body_limit: settings.limits.body_size.as_u64() as usize,
            queue_percent: settings.limits.queue_percent,
        }
    }
}

/// Current values, replaced together when the settings file changes. Clones share them.
#[derive(Debug, Clone)]
pub struct ReloadableSettings(Arc<ArcSwap<ReloadableValues>>);

impl ReloadableSettings {
    /// Starts with the values of `settings`.
    pub fn new(settings: &NodeSettings) -> Self {
        Self(Arc::new(ArcSwap::from_pointee(
            ReloadableValues::from_settings(settings),
        )))
    }

    /// Current values; a later change does not affect the returned copy.
    pub fn get(&self) -> Arc<ReloadableValues> {
        self.0.load_full()
    }

    /// Replaces all values with those of `settings`.
    pub fn replace(&self, settings: &NodeSettings) {
        self.0
            .store(Arc::new(ReloadableValues::from_settings(settings)));
    }
}
