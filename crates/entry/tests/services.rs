//! Calls of plain services through an entry.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use entry::dependencies::{PermitEnd, Target};
use support::{EntryBuilder, FakeEndpoint, ReceivedRequest, ServerConnection, TestClient};

const POST: &str = "POST /services/booking/seats?course=3";

const KEY: &str = "idempotency-key: seat-1\r\n";

/// Service that answers with the number of the request.
async fn counting() -> FakeEndpoint {
    FakeEndpoint::bind(|seen, mut wire| {
        Box::pin(async move {
            let body = format!("booked {}", seen.body);
            wire.respond(
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
    let endpoint = counting().await;
    let (entry, neighbours) = EntryBuilder::new(&[endpoint.address]).bind().await;
    let line = "PATCH /services/booking/seats/4?course=3%20b";
    let answer = TestClient::request(entry.address(), line, "x-tone: low\r\n", "body").await;
    assert_eq!((answer.status(), answer.outcome()), (201, Some("ran")));
    assert_eq!(answer.header("x-seat"), Some("4"));
    assert_eq!(answer.body, "booked body");
    let seen = endpoint.requests_by_method("PATCH").remove(0);
    let timeout_ms = seen.header("gentiancleat-timeout-ms").unwrap();
    assert!(timeout_ms.parse::<u64>().unwrap() <= 30_000);
    assert_eq!(seen.path(), "/seats/4?course=3%20b");
    assert_eq!(seen.header("x-tone"), Some("low"));
    assert_eq!(seen.header("gentiancleat-customer"), Some("centre"));
    assert_eq!(seen.header("gentiancleat-call").unwrap().len(), 32);
    let asked = neighbours.permit_requests.lock().unwrap().remove(0);
    assert!(matches!(asked.target, Target::Service(name) if name.as_str() == "booking"));
    assert_eq!(
        neighbours.finished_permits.lock().unwrap()[0].1,
        PermitEnd::Completed
    );
}

#[tokio::test]
async fn keys_connection_headers_and_our_own_headers_are_not_forwarded() {
    let endpoint = counting().await;
    let (entry, _) = EntryBuilder::new(&[endpoint.address]).bind().await;
    let headers = "connection: x-hop, keep-alive\r\nx-hop: 1\r\nkeep-alive: 5\r\nte: trailers\r\n\
                   gentiancleat-call: forged\r\ngentiancleat-customer: forged\r\n\
                   gentiancleat-outcome: forged\r\nupgrade: h2c\r\nidempotency-key: k\r\n";
    TestClient::request(entry.address(), "GET /services/booking/t", headers, "").await;
    let seen = endpoint.requests_by_method("GET").remove(0);
    for name in [
        "authorization",
        "x-hop",
        "keep-alive",
        "te",
        "upgrade",
        "gentiancleat-outcome",
    ] {
        assert_eq!(seen.header(name), None, "{name}");
    }
    assert!(!seen.head.contains("forged"));
    assert_eq!(seen.header("idempotency-key"), Some("k"));
}

#[tokio::test]
async fn answers_without_a_body_pass_and_their_connection_serves_on() {
    let endpoint = FakeEndpoint::bind(|seen, mut wire| {
        Box::pin(async move {
            match seen.method() {
                "HEAD" => {
                    wire.send_raw("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n")
                        .await;
                }
                _ => wire.send_raw("HTTP/1.1 204 No Content\r\n\r\n").await,
            }
        })
    })
    .await;
    let (entry, _) = EntryBuilder::new(&[endpoint.address]).bind().await;
    let mut caller = TestClient::connect(entry.address()).await;
    for (method, status) in [("HEAD", "200"), ("DELETE", "204"), ("HEAD", "200")] {
        let line = format!("{method} /services/booking/t");
        caller.send(&line, "", "").await;
        let head = caller.read_until("\r\n\r\n").await;
        assert!(head.starts_with(&format!("HTTP/1.1 {status}")), "{head}");
        assert!(head.ends_with("\r\n\r\n"), "{head}");
    }
}

#[tokio::test]
async fn a_request_with_two_lengths_is_refused() {
    let endpoint = counting().await;
    let (entry, _) = EntryBuilder::new(&[endpoint.address]).bind().await;
    for headers in [
        "content-length: 5\r\ncontent-length: 6\r\n",
        "transfer-encoding: chunked, identity\r\n",
    ] {
        let mut caller = TestClient::connect(entry.address()).await;
        caller
            .send_raw(&format!(
                "POST /services/booking/t HTTP/1.1\r\nhost: e\r\n\
                 authorization: Bearer key-a\r\n{headers}\r\nGET /smuggled HTTP/1.1\r\n\r\n"
            ))
            .await;
        assert_eq!(caller.read_response().await.status(), 400, "{headers}");
    }
    assert!(endpoint.requests.lock().unwrap().is_empty());
}

#[tokio::test]
async fn a_repeat_with_the_same_key_gets_the_stored_answer() {
    let endpoint = counting().await;
    let (entry, _) = EntryBuilder::new(&[endpoint.address]).bind().await;
    let first = TestClient::request(entry.address(), POST, KEY, "a").await;
    let second = TestClient::request(entry.address(), POST, KEY, "a").await;
    for answer in [first, second] {
        assert_eq!((answer.status(), answer.outcome()), (201, Some("ran")));
        assert_eq!(answer.header("x-seat"), Some("4"));
        assert_eq!(answer.body, "booked a");
    }
    assert_eq!(endpoint.requests_by_method("POST").len(), 1);
}

#[tokio::test]
async fn a_key_with_another_request_is_refused() {
    let endpoint = counting().await;
    let (entry, _) = EntryBuilder::new(&[endpoint.address]).bind().await;
    TestClient::request(entry.address(), POST, KEY, "a").await;
    for (line, body) in [(POST, "b"), ("POST /services/booking/seats?course=4", "a")] {
        let answer = TestClient::request(entry.address(), line, KEY, body).await;
        assert_eq!((answer.status(), answer.outcome()), (422, Some("not-run")));
    }
    assert_eq!(endpoint.requests_by_method("POST").len(), 1);
}

#[tokio::test]
async fn a_repeat_while_the_first_runs_is_told_so_and_one_after_a_loss_gets_unknown() {
    let mut endpoint = FakeEndpoint::bind(|_, mut wire| {
        Box::pin(async move {
            wire.wait_until_closed().await;
        })
    })
    .await;
    let (entry, neighbours) = EntryBuilder::new(&[endpoint.address]).bind().await;
    let address = entry.address();
    let headers = format!("{KEY}gentiancleat-timeout-ms: 150\r\n");
    let first =
        tokio::spawn(async move { TestClient::request(address, POST, &headers, "a").await });
    endpoint.wait_for_requests("POST", 1).await;
    let repeat = TestClient::request(address, POST, KEY, "a").await;
    assert_eq!((repeat.status(), repeat.outcome()), (409, Some("unknown")));
    assert_eq!(repeat.json()["type"], "in-progress");
    assert_eq!(first.await.unwrap().outcome(), Some("unknown"));
    entry.drain().await;
    assert_eq!(neighbours.lost_claims.load(Ordering::SeqCst), 1);
    assert_eq!(endpoint.requests_by_method("POST").len(), 1);
}

#[tokio::test]
async fn a_claim_whose_call_did_not_run_is_given_back() {
    let (entry, neighbours) = EntryBuilder::new(&[]).bind().await;
    let answer = TestClient::request(entry.address(), POST, KEY, "a").await;
    assert_eq!(answer.outcome(), Some("not-run"));
    entry.drain().await;
    assert_eq!(neighbours.released_claims.load(Ordering::SeqCst), 1);
    assert!(neighbours.claims.lock().unwrap().is_empty());
}

#[tokio::test]
async fn a_claimed_call_ends_and_is_stored_when_its_caller_leaves() {
    let mut endpoint = FakeEndpoint::bind(|_, mut wire| {
        Box::pin(async move {
            tokio::time::sleep(Duration::from_millis(60)).await;
            wire.respond("200 OK", "", "booked").await;
        })
    })
    .await;
    let (entry, neighbours) = EntryBuilder::new(&[endpoint.address]).bind().await;
    let mut caller = TestClient::connect(entry.address()).await;
    caller.send(POST, KEY, "a").await;
    endpoint.wait_for_requests("POST", 1).await;
    drop(caller);
    entry.drain().await;
    let claims = neighbours.claims.lock().unwrap();
    let stored = claims[0].1.as_ref().unwrap();
    assert_eq!(stored.body.as_deref(), Some(&b"booked"[..]));
}

#[tokio::test]
async fn an_answer_too_large_to_store_reaches_its_caller_whole() {
    let body = "x".repeat(300_000);
    let sent = body.clone();
    let endpoint = FakeEndpoint::bind(move |_, mut wire| {
        let body = sent.clone();
        Box::pin(async move { wire.respond("200 OK", "", &body).await })
    })
    .await;
    let (entry, _) = EntryBuilder::new(&[endpoint.address]).bind().await;
    let answer = TestClient::request(entry.address(), POST, KEY, "a").await;
    assert_eq!(answer.body.len(), body.len());
    assert!(answer.is_complete);
    let repeat = TestClient::request(entry.address(), POST, KEY, "a").await;
    assert_eq!((repeat.status(), repeat.outcome()), (409, Some("ran")));
    assert_eq!(endpoint.requests_by_method("POST").len(), 1);
}

/// Service that loses its first answer.
async fn forgetful(seen: ReceivedRequest, mut wire: ServerConnection, is_first: bool) {
    if !is_first {
        wire.respond("200 OK", "", seen.path()).await;
    }
}

#[tokio::test]
async fn a_read_whose_answer_was_lost_is_sent_again() {
    let first = std::sync::atomic::AtomicBool::new(true);
    let endpoint = FakeEndpoint::bind(move |seen, wire| {
        let is_first = first.swap(false, Ordering::SeqCst);
        Box::pin(forgetful(seen, wire, is_first))
    })
    .await;
    let (entry, neighbours) = EntryBuilder::new(&[endpoint.address]).bind().await;
    let answer = TestClient::request(entry.address(), "GET /services/booking/t", "", "").await;
    assert_eq!((answer.status(), answer.body.as_str()), (200, "/t"));
    assert_eq!(neighbours.restarts.load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn a_service_with_a_name_outside_ascii_is_found() {
    let endpoint = counting().await;
    let (entry, neighbours) = EntryBuilder::new(&[endpoint.address]).bind().await;
    let line = "GET /services/%D0%BA%D0%BE%D0%B2%D0%B0%D1%87/x";
    let answer = TestClient::request(entry.address(), line, "", "").await;
    assert_eq!(answer.status(), 201);
    let asked = neighbours.permit_requests.lock().unwrap().remove(0);
    assert!(matches!(asked.target, Target::Service(name) if name.as_str() == "ковач"));
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
