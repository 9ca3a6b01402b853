//! Follows the operators' configuration document: reads it in full, then watches for
//! changes, and reads it again whenever the store has lost the history of changes.
//!
//! Only a few nodes watch the store (`Agent::is_document_watcher`). The other nodes learn
//! of a new version from their peers, get the changes from them, and read the store if
//! peers can't provide them. The agent determines the timeout of store calls, so that an
//! unresponsive store is detected and reported in time.

use super::Control;
use super::backoff::Backoff;
use rampthread_core::fleet::{Agent, Decision};
use rampthread_core::ids::Version;
use rampthread_core::rollout::table::OrderSource;
use rampthread_http::{BootInstant, sleep, timeout};
use rampthread_platform::{
    Document, DocumentNews, DocumentRead, DocumentSource, EraRise, OrdersRead, PlatformError,
    ReadAge, Revision,
};
use std::sync::Arc;
use std::time::Duration;

/// Maximum wait for the directory at startup: twice the response time of a slow store.
const DIRECTORY_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum number of reads at startup that accept a document some seconds old.
const MAX_INITIAL_READS: u32 = 6;
/// Delay after the first read of the document at startup; it doubles with each read. All
/// delays together last longer than nodes that start together need to find each other.
const INITIAL_READ_DELAY: Duration = Duration::from_millis(700);
/// Maximum delay between two reads of the document at startup.
const MAX_INITIAL_READ_DELAY: Duration = Duration::from_millis(2_800);
/// Maximum wait for peers at startup: longer than nodes that start together need to find
/// each other.
const PEERS_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum wait for messages of peers that are known from the directory. With a check
/// interval of 0.25 s it leaves enough time for a version that is written meanwhile.
const ROLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time between two checks whether this node is a document watcher.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two checks whether peers have provided the document that is being read.
const PEER_HELP_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Changes of the document that follow each other within this time count as a burst.
const BURST_GAP: Duration = Duration::from_secs(1);
/// Delay between two reads of the document during a burst of changes, so that several
/// versions cost one read.
const BURST_DELAY: Duration = Duration::from_millis(400);
/// Maximum number of findings of a rejected document in a log line.
const MAX_LOGGED_FINDINGS: usize = 20;
/// Number of consecutive failed store calls after which the store counts as unavailable. An
/// unresponsive store counts as unavailable after the first one.
const UNAVAILABLE_AFTER_FAILURES: u32 = 2;

/// Returns the result of `work`, or `None` if `ended` completes first.
async fn run_until<T>(ended: impl Future<Output = ()>, work: impl Future<Output = T>) -> Option<T> {
    let ended = async {
        ended.await;
        None
    };
    futures_lite::future::or(async { Some(work.await) }, ended).await
}

/// Task that follows the configuration document in the store.
pub(super) struct DocumentWatch {
    control: Arc<Control>,
    source: Arc<dyn DocumentSource>,
    /// Receives a wake-up when this node lacks a version and its peers don't provide it.
    wake: async_channel::Receiver<()>,
    /// Receives increases of the store era, a number that the store raises each time it is
    /// restored from an older backup.
    era_rises: async_channel::Receiver<EraRise>,
    backoff: Backoff,
    /// Number of consecutive failed store calls.
    failures: u32,
    /// Whether the store was reported as unavailable.
    reported_unavailable: bool,
    /// When a newer version of the document was last seen.
    changed_at: Option<BootInstant>,
}

impl DocumentWatch {
    pub(super) fn new(
        control: Arc<Control>,
        source: Arc<dyn DocumentSource>,
        wake: async_channel::Receiver<()>,
    ) -> Self {
        let era_rises = control.eras.listen();
        Self {
            control,
            source,
            wake,
            era_rises,
            backoff: Backoff::default(),
            failures: 0,
            reported_unavailable: false,
            changed_at: None,
        }
    }

    /// Reads and watches the document until the task is canceled.
    pub(super) async fn run(mut self) {
        let mut known = self.read_first().await;
        if known.is_some() && self.wait_for_role().await {
            known = None;
        }
        loop {
            let before = self.control.version();
            let read = match known.take() {
                Some(at) => Some(at),
                None => self.read_if_needed().await,
            };
            if self.is_burst(before) {
                sleep(BURST_DELAY).await;
                continue;
            }
            match read {
                Some(at) => self.follow(at).await,
                None => self.wait_for_role_or_wake().await,
            }
        }
    }

