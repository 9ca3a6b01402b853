//! One node's control side: feeds the agent events, and shows calls what it holds.

use super::active::{ActiveConfig, ActiveConfigCell};
use super::crash_records::CrashRecorder;
use super::directory::DirectoryKeeper;
use super::document_watch::DocumentWatch;
use super::endpoints::{EndpointMap, EndpointSource, LocalBackend};
use super::large_messages::LargeMessages;
use super::options::{ControlError, ControlOptions, SourceOptions};
use super::requests::PendingRequests;
use super::rollouts::VersionRules;
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
const TICK: Duration = Duration::from_millis(100);
/// Least time between two joins of the endpoints because of messages.
const LEAST_JOIN_INTERVAL: Duration = Duration::from_millis(20);
/// Readers look at the machine list this many times as often as others.
const READER_MACHINE_RATIO: u32 = 15;

/// Loads of all zones that are known.
#[derive(Debug, Default)]
pub struct ZoneLoads {
    /// When their ages were told.
    pub as_of: Moment,
    /// The loads.
    pub zones: Vec<ZoneLoad>,
}

impl ZoneLoads {
    /// The loads with their ages at `now`.
    pub fn at(&self, now: Moment) -> Vec<ZoneLoad> {
        let since = now.since(self.as_of);
        let older = |load: &ZoneLoad| ZoneLoad {
            age: load.age + since,
            ..load.clone()
        };
        self.zones.iter().map(older).collect()
    }
}

/// One node's control side, running.
pub struct Control {
    /// The node's id.
    pub id: NodeId,
    /// The process's clock.
    pub clock: Clock,
    /// What is counted.
    pub metrics: Arc<Metrics>,
    /// What was decided.
    pub decision_log: Arc<DecisionLog>,
    /// Lines about calls.
    pub call_log: CallLog,
    /// Names requests by what they ask for.
    pub identity_key: IdentityKey,
    agent: Mutex<Agent>,
    pub(super) codec: Codec,
    /// None once the control side has stopped.
    pub(super) socket: ArcSwapOption<std::net::UdpSocket>,
    pub(super) large_messages: LargeMessages,
    /// None where the configuration is a document.
    pub(super) log_store: Option<LogStore>,
    /// None where the configuration is a change log.
    pub(super) directory: Option<Arc<DirectoryKeeper>>,
    /// None where the configuration is a change log.
    pub(super) crash_recorder: Option<Arc<CrashRecorder>>,
    /// None where orders to roll out are not carried out.
    pub(super) roll_out_store: Option<Arc<dyn RolloutStore>>,
    /// The eras of the platform's store; never any where the configuration is a change log.
    pub(super) eras: Arc<StoreEras>,
    /// What entries may do with the versions of services.
    pub(super) version_rules: ArcSwap<VersionRules>,
    /// Wakes the reader of the document.
    pub(super) document_wake: async_channel::Sender<()>,
    pub(super) active_config: ActiveConfigCell,
    endpoints: ArcSwap<EndpointMap>,
    /// Loads of zones, as of the last tick.
    zone_loads: ArcSwap<ZoneLoads>,
    /// The agent's reports of crashes, as of their last change.
    pub(super) crash_table: ArcSwap<CrashTable>,
    /// Requests of this node's callers that were answered lately.
    pub(super) answers: Mutex<RecentResponses>,
    /// When the endpoints were joined last, as a [`Moment`].
    endpoints_joined: AtomicU64,
    /// A join is due.
    join_waits: AtomicBool,
    pub(super) ready: AtomicBool,
    pub(super) draining: AtomicBool,
    /// A planned stop has begun.
    stopping: AtomicBool,
    /// Peers that this node is cut off from; for experiments.
    pub(super) cut_off: ArcSwap<HashSet<NodeId>>,
    pub(super) pending_requests: PendingRequests,
    tasks: TaskGroup,
}

