//! Decisions on calls, in the order in which a call meets them. The *entry node* is the
//! node that receives a call from its caller; the *gate node* is the node that forwards the
//! call to its local backend.
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
//! | [`acceptance`] | whether another gate node is likely to accept the call |
//! | [`admission`] | whether the gate node admits, queues or rejects the call |
//! | [`rank_queue`] | which queued call of one rank runs next |
//! | [`arrival`] | what a gate node knows of a call that asks for a slot |
//! | [`fair_queue`] | fair queueing among tenants or calling services |
//! | [`backend_speed`] | the speed of a backend, as its gate node reports it |
//! | [`speed_meter`] | how a gate node measures the speed of its backend |
//! | [`backend_load`] | the load that a backend reports itself |
//! | [`rate_limit`] | the rate limit that a backend names in its responses |
//! | [`rate_limiter`] | whether that limit allows one more call |
//! | [`backend_signals`] | which backends have named a limit, or said that they leave |
//! | [`path_delay`] | how long a request between nodes was delayed by congested links |
//! | [`service_times`] | how long a call may wait for a slot |
//! | [`body_transfers`] | when a large request body may be sent to a gate node |
//! | [`fence`] | whether an abandoned call can still start |
//! | [`fence_outcome`] | whether an abandoned call may have run, from the reply to its fence |
//! | [`response_check`] | whether a response belongs to the call |
//! | [`cause`] | why there is no response of a backend |
//! | [`dialect`] | header names towards callers and backends |
//! | [`log_rate_limit`] | which log lines about calls are written |
//! | [`attempt_age`] | how long ago the caller made its first attempt |
//! | [`nested_call_detector`] | which routes carry calls that backends make while they serve another |
//! | [`nested_routes`] | which routes carry nested calls, as gate nodes report them to an entry node |
//! | [`precedence`] | which calls go before others of their rank |
//! | [`attempts`] | whether a retry is safe and within the budget |
//! | [`retry_budget`] | how many retries a service may get, and which calls may make them |
//! | [`retry_after`] | when a caller should retry a call that the backend refused to run (shed) |
//! | [`crash_detector`] | which lost responses a crash explains |
//! | [`incarnation_names`] | names for incarnations of a backend that report the same id and no start time |
//! | [`peer_crash_detector`] | which lost responses a crash explains, at backends of other nodes |
//! | [`recent_responses`] | which requests backends have answered lately |
//! | [`quarantine`] | whether a request may run after backends crashed while running it |

pub mod acceptance;
pub mod admission;
pub mod arrival;
pub mod attempt_age;
pub mod attempts;
pub mod backend_load;
pub mod backend_signals;
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
pub mod rate_limit;
pub mod rate_limiter;
pub mod recent_responses;
pub mod response_check;
pub mod retry_after;
pub mod retry_budget;
pub mod route_table;
pub mod service_times;
pub mod speed_meter;
pub mod tenant_table;
pub mod zone_spill;
