//! The table of `docs/OUTCOMES.md`, row by row, against endpoints that fail at each point.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use entry::core::{FailurePoint, Outcome, outcome_at};
use support::{EntryBuilder, FakeEndpoint, TestClient};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

/// Size of a body that no socket buffer holds.
const LARGE_BYTES: usize = 24 << 20;

const POST: &str = "POST /services/booking/seats";

/// Address at which nobody listens.
async fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

/// Endpoint that reads at most a number of bytes of each connection and resets it.
async fn resetting(bytes_max: usize) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let read = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&read);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut bytes = vec![0; bytes_max];
            if bytes_max > 0 {
                let read = stream.read(&mut bytes).await.unwrap_or(0);
                counted.fetch_add(read, Ordering::SeqCst);
            }
            stream.set_zero_linger().unwrap();
        }
    });
    (address, read)
}

/// Endpoint that reads each request, sends a text and closes.
async fn sending(text: &'static str) -> FakeEndpoint {
    FakeEndpoint::bind(move |_, mut wire| Box::pin(async move { wire.send_raw(text).await })).await
}

#[test]
fn the_table_is_complete_and_in_order() {
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
        "a later failure must not promise more"
    );
}

#[tokio::test]
async fn without_an_endpoint_a_call_did_not_run() {
    let (entry, _) = EntryBuilder::new(&[]).bind().await;
    let answer = TestClient::request(entry.address(), POST, "", "seat").await;
    assert_eq!(answer.outcome(), Some("not-run"));
}

#[tokio::test]
async fn a_call_that_was_never_connected_did_not_run() {
    let (entry, neighbours) = EntryBuilder::new(&[closed_address().await]).bind().await;
    let answer = TestClient::request(entry.address(), POST, "", "seat").await;
    assert_eq!(answer.status(), 503);
    assert_eq!(answer.outcome(), Some("not-run"));
    let tries = neighbours.permit_requests.lock().unwrap().len();
    assert!(tries > 1, "a call of which no byte left is tried again");
}

#[tokio::test]
async fn not_run_is_said_of_a_reset_connection_only_if_the_endpoint_read_nothing() {
    let (address, read) = resetting(0).await;
    let (entry, _) = EntryBuilder::new(&[address]).bind().await;
    for _ in 0..50 {
        let answer = TestClient::request(entry.address(), POST, "", "seat").await;
        assert!(matches!(answer.outcome(), Some("not-run" | "unknown")));
    }
    assert_eq!(read.load(Ordering::SeqCst), 0);
    let (address, read) = resetting(1).await;
    let (entry, _) = EntryBuilder::new(&[address]).bind().await;
    for round in 1..=50 {
        let answer = TestClient::request(entry.address(), POST, "", "seat").await;
        assert_eq!(answer.outcome(), Some("unknown"));
        assert_eq!(read.load(Ordering::SeqCst), round, "a call was sent again");
    }
}

#[tokio::test]
async fn of_a_partly_written_call_nothing_is_known() {
    let (address, read) = resetting(100).await;
    let (entry, _) = EntryBuilder::new(&[address])
        .limits(|limits| limits.body_bytes_max = LARGE_BYTES)
        .bind()
        .await;
    let body = "x".repeat(LARGE_BYTES);
    let answer = TestClient::request(entry.address(), POST, "", &body).await;
    assert_eq!(answer.outcome(), Some("unknown"));
    assert_eq!(read.load(Ordering::SeqCst), 100, "a call was sent again");
}

#[tokio::test]
async fn of_a_written_call_without_a_whole_head_nothing_is_known() {
    for text in ["", "HTTP/1.1 200 OK\r\ncontent-", "not http at all\r\n\r\n"] {
        let endpoint = sending(text).await;
        let (entry, _) = EntryBuilder::new(&[endpoint.address]).bind().await;
        let answer = TestClient::request(entry.address(), POST, "", "seat").await;
        assert_eq!(answer.status(), 502, "{text:?}");
        assert_eq!(answer.outcome(), Some("unknown"), "{text:?}");
        assert_eq!(endpoint.requests_by_method("POST").len(), 1, "{text:?}");
    }
}

#[tokio::test]
async fn a_call_whose_answer_is_cut_off_ran_and_the_caller_sees_the_cut() {
    let endpoint = sending("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n1234").await;
    let (entry, _) = EntryBuilder::new(&[endpoint.address]).bind().await;
    let answer = TestClient::request(entry.address(), POST, "", "seat").await;
    assert_eq!(answer.outcome(), Some("ran"));
    assert!(!answer.is_complete);
    let answer = TestClient::request(entry.address(), POST, "idempotency-key: k\r\n", "seat").await;
    assert_eq!(answer.status(), 502);
    assert_eq!(answer.outcome(), Some("ran"));
    assert_eq!(endpoint.requests_by_method("POST").len(), 2);
}

