//! HTTP client for the fake servers.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

/// A response as far as it was received.
#[derive(Debug)]
pub struct CapturedResponse {
    pub body: String,
    /// Whether the body was received to its end.
    pub complete: bool,
    pub not_run: bool,
    pub status: StatusCode,
}

/// Sends a request; none if the connection broke before the response headers.
pub async fn send_request(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: &Value,
) -> Option<CapturedResponse> {
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("idempotency-key", "key-1")
        .body(Full::new(Bytes::from(body.to_string())))
        .expect("a valid request");
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let response = client.request(request).await.ok()?;
    let status = response.status();
    let outcome = response.headers().get("gentiancleat-outcome");
    let not_run = outcome.is_some_and(|outcome| outcome == "not-run");
    let mut stream = response.into_body();
    let mut bytes = Vec::new();
    let mut complete = true;
    while let Some(frame) = stream.frame().await {
        match frame {
            Ok(frame) => bytes.extend(frame.into_data().unwrap_or_default()),
            Err(_) => complete = false,
        }
    }
    let body = String::from_utf8(bytes).expect("the fakes write UTF-8");
    Some(CapturedResponse {
        body,
        complete,
        not_run,
        status,
    })
}
