//! Drives one [`Agent`](rampthread_core::fleet::Agent) with sockets and timers.
//!
//! [`Control`] works without a call path, so that nodes without calls in experiments run
//! the same code over real sockets.

mod actions;
mod active;
mod backend_reports;
mod backoff;
mod crash_records;
mod crashes;
mod directory;
mod document_watch;
mod driver;
mod endpoints;
mod large_messages;
mod operators;
mod options;
mod requests;
mod rollouts;
mod store_era;
mod token_messages;
mod transport;

pub use active::{ActiveConfig, ActiveConfigCell};
pub use backend_reports::{ReportService, answer_readiness};
pub use driver::{Control, ZoneLoads};
pub use endpoints::{EndpointMap, LocalBackend, ServiceEndpoints, Target};
pub use options::{ControlError, ControlOptions, SourceOptions};
pub use requests::ChangeResult;
pub use rollouts::VersionRules;
pub use token_messages::TokenMessage;
pub use transport::CONTROL_PATH;
