//! Binds the resumption of a stream to the service and software version that began it.
//!
//! A client may resume a stream in another request and at another instance, and endpoints do not
//! check what they continue. So each instance reports the origin of a resumable stream to the
//! registries as soon as the request is sent to an endpoint, and looks it up when a client resumes
//! one. A resumption whose origin is unknown is refused unless the service has only one version.

use std::sync::Arc;
use std::time::Duration;

use catalog::Route;
use registry::{BegunStreams, StreamOrigin};
use slog::{info, warn};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

use crate::RequestHead;
use crate::clock::elapsed_ms;
use crate::endpoint::Endpoint;
use crate::gateway_state::GatewayState;
use crate::handler::RoutedRequest;
use crate::outcome::RequestError;

/// Time for which begun streams are batched; their first events come later.
const REPORT_INTERVAL_MS: u64 = 20;

/// Begun streams that wait for a report.
const QUEUED_STREAMS_MAX: usize = 4_096;

/// Delay before an unknown origin is looked up again, as its report may be on its way.
const LOOKUP_RETRY_DELAY_MS: u64 = 50;

/// Time after which a client may retry a resumption that was refused.
const RESUMPTION_RETRY_AFTER_MS: u64 = 500;

/// Stream that an endpoint begins.
#[derive(Debug)]
pub(crate) struct BegunStream {
    origin: StreamOrigin,
    request_id: String,
}

/// Sender of begun streams to [`report_streams`].
#[derive(Debug)]
pub(crate) struct StreamReporter(mpsc::Sender<BegunStream>);

impl StreamReporter {
    pub(crate) fn new() -> (Self, mpsc::Receiver<BegunStream>) {
        let (sender, receiver) = mpsc::channel(QUEUED_STREAMS_MAX);
        (Self(sender), receiver)
    }
}

impl GatewayState {
    /// Reports the endpoint of a stream that a client may resume.
    pub(crate) fn report_stream(&self, request: &RoutedRequest, endpoint: &Endpoint) {
        let is_resumable = is_resumable(&request.route) && request.software_version.is_none();
        let Some(request_id) = request.head.request_id.as_ref().filter(|_| is_resumable) else {
            return;
        };
        let begun = BegunStream {
            origin: StreamOrigin {
                service: endpoint.service.clone(),
                software_version: endpoint.software_version.clone(),
            },
            request_id: request_id.clone(),
        };
        if let Err(error) = self.stream_reporter.0.try_send(begun) {
            warn!(self.log, "stream not reported"; "request" => request_id, "error" => %error);
        }
    }

    /// Origin that a request has to continue; `None` unless it resumes a stream.
    pub(crate) async fn resumed_origin(
        &self,
        head: &RequestHead,
        route: &Route,
        service: &str,
    ) -> Result<Option<StreamOrigin>, RequestError> {
        if head.last_event_id.is_none() || !is_resumable(route) {
            return Ok(None);
        }
        let started_at = Instant::now();
        let found = self.find_origin(head.resumed_request_id.as_deref()).await;
        let origin = found
            .clone()
            .or_else(|| self.fleet.only_origin(service).filter(|_| !is_split(route)))
            .filter(|origin| is_routed(route, origin));
        info!(self.log, "stream resumption received"; "request" => &head.request_id,
            "resumes" => &head.resumed_request_id, "last_event" => head.last_event_id,
            "is_known" => found.is_some(),
            "service" => origin.as_ref().map(|origin| origin.service.clone()),
            "software_version" => origin.as_ref().map(|origin| origin.software_version.clone()),
            "duration_ms" => elapsed_ms(started_at));
        let Some(origin) = origin else {
            return Err(RequestError::not_run(
                "the software version that began the stream is not known",
                RESUMPTION_RETRY_AFTER_MS,
            ));
        };
        if !self.fleet.has_origin(&origin) {
            return Err(RequestError::not_run(
                "no endpoint of the software version that began the stream is left",
                RESUMPTION_RETRY_AFTER_MS,
            ));
        }
        Ok(Some(origin))
    }

    async fn find_origin(&self, resumed_request_id: Option<&str>) -> Option<StreamOrigin> {
        let request_id = resumed_request_id?;
        let found = self.subscription.find_stream_origin(request_id).await;
        if found.is_some() {
            return found;
        }
        sleep(Duration::from_millis(LOOKUP_RETRY_DELAY_MS)).await;
        self.subscription.find_stream_origin(request_id).await
    }
}

/// Reports begun streams in batches; returns when the gateway has stopped.
pub(crate) async fn report_streams(
    gateway: Arc<GatewayState>,
    mut begun_streams: mpsc::Receiver<BegunStream>,
) {
    while let Some(first) = begun_streams.recv().await {
        sleep(Duration::from_millis(REPORT_INTERVAL_MS)).await;
        let mut batch = group_by_origin(first, &mut begun_streams);
        batch.retain(|streams| !streams.request_ids.is_empty());
        gateway.subscription.report_streams(&batch).await;
    }
}

/// Groups the queued streams by origin; the last origin of a request counts.
fn group_by_origin(
    first: BegunStream,
    begun_streams: &mut mpsc::Receiver<BegunStream>,
) -> Vec<BegunStreams> {
    let mut batch: Vec<BegunStreams> = Vec::new();
    let mut next = Some(first);
    while let Some(BegunStream { origin, request_id }) = next {
        for streams in &mut batch {
            streams.request_ids.retain(|known| *known != request_id);
        }
        match batch.binary_search_by(|streams| streams.origin.cmp(&origin)) {
            Ok(at) => batch[at].request_ids.push(request_id),
            Err(at) => {
                let request_ids = vec![request_id];
                batch.insert(
                    at,
                    BegunStreams {
                        origin,
                        request_ids,
                    },
                );
            }
        }
        next = begun_streams.try_recv().ok();
    }
    batch
}

fn is_resumable(route: &Route) -> bool {
    route.retry_class.is_stream() && route.retry_class.is_idempotent()
}

fn is_split(route: &Route) -> bool {
    route
        .services
        .iter()
        .filter(|service| service.weight > 0)
        .count()
        > 1
}

fn is_routed(route: &Route, origin: &StreamOrigin) -> bool {
    route
        .services
        .iter()
        .any(|service| service.weight > 0 && service.service_name == origin.service)
}
