//! Header encoding of a hop, from the entry to the gate of the chosen backend.
//!
//! Traffic between zones is expensive, and the head is a large part of a small call, so values
//! that the gate can derive are omitted.

use super::forward;
use super::gate::{Hop, TRY_SEPARATOR};
use http::HeaderMap;
use rampthread_core::call::dialect::CallDialect;
use rampthread_core::call::headers::{self, Waiting};
use rampthread_core::call::path_delay::SentAt;
use rampthread_core::call::precedence::Precedence;
use rampthread_core::config::default_priority;
use rampthread_core::ids::ResourceName;
use rampthread_core::time::Moment;

/// Attempt number; sent where the caller's request id is forwarded in its own header.
const TRY: &str = "rampthread-try";
/// Whether the call may run more than once; absent means that it may not.
const REPEATABLE: &str = "rampthread-repeatable";

/// Writes `hop` into the headers of a request sent at `now`. `life` identifies the sender's
/// process start.
pub fn write(hop: &Hop, dialect: &CallDialect, life: u32, now: Moment, to: &mut HeaderMap) {
    let since_start = now.since(Moment::default());
    let sent = SentAt { life, since_start };
    forward::set_own(to, headers::SENT_AT, &sent.to_string());
    write_id(hop, dialect, to);
    // The caller's own deadline is replaced by the remaining time.
    to.remove(&dialect.deadline_ms);
    let remaining = hop.deadline.since(now).as_millis();
    forward::set_own(to, headers::DEADLINE_MS, &remaining.to_string());
    forward::set_own(to, headers::CALLER, &hop.caller);
    forward::set_own(to, headers::ROUTE, hop.route.as_str());
    forward::set_own(to, headers::BACKEND, hop.backend.as_str());
    forward::set_own(to, headers::WAITING, &hop.waiting.to_string());
    if let Some(tenant) = &hop.tenant {
        forward::set_own(to, headers::TENANT, tenant.as_str());
    }
    if hop.rank != default_priority() {
        forward::set_own(to, headers::RANK, &hop.rank.to_string());
    }
    if hop.precedence == Precedence::Retry {
        forward::set_own(to, headers::PRECEDENCE, hop.precedence.as_str());
    }
    if hop.repeatable {
        forward::set_own(to, REPEATABLE, "true");
    }
}

fn write_id(hop: &Hop, dialect: &CallDialect, to: &mut HeaderMap) {
    let number = hop.call_id.rsplit_once(TRY_SEPARATOR);
    match (&dialect.request_id, number) {
        (Some(header), Some((id, number))) => {
            forward::set_named(to, header, id);
            forward::set_own(to, TRY, number);
        }
        _ => {
            forward::set_own(to, headers::CALL_ID, &hop.call_id);
            forward::set_own(to, headers::HOPS, &hop.hops.to_string());
        }
    }
}

/// Call id of the attempt that a request belongs to; `None` if the request is not a hop.
pub fn call_id(from: &HeaderMap, dialect: &CallDialect) -> Option<String> {
    if let Some(id) = forward::text(from, headers::CALL_ID) {
        return Some(id.to_string());
    }
    let id = forward::text(from, dialect.request_id.as_ref()?.as_str())?;
    let number: u32 = forward::number(from, TRY)?;
    Some(format!("{id}{TRY_SEPARATOR}{number}"))
}

/// When the hop was sent, by the sender's clock; `None` from older nodes.
pub fn sent_at(from: &HeaderMap) -> Option<SentAt> {
    SentAt::parse(forward::text(from, headers::SENT_AT)?)
}

/// Decodes the hop `call_id`, sent at `sent` by the clock of this process. Returns the reason
/// if a header is missing or malformed.
pub fn read(call_id: String, from: &HeaderMap, sent: Moment) -> Result<Hop, String> {
    let name = |header: &str| {
        let text = forward::text(from, header).ok_or_else(|| format!("{header} is missing"))?;
        ResourceName::new(text).map_err(|error| error.to_string())
    };
    let deadline = headers::parse_deadline(forward::text(from, headers::DEADLINE_MS))
        .map_err(|error| error.to_string())?
        .ok_or_else(|| format!("{} is missing", headers::DEADLINE_MS))?;
    Ok(Hop {
        call_id,
        caller: forward::text(from, headers::CALLER)
            .unwrap_or_default()
            .to_string(),
        route: name(headers::ROUTE)?,
        backend: name(headers::BACKEND)?,
        deadline: sent + deadline,
        repeatable: forward::text(from, REPEATABLE) == Some("true"),
        tenant: match forward::text(from, headers::TENANT) {
            Some(_) => Some(name(headers::TENANT)?),
            None => None,
        },
        rank: forward::number(from, headers::RANK).unwrap_or(default_priority()),
        precedence: Precedence::parse(forward::text(from, headers::PRECEDENCE)),
        waiting: Waiting::parse(forward::text(from, headers::WAITING)),
        hops: forward::number(from, headers::HOPS).unwrap_or(headers::MAX_HOPS),
    })
}
