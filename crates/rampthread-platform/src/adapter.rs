//! What rampthread asks of a platform that holds the configuration as one
//! document: the document itself, a directory of nodes, the reports of back
//! ends, and the names that callers and back ends use in their headers.
//!
//! An adapter implements these traits and decides nothing: no timers, no
//! retries, no choices. `rampthread-node` does all of that.

use crate::error::PlatformError;
use crate::http_client::Transfer;
use crate::store_era::StoreEras;
use async_trait::async_trait;
use rampthread_core::call::dialect::CallDialect;
use rampthread_core::call::identity::RequestIdentity;
use rampthread_core::config::ConfigState;
use rampthread_core::findings::Findings;
use rampthread_core::fleet::{
    BackendReport, DepartureId, EndpointRecord, LeaseId, Machine, ZoneSnapshot, ZoneWrite,
};
use rampthread_core::ids::{InstanceId, NodeId, Zone};
use rampthread_core::rollout::{DeciderRequest, DeciderResponse, RolloutOrder};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// The store's count of changes at one moment. A store that comes back from an older copy
/// gives counts out again, in a newer era.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Revision {
    /// The era of the store.
    pub era: u64,
    /// Its count of changes.
    pub count: u64,
}

/// A document as the store holds it: read, or everything that is wrong with it.
pub type Document = Result<ConfigState, Findings>;

/// Orders to roll out that came along with the document.
#[derive(Debug, Default)]
pub struct OrdersRead {
    /// The orders.
    pub orders: Vec<RolloutOrder>,
    /// What is wrong with those that cannot be used, each with its place.
    pub unusable: Findings,
}

/// Result of a read of the document.
#[derive(Debug)]
pub struct DocumentRead {
    /// None when no document has been written yet.
    pub document: Option<Document>,
    /// All orders to roll out that stand beside it.
    pub orders: OrdersRead,
    /// When it was read.
    pub at: Revision,
    /// Its way over this node's link.
    pub transfer: Transfer,
}

/// Result of a wait for a new document.
#[derive(Debug)]
pub enum DocumentNews {
    /// The newest document that was written since.
    Changed {
        /// The document.
        document: Document,
        /// Orders to roll out that were written meanwhile.
        orders: OrdersRead,
        /// Where to go on.
        at: Revision,
        /// Its way over this node's link.
        transfer: Transfer,
    },
    /// The wait ended without one.
    Unchanged {
        /// Orders to roll out that were written meanwhile.
        orders: OrdersRead,
        /// Where to go on.
        at: Revision,
    },
    /// The store has forgotten what happened since: read the document whole.
    HistoryGone,
}

/// The operators' document in the platform's store.
#[async_trait]
pub trait DocumentSource: Send + Sync {
    /// Reads the document; the answer begins within `patience`. It may take long over
    /// a narrow link, but a pause in it that is longer than the patience, and than such
    /// a link explains, is silence.
    async fn read(&self, age: ReadAge, patience: Duration) -> Result<DocumentRead, PlatformError>;
    /// Waits at most `wait` for a document newer than `after`; the answer begins
    /// within `patience` after that, and goes on as that of a read does.
    async fn watch(
        &self,
        after: Revision,
        wait: Duration,
        patience: Duration,
    ) -> Result<DocumentNews, PlatformError>;
}

/// How new what is read must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadAge {
    /// As of now.
    Current,
    /// Seconds old is good enough, and cheaper.
    MayBeOld,
}

/// A node has acknowledged that the back end beside it leaves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedLeave {
    /// The node.
    pub node: NodeId,
    /// The back end as it left.
    pub endpoint: EndpointRecord,
}

impl RecordedLeave {
    /// Names this record.
    pub fn id(&self) -> DepartureId {
        DepartureId {
            node: self.node.clone(),
            instance: self.endpoint.instance.clone(),
        }
    }
}

/// A back end ended while it ran a request, as the directory keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedCrash {
    /// The request.
    pub identity: RequestIdentity,
    /// The incarnation that ended.
    pub instance: InstanceId,
    /// When, by the wall clock of the node beside it, in milliseconds since 1970.
    pub at_ms: u64,
    /// The request was on trial there.
    pub on_trial: bool,
}

