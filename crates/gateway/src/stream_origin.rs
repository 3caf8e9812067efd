//! Binds the resumption of a stream to the service and software version that began it.
//!
//! A client may resume a stream in another request and at another instance, and endpoints do not
//! check what they continue. So each instance reports the origin of a resumable stream to the
//! registries, and looks it up when a client resumes one.
//!
//! The report is made when the first event is there: only then it is decided which of the request's
//! attempts the client gets, so a request never has two origins. The event does not wait for the
//! report. If the report is lost with this instance, the origin is unknown. A resumption of unknown
//! origin is refused unless a quorum of the registries confirms that its service has had one version.

use std::sync::Arc;
use std::time::Duration;

use catalog::Route;
use futures::future::{Either, select};
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

/// Shortest time between two reports; streams that begin meanwhile are reported together.
const REPORT_INTERVAL_MS: u64 = 20;

/// Begun streams that wait for a report.
const QUEUED_STREAMS_MAX: usize = 4_096;

/// Delay before an unknown origin is looked up again, as its report may be on its way.
const LOOKUP_RETRY_DELAY_MS: u64 = 50;

/// Time after which a client may retry a resumption that was refused.
const RESUMPTION_RETRY_AFTER_MS: u64 = 500;

/// Stream whose first event an endpoint has sent.
#[derive(Debug)]
pub(crate) struct BegunStream {
    origin: StreamOrigin,
    /// Ids by which a client may resume it.
    request_ids: Vec<String>,
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
    /// Reports the endpoint whose first event a client gets, if the client may resume the stream. A
    /// resumed stream is reported by the id of its first request too.
    pub(crate) fn report_stream(&self, request: &RoutedRequest, endpoint: &Endpoint) {
        if !is_resumable(&request.route) {
            return;
        }
        let head = &request.head;
        let resumed_id = head.resumed_request_id.as_ref();
        let resumed_id = resumed_id.filter(|_| request.software_version.is_some());
        let begun = BegunStream {
            origin: StreamOrigin {
                service: endpoint.service.clone(),
                software_version: endpoint.software_version.clone(),
            },
            request_ids: head.request_id.iter().chain(resumed_id).cloned().collect(),
        };
        if let Err(error) = self.stream_reporter.0.try_send(begun) {
            warn!(self.log, "stream not reported"; "request" => request.id(), "error" => %error);
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
        let known = self.find_origin(head.resumed_request_id.as_deref());
        let only = async {
            if is_split(route) {
                return None;
            }
            self.subscription.find_only_origin(service).await
        };
        let origin = first_found(known, only).await;
        let origin = origin.filter(|origin| is_routed(route, origin));
        info!(self.log, "stream resumption received"; "request" => &head.request_id,
            "resumes" => &head.resumed_request_id, "last_event" => head.last_event_id,
            "is_known" => origin.is_some(),
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

/// Reports begun streams in batches; returns when the gateway has stopped. A report does not wait for
/// the answers to earlier ones.
pub(crate) async fn report_streams(
    gateway: Arc<GatewayState>,
    mut begun_streams: mpsc::Receiver<BegunStream>,
) {
    while let Some(first) = begun_streams.recv().await {
        let batch = group_by_origin(first, &mut begun_streams);
        let gateway = Arc::clone(&gateway);
        tokio::spawn(async move { gateway.subscription.report_streams(&batch).await });
        sleep(Duration::from_millis(REPORT_INTERVAL_MS)).await;
    }
}

/// First of two results that is not `None`.
async fn first_found<T>(
    one: impl Future<Output = Option<T>>,
    other: impl Future<Output = Option<T>>,
) -> Option<T> {
    let (one, other) = (std::pin::pin!(one), std::pin::pin!(other));
    match select(one, other).await {
        Either::Left((None, other)) => other.await,
        Either::Right((None, one)) => one.await,
        Either::Left((found, _)) | Either::Right((found, _)) => found,
    }
}

/// Groups the queued streams by origin.
fn group_by_origin(
    first: BegunStream,
    begun_streams: &mut mpsc::Receiver<BegunStream>,
) -> Vec<BegunStreams> {
    let mut batch: Vec<BegunStreams> = Vec::new();
    let mut next = Some(first);
    while let Some(begun) = next {
        let BegunStream {
            origin,
            mut request_ids,
        } = begun;
        match batch.binary_search_by(|streams| streams.origin.cmp(&origin)) {
            Ok(at) => batch[at].request_ids.append(&mut request_ids),
            Err(at) => {
                let streams = BegunStreams {
                    origin,
                    request_ids,
                };
                batch.insert(at, streams);
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
