//! The control side of one node: passes events to the agent and provides the results to the
//! call path.

use super::active::{ActiveConfig, ActiveConfigCell};
use super::crash_records::CrashRecorder;
use super::directory::DirectoryKeeper;
use super::document_watch::DocumentWatch;
use super::endpoints::{EndpointMap, EndpointSource, LocalBackend};
use super::large_messages::LargeMessages;
use super::options::{ControlError, ControlOptions, SourceOptions};
use super::requests::PendingRequests;
use super::rollouts::VersionRules;
use super::token_messages::{MAX_QUEUED, TokenMessage};
use crate::call_log::CallLog;
use crate::clock::Clock;
use crate::decision_log::DecisionLog;
use crate::metrics::Metrics;
use crate::task_group::TaskGroup;
use arc_swap::{ArcSwap, ArcSwapOption};
use async_std::net::UdpSocket;
use rampthread_core::call::backend_speed::USUAL_PERCENT;
use rampthread_core::call::identity::IdentityKey;
use rampthread_core::call::recent_responses::RecentResponses;
use rampthread_core::config::ConfigState;
use rampthread_core::fleet::{
    Agent, BackendReport, CrashTable, EndpointRecord, LoadReport, Machine, ZoneLoad,
};
use rampthread_core::ids::{InstanceId, NodeId, Version};
use rampthread_core::time::Moment;
use rampthread_platform::{LogStore, MachineList, RolloutStore, StoreEras, Transfer};
use rampthread_wire::Codec;
use std::collections::HashSet;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::time::Duration;

/// Time between two ticks of the agent.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time between two updates of the endpoints that messages trigger.
const MIN_ENDPOINT_UPDATE_INTERVAL: Duration = Duration::from_millis(20);
/// Log readers read the machine list this many times as often as other nodes.
const READER_INTERVAL_RATIO: u32 = 15;

/// The latest load reports of all zones.
#[derive(Debug, Default)]
pub struct ZoneLoads {
    /// Time that the ages of the reports refer to.
    pub as_of: Moment,
    /// Load report of each zone that has sent one.
    pub zones: Vec<ZoneLoad>,
}

impl ZoneLoads {
    /// Returns the load reports with their ages as of `now`.
    pub fn at(&self, now: Moment) -> Vec<ZoneLoad> {
        let since = now.since(self.as_of);
        let with_age = |load: &ZoneLoad| ZoneLoad {
            age: load.age + since,
            ..load.clone()
        };
        self.zones.iter().map(with_age).collect()
    }
}

/// The running control side of one node.
pub struct Control {
    /// Id of this node, unique in the fleet.
    pub id: NodeId,
    /// Clock of this process, the same for agent and calls.
    pub clock: Clock,
    /// Metrics of the whole node, also those of calls.
    pub metrics: Arc<Metrics>,
    /// Recent decisions of the agent, for operators.
    pub decision_log: Arc<DecisionLog>,
    /// Writes log lines about calls.
    pub call_log: CallLog,
    /// Secret key of the hash that computes a request's identity (its fingerprint).
    pub identity_key: IdentityKey,
    agent: Mutex<Agent>,
    pub(super) codec: Codec,
    /// Socket for datagrams; `None` after the control side has stopped.
    pub(super) socket: ArcSwapOption<std::net::UdpSocket>,
    pub(super) large_messages: LargeMessages,
    /// Store of the change log; `None` if the configuration is a document.
    pub(super) log_store: Option<LogStore>,
    /// Directory of nodes; `None` if the configuration is a change log.
    pub(super) directory: Option<Arc<DirectoryKeeper>>,
    /// Writer of crash records; `None` if the configuration is a change log.
    pub(super) crash_recorder: Option<Arc<CrashRecorder>>,
    /// Store of rollouts; `None` if rollouts are disabled.
    pub(super) roll_out_store: Option<Arc<dyn RolloutStore>>,
    /// Store eras seen by this node; none if the configuration is a change log.
    pub(super) eras: Arc<StoreEras>,
    /// Routing rules for the versions of services, from rollouts.
    pub(super) version_rules: ArcSwap<VersionRules>,
    /// Wakes the task that reads the configuration document.
    pub(super) document_wake: async_channel::Sender<()>,
    /// Queue of token messages for the call path.
    pub(super) token_messages: async_channel::Sender<TokenMessage>,
    pub(super) received_token_messages: async_channel::Receiver<TokenMessage>,
    pub(super) active_config: ActiveConfigCell,
    endpoints: ArcSwap<EndpointMap>,
    /// Load reports of zones, as of the last tick.
    zone_loads: ArcSwap<ZoneLoads>,
    /// The agent's crash table, as of its last change.
    pub(super) crash_table: ArcSwap<CrashTable>,
    /// Requests of this node's callers that were completed recently.
    pub(super) recent_responses: Mutex<RecentResponses>,
    /// When the endpoints were last updated, as a [`Moment`].
    endpoints_updated_at: AtomicU64,
    /// Whether a delayed update of the endpoints is scheduled.
    endpoint_update_scheduled: AtomicBool,
    pub(super) ready: AtomicBool,
    pub(super) draining: AtomicBool,
    /// Whether a planned stop of this node has begun.
    stopping: AtomicBool,
    /// Peers whose messages are dropped, to simulate a network partition in experiments.
    pub(super) blocked_peers: ArcSwap<HashSet<NodeId>>,
    pub(super) pending_requests: PendingRequests,
    tasks: TaskGroup,
}