    /// Gets the first document: from peers if any known peer may hold it, else from the
    /// store. The store's document may be some seconds old, which makes the read cheap;
    /// peers provide newer versions. Reads repeatedly before the first document is written,
    /// and until this node knows whether it is a document watcher.
    async fn read_first(&mut self) -> Option<Revision> {
        self.wait_for_directory().await;
        let delay = self.control.with_agent(Agent::initial_read_delay);
        let _ = timeout(delay, self.peers_provided_first()).await;
        let mut delay = INITIAL_READ_DELAY;
        for _ in 0..MAX_INITIAL_READS {
            self.control.metrics.count_store_request("document-read");
            let reading = self.read_with_metrics(ReadAge::MayBeOld);
            // A peer's document is compressed and arrives sooner over a slow link.
            match run_until(self.peers_provided_first(), reading).await? {
                Ok(read) => {
                    self.on_success();
                    self.apply_orders(read.orders, OrderSource::Existing);
                    if let Some(document) = read.document {
                        self.apply_document(document);
                        return Some(read.at);
                    }
                }
                Err(error) => {
                    self.on_failure(&error).await;
                    return None;
                }
            }
            // A wake-up means that a peer holds a document, and ends the delay.
            let jittered = delay.mul_f64(rand::random_range(0.8..1.2));
            let _ = timeout(jittered, self.wake.recv()).await;
            delay = (delay * 2).min(MAX_INITIAL_READ_DELAY);
            let provided = !self.control.needs_document();
            if provided || self.control.watcher_selection_known() {
                return None;
            }
        }
        None
    }

    /// Waits until the directory is read, since it introduces the peers; not for long if
    /// the store doesn't respond.
    async fn wait_for_directory(&self) {
        let listed = async {
            while !self.control.is_listed() {
                let _ = self.wake.recv().await;
            }
        };
        let _ = timeout(DIRECTORY_TIMEOUT, listed).await;
    }

    /// Completes when a peer has provided the first document.
    async fn peers_provided_first(&self) {
        while self.control.lacks_current_document() {
            sleep(PEER_HELP_CHECK_INTERVAL).await;
        }
    }

    /// Waits until this node knows whether it is a document watcher. Before it has heard
    /// from others it can't tell, and all nodes of a starting fleet would watch the store.
    /// A single node becomes a watcher in the end, as does one whose peers don't respond.
    /// Returns whether the node was woken because it lacks a version that peers don't
    /// provide, so that it must read the store.
    async fn wait_for_role(&self) -> bool {
        let started = BootInstant::now();
        let mut peers_known = None;
        while started.elapsed() < PEERS_TIMEOUT && !self.control.watcher_selection_known() {
            if self.control.knows_peers() {
                let known: &BootInstant = peers_known.get_or_insert_with(BootInstant::now);
                if known.elapsed() >= ROLE_TIMEOUT {
                    return false;
                }
            }
            let woken = timeout(ROLE_CHECK_INTERVAL, self.wake.recv()).await.is_ok();
            if woken && self.control.lacks_current_document() {
                return true;
            }
        }
        false
    }

    /// Records the time if the active version is newer than `before`. Returns whether the
    /// previous new version arrived only a moment earlier, so that more are likely.
    fn is_burst(&mut self, before: Version) -> bool {
        if self.control.version() <= before {
            return false;
        }
        let last = self.changed_at.replace(BootInstant::now());
        last.is_some_and(|last| last.elapsed() < BURST_GAP)
    }

    /// Watches for changes after `at`, until the document must be read in full again.
    async fn follow(&mut self, mut at: Revision) {
        loop {
            if !self.control.is_document_watcher() {
                self.wait_for_role_or_wake().await;
                return;
            }
            let before = self.control.version();
            let Some(next) = self.watch(at).await else {
                return;
            };
            at = next;
            if self.is_burst(before) {
                sleep(BURST_DELAY).await;
                return;
            }
        }
    }

    /// Completes when this node lacks a version that peers don't provide, or becomes a
    /// document watcher.
    async fn wait_for_role_or_wake(&self) {
        loop {
            let woken = timeout(ROLE_CHECK_INTERVAL, self.wake.recv()).await.is_ok();
            if woken || self.control.is_document_watcher() {
                return;
            }
        }
    }

    /// Reads the document and returns its revision, if this node is a document watcher or
    /// lacks a version that others hold.
    async fn read_if_needed(&mut self) -> Option<Revision> {
        if !self.control.needs_document() {
            return None;
        }
        self.read().await
    }

    /// Reads the document, with retries until the store responds. Returns `None` if the
    /// read is no longer needed because peers have provided the document.
    async fn read(&mut self) -> Option<Revision> {
        loop {
            while self.wake.try_recv().is_ok() {}
            self.control.metrics.count_store_request("document-read");
            let reading = self.read_with_metrics(ReadAge::Current);
            match run_until(self.peers_provided_document(), reading).await? {
                Ok(read) => {
                    self.on_success();
                    self.apply_orders(read.orders, OrderSource::Existing);
                    if let Some(document) = read.document {
                        self.apply_document(document);
                    }
                    return Some(read.at);
                }
                Err(error) => self.on_failure(&error).await,
            }
            if !self.control.needs_document() {
                return None;
            }
        }
    }

