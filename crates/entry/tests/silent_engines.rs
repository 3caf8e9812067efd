//! Engines that pause: the generation continues there unless another one has answered.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use entry::dependencies::PermitEnd;
use support::{
    EntryBuilder, FakeEndpoint, TestClient, generation_id, respond_to_cancel, resume_index,
    stream_five_tokens, stream_tokens_from, token_event,
};
use tokio::time::sleep;

/// Guards against a late answer that is lost because every further attempt is rejected.
#[tokio::test]
async fn a_silent_generation_is_answered_late_if_no_other_attempt_succeeds() {
    let start_count = Arc::new(AtomicUsize::new(0));
    let engine = FakeEndpoint::bind(move |request, mut connection| {
        let start_count = Arc::clone(&start_count);
        Box::pin(async move {
            if request.method() == "DELETE" {
                return respond_to_cancel(connection).await;
            }
            if start_count.fetch_add(1, Ordering::SeqCst) > 0 {
                let not_run = "gentiancleat-outcome: not-run\r\n";
                return connection
                    .respond("503 Service Unavailable", not_run, "")
                    .await;
            }
            connection.start_event_stream().await;
            sleep(Duration::from_secs(4)).await;
            stream_tokens_from(&mut connection, &generation_id(&request), 0, 5).await;
        })
    })
    .await;
    let (entry, backend) = EntryBuilder::new(&[engine.address]).bind().await;
    let response = TestClient::request_completion(entry.address(), true).await;
    assert_eq!(response.text(), "0 1 2 3 4 ");
    assert!(response.is_complete);
    assert!(engine.requests_by_method("DELETE").is_empty());
    let ends = backend.finished_permits.lock().unwrap().clone();
    let (last, rejected) = ends.split_last().unwrap();
    assert_eq!(*last, ("e0".to_owned(), PermitEnd::Completed, 5));
    assert!(!rejected.is_empty());
    assert!(
        rejected
            .iter()
            .all(|(_, end, _)| *end == PermitEnd::Refused)
    );
    assert_eq!(
        rejected.len() + 1,
        backend.permit_requests.lock().unwrap().len()
    );
}

/// Guards against a silent engine that keeps the generation after another one has opened it.
#[tokio::test]
async fn a_silent_generation_is_cancelled_once_another_engine_has_opened_it() {
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
    let healthy_engine =
        FakeEndpoint::bind(|request, connection| Box::pin(stream_five_tokens(request, connection)))
            .await;
    let (entry, backend) = EntryBuilder::new(&[engine.address, healthy_engine.address])
        .bind()
        .await;
    let response = TestClient::request_completion(entry.address(), true).await;
    assert_eq!(response.text(), "0 1 2 3 4 ");
    engine.wait_for_requests("DELETE", 1).await;
    assert_eq!(backend.restarts.load(Ordering::SeqCst), 1);
    let ends = backend.finished_permits.lock().unwrap().clone();
    assert_eq!(
        ends,
        [
            ("e0".to_owned(), PermitEnd::Failed, 0),
            ("e1".to_owned(), PermitEnd::Completed, 5)
        ]
    );
}

/// Guards against a late answer that is dropped for a replacement which has not answered.
#[tokio::test]
async fn a_generation_that_continues_while_its_replacement_is_silent_completes() {
    for is_stream in [false, true] {
        let engine = FakeEndpoint::bind(|request, mut connection| {
            Box::pin(async move {
                connection.start_event_stream().await;
                sleep(Duration::from_secs(3)).await;
                stream_tokens_from(&mut connection, &generation_id(&request), 0, 5).await;
            })
        })
        .await;
        let mut silent_engine = FakeEndpoint::bind(|request, mut connection| {
            Box::pin(async move {
                if request.method() == "DELETE" {
                    return respond_to_cancel(connection).await;
                }
                connection.wait_until_closed().await;
            })
        })
        .await;
        let (entry, backend) = EntryBuilder::new(&[engine.address, silent_engine.address])
            .bind()
            .await;
        let response = TestClient::request_completion(entry.address(), is_stream).await;
        if is_stream {
            assert_eq!(response.text(), "0 1 2 3 4 ");
        } else {
            assert_eq!(response.json()["choices"][0]["text"], "0 1 2 3 4 ");
        }
        silent_engine.wait_for_requests("DELETE", 1).await;
        assert!(engine.requests_by_method("DELETE").is_empty());
        let ends = backend.finished_permits.lock().unwrap().clone();
        assert_eq!(
            ends,
            [
                ("e1".to_owned(), PermitEnd::Cancelled, 0),
                ("e0".to_owned(), PermitEnd::Completed, 5)
            ]
        );
    }
}

