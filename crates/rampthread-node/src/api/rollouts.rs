//! Roll-outs as this node knows them.

use super::ApiState;
use super::changes::json;
use super::views::RolloutView;
use tide::{Request, Response, StatusCode};

/// All roll-outs.
pub async fn list(request: Request<ApiState>) -> tide::Result {
    let states = request.state().control.rollouts();
    let views: Vec<RolloutView> = states.iter().map(RolloutView::from).collect();
    Ok(json(StatusCode::Ok, &views))
}

/// The roll-out of one service.
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
