//! Calls of plain services through an entry: forwarding, claims and retries.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use entry::dependencies::{PermitEnd, Target};
use support::{EntryBuilder, FakeEndpoint, ReceivedRequest, ServerConnection, TestClient};

const POST_LINE: &str = "POST /services/booking/seats?course=3";

const KEY_HEADER: &str = "idempotency-key: seat-1\r\n";

/// Service that responds 201 with the body of the request.
async fn booking_service() -> FakeEndpoint {
    FakeEndpoint::bind(|request, mut connection| {
        Box::pin(async move {
            let body = format!("booked {}", request.body);
            connection
                .respond(
                    "201 Created",
                    "content-type: text/plain\r\nx-seat: 4\r\n",
                    &body,
                )
                .await;
        })
    })
    .await
}

#[tokio::test]
async fn a_service_receives_method_path_headers_and_body() {
    let endpoint = booking_service().await;
    let (entry, backend) = EntryBuilder::new(&[endpoint.address]).bind().await;
    let line = "PATCH /services/booking/seats/4?course=3%20b";
    let response = TestClient::request(entry.address(), line, "x-tone: low\r\n", "body").await;
    assert_eq!((response.status(), response.outcome()), (201, Some("ran")));
    assert_eq!(response.header("x-seat"), Some("4"));
    assert_eq!(response.body, "booked body");
    let request = endpoint.requests_by_method("PATCH").remove(0);
    let timeout_ms = request.header("gentiancleat-timeout-ms").unwrap();
    assert!(timeout_ms.parse::<u64>().unwrap() <= 30_000);
    assert_eq!(request.path(), "/seats/4?course=3%20b");
    assert_eq!(request.header("x-tone"), Some("low"));
    assert_eq!(request.header("gentiancleat-customer"), Some("centre"));
    assert_eq!(request.header("gentiancleat-call").unwrap().len(), 32);
    let permit_request = backend.permit_requests.lock().unwrap().remove(0);
    assert!(matches!(permit_request.target, Target::Service(name) if name.as_str() == "booking"));
    assert_eq!(
        backend.finished_permits.lock().unwrap()[0].1,
        PermitEnd::Completed
    );
}

#[tokio::test]
async fn bearer_keys_hop_by_hop_headers_and_reserved_headers_are_not_forwarded() {
    let endpoint = booking_service().await;
    let (entry, _) = EntryBuilder::new(&[endpoint.address]).bind().await;
    let headers = "connection: x-hop, keep-alive\r\nx-hop: 1\r\nkeep-alive: 5\r\nte: trailers\r\n\
                   gentiancleat-call: forged\r\ngentiancleat-customer: forged\r\n\
                   gentiancleat-outcome: forged\r\nupgrade: h2c\r\nidempotency-key: k\r\n";
    TestClient::request(entry.address(), "GET /services/booking/t", headers, "").await;
    let request = endpoint.requests_by_method("GET").remove(0);
    for name in [
        "authorization",
        "x-hop",
        "keep-alive",
        "te",
        "upgrade",
        "gentiancleat-outcome",
    ] {
        assert_eq!(request.header(name), None, "{name}");
    }
    assert!(!request.head.contains("forged"));
    assert_eq!(request.header("idempotency-key"), Some("k"));
}

#[tokio::test]
async fn responses_without_a_body_are_relayed_and_keep_the_connection_open() {
    let endpoint = FakeEndpoint::bind(|request, mut connection| {
        Box::pin(async move {
            match request.method() {
                "HEAD" => {
                    connection
                        .send_raw("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n")
                        .await;
                }
                _ => connection.send_raw("HTTP/1.1 204 No Content\r\n\r\n").await,
            }
        })
    })
    .await;
    let (entry, _) = EntryBuilder::new(&[endpoint.address]).bind().await;
    let mut client = TestClient::connect(entry.address()).await;
    for (method, status) in [("HEAD", "200"), ("DELETE", "204"), ("HEAD", "200")] {
        let line = format!("{method} /services/booking/t");
        client.send(&line, "", "").await;
        let head = client.read_until("\r\n\r\n").await;
        assert!(head.starts_with(&format!("HTTP/1.1 {status}")), "{head}");
        assert!(head.ends_with("\r\n\r\n"), "{head}");
    }
}

