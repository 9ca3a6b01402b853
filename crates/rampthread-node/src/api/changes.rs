//! API handlers that change the configuration (apply, put, delete) or drain the node.

use super::ApiState;
use super::views::ChangeView;
use crate::calls::response::retry_after_seconds;
use crate::settings::{ResourceFile, read_resource_json};
use rampthread_core::config::{
    ChangeSet, MAX_ENTRY_BYTES, Operation, Resource, ResourceKey, ResourceKind, Secret,
};
use rampthread_core::findings::Findings;
use rampthread_core::fleet::ProposalReply;
use rampthread_core::ids::{OperationId, ResourceName, Version};
use rampthread_wire::SecretKeeper;
use std::time::Duration;
use tide::{Request, Response, StatusCode};

/// Header with which an operator names a change, so that a repeated request is applied
/// once.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header with the generation that a resource must have for the change to apply.
const IF_MATCH: &str = "if-match";
/// Location of findings about the request as a whole.
const PLACE: &str = "request";

/// Handles `POST /v1/apply`: applies a file with any number of resources as one atomic
/// change.
pub async fn apply(mut request: Request<ApiState>) -> tide::Result {
    let operation_id = match operation_id(&request) {
        Ok(id) => id,
        Err(findings) => return Ok(bad_input(&findings)),
    };
    let body = match read_body(&mut request).await {
        Ok(body) => body,
        Err(findings) => return Ok(bad_input(&findings)),
    };
    match read_resource_json(PLACE, &body) {
        Ok(file) => {
            let Some(keeper) = &request.state().secrets else {
                return Ok(reject_in_document_mode());
            };
            let operations = put_operations(keeper, file, None);
            propose(&request, operation_id, operations).await
        }
        Err(findings) => Ok(bad_input(&findings)),
    }
}

/// Handles `PUT` of a resource: creates or replaces it.
pub async fn put(mut request: Request<ApiState>) -> tide::Result {
    let checked = (|| {
        Ok::<_, Findings>((
            resource_key(&request)?,
            operation_id(&request)?,
            if_match(&request)?,
        ))
    })();
    let (key, operation_id, generation) = match checked {
        Ok(checked) => checked,
        Err(findings) => return Ok(bad_input(&findings)),
    };
    let file = match read_resource(&mut request, &key).await {
        Ok(file) => file,
        Err(findings) => return Ok(bad_input(&findings)),
    };
    let Some(keeper) = &request.state().secrets else {
        return Ok(reject_in_document_mode());
    };
    let operations = put_operations(keeper, file, generation);
    propose(&request, operation_id, operations).await
}

/// Handles `DELETE` of a resource.
pub async fn delete(request: Request<ApiState>) -> tide::Result {
    let checked = (|| {
        Ok::<_, Findings>((
            resource_key(&request)?,
            operation_id(&request)?,
            if_match(&request)?,
        ))
    })();
    match checked {
        Ok(_) if request.state().secrets.is_none() => Ok(reject_in_document_mode()),
        Ok((key, operation_id, if_generation)) => {
            let operation = Operation::Delete { key, if_generation };
            propose(&request, operation_id, vec![operation]).await
        }
        Err(findings) => Ok(bad_input(&findings)),
    }
}

/// Handles `POST /v1/drain`: the node stops accepting new work for its local backend.
pub async fn drain(request: Request<ApiState>) -> tide::Result {
    request.state().control.drain("operator");
    Ok(Response::new(StatusCode::Accepted))
}

/// Reads the body of the request, limited to the size of a log entry.
async fn read_body(request: &mut Request<ApiState>) -> Result<Vec<u8>, Findings> {
    let mut findings = Findings::new();
    if request.len().is_some_and(|length| length > MAX_ENTRY_BYTES) {
        let allowed = format!("at most {MAX_ENTRY_BYTES} bytes");
        findings.push(PLACE, "a larger body", allowed);
        return Err(findings);
    }
    request.body_bytes().await.map_err(|error| {
        findings.push(PLACE, error.to_string(), "a whole body");
        findings
    })
}

/// Reads one resource from the request body; its kind and name are taken from the path.
async fn read_resource(
    request: &mut Request<ApiState>,
    key: &ResourceKey,
) -> Result<ResourceFile, Findings> {
    let body = read_body(request).await?;
    let mut findings = Findings::new();
    let mut content: serde_json::Value = match serde_json::from_slice(&body) {
        Ok(content) => content,
        Err(error) => {
            findings.push(PLACE, error.to_string(), "JSON");
            return Err(findings);
        }
    };
    if let Some(object) = content.as_object_mut() {
        object.remove("kind");
        object.remove("generation");
        let name = object
            .entry("name")
            .or_insert_with(|| key.name.as_str().into());
        if name.as_str() != Some(key.name.as_str()) {
            findings.push(
                format!("{PLACE}: name"),
                name.to_string(),
                "the name in the path",
            );
        }
    }
    let wrapped = serde_json::json!({ key.kind.as_str(): [content] });
    let file = read_resource_json(PLACE, wrapped.to_string().as_bytes());
    match file {
        Ok(file) => findings.into_result(file),
        Err(more) => {
            findings.append(more);
            Err(findings)
        }
    }
}

