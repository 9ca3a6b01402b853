//! HTTP/1.1 sockets, listeners, server and client pool.
//!
//! Calls and all outgoing requests use hyper on async-std's sockets. The operator API and the
//! simulated services of experiments use tide behind an accept loop of this crate. See
//! `docs/DESIGN.md`, section "HTTP", for the reasons.

mod body;
mod connect;
mod listener;
mod pool;
mod server;
mod tide_server;
mod time;

pub use body::{
    Body, BodyError, ReadError, boxed, empty, full, read_boxed_limited, read_limited,
    read_with_stall_timeout,
};
pub use connect::{ConnectError, connect, refuses_connections};
pub use listener::bind;
pub use pool::{ConnectionReuse, Pool, PoolSettings, PooledBody, PooledResponse, SendError};
pub use server::{
    LimitsProvider, ReceivedAt, Rejection, RequestBody, RequestBodyError, Server, ServerLimits,
    Service, ShutdownHandle, rejection_response,
};
pub use tide_server::serve_tide;
#[doc(hidden)]
pub use time::advance_clock_for_tests;
pub use time::{BootInstant, TimeoutError, sleep, timeout};
