//! Engines that fail, lie or stall under a generation.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use entry::dependencies::PermitEnd;
use support::{Caller, Endpoint, Seen, Setup, Wire, end, generation_of, status, token};

/// Index that a resume asks for; none for other requests.
fn resume_index(seen: &Seen) -> Option<u32> {
    seen.path().split_once("?from=")?.1.parse().ok()
}

/// Streams the tokens from an index on and ends.
async fn rest(wire: &mut Wire, generation: &str, from: u32, tokens: u32) {
    for index in from..tokens {
        wire.piece(&token(generation, index, &format!("{index} ")))
            .await;
    }
    wire.piece(&end(generation, tokens)).await;
    wire.finish().await;
}

async fn cancelled(mut wire: Wire) {
    wire.answer("204 No Content", "", "").await;
}

/// Engine that streams all of five tokens.
async fn sound(seen: Seen, mut wire: Wire) {
    if seen.method() == "DELETE" {
        return cancelled(wire).await;
    }
    wire.stream().await;
    rest(&mut wire, &generation_of(&seen), 0, 5).await;
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

async fn faulty(fault: Fault, seen: Seen, mut wire: Wire) {
    if seen.method() == "DELETE" {
        return cancelled(wire).await;
    }
    let generation = generation_of(&seen);
    wire.stream().await;
    if let Some(from) = resume_index(&seen) {
        return rest(&mut wire, &generation, from, 5).await;
    }
    for index in 0..3 {
        wire.piece(&token(&generation, index, &format!("{index} ")))
            .await;
    }
    let other = "0".repeat(32);
    match fault {
        Fault::Crossed => wire.piece(&token(&other, 3, "another caller's")).await,
        Fault::Cut => return,
        Fault::Duplicate => wire.piece(&token(&generation, 2, "2 ")).await,
        Fault::EndsShort => wire.piece(&end(&generation, 5)).await,
        Fault::Gap => wire.piece(&token(&generation, 4, "4 ")).await,
        Fault::Garbage => wire.piece("event: token\ndata: {\"gen").await,
        Fault::Unterminated => {
            let line = "x".repeat(9_000);
            for _ in 0..10 {
                wire.piece(&line).await;
            }
        }
    }
    wire.closed().await;
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
        let engine = Endpoint::bind(move |seen, wire| Box::pin(faulty(fault, seen, wire))).await;
        let (entry, neighbours) = Setup::new(&[engine.address]).bind().await;
        let answer = Caller::complete(entry.address(), true).await;
        assert_eq!(answer.text(), "0 1 2 3 4 ", "{fault:?}");
        assert!(answer.is_whole, "{fault:?}");
        let resumes = engine.requests("GET");
        assert_eq!(resumes.len(), 1, "{fault:?}");
        assert_eq!(resume_index(&resumes[0]), Some(3), "{fault:?}");
        assert_eq!(engine.requests("POST").len(), 1, "{fault:?}");
        assert_eq!(
            neighbours.dropped_connections.load(Ordering::SeqCst),
            1,
            "{fault:?}"
        );
    }
}

#[tokio::test]
async fn a_stream_whose_generation_is_lost_ends_with_the_delivered_count() {
    let engine = Endpoint::bind(|seen, mut wire| {
        Box::pin(async move {
            match seen.method() {
                "DELETE" => cancelled(wire).await,
                "GET" => wire.answer("404 Not Found", "", "").await,
                _ => {
                    let generation = generation_of(&seen);
                    wire.stream().await;
                    wire.piece(&token(&generation, 0, "a")).await;
                    wire.piece(&token(&generation, 1, "b")).await;
                }
            }
        })
    })
    .await;
    let spare = Endpoint::bind(|seen, wire| Box::pin(sound(seen, wire))).await;
    let (entry, _) = Setup::new(&[engine.address, spare.address]).bind().await;
    let answer = Caller::complete(entry.address(), true).await;
    assert_eq!(answer.text(), "ab");
    let (_, problem) = answer.body.split_once("event: error\ndata: ").unwrap();
    let problem: serde_json::Value = serde_json::from_str(problem.trim()).unwrap();
    assert_eq!(problem["delivered_tokens"], 2);
    assert_eq!(problem["outcome"], "ran");
    assert!(problem["retry_after_ms"].is_u64());
    assert!(!answer.body.contains("[DONE]"));
    assert!(
        spare.seen.lock().unwrap().is_empty(),
        "another generation was spliced in"
    );
}