#[tokio::test]
async fn a_request_with_conflicting_body_lengths_is_refused() {
    let endpoint = booking_service().await;
    let (entry, _) = EntryBuilder::new(&[endpoint.address]).bind().await;
    for headers in [
        "content-length: 5\r\ncontent-length: 6\r\n",
        "transfer-encoding: chunked, identity\r\n",
    ] {
        let mut client = TestClient::connect(entry.address()).await;
        client
            .send_raw(&format!(
                "POST /services/booking/t HTTP/1.1\r\nhost: e\r\n\
                 authorization: Bearer key-a\r\n{headers}\r\nGET /smuggled HTTP/1.1\r\n\r\n"
            ))
            .await;
        assert_eq!(client.read_response().await.status(), 400, "{headers}");
    }
    assert!(endpoint.requests.lock().unwrap().is_empty());
}

#[tokio::test]
async fn a_retry_with_the_same_key_gets_the_stored_response() {
    let endpoint = booking_service().await;
    let (entry, _) = EntryBuilder::new(&[endpoint.address]).bind().await;
    let first = TestClient::request(entry.address(), POST_LINE, KEY_HEADER, "a").await;
    let second = TestClient::request(entry.address(), POST_LINE, KEY_HEADER, "a").await;
    for response in [first, second] {
        assert_eq!((response.status(), response.outcome()), (201, Some("ran")));
        assert_eq!(response.header("x-seat"), Some("4"));
        assert_eq!(response.body, "booked a");
    }
    assert_eq!(endpoint.requests_by_method("POST").len(), 1);
}

#[tokio::test]
async fn a_key_reused_for_another_request_is_refused() {
    let endpoint = booking_service().await;
    let (entry, _) = EntryBuilder::new(&[endpoint.address]).bind().await;
    TestClient::request(entry.address(), POST_LINE, KEY_HEADER, "a").await;
    for (line, body) in [
        (POST_LINE, "b"),
        ("POST /services/booking/seats?course=4", "a"),
    ] {
        let response = TestClient::request(entry.address(), line, KEY_HEADER, body).await;
        assert_eq!(
            (response.status(), response.outcome()),
            (422, Some("not-run"))
        );
    }
    assert_eq!(endpoint.requests_by_method("POST").len(), 1);
}

#[tokio::test]
async fn a_retry_during_a_call_gets_in_progress_and_a_timed_out_call_is_unknown() {
    let mut endpoint = FakeEndpoint::bind(|_, mut connection| {
        Box::pin(async move {
            connection.wait_until_closed().await;
        })
    })
    .await;
    let (entry, backend) = EntryBuilder::new(&[endpoint.address]).bind().await;
    let address = entry.address();
    let headers = format!("{KEY_HEADER}gentiancleat-timeout-ms: 150\r\n");
    let first =
        tokio::spawn(async move { TestClient::request(address, POST_LINE, &headers, "a").await });
    endpoint.wait_for_requests("POST", 1).await;
    let repeat = TestClient::request(address, POST_LINE, KEY_HEADER, "a").await;
    assert_eq!((repeat.status(), repeat.outcome()), (409, Some("unknown")));
    assert_eq!(repeat.json()["type"], "in-progress");
    assert_eq!(first.await.unwrap().outcome(), Some("unknown"));
    entry.drain().await;
    assert_eq!(backend.unknown_claims.load(Ordering::SeqCst), 1);
    assert_eq!(endpoint.requests_by_method("POST").len(), 1);
}

