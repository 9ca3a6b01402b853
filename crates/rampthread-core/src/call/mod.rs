//! Decisions on calls, in the order in which a call meets them. The *entry* is the node
//! that receives a call from its caller; the *gate* is the node that forwards it to its
//! local backend.
//!
//! | module | decides |
//! |---|---|
//! | [`headers`] | the headers that travel with a call |
//! | [`identity`] | the keyed digest of a request's content |
//! | [`route_table`] | which route a call matches and which service it goes to |
//! | [`tenant_table`] | the tenant of a call |
//! | [`quota`] | whether the tenant may send more |
//! | [`claims`] | whether a repeated request with an idempotency key may run |
//! | [`balance`] | which backend gets the call |
//! | [`zone_spill`] | which part of a zone's calls goes to other zones |
//! | [`demand`] | the slots that callers ask for, and which routes are cheap to spill |
//! | [`demand_trend`] | forecast of a zone's demand from delayed reports |
//! | [`load_average`] | the averaged load of a backend, and whether to report it |
//! | [`acceptance`] | whether another gate is likely to accept the call |
//! | [`admission`] | whether the gate admits, queues or rejects the call |
//! | [`rank_queue`] | which queued call of one rank runs next |
//! | [`arrival`] | what a gate knows of a call that asks for a slot |
//! | [`fair_queue`] | fair queueing among tenants or calling services |
//! | [`backend_speed`] | the speed of a backend, as its gate reports it |
//! | [`speed_meter`] | how a gate measures that speed |
//! | [`backend_load`] | the load that a backend reports itself |
//! | [`path_delay`] | how long a hop was delayed by congested links |
//! | [`service_times`] | how long a call may wait for a slot |
//! | [`body_transfers`] | when a large body may be sent to a gate |
//! | [`fence`] | whether an abandoned call can still start |
//! | [`fence_outcome`] | what the reply to a fence proves |
//! | [`response_check`] | whether a response belongs to the call |
//! | [`cause`] | why there is no response of a backend |
//! | [`dialect`] | header names towards callers and backends |
//! | [`log_rate_limit`] | which log lines about calls are written |
//! | [`attempt_age`] | how long ago the caller made its first attempt |
//! | [`nested_call_detector`] | which routes carry calls that backends make while they serve another |
//! | [`nested_routes`] | the same at an entry, as gates report it |
//! | [`precedence`] | which calls go before others of their rank |
//! | [`attempts`] | whether a retry is safe and within the budget |
//! | [`retry_budget`] | how many retries there are, and who gets them |
//! | [`retry_after`] | when the caller of a shed call should retry |
//! | [`crash_detector`] | which lost responses a crash explains |
//! | [`incarnation_names`] | names for incarnations of a backend whose reports name none |
//! | [`peer_crash_detector`] | the same as [`crash_detector`], for backends of other nodes |
//! | [`recent_responses`] | which requests were answered since a crash |
//! | [`quarantine`] | whether a request under which backends crashed may run |

pub mod acceptance;
pub mod admission;
pub mod arrival;
pub mod attempt_age;
pub mod attempts;
pub mod backend_load;
pub mod backend_speed;
pub mod balance;
pub mod body_transfers;
pub mod cause;
pub mod claims;
pub mod crash_detector;
pub mod demand;
pub mod demand_trend;
pub mod dialect;
pub mod fair_queue;
pub mod fence;
pub mod fence_outcome;
pub mod headers;
pub mod identity;
pub mod incarnation_names;
pub mod load_average;
pub mod log_rate_limit;
pub mod nested_call_detector;
pub mod nested_routes;
pub mod path_delay;
pub mod peer_crash_detector;
pub mod precedence;
pub mod quarantine;
pub mod quota;
pub mod rank_queue;
pub mod recent_responses;
pub mod response_check;
pub mod retry_after;
pub mod retry_budget;
pub mod route_table;
pub mod service_times;
pub mod speed_meter;
pub mod tenant_table;
pub mod zone_spill;
