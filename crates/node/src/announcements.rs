//! Receives announcements of endpoints by HTTP and forwards them to the owners of their shards.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use names::{EndpointName, percent_decode};
use protocol::{AnnounceAnswer, AnnounceRequest};
use serde::Serialize;
use session::{Announcement, Shard};
use slog::{Logger, debug};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::error::Error;
use crate::published_state::PublishedState;
use crate::shard_router::ShardRouter;

const BODY_BYTES_MAX: usize = 1024 * 1024;
const CONNECTIONS_MAX: usize = 20_000;
const HEADER_TIMEOUT_MS: u64 = 5_000;
const PATH_PREFIX: &str = "/v1/endpoints/";
const PATH_SUFFIX: &str = "/announcements";
const REQUEST_TIMEOUT_MS: u64 = 5_000;

/// HTTP server for announcements.
#[derive(Debug)]
pub(crate) struct AnnouncementServer {
    pub(crate) log: Logger,
    pub(crate) published: Arc<PublishedState>,
    pub(crate) shard_router: Arc<ShardRouter>,
    pub(crate) shards_per_offer: u16,
}

/// Body of the response to an accepted announcement.
#[derive(Serialize)]
struct LeaseBody {
    lease_ms: u64,
}

/// Problem details body (RFC 9457).
#[derive(Serialize)]
struct ProblemBody {
    detail: String,
    status: u16,
    title: &'static str,
    #[serde(rename = "type")]
    type_uri: &'static str,
}

type HttpResponse = Response<Full<Bytes>>;

/// Listens on `address`.
///
/// # Errors
///
/// Fails if the listener cannot be bound.
pub(crate) async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address)
        .await
        .map_err(|source| Error::Listen { address, source })
}

impl AnnouncementServer {
    /// Accepts and serves connections until the task is dropped.
    pub(crate) async fn run(self, listener: TcpListener) {
        let server = Arc::new(self);
        let mut connections = JoinSet::new();
        loop {
            while connections.try_join_next().is_some() {}
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            if connections.len() < CONNECTIONS_MAX {
                connections.spawn(serve_connection(Arc::clone(&server), stream));
            }
        }
    }

    async fn respond(&self, request: Request<Incoming>) -> HttpResponse {
        let request_timeout = Duration::from_millis(REQUEST_TIMEOUT_MS);
        match timeout(request_timeout, self.handle(request)).await {
            Ok(response) => response,
            Err(_) => problem_response(
                StatusCode::REQUEST_TIMEOUT,
                "request took too long",
                format!("the request was not complete within {REQUEST_TIMEOUT_MS} ms"),
            ),
        }
    }

    async fn handle(&self, request: Request<Incoming>) -> HttpResponse {
        let endpoint = match endpoint_name(request.uri().path()) {
            Ok(endpoint) => endpoint,
            Err(response) => return *response,
        };
        if request.method() != Method::POST {
            return problem_response(
                StatusCode::METHOD_NOT_ALLOWED,
                "method not allowed",
                "announcements are sent by POST".to_owned(),
            );
        }
        let body = Limited::new(request.into_body(), BODY_BYTES_MAX);
        let Ok(body) = body.collect().await else {
            return problem_response(
                StatusCode::PAYLOAD_TOO_LARGE,
                "body cannot be read",
                format!("the body is cut off or longer than {BODY_BYTES_MAX} bytes"),
            );
        };
        match serde_json::from_slice(&body.to_bytes()) {
            Ok(announcement) => self.forward(endpoint, announcement).await,
            Err(error) => problem_response(
                StatusCode::BAD_REQUEST,
                "announcement is malformed",
                error.to_string(),
            ),
        }
    }

    async fn forward(&self, endpoint: EndpointName, announcement: Announcement) -> HttpResponse {
        let shard = Shard::of_endpoint(
            &endpoint,
            &announcement.offer.name(),
            &announcement.region,
            self.shards_per_offer,
        );
        let Some(assignment) = self.published.assignment(&shard) else {
            self.published.request_owners(&[shard]);
            return unavailable_response();
        };
        let request = AnnounceRequest {
            announcement,
            endpoint,
            epoch: assignment.epoch,
            shard,
        };
        match self.shard_router.announce(&assignment.owner, request).await {
            Some(AnnounceAnswer::Leased { lease_ms }) => lease_response(lease_ms),
            Some(AnnounceAnswer::Outdated) => problem_response(
                StatusCode::CONFLICT,
                "announcement is outdated",
                "a newer announcement of the endpoint has been taken".to_owned(),
            ),
            Some(AnnounceAnswer::NotOwner) | None => unavailable_response(),
        }
    }
}

async fn serve_connection(server: Arc<AnnouncementServer>, stream: TcpStream) {
    let service = service_fn(|request| {
        let server = Arc::clone(&server);
        async move { Ok::<_, Infallible>(server.respond(request).await) }
    });
    let result = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(HEADER_TIMEOUT_MS))
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = result {
        debug!(server.log, "endpoint connection ended"; "error" => %error);
    }
}

fn endpoint_name(path: &str) -> Result<EndpointName, Box<HttpResponse>> {
    let name = path
        .strip_prefix(PATH_PREFIX)
        .and_then(|rest| rest.strip_suffix(PATH_SUFFIX));
    let Some(name) = name else {
        return Err(Box::new(problem_response(
            StatusCode::NOT_FOUND,
            "path not found",
            format!("announcements go to {PATH_PREFIX}NAME{PATH_SUFFIX}"),
        )));
    };
    let malformed = |detail: String| {
        Box::new(problem_response(
            StatusCode::BAD_REQUEST,
            "endpoint's name is malformed",
            detail,
        ))
    };
    let name = percent_decode(name)
        .ok_or_else(|| malformed("its percent-encoding is broken".to_owned()))?;
    EndpointName::new(&name).map_err(|error| malformed(error.to_string()))
}

fn lease_response(lease_ms: u64) -> HttpResponse {
    json_response(StatusCode::OK, "application/json", &LeaseBody { lease_ms })
}

fn json_response(
    status: StatusCode,
    content_type: &'static str,
    body: &impl Serialize,
) -> HttpResponse {
    let body = serde_json::to_vec(body).expect("responses encode without failure");
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

fn unavailable_response() -> HttpResponse {
    let mut response = problem_response(
        StatusCode::SERVICE_UNAVAILABLE,
        "announcement is not held",
        "the owner of the endpoint does not hold the announcement; repeat it".to_owned(),
    );
    response
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from_static("1"));
    response
}

fn problem_response(status: StatusCode, title: &'static str, detail: String) -> HttpResponse {
    let body = ProblemBody {
        detail,
        status: status.as_u16(),
        title,
        type_uri: "about:blank",
    };
    json_response(status, "application/problem+json", &body)
}
