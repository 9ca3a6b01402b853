//! Keeps up with the operators' document: reads it whole, then waits for
//! changes, and reads again whenever the store has forgotten or lost something.
//!
//! Only a few nodes wait at the store (`Agent::is_document_watcher`); the others
//! hear of a new version from their peers, get what has changed from them, and
//! read the store where peers cannot help. How long a call may take is the agent's
//! to say, so that a silent store is noticed and told in time.

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

/// Longest wait for the directory at the start: twice what a store that is slow by the
/// users' measures takes to answer.
const LIST_WAIT: Duration = Duration::from_millis(800);
/// Reads of the document that may be some seconds old, at the start.
const FIRST_READS: u32 = 6;
/// Pause after the first of them; it doubles. All of them together last longer than
/// nodes that start together take to find each other.
const FIRST_READ_PAUSE: Duration = Duration::from_millis(700);
/// Longest pause between two of them.
const LONGEST_FIRST_READ_PAUSE: Duration = Duration::from_millis(2_800);
/// Longest wait for peers at the start: longer than nodes that start together
/// take to find each other.
const PEERS_WAIT: Duration = Duration::from_secs(5);
/// Longest wait for news of peers that are known from the directory. With the
/// 0.25 s of a look it leaves a version that is written meanwhile in time.
const ROLE_WAIT: Duration = Duration::from_millis(1_500);
/// Time between two looks whether this node must watch the document.
const ROLE_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two looks whether peers have given what the store is read for.
const HELP_INTERVAL: Duration = Duration::from_millis(100);
/// Changes that come closer together than this are a storm.
const STORM_GAP: Duration = Duration::from_secs(1);
/// Pause between two reads in a storm: several versions cost one read.
const STORM_PAUSE: Duration = Duration::from_millis(400);
/// Findings of a refused document in its line.
const SHOWN_FINDINGS: usize = 20;
/// Calls in a row that failed in another way than by silence, after which the store
/// counts as not answering.
const LOST_AFTER: u32 = 2;

/// What `work` leads to; none when `ended` comes first.
async fn unless<T>(ended: impl Future<Output = ()>, work: impl Future<Output = T>) -> Option<T> {
    let ended = async {
        ended.await;
        None
    };
    futures_lite::future::or(async { Some(work.await) }, ended).await
}

/// The loop that follows the document.
pub(super) struct DocumentWatch {
    control: Arc<Control>,
    source: Arc<dyn DocumentSource>,
    /// Filled when this node lags and its peers do not help.
    wake: async_channel::Receiver<()>,
    /// Rises of the store's era.
    rises: async_channel::Receiver<EraRise>,
    backoff: Backoff,
    /// Failed calls in a row.
    failures: u32,
    /// It was told that the store does not answer.
    told_lost: bool,
    /// When the store last had a newer version.
    changed_at: Option<BootInstant>,
}