impl Control {
    /// Binds the datagram socket and starts the control side's tasks.
    pub fn start(options: ControlOptions) -> Result<Arc<Self>, ControlError> {
        let address = options.identity.address;
        let bind_error = |source| ControlError::Bind { address, source };
        let socket = std::net::UdpSocket::bind(address).map_err(bind_error)?;
        socket.set_nonblocking(true).map_err(bind_error)?;
        let receiver = UdpSocket::from(socket.try_clone().map_err(bind_error)?);
        let clock = Clock::start();
        let id = options.identity.id.clone();
        let zone = options.identity.zone.clone();
        let agent = Agent::new(
            options.identity,
            options.fleet,
            &options.seeds,
            options.seed,
            clock.now(),
        );
        let log_store = match &options.source {
            SourceOptions::ChangeLog { log_store, .. } => Some(log_store.clone()),
            SourceOptions::Document { .. } => None,
        };
        let eras = match &options.source {
            SourceOptions::ChangeLog { .. } => Arc::default(),
            SourceOptions::Document { eras, .. } => eras.clone(),
        };
        let (document_wake, wake) = async_channel::bounded(1);
        let (token_messages, received_token_messages) = async_channel::bounded(MAX_QUEUED);
        let metrics: Arc<Metrics> = Arc::default();
        let control = Arc::new_cyclic(|control: &Weak<Self>| Self {
            id: id.clone(),
            clock,
            metrics: metrics.clone(),
            decision_log: Arc::new(DecisionLog::new(clock)),
            call_log: CallLog::new(clock, metrics),
            identity_key: options.identity_key,
            agent: Mutex::new(agent),
            codec: options.codec,
            socket: ArcSwapOption::from_pointee(socket),
            large_messages: LargeMessages::start(),
            log_store,
            directory: match &options.source {
                SourceOptions::ChangeLog { .. } => None,
                SourceOptions::Document { directory, .. } => {
                    let directory = directory.clone();
                    let keeper = DirectoryKeeper::new(
                        control.clone(),
                        directory,
                        eras.clone(),
                        id.clone(),
                        zone,
                    );
                    Some(Arc::new(keeper))
                }
            },
            crash_recorder: match &options.source {
                SourceOptions::ChangeLog { .. } => None,
                SourceOptions::Document { directory, .. } => Some(Arc::new(CrashRecorder::new(
                    control.clone(),
                    directory.clone(),
                ))),
            },
            eras: eras.clone(),
            roll_out_store: match &options.source {
                SourceOptions::ChangeLog { .. } => None,
                SourceOptions::Document { roll_outs, .. } => roll_outs.clone(),
            },
            version_rules: ArcSwap::default(),
            document_wake,
            token_messages,
            received_token_messages,
            active_config: ActiveConfigCell::default(),
            endpoints: ArcSwap::default(),
            zone_loads: ArcSwap::default(),
            crash_table: ArcSwap::default(),
            recent_responses: Mutex::default(),
            endpoints_updated_at: AtomicU64::new(0),
            endpoint_update_scheduled: AtomicBool::new(false),
            ready: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            blocked_peers: ArcSwap::default(),
            pending_requests: PendingRequests::default(),
            tasks: TaskGroup::default(),
        });
        control.tasks.spawn(control.clone().receive(receiver));
        control.tasks.spawn(control.clone().tick());
        control.start_tasks(options.source, wake);
        Ok(control)
    }

