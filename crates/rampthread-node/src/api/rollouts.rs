//! API handlers for rollouts, as known to this node.

use super::ApiState;
use super::changes::json;
use super::views::RolloutView;
use tide::{Request, Response, StatusCode};

/// Handles `GET /v1/rollouts`: all rollouts.
pub async fn list(request: Request<ApiState>) -> tide::Result {
    let states = request.state().control.rollouts();
    let views: Vec<RolloutView> = states.iter().map(RolloutView::from).collect();
    Ok(json(StatusCode::Ok, &views))
}

/// Handles `GET /v1/rollouts/:service`: the rollout of one service, or 404.
pub async fn show(request: Request<ApiState>) -> tide::Result {
    let service = request.param("service").unwrap_or_default();
    let states = request.state().control.rollouts();
    let state = states
        .iter()
        .find(|state| state.service.as_str() == service);
    Ok(match state {
        Some(state) => json(StatusCode::Ok, &RolloutView::from(state)),
        None => Response::new(StatusCode::NotFound),
    })
}