/// Response to a change in document mode: the configuration is the operators' document in
/// the platform's store, and changes must be made there.
fn reject_in_document_mode() -> Response {
    let mut findings = Findings::new();
    findings.push(
        PLACE,
        "a change, though the configuration is the operators' document in the store",
        "reads; write the document instead",
    );
    json(
        StatusCode::Conflict,
        &serde_json::json!({ "result": "refused", "findings": findings }),
    )
}

/// Converts the resources of a file to put operations, and seals the values of secrets.
fn put_operations(
    keeper: &SecretKeeper,
    file: ResourceFile,
    if_generation: Option<Version>,
) -> Vec<Operation> {
    let sealed = file.secrets.into_iter().map(|input| {
        Resource::Secret(Secret {
            sealed: keeper.seal(&input.name, &input.value),
            name: input.name,
        })
    });
    sealed
        .chain(file.resources)
        .map(|resource| Operation::Put {
            resource: Box::new(resource),
            if_generation,
        })
        .collect()
}

/// Kind and name of a resource from the path of the request.
fn resource_key(request: &Request<ApiState>) -> Result<ResourceKey, Findings> {
    let mut findings = Findings::new();
    let kind = request.param("kind").ok().and_then(ResourceKind::parse);
    let name = request.param("name").ok().map(ResourceName::new);
    if kind.is_none() {
        findings.push(
            "path: kind",
            "an unknown kind",
            "service, route, secret, backend or tenant",
        );
    }
    if let Some(Err(error)) = &name {
        findings.push("path: name", error.to_string(), "a name");
    }
    match (kind, name) {
        (Some(kind), Some(Ok(name))) => Ok(ResourceKey { kind, name }),
        _ => Err(findings),
    }
}

/// Change id from the `Idempotency-Key` header, or a random one without the header.
fn operation_id(request: &Request<ApiState>) -> Result<OperationId, Findings> {
    let given = request
        .header(IDEMPOTENCY_KEY)
        .map(|values| values.last().as_str());
    let generated = uuid::Uuid::new_v4().simple().to_string();
    OperationId::new(given.unwrap_or(&generated)).map_err(|error| {
        let mut findings = Findings::new();
        findings.push("header Idempotency-Key", error.to_string(), "a name");
        findings
    })
}

/// Parses the generation in the `If-Match` header; 0 requires that the resource does not
/// exist.
fn if_match(request: &Request<ApiState>) -> Result<Option<Version>, Findings> {
    let Some(values) = request.header(IF_MATCH) else {
        return Ok(None);
    };
    let text = values.last().as_str().trim_matches('"').to_string();
    text.parse()
        .map(|number| Some(Version(number)))
        .map_err(|_| {
            let mut findings = Findings::new();
            findings.push(
                "header If-Match",
                format!("{text:?}"),
                "a generation number",
            );
            findings
        })
}

/// Submits the operations as one change set, and waits for the result.
async fn propose(
    request: &Request<ApiState>,
    operation_id: OperationId,
    operations: Vec<Operation>,
) -> tide::Result {
    if operations.is_empty() {
        let mut findings = Findings::new();
        findings.push(PLACE, "no resources", "at least one resource");
        return Ok(bad_input(&findings));
    }
    let change = ChangeSet {
        operation_id,
        operations,
    };
    let result = request.state().control.propose(change).await;
    Ok(change_response(result.operation_id, &result.answer))
}

/// HTTP response to a proposed change; the status shows whether it was accepted.
fn change_response(operation_id: OperationId, answer: &ProposalReply) -> Response {
    match answer {
        ProposalReply::Decided {
            version,
            outcome,
            held_by,
        } => {
            let mut view = ChangeView::decided(operation_id, *version, outcome);
            view.held_by = Some(*held_by);
            let status = match view.result.as_str() {
                "accepted" => StatusCode::Ok,
                "conflict" => StatusCode::Conflict,
                _ => StatusCode::UnprocessableEntity,
            };
            json(status, &view)
        }
        ProposalReply::NotRun { retry_after } => {
            not_run_response(ChangeView::new(operation_id, "not-run"), *retry_after)
        }
        ProposalReply::Unknown | ProposalReply::EpochMismatch => json(
            StatusCode::GatewayTimeout,
            &ChangeView::new(operation_id, "unknown"),
        ),
    }
}

/// Response with status 503 for a change that was not run, with the time after which it may
/// be sent again.
fn not_run_response(mut view: ChangeView, retry_after: Duration) -> Response {
    let seconds = retry_after_seconds(retry_after);
    view.retry_after_seconds = Some(seconds);
    let mut response = json(StatusCode::ServiceUnavailable, &view);
    response.insert_header("retry-after", seconds.to_string());
    response
}

/// Response with status 400 that lists all validation errors of the request.
pub fn bad_input(findings: &Findings) -> Response {
    json(
        StatusCode::BadRequest,
        &serde_json::json!({ "result": "bad-input", "findings": findings }),
    )
}

/// JSON response with the given status.
pub fn json(status: StatusCode, view: &impl serde::Serialize) -> Response {
    let text = serde_json::to_string(view).unwrap_or_default();
    Response::builder(status)
        .content_type("application/json")
        .body(text)
        .build()
}
