//! Headers of a hop, that is, of a request that the entry node sends to the gate node of the
//! selected backend.
//!
//! Traffic between zones is expensive, and the head is a large part of a small call. Values
//! that the gate node can derive are therefore omitted.

use super::gate::{ATTEMPT_SEPARATOR, Hop};
use super::header_filter;
use http::HeaderMap;
use rampthread_core::call::dialect::CallDialect;
use rampthread_core::call::headers::{self, QueueingLimit};
use rampthread_core::call::path_delay::SentAt;
use rampthread_core::call::precedence::Precedence;
use rampthread_core::call::rate_limit::RateLimit;
use rampthread_core::config::default_priority;
use rampthread_core::ids::ResourceName;
use rampthread_core::time::Moment;

/// Header with the attempt number of a hop; sent only where the request id is in the header
/// that the caller has set, without the attempt number.
const ATTEMPT_HEADER: &str = "rampthread-try";
/// Header that says that the call may run more than once; if it is absent, the call may not.
const REPEATABLE_HEADER: &str = "rampthread-repeatable";

/// Writes `hop` into the headers of a request sent at `now`. `process_epoch` identifies the
/// sender's process start.
pub fn write(
    hop: &Hop,
    dialect: &CallDialect,
    process_epoch: u32,
    now: Moment,
    to: &mut HeaderMap,
) {
    let since_start = now.since(Moment::default());
    let sent = SentAt {
        process_epoch,
        since_start,
    };
    header_filter::set_internal(to, headers::SENT_AT, &sent.to_string());
    write_id(hop, dialect, to);
    // The caller's own deadline is replaced by the remaining time.
    to.remove(&dialect.deadline_ms);
    let remaining = hop.deadline.since(now).as_millis();
    header_filter::set_internal(to, headers::DEADLINE_MS, &remaining.to_string());
    header_filter::set_internal(to, headers::CALLER, &hop.caller);
    header_filter::set_internal(to, headers::ROUTE, hop.route.as_str());
    header_filter::set_internal(to, headers::BACKEND, hop.backend.as_str());
    header_filter::set_internal(to, headers::WAITING, &hop.queueing_limit.to_string());
    if let Some(tenant) = &hop.tenant {
        header_filter::set_internal(to, headers::TENANT, tenant.as_str());
    }
    if hop.rank != default_priority() {
        header_filter::set_internal(to, headers::RANK, &hop.rank.to_string());
    }
    if hop.precedence == Precedence::Retry {
        header_filter::set_internal(to, headers::PRECEDENCE, hop.precedence.as_str());
    }
    if hop.repeatable {
        header_filter::set_internal(to, REPEATABLE_HEADER, "true");
    }
    if let Some(limit) = hop.rate_limit {
        header_filter::set_internal(to, headers::RATE_LIMIT, &limit.to_string());
    }
}

/// Writes the call id, in the caller's own header where the dialect names one.
fn write_id(hop: &Hop, dialect: &CallDialect, to: &mut HeaderMap) {
    let number = hop.call_id.rsplit_once(ATTEMPT_SEPARATOR);
    match (&dialect.request_id, number) {
        (Some(header), Some((id, number))) => {
            header_filter::set_header(to, header, id);
            header_filter::set_internal(to, ATTEMPT_HEADER, number);
        }
        _ => {
            header_filter::set_internal(to, headers::CALL_ID, &hop.call_id);
            header_filter::set_internal(to, headers::HOPS, &hop.hops.to_string());
        }
    }
}

/// Call id (request id and attempt number) in the headers of a hop; `None` if the request is
/// not a hop.
pub fn call_id(from: &HeaderMap, dialect: &CallDialect) -> Option<String> {
    if let Some(id) = header_filter::header_str(from, headers::CALL_ID) {
        return Some(id.to_string());
    }
    let id = header_filter::header_str(from, dialect.request_id.as_ref()?.as_str())?;
    let number: u32 = header_filter::parse_header(from, ATTEMPT_HEADER)?;
    Some(format!("{id}{ATTEMPT_SEPARATOR}{number}"))
}

/// When the sender sent the hop, by the sender's clock; `None` from older nodes.
pub fn sent_at(from: &HeaderMap) -> Option<SentAt> {
    SentAt::parse(header_filter::header_str(from, headers::SENT_AT)?)
}

/// Decodes the headers of the hop `call_id`, which was sent at `sent` by the clock of this
/// process. The error names the header that is missing or malformed.
pub fn read(call_id: String, from: &HeaderMap, sent: Moment) -> Result<Hop, String> {
    let name = |header: &str| {
        let text = header_filter::header_str(from, header)
            .ok_or_else(|| format!("{header} is missing"))?;
        ResourceName::new(text).map_err(|error| error.to_string())
    };
    let deadline = headers::parse_deadline(header_filter::header_str(from, headers::DEADLINE_MS))
        .map_err(|error| error.to_string())?
        .ok_or_else(|| format!("{} is missing", headers::DEADLINE_MS))?;
    Ok(Hop {
        call_id,
        caller: header_filter::header_str(from, headers::CALLER)
            .unwrap_or_default()
            .to_string(),
        route: name(headers::ROUTE)?,
        backend: name(headers::BACKEND)?,
        deadline: sent + deadline,
        repeatable: header_filter::header_str(from, REPEATABLE_HEADER) == Some("true"),
        tenant: match header_filter::header_str(from, headers::TENANT) {
            Some(_) => Some(name(headers::TENANT)?),
            None => None,
        },
        rank: header_filter::parse_header(from, headers::RANK).unwrap_or(default_priority()),
        precedence: Precedence::parse(header_filter::header_str(from, headers::PRECEDENCE)),
        queueing_limit: QueueingLimit::parse(header_filter::header_str(from, headers::WAITING)),
        rate_limit: header_filter::header_str(from, headers::RATE_LIMIT)
            .and_then(|limit| RateLimit::parse(limit).ok()),
        hops: header_filter::parse_header(from, headers::HOPS).unwrap_or(headers::MAX_HOPS),
    })
}
