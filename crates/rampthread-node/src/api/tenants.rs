//! API handler for tenants with a rate limit: their limits and request rates as known to
//! this node.

use super::ApiState;
use super::changes::json;
use super::views::TenantView;
use tide::{Request, Response, StatusCode};

/// Handles `GET /v1/tenants`: tenants with a limit that currently send requests.
pub async fn list(request: Request<ApiState>) -> tide::Result<Response> {
    let views = request.state().limits.snapshots();
    let views: Vec<TenantView> = views.into_iter().map(TenantView::from).collect();
    Ok(json(StatusCode::Ok, &views))
}
