//! Small stand-ins for what the users already run. Tests and people turn their
//! faults on and off by HTTP.

pub mod backend;
pub mod machines;
pub mod store;
