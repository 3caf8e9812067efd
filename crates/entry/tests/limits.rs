//! Limits on clients and engines, deadlines, and draining.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use entry::dependencies::PermitEnd;
use tokio::time::timeout;

use support::{
    EntryBuilder, FakeEndpoint, ReceivedRequest, ServerConnection, TestClient, end_event,
    generation_id, token_event,
};

/// Body size that exceeds the socket buffers.
const LARGE_BYTES: usize = 24 << 20;

/// Engine that streams large tokens without end, or ten of them for a prompt `short`.
async fn stream_endlessly(request: ReceivedRequest, mut connection: ServerConnection) {
    if request.method() == "DELETE" {
        return connection.respond("204 No Content", "", "").await;
    }
    let generation = generation_id(&request);
    connection.start_event_stream().await;
    let text = "x".repeat(1_000);
    let is_short = request.body.contains("short");
    for index in 0..if is_short { 10 } else { u32::MAX } {
        let line = token_event(&generation, index, &text);
        let chunk = format!("{:x}\r\n{line}\r\n", line.len());
        if tokio::io::AsyncWriteExt::write_all(&mut connection.0, chunk.as_bytes())
            .await
            .is_err()
        {
            return;
        }
    }
    connection.send_chunk(&end_event(&generation, 10)).await;
    connection.end_body().await;
}

#[tokio::test]
async fn a_body_or_head_above_its_limit_is_refused() {
    let (entry, _) = EntryBuilder::new(&[])
        .limits(|limits| limits.body_bytes_max = 1_000)
        .bind()
        .await;
    let line = "POST /v1/completions";
    let response = TestClient::request(entry.address(), line, "", &"x".repeat(1_001)).await;
    assert_eq!(
        (response.status(), response.outcome()),
        (413, Some("not-run"))
    );

    let headers = format!("x-large: {}\r\n", "x".repeat(20_000));
    let response = TestClient::request(entry.address(), line, &headers, "").await;
    assert_eq!(response.status(), 431);

    let headers = "x-many: 1\r\n".repeat(100);
    let response = TestClient::request(entry.address(), line, &headers, "").await;
    assert_eq!(response.status(), 431);
}

#[tokio::test]
async fn a_chunked_body_above_the_limit_is_refused() {
    let (entry, _) = EntryBuilder::new(&[])
        .limits(|limits| limits.body_bytes_max = 1_000)
        .bind()
        .await;
    let mut client = TestClient::connect(entry.address()).await;
    let chunk = format!("5dc\r\n{}\r\n", "x".repeat(1_500));
    client
        .send_raw(&format!(
            "POST /v1/completions HTTP/1.1\r\nhost: e\r\nauthorization: Bearer key-a\r\n\
             transfer-encoding: chunked\r\n\r\n{chunk}"
        ))
        .await;
    assert_eq!(client.read_response().await.status(), 413);
}

#[tokio::test]
async fn a_client_that_stops_sending_is_timed_out() {
    let (entry, _) = EntryBuilder::new(&[])
        .limits(|limits| limits.client_idle_timeout_ms = 80)
        .bind()
        .await;
    let mut client = TestClient::connect(entry.address()).await;
    client
        .send_raw(
            "POST /v1/completions HTTP/1.1\r\nhost: e\r\nauthorization: Bearer key-a\r\n\
             content-length: 9\r\n\r\n{",
        )
        .await;
    assert_eq!(client.read_response().await.status(), 408);
    let mut client = TestClient::connect(entry.address()).await;
    client.send_raw("POST /v1/completions HT").await;
    client.read_until("never").await;
}

#[tokio::test]
async fn a_client_that_does_not_read_is_disconnected_without_delaying_others() {
    let mut engine =
        FakeEndpoint::bind(|request, connection| Box::pin(stream_endlessly(request, connection)))
            .await;
    let (entry, backend) = EntryBuilder::new(&[engine.address])
        .limits(|limits| limits.client_idle_timeout_ms = 300)
        .bind()
        .await;
    let mut slow = TestClient::connect(entry.address()).await;
    let body = r#"{"model":"forge","prompt":"p","stream":true}"#;
    slow.send("POST /v1/completions", "", body).await;
    engine.wait_for_requests("POST", 1).await;
    for _ in 0..5 {
        let body = r#"{"model":"forge","prompt":"short","stream":true}"#;
        let response = TestClient::request(entry.address(), "POST /v1/completions", "", body).await;
        assert_eq!(response.text().len(), 10_000);
        assert_eq!(entry.running_requests(), 1);
    }
    engine.wait_for_requests("DELETE", 1).await;
    let ends = backend.finished_permits.lock().unwrap().clone();
    assert_eq!(ends.last().unwrap().1, PermitEnd::Cancelled);
}

