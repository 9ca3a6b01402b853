//! What rampthread asks of a platform that holds the configuration as one
//! document: the document itself, a directory of nodes, the reports of back
//! ends, and the names that callers and back ends use in their headers.
//!
//! An adapter implements these traits and decides nothing: no timers, no
//! retries, no choices. `rampthread-node` does all of that.

use crate::error::PlatformError;
use crate::http_client::Transfer;
use async_trait::async_trait;
use rampthread_core::call::dialect::CallDialect;
use rampthread_core::call::identity::RequestIdentity;
use rampthread_core::config::ConfigState;
use rampthread_core::findings::Findings;
use rampthread_core::fleet::{BackendReport, Machine};
use rampthread_core::ids::InstanceId;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// The store's count of changes at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Revision(pub u64);

/// A document as the store holds it: read, or everything that is wrong with it.
pub type Document = Result<ConfigState, Findings>;

/// Result of a read of the document.
#[derive(Debug)]
pub struct DocumentRead {
    /// None when no document has been written yet.
    pub document: Option<Document>,
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
        /// Where to go on.
        at: Revision,
        /// Its way over this node's link.
        transfer: Transfer,
    },
    /// The wait ended without one.
    Unchanged {
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

/// Names the lease under which a node is registered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Registration(pub u64);

/// How new what is read must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadAge {
    /// As of now.
    Current,
    /// Seconds old is good enough, and cheaper.
    MayBeOld,
}

/// One node as the directory knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryEntry {
    /// Its record.
    pub machine: Machine,
    /// The lease under which the record stands. A node that has restarted goes
    /// on with it.
    pub registration: Registration,
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
    /// Every registered node.
    pub entries: Vec<DirectoryEntry>,
    /// Crashes that are on record.
    pub crashes: Vec<RecordedCrash>,
    /// Items that could not be used, each with its key.
    pub unusable: Findings,
}

/// Where nodes find each other: one record a node, gone with its lease. It also
/// keeps crashes of back ends, which must outlast the end of all nodes; they come
/// with the same read.
#[async_trait]
pub trait Directory: Send + Sync {
    /// Writes this node's record under a new lease of `life`.
    async fn register(&self, me: &Machine, life: Duration) -> Result<Registration, PlatformError>;
    /// Writes this node's record again under its lease; false when the lease is
    /// over.
    async fn update(&self, registration: Registration, me: &Machine)
    -> Result<bool, PlatformError>;
    /// Renews the lease; false when it is over and the record gone with it.
    async fn renew(&self, registration: Registration) -> Result<bool, PlatformError>;
    /// Ends the lease.
    async fn withdraw(&self, registration: Registration) -> Result<(), PlatformError>;
    /// Every registered node, and the crashes on record.
    async fn read(&self, age: ReadAge) -> Result<DirectoryRead, PlatformError>;
    /// Puts crashes on record for `life`.
    async fn record_crashes(
        &self,
        crashes: &[RecordedCrash],
        life: Duration,
    ) -> Result<(), PlatformError>;
    /// Takes crashes off the record.
    async fn forget_crashes(&self, crashes: &[RecordedCrash]) -> Result<(), PlatformError>;
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
    /// Reports of back ends.
    pub reports: Arc<dyn ReportReader>,
}
