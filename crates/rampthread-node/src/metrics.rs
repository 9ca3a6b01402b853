//! Metrics of the node in the Prometheus text format.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use rampthread_core::rollout::Phase;
use std::sync::atomic::AtomicU64;

/// Upper bound of the smallest call time bucket, in seconds.
const FIRST_BUCKET_SECONDS: f64 = 0.000_25;
/// Ratio of the upper bounds of neighbouring call time buckets.
const BUCKET_FACTOR: f64 = 2.0;
/// Number of call time buckets.
const BUCKETS: u16 = 16;

/// Labels of a call; one series per service, outcome and cause.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabel {
    /// Service of the call, or `none` if no route matched.
    pub service: String,
    /// `completed`, `not-run` or `unknown`.
    pub outcome: &'static str,
    /// Cause of an error response, or `none`.
    pub cause: &'static str,
}

/// Labels of control messages; two series per kind.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct MessageLabel {
    /// Kind of the control message.
    pub kind: &'static str,
    /// `inside` the zone or `across` to another one.
    pub way: &'static str,
}

/// Label of store requests; one series per kind.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StoreRequestLabel {
    /// Kind of the store request.
    pub kind: &'static str,
}

/// Label of rejected calls; one series per cause.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CauseLabel {
    /// Cause of the rejection.
    pub cause: &'static str,
}

/// Label of retries; one series per class of retry.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RetryLabel {
    /// `nested` for calls made by a backend, else `caller`.
    pub claim: &'static str,
}

/// Label of fences; one series per result.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct FenceLabel {
    /// `never-starts`, `had-started`, `cannot-tell` or `no-answer`.
    pub answer: &'static str,
}

/// Labels of calls answered in another zone; one series per service and zone.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct SpillLabel {
    /// Service of the call.
    pub service: String,
    /// Zone in which the call was answered.
    pub zone: String,
}

/// Label of tenants; one series for each of the largest, and one for all others.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TenantLabel {
    /// Name of the tenant, or `other`.
    pub tenant: String,
}

/// Label of rollout decisions; one series per phase.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RolloutLabel {
    /// Phase of the rollout after the decision.
    pub phase: &'static str,
}

/// Labels of calls to a service in rollout.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EvaluatedCallLabel {
    /// `target` for the version being evaluated, `other` for the other versions.
    pub version: &'static str,
    /// `good` or `failed`.
    pub answer: &'static str,
}

