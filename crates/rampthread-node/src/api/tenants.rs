//! Tenants with a limit: what they may and do ask for, as this node knows it.

use super::ApiState;
use super::changes::json;
use super::views::TenantView;
use tide::{Request, Response, StatusCode};

/// The tenants with a limit that ask for something.
pub async fn list(request: Request<ApiState>) -> tide::Result<Response> {
    let views = request.state().limits.snapshots();
    let views: Vec<TenantView> = views.into_iter().map(TenantView::from).collect();
    Ok(json(StatusCode::Ok, &views))
}
