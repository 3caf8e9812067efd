//! Engines that fail, lie or stall under a generation.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use entry::dependencies::PermitEnd;
use support::{
    EntryBuilder, FakeEndpoint, ReceivedRequest, ServerConnection, TestClient, end_event,
    generation_id, status_event, token_event,
};

/// Index that a resume asks for; none for other requests.
fn resume_index(seen: &ReceivedRequest) -> Option<u32> {
    seen.path().split_once("?from=")?.1.parse().ok()
}

/// Streams the tokens from an index on and ends.
async fn rest(wire: &mut ServerConnection, generation: &str, from: u32, tokens: u32) {
    for index in from..tokens {
        wire.send_chunk(&token_event(generation, index, &format!("{index} ")))
            .await;
    }
    wire.send_chunk(&end_event(generation, tokens)).await;
    wire.end_body().await;
}

async fn cancelled(mut wire: ServerConnection) {
    wire.respond("204 No Content", "", "").await;
}

/// Engine that streams all of five tokens.
async fn sound(seen: ReceivedRequest, mut wire: ServerConnection) {
    if seen.method() == "DELETE" {
        return cancelled(wire).await;
    }
    wire.start_event_stream().await;
    rest(&mut wire, &generation_id(&seen), 0, 5).await;
}

/// What goes wrong after three of five tokens, before the engine is sound again.
#[derive(Debug, Clone, Copy)]
enum Fault {
    Crossed,
    Cut,
    Duplicate,
    EndsShort,
    Gap,
    Garbage,
    Unterminated,
}

async fn faulty(fault: Fault, seen: ReceivedRequest, mut wire: ServerConnection) {
    if seen.method() == "DELETE" {
        return cancelled(wire).await;
    }
    let generation = generation_id(&seen);
    wire.start_event_stream().await;
    if let Some(from) = resume_index(&seen) {
        return rest(&mut wire, &generation, from, 5).await;
    }
    for index in 0..3 {
        wire.send_chunk(&token_event(&generation, index, &format!("{index} ")))
            .await;
    }
    let other = "0".repeat(32);
    match fault {
        Fault::Crossed => {
            wire.send_chunk(&token_event(&other, 3, "another caller's"))
                .await;
        }
        Fault::Cut => return,
        Fault::Duplicate => wire.send_chunk(&token_event(&generation, 2, "2 ")).await,
        Fault::EndsShort => wire.send_chunk(&end_event(&generation, 5)).await,
        Fault::Gap => wire.send_chunk(&token_event(&generation, 4, "4 ")).await,
        Fault::Garbage => wire.send_chunk("event: token\ndata: {\"gen").await,
        Fault::Unterminated => {
            let line = "x".repeat(9_000);
            for _ in 0..10 {
                wire.send_chunk(&line).await;
            }
        }
    }
    wire.wait_until_closed().await;
}

#[tokio::test]
async fn a_stream_is_resumed_at_the_next_token_after_any_fault_of_its_link() {
    for fault in [
        Fault::Crossed,
        Fault::Cut,
        Fault::Duplicate,
        Fault::EndsShort,
        Fault::Gap,
        Fault::Garbage,
        Fault::Unterminated,
    ] {
        let engine =
            FakeEndpoint::bind(move |seen, wire| Box::pin(faulty(fault, seen, wire))).await;
        let (entry, neighbours) = EntryBuilder::new(&[engine.address]).bind().await;
        let answer = TestClient::request_completion(entry.address(), true).await;
        assert_eq!(answer.text(), "0 1 2 3 4 ", "{fault:?}");
        assert!(answer.is_complete, "{fault:?}");
        let resumes = engine.requests_by_method("GET");
        assert_eq!(resumes.len(), 1, "{fault:?}");
        assert_eq!(resume_index(&resumes[0]), Some(3), "{fault:?}");
        assert_eq!(engine.requests_by_method("POST").len(), 1, "{fault:?}");
        assert_eq!(
            neighbours.dropped_connections.load(Ordering::SeqCst),
            1,
            "{fault:?}"
        );
    }
}

#[tokio::test]
async fn a_stream_whose_generation_is_lost_ends_with_the_delivered_count() {
    let engine = FakeEndpoint::bind(|seen, mut wire| {
        Box::pin(async move {
            match seen.method() {
                "DELETE" => cancelled(wire).await,
                "GET" => wire.respond("404 Not Found", "", "").await,
                _ => {
                    let generation = generation_id(&seen);
                    wire.start_event_stream().await;
                    wire.send_chunk(&token_event(&generation, 0, "a")).await;
                    wire.send_chunk(&token_event(&generation, 1, "b")).await;
                }
            }
        })
    })
    .await;
    let spare = FakeEndpoint::bind(|seen, wire| Box::pin(sound(seen, wire))).await;
    let (entry, _) = EntryBuilder::new(&[engine.address, spare.address])
        .bind()
        .await;
    let answer = TestClient::request_completion(entry.address(), true).await;
    assert_eq!(answer.text(), "ab");
    let (_, problem) = answer.body.split_once("event: error\ndata: ").unwrap();
    let problem: serde_json::Value = serde_json::from_str(problem.trim()).unwrap();
    assert_eq!(problem["delivered_tokens"], 2);
    assert_eq!(problem["outcome"], "ran");
    assert!(problem["retry_after_ms"].is_u64());
    assert!(!answer.body.contains("[DONE]"));
    assert!(
        spare.requests.lock().unwrap().is_empty(),
        "another generation was spliced in"
    );
}