    /// Starts the tasks that follow the configuration and the other nodes.
    fn start_tasks(self: &Arc<Self>, source: SourceOptions, wake: async_channel::Receiver<()>) {
        match source {
            SourceOptions::ChangeLog {
                machines,
                machine_interval,
                ..
            } => {
                let watching = self.clone().watch_machines(machines, machine_interval);
                self.tasks.spawn(watching);
            }
            SourceOptions::Document { documents, .. } => {
                self.tasks
                    .spawn(self.clone().follow_eras(self.eras.listen()));
                let watch = DocumentWatch::new(self.clone(), documents, wake);
                self.tasks.spawn(watch.run());
                if let Some(directory) = &self.directory {
                    self.tasks.spawn(directory.clone().run());
                }
                if let Some(recorder) = &self.crash_recorder {
                    self.tasks.spawn(recorder.clone().run());
                }
            }
        }
    }

    /// Cancels all tasks and closes the socket at once, like the end of the process.
    pub async fn stop(&self) {
        self.socket.store(None);
        self.tasks.cancel().await;
    }

    /// Locks the agent.
    pub(super) fn agent(&self) -> MutexGuard<'_, Agent> {
        self.agent
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }

    /// Calls `look` with the agent, under its lock.
    pub fn with_agent<T>(&self, look: impl FnOnce(&Agent) -> T) -> T {
        look(&self.agent())
    }

    /// Passes a document read from the store to the agent.
    pub fn on_document(self: &Arc<Self>, state: Arc<ConfigState>) {
        let now = self.clock.now();
        let actions = self.agent().on_document(state, now);
        self.perform(actions);
    }

    /// Records whether the store is reachable from this node.
    pub fn record_store_reachability(self: &Arc<Self>, reachable: bool) {
        let now = self.clock.now();
        let actions = self.agent().record_store_reachability(reachable, now);
        self.perform(actions);
    }

    /// Returns how long the next watch at the store may wait, and how long its response may
    /// take after that.
    pub(super) fn watch_timeouts(&self) -> (Duration, Duration) {
        let mut agent = self.agent();
        (agent.next_watch_wait(), agent.store_call_timeout())
    }

    pub(super) fn record_store_latency(&self, time: Duration) {
        self.agent().record_store_latency(time);
    }

    /// Records how long a full document took over this node's link.
    pub(super) fn record_document_transfer(&self, transfer: Transfer) {
        self.agent()
            .record_document_transfer(transfer.bytes, transfer.time);
    }

    /// Returns whether this node is a document watcher, i.e. watches the store for new
    /// documents.
    pub fn is_document_watcher(&self) -> bool {
        self.with_agent(Agent::is_document_watcher)
    }

    /// Returns whether this node knows enough of the fleet to tell whether it is a document
    /// watcher.
    pub fn watcher_selection_known(&self) -> bool {
        self.with_agent(Agent::watcher_selection_known)
    }

    /// Returns whether any other node is known and seems reachable.
    pub fn knows_peers(&self) -> bool {
        self.with_agent(|agent| agent.membership().reachable_peers().next().is_some())
    }

    /// Returns whether this node must read the document, because it is a document watcher
    /// or lacks a version that others hold.
    pub fn needs_document(&self) -> bool {
        self.with_agent(|agent| agent.is_document_watcher() || agent.lacks_current_document())
    }

    /// Applies a report of the local backend. Returns whether the whole report is in effect
    /// here, so that it may be acknowledged.
    pub fn on_backend_report(self: &Arc<Self>, report: BackendReport) -> bool {
        let now = self.clock.now();
        let handled = self.agent().on_backend_report(report, now);
        self.perform(handled.actions);
        self.refresh_endpoints();
        handled.acknowledge
    }

    /// The incarnation of the local backend that reported last, and when.
    pub fn last_backend_report(&self) -> Option<(InstanceId, Moment)> {
        self.with_agent(|agent| {
            let (instance, reported_at) = agent.last_backend_report()?;
            Some((instance.clone(), reported_at))
        })
    }

    /// Restores what an earlier process of this node knew of the local backend.
    pub fn restore_backend(self: &Arc<Self>, endpoint: EndpointRecord) {
        let now = self.clock.now();
        let actions = self.agent().restore_backend(endpoint, now);
        self.perform(actions);
        self.refresh_endpoints();
    }

    /// Handles a response of the local backend's address from another incarnation than
    /// `instance`.
    pub fn on_misdirected(self: &Arc<Self>, instance: &InstanceId) {
        let now = self.clock.now();
        let actions = self.agent().on_misdirected(instance, now);
        self.perform(actions);
        self.refresh_endpoints();
    }

    /// Replaces the list of the fleet's nodes.
    pub fn on_machines(self: &Arc<Self>, machines: &[Machine]) {
        let now = self.clock.now();
        let actions = self.agent().set_machines(machines, now);
        self.perform(actions);
    }

    /// Adds nodes to the list of the fleet's nodes.
    pub fn on_further_machines(self: &Arc<Self>, machines: &[Machine]) {
        let now = self.clock.now();
        let actions = self.agent().add_machines(machines, now);
        self.perform(actions);
    }

    /// Returns whether the directory was read at least once, or is not used.
    pub fn is_listed(&self) -> bool {
        let directory = self.directory.as_ref();
        directory.is_none_or(|directory| directory.is_listed())
    }

    /// Returns whether this node holds no document, or an older version than a peer.
    pub fn lacks_current_document(&self) -> bool {
        self.with_agent(Agent::lacks_current_document)
    }

    /// Records this node's load for its zone's load report.
    pub fn record_load(&self, report: LoadReport) {
        let now = self.clock.now();
        self.agent().record_load(report, now);
    }

    /// Records the speed of the local backend, as measured by this node's gate (which
    /// forwards calls to the backend).
    pub fn record_backend_speed(self: &Arc<Self>, instance: &InstanceId, speed_percent: u16) {
        let known = self.with_agent(|agent| {
            agent.endpoint().map_or(USUAL_PERCENT, |endpoint| {
                endpoint.speed_percent.unwrap_or(USUAL_PERCENT)
            })
        });
        if known == speed_percent {
            return;
        }
        let now = self.clock.now();
        let actions = self
            .agent()
            .record_backend_speed(instance, speed_percent, now);
        self.perform(actions);
        tracing::info!(%instance, speed_percent, "speed of the back end");
    }

    /// Returns the load reports of all zones, as of the last tick.
    pub fn zone_loads(&self) -> Arc<ZoneLoads> {
        self.zone_loads.load_full()
    }

    /// Returns the local backend, if this node has one.
    pub fn local_backend(&self) -> Option<LocalBackend> {
        let endpoints = self.endpoints();
        endpoints.local.clone()
    }

    /// Returns whether callers should use this node, for readiness probes.
    pub fn takes_callers(&self) -> bool {
        self.is_ready() && !self.stopping.load(Ordering::Acquire)
    }

    /// Begins a planned stop, so that callers move to other nodes.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Drops all messages to and from `peers`, to simulate a network partition in
    /// experiments. An empty set ends the partition.
    pub fn block_peers(&self, peers: HashSet<NodeId>) {
        self.blocked_peers.store(Arc::new(peers));
    }

    /// Returns the active configuration version with its tables.
    pub fn active(&self) -> Arc<ActiveConfig> {
        self.active_config.load()
    }

    /// Returns the backends that may get calls now.
    pub fn endpoints(&self) -> Arc<EndpointMap> {
        self.endpoints.load_full()
    }

    /// Returns whether this node can serve calls.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// Returns whether the local backend takes no new calls.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    // ---- events ----

    /// Ticks the agent periodically, and publishes what has changed to the call path and
    /// the metrics.
    async fn tick(self: Arc<Self>) {
        loop {
            let now = self.clock.now();
            let actions = self.agent().tick(now);
            self.perform(actions);
            self.refresh_endpoints();
            self.refresh_crash_table();
            self.refresh_zone_loads(now);
            self.refresh_version_rules();
            self.publish_store_metrics(now);
            self.decision_log.report_suppressed();
            async_std::task::sleep(TICK_INTERVAL).await;
        }
    }

    /// Reads the machine list periodically; log readers read it more often.
    async fn watch_machines(self: Arc<Self>, list: Arc<dyn MachineList>, interval: Duration) {
        let mut known = false;
        loop {
            if let Ok(machines) = list.machines().await {
                known = true;
                self.on_machines(&machines);
            }
            let reader = self.with_agent(|agent| agent.membership().me().conditions.reader);
            let frequent = reader || !known;
            let base = if frequent {
                interval
            } else {
                interval * READER_INTERVAL_RATIO
            };
            let jitter = rand::random_range(0.7..1.3);
            async_std::task::sleep(base.mul_f64(jitter)).await;
        }
    }

    /// Updates the endpoints after a message, once for many messages in a short time.
    pub(super) fn update_endpoints_soon(self: &Arc<Self>, now: Moment) {
        let last = self.endpoints_updated_at.load(Ordering::Relaxed);
        if now.since(Moment(last)) >= MIN_ENDPOINT_UPDATE_INTERVAL {
            self.refresh_endpoints();
            return;
        }
        if self.endpoint_update_scheduled.swap(true, Ordering::AcqRel) {
            return;
        }
        let control = Arc::downgrade(self);
        async_std::task::spawn(async move {
            async_std::task::sleep(MIN_ENDPOINT_UPDATE_INTERVAL).await;
            if let Some(control) = control.upgrade() {
                control
                    .endpoint_update_scheduled
                    .store(false, Ordering::Release);
                control.refresh_endpoints();
            }
        });
    }

    /// Computes the endpoints again if the configuration or the membership has changed.
    pub(super) fn refresh_endpoints(&self) {
        // Holds the agent's lock to the end, so that an older result can't replace a newer
        // one.
        self.with_agent(|agent| {
            let active = self.active();
            let source = EndpointSource::of(&active.state, agent);
            if source != self.endpoints().source {
                self.publish_endpoints(EndpointMap::new(source, &active.state, agent));
            }
        });
    }

    /// Publishes newly computed endpoints to the call path.
    fn publish_endpoints(&self, map: EndpointMap) {
        let now = self.clock.now();
        self.endpoints_updated_at.store(now.0, Ordering::Relaxed);
        self.metrics.members_alive.set(map.alive as i64);
        self.metrics.endpoints.set(map.count() as i64);
        self.endpoints.store(Arc::new(map));
    }

    /// Publishes the load reports of zones to the call path.
    fn refresh_zone_loads(&self, now: Moment) {
        let zones = self.with_agent(|agent| agent.zone_loads(now));
        if zones.is_empty() && self.zone_loads.load().zones.is_empty() {
            return;
        }
        let loads = ZoneLoads { as_of: now, zones };
        self.zone_loads.store(Arc::new(loads));
    }

    /// Publishes the age of the store's last response and the watcher role as metrics.
    fn publish_store_metrics(&self, now: Moment) {
        let (age, watches) =
            self.with_agent(|agent| (agent.store_answer_age(now), agent.is_document_watcher()));
        let age = age.map_or(-1, |age| age.as_millis() as i64);
        self.metrics.store_answer_age.set(age);
        self.metrics.document_watcher.set(i64::from(watches));
        let era = i64::try_from(self.store_era()).unwrap_or(i64::MAX);
        self.metrics.store_era.set(era);
    }

    /// Returns the number of the active configuration version; 0 before the first one.
    pub fn version(&self) -> Version {
        self.active().state.version()
    }
}
