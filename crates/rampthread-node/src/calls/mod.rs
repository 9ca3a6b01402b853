//! The request path.
//!
//! [`entry`] accepts calls at any node, [`gate`] runs them at the local backend, and [`peers`]
//! carries requests between nodes.

pub mod answer;
mod content;
pub mod entry;
pub mod forward;
pub mod gate;
pub mod guarded;
mod hop_head;
pub mod idempotency_claims;
pub mod load_report;
pub mod peers;
pub mod tenant_limits;
