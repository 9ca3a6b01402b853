//! The request path: [`entry`] receives calls at any node, [`gate`] runs them at the local
//! backend, and [`peers`] carries requests between nodes.

pub mod entry;
pub mod gate;
pub mod guarded_body;
pub mod header_filter;
mod hop_headers;
pub mod idempotency_claims;
pub mod load_report;
pub mod peers;
mod request_content;
pub mod response;
pub mod tenant_limits;
mod token_exchange;
