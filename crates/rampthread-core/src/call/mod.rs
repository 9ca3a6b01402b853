//! Decisions on calls, in the order in which a call meets them.
//!
//! | module | decides |
//! |---|---|
//! | [`headers`] | what travels along with a call |
//! | [`identity`] | what a request asks for, beside its id |
//! | [`route_table`] | which route a call matches and which service it goes to |
//! | [`tenant_table`] | whose call it is |
//! | [`quota`] | whether its tenant may send more |
//! | [`claims`] | whether a repeated request may run at all |
//! | [`balance`] | which back end gets it |
//! | [`zone_spill`] | which zone a call goes to, by what zones say of their load |
//! | [`demand`] | what callers ask for, and which routes' calls are cheap to send away |
//! | [`demand_trend`] | where demand stands now, from words that are old |
//! | [`load_average`] | whether a load is worth telling |
//! | [`acceptance`] | whether another gate is worth asking |
//! | [`admission`] | whether the node beside the back end lets it in |
//! | [`rank_queue`] | which of the waiting calls of one rank goes next |
//! | [`arrival`] | what a gate knows of a call that wants a slot |
//! | [`fair_queue`] | whose turn it is among tenants or calling services |
//! | [`backend_speed`] | how fast a back end works, as the gate beside it has measured it |
//! | [`speed_meter`] | how that is measured |
//! | [`backend_load`] | what a back end says of its own load |
//! | [`path_delay`] | how long a hop stood in full links |
//! | [`service_times`] | how long a call may wait for a slot |
//! | [`body_transfers`] | when a large body may be sent to a gate |
//! | [`fence`] | whether a call that was given up on can still start |
//! | [`fence_outcome`] | what the answer to a fence proves |
//! | [`response_check`] | whether what came back is the back end's answer to the call |
//! | [`cause`] | why there is no answer |
//! | [`dialect`] | how callers and back ends name what a call carries |
//! | [`log_rate_limit`] | which lines about calls are written |
//! | [`attempt_age`] | how long ago the caller made its first attempt |
//! | [`nested_call_detector`] | which calls back ends make in the middle of their own work |
//! | [`nested_routes`] | the same at an entry, as gates have told it |
//! | [`precedence`] | which calls go before others of their rank |
//! | [`attempts`] | whether a second try is safe and affordable |
//! | [`retry_budget`] | how many second tries there are, and who gets them |
//! | [`retry_after`] | when the caller of a shed call should come back |
//! | [`crash_detector`] | which lost answers a crash explains |
//! | [`incarnation_names`] | which start of a back end it was, where reports name none |
//! | [`peer_crash_detector`] | the same, for back ends beside other nodes |
//! | [`recent_responses`] | which requests were answered since a crash |
//! | [`quarantine`] | what becomes of a request under which back ends crash |

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
