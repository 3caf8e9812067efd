//! Compares the responses of concurrent clients with what endpoints ran, under random faults.

mod support;

use std::sync::{Arc, Mutex};

use entry::Entry;
use rand_xoshiro::Xoshiro256PlusPlus;
use rand_xoshiro::rand_core::{Rng, SeedableRng};
use support::{
    EntryBuilder, FakeEndpoint, ReceivedRequest, ServerConnection, TestClient, end_event,
    generation_id, status_event, token_event,
};

const ENDPOINTS: usize = 3;

const REQUESTS: u64 = 400;

const CONCURRENT_REQUESTS: u64 = 16;

const SEED: u64 = 20_261_203;

/// Tokens of each generation.
const TOKENS: u32 = 12;

/// Prompts or bodies of the requests that ran on any endpoint.
type RunLog = Arc<Mutex<Vec<String>>>;

type SharedRandom = Arc<Mutex<Xoshiro256PlusPlus>>;

fn random_below(random: &SharedRandom, bound: u64) -> u64 {
    random.lock().unwrap().next_u64() % bound
}

/// Streams the tokens from index `from`, with random faults. Each token text contains its
/// generation and index.
async fn stream_tokens(
    connection: &mut ServerConnection,
    generation: &str,
    from: u32,
    random: &SharedRandom,
) {
    connection.start_event_stream().await;
    for index in from..TOKENS {
        let text = format!("{}:{index} ", &generation[..8]);
        match random_below(random, 60) {
            0 => return,
            1 => return connection.send_chunk("data: {\"generation\"").await,
            2 => {
                connection
                    .send_chunk(&token_event(generation, index + 1, &text))
                    .await;
            }
            3 => {
                connection
                    .send_chunk(&token_event(&"f".repeat(32), index, "crossed "))
                    .await;
            }
            4 => connection.send_chunk(&end_event(generation, TOKENS)).await,
            5 => {
                connection
                    .send_chunk(&status_event(generation, "preempted"))
                    .await;
            }
            6 => {
                connection
                    .send_chunk(&token_event(generation, index, &text))
                    .await;
                connection
                    .send_chunk(&token_event(generation, index, &text))
                    .await;
                continue;
            }
            _ => {}
        }
        connection
            .send_chunk(&token_event(generation, index, &text))
            .await;
    }
    connection.send_chunk(&end_event(generation, TOKENS)).await;
    connection.end_body().await;
}

async fn serve_generation(
    request: ReceivedRequest,
    mut connection: ServerConnection,
    run_log: RunLog,
    random: SharedRandom,
) {
    if request.method() == "DELETE" {
        return connection.respond("204 No Content", "", "").await;
    }
    let generation = generation_id(&request);
    if let Some((_, from)) = request.path().split_once("?from=") {
        return match random_below(&random, 12) {
            0 => connection.respond("404 Not Found", "", "").await,
            1 => {}
            _ => stream_tokens(&mut connection, &generation, from.parse().unwrap(), &random).await,
        };
    }
    match random_below(&random, 10) {
        0 => {
            connection
                .respond("503 Full", "gentiancleat-outcome: not-run\r\n", "")
                .await;
        }
        1 => connection.respond("500 Oh", "", "").await,
        2 => connection.send_raw("HTTP/1.1 2").await,
        _ => {
            let body: serde_json::Value = serde_json::from_str(&request.body).unwrap();
            let prompt = body["prompt"].as_str().unwrap().to_owned();
            run_log.lock().unwrap().push(prompt);
            stream_tokens(&mut connection, &generation, 0, &random).await;
        }
    }
}

/// Checks that a response has tokens of one generation only, each once and in order. Returns their
/// number.
fn check_tokens(text: &str) -> u32 {
    let mut generation = None;
    let mut count = 0;
    for token in text.split_whitespace() {
        let (token_generation, index) = token.split_once(':').expect("a token of another request");
        assert_eq!(
            *generation.get_or_insert(token_generation),
            token_generation,
            "tokens of two generations: {text}"
        );
        assert_eq!(
            index.parse(),
            Ok(count),
            "a token is missing, repeated or out of order: {text}"
        );
        count += 1;
    }
    count
}

#[derive(Debug, Default)]
struct ResponseCounts {
    complete: u32,
    ended_by_error: u32,
    failed: u32,
    not_run: u32,
}

async fn request_completion(entry: &Entry, number: u64) -> (u64, support::Response) {
    let is_stream = number.is_multiple_of(2);
    let body = format!("{{\"model\":\"m\",\"prompt\":\"p{number}\",\"stream\":{is_stream}}}");
    let response = TestClient::request(entry.address(), "POST /v1/completions", "", &body).await;
    (number, response)
}