impl Control {
    /// Binds the datagram socket and starts the timers.
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
            active_config: ActiveConfigCell::default(),
            endpoints: ArcSwap::default(),
            zone_loads: ArcSwap::default(),
            crash_table: ArcSwap::default(),
            answers: Mutex::default(),
            endpoints_joined: AtomicU64::new(0),
            join_waits: AtomicBool::new(false),
            ready: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            cut_off: ArcSwap::default(),
            pending_requests: PendingRequests::default(),
            tasks: TaskGroup::default(),
        });
        control.tasks.spawn(control.clone().receive(receiver));
        control.tasks.spawn(control.clone().tick());
        control.follow(options.source, wake);
        Ok(control)
    }

    /// Starts the loops that follow the configuration and the other nodes.
    fn follow(self: &Arc<Self>, source: SourceOptions, wake: async_channel::Receiver<()>) {
        match source {
            SourceOptions::ChangeLog {
                machines,
                machine_interval,
                ..
            } => {
                let listing = self.clone().watch_machines(machines, machine_interval);
                self.tasks.spawn(listing);
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

    /// Ends all timers and sockets at once, as the end of the process would.
    pub async fn stop(&self) {
        self.socket.store(None);
        self.tasks.cancel().await;
    }

    pub(super) fn agent(&self) -> MutexGuard<'_, Agent> {
        self.agent
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }

    /// Looks at the agent.
    pub fn with_agent<T>(&self, look: impl FnOnce(&Agent) -> T) -> T {
        look(&self.agent())
    }

    /// Takes the document that the store holds.
    pub fn on_document(self: &Arc<Self>, state: Arc<ConfigState>) {
        let now = self.clock.now();
        let actions = self.agent().on_document(state, now);
        self.perform(actions);
    }

    /// Notes whether the store answers this node.
    pub fn store_answers(self: &Arc<Self>, answers: bool) {
        let now = self.clock.now();
        let actions = self.agent().record_store_reachability(answers, now);
        self.perform(actions);
    }

    /// How long the next watch at the store may wait, and how long its answer may
    /// take after that.
    pub(super) fn watch_terms(&self) -> (Duration, Duration) {
        let mut agent = self.agent();
        (agent.next_watch_wait(), agent.store_call_timeout())
    }

    /// Notes how long the store took to answer.
    pub(super) fn record_store_latency(&self, time: Duration) {
        self.agent().record_store_latency(time);
    }

    /// Notes how long the whole document took over this node's link.
    pub(super) fn record_document_transfer(&self, transfer: Transfer) {
        self.agent()
            .record_document_transfer(transfer.bytes, transfer.time);
    }

    /// True when this node waits at the store for a new document.
    pub fn is_document_watcher(&self) -> bool {
        self.with_agent(Agent::is_document_watcher)
    }

    /// True once this node can tell whether it must watch the document.
    pub fn watcher_selection_known(&self) -> bool {
        self.with_agent(Agent::watcher_selection_known)
    }

    /// True when this node knows another one that may be reached.
    pub fn knows_peers(&self) -> bool {
        self.with_agent(|agent| agent.membership().reachable_peers().next().is_some())
    }

    /// True when this node must read the document: it watches it, or lacks a
    /// version that others hold.
    pub fn needs_document(&self) -> bool {
        self.with_agent(|agent| agent.is_document_watcher() || agent.lacks_current_document())
    }

    /// Takes what the back end beside this node reports; true when all of it is in force
    /// here, so that it may be acknowledged.
    pub fn on_backend_report(self: &Arc<Self>, report: BackendReport) -> bool {
        let now = self.clock.now();
        let taken = self.agent().on_backend_report(report, now);
        self.perform(taken.actions);
        self.refresh_endpoints();
        taken.acknowledge
    }

    /// The incarnation of the back end beside this node that reported last, and when.
    pub fn last_backend_report(&self) -> Option<(InstanceId, Moment)> {
        self.with_agent(|agent| {
            let (instance, heard) = agent.last_backend_report()?;
            Some((instance.clone(), heard))
        })
    }

    /// Takes up what an earlier life of this node knew of its back end.
    pub fn restore_backend(self: &Arc<Self>, endpoint: EndpointRecord) {
        let now = self.clock.now();
        let actions = self.agent().restore_backend(endpoint, now);
        self.perform(actions);
        self.refresh_endpoints();
    }

    /// The back end at the address says that it is not `instance`.
    pub fn on_misdirected(self: &Arc<Self>, instance: &InstanceId) {
        let now = self.clock.now();
        let actions = self.agent().on_misdirected(instance, now);
        self.perform(actions);
        self.refresh_endpoints();
    }

    /// Takes a list of nodes that exist.
    pub fn on_machines(self: &Arc<Self>, machines: &[Machine]) {
        let now = self.clock.now();
        let actions = self.agent().set_machines(machines, now);
        self.perform(actions);
    }

    /// Takes nodes that exist besides those that are known.
    pub fn on_further_machines(self: &Arc<Self>, machines: &[Machine]) {
        let now = self.clock.now();
        let actions = self.agent().add_machines(machines, now);
        self.perform(actions);
    }

    /// True once the directory was read, or where there is none.
    pub fn is_listed(&self) -> bool {
        let directory = self.directory.as_ref();
        directory.is_none_or(|directory| directory.is_listed())
    }

    /// True when this node holds no document, or an older one than a peer.
    pub fn lacks_current_document(&self) -> bool {
        self.with_agent(Agent::lacks_current_document)
    }

    /// Takes what this node has to report of its load.
    pub fn record_load(&self, report: LoadReport) {
        let now = self.clock.now();
        self.agent().record_load(report, now);
    }

    /// The gate beside the back end has measured its standing speed.
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

    /// What is known of the load of each zone, as of the last tick.
    pub fn zone_loads(&self) -> Arc<ZoneLoads> {
        self.zone_loads.load_full()
    }

    /// The back end beside this node, if there is one.
    pub fn local_backend(&self) -> Option<LocalBackend> {
        let endpoints = self.endpoints();
        endpoints.local.clone()
    }

    /// True while callers should come to this node.
    pub fn takes_callers(&self) -> bool {
        self.is_ready() && !self.stopping.load(Ordering::Acquire)
    }

    /// A planned stop begins: callers should go elsewhere.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Cuts this node off from `peers`: nothing is sent to them or taken from
    /// them. For experiments; an empty set heals the cut.
    pub fn cut_off(&self, peers: HashSet<NodeId>) {
        self.cut_off.store(Arc::new(peers));
    }

    /// The configuration in force.
    pub fn active(&self) -> Arc<ActiveConfig> {
        self.active_config.load()
    }

    /// Who may get calls now.
    pub fn endpoints(&self) -> Arc<EndpointMap> {
        self.endpoints.load_full()
    }

    /// True while calls may be served.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// True while the back end takes no new work.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    // ---- events ----

    async fn tick(self: Arc<Self>) {
        loop {
            let now = self.clock.now();
            let actions = self.agent().tick(now);
            self.perform(actions);
            self.refresh_endpoints();
            self.refresh_crash_table();
            self.refresh_zone_loads(now);
            self.refresh_version_rules();
            self.show_store_watch(now);
            self.decision_log.report_suppressed();
            async_std::task::sleep(TICK).await;
        }
    }

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
                interval * READER_MACHINE_RATIO
            };
            let jitter = rand::random_range(0.7..1.3);
            async_std::task::sleep(base.mul_f64(jitter)).await;
        }
    }

    /// In a storm of news the endpoints are joined once for many messages.
    pub(super) fn join_endpoints_soon(self: &Arc<Self>, now: Moment) {
        let last = self.endpoints_joined.load(Ordering::Relaxed);
        if now.since(Moment(last)) >= LEAST_JOIN_INTERVAL {
            self.refresh_endpoints();
            return;
        }
        if self.join_waits.swap(true, Ordering::AcqRel) {
            return;
        }
        let control = Arc::downgrade(self);
        async_std::task::spawn(async move {
            async_std::task::sleep(LEAST_JOIN_INTERVAL).await;
            if let Some(control) = control.upgrade() {
                control.join_waits.store(false, Ordering::Release);
                control.refresh_endpoints();
            }
        });
    }

    /// Joins configuration and membership again if either has changed.
    pub(super) fn refresh_endpoints(&self) {
        // Under the agent's lock to the end: what an earlier look found must not take
        // the place of what a later one has.
        self.with_agent(|agent| {
            let active = self.active();
            let source = EndpointSource::of(&active.state, agent);
            if source != self.endpoints().source {
                self.join_endpoints(EndpointMap::new(source, &active.state, agent));
            }
        });
    }

    fn join_endpoints(&self, map: EndpointMap) {
        let now = self.clock.now();
        self.endpoints_joined.store(now.0, Ordering::Relaxed);
        self.metrics.members_alive.set(map.alive as i64);
        self.metrics.endpoints.set(map.count() as i64);
        self.endpoints.store(Arc::new(map));
    }

    fn refresh_zone_loads(&self, now: Moment) {
        let zones = self.with_agent(|agent| agent.zone_loads(now));
        if zones.is_empty() && self.zone_loads.load().zones.is_empty() {
            return;
        }
        let loads = ZoneLoads { as_of: now, zones };
        self.zone_loads.store(Arc::new(loads));
    }

    /// Shows how old the store's last answer is, and who watches.
    fn show_store_watch(&self, now: Moment) {
        let (age, watches) =
            self.with_agent(|agent| (agent.store_answer_age(now), agent.is_document_watcher()));
        let age = age.map_or(-1, |age| age.as_millis() as i64);
        self.metrics.store_answer_age.set(age);
        self.metrics.document_watcher.set(i64::from(watches));
        let era = i64::try_from(self.store_era()).unwrap_or(i64::MAX);
        self.metrics.store_era.set(era);
    }

    /// Version in force.
    pub fn version(&self) -> Version {
        self.active().state.version()
    }
}