#[tokio::test]
async fn a_generation_that_fails_before_its_first_token_runs_elsewhere_and_is_cancelled() {
    let mut engine = FakeEndpoint::bind(|seen, mut wire| {
        Box::pin(async move {
            if seen.method() == "DELETE" {
                return cancelled(wire).await;
            }
            wire.start_event_stream().await;
            wire.send_chunk(&status_event(&generation_id(&seen), "prefill"))
                .await;
        })
    })
    .await;
    let spare = FakeEndpoint::bind(|seen, wire| Box::pin(sound(seen, wire))).await;
    let (entry, neighbours) = EntryBuilder::new(&[engine.address, spare.address])
        .bind()
        .await;
    let answer = TestClient::request_completion(entry.address(), true).await;
    assert_eq!(answer.text(), "0 1 2 3 4 ");
    engine.wait_for_requests("DELETE", 1).await;
    let first = generation_id(&engine.requests_by_method("POST")[0]);
    assert_eq!(
        generation_id(&engine.requests_by_method("DELETE")[0]),
        first
    );
    assert_ne!(generation_id(&spare.requests_by_method("POST")[0]), first);
    let ends = neighbours.finished_permits.lock().unwrap().clone();
    assert_eq!(
        ends,
        [
            ("e0".to_owned(), PermitEnd::Failed, 0),
            ("e1".to_owned(), PermitEnd::Completed, 5)
        ]
    );
}

#[tokio::test]
async fn a_whole_answer_never_mixes_two_generations() {
    let engine = FakeEndpoint::bind(|seen, mut wire| {
        Box::pin(async move {
            match seen.method() {
                "DELETE" => cancelled(wire).await,
                "GET" => wire.respond("404 Not Found", "", "").await,
                _ => {
                    wire.start_event_stream().await;
                    wire.send_chunk(&token_event(&generation_id(&seen), 0, "lost"))
                        .await;
                }
            }
        })
    })
    .await;
    let spare = FakeEndpoint::bind(|seen, wire| Box::pin(sound(seen, wire))).await;
    let (entry, _) = EntryBuilder::new(&[engine.address, spare.address])
        .bind()
        .await;
    let answer = TestClient::request_completion(entry.address(), false).await;
    assert_eq!(answer.json()["choices"][0]["text"], "0 1 2 3 4 ");
    assert_eq!(answer.json()["usage"]["completion_tokens"], 5);
}

#[tokio::test]
async fn an_engine_that_refuses_as_not_run_is_left_for_another() {
    let engine = FakeEndpoint::bind(|_, mut wire| {
        Box::pin(async move {
            wire.respond(
                "503 Service Unavailable",
                "gentiancleat-outcome: not-run\r\n",
                "",
            )
            .await;
        })
    })
    .await;
    let spare = FakeEndpoint::bind(|seen, wire| Box::pin(sound(seen, wire))).await;
    let (entry, neighbours) = EntryBuilder::new(&[engine.address, spare.address])
        .bind()
        .await;
    let answer = TestClient::request_completion(entry.address(), true).await;
    assert_eq!(answer.text(), "0 1 2 3 4 ");
    assert!(engine.requests_by_method("DELETE").is_empty());
    assert_eq!(
        neighbours.finished_permits.lock().unwrap()[0].1,
        PermitEnd::Refused
    );
}

#[tokio::test]
async fn retries_stop_when_their_budget_is_spent() {
    let starts = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&starts);
    let engine = FakeEndpoint::bind(move |_, mut wire| {
        counted.fetch_add(1, Ordering::SeqCst);
        Box::pin(async move {
            wire.respond(
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
        let answer = TestClient::request_completion(entry.address(), true).await;
        assert_eq!(answer.status(), 503);
        assert_eq!(answer.outcome(), Some("not-run"));
        assert!(answer.header("retry-after").is_some());
    }
    let starts = starts.load(Ordering::SeqCst);
    assert_eq!(
        starts,
        20 + 5 + 6,
        "20 first tries, 5 retries at rest, three for each 10 tries"
    );
}

#[tokio::test]
async fn a_stream_that_falls_silent_is_resumed() {
    let engine = FakeEndpoint::bind(|seen, mut wire| {
        Box::pin(async move {
            let generation = generation_id(&seen);
            wire.start_event_stream().await;
            if let Some(from) = resume_index(&seen) {
                return rest(&mut wire, &generation, from, 5).await;
            }
            wire.send_chunk(&token_event(&generation, 0, "0 ")).await;
            wire.send_chunk(&status_event(&generation, "running")).await;
            wire.wait_until_closed().await;
        })
    })
    .await;
    let (entry, neighbours) = EntryBuilder::new(&[engine.address]).bind().await;
    let answer = TestClient::request_completion(entry.address(), true).await;
    assert_eq!(answer.text(), "0 1 2 3 4 ");
    assert_eq!(neighbours.resumes.load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn a_revoked_permit_moves_the_request_before_its_first_token() {
    let mut engine = FakeEndpoint::bind(|seen, mut wire| {
        Box::pin(async move {
            if seen.method() == "DELETE" {
                return cancelled(wire).await;
            }
            wire.start_event_stream().await;
            wire.wait_until_closed().await;
        })
    })
    .await;
    let (entry, neighbours) = EntryBuilder::new(&[engine.address]).bind().await;
    let revocation = tokio_util::sync::CancellationToken::new();
    *neighbours.revocation.lock().unwrap() = Some(revocation.clone());
    let address = entry.address();
    let call = tokio::spawn(async move { TestClient::request_completion(address, true).await });
    engine.wait_for_requests("POST", 1).await;
    *neighbours.revocation.lock().unwrap() = None;
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
