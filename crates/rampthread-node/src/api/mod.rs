//! Operator API: resources, status, change events, decisions and metrics over HTTP.
//!
//! `docs/CONFIGURATION.md` is the user guide of the API.

mod changes;
mod quarantine;
mod reads;
mod rollouts;
mod tenants;
mod views;
mod watch;

use crate::calls::tenant_limits::TenantLimits;
use crate::control::Control;
use rampthread_wire::SecretKeeper;
use std::sync::Arc;
pub use views::{
    ChangeView, CrashView, LaggardView, QuarantineView, ResourceView, RolloutView, SpreadView,
    StatusView, TenantView,
};

/// State shared by the API handlers.
#[derive(Clone)]
pub struct ApiState {
    control: Arc<Control>,
    secrets: Option<Arc<SecretKeeper>>,
    limits: Arc<TenantLimits>,
}

/// Creates the API server. `secrets` is `None` in document mode, which rejects changes.
pub fn api(
    control: Arc<Control>,
    secrets: Option<Arc<SecretKeeper>>,
    limits: Arc<TenantLimits>,
) -> tide::Server<ApiState> {
    let mut app = tide::with_state(ApiState {
        control,
        secrets,
        limits,
    });
    app.at("/v1/apply").post(changes::apply);
    app.at("/v1/resources").get(reads::list);
    app.at("/v1/resources/:kind").get(reads::list_kind);
    app.at("/v1/resources/:kind/:name")
        .get(reads::get)
        .put(changes::put)
        .delete(changes::delete);
    app.at("/v1/operations/:id").get(reads::operation);
    app.at("/v1/status").get(reads::status);
    app.at("/v1/explain/:subject").get(reads::explain);
    app.at("/v1/watch").get(tide::sse::endpoint(watch::watch));
    app.at("/v1/tenants").get(tenants::list);
    app.at("/v1/quarantine").get(quarantine::list);
    app.at("/v1/quarantine/:identity").delete(quarantine::lift);
    app.at("/v1/rollouts").get(rollouts::list);
    app.at("/v1/rollouts/:service").get(rollouts::show);
    app.at("/v1/drain").post(changes::drain);
    app.at("/healthz").get(reads::alive);
    app.at("/readyz").get(reads::ready);
    app.at("/metrics").get(reads::metrics);
    app
}
