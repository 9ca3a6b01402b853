//! Drives one [`Agent`](rampthread_core::fleet::Agent) with sockets and timers.
//!
//! [`Control`] is whole without a call path, so hollow nodes in experiments run
//! the same code over real sockets.

mod active;
mod backend_reports;
mod backoff;
mod directory;
mod document_watch;
mod driver;
mod endpoints;
mod requests;

pub use active::ActiveConfig;
pub use backend_reports::{ReportService, answer_readiness};
pub use driver::{CONTROL_PATH, Control, ControlError, ControlParts, SourceParts};
pub use endpoints::{EndpointMap, LocalBackend, ServiceEndpoints, Target};
pub use requests::ChangeResult;
