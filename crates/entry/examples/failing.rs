//! Measures what callers get, and what engines do in vain, while one engine in four fails.
//!
//! Each kind of failure runs alone, with permits going round all four engines: nobody avoids the
//! failing one, so the figures are those of restarts and resumes alone. Run with
//! `cargo run --release -p entry --example failing`.

#[path = "../tests/support/mod.rs"]
mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use futures::future::{BoxFuture, join_all};
use support::{
    EntryBuilder, FakeEndpoint, ReceivedRequest, ServerConnection, TestClient, end_event,
    generation_id, token_event,
};

/// Requests of each kind of failure, half of them streams.
const REQUESTS: u32 = 2_000;

/// Requests side by side.
const SIDE_BY_SIDE: u32 = 20;

/// Tokens of an answer.
const TOKENS: u32 = 50;

/// Tokens after which a failing engine breaks off.
const TOKENS_BEFORE: u32 = 20;

/// How the failing engine fails.
#[derive(Debug, Clone, Copy)]
enum Failure {
    /// Closes the link before the first token.
    ClosesEarly,
    /// Loses the generation in the middle.
    Dies,
    /// Answers with a server error.
    Errs,
    /// Closes the link in the middle and resumes when asked.
    LosesLinks,
    /// Does not fail.
    None,
    /// Refuses as not run.
    Refuses,
}

async fn generate(
    wire: &mut ServerConnection,
    seen: &ReceivedRequest,
    range: std::ops::Range<u32>,
    made: &AtomicU32,
) {
    let generation = generation_id(seen);
    wire.start_event_stream().await;
    for index in range.clone() {
        made.fetch_add(1, Ordering::Relaxed);
        wire.send_chunk(&token_event(&generation, index, "t")).await;
    }
    if range.end == TOKENS {
        wire.send_chunk(&end_event(&generation, TOKENS)).await;
        wire.end_body().await;
    }
}

async fn serve(
    seen: ReceivedRequest,
    mut wire: ServerConnection,
    failure: Failure,
    made: Arc<AtomicU32>,
) {
    if seen.method() == "DELETE" {
        return wire.respond("204 No Content", "", "").await;
    }
    let resume = seen.path().split_once("?from=");
    let from = resume.map(|(_, from)| from.parse().unwrap());
    match (failure, from) {
        (Failure::ClosesEarly, _) => wire.start_event_stream().await,
        (Failure::Dies, Some(_)) => wire.respond("404 Not Found", "", "").await,
        (Failure::Dies | Failure::LosesLinks, None) => {
            generate(&mut wire, &seen, 0..TOKENS_BEFORE, &made).await;
        }
        (Failure::Errs, _) => wire.respond("500 Oh", "", "").await,
        (Failure::LosesLinks | Failure::None, from) => {
            generate(&mut wire, &seen, from.unwrap_or(0)..TOKENS, &made).await;
        }
        (Failure::Refuses, _) => {
            wire.respond("503 Full", "gentiancleat-outcome: not-run\r\n", "")
                .await;
        }
    }
}

async fn engine(failure: Failure, made: &Arc<AtomicU32>) -> FakeEndpoint {
    let made = Arc::clone(made);
    FakeEndpoint::bind(move |seen, wire| -> BoxFuture<'static, ()> {
        Box::pin(serve(seen, wire, failure, Arc::clone(&made)))
    })
    .await
}

async fn measure(failure: Failure) {
    let made = Arc::new(AtomicU32::new(0));
    let mut engines = vec![engine(failure, &made).await];
    for _ in 0..3 {
        engines.push(engine(Failure::None, &made).await);
    }
    let addresses: Vec<_> = engines.iter().map(|engine| engine.address).collect();
    let (entry, neighbours) = EntryBuilder::new(&addresses).bind().await;
    neighbours.rotates_endpoints.store(true, Ordering::SeqCst);
    let mut whole = 0;
    for _ in 0..REQUESTS / SIDE_BY_SIDE {
        let asked =
            (0..SIDE_BY_SIDE).map(|n| TestClient::request_completion(entry.address(), n % 2 == 0));
        for answer in join_all(asked).await {
            let is_complete = answer.status() == 200 && !answer.body.contains("event: error");
            whole += u32::from(is_complete);
        }
    }
    let starts: usize = engines
        .iter()
        .map(|one| one.requests_by_method("POST").len())
        .sum();
    let made = f64::from(made.load(Ordering::Relaxed));
    println!(
        "{failure:?}: {:.2}% whole answers, {} restarts, {} resumes, {:.1}% more starts, \
         {:.1}% of tokens made in vain",
        f64::from(whole) * 100.0 / f64::from(REQUESTS),
        neighbours.restarts.load(Ordering::SeqCst),
        neighbours.resumes.load(Ordering::SeqCst),
        f64::from(u32::try_from(starts).unwrap()) * 100.0 / f64::from(REQUESTS) - 100.0,
        100.0 - f64::from(whole * TOKENS) * 100.0 / made,
    );
}

#[tokio::main]
async fn main() {
    for failure in [
        Failure::None,
        Failure::ClosesEarly,
        Failure::Dies,
        Failure::Errs,
        Failure::LosesLinks,
        Failure::Refuses,
    ] {
        measure(failure).await;
    }
}