#[tokio::test]
async fn a_generation_that_fails_before_its_first_token_runs_elsewhere_and_is_cancelled() {
    let mut engine = Endpoint::bind(|seen, mut wire| {
        Box::pin(async move {
            if seen.method() == "DELETE" {
                return cancelled(wire).await;
            }
            wire.stream().await;
            wire.piece(&status(&generation_of(&seen), "prefill")).await;
        })
    })
    .await;
    let spare = Endpoint::bind(|seen, wire| Box::pin(sound(seen, wire))).await;
    let (entry, neighbours) = Setup::new(&[engine.address, spare.address]).bind().await;
    let answer = Caller::complete(entry.address(), true).await;
    assert_eq!(answer.text(), "0 1 2 3 4 ");
    engine.wait("DELETE", 1).await;
    let first = generation_of(&engine.requests("POST")[0]);
    assert_eq!(generation_of(&engine.requests("DELETE")[0]), first);
    assert_ne!(generation_of(&spare.requests("POST")[0]), first);
    let ends = neighbours.ends.lock().unwrap().clone();
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
    let engine = Endpoint::bind(|seen, mut wire| {
        Box::pin(async move {
            match seen.method() {
                "DELETE" => cancelled(wire).await,
                "GET" => wire.answer("404 Not Found", "", "").await,
                _ => {
                    wire.stream().await;
                    wire.piece(&token(&generation_of(&seen), 0, "lost")).await;
                }
            }
        })
    })
    .await;
    let spare = Endpoint::bind(|seen, wire| Box::pin(sound(seen, wire))).await;
    let (entry, _) = Setup::new(&[engine.address, spare.address]).bind().await;
    let answer = Caller::complete(entry.address(), false).await;
    assert_eq!(answer.json()["choices"][0]["text"], "0 1 2 3 4 ");
    assert_eq!(answer.json()["usage"]["completion_tokens"], 5);
}

#[tokio::test]
async fn an_engine_that_refuses_as_not_run_is_left_for_another() {
    let engine = Endpoint::bind(|_, mut wire| {
        Box::pin(async move {
            wire.answer(
                "503 Service Unavailable",
                "gentiancleat-outcome: not-run\r\n",
                "",
            )
            .await;
        })
    })
    .await;
    let spare = Endpoint::bind(|seen, wire| Box::pin(sound(seen, wire))).await;
    let (entry, neighbours) = Setup::new(&[engine.address, spare.address]).bind().await;
    let answer = Caller::complete(entry.address(), true).await;
    assert_eq!(answer.text(), "0 1 2 3 4 ");
    assert!(engine.requests("DELETE").is_empty());
    assert_eq!(neighbours.ends.lock().unwrap()[0].1, PermitEnd::Refused);
}

#[tokio::test]
async fn retries_stop_when_their_budget_is_spent() {
    let starts = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&starts);
    let engine = Endpoint::bind(move |_, mut wire| {
        counted.fetch_add(1, Ordering::SeqCst);
        Box::pin(async move {
            wire.answer(
                "503 Service Unavailable",
                "gentiancleat-outcome: not-run\r\n",
                "",
            )
            .await;
        })
    })
    .await;
    let (entry, _) = Setup::new(&[engine.address]).bind().await;
    for _ in 0..20 {
        let answer = Caller::complete(entry.address(), true).await;
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
    let engine = Endpoint::bind(|seen, mut wire| {
        Box::pin(async move {
            let generation = generation_of(&seen);
            wire.stream().await;
            if let Some(from) = resume_index(&seen) {
                return rest(&mut wire, &generation, from, 5).await;
            }
            wire.piece(&token(&generation, 0, "0 ")).await;
            wire.piece(&status(&generation, "running")).await;
            wire.closed().await;
        })
    })
    .await;
    let (entry, neighbours) = Setup::new(&[engine.address]).bind().await;
    let answer = Caller::complete(entry.address(), true).await;
    assert_eq!(answer.text(), "0 1 2 3 4 ");
    assert_eq!(neighbours.resumes.load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn a_revoked_permit_moves_the_request_before_its_first_token() {
    let mut engine = Endpoint::bind(|seen, mut wire| {
        Box::pin(async move {
            if seen.method() == "DELETE" {
                return cancelled(wire).await;
            }
            wire.stream().await;
            wire.closed().await;
        })
    })
    .await;
    let (entry, neighbours) = Setup::new(&[engine.address]).bind().await;
    let revocation = tokio_util::sync::CancellationToken::new();
    *neighbours.revocation.lock().unwrap() = Some(revocation.clone());
    let address = entry.address();
    let call = tokio::spawn(async move { Caller::complete(address, true).await });
    engine.wait("POST", 1).await;
    *neighbours.revocation.lock().unwrap() = None;
    revocation.cancel();
    engine.wait("POST", 2).await;
    engine.wait("DELETE", 1).await;
    let starts = engine.requests("POST");
    assert_eq!(
        generation_of(&engine.requests("DELETE")[0]),
        generation_of(&starts[0])
    );
    call.abort();
}
