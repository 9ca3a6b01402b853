//! The settings that a running node takes over from a changed file. All others
//! need a restart, which is said in the log.

use super::node_settings::{DrainSettings, NodeSettings, RetrySettings};
use arc_swap::ArcSwap;
use rampthread_core::call::attempts::RetryLimit;
use std::sync::Arc;

/// What may change while a node runs.
#[derive(Debug, Clone, PartialEq)]
pub struct LiveValues {
    /// A planned stop.
    pub drain: DrainSettings,
    /// Second tries of the whole fleet; none: each service's own percentage.
    pub retry_share: Option<RetryLimit>,
    /// Largest body of a request where the configuration names none, in bytes.
    pub body_limit: usize,
    /// Calls that may wait at the back end, in percent of its slots.
    pub queue_percent: u32,
}

impl LiveValues {
    /// The part of `settings` that may change.
    pub fn of(settings: &NodeSettings) -> Self {
        Self {
            drain: settings.drain.clone(),
            retry_share: settings.retries.map(RetrySettings::to_retry_share),
            body_limit: settings.limits.body_size.as_u64() as usize,
            queue_percent: settings.limits.queue_percent,
        }
    }
}

/// The present values, swapped whole.
#[derive(Debug, Clone)]
pub struct LiveSettings(Arc<ArcSwap<LiveValues>>);

impl LiveSettings {
    /// Begins with what `settings` say.
    pub fn new(settings: &NodeSettings) -> Self {
        Self(Arc::new(ArcSwap::from_pointee(LiveValues::of(settings))))
    }

    /// The values now.
    pub fn get(&self) -> Arc<LiveValues> {
        self.0.load_full()
    }

    /// Takes over changed settings.
    pub fn replace(&self, settings: &NodeSettings) {
        self.0.store(Arc::new(LiveValues::of(settings)));
    }
}