#[tokio::test]
async fn the_claim_of_a_call_that_did_not_run_is_released() {
    let (entry, backend) = EntryBuilder::new(&[]).bind().await;
    let response = TestClient::request(entry.address(), POST_LINE, KEY_HEADER, "a").await;
    assert_eq!(response.outcome(), Some("not-run"));
    entry.drain().await;
    assert_eq!(backend.released_claims.load(Ordering::SeqCst), 1);
    assert!(backend.claims.lock().unwrap().is_empty());
}

#[tokio::test]
async fn a_claimed_call_completes_and_is_stored_after_its_client_disconnects() {
    let mut endpoint = FakeEndpoint::bind(|_, mut connection| {
        Box::pin(async move {
            tokio::time::sleep(Duration::from_millis(60)).await;
            connection.respond("200 OK", "", "booked").await;
        })
    })
    .await;
    let (entry, backend) = EntryBuilder::new(&[endpoint.address]).bind().await;
    let mut client = TestClient::connect(entry.address()).await;
    client.send(POST_LINE, KEY_HEADER, "a").await;
    endpoint.wait_for_requests("POST", 1).await;
    drop(client);
    entry.drain().await;
    let claims = backend.claims.lock().unwrap();
    let stored = claims[0].1.as_ref().unwrap();
    assert_eq!(stored.body.as_deref(), Some(&b"booked"[..]));
}

#[tokio::test]
async fn a_response_too_large_to_store_is_relayed_whole() {
    let body = "x".repeat(300_000);
    let sent = body.clone();
    let endpoint = FakeEndpoint::bind(move |_, mut connection| {
        let body = sent.clone();
        Box::pin(async move { connection.respond("200 OK", "", &body).await })
    })
    .await;
    let (entry, _) = EntryBuilder::new(&[endpoint.address]).bind().await;
    let response = TestClient::request(entry.address(), POST_LINE, KEY_HEADER, "a").await;
    assert_eq!(response.body.len(), body.len());
    assert!(response.is_complete);
    let repeat = TestClient::request(entry.address(), POST_LINE, KEY_HEADER, "a").await;
    assert_eq!((repeat.status(), repeat.outcome()), (409, Some("ran")));
    assert_eq!(endpoint.requests_by_method("POST").len(), 1);
}

/// Service that closes the connection of its first request without a response.
async fn lose_first_response(
    request: ReceivedRequest,
    mut connection: ServerConnection,
    is_first: bool,
) {
    if !is_first {
        connection.respond("200 OK", "", request.path()).await;
    }
}

#[tokio::test]
async fn a_get_request_whose_response_was_lost_is_retried() {
    let is_first_request = std::sync::atomic::AtomicBool::new(true);
    let endpoint = FakeEndpoint::bind(move |request, connection| {
        let is_first = is_first_request.swap(false, Ordering::SeqCst);
        Box::pin(lose_first_response(request, connection, is_first))
    })
    .await;
    let (entry, backend) = EntryBuilder::new(&[endpoint.address]).bind().await;
    let response = TestClient::request(entry.address(), "GET /services/booking/t", "", "").await;
    assert_eq!((response.status(), response.body.as_str()), (200, "/t"));
    assert_eq!(backend.restarts.load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn a_service_with_a_non_ascii_name_is_found() {
    let endpoint = booking_service().await;
    let (entry, backend) = EntryBuilder::new(&[endpoint.address]).bind().await;
    let line = "GET /services/%D0%BA%D0%BE%D0%B2%D0%B0%D1%87/x";
    let response = TestClient::request(entry.address(), line, "", "").await;
    assert_eq!(response.status(), 201);
    let permit_request = backend.permit_requests.lock().unwrap().remove(0);
    assert!(matches!(permit_request.target, Target::Service(name) if name.as_str() == "ковач"));
    for line in [
        "GET /services/%D0/x",
        "GET /services//x",
        "GET /services/%zz",
    ] {
        assert_eq!(
            TestClient::request(entry.address(), line, "", "")
                .await
                .status(),
            404
        );
    }
}
