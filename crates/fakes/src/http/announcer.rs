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
use tokio::time::{MissedTickBehavior, interval, timeout};
use tokio_util::sync::CancellationToken;

use crate::http::Announcement;

const ANSWER_TIMEOUT_MS: u64 = 800;
const INTERVAL_MS: u64 = 1000;

/// Where an endpoint is and to whom it announces itself.
#[derive(Debug, Clone, Default)]
pub struct Place {
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

/// Writes announcements.
pub(crate) trait Announce: Send + Sync {
    /// The next announcement, without its sequence; none to stay silent.
    fn announcement(&self) -> Option<Announcement>;

    /// Tells whether the last announcement was taken.
    fn announced(&self, taken: bool);
}

/// Announces once a second until `stop`.
pub(crate) async fn run(place: Place, source: Arc<dyn Announce>, stop: CancellationToken) {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let mut ticks = interval(Duration::from_millis(INTERVAL_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut sequence = 0;
    let mut first = 0;
    while stop.run_until_cancelled(ticks.tick()).await.is_some() {
        let Some(mut announcement) = source.announcement() else {
            continue;
        };
        sequence += 1;
        announcement.sequence = sequence;
        let body = serde_json::to_vec(&announcement).expect("announcements are plain data");
        let body = Bytes::from(body);
        let mut taken = false;
        for offset in 0..place.instances.len() {
            let position = (first + offset) % place.instances.len();
            let post = post(
                &client,
                place.instances[position],
                &place.name,
                body.clone(),
            );
            taken = stop.run_until_cancelled(post).await.unwrap_or(false);
            if taken {
                first = position;
                break;
            }
        }
        source.announced(taken);
    }
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
