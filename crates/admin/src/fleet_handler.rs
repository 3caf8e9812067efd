use hyper::StatusCode;
use serde::Serialize;

use crate::handler::{AdminHandler, HandlerResult, json};
use crate::{EndpointStatus, InstanceStatus};

/// Response of `/v1/drain`.
#[derive(Debug, Serialize)]
struct DrainDocument {
    draining: bool,
}

/// Response of `/v1/endpoints`.
#[derive(Debug, Serialize)]
struct EndpointsDocument {
    endpoints: Vec<EndpointStatus>,
}

/// Response of `/v1/instances`.
#[derive(Debug, Serialize)]
struct InstancesDocument {
    instances: Vec<InstanceStatus>,
}

pub(crate) async fn drain(handler: &AdminHandler) -> HandlerResult {
    handler.backend.drain().await?;
    Ok(json(
        StatusCode::ACCEPTED,
        &DrainDocument { draining: true },
    ))
}

pub(crate) async fn endpoints(handler: &AdminHandler) -> HandlerResult {
    let endpoints = handler.backend.endpoints().await?;
    Ok(json(StatusCode::OK, &EndpointsDocument { endpoints }))
}

pub(crate) async fn instances(handler: &AdminHandler) -> HandlerResult {
    let instances = handler.backend.instances().await?;
    Ok(json(StatusCode::OK, &InstancesDocument { instances }))
}

pub(crate) async fn status(handler: &AdminHandler) -> HandlerResult {
    let status = handler.backend.status().await?;
    Ok(json(StatusCode::OK, &status))
}
