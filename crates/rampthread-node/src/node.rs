//! Assembles a node, runs it, and shuts it down gracefully.

use crate::api::api;
use crate::calls::entry::{CallerService, Entry, EntryMode, EntryOptions};
use crate::calls::gate::{Gate, GateOptions};
use crate::calls::idempotency_claims::IdempotencyClaims;
use crate::calls::load_report::load_report;
use crate::calls::peers::{PeerClient, PeerService};
use crate::calls::tenant_limits::TenantLimits;
use crate::clock::wall_clock_micros;
use crate::control::{
    Control, ControlError, ControlOptions, ReportService, SourceOptions, answer_readiness,
};
use crate::settings::{NodeSettings, ReloadableSettings, RolloutSettings};
use crate::task_group::TaskGroup;
use async_std::net::TcpListener;
use http::{Request, Response};
use rampthread_core::call::identity::IdentityKey;
use rampthread_core::fleet::{AgentIdentity, FleetSettings};
use rampthread_core::ids::NodeId;
use rampthread_http::{
    Body, BootInstant, LimitsProvider, RequestBody, Server, ServerLimits, ShutdownHandle, bind,
    serve_tide, sleep,
};
use rampthread_platform::{
    BackendHealth, HttpBackendHealth, HttpClient, HttpMachineList, HttpStore, LogStore,
    PlatformAdapter,
};
use rampthread_wire::{Codec, FleetKey, HopKeys, InvalidKey, Keyring, Sealer, SecretKeeper};
use secrecy::ExposeSecret;
use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of connections from peers.
const MAX_PEER_CONNECTIONS: usize = 16_384;
/// Interval between checks for new backend endpoints.
const ENDPOINT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum rate of health requests, per second.
const MAX_HEALTH_REQUESTS_PER_SECOND: NonZeroU32 = NonZeroU32::new(100).expect("100 is not 0");
/// Consecutive failed health checks after which the backend counts as down.
const FAILED_CHECKS_UNTIL_DOWN: u32 = 3;
/// Interval between checks for calls in flight during a drain.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Reason why a node could not start.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// A listener could not be bound.
    #[error("cannot bind {purpose} on {address}: {source}")]
    Bind {
        /// Key path of the address in the settings.
        purpose: &'static str,
        /// Address that could not be bound.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The control plane could not start.
    #[error(transparent)]
    Control(#[from] ControlError),
    /// A key in the settings is invalid.
    #[error("invalid key in the settings: {0}")]
    Key(#[from] InvalidKey),
}

/// A running node.
pub struct Node {
    /// Control plane of the node: fleet membership, configuration and rollouts.
    pub control: Arc<Control>,
    /// Gate of the node, which admits calls to the local backend.
    pub gate: Arc<Gate>,
    /// Settings with which the node started.
    settings: NodeSettings,
    live: ReloadableSettings,
    callers_stop: ShutdownHandle,
    peers_stop: ShutdownHandle,
    tasks: TaskGroup,
}

impl Node {
    /// Binds all listeners and starts the node. `adapter` connects to the platform in
    /// document mode.
    pub async fn start(
        settings: NodeSettings,
        adapter: Option<PlatformAdapter>,
    ) -> Result<Arc<Self>, NodeError> {
        Self::start_with(settings, adapter, EntryMode::default()).await
    }

    /// Like [`Node::start`] with an explicit entry mode, for experiments.
    pub async fn start_with(
        settings: NodeSettings,
        adapter: Option<PlatformAdapter>,
        mode: EntryMode,
    ) -> Result<Arc<Self>, NodeError> {
        let listeners = Listeners::bind(&settings)?;
        let control = Control::start(control_parts(&settings, adapter.as_ref())?)?;
        let live = ReloadableSettings::new(&settings);
        let path = CallPath::new(&settings, &live, adapter.as_ref(), control.clone(), mode)?;
        let node = Arc::new(Self {
            control: control.clone(),
            gate: path.gate.clone(),
            settings,
            live,
            callers_stop: ShutdownHandle::default(),
            peers_stop: ShutdownHandle::default(),
            tasks: TaskGroup::default(),
        });
        node.serve_callers(listeners.callers, path.entry.clone());
        node.serve_peers(listeners.peers, path.peers);
        node.tasks.spawn(serve_tide(
            listeners.api,
            api(control.clone(), path.secrets, path.limits.clone()),
        ));
        if let Some(adapter) = adapter {
            node.serve_platform(listeners.ready, listeners.reports, &adapter);
        } else {
            node.tasks.spawn(node.clone().watch_backend());
        }
        node.tasks.spawn(path.limits.clone().run_exchange());
        node.tasks.spawn(watch_endpoint_changes(
            control,
            path.entry,
            path.gate,
            path.limits,
        ));
        Ok(node)
    }

    /// Serves the platform's readiness checks and receives reports of the local backend.
    fn serve_platform(
        &self,
        ready: Option<TcpListener>,
        reports: Option<TcpListener>,
        adapter: &PlatformAdapter,
    ) {
        let server = || Server::new(ServerLimits::default(), ShutdownHandle::default());
        if let Some(listener) = ready {
            let control = self.control.clone();
            let path = adapter.reports.readiness_path();
            let serving = server().serve(listener, move |request, _| {
                answer_readiness(control.clone(), path, request)
            });
            self.tasks.spawn(serving);
        }
        if let Some(listener) = reports {
            let service = ReportService::new(self.control.clone(), adapter.reports.clone());
            let (service, gate) = (Arc::new(service), self.gate.clone());
            let serving = server().serve(listener, move |request, _| {
                take_report(service.clone(), gate.clone(), request)
            });
            self.tasks.spawn(serving);
        }
    }

    /// Serves the requests of callers until the node stops.
    fn serve_callers(&self, listener: TcpListener, entry: Arc<Entry>) {
        let server = Server {
            limits: self.caller_limits(),
            shutdown: self.callers_stop.clone(),
        };
        self.tasks
            .spawn(server.serve(listener, CallerService(entry)));
    }

    /// Limits on callers from the active configuration, or else from the settings.
    fn caller_limits(&self) -> LimitsProvider {
        let own = &self.settings.limits;
        let by_settings = ServerLimits {
            max_connections: own.connections,
            max_head_bytes: own.head_size.as_u64() as usize,
            head_timeout: own.head_time,
            ..ServerLimits::default()
        };
        let control = self.control.clone();
        Arc::new(move || {
            let active = control.active();
            let Some(limits) = active.state.caller_limits() else {
                return by_settings;
            };
            ServerLimits {
                max_head_bytes: limits.head_bytes,
                head_timeout: Duration::from_millis(limits.head_wait_ms),
                idle_timeout: Duration::from_millis(limits.idle_ms),
                ..by_settings
            }
        })
    }

    /// Serves the requests of other nodes until the node stops.
    fn serve_peers(&self, listener: TcpListener, service: Arc<PeerService>) {
        let limits = ServerLimits {
            max_connections: MAX_PEER_CONNECTIONS,
            send_date: false,
            ..ServerLimits::default()
        };
        let server = Server::new(limits, self.peers_stop.clone());
        self.tasks
            .spawn(server.serve(listener, move |request, peer| {
                service.clone().handle(request, peer)
            }));
    }

    /// Checks the health of the local backend. Three consecutive failures mark it as down,
    /// and a backend that asks for it starts a drain.
    async fn watch_backend(self: Arc<Self>) {
        let mut failures = 0;
        let mut asked: Option<(SocketAddr, HttpBackendHealth)> = None;
        loop {
            let interval = self.settings.backend.health_interval;
            async_std::task::sleep(interval).await;
            let Some(backend) = self.control.local_backend() else {
                continue;
            };
            let address = backend.address;
            if asked.as_ref().is_none_or(|(known, _)| *known != address) {
                let client = HttpClient::new(
                    address,
                    MAX_HEALTH_REQUESTS_PER_SECOND,
                    interval.max(Duration::from_millis(200)),
                );
                asked = Some((address, HttpBackendHealth::new(client)));
            }
            let Some((_, health)) = &asked else { continue };
            match health.report().await {
                Ok(report) if report.draining => {
                    failures = 0;
                    self.control.drain("back end");
                }
                Ok(report) if report.healthy => failures = 0,
                // A backend with calls in progress is up, whatever its health check says.
                Ok(_) if self.gate.running() > 0 => failures = 0,
                Ok(_) | Err(_) => failures += 1,
            }
            self.control
                .set_backend_up(failures < FAILED_CHECKS_UNTIL_DOWN);
        }
    }

    /// Shuts the node down gracefully: rejects new work, waits for calls in flight, then
    /// stops. Returns the number of calls aborted at the end of the grace period.
    pub async fn drain(&self) -> u32 {
        self.control.begin_stop();
        let drain = self.live.get().drain.clone();
        let last_work = drain.last_work.min(drain.notice);
        sleep(last_work).await;
        self.control.drain("signal");
        sleep(drain.notice - last_work).await;
        self.callers_stop.start();
        let begun = BootInstant::now();
        let mut cut = 0;
        while self.callers_stop.open_connections() > 0 || self.gate.load() > 0 {
            if begun.elapsed() >= drain.grace_after_notice() {
                cut = self.gate.load() + self.callers_stop.open_connections() as u32;
                tracing::warn!(cut, "drain grace period ended; aborting calls in flight");
                self.control.metrics.drain_cuts.inc_by(u64::from(cut));
                break;
            }
            async_std::task::sleep(DRAIN_CHECK_INTERVAL).await;
        }
        // An unresponsive store must not delay the shutdown.
        self.control.leave();
        self.peers_stop.start();
        // Gives the departure announcement and the lease release time to be sent.
        async_std::task::sleep(DRAIN_CHECK_INTERVAL * 5).await;
        cut
    }

    /// Applies a changed settings file without interrupting calls. Changes that need a
    /// restart are logged.
    pub fn reload(&self, settings: &NodeSettings) {
        let needs_restart: Vec<&str> = [
            ("node", settings.node != self.settings.node),
            ("listen", settings.listen != self.settings.listen),
            ("platform", settings.platform != self.settings.platform),
            ("quota", settings.quota != self.settings.quota),
            ("roll_outs", settings.roll_outs != self.settings.roll_outs),
        ]
        .into_iter()
        .filter_map(|(section, changed)| changed.then_some(section))
        .collect();
        let before = self.live.get();
        self.live.replace(settings);
        let changed = *before != *self.live.get();
        tracing::info!(changed, ?needs_restart, "settings reloaded");
    }

    /// Stops at once, like a crash of the process.
    pub async fn kill(&self) {
        self.tasks.cancel().await;
        self.callers_stop.start();
        self.peers_stop.start();
        self.control.stop().await;
    }
}

/// Handles a backend report. It is acknowledged only after a crash that it reveals has been
/// recorded; otherwise the change of incarnation would be noticed up to [`ENDPOINT_CHECK_INTERVAL`]
/// later.
async fn take_report(
    service: Arc<ReportService>,
    gate: Arc<Gate>,
    request: Request<RequestBody>,
) -> Response<Body> {
    let response = service.handle(request).await;
    gate.check_incarnation();
    response
}

/// Checks for changed backend endpoints, and updates limits, load reports and gauges, until
/// the node stops.
async fn watch_endpoint_changes(
    control: Arc<Control>,
    entry: Arc<Entry>,
    gate: Arc<Gate>,
    limits: Arc<TenantLimits>,
) {
    loop {
        entry.refresh_endpoints();
        limits.refresh();
        entry.publish_version_evidence();
        gate.update_metrics();
        if let Some(backend) = control.local_backend() {
            gate.set_reference_times(entry.mean_service_times(&backend.service));
            gate.publish_speed();
        }
        gate.expire_fences();
        gate.check_incarnation();
        if let Some(report) = load_report(&entry, &gate, ENDPOINT_CHECK_INTERVAL) {
            control.record_load(report);
        }
        async_std::task::sleep(ENDPOINT_CHECK_INTERVAL).await;
    }
}

/// Binds a listener; the error names the key path of its address.
fn bind_for(purpose: &'static str, address: SocketAddr) -> Result<TcpListener, NodeError> {
    bind(address).map_err(|source| NodeError::Bind {
        purpose,
        address,
        source,
    })
}

/// Sockets of a node, bound before any task starts.
struct Listeners {
    callers: TcpListener,
    peers: TcpListener,
    api: TcpListener,
    ready: Option<TcpListener>,
    reports: Option<TcpListener>,
}

impl Listeners {
    /// Binds all listeners for which the settings have an address.
    fn bind(settings: &NodeSettings) -> Result<Self, NodeError> {
        let listen = &settings.listen;
        let optional = |purpose, address: Option<SocketAddr>| {
            address
                .map(|address| bind_for(purpose, address))
                .transpose()
        };
        Ok(Self {
            callers: bind_for("listen.callers", listen.callers)?,
            peers: bind_for("listen.peers", listen.peers)?,
            api: bind_for("listen.api", listen.api)?,
            ready: optional("listen.ready", listen.ready)?,
            reports: optional("listen.reports", listen.reports)?,
        })
    }
}

/// Components that process a call: entry, gate and peer service.
struct CallPath {
    gate: Arc<Gate>,
    entry: Arc<Entry>,
    peers: Arc<PeerService>,
    secrets: Option<Arc<SecretKeeper>>,
    limits: Arc<TenantLimits>,
}

impl CallPath {
    fn new(
        settings: &NodeSettings,
        live: &ReloadableSettings,
        adapter: Option<&PlatformAdapter>,
        control: Arc<Control>,
        mode: EntryMode,
    ) -> Result<Self, NodeError> {
        let keyring = keyring(settings)?;
        let dialect = adapter.map_or_else(Arc::default, |adapter| adapter.dialect.clone());
        let body_limit = settings.limits.body_size.as_u64() as usize;
        let gate = Arc::new(Gate::new(GateOptions {
            control: control.clone(),
            dialect: dialect.clone(),
            secrets: keyring.as_ref().map(SecretKeeper::new),
            connect_timeout: settings.backend.connect_wait,
            heartbeat: settings.backend.heartbeat,
            live: live.clone(),
        }));
        let hop_keys = keyring.as_ref().map(HopKeys::new);
        let peer_client = Arc::new(PeerClient::new(control.clone(), hop_keys));
        let claims = adapter.is_none().then(|| {
            let life = settings.fleet.claim_life;
            Arc::new(IdempotencyClaims::new(
                control.clone(),
                peer_client.clone(),
                life,
            ))
        });
        let terms = settings.quota.to_policy();
        let zone = settings.node.zone.clone();
        let limits = Arc::new(TenantLimits::new(control.clone(), zone, terms));
        let entry = Arc::new(Entry::new(EntryOptions {
            tenant_limits: limits.clone(),
            control: control.clone(),
            dialect: dialect.clone(),
            peers: peer_client.clone(),
            gate: gate.clone(),
            claims: claims.clone(),
            zone: settings.node.zone.clone(),
            caller: settings.node.service.clone(),
            heartbeat: settings.backend.heartbeat,
            live: live.clone(),
            roll_outs: settings.roll_outs.map(RolloutSettings::to_bounds),
            mode,
        }));
        let peers = PeerService::new(
            control,
            peer_client,
            gate.clone(),
            claims,
            dialect,
            body_limit,
        );
        Ok(Self {
            gate,
            entry,
            peers: Arc::new(peers),
            secrets: keyring
                .as_ref()
                .map(|keys| Arc::new(SecretKeeper::new(keys))),
            limits,
        })
    }
}

/// Fleet keys from the settings; `None` without keys.
pub fn keyring(settings: &NodeSettings) -> Result<Option<Keyring>, InvalidKey> {
    let Some(keys) = &settings.keys else {
        return Ok(None);
    };
    let current = FleetKey::from_base64(keys.current.expose_secret())?;
    let accepted = keys
        .accepted
        .iter()
        .map(|key| FleetKey::from_base64(key.expose_secret()))
        .collect::<Result<_, _>>()?;
    Ok(Some(Keyring::new(current, accepted)))
}

/// Options of the control plane for the given settings.
pub fn control_parts(
    settings: &NodeSettings,
    adapter: Option<&PlatformAdapter>,
) -> Result<ControlOptions, NodeError> {
    let id: NodeId = settings.node.id.clone();
    let keyring = keyring(settings)?;
    let identity_key = keyring
        .as_ref()
        .map_or_else(IdentityKey::default, Keyring::identity_key);
    let codec = match keyring {
        Some(keyring) => Codec::Sealed(Box::new(Sealer::new(id.clone(), &keyring))),
        None => Codec::Plain,
    };
    let (fleet, source) = match adapter {
        Some(adapter) => (
            FleetSettings {
                unconfirmed_backend_ttl: settings.backend.unconfirmed_backend_ttl(),
                heartbeat_interval: settings.backend.heartbeat,
                roll_outs: settings.roll_outs.map(RolloutSettings::to_bounds),
                ..settings.fleet.to_document_settings()
            },
            SourceOptions::Document {
                documents: adapter.documents.clone(),
                directory: adapter.directory.clone(),
                roll_outs: adapter.roll_outs.clone(),
                eras: adapter.eras.clone(),
            },
        ),
        None => (
            settings.fleet.to_fleet_settings(),
            change_log_source(settings),
        ),
    };
    Ok(ControlOptions {
        identity: AgentIdentity {
            id,
            address: settings.listen.peers,
            zone: settings.node.zone.clone(),
            region: settings.node.region.clone(),
            process_epoch: wall_clock_micros(),
        },
        fleet,
        seeds: settings.seeds.clone(),
        identity_key,
        codec,
        source,
        seed: rand::random(),
    })
}

/// Options for a configuration that comes from a change log.
fn change_log_source(settings: &NodeSettings) -> SourceOptions {
    let platform = &settings.platform;
    let client = |address| {
        let rate = platform.store_requests_per_second;
        HttpClient::new(address, rate, platform.wait)
    };
    let store = Arc::new(HttpStore::new(client(platform.store)));
    // The settings are validated: with a change log, `machines` is set.
    let machines = platform.machines.unwrap_or(platform.store);
    SourceOptions::ChangeLog {
        log_store: LogStore::new(store, settings.node.id.clone()),
        machines: Arc::new(HttpMachineList::new(client(machines))),
        machine_interval: platform.machine_interval,
    }
}