fn check_response(
    number: u64,
    response: &support::Response,
    run_log: &[String],
    counts: &mut ResponseCounts,
) {
    let prompt = format!("p{number}");
    assert!(
        response.is_complete,
        "a response was truncated without an error event"
    );
    match (response.status(), response.outcome()) {
        (200, _) if number.is_multiple_of(2) => {
            let tokens = check_tokens(&response.text());
            if response.body.ends_with("data: [DONE]\n\n") {
                assert_eq!(tokens, TOKENS);
                counts.complete += 1;
            } else {
                let delivered = format!("\"delivered_tokens\":{tokens}");
                assert!(response.body.contains(&delivered), "{}", response.body);
                counts.ended_by_error += 1;
            }
        }
        (200, _) => {
            let json = response.json();
            assert_eq!(
                check_tokens(json["choices"][0]["text"].as_str().unwrap()),
                TOKENS
            );
            counts.complete += 1;
        }
        (_, Some("not-run")) => {
            assert!(
                !run_log.contains(&prompt),
                "a request ran and was answered not-run"
            );
            counts.not_run += 1;
        }
        _ => counts.failed += 1,
    }
}

#[tokio::test]
async fn generation_tokens_are_neither_lost_nor_repeated_nor_mixed_under_random_faults() {
    let run_log = RunLog::default();
    let random = Arc::new(Mutex::new(Xoshiro256PlusPlus::seed_from_u64(SEED)));
    let mut engines = Vec::new();
    for _ in 0..ENDPOINTS {
        let (run_log, random) = (Arc::clone(&run_log), Arc::clone(&random));
        let handler = move |request, connection| {
            let (run_log, random) = (Arc::clone(&run_log), Arc::clone(&random));
            Box::pin(serve_generation(request, connection, run_log, random))
                as futures::future::BoxFuture<'static, ()>
        };
        engines.push(FakeEndpoint::bind(handler).await);
    }
    let addresses: Vec<_> = engines.iter().map(|engine| engine.address).collect();
    let (entry, _) = EntryBuilder::new(&addresses).bind().await;
    let mut counts = ResponseCounts::default();
    for round in 0..REQUESTS / CONCURRENT_REQUESTS {
        let first = round * CONCURRENT_REQUESTS;
        let requests =
            (first..first + CONCURRENT_REQUESTS).map(|number| request_completion(&entry, number));
        let responses = futures::future::join_all(requests).await;
        let run_log = run_log.lock().unwrap().clone();
        for (number, response) in responses {
            check_response(number, &response, &run_log, &mut counts);
        }
    }
    println!(
        "{counts:?}, {} generations ran",
        run_log.lock().unwrap().len()
    );
    assert!(
        counts.complete > 100 && counts.ended_by_error > 0,
        "{counts:?}"
    );
}

/// Runs or refuses a booking request, or closes the connection before or during the response.
async fn serve_booking(
    request: ReceivedRequest,
    mut connection: ServerConnection,
    run_log: RunLog,
    random: SharedRandom,
) {
    let fault = random_below(&random, 6);
    if fault == 0 {
        return connection
            .respond("503 Full", "gentiancleat-outcome: not-run\r\n", "")
            .await;
    }
    if fault == 1 {
        return;
    }
    run_log.lock().unwrap().push(request.body.clone());
    match fault {
        2 => {}
        3 => {
            connection
                .send_raw("HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\nboo")
                .await;
        }
        _ => {
            connection
                .respond("200 OK", "", &format!("booked {}", request.body))
                .await;
        }
    }
}

#[tokio::test]
async fn bookings_run_at_most_once_under_random_faults_and_retries() {
    let run_log = RunLog::default();
    let random = Arc::new(Mutex::new(Xoshiro256PlusPlus::seed_from_u64(SEED + 1)));
    let mut services = Vec::new();
    for _ in 0..ENDPOINTS {
        let (run_log, random) = (Arc::clone(&run_log), Arc::clone(&random));
        let handler = move |request, connection| {
            let (run_log, random) = (Arc::clone(&run_log), Arc::clone(&random));
            Box::pin(serve_booking(request, connection, run_log, random))
                as futures::future::BoxFuture<'static, ()>
        };
        services.push(FakeEndpoint::bind(handler).await);
    }
    let addresses: Vec<_> = services.iter().map(|service| service.address).collect();
    let (entry, _) = EntryBuilder::new(&addresses).bind().await;
    let (mut ran, mut not_run, mut unknown) = (0, 0, 0);
    for number in 0..REQUESTS {
        let body = format!("seat {number}");
        let has_key = number.is_multiple_of(2);
        let key = if has_key {
            format!("idempotency-key: k{number}\r\n")
        } else {
            String::new()
        };
        let request_line = "POST /services/booking/seats";
        let first = TestClient::request(entry.address(), request_line, &key, &body).await;
        let run_count = |run_log: &RunLog| {
            let run_log = run_log.lock().unwrap();
            run_log.iter().filter(|&seat| *seat == body).count()
        };
        let count = run_count(&run_log);
        assert!(count <= 1, "{body} ran twice");
        match first.outcome().unwrap() {
            "ran" => {
                assert_eq!(count, 1, "{body} did not run");
                ran += 1;
            }
            "not-run" => {
                assert_eq!(count, 0, "a request ran and was answered not-run");
                not_run += 1;
            }
            _ => unknown += 1,
        }
        if has_key && first.outcome() != Some("not-run") {
            let retry = TestClient::request(entry.address(), request_line, &key, &body).await;
            assert_eq!(run_count(&run_log), count, "a retry ran {body} again");
            if first.status() == 200 {
                assert_eq!(retry.body, first.body);
            }
        }
    }
    println!("{ran} ran, {not_run} not run, {unknown} unknown");
    assert!(ran > 100 && not_run > 10 && unknown > 10);
}