#[tokio::test]
async fn a_whole_answer_ran() {
    let endpoint = sending("HTTP/1.1 500 Oh\r\ncontent-length: 2\r\n\r\n42").await;
    let (entry, _) = EntryBuilder::new(&[endpoint.address]).bind().await;
    let answer = TestClient::request(entry.address(), POST, "", "seat").await;
    assert_eq!((answer.status(), answer.outcome()), (500, Some("ran")));
    assert_eq!(answer.body, "42");
}

#[tokio::test]
async fn a_call_that_an_endpoint_says_it_did_not_run_did_not_run() {
    let endpoint =
        sending("HTTP/1.1 503 No\r\ngentiancleat-outcome: not-run\r\nretry-after: 4\r\n\r\n").await;
    let (entry, _) = EntryBuilder::new(&[endpoint.address]).bind().await;
    let answer = TestClient::request(entry.address(), POST, "", "seat").await;
    assert_eq!((answer.status(), answer.outcome()), (503, Some("not-run")));
    assert_eq!(answer.header("retry-after"), Some("4"));
    assert_eq!(
        endpoint.requests_by_method("POST").len(),
        1,
        "sent once without a key"
    );
}

#[tokio::test]
async fn a_call_past_its_deadline_is_unknown_once_it_was_sent() {
    let endpoint =
        FakeEndpoint::bind(|_, mut wire| Box::pin(async move { wire.wait_until_closed().await }))
            .await;
    let (entry, _) = EntryBuilder::new(&[endpoint.address]).bind().await;
    let headers = "gentiancleat-timeout-ms: 60\r\n";
    let answer = TestClient::request(entry.address(), POST, headers, "seat").await;
    assert_eq!((answer.status(), answer.outcome()), (504, Some("unknown")));
}

#[tokio::test]
async fn a_generation_has_the_outcome_of_the_same_table() {
    let (entry, _) = EntryBuilder::new(&[closed_address().await]).bind().await;
    let answer = TestClient::request_completion(entry.address(), true).await;
    assert_eq!((answer.status(), answer.outcome()), (503, Some("not-run")));

    for text in ["", "HTTP/1.1 200 OK\r\ncontent-", "not http at all\r\n\r\n"] {
        let endpoint = sending(text).await;
        let (entry, _) = EntryBuilder::new(&[endpoint.address]).bind().await;
        let answer = TestClient::request_completion(entry.address(), true).await;
        assert_eq!(answer.status(), 502, "{text:?}");
        assert_eq!(answer.outcome(), Some("unknown"), "{text:?}");
    }

    let endpoint = sending(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: 500\r\n\r\n: x\n",
    )
    .await;
    let (entry, _) = EntryBuilder::new(&[endpoint.address]).bind().await;
    let answer = TestClient::request_completion(entry.address(), true).await;
    assert_eq!((answer.status(), answer.outcome()), (502, Some("ran")));
}

#[tokio::test]
async fn no_layer_sends_a_call_again_on_a_connection_that_the_endpoint_closed() {
    let connections = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&connections);
    let endpoint = FakeEndpoint::bind(move |_, mut wire| {
        let number = counted.fetch_add(1, Ordering::SeqCst);
        Box::pin(async move {
            if number > 0 {
                return;
            }
            wire.respond("200 OK", "connection: keep-alive\r\n", "first")
                .await;
            tokio::time::sleep(Duration::from_mins(1)).await;
        })
    })
    .await;
    let (entry, _) = EntryBuilder::new(&[endpoint.address]).bind().await;
    let answer = TestClient::request(entry.address(), POST, "", "seat").await;
    assert_eq!(answer.body, "first");
    for calls in 2..=20 {
        let answer = TestClient::request(entry.address(), POST, "", "seat").await;
        assert_eq!(answer.outcome(), Some("unknown"));
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
async fn an_answer_that_comes_late_reaches_nobody() {
    let endpoint = FakeEndpoint::bind(|seen, mut wire| {
        Box::pin(async move {
            if seen.body.contains("slow") {
                tokio::time::sleep(Duration::from_millis(120)).await;
            }
            wire.respond("200 OK", "", &seen.body).await;
        })
    })
    .await;
    let (entry, _) = EntryBuilder::new(&[endpoint.address]).bind().await;
    let mut caller = TestClient::connect(entry.address()).await;
    caller
        .send(POST, "gentiancleat-timeout-ms: 30\r\n", "slow")
        .await;
    assert_eq!(caller.read_response().await.outcome(), Some("unknown"));
    for number in 0..20 {
        let body = format!("own {number}");
        caller.send(POST, "", &body).await;
        assert_eq!(caller.read_response().await.body, body);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
