//! Encodes and decodes requests for rate limit tokens and their grants.

use crate::control_capnp as schema;
use crate::decode::{DecodeError, check_length};
use rampthread_core::fleet::{
    GrantedTokens, RefillTransfer, TenantHash, TokenDemand, TokenGrant, TokenRequest,
};
use std::time::Duration;

type RequestWriter<'a> = schema::envelope::message::token_request::Builder<'a>;
type RequestReader<'a> = schema::envelope::message::token_request::Reader<'a>;
type GrantWriter<'a> = schema::envelope::message::token_grant::Builder<'a>;
type GrantReader<'a> = schema::envelope::message::token_grant::Reader<'a>;

pub(crate) fn write_request(mut to: RequestWriter<'_>, request: &TokenRequest) {
    to.set_sequence(request.sequence);
    to.set_refill_nanos(whole_nanos(request.refill.limit_time));
    to.set_refill_period_micros(whole_micros(request.refill.period));
    let mut list = to.init_demands(request.demands.len() as u32);
    for (index, demand) in request.demands.iter().enumerate() {
        let mut to = list.reborrow().get(index as u32);
        to.set_tenant(demand.tenant.0);
        to.set_tokens(demand.tokens);
        to.set_urgent(demand.is_urgent);
    }
}

pub(crate) fn read_request(from: RequestReader<'_>) -> Result<TokenRequest, DecodeError> {
    let list = from.get_demands()?;
    check_length(list.len())?;
    let demands = list.iter().map(|from| TokenDemand {
        tenant: TenantHash(from.get_tenant()),
        tokens: from.get_tokens(),
        is_urgent: from.get_urgent(),
    });
    Ok(TokenRequest {
        sequence: from.get_sequence(),
        refill: RefillTransfer {
            limit_time: Duration::from_nanos(from.get_refill_nanos()),
            period: Duration::from_micros(from.get_refill_period_micros()),
        },
        demands: demands.collect(),
    })
}

pub(crate) fn write_grant(mut to: GrantWriter<'_>, grant: &TokenGrant) {
    to.set_sequence(grant.sequence);
    to.set_filling(grant.is_filling);
    let mut list = to.init_grants(grant.grants.len() as u32);
    for (index, granted) in grant.grants.iter().enumerate() {
        let mut to = list.reborrow().get(index as u32);
        to.set_tenant(granted.tenant.0);
        to.set_tokens(granted.tokens);
        let retry_after = u32::try_from(whole_micros(granted.retry_after));
        to.set_retry_after_micros(retry_after.unwrap_or(u32::MAX));
    }
}

pub(crate) fn read_grant(from: GrantReader<'_>) -> Result<TokenGrant, DecodeError> {
    let list = from.get_grants()?;
    check_length(list.len())?;
    let grants = list.iter().map(|from| GrantedTokens {
        tenant: TenantHash(from.get_tenant()),
        tokens: from.get_tokens(),
        retry_after: Duration::from_micros(from.get_retry_after_micros().into()),
    });
    Ok(TokenGrant {
        sequence: from.get_sequence(),
        is_filling: from.get_filling(),
        grants: grants.collect(),
    })
}

fn whole_nanos(time: Duration) -> u64 {
    time.as_nanos().try_into().unwrap_or(u64::MAX)
}

fn whole_micros(time: Duration) -> u64 {
    time.as_micros().try_into().unwrap_or(u64::MAX)
}
