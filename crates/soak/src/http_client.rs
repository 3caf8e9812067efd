use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::time::timeout;

const REQUEST_TIMEOUT_MS: u64 = 60_000;

/// HTTP client that authenticates as one customer or operator.
#[derive(Debug, Clone)]
pub struct HttpClient {
    bearer_token: String,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// HTTP response, possibly cut short; its status is 0 if no response arrived.
#[derive(Debug, Clone, Default, Eq, PartialEq)]
pub struct HttpResponse {
    /// Body as text, up to the point where it broke off.
    pub body: String,
    /// Value of the header `etag`, or empty.
    pub entity_tag: String,
    /// Whether the body was received to its end.
    pub is_complete: bool,
    /// Value of the header `gentiancleat-outcome`, or empty.
    pub outcome: String,
    /// HTTP status code.
    pub status: u16,
}

impl HttpResponse {
    /// Whether the status is 2xx and the body is complete.
    #[must_use]
    pub fn is_success(&self) -> bool {
        self.is_complete && (200..300).contains(&self.status)
    }
}

impl HttpClient {
    /// Creates a client that sends `bearer_token` and opens a connection for each request.
    #[must_use]
    pub fn new(bearer_token: &str) -> Self {
        let mut builder = Client::builder(TokioExecutor::new());
        builder
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false);
        Self {
            bearer_token: bearer_token.to_owned(),
            client: builder.build_http(),
        }
    }

    /// Sends a request and returns what was received within a minute.
    ///
    /// # Panics
    ///
    /// Panics if `path` or `headers` are malformed.
    pub async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> HttpResponse {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("authorization", format!("Bearer {}", self.bearer_token));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request
            .body(Full::new(Bytes::from(body.to_owned())))
            .expect("the request is well formed");
        let mut response = HttpResponse::default();
        let request_timeout = Duration::from_millis(REQUEST_TIMEOUT_MS);
        // The part that was received before the timeout is kept.
        let _ = timeout(request_timeout, self.receive(request, &mut response)).await;
        response
    }

    async fn receive(&self, request: Request<Full<Bytes>>, received: &mut HttpResponse) {
        let Ok(response) = self.client.request(request).await else {
            return;
        };
        let header = |name: &str| {
            let value = response.headers().get(name);
            value.map_or(String::new(), |value| {
                String::from_utf8_lossy(value.as_bytes()).into_owned()
            })
        };
        received.entity_tag = header("etag");
        received.outcome = header("gentiancleat-outcome");
        received.status = response.status().as_u16();
        let mut body = response.into_body();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return;
            };
            if let Ok(data) = frame.into_data() {
                received.body.push_str(&String::from_utf8_lossy(&data));
            }
        }
        received.is_complete = true;
    }
}
