//! Engines that fail, send invalid events or stall during a generation.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use entry::dependencies::PermitEnd;
use support::{
    EntryBuilder, FakeEndpoint, ReceivedRequest, ServerConnection, TestClient, end_event,
    generation_id, respond_to_cancel, resume_index, status_event, stream_five_tokens,
    stream_tokens_from, token_event,
};

/// Fault of the first stream after three of five tokens; a resumed stream has no fault.
#[derive(Debug, Clone, Copy)]
enum Fault {
    WrongGeneration,
    ConnectionClosed,
    DuplicateToken,
    EarlyEnd,
    SkippedToken,
    MalformedEvent,
    UnterminatedLine,
}

async fn stream_with_fault(
    fault: Fault,
    request: ReceivedRequest,
    mut connection: ServerConnection,
) {
    if request.method() == "DELETE" {
        return respond_to_cancel(connection).await;
    }
    let generation = generation_id(&request);
    connection.start_event_stream().await;
    if let Some(from) = resume_index(&request) {
        return stream_tokens_from(&mut connection, &generation, from, 5).await;
    }
    for index in 0..3 {
        connection
            .send_chunk(&token_event(&generation, index, &format!("{index} ")))
            .await;
    }
    let other = "0".repeat(32);
    match fault {
        Fault::WrongGeneration => {
            connection
                .send_chunk(&token_event(&other, 3, "another client's"))
                .await;
        }
        Fault::ConnectionClosed => return,
        Fault::DuplicateToken => {
            connection
                .send_chunk(&token_event(&generation, 2, "2 "))
                .await;
        }
        Fault::EarlyEnd => connection.send_chunk(&end_event(&generation, 5)).await,
        Fault::SkippedToken => {
            connection
                .send_chunk(&token_event(&generation, 4, "4 "))
                .await;
        }
        Fault::MalformedEvent => connection.send_chunk("event: token\ndata: {\"gen").await,
        Fault::UnterminatedLine => {
            let line = "x".repeat(9_000);
            for _ in 0..10 {
                connection.send_chunk(&line).await;
            }
        }
    }
    connection.wait_until_closed().await;
}

#[tokio::test]
async fn a_stream_is_resumed_at_the_next_token_after_any_stream_fault() {
    for fault in [
        Fault::WrongGeneration,
        Fault::ConnectionClosed,
        Fault::DuplicateToken,
        Fault::EarlyEnd,
        Fault::SkippedToken,
        Fault::MalformedEvent,
        Fault::UnterminatedLine,
    ] {
        let engine = FakeEndpoint::bind(move |request, connection| {
            Box::pin(stream_with_fault(fault, request, connection))
        })
        .await;
        let (entry, backend) = EntryBuilder::new(&[engine.address]).bind().await;
        let response = TestClient::request_completion(entry.address(), true).await;
        assert_eq!(response.text(), "0 1 2 3 4 ", "{fault:?}");
        assert!(response.is_complete, "{fault:?}");
        let resumes = engine.requests_by_method("GET");
        assert_eq!(resumes.len(), 1, "{fault:?}");
        assert_eq!(resume_index(&resumes[0]), Some(3), "{fault:?}");
        assert_eq!(engine.requests_by_method("POST").len(), 1, "{fault:?}");
        assert_eq!(
            backend.dropped_connections.load(Ordering::SeqCst),
            1,
            "{fault:?}"
        );
    }
}

#[tokio::test]
async fn a_stream_whose_generation_is_lost_ends_with_the_delivered_token_count() {
    let engine = FakeEndpoint::bind(|request, mut connection| {
        Box::pin(async move {
            match request.method() {
                "DELETE" => respond_to_cancel(connection).await,
                "GET" => connection.respond("404 Not Found", "", "").await,
                _ => {
                    let generation = generation_id(&request);
                    connection.start_event_stream().await;
                    connection
                        .send_chunk(&token_event(&generation, 0, "a"))
                        .await;
                    connection
                        .send_chunk(&token_event(&generation, 1, "b"))
                        .await;
                }
            }
        })
    })
    .await;
    let healthy_engine =
        FakeEndpoint::bind(|request, connection| Box::pin(stream_five_tokens(request, connection)))
            .await;
    let (entry, _) = EntryBuilder::new(&[engine.address, healthy_engine.address])
        .bind()
        .await;
    let response = TestClient::request_completion(entry.address(), true).await;
    assert_eq!(response.text(), "ab");
    let (_, problem) = response.body.split_once("event: error\ndata: ").unwrap();
    let problem: serde_json::Value = serde_json::from_str(problem.trim()).unwrap();
    assert_eq!(problem["delivered_tokens"], 2);
    assert_eq!(problem["outcome"], "ran");
    assert!(problem["retry_after_ms"].is_u64());
    assert!(!response.body.contains("[DONE]"));
    assert!(
        healthy_engine.requests.lock().unwrap().is_empty(),
        "a stream with delivered tokens was restarted"
    );
}

#[tokio::test]
async fn a_generation_failing_before_its_first_token_is_cancelled_and_restarted() {
    let mut engine = FakeEndpoint::bind(|request, mut connection| {
        Box::pin(async move {
            if request.method() == "DELETE" {
                return respond_to_cancel(connection).await;
            }
            connection.start_event_stream().await;
            connection
                .send_chunk(&status_event(&generation_id(&request), "prefill"))
                .await;
        })
    })
    .await;
    let healthy_engine =
        FakeEndpoint::bind(|request, connection| Box::pin(stream_five_tokens(request, connection)))
            .await;
    let (entry, backend) = EntryBuilder::new(&[engine.address, healthy_engine.address])
        .bind()
        .await;
    let response = TestClient::request_completion(entry.address(), true).await;
    assert_eq!(response.text(), "0 1 2 3 4 ");
    engine.wait_for_requests("DELETE", 1).await;
    let first = generation_id(&engine.requests_by_method("POST")[0]);
    assert_eq!(
        generation_id(&engine.requests_by_method("DELETE")[0]),
        first
    );
    assert_ne!(
        generation_id(&healthy_engine.requests_by_method("POST")[0]),
        first
    );
    let ends = backend.finished_permits.lock().unwrap().clone();
    assert_eq!(
        ends,
        [
            ("e0".to_owned(), PermitEnd::Failed, 0),
            ("e1".to_owned(), PermitEnd::Completed, 5)
        ]
    );
}