#[tokio::test]
async fn an_engine_stream_with_a_line_above_the_limit_is_dropped() {
    let engine = FakeEndpoint::bind(|_, mut connection| {
        Box::pin(async move {
            connection.start_event_stream().await;
            for _ in 0..100 {
                connection.send_chunk(&"x".repeat(4_000)).await;
            }
        })
    })
    .await;
    let (entry, backend) = EntryBuilder::new(&[engine.address]).bind().await;
    let response = TestClient::request_completion(entry.address(), true).await;
    assert_eq!(response.status(), 502);
    assert!(backend.dropped_connections.load(Ordering::SeqCst) > 0);
}

#[tokio::test]
async fn a_request_above_the_request_limit_is_refused_as_not_run() {
    let mut engine =
        FakeEndpoint::bind(|request, connection| Box::pin(stream_endlessly(request, connection)))
            .await;
    let (entry, _) = EntryBuilder::new(&[engine.address])
        .limits(|limits| limits.requests_max = 1)
        .bind()
        .await;
    let mut first = TestClient::connect(entry.address()).await;
    let body = r#"{"model":"forge","prompt":"p","stream":true}"#;
    first.send("POST /v1/completions", "", body).await;
    engine.wait_for_requests("POST", 1).await;
    let response = TestClient::request_completion(entry.address(), true).await;
    assert_eq!(
        (response.status(), response.outcome()),
        (503, Some("not-run"))
    );
    assert!(response.header("retry-after").is_some());
}

#[tokio::test]
async fn a_drain_refuses_new_requests_and_completes_running_ones() {
    let mut engine = FakeEndpoint::bind(|request, mut connection| {
        Box::pin(async move {
            let generation = generation_id(&request);
            connection.start_event_stream().await;
            for index in 0..10 {
                connection
                    .send_chunk(&token_event(&generation, index, "t"))
                    .await;
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            connection.send_chunk(&end_event(&generation, 10)).await;
            connection.end_body().await;
        })
    })
    .await;
    let (entry, _) = EntryBuilder::new(&[engine.address]).bind().await;
    let address = entry.address();
    let running = tokio::spawn(async move { TestClient::request_completion(address, true).await });
    engine.wait_for_requests("POST", 1).await;
    entry.begin_drain();
    assert!(!entry.is_ready());
    let refused = TestClient::request_completion(address, true).await;
    assert_eq!(
        (refused.status(), refused.outcome()),
        (503, Some("not-run"))
    );
    assert_eq!(refused.json()["type"], "draining");
    entry.drain().await;
    let response = running.await.unwrap();
    assert_eq!(response.text(), "t".repeat(10));
    assert!(response.is_complete);
    assert_eq!(entry.running_requests(), 0);
}

#[tokio::test]
async fn a_drain_waits_until_clients_have_received_the_last_bytes() {
    let body = "x".repeat(LARGE_BYTES);
    let endpoint = FakeEndpoint::bind(move |_, mut connection| {
        let body = body.clone();
        Box::pin(async move { connection.respond("200 OK", "", &body).await })
    })
    .await;
    let (entry, _) = EntryBuilder::new(&[endpoint.address])
        .limits(|limits| limits.stored_bytes_max = 2 * LARGE_BYTES)
        .bind()
        .await;
    let line = "POST /services/booking/t";
    let key = "idempotency-key: k\r\n";
    TestClient::request(entry.address(), line, key, "").await;
    let mut client = TestClient::connect(entry.address()).await;
    client.send(line, key, "").await;
    client.read_until("HTTP/1.1 200").await;
    let mut drain = Box::pin(entry.drain());
    let early = timeout(Duration::from_millis(150), drain.as_mut()).await;
    assert!(
        early.is_err(),
        "the drain ended before a client had received all bytes"
    );
    let remaining_bytes = client.read_to_end().await;
    assert!(remaining_bytes > LARGE_BYTES / 2);
    drain.await;
}

#[tokio::test]
async fn a_deadline_ends_a_stream_with_an_error_event() {
    let engine = FakeEndpoint::bind(|request, mut connection| {
        Box::pin(async move {
            if request.method() == "DELETE" {
                return connection.respond("204 No Content", "", "").await;
            }
            connection.start_event_stream().await;
            connection
                .send_chunk(&token_event(&generation_id(&request), 0, "t"))
                .await;
            connection.wait_until_closed().await;
        })
    })
    .await;
    let (entry, _) = EntryBuilder::new(&[engine.address]).bind().await;
    let headers = "gentiancleat-timeout-ms: 100\r\n";
    let body = r#"{"model":"forge","prompt":"p","stream":true}"#;
    let response =
        TestClient::request(entry.address(), "POST /v1/completions", headers, body).await;
    assert!(response.is_complete);
    assert!(response.body.contains("event: error"));
    assert!(response.body.contains("\"type\":\"deadline\""));
}
