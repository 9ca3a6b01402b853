//! Control plane of a node. Each process runs one [`Agent`].
//!
//! | module | responsibility |
//! |---|---|
//! | `membership` | failure detection and member table (SWIM) |
//! | `replica` | log entries known to this node |
//! | `distribution` | notices to peers and pulls of missing log entries |
//! | `witness` | activation of versions, and the restart floor (lowest version after a restart) |
//! | `reader` | leases of the few nodes that read the log in the store |
//! | `writer` | appending operators' changes to the log |
//! | `holders` | which node has which version active |
//! | `proposals` | forwarding an operator's change to a log reader |
//! | `backend_tracker` | current incarnation of the local backend |
//! | `crash_table` | backend crashes by request |
//! | `store_watch` | which nodes watch the document in the store |
//! | `load_exchange` | aggregation and exchange of zone loads |
//! | `zone_directory` | which node writes the zone's snapshot to the store, and when |
//! | `agent` | ties the other modules together |

mod action;
mod agent;
mod backend_tracker;
mod crash_table;
mod distribution;
mod document_history;
mod holders;
mod load;
mod load_exchange;
mod member;
mod membership;
mod message;
mod proposals;
mod reader;
mod replica;
mod settings;
mod store_watch;
mod token_exchange;
mod version_source;
mod witness;
mod writer;
mod zone_directory;

pub use action::{
    Action, Decision, FloorSource, LeaseId, Outbox, RequestId, StoreAnswer, StoreFailure,
    StoreRequest, Ticket,
};
pub use agent::{Agent, AgentIdentity, Defect, HandledReport, PoolRoute};
pub use backend_tracker::{BackendReport, BackendTracker, MIN_SUPERSEDE_TIME, ReportStatus};
pub use crash_table::{CrashReport, CrashTable, MAX_SUSPECTS, MergeOutcome};
pub use load::{
    LoadReport, MILLI_SLOTS_PER_SLOT, MilliSlots, ServiceLoad, TenantHash, TenantLoad, ZoneLoad,
};
pub use load_exchange::{MAX_TENANTS, load_interval};
pub use member::{Conditions, EndpointRecord, Incarnation, Machine, MemberRecord, Status};
pub use message::{
    Envelope, LaggingNode, Message, ProbeBody, ProcessEpoch, PropagationStatus, ProposalReply,
    SharedBytes, WitnessRecord,
};
pub use settings::{ConfigSource, DistributionMode, FleetSettings};
pub use token_exchange::{GrantedTokens, RefillTransfer, TokenDemand, TokenGrant, TokenRequest};
pub use version_source::VersionSource;
pub use zone_directory::{
    DepartureId, ZoneDirectory, ZoneSnapshot, ZoneStep, ZoneWrite, recorded_backend,
};
