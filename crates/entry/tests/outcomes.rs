//! Checks each row of the table in `docs/OUTCOMES.md` with endpoints that fail at that point.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use entry::core::{FailurePoint, Outcome, outcome_at};
use support::{EntryBuilder, FakeEndpoint, TestClient};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

/// Size of a request body that does not fit in socket buffers.
const LARGE_BYTES: usize = 24 << 20;

const BOOKING_REQUEST: &str = "POST /services/booking/seats";

/// Returns an address on which nothing listens.
async fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

/// Starts an endpoint that reads at most `bytes_max` bytes of each connection and resets it.
/// Returns its address and the count of bytes read.
async fn start_resetting_endpoint(bytes_max: usize) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let bytes_read = Arc::new(AtomicUsize::new(0));
    let bytes_read_total = Arc::clone(&bytes_read);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut bytes = vec![0; bytes_max];
            if bytes_max > 0 {
                let read = stream.read(&mut bytes).await.unwrap_or(0);
                bytes_read_total.fetch_add(read, Ordering::SeqCst);
            }
            stream.set_zero_linger().unwrap();
        }
    });
    (address, bytes_read)
}

/// Starts an endpoint that reads each request, sends `text` and closes the connection.
async fn start_sending_endpoint(text: &'static str) -> FakeEndpoint {
    FakeEndpoint::bind(move |_, mut connection| {
        Box::pin(async move { connection.send_raw(text).await })
    })
    .await
}

#[test]
fn every_failure_point_has_its_outcome() {
    let outcomes = FailurePoint::ALL.map(outcome_at);
    assert_eq!(
        outcomes,
        [
            Outcome::NotRun,
            Outcome::NotRun,
            Outcome::NotRun,
            Outcome::Unknown,
            Outcome::Unknown,
            Outcome::Unknown,
            Outcome::Ran,
            Outcome::Ran,
        ]
    );
    assert!(
        outcomes.is_sorted(),
        "a later failure point has an outcome that is better for a retry"
    );
}

#[tokio::test]
async fn call_without_an_endpoint_is_not_run() {
    let (entry, _) = EntryBuilder::new(&[]).bind().await;
    let response = TestClient::request(entry.address(), BOOKING_REQUEST, "", "seat").await;
    assert_eq!(response.outcome(), Some("not-run"));
}

#[tokio::test]
async fn call_with_refused_connection_is_not_run_and_retried() {
    let (entry, backend) = EntryBuilder::new(&[unused_address().await]).bind().await;
    let response = TestClient::request(entry.address(), BOOKING_REQUEST, "", "seat").await;
    assert_eq!(response.status(), 503);
    assert_eq!(response.outcome(), Some("not-run"));
    let attempts = backend.permit_requests.lock().unwrap().len();
    assert!(attempts > 1, "an unsent call was not retried");
}

#[tokio::test]
async fn call_on_a_reset_connection_is_not_run_only_if_the_endpoint_read_nothing() {
    let (address, bytes_read) = start_resetting_endpoint(0).await;
    let (entry, _) = EntryBuilder::new(&[address]).bind().await;
    for _ in 0..50 {
        let response = TestClient::request(entry.address(), BOOKING_REQUEST, "", "seat").await;
        assert!(matches!(response.outcome(), Some("not-run" | "unknown")));
    }
    assert_eq!(bytes_read.load(Ordering::SeqCst), 0);
    let (address, bytes_read) = start_resetting_endpoint(1).await;
    let (entry, _) = EntryBuilder::new(&[address]).bind().await;
    for round in 1..=50 {
        let response = TestClient::request(entry.address(), BOOKING_REQUEST, "", "seat").await;
        assert_eq!(response.outcome(), Some("unknown"));
        assert_eq!(
            bytes_read.load(Ordering::SeqCst),
            round,
            "a call was sent again"
        );
    }
}

#[tokio::test]
async fn partly_written_call_is_unknown() {
    let (address, bytes_read) = start_resetting_endpoint(100).await;
    let (entry, _) = EntryBuilder::new(&[address])
        .limits(|limits| limits.body_bytes_max = LARGE_BYTES)
        .bind()
        .await;
    let body = "x".repeat(LARGE_BYTES);
    let response = TestClient::request(entry.address(), BOOKING_REQUEST, "", &body).await;
    assert_eq!(response.outcome(), Some("unknown"));
    assert_eq!(
        bytes_read.load(Ordering::SeqCst),
        100,
        "a call was sent again"
    );
}

#[tokio::test]
async fn written_call_without_a_complete_response_head_is_unknown() {
    for text in ["", "HTTP/1.1 200 OK\r\ncontent-", "not http at all\r\n\r\n"] {
        let endpoint = start_sending_endpoint(text).await;
        let (entry, _) = EntryBuilder::new(&[endpoint.address]).bind().await;
        let response = TestClient::request(entry.address(), BOOKING_REQUEST, "", "seat").await;
        assert_eq!(response.status(), 502, "{text:?}");
        assert_eq!(response.outcome(), Some("unknown"), "{text:?}");
        assert_eq!(endpoint.requests_by_method("POST").len(), 1, "{text:?}");
    }
}

#[tokio::test]
async fn call_with_truncated_response_ran_and_the_client_sees_the_truncation() {
    let endpoint =
        start_sending_endpoint("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n1234").await;
    let (entry, _) = EntryBuilder::new(&[endpoint.address]).bind().await;
    let response = TestClient::request(entry.address(), BOOKING_REQUEST, "", "seat").await;
    assert_eq!(response.outcome(), Some("ran"));
    assert!(!response.is_complete);
    let response = TestClient::request(
        entry.address(),
        BOOKING_REQUEST,
        "idempotency-key: k\r\n",
        "seat",
    )
    .await;
    assert_eq!(response.status(), 502);
    assert_eq!(response.outcome(), Some("ran"));
    assert_eq!(endpoint.requests_by_method("POST").len(), 2);
}

