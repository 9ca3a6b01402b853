//! The rampthread node: the process that runs beside each back end.
//!
//! It is a caller's entry, a proxy, the gate of its own back end, a member of
//! the fleet and an operator API endpoint. Decisions live in `rampthread-core`;
//! this crate drives them with sockets, timers and files.
//!
//! A caller's request passes through, in order:
//! [`calls::entry`] (route, claim, choose, try, fence), the peer's
//! [`calls::gate`] (admit, start, forward), and back.

pub mod api;
pub mod call_log;
pub mod calls;
pub mod clock;
pub mod control;
pub mod journal;
pub mod logging;
pub mod metrics;
pub mod node;
pub mod settings;
mod task_group;

pub use node::{Node, NodeError};
pub use settings::NodeSettings;
