//! API handlers that only read: resources, operations, status, decisions, health and
//! metrics.

use super::ApiState;
use super::changes::{bad_input, json};
use super::views::{ChangeView, ResourceView, SpreadView, StatusView};
use rampthread_core::config::{ConfigState, ResourceKey, ResourceKind};
use rampthread_core::findings::Findings;
use rampthread_core::ids::{OperationId, ResourceName};
use serde::Serialize;
use std::sync::Arc;
use tide::{Request, Response, StatusCode};

/// Response of the handlers that list resources.
#[derive(Serialize)]
struct ResourceList {
    version: u64,
    resources: Vec<ResourceView>,
}

/// Configuration that is active on this node.
fn active(request: &Request<ApiState>) -> Arc<ConfigState> {
    request.state().control.active().state.clone()
}

/// Handles `GET /v1/resources`: all resources of the active configuration.
pub async fn list(request: Request<ApiState>) -> tide::Result {
    Ok(resource_list(&request, None))
}

/// Handles `GET /v1/resources/:kind`: all resources of one kind.
pub async fn list_kind(request: Request<ApiState>) -> tide::Result {
    match request.param("kind").ok().and_then(ResourceKind::parse) {
        Some(kind) => Ok(resource_list(&request, Some(kind))),
        None => Ok(Response::new(StatusCode::NotFound)),
    }
}

/// Response with the resources of one kind, or of all kinds, in the active configuration.
fn resource_list(request: &Request<ApiState>, kind: Option<ResourceKind>) -> Response {
    let state = active(request);
    let resources = state
        .resources()
        .filter(|stored| kind.is_none_or(|kind| stored.resource.key().kind == kind))
        .map(ResourceView::new)
        .collect();
    let list = ResourceList {
        version: state.version().0,
        resources,
    };
    json(StatusCode::Ok, &list)
}

/// Handles `GET` of one resource; the response has its generation as `ETag`.
pub async fn get(request: Request<ApiState>) -> tide::Result {
    let kind = request.param("kind").ok().and_then(ResourceKind::parse);
    let name = request
        .param("name")
        .ok()
        .and_then(|name| ResourceName::new(name).ok());
    let (Some(kind), Some(name)) = (kind, name) else {
        return Ok(Response::new(StatusCode::NotFound));
    };
    let state = active(&request);
    let Some(stored) = state.get(&ResourceKey { kind, name }) else {
        return Ok(Response::new(StatusCode::NotFound));
    };
    let mut response = json(StatusCode::Ok, &ResourceView::new(stored));
    response.insert_header("etag", format!("\"{}\"", stored.generation));
    Ok(response)
}

/// Handles `GET /v1/operations/:id`: the outcome of a change.
pub async fn operation(request: Request<ApiState>) -> tide::Result {
    let id = match OperationId::new(request.param("id").unwrap_or_default()) {
        Ok(id) => id,
        Err(error) => {
            let mut findings = Findings::new();
            findings.push("path: id", error.to_string(), "an operation id");
            return Ok(bad_input(&findings));
        }
    };
    let state = request
        .state()
        .control
        .with_agent(|agent| agent.staged().clone());
    match state.operation(&id) {
        Some(recorded) => {
            let view = ChangeView::decided(id, recorded.version, &recorded.outcome);
            Ok(json(StatusCode::Ok, &view))
        }
        None => Ok(json(StatusCode::NotFound, &ChangeView::new(id, "unknown"))),
    }
}

/// Handles `GET /v1/status`: this node, the propagation of the newest version, and the
/// known members.
pub async fn status(request: Request<ApiState>) -> tide::Result {
    let control = &request.state().control;
    let spread = control.propagation_status().await;
    let view = control.with_agent(|agent| StatusView {
        node: control.id.clone(),
        ready: agent.is_ready(),
        draining: agent.is_draining(),
        floor: agent.floor(),
        version: agent.active().version(),
        store_era: control.store_era(),
        spread: spread.as_ref().map(SpreadView::from),
        members: agent.membership().records().cloned().collect(),
    });
    Ok(json(StatusCode::Ok, &view))
}

/// Handles `GET /v1/explain/:subject`: this node's decisions about a version, a node or a
/// backend.
pub async fn explain(request: Request<ApiState>) -> tide::Result {
    let subject = request.param("subject").unwrap_or_default();
    let entries = request.state().control.decision_log.entries_about(subject);
    Ok(json(StatusCode::Ok, &entries))
}

/// Handles `GET /healthz`: 200 while the process runs.
pub async fn alive(_: Request<ApiState>) -> tide::Result {
    Ok(Response::new(StatusCode::Ok))
}

/// Handles `GET /readyz`: 200 while the node serves calls, else 503 with the reason.
pub async fn ready(request: Request<ApiState>) -> tide::Result {
    let control = &request.state().control;
    if control.is_ready() && !control.is_draining() {
        return Ok(Response::new(StatusCode::Ok));
    }
    let reason = control.with_agent(|agent| match (agent.floor(), agent.is_draining()) {
        (_, true) => "draining",
        (None, _) => "the restart floor is not known yet: no reader and no majority of witnesses",
        (Some(_), _) => "a version waits for its witnesses",
    });
    let mut response = json(
        StatusCode::ServiceUnavailable,
        &serde_json::json!({ "ready": false, "reason": reason }),
    );
    response.insert_header("retry-after", "1");
    Ok(response)
}

/// Handles `GET /metrics`: all metrics in the Prometheus text format.
pub async fn metrics(request: Request<ApiState>) -> tide::Result {
    Ok(Response::builder(StatusCode::Ok)
        .content_type("text/plain; version=1.0.0; charset=utf-8")
        .body(request.state().control.metrics.to_text())
        .build())
}