/// All metrics of a node.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Calls for which this node was the entry, by service, outcome and cause.
    pub calls: Family<CallLabel, Counter>,
    /// Duration of calls for which this node was the entry, in seconds.
    pub call_seconds: Histogram,
    /// Calls of this node that were answered in another zone, by service and zone.
    pub spilled_calls: Family<SpillLabel, Counter>,
    /// Retries made by this node as entry.
    pub retries: Counter,
    /// Retries made by this node as entry, by class.
    pub retries_by_claim: Family<RetryLabel, Counter>,
    /// Hedged attempts, started while another attempt was slow.
    pub hedges: Counter,
    /// Fences requested for hops without a response, by result.
    pub fences: Family<FenceLabel, Counter>,
    /// Calls rejected by the gate of this node.
    pub gate_refusals: Counter,
    /// Calls rejected by the gate of this node, by cause.
    pub gate_refusals_by_cause: Family<CauseLabel, Counter>,
    /// Calls for which this entry made no further attempt, since the rate limits of all backends
    /// of the service were used up.
    pub rate_limited_calls: Counter,
    /// Rate limit that the local backend names, in requests per second;
    /// [`NO_RATE_LIMIT`] while it names none.
    pub backend_rate_limit: Gauge<f64, AtomicU64>,
    /// Calls that reached the backend when little of their route's latency target was left.
    pub gate_late_calls: Counter,
    /// Calls that the gate forwarded to the local backend.
    pub gate_calls: Counter,
    /// Calls that the local backend was processing when it crashed.
    pub crashed_calls: Counter,
    /// Requests with recent crash reports, cleared ones included.
    pub suspected_requests: Gauge,
    /// Requests in quarantine, or on trial after their quarantine.
    pub quarantined_requests: Gauge,
    /// Backend reports rejected because fields were missing or had the wrong type.
    pub unusable_reports: Counter,
    /// Invalid directory entries, counted again with every read.
    pub unusable_entries: Counter,
    /// Backend reports of another incarnation than the current one.
    pub doubtful_reports: Counter,
    /// Rollout decisions that this node made or received, by phase.
    pub roll_out_decisions: Family<RolloutLabel, Counter>,
    /// Calls of this node's callers to a service whose new version was being evaluated.
    pub evaluated_calls: Family<EvaluatedCallLabel, Counter>,
    /// 1 while this node decides about rollouts.
    pub roll_out_decider: Gauge,
    /// Calls aborted when the grace period of a drain ended.
    pub drain_cuts: Counter,
    /// Control messages sent.
    pub control_messages_sent: Counter,
    /// Bytes of control messages sent.
    pub control_bytes_sent: Counter,
    /// Bytes of control messages sent, by kind and direction.
    pub control_bytes_by_kind: Family<MessageLabel, Counter>,
    /// Control messages sent, by kind and direction.
    pub control_messages_by_kind: Family<MessageLabel, Counter>,
    /// Bytes of control messages received.
    pub control_bytes_received: Counter,
    /// Control messages dropped: wrong key, altered, replayed or malformed.
    pub control_messages_dropped: Counter,
    /// Requests sent to the store.
    pub store_requests: Counter,
    /// Requests sent to the store, by kind.
    pub store_requests_by_kind: Family<StoreRequestLabel, Counter>,
    /// Milliseconds since the store last answered a document request of this node; -1
    /// before the first answer.
    pub store_answer_age: Gauge,
    /// Newest era in the store's answers.
    pub store_era: Gauge,
    /// Increases of the store's era, each caused by a restore from an older copy.
    pub store_restores: Counter,
    /// Documents rejected since the start.
    pub documents_refused: Counter,
    /// 1 while this node watches the document at the store.
    pub document_watcher: Gauge,
    /// Active configuration version.
    pub version: Gauge,
    /// 1 while this node serves calls.
    pub ready: Gauge,
    /// Members that this node considers alive, itself included.
    pub members_alive: Gauge,
    /// Backends that this node considers available for calls.
    pub endpoints: Gauge,
    /// Calls that the local backend is processing.
    pub gate_running: Gauge,
    /// Calls in the queue for the local backend.
    pub gate_queued: Gauge,
    /// Requests per second of the largest tenants with a limit, at this node.
    pub tenant_asked: Family<TenantLabel, Gauge<f64, AtomicU64>>,
    /// Requests that this node rejected, for the largest tenants with a limit. Starts at 0
    /// again after a period without requests of the tenant.
    pub tenant_refused: Family<TenantLabel, Gauge>,
    /// Refill time of rate limits that this node forfeited by late handovers, in seconds of the
    /// whole limit.
    pub refill_forfeited_seconds: Gauge<f64, AtomicU64>,
    /// Requests for tokens that this node repeated, since the reply was late or lost.
    pub token_requests_repeated: Counter,
    /// Times that this node found a token pool unresponsive.
    pub token_pools_unresponsive: Counter,
    /// Log lines suppressed by rate limits.
    pub log_lines_left_out: Counter,
    /// Log lines dropped because standard output was not read.
    pub log_lines_dropped: Counter,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("rampthread"),
            calls: Family::default(),
            call_seconds: Histogram::new(exponential_buckets(
                FIRST_BUCKET_SECONDS,
                BUCKET_FACTOR,
                BUCKETS,
            )),
            spilled_calls: Family::default(),
            retries: Counter::default(),
            retries_by_claim: Family::default(),
            hedges: Counter::default(),
            fences: Family::default(),
            gate_refusals: Counter::default(),
            gate_refusals_by_cause: Family::default(),
            rate_limited_calls: Counter::default(),
            backend_rate_limit: no_rate_limit(),
            gate_late_calls: Counter::default(),
            gate_calls: Counter::default(),
            crashed_calls: Counter::default(),
            suspected_requests: Gauge::default(),
            quarantined_requests: Gauge::default(),
            unusable_reports: Counter::default(),
            unusable_entries: Counter::default(),
            doubtful_reports: Counter::default(),
            roll_out_decisions: Family::default(),
            evaluated_calls: Family::default(),
            roll_out_decider: Gauge::default(),
            drain_cuts: Counter::default(),
            control_messages_sent: Counter::default(),
            control_bytes_sent: Counter::default(),
            control_bytes_by_kind: Family::default(),
            control_messages_by_kind: Family::default(),
            control_bytes_received: Counter::default(),
            control_messages_dropped: Counter::default(),
            store_requests: Counter::default(),
            store_requests_by_kind: Family::default(),
            store_answer_age: Gauge::default(),
            documents_refused: Counter::default(),
            store_era: Gauge::default(),
            store_restores: Counter::default(),
            document_watcher: Gauge::default(),
            version: Gauge::default(),
            ready: Gauge::default(),
            members_alive: Gauge::default(),
            endpoints: Gauge::default(),
            gate_running: Gauge::default(),
            gate_queued: Gauge::default(),
            tenant_asked: Family::default(),
            tenant_refused: Family::default(),
            refill_forfeited_seconds: Gauge::default(),
            token_requests_repeated: Counter::default(),
            token_pools_unresponsive: Counter::default(),
            log_lines_left_out: Counter::default(),
            log_lines_dropped: Counter::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    /// Counts a store request in total and by kind.
    pub fn count_store_request(&self, kind: &'static str) {
        self.store_requests.inc();
        let label = StoreRequestLabel { kind };
        self.store_requests_by_kind.get_or_create(&label).inc();
    }

    /// Counts a rollout decision by phase.
    pub fn count_rollout_decision(&self, phase: Phase) {
        let label = RolloutLabel {
            phase: phase.as_str(),
        };
        self.roll_out_decisions.get_or_create(&label).inc();
    }

    /// Counts a response while a version is evaluated; `of_target` tells whether that
    /// version sent it.
    pub fn count_evaluated_call(&self, of_target: bool, failed: bool) {
        let label = EvaluatedCallLabel {
            version: if of_target { "target" } else { "other" },
            answer: if failed { "failed" } else { "good" },
        };
        self.evaluated_calls.get_or_create(&label).inc();
    }

    /// Registers all metrics with their names and help texts.
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "calls",
            "Calls that entered here, by service, outcome and cause",
            self.calls.clone(),
        );
        registry.register(
            "call_seconds",
            "Time of calls that entered here",
            self.call_seconds.clone(),
        );
        registry.register(
            "hedges",
            "Second tries begun here beside an overdue one",
            self.hedges.clone(),
        );
        registry.register(
            "calls_sent_away",
            "Calls that entered here and were answered in another zone",
            self.spilled_calls.clone(),
        );
        registry.register("retries", "Second tries made here", self.retries.clone());
        registry.register(
            "retries_by_claim",
            "Second tries made here, by who asked",
            self.retries_by_claim.clone(),
        );
        registry.register(
            "fences",
            "Lost hops whose gates were asked whether the call may still start, by answer",
            self.fences.clone(),
        );
        registry.register(
            "gate_refusals",
            "Calls that the gate refused",
            self.gate_refusals.clone(),
        );
        registry.register(
            "gate_refusals_by_cause",
            "Calls that the gate refused, by cause",
            self.gate_refusals_by_cause.clone(),
        );
        registry.register(
            "rate_limited_calls",
            "Calls without a further attempt: the rate limits of all backends were used up",
            self.rate_limited_calls.clone(),
        );
        registry.register(
            "backend_rate_limit",
            "Requests per second that the local backend takes; -1 if it names no limit",
            self.backend_rate_limit.clone(),
        );
        registry.register(
            "gate_late_calls",
            "Calls that began at the back end with too little of their target left",
            self.gate_late_calls.clone(),
        );
        registry.register(
            "gate_calls",
            "Calls passed to the back end",
            self.gate_calls.clone(),
        );
        registry.register(
            "crashed_calls",
            "Calls whose back end, beside this node, ended while it ran them",
            self.crashed_calls.clone(),
        );
        registry.register(
            "unusable_reports",
            "Reports of back ends with fields missing or of another type",
            self.unusable_reports.clone(),
        );
        registry.register(
            "unusable_entries",
            "Items of the directory that could not be used, counted with every read",
            self.unusable_entries.clone(),
        );
        registry.register(
            "doubtful_reports",
            "Reports of another incarnation of the back end than the present one",
            self.doubtful_reports.clone(),
        );
        registry.register(
            "suspected_requests",
            "Requests under which a back end crashed lately, cleared ones included",
            self.suspected_requests.clone(),
        );
        registry.register(
            "quarantined_requests",
            "Requests in quarantine or on trial",
            self.quarantined_requests.clone(),
        );
        registry.register(
            "roll_out_decisions",
            "Decisions on roll-outs that this node made or read, by phase",
            self.roll_out_decisions.clone(),
        );
        registry.register(
            "judged_calls",
            "Calls that entered here while a version was under judgement, by version and answer",
            self.evaluated_calls.clone(),
        );
        registry.register(
            "roll_out_decider",
            "1 while this node decides on roll-outs",
            self.roll_out_decider.clone(),
        );
        registry.register(
            "drain_cuts",
            "Calls cut at the end of a drain",
            self.drain_cuts.clone(),
        );
        registry.register(
            "control_messages_sent",
            "Control messages sent",
            self.control_messages_sent.clone(),
        );
        registry.register(
            "control_bytes_sent",
            "Bytes of control messages sent",
            self.control_bytes_sent.clone(),
        );
        registry.register(
            "control_bytes_sent_by_kind",
            "Bytes of control messages sent, by kind and way",
            self.control_bytes_by_kind.clone(),
        );
        registry.register(
            "control_messages_sent_by_kind",
            "Control messages sent, by kind and way",
            self.control_messages_by_kind.clone(),
        );
        registry.register(
            "control_bytes_received",
            "Bytes of control messages received",
            self.control_bytes_received.clone(),
        );
        registry.register(
            "control_messages_dropped",
            "Control messages dropped",
            self.control_messages_dropped.clone(),
        );
        registry.register(
            "store_requests",
            "Requests sent to the store",
            self.store_requests.clone(),
        );
        registry.register(
            "store_requests_by_kind",
            "Requests sent to the store, by kind",
            self.store_requests_by_kind.clone(),
        );
        registry.register(
            "store_answer_age_ms",
            "Time since the store last answered this node for the document; -1: never",
            self.store_answer_age.clone(),
        );
        registry.register(
            "store_era",
            "Newest era of the store that its answers have named",
            self.store_era.clone(),
        );
        registry.register(
            "store_restores",
            "Rises of the store's era: it came back from an older copy",
            self.store_restores.clone(),
        );
        registry.register(
            "documents_refused",
            "Documents refused whole, from the store or from peers",
            self.documents_refused.clone(),
        );
        registry.register(
            "document_watcher",
            "1 while this node watches the document at the store",
            self.document_watcher.clone(),
        );
        registry.register("version", "Version in force", self.version.clone());
        registry.register(
            "ready",
            "1 while this node serves calls",
            self.ready.clone(),
        );
        registry.register(
            "members_alive",
            "Nodes alive in this node's view",
            self.members_alive.clone(),
        );
        registry.register(
            "endpoints",
            "Back ends that may get work in this node's view",
            self.endpoints.clone(),
        );
        registry.register(
            "gate_running",
            "Calls at the back end beside this node",
            self.gate_running.clone(),
        );
        registry.register(
            "gate_queued",
            "Calls that wait for the back end beside this node",
            self.gate_queued.clone(),
        );
        registry.register(
            "tenant_asked",
            "Requests a second of the largest tenants with a limit, at this node",
            self.tenant_asked.clone(),
        );
        registry.register(
            "tenant_refused",
            "Requests of the largest tenants with a limit that were refused here since the tenant last rested",
            self.tenant_refused.clone(),
        );
        registry.register(
            "refill_forfeited_seconds",
            "Refill time of rate limits that this node forfeited by late handovers, in seconds of the whole limit",
            self.refill_forfeited_seconds.clone(),
        );
        registry.register(
            "token_requests_repeated",
            "Requests for rate limit tokens that this node repeated",
            self.token_requests_repeated.clone(),
        );
        registry.register(
            "token_pools_unresponsive",
            "Times that a token pool did not answer this node",
            self.token_pools_unresponsive.clone(),
        );
        registry.register(
            "log_lines_left_out",
            "Log lines left out to bound the volume",
            self.log_lines_left_out.clone(),
        );
        registry.register(
            "log_lines_dropped",
            "Log lines dropped because standard output was not read",
            self.log_lines_dropped.clone(),
        );
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(error) => format!("# {error}\n"),
        }
    }
}

/// Value of the gauge of the rate limit while the backend names none.
pub const NO_RATE_LIMIT: f64 = -1.0;

fn no_rate_limit() -> Gauge<f64, AtomicU64> {
    let gauge = Gauge::default();
    gauge.set(NO_RATE_LIMIT);
    gauge
}
