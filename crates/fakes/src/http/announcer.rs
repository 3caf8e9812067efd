use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::CONTENT_TYPE;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::json;
use tokio::time::{MissedTickBehavior, interval, timeout};

use crate::http::Fault;
use crate::http::server_handle::{FakeEndpoint, ServerHandle};

const ANNOUNCEMENT_INTERVAL_MS: u64 = 1000;
const ANNOUNCEMENT_TIMEOUT_MS: u64 = 800;

/// Identity of an endpoint and the instances that it announces itself to.
#[derive(Debug, Clone, Default)]
pub struct AnnouncementSettings {
    /// Data centre of the endpoint.
    pub data_centre: String,
    /// Number that grows with each start of the endpoint.
    pub incarnation: u64,
    /// Addresses of instances, tried in turn until one accepts the announcement.
    pub instances: Vec<SocketAddr>,
    /// Name of the endpoint.
    pub name: String,
    /// Region of the endpoint.
    pub region: String,
}

/// Sends an announcement each second, starting with the instance that accepted the last one.
pub(crate) async fn announce_periodically<E: FakeEndpoint>(
    settings: AnnouncementSettings,
    handle: ServerHandle,
    endpoint: Arc<E>,
) {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let mut ticks = interval(Duration::from_millis(ANNOUNCEMENT_INTERVAL_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut first = 0;
    for sequence in 1.. {
        ticks.tick().await;
        if handle.faults().current() == Some(Fault::Silence) {
            continue;
        }
        let body = announcement_body(&settings, &handle, endpoint.as_ref(), sequence);
        for offset in 0..settings.instances.len() {
            let position = (first + offset) % settings.instances.len();
            let instance = settings.instances[position];
            if post_announcement(&client, instance, &settings.name, body.clone()).await {
                first = position;
                break;
            }
        }
    }
}

fn announcement_body<E: FakeEndpoint>(
    settings: &AnnouncementSettings,
    handle: &ServerHandle,
    endpoint: &E,
    sequence: u64,
) -> Bytes {
    let (state, reclaim_in_ms) = match handle.faults().current() {
        Some(Fault::Leaving(reclaim_in_ms)) => ("leaving", reclaim_in_ms),
        _ => ("ready", None),
    };
    let body = json!({
        "address": handle.address(),
        "cache": endpoint.cache_update(),
        "data_centre": settings.data_centre,
        "incarnation": settings.incarnation,
        "offer": endpoint.offer(),
        "reclaim_in_ms": reclaim_in_ms,
        "region": settings.region,
        "report": endpoint.load_report(),
        "sequence": sequence,
        "state": state,
    });
    Bytes::from(body.to_string())
}

/// Returns whether the instance accepted the announcement in time.
async fn post_announcement(
    client: &Client<HttpConnector, Full<Bytes>>,
    instance: SocketAddr,
    name: &str,
    body: Bytes,
) -> bool {
    let request = Request::post(format!(
        "http://{instance}/v1/endpoints/{name}/announcements"
    ))
    .header(CONTENT_TYPE, "application/json")
    .body(Full::new(body))
    .expect("endpoint names are valid in a path");
    let response = timeout(
        Duration::from_millis(ANNOUNCEMENT_TIMEOUT_MS),
        client.request(request),
    );
    matches!(response.await, Ok(Ok(response)) if response.status().is_success())
}
