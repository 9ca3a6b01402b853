//! The rampthread node: the process that runs next to each backend.
//!
//! A node is the entry for its callers, the gate of its local backend, a member of the
//! fleet and a server of the operator API. Decisions are made in `rampthread-core`; this
//! crate connects them to sockets, timers and files.
//!
//! A call passes through [`calls::entry`] (route, claim, choose a backend, retry, fence) at
//! the node that receives it from the caller, then through [`calls::gate`] (admit, start,
//! forward) at the node of the chosen backend. The response takes the same way back.

pub mod api;
pub mod call_log;
pub mod calls;
pub mod clock;
pub mod control;
pub mod decision_log;
pub mod logging;
pub mod metrics;
pub mod node;
pub mod settings;
mod task_group;

pub use node::{Node, NodeError};
pub use settings::NodeSettings;
