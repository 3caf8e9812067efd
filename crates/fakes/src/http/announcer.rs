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
use crate::http::handle::{Handler, ServerHandle};

const ANSWER_TIMEOUT_MS: u64 = 800;
const INTERVAL_MS: u64 = 1000;

/// Where an endpoint is and to whom it announces itself.
#[derive(Debug, Clone, Default)]
pub struct AnnouncementSettings {
    /// Its data centre.
    pub data_centre: String,
    /// Grows with each start of the endpoint.
    pub incarnation: u64,
    /// Addresses of instances, tried in turn until one takes the announcement.
    pub instances: Vec<SocketAddr>,
    /// Name under which it announces itself.
    pub name: String,
    /// Its region.
    pub region: String,
}

/// Announces once a second.
pub(crate) async fn run<H: Handler>(
    settings: AnnouncementSettings,
    handle: ServerHandle,
    handler: Arc<H>,
) {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let mut ticks = interval(Duration::from_millis(INTERVAL_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut first = 0;
    for sequence in 1.. {
        ticks.tick().await;
        if handle.faults().current() == Some(Fault::Silence) {
            continue;
        }
        let body = announcement(&settings, &handle, handler.as_ref(), sequence);
        for offset in 0..settings.instances.len() {
            let position = (first + offset) % settings.instances.len();
            let instance = settings.instances[position];
            if post(&client, instance, &settings.name, body.clone()).await {
                first = position;
                break;
            }
        }
    }
}

fn announcement<H: Handler>(
    settings: &AnnouncementSettings,
    handle: &ServerHandle,
    handler: &H,
    sequence: u64,
) -> Bytes {
    let (state, reclaim_in_ms) = match handle.faults().current() {
        Some(Fault::Leaving(reclaim_in_ms)) => ("leaving", reclaim_in_ms),
        _ => ("ready", None),
    };
    let body = json!({
        "address": handle.address(),
        "cache": handler.cache(),
        "data_centre": settings.data_centre,
        "incarnation": settings.incarnation,
        "offer": handler.offer(),
        "reclaim_in_ms": reclaim_in_ms,
        "region": settings.region,
        "report": handler.report(),
        "sequence": sequence,
        "state": state,
    });
    Bytes::from(body.to_string())
}

async fn post(
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
    let answer = timeout(
        Duration::from_millis(ANSWER_TIMEOUT_MS),
        client.request(request),
    );
    matches!(answer.await, Ok(Ok(response)) if response.status().is_success())
}