#[tokio::test]
async fn call_with_complete_response_ran() {
    let endpoint = start_sending_endpoint("HTTP/1.1 500 Oh\r\ncontent-length: 2\r\n\r\n42").await;
    let (entry, _) = EntryBuilder::new(&[endpoint.address]).bind().await;
    let response = TestClient::request(entry.address(), BOOKING_REQUEST, "", "seat").await;
    assert_eq!((response.status(), response.outcome()), (500, Some("ran")));
    assert_eq!(response.body, "42");
}

#[tokio::test]
async fn call_that_the_endpoint_reports_as_not_run_is_not_run() {
    let endpoint = start_sending_endpoint(
        "HTTP/1.1 503 No\r\ngentiancleat-outcome: not-run\r\nretry-after: 4\r\n\r\n",
    )
    .await;
    let (entry, _) = EntryBuilder::new(&[endpoint.address]).bind().await;
    let response = TestClient::request(entry.address(), BOOKING_REQUEST, "", "seat").await;
    assert_eq!(
        (response.status(), response.outcome()),
        (503, Some("not-run"))
    );
    assert_eq!(response.header("retry-after"), Some("4"));
    assert_eq!(
        endpoint.requests_by_method("POST").len(),
        1,
        "a call without a key was sent again"
    );
}

#[tokio::test]
async fn sent_call_past_its_deadline_is_unknown() {
    let endpoint = FakeEndpoint::bind(|_, mut connection| {
        Box::pin(async move { connection.wait_until_closed().await })
    })
    .await;
    let (entry, _) = EntryBuilder::new(&[endpoint.address]).bind().await;
    let headers = "gentiancleat-timeout-ms: 60\r\n";
    let response = TestClient::request(entry.address(), BOOKING_REQUEST, headers, "seat").await;
    assert_eq!(
        (response.status(), response.outcome()),
        (504, Some("unknown"))
    );
}

#[tokio::test]
async fn generation_outcomes_follow_the_same_table() {
    let (entry, _) = EntryBuilder::new(&[unused_address().await]).bind().await;
    let response = TestClient::request_completion(entry.address(), true).await;
    assert_eq!(
        (response.status(), response.outcome()),
        (503, Some("not-run"))
    );

    for text in ["", "HTTP/1.1 200 OK\r\ncontent-", "not http at all\r\n\r\n"] {
        let endpoint = start_sending_endpoint(text).await;
        let (entry, _) = EntryBuilder::new(&[endpoint.address]).bind().await;
        let response = TestClient::request_completion(entry.address(), true).await;
        assert_eq!(response.status(), 502, "{text:?}");
        assert_eq!(response.outcome(), Some("unknown"), "{text:?}");
    }

    let endpoint = start_sending_endpoint(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: 500\r\n\r\n: x\n",
    )
    .await;
    let (entry, _) = EntryBuilder::new(&[endpoint.address]).bind().await;
    let response = TestClient::request_completion(entry.address(), true).await;
    assert_eq!((response.status(), response.outcome()), (502, Some("ran")));
}

#[tokio::test]
async fn call_on_a_connection_closed_by_the_endpoint_is_not_sent_again() {
    let connections = Arc::new(AtomicUsize::new(0));
    let connection_count = Arc::clone(&connections);
    let endpoint = FakeEndpoint::bind(move |_, mut connection| {
        let number = connection_count.fetch_add(1, Ordering::SeqCst);
        Box::pin(async move {
            if number > 0 {
                return;
            }
            connection
                .respond("200 OK", "connection: keep-alive\r\n", "first")
                .await;
            tokio::time::sleep(Duration::from_mins(1)).await;
        })
    })
    .await;
    let (entry, _) = EntryBuilder::new(&[endpoint.address]).bind().await;
    let response = TestClient::request(entry.address(), BOOKING_REQUEST, "", "seat").await;
    assert_eq!(response.body, "first");
    for calls in 2..=20 {
        let response = TestClient::request(entry.address(), BOOKING_REQUEST, "", "seat").await;
        assert_eq!(response.outcome(), Some("unknown"));
        assert_eq!(
            endpoint.requests_by_method("POST").len(),
            calls,
            "a call was sent again"
        );
    }
    assert_eq!(
        connections.load(Ordering::SeqCst),
        20,
        "a connection was used twice"
    );
}

#[tokio::test]
async fn late_response_is_not_sent_to_a_later_request() {
    let endpoint = FakeEndpoint::bind(|request, mut connection| {
        Box::pin(async move {
            if request.body.contains("slow") {
                tokio::time::sleep(Duration::from_millis(120)).await;
            }
            connection.respond("200 OK", "", &request.body).await;
        })
    })
    .await;
    let (entry, _) = EntryBuilder::new(&[endpoint.address]).bind().await;
    let mut client = TestClient::connect(entry.address()).await;
    client
        .send(BOOKING_REQUEST, "gentiancleat-timeout-ms: 30\r\n", "slow")
        .await;
    assert_eq!(client.read_response().await.outcome(), Some("unknown"));
    for number in 0..20 {
        let body = format!("own {number}");
        client.send(BOOKING_REQUEST, "", &body).await;
        assert_eq!(client.read_response().await.body, body);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
