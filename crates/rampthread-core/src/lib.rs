//! Decision logic of rampthread, free of I/O.
//!
//! Every module is a state machine: the caller passes in events with the current time and
//! receives actions to carry out. The crate uses no sockets, clocks, threads or async
//! functions, so that a seeded simulation can run a whole fleet (`tests/`) with the code
//! that real nodes run.
//!
//! | module | responsibility |
//! |---|---|
//! | [`config`] | validity of configurations, and the effect of each log entry |
//! | [`fleet`] | membership, log readers, distribution, restart floor, operator queries |
//! | [`rollout`] | which software version of a service receives traffic |
//! | [`call`] | routing, balancing, admission, retries, fencing and idempotency claims of calls |

pub mod backend_incarnation;
pub mod call;
pub mod compression;
pub mod config;
pub mod findings;
pub mod fleet;
pub mod ids;
pub mod rendezvous;
pub mod rollout;
pub mod time;
