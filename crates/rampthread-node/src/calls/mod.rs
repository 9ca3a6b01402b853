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
pub mod holders;
mod hop_head;
pub mod load_report;
pub mod peers;
pub mod tenant_limits;