/// What one read of the directory tells.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct DirectoryRead {
    /// The snapshot of each zone.
    pub zones: BTreeMap<Zone, ZoneSnapshot>,
    /// Nodes of an earlier version of rampthread, each with a record of its own.
    pub single: Vec<Machine>,
    /// Leaves that no snapshot tells yet.
    pub leaves: Vec<RecordedLeave>,
    /// Crashes that are on record.
    pub crashes: Vec<RecordedCrash>,
    /// Items that could not be used, each with its key.
    pub unusable: Findings,
}

impl DirectoryRead {
    /// Every node that is named.
    pub fn machines(&self) -> impl Iterator<Item = &Machine> {
        let zones = self.zones.values();
        let members = zones.flat_map(|snapshot| snapshot.members.values());
        members.chain(&self.single)
    }
}

/// What became of the write of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ZoneWritten {
    /// It stands, with this revision and lease.
    Done(ZoneSnapshot),
    /// Another one has been written since; none where the platform did not show a usable
    /// one.
    Conflict(Option<ZoneSnapshot>),
}

/// Where nodes find each other: one snapshot a zone. It also keeps what must outlast the
/// end of all nodes: leaves that were acknowledged, and crashes of back ends. All comes
/// with the same read.
#[async_trait]
pub trait Directory: Send + Sync {
    /// Everything that stands there.
    async fn read(&self, age: ReadAge) -> Result<DirectoryRead, PlatformError>;
    /// Writes the snapshot of a zone if it still has the revision of `write`, under its
    /// lease or, where that is over, a new one of `life`.
    async fn write_zone(
        &self,
        zone: &Zone,
        write: &ZoneWrite,
        life: Duration,
    ) -> Result<ZoneWritten, PlatformError>;
    /// Renews the lease of a snapshot; false when it is over and the snapshot gone with it.
    async fn renew(&self, lease: LeaseId) -> Result<bool, PlatformError>;
    /// Puts a leave on record, until a snapshot tells it.
    async fn record_leave(&self, leave: &RecordedLeave) -> Result<(), PlatformError>;
    /// Puts crashes on record for `life`.
    async fn record_crashes(
        &self,
        crashes: &[RecordedCrash],
        life: Duration,
    ) -> Result<(), PlatformError>;
    /// Takes crashes off the record.
    async fn forget_crashes(&self, crashes: &[RecordedCrash]) -> Result<(), PlatformError>;
}

/// Where one node at a time takes the right to decide on roll-outs, and puts on record
/// how far they are.
#[async_trait]
pub trait RolloutStore: Send + Sync {
    /// Carries out one call; records keep `wall_clock_ms`, milliseconds since 1970.
    async fn execute(
        &self,
        call: &DeciderRequest,
        wall_clock_ms: u64,
    ) -> Result<DeciderResponse, PlatformError>;
}

/// Why a request is not a report.
#[derive(Debug, Clone, thiserror::Error)]
pub enum ReportError {
    /// No call of this name exists.
    #[error("no such call")]
    NoSuchCall,
    /// The body cannot be read.
    #[error("{0}")]
    Invalid(Findings),
}

/// Reads the calls with which back ends report.
pub trait ReportReader: Send + Sync {
    /// Reads one call.
    fn read(
        &self,
        method: &http::Method,
        path: &str,
        body: &[u8],
    ) -> Result<BackendReport, ReportError>;
    /// The path at which the platform asks whether the node is ready.
    fn readiness_path(&self) -> &'static str;
}

/// Everything that an adapter brings.
#[derive(Clone)]
pub struct PlatformAdapter {
    /// Names of headers and statuses towards callers and back ends.
    pub dialect: Arc<CallDialect>,
    /// The operators' document.
    pub documents: Arc<dyn DocumentSource>,
    /// Where nodes find each other.
    pub directory: Arc<dyn Directory>,
    /// The eras of the store behind all of these.
    pub eras: Arc<StoreEras>,
    /// Reports of back ends.
    pub reports: Arc<dyn ReportReader>,
    /// Decisions on roll-outs; none where orders are not carried out.
    pub roll_outs: Option<Arc<dyn RolloutStore>>,
}