impl DocumentWatch {
    pub(super) fn new(
        control: Arc<Control>,
        source: Arc<dyn DocumentSource>,
        wake: async_channel::Receiver<()>,
    ) -> Self {
        let rises = control.eras.listen();
        Self {
            control,
            source,
            wake,
            rises,
            backoff: Backoff::default(),
            failures: 0,
            told_lost: false,
            changed_at: None,
        }
    }

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
            if self.in_storm(before) {
                sleep(STORM_PAUSE).await;
                continue;
            }
            match read {
                Some(at) => self.follow(at).await,
                None => self.wait_for_role_or_wake().await,
            }
        }
    }

    /// Gets the first document: from peers where somebody is known who may hold it, else
    /// from the store as it was up to some seconds ago, which costs that little; peers
    /// tell what is newer. Before the first document is written, and until this node can
    /// tell whether it is one of those that wait for it, it looks again now and then.
    async fn read_first(&mut self) -> Option<Revision> {
        self.wait_for_list().await;
        let turn = self.control.with_agent(Agent::initial_read_delay);
        let _ = timeout(turn, self.helped_to_first()).await;
        let mut pause = FIRST_READ_PAUSE;
        for _ in 0..FIRST_READS {
            self.control.metrics.count_store_request("document-read");
            let reading = self.timed_read(ReadAge::MayBeOld);
            // A peer's document comes compressed, and sooner over a narrow link.
            match unless(self.helped_to_first(), reading).await? {
                Ok(read) => {
                    self.answered();
                    self.take_orders(read.orders, OrderSource::Existing);
                    if let Some(document) = read.document {
                        self.take(document);
                        return Some(read.at);
                    }
                }
                Err(error) => {
                    self.pause(&error).await;
                    return None;
                }
            }
            // A peer that holds a document ends the pause.
            let jittered = pause.mul_f64(rand::random_range(0.8..1.2));
            let _ = timeout(jittered, self.wake.recv()).await;
            pause = (pause * 2).min(LONGEST_FIRST_READ_PAUSE);
            let helped = !self.control.needs_document();
            if helped || self.control.watcher_selection_known() {
                return None;
            }
        }
        None
    }

    /// Who the peers are tells the directory: it is read first, unless the store does not
    /// answer.
    async fn wait_for_list(&self) {
        let listed = async {
            while !self.control.is_listed() {
                let _ = self.wake.recv().await;
            }
        };
        let _ = timeout(LIST_WAIT, listed).await;
    }

    /// Ends when a peer has given the first document.
    async fn helped_to_first(&self) {
        while self.control.lacks_current_document() {
            sleep(HELP_INTERVAL).await;
        }
    }

    /// Until this node has heard from others it cannot tell whether it is one of
    /// the few that wait at the store, and all of a fleet that starts would. A
    /// node alone waits at the store after all, and so does one whose peers stay
    /// silent. True when it is woken, since it lacks a version that peers do not give
    /// it: the store must be read.
    async fn wait_for_role(&self) -> bool {
        let begun = BootInstant::now();
        let mut peers_known = None;
        while begun.elapsed() < PEERS_WAIT && !self.control.watcher_selection_known() {
            if self.control.knows_peers() {
                let known: &BootInstant = peers_known.get_or_insert_with(BootInstant::now);
                if known.elapsed() >= ROLE_WAIT {
                    return false;
                }
            }
            let woken = timeout(ROLE_INTERVAL, self.wake.recv()).await.is_ok();
            if woken && self.control.lacks_current_document() {
                return true;
            }
        }
        false
    }

    /// Notes a version newer than `before`; true when the last one came only a
    /// moment earlier, so that more are likely.
    fn in_storm(&mut self, before: Version) -> bool {
        if self.control.version() <= before {
            return false;
        }
        let last = self.changed_at.replace(BootInstant::now());
        last.is_some_and(|last| last.elapsed() < STORM_GAP)
    }

    /// Waits for changes after `at`, until the document must be read again.
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
            if self.in_storm(before) {
                sleep(STORM_PAUSE).await;
                return;
            }
        }
    }

    /// Ends when this node lags without help, or must watch the document.
    async fn wait_for_role_or_wake(&self) {
        loop {
            let woken = timeout(ROLE_INTERVAL, self.wake.recv()).await.is_ok();
            if woken || self.control.is_document_watcher() {
                return;
            }
        }
    }

    async fn read_if_needed(&mut self) -> Option<Revision> {
        if !self.control.needs_document() {
            return None;
        }
        self.read().await
    }

    /// Reads the document until the store answers; none when there is no need
    /// to any more, since peers have helped.
    async fn read(&mut self) -> Option<Revision> {
        loop {
            while self.wake.try_recv().is_ok() {}
            self.control.metrics.count_store_request("document-read");
            let reading = self.timed_read(ReadAge::Current);
            match unless(self.helped(), reading).await? {
                Ok(read) => {
                    self.answered();
                    self.take_orders(read.orders, OrderSource::Existing);
                    if let Some(document) = read.document {
                        self.take(document);
                    }
                    return Some(read.at);
                }
                Err(error) => self.pause(&error).await,
            }
            if !self.control.needs_document() {
                return None;
            }
        }
    }

    /// Reads the document; how long its bytes took tells whether this node can
    /// watch it.
    async fn timed_read(&self, age: ReadAge) -> Result<DocumentRead, PlatformError> {
        let patience = self.control.with_agent(Agent::store_call_timeout);
        let begun = BootInstant::now();
        let read = self.source.read(age, patience).await?;
        let took = begun.elapsed().saturating_sub(read.transfer.time);
        self.control.record_store_latency(took);
        if read.document.is_some() {
            self.control.record_document_transfer(read.transfer);
        }
        Ok(read)
    }

    /// Ends when the document need not be read any more: peers have helped.
    async fn helped(&self) {
        while self.control.needs_document() {
            sleep(HELP_INTERVAL).await;
        }
    }

    /// Ends when the store has come back from an older copy since `after`.
    async fn era_ended(&self, after: Revision) {
        while self.control.store_era() <= after.era {
            if self.rises.recv().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// One wait for a change; none: read the document whole.
    async fn watch(&mut self, after: Revision) -> Option<Revision> {
        self.control.metrics.count_store_request("document-watch");
        let (wait, patience) = self.control.watch_terms();
        let begun = BootInstant::now();
        let watching = self.source.watch(after, wait, patience);
        let woken = async {
            let _ = self.wake.recv().await;
        };
        let ended = futures_lite::future::or(woken, self.era_ended(after));
        let news = unless(ended, watching).await?;
        if let Ok(DocumentNews::Unchanged { orders, .. }) = &news
            && orders.orders.is_empty()
        {
            let took = begun.elapsed().saturating_sub(wait);
            self.control.record_store_latency(took);
        }
        match news {
            Ok(DocumentNews::Changed {
                document,
                orders,
                at,
                transfer,
            }) => {
                self.control.record_document_transfer(transfer);
                self.answered();
                self.take_orders(orders, OrderSource::NewWrite);
                self.take(document);
                Some(at)
            }
            Ok(DocumentNews::Unchanged { orders, at }) => {
                self.answered();
                self.take_orders(orders, OrderSource::NewWrite);
                Some(at)
            }
            Ok(DocumentNews::HistoryGone) => {
                self.answered();
                None
            }
            Err(error) => {
                self.pause(&error).await;
                None
            }
        }
    }

    fn take(&self, document: Document) {
        match document {
            Ok(state) => self.control.on_document(Arc::new(state)),
            Err(findings) => self.control.explain(Decision::VersionRefused {
                version: self.control.version(),
                reason: findings.first(SHOWN_FINDINGS),
            }),
        }
    }

    fn take_orders(&self, read: OrdersRead, source: OrderSource) {
        if !read.unusable.is_empty() {
            let findings = read.unusable.first(SHOWN_FINDINGS).replace('\n', "; ");
            tracing::warn!(%findings, "orders to roll out cannot be carried out");
        }
        if !read.orders.is_empty() {
            self.control.on_rollout_orders(&read.orders, source);
        }
    }

    fn answered(&mut self) {
        self.backoff.succeeded();
        self.failures = 0;
        if std::mem::take(&mut self.told_lost) {
            self.control.decision_log.record(Decision::StoreAvailable);
        }
        self.control.store_answers(true);
    }

    async fn pause(&mut self, error: &PlatformError) {
        self.failures += 1;
        // A silent store is told at once: others wait for what this node hears.
        let silent = matches!(error, PlatformError::Silent { .. });
        if silent || self.failures >= LOST_AFTER {
            self.lost(error);
        }
        let pause = self.backoff.next_pause(error);
        // A peer with news ends the pause.
        let _ = timeout(pause, self.wake.recv()).await;
    }

    fn lost(&mut self, error: &PlatformError) {
        let told = std::mem::replace(&mut self.told_lost, true);
        if !told {
            let reason = error.to_string();
            self.control
                .decision_log
                .record(Decision::StoreUnavailable { reason });
        }
        self.control.store_answers(false);
    }
}
