//! Limits on what callers may use, and planned stops.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use entry::dependencies::PermitEnd;
use tokio::time::timeout;

use support::{
    EntryBuilder, FakeEndpoint, ReceivedRequest, ServerConnection, TestClient, end_event,
    generation_id, token_event,
};

/// Size of a body that no socket buffer holds.
const LARGE_BYTES: usize = 24 << 20;

async fn endless(seen: ReceivedRequest, mut wire: ServerConnection) {
    if seen.method() == "DELETE" {
        return wire.respond("204 No Content", "", "").await;
    }
    let generation = generation_id(&seen);
    wire.start_event_stream().await;
    let text = "x".repeat(1_000);
    let is_short = seen.body.contains("short");
    for index in 0..if is_short { 10 } else { u32::MAX } {
        let line = token_event(&generation, index, &text);
        let chunk = format!("{:x}\r\n{line}\r\n", line.len());
        if tokio::io::AsyncWriteExt::write_all(&mut wire.0, chunk.as_bytes())
            .await
            .is_err()
        {
            return;
        }
    }
    wire.send_chunk(&end_event(&generation, 10)).await;
    wire.end_body().await;
}

#[tokio::test]
async fn a_large_body_or_head_is_refused() {
    let (entry, _) = EntryBuilder::new(&[])
        .limits(|limits| limits.body_bytes_max = 1_000)
        .bind()
        .await;
    let line = "POST /v1/completions";
    let answer = TestClient::request(entry.address(), line, "", &"x".repeat(1_001)).await;
    assert_eq!((answer.status(), answer.outcome()), (413, Some("not-run")));

    let headers = format!("x-large: {}\r\n", "x".repeat(20_000));
    let answer = TestClient::request(entry.address(), line, &headers, "").await;
    assert_eq!(answer.status(), 431);

    let headers = "x-many: 1\r\n".repeat(100);
    let answer = TestClient::request(entry.address(), line, &headers, "").await;
    assert_eq!(answer.status(), 431);
}

#[tokio::test]
async fn a_body_without_a_length_is_bounded_too() {
    let (entry, _) = EntryBuilder::new(&[])
        .limits(|limits| limits.body_bytes_max = 1_000)
        .bind()
        .await;
    let mut caller = TestClient::connect(entry.address()).await;
    let chunk = format!("5dc\r\n{}\r\n", "x".repeat(1_500));
    caller
        .send_raw(&format!(
            "POST /v1/completions HTTP/1.1\r\nhost: e\r\nauthorization: Bearer key-a\r\n\
             transfer-encoding: chunked\r\n\r\n{chunk}"
        ))
        .await;
    assert_eq!(caller.read_response().await.status(), 413);
}

#[tokio::test]
async fn a_caller_who_sends_nothing_more_is_cut_off() {
    let (entry, _) = EntryBuilder::new(&[])
        .limits(|limits| limits.client_idle_timeout_ms = 80)
        .bind()
        .await;
    let mut caller = TestClient::connect(entry.address()).await;
    caller
        .send_raw(
            "POST /v1/completions HTTP/1.1\r\nhost: e\r\nauthorization: Bearer key-a\r\n\
             content-length: 9\r\n\r\n{",
        )
        .await;
    assert_eq!(caller.read_response().await.status(), 408);
    let mut caller = TestClient::connect(entry.address()).await;
    caller.send_raw("POST /v1/completions HT").await;
    caller.read_until("never").await;
}

#[tokio::test]
async fn a_caller_who_does_not_read_is_cut_off_and_delays_nobody() {
    let mut engine = FakeEndpoint::bind(|seen, wire| Box::pin(endless(seen, wire))).await;
    let (entry, neighbours) = EntryBuilder::new(&[engine.address])
        .limits(|limits| limits.client_idle_timeout_ms = 300)
        .bind()
        .await;
    let mut slow = TestClient::connect(entry.address()).await;
    let body = r#"{"model":"forge","prompt":"p","stream":true}"#;
    slow.send("POST /v1/completions", "", body).await;
    engine.wait_for_requests("POST", 1).await;
    for _ in 0..5 {
        let body = r#"{"model":"forge","prompt":"short","stream":true}"#;
        let answer = TestClient::request(entry.address(), "POST /v1/completions", "", body).await;
        assert_eq!(answer.text().len(), 10_000);
        assert_eq!(entry.running_requests(), 1);
    }
    engine.wait_for_requests("DELETE", 1).await;
    let ends = neighbours.finished_permits.lock().unwrap().clone();
    assert_eq!(ends.last().unwrap().1, PermitEnd::Cancelled);
}

