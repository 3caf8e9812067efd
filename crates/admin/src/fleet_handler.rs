use hyper::StatusCode;
use serde::Serialize;

use crate::handler::{Handler, Reply, json};
use crate::{EndpointStatus, InstanceStatus};

#[derive(Debug, Serialize)]
struct DrainDocument {
    draining: bool,
}

#[derive(Debug, Serialize)]
struct EndpointsDocument {
    endpoints: Vec<EndpointStatus>,
}

#[derive(Debug, Serialize)]
struct InstancesDocument {
    instances: Vec<InstanceStatus>,
}

pub(crate) async fn drain(handler: &Handler) -> Reply {
    handler.backend.drain().await?;
    Ok(json(
        StatusCode::ACCEPTED,
        &DrainDocument { draining: true },
    ))
}

pub(crate) async fn endpoints(handler: &Handler) -> Reply {
    let endpoints = handler.backend.endpoints().await?;
    Ok(json(StatusCode::OK, &EndpointsDocument { endpoints }))
}

pub(crate) async fn instances(handler: &Handler) -> Reply {
    let instances = handler.backend.instances().await?;
    Ok(json(StatusCode::OK, &InstancesDocument { instances }))
}

pub(crate) async fn status(handler: &Handler) -> Reply {
    let status = handler.backend.status().await?;
    Ok(json(StatusCode::OK, &status))
}