    /// Reads the document and records the transfer time, which decides whether this node's
    /// link is fast enough for a document watcher.
    async fn read_with_metrics(&self, age: ReadAge) -> Result<DocumentRead, PlatformError> {
        let call_timeout = self.control.with_agent(Agent::store_call_timeout);
        let started = BootInstant::now();
        let read = self.source.read(age, call_timeout).await?;
        let took = started.elapsed().saturating_sub(read.transfer.time);
        self.control.record_store_latency(took);
        if read.document.is_some() {
            self.control.record_document_transfer(read.transfer);
        }
        Ok(read)
    }

    /// Completes when peers have provided the document, so that the read is no longer
    /// needed.
    async fn peers_provided_document(&self) {
        while self.control.needs_document() {
            sleep(PEER_HELP_CHECK_INTERVAL).await;
        }
    }

    /// Completes when the store was restored from an older backup since `after`.
    async fn store_restored_since(&self, after: Revision) {
        while self.control.store_era() <= after.era {
            if self.era_rises.recv().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Waits once for a change of the document after `after`. Returns the new revision, or
    /// `None` if the document must be read in full.
    async fn watch(&mut self, after: Revision) -> Option<Revision> {
        self.control.metrics.count_store_request("document-watch");
        let (wait, call_timeout) = self.control.watch_timeouts();
        let started = BootInstant::now();
        let watching = self.source.watch(after, wait, call_timeout);
        let woken = async {
            let _ = self.wake.recv().await;
        };
        let ended = futures_lite::future::or(woken, self.store_restored_since(after));
        let result = run_until(ended, watching).await?;
        if let Ok(DocumentNews::Unchanged { orders, .. }) = &result
            && orders.orders.is_empty()
        {
            let took = started.elapsed().saturating_sub(wait);
            self.control.record_store_latency(took);
        }
        match result {
            Ok(DocumentNews::Changed {
                document,
                orders,
                at,
                transfer,
            }) => {
                self.control.record_document_transfer(transfer);
                self.on_success();
                self.apply_orders(orders, OrderSource::NewWrite);
                self.apply_document(document);
                Some(at)
            }
            Ok(DocumentNews::Unchanged { orders, at }) => {
                self.on_success();
                self.apply_orders(orders, OrderSource::NewWrite);
                Some(at)
            }
            Ok(DocumentNews::HistoryGone) => {
                self.on_success();
                None
            }
            Err(error) => {
                self.on_failure(&error).await;
                None
            }
        }
    }

    /// Passes a document to the agent, or logs why the document is invalid.
    fn apply_document(&self, document: Document) {
        match document {
            Ok(state) => self.control.on_document(Arc::new(state)),
            Err(findings) => self.control.log_decision(Decision::VersionRefused {
                version: self.control.version(),
                reason: findings.first(MAX_LOGGED_FINDINGS),
            }),
        }
    }

    /// Passes rollout orders that were read with the document to the agent.
    fn apply_orders(&self, read: OrdersRead, source: OrderSource) {
        if !read.unusable.is_empty() {
            let findings = read.unusable.first(MAX_LOGGED_FINDINGS).replace('\n', "; ");
            tracing::warn!(%findings, "unusable rollout orders in the store");
        }
        if !read.orders.is_empty() {
            self.control.on_rollout_orders(&read.orders, source);
        }
    }

    /// Records that the store responded.
    fn on_success(&mut self) {
        self.backoff.reset();
        self.failures = 0;
        if std::mem::take(&mut self.reported_unavailable) {
            self.control.decision_log.record(Decision::StoreAvailable);
        }
        self.control.record_store_reachability(true);
    }

    /// Records a failed store call, and waits before the next one.
    async fn on_failure(&mut self, error: &PlatformError) {
        self.failures += 1;
        // An unresponsive store is reported at once, since other nodes rely on this one to
        // watch it.
        let unresponsive = matches!(error, PlatformError::Silent { .. });
        if unresponsive || self.failures >= UNAVAILABLE_AFTER_FAILURES {
            self.report_unavailable(error);
        }
        let delay = self.backoff.next_delay(error);
        // A wake-up means that a peer has a newer version, and ends the delay.
        let _ = timeout(delay, self.wake.recv()).await;
    }

    /// Reports the store as unavailable, once until the store responds again.
    fn report_unavailable(&mut self, error: &PlatformError) {
        let was_reported = std::mem::replace(&mut self.reported_unavailable, true);
        if !was_reported {
            let reason = error.to_string();
            self.control
                .decision_log
                .record(Decision::StoreUnavailable { reason });
        }
        self.control.record_store_reachability(false);
    }
}