#[tokio::test]
async fn a_line_of_an_engine_is_bounded() {
    let engine = FakeEndpoint::bind(|_, mut wire| {
        Box::pin(async move {
            wire.start_event_stream().await;
            for _ in 0..100 {
                wire.send_chunk(&"x".repeat(4_000)).await;
            }
        })
    })
    .await;
    let (entry, neighbours) = EntryBuilder::new(&[engine.address]).bind().await;
    let answer = TestClient::request_completion(entry.address(), true).await;
    assert_eq!(answer.status(), 502);
    assert!(neighbours.dropped_connections.load(Ordering::SeqCst) > 0);
}

#[tokio::test]
async fn a_full_entry_refuses_as_not_run() {
    let mut engine = FakeEndpoint::bind(|seen, wire| Box::pin(endless(seen, wire))).await;
    let (entry, _) = EntryBuilder::new(&[engine.address])
        .limits(|limits| limits.requests_max = 1)
        .bind()
        .await;
    let mut first = TestClient::connect(entry.address()).await;
    let body = r#"{"model":"forge","prompt":"p","stream":true}"#;
    first.send("POST /v1/completions", "", body).await;
    engine.wait_for_requests("POST", 1).await;
    let answer = TestClient::request_completion(entry.address(), true).await;
    assert_eq!((answer.status(), answer.outcome()), (503, Some("not-run")));
    assert!(answer.header("retry-after").is_some());
}

#[tokio::test]
async fn a_drain_refuses_new_work_and_lets_running_requests_end() {
    let mut engine = FakeEndpoint::bind(|seen, mut wire| {
        Box::pin(async move {
            let generation = generation_id(&seen);
            wire.start_event_stream().await;
            for index in 0..10 {
                wire.send_chunk(&token_event(&generation, index, "t")).await;
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            wire.send_chunk(&end_event(&generation, 10)).await;
            wire.end_body().await;
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
    let answer = running.await.unwrap();
    assert_eq!(answer.text(), "t".repeat(10));
    assert!(answer.is_complete);
    assert_eq!(entry.running_requests(), 0);
}

#[tokio::test]
async fn a_drain_waits_until_callers_have_their_last_bytes() {
    let body = "x".repeat(LARGE_BYTES);
    let endpoint = FakeEndpoint::bind(move |_, mut wire| {
        let body = body.clone();
        Box::pin(async move { wire.respond("200 OK", "", &body).await })
    })
    .await;
    let (entry, _) = EntryBuilder::new(&[endpoint.address])
        .limits(|limits| limits.stored_bytes_max = 2 * LARGE_BYTES)
        .bind()
        .await;
    let line = "POST /services/booking/t";
    let key = "idempotency-key: k\r\n";
    TestClient::request(entry.address(), line, key, "").await;
    let mut caller = TestClient::connect(entry.address()).await;
    caller.send(line, key, "").await;
    caller.read_until("HTTP/1.1 200").await;
    let mut drain = Box::pin(entry.drain());
    let early = timeout(Duration::from_millis(150), drain.as_mut()).await;
    assert!(
        early.is_err(),
        "the drain ended while a caller lacked bytes"
    );
    let left = caller.read_to_end().await;
    assert!(left > LARGE_BYTES / 2);
    drain.await;
}

#[tokio::test]
async fn a_deadline_ends_a_stream_with_an_error_event() {
    let engine = FakeEndpoint::bind(|seen, mut wire| {
        Box::pin(async move {
            if seen.method() == "DELETE" {
                return wire.respond("204 No Content", "", "").await;
            }
            wire.start_event_stream().await;
            wire.send_chunk(&token_event(&generation_id(&seen), 0, "t"))
                .await;
            wire.wait_until_closed().await;
        })
    })
    .await;
    let (entry, _) = EntryBuilder::new(&[engine.address]).bind().await;
    let headers = "gentiancleat-timeout-ms: 100\r\n";
    let body = r#"{"model":"forge","prompt":"p","stream":true}"#;
    let answer = TestClient::request(entry.address(), "POST /v1/completions", headers, body).await;
    assert!(answer.is_complete);
    assert!(answer.body.contains("event: error"));
    assert!(answer.body.contains("\"type\":\"deadline\""));
}
