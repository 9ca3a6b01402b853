//! The platform that rampthread runs on.
//!
//! Three traits, [`Store`], [`MachineList`] and [`BackendHealth`], each with
//! one HTTP implementation. Only the implementations know the protocol of the
//! stand-ins; the users' own platform is reached by other implementations.
//! [`LogStore`] keeps the change log, the snapshots and the readers' leases in
//! a [`Store`].

mod adapter;
mod error;
mod health;
mod http_client;
mod http_store;
mod log_store;
mod machines;
mod protocol;
mod store;
mod store_era;

pub use adapter::{
    Directory, DirectoryRead, Document, DocumentNews, DocumentRead, DocumentSource, OrdersRead,
    PlatformAdapter, ReadAge, RecordedCrash, RecordedLeave, ReportError, ReportReader, Revision,
    RolloutStore, ZoneWritten,
};
pub use error::PlatformError;
pub use health::{BackendHealth, BackendReport, HttpBackendHealth};
pub use http_client::{Answer, HttpClient, Transfer, percent_encode};
pub use http_store::HttpStore;
pub use log_store::LogStore;
pub use machines::{HttpMachineList, MachineList};
pub use protocol::{
    CreateQuery, GrantedLease, KeyValue, LeaseQuery, RangeQuery, RangeReply, WatchQuery,
    WatchReply, paths,
};
pub use store::{CreateOutcome, Range, Store, WatchOutcome};
pub use store_era::{EraMark, EraRise, StoreEras};
