//! Measures complete responses and wasted tokens while one of four engines fails.
//!
//! Each kind of failure is measured alone. Permits are granted round robin for all four engines, so
//! that the failing one is not avoided and the figures show only the effect of restarts and resumes.
//! Run with `cargo run --release -p entry --example failing`.

#[path = "../tests/support/mod.rs"]
mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use futures::future::{BoxFuture, join_all};
use support::{
    EntryBuilder, FakeEndpoint, ReceivedRequest, ServerConnection, TestClient, end_event,
    generation_id, token_event,
};

/// Requests per kind of failure, half of them streamed.
const REQUESTS: u32 = 2_000;

/// Concurrent requests.
const CONCURRENT_REQUESTS: u32 = 20;

/// Tokens of a complete generation.
const TOKENS: u32 = 50;

/// Tokens that a failing engine sends before it closes the connection.
const TOKENS_BEFORE_FAILURE: u32 = 20;

/// How the failing engine fails.
#[derive(Debug, Clone, Copy)]
enum Failure {
    /// Closes the connection before the first token.
    ClosesEarly,
    /// Closes the connection after some tokens and loses the generation.
    Dies,
    /// Responds with a server error.
    Errs,
    /// Closes the connection after some tokens and resumes the generation on request.
    LosesLinks,
    /// Does not fail.
    None,
    /// Refuses the request with outcome `not-run`.
    Refuses,
}

async fn generate(
    connection: &mut ServerConnection,
    request: &ReceivedRequest,
    range: std::ops::Range<u32>,
    generated_tokens: &AtomicU32,
) {
    let generation = generation_id(request);
    connection.start_event_stream().await;
    for index in range.clone() {
        generated_tokens.fetch_add(1, Ordering::Relaxed);
        connection
            .send_chunk(&token_event(&generation, index, "t"))
            .await;
    }
    if range.end == TOKENS {
        connection.send_chunk(&end_event(&generation, TOKENS)).await;
        connection.end_body().await;
    }
}

async fn serve(
    request: ReceivedRequest,
    mut connection: ServerConnection,
    failure: Failure,
    generated_tokens: Arc<AtomicU32>,
) {
    if request.method() == "DELETE" {
        return connection.respond("204 No Content", "", "").await;
    }
    let resume = request.path().split_once("?from=");
    let from = resume.map(|(_, from)| from.parse().unwrap());
    match (failure, from) {
        (Failure::ClosesEarly, _) => connection.start_event_stream().await,
        (Failure::Dies, Some(_)) => connection.respond("404 Not Found", "", "").await,
        (Failure::Dies | Failure::LosesLinks, None) => {
            generate(
                &mut connection,
                &request,
                0..TOKENS_BEFORE_FAILURE,
                &generated_tokens,
            )
            .await;
        }
        (Failure::Errs, _) => connection.respond("500 Oh", "", "").await,
        (Failure::LosesLinks | Failure::None, from) => {
            generate(
                &mut connection,
                &request,
                from.unwrap_or(0)..TOKENS,
                &generated_tokens,
            )
            .await;
        }
        (Failure::Refuses, _) => {
            connection
                .respond("503 Full", "gentiancleat-outcome: not-run\r\n", "")
                .await;
        }
    }
}

async fn engine(failure: Failure, generated_tokens: &Arc<AtomicU32>) -> FakeEndpoint {
    let generated_tokens = Arc::clone(generated_tokens);
    FakeEndpoint::bind(move |request, connection| -> BoxFuture<'static, ()> {
        Box::pin(serve(
            request,
            connection,
            failure,
            Arc::clone(&generated_tokens),
        ))
    })
    .await
}

async fn measure(failure: Failure) {
    let generated_tokens = Arc::new(AtomicU32::new(0));
    let mut engines = vec![engine(failure, &generated_tokens).await];
    for _ in 0..3 {
        engines.push(engine(Failure::None, &generated_tokens).await);
    }
    let addresses: Vec<_> = engines.iter().map(|engine| engine.address).collect();
    let (entry, backend) = EntryBuilder::new(&addresses).bind().await;
    backend.rotates_endpoints.store(true, Ordering::SeqCst);
    let mut complete_responses = 0;
    for _ in 0..REQUESTS / CONCURRENT_REQUESTS {
        let requests = (0..CONCURRENT_REQUESTS)
            .map(|n| TestClient::request_completion(entry.address(), n % 2 == 0));
        for response in join_all(requests).await {
            let is_complete = response.status() == 200 && !response.body.contains("event: error");
            complete_responses += u32::from(is_complete);
        }
    }
    let starts: usize = engines
        .iter()
        .map(|engine| engine.requests_by_method("POST").len())
        .sum();
    let generated_tokens = f64::from(generated_tokens.load(Ordering::Relaxed));
    println!(
        "{failure:?}: {:.2}% whole answers, {} restarts, {} resumes, {:.1}% more starts, \
         {:.1}% of tokens made in vain",
        f64::from(complete_responses) * 100.0 / f64::from(REQUESTS),
        backend.restarts.load(Ordering::SeqCst),
        backend.resumes.load(Ordering::SeqCst),
        f64::from(u32::try_from(starts).unwrap()) * 100.0 / f64::from(REQUESTS) - 100.0,
        100.0 - f64::from(complete_responses * TOKENS) * 100.0 / generated_tokens,
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