/// Guards against a stream that is cut because the engine answers neither it nor a resume in time.
#[tokio::test]
async fn a_silent_stream_continues_although_its_resume_is_silent() {
    let engine = FakeEndpoint::bind(|request, mut connection| {
        Box::pin(async move {
            if resume_index(&request).is_some() {
                return connection.wait_until_closed().await;
            }
            let generation = generation_id(&request);
            connection.start_event_stream().await;
            connection
                .send_chunk(&token_event(&generation, 0, "0 "))
                .await;
            sleep(Duration::from_secs(4)).await;
            stream_tokens_from(&mut connection, &generation, 1, 5).await;
        })
    })
    .await;
    let (entry, backend) = EntryBuilder::new(&[engine.address])
        .limits(|limits| limits.request_timeout_ms = 10_000)
        .bind()
        .await;
    let response = TestClient::request_completion(entry.address(), true).await;
    assert_eq!(response.text(), "0 1 2 3 4 ");
    assert!(response.is_complete);
    let ends = backend.finished_permits.lock().unwrap().clone();
    assert_eq!(ends, [("e0".to_owned(), PermitEnd::Completed, 5)]);
}

/// Guards against a stream that is cut because its engine rejects a resume while it is silent.
#[tokio::test]
async fn a_silent_stream_continues_although_its_resume_is_rejected() {
    let engine = FakeEndpoint::bind(|request, mut connection| {
        Box::pin(async move {
            if resume_index(&request).is_some() {
                return connection.respond("500 Oh", "", "").await;
            }
            let generation = generation_id(&request);
            connection.start_event_stream().await;
            connection
                .send_chunk(&token_event(&generation, 0, "0 "))
                .await;
            sleep(Duration::from_secs(4)).await;
            stream_tokens_from(&mut connection, &generation, 1, 5).await;
        })
    })
    .await;
    let (entry, backend) = EntryBuilder::new(&[engine.address]).bind().await;
    let response = TestClient::request_completion(entry.address(), true).await;
    assert_eq!(response.text(), "0 1 2 3 4 ");
    assert!(response.is_complete);
    assert_eq!(backend.resumes.load(Ordering::SeqCst), 1);
}

/// Guards against a resume that is given up when the silent stream closes before it has opened.
#[tokio::test]
async fn a_silent_stream_that_closes_is_continued_by_its_resume() {
    let engine = FakeEndpoint::bind(|request, mut connection| {
        Box::pin(async move {
            let generation = generation_id(&request);
            if let Some(from) = resume_index(&request) {
                sleep(Duration::from_secs(1)).await;
                connection.start_event_stream().await;
                return stream_tokens_from(&mut connection, &generation, from, 5).await;
            }
            connection.start_event_stream().await;
            connection
                .send_chunk(&token_event(&generation, 0, "0 "))
                .await;
            sleep(Duration::from_secs(3)).await;
        })
    })
    .await;
    let (entry, backend) = EntryBuilder::new(&[engine.address]).bind().await;
    let response = TestClient::request_completion(entry.address(), true).await;
    assert_eq!(response.text(), "0 1 2 3 4 ");
    assert!(response.is_complete);
    assert_eq!(backend.resumes.load(Ordering::SeqCst), 1);
    assert_eq!(backend.dropped_connections.load(Ordering::SeqCst), 1);
}

/// Guards against a generation that is lost because its permit is revoked and no other engine runs it.
#[tokio::test]
async fn a_generation_with_a_revoked_permit_completes_if_no_other_attempt_succeeds() {
    let start_count = Arc::new(AtomicUsize::new(0));
    let mut engine = FakeEndpoint::bind(move |request, mut connection| {
        let start_count = Arc::clone(&start_count);
        Box::pin(async move {
            if request.method() == "DELETE" {
                return respond_to_cancel(connection).await;
            }
            if start_count.fetch_add(1, Ordering::SeqCst) > 0 {
                let not_run = "gentiancleat-outcome: not-run\r\n";
                return connection
                    .respond("503 Service Unavailable", not_run, "")
                    .await;
            }
            connection.start_event_stream().await;
            sleep(Duration::from_secs(2)).await;
            stream_tokens_from(&mut connection, &generation_id(&request), 0, 5).await;
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
    assert_eq!(call.await.unwrap().text(), "0 1 2 3 4 ");
    assert!(engine.requests_by_method("DELETE").is_empty());
    let ends = backend.finished_permits.lock().unwrap().clone();
    let completed = ("e0".to_owned(), PermitEnd::Completed, 5);
    assert_eq!(ends.last(), Some(&completed));
    assert_eq!(
        ends.len(),
        backend.permit_requests.lock().unwrap().len(),
        "a permit was not released once"
    );
}