#[tokio::test]
async fn a_buffered_response_never_mixes_two_generations() {
    let engine = FakeEndpoint::bind(|request, mut connection| {
        Box::pin(async move {
            match request.method() {
                "DELETE" => respond_to_cancel(connection).await,
                "GET" => connection.respond("404 Not Found", "", "").await,
                _ => {
                    connection.start_event_stream().await;
                    connection
                        .send_chunk(&token_event(&generation_id(&request), 0, "lost"))
                        .await;
                }
            }
        })
    })
    .await;
    let healthy_engine =
        FakeEndpoint::bind(|request, connection| Box::pin(stream_five_tokens(request, connection)))
            .await;
    let (entry, _) = EntryBuilder::new(&[engine.address, healthy_engine.address])
        .bind()
        .await;
    let response = TestClient::request_completion(entry.address(), false).await;
    assert_eq!(response.json()["choices"][0]["text"], "0 1 2 3 4 ");
    assert_eq!(response.json()["usage"]["completion_tokens"], 5);
}

#[tokio::test]
async fn a_request_refused_as_not_run_is_retried_on_another_engine() {
    let engine = FakeEndpoint::bind(|_, mut connection| {
        Box::pin(async move {
            connection
                .respond(
                    "503 Service Unavailable",
                    "gentiancleat-outcome: not-run\r\n",
                    "",
                )
                .await;
        })
    })
    .await;
    let healthy_engine =
        FakeEndpoint::bind(|request, connection| Box::pin(stream_five_tokens(request, connection)))
            .await;
    let (entry, backend) = EntryBuilder::new(&[engine.address, healthy_engine.address])
        .bind()
        .await;
    let response = TestClient::request_completion(entry.address(), true).await;
    assert_eq!(response.text(), "0 1 2 3 4 ");
    assert!(engine.requests_by_method("DELETE").is_empty());
    assert_eq!(
        backend.finished_permits.lock().unwrap()[0].1,
        PermitEnd::Refused
    );
}

#[tokio::test]
async fn retries_stop_when_the_retry_budget_is_spent() {
    let start_count = Arc::new(AtomicUsize::new(0));
    let engine_start_count = Arc::clone(&start_count);
    let engine = FakeEndpoint::bind(move |_, mut connection| {
        engine_start_count.fetch_add(1, Ordering::SeqCst);
        Box::pin(async move {
            connection
                .respond(
                    "503 Service Unavailable",
                    "gentiancleat-outcome: not-run\r\n",
                    "",
                )
                .await;
        })
    })
    .await;
    let (entry, _) = EntryBuilder::new(&[engine.address]).bind().await;
    for _ in 0..20 {
        let response = TestClient::request_completion(entry.address(), true).await;
        assert_eq!(response.status(), 503);
        assert_eq!(response.outcome(), Some("not-run"));
        assert!(response.header("retry-after").is_some());
    }
    let starts = start_count.load(Ordering::SeqCst);
    assert_eq!(
        starts,
        20 + 5 + 6,
        "20 first attempts, 5 retries of the initial budget, 3 for every 10 first attempts"
    );
}

#[tokio::test]
async fn a_silent_stream_is_resumed() {
    let engine = FakeEndpoint::bind(|request, mut connection| {
        Box::pin(async move {
            let generation = generation_id(&request);
            connection.start_event_stream().await;
            if let Some(from) = resume_index(&request) {
                return stream_tokens_from(&mut connection, &generation, from, 5).await;
            }
            connection
                .send_chunk(&token_event(&generation, 0, "0 "))
                .await;
            connection
                .send_chunk(&status_event(&generation, "running"))
                .await;
            connection.wait_until_closed().await;
        })
    })
    .await;
    let (entry, backend) = EntryBuilder::new(&[engine.address]).bind().await;
    let response = TestClient::request_completion(entry.address(), true).await;
    assert_eq!(response.text(), "0 1 2 3 4 ");
    assert_eq!(backend.resumes.load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn a_generation_is_restarted_when_its_permit_is_revoked_before_the_first_token() {
    let mut engine = FakeEndpoint::bind(|request, mut connection| {
        Box::pin(async move {
            if request.method() == "DELETE" {
                return respond_to_cancel(connection).await;
            }
            connection.start_event_stream().await;
            connection.wait_until_closed().await;
        })
    })
    .await;
    let (entry, backend) = EntryBuilder::new(&[engine.address]).bind().await;
    let revocation = tokio_util::sync::CancellationToken::new();
    *backend.revocation.lock().unwrap() = Some(revocation.clone());
    let address = entry.address();
    let call = tokio::spawn(async move { TestClient::request_completion(address, true).await });
    engine.wait_for_requests("POST", 1).await;
    *backend.revocation.lock().unwrap() = None;
    revocation.cancel();
    engine.wait_for_requests("POST", 2).await;
    engine.wait_for_requests("DELETE", 1).await;
    let starts = engine.requests_by_method("POST");
    assert_eq!(
        generation_id(&engine.requests_by_method("DELETE")[0]),
        generation_id(&starts[0])
    );
    call.abort();
}
