//! API handlers for quarantined requests: requests that crashed several backends. Lists
//! them and lifts quarantines.

use super::ApiState;
use super::changes::{bad_input, json};
use super::views::{CrashView, QuarantineView};
use rampthread_core::call::identity::RequestIdentity;
use rampthread_core::call::quarantine::QuarantineState;
use rampthread_core::findings::Findings;
use tide::{Request, Response, StatusCode};

/// Handles `GET /v1/quarantine`: the requests in quarantine or on trial (allowed to run
/// once after their quarantine), as known to this node.
pub async fn list(request: Request<ApiState>) -> tide::Result {
    let control = &request.state().control;
    let (table, now) = (control.crash_table(), control.clock.now());
    let views: Vec<QuarantineView> = table
        .poison_requests()
        .map(|identity| {
            let left = match table.standing(identity, now) {
                QuarantineState::Quarantined { left, .. } => left.as_millis() as u64,
                _ => 0,
            };
            let crashes = table.uncleared_reports(identity, now);
            QuarantineView {
                identity: *identity,
                left_ms: left,
                crashes: crashes.iter().map(CrashView::from).collect(),
            }
        })
        .collect();
    Ok(json(StatusCode::Ok, &views))
}

/// Handles `DELETE` of a quarantine: lifts it at all nodes.
pub async fn lift(request: Request<ApiState>) -> tide::Result {
    let text = request.param("identity").unwrap_or_default();
    let identity = match RequestIdentity::parse(text) {
        Ok(identity) => identity,
        Err(error) => {
            let mut findings = Findings::new();
            findings.push("path: identity", error.to_string(), "32 hexadecimal digits");
            return Ok(bad_input(&findings));
        }
    };
    let control = &request.state().control;
    let now = control.clock.now();
    if control
        .crash_table()
        .uncleared_reports(&identity, now)
        .is_empty()
    {
        return Ok(Response::new(StatusCode::NotFound));
    }
    control.clear_request(&identity, now, "operator");
    Ok(Response::new(StatusCode::NoContent))
}
